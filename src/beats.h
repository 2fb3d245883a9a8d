/*
 * beats - what this VM tells the others, and what it hears from them.
 *
 * A heartbeat goes to a few VMs only, so that the bytes of a VM do not grow
 * with the fleet.  News of the store go to all VMs of the zone, and in a
 * small region to all of the region, since each of them would call the store
 * otherwise.
 */
#ifndef MIMOSA_BEATS_H
#define MIMOSA_BEATS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "crash.h"
#include "demand.h"
#include "dlog.h"
#include "news.h"
#include "peer.h"
#include "plan.h"
#include "vml.h"

typedef struct BeatsOpts {
    Dlog *log;
    Peer *peer;
    Vml *vms;
    UpsSet *upstreams;
    Demand *demand;
    Plan *plan;
    Crashes *crashes;
    GRand *rnd;
    const char *vm_id; /* of this VM; borrowed */
    int zone;
    int region;
    uint64_t boot_ms;
} BeatsOpts;

typedef struct Beats Beats;

Beats *beats_new(const BeatsOpts *o);
void beats_free(Beats *b);

/* Sends heartbeats to some VMs. */
void beats_send(Beats *b, bool leaving, int64_t now_us);

/* Takes a heartbeat of another VM. */
void beats_take(Beats *b, const PeerBeat *in, int64_t now_us);

/* Tells changes of the store to the VMs near by. */
void beats_tell(Beats *b, const NewsOut *o);

/* Datagrams of news sent so far. */
int64_t beats_told(const Beats *b);

#endif
