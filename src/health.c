/* health - state of a target.  See health.h. */
#include "health.h"

#include <math.h>
#include <string.h>

/* Number of consecutive failures after which a target is down.  Otherwise a
 * target that answers errors at once would attract all work, since it is
 * always idle. */
#define DOWN_FAILURES 5

/* First and longest wait before a trial of a target that is down. */
#define PROBE_MIN_US 250000
#define PROBE_MAX_US 4000000

/* Multiplicative decrease.  Shed requests that arrive close together come from
 * the same overload, so the factor is cut at most once per CUT_INTERVAL_US. */
#define FACTOR_CUT 0.5
#define FACTOR_MIN 0.01
#define CUT_INTERVAL_US 250000

/* Additive increase, once per success phase: SUCCESS_PHASE_US without a cut
 * of the factor, ended by a success.  Counting successes instead would
 * restore a busy target within milliseconds, and it would shed requests again.
 */
#define FACTOR_STEP 0.12
#define SUCCESS_PHASE_US 500000

static void
set_state(Health *h, HealthState s, int64_t now_us)
{
    h->state = s;
    h->since_us = now_us;
}

void
health_init(Health *h, bool cold, int64_t now_us)
{
    memset(h, 0, sizeof(*h));
    h->factor = 1.0;
    h->cut_at_us = now_us - CUT_INTERVAL_US;
    set_state(h, cold ? HEALTH_STARTING : HEALTH_READY, now_us);
}

static void
cut_factor(Health *h, int64_t now_us)
{
    if (now_us - h->cut_at_us < CUT_INTERVAL_US) {
        return;
    }
    h->cut_at_us = now_us;
    h->phase_at_us = now_us;
    h->factor = fmax(FACTOR_MIN, h->factor * FACTOR_CUT);
}

/* Marks the target as down.  The wait for a trial doubles with each further
 * failure. */
static void
mark_down(Health *h, int64_t now_us)
{
    int64_t wait = PROBE_MIN_US;

    for (int i = DOWN_FAILURES; i < h->fails && wait < PROBE_MAX_US; i++) {
        wait *= 2;
    }
    h->probe_at_us = now_us + (wait < PROBE_MAX_US ? wait : PROBE_MAX_US);
    if (h->state == HEALTH_READY || h->state == HEALTH_STARTING) {
        set_state(h, HEALTH_DOWN, now_us);
    }
}

/* Returns true when a target that was leaving may get a trial request. Reports
 * do not revoke a drain in the manifest. */
static bool
may_try_again(const Health *h)
{
    return h->state == HEALTH_LEAVING && h->leaving_src != HEALTH_MANIFEST &&
           h->ready_reports >= HEALTH_READY_REPORTS;
}

static void
observe_ok(Health *h, int64_t now_us)
{
    h->fails = 0;
    if (now_us - h->phase_at_us >= SUCCESS_PHASE_US) {
        h->phase_at_us = now_us;
        h->factor = fmin(1.0, h->factor + FACTOR_STEP);
    }
    /* While leaving, a success alone does not prove that the target is back:
     * it may answer a request from before the signal.  Hence may_try_again()
     * also requires later reports. */
    if (h->state == HEALTH_DOWN || may_try_again(h)) {
        set_state(h, HEALTH_STARTING, now_us);
    }
}

void
health_observe(Health *h, HealthObservation result, int64_t now_us)
{
    switch (result) {
    case OBSERVED_OK:
        observe_ok(h, now_us);
        return;
    case OBSERVED_SHED:
        cut_factor(h, now_us);
        return;
    case OBSERVED_REFUSED:
        /* Nothing listens on the port: one failure is enough. */
        h->fails = h->fails < DOWN_FAILURES ? DOWN_FAILURES : h->fails + 1;
        break;
    case OBSERVED_ERROR:
    case OBSERVED_CLOSED:
        cut_factor(h, now_us);
        h->fails++;
        break;
    case OBSERVED_TIMEOUT:
        /* A long run does not mean overload, so the factor is not cut.  The
         * slot stays busy, so the choice of the least filled target avoids
         * this one. */
        h->fails++;
        break;
    }
    h->ready_reports = 0;
    if (h->fails >= DOWN_FAILURES || h->state == HEALTH_DOWN) {
        mark_down(h, now_us);
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
        /* An endpoint that lags may still report the state from before the
         * signal. */
        if (r->at_us - h->leaving_last_us > REPORT_STALE_MS * 1000LL) {
            h->ready_reports++;
        }
        return;
    }
    /* Repeated reports of "starting" do not restart the slow start. */
    if (r->reported == REPORTED_STARTING &&
        (h->state == HEALTH_READY ||
         (h->state == HEALTH_STARTING && was_ready))) {
        set_state(h, HEALTH_STARTING, now_us);
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
    set_state(h, HEALTH_LEAVING, now_us);
}

static int
slow_start_slots(const Health *h, int slots, int64_t warmup_us, int64_t now_us)
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
        return may_try_again(h) ? 1 : 0;
    }
    if (h->state == HEALTH_DOWN) {
        return now_us >= h->probe_at_us ? 1 : 0;
    }
    int n = slow_start_slots(h, slots, warmup_us, now_us);
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
