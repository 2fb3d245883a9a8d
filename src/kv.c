/* kv - one connection to a key-value service.  See kv.h. */
#include "kv.h"

#include "h1.h"
#include "strm.h"

#define UNACKED_MS 1000 /* see strm_connect() */
/* Limit for a new connection, which takes one round trip: about 110 ms between
 * regions. */
#define CONNECT_US 400000
#define HEAD_MAX 16384

struct KvConn {
    Evl *loop;
    Dlog *log;
    struct sockaddr_in at;
    Strm strm;
    bool open;
    H1 answer;
    GString *request; /* of the last call */
    EvlTimer timer;
    XferLimit limit;
    XferBacklog *backlog;
    XferBacklog own_backlog; /* unless another is shared */
    KvHist *history;         /* may be NULL */
    size_t bytes_max;        /* of the body of an answer */
    guint unparsed; /* bytes of the answer that arrived before and are not read
                     */
    int64_t calls;  /* started so far */
    bool begun;     /* the answer was reported to the function "begin" */
    KvBegin begin;
    void *begin_ctx;
    KvDone done;
    void *ctx;
};

static void
item_clear(gpointer p)
{
    KvItem *i = p;

    g_free(i->key);
    if (i->value != NULL) {
        g_bytes_unref(i->value);
    }
}

void
kv_page_clear(KvPage *p)
{
    if (p->items != NULL) {
        g_array_set_clear_func(p->items, item_clear);
        g_array_free(p->items, TRUE);
        p->items = NULL;
    }
}

/* Aborts the connection, so that a call without an answer does not reach the
 * store later. */
void
kv_disconnect(KvConn *c)
{
    if (c->open) {
        strm_abort(&c->strm);
        c->open = false;
    }
}

/* Bytes of the answer that are still to come, -1: not known. */
static int64_t
left_bytes(const KvConn *c)
{
    return c->answer.length < 0
               ? -1
               : c->answer.length - (int64_t)c->answer.body->len;
}

/* Records that the rest of an answer is not read, and is on the way. */
static void
give_up_answer(KvConn *c)
{
    if (c->limit.last_us != 0) {
        xferlimit_backlog_given_up(c->backlog, left_bytes(c),
                                   evl_now(c->loop));
    }
}

/* Returns the history that the answer names.  One that is not used, as it did
 * not arrive whole or is too large, names one, too. */
static KvHistOrder
answer_history(const KvConn *c)
{
    const H1 *a = &c->answer;

    if (c->history == NULL || !a->has_head || a->state == H1_ERROR) {
        return KVHIST_CURRENT;
    }
    return kvhist_answer(c->history, h1_get(a, c->history->header));
}

static void
finish(KvConn *c, int status)
{
    KvDone done = c->done;
    Str body = {(const char *)c->answer.body->data, c->answer.body->len};
    KvHist *h = c->history;
    uint64_t before = h == NULL ? 0 : h->current;
    KvHistOrder order = answer_history(c);

    if (status <= KV_NO_ANSWER || !c->answer.keep || c->strm.in->len > 0) {
        kv_disconnect(c);
    }
    evl_disarm(c->loop, &c->timer);
    c->done = NULL;
    if (order != KVHIST_CURRENT) {
        status = order == KVHIST_LATER ? KV_LATER : KV_FORMER;
        body = (Str){NULL, 0};
    }
    if (done != NULL) {
        done(c->ctx, status, body, evl_now(c->loop));
    }
    if (order == KVHIST_LATER && h->begun != NULL) {
        h->begun(h->ctx, before, evl_now(c->loop));
    }
}

static void
fail(KvConn *c)
{
    finish(c, !c->open || c->strm.connecting ? KV_NOT_SENT : KV_NO_ANSWER);
}

static void
log_malformed(const KvConn *c, const Err *e)
{
    if (c->log != NULL) {
        dlog_event(c->log, DLOG_WARN, "store",
                   "event=malformed_answer error=\"%s\"",
                   dlog_quoted(e->text).s);
    }
}

static void
report_begin(KvConn *c, H1State st)
{
    if (st == H1_BODY && !c->begun && c->begin != NULL) {
        c->begun = true;
        c->begin(c->begin_ctx, (int)c->answer.parser.status_code,
                 evl_now(c->loop));
    }
}

static void
on_bytes(KvConn *c)
{
    Err e = {0};

    xferlimit_received(&c->limit, c->strm.in->len - c->unparsed,
                       evl_now(c->loop));
    H1State st = h1_feed_final(&c->answer, c->strm.in, HEAD_MAX, &e);
    c->unparsed = c->strm.in->len;
    xferlimit_backlog_received(c->backlog, c->limit.start_us,
                               st == H1_BODY ? left_bytes(c) : 0,
                               evl_now(c->loop));
    if (st == H1_DONE) {
        finish(c, (int)c->answer.parser.status_code);
    }
    else if (st == H1_ERROR || st == H1_TOO_LARGE) {
        log_malformed(c, &e);
        finish(c, KV_NO_ANSWER);
    }
    else if (c->answer.length > (int64_t)c->bytes_max ||
             c->answer.body->len > c->bytes_max) {
        give_up_answer(c);
        finish(c, KV_TOO_LARGE);
    }
    else {
        evl_arm(c->loop, &c->timer, c->limit.end_us);
        report_begin(c, st);
    }
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    KvConn *c = ctx;

    if (ev == STRM_CONNECTED && c->done != NULL) {
        evl_arm(c->loop, &c->timer, c->limit.end_us);
        strm_write(&c->strm, c->request->str, c->request->len);
    }
    if (ev == STRM_CONNECTED || ev == STRM_FLUSHED) {
        return;
    }
    if (c->done == NULL) {
        kv_disconnect(c);
        return;
    }
    if (ev == STRM_READABLE) {
        on_bytes(c);
        return;
    }
    fail(c);
}

static void
on_timeout(void *ctx, int64_t now_us)
{
    KvConn *c = ctx;
    int64_t call = c->calls;

    if (c->open && !c->strm.connecting) {
        /* Bytes may have arrived while other timers of this iteration ran. */
        strm_read_now(&c->strm);
        if (c->done == NULL || c->calls != call || c->limit.end_us > now_us) {
            return;
        }
        xferlimit_extend(&c->limit, c->backlog);
        if (c->limit.end_us > now_us) {
            evl_arm(c->loop, &c->timer, c->limit.end_us);
            return;
        }
        if (c->limit.last_us == 0) {
            xferlimit_backlog_silent(c->backlog, &c->limit, now_us);
        }
    }
    fail(c);
}

/* Takes ownership of the request; NULL releases it. */
static void
set_request(KvConn *c, GString *request)
{
    if (c->request != NULL) {
        g_string_free(c->request, TRUE);
    }
    c->request = request;
}

KvConn *
kv_new(Evl *loop, const struct sockaddr_in *at, Dlog *log)
{
    KvConn *c = g_new0(KvConn, 1);

    c->loop = loop;
    c->log = log;
    c->at = *at;
    c->bytes_max = KV_ANSWER_BYTES_MAX;
    c->backlog = &c->own_backlog;
    h1_init(&c->answer, false);
    c->timer = (EvlTimer){.fn = on_timeout, .ctx = c};
    return c;
}

void
kv_share_backlog(KvConn *c, XferBacklog *b)
{
    c->backlog = b == NULL ? &c->own_backlog : b;
}

void
kv_share_history(KvConn *c, KvHist *h)
{
    c->history = h;
}

void
kv_on_begin(KvConn *c, KvBegin fn, void *ctx)
{
    c->begin = fn;
    c->begin_ctx = ctx;
}

void
kv_free(KvConn *c)
{
    kv_cancel(c);
    kv_disconnect(c);
    set_request(c, NULL);
    h1_clear(&c->answer);
    g_free(c);
}

bool
kv_busy(const KvConn *c)
{
    return c->done != NULL;
}

void
kv_call(KvConn *c, GString *request, int64_t timeout_us, KvDone done,
        void *ctx)
{
    int64_t now_us = evl_now(c->loop);
    int64_t backlog_us = xferlimit_backlog_us(c->backlog, now_us);

    c->done = done;
    c->ctx = ctx;
    c->calls++;
    c->unparsed = 0;
    c->begun = false;
    xferlimit_start(&c->limit, timeout_us, now_us);
    xferlimit_extend(&c->limit, c->backlog);
    h1_next(&c->answer);
    set_request(c, request);
    if (!c->open) {
        c->open =
            strm_connect(&c->strm, c->loop, (const struct sockaddr *)&c->at,
                         UNACKED_MS + (int)(backlog_us / 1000), on_stream, c);
        c->strm.ev.first = c->open;
    }
    if (!c->open) {
        evl_arm(c->loop, &c->timer, now_us);
    }
    else if (c->strm.connecting) {
        evl_arm(c->loop, &c->timer,
                MIN(c->limit.end_us, now_us + backlog_us + CONNECT_US));
    }
    else {
        evl_arm(c->loop, &c->timer, c->limit.end_us);
        strm_write(&c->strm, request->str, request->len);
    }
}

void
kv_cancel(KvConn *c)
{
    if (c->done != NULL) {
        give_up_answer(c);
        c->done = NULL;
        evl_disarm(c->loop, &c->timer);
        kv_disconnect(c);
    }
}

bool
kv_unread(const KvConn *c)
{
    return c->done != NULL && c->open && strm_unread(&c->strm) > 0;
}

size_t
kv_received(const KvConn *c)
{
    return c->answer.body->len;
}

void
kv_limit_answer(KvConn *c, size_t bytes)
{
    c->bytes_max = bytes;
}
