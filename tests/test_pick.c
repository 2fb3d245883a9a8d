/* Tests of ups, plan, split, demand and pick: where a request goes. */
#include "t.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "demand.h"
#include "hash.h"
#include "pick.h"

#define MS 1000LL
#define S (1000 * MS)
#define NOW (100 * S)

typedef struct World {
    Topology places;
    UpsSet *set;
    Plan *plan;
    RtService service;
    RtRoute route;
    PickVm vms[10];
} World;

static void
add_upstream(World *w, const char *id, const char *zone, int slots,
             int64_t cold_us, int64_t now_us)
{
    UpsReport r = {.id = str_of(id),
                   .service = str_of("desk"),
                   .zone = str_of(zone),
                   .slots = slots,
                   .warmup_left_us = cold_us};

    ups_report(w->set, &r, now_us);
}

static void
world_init(World *w, int per_zone)
{
    memset(w, 0, sizeof(*w));
    topology_add(&w->places, str_of("a"), str_of("east"));
    topology_add(&w->places, str_of("b"), str_of("west"));
    w->set = ups_new(&w->places, 2 * S);
    w->plan = plan_new(2);
    w->service = (RtService){.id = hash_str(str_of("desk"), 0),
                             .max_conns = 1000,
                             .warmup_us = 3 * S,
                             .cold_per_s = 10};
    w->route =
        (RtRoute){.sticky = true, .target_us = 400 * MS, .timeout_us = S};
    for (int i = 0; i < 2 * per_zone; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%d", i);
        add_upstream(w, id, i % 2 == 0 ? "a" : "b", 4, 0, NOW);
    }
    for (int i = 0; i < 10; i++) {
        w->vms[i] = (PickVm){hash_mix(7, (uint64_t)i), i % 2};
    }
}

static void
world_clear(World *w)
{
    plan_free(w->plan);
    ups_free(w->set);
}

static PickIn
pick_in(World *w, uint64_t object)
{
    return (PickIn){.set = w->set,
                    .topology = &w->places,
                    .plan = w->plan,
                    .route = &w->route,
                    .service = &w->service,
                    .object = hash_mix(object, 1),
                    .vms = w->vms,
                    .n_vms = 10,
                    .cold_vms_max = 4,
                    .max_rtt_us = 20 * MS};
}

static Ups *
find(const World *w, const char *id)
{
    const GPtrArray *list = ups_of_service(w->set, w->service.id);

    for (guint i = 0; i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        if (strcmp(u->id, id) == 0) {
            return u;
        }
    }
    return NULL;
}

/* Guards against spilling: with any upstream for any object all of them stay
 * cold.  The baseline, least load, uses most of them for one object. */
START_TEST(an_object_keeps_its_upstream_under_load)
{
    World w;
    PickReason why;
    int used = 0;
    int used_least = 0;
    GHashTable *seen = g_hash_table_new(NULL, NULL);
    GHashTable *least = g_hash_table_new(NULL, NULL);

    world_init(&w, 8);
    for (int i = 0; i < 400; i++) {
        PickIn in = pick_in(&w, 5);
        Ups *u = pick_upstream(&in, NOW, &why);
        if (u != NULL) {
            g_hash_table_add(seen, u);
            u->inflight = (u->inflight + 1) % 5;
        }
        const GPtrArray *list = ups_of_service(w.set, w.service.id);
        g_hash_table_add(least, g_ptr_array_index(list, (guint)i % list->len));
    }
    used = (int)g_hash_table_size(seen);
    used_least = (int)g_hash_table_size(least);
    ck_assert_int_eq(used, 1);
    ck_assert_int_eq(used_least, 16);
    g_hash_table_destroy(seen);
    g_hash_table_destroy(least);
    world_clear(&w);
}
END_TEST

/* Load of the busiest upstream over the mean, for objects that need one unit
 * each. */
static double
busiest(World *w, int objects, bool planned)
{
    const GPtrArray *list = ups_of_service(w->set, w->service.id);
    double most = 0;
    PickReason why;

    for (guint i = 0; i < list->len; i++) {
        ((Ups *)g_ptr_array_index(list, i))->inflight = 0;
    }
    for (int i = 0; i < objects; i++) {
        PickIn in = pick_in(w, (uint64_t)i);
        in.plan = planned ? w->plan : NULL;
        Ups *u = pick_upstream(&in, NOW, &why);
        ck_assert_ptr_nonnull(u);
        u->slots = 1000; /* room for all, so that only the places count */
        u->inflight++;
        most = fmax(most, u->inflight);
    }
    for (guint i = 0; i < list->len; i++) {
        ((Ups *)g_ptr_array_index(list, i))->slots = 4;
    }
    return most * list->len / objects;
}

/* Guards against upstreams that get several times the mean while others have
 * free slots.  The baseline is rendezvous hashing without the plan. */
START_TEST(the_plan_spreads_few_objects_evenly)
{
    World w;

    world_init(&w, 10);
    for (int i = 0; i < 48; i++) {
        plan_add(w.plan, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
    }
    plan_step(w.plan, w.set, NOW);
    ck_assert(busiest(&w, 48, false) > 1.8);
    ck_assert(busiest(&w, 48, true) <= 1.26);
    world_clear(&w);
}
END_TEST

/* Guards against VMs that send one object to different upstreams: the plan
 * may not depend on the order in which objects were learned. */
START_TEST(the_plan_does_not_depend_on_order)
{
    World w;
    Plan *other;
    int differ = 0;

    world_init(&w, 10);
    other = plan_new(2);
    for (int i = 0; i < 60; i++) {
        plan_add(w.plan, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
        plan_add(other, w.service.id, hash_mix((uint64_t)(59 - i), 1), 1, NOW);
    }
    plan_step(w.plan, w.set, NOW);
    plan_step(other, w.set, NOW);
    for (int i = 0; i < 60; i++) {
        for (int scope = PLAN_ALL_REGIONS; scope < 2; scope++) {
            uint64_t o = hash_mix((uint64_t)i, 1);
            Ups *u = plan_owner(w.plan, w.service.id, scope, o);
            differ += u != plan_owner(other, w.service.id, scope, o);
            ck_assert(scope == PLAN_ALL_REGIONS || u->region == scope);
        }
    }
    ck_assert_int_eq(differ, 0);
    plan_free(other);
    world_clear(&w);
}
END_TEST

/* Guards against a change of one upstream that moves most objects, since each
 * one that moves runs cold. */
START_TEST(a_lost_upstream_moves_few_objects)
{
    World w;
    Ups *before[100];
    int moved = 0;

    world_init(&w, 10);
    for (int i = 0; i < 100; i++) {
        plan_add(w.plan, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
    }
    plan_step(w.plan, w.set, NOW);
    for (int i = 0; i < 100; i++) {
        before[i] = plan_owner(w.plan, w.service.id, PLAN_ALL_REGIONS,
                               hash_mix((uint64_t)i, 1));
    }
    ups_missing(w.set, str_of("u3"), NOW);
    ck_assert_int_eq(ups_expire(w.set, NOW), 1);
    plan_step(w.plan, w.set, NOW + S);
    for (int i = 0; i < 100; i++) {
        moved +=
            before[i] != plan_owner(w.plan, w.service.id, PLAN_ALL_REGIONS,
                                    hash_mix((uint64_t)i, 1));
    }
    /* Its own 5 or 6 and those that the bound moves on. */
    ck_assert_int_le(moved, 20);
    world_clear(&w);
}
END_TEST

/* Objects for which two VMs that know different parts of the objects choose
 * different upstreams, in 100. */
static int
disagreement(int objects)
{
    World w;
    Plan *other;
    PickReason why;
    int both = 0;
    int differ = 0;

    world_init(&w, 40);
    other = plan_new(2);
    for (int i = 0; i < objects; i++) {
        if (i % 4 != 1) {
            plan_add(w.plan, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
        }
        if (i % 4 != 2) {
            plan_add(other, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
        }
    }
    plan_step(w.plan, w.set, NOW);
    plan_step(other, w.set, NOW);
    for (int i = 0; i < objects; i += 4) {
        PickIn in = pick_in(&w, (uint64_t)i);
        Ups *u = pick_upstream(&in, NOW, &why);
        in.plan = other;
        differ += u != pick_upstream(&in, NOW, &why);
        both++;
    }
    plan_free(other);
    world_clear(&w);
    return differ * 100 / both;
}

/* Guards against objects of a large service that run cold because the VMs of a
 * large fleet, which have not learned all of them, place them differently. */
START_TEST(vms_that_know_parts_of_many_objects_agree)
{
    ck_assert_int_eq(disagreement(1000), 0);
}
END_TEST

/* Guards against work of a low rank that takes the room of a higher one. */
START_TEST(urgent_work_finds_room_when_other_work_fills_up)
{
    World w;
    PickReason why;

    world_init(&w, 1);
    for (int i = 0; i < 2; i++) {
        find(&w, i == 0 ? "u0" : "u1")->inflight = 7;
    }
    PickIn in = pick_in(&w, 1);
    w.route.rank = 2;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    ck_assert_int_eq(why, PICK_FULL);
    w.route.rank = 0;
    ck_assert_ptr_nonnull(pick_upstream(&in, NOW, &why));
    world_clear(&w);
}
END_TEST

/* Guards against requests that go on failing at an upstream whose health looks
 * good, and against leaving it for good. */
START_TEST(a_failing_upstream_is_stood_in_for)
{
    World w;
    PickReason why;

    world_init(&w, 4);
    PickIn in = pick_in(&w, 3);
    Ups *own = pick_upstream(&in, NOW, &why);
    ck_assert_int_eq(why, PICK_FIRST);
    for (int i = 0; i < 10; i++) {
        ups_observe_end(own, i % 4 == 0, NOW);
    }
    Ups *other = pick_upstream(&in, NOW, &why);
    ck_assert_ptr_nonnull(other);
    ck_assert_ptr_ne(other, own);
    ck_assert_int_eq(why, PICK_SPILL);
    ck_assert_ptr_eq(pick_upstream(&in, NOW + 5 * S, &why), own);
    for (int i = 0; i < 20; i++) {
        ups_observe_latency(own, 6, NOW + 6 * S);
    }
    ck_assert_ptr_eq(pick_upstream(&in, NOW + 6 * S, &why), other);
    world_clear(&w);
}
END_TEST

/* Guards against work for upstreams that drain, are gone, or stand in a zone
 * that is kept empty. */
START_TEST(leaving_upstreams_get_nothing)
{
    World w;
    PickReason why;
    PickIn in;

    world_init(&w, 1);
    UpsReport r = {.id = str_of("u0"),
                   .service = str_of("desk"),
                   .zone = str_of("a"),
                   .slots = 4,
                   .draining = true};
    ck_assert_int_eq(ups_report(w.set, &r, NOW), UPS_DRAIN_STARTED);
    for (uint64_t o = 0; o < 50; o++) {
        in = pick_in(&w, o);
        ck_assert_ptr_eq(pick_upstream(&in, NOW, &why), find(&w, "u1"));
    }
    ups_drain_zone(w.set, 1, true, NOW);
    in = pick_in(&w, 1);
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    ck_assert_int_eq(why, PICK_NONE);
    world_clear(&w);
}
END_TEST

/* Guards against entries that lapse with a stop of the store being taken for
 * gone, and against keeping them for ever. */
START_TEST(missing_entries_wait_for_the_store)
{
    World w;

    world_init(&w, 1);
    ups_store_failed(w.set, NOW);
    ups_missing(w.set, str_of("u0"), NOW + S);
    ck_assert_int_eq(ups_expire(w.set, NOW + S), 0);
    ck_assert(ups_usable(w.set, find(&w, "u0")));
    add_upstream(&w, "u0", "a", 4, 0, NOW + S);
    ck_assert_int_eq(ups_expire(w.set, NOW + 3 * S), 0);
    ups_missing(w.set, str_of("u0"), NOW + 3 * S);
    ck_assert_int_eq(ups_expire(w.set, NOW + 3 * S), 1);
    world_clear(&w);
}
END_TEST

/* Guards against a cold upstream that falls over: requests of all VMs within
 * one second, each VM deciding alone. */
START_TEST(all_vms_together_spare_a_cold_upstream)
{
    World w;
    PickReason why;
    int sent = 0;

    world_init(&w, 0);
    add_upstream(&w, "c", "a", 100, 3 * S, NOW);
    for (int vm = 0; vm < 10; vm++) {
        Ups *u = find(&w, "c");
        u->cold_bucket = (Bucket){0};
        for (int i = 0; i < 100; i++) {
            PickIn in = pick_in(&w, (uint64_t)i);
            in.self = vm;
            u->inflight = 0;
            sent += pick_upstream(&in, NOW + i * 10 * MS, &why) != NULL;
        }
    }
    /* Ten a second are borne, and one of burst for each of four VMs. */
    ck_assert_int_gt(sent, 5);
    ck_assert_int_le(sent, 14);
    world_clear(&w);
}
END_TEST

/* Guards against a full rate to an upstream that may have started again and
 * has not reported since. */
START_TEST(an_upstream_that_was_away_counts_as_cold)
{
    World w;

    world_init(&w, 1);
    Ups *u = find(&w, "u0");
    ck_assert(!ups_cold(w.set, u, 3 * S, NOW));
    ups_observe_down(u, NOW + S);
    ck_assert(ups_cold(w.set, u, 3 * S, NOW + 2 * S));
    add_upstream(&w, "u0", "a", 4, 0, NOW + 3 * S);
    ck_assert(!ups_cold(w.set, u, 3 * S, NOW + 3 * S));
    ups_drain_zone(w.set, 0, true, NOW + 4 * S);
    ups_drain_zone(w.set, 0, false, NOW + 5 * S);
    ck_assert(ups_cold(w.set, u, 3 * S, NOW + 5 * S));
    world_clear(&w);
}
END_TEST

/* Guards against the cap on shifts being passed when demand jumps, and
 * against a region that keeps more than it can carry. */
START_TEST(shares_move_within_the_cap)
{
    Split s = {0};
    SplitIn in = {.n = 3,
                  .capacity = {100, 20, 100},
                  .demand = {30, 30, 30},
                  .max_shift_per_s = 0.05};

    split_step(&s, &in, NOW);
    ck_assert(s.share[1][1] < 0.6);
    ck_assert(s.share[0][0] > 0.999);
    in.demand[1] = 80;
    for (int i = 1; i <= 40; i++) {
        Split old = s;
        split_step(&s, &in, NOW + i * S / 2);
        for (int f = 0; f < 3; f++) {
            double moved = 0;
            double sum = 0;
            for (int t = 0; t < 3; t++) {
                moved += fabs(s.share[f][t] - old.share[f][t]) / 2;
                sum += s.share[f][t];
            }
            ck_assert(moved <= 0.0251);
            ck_assert(fabs(sum - 1) < 1e-9);
        }
    }
    ck_assert(s.share[1][1] < 0.3);
    in.capacity[1] = 0;
    split_step(&s, &in, NOW + 21 * S);
    ck_assert(s.share[1][1] < 1e-9);
}
END_TEST

/* Guards against VMs that were not heard being left out of the demand. */
START_TEST(unheard_vms_count_as_the_others)
{
    World w;
    DemandOpts o = {.max_shift_per_s = 1,
                    .retry_ratio = 0.2,
                    .retry_slack = 10,
                    .retry_window_us = 10 * S};
    int by_region[REGIONS_MAX] = {1, 10};

    world_init(&w, 2);
    o.topology = &w.places;
    Demand *d = demand_new(&o);
    DemandService *s = demand_service(d, w.service.id);
    demand_received(d, 1, 1, w.service.id, 1.5, NOW);
    demand_received(d, 2, 1, w.service.id, 1.5, NOW);
    demand_step(d, w.set, by_region, NOW);
    /* 15 slots are asked for and 8 are there: most leaves the region. */
    ck_assert(s->split.share[1][1] < 0.75);
    demand_free(d);
    world_clear(&w);
}
END_TEST

/* Guards against a retry storm: repeats of all VMs in one window. */
START_TEST(repeats_of_all_vms_stay_within_the_budget)
{
    World w;
    DemandOpts o = {.max_shift_per_s = 1,
                    .retry_ratio = 0.2,
                    .retry_slack = 60,
                    .retry_window_us = 10 * S};
    int again = 0;
    int first = 0;

    world_init(&w, 1);
    o.topology = &w.places;
    for (int vm = 0; vm < 10; vm++) {
        Demand *d = demand_new(&o);
        DemandService *s = demand_service(d, w.service.id);
        for (int i = 0; i < 1000; i++) {
            int64_t now = NOW + i * 10 * MS;
            demand_arrived(d, s, 10);
            first++;
            again += demand_retry(d, s, 10, now);
            again += demand_retry(d, s, 10, now);
        }
        demand_free(d);
    }
    ck_assert_int_gt(again, 1000);
    ck_assert_int_le(again, first / 5 + 60);
    world_clear(&w);
}
END_TEST

T_MAIN("pick", an_object_keeps_its_upstream_under_load,
       the_plan_spreads_few_objects_evenly, the_plan_does_not_depend_on_order,
       a_lost_upstream_moves_few_objects,
       vms_that_know_parts_of_many_objects_agree,
       urgent_work_finds_room_when_other_work_fills_up,
       a_failing_upstream_is_stood_in_for, leaving_upstreams_get_nothing,
       missing_entries_wait_for_the_store,
       all_vms_together_spare_a_cold_upstream,
       an_upstream_that_was_away_counts_as_cold, shares_move_within_the_cap,
       unheard_vms_count_as_the_others,
       repeats_of_all_vms_stay_within_the_budget)
