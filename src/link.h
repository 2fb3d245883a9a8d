/*
 * link - token bucket for the bytes that this VM sends from a region to
 * another.
 */
#ifndef MIMOSA_LINK_H
#define MIMOSA_LINK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Link {
    double rate;     /* bytes per us that this VM may send */
    double burst;    /* capacity of the bucket in bytes */
    double tokens;   /* bytes; negative after a large request */
    double reserved; /* bytes taken and not yet settled */
    int64_t at_us;   /* time of the last refill */
} Link;

/* The rate is mbit (in Mbit/s) divided by parts, the number of VMs that share
 * the link: zones of the region times VMs in the zone. */
void link_init(Link *l, double mbit, int parts, int64_t now_us);
void link_set_parts(Link *l, double mbit, int parts, int64_t now_us);

/* Takes tokens for the expected bytes of a request.  Returns false when there
 * are too few; the request must not be started then. */
bool link_take(Link *l, double bytes, int64_t now_us);

/* Replaces the bytes taken for a request by those that were sent. */
void link_settle(Link *l, double taken, double sent, int64_t now_us);

#endif
