/*
 * placement - wanted shares from capacity, health, drains, links and cost.
 *
 * Pure and deterministic: the same inputs give the same rows on every VM.
 */
#ifndef MIMOSA_PLACEMENT_H
#define MIMOSA_PLACEMENT_H

#include <stdbool.h>

#include "manifest.h"

typedef struct PlacementZone {
    bool up;       /* has a live entry VM and is reachable */
    double slots;  /* usable slots of the service; 0 when none */
    double demand; /* natural demand of the zone in busy slots */
} PlacementZone;

typedef struct PlacementIn {
    const Manifest *m;
    int service;
    const PlacementZone *zones; /* m->n_zones */
    double utilisation_max;  /* part of the slots that may be planned, 0.85 */
    double bytes_per_slot_s; /* link bytes of one busy slot; 0: no limit */
} PlacementIn;

/*
 * Fills want[h * n_zones + z].  A zone that is up and not draining keeps its
 * own traffic as far as its slots carry it; the rest goes to zones of the
 * same region, then to others by cost and latency, never beyond a zone's
 * planned slots nor a link's limit.  What fits nowhere stays with home, where
 * admission refuses it.  Each row sums to 1.
 */
void placement_rows(const PlacementIn *in, double *want);

/*
 * Lowers the moves from the rows in force (laid out as want) to what the free
 * slots of each zone take now: rows arrive at different times, so that a zone
 * could be filled by one while another still moves out of it.  To be called
 * after placement_rows(), again each second while rows move.
 */
void placement_limit_moves(const PlacementIn *in, const double *now,
                           double *want);

#endif
