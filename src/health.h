/*
 * health - state of one target from own observations and reports.
 *
 * Own observations outweigh reports; a report older than REPORT_STALE_MS is
 * ignored.  The first leaving signal from any source stops new work.
 */
#ifndef MIMOSA_HEALTH_H
#define MIMOSA_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

/* Ready reports in a row, each later than REPORT_STALE_MS after the newest
 * leaving signal, that allow a trial of a target that was leaving. */
#define HEALTH_READY_REPORTS 2

typedef enum HealthState {
    HEALTH_READY,
    HEALTH_STARTING, /* slow start */
    HEALTH_LEAVING,
    HEALTH_DOWN
} HealthState;

typedef enum HealthSource {
    HEALTH_MANIFEST,
    HEALTH_VM_LIST,
    HEALTH_HEADER,  /* Mimosa-Leaving on an answer */
    HEALTH_ENDPOINT /* GET /health */
} HealthSource;

typedef enum HealthReported {
    REPORTED_READY,
    REPORTED_STARTING,
    REPORTED_LEAVING
} HealthReported;

typedef struct HealthReport {
    HealthReported reported;
    double load;    /* 0 to 1 as the target tells it */
    int slots_busy; /* as the target tells it */
    int64_t at_us;  /* when it was received */
} HealthReport;

typedef struct Health {
    HealthState state;
    int64_t since_us;        /* of the state */
    int64_t leaving_at_us;   /* first leaving signal */
    int64_t leaving_last_us; /* newest leaving signal */
    int64_t cut_at_us;       /* when the factor was last cut */
    int64_t phase_at_us;     /* begin of the present success phase */
    HealthSource leaving_src;
    int64_t probe_at_us; /* when one trial request is allowed, if down */
    int fails;           /* own failures in a row */
    int ready_reports;   /* ready reports in a row while leaving */
    double factor;       /* part of the slots to use, AIMD, (0, 1] */
    HealthReport last;
    bool has_report;
} Health;

void health_init(Health *h, bool cold, int64_t now_us);

typedef enum HealthObservation {
    OBSERVED_OK,
    OBSERVED_ERROR,
    OBSERVED_SHED,
    OBSERVED_REFUSED, /* connection refused */
    OBSERVED_CLOSED,  /* closed without an answer */
    OBSERVED_TIMEOUT
} HealthObservation;

/* An own observation. */
void health_observe(Health *h, HealthObservation what, int64_t now_us);
void health_report(Health *h, const HealthReport *r, int64_t now_us);
void health_leaving(Health *h, HealthSource src, int64_t now_us);

/* Slots to use of a target with that many, by state, slow start and AIMD.
 * A target that is down gets 1 for a trial once its probe time has come. */
int health_usable(const Health *h, int slots, int64_t warmup_us,
                  int64_t now_us);

const char *health_state_name(HealthState s);

#endif
