/*
 * http_stub - an HTTP server on loopback for tests; the test responds to each
 * complete request.
 */
#ifndef MIMOSA_HTTP_STUB_H
#define MIMOSA_HTTP_STUB_H

#include "t.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "h1.h"
#include "strm.h"

#define STUB_HEAD_BYTES 8192
#define STUB_BACKLOG 128

typedef struct StubConn {
    struct Stub *stub;
    Strm strm;
    H1 req;
} StubConn;

/* A complete request has arrived; it is forgotten when the function returns,
 * whether it was responded to or not. */
typedef void (*StubFn)(void *ctx, StubConn *c);

typedef struct Stub {
    Evl *loop;
    EvlFd listener;
    struct sockaddr_in at;
    StubFn on_request;
    void *ctx;
    GPtrArray *conns; /* StubConn, in the order of their arrival */
} Stub;

/* Status of a response with the header Store-Era. */
#define STUB_ERA(era, status) ((era)*1000 + (status))

/* Sends a response without its last bytes.  Does nothing if the connection has
 * ended.  status: may be STUB_ERA(). */
static inline void
stub_respond_part(StubConn *c, int status, const char *body, size_t withheld)
{
    if (!c->strm.open) {
        return;
    }
    char *era = status < 1000
                    ? g_strdup("")
                    : g_strdup_printf("Store-Era: %d\r\n", status / 1000);
    char *text = g_strdup_printf("HTTP/1.1 %d Status\r\n%sContent-Length: "
                                 "%zu\r\n\r\n%s",
                                 status % 1000, era, strlen(body), body);
    g_free(era);
    strm_write(&c->strm, text, strlen(text) - withheld);
    g_free(text);
}

/* Sends a response.  Does nothing if the connection has ended. */
static inline void
stub_respond(StubConn *c, int status, const char *body)
{
    stub_respond_part(c, status, body, 0);
}

/* Returns true if the target of the request contains the text. */
static inline bool
stub_target_has(const StubConn *c, const char *text)
{
    return memmem(c->req.target.p, c->req.target.n, text, strlen(text)) !=
           NULL;
}

static inline void
stub_on_stream(void *ctx, StrmEvent ev)
{
    StubConn *c = ctx;
    Err e = {0};

    if (ev == STRM_EOF || ev == STRM_FAILED) {
        strm_close(&c->strm);
    }
    else if (ev == STRM_READABLE &&
             h1_feed(&c->req, c->strm.in, STUB_HEAD_BYTES, &e) == H1_DONE) {
        c->stub->on_request(c->stub->ctx, c);
        h1_next(&c->req);
    }
}

static inline void
stub_on_accept(void *ctx, uint32_t events)
{
    Stub *s = ctx;
    int fd = accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK);
    (void)events;

    if (fd < 0) {
        return;
    }
    StubConn *c = g_new0(StubConn, 1);
    c->stub = s;
    g_ptr_array_add(s->conns, c);
    h1_init(&c->req, true);
    strm_accept(&c->strm, s->loop, fd, stub_on_stream, c);
}

/* Listens on a free port of loopback, which is then in s->at. */
static inline void
stub_open(Stub *s, Evl *loop, StubFn on_request, void *ctx)
{
    socklen_t n = sizeof(s->at);

    *s = (Stub){.loop = loop,
                .at = {.sin_family = AF_INET,
                       .sin_addr.s_addr = htonl(INADDR_LOOPBACK)},
                .on_request = on_request,
                .ctx = ctx,
                .conns = g_ptr_array_new()};
    s->listener =
        (EvlFd){.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0),
                .fn = stub_on_accept,
                .ctx = s};
    ck_assert_int_eq(bind(s->listener.fd, (struct sockaddr *)&s->at, n), 0);
    ck_assert_int_eq(listen(s->listener.fd, STUB_BACKLOG), 0);
    getsockname(s->listener.fd, (struct sockaddr *)&s->at, &n);
    evl_add(loop, &s->listener, EPOLLIN);
}

/* Ends all connections. */
static inline void
stub_disconnect(Stub *s)
{
    for (guint i = 0; i < s->conns->len; i++) {
        strm_close(&((StubConn *)g_ptr_array_index(s->conns, i))->strm);
    }
}

static inline void
stub_close(Stub *s)
{
    stub_disconnect(s);
    for (guint i = 0; i < s->conns->len; i++) {
        StubConn *c = g_ptr_array_index(s->conns, i);
        h1_clear(&c->req);
        g_free(c);
    }
    g_ptr_array_free(s->conns, TRUE);
    evl_del(s->loop, &s->listener);
    close(s->listener.fd);
}

#endif
