/* ups_observed - what the answers of an upstream show of its state.  See
 * ups.h. */
#include <math.h>

#include "ups.h"

/* Other VMs' load, as an answer reported it, counts fully up to the age
 * OTHER_LOAD_FRESH_US, then decreases to nothing at OTHER_LOAD_STALE_US.  A
 * busy upstream sends several answers per second. */
#define OTHER_LOAD_FRESH_US 500000
#define OTHER_LOAD_STALE_US 2500000

/* Moving averages: weight of one attempt or answer, and half-life.  The
 * half-life of the failure rate is the time after which a failing upstream is
 * tried again; that of the slowness fits disturbances, which last seconds. */
#define FAIL_RATE_WEIGHT 0.12
#define FAIL_RATE_HALF_LIFE_US 3e6
#define SLOWNESS_WEIGHT 0.15
#define SLOWNESS_HALF_LIFE_US 4e6
/* Three consecutive lost attempts have a chance of 1 in 10,000 where 5 % of
 * the answers are invalid.  An unresponsive upstream is tried again after
 * UNRESPONSIVE_FOR_US. */
#define UNRESPONSIVE_STREAK 3
#define UNRESPONSIVE_FOR_US 5000000
/* Limit of the attempts counted from one message, so that no other VM decides
 * alone about an upstream. */
#define OBSERVED_MAX 8
#define SLOWNESS_RATIO_MAX 8.0 /* limits the influence of one answer */

double
ups_load(const Ups *u, int64_t now_us)
{
    int64_t age = now_us - u->other_load_at_us;
    double weight = 1;

    if (age >= OTHER_LOAD_STALE_US) {
        weight = 0;
    }
    else if (age > OTHER_LOAD_FRESH_US) {
        weight = (double)(OTHER_LOAD_STALE_US - age) /
                 (double)(OTHER_LOAD_STALE_US - OTHER_LOAD_FRESH_US);
    }
    return u->inflight + u->other_load * weight;
}

double
ups_fail_rate(const Ups *u, int64_t now_us)
{
    return u->fail_rate * exp2(-(double)(now_us - u->fail_rate_at_us) /
                               FAIL_RATE_HALF_LIFE_US);
}

double
ups_slowness(const Ups *u, int64_t now_us)
{
    double decay =
        exp2(-(double)(now_us - u->slowness_at_us) / SLOWNESS_HALF_LIFE_US);

    return 1 + (u->slowness - 1) * decay;
}

bool
ups_unresponsive(const Ups *u, int64_t now_us)
{
    return u->lost_streak >= UNRESPONSIVE_STREAK &&
           now_us - u->lost_at_us < UNRESPONSIVE_FOR_US;
}

void
ups_observe_load(Ups *u, int running, int waiting, int64_t now_us)
{
    u->other_load = MAX(0, running + waiting - u->inflight);
    u->other_load_at_us = now_us;
}

static void
count_end(Ups *u, bool ok, int64_t now_us)
{
    double f = ups_fail_rate(u, now_us);

    u->lost_streak = ok ? 0 : u->lost_streak;
    u->fail_rate = f + FAIL_RATE_WEIGHT * ((ok ? 0 : 1) - f);
    u->fail_rate_at_us = now_us;
}

static void
count_lost(Ups *u, int64_t now_us)
{
    count_end(u, false, now_us);
    u->lost_streak++;
    u->lost_at_us = now_us;
}

void
ups_observe_end(Ups *u, bool ok, int64_t now_us)
{
    u->observed.ok += ok ? 1 : 0;
    count_end(u, ok, now_us);
}

void
ups_observe_lost(Ups *u, int64_t now_us)
{
    u->observed.lost++;
    count_lost(u, now_us);
}

void
ups_observe_latency(Ups *u, double ratio, int64_t now_us)
{
    double s = ups_slowness(u, now_us);

    ratio = MIN(ratio, SLOWNESS_RATIO_MAX);
    u->slowness = s + SLOWNESS_WEIGHT * (ratio - s);
    u->slowness_at_us = now_us;
}

void
ups_count_observation(Ups *u, const UpsObservation *seen, int64_t now_us)
{
    for (int i = 0; i < MIN(seen->lost, OBSERVED_MAX); i++) {
        count_lost(u, now_us);
    }
    /* The order of the attempts is unknown.  Successful ones are counted last,
     * since any answer shows that the upstream responds. */
    for (int i = 0; i < MIN(seen->ok, OBSERVED_MAX); i++) {
        count_end(u, true, now_us);
    }
}

void
ups_observe_connect_failure(Ups *u, int64_t now_us)
{
    u->connect_failed_us = now_us;
}
