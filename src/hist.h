/*
 * hist - latency histogram with fixed bounds.
 */
#ifndef MIMOSA_HIST_H
#define MIMOSA_HIST_H

#include <stdint.h>

#include <glib.h>

#define HIST_BOUNDS 14

typedef struct Hist {
    int64_t count[HIST_BOUNDS + 1]; /* the last one: over all bounds */
    int64_t sum_us;
} Hist;

void hist_add(Hist *h, int64_t us);

/* Cumulative text lines "name_bucket{labels,le="ms"} n", "name_sum",
 * "name_count". */
void hist_text(const Hist *h, const char *name, const char *labels,
               GString *out);

#endif
