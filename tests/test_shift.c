/* Tests of shift: moves within the cap, and choices of zones that follow the
 * row.  The source is included so that a named fault can be switched on. */
#include "t.h"

#include <string.h>

static const char *fault = "";

#define INV_FAULT(name) (strcmp(fault, name) == 0)
#include "../src/shift.c"

#define S 1000000LL

static const MfService service = {.shift_cap = 0.1,
                                  .shift_interval_us = 10 * S};
static char violated[64];

static void
record_violation(void *ctx, const char *name, const char *text)
{
    (void)ctx;
    (void)text;
    g_strlcpy(violated, name, sizeof(violated));
}

/* Shares of three zones; zone 0 is the home zone. */
static const double away[3] = {0, 0.5, 0.5};
static const double home[3] = {1, 0, 0};

/* Guards against a move above the cap in any window of the interval, with
 * irregular steps, pauses, reversed directions and changes of the cap. */
START_TEST(moves_stay_within_the_cap_in_any_window)
{
    enum { N = 4000 };
    static double moved[N];
    static int64_t at[N];
    GRand *rnd = g_rand_new_with_seed(3);
    ShiftRow r;
    int64_t t = 0;

    shift_init(&r, 3, 0, &service, 0);
    for (int i = 0; i < N; i++) {
        double before[3];

        t += g_rand_int_range(rnd, 1, i % 50 == 0 ? 20 * S : S / 4);
        memcpy(before, r.current, sizeof(before));
        if (i % 40 == 0) {
            ck_assert(shift_set_desired(&r, i % 80 == 0 ? away : home, t));
        }
        if (i % 500 == 250) {
            shift_set_cap(&r, i % 1000 == 250 ? 0.05 : 0.1, 10 * S, t);
        }
        shift_step(&r, t);
        moved[i] = shift_distance(before, r.current, 3);
        at[i] = t;
    }
    for (int i = 0; i < N; i++) {
        double sum = 0;

        for (int k = i; k < N && at[k] - at[i] < 10 * S; k++) {
            sum += moved[k];
        }
        ck_assert_double_le(sum, 0.1 + 1e-9);
    }
    g_rand_free(rnd);
}
END_TEST

/* Guards against a move that takes far longer than the cap requires. */
START_TEST(shift_takes_little_more_than_the_minimum)
{
    ShiftRow r;
    int64_t t = 0;

    shift_init(&r, 3, 0, &service, 0);
    shift_set_desired(&r, away, 0);
    int64_t min_us = shift_min_us(&r);

    ck_assert_int_eq(min_us, 100 * S);
    while (shift_moving(&r)) {
        t += S / 10;
        shift_step(&r, t);
    }
    ck_assert_int_le(t, min_us * 12 / 10);
    ck_assert_int_eq(shift_min_us(&r), 0);
}
END_TEST

/* Guards against accepting rows of a peer that are not valid shares. */
START_TEST(invalid_rows_are_rejected)
{
    double bad[3] = {0.5, 0.6, 0};
    double nan_row[3] = {NAN, 0.5, 0.5};
    ShiftRow r;

    shift_init(&r, 3, 0, &service, 0);
    ck_assert(!shift_set_current(&r, bad, 3, 0));
    ck_assert(!shift_set_current(&r, nan_row, 3, 0));
    ck_assert(!shift_set_current(&r, away, 2, 0));
    ck_assert(!shift_set_desired(&r, bad, 0));
    ck_assert(shift_set_current(&r, away, 3, 0));
    ck_assert_double_eq(r.current[2], 0.5);
}
END_TEST

/* Guards against chosen zones that deviate from the row, within a rank or
 * overall. */
START_TEST(picks_follow_the_row)
{
    bool all[3] = {true, true, true};
    double row[3] = {0.7, 0.2, 0.1};
    int n[2][3] = {{0}};
    ShiftRow r;
    ShiftPicker d;

    shift_init(&r, 3, 0, &service, 0);
    shift_set_current(&r, row, 3, 0);
    shift_picker_init(&d, 2, 0);
    for (int i = 0; i < 2000; i++) {
        n[i % 2][shift_pick(&r, &d, 0, i % 2, all, i).zone]++;
    }
    for (int k = 0; k < 2; k++) {
        for (int z = 0; z < 3; z++) {
            ck_assert_double_eq_tol(n[k][z], row[z] * 1000, 2);
        }
    }
}
END_TEST

/* Guards against refusing urgent work while less urgent work is served, and
 * against moving more traffic than the row allows. */
START_TEST(lowest_rank_is_refused_first)
{
    bool up[3] = {false, true, true};
    double row[3] = {0.6, 0.4, 0};
    int n[3] = {0};
    int served[3] = {0};
    ShiftRow r;
    ShiftPicker d;

    shift_init(&r, 3, 0, &service, 0);
    shift_set_current(&r, row, 3, 0);
    shift_picker_init(&d, 3, 0);
    for (int i = 0; i < 20000; i++) {
        int k = i % 5 < 1 ? 0 : (i % 5 < 2 ? 1 : 2);
        ShiftPick w = shift_pick(&r, &d, 0, k, up, (int64_t)i * 1000);

        ck_assert(w.zone != 0 && w.zone != 2);
        ck_assert(w.zone >= 0 || w.reason == SHIFT_REFUSED);
        if (i >= 2000) {
            n[k]++;
            served[k] += w.zone == 1;
        }
    }
    int all = served[0] + served[1] + served[2];

    ck_assert_double_eq_tol(all, 0.4 * 18000, 20);
    ck_assert_int_ge(served[0], n[0] * 99 / 100);
    ck_assert_int_ge(served[1], n[1] * 98 / 100);
    ck_assert_int_le(served[2], n[2] / 20);
}
END_TEST

/* Shows that the check "shift_cap" can fail. */
START_TEST(fault_is_caught)
{
    ShiftRow r;

    inv_set_handler(record_violation, NULL);
    shift_init(&r, 3, 0, &service, 0);
    shift_set_desired(&r, away, 0);
    for (int64_t t = 0; t < 20 * S; t += S) {
        shift_step(&r, t);
    }
    ck_assert_str_eq(violated, "");
    fault = "shift_double_slope";
    for (int64_t t = 20 * S; t < 40 * S; t += S) {
        shift_step(&r, t);
    }
    ck_assert_str_eq(violated, "shift_cap");
}
END_TEST

T_MAIN("shift", moves_stay_within_the_cap_in_any_window,
       shift_takes_little_more_than_the_minimum, invalid_rows_are_rejected,
       picks_follow_the_row, lowest_rank_is_refused_first, fault_is_caught)
