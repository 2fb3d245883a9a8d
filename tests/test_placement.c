/* Tests of place: wanted rows within slots and links. */
#include "t.h"

#include <math.h>

#include <glib.h>

#include "placement.h"
#include "shift.h"

enum { N = 6 };

static double want[N * N];
static PlacementZone zones[N];

/* Three regions of two zones; region 2 is further from region 0. */
static Manifest *
geography(void)
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
place(const Manifest *m, double bytes_per_slot_s)
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

/* Guards against traffic that moves without need. */
START_TEST(healthy_zones_keep_their_traffic)
{
    Manifest *m = geography();

    place(m, 0);
    for (int h = 0; h < N; h++) {
        ck_assert_double_eq(want[h * N + h], 1);
    }
    g_free(m);
}
END_TEST

/* Guards against a drain that crosses regions while its own has room, or that
 * leaves traffic in the drained zone. */
START_TEST(a_drained_zone_empties_into_its_region_first)
{
    Manifest *m = geography();

    m->zones[0].draining = true;
    place(m, 0);
    ck_assert_double_eq_tol(want[0], 0, 1e-9);
    ck_assert_double_eq_tol(want[1], 1, 1e-9);
    zones[0].demand = 60;
    place(m, 0);
    /* 45 planned slots are spare in zone 1, the rest goes to region 1, which
     * costs less than region 2. */
    ck_assert_double_eq_tol(want[1], 0.75, 1e-6);
    ck_assert_double_eq_tol(want[2] + want[3], 0.25, 1e-6);
    g_free(m);
}
END_TEST

/* Guards against overload of the zones that are left when a region fails, and
 * against rows that depend on the order of the zones. */
START_TEST(a_lost_region_never_overloads_the_others)
{
    Manifest *m = geography();

    zones[0].up = zones[1].up = false;
    for (int z = 0; z < N; z++) {
        zones[z].demand = 70;
    }
    place(m, 0);
    for (int z = 2; z < N; z++) {
        ck_assert_double_le(load_of(z), 85 + 1e-6);
    }
    /* 60 of 140 fit; both homes get the same part. */
    ck_assert_double_eq_tol(want[0], 80.0 / 140, 1e-6);
    ck_assert_double_eq_tol(want[N + 1], 80.0 / 140, 1e-6);
    g_free(m);
}
END_TEST

/* Guards against a move that a link cannot carry, and against a way where no
 * link is declared. */
START_TEST(links_limit_moves)
{
    Manifest *m = geography();

    zones[0].up = zones[1].up = false;
    /* 0.85 of 500 MB/s carries 10 slots each over two links. */
    place(m, 42.5e6);
    ck_assert_double_eq_tol(
        (want[2] + want[3] + want[N + 2] + want[N + 3]) * 40, 10, 1e-6);
    ck_assert_double_eq_tol(
        (want[4] + want[5] + want[N + 4] + want[N + 5]) * 40, 10, 1e-6);
    m->n_links = 0;
    place(m, 0);
    ck_assert_double_eq(want[0], 1);
    g_free(m);
}
END_TEST

/* Guards against random inputs that break the bounds, and against a home
 * without traffic that keeps pointing to a failed zone. */
START_TEST(bounds_hold_for_random_inputs)
{
    GRand *rnd = g_rand_new_with_seed(5);

    for (int i = 0; i < 3000; i++) {
        Manifest *m = geography();
        double bytes = i % 2 == 0 ? 0 : 20e6;
        double on_link = 0;

        for (int z = 0; z < N; z++) {
            zones[z].up = g_rand_int_range(rnd, 0, 4) > 0;
            zones[z].slots = g_rand_int_range(rnd, 0, 60);
            zones[z].demand = g_rand_int_range(rnd, 0, 60);
            m->zones[z].draining = g_rand_int_range(rnd, 0, 6) == 0;
        }
        place(m, bytes);
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
    Manifest *m = geography();

    zones[0].up = false;
    zones[0].demand = 0;
    place(m, 0);
    ck_assert_double_eq_tol(want[0], 0, 1e-9);
    g_free(m);
    g_rand_free(rnd);
}
END_TEST

/* Guards against a zone that is filled by one row while another has not left
 * it yet. */
START_TEST(moves_wait_for_room)
{
    Manifest *m = geography();
    double now[N * N] = {0};
    PlacementIn in = {m, 0, zones, 0.85, 0};

    /* Zone 1 still serves all of zone 2's traffic; zone 0 is drained. */
    for (int h = 0; h < N; h++) {
        now[h * N + (h == 2 ? 1 : h)] = 1;
    }
    m->zones[0].draining = true;
    placement_rows(&in, want);
    placement_limit_moves(&in, now, want);
    /* 80 of 92.5 slots are taken, 40 would move in. */
    ck_assert_double_eq_tol(want[1], 12.5 / 40, 1e-6);
    ck_assert_double_eq_tol(want[0], 27.5 / 40, 1e-6);
    ck_assert_double_eq_tol(want[2 * N + 2], 1, 1e-6);
    g_free(m);
}
END_TEST

T_MAIN("place", healthy_zones_keep_their_traffic,
       a_drained_zone_empties_into_its_region_first,
       a_lost_region_never_overloads_the_others, links_limit_moves,
       bounds_hold_for_random_inputs, moves_wait_for_room)
