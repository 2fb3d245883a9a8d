/*
 * plan - which upstream serves which object.
 *
 * Load it answers: sticky work on upstreams with few slots.  Rendezvous
 * hashing alone gives some upstreams several times the work of others, and
 * requests are refused while slots are free elsewhere.  The plan is
 * consistent hashing with bounded loads (Mirrokni, Thorup, Zadimoghaddam
 * 2016) over rendezvous ranks: an object goes to the best of its upstreams
 * that is not yet full.  It is a function of the known objects and upstreams
 * only, so that VMs which know the same plan the same.  Pure.
 *
 * A scope is a set of upstreams that share the objects of a service: those of
 * one region, or all of them.  Only scopes that are asked for are planned.
 */
#ifndef MIMOSA_PLAN_H
#define MIMOSA_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "ranks.h"
#include "ups.h"

#define PLAN_ALL_REGIONS RANKS_ANY_REGION
/* Objects of one service that are known, with their ranked upstreams. */
#define PLAN_OBJECTS_MAX 8192
/* Objects of one service up to which they are placed.  With more of them
 * hashing alone spreads evenly enough, and VMs would not learn all of them
 * from each other before the plan has moved on: with 1,000 objects on 82 VMs
 * objects were moved, and ran cold, for ten seconds. */
#define PLAN_PLACED_MAX 512

typedef struct Plan Plan;

Plan *plan_new(int n_regions);
void plan_free(Plan *p);

/* Learns an object, from a caller or another VM.  weight: slots that it
 * needs.  Returns true when it was not known. */
bool plan_add(Plan *p, uint64_t service, uint64_t object, double weight,
              int64_t now_us);

/* Sees what has changed, at most once per PLAN_STEP_US; the plan is made
 * again when it is asked for.  set is borrowed until the next call. */
#define PLAN_STEP_US 250000
void plan_step(Plan *p, const UpsSet *set, int64_t now_us);

/* The object's upstream, or NULL when it is not known or not placed. */
Ups *plan_owner(Plan *p, uint64_t service, int scope, uint64_t object);

/* The object's upstreams by rank, or NULL when it is not known. */
const Ranks *plan_ranks(Plan *p, const UpsSet *set, uint64_t service,
                        int scope, uint64_t object);

typedef struct PlanUpdate {
    uint64_t service;
    uint64_t object;
    double weight;
} PlanUpdate;

/* Objects to tell some other VMs: each once when it was learned, so that the
 * news spreads, and a few known ones in turn for VMs that started since.
 * Returns the count. */
int plan_updates(Plan *p, PlanUpdate *out, int max);

#endif
