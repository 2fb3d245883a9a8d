/*
 * bucket - token bucket whose rate is given at each call.
 *
 * The tokens taken within any span of time are at most rate * span + burst.
 */
#ifndef MIMOSA_BUCKET_H
#define MIMOSA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Bucket {
    double tokens;
    int64_t at_us; /* last refill; 0: never used, which counts as full */
} Bucket;

/* Adds n tokens, up to burst. */
void bucket_add(Bucket *b, double n, double burst);

/* Refills at per_s tokens per second up to burst.  True when a token is
 * available; it is not taken. */
bool bucket_has(Bucket *b, double per_s, double burst, int64_t now_us);

/* Refills as bucket_has() does and takes a token; false when there is none. */
bool bucket_take(Bucket *b, double per_s, double burst, int64_t now_us);

#endif
