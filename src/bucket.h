/*
 * bucket - token bucket whose rate is given at each call.
 *
 * Bounds "rate x time + burst" over any span of time.
 */
#ifndef MIMOSA_BUCKET_H
#define MIMOSA_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct Bucket {
    double tokens;
    int64_t at_us; /* of the last refill; 0: never used, then full */
} Bucket;

/* Adds n tokens, up to burst. */
void bucket_add(Bucket *b, double n, double burst);

/* Refills at per_s up to burst; true when a token is there, not taken. */
bool bucket_has(Bucket *b, double per_s, double burst, int64_t now_us);

/* The same, and takes the token. */
bool bucket_take(Bucket *b, double per_s, double burst, int64_t now_us);

#endif
