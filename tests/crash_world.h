/*
 * crash_world - many VMs and upstreams in one process, and a request that
 * crashes each upstream that runs it.
 *
 * VMs are instances of the module crash; the network between them delays and
 * drops messages and can cut VMs off.  Time is simulated.
 */
#ifndef MIMOSA_TESTS_CRASH_WORLD_H
#define MIMOSA_TESTS_CRASH_WORLD_H

#include "t.h"

#include <time.h>

#include "crash.h"
#include "hash.h"

#define MS INT64_C(1000)
#define S (1000 * MS)
#define STEP_US (10 * MS)
#define TOUCH_US                                                              \
    (4 * S) /* a VM has to know what happened before that time                \
             */
#define REGIONS 3
#define TRIES_MAX 2           /* attempts of a VM at upstreams */
#define CALLS_MAX 2           /* attempts of an ordinary caller */
#define SERVICE_US (300 * MS) /* time of a request at an upstream */
#define CRASH_US (100 * MS)   /* from its start until the upstream is down */
#define RESTART_US (3 * S)    /* of an upstream */
#define CALL_AGAIN_US (100 * MS)
#define CONNECT_MAX_US (300 * MS) /* until a VM connects to it again */
#define BAD_FINGERPRINT UINT64_C(77)
#define POPULAR_FINGERPRINT UINT64_C(78)

typedef struct WorldUp {
    bool up;
    int64_t back_us;
    uint64_t boot_ms;
} WorldUp;

typedef struct WorldVm {
    Crashes *crashes;
    GHashTable *ups; /* index -> Ups, as this VM sees it */
    int64_t calm_us; /* start, or end of the last cut */
    bool cut;
} WorldVm;

typedef struct WorldReq {
    uint64_t fingerprint;
    int vm;
    int up; /* -1: waits for end_us to call again */
    int64_t end_us;
    int tries;
    int calls;
} WorldReq;

/* A failure to connect that a VM is about to see. */
typedef struct WorldConnect {
    int vm;
    int up;
    int64_t at_us;
} WorldConnect;

typedef struct WorldMsg {
    int to;
    int64_t at_us;
    char *bytes;
    size_t n;
} WorldMsg;

/* Context of the callbacks of a VM. */
typedef struct WorldNode {
    struct CrashWorld *w;
    int vm;
} WorldNode;

typedef struct CrashWorldOpts {
    guint32 seed;
    int n_vms;
    int n_ups;
    double load;          /* ordinary requests in flight at an upstream */
    double bad_per_s;     /* repeats of the request that crashes upstreams */
    double popular_per_s; /* requests for one object */
    double storm_per_s;   /* crashes of upstreams for other reasons */
    int64_t bad_from_us;
    int64_t bad_until_us;
} CrashWorldOpts;

typedef struct CrashWorld {
    CrashWorldOpts o;
    GRand *rnd;
    int64_t now_us;
    WorldVm *vms;
    WorldUp *ups;
    GArray *reqs;     /* WorldReq */
    GArray *connects; /* WorldConnect */
    GArray *msgs;     /* WorldMsg */
    double due[4]; /* arrivals not yet made: ordinary, bad, popular, storm */
    uint64_t next_fingerprint;
    int bad_crashes;
    int64_t third_us; /* third crash of the bad request; 0: none */
    int late_sends;   /* of it, by VMs in touch, TOUCH_US after that */
    int innocents;    /* other requests */
    int refused;      /* of these */
    int64_t bytes;    /* sent between VMs, with UDP and IP headers */
    int64_t datagrams;
    int64_t
        busy_ns; /* time in crash_step(), crash_receive(), crash_gossip() */
    WorldNode *nodes;
    PickVm *list;
} CrashWorld;

static inline void
world_unref_ups(gpointer u)
{
    ups_unref(u);
}

#define DELAY_NEAR_US (4 * MS)
#define DELAY_FAR_US (55 * MS)
#define LOSS 0.02 /* of the messages between VMs */
#define HEARTBEAT_US (500 * MS)
#define FANOUT_NEAR 4
#define FANOUT_FAR 2
#define TICK_US (250 * MS)
#define HEADER_BYTES 28 /* of UDP and IP */

static inline void
world_send(void *ctx, int to, const CrashMsg *m)
{
    WorldNode *from = ctx;
    CrashWorld *w = from->w;
    bool near = from->vm % REGIONS == to % REGIONS;
    WorldMsg x = {to, w->now_us + (near ? DELAY_NEAR_US : DELAY_FAR_US),
                  g_malloc(DGRAM_BYTES_MAX), 0};

    x.n = crashmsg_encode(m, x.bytes, DGRAM_BYTES_MAX);
    g_assert_true(x.n > 0);
    w->bytes += (int64_t)x.n + HEADER_BYTES;
    w->datagrams++;
    if (w->vms[from->vm].cut == w->vms[to].cut &&
        g_rand_double(w->rnd) >= LOSS) {
        g_array_append_val(w->msgs, x);
    }
    else {
        g_free(x.bytes);
    }
}

static inline void
world_start_vm(CrashWorld *w, int v)
{
    CrashOpts o = {.fns = {.send = world_send}, .ctx = &w->nodes[v]};

    w->vms[v].crashes = crash_new(&o);
    crash_set_vms(w->vms[v].crashes, w->list, w->o.n_vms, v);
    w->vms[v].calm_us = w->now_us;
}

static inline void
world_stop_vm(CrashWorld *w, int v)
{
    crash_free(w->vms[v].crashes);
}

static inline CrashWorld *
world_new(const CrashWorldOpts *o)
{
    CrashWorld *w = g_new0(CrashWorld, 1);

    w->o = *o;
    w->rnd = g_rand_new_with_seed(o->seed);
    w->now_us = 100 * S;
    w->vms = g_new0(WorldVm, o->n_vms);
    w->ups = g_new0(WorldUp, o->n_ups);
    w->reqs = g_array_new(FALSE, FALSE, sizeof(WorldReq));
    w->connects = g_array_new(FALSE, FALSE, sizeof(WorldConnect));
    w->msgs = g_array_new(FALSE, FALSE, sizeof(WorldMsg));
    w->next_fingerprint = 1000;
    w->nodes = g_new0(WorldNode, o->n_vms);
    w->list = g_new0(PickVm, o->n_vms);
    for (int i = 0; i < o->n_vms; i++) {
        w->nodes[i] = (WorldNode){w, i};
        w->list[i] = (PickVm){hash_mix((uint64_t)i, 9), i % REGIONS};
    }
    for (int i = 0; i < o->n_vms; i++) {
        w->vms[i].ups = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                              NULL, world_unref_ups);
        world_start_vm(w, i);
        w->vms[i].calm_us = 0;
    }
    for (int i = 0; i < o->n_ups; i++) {
        w->ups[i] = (WorldUp){.up = true, .boot_ms = 1};
    }
    return w;
}

static inline void
world_free(CrashWorld *w)
{
    for (int i = 0; i < w->o.n_vms; i++) {
        world_stop_vm(w, i);
        g_hash_table_destroy(w->vms[i].ups);
    }
    g_array_free(w->reqs, TRUE);
    g_array_free(w->connects, TRUE);
    for (guint i = 0; i < w->msgs->len; i++) {
        g_free(g_array_index(w->msgs, WorldMsg, i).bytes);
    }
    g_array_free(w->msgs, TRUE);
    g_free(w->nodes);
    g_free(w->list);
    g_free(w->vms);
    g_free(w->ups);
    g_rand_free(w->rnd);
    g_free(w);
}

static inline Ups *
world_ups(CrashWorld *w, int v, int u)
{
    Ups *x = g_hash_table_lookup(w->vms[v].ups, GINT_TO_POINTER(u));

    if (x == NULL) {
        x = g_new0(Ups, 1);
        x->refs = 1;
        x->id = g_strdup_printf("u-%d", u);
        x->key = hash_str(str_of(x->id), 0);
        g_hash_table_insert(w->vms[v].ups, GINT_TO_POINTER(u), x);
    }
    x->boot_ms = w->ups[u].boot_ms;
    return x;
}

static inline bool
world_in_touch(const CrashWorld *w, int v)
{
    return !w->vms[v].cut && w->now_us - w->vms[v].calm_us >= TOUCH_US;
}

static inline int
world_pick_vm(CrashWorld *w)
{
    for (int i = 0; i < 100; i++) {
        int v = g_rand_int_range(w->rnd, 0, w->o.n_vms);
        if (!w->vms[v].cut) {
            return v;
        }
    }
    return 0;
}

/* Requests for the popular object prefer one upstream. */
static inline int
world_pick_up(CrashWorld *w, uint64_t fingerprint)
{
    int at = fingerprint == POPULAR_FINGERPRINT
                 ? 0
                 : g_rand_int_range(w->rnd, 0, w->o.n_ups);

    for (int i = 0; i < w->o.n_ups; i++) {
        int u = (at + i) % w->o.n_ups;
        if (w->ups[u].up) {
            return u;
        }
    }
    return -1;
}

/* An attempt of a VM: refuses the request or sends it to an upstream.  Returns
 * false if the request has ended. */
static inline bool
world_attempt(CrashWorld *w, WorldReq *r)
{
    bool bad = r->fingerprint == BAD_FINGERPRINT;

    if (crash_should_refuse(w->vms[r->vm].crashes, r->fingerprint,
                            w->now_us)) {
        w->refused += bad ? 0 : 1;
        return false;
    }
    r->up = world_pick_up(w, r->fingerprint);
    if (r->up < 0) {
        return false;
    }
    r->tries++;
    r->end_us = w->now_us + (bad ? CRASH_US : SERVICE_US);
    if (bad && w->third_us > 0 && w->now_us > w->third_us + TOUCH_US &&
        world_in_touch(w, r->vm)) {
        w->late_sends++;
    }
    return true;
}

static inline void
world_call(CrashWorld *w, uint64_t fingerprint, int calls)
{
    WorldReq r = {.fingerprint = fingerprint,
                  .vm = world_pick_vm(w),
                  .calls = calls + 1};

    w->innocents += fingerprint == BAD_FINGERPRINT ? 0 : 1;
    if (world_attempt(w, &r)) {
        g_array_append_val(w->reqs, r);
    }
}

/* The upstream ends; the VMs lose the answers of what it was running. */
static inline void
world_crash(CrashWorld *w, int u)
{
    WorldUp *x = &w->ups[u];

    x->up = false;
    x->back_us = w->now_us + RESTART_US;
    for (guint i = w->reqs->len; i-- > 0;) {
        WorldReq *r = &g_array_index(w->reqs, WorldReq, i);
        if (r->up != u) {
            continue;
        }
        WorldConnect c = {
            r->vm, u, w->now_us + g_rand_int_range(w->rnd, 1, CONNECT_MAX_US)};
        crash_response_lost(w->vms[r->vm].crashes, r->fingerprint,
                            world_ups(w, r->vm, u), w->now_us);
        g_array_append_val(w->connects, c);
        if (r->tries < TRIES_MAX && world_attempt(w, r)) {
            continue;
        }
        if (r->fingerprint != BAD_FINGERPRINT && r->calls < CALLS_MAX) {
            r->up = -1;
            r->end_us = w->now_us + CALL_AGAIN_US;
            continue;
        }
        g_array_remove_index_fast(w->reqs, i);
    }
}

static inline void
world_step_requests(CrashWorld *w)
{
    for (guint i = w->reqs->len; i-- > 0;) {
        if (i >= w->reqs->len) {
            continue;
        }
        WorldReq r = g_array_index(w->reqs, WorldReq, i);
        if (w->now_us < r.end_us) {
            continue;
        }
        if (r.fingerprint == BAD_FINGERPRINT) {
            w->bad_crashes++;
            if (w->bad_crashes == CRASH_LIMIT) {
                w->third_us = w->now_us;
            }
            world_crash(w, r.up);
            continue;
        }
        g_array_remove_index_fast(w->reqs, i);
        if (r.up < 0) {
            world_call(w, r.fingerprint, r.calls);
        }
        else {
            crash_served(w->vms[r.vm].crashes, r.fingerprint, w->now_us);
        }
    }
}

static inline int
world_due(CrashWorld *w, int kind, double per_s)
{
    w->due[kind] += per_s * STEP_US / S;
    int n = (int)w->due[kind];
    w->due[kind] -= n;
    return n;
}

static inline void
world_step_arrivals(CrashWorld *w)
{
    const CrashWorldOpts *o = &w->o;
    int64_t age_us = w->now_us - 100 * S;
    bool bad = age_us >= o->bad_from_us && age_us < o->bad_until_us;

    for (int n = world_due(w, 0, o->load * o->n_ups / SERVICE_US * S); n > 0;
         n--) {
        world_call(w, w->next_fingerprint++, 0);
    }
    for (int n = world_due(w, 1, bad ? o->bad_per_s : 0); n > 0; n--) {
        world_call(w, BAD_FINGERPRINT, 0);
    }
    for (int n = world_due(w, 2, o->popular_per_s); n > 0; n--) {
        world_call(w, POPULAR_FINGERPRINT, 0);
    }
    for (int n = world_due(w, 3, bad ? o->storm_per_s : 0); n > 0; n--) {
        int u = world_pick_up(w, 0);
        if (u >= 0) {
            world_crash(w, u);
        }
    }
}

static inline void
world_step_upstreams(CrashWorld *w)
{
    for (int i = 0; i < w->o.n_ups; i++) {
        WorldUp *x = &w->ups[i];
        if (!x->up && w->now_us >= x->back_us) {
            x->up = true;
            x->boot_ms++;
        }
    }
    for (guint i = w->connects->len; i-- > 0;) {
        WorldConnect c = g_array_index(w->connects, WorldConnect, i);
        if (w->now_us >= c.at_us) {
            if (!w->ups[c.up].up) {
                ups_observe_connect_failure(world_ups(w, c.vm, c.up),
                                            w->now_us);
            }
            g_array_remove_index_fast(w->connects, i);
        }
    }
}

static inline int64_t
world_clock_ns(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * INT64_C(1000000000) + t.tv_nsec;
}

static inline void
world_heartbeat(CrashWorld *w, int from)
{
    int left[] = {FANOUT_NEAR, FANOUT_FAR};
    CrashMsg m;

    int64_t begin_ns = world_clock_ns();
    bool any = crash_gossip(w->vms[from].crashes, &m, w->now_us);
    w->busy_ns += world_clock_ns() - begin_ns;
    if (!any) {
        return;
    }
    for (int i = 0; i < 1000 && left[0] + left[1] > 0; i++) {
        int to = g_rand_int_range(w->rnd, 0, w->o.n_vms);
        int far = from % REGIONS == to % REGIONS ? 0 : 1;
        if (to == from || left[far] == 0) {
            continue;
        }
        left[far]--;
        world_send(&w->nodes[from], to, &m);
    }
}

static inline void
world_step_messages(CrashWorld *w)
{
    for (int v = 0; v < w->o.n_vms; v++) {
        int64_t phase = HEARTBEAT_US / w->o.n_vms * v / STEP_US * STEP_US;
        if ((w->now_us - phase) % HEARTBEAT_US == 0) {
            world_heartbeat(w, v);
        }
        if ((w->now_us - phase) %
                (crash_waiting(w->vms[v].crashes) ? CRASH_STEP_US : TICK_US) ==
            0) {
            int64_t begin_ns = world_clock_ns();
            crash_step(w->vms[v].crashes, w->now_us);
            w->busy_ns += world_clock_ns() - begin_ns;
        }
    }
    for (guint i = w->msgs->len; i-- > 0;) {
        WorldMsg m = g_array_index(w->msgs, WorldMsg, i);
        if (w->now_us >= m.at_us) {
            g_array_remove_index_fast(w->msgs, i);
            CrashMsg in;
            g_assert_true(crashmsg_decode(&in, m.bytes, m.n, NULL));
            int64_t begin_ns = world_clock_ns();
            crash_receive(w->vms[m.to].crashes, &in, w->now_us);
            w->busy_ns += world_clock_ns() - begin_ns;
            g_free(m.bytes);
        }
    }
}

static inline void
world_run(CrashWorld *w, int64_t us)
{
    for (int64_t end_us = w->now_us + us; w->now_us < end_us;
         w->now_us += STEP_US) {
        world_step_upstreams(w);
        world_step_arrivals(w);
        world_step_requests(w);
        world_step_messages(w);
    }
}

/* Cuts the VMs of a region off from all others, or ends that. */
static inline void
world_cut(CrashWorld *w, int region, bool cut)
{
    for (int i = region; i < w->o.n_vms; i += REGIONS) {
        w->vms[i].cut = cut;
        w->vms[i].calm_us = w->now_us;
    }
}

#endif
