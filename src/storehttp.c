/* storehttp - asynchronous calls to the store over HTTP.  See storehttp.h. */
#include "storehttp.h"

#include <libsoup/soup.h>

#include "limits.h"
#include "str.h"

#define CONNECTIONS_MAX 4
#define STATUS_FAILED_MIN 500 /* lowest status of a failed call */

struct StoreHttp {
    char address[ADDR_BYTES];
    SoupSession *session;
    StoreLimit *q;
    GRand *rnd;
    bool cut;    /* an injected fault is active */
    bool freed;  /* storehttp_free() was called; do not call callbacks */
    int n_calls; /* outstanding calls */
};

typedef struct Call {
    StoreHttp *s;
    SoupMessage *msg;
    GCancellable *cancel;
    GSource *timer;
    StoreDone done;
    void *ctx;
    int64_t asked_us;
} Call;

StoreHttp *
storehttp_new(const char *address, StoreLimit *q, GRand *rnd)
{
    StoreHttp *s = g_new0(StoreHttp, 1);

    g_strlcpy(s->address, address, sizeof(s->address));
    s->session = soup_session_new_with_options("max-conns", CONNECTIONS_MAX,
                                               "max-conns-per-host",
                                               CONNECTIONS_MAX, NULL);
    soup_session_remove_feature_by_type(s->session, SOUP_TYPE_CONTENT_DECODER);
    s->q = q;
    s->rnd = rnd;
    return s;
}

static void
free_when_idle(StoreHttp *s)
{
    if (s->freed && s->n_calls == 0) {
        g_object_unref(s->session);
        g_free(s);
    }
}

void
storehttp_free(StoreHttp *s)
{
    if (s != NULL) {
        s->freed = true;
        soup_session_abort(s->session);
        free_when_idle(s);
    }
}

void
storehttp_cut(StoreHttp *s, bool cut)
{
    if (cut && !s->cut) {
        soup_session_abort(s->session);
    }
    s->cut = cut;
}

static void
call_free(Call *c)
{
    g_source_destroy(c->timer);
    g_source_unref(c->timer);
    g_object_unref(c->msg);
    g_object_unref(c->cancel);
    c->s->n_calls--;
    free_when_idle(c->s);
    g_free(c);
}

/* Checks the answer's head and size.  Errors: ERR_PROTOCOL. */
static bool
read_answer(StoreAnswer *a, SoupMessage *msg, Err *e)
{
    SoupMessageHeaders *h = soup_message_get_response_headers(msg);
    const char *v = soup_message_headers_get_one(h, "Store-Version");

    a->status = (int)soup_message_get_status(msg);
    if (v != NULL && !str_u64(str_of(v), UINT64_MAX, &a->version)) {
        return err_set(
            e, ERR_PROTOCOL,
            "Store-Version \"%.40s\" of the store is no decimal number; "
            "check [store] address",
            v);
    }
    if (g_bytes_get_size(a->body) > STORE_VALUE_BYTES_MAX) {
        return err_set(e, ERR_PROTOCOL,
                       "answer of the store has %zu bytes; allowed are %d; "
                       "check [store] address",
                       g_bytes_get_size(a->body), STORE_VALUE_BYTES_MAX);
    }
    if (a->status >= STATUS_FAILED_MIN) {
        return err_set(e, ERR_UNAVAILABLE,
                       "the store answers with status %d; asked again later",
                       a->status);
    }
    return true;
}

static void
on_response(GObject *src, GAsyncResult *res, gpointer p)
{
    Call *c = p;
    StoreHttp *s = c->s;
    StoreAnswer a = {.sent_us = c->asked_us};
    GError *ge = NULL;
    Err e = {0};

    a.body = soup_session_send_and_read_finish(SOUP_SESSION(src), res, &ge);
    bool ok = a.body != NULL && !s->cut && read_answer(&a, c->msg, &e);
    if (ge != NULL) {
        err_set(&e, ERR_UNAVAILABLE, "store %s: %s; asked again later",
                s->address, ge->message);
        g_error_free(ge);
    }
    if (!ok) {
        a.status = 0;
    }
    if (!s->freed) {
        if (ok) {
            storelimit_ok(s->q);
        }
        else {
            storelimit_fail(s->q, s->rnd, g_get_monotonic_time());
        }
        c->done(c->ctx, &a, &e);
    }
    if (a.body != NULL) {
        g_bytes_unref(a.body);
    }
    call_free(c);
}

static gboolean
on_timeout(gpointer p)
{
    Call *c = p;

    g_cancellable_cancel(c->cancel);
    return G_SOURCE_REMOVE;
}

bool
storehttp_call(StoreHttp *s, const char *method, const char *path,
               GBytes *body, unsigned timeout_ms, StoreDone done, void *ctx)
{
    int64_t now = g_get_monotonic_time();

    if (!storelimit_take(s->q, now, NULL)) {
        return false;
    }
    if (s->cut) {
        storelimit_fail(s->q, s->rnd, now);
        return false;
    }
    char *uri = g_strdup_printf("http://%s%s", s->address, path);
    Call *c = g_new0(Call, 1);
    c->s = s;
    c->msg = soup_message_new(method, uri);
    g_free(uri);
    if (c->msg == NULL) {
        g_free(c);
        storelimit_fail(s->q, s->rnd, now);
        return false;
    }
    c->cancel = g_cancellable_new();
    c->timer = g_timeout_source_new(timeout_ms);
    c->done = done;
    c->ctx = ctx;
    c->asked_us = now;
    s->n_calls++;
    g_source_set_callback(c->timer, on_timeout, c, NULL);
    g_source_attach(c->timer, g_main_context_get_thread_default());
    if (body != NULL) {
        soup_message_set_request_body_from_bytes(
            c->msg, "application/octet-stream", body);
    }
    soup_session_send_and_read_async(s->session, c->msg, G_PRIORITY_DEFAULT,
                                     c->cancel, on_response, c);
    return true;
}
