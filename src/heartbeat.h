/*
 * heartbeat - what this VM tells the others, and what it hears from them.
 *
 * A heartbeat goes to a few VMs only, so that the bytes of a VM do not grow
 * with the fleet.  News of the store go to all VMs of the zone, and in a
 * small region to all of the region, since each of them would call the store
 * otherwise.
 */
#ifndef MIMOSA_HEARTBEAT_H
#define MIMOSA_HEARTBEAT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "crash.h"
#include "demand.h"
#include "dlog.h"
#include "gossip.h"
#include "peer.h"
#include "plan.h"
#include "vml.h"

typedef struct HeartbeatsOpts {
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
} HeartbeatsOpts;

typedef struct Heartbeats Heartbeats;

Heartbeats *heartbeat_new(const HeartbeatsOpts *o);
void heartbeat_free(Heartbeats *b);

/* Sends heartbeats to some VMs. */
void heartbeat_send(Heartbeats *b, bool leaving, int64_t now_us);

/* Takes a heartbeat of another VM. */
void heartbeat_receive(Heartbeats *b, const PeerHeartbeat *in, int64_t now_us);

/* Tells changes of the store to the VMs near by. */
void heartbeat_send_gossip(Heartbeats *b, const GossipOut *o);

/* Datagrams of news sent so far. */
int64_t heartbeat_gossip_sent(const Heartbeats *b);

#endif
