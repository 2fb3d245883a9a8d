/* Tests of health: when a target is used, and when it is down or leaving. */
#include "t.h"

#include "health.h"

#define SECOND_US 1000000LL
#define WARMUP_US (4 * SECOND_US)

static Health
ready_target(void)
{
    Health h;

    health_init(&h, false, 0);
    return h;
}

static void
report(Health *h, HealthReported reported, int64_t at, int64_t now)
{
    HealthReport r = {.reported = reported, .at_us = at};

    health_report(h, &r, now);
}

/* Guards against a cold target that gets its full load at once, and against
 * repeated reports of "starting" that limit it for ever. */
START_TEST(slow_start_grows_over_the_warmup)
{
    Health h;

    health_init(&h, true, 0);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, 0), 1);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, 2 * SECOND_US), 5);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, WARMUP_US), 9);
    /* A further report of "starting" does not restart the slow start. */
    report(&h, REPORTED_STARTING, 5 * SECOND_US, 5 * SECOND_US);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, 5 * SECOND_US), 9);
}
END_TEST

/* Guards against new work for a target that is leaving, and against its return
 * to use because of one report that is late or wrong. */
START_TEST(leaving_needs_two_later_reports_and_a_success)
{
    Health h = ready_target();

    health_leaving(&h, HEALTH_HEADER, SECOND_US);
    ck_assert_int_eq(health_usable(&h, 3, WARMUP_US, SECOND_US), 0);
    report(&h, REPORTED_READY, 2 * SECOND_US, 2 * SECOND_US);
    report(&h, REPORTED_READY, 3 * SECOND_US, 3 * SECOND_US);
    report(&h, REPORTED_READY, 5 * SECOND_US, 5 * SECOND_US);
    health_observe(&h, OBSERVED_OK, 5 * SECOND_US);
    ck_assert_int_eq(health_usable(&h, 3, WARMUP_US, 5 * SECOND_US), 0);
    report(&h, REPORTED_READY, 6 * SECOND_US, 6 * SECOND_US);
    ck_assert_int_eq(health_usable(&h, 3, WARMUP_US, 6 * SECOND_US), 1);
    ck_assert_int_eq(h.state, HEALTH_LEAVING);
    health_observe(&h, OBSERVED_OK, 7 * SECOND_US);
    ck_assert_int_eq(h.state, HEALTH_STARTING);
}
END_TEST

/* Guards against a drain in the manifest that is revoked by reports. */
START_TEST(manifest_drain_is_not_undone_by_reports)
{
    Health h = ready_target();

    health_leaving(&h, HEALTH_MANIFEST, 0);
    for (int i = 4; i < 10; i++) {
        report(&h, REPORTED_READY, i * SECOND_US, i * SECOND_US);
    }
    ck_assert_int_eq(health_usable(&h, 3, WARMUP_US, 10 * SECOND_US), 0);
}
END_TEST

/* Guards against decisions based on reports that arrive too late. */
START_TEST(stale_report_is_ignored)
{
    Health h = ready_target();

    report(&h, REPORTED_LEAVING, 0, 3 * SECOND_US + 1);
    ck_assert_int_eq(h.state, HEALTH_READY);
}
END_TEST

/* Guards against a target that answers errors at once, and therefore is idle
 * and attracts all work. */
START_TEST(errors_outweigh_an_idle_report)
{
    Health h = ready_target();

    for (int i = 0; i < 5; i++) {
        report(&h, REPORTED_READY, SECOND_US, SECOND_US);
        health_observe(&h, OBSERVED_ERROR, SECOND_US);
    }
    ck_assert_int_eq(h.state, HEALTH_DOWN);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, SECOND_US), 0);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, 2 * SECOND_US), 1);
    health_observe(&h, OBSERVED_TIMEOUT, 2 * SECOND_US);
    ck_assert_int_eq(health_usable(&h, 9, WARMUP_US, 2 * SECOND_US + 400000),
                     0);
    health_observe(&h, OBSERVED_OK, 3 * SECOND_US);
    ck_assert_int_eq(h.state, HEALTH_STARTING);
}
END_TEST

/* Guards against shed requests of one overload that each halve the slots, and
 * against slots that are never restored. */
START_TEST(sheds_halve_once_and_successes_restore)
{
    Health h = ready_target();

    for (int i = 0; i < 8; i++) {
        health_observe(&h, OBSERVED_SHED, SECOND_US + i);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARMUP_US, SECOND_US), 4);
    ck_assert_int_eq(h.state, HEALTH_READY);
    /* Many successes at one time are one phase, which adds one step; later
     * phases restore all slots. */
    for (int i = 0; i < 100; i++) {
        health_observe(&h, OBSERVED_OK, 2 * SECOND_US);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARMUP_US, 2 * SECOND_US), 5);
    for (int i = 0; i < 25; i++) {
        health_observe(&h, OBSERVED_OK, (2 + i) * SECOND_US);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARMUP_US, 30 * SECOND_US), 8);
    for (int i = 0; i < 100; i++) {
        health_observe(&h, OBSERVED_SHED, (31 + i) * SECOND_US);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARMUP_US, 200 * SECOND_US), 1);
}
END_TEST

T_MAIN("health", slow_start_grows_over_the_warmup,
       leaving_needs_two_later_reports_and_a_success,
       manifest_drain_is_not_undone_by_reports, stale_report_is_ignored,
       errors_outweigh_an_idle_report, sheds_halve_once_and_successes_restore)
