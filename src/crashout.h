/*
 * crashout - messages of a VM about requests that crash upstreams.
 *
 * Messages to the owners of fingerprints are collected for each VM until
 * crashout_flush().  Announcements to the VMs of the own region are limited in
 * rate, as their cost is that of a message to each of them.
 */
#ifndef MIMOSA_CRASHOUT_H
#define MIMOSA_CRASHOUT_H

#include <stdbool.h>
#include <stdint.h>

#include "crashmsg.h"
#include "pick.h"

/* vm: index in the list of VMs. */
typedef void (*CrashoutFn)(void *ctx, int vm, const CrashMsg *m);

typedef struct Crashout Crashout;

/* fn may be NULL: nothing is sent. */
Crashout *crashout_new(CrashoutFn fn, void *ctx);
void crashout_free(Crashout *o);

/* Takes over the list of VMs; collected messages are dropped. */
void crashout_set_vms(Crashout *o, const PickVm *vms, int n, int self);

/* True if this VM is an owner of the fingerprint. */
bool crashout_owns(const Crashout *o, uint64_t fingerprint);

/* Collect a message to the owners, this VM excepted.  crashout_report()
 * returns false if no VM is known. */
bool crashout_report(Crashout *o, const CrashReport *r);
void crashout_verdict(Crashout *o, const CrashVerdict *v);

/* Sends to all other VMs of the region; false if the rate does not allow it
 * now. */
bool crashout_announce(Crashout *o, const CrashMsg *m, int64_t now_us);

bool crashout_pending(const Crashout *o);
void crashout_flush(Crashout *o);

#endif
