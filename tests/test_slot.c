/* Tests of slot: budgets, choice of targets and invariants.  slot.c is
 * included so that INV_FAULT can be redefined to inject faults. */
#include "t.h"

#include <string.h>

static const char *fault = "";

#define INV_FAULT(name) (strcmp(fault, name) == 0)
#include "../src/slot.c"

static char violated[64];

static void
on_violation(void *ctx, const char *name, const char *text)
{
    (void)ctx;
    (void)text;
    g_strlcpy(violated, name, sizeof(violated));
}

static SlotSet *
set_of(int n, int slots)
{
    SlotOpts o = {.warmup_us = 1000000, .service_us = 10000};
    SlotSet *s = slot_set_new(&o);

    for (int i = 0; i < n; i++) {
        slot_declare(s, i, slots, 360, slots, false, 0);
    }
    return s;
}

static int
take(SlotSet *s, SlotRequest ask, GRand *rnd, SlotReason *why)
{
    int id = slot_pick(s, &ask, rnd, 0, why);

    if (id >= 0) {
        slot_begin(s, id, ask.alone, 0);
    }
    return id;
}

/* Guards against more requests than slots, and against an uneven spread. */
START_TEST(fills_evenly_and_stops_at_the_budget)
{
    SlotSet *s = set_of(12, 3);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotRequest any = {-1, false};
    SlotReason why;

    for (int i = 0; i < 36; i++) {
        ck_assert_int_ge(take(s, any, rnd, &why), 0);
    }
    ck_assert_int_eq(take(s, any, rnd, &why), -1);
    ck_assert_int_eq(why, SLOT_ALL_BUSY);
    ck_assert_int_eq(slot_free(s, 0), 0);
    for (int i = 0; i < 12; i++) {
        ck_assert_int_eq(slot_outstanding(s, i), 3);
    }
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

/* Guards against requests to targets that are avoided, draining, shutting down
 * or not owned, and against a wrong reason when there is no target. */
START_TEST(unusable_targets_are_not_picked)
{
    SlotSet *s = set_of(2, 1);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotRequest any = {-1, false};
    SlotReason why;

    slot_declare(s, 0, 1, 9, 1, true, 0);
    ck_assert_int_eq(slot_pick(s, &any, rnd, 0, &why), 1);
    ck_assert_int_eq(slot_pick(s, &(SlotRequest){1, false}, rnd, 0, &why), -1);
    slot_report_shutdown(s, 1, HEALTH_HEADER, 0);
    ck_assert_int_eq(slot_pick(s, &any, rnd, 0, &why), -1);
    ck_assert_int_eq(why, SLOT_ALL_DOWN);
    slot_set_budget(s, 0, 0, 0);
    slot_set_budget(s, 1, 0, 0);
    ck_assert_int_eq(slot_pick(s, &any, rnd, 0, &why), -1);
    ck_assert_int_eq(why, SLOT_NONE_OWNED);
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

/* Guards against a suspected request that crashes a target while the target
 * runs other requests. */
START_TEST(suspect_runs_on_an_idle_target)
{
    SlotSet *s = set_of(2, 3);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotReason why;
    int a = take(s, (SlotRequest){-1, false}, rnd, &why);
    int b = take(s, (SlotRequest){-1, true}, rnd, &why);

    ck_assert_int_eq(b, 1 - a);
    ck_assert_int_eq(slot_free(s, 0), 2);
    ck_assert_int_eq(take(s, (SlotRequest){a, false}, rnd, &why), -1);
    slot_end(s, b, SLOT_END_OK, 10, 0);
    ck_assert_int_eq(take(s, (SlotRequest){a, false}, rnd, &why), b);
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

/* Guards against overload when targets are renumbered or a budget is
 * lowered. */
START_TEST(outstanding_requests_are_carried_over)
{
    SlotSet *old = set_of(1, 4);
    SlotSet *s = set_of(3, 4);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotReason why;

    for (int i = 0; i < 3; i++) {
        take(old, (SlotRequest){-1, false}, rnd, &why);
    }
    slot_copy_state(s, 2, old, 0);
    ck_assert_int_eq(slot_busy(s), 3);
    slot_set_budget(s, 2, 2, 0);
    ck_assert_int_eq(slot_free(s, 0), 8);
    slot_end(s, 2, SLOT_END_OK, 10, 0);
    slot_end(s, 2, SLOT_END_OK, 10, 0);
    ck_assert_int_eq(slot_free(s, 0), 9);
    slot_set_free(old);
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

/* Guards against estimates that do not converge to the service time. */
START_TEST(estimates_follow_the_service_time)
{
    SlotSet *s = set_of(1, 1);
    GRand *rnd = g_rand_new_with_seed(7);
    SlotReason why;

    for (int i = 0; i < 20000; i++) {
        take(s, (SlotRequest){-1, false}, rnd, &why);
        slot_end(s, 0, SLOT_END_OK, g_rand_int_range(rnd, 0, 1000), 0);
    }
    ck_assert_int_gt(slot_service_mean_us(s), 350);
    ck_assert_int_lt(slot_service_mean_us(s), 650);
    ck_assert_int_gt(slot_service_p90_us(s), 750);
    ck_assert_int_lt(slot_service_p90_us(s), 1100);
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

/* Guards against invariants "overload" and "leaving" that never fire: injected
 * faults must violate them. */
START_TEST(faults_violate_invariants)
{
    SlotSet *s = set_of(1, 2);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotReason why;

    inv_set_handler(on_violation, NULL);
    fault = "slot_ignores_budget";
    for (int i = 0; i < 3; i++) {
        ck_assert_str_eq(violated, "");
        take(s, (SlotRequest){-1, false}, rnd, &why);
    }
    ck_assert_str_eq(violated, "overload");
    fault = "slot_ignores_leaving";
    for (int i = 0; i < 3; i++) {
        slot_end(s, 0, SLOT_END_OK, 10, 0);
    }
    slot_report_shutdown(s, 0, HEALTH_VM_LIST, 0);
    take(s, (SlotRequest){-1, false}, rnd, &why);
    ck_assert_str_eq(violated, "leaving");
    fault = "";
    slot_set_budget(s, 0, 3, 0);
    ck_assert_str_eq(violated, "overload");
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

T_MAIN("slot", fills_evenly_and_stops_at_the_budget,
       unusable_targets_are_not_picked, suspect_runs_on_an_idle_target,
       outstanding_requests_are_carried_over,
       estimates_follow_the_service_time, faults_violate_invariants)
