/*
 * gossip - changes of the store, told by the VM that read them to VMs near by,
 * as XDR datagrams.
 *
 * Each call to the store is priced.  A VM that hears in time what a watch has
 * brought puts its own watch off, so that one VM of a zone or region watches
 * for all.  Nobody is chosen for that: the VM whose watch answered last
 * watches again soonest, and the others are next when its news stay away.  The
 * suppression is that of Trickle (RFC 6206).  Pure.
 */
#ifndef MIMOSA_GOSSIP_H
#define MIMOSA_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "kv.h"

#define GOSSIP_BYTES_MAX 1200 /* fits one packet on common links */
#define GOSSIP_WHOLE_BYTES_MAX                                                \
    (512 * 1024) /* of news in several datagrams                              \
                  */

/* All changes that matter after revision "from", up to page.rev.  Without
 * items and with both the same: nothing has changed since that revision. */
typedef struct Gossip {
    int feed; /* index of the watch */
    uint64_t from;
    KvPage page; /* cleared with kv_page_clear() */
} Gossip;

/* What a VM is to tell; items: all changes that matter. */
typedef struct GossipOut {
    int feed;
    uint64_t from;
    uint64_t to;
    const KvItem *const *items;
    int n;
} GossipOut;

/*
 * Writes the datagram.  Where not all items fit it tells a gap, and the
 * receivers ask the store themselves.  Returns the length; 0: cap is too
 * small for either.
 */
size_t gossip_encode(const GossipOut *o, char *out, size_t cap);

/* True when all items fit one datagram. */
bool gossip_fits(const GossipOut *o);

/* The same for news of any size, to travel in parts (newsparts); NULL: there
 * is too much to tell. */
GByteArray *gossip_encode_whole(const GossipOut *o);
bool gossip_decode_whole(Gossip *w, GByteArray *bytes, Err *e);

/* True when the datagram is news and not a heartbeat. */
bool gossip_is(const char *p, size_t n);

/* Errors: ERR_PROTOCOL. */
bool gossip_decode(Gossip *w, const char *p, size_t n, Err *e);

typedef enum GossipOrder {
    GOSSIP_OLD,    /* more than that is known */
    GOSSIP_NEXT,   /* follows what is known, or confirms it */
    GOSSIP_MISSING /* something before it is missing: ask the store */
} GossipOrder;

/* rev: revision up to which the VM knows all changes. */
GossipOrder gossip_order(uint64_t rev, uint64_t from, uint64_t to);

/* Times of a watch, from the time in which a change has to be known. */
typedef struct GossipTimes {
    int64_t wait_us;    /* that the store holds a watch without events */
    int64_t timeout_us; /* of the call */
} GossipTimes;

GossipTimes gossip_times(int64_t notice_us);

/* Pause before the next watch; heard: the last answer came as news; dice:
 * [0, 1). */
int64_t gossip_pause_us(int64_t notice_us, bool heard, double dice);

/* True when what a watch answered is fresh enough to tell.  took_us: time
 * since the call began, on the clock that counts while a machine is
 * suspended; calm_us: time since a call failed. */
bool gossip_is_fresh(int64_t notice_us, int64_t took_us, int64_t calm_us);

#endif
