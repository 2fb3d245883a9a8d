/*
 * split - shares of each region's requests that are served in each region.
 *
 * Designed for regions whose demand exceeds their capacity, permanently or
 * for a while (bursts, callers that move, zones that drain).  Each region
 * serves what its capacity allows and sends the rest to regions with spare
 * capacity.  Shares change at a bounded rate, so that the cap on shifts also
 * holds when demand jumps.  The result depends on the input alone: all VMs
 * compute the same shares from the same data, without coordination.
 */
#ifndef MIMOSA_SPLIT_H
#define MIMOSA_SPLIT_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

typedef struct Split {
    int n;                                  /* regions */
    double share[REGIONS_MAX][REGIONS_MAX]; /* [from][to]; rows sum to 1 */
    int64_t at_us; /* time of the last step; 0: none */
} Split;

typedef struct SplitIn {
    int n;
    double capacity[REGIONS_MAX]; /* usable slots */
    double demand[REGIONS_MAX];   /* slots that its callers need */
    double max_shift_per_s; /* share of a row's requests moved per second */
    bool unused;            /* no request has used the shares yet */
} SplitIn;

/* Moves the shares towards the target computed from the input.  The first call
 * sets them at once, and so do further calls while the shares are unused: at
 * the start of a VM its list of upstreams and the demand that it knows are
 * incomplete.  A region without capacity loses its shares at once. */
void split_step(Split *s, const SplitIn *in, int64_t now_us);

/* Returns the region for an object with this hash in [0, 1).  An object keeps
 * its region unless a boundary between shares moves across its hash. */
int split_region(const Split *s, int from, double unit);

#endif
