/*
 * link - token bucket of the bytes this VM may send over a region pair.
 */
#ifndef MIMOSA_LINK_H
#define MIMOSA_LINK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Link {
    double rate;  /* bytes per us that this VM may send */
    double burst; /* bytes */
    double tokens;
    double reserved; /* bytes of work that was started, not yet sent */
    int64_t at_us;
} Link;

/* A part of a link: mbit / zones of the region / VMs in the zone. */
void link_init(Link *l, double mbit, int parts, int64_t now_us);
void link_set_parts(Link *l, double mbit, int parts, int64_t now_us);

/* Takes tokens for expected bytes, or refuses (work is not started). */
bool link_take(Link *l, double bytes, int64_t now_us);

/* Settles the bytes that were really sent against those taken. */
void link_settle(Link *l, double taken, double sent, int64_t now_us);

#endif
