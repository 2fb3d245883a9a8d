/*
 * gossipfrag - gossip messages that do not fit one datagram, compressed and
 * sent as fragments.
 *
 * Such messages arise when hundreds of upstreams start, shut down or drain at
 * once, and from configurations with many routes.  Without fragments each of
 * the dozens of VMs of a zone would ask the store.  A receiver that misses a
 * fragment cannot use the message.  The checksum of the message (gossip) is
 * verified once it is complete.
 *
 * The age of the message is inside the compressed part.  Fragments may wait
 * before they are sent, so each carries the time for which it has waited.
 */
#ifndef MIMOSA_GOSSIPFRAG_H
#define MIMOSA_GOSSIPFRAG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "gossip.h"

#define GOSSIPFRAG_MAX 256 /* fragments of one message */

/* Splits a message.  id: distinguishes it from all other messages that nearby
 * VMs receive.  Returns an array of GBytes, one for each datagram, or NULL if
 * the message is too large. */
GPtrArray *gossipfrag_split(const GossipOut *o, uint64_t id);

/* Returns true if the datagram is a fragment of a gossip message. */
bool gossipfrag_is(const char *p, size_t n);

/* Reads the sender of a fragment.  Returns false if it is malformed. */
bool gossipfrag_sender(const char *p, size_t n, GossipSender *out);

/* Adds the time for which a fragment has waited. */
void gossipfrag_add_wait(char *p, size_t n, int64_t waited_us);

/* Reassembles fragments. */
typedef struct GossipFrag GossipFrag;

GossipFrag *gossipfrag_new(void);
void gossipfrag_free(GossipFrag *s);

/* Number of messages that were given up before they were complete. */
int64_t gossipfrag_incomplete(const GossipFrag *s);

typedef enum GossipFragResult {
    GOSSIPFRAG_MORE,     /* fragments are missing, or the message was complete
                            before this one */
    GOSSIPFRAG_COMPLETE, /* w is set; release with kv_page_clear(&w->page) */
    GOSSIPFRAG_BAD       /* malformed or of another format */
} GossipFragResult;

/* Adds a received fragment.  since_us: the fragment has arrived after it;
 * w->age_us counts from the one of the last fragment. */
GossipFragResult gossipfrag_add(GossipFrag *s, const char *p, size_t n,
                                int64_t since_us, Gossip *w);

#endif
