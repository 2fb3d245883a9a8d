/* load_req - one request of the load generator: look-up, attempts, and the
 * check of the response.  See load.h. */
#include <stdio.h>
#include <string.h>

#include "jsontext.h"
#include "load.h"
#include "str.h"

#define GRACE_MS 2000 /* wait for a response after the deadline */
#define DEADLINE_MS_DEFAULT 30000
#define RESEND_MS 200       /* back-off per attempt so far */
#define LOOKUP_RETRY_MS 100 /* delay before a look-up is retried */
#define LOOKUP_TRIES 10

typedef struct Req {
    Load *l;
    const LoadFlow *f;
    char rid[40];
    int attempt;  /* from 1 */
    int entry;    /* index into LoadCache.entries */
    int rounds;   /* look-up answers whose entries all failed */
    bool sent;    /* this attempt has written to the connection */
    bool timeout; /* this attempt has timed out */
    int64_t issued_wall_ms;
    int64_t start_us;
    char home[NAME_BYTES];
    SoupMessage *msg;
    GCancellable *cancel;
    guint timer; /* of the time-out or of the resend */
} Req;

static void send_or_query(Req *r);

static LoadStat *
stat_of(const Req *r)
{
    return &r->l->stats[r->f->stat];
}

static LoadCache *
cache_of(const Req *r)
{
    return &r->l->caches[r->f->cache];
}

static void
count_reason(GHashTable *reasons, const char *reason)
{
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(reasons, reason));

    g_hash_table_insert(reasons, g_strdup(reason), GUINT_TO_POINTER(n + 1));
}

/* Ends a request and frees it.  For class once, records whether it was
 * reported as not run. */
static void
end_request(Req *r, bool not_run)
{
    if (r->f->class == MF_ONCE) {
        LoadKey *k = g_new0(LoadKey, 1);
        k->stat = r->f->stat;
        k->not_run = not_run;
        g_hash_table_insert(r->l->keys, g_strdup(r->rid), k);
    }
    r->l->inflight--;
    g_free(r);
}

static void
end_answered(Req *r, guint status)
{
    LoadStat *s = stat_of(r);
    int64_t us = g_get_monotonic_time() - r->start_us;

    s->answered++;
    s->failed += status >= 400;
    g_array_append_val(s->latency_us, us);
    end_request(r, false);
}

static void
end_not_run(Req *r, const char *reason)
{
    stat_of(r)->not_run++;
    count_reason(stat_of(r)->not_run_reasons, reason);
    end_request(r, true);
}

static void
end_unknown(Req *r, const char *reason)
{
    stat_of(r)->unknown++;
    count_reason(stat_of(r)->unknown_reasons, reason);
    end_request(r, false);
}

/* Ends a request that could not be sent.  If there was an earlier attempt, it
 * may have run, so the outcome is unknown. */
static void
end_unreachable(Req *r, const char *reason)
{
    if (r->attempt > 1) {
        end_unknown(r, reason);
    }
    else {
        end_not_run(r, reason);
    }
}

static void
end_invalid(Req *r, const char *what, const char *found)
{
    stat_of(r)->wrong++;
    fprintf(stderr, "mimosa-load: wrong answer to %s: %s: \"%.80s\"\n", r->rid,
            what, found);
    end_request(r, false);
}

/* Whether a body is the complete response of standin-upstream to this
 * request. */
static bool
is_expected_body(const Req *r, GBytes *body)
{
    gsize n = 0;
    const char *p = g_bytes_get_data(body, &n);
    char head[128];
    size_t in = (size_t)r->f->body_bytes;
    size_t out = (size_t)r->f->answer_bytes;

    snprintf(head, sizeof(head), "id=%s in=%zu out=%zu\n", r->rid, in, out);
    size_t h = strlen(head);
    if (n != h + in + out || memcmp(p, head, h) != 0) {
        return false;
    }
    for (size_t i = 0; i < in; i++) {
        if (p[h + i] != (char)('A' + (i + r->rid[strlen(r->rid) - 1]) % 26)) {
            return false;
        }
    }
    for (size_t i = 0; i < out; i++) {
        if (p[h + in + i] != (char)('a' + i % 26)) {
            return false;
        }
    }
    return true;
}

static gboolean
on_resend(gpointer ctx)
{
    Req *r = ctx;

    r->timer = 0;
    send_or_query(r);
    return G_SOURCE_REMOVE;
}

/* Schedules the next attempt, or ends the request as unknown. */
static void
resend(Req *r, const char *reason)
{
    if (r->attempt >= r->l->o.attempts) {
        end_unknown(r, reason);
        return;
    }
    r->attempt++;
    r->entry++;
    stat_of(r)->resent++;
    r->timer =
        g_timeout_add(RESEND_MS * (guint)(r->attempt - 1), on_resend, r);
}

/* Copies the reason from the JSON body of a not-run or unknown response. */
static void
read_reason(GBytes *body, char *out, size_t cap)
{
    gsize n = 0;
    const char *p = g_bytes_get_data(body, &n);
    JsonParser *parser = json_parser_new();

    g_strlcpy(out, "no reason given", cap);
    JsonObject *o = jsontext_object(parser, (Str){p, n}, NULL);
    if (o != NULL) {
        g_strlcpy(out,
                  json_object_get_string_member_with_default(
                      o, "reason", "no reason given"),
                  cap);
    }
    g_object_unref(parser);
}

static void
handle_response(Req *r, SoupMessage *msg, GBytes *body)
{
    const char *outcome = soup_message_headers_get_one(
        soup_message_get_response_headers(msg), "Mimosa-Outcome");
    guint status = soup_message_get_status(msg);
    char reason[NAME_BYTES];

    read_reason(body, reason, sizeof(reason));
    if (g_strcmp0(outcome, "not-run") == 0) {
        end_not_run(r, reason);
    }
    else if (g_strcmp0(outcome, "unknown") == 0) {
        resend(r, reason);
    }
    else if (g_strcmp0(outcome, "answered") != 0) {
        end_invalid(r, "no outcome", outcome != NULL ? outcome : "");
    }
    else if (status == 200 && !is_expected_body(r, body)) {
        gsize n = 0;
        const char *p = g_bytes_get_data(body, &n);
        char *text = g_strndup(p != NULL ? p : "", MIN(n, 60));
        end_invalid(r, "not whole or not its own", text);
        g_free(text);
    }
    else {
        end_answered(r, status);
    }
}

/* Counts an attempt whose connection was closed before a complete response.
 * Prints its id, so that it can be found in the log of the entry VM. */
static void
count_cut(Req *r)
{
    const LoadCache *c = cache_of(r);

    stat_of(r)->cut++;
    fprintf(stderr,
            "mimosa-load: %s: connection to %s closed before a whole answer, "
            "%" G_GINT64_FORMAT " ms after the first send\n",
            r->rid, c->entries[r->entry],
            (g_get_monotonic_time() - r->start_us) / 1000);
}

/* Handles an attempt without a complete response. */
static void
handle_failure(Req *r)
{
    if (r->timeout) {
        resend(r, "no answer in time");
    }
    else if (r->sent) {
        count_cut(r);
        resend(r, "connection closed");
    }
    else {
        /* Nothing was sent, so this does not count as an attempt. */
        stat_of(r)->refused++;
        r->entry++;
        send_or_query(r);
    }
}

static void
on_response(GObject *src, GAsyncResult *res, gpointer ctx)
{
    Req *r = ctx;
    SoupMessage *msg = r->msg;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(src), res, NULL);

    g_source_remove(r->timer);
    r->timer = 0;
    g_object_unref(r->cancel);
    r->cancel = NULL;
    r->msg = NULL;
    if (body != NULL) {
        handle_response(r, msg, body);
        g_bytes_unref(body);
    }
    else {
        handle_failure(r);
    }
    g_object_unref(msg);
}

static void
on_starting(SoupMessage *msg, gpointer ctx)
{
    (void)msg;
    ((Req *)ctx)->sent = true;
}

/* libsoup itself resends an idempotent request if the peer has closed the
 * persistent connection. */
static void
on_restarted(SoupMessage *msg, gpointer ctx)
{
    (void)msg;
    count_cut(ctx);
}

static gboolean
on_timeout(gpointer ctx)
{
    Req *r = ctx;

    r->timeout = true;
    g_cancellable_cancel(r->cancel);
    return G_SOURCE_CONTINUE;
}

static void
set_headers(const Req *r, SoupMessageHeaders *h)
{
    char n[24];

    soup_message_headers_replace(h, "Mimosa-Rank", r->f->rank);
    if (r->f->deadline_ms > 0) {
        snprintf(n, sizeof(n), "%" G_GINT64_FORMAT, r->f->deadline_ms);
        soup_message_headers_replace(h, "Mimosa-Deadline-Ms", n);
    }
    soup_message_headers_replace(
        h, "Mimosa-Class", r->f->class == MF_ONCE ? "once" : "idempotent");
    if (r->f->class != MF_ONCE) {
        return;
    }
    soup_message_headers_replace(h, "Idempotency-Key", r->rid);
    soup_message_headers_replace(h, "Mimosa-Home", r->home);
    snprintf(n, sizeof(n), "%d", r->attempt);
    soup_message_headers_replace(h, "Mimosa-Attempt", n);
    snprintf(n, sizeof(n), "%" G_GINT64_FORMAT, r->issued_wall_ms);
    soup_message_headers_replace(h, "Mimosa-Issued", n);
}

static void
set_body(const Req *r, SoupMessage *msg)
{
    size_t n = (size_t)r->f->body_bytes;
    char *b = g_malloc(n + 1);

    for (size_t i = 0; i < n; i++) {
        b[i] = (char)('A' + (i + r->rid[strlen(r->rid) - 1]) % 26);
    }
    GBytes *bytes = g_bytes_new_take(b, n);
    soup_message_set_request_body_from_bytes(msg, "application/octet-stream",
                                             bytes);
    g_bytes_unref(bytes);
}

static void
send(Req *r)
{
    const LoadCache *c = cache_of(r);
    char url[512];
    bool post = r->f->class == MF_ONCE || r->f->body_bytes > 0;

    snprintf(url, sizeof(url),
             "http://%s/v1/run/%s%s?rid=%s&bytes=%" G_GINT64_FORMAT,
             c->entries[r->entry], r->f->service, r->f->path, r->rid,
             r->f->answer_bytes);
    r->msg = soup_message_new(post ? "POST" : "GET", url);
    r->cancel = g_cancellable_new();
    r->sent = false;
    r->timeout = false;
    set_headers(r, soup_message_get_request_headers(r->msg));
    if (post) {
        /* libsoup opens a new connection for each POST, so persistent ones
         * would accumulate unused. */
        soup_message_headers_replace(soup_message_get_request_headers(r->msg),
                                     "Connection", "close");
        set_body(r, r->msg);
    }
    g_signal_connect(r->msg, "starting", G_CALLBACK(on_starting), r);
    g_signal_connect(r->msg, "restarted", G_CALLBACK(on_restarted), r);
    int64_t ms =
        r->f->deadline_ms > 0 ? r->f->deadline_ms : DEADLINE_MS_DEFAULT;
    r->timer = g_timeout_add((guint)(ms + GRACE_MS), on_timeout, r);
    soup_session_send_and_read_async(c->session, r->msg, G_PRIORITY_DEFAULT,
                                     r->cancel, on_response, r);
}

/* Look-up query in flight. */
typedef struct LookupQuery {
    Load *l;
    LoadCache *c;
    SoupMessage *msg;
} LookupQuery;

static void query_lookup(Load *l, LoadCache *c);

/* Parses a look-up answer into the cache; false if it has no valid entry. */
static bool
parse_lookup(LoadCache *c, GBytes *body)
{
    gsize n = 0;
    const char *p = g_bytes_get_data(body, &n);
    JsonParser *parser = json_parser_new();
    JsonObject *o = jsontext_object(parser, (Str){p, n}, NULL);
    JsonArray *entries = NULL;

    c->n = 0;
    if (o != NULL && json_object_has_member(o, "entries")) {
        entries = json_object_get_array_member(o, "entries");
    }
    guint len = entries != NULL ? json_array_get_length(entries) : 0;
    for (guint i = 0; i < MIN(len, LOOKUP_ENTRIES); i++) {
        const char *a = json_array_get_string_element(entries, i);
        c->n += a != NULL && str_copy(c->entries[c->n], ADDR_BYTES, str_of(a));
    }
    if (c->n > 0) {
        int64_t ms =
            json_object_get_int_member_with_default(o, "lifetime_ms", 0);
        g_strlcpy(c->home,
                  json_object_get_string_member_with_default(o, "home", ""),
                  sizeof(c->home));
        c->expires_us = g_get_monotonic_time() + ms * 1000;
        c->lookups++;
    }
    g_object_unref(parser);
    return c->n > 0;
}

static gboolean
on_query_retry(gpointer ctx)
{
    LookupQuery *a = ctx;

    query_lookup(a->l, a->c);
    g_free(a);
    return G_SOURCE_REMOVE;
}

static void
on_lookup(GObject *src, GAsyncResult *res, gpointer ctx)
{
    LookupQuery *a = ctx;
    LoadCache *c = a->c;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(src), res, NULL);
    bool ok = body != NULL && soup_message_get_status(a->msg) == 200 &&
              parse_lookup(c, body);

    g_object_unref(a->msg);
    if (body != NULL) {
        g_bytes_unref(body);
    }
    if (!ok && ++c->failed_lookups < LOOKUP_TRIES) {
        c->next_lookup = (c->next_lookup + 1) % a->l->o.n_lookups;
        g_timeout_add(LOOKUP_RETRY_MS, on_query_retry, a);
        return;
    }
    g_free(a);
    c->lookup_pending = false;
    c->failed_lookups = 0;
    for (guint n = c->queued_requests.length; n > 0; n--) {
        Req *r = g_queue_pop_head(&c->queued_requests);
        if (ok) {
            r->entry = 0;
            send_or_query(r);
        }
        else {
            end_unreachable(r, "no look-up answer");
        }
    }
}

static void
query_lookup(Load *l, LoadCache *c)
{
    LookupQuery *a = g_new0(LookupQuery, 1);
    char url[256];

    snprintf(url, sizeof(url), "http://%s/v1/lookup?service=%s&client=%s",
             l->o.lookups[c->next_lookup], c->service, c->client);
    *a = (LookupQuery){l, c, soup_message_new("GET", url)};
    c->lookup_pending = true;
    soup_session_send_and_read_async(c->session, a->msg, G_PRIORITY_DEFAULT,
                                     NULL, on_lookup, a);
}

/* Sends to the current entry.  If no entry is left or the answer has expired,
 * queues the request and queries look-up. */
static void
send_or_query(Req *r)
{
    LoadCache *c = cache_of(r);

    if (c->n > 0 && r->entry >= c->n) {
        r->rounds++;
        r->entry = 0;
        c->expires_us = 0;
    }
    if (r->rounds >= LOOKUP_TRIES) {
        end_unreachable(r, "no entry reachable");
        return;
    }
    if (c->n > 0 && c->expires_us > g_get_monotonic_time()) {
        if (r->home[0] == '\0') {
            /* All attempts must carry the same home zone, even if a later
             * look-up answer names another one. */
            g_strlcpy(r->home, c->home, sizeof(r->home));
        }
        send(r);
        return;
    }
    g_queue_push_tail(&c->queued_requests, r);
    if (!c->lookup_pending) {
        query_lookup(r->l, c);
    }
}

void
load_request(Load *l, const LoadFlow *f)
{
    Req *r = g_new0(Req, 1);

    r->l = l;
    r->f = f;
    r->attempt = 1;
    r->issued_wall_ms = g_get_real_time() / 1000;
    r->start_us = g_get_monotonic_time();
    snprintf(r->rid, sizeof(r->rid),
             "%" G_GINT64_MODIFIER "x-%u-%" G_GUINT64_FORMAT, l->run_id,
             l->o.seed, ++l->next_id);
    stat_of(r)->sent++;
    l->inflight++;
    send_or_query(r);
}
