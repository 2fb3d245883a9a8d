/* health - state of one target.  See health.h. */
#include "health.h"

#include <math.h>
#include <string.h>

/* Failures in a row that take a target out of use.  A target that answers
 * errors at once would otherwise attract all work, as it is always idle. */
#define FAILS_DOWN 5

/* Trials of a target that is down: first wait and longest wait. */
#define PROBE_MIN_US 250000
#define PROBE_MAX_US 4000000

/* AIMD.  Sheds that arrive together come from one overload, so that the
 * factor is cut at most once per CUT_GAP_US. */
#define FACTOR_CUT 0.5
#define FACTOR_MIN 0.01
#define CUT_GAP_US 250000

/* A success phase: that long without a shed or failure, and with a success.
 * Counting successes instead would restore a busy target within milliseconds
 * and have it shed again. */
#define FACTOR_STEP 0.12
#define PHASE_US 500000

static void
enter(Health *h, HealthState s, int64_t now_us)
{
    h->state = s;
    h->since_us = now_us;
}

void
health_init(Health *h, bool cold, int64_t now_us)
{
    memset(h, 0, sizeof(*h));
    h->factor = 1.0;
    h->cut_at_us = now_us - CUT_GAP_US;
    enter(h, cold ? HEALTH_STARTING : HEALTH_READY, now_us);
}

static void
cut(Health *h, int64_t now_us)
{
    if (now_us - h->cut_at_us < CUT_GAP_US) {
        return;
    }
    h->cut_at_us = now_us;
    h->phase_at_us = now_us;
    h->factor = fmax(FACTOR_MIN, h->factor * FACTOR_CUT);
}

/* Takes the target out of use; the wait for a trial doubles per failure. */
static void
go_down(Health *h, int64_t now_us)
{
    int64_t wait = PROBE_MIN_US;

    for (int i = FAILS_DOWN; i < h->fails && wait < PROBE_MAX_US; i++) {
        wait *= 2;
    }
    h->probe_at_us = now_us + (wait < PROBE_MAX_US ? wait : PROBE_MAX_US);
    if (h->state == HEALTH_READY || h->state == HEALTH_STARTING) {
        enter(h, HEALTH_DOWN, now_us);
    }
}

static bool
may_return(const Health *h)
{
    return h->state == HEALTH_LEAVING && h->leaving_src != HEALTH_MANIFEST &&
           h->ready_reports >= HEALTH_READY_REPORTS;
}

static void
see_ok(Health *h, int64_t now_us)
{
    h->fails = 0;
    if (now_us - h->phase_at_us >= PHASE_US) {
        h->phase_at_us = now_us;
        h->factor = fmin(1.0, h->factor + FACTOR_STEP);
    }
    /* An answer to work from before the leaving signal proves nothing, hence
     * the two later reports. */
    if (h->state == HEALTH_DOWN || may_return(h)) {
        enter(h, HEALTH_STARTING, now_us);
    }
}

void
health_observe(Health *h, HealthObservation what, int64_t now_us)
{
    switch (what) {
    case OBSERVED_OK:
        see_ok(h, now_us);
        return;
    case OBSERVED_SHED:
        cut(h, now_us);
        return;
    case OBSERVED_REFUSED:
        /* Nobody listens there: no further failures are needed. */
        h->fails = h->fails < FAILS_DOWN ? FAILS_DOWN : h->fails + 1;
        break;
    case OBSERVED_ERROR:
    case OBSERVED_CLOSED:
        cut(h, now_us);
        h->fails++;
        break;
    case OBSERVED_TIMEOUT:
        /* One that runs long is no sign of too much load: its slot stays
         * taken, and the choice of the least filled target avoids it. */
        h->fails++;
        break;
    }
    h->ready_reports = 0;
    if (h->fails >= FAILS_DOWN || h->state == HEALTH_DOWN) {
        go_down(h, now_us);
    }
}

void
health_report(Health *h, const HealthReport *r, int64_t now_us)
{
    bool was_ready = h->has_report && h->last.reported == REPORTED_READY;

    if (now_us - r->at_us > REPORT_STALE_MS * 1000LL) {
        return;
    }
    h->last = *r;
    h->has_report = true;
    if (r->reported == REPORTED_LEAVING) {
        health_leaving(h, HEALTH_ENDPOINT, now_us);
        return;
    }
    if (h->state == HEALTH_LEAVING) {
        /* A lagging endpoint may still tell of the time before the signal. */
        if (r->at_us - h->leaving_last_us > REPORT_STALE_MS * 1000LL) {
            h->ready_reports++;
        }
        return;
    }
    /* A target that says "starting" on and on starts slowly only once. */
    if (r->reported == REPORTED_STARTING &&
        (h->state == HEALTH_READY ||
         (h->state == HEALTH_STARTING && was_ready))) {
        enter(h, HEALTH_STARTING, now_us);
    }
}

void
health_leaving(Health *h, HealthSource src, int64_t now_us)
{
    h->ready_reports = 0;
    h->leaving_last_us = now_us;
    if (h->state == HEALTH_LEAVING) {
        return;
    }
    h->leaving_at_us = now_us;
    h->leaving_src = src;
    enter(h, HEALTH_LEAVING, now_us);
}

static int
warm_slots(const Health *h, int slots, int64_t warmup_us, int64_t now_us)
{
    int64_t age = now_us - h->since_us;

    if (h->state != HEALTH_STARTING || age >= warmup_us) {
        return slots;
    }
    if (age < 0) {
        age = 0;
    }
    return 1 + (int)((double)(slots - 1) * (double)age / (double)warmup_us);
}

int
health_usable(const Health *h, int slots, int64_t warmup_us, int64_t now_us)
{
    if (slots <= 0) {
        return 0;
    }
    if (h->state == HEALTH_LEAVING) {
        return may_return(h) ? 1 : 0;
    }
    if (h->state == HEALTH_DOWN) {
        return now_us >= h->probe_at_us ? 1 : 0;
    }
    int n = warm_slots(h, slots, warmup_us, now_us);
    int by_factor = (int)ceil(h->factor * slots - 1e-9);

    n = n < by_factor ? n : by_factor;
    return n < 1 ? 1 : n;
}

const char *
health_state_name(HealthState s)
{
    static const char *const names[] = {"ready", "starting", "leaving",
                                        "down"};

    return names[s];
}
