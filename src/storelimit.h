/*
 * storelimit - limits the calls of one node to the store: a token bucket for
 * the rate, and a backoff after failed calls.
 */
#ifndef MIMOSA_STORELIMIT_H
#define MIMOSA_STORELIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef struct StoreLimit {
    double rate;           /* calls per second */
    double burst;          /* capacity of the bucket, calls */
    double tokens;         /* calls left at at_us */
    int64_t at_us;         /* time of the last refill */
    int fails;             /* consecutive failed calls */
    int64_t not_before_us; /* end of the backoff */
    uint64_t calls;        /* allowed calls */
    uint64_t refused;      /* calls that the limits did not allow */
} StoreLimit;

void storelimit_init(StoreLimit *q, double rate, double burst, int64_t now_us);

/* Takes the token of one call.  Returns false without a token or during the
 * backoff, and then sets *retry_us, unless retry_us is NULL, to the time of
 * the next attempt. */
bool storelimit_take(StoreLimit *q, int64_t now_us, int64_t *retry_us);

/* Returns the tokens left at now_us, a number of calls. */
double storelimit_left(const StoreLimit *q, int64_t now_us);

/* Record the outcome of a call.  The backoff doubles from STORE_BACKOFF_MIN_MS
 * to STORE_BACKOFF_MAX_MS with full jitter (Brooker, "Exponential Backoff And
 * Jitter", 2015). */
void storelimit_ok(StoreLimit *q);
void storelimit_fail(StoreLimit *q, GRand *rnd, int64_t now_us);

#endif
