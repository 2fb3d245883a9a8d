/*
 * storelimit - when the store may be called: budget and backoff of one node.
 */
#ifndef MIMOSA_STORELIMIT_H
#define MIMOSA_STORELIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef struct StoreLimit {
    double rate; /* calls per second */
    double burst;
    double tokens;
    int64_t at_us;
    int fails;             /* failed calls in a row */
    int64_t not_before_us; /* end of the backoff */
    uint64_t calls;
    uint64_t refused;
} StoreLimit;

void storelimit_init(StoreLimit *q, double rate, double burst, int64_t now_us);

/* Takes a call.  False: over the budget or in backoff; *retry_us tells when
 * to ask again. */
bool storelimit_take(StoreLimit *q, int64_t now_us, int64_t *retry_us);

/* Calls that the budget holds now. */
double storelimit_left(const StoreLimit *q, int64_t now_us);

/* The outcome of a call.  Backoff doubles from STORE_BACKOFF_MIN_MS to
 * STORE_BACKOFF_MAX_MS with full jitter (Brooker, "Exponential Backoff And
 * Jitter", 2015). */
void storelimit_ok(StoreLimit *q);
void storelimit_fail(StoreLimit *q, GRand *rnd, int64_t now_us);

#endif
