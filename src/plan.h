/*
 * plan - which upstream serves which object (see pick.h).
 *
 * Designed for sticky work on upstreams with few slots.  Rendezvous hashing
 * alone gives some upstreams several times the work of others, and requests
 * are refused while slots are free elsewhere.  The plan is consistent hashing
 * with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2016) over rendezvous
 * ranks: an object is assigned to the best of its upstreams that is not yet
 * full.  It is a function of the tracked objects and the upstreams only, so
 * that VMs with the same data compute the same plan.  The module does no I/O
 * and reads no clock.
 *
 * A scope is a set of upstreams that share the objects of a service: those of
 * one region, or those of all regions.  A scope is planned when it is queried.
 */
#ifndef MIMOSA_PLAN_H
#define MIMOSA_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "ranks.h"
#include "ups.h"

#define PLAN_ALL_REGIONS RANKS_ANY_REGION
/* Maximum number of objects tracked per service, each with its ranked
 * upstreams. */
#define PLAN_OBJECTS_MAX 8192
/* Maximum number of objects of a service for which a plan is made.  More
 * objects are spread evenly enough by hashing alone, and VMs could not send
 * each other all of them before the plan changes again: with 1,000 objects on
 * 82 VMs, objects kept moving and were served cold for ten seconds. */
#define PLAN_PLACED_MAX 512

typedef struct Plan Plan;

Plan *plan_new(int n_regions);
void plan_free(Plan *p);

/* Adds or refreshes an object named by a caller or by another VM.  weight:
 * slots that it needs.  Returns true if the object is new, false if it was
 * already tracked or PLAN_OBJECTS_MAX is reached. */
bool plan_add(Plan *p, uint64_t service, uint64_t object, double weight,
              int64_t now_us);

/* Checks for changes, at most once per PLAN_STEP_US, and expires unused
 * objects.  Scopes that changed are planned again by the next query.  set is
 * borrowed until the next call. */
#define PLAN_STEP_US 250000
void plan_step(Plan *p, const UpsSet *set, int64_t now_us);

/* Returns the upstream assigned to an object (borrowed), or NULL if the object
 * is not tracked or has none.  scope: a region, or PLAN_ALL_REGIONS. */
Ups *plan_owner(Plan *p, uint64_t service, int scope, uint64_t object);

/* Returns the ranked upstreams of an object, or NULL if it is not tracked. */
const Ranks *plan_ranks(Plan *p, const UpsSet *set, uint64_t service,
                        int scope, uint64_t object);

typedef struct PlanUpdate {
    uint64_t service;
    uint64_t object;
    double weight;
} PlanUpdate;

/* Lists objects to send to other VMs: each new object once, so that it
 * spreads by gossip, and a few older ones in turn for VMs that started later.
 * Returns their number. */
int plan_updates(Plan *p, PlanUpdate *out, int max);

#endif
