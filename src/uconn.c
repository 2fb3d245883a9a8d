/* uconn - connections to upstreams.  See uconn.h. */
#include "uconn.h"

#include <stdlib.h>
#include <string.h>

#include "strm.h"

/* For upstreams that do not announce how long they keep a connection. */
#define KEEP_ALIVE_DEFAULT_US 4000000
/* An idle connection is not used during the last part of the keep-alive time,
 * so that no request is sent while the upstream closes it: a second that may
 * be rounding, and the way to another region and back.  At least this fraction
 * of the time is used; of the default, no more. */
#define KEEP_ALIVE_MARGIN_US 1250000
#define KEEP_ALIVE_FRACTION 0.5
/* Limit for written bytes without an acknowledgement.  A dead machine
 * acknowledges nothing; a delay of 55 ms and one or two lost packets stay well
 * below the limit. */
#define UNACKED_MS 1500
#define KEEP_ALIVE_MAX_S 60
#define RESPONSE_HEAD_BYTES 32768
#define SWEEP_US 500000 /* between closes of expired idle connections */

struct Uconn {
    UconnPool *pool;
    Ups *u;
    Strm strm;
    H1 response;
    Err error; /* reason of UCONN_INVALID */
    UconnFn fn;
    void *ctx;
    GByteArray *queued; /* written once connected */
    uint64_t boot_ms;   /* of the upstream when the connection was opened */
    int64_t idle_until_us;
    bool reused;
    bool head_request; /* the request was HEAD: its response has no body */
    bool sent;
    bool in_progress; /* a request was sent and its response is not complete */
    bool no_reuse;    /* a response to another request was received */
    bool idle;
    bool spare; /* becomes idle once it is established */
    bool closed;
    GList link;     /* in Ups.idle_conns */
    GList all_link; /* in UconnPool.all */
};

struct UconnPool {
    Evl *loop;
    GQueue all;
    EvlTimer sweep;
    int64_t opened;
    int64_t reused;
};

static void
free_conn(gpointer p)
{
    Uconn *c = p;

    h1_clear(&c->response);
    g_byte_array_unref(c->queued);
    ups_unref(c->u);
    g_free(c);
}

static void
close_conn(Uconn *c)
{
    if (c->closed) {
        return;
    }
    c->closed = true;
    if (c->idle) {
        g_queue_unlink(&c->u->idle_conns, &c->link);
    }
    g_queue_unlink(&c->pool->all, &c->all_link);
    c->u->n_conns--;
    if (c->in_progress) {
        strm_abort(&c->strm);
    }
    else {
        strm_close(&c->strm);
    }
    evl_defer(c->pool->loop, free_conn, c);
}

static void
notify(Uconn *c, UconnEvent ev)
{
    if (c->fn != NULL) {
        c->fn(c->ctx, ev, evl_now(c->pool->loop));
    }
}

static void
read_response(Uconn *c)
{
    guint before = c->response.body->len;

    c->response.no_body = c->head_request;
    H1State st = h1_feed_final(&c->response, c->strm.in, RESPONSE_HEAD_BYTES,
                               &c->error);
    if (st == H1_ERROR || st == H1_TOO_LARGE) {
        notify(c, UCONN_INVALID);
    }
    else if (st == H1_DONE) {
        notify(c, UCONN_DONE);
    }
    else if (st == H1_BODY && c->response.body->len > before) {
        notify(c, UCONN_BODY);
    }
}

static void
on_end(Uconn *c, bool clean)
{
    if (c->idle) {
        /* A reset of an idle connection indicates that the process of the
         * upstream has ended; a regular close does not. */
        if (!clean) {
            ups_observe_connect_failure(c->u, evl_now(c->pool->loop));
        }
        close_conn(c);
        return;
    }
    if (c->spare) {
        ups_observe_connect_failure(c->u, evl_now(c->pool->loop));
        close_conn(c);
    }
    else if (c->strm.connecting) {
        notify(c, UCONN_CONNECT_FAILED);
    }
    else if (clean && c->response.has_head &&
             h1_eof(&c->response) == H1_DONE) {
        notify(c, UCONN_DONE);
    }
    else {
        notify(c, UCONN_LOST);
    }
}

/* Puts a connection into the pool of its upstream. */
static void
make_idle(Uconn *c)
{
    int64_t keep_us = c->u->keep_us;

    if (keep_us == 0) {
        keep_us = (int64_t)(KEEP_ALIVE_DEFAULT_US * KEEP_ALIVE_FRACTION);
    }
    c->idle_until_us = evl_now(c->pool->loop) + keep_us;
    c->idle = true;
    g_queue_push_tail_link(&c->u->idle_conns, &c->link);
}

static void
on_connected(Uconn *c)
{
    if (c->spare && c->u->state != UPS_READY) {
        close_conn(c);
    }
    else if (c->spare) {
        c->spare = false;
        make_idle(c);
    }
    else if (strm_pending(&c->strm) != STRM_PENDING_NONE) {
        /* The upstream has refused the connection after its kernel accepted
         * it, or sends bytes that answer nothing. */
        notify(c, UCONN_CONNECT_FAILED);
    }
    else if (!c->sent) {
        notify(c, UCONN_CONNECTED);
    }
    else if (c->queued->len > 0) {
        notify(c, UCONN_SENDING);
        if (!c->closed) {
            strm_write(&c->strm, c->queued->data, c->queued->len);
            g_byte_array_set_size(c->queued, 0);
        }
    }
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    Uconn *c = ctx;

    switch (ev) {
    case STRM_CONNECTED:
        on_connected(c);
        break;
    case STRM_READABLE:
        if (c->idle || !c->sent) {
            /* No request was sent, so these bytes are not a response. */
            if (c->idle) {
                close_conn(c);
            }
            else {
                err_set(&c->error, ERR_PROTOCOL,
                        "bytes arrived before a request was sent");
                notify(c, UCONN_INVALID);
            }
            break;
        }
        read_response(c);
        break;
    case STRM_FLUSHED:
        if (!c->idle) {
            notify(c, UCONN_FLUSHED);
        }
        break;
    case STRM_EOF:
        on_end(c, true);
        break;
    case STRM_FAILED:
        on_end(c, false);
        break;
    }
}

static void
on_sweep(void *ctx, int64_t now_us)
{
    UconnPool *p = ctx;
    GList *next;

    for (GList *l = p->all.head; l != NULL; l = next) {
        Uconn *c = l->data;
        next = l->next;
        if (c->idle &&
            (now_us >= c->idle_until_us || c->u->state == UPS_GONE)) {
            close_conn(c);
        }
    }
    evl_arm(p->loop, &p->sweep, now_us + SWEEP_US);
}

UconnPool *
uconns_new(Evl *loop)
{
    UconnPool *p = g_new0(UconnPool, 1);

    p->loop = loop;
    g_queue_init(&p->all);
    p->sweep = (EvlTimer){.fn = on_sweep, .ctx = p};
    evl_arm(loop, &p->sweep, evl_now(loop) + SWEEP_US);
    return p;
}

void
uconns_free(UconnPool *p)
{
    while (p->all.head != NULL) {
        close_conn(p->all.head->data);
    }
    evl_disarm(p->loop, &p->sweep);
    g_free(p);
}

int64_t
uconns_opened(const UconnPool *p)
{
    return p->opened;
}

int64_t
uconns_reused(const UconnPool *p)
{
    return p->reused;
}

/* False if the upstream has closed an idle connection or has sent bytes on it,
 * also if the event of it is not delivered yet. */
static bool
is_usable(const Uconn *c)
{
    StrmPending pending = strm_pending(&c->strm);

    if (pending == STRM_PENDING_FAILURE) {
        ups_observe_connect_failure(c->u, evl_now(c->pool->loop));
    }
    return pending == STRM_PENDING_NONE;
}

static Uconn *
take_idle(UconnPool *p, Ups *u)
{
    while (u->idle_conns.tail != NULL) {
        Uconn *c = u->idle_conns.tail->data;
        if (evl_now(p->loop) < c->idle_until_us && is_usable(c)) {
            g_queue_unlink(&u->idle_conns, &c->link);
            c->idle = false;
            c->reused = true;
            p->reused++;
            return c;
        }
        close_conn(c);
    }
    return NULL;
}

static Uconn *
new_conn(UconnPool *p, Ups *u)
{
    Uconn *c = g_new0(Uconn, 1);

    if (!strm_connect(&c->strm, p->loop, (const struct sockaddr *)&u->addr,
                      UNACKED_MS, on_stream, c)) {
        g_free(c);
        return NULL;
    }
    strm_deliver_all(&c->strm);
    c->pool = p;
    c->u = ups_ref(u);
    c->boot_ms = u->boot_ms;
    c->link.data = c;
    c->all_link.data = c;
    c->queued = g_byte_array_new();
    h1_init(&c->response, false);
    g_queue_push_tail_link(&p->all, &c->all_link);
    u->n_conns++;
    p->opened++;
    return c;
}

void
uconn_open_spare(UconnPool *p, Ups *u)
{
    Uconn *c = new_conn(p, u);

    if (c != NULL) {
        c->spare = true;
    }
}

Uconn *
uconn_open(UconnPool *p, Ups *u, bool fresh_only, UconnFn fn, void *ctx)
{
    Uconn *c = fresh_only ? NULL : take_idle(p, u);

    if (c == NULL) {
        c = new_conn(p, u);
    }
    if (c == NULL) {
        return NULL;
    }
    c->fn = fn;
    c->ctx = ctx;
    c->sent = false;
    return c;
}

void
uconn_send(Uconn *c, const void *head, size_t n, const void *body,
           size_t body_n, bool head_request)
{
    GByteArray *q = c->queued;

    c->sent = true;
    c->in_progress = true;
    c->head_request = head_request;
    g_byte_array_append(q, head, (guint)n);
    g_byte_array_append(q, body, (guint)body_n);
    if (!c->strm.connecting) {
        strm_write(&c->strm, q->data, q->len);
        g_byte_array_set_size(q, 0);
    }
}

void
uconn_send_more(Uconn *c, const void *p, size_t n)
{
    strm_write(&c->strm, p, n);
}

size_t
uconn_backlog(const Uconn *c)
{
    return c->strm.out->len;
}

bool
uconn_connected(const Uconn *c)
{
    return !c->strm.connecting;
}

bool
uconn_is_reused(const Uconn *c)
{
    return c->reused;
}

bool
uconn_is_current(const Uconn *c)
{
    return c->boot_ms == c->u->boot_ms;
}

const char *
uconn_error(const Uconn *c)
{
    return c->error.text;
}

H1 *
uconn_response(Uconn *c)
{
    return &c->response;
}

void
uconn_pause(Uconn *c, bool paused)
{
    strm_pause(&c->strm, paused);
}

void
uconn_skip_response(Uconn *c)
{
    c->no_reuse = true;
    h1_next(&c->response);
    if (c->strm.in->len > 0) {
        read_response(c);
    }
}

/* Time for which an idle connection may be used again. */
static int64_t
keep_alive_us(const H1 *resp)
{
    Str k = h1_get(resp, "keep-alive");
    const char *t =
        k.n == 0 ? NULL : memmem(k.p, k.n, "timeout=", strlen("timeout="));

    if (t == NULL) {
        return (int64_t)(KEEP_ALIVE_DEFAULT_US * KEEP_ALIVE_FRACTION);
    }
    /* The head ends with CRLF, so strtol() stops inside it. */
    int64_t us =
        CLAMP(strtol(t + strlen("timeout="), NULL, 10), 0, KEEP_ALIVE_MAX_S) *
        INT64_C(1000000);
    return MAX((int64_t)((double)us * KEEP_ALIVE_FRACTION),
               us - KEEP_ALIVE_MARGIN_US);
}

void
uconn_release(Uconn *c)
{
    H1 *resp = &c->response;

    c->fn = NULL;
    c->in_progress = false;
    if (resp->state != H1_DONE || !resp->keep || c->no_reuse || c->strm.eof ||
        c->strm.in->len > 0 || c->strm.out->len > 0 || c->strm.write_failed ||
        c->u->state != UPS_READY) {
        close_conn(c);
        return;
    }
    c->u->keep_us = MAX(keep_alive_us(resp), 1); /* 0: not known */
    h1_next(resp);
    make_idle(c);
}

void
uconn_cancel(Uconn *c)
{
    c->fn = NULL;
    close_conn(c);
}

void
uconns_close_idle(UconnPool *p, Ups *u)
{
    GList *next;

    for (GList *l = p->all.head; l != NULL; l = next) {
        Uconn *c = l->data;
        next = l->next;
        if (c->u == u && (c->idle || c->spare)) {
            close_conn(c);
        }
    }
}
