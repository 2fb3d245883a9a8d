/* Tests of httpsrv: connections that end while a request waits in the kernel.
 */
#include "t.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "free_port.h"
#include "httpsrv.h"

#define IDLE_MS 200
#define RUN_MS 100
#define EXPIRED_MS 800 /* IDLE_MS and the interval of the expiry check */
#define CONNECTIONS_MAX 2

typedef struct World {
    GMainContext *context;
    CtrSet *ctrs;
    HttpSrv *http;
    struct sockaddr_in at;
    int requests;
} World;

static const char request[] = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n";

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
    World *w = data;
    HttpConn *c = http_srv_conn(msg);
    (void)server;
    (void)path;
    (void)query;

    w->requests++;
    if (c != NULL) {
        http_conn_set_user(c, w);
        http_conn_set_answered(c);
    }
    soup_server_message_set_response(msg, "text/plain", SOUP_MEMORY_STATIC,
                                     "whole", 5);
    soup_server_message_set_status(msg, 200, NULL);
}

static void
on_finished(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
    HttpConn *c = http_srv_conn(msg);
    (void)server;
    (void)data;

    if (c != NULL) {
        http_conn_set_user(c, NULL);
    }
}

static void
run(World *w, int ms)
{
    int64_t end_us = g_get_monotonic_time() + ms * INT64_C(1000);

    while (g_get_monotonic_time() < end_us) {
        if (!g_main_context_iteration(w->context, FALSE)) {
            g_usleep(1000);
        }
    }
}

static void
world_init(World *w)
{
    char address[32];
    Err e = {0};

    memset(w, 0, sizeof(*w));
    w->at = free_loopback_address();
    g_snprintf(address, sizeof(address), "127.0.0.1:%d",
               ntohs(w->at.sin_port));
    w->context = g_main_context_new();
    g_main_context_push_thread_default(w->context);
    w->ctrs = ctr_set_new();
    HttpSrvOpts o = {.address = address,
                     .connections_max = CONNECTIONS_MAX,
                     .idle_ms = IDLE_MS,
                     .head_ms = IDLE_MS,
                     .ctrs = w->ctrs,
                     .prefix = "t"};
    w->http = http_srv_new(&o, &e);
    ck_assert_ptr_nonnull(w->http);
    SoupServer *s = http_srv_soup(w->http);
    soup_server_add_handler(s, "/x", on_request, w, NULL);
    g_signal_connect(s, "request-finished", G_CALLBACK(on_finished), w);
    g_signal_connect(s, "request-aborted", G_CALLBACK(on_finished), w);
}

static void
world_clear(World *w)
{
    http_srv_free(w->http);
    ctr_set_free(w->ctrs);
    g_main_context_pop_thread_default(w->context);
    g_main_context_unref(w->context);
}

static int
connect_client(World *w)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    ck_assert_int_eq(connect(fd, (struct sockaddr *)&w->at, sizeof(w->at)), 0);
    return fd;
}

static void
send_request(int fd)
{
    ck_assert_int_eq(send(fd, request, strlen(request), MSG_NOSIGNAL),
                     (ssize_t)strlen(request));
}

/* Checks that a whole response has arrived. */
static void
check_answered(int fd)
{
    char buf[4096];
    ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_DONTWAIT);

    ck_assert_int_gt(n, 0);
    buf[n] = '\0';
    ck_assert_ptr_nonnull(strstr(buf, "HTTP/1.1 200"));
    ck_assert_ptr_nonnull(strstr(buf, "whole"));
}

static void
serve_one(World *w, int fd)
{
    send_request(fd);
    run(w, RUN_MS);
    check_answered(fd);
}

START_TEST(a_request_that_has_arrived_does_not_expire)
{
    World w;

    world_init(&w);
    int fd = connect_client(&w);
    serve_one(&w, fd);
    g_usleep(EXPIRED_MS * 1000);
    send_request(fd);
    run(&w, RUN_MS);
    ck_assert_int_eq(w.requests, 2);
    check_answered(fd);
    close(fd);
    world_clear(&w);
}
END_TEST

START_TEST(a_request_that_has_arrived_is_not_evicted)
{
    World w;

    world_init(&w);
    int oldest = connect_client(&w);
    int idle = connect_client(&w);
    run(&w, RUN_MS);
    /* Reads are polled after the listener, as they began after it. */
    serve_one(&w, oldest);
    serve_one(&w, idle);
    int fd = connect_client(&w);
    send_request(oldest);
    send_request(fd);
    run(&w, RUN_MS);
    ck_assert_int_eq(w.requests, 4);
    check_answered(oldest);
    check_answered(fd);
    close(oldest);
    close(idle);
    close(fd);
    world_clear(&w);
}
END_TEST

T_MAIN("httpsrv", a_request_that_has_arrived_does_not_expire,
       a_request_that_has_arrived_is_not_evicted)
