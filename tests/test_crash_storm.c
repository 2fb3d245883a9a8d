/* Tests of crash on many VMs: a request that crashes each upstream that runs
 * it, beside requests that lose their answers with these crashes. */
#include <stdio.h>

#include "crash_world.h"

#define LATE_SENDS_MAX 3 /* limit of the platform */
#define UPS_PER_VM 2.4

/* The largest fleet takes minutes in a sanitized build. */
#ifdef __SANITIZE_ADDRESS__
static int sizes[] = {10, 61};
#else
static int sizes[] = {10, 61, 295};
#endif

static CrashWorldOpts
storm(int n_vms)
{
    const char *seed = getenv("STORM_SEED"); /* the number of VMs if not set */

    return (CrashWorldOpts){.seed =
                                (guint32)(seed == NULL ? n_vms : atoi(seed)),
                            .n_vms = n_vms,
                            .n_ups = (int)(n_vms * UPS_PER_VM),
                            .load = 9,
                            .bad_per_s = 25,
                            .storm_per_s = n_vms / 2.0,
                            .bad_from_us = 2 * S,
                            .bad_until_us = 20 * S};
}

static void
check(CrashWorld *w, const char *what)
{
    double vm_s = (double)w->o.n_vms * (double)(w->now_us - 100 * S) / S;

    printf("%s: vms=%d bad_crashes=%d late_sends=%d refused=%d of %d, "
           "%.0f bytes, %.2f datagrams and %.2f ms a second and VM\n",
           what, w->o.n_vms, w->bad_crashes, w->late_sends, w->refused,
           w->innocents, (double)w->bytes / vm_s, (double)w->datagrams / vm_s,
           (double)w->busy_ns / 1e6 / vm_s);
    ck_assert_int_ge(w->bad_crashes, CRASH_LIMIT);
    ck_assert_int_le(w->late_sends, LATE_SENDS_MAX);
    ck_assert_int_eq(w->refused, 0);
}

/* Runs a world for 20 s, in which the VMs of a region are cut off for cut_us
 * from the first second on, and checks it. */
static void
run_storm(const CrashWorldOpts *o, int64_t cut_us, const char *what)
{
    CrashWorld *w = world_new(o);

    world_run(w, S);
    if (cut_us > 0) {
        world_cut(w, 1, true);
        world_run(w, cut_us);
        world_cut(w, 1, false);
    }
    world_run(w, 19 * S - cut_us);
    check(w, what);
    world_free(w);
}

/* Guards against a crashing request that reaches upstreams at VMs whose news
 * of its crashes waits behind news of other requests. */
START_TEST(crashing_request_is_refused_in_time_in_a_storm_of_crashes)
{
    CrashWorldOpts o = storm(sizes[_i]);

    run_storm(&o, 0, "storm");
}
END_TEST

/* Guards against a crashing request that is known only where its upstreams
 * crashed while a region is cut off. */
START_TEST(crashing_request_is_refused_in_time_while_a_region_is_cut_off)
{
    CrashWorldOpts o = storm(sizes[_i]);

    run_storm(&o, 8 * S, "cut");
}
END_TEST

/* Guards against a crashing request that VMs forget, or never hear of, when
 * VMs stop and start one after the other. */
START_TEST(crashing_request_is_refused_in_time_while_vms_restart)
{
    CrashWorldOpts o = storm(sizes[_i]);
    CrashWorld *w = world_new(&o);

    for (int i = 0; i < 20 * o.n_vms; i++) {
        int v = i % o.n_vms;
        if (i / o.n_vms % 4 == 0) {
            world_stop_vm(w, v);
            world_start_vm(w, v);
        }
        world_run(w, MAX(S / o.n_vms / STEP_US * STEP_US, STEP_US));
        if (w->now_us >= 120 * S) {
            break;
        }
    }
    check(w, "restarts");
    world_free(w);
}
END_TEST

/* Guards against a crashing request that is lost among the requests in flight
 * when all upstreams crash at once. */
START_TEST(crashing_request_is_refused_in_time_after_all_upstreams_crash)
{
    CrashWorldOpts o = storm(sizes[_i]);

    o.storm_per_s = 0;
    o.load = 20;
    CrashWorld *w = world_new(&o);
    world_run(w, 2 * S);
    for (int round = 0; round < 2; round++) {
        for (int u = 0; u < o.n_ups; u++) {
            if (w->ups[u].up) {
                world_crash(w, u);
            }
        }
        world_run(w, 5 * S);
    }
    world_run(w, 8 * S);
    check(w, "all crash");
    world_free(w);
}
END_TEST

/* Guards against refusing requests for one popular object, as some of them
 * are in flight at each crash and all look the same. */
START_TEST(popular_object_is_not_refused_for_crashes_it_did_not_cause)
{
    CrashWorldOpts o = storm(sizes[_i]);

    o.popular_per_s = 40;
    run_storm(&o, 0, "popular");
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("crash_storm");
    TCase *tcase = tcase_create("crash_storm");
    int n = (int)G_N_ELEMENTS(sizes);
    const char *vms = getenv("STORM_VMS"); /* one size instead */

    if (vms != NULL) {
        sizes[0] = atoi(vms);
        n = 1;
    }
    tcase_set_timeout(tcase, T_TIMEOUT_S);
    tcase_add_loop_test(
        tcase, crashing_request_is_refused_in_time_in_a_storm_of_crashes, 0,
        n);
    tcase_add_loop_test(
        tcase, crashing_request_is_refused_in_time_while_a_region_is_cut_off,
        0, n);
    tcase_add_loop_test(
        tcase, crashing_request_is_refused_in_time_while_vms_restart, 0, n);
    tcase_add_loop_test(
        tcase, crashing_request_is_refused_in_time_after_all_upstreams_crash,
        0, n);
    tcase_add_loop_test(
        tcase, popular_object_is_not_refused_for_crashes_it_did_not_cause, 0,
        n);
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
