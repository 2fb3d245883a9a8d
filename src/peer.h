/*
 * peer - heartbeats between entry VMs, as XDR datagrams.
 *
 * A heartbeat says that its VM is alive, whether it is shutting down, and the
 * demand of its callers for each service, and
 * which configuration is in force there.  If it is lost, the next one reports
 * all of these again.  It also carries the observations of upstreams since the
 * last one, which are lost with it, and some objects (plan), which later
 * heartbeats repeat.  Gossip and messages about crashes use the same socket.
 */
#ifndef MIMOSA_PEER_H
#define MIMOSA_PEER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "crashmsg.h"
#include "dgram.h"
#include "err.h"
#include "evl.h"
#include "limits.h"
#include "gossip.h"
#include "ups.h"

#define PEER_SERVICES_MAX 32
#define PEER_OBJECTS_MAX 30
#define PEER_OBSERVED_MAX 24

typedef struct PeerDemand {
    uint64_t service; /* hash of the name */
    double slots;     /* slots that callers need */
} PeerDemand;

/* An object for the plan that assigns objects to upstreams. */
typedef struct PeerObject {
    int demand_index; /* index of the service in PeerHeartbeat.demands */
    uint64_t object;
    double weight; /* slots that it needs */
} PeerObject;

typedef struct PeerHeartbeat {
    char vm[NAME_BYTES];
    uint64_t boot_ms; /* wall time of the sender's start */
    bool leaving;
    bool wants_echo;     /* the receiver is asked for a heartbeat */
    uint64_t history;    /* of the store, as far as the sender knows */
    uint64_t config_rev; /* revision of that history that brought the sender's
                            configuration in force; 0: none */
    uint64_t config_version;
    int64_t sent_us;       /* steady time of the sender */
    int64_t echo_us;       /* sent_us of the last heartbeat received from the
                              receiver; 0: none */
    int64_t echo_delay_us; /* time since that heartbeat arrived */
    int n_demands;
    PeerDemand demands[PEER_SERVICES_MAX];
    int n_objects;
    PeerObject objects[PEER_OBJECTS_MAX];
    int n_observed;
    UpsObservation observations[PEER_OBSERVED_MAX]; /* observations since the
                                                   last heartbeat */
} PeerHeartbeat;

/* Returns the length, or 0 if cap is too small. */
size_t peer_encode(const PeerHeartbeat *b, char *out, size_t cap);
/* Errors: ERR_PROTOCOL. */
bool peer_decode(PeerHeartbeat *b, const char *p, size_t n, Err *e);

typedef struct PeerFns {
    void (*heartbeat)(void *ctx, const PeerHeartbeat *b, int64_t now_us);
    /* Returns true if gossip of that sender may be applied. */
    bool (*accepts)(void *ctx, const GossipSender *from, int64_t now_us);
    void (*gossip)(void *ctx, const Gossip *w, int64_t now_us);
    void (*crashes)(void *ctx, const CrashMsg *m, int64_t now_us);
} PeerFns;

typedef struct Peer Peer;

/* link_mbps: rate of this VM's link.  Errors: ERR_IO when the address cannot
 * be bound. */
Peer *peer_new(Evl *loop, const struct sockaddr_in *at, double link_mbps,
               const PeerFns *fns, void *ctx, Err *e);
void peer_free(Peer *p);
void peer_send(Peer *p, const struct sockaddr_in *to, const char *data,
               size_t n);
/* Sends datagrams of large messages, in order, at a part of the link's rate.
 * since_us: boot time at which the age in the datagram was true. */
void peer_send_paced(Peer *p, const struct sockaddr_in *to, GBytes *datagram,
                     int64_t since_us);
/* True while such datagrams wait. */
bool peer_is_pacing(const Peer *p);

/* Number of datagrams received that could not be decoded. */
int64_t peer_unreadable(const Peer *p);
/* Number of datagrams that were dropped here, or not accepted by the kernel.
 */
int64_t peer_unsent(const Peer *p);
/* Number of gossip messages of which fragments are missing for good. */
int64_t peer_incomplete(const Peer *p);

#endif
