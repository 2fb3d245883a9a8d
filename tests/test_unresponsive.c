/* Tests of upstreams that take requests and answer nothing, while discovery
 * reports them as ready: what 24 VMs together make of few attempts each. */
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
#define N_SILENT 30
#define N_OBJECTS 200
#define REQUESTS_PER_S 25.0 /* of a VM: one in 4 s for each upstream */
#define ANSWER_US (300 * MS)
#define TIMEOUT_US (1350 * MS)
#define STEP_US (10 * MS)
#define BEAT_US (500 * MS)
#define SEEN_MAX 64
#define FLIGHT_MAX 4096

typedef struct Flight {
    int vm;
    Ups *u;
    int64_t end_us;
    bool ok;
} Flight;

typedef struct Fleet {
    Topology places;
    UpsSet *sets[N_VMS];
    RtService service;
    RtRoute route;
    Flight flights[FLIGHT_MAX];
    int n_flights;
    GRand *rnd;
} Fleet;

static void
fleet_init(Fleet *f, guint32 seed)
{
    memset(f, 0, sizeof(*f));
    topology_add(&f->places, str_of("a"), str_of("east"));
    f->rnd = g_rand_new_with_seed(seed);
    f->service =
        (RtService){.id = hash_str(str_of("desk"), 0), .max_conns = 10000};
    f->route = (RtRoute){.target_us = 600 * MS, .timeout_us = TIMEOUT_US};
    for (int vm = 0; vm < N_VMS; vm++) {
        f->sets[vm] = ups_new(&f->places, 2 * S);
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

/* Returns true when the request went to a silent upstream. */
static bool
send_request(Fleet *f, int vm, bool silent_now, int64_t now)
{
    PickReason why;
    PickIn in = {.set = f->sets[vm],
                 .topology = &f->places,
                 .route = &f->route,
                 .service = &f->service,
                 .object = hash_mix(
                     (uint64_t)g_rand_int_range(f->rnd, 0, N_OBJECTS), 3),
                 .n_vms = 1,
                 .cold_vms_max = 4};
    Ups *u = pick_upstream(&in, now, &why);

    if (u == NULL || f->n_flights == FLIGHT_MAX) {
        return false;
    }
    bool silent = silent_now && atoi(u->id + 1) < N_SILENT;
    u->inflight++;
    f->flights[f->n_flights++] =
        (Flight){vm, u, now + (silent ? TIMEOUT_US : ANSWER_US), !silent};
    return silent;
}

static void
end_flights(Fleet *f, int64_t now)
{
    for (int i = 0; i < f->n_flights;) {
        Flight *x = &f->flights[i];
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
        *x = f->flights[--f->n_flights];
    }
}

/* Losses go to all VMs, the rest to four. */
static void
beat(Fleet *f, int64_t now)
{
    UpsObservation seen[SEEN_MAX];

    for (int vm = 0; vm < N_VMS; vm++) {
        int n = ups_take_observations(f->sets[vm], false, seen, SEEN_MAX);
        for (int k = 0; k < 4; k++) {
            int to = g_rand_int_range(f->rnd, 0, N_VMS);
            for (int i = 0; i < n && to != vm; i++) {
                ups_receive_observation(f->sets[to], &seen[i], now);
            }
        }
        n = ups_take_observations(f->sets[vm], true, seen, SEEN_MAX);
        for (int to = 0; to < N_VMS; to++) {
            for (int i = 0; i < n && to != vm; i++) {
                ups_receive_observation(f->sets[to], &seen[i], now);
            }
        }
    }
}

/* Requests that went to silent upstreams, which are silent for 9 s. */
static int
play(guint32 seed, bool share)
{
    Fleet *f = g_new(Fleet, 1);
    int lost = 0;

    fleet_init(f, seed);
    for (int64_t t = 0; t < 14 * S; t += STEP_US) {
        int64_t now = START + t;
        bool silent_now = t >= 4 * S && t < 13 * S;
        for (int vm = 0; vm < N_VMS; vm++) {
            if (g_rand_double(f->rnd) <
                REQUESTS_PER_S * (double)STEP_US / 1e6) {
                lost += send_request(f, vm, silent_now, now) ? 1 : 0;
            }
        }
        end_flights(f, now);
        if (share && t % BEAT_US == 0) {
            beat(f, now);
        }
    }
    fleet_clear(f);
    g_free(f);
    return lost;
}

/* Guards against requests that go to silent upstreams for as long as they are
 * silent, since no VM alone sees enough of one.  The baseline, each VM for
 * itself, loses about all that such objects get. */
START_TEST(vms_together_leave_silent_upstreams)
{
    int alone = 0;
    int together = 0;

    for (guint32 seed = 1; seed <= 3; seed++) {
        alone += play(seed, false);
        together += play(seed, true);
    }
    printf("requests to silent upstreams: alone %d, together %d\n", alone,
           together);
    ck_assert_int_lt(together * 2, alone);
}
END_TEST

/* Guards against upstreams that are left for single lost answers, or for
 * refusals and time-outs while they are overloaded: their objects would run
 * cold elsewhere and overload the rest. */
START_TEST(losses_between_answers_and_refusals_move_nothing)
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
    UpsObservation seen[SEEN_MAX];
    ck_assert_int_eq(ups_take_observations(f->sets[0], true, seen, SEEN_MAX),
                     1);
    ck_assert_int_eq(seen[0].lost, 40);
    fleet_clear(f);
    g_free(f);
}
END_TEST

/* Guards against an upstream that is never tried again. */
START_TEST(a_silent_upstream_is_tried_again)
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

T_MAIN("silent", vms_together_leave_silent_upstreams,
       losses_between_answers_and_refusals_move_nothing,
       a_silent_upstream_is_tried_again)
