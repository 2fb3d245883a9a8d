/* Tests of connections to upstreams, with real sockets on loopback. */
#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "uconn.h"

/* More than the socket buffers hold. */
#define BODY_BYTES ((size_t)16 * 1024 * 1024)
#define RUN_US 200000

typedef struct Fixture {
    Evl *loop;
    Topology topo;
    UpsSet *set;
    UconnPool *pool;
    int listener;
    Ups *u;
    EvlTimer end;
} Fixture;

static void
stop_loop(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
run_for(Fixture *f, int64_t us)
{
    f->end = (EvlTimer){.fn = stop_loop, .ctx = f->loop};
    evl_arm(f->loop, &f->end, evl_now(f->loop) + us);
    evl_run(f->loop);
}

static void
setup(Fixture *f)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    int small = 4096;

    memset(f, 0, sizeof(*f));
    f->listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(f->listener, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    ck_assert_int_eq(bind(f->listener, (struct sockaddr *)&at, n), 0);
    ck_assert_int_eq(listen(f->listener, 8), 0);
    getsockname(f->listener, (struct sockaddr *)&at, &n);
    f->loop = evl_new();
    topology_add(&f->topo, str_of("z"), str_of("r"));
    f->set = ups_new(&f->topo, 0);
    f->pool = uconns_new(f->loop);
    UpsReport r = {.id = str_of("u-1"),
                   .service = str_of("desk"),
                   .zone = str_of("z"),
                   .slots = 4};

    memcpy(&r.addr, &at, sizeof(at));
    ups_report(f->set, &r, evl_now(f->loop));
    f->u = ups_find(f->set, str_of("u-1"));
}

static void
teardown(Fixture *f)
{
    close(f->listener);
    uconns_free(f->pool);
    ups_free(f->set);
    evl_free(f->loop);
}

static void
on_event(void *ctx, UconnEvent ev, int64_t now_us)
{
    (void)now_us;
    *(UconnEvent *)ctx = ev;
}

/* Guards against a cancelled request whose remaining bytes reach the upstream
 * seconds later: after a regular close the kernel would go on sending them
 * once a network partition has healed. */
START_TEST(cancelled_request_is_not_delivered_later)
{
    Fixture f;
    UconnEvent ev = UCONN_FLUSHED;
    char *body = g_malloc0(BODY_BYTES);
    char buf[65536];
    size_t got = 0;
    ssize_t n;
    static const char head[] = "POST / HTTP/1.1\r\n\r\n";

    setup(&f);
    Uconn *c = uconn_open(f.pool, f.u, false, on_event, &ev);
    uconn_send(c, head, strlen(head), body, BODY_BYTES, false);
    run_for(&f, RUN_US);
    uconn_cancel(c);
    run_for(&f, RUN_US);
    int fd = accept(f.listener, NULL, NULL);
    while ((n = recv(fd, buf, sizeof(buf), 0)) > 0) {
        got += (size_t)n;
    }
    ck_assert_int_eq(n, -1);
    ck_assert_int_eq(errno, ECONNRESET);
    ck_assert_uint_lt(got, BODY_BYTES);
    close(fd);
    g_free(body);
    teardown(&f);
}
END_TEST

/* Guards against a request that waits for a new connection although a spare
 * one was opened, and against bytes that the upstream sent on it before any
 * request: they must not become the answer. */
START_TEST(a_spare_connection_serves_the_next_request)
{
    Fixture f;
    UconnEvent ev = UCONN_FLUSHED;

    setup(&f);
    uconn_open_spare(f.pool, f.u);
    run_for(&f, RUN_US);
    ck_assert_uint_eq(f.u->idle_conns.length, 1);
    Uconn *c = uconn_open(f.pool, f.u, false, on_event, &ev);
    ck_assert(uconn_connected(c));
    ck_assert_int_eq((int)uconns_opened(f.pool), 1);
    uconn_cancel(c);
    close(accept(f.listener, NULL, NULL));
    uconn_open_spare(f.pool, f.u);
    run_for(&f, RUN_US);
    int fd = accept(f.listener, NULL, NULL);
    ck_assert_int_eq((int)send(fd, "HTTP/1.1 200 OK\r\n", 17, 0), 17);
    run_for(&f, RUN_US);
    ck_assert_uint_eq(f.u->idle_conns.length, 0);
    ck_assert_int_eq(f.u->n_conns, 0);
    close(fd);
    teardown(&f);
}
END_TEST

/* Guards against a spare connection to the former address of an upstream that
 * started again elsewhere. */
START_TEST(spare_connections_end_with_the_idle_ones)
{
    Fixture f;

    setup(&f);
    uconn_open_spare(f.pool, f.u);
    uconns_close_idle(f.pool, f.u);
    ck_assert_int_eq(f.u->n_conns, 0);
    run_for(&f, RUN_US);
    ck_assert_uint_eq(f.u->idle_conns.length, 0);
    teardown(&f);
}
END_TEST

T_MAIN("uconn", cancelled_request_is_not_delivered_later,
       a_spare_connection_serves_the_next_request,
       spare_connections_end_with_the_idle_ones)
