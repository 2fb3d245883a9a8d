/*
 * gossipsend - the datagrams of a gossip message, and the rate at which those
 * of large messages are sent.
 *
 * A message that does not fit one datagram is sent in fragments (gossipfrag).
 * If it holds large items, such as a configuration, the small ones are sent
 * before in datagrams of their own: whether an upstream leaves must not depend
 * on the arrival of all fragments.  The last datagram shows receivers that
 * lack a fragment that they have to ask the store.
 *
 * Fragments for many VMs would fill the queue of a slow link, which drops the
 * rest and delays requests.  They are sent at a part of the link's rate.  The
 * time for which a datagram has waited is added to the age that it carries.
 */
#ifndef MIMOSA_GOSSIPSEND_H
#define MIMOSA_GOSSIPSEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "gossip.h"

/* GBytes, one for each datagram.  They are sent in this order. */
typedef struct GossipDatagrams {
    GPtrArray *urgent; /* at once */
    GPtrArray *paced;  /* at the rate for large messages */
} GossipDatagrams;

/* id: distinguishes the message from all others that nearby VMs receive. */
GossipDatagrams gossipsend_datagrams(const GossipOut *o, uint64_t id);
void gossipsend_clear(GossipDatagrams *d);

#define GOSSIPSEND_STEP_US                                                    \
    5000 /* between steps of a pacer that is not empty */

/* Datagrams that wait to be sent. */
typedef struct Pacer Pacer;

/* send: sends a datagram to a receiver; ctx: its context.  link_mbps: rate of
 * the link. */
typedef void (*PacerFn)(void *ctx, const void *to, const char *data, size_t n);
Pacer *pacer_new(double link_mbps, PacerFn send, void *ctx);
void pacer_free(Pacer *p);

/* Appends a datagram.  to_size: bytes at "to", which are copied.  since_us:
 * time at which the age in the datagram was true.  Returns false if it is
 * dropped, as too many bytes wait. */
bool pacer_add(Pacer *p, const void *to, size_t to_size, GBytes *datagram,
               int64_t since_us);

/* Sends what the rate allows; to be called every GOSSIPSEND_STEP_US.  Returns
 * true while datagrams wait. */
bool pacer_step(Pacer *p, int64_t now_us);

bool pacer_is_empty(const Pacer *p);

#endif
