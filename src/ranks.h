/*
 * ranks - the upstreams that an object prefers, kept while upstreams come and
 * go.
 *
 * Load it answers: fleets of thousands of upstreams, where ranking all of
 * them for each request or at each change would take the processor.  A list
 * holds the exact best of a service in a region by weighted rendezvous
 * hashing.  An upstream that joins costs one hash for each list, one that
 * leaves costs nothing until a list has lost half of its places.  Pure.
 */
#ifndef MIMOSA_RANKS_H
#define MIMOSA_RANKS_H

#include <stdbool.h>
#include <stdint.h>

#include "ups.h"

#define RANKS_KEPT 12
#define RANKS_ANY_REGION (-1)

typedef struct RanksEntry {
    Ups *u; /* referenced */
    double score;
    uint64_t join; /* of the upstream when it was ranked */
} RanksEntry;

typedef struct Ranks {
    RanksEntry at[RANKS_KEPT]; /* best first */
    int n;
    bool complete;          /* no upstream of the scope is left out */
    uint64_t joins_applied; /* joins of the service's list that are taken in */
    uint64_t version;       /* of the set at the last update */
    double cutoff;    /* unit hashes up to it rank below the last entry ... */
    int cutoff_slots; /* ... for an upstream of so many slots */
} Ranks;

/* Scope of a list; the same in all calls on it. */
typedef struct RanksScope {
    const UpsSet *set;
    uint64_t service;
    int region;
    uint64_t object;
} RanksScope;

/* Brings a list up to date; a zeroed one is filled.  Draining upstreams stay
 * in it, those that are gone do not. */
void ranks_update(Ranks *r, const RanksScope *s);

/* Drops all references; the list is zeroed. */
void ranks_clear(Ranks *r);

#endif
