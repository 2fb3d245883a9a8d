/* Tests of connections to upstreams, with real sockets on loopback. */
#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "uconn.h"

#define BODY_BYTES ((size_t)16 * 1024 * 1024) /* more than buffers hold */
#define RUN_US 200000

typedef struct World {
    Evl *loop;
    Topology places;
    UpsSet *set;
    UconnPool *pool;
    int listener;
    Ups *u;
    EvlTimer end;
} World;

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
run_for(World *w, int64_t us)
{
    w->end = (EvlTimer){.fn = on_end, .ctx = w->loop};
    evl_arm(w->loop, &w->end, evl_now(w->loop) + us);
    evl_run(w->loop);
}

static void
start(World *w)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    int small = 4096;

    memset(w, 0, sizeof(*w));
    w->listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(w->listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    ck_assert_int_eq(bind(w->listener, (struct sockaddr *)&at, n), 0);
    ck_assert_int_eq(listen(w->listener, 8), 0);
    getsockname(w->listener, (struct sockaddr *)&at, &n);
    w->loop = evl_new();
    topology_add(&w->places, str_of("z"), str_of("r"));
    w->set = ups_new(&w->places, 0);
    w->pool = uconns_new(w->loop);
    UpsReport r = {.id = str_of("u-1"),
                   .service = str_of("desk"),
                   .zone = str_of("z"),
                   .slots = 4};

    memcpy(&r.addr, &at, sizeof(at));
    ups_report(w->set, &r, evl_now(w->loop));
    w->u = ups_find(w->set, str_of("u-1"));
}

static void
on_event(void *ctx, UconnEvent ev, int64_t now_us)
{
    (void)now_us;
    *(UconnEvent *)ctx = ev;
}

/* Guards against bytes of a request that was given up and that reach the
 * upstream seconds later, when a partition in between has healed. */
START_TEST(cancelled_request_is_not_delivered_later)
{
    World w;
    UconnEvent ev = UCONN_FLUSHED;
    char *body = g_malloc0(BODY_BYTES);
    char buf[65536];
    size_t got = 0;
    ssize_t n;
    static const char head[] = "POST / HTTP/1.1\r\n\r\n";

    start(&w);
    Uconn *c = uconn_open(w.pool, w.u, false, on_event, &ev);
    uconn_send(c, head, strlen(head), body, BODY_BYTES, false);
    run_for(&w, RUN_US);
    uconn_cancel(c);
    run_for(&w, RUN_US);
    int fd = accept(w.listener, NULL, NULL);
    while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
        got += (size_t)n;
    }
    ck_assert_int_eq(n, -1);
    ck_assert_int_eq(errno, ECONNRESET);
    ck_assert_uint_lt(got, BODY_BYTES);
    close(fd);
    close(w.listener);
    g_free(body);
    uconns_free(w.pool);
    ups_free(w.set);
    evl_free(w.loop);
}
END_TEST

T_MAIN("uconn", cancelled_request_is_not_delivered_later)
