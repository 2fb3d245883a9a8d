/*
 * adm - admission control of one service: a queue ordered by rank and
 * deadline, kept by the VM that owns slots of the service.
 *
 * No I/O and no clock of its own: the caller passes the time.  A request that
 * cannot finish by its deadline is not started.  Each rank has a floor, a
 * guaranteed share of slot-time over a sliding window.  When all floors are
 * met, the most urgent rank (rank 0) is served first, and within a rank the
 * earliest deadline.  Times are in microseconds.
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
    double floor[RANKS_MAX]; /* guaranteed share of slot-time; sum <= 1 */
    int64_t window_us;       /* window over which the floors hold */
    size_t queue_max;
} AdmOpts;

typedef struct AdmReq {
    uint64_t id; /* unique among queued requests */
    int rank;
    int64_t deadline_us;
    int64_t arrival_us;
    bool alone; /* suspected of crashing targets: needs an idle target */
    int avoid;  /* target id not to use, or -1 */
} AdmReq;

typedef enum AdmReason {
    ADM_OK,
    ADM_LATE,        /* the deadline has passed */
    ADM_NO_TIME,     /* cannot finish by its deadline */
    ADM_NO_CAPACITY, /* the service has no usable slot */
    ADM_QUEUE_FULL,
    ADM_EVICTED /* removed from a full queue for another request */
} AdmReason;

/* State of the owner's slots at the time of a decision. */
typedef struct AdmLoad {
    int usable;             /* usable slots */
    int64_t service_us;     /* mean service time */
    int64_t service_p90_us; /* 90th percentile of the service time */
} AdmLoad;

Adm *adm_new(const AdmOpts *o);
void adm_free(Adm *a);
void adm_set_floors(Adm *a, const double *floor, int n_ranks);

/*
 * Offers a request.  ADM_OK: the request is queued, and adm_next() may return
 * it at once.  Any other reason: the request is refused and was not run.
 * *has_evicted tells whether a queued request was evicted to make space; if
 * so, it is copied to *evicted.
 */
AdmReason adm_offer(Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us,
                    AdmReq *evicted, bool *has_evicted);

/* Called for each queued request that can no longer finish in time. */
typedef void (*AdmDrop)(void *ctx, const AdmReq *r, AdmReason why);

/*
 * Removes the request to start next from the queue; call it when a slot is
 * free.  Queued requests found unable to finish in time are removed and
 * passed to drop.  With skip_alone, requests that need an idle target stay
 * queued.  Returns false when no request can be started.
 */
bool adm_next(Adm *a, const AdmLoad *l, bool skip_alone, int64_t now_us,
              AdmDrop drop, void *ctx, AdmReq *out);

/* Queues a request from adm_next() again, when no target could take it. */
void adm_requeue(Adm *a, const AdmReq *r);

/* Removes a queued request.  Returns false when id is not queued. */
bool adm_cancel(Adm *a, uint64_t id);

/*
 * Account the start and the end of a request for the floors.  service_us is
 * the measured service time; 0 when there is none.
 */
void adm_started(Adm *a, int rank, int64_t now_us);
void adm_ended(Adm *a, int rank, int64_t service_us, int64_t now_us);

/* Number of queued requests of a rank; 0 for an invalid rank. */
size_t adm_waiting(const Adm *a, int rank);
/* Share of a rank in the slot-time used over the window, 0 to 1. */
double adm_share(const Adm *a, int rank, int64_t now_us);

const char *adm_reason_name(AdmReason r);

#endif
