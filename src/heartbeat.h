/*
 * heartbeat - sends heartbeats and gossip to other VMs, and applies the
 * heartbeats received from them.
 *
 * A heartbeat goes to a few VMs only, so that the traffic of a VM does not
 * grow with the fleet; only attempts that got no answer are reported to all
 * VMs of the region.  Gossip goes to all VMs of the zone, or of the region if
 * it is small, since each of them would otherwise call the store.
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
    const char *vm_id; /* this VM's id; borrowed */
    int zone;
    int region;
    uint64_t boot_ms;   /* wall time of this VM's start */
    int64_t started_us; /* the same on the clock of heartbeats */
} HeartbeatsOpts;

typedef struct Heartbeats Heartbeats;

Heartbeats *heartbeat_new(const HeartbeatsOpts *o);
void heartbeat_free(Heartbeats *b);

/* Set what heartbeats say about the history of the store and the configuration
 * in force; see PeerHeartbeat. */
void heartbeat_set_history(Heartbeats *b, uint64_t history);
void heartbeat_set_config(Heartbeats *b, uint64_t rev, uint64_t version);

/* Sends heartbeats to a few VMs.  leaving: this VM is shutting down. */
void heartbeat_send(Heartbeats *b, bool leaving, int64_t now_us);

/* Applies a heartbeat received from another VM.  Returns false if it is
 * ignored, as the list of VMs does not hold its sender, or a later start of
 * it. */
bool heartbeat_receive(Heartbeats *b, const PeerHeartbeat *in, int64_t now_us);

/* Sends a message about crashes to a VM.  vm: index in the list of VMs. */
void heartbeat_send_crashes(Heartbeats *b, int vm, const CrashMsg *m);

/* Sends changes of the store to nearby VMs. */
void heartbeat_send_gossip(Heartbeats *b, const GossipOut *changes);

/* Returns true if gossip of that sender may be applied: the list of VMs holds
 * it with that start.  Else counts it, and logs it at most once a second. */
bool heartbeat_accepts(Heartbeats *b, const GossipSender *from,
                       int64_t now_us);

/* Returns the age at since_us of what the sender of a message knew, with the
 * time that the message was on its way.  Asks the sender for an echo while
 * nothing is known of its clock; the age is then unlimited. */
int64_t heartbeat_gossip_age(Heartbeats *b, const Gossip *msg,
                             int64_t since_us, int64_t now_us);

/* Number of gossip datagrams that were not applied because of their sender. */
int64_t heartbeat_gossip_ignored(const Heartbeats *b);

/* Number of gossip datagrams sent so far. */
int64_t heartbeat_gossip_sent(const Heartbeats *b);

#endif
