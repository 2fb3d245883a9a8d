/* Tests of upstreams that accept requests and never respond, while discovery
 * reports them as ready.  24 VMs, each with few attempts at an upstream, share
 * their observations. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "pick.h"

#define MS INT64_C(1000)
#define S INT64_C(1000000)
#define START (100 * S)
#define N_VMS 24
#define N_UPSTREAMS 100
#define N_UNRESPONSIVE 30
#define N_OBJECTS 200
#define REQUESTS_PER_S 25.0 /* per VM: one in 4 s to each upstream */
#define RESPONSE_US (300 * MS)
#define TIMEOUT_US (1350 * MS)
#define STEP_US (10 * MS)
#define HEARTBEAT_US (500 * MS)
#define OBSERVATIONS_MAX 64
#define ATTEMPTS_MAX 4096

typedef struct Attempt {
    int vm;
    Ups *u;
    int64_t end_us;
    bool ok;
} Attempt;

typedef struct Fleet {
    Topology topo;
    UpsSet *sets[N_VMS];
    RtService service;
    RtRoute route;
    Attempt attempts[ATTEMPTS_MAX];
    int n_attempts;
    GRand *rnd;
} Fleet;

static void
fleet_init(Fleet *f, guint32 seed)
{
    memset(f, 0, sizeof(*f));
    topology_add(&f->topo, str_of("a"), str_of("east"));
    f->rnd = g_rand_new_with_seed(seed);
    f->service =
        (RtService){.id = hash_str(str_of("desk"), 0), .max_conns = 10000};
    f->route =
        (RtRoute){.latency_target_us = 600 * MS, .timeout_us = TIMEOUT_US};
    for (int vm = 0; vm < N_VMS; vm++) {
        f->sets[vm] = ups_new(&f->topo, 2 * S);
        for (int i = 0; i < N_UPSTREAMS; i++) {
            char id[16];
            snprintf(id, sizeof(id), "u%d", i);
            UpsReport r = {.id = str_of(id),
                           .service = str_of("desk"),
                           .zone = str_of("a"),
                           .slots = 9};
            ups_report(f->sets[vm], &r, START);
        }
    }
}

static void
fleet_clear(Fleet *f)
{
    for (int vm = 0; vm < N_VMS; vm++) {
        ups_free(f->sets[vm]);
    }
    g_rand_free(f->rnd);
}

/* Returns true when the request was sent to an unresponsive upstream. */
static bool
send_request(Fleet *f, int vm, bool outage, int64_t now)
{
    PickReason why;
    PickIn in = {.set = f->sets[vm],
                 .topology = &f->topo,
                 .route = &f->route,
                 .service = &f->service,
                 .object = hash_mix(
                     (uint64_t)g_rand_int_range(f->rnd, 0, N_OBJECTS), 3),
                 .n_vms = 1,
                 .cold_vms_max = 4};
    Ups *u = pick_upstream(&in, now, &why);

    if (u == NULL || f->n_attempts == ATTEMPTS_MAX) {
        return false;
    }
    bool unresponsive = outage && atoi(u->id + 1) < N_UNRESPONSIVE;
    u->inflight++;
    f->attempts[f->n_attempts++] = (Attempt){
        vm, u, now + (unresponsive ? TIMEOUT_US : RESPONSE_US), !unresponsive};
    return unresponsive;
}

static void
end_attempts(Fleet *f, int64_t now)
{
    for (int i = 0; i < f->n_attempts;) {
        Attempt *x = &f->attempts[i];
        if (now < x->end_us) {
            i++;
            continue;
        }
        x->u->inflight--;
        if (x->ok) {
            ups_observe_end(x->u, true, now);
        }
        else {
            ups_observe_lost(x->u, now);
        }
        *x = f->attempts[--f->n_attempts];
    }
}

/* Each VM sends its observations of lost attempts to all VMs and the others to
 * four of them. */
static void
exchange_observations(Fleet *f, int64_t now)
{
    UpsObservation observations[OBSERVATIONS_MAX];

    for (int vm = 0; vm < N_VMS; vm++) {
        int n = ups_take_observations(f->sets[vm], false, observations,
                                      OBSERVATIONS_MAX);
        for (int k = 0; k < 4; k++) {
            int to = g_rand_int_range(f->rnd, 0, N_VMS);
            for (int i = 0; i < n && to != vm; i++) {
                ups_receive_observation(f->sets[to], &observations[i], now);
            }
        }
        n = ups_take_observations(f->sets[vm], true, observations,
                                  OBSERVATIONS_MAX);
        for (int to = 0; to < N_VMS; to++) {
            for (int i = 0; i < n && to != vm; i++) {
                ups_receive_observation(f->sets[to], &observations[i], now);
            }
        }
    }
}

/* Simulates 14 s, in 9 s of which some upstreams are unresponsive.  share: VMs
 * exchange observations.  Returns the number of requests that were sent to
 * unresponsive upstreams. */
static int
simulate(guint32 seed, bool share)
{
    Fleet *f = g_new(Fleet, 1);
    int lost = 0;

    fleet_init(f, seed);
    for (int64_t t = 0; t < 14 * S; t += STEP_US) {
        int64_t now = START + t;
        bool outage = t >= 4 * S && t < 13 * S;
        for (int vm = 0; vm < N_VMS; vm++) {
            if (g_rand_double(f->rnd) <
                REQUESTS_PER_S * (double)STEP_US / 1e6) {
                lost += send_request(f, vm, outage, now) ? 1 : 0;
            }
        }
        end_attempts(f, now);
        if (share && t % HEARTBEAT_US == 0) {
            exchange_observations(f, now);
        }
    }
    fleet_clear(f);
    g_free(f);
    return lost;
}

/* Guards against requests that are sent to unresponsive upstreams for as long
 * as these do not respond, since no VM alone has enough observations of one.
 * In the baseline, without exchange, about all requests for the objects of
 * such upstreams are lost. */
START_TEST(vms_together_avoid_unresponsive_upstreams)
{
    int alone = 0;
    int together = 0;

    for (guint32 seed = 1; seed <= 3; seed++) {
        alone += simulate(seed, false);
        together += simulate(seed, true);
    }
    printf("requests to silent upstreams: alone %d, together %d\n", alone,
           together);
    ck_assert_int_lt(together * 2, alone);
}
END_TEST

/* Guards against upstreams that count as unresponsive after a few lost
 * responses among complete ones, or after refusals and time-outs while they
 * are overloaded: requests for their objects would go to other upstreams,
 * which have not cached the objects, and overload those. */
START_TEST(occasional_losses_and_refusals_keep_upstream_in_use)
{
    Fleet *f = g_new(Fleet, 1);

    fleet_init(f, 1);
    Ups *u = ups_find(f->sets[0], str_of("u1"));
    for (int i = 0; i < 200; i++) {
        if (i % 10 > 1) {
            ups_observe_end(u, true, START + i * 100 * MS);
        }
        else {
            ups_observe_lost(u, START + i * 100 * MS);
        }
        ck_assert(!ups_unresponsive(u, START + i * 100 * MS));
    }
    for (int i = 0; i < 20; i++) {
        ups_observe_end(u, false, START + 20 * S);
        ck_assert(!ups_unresponsive(u, START + 20 * S));
    }
    UpsObservation observations[OBSERVATIONS_MAX];
    ck_assert_int_eq(ups_take_observations(f->sets[0], true, observations,
                                           OBSERVATIONS_MAX),
                     1);
    ck_assert_int_eq(observations[0].lost, 40);
    fleet_clear(f);
    g_free(f);
}
END_TEST

/* Guards against an unresponsive upstream that is never tried again. */
START_TEST(unresponsive_upstream_is_tried_again)
{
    Fleet *f = g_new(Fleet, 1);

    fleet_init(f, 1);
    Ups *u = ups_find(f->sets[0], str_of("u1"));
    for (int i = 0; i < 3; i++) {
        ck_assert(!ups_unresponsive(u, START));
        ups_observe_lost(u, START);
    }
    ck_assert(ups_unresponsive(u, START + 2 * S));
    ck_assert(!ups_unresponsive(u, START + 6 * S));
    ups_observe_end(u, true, START + 2 * S);
    ck_assert(!ups_unresponsive(u, START + 2 * S));
    fleet_clear(f);
    g_free(f);
}
END_TEST

T_MAIN("silent", vms_together_avoid_unresponsive_upstreams,
       occasional_losses_and_refusals_keep_upstream_in_use,
       unresponsive_upstream_is_tried_again)
