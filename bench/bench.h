/*
 * bench - what the measurements share: rows, events, random values, the
 * users' sizes.  Event-driven, without a network.
 */
#ifndef MIMOSA_BENCH_H
#define MIMOSA_BENCH_H

#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <glib/gstdio.h>

#include "mimosascale.h"

#define MS 1000LL
#define SECOND 1000000LL
#define N_RANKS 3

/* A service as its user runs it (section 1.6 of the design page). */
typedef struct BenchService {
    const char *name;
    int targets;
    int slots;
    int connections;
    int64_t service_us; /* mean service time */
    bool tunis;         /* Yasmine's delays instead of Peachtree's */
} BenchService;

static const BenchService bench_services[] = {
    {"index-desk", 24, 9, 360, 20 * MS, false},
    {"ledger-post", 12, 3, 360, 60 * MS, false},
    {"portfolio", 20, 3, 330, 25 * MS, true},
    {"contracts", 12, 3, 330, 80 * MS, true},
};
#define N_SERVICES 4
#define N_ZONES 6

/* Result rows; bench_end() gives the exit code. */
typedef struct Bench {
    int missed;
} Bench;

static inline void
bench_row(Bench *b, const char *name, double value, const char *baseline,
          const char *target, bool met)
{
    printf("%s: %.4g baseline=%s target=%s %s\n", name, value, baseline,
           target,
           strcmp(target, "none") == 0 ? "-" : (met ? "met" : "MISSED"));
    b->missed += !met;
}

static inline int
bench_end(const Bench *b)
{
    return b->missed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

static inline uint32_t
bench_seed(int argc, char **argv)
{
    uint32_t seed = argc > 1 ? (uint32_t)strtoul(argv[1], NULL, 10) : 1;

    printf("seed: %u\n", seed);
    return seed;
}

/* Processor time of this process so far. */
static inline double
bench_cpu_s(void)
{
    struct timespec t;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

/* Data file for a plot, in build/report. */
static inline FILE *
bench_data(const char *name)
{
    char path[256];

    g_mkdir_with_parents("build/report", 0777);
    snprintf(path, sizeof(path), "build/report/%s.dat", name);
    FILE *f = fopen(path, "w");

    if (f == NULL) {
        fprintf(stderr,
                "bench: cannot write %s; run from the root of the "
                "repository\n",
                path);
        exit(2);
    }
    return f;
}

/* Events in order of time: a binary heap. */
typedef struct Event {
    int64_t at_us;
    uint64_t order; /* of events at the same time */
    int kind;
    int a;
    void *p;
} Event;

typedef struct Events {
    GArray *heap;
    uint64_t order;
} Events;

static inline void
events_init(Events *e)
{
    e->heap = g_array_new(FALSE, FALSE, sizeof(Event));
    e->order = 0;
}

static inline bool
event_before(const Event *x, const Event *y)
{
    return x->at_us != y->at_us ? x->at_us < y->at_us : x->order < y->order;
}

static inline void
events_add(Events *e, int64_t at_us, int kind, int a, void *p)
{
    Event x = {at_us, e->order++, kind, a, p};

    g_array_append_val(e->heap, x);
    Event *h = (Event *)(void *)e->heap->data;
    guint i = e->heap->len - 1;

    while (i > 0 && event_before(&x, &h[(i - 1) / 2])) {
        h[i] = h[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    h[i] = x;
}

static inline bool
events_next(Events *e, Event *out)
{
    if (e->heap->len == 0) {
        return false;
    }
    Event *h = (Event *)(void *)e->heap->data;
    guint n = e->heap->len - 1;
    Event x = h[n];
    guint i = 0;

    *out = h[0];
    g_array_set_size(e->heap, n);
    while (2 * i + 1 < n) {
        guint c = 2 * i + 1;

        if (c + 1 < n && event_before(&h[c + 1], &h[c])) {
            c++;
        }
        if (!event_before(&h[c], &x)) {
            break;
        }
        h[i] = h[c];
        i = c;
    }
    if (n > 0) {
        h[i] = x;
    }
    return true;
}

/* Time to the next arrival of a Poisson process. */
static inline int64_t
draw_gap_us(GRand *rnd, double per_s)
{
    return (int64_t)(-log(1.0 - g_rand_double(rnd)) / per_s * 1e6) + 1;
}

/* Log-normal service time: sigma 0.5, so that p99 is 2.8 times the mean. */
#define SERVICE_SIGMA 0.5

static inline int64_t
draw_service_us(GRand *rnd, double mean_us)
{
    double u = 1.0 - g_rand_double(rnd);
    double v = g_rand_double(rnd);
    double normal = sqrt(-2 * log(u)) * cos(2 * G_PI * v);
    double x = mean_us *
               exp(SERVICE_SIGMA * normal - SERVICE_SIGMA * SERVICE_SIGMA / 2);

    return x < 1 ? 1 : (int64_t)x;
}

static inline int
bench_by_value(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static inline double
bench_percentile(GArray *values, double p)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, bench_by_value);
    guint i = (guint)(p * (values->len - 1));

    return g_array_index(values, double, i);
}

#endif
