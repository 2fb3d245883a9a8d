/*
 * ranks - ranked upstreams of an object, updated incrementally.
 *
 * Designed for fleets of thousands of upstreams, where ranking all of them
 * for each request or at each change would use too much CPU time.  A list
 * holds the exact best upstreams of a service in a region by weighted
 * rendezvous hashing.  An upstream that joins costs one hash for each list;
 * one that leaves costs nothing until a list has lost half of its entries.
 * The module does no I/O and reads no clock.
 */
#ifndef MIMOSA_RANKS_H
#define MIMOSA_RANKS_H

#include <stdbool.h>
#include <stdint.h>

#include "ups.h"

#define RANKS_KEPT 12 /* entries of a list */
#define RANKS_ANY_REGION (-1)

typedef struct RanksEntry {
    Ups *u; /* referenced */
    double score;
    uint64_t join_seq; /* u->join_seq when it was ranked */
} RanksEntry;

typedef struct Ranks {
    RanksEntry at[RANKS_KEPT]; /* best first */
    int n;
    bool complete;          /* the list has every upstream of the scope */
    uint64_t joins_applied; /* n_joined of the UpsList at the last update */
    uint64_t version;       /* ups_version() at the last update */
    /* Cached threshold for one number of slots: an upstream with a lower unit
     * hash ranks after the last entry.  0: not computed. */
    double cutoff;
    int cutoff_slots; /* number of slots that the threshold is for */
} Ranks;

/* Scope of a list; must be the same in all calls on that list. */
typedef struct RanksScope {
    const UpsSet *set;
    uint64_t service;
    int region;
    uint64_t object;
} RanksScope;

/* Updates a list; a zeroed list is filled.  Draining upstreams are listed,
 * those in state UPS_GONE are removed. */
void ranks_update(Ranks *r, const RanksScope *s);

/* Releases all references and zeroes the list. */
void ranks_clear(Ranks *r);

#endif
