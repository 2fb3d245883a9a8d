/*
 * Simulates 40 s of high load with a burst of 6 s, and compares the results
 * for callers under the choice of upstreams by plan and pick with those of
 * baseline policies.
 *
 * Upstreams have few slots and cache the objects that they served last; a
 * request for any other object takes 3.3 times as long.  Requests arrive at
 * random times, and a refused caller retries once.  All policies use
 * one shared view of the load, so that only the policies differ.
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
#define QUEUE_LEN 9   /* maximum length of an upstream's queue */
#define CACHE_SIZE 28 /* objects that an upstream caches */
#define OBJECTS 48
#define COLD_FACTOR 3.3 /* service time factor for objects not cached */
#define SIM_US (40 * S)
#define BURST_AT (15 * S)
#define BURST_US (6 * S)

typedef struct Kind {
    const char *name;
    int rank;
    double per_s;   /* requests per second outside the burst */
    double work_us; /* service time for a cached object */
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
    int64_t begin_us;  /* first arrival */
    int64_t arrive_us; /* last arrival: the first one, or that of the retry */
    int64_t end_us;    /* end of its service */
    bool retried;      /* was refused once and retries */
    bool running;
    struct Server *server;
} Job;

typedef struct Server {
    Ups *u;
    GQueue waiting; /* Job */
    GQueue cache;   /* objects, most recent first */
    int running;
} Server;

typedef struct Sim {
    Topology topology;
    UpsSet *set;
    Plan *plan;
    GRand *rnd;
    Server servers[UPSTREAMS];
    GSequence *events; /* Job, sorted by event_time() */
    RtService service;
    RtRoute routes[KINDS];
    int requests[KINDS];
    int in_time[KINDS]; /* served within the latency target */
    int late[KINDS];    /* served after it, but within the timeout */
    int refused[KINDS];
    int next_server; /* of round_robin() */
} Sim;

typedef Ups *(*Policy)(Sim *p, const Job *j, int64_t now_us);

static int64_t
event_time(const Job *j)
{
    return j->running ? j->end_us : j->arrive_us;
}

static gint
by_time(gconstpointer a, gconstpointer b, gpointer data)
{
    int64_t x = event_time(a);
    int64_t y = event_time(b);
    (void)data;

    return x < y ? -1 : x > y;
}

static Ups *
round_robin(Sim *p, const Job *j, int64_t now_us)
{
    (void)j;
    (void)now_us;
    return p->servers[p->next_server++ % UPSTREAMS].u;
}

static Ups *
least_load(Sim *p, const Job *j, int64_t now_us)
{
    Ups *best = p->servers[0].u;
    (void)j;
    (void)now_us;

    for (int i = 1; i < UPSTREAMS; i++) {
        best = p->servers[i].u->inflight < best->inflight ? p->servers[i].u
                                                          : best;
    }
    return best;
}

static Ups *
pick_with(Sim *p, const Job *j, Plan *plan, int64_t now_us)
{
    PickReason why;
    PickIn in = {.set = p->set,
                 .topology = &p->topology,
                 .plan = plan,
                 .route = &p->routes[j->kind],
                 .service = &p->service,
                 .object = j->object};

    return pick_upstream(&in, now_us, &why);
}

/* Rendezvous hashing without the plan. */
static Ups *
own_upstream(Sim *p, const Job *j, int64_t now_us)
{
    return pick_with(p, j, NULL, now_us);
}

static Ups *
planned(Sim *p, const Job *j, int64_t now_us)
{
    plan_add(p->plan, p->service.id, j->object, 1, now_us);
    plan_step(p->plan, p->set, now_us);
    return pick_with(p, j, p->plan, now_us);
}

static Server *
server_of(Sim *p, const Ups *u)
{
    for (int i = 0; i < UPSTREAMS; i++) {
        if (p->servers[i].u == u) {
            return &p->servers[i];
        }
    }
    return NULL;
}

static void
run(Sim *p, Server *s, Job *j, int64_t now_us)
{
    gpointer o = GSIZE_TO_POINTER(j->object);
    GList *cached = g_queue_find(&s->cache, o);
    double work = kinds[j->kind].work_us * (cached == NULL ? COLD_FACTOR : 1);

    if (cached != NULL) {
        g_queue_delete_link(&s->cache, cached);
    }
    g_queue_push_head(&s->cache, o);
    if (s->cache.length > CACHE_SIZE) {
        g_queue_pop_tail(&s->cache);
    }
    work *= g_rand_double_range(p->rnd, 0.85, 1.15);
    j->running = true;
    j->end_us = now_us + (int64_t)work;
    s->running++;
    g_sequence_insert_sorted(p->events, j, by_time, NULL);
}

static void
refuse(Sim *p, Job *j, int64_t now_us)
{
    const Kind *k = &kinds[j->kind];
    GateIn in = {.latency_target_us = k->target_us,
                 .queued_us = k->target_us,
                 .left_us = j->begin_us + k->timeout_us - now_us,
                 .any_usable = true,
                 .random = g_rand_double(p->rnd)};

    if (j->retried || in.left_us <= 0) {
        p->refused[j->kind]++;
        g_free(j);
        return;
    }
    j->retried = true;
    j->arrive_us = now_us + gate_decide(&in).retry_us;
    g_sequence_insert_sorted(p->events, j, by_time, NULL);
}

static void
arrive(Sim *p, Job *j, Policy policy, int64_t now_us)
{
    Ups *u = policy(p, j, now_us);
    Server *s = u == NULL ? NULL : server_of(p, u);

    if (s == NULL || s->waiting.length >= QUEUE_LEN) {
        refuse(p, j, now_us);
        return;
    }
    u->inflight++;
    j->server = s;
    if (s->running < SLOTS) {
        run(p, s, j, now_us);
    }
    else {
        g_queue_push_tail(&s->waiting, j);
    }
}

static void
finish(Sim *p, Job *j, Server *s, int64_t now_us)
{
    const Kind *k = &kinds[j->kind];
    int64_t took = now_us - j->begin_us;

    s->running--;
    s->u->inflight--;
    if (took <= k->target_us) {
        p->in_time[j->kind]++;
    }
    else if (took <= k->timeout_us) {
        p->late[j->kind]++;
    }
    g_free(j);
    Job *next = g_queue_pop_head(&s->waiting);
    if (next != NULL) {
        run(p, s, next, now_us);
    }
}

/* Draws an object; popularity is slightly skewed.  Each kind has its own
 * objects. */
static uint64_t
random_object(Sim *p, int kind)
{
    int n = OBJECTS / KINDS;
    int i = (int)(pow(g_rand_double(p->rnd), 1.25) * n);

    return hash_mix((uint64_t)(kind * n + i), 9);
}

static void
add_arrivals(Sim *p)
{
    for (int k = 0; k < KINDS; k++) {
        double at = 0;
        for (;;) {
            bool burst = at > BURST_AT && at < BURST_AT + BURST_US;
            double rate = kinds[k].per_s * (burst ? 1.7 : 1);
            at -= log(1 - g_rand_double(p->rnd)) / rate * 1e6;
            if (at > SIM_US) {
                break;
            }
            Job *j = g_new0(Job, 1);
            j->kind = k;
            j->object = random_object(p, k);
            j->begin_us = (int64_t)at;
            j->arrive_us = (int64_t)at;
            g_sequence_insert_sorted(p->events, j, by_time, NULL);
            p->requests[k]++;
        }
    }
}

static void
sim_init(Sim *p, guint32 seed)
{
    memset(p, 0, sizeof(*p));
    topology_add(&p->topology, str_of("a"), str_of("west"));
    p->set = ups_new(&p->topology, S);
    p->plan = plan_new(1);
    p->rnd = g_rand_new_with_seed(seed);
    p->events = g_sequence_new(NULL);
    p->service =
        (RtService){.id = hash_str(str_of("desk"), 0), .max_conns = 100000};
    for (int k = 0; k < KINDS; k++) {
        p->routes[k] = (RtRoute){.sticky = true,
                                 .rank = kinds[k].rank,
                                 .latency_target_us = kinds[k].target_us};
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
        p->servers[i].u = g_ptr_array_index(list, i);
        g_queue_init(&p->servers[i].waiting);
        g_queue_init(&p->servers[i].cache);
    }
    add_arrivals(p);
}

/* Runs one policy; returns the share of the requests that were served within
 * the latency target. */
static double
simulate(const char *name, Policy policy, guint32 seed)
{
    static Sim p;
    int requests = 0;
    int in_time = 0;

    sim_init(&p, seed);
    while (!g_sequence_is_empty(p.events)) {
        GSequenceIter *it = g_sequence_get_begin_iter(p.events);
        Job *j = g_sequence_get(it);
        int64_t now = event_time(j);
        g_sequence_remove(it);
        if (j->running) {
            finish(&p, j, j->server, now);
            continue;
        }
        arrive(&p, j, policy, now);
    }
    for (int k = 0; k < KINDS; k++) {
        printf("play: policy=%s seed=%u kind=%s asked=%d in_time=%.3f "
               "late=%.3f refused=%.3f\n",
               name, seed, kinds[k].name, p.requests[k],
               (double)p.in_time[k] / p.requests[k],
               (double)p.late[k] / p.requests[k],
               (double)p.refused[k] / p.requests[k]);
        requests += p.requests[k];
        in_time += p.in_time[k];
    }
    g_sequence_free(p.events);
    g_rand_free(p.rnd);
    plan_free(p.plan);
    ups_free(p.set);
    return (double)in_time / requests;
}

/* Guards against policies that spread objects over so many upstreams that
 * their caches are cold: under high load the plan must serve more requests in
 * time than the baselines. */
START_TEST(the_plan_serves_more_requests_in_time)
{
    for (guint32 seed = 1; seed <= 3; seed++) {
        double rr = simulate("round_robin", round_robin, seed);
        double least = simulate("least_load", least_load, seed);
        double own = simulate("own_upstream", own_upstream, seed);
        double plan = simulate("planned", planned, seed);
        ck_assert(plan >= rr + 0.3);
        ck_assert(plan >= least + 0.3);
        ck_assert(plan >= own);
        ck_assert(plan >= 0.85);
    }
}
END_TEST

T_MAIN("play", the_plan_serves_more_requests_in_time)
