/*
 * placement - target shares of traffic, from capacity, health, drains, links
 * and cost.
 *
 * The home zone of traffic is the zone in which it originates.  The row of a
 * home zone holds the share of its traffic that each zone serves.
 *
 * Deterministic, without I/O or clock: the same inputs give the same rows on
 * every VM.
 */
#ifndef MIMOSA_PLACEMENT_H
#define MIMOSA_PLACEMENT_H

#include <stdbool.h>

#include "manifest.h"

typedef struct PlacementZone {
    bool up;       /* has a live entry VM and is reachable */
    double slots;  /* usable slots of the service; 0 when none */
    double demand; /* demand that originates in the zone, in busy slots */
} PlacementZone;

typedef struct PlacementIn {
    const Manifest *manifest;
    int service;
    const PlacementZone *zones; /* m->n_zones */
    double utilisation_max;     /* maximum planned fraction of the slots and of
                                   the capacity of links, 0.85 */
    double bytes_per_slot_s; /* link bytes/s of one busy slot; 0: no limit */
} PlacementIn;

/*
 * Fills want[h * n_zones + z] with the share of home h that zone z serves.  A
 * zone that is up and not draining keeps its own traffic as far as its slots
 * allow; the rest goes to zones of the same region, then to others by cost and
 * latency, never beyond a zone's planned slots or a link's limit.  Traffic
 * that fits nowhere stays in its home zone, where admission refuses it.  Each
 * row sums to 1.
 */
void placement_rows(const PlacementIn *in, double *want);

/*
 * Limits the moves from the current rows (now, laid out like want) to the
 * slots that are free in each zone at present.  Rows take effect at different
 * times, so that one row could fill a zone before another has moved out of it.
 * To be called after placement_rows(), once per second while rows change.
 */
void placement_limit_moves(const PlacementIn *in, const double *now,
                           double *want);

#endif
