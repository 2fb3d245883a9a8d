/*
 * crash - requests that crash the upstreams that run them.
 *
 * A lost answer alone is weak evidence: answers also get lost for other
 * reasons, and other requests are in flight beside the one that causes a
 * crash.  A crash is counted when the answer was lost and the upstream was
 * then found down or restarted.  A request whose fingerprint was in flight at
 * CRASH_LIMIT such crashes, and was not served since the first of them, is
 * refused by all VMs.
 *
 * Callers repeat a request at any VM, so one VM may see a single crash of it.
 * Each fingerprint therefore has owners, one VM in each region at least, by
 * rendezvous hashing (Thaler and Ravishankar, 1998) over the list of VMs.
 * Each crash is reported to the owners only; these count, and announce the
 * verdict to the VMs of their regions, those on requests with most crashes
 * first.  Reports are repeated with growing pauses, since a message may be
 * lost and an owner may stop or start.  Verdicts are also passed on with
 * heartbeats.
 *
 * A request that crashes each upstream is never served.  A verdict on one that
 * was served since its first crash is void, and the VM that served it says so.
 *
 * No sockets and no clock: callers pass the time in microseconds.
 */
#ifndef MIMOSA_CRASH_H
#define MIMOSA_CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "crashmsg.h"
#include "dlog.h"
#include "pick.h"
#include "str.h"
#include "ups.h"

/* Crashes after which a request is refused. */
#define CRASH_LIMIT 3

typedef struct Crashes Crashes;

typedef struct CrashFns {
    /* Sends a message to a VM.  vm: index in the list of crash_set_vms(). */
    void (*send)(void *ctx, int vm, const CrashMsg *m);
    /* Asks for crash_step() after CRASH_STEP_US. */
    void (*wake)(void *ctx);
} CrashFns;

typedef struct CrashOpts {
    Dlog *log;    /* NULL: no lines */
    CrashFns fns; /* NULL functions: not called */
    void *ctx;
} CrashOpts;

Crashes *crash_new(const CrashOpts *o);
void crash_free(Crashes *c);

/* Takes over the list of all VMs.  self: index of this VM, -1 if it is not
 * listed. */
void crash_set_vms(Crashes *c, const PickVm *vms, int n, int self);

/* Fingerprint of a request; equal when the request is repeated. */
uint64_t crash_fingerprint(Str method, Str target, Str object, Str body);

/* Records that an upstream lost the answer of a request.  Takes a reference
 * to u until the crash is confirmed or dropped. */
void crash_response_lost(Crashes *c, uint64_t fingerprint, Ups *u,
                         int64_t now_us);

/* Records that an upstream has served a request. */
void crash_served(Crashes *c, uint64_t fingerprint, int64_t now_us);

/* True when a request with that fingerprint is refused. */
bool crash_should_refuse(Crashes *c, uint64_t fingerprint, int64_t now_us);

/* Confirms crashes, sends what is due and drops what has expired.  Called
 * every CRASH_STEP_US while crash_waiting(), otherwise with each tick. */
#define CRASH_STEP_US 50000
void crash_step(Crashes *c, int64_t now_us);

/* True while lost answers wait for their upstream to be found down, or
 * messages wait to be sent. */
bool crash_waiting(const Crashes *c);

/* Applies a message of another VM. */
void crash_receive(Crashes *c, const CrashMsg *m, int64_t now_us);

/* Fills m with verdicts for a heartbeat; false if there are none. */
bool crash_gossip(Crashes *c, CrashMsg *m, int64_t now_us);

/* Appends the counters of the steps of a crash and the number of fingerprints
 * kept. */
void crash_metrics(const Crashes *c, GString *out);

#endif
