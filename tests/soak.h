/*
 * soak - common parts of the randomised simulations: arguments, simulated
 * clock with its event queue, seeded random generator, named faults and
 * reports of violated invariants.
 *
 * All functions are static; each program includes this header once.
 */
#ifndef MIMOSA_SOAK_H
#define MIMOSA_SOAK_H

#include <getopt.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "inv.h"
#include "str.h"

#define MS INT64_C(1000)
#define SEC INT64_C(1000000)

typedef struct SoakEvent {
    int64_t at_us; /* simulated time, without the clock error of a VM */
    uint64_t seq;  /* orders events of the same time */
    int kind;
    int to;
    int from;
    uint64_t life;      /* incarnation of the receiver; 0: any */
    uint64_t from_life; /* of the sender; a response goes only to it */
    int64_t a, b, c, d;
} SoakEvent;

typedef struct Soak {
    uint64_t seed;
    uint64_t steps;
    uint64_t step;
    const char *fault; /* "": none */
    int64_t trace;  /* request whose events are printed, by number; -1: none */
    int64_t now_us; /* simulated time */
    uint64_t rng;
    uint64_t seq;
    SoakEvent *heap; /* binary heap, earliest event first */
    size_t n, cap;
} Soak;

/* Returns the next 64 random bits (splitmix64).  It is the only source of
 * randomness, so the seed determines the whole run. */
static inline uint64_t
soak_u64(Soak *s)
{
    uint64_t z = (s->rng += UINT64_C(0x9E3779B97F4A7C15));

    z = (z ^ (z >> 30)) * UINT64_C(0xBF58476D1CE4E5B9);
    z = (z ^ (z >> 27)) * UINT64_C(0x94D049BB133111EB);
    return z ^ (z >> 31);
}

/* Returns an integer, uniform in [lo, hi]. */
static inline int64_t
soak_int(Soak *s, int64_t lo, int64_t hi)
{
    return lo + (int64_t)(soak_u64(s) % (uint64_t)(hi - lo + 1));
}

/* Returns true with probability p. */
static inline bool
soak_chance(Soak *s, double p)
{
    return (double)(soak_u64(s) >> 11) * 0x1.0p-53 < p;
}

/* Whether the fault of that name is injected. */
static inline bool
soak_fault(const Soak *s, const char *name)
{
    return strcmp(s->fault, name) == 0;
}

static inline bool
soak_before(const SoakEvent *a, const SoakEvent *b)
{
    return a->at_us != b->at_us ? a->at_us < b->at_us : a->seq < b->seq;
}

static inline void
soak_push(Soak *s, SoakEvent e)
{
    size_t i = s->n++;

    e.seq = ++s->seq;
    if (s->n > s->cap) {
        s->cap = s->cap == 0 ? 1024 : 2 * s->cap;
        s->heap = g_renew(SoakEvent, s->heap, s->cap);
    }
    while (i > 0 && soak_before(&e, &s->heap[(i - 1) / 2])) {
        s->heap[i] = s->heap[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    s->heap[i] = e;
}

/* Removes the earliest event and advances the clock to it.  The queue must not
 * be empty. */
static inline SoakEvent
soak_pop(Soak *s)
{
    SoakEvent top = s->heap[0];
    SoakEvent last = s->heap[--s->n];
    size_t i = 0;

    for (;;) {
        size_t k = 2 * i + 1;
        if (k >= s->n) {
            break;
        }
        if (k + 1 < s->n && soak_before(&s->heap[k + 1], &s->heap[k])) {
            k++;
        }
        if (!soak_before(&s->heap[k], &last)) {
            break;
        }
        s->heap[i] = s->heap[k];
        i = k;
    }
    s->heap[i] = last;
    s->now_us = top.at_us;
    s->step++;
    return top;
}

/* Prints the name of the violated invariant, the seed and the step, and exits
 * with status 1. */
static inline void soak_violation(const Soak *s, const char *name,
                                  const char *fmt, ...) G_GNUC_PRINTF(3, 4);

static inline void
soak_violation(const Soak *s, const char *name, const char *fmt, ...)
{
    va_list ap;

    printf("VIOLATION %s seed=%" G_GUINT64_FORMAT " step=%" G_GUINT64_FORMAT
           " at=%.3fs: ",
           name, (guint64)s->seed, (guint64)s->step,
           (double)s->now_us / (double)SEC);
    va_start(ap, fmt);
    vprintf(fmt, ap);
    va_end(ap);
    printf("\n");
    fflush(stdout);
    exit(1);
}

static void
soak_inv(void *ctx, const char *name, const char *text)
{
    soak_violation(ctx, name, "%s", text);
}

/* Initialises s and parses --seed, --steps, --fault and --trace.  faults: the
 * permitted names, NULL-terminated.  Exits with status 2 on an error. */
static inline void
soak_args(Soak *s, int argc, char **argv, const char *const *faults)
{
    static const struct option opts[] = {{"seed", 1, NULL, 's'},
                                         {"steps", 1, NULL, 'n'},
                                         {"fault", 1, NULL, 'f'},
                                         {"trace", 1, NULL, 't'},
                                         {NULL, 0, NULL, 0}};
    int c;
    bool valid = false;
    uint64_t n = 0;

    memset(s, 0, sizeof(*s));
    s->seed = 1;
    s->steps = 200000;
    s->trace = -1;
    s->fault = "";
    while ((c = getopt_long(argc, argv, "s:n:f:t:", opts, NULL)) != -1) {
        switch (c) {
        case 's':
            valid = str_u64(str_of(optarg), UINT64_MAX, &s->seed);
            break;
        case 'n':
            valid = str_u64(str_of(optarg), UINT64_MAX, &s->steps);
            break;
        case 'f':
            valid = false;
            s->fault = optarg;
            for (int i = 0; faults[i] != NULL; i++) {
                valid |= strcmp(faults[i], optarg) == 0;
            }
            break;
        case 't':
            valid = str_u64(str_of(optarg), INT64_MAX, &n);
            s->trace = (int64_t)n;
            break;
        default:
            valid = false;
        }
        if (!valid) {
            fprintf(stderr,
                    "usage: %s [--seed N] [--steps N] [--trace N] "
                    "[--fault NAME], NAME is one of:",
                    argv[0]);
            for (int i = 0; faults[i] != NULL; i++) {
                fprintf(stderr, " %s", faults[i]);
            }
            fprintf(stderr, "\n");
            exit(2);
        }
    }
    s->rng = s->seed * UINT64_C(0x2545F4914F6CDD1D) + 1;
    inv_set_handler(soak_inv, s);
}

#endif
