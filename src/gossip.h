/*
 * gossip - changes of the store, forwarded as XDR datagrams by the VM that
 * read them to nearby VMs.
 *
 * Each call to the store is priced.  A VM that receives the result of another
 * VM's watch in time defers its own watch, so that one VM of a zone or region
 * watches for all.  There is no election: the VM whose watch was answered last
 * has the shortest pause, and the others watch when its gossip fails to
 * arrive.  This is the suppression of Trickle (RFC 6206).  A checksum of the
 * whole message guards against damage on its way, not against forgery.  Pure
 * functions.
 */
#ifndef MIMOSA_GOSSIP_H
#define MIMOSA_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#include "err.h"
#include "kv.h"

#define GOSSIP_BYTES_MAX 1200 /* fits one packet on common links */
#define GOSSIP_LARGE_BYTES_MAX                                                \
    (2 * 1024 * 1024) /* gossip in several datagrams */

/* The start of a VM that sent a message. */
typedef struct GossipSender {
    uint64_t vm;      /* hash of its id, see Vm.key */
    uint64_t boot_ms; /* wall time of the start */
} GossipSender;

/* Encodes or decodes a sender. */
bool_t gossip_xdr_sender(XDR *x, GossipSender *s);

/* A received message: all events after revision "from", up to
 * page.rev.  If both are the same and there are no items, nothing has changed
 * since that revision. */
typedef struct Gossip {
    int feed; /* index of the watched prefix, see MirrorOpts.prefixes */
    uint64_t history; /* of the store, which the revisions belong to; 0: that
                         is not known */
    uint64_t from;
    int64_t age_us;   /* all changes older than this were known to the sender;
                         counts from evl_since() at the arrival of the last
                         datagram */
    int64_t known_us; /* the same as a time of the sender's clock: the age
                         leaves out the way of the datagram */
    KvPage page;      /* cleared with kv_page_clear() */
    GossipSender sender;
} Gossip;

/* A message to send: all events after revision "from", up to
 * revision "to". */
typedef struct GossipOut {
    int feed;
    uint64_t history;
    uint64_t from;
    uint64_t to;
    const KvItem *const *items;
    int n;
    int64_t age_us; /* all changes older than this are in the message, or
                       before "from" */
    GossipSender sender;
    int64_t known_us; /* age_us as a time of the sender's clock */
} GossipOut;

/*
 * Writes a message to one datagram.  If the items do not fit, the datagram
 * only says that revisions are missing, and the receivers ask the store
 * themselves.  Returns the length, or 0 if cap is too small for either.
 */
size_t gossip_encode(const GossipOut *o, char *out, size_t cap);

/* Returns true if all items fit in one datagram. */
bool gossip_fits(const GossipOut *o);

/* Encodes and decodes a message that is sent in fragments (gossipfrag).
 * gossip_encode_large() returns NULL if it exceeds GOSSIP_LARGE_BYTES_MAX or
 * the limit of items. */
GByteArray *gossip_encode_large(const GossipOut *o);
bool gossip_decode_large(Gossip *w, GByteArray *bytes, Err *e);

/* Returns true if the datagram is a whole gossip message, not a fragment of
 * one (gossipfrag) or a heartbeat. */
bool gossip_is(const char *p, size_t n);

/* Errors: ERR_PROTOCOL. */
bool gossip_decode(Gossip *w, const char *p, size_t n, Err *e);

/* Adds the time for which an encoded whole message has waited to its age. */
void gossip_add_age(char *p, size_t n, int64_t waited_us);

typedef enum GossipOrder {
    GOSSIP_OLD,    /* the VM already has later revisions */
    GOSSIP_NEXT,   /* continues or confirms the VM's revision */
    GOSSIP_MISSING /* earlier revisions are missing: ask the store */
} GossipOrder;

/* Compares a message that covers the revisions "from" to "to" with rev, the
 * revision up to which the VM has all changes. */
GossipOrder gossip_order(uint64_t rev, uint64_t from, uint64_t to);

/* Time limits of a watch, derived from the propagation time. */
typedef struct GossipTimes {
    int64_t wait_us;    /* longest wait of the store for an event */
    int64_t timeout_us; /* time limit of the call */
} GossipTimes;

GossipTimes gossip_times(int64_t propagation_us);

/* Returns the pause before the next watch.  by_gossip: the last changes were
 * received from another VM; sample: random number in [0, 1). */
int64_t gossip_pause_us(int64_t propagation_us, bool by_gossip, double sample);

/* Returns the pause before the next watch after gossip.  copy_age_us: all
 * changes older than this are known.  The answer of the watch is due before
 * the copy is as old as the propagation time. */
int64_t gossip_deferral_us(int64_t propagation_us, int64_t copy_age_us,
                           double sample);

/* Returns the pause before a watch after a message that shows missing
 * revisions, which may be on their way. */
int64_t gossip_missing_pause_us(int64_t propagation_us, double sample);

/* Returns how long the store may wait for an event, so that its answer is due
 * before the copy is as old as the propagation time; 0 if it may not. */
int64_t gossip_wait_us(int64_t propagation_us, int64_t copy_age_us);

/* Returns true if the answer of a watch is recent enough to forward.
 * took_us: time since the call began, on a clock that runs while the machine
 * is suspended; since_failure_us: time since the last failed call. */
bool gossip_is_fresh(int64_t propagation_us, int64_t took_us,
                     int64_t since_failure_us);

#endif
