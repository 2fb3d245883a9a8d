/* Tests of ranks: incrementally updated lists of ranked upstreams. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "ranks.h"

#define S 1000000LL
#define NOW (100 * S)
#define STEPS 4000
#define IDS 60
#define OBJECTS 6
#define SCOPES 3 /* two regions, and all regions */

typedef struct World {
    Topology topology;
    UpsSet *set;
    GRand *rnd;
    Ranks ranks[OBJECTS][SCOPES];
} World;

static RanksScope
scope_of(const World *w, int object, int k)
{
    return (RanksScope){w->set, hash_str(str_of("desk"), 0),
                        k == SCOPES - 1 ? RANKS_ANY_REGION : k,
                        hash_mix((uint64_t)object, 1)};
}

/* Number of upstreams of the scope with a higher score. */
static int
count_better(const RanksScope *s, double score)
{
    const GPtrArray *list = ups_of_service(s->set, s->service);
    int n = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const Ups *u = g_ptr_array_index(list, i);
        bool in = s->region == RANKS_ANY_REGION || u->region == s->region;
        n += in && hash_rendezvous(s->object, u->key, u->slots) > score;
    }
    return n;
}

static void
check(World *w, int object, int k)
{
    RanksScope s = scope_of(w, object, k);
    Ranks *r = &w->ranks[object][k];

    ranks_update(r, &s);
    for (int i = 0; i < r->n; i++) {
        const Ups *u = r->at[i].u;
        ck_assert(s.region == RANKS_ANY_REGION || u->region == s.region);
        ck_assert_uint_eq(u->service, s.service);
        ck_assert_int_eq(count_better(&s, r->at[i].score), i);
    }
    int total = count_better(&s, 0);
    ck_assert(!r->complete || r->n == total);
    ck_assert_int_ge(r->n, MIN(total, RANKS_KEPT / 2));
}

static void
change(World *w)
{
    static const char *const zones[] = {"a", "b"};
    char id[16];

    snprintf(id, sizeof(id), "u%d", g_rand_int_range(w->rnd, 0, IDS));
    if (g_rand_int_range(w->rnd, 0, 3) == 0) {
        ups_missing(w->set, str_of(id), NOW);
        ups_expire(w->set, NOW);
        return;
    }
    UpsReport r = {
        .id = str_of(id),
        .service =
            str_of(g_rand_int_range(w->rnd, 0, 8) == 0 ? "post" : "desk"),
        .zone = str_of(zones[g_rand_int_range(w->rnd, 0, 2)]),
        .slots = g_rand_int_range(w->rnd, 3, 6),
        .draining = g_rand_int_range(w->rnd, 0, 4) == 0,
    };
    ups_report(w->set, &r, NOW);
}

/* Guards against a list that deviates from the full ranking while upstreams
 * join, leave, drain, move to another zone, and change their slots or service.
 */
START_TEST(lists_stay_exact_while_upstreams_change)
{
    World w = {0};

    topology_add(&w.topology, str_of("a"), str_of("east"));
    topology_add(&w.topology, str_of("b"), str_of("west"));
    w.set = ups_new(&w.topology, 0);
    w.rnd = g_rand_new_with_seed(5);
    for (int i = 0; i < STEPS; i++) {
        change(&w);
        /* The lists of object 0 are updated rarely, with many changes at once.
         */
        int object = g_rand_int_range(w.rnd, 0, OBJECTS);
        if (object > 0 || i % 1500 == 0) {
            check(&w, object, g_rand_int_range(w.rnd, 0, SCOPES));
        }
    }
    for (int i = 0; i < OBJECTS; i++) {
        for (int k = 0; k < SCOPES; k++) {
            ranks_clear(&w.ranks[i][k]);
        }
    }
    g_rand_free(w.rnd);
    ups_free(w.set);
}
END_TEST

/* Guards against a joining upstream that causes objects to move between other
 * upstreams: each object that moves is served cold. */
START_TEST(a_joining_upstream_moves_only_its_share)
{
    World w = {0};
    char id[16];
    int moved = 0;
    int to_new = 0;
    enum { UPSTREAMS = 99, MANY = 2000 };

    topology_add(&w.topology, str_of("a"), str_of("east"));
    w.set = ups_new(&w.topology, 0);
    for (int i = 0; i < UPSTREAMS; i++) {
        snprintf(id, sizeof(id), "u%d", i);
        UpsReport r = {.id = str_of(id),
                       .service = str_of("desk"),
                       .zone = str_of("a"),
                       .slots = 9};
        ups_report(w.set, &r, NOW);
    }
    Ranks *ranks = g_new0(Ranks, MANY);
    Ups *first[MANY];
    for (int o = 0; o < MANY; o++) {
        RanksScope s = scope_of(&w, o, SCOPES - 1);
        ranks_update(&ranks[o], &s);
        first[o] = ranks[o].at[0].u;
    }
    UpsReport r = {.id = str_of("new"),
                   .service = str_of("desk"),
                   .zone = str_of("a"),
                   .slots = 9};
    ups_report(w.set, &r, NOW);
    for (int o = 0; o < MANY; o++) {
        RanksScope s = scope_of(&w, o, SCOPES - 1);
        ranks_update(&ranks[o], &s);
        moved += ranks[o].at[0].u != first[o];
        to_new += strcmp(ranks[o].at[0].u->id, "new") == 0;
        ranks_clear(&ranks[o]);
    }
    ck_assert_int_eq(moved, to_new);
    /* The expected share is one object in 100. */
    ck_assert_int_ge(to_new, MANY / 200);
    ck_assert_int_le(to_new, MANY / 50);
    g_free(ranks);
    ups_free(w.set);
}
END_TEST

T_MAIN("ranks", lists_stay_exact_while_upstreams_change,
       a_joining_upstream_moves_only_its_share)
