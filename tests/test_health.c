/* Tests of health: what takes a target out of use and brings it back. */
#include "t.h"

#include "health.h"

#define S 1000000LL
#define WARM (4 * S)

static Health
ready(void)
{
    Health h;

    health_init(&h, false, 0);
    return h;
}

static void
report(Health *h, HealthReported says, int64_t at, int64_t now)
{
    HealthReport r = {.reported = says, .at_us = at};

    health_report(h, &r, now);
}

/* Guards against a cold target that gets its full load at once. */
START_TEST(slow_start_grows_over_the_warmup)
{
    Health h;

    health_init(&h, true, 0);
    ck_assert_int_eq(health_usable(&h, 9, WARM, 0), 1);
    ck_assert_int_eq(health_usable(&h, 9, WARM, 2 * S), 5);
    ck_assert_int_eq(health_usable(&h, 9, WARM, WARM), 9);
    /* A report of "starting" on and on does not restart it. */
    report(&h, REPORTED_STARTING, 5 * S, 5 * S);
    ck_assert_int_eq(health_usable(&h, 9, WARM, 5 * S), 9);
}
END_TEST

/* Guards against new work for a leaving target, and against one lagging or
 * misleading report that brings it back. */
START_TEST(leaving_needs_two_later_reports_and_a_success)
{
    Health h = ready();

    health_leaving(&h, HEALTH_HEADER, S);
    ck_assert_int_eq(health_usable(&h, 3, WARM, S), 0);
    report(&h, REPORTED_READY, 2 * S, 2 * S);
    report(&h, REPORTED_READY, 3 * S, 3 * S);
    report(&h, REPORTED_READY, 5 * S, 5 * S);
    health_observe(&h, OBSERVED_OK, 5 * S);
    ck_assert_int_eq(health_usable(&h, 3, WARM, 5 * S), 0);
    report(&h, REPORTED_READY, 6 * S, 6 * S);
    ck_assert_int_eq(health_usable(&h, 3, WARM, 6 * S), 1);
    ck_assert_int_eq(h.state, HEALTH_LEAVING);
    health_observe(&h, OBSERVED_OK, 7 * S);
    ck_assert_int_eq(h.state, HEALTH_STARTING);
}
END_TEST

/* Guards against a manifest drain that a report undoes. */
START_TEST(manifest_drain_is_not_undone_by_reports)
{
    Health h = ready();

    health_leaving(&h, HEALTH_MANIFEST, 0);
    for (int i = 4; i < 10; i++) {
        report(&h, REPORTED_READY, i * S, i * S);
    }
    ck_assert_int_eq(health_usable(&h, 3, WARM, 10 * S), 0);
}
END_TEST

/* Guards against decisions on reports that lag. */
START_TEST(stale_report_is_ignored)
{
    Health h = ready();

    report(&h, REPORTED_LEAVING, 0, 3 * S + 1);
    ck_assert_int_eq(h.state, HEALTH_READY);
}
END_TEST

/* Guards against a target that answers errors fast, looks idle and attracts
 * all work. */
START_TEST(errors_outweigh_an_idle_report)
{
    Health h = ready();

    for (int i = 0; i < 5; i++) {
        report(&h, REPORTED_READY, S, S);
        health_observe(&h, OBSERVED_ERROR, S);
    }
    ck_assert_int_eq(h.state, HEALTH_DOWN);
    ck_assert_int_eq(health_usable(&h, 9, WARM, S), 0);
    ck_assert_int_eq(health_usable(&h, 9, WARM, 2 * S), 1);
    health_observe(&h, OBSERVED_TIMEOUT, 2 * S);
    ck_assert_int_eq(health_usable(&h, 9, WARM, 2 * S + 400000), 0);
    health_observe(&h, OBSERVED_OK, 3 * S);
    ck_assert_int_eq(h.state, HEALTH_STARTING);
}
END_TEST

/* Guards against sheds of one overload that lower the slots to nothing, and
 * against slots that never come back. */
START_TEST(sheds_halve_once_and_successes_restore)
{
    Health h = ready();

    for (int i = 0; i < 8; i++) {
        health_observe(&h, OBSERVED_SHED, S + i);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARM, S), 4);
    ck_assert_int_eq(h.state, HEALTH_READY);
    /* A crowd of successes is one phase; some phases restore all slots. */
    for (int i = 0; i < 100; i++) {
        health_observe(&h, OBSERVED_OK, 2 * S);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARM, 2 * S), 5);
    for (int i = 0; i < 25; i++) {
        health_observe(&h, OBSERVED_OK, (2 + i) * S);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARM, 30 * S), 8);
    for (int i = 0; i < 100; i++) {
        health_observe(&h, OBSERVED_SHED, (31 + i) * S);
    }
    ck_assert_int_eq(health_usable(&h, 8, WARM, 200 * S), 1);
}
END_TEST

T_MAIN("health", slow_start_grows_over_the_warmup,
       leaving_needs_two_later_reports_and_a_success,
       manifest_drain_is_not_undone_by_reports, stale_report_is_ignored,
       errors_outweigh_an_idle_report, sheds_halve_once_and_successes_restore)
