/* storehttp - asynchronous calls to the store over HTTP.  See storehttp.h. */
#include "storehttp.h"

#include "entry_up.h"
#include "limits.h"
#include "loopsrc.h"
#include "str.h"
#include "xferlimit.h"

#define CONNECTIONS_MAX 4
#define STATUS_FAILED_MIN 500 /* lowest status of a failed call */

struct StoreHttp {
    char address[ADDR_BYTES];
    UpPool *pool;
    StoreLimit *q;
    GRand *rnd;
    bool cut;     /* an injected fault is active */
    GQueue calls; /* StoreCall, outstanding */
};

typedef struct StoreCall {
    StoreHttp *s;
    Call *call;
    GSource *timer;
    XferLimit limit;
    GByteArray *body;
    StoreAnswer answer;
    Err error; /* found in the head of the answer */
    StoreDone done;
    void *ctx;
    GList link; /* in StoreHttp.calls */
} StoreCall;

StoreHttp *
storehttp_new(const char *address, StoreLimit *q, GRand *rnd)
{
    StoreHttp *s = g_new0(StoreHttp, 1);

    g_strlcpy(s->address, address, sizeof(s->address));
    s->pool = up_pool_new();
    s->q = q;
    s->rnd = rnd;
    g_queue_init(&s->calls);
    return s;
}

static void
store_call_free(StoreCall *c)
{
    src_end(&c->timer);
    g_byte_array_unref(c->body);
    g_free(c);
}

void
storehttp_free(StoreHttp *s)
{
    if (s == NULL) {
        return;
    }
    for (GList *l; (l = g_queue_pop_head_link(&s->calls)) != NULL;) {
        StoreCall *c = l->data;
        call_cancel(c->call);
        store_call_free(c);
    }
    up_pool_free(s->pool);
    g_free(s);
}

void
storehttp_cut(StoreHttp *s, bool cut)
{
    /* The calls end as if their time was over, outside of this function. */
    for (GList *l = s->calls.head; cut && !s->cut && l != NULL; l = l->next) {
        g_source_set_ready_time(((StoreCall *)l->data)->timer, 0);
    }
    s->cut = cut;
}

/* Ends a call.  ok: a usable answer was read. */
static void
finish(StoreCall *c, bool ok)
{
    StoreHttp *s = c->s;
    StoreAnswer a = c->answer;
    Err e = c->error;
    StoreDone done = c->done;
    void *ctx = c->ctx;

    a.body = g_bytes_new(c->body->data, c->body->len);
    g_queue_unlink(&s->calls, &c->link);
    store_call_free(c);
    if (ok) {
        storelimit_ok(s->q);
    }
    else {
        a.status = 0;
        storelimit_fail(s->q, s->rnd, g_get_monotonic_time());
    }
    done(ctx, &a, &e);
    g_bytes_unref(a.body);
}

static void
fill(void *ctx, SoupMessageHeaders *h)
{
    (void)ctx;
    (void)h;
}

static bool
may_send(void *ctx)
{
    (void)ctx;
    return true;
}

/* Extends the time limit, unless storehttp_cut() has ended it. */
static void
extend_limit(StoreCall *c, size_t bytes)
{
    xferlimit_received(&c->limit, bytes, g_get_monotonic_time());
    if (g_source_get_ready_time(c->timer) != 0) {
        g_source_set_ready_time(c->timer, c->limit.end_us);
    }
}

static void
on_head(void *ctx, int status, SoupMessageHeaders *h)
{
    StoreCall *c = ctx;
    const char *v = soup_message_headers_get_one(h, "Store-Version");

    extend_limit(c, 1);
    c->answer.status = status;
    if (v != NULL && !str_u64(str_of(v), UINT64_MAX, &c->answer.version)) {
        err_set(&c->error, ERR_PROTOCOL,
                "Store-Version \"%.40s\" of the store is no decimal number; "
                "check [store] address",
                v);
    }
    else if (status >= STATUS_FAILED_MIN) {
        err_set(&c->error, ERR_UNAVAILABLE,
                "the store answers with status %d; asked again later", status);
    }
}

static void
on_data(void *ctx, GBytes *data)
{
    StoreCall *c = ctx;
    gsize n;
    const guint8 *p = g_bytes_get_data(data, &n);

    extend_limit(c, n);
    g_byte_array_append(c->body, p, (guint)n);
    g_bytes_unref(data);
    if (c->body->len <= STORE_VALUE_BYTES_MAX) {
        call_more(c->call);
        return;
    }
    err_set(&c->error, ERR_PROTOCOL,
            "answer of the store has over %d bytes, which are allowed; "
            "check [store] address",
            STORE_VALUE_BYTES_MAX);
    call_cancel(c->call);
    finish(c, false);
}

static void
on_end(void *ctx, CallEnd how, const char *why)
{
    StoreCall *c = ctx;

    if (how != CALL_DONE) {
        err_set(&c->error, ERR_UNAVAILABLE, "store %s: %s; asked again later",
                c->s->address, why);
    }
    finish(c, c->error.kind == ERR_NONE && !c->s->cut);
}

static gboolean
on_timeout(gpointer p)
{
    StoreCall *c = p;

    err_set(&c->error, ERR_UNAVAILABLE,
            "store %s: no answer in time; asked again later", c->s->address);
    call_cancel(c->call);
    finish(c, false);
    return G_SOURCE_REMOVE;
}

bool
storehttp_call(StoreHttp *s, const char *method, const char *path,
               GBytes *body, unsigned timeout_ms, StoreDone done, void *ctx)
{
    int64_t now = g_get_monotonic_time();
    CallOpts o = {.address = s->address,
                  .connections = CONNECTIONS_MAX,
                  .method = method,
                  .path = path,
                  .content_type = "application/octet-stream",
                  .body = body,
                  .body_fd = -1,
                  .fill = fill,
                  .may_send = may_send,
                  .on_head = on_head,
                  .on_data = on_data,
                  .on_end = on_end};

    if (!storelimit_take(s->q, now, NULL)) {
        return false;
    }
    if (s->cut) {
        storelimit_fail(s->q, s->rnd, now);
        return false;
    }
    StoreCall *c = g_new0(StoreCall, 1);
    c->s = s;
    c->body = g_byte_array_new();
    c->answer.sent_us = now;
    c->done = done;
    c->ctx = ctx;
    c->link.data = c;
    g_queue_push_tail_link(&s->calls, &c->link);
    xferlimit_start(&c->limit, (int64_t)timeout_ms * 1000, now);
    c->timer = src_timeout(timeout_ms, on_timeout, c);
    o.ctx = c;
    c->call = call_start(s->pool, &o);
    return true;
}
