/*
 * adm - admission of one service at an owner: queue by rank and deadline.
 *
 * Pure.  Starts nothing that cannot finish by its deadline; keeps the floor
 * of each rank (share of slot-time over a sliding window); else serves the
 * highest rank first, earliest deadline first within a rank.
 */
#ifndef MIMOSA_ADM_H
#define MIMOSA_ADM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "limits.h"

typedef struct Adm Adm;

typedef struct AdmOpts {
    int n_ranks;
    double floor[RANKS_MAX]; /* share of slot-time, sum <= 1 */
    int64_t window_us;       /* of the floors */
    size_t queue_max;
} AdmOpts;

typedef struct AdmReq {
    uint64_t id; /* unique among waiting requests */
    int rank;
    int64_t deadline_us;
    int64_t arrival_us;
    bool alone; /* a crash suspect: needs an idle target */
    int avoid;  /* target not to use, or -1 */
} AdmReq;

typedef enum AdmReason {
    ADM_OK,
    ADM_LATE,        /* the deadline has passed */
    ADM_NO_TIME,     /* cannot finish by its deadline */
    ADM_NO_CAPACITY, /* no usable slot at all */
    ADM_QUEUE_FULL,
    ADM_EVICTED /* made room for a more urgent request */
} AdmReason;

/* What the owner knows of its slots at the time of a decision. */
typedef struct AdmLoad {
    int usable;         /* usable slots */
    int64_t service_us; /* mean service time */
    int64_t service_p90_us;
} AdmLoad;

Adm *adm_new(const AdmOpts *o);
void adm_free(Adm *a);
void adm_set_floors(Adm *a, const double *floor, int n_ranks);

/*
 * Offers a request.  ADM_OK: it waits (adm_next() may return it at once).
 * Any other reason: refused, not run.  When a waiting request is evicted in
 * its favour, *evicted is filled and *has_evicted is set.
 */
AdmReason adm_offer(Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us,
                    AdmReq *evicted, bool *has_evicted);

/* Called for each waiting request that can no longer finish in time. */
typedef void (*AdmDrop)(void *ctx, const AdmReq *r, AdmReason why);

/*
 * Takes the request to start next when a slot is free; drops hopeless ones
 * on the way.  skip_alone leaves requests that need an idle target waiting.
 * Returns false when none waits.
 */
bool adm_next(Adm *a, const AdmLoad *l, bool skip_alone, int64_t now_us,
              AdmDrop drop, void *ctx, AdmReq *out);

/* Puts back a request that adm_next() gave and that found no target. */
void adm_requeue(Adm *a, const AdmReq *r);

/* Removes a waiting request.  Returns false when it does not wait. */
bool adm_cancel(Adm *a, uint64_t id);

/* Accounts a start and an end for the floors. */
void adm_started(Adm *a, int rank, int64_t now_us);
void adm_ended(Adm *a, int rank, int64_t service_us, int64_t now_us);

size_t adm_waiting(const Adm *a, int rank);
double adm_share(const Adm *a, int rank, int64_t now_us);

const char *adm_reason_name(AdmReason r);

#endif
