/* Tests of placement: target rows within the limits of slots and links. */
#include "t.h"

#include <math.h>

#include <glib.h>

#include "placement.h"
#include "shift.h"

enum { N = 6 };

static double want[N * N];
static PlacementZone zones[N];

/* Three regions of two zones; the link of regions 0 and 2 costs more. */
static Manifest *
three_regions(void)
{
    Manifest *m = g_new0(Manifest, 1);

    m->n_regions = 3;
    m->n_zones = N;
    m->n_links = 3;
    m->zone_latency_us = 4000;
    for (int z = 0; z < N; z++) {
        m->zones[z].region = z / 2;
        zones[z] = (PlacementZone){.up = true, .slots = 100, .demand = 40};
    }
    m->links[0] = (MfLink){0, 1, 4000, 55000, 1};
    m->links[1] = (MfLink){0, 2, 4000, 55000, 2};
    m->links[2] = (MfLink){1, 2, 4000, 55000, 1};
    return m;
}

static void
compute_rows(const Manifest *m, double bytes_per_slot_s)
{
    PlacementIn in = {m, 0, zones, 0.85, bytes_per_slot_s};

    placement_rows(&in, want);
    for (int h = 0; h < N; h++) {
        double sum = 0;

        for (int z = 0; z < N; z++) {
            ck_assert_double_ge(want[h * N + z], 0);
            sum += want[h * N + z];
        }
        ck_assert_double_eq_tol(sum, 1, 1e-9);
    }
}

static double
load_of(int z)
{
    double sum = 0;

    for (int h = 0; h < N; h++) {
        if (h != z || zones[z].up) {
            sum += want[h * N + z] * zones[h].demand;
        }
    }
    return sum;
}

/* Guards against moving traffic without need. */
START_TEST(healthy_zones_keep_their_traffic)
{
    Manifest *m = three_regions();

    compute_rows(m, 0);
    for (int h = 0; h < N; h++) {
        ck_assert_double_eq(want[h * N + h], 1);
    }
    g_free(m);
}
END_TEST

/* Guards against a drain that moves traffic to other regions while its own has
 * free slots, or that leaves traffic in the drained zone. */
START_TEST(a_drained_zone_moves_to_its_region_first)
{
    Manifest *m = three_regions();

    m->zones[0].draining = true;
    compute_rows(m, 0);
    ck_assert_double_eq_tol(want[0], 0, 1e-9);
    ck_assert_double_eq_tol(want[1], 1, 1e-9);
    zones[0].demand = 60;
    compute_rows(m, 0);
    /* Zone 1 has 45 planned slots to spare; the rest goes to region 1, whose
     * link costs less than that of region 2. */
    ck_assert_double_eq_tol(want[1], 0.75, 1e-6);
    ck_assert_double_eq_tol(want[2] + want[3], 0.25, 1e-6);
    g_free(m);
}
END_TEST

/* Guards against overload of the remaining zones when a region fails, and
 * against rows that depend on the order of the zones. */
START_TEST(a_lost_region_never_overloads_the_others)
{
    Manifest *m = three_regions();

    zones[0].up = zones[1].up = false;
    for (int z = 0; z < N; z++) {
        zones[z].demand = 70;
    }
    compute_rows(m, 0);
    for (int z = 2; z < N; z++) {
        ck_assert_double_le(load_of(z), 85 + 1e-6);
    }
    /* 60 of 140 slots fit; both homes get the same share. */
    ck_assert_double_eq_tol(want[0], 80.0 / 140, 1e-6);
    ck_assert_double_eq_tol(want[N + 1], 80.0 / 140, 1e-6);
    g_free(m);
}
END_TEST

/* Guards against moves that exceed the capacity of a link, and against moves
 * between regions without a declared link. */
START_TEST(links_limit_moves)
{
    Manifest *m = three_regions();

    zones[0].up = zones[1].up = false;
    /* 0.85 of 500 MB/s is enough for 10 slots on each of two links. */
    compute_rows(m, 42.5e6);
    ck_assert_double_eq_tol(
        (want[2] + want[3] + want[N + 2] + want[N + 3]) * 40, 10, 1e-6);
    ck_assert_double_eq_tol(
        (want[4] + want[5] + want[N + 4] + want[N + 5]) * 40, 10, 1e-6);
    m->n_links = 0;
    compute_rows(m, 0);
    ck_assert_double_eq(want[0], 1);
    g_free(m);
}
END_TEST

/* Guards against violations of the limits for random inputs, and against the
 * row of a home without traffic that keeps naming a failed zone. */
START_TEST(limits_hold_for_random_inputs)
{
    GRand *rnd = g_rand_new_with_seed(5);

    for (int i = 0; i < 3000; i++) {
        Manifest *m = three_regions();
        double bytes = i % 2 == 0 ? 0 : 20e6;
        double on_link = 0;

        for (int z = 0; z < N; z++) {
            zones[z].up = g_rand_int_range(rnd, 0, 4) > 0;
            zones[z].slots = g_rand_int_range(rnd, 0, 60);
            zones[z].demand = g_rand_int_range(rnd, 0, 60);
            m->zones[z].draining = g_rand_int_range(rnd, 0, 6) == 0;
        }
        compute_rows(m, bytes);
        for (int z = 0; z < N; z++) {
            double moved = load_of(z) - want[z * N + z] * zones[z].demand *
                                            (zones[z].up ? 1 : 0);

            ck_assert(moved <= 1e-6 ||
                      load_of(z) <= 0.85 * zones[z].slots + 1e-6);
        }
        for (int h = 0; h < 2; h++) {
            for (int z = 2; z < 4; z++) {
                on_link += want[h * N + z] * zones[h].demand * bytes;
                on_link += want[z * N + h] * zones[z].demand * bytes;
            }
        }
        ck_assert_double_le(on_link, 0.85 * 500e6 + 1);
        g_free(m);
    }
    Manifest *m = three_regions();

    zones[0].up = false;
    zones[0].demand = 0;
    compute_rows(m, 0);
    ck_assert_double_eq_tol(want[0], 0, 1e-9);
    g_free(m);
    g_rand_free(rnd);
}
END_TEST

/* Guards against one row filling a zone before the traffic of another row has
 * left it. */
START_TEST(moves_wait_for_free_slots)
{
    Manifest *m = three_regions();
    double now[N * N] = {0};
    PlacementIn in = {m, 0, zones, 0.85, 0};

    /* Zone 1 still serves all of zone 2's traffic; zone 0 is drained. */
    for (int h = 0; h < N; h++) {
        now[h * N + (h == 2 ? 1 : h)] = 1;
    }
    m->zones[0].draining = true;
    placement_rows(&in, want);
    placement_limit_moves(&in, now, want);
    /* 80 of 92.5 slots are in use, 40 more would move in. */
    ck_assert_double_eq_tol(want[1], 12.5 / 40, 1e-6);
    ck_assert_double_eq_tol(want[0], 27.5 / 40, 1e-6);
    ck_assert_double_eq_tol(want[2 * N + 2], 1, 1e-6);
    g_free(m);
}
END_TEST

T_MAIN("place", healthy_zones_keep_their_traffic,
       a_drained_zone_moves_to_its_region_first,
       a_lost_region_never_overloads_the_others, links_limit_moves,
       limits_hold_for_random_inputs, moves_wait_for_free_slots)
