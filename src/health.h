/*
 * health - state of a target, from calls of this VM and from health reports.
 *
 * Results of calls outweigh reports; reports older than REPORT_STALE_MS are
 * ignored.  The first signal from any source that the target is shutting down
 * (leaving) stops new work.
 */
#ifndef MIMOSA_HEALTH_H
#define MIMOSA_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

/* Number of consecutive "ready" reports, each more than REPORT_STALE_MS after
 * the newest leaving signal, after which a target that was leaving gets a
 * trial request. */
#define HEALTH_READY_REPORTS 2

typedef enum HealthState {
    HEALTH_READY,
    HEALTH_STARTING, /* slow start: usable slots grow over the warm-up time */
    HEALTH_LEAVING,
    HEALTH_DOWN
} HealthState;

typedef enum HealthSource {
    HEALTH_MANIFEST,
    HEALTH_VM_LIST,
    HEALTH_HEADER,  /* Mimosa-Leaving header of an answer */
    HEALTH_ENDPOINT /* GET /health */
} HealthSource;

/* State that a target reports of itself. */
typedef enum HealthReported {
    REPORTED_READY,
    REPORTED_STARTING,
    REPORTED_LEAVING
} HealthReported;

typedef struct HealthReport {
    HealthReported reported;
    double load;    /* reported load, 0 to 1 */
    int slots_busy; /* reported number of busy slots */
    int64_t at_us;  /* time of receipt */
} HealthReport;

typedef struct Health {
    HealthState state;
    int64_t since_us;         /* time when the state was entered */
    int64_t leaving_at_us;    /* time of the first leaving signal */
    int64_t leaving_last_us;  /* time of the newest leaving signal */
    int64_t cut_at_us;        /* time of the last cut of the factor */
    int64_t phase_at_us;      /* start of the current success phase */
    HealthSource leaving_src; /* source of the first leaving signal */
    int64_t probe_at_us; /* when down: time from which one trial is allowed */
    int fails;           /* consecutive failed calls of this VM */
    int ready_reports;   /* consecutive ready reports while leaving */
    double factor;       /* share of the slots to use, in (0, 1]; AIMD */
    HealthReport last;   /* valid if has_report */
    bool has_report;
} Health;

/* The state is slow start when cold is true, else ready. */
void health_init(Health *h, bool cold, int64_t now_us);

typedef enum HealthObservation {
    OBSERVED_OK,
    OBSERVED_ERROR,
    OBSERVED_SHED,    /* refused because of overload */
    OBSERVED_REFUSED, /* connection refused */
    OBSERVED_CLOSED,  /* connection closed without an answer */
    OBSERVED_TIMEOUT
} HealthObservation;

/* Records the result of a call of this VM. */
void health_observe(Health *h, HealthObservation result, int64_t now_us);

/* Records a report; a stale one is ignored. */
void health_report(Health *h, const HealthReport *r, int64_t now_us);

/* Records a signal that the target is shutting down. */
void health_leaving(Health *h, HealthSource src, int64_t now_us);

/* Returns how many of the target's slots to use, by state, slow start and AIMD
 * factor.  For a target that is down this is 0 before probe_at_us and then 1,
 * for a trial. */
int health_usable(const Health *h, int slots, int64_t warmup_us,
                  int64_t now_us);

const char *health_state_name(HealthState s);

#endif
