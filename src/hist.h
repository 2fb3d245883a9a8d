/*
 * hist - latency histogram with fixed bounds.
 */
#ifndef MIMOSA_HIST_H
#define MIMOSA_HIST_H

#include <stdint.h>

#include <glib.h>

#define HIST_BOUNDS 14

typedef struct Hist {
    int64_t count[HIST_BOUNDS + 1]; /* the last: above the highest bound */
    int64_t sum_us;
} Hist;

/* Adds one latency. */
void hist_add(Hist *h, int64_t us);

/* Appends the lines of the metrics page: cumulative buckets
 * "name_bucket{labels,le="ms"} n", then "name_sum_us" and "name_count". */
void hist_text(const Hist *h, const char *name, const char *labels,
               GString *out);

#endif
