/*
 * gossipfrag - news of the store that do not fit one datagram, compressed and
 * sent in several.
 *
 * Load it answers: hundreds of upstreams that start, leave or drain at once,
 * and configurations of many routes, in zones with dozens of VMs.  Without it
 * each of them would ask the store.  A receiver that misses a part has nothing
 * and watches the store itself when its pause ends.
 */
#ifndef MIMOSA_GOSSIPFRAG_H
#define MIMOSA_GOSSIPFRAG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "gossip.h"

#define GOSSIPFRAG_MAX 64 /* datagrams of one piece of news */

/* id: tells this piece from all others near by.  Returns GBytes, one for each
 * datagram, or NULL when there is too much to tell. */
GPtrArray *gossipfrag_split(const GossipOut *o, uint64_t id);

bool gossipfrag_is(const char *p, size_t n);

/* Puts parts together. */
typedef struct GossipFrag GossipFrag;

GossipFrag *gossipfrag_new(void);
void gossipfrag_free(GossipFrag *s);

typedef enum GossipFragResult {
    GOSSIPFRAG_MORE,     /* other parts are missing, or it came twice */
    GOSSIPFRAG_COMPLETE, /* w is set; release with kv_page_clear(&w->page) */
    GOSSIPFRAG_BAD       /* not ours */
} GossipFragResult;

GossipFragResult gossipfrag_add(GossipFrag *s, const char *p, size_t n,
                                Gossip *w);

#endif
