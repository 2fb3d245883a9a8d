/* uconn - connections to upstreams.  See uconn.h. */
#include "uconn.h"

#include <stdlib.h>
#include <string.h>

#include "strm.h"

/* Upstreams that do not tell how long they keep a connection. */
#define KEEP_DEFAULT_US 4000000
/* A request must not meet the upstream closing: part of the time told. */
#define KEEP_PART 0.5
/* Written bytes without acknowledgement.  A dead machine answers nothing;
 * 55 ms of delay and a lost packet or two stay well below. */
#define UNACKED_MS 1500
#define ANSWER_HEAD_BYTES 32768
#define SWEEP_US 500000

struct Uconn {
    UconnPool *pool;
    Ups *u;
    Strm strm;
    H1 answer;
    UconnFn fn;
    void *ctx;
    GByteArray *queued; /* written when connected */
    int64_t idle_until_us;
    bool reused;
    bool to_head; /* the request was HEAD: its answer has no body */
    bool sent;
    bool under_way; /* a request was sent and its answer is not complete */
    bool spoiled;   /* bytes of another request came */
    bool idle;
    bool gone;
    GList link;
    GList all_link;
};

struct UconnPool {
    Evl *loop;
    GQueue all;
    EvlTimer sweep;
    int64_t opened;
    int64_t reused;
};

static void
release(gpointer p)
{
    Uconn *c = p;

    h1_clear(&c->answer);
    g_byte_array_unref(c->queued);
    ups_unref(c->u);
    g_free(c);
}

static void
close_conn(Uconn *c)
{
    if (c->gone) {
        return;
    }
    c->gone = true;
    if (c->idle) {
        g_queue_unlink(&c->u->idle_conns, &c->link);
    }
    g_queue_unlink(&c->pool->all, &c->all_link);
    c->u->n_conns--;
    if (c->under_way) {
        strm_abort(&c->strm);
    }
    else {
        strm_close(&c->strm);
    }
    evl_defer(c->pool->loop, release, c);
}

static void
tell(Uconn *c, UconnEvent ev)
{
    if (c->fn != NULL) {
        c->fn(c->ctx, ev, evl_now(c->pool->loop));
    }
}

static void
read_answer(Uconn *c)
{
    Err e = {0};
    guint before = c->answer.body->len;

    c->answer.no_body = c->to_head;
    H1State st = h1_feed(&c->answer, c->strm.in, ANSWER_HEAD_BYTES, &e);
    /* Interim answers say nothing about the request's end. */
    while (st == H1_DONE && c->answer.parser.status_code / 100 == 1) {
        h1_next(&c->answer);
        c->answer.no_body = c->to_head;
        st = h1_feed(&c->answer, c->strm.in, ANSWER_HEAD_BYTES, &e);
    }
    if (st == H1_ERROR || st == H1_TOO_LARGE) {
        tell(c, UCONN_GARBLED);
    }
    else if (st == H1_DONE) {
        tell(c, UCONN_DONE);
    }
    else if (st == H1_BODY && c->answer.body->len > before) {
        tell(c, UCONN_BODY);
    }
}

static void
on_end(Uconn *c, bool clean)
{
    if (c->idle) {
        /* A reset of an idle connection is a sign that the upstream's
         * process is gone; a regular close is not. */
        if (!clean) {
            ups_observe_down(c->u, evl_now(c->pool->loop));
        }
        close_conn(c);
        return;
    }
    if (c->strm.connecting) {
        tell(c, UCONN_REFUSED);
    }
    else if (clean && c->answer.has_head && h1_eof(&c->answer) == H1_DONE) {
        tell(c, UCONN_DONE);
    }
    else {
        tell(c, UCONN_LOST);
    }
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    Uconn *c = ctx;

    switch (ev) {
    case STRM_CONNECTED:
        if (!c->sent) {
            tell(c, UCONN_CONNECTED);
        }
        else if (c->queued->len > 0) {
            strm_write(&c->strm, c->queued->data, c->queued->len);
            g_byte_array_set_size(c->queued, 0);
        }
        break;
    case STRM_READABLE:
        if (c->idle || !c->sent) {
            /* Nothing was asked: the bytes belong to no request. */
            if (c->idle) {
                close_conn(c);
            }
            else {
                tell(c, UCONN_GARBLED);
            }
            break;
        }
        read_answer(c);
        break;
    case STRM_FLUSHED:
        if (!c->idle) {
            tell(c, UCONN_FLUSHED);
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

static Uconn *
take_idle(UconnPool *p, Ups *u)
{
    while (u->idle_conns.tail != NULL) {
        Uconn *c = u->idle_conns.tail->data;
        if (evl_now(p->loop) < c->idle_until_us) {
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

Uconn *
uconn_open(UconnPool *p, Ups *u, bool fresh_only, UconnFn fn, void *ctx)
{
    Uconn *c = fresh_only ? NULL : take_idle(p, u);

    if (c == NULL) {
        c = g_new0(Uconn, 1);
        if (!strm_connect(&c->strm, p->loop, (const struct sockaddr *)&u->addr,
                          UNACKED_MS, on_stream, c)) {
            g_free(c);
            return NULL;
        }
        c->pool = p;
        c->u = ups_ref(u);
        c->link.data = c;
        c->all_link.data = c;
        c->queued = g_byte_array_new();
        h1_init(&c->answer, false);
        g_queue_push_tail_link(&p->all, &c->all_link);
        u->n_conns++;
        p->opened++;
    }
    c->fn = fn;
    c->ctx = ctx;
    c->sent = false;
    return c;
}

void
uconn_send(Uconn *c, const void *head, size_t n, const void *body,
           size_t body_n, bool to_head)
{
    GByteArray *q = c->queued;

    c->sent = true;
    c->under_way = true;
    c->to_head = to_head;
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

H1 *
uconn_response(Uconn *c)
{
    return &c->answer;
}

void
uconn_pause(Uconn *c, bool paused)
{
    strm_pause(&c->strm, paused);
}

void
uconn_skip_response(Uconn *c)
{
    c->spoiled = true;
    h1_next(&c->answer);
    if (c->strm.in->len > 0) {
        read_answer(c);
    }
}

/* How long an idle connection may be used again. */
static int64_t
keep_us(const H1 *a)
{
    Str k = h1_get(a, "keep-alive");
    const char *t =
        k.n == 0 ? NULL : memmem(k.p, k.n, "timeout=", strlen("timeout="));
    int64_t us = KEEP_DEFAULT_US;

    if (t != NULL) {
        /* The head ends with CRLF, where strtol stops. */
        us = strtol(t + strlen("timeout="), NULL, 10) * 1000000L;
    }
    return (int64_t)((double)us * KEEP_PART);
}

void
uconn_release(Uconn *c)
{
    H1 *a = &c->answer;

    c->fn = NULL;
    c->under_way = false;
    if (a->state != H1_DONE || !a->keep || c->spoiled || c->strm.eof ||
        c->strm.in->len > 0 || c->strm.out->len > 0 ||
        c->u->state != UPS_READY) {
        close_conn(c);
        return;
    }
    c->idle_until_us = evl_now(c->pool->loop) + keep_us(a);
    h1_next(a);
    c->idle = true;
    g_queue_push_tail_link(&c->u->idle_conns, &c->link);
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
    (void)p;
    while (u->idle_conns.head != NULL) {
        close_conn(u->idle_conns.head->data);
    }
}
