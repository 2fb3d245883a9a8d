/* Tests of spare: connections to other regions that are opened ahead of need.
 */
#include "t.h"

#include <string.h>

#include "hash.h"
#include "spare.h"

#define MS 1000LL
#define S (1000 * MS)
#define NOW (100 * S)

typedef struct Fixture {
    Topology topology;
    UpsSet *set;
    RtService service;
    DemandService demand;
    SpareIn in;
    Ups *home;
    Ups *away;
    int opened;
    Ups *last;
} Fixture;

static void
add(Fixture *f, const char *id, const char *zone)
{
    UpsReport r = {.id = str_of(id),
                   .service = str_of("desk"),
                   .zone = str_of(zone),
                   .slots = 4};

    ups_report(f->set, &r, NOW);
}

static void
setup(Fixture *f)
{
    memset(f, 0, sizeof(*f));
    topology_add(&f->topology, str_of("a"), str_of("east"));
    topology_add(&f->topology, str_of("b"), str_of("west"));
    f->set = ups_new(&f->topology, S);
    add(f, "home", "a");
    add(f, "away", "b");
    f->home = ups_find(f->set, str_of("home"));
    f->away = ups_find(f->set, str_of("away"));
    f->service = (RtService){.id = hash_str(str_of("desk"), 0),
                             .max_conns = 100,
                             .warmup_us = 3 * S};
    f->demand.used = true;
    f->demand.rate = 10;
    f->demand.split.n = 2;
    f->demand.split.share[0][0] = 0.7;
    f->demand.split.share[0][1] = 0.3;
    f->in = (SpareIn){.set = f->set,
                      .service = &f->service,
                      .demand = &f->demand,
                      .n_vms = 2,
                      .max_rtt_us = 110 * MS};
}

static void
count_open(void *ctx, Ups *u)
{
    Fixture *f = ctx;

    f->opened++;
    f->last = u;
}

static int
step(Fixture *f, int64_t now_us)
{
    f->opened = 0;
    spare_step(&f->in, count_open, f, now_us);
    return f->opened;
}

/* Guards against requests of a VM that has just started waiting for their
 * connections to another region, and against connections that nobody uses. */
START_TEST(a_region_that_gets_requests_gets_one_connection)
{
    Fixture f;

    setup(&f);
    ck_assert_int_eq(step(&f, NOW), 1);
    ck_assert_ptr_eq(f.last, f.away);
    ck_assert_int_eq(step(&f, NOW + S), 0);
    ck_assert_int_eq(step(&f, NOW + 20 * S), 0);
    ups_free(f.set);
}
END_TEST

/* Guards against a second request that waits for a connection while the only
 * one is in use, and against reopening after the requests have ended. */
START_TEST(an_upstream_in_use_has_a_spare_connection)
{
    Fixture f;

    setup(&f);
    step(&f, NOW);
    f.away->sent_us = NOW + S;
    ck_assert_int_eq(step(&f, NOW + S), 0);
    f.away->sent_before_us = NOW + S;
    ck_assert_int_eq(step(&f, NOW + S), 1);
    ck_assert_int_eq(step(&f, NOW + S + 100 * MS), 0);
    ck_assert_int_eq(step(&f, NOW + 2 * S), 1);
    ck_assert_int_eq(step(&f, NOW + 8 * S), 0);
    ups_free(f.set);
}
END_TEST

/* Guards against requests that wait for a new connection to another region
 * because the one of the last request has expired, against connections that
 * are opened again while nobody uses them, and in a row when they fail. */
START_TEST(an_upstream_used_now_and_then_has_a_connection_ready)
{
    Fixture f;
    const int64_t sent_us = NOW + 2 * S;

    setup(&f);
    f.demand.rate = 0.2; /* 0.48 requests while a connection is idle */
    f.away->keep_us = 8 * S;
    ck_assert_int_eq(step(&f, NOW), 1);
    f.away->sent_us = sent_us;
    ck_assert_int_eq(step(&f, sent_us + 8 * S), 1);
    ck_assert_int_eq(step(&f, sent_us + 9 * S), 0);
    ck_assert_int_eq(step(&f, sent_us + 15 * S), 0);
    ck_assert_int_eq(step(&f, sent_us + 16 * S), 1);
    /* Four requests were expected by then. */
    ck_assert_int_eq(step(&f, sent_us + 80 * S), 0);
    f.away->sent_us = sent_us + 80 * S;
    ck_assert_int_eq(step(&f, sent_us + 88 * S), 1);
    f.demand.rate = 0.1;
    ck_assert_int_eq(step(&f, sent_us + 100 * S), 0);
    ups_free(f.set);
}
END_TEST

/* Guards against requests that run in any region, whatever its share, and wait
 * for a new connection there. */
START_TEST(requests_of_any_region_are_expected_in_each)
{
    Fixture f;

    setup(&f);
    f.demand.split.share[0][0] = 1;
    f.demand.split.share[0][1] = 0;
    f.demand.rate = 10;
    ck_assert_int_eq(step(&f, NOW), 0);
    f.demand.near_rate = 1; /* half of them are expected at each upstream */
    ck_assert_int_eq(step(&f, NOW), 1);
    ck_assert_ptr_eq(f.last, f.away);
    ups_free(f.set);
}
END_TEST

/* Guards against connections where they are of no use or not allowed. */
START_TEST(no_connection_is_opened_needlessly)
{
    Fixture f;

    setup(&f);
    f.demand.used = false;
    ck_assert_int_eq(step(&f, NOW), 0);
    f.demand.used = true;
    f.demand.split.share[0][1] = 0;
    ck_assert_int_eq(step(&f, NOW), 0);
    f.demand.split.share[0][1] = 0.3;
    f.demand.rate = 0.1; /* 0.15 requests while a connection is idle */
    ck_assert_int_eq(step(&f, NOW), 0);
    f.demand.rate = 10;
    f.in.max_rtt_us = 24 * MS;
    ck_assert_int_eq(step(&f, NOW), 0);
    f.in.max_rtt_us = 110 * MS;
    f.away->n_conns = 40; /* this VM's part of the limit */
    ck_assert_int_eq(step(&f, NOW), 0);
    f.away->n_conns = 0;
    f.away->cold_until_us = NOW + S;
    ck_assert_int_eq(step(&f, NOW), 0);
    f.away->cold_until_us = 0;
    f.away->state = UPS_DRAINING;
    ck_assert_int_eq(step(&f, NOW), 0);
    ups_free(f.set);
}
END_TEST

T_MAIN("spare", a_region_that_gets_requests_gets_one_connection,
       an_upstream_in_use_has_a_spare_connection,
       an_upstream_used_now_and_then_has_a_connection_ready,
       requests_of_any_region_are_expected_in_each,
       no_connection_is_opened_needlessly)
