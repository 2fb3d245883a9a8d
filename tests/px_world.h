/*
 * px_world - the path of a request in one process: a caller, a Px, and an
 * upstream whose side the test plays, on loopback sockets.
 */
#ifndef MIMOSA_TESTS_PX_WORLD_H
#define MIMOSA_TESTS_PX_WORLD_H

#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hash.h"
#include "pf.h"
#include "px.h"

#define MS INT64_C(1000)
#define S (1000 * MS)
#define SETTLE_US (50 * MS) /* for what is under way on loopback */
#define TIMEOUT_US (2 * S)  /* of the route */
/* Without effect until px_set_confirmed(). */
#define COPY_AGE_MAX_US (500 * MS)

typedef struct World {
    Evl *loop;
    Topology topo;
    UpsSet *set;
    UconnPool *pool;
    Demand *demand;
    Plan *plan;
    Crashes *crashes;
    GRand *rnd;
    Dlog *log;
    Px *px;
    CallerSet *callers;
    struct sockaddr_in entry;
    int listener; /* of the upstream */
    Ups *u;
    DemandService *service;
    int annex; /* listener of the upstream of "annex"; 0: none */
    DemandService *annex_service;
} World;

static void
world_stop(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static inline void
world_run(World *w, int64_t us)
{
    EvlTimer end = {.fn = world_stop, .ctx = w->loop};

    evl_arm(w->loop, &end, evl_now(w->loop) + us);
    evl_run(w->loop);
}

/* Takes a free port from a socket, which is returned. */
static inline int
world_bind(struct sockaddr_in *at)
{
    socklen_t n = sizeof(*at);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    *at = (struct sockaddr_in){.sin_family = AF_INET,
                               .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    ck_assert_int_eq(bind(fd, (struct sockaddr *)at, n), 0);
    getsockname(fd, (struct sockaddr *)at, &n);
    return fd;
}

/* The route of a configuration. */
typedef struct WorldRoute {
    uint64_t version;
    const char *service; /* "desk", or "annex" after world_add_annex() */
    const char *prefix;  /* requests ask for "/x" */
    bool idempotent;
    int rank;
    int64_t timeout_us;
    const char *urgent; /* prefix of a second route, of rank 0; NULL: none */
} WorldRoute;

static inline void
world_service(RtTable *t, const char *name)
{
    RtService s = {.name = g_strdup(name),
                   .id = hash_str(str_of(name), 0),
                   .health_path = g_strdup("/"),
                   .max_conns = 100000,
                   .warmup_us = S,
                   .cold_per_s = 10};

    rt_add_service(t, &s);
}

static inline void
world_add_route(RtTable *t, const WorldRoute *o)
{
    RtWeighted *all = g_new0(RtWeighted, 1);

    *all = (RtWeighted){rt_find_service(t, str_of(o->service)), 1};
    RtRoute r = {.name = g_strdup("all"),
                 .prefix = g_strdup(o->prefix),
                 .idempotent = o->idempotent,
                 .rank = o->rank,
                 .max_attempts = 2,
                 .timeout_us = o->timeout_us,
                 .latency_target_us = 400 * MS,
                 .weighted = all,
                 .n_weighted = 1,
                 .weight_sum = 1};
    rt_add_route(t, str_of("desk.example"), &r);
}

/* Puts a configuration in force. */
static inline void
world_set_route(World *w, const WorldRoute *o)
{
    RtTable *t = rt_new(o->version);
    WorldRoute urgent = *o;

    world_service(t, "desk");
    world_service(t, "annex");
    world_add_route(t, o);
    if (o->urgent != NULL) {
        urgent.prefix = o->urgent;
        urgent.rank = 0;
        world_add_route(t, &urgent);
    }
    px_set_routes(w->px, t);
    rt_unref(t);
}

static inline void
world_routes(World *w, bool idempotent)
{
    WorldRoute r = {1, "desk", "/", idempotent, 0, TIMEOUT_US, NULL};

    world_set_route(w, &r);
    w->service = demand_service(w->demand, hash_str(str_of("desk"), 0));
}

/* Lets discovery report an upstream, on a listener that is returned. */
static inline int
world_upstream(World *w, const char *id, const char *service, int slots)
{
    struct sockaddr_in at;
    int fd = world_bind(&at);

    ck_assert_int_eq(listen(fd, 1024), 0);
    UpsReport r = {.id = str_of(id),
                   .service = str_of(service),
                   .zone = str_of("z"),
                   .slots = slots};
    memcpy(&r.addr, &at, sizeof(at));
    ups_report(w->set, &r, evl_now(w->loop));
    return fd;
}

/* Adds the upstream "a-1" of the service "annex". */
static inline void
world_add_annex(World *w, int slots)
{
    w->annex = world_upstream(w, "a-1", "annex", slots);
    w->annex_service = demand_service(w->demand, hash_str(str_of("annex"), 0));
}

static inline void
world_listen(World *w)
{
    Err e = {0};

    close(world_bind(&w->entry));
    CallerOpts co = {.loop = w->loop,
                     .listen_addr = w->entry,
                     .max_callers = 4096,
                     .max_buffered_bytes = 64 * 1024 * 1024,
                     .limits = {8192, 65536, 5 * S, 5 * S},
                     .fns = px_caller_fns,
                     .ctx = w->px};
    w->callers = callers_new(&co, &e);
    ck_assert_ptr_nonnull(w->callers);
}

/* slots: of the upstream "u-1", the only one.  n: further regions; the zone of
 * "NAME" is "NAME-z". */
static inline void
world_init_regions(World *w, bool idempotent, int slots,
                   const char *const *regions, int n)
{
    DlogOpts lo = {STDERR_FILENO, 100, 65536};
    static const PickVm self = {1, 0};

    memset(w, 0, sizeof(*w));
    w->loop = evl_new();
    topology_add(&w->topo, str_of("z"), str_of("r"));
    for (int i = 0; i < n; i++) {
        char *zone = g_strdup_printf("%s-z", regions[i]);
        topology_add(&w->topo, str_of(zone), str_of(regions[i]));
        g_free(zone);
    }
    w->set = ups_new(&w->topo, 0);
    w->pool = uconns_new(w->loop);
    DemandOpts dopt = {.topology = &w->topo,
                       .max_shift_per_s = 1,
                       .retry_ratio = 1,
                       .retry_slack = 100,
                       .retry_window_us = S};
    w->demand = demand_new(&dopt);
    w->plan = plan_new(w->topo.n_regions);
    w->crashes = crash_new(&(CrashOpts){0});
    w->rnd = g_rand_new_with_seed(1);
    w->log = dlog_new(&lo);
    PxOpts po = {.loop = w->loop,
                 .log = w->log,
                 .names = &pf_header_names,
                 .topology = &w->topo,
                 .upstreams = w->set,
                 .pool = w->pool,
                 .demand = w->demand,
                 .plan = w->plan,
                 .crashes = w->crashes,
                 .rnd = w->rnd,
                 .copy_age_max_us = COPY_AGE_MAX_US};
    w->px = px_new(&po);
    w->listener = world_upstream(w, "u-1", "desk", slots);
    w->u = ups_find(w->set, str_of("u-1"));
    world_routes(w, idempotent);
    px_view_complete(w->px);
    px_set_vms(w->px, &self, 1, 0);
    world_listen(w);
}

static inline void
world_init(World *w, bool idempotent, int slots)
{
    world_init_regions(w, idempotent, slots, NULL, 0);
}

static inline void
world_clear(World *w)
{
    callers_free(w->callers);
    evl_run_once(w->loop, 0);
    px_free(w->px);
    uconns_free(w->pool);
    crash_free(w->crashes);
    plan_free(w->plan);
    demand_free(w->demand);
    ups_free(w->set);
    g_rand_free(w->rnd);
    dlog_free(w->log);
    close(w->listener);
    if (w->annex > 0) {
        close(w->annex);
    }
    evl_free(w->loop);
}

/* Connects a caller that sends a request.  Returns its socket. */
static inline int
world_ask_path(World *w, const char *id, const char *path, int deadline_ms)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    char *text = g_strdup_printf("POST %s HTTP/1.1\r\n"
                                 "Host: desk.example\r\n"
                                 "X-Mimosascale-Attempt-Id: %s\r\n"
                                 "X-Mimosascale-Deadline-Ms: %d\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 path, id, deadline_ms);

    ck_assert_int_eq(
        connect(fd, (struct sockaddr *)&w->entry, sizeof(w->entry)), 0);
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    g_free(text);
    return fd;
}

static inline int
world_ask(World *w, const char *id, int deadline_ms)
{
    return world_ask_path(w, id, "/x", deadline_ms);
}

/* Accepts a connection at the upstream; -1 if there is none. */
static inline int
world_accept(World *w)
{
    return accept(w->listener, NULL, NULL);
}

/* Answers the request with that id, with n bytes of body. */
static inline void
world_answer(int fd, const char *id, size_t n)
{
    char *body = g_strnfill(n, 'x');
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                 "X-Mimosascale-Attempt-Id: %s\r\n"
                                 "X-Mimosascale-Reply-Seal: s\r\n"
                                 "Content-Length: %zu\r\n\r\n%s",
                                 id, n, body);
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    g_free(text);
    g_free(body);
}

/* Status of the response that a caller has received; 0: none. */
static inline int
world_status(int fd)
{
    char buf[64] = "";
    ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_DONTWAIT);

    return n > 12 ? atoi(buf + strlen("HTTP/1.1 ")) : 0;
}

/* Lets discovery report that the upstream drains. */
static inline void
world_drain(World *w)
{
    UpsReport r = {.id = str_of("u-1"),
                   .service = str_of("desk"),
                   .zone = str_of("z"),
                   .slots = 100,
                   .draining = true};

    memcpy(&r.addr, &w->u->addr, sizeof(r.addr));
    ups_report(w->set, &r, evl_now(w->loop));
}

/* Checks that no request has reached the upstream, and that the caller was
 * told so; ends the world. */
static inline void
world_end_not_run(World *w, int caller)
{
    ck_assert_int_eq(world_accept(w), -1);
    ck_assert_int_eq(world_status(caller), 503);
    close(caller);
    world_clear(w);
}

#endif
