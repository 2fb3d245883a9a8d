/*
 * split - which share of a region's requests runs in which region.
 *
 * Load it answers: regions whose demand is over their capacity, all the time
 * or for a while (bursts, callers that move, zones that drain).  Each region
 * keeps what it can carry and sends the rest where there is room.  Shares move
 * at a bounded rate, so that the cap on shifts holds also when demand jumps.
 * All VMs compute the same from the same figures; no one coordinates.
 */
#ifndef MIMOSA_SPLIT_H
#define MIMOSA_SPLIT_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

typedef struct Split {
    int n;                                  /* regions */
    double share[REGIONS_MAX][REGIONS_MAX]; /* [from][to]; rows sum to 1 */
    int64_t at_us;                          /* last step; 0: never */
} Split;

typedef struct SplitIn {
    int n;
    double capacity[REGIONS_MAX]; /* slots that may be used */
    double demand[REGIONS_MAX];   /* slots that its callers need */
    double max_shift_per_s;       /* of a row's requests */
} SplitIn;

/* Moves the shares towards what the figures ask for.  The first call sets
 * them at once, and so does a region whose capacity is gone. */
void split_step(Split *s, const SplitIn *in, int64_t now_us);

/* Region for an object, by a hash in [0, 1).  The same object keeps its
 * region unless the shares move past it. */
int split_region(const Split *s, int from, double unit);

#endif
