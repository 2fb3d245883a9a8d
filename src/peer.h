/*
 * peer - heartbeats between entry VMs, as XDR datagrams.
 *
 * A heartbeat tells that its VM lives, whether it leaves, and what its
 * callers ask of each service.  Lost ones do not matter: the next tells all.
 * Datagrams of news come by the same socket.
 */
#ifndef MIMOSA_PEER_H
#define MIMOSA_PEER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "evl.h"
#include "limits.h"
#include "news.h"
#include "ups.h"

#define PEER_SERVICES_MAX 32
#define PEER_OBJECTS_MAX 30
#define PEER_CRASHES_MAX 6
#define PEER_SEEN_MAX 24
#define PEER_BYTES_MAX 1400 /* fits one packet on common links */

typedef struct PeerNeed {
    uint64_t service; /* hash of the name */
    double slots;
} PeerNeed;

typedef struct PeerObject {
    int need; /* index of its service in needs */
    uint64_t object;
    double weight;
} PeerObject;

/* A request that was in flight when an upstream crashed. */
typedef struct PeerCrash {
    uint64_t print;
    uint64_t id;
} PeerCrash;

typedef struct PeerBeat {
    char vm[NAME_BYTES];
    uint64_t boot_ms;
    bool leaving;
    int64_t sent_us; /* steady time of the sender */
    int64_t echo_us; /* sent_us of the last heartbeat from the receiver; 0:
                        none */
    int64_t held_us; /* since that one came */
    int n_needs;
    PeerNeed needs[PEER_SERVICES_MAX];
    int n_crashes;
    PeerCrash crashes[PEER_CRASHES_MAX];
    int n_objects;
    PeerObject objects[PEER_OBJECTS_MAX];
    int n_seen;
    UpsSeen seen[PEER_SEEN_MAX]; /* since the last heartbeat */
} PeerBeat;

/* Returns the length, or 0 when cap is too small. */
size_t peer_encode(const PeerBeat *b, char *out, size_t cap);
/* Errors: ERR_PROTOCOL. */
bool peer_decode(PeerBeat *b, const char *p, size_t n, Err *e);

typedef struct PeerFns {
    void (*beat)(void *ctx, const PeerBeat *b, int64_t now_us);
    void (*news)(void *ctx, const News *w, int64_t now_us);
} PeerFns;

typedef struct Peer Peer;

/* Errors: ERR_IO when the address cannot be bound. */
Peer *peer_new(Evl *loop, const struct sockaddr_in *at, const PeerFns *fns,
               void *ctx, Err *e);
void peer_free(Peer *p);
void peer_send(Peer *p, const struct sockaddr_in *to, const char *data,
               size_t n);

/* Datagrams that could not be read. */
int64_t peer_bad(const Peer *p);

#endif
