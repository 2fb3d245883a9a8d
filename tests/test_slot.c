/* Tests of slot: use within budgets, target choice and its invariants.  The
 * source is included so that named faults can be switched on. */
#include "t.h"

#include <string.h>

static const char *fault = "";

#define INV_FAULT(name) (strcmp(fault, name) == 0)
#include "../src/slot.c"

static char broken[64];

static void
note(void *ctx, const char *name, const char *text)
{
    (void)ctx;
    (void)text;
    g_strlcpy(broken, name, sizeof(broken));
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

/* Guards against more work than slots, and against an uneven choice. */
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

/* Guards against work for targets that are avoided, draining, leaving or not
 * owned, and against a reason that misleads. */
START_TEST(leaves_out_what_may_not_be_used)
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

/* Guards against a crash suspect that takes others down with it. */
START_TEST(alone_means_alone)
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

/* Guards against overload when targets get new numbers or a lower budget. */
START_TEST(outstanding_work_survives_changes)
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

/* Guards against estimates that do not follow the service time. */
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

/* Shows that the checks "overload" and "leaving" can fail. */
START_TEST(faults_are_caught)
{
    SlotSet *s = set_of(1, 2);
    GRand *rnd = g_rand_new_with_seed(1);
    SlotReason why;

    inv_set_handler(note, NULL);
    fault = "slot_ignores_budget";
    for (int i = 0; i < 3; i++) {
        ck_assert_str_eq(broken, "");
        take(s, (SlotRequest){-1, false}, rnd, &why);
    }
    ck_assert_str_eq(broken, "overload");
    fault = "slot_ignores_leaving";
    for (int i = 0; i < 3; i++) {
        slot_end(s, 0, SLOT_END_OK, 10, 0);
    }
    slot_report_shutdown(s, 0, HEALTH_VM_LIST, 0);
    take(s, (SlotRequest){-1, false}, rnd, &why);
    ck_assert_str_eq(broken, "leaving");
    fault = "";
    slot_set_budget(s, 0, 3, 0);
    ck_assert_str_eq(broken, "overload");
    slot_set_free(s);
    g_rand_free(rnd);
}
END_TEST

T_MAIN("slot", fills_evenly_and_stops_at_the_budget,
       leaves_out_what_may_not_be_used, alone_means_alone,
       outstanding_work_survives_changes, estimates_follow_the_service_time,
       faults_are_caught)
