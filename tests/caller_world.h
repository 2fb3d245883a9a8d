/*
 * caller_world - a CallerSet with a client on loopback, for tests.
 */
#ifndef MIMOSA_TESTS_CALLER_WORLD_H
#define MIMOSA_TESTS_CALLER_WORLD_H

#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"
#include "free_port.h"

#define RECEIVE_BYTES 4096 /* receive buffer of a client that reads late */
#define RUN_US 200000
#define IDLE_US 1000000 /* limits of the set */
#define HEAD_MAX 8192
#define CALLERS_MAX 4
#define BUFFERED_MAX (64 * 1024 * 1024)
#define STALL_US 400000 /* of the loop, by on_stall() */

typedef struct World {
    Evl *loop;
    CallerSet *set;
    struct sockaddr_in at;
    int client;
    GByteArray *body; /* of each response */
    GString *received;
    int requests;
    int disconnected;
    bool hold;    /* requests get no response */
    Caller *held; /* the last request that got no response */
} World;

static const char get_request[] = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
static const char close_request[] =
    "GET / HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";

static void
on_request(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    World *w = ctx;
    (void)req;
    (void)now_us;

    w->requests++;
    if (w->hold) {
        w->held = c;
        caller_set_user(c, w);
        return;
    }
    caller_respond(c, str_of("HTTP/1.1 200 OK\r\n"), w->body->data,
                   w->body->len);
}

static void
on_disconnected(void *ctx, void *user, int64_t now_us)
{
    World *w = ctx;
    (void)user;
    (void)now_us;

    w->disconnected++;
}

static void
on_rejected(void *ctx, int status, const Err *e)
{
    (void)ctx;
    (void)status;
    (void)e;
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static inline void
run_for(World *w, int64_t us)
{
    EvlTimer end = {.fn = on_end, .ctx = w->loop};

    evl_arm(w->loop, &end, evl_now(w->loop) + us);
    evl_run(w->loop);
}

static inline void
run(World *w)
{
    run_for(w, RUN_US);
}

/* Starts the set, or replaces it by one with other limits. */
static inline void
world_open_set(World *w, size_t max_buffered_bytes, int64_t idle_us)
{
    Err e = {0};
    CallerOpts o = {
        .loop = w->loop,
        .listen_addr = w->at,
        .max_callers = CALLERS_MAX,
        .max_buffered_bytes = max_buffered_bytes,
        .limits = {HEAD_MAX, HEAD_MAX, idle_us, idle_us},
        .fns = {on_request, on_disconnected, NULL, on_rejected, NULL},
        .ctx = w};

    callers_free(w->set);
    w->set = callers_new(&o, &e);
    ck_assert_ptr_nonnull(w->set);
}

/* Starts a set whose responses have n bytes of body. */
static inline void
world_init(World *w, guint n)
{
    memset(w, 0, sizeof(*w));
    w->client = -1;
    w->at = free_loopback_address();
    w->loop = evl_new();
    w->received = g_string_new(NULL);
    w->body = g_byte_array_new();
    g_byte_array_set_size(w->body, n);
    memset(w->body->data, 'x', n);
    world_open_set(w, BUFFERED_MAX, IDLE_US);
}

static inline void
world_clear(World *w)
{
    callers_free(w->set);
    evl_free(w->loop);
    if (w->client >= 0) {
        close(w->client);
    }
    g_byte_array_unref(w->body);
    g_string_free(w->received, TRUE);
}

/* Connects the client; receive: size of its receive buffer, 0 for the
 * default. */
static inline void
connect_client(World *w, int receive)
{
    w->client = socket(AF_INET, SOCK_STREAM, 0);
    if (receive > 0) {
        setsockopt(w->client, SOL_SOCKET, SO_RCVBUF, &receive,
                   sizeof(receive));
    }
    ck_assert_int_eq(
        connect(w->client, (struct sockaddr *)&w->at, sizeof(w->at)), 0);
}

static inline void
send_text(World *w, const char *text)
{
    ck_assert_int_eq(send(w->client, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

/* Starts a set and a client whose first request has been answered. */
static inline void
start_used(World *w)
{
    world_init(w, 10);
    connect_client(w, 0);
    send_text(w, get_request);
    run(w);
    ck_assert_int_eq(w->requests, 1);
}

/* Timer functions, with the world as context. */
static inline void
on_send_close(void *ctx, int64_t now_us)
{
    (void)now_us;
    send_text(ctx, close_request);
}

static inline void
on_stall(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
    g_usleep(STALL_US);
}

/* Reads until the connection ends or limit_us have passed.  Returns true after
 * a regular end. */
static inline bool
receive_all(World *w, int64_t limit_us)
{
    int64_t end_us = evl_now(w->loop) + limit_us;
    char buf[65536];

    while (evl_now(w->loop) < end_us) {
        ssize_t n = recv(w->client, buf, sizeof(buf), MSG_DONTWAIT);
        if (n > 0) {
            g_string_append_len(w->received, buf, n);
        }
        else if (n == 0 || errno != EAGAIN) {
            return n == 0;
        }
        evl_run_once(w->loop, n < 0 ? 1 : 0);
    }
    return false;
}

/* Number of times that the client has received this text. */
static inline int
count_received(const World *w, const char *text)
{
    int n = 0;

    for (const char *p = w->received->str;
         (p = memmem(p, w->received->len - (size_t)(p - w->received->str),
                     text, strlen(text))) != NULL;
         p++) {
        n++;
    }
    return n;
}

#endif
