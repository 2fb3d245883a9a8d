/* Tests of ups, plan, split, demand and pick: choice of an upstream. */
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
    Topology topology;
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
    topology_add(&w->topology, str_of("a"), str_of("east"));
    topology_add(&w->topology, str_of("b"), str_of("west"));
    w->set = ups_new(&w->topology, 2 * S);
    w->plan = plan_new(2);
    w->service = (RtService){.id = hash_str(str_of("desk"), 0),
                             .max_conns = 1000,
                             .warmup_us = 3 * S,
                             .cold_per_s = 10};
    w->route = (RtRoute){
        .sticky = true, .latency_target_us = 400 * MS, .timeout_us = S};
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
                    .topology = &w->topology,
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

/* Guards against spilling: if any upstream may serve any object, all of them
 * stay cold.  The baseline, round robin, uses all of them for one object. */
START_TEST(an_object_keeps_its_upstream_under_load)
{
    World w;
    PickReason why;
    int used = 0;
    int used_baseline = 0;
    GHashTable *picked = g_hash_table_new(NULL, NULL);
    GHashTable *baseline = g_hash_table_new(NULL, NULL);

    world_init(&w, 8);
    for (int i = 0; i < 400; i++) {
        PickIn in = pick_in(&w, 5);
        Ups *u = pick_upstream(&in, NOW, &why);
        if (u != NULL) {
            g_hash_table_add(picked, u);
            u->inflight = (u->inflight + 1) % 5;
        }
        const GPtrArray *list = ups_of_service(w.set, w.service.id);
        g_hash_table_add(baseline,
                         g_ptr_array_index(list, (guint)i % list->len));
    }
    used = (int)g_hash_table_size(picked);
    used_baseline = (int)g_hash_table_size(baseline);
    ck_assert_int_eq(used, 1);
    ck_assert_int_eq(used_baseline, 16);
    g_hash_table_destroy(picked);
    g_hash_table_destroy(baseline);
    world_clear(&w);
}
END_TEST

/* Ratio of the highest load of an upstream to the mean, for objects that need
 * one slot each. */
static double
peak_ratio(World *w, int objects, bool planned)
{
    const GPtrArray *list = ups_of_service(w->set, w->service.id);
    double max_load = 0;
    PickReason why;

    for (guint i = 0; i < list->len; i++) {
        ((Ups *)g_ptr_array_index(list, i))->inflight = 0;
    }
    for (int i = 0; i < objects; i++) {
        PickIn in = pick_in(w, (uint64_t)i);
        in.plan = planned ? w->plan : NULL;
        Ups *u = pick_upstream(&in, NOW, &why);
        ck_assert_ptr_nonnull(u);
        u->slots = 1000; /* enough slots that no request is refused */
        u->inflight++;
        max_load = fmax(max_load, u->inflight);
    }
    for (guint i = 0; i < list->len; i++) {
        ((Ups *)g_ptr_array_index(list, i))->slots = 4;
    }
    return max_load * list->len / objects;
}

/* Guards against upstreams that get several times the mean load while others
 * have free slots.  The baseline is rendezvous hashing without the plan. */
START_TEST(the_plan_spreads_few_objects_evenly)
{
    World w;

    world_init(&w, 10);
    for (int i = 0; i < 48; i++) {
        plan_add(w.plan, w.service.id, hash_mix((uint64_t)i, 1), 1, NOW);
    }
    plan_step(w.plan, w.set, NOW);
    ck_assert(peak_ratio(&w, 48, false) > 1.8);
    ck_assert(peak_ratio(&w, 48, true) <= 1.26);
    world_clear(&w);
}
END_TEST

/* Guards against VMs that send one object to different upstreams: the plan
 * must not depend on the order in which objects were added. */
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

/* Guards against the loss of one upstream moving most objects: each object
 * that moves is served cold. */
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
    /* The 5 or 6 objects of u3, and others displaced by the load bound. */
    ck_assert_int_le(moved, 20);
    world_clear(&w);
}
END_TEST

/* Percentage of objects for which two VMs that track different subsets of the
 * objects choose different upstreams. */
static int
disagreement_pct(int objects)
{
    World w;
    Plan *other;
    PickReason why;
    int compared = 0;
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
        compared++;
    }
    plan_free(other);
    world_clear(&w);
    return differ * 100 / compared;
}

/* Guards against objects of a large service that are served cold because the
 * VMs of a large fleet, none of which tracks all objects, assign them to
 * different upstreams. */
START_TEST(vms_with_partial_data_agree_on_many_objects)
{
    ck_assert_int_eq(disagreement_pct(1000), 0);
}
END_TEST

/* Guards against less urgent work using the capacity reserved for urgent work.
 */
START_TEST(capacity_is_reserved_for_urgent_work)
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

/* Guards against refusing a request while the object's upstream in another
 * region has a free slot, and against an overflow to an upstream that is busy,
 * cold or degraded, or lies outside the route's home regions. */
START_TEST(a_full_region_overflows_to_free_slots)
{
    World w;
    PickReason why;
    char *homes[] = {"west", NULL};

    world_init(&w, 1);
    w.route.rank = 3;
    Ups *own = find(&w, "u1");
    Ups *other = find(&w, "u0");
    own->inflight = 5;
    PickIn in = pick_in(&w, 1);
    in.region = 1;
    in.max_rtt_us = S;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    ck_assert_int_eq(why, PICK_CAPPED);
    in.may_overflow = true;
    ck_assert_ptr_eq(pick_upstream(&in, NOW, &why), other);
    ck_assert_int_eq(why, PICK_OVERFLOW);
    w.route.home_regions = homes;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    ck_assert_int_eq(why, PICK_FULL);
    w.route.home_regions = NULL;
    other->inflight = 4;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    other->inflight = 0;
    other->cold_until_us = NOW + S;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    other->cold_until_us = 0;
    other->lost_streak = 3;
    other->lost_at_us = NOW;
    ck_assert_ptr_null(pick_upstream(&in, NOW, &why));
    world_clear(&w);
}
END_TEST

/* Guards against requests that keep failing at an upstream that is reported
 * healthy, and against avoiding it permanently. */
START_TEST(a_degraded_upstream_is_replaced)
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

/* Guards against requests to upstreams that are draining or are in a drained
 * zone. */
START_TEST(draining_upstreams_get_no_requests)
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

/* Guards against upstreams being dropped because their entries expired during
 * an outage of the store, and against keeping such entries forever. */
START_TEST(missing_entries_are_kept_after_store_failure)
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

/* Guards against overload of a cold upstream by requests of all VMs within one
 * second, when each VM decides independently. */
START_TEST(vms_share_the_rate_of_a_cold_upstream)
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
    /* The limit is 10 per second, plus a burst of one for each of 4 VMs. */
    ck_assert_int_gt(sent, 5);
    ck_assert_int_le(sent, 14);
    world_clear(&w);
}
END_TEST

/* Guards against the full request rate to an upstream that may have restarted
 * and has not reported since. */
START_TEST(an_unreachable_upstream_becomes_cold)
{
    World w;

    world_init(&w, 1);
    Ups *u = find(&w, "u0");
    ck_assert(!ups_cold(w.set, u, 3 * S, NOW));
    ups_observe_connect_failure(u, NOW + S);
    ck_assert(ups_cold(w.set, u, 3 * S, NOW + 2 * S));
    add_upstream(&w, "u0", "a", 4, 0, NOW + 3 * S);
    ck_assert(!ups_cold(w.set, u, 3 * S, NOW + 3 * S));
    ups_drain_zone(w.set, 0, true, NOW + 4 * S);
    ups_drain_zone(w.set, 0, false, NOW + 5 * S);
    ck_assert(ups_cold(w.set, u, 3 * S, NOW + 5 * S));
    world_clear(&w);
}
END_TEST

/* Guards against exceeding the cap on shifts when demand jumps, and against a
 * region that keeps more requests than its capacity allows. */
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
    /* 140 of 220 slots: the small region is loaded no more than the others. */
    ck_assert(s.share[1][1] * 80 / 20 < 0.66);
    in.capacity[1] = 0;
    split_step(&s, &in, NOW + 21 * S);
    ck_assert(s.share[1][1] < 1e-9);
}
END_TEST

/* Guards against demand that leaves out VMs from which no report arrived. */
START_TEST(vms_without_reports_count_as_average)
{
    World w;
    DemandOpts o = {.max_shift_per_s = 1,
                    .retry_ratio = 0.2,
                    .retry_slack = 10,
                    .retry_window_us = 10 * S};
    int by_region[REGIONS_MAX] = {1, 10};

    world_init(&w, 2);
    o.topology = &w.topology;
    Demand *d = demand_new(&o);
    DemandService *s = demand_service(d, w.service.id);
    demand_received(d, 1, 1, w.service.id, 1.5, NOW);
    demand_received(d, 2, 1, w.service.id, 1.5, NOW);
    demand_step(d, w.set, by_region, NOW);
    /* The demand is 15 slots, of which the region has 8: part of it moves to
     * the other region. */
    ck_assert(s->split.share[1][1] < 0.75);
    demand_free(d);
    world_clear(&w);
}
END_TEST

/* Guards against a retry storm: the retries of all VMs in one window must stay
 * within one budget. */
START_TEST(retries_of_all_vms_stay_within_the_budget)
{
    World w;
    DemandOpts o = {.max_shift_per_s = 1,
                    .retry_ratio = 0.2,
                    .retry_slack = 60,
                    .retry_window_us = 10 * S};
    int retries = 0;
    int first = 0;

    world_init(&w, 1);
    o.topology = &w.topology;
    for (int vm = 0; vm < 10; vm++) {
        Demand *d = demand_new(&o);
        DemandService *s = demand_service(d, w.service.id);
        for (int i = 0; i < 1000; i++) {
            int64_t now = NOW + i * 10 * MS;
            demand_arrived(d, s, 10);
            first++;
            retries += demand_retry(d, s, 10, now);
            retries += demand_retry(d, s, 10, now);
        }
        demand_free(d);
    }
    ck_assert_int_gt(retries, 1000);
    ck_assert_int_le(retries, first / 5 + 60);
    world_clear(&w);
}
END_TEST

T_MAIN("pick", an_object_keeps_its_upstream_under_load,
       the_plan_spreads_few_objects_evenly, the_plan_does_not_depend_on_order,
       a_lost_upstream_moves_few_objects,
       vms_with_partial_data_agree_on_many_objects,
       capacity_is_reserved_for_urgent_work,
       a_full_region_overflows_to_free_slots, a_degraded_upstream_is_replaced,
       draining_upstreams_get_no_requests,
       missing_entries_are_kept_after_store_failure,
       vms_share_the_rate_of_a_cold_upstream,
       an_unreachable_upstream_becomes_cold, shares_move_within_the_cap,
       vms_without_reports_count_as_average,
       retries_of_all_vms_stay_within_the_budget)
