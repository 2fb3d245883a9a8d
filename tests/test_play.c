/*
 * Plays the load of a heavy day against the decisions and checks what callers
 * get, beside baseline policies.
 *
 * Upstreams with few slots remember the objects they served last; work on any
 * other object takes three times as long.  Requests come at random times and
 * a refused caller comes back once.  One view of the load is shared, so that
 * only the policies differ.
 */
#include "t.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "gate.h"
#include "hash.h"
#include "pick.h"

#define MS 1000LL
#define S (1000 * MS)
#define UPSTREAMS 20
#define SLOTS 3
#define QUEUE 9   /* requests that an upstream keeps waiting */
#define MEMORY 28 /* objects that it remembers */
#define OBJECTS 48
#define COLD_X 3.3 /* work on an object that is not remembered */
#define PLAY_US (40 * S)
#define BURST_AT (15 * S)
#define BURST_US (6 * S)

typedef struct Kind {
    const char *name;
    int rank;
    double per_s;
    double work_us; /* on a remembered object */
    int64_t target_us;
    int64_t timeout_us;
} Kind;

static const Kind kinds[] = {
    {"browse", 1, 60, 270 * MS, 600 * MS, 4000 * MS},
    {"confirm", 2, 24, 350 * MS, 1500 * MS, 2000 * MS},
};
#define KINDS 2

typedef struct Job {
    int kind;
    uint64_t object;
    int64_t begin_us;
    int64_t come_us;
    int64_t end_us; /* of its work */
    bool back;      /* was refused once */
    bool running;
    struct Place *at;
} Job;

typedef struct Place {
    Ups *u;
    GQueue waiting; /* Job */
    GQueue memory;  /* objects, newest first */
    int running;
} Place;

typedef struct Play {
    Topology places;
    UpsSet *set;
    Plan *plan;
    GRand *rnd;
    Place at[UPSTREAMS];
    GSequence *events; /* Job by time */
    RtService service;
    RtRoute routes[KINDS];
    int asked[KINDS];
    int in_time[KINDS];
    int late[KINDS];
    int refused[KINDS];
    int turn;
} Play;

typedef Ups *(*Policy)(Play *p, const Job *j, int64_t now_us);

static int64_t
time_of(const Job *j)
{
    return j->running ? j->end_us : j->come_us;
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
    int64_t x = time_of(a);
    int64_t y = time_of(b);
    (void)data;

    return x < y ? -1 : x > y;
}

static Ups *
round_robin(Play *p, const Job *j, int64_t now_us)
{
    (void)j;
    (void)now_us;
    return p->at[p->turn++ % UPSTREAMS].u;
}

static Ups *
least_load(Play *p, const Job *j, int64_t now_us)
{
    Ups *best = p->at[0].u;
    (void)j;
    (void)now_us;

    for (int i = 1; i < UPSTREAMS; i++) {
        best = p->at[i].u->inflight < best->inflight ? p->at[i].u : best;
    }
    return best;
}

static Ups *
decided(Play *p, const Job *j, Plan *plan, int64_t now_us)
{
    PickReason why;
    PickIn in = {.set = p->set,
                 .topology = &p->places,
                 .plan = plan,
                 .route = &p->routes[j->kind],
                 .service = &p->service,
                 .object = j->object};

    return pick_upstream(&in, now_us, &why);
}

static Ups *
own_upstream(Play *p, const Job *j, int64_t now_us)
{
    return decided(p, j, NULL, now_us);
}

static Ups *
planned(Play *p, const Job *j, int64_t now_us)
{
    plan_add(p->plan, p->service.id, j->object, 1, now_us);
    plan_step(p->plan, p->set, now_us);
    return decided(p, j, p->plan, now_us);
}

static Place *
place_of(Play *p, const Ups *u)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        if (p->at[i].u == u) {
            return &p->at[i];
        }
    }
    return NULL;
}

static void
run(Play *p, Place *at, Job *j, int64_t now_us)
{
    gpointer o = GSIZE_TO_POINTER(j->object);
    GList *known = g_queue_find(&at->memory, o);
    double work = kinds[j->kind].work_us * (known == NULL ? COLD_X : 1);

    if (known != NULL) {
        g_queue_delete_link(&at->memory, known);
    }
    g_queue_push_head(&at->memory, o);
    if (at->memory.length > MEMORY) {
        g_queue_pop_tail(&at->memory);
    }
    work *= g_rand_double_range(p->rnd, 0.85, 1.15);
    j->running = true;
    j->end_us = now_us + (int64_t)work;
    at->running++;
    g_sequence_insert_sorted(p->events, j, by_time, NULL);
}

static void
refuse(Play *p, Job *j, int64_t now_us)
{
    const Kind *k = &kinds[j->kind];
    GateIn in = {.target_us = k->target_us,
                 .queued_us = k->target_us,
                 .left_us = j->begin_us + k->timeout_us - now_us,
                 .any_usable = true,
                 .random = g_rand_double(p->rnd)};

    if (j->back || in.left_us <= 0) {
        p->refused[j->kind]++;
        g_free(j);
        return;
    }
    j->back = true;
    j->come_us = now_us + gate_decide(&in).retry_us;
    g_sequence_insert_sorted(p->events, j, by_time, NULL);
}

static void
come(Play *p, Job *j, Policy policy, int64_t now_us)
{
    Ups *u = policy(p, j, now_us);
    Place *at = u == NULL ? NULL : place_of(p, u);

    if (at == NULL || at->waiting.length >= QUEUE) {
        refuse(p, j, now_us);
        return;
    }
    u->inflight++;
    j->at = at;
    if (at->running < SLOTS) {
        run(p, at, j, now_us);
    }
    else {
        g_queue_push_tail(&at->waiting, j);
    }
}

static void
finish(Play *p, Job *j, Place *at, int64_t now_us)
{
    const Kind *k = &kinds[j->kind];
    int64_t took = now_us - j->begin_us;

    at->running--;
    at->u->inflight--;
    if (took <= k->target_us) {
        p->in_time[j->kind]++;
    }
    else if (took <= k->timeout_us) {
        p->late[j->kind]++;
    }
    g_free(j);
    Job *next = g_queue_pop_head(&at->waiting);
    if (next != NULL) {
        run(p, at, next, now_us);
    }
}

/* Object by a mildly skewed popularity; each kind has its own objects. */
static uint64_t
draw_object(Play *p, int kind)
{
    int n = OBJECTS / KINDS;
    int i = (int)(pow(g_rand_double(p->rnd), 1.25) * n);

    return hash_mix((uint64_t)(kind * n + i), 9);
}

static void
add_arrivals(Play *p)
{
    for (int k = 0; k < KINDS; k++) {
        double at = 0;
        for (;;) {
            bool burst = at > BURST_AT && at < BURST_AT + BURST_US;
            double rate = kinds[k].per_s * (burst ? 1.7 : 1);
            at -= log(1 - g_rand_double(p->rnd)) / rate * 1e6;
            if (at > PLAY_US) {
                break;
            }
            Job *j = g_new0(Job, 1);
            j->kind = k;
            j->object = draw_object(p, k);
            j->begin_us = (int64_t)at;
            j->come_us = (int64_t)at;
            g_sequence_insert_sorted(p->events, j, by_time, NULL);
            p->asked[k]++;
        }
    }
}

static void
play_init(Play *p, guint32 seed)
{
    memset(p, 0, sizeof(*p));
    topology_add(&p->places, str_of("a"), str_of("west"));
    p->set = ups_new(&p->places, S);
    p->plan = plan_new(1);
    p->rnd = g_rand_new_with_seed(seed);
    p->events = g_sequence_new(NULL);
    p->service =
        (RtService){.id = hash_str(str_of("desk"), 0), .max_conns = 100000};
    for (int k = 0; k < KINDS; k++) {
        p->routes[k] = (RtRoute){.sticky = true,
                                 .rank = kinds[k].rank,
                                 .target_us = kinds[k].target_us};
    }
    for (int i = 0; i < UPSTREAMS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "u%d", i);
        UpsReport r = {.id = str_of(id),
                       .service = str_of("desk"),
                       .zone = str_of("a"),
                       .slots = SLOTS};
        ups_report(p->set, &r, 0);
    }
    const GPtrArray *list = ups_of_service(p->set, p->service.id);
    for (int i = 0; i < UPSTREAMS; i++) {
        p->at[i].u = g_ptr_array_index(list, i);
        g_queue_init(&p->at[i].waiting);
        g_queue_init(&p->at[i].memory);
    }
    add_arrivals(p);
}

/* Share of the requests that were served within the latency target. */
static double
play(const char *name, Policy policy, guint32 seed)
{
    static Play p;
    int asked = 0;
    int in_time = 0;

    play_init(&p, seed);
    while (!g_sequence_is_empty(p.events)) {
        GSequenceIter *it = g_sequence_get_begin_iter(p.events);
        Job *j = g_sequence_get(it);
        int64_t now = time_of(j);
        g_sequence_remove(it);
        if (j->running) {
            finish(&p, j, j->at, now);
            continue;
        }
        come(&p, j, policy, now);
    }
    for (int k = 0; k < KINDS; k++) {
        printf("play: policy=%s seed=%u kind=%s asked=%d in_time=%.3f "
               "late=%.3f refused=%.3f\n",
               name, seed, kinds[k].name, p.asked[k],
               (double)p.in_time[k] / p.asked[k],
               (double)p.late[k] / p.asked[k],
               (double)p.refused[k] / p.asked[k]);
        asked += p.asked[k];
        in_time += p.in_time[k];
    }
    g_sequence_free(p.events);
    g_rand_free(p.rnd);
    plan_free(p.plan);
    ups_free(p.set);
    return (double)in_time / asked;
}

/* Guards against policies that make upstreams cold: what callers get on a
 * heavy day, beside the baselines. */
START_TEST(planned_places_serve_more_in_time)
{
    for (guint32 seed = 1; seed <= 3; seed++) {
        double turn = play("round_robin", round_robin, seed);
        double least = play("least_load", least_load, seed);
        double own = play("own_upstream", own_upstream, seed);
        double plan = play("planned", planned, seed);
        ck_assert(plan >= turn + 0.3);
        ck_assert(plan >= least + 0.3);
        ck_assert(plan >= own);
        ck_assert(plan >= 0.85);
    }
}
END_TEST

T_MAIN("play", planned_places_serve_more_in_time)
