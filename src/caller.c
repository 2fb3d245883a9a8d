/* caller - connection of a caller.  See caller.h. */
#include "caller_state.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define REJECTED_RETRY_US 500000 /* for requests over a limit of this VM */

static void
free_caller(gpointer p)
{
    h1_clear(&((Caller *)p)->req);
    g_free(p);
}

size_t
caller_partial(const Caller *c)
{
    return c->phase == PHASE_READING ? c->strm.in->len + c->req.head->len : 0;
}

RtLimits
caller_limits(const Caller *c)
{
    RtLimits l = c->set->o.limits;

    if (c->begun) {
        l.head_bytes = MAX(l.head_bytes, c->limits.head_bytes);
        l.body_bytes = MAX(l.body_bytes, c->limits.body_bytes);
        l.head_us = MAX(l.head_us, c->limits.head_us);
    }
    return l;
}

static void
report_loss(const Caller *c, CallerEnd end)
{
    static const char *const phases[] = {"reading", "responding", "finishing",
                                         "lingering"};
    const CallerSet *s = c->set;
    CallerLoss x = {
        .end = end,
        .phase = phases[c->phase],
        .requests = c->requests,
        .discarded = c->discarded,
        .input_age_us =
            c->input_us == 0 ? -1 : evl_now(s->o.loop) - c->input_us,
    };

    if (!c->strm.eof && end != CALLER_END_PEER) {
        x.unread = strm_unread(&c->strm);
        x.partial = caller_partial(c);
        x.unsent = c->strm.out->len;
        x.unacked = strm_unacked(&c->strm);
    }
    if (x.discarded + x.unread + x.partial + x.unsent + x.unacked > 0) {
        s->o.fns.lossy_end(s->o.ctx, &x);
    }
}

void
caller_close(Caller *c, CallerEnd end)
{
    CallerSet *s = c->set;

    if (c->closed) {
        return;
    }
    if (s->o.fns.lossy_end != NULL) {
        report_loss(c, end);
    }
    s->ended[end]++;
    if (c->strm.eof) {
        /* Input that was not read would make the kernel reset the connection
         * and discard what the caller has not received. */
        strm_discard_input(&c->strm);
    }
    c->closed = true;
    strm_close(&c->strm);
    g_queue_unlink(&s->open, &c->link);
    s->buffered -= c->buffered;
    if (c->phase == PHASE_RESPONDING) {
        s->busy--;
    }
    callers_resume_accept(s);
    evl_defer(s->o.loop, free_caller, c);
}

static void
notify_disconnected(Caller *c)
{
    void *user = c->user;

    c->user = NULL;
    if (user != NULL) {
        c->set->o.fns.disconnected(c->set->o.ctx, user,
                                   evl_now(c->set->o.loop));
    }
}

static void
on_disconnect(Caller *c)
{
    caller_close(c, CALLER_END_PEER);
    notify_disconnected(c);
}

/* Updates the total of buffered bytes.  Returns false when it exceeds
 * max_buffered_bytes: no request can be read then, and caller_read() rejects
 * it.
 */
static bool
update_buffered(Caller *c)
{
    CallerSet *s = c->set;
    size_t buffered =
        c->strm.in->len + c->strm.out->len + c->req.body->len + c->held;

    s->buffered += buffered - c->buffered;
    c->buffered = buffered;
    return s->buffered <= s->o.max_buffered_bytes;
}

bool
caller_has_left(const Caller *c)
{
    return c->closed || strm_peer_closed(&c->strm);
}

void
caller_set_user(Caller *c, void *user)
{
    c->user = user;
}

size_t
caller_backlog(const Caller *c)
{
    return c->closed ? 0 : c->strm.out->len;
}

void
caller_linger(Caller *c, CallerEnd end)
{
    int64_t now_us = evl_now(c->set->o.loop);

    c->idle_end = end != CALLER_END_RESPONSE && strm_unacked(&c->strm) == 0;
    if (c->strm.eof || (c->idle_end && (c->requests == 0 ||
                                        now_us - c->since_us > LINGER_US))) {
        caller_close(c, end);
        return;
    }
    c->phase = PHASE_LINGERING;
    c->end = end;
    c->since_us = now_us;
    strm_end_output(&c->strm);
    strm_pause(&c->strm, false);
}

static void
discard_input(Caller *c)
{
    c->discarded += c->strm.in->len;
    g_byte_array_set_size(c->strm.in, 0);
}

static void
finish(Caller *c)
{
    if (c->phase == PHASE_RESPONDING) {
        c->set->busy--;
    }
    c->phase = PHASE_FINISHING;
    discard_input(c);
    update_buffered(c);
    strm_pause(&c->strm, false);
    if (c->strm.out->len == 0) {
        caller_linger(c, CALLER_END_RESPONSE);
    }
}

static void
response_complete(Caller *c)
{
    c->user = NULL;
    c->held = 0;
    c->own_output = false;
    if (c->closed) {
        return;
    }
    c->since_us = evl_now(c->set->o.loop);
    /* The first check of the timeout counts as progress: it may follow a pause
     * of this process, in which nothing was written. */
    c->undelivered = c->strm.out->len > 0 ? SIZE_MAX : 0;
    h1_next(&c->req);
    if (c->closing) {
        finish(c);
        return;
    }
    if (c->phase == PHASE_RESPONDING) {
        c->set->busy--;
    }
    c->phase = PHASE_READING;
    c->begun = false;
    c->in_head = false;
    update_buffered(c);
    strm_pause(&c->strm, false);
    if (c->strm.in->len > 0) {
        caller_read(c);
    }
}

static bool
has_input_behind(const Caller *c)
{
    return c->strm.in->len > 0 || strm_unread(&c->strm) > 0;
}

/* True when the connection closes after the current response.  At a planned
 * stop, a request that was sent behind the current one is answered first. */
static bool
is_last_response(const Caller *c)
{
    const CallerSet *s = c->set;

    return !c->req.keep || s->last_responses ||
           (s->shutting_down && !has_input_behind(c));
}

/* Writes the response head, completed by the framing and connection headers,
 * and n bytes of the body. */
static void
write_head(Caller *c, Str head, const char *framing, const void *body,
           size_t n)
{
    GString *g = g_string_sized_new(head.n + n + 128);

    if (is_last_response(c)) {
        c->closing = true;
    }
    g_string_append_len(g, head.p, (gssize)head.n);
    g_string_append(g, framing);
    g_string_append(g, c->closing ? "Connection: close\r\n\r\n" : "\r\n");
    if (n > 0) {
        g_string_append_len(g, body, (gssize)n);
    }
    strm_write(&c->strm, g->str, g->len);
    g_string_free(g, TRUE);
}

void
caller_respond(Caller *c, Str head, const void *body, size_t n)
{
    char framing[64];

    if (c->closed) {
        return;
    }
    if (c->req.parser.method == HTTP_HEAD) {
        n = 0;
    }
    snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", n);
    write_head(c, head, framing, body, n);
    response_complete(c);
}

void
caller_begin(Caller *c, Str head, int64_t length)
{
    char framing[64] = "Transfer-Encoding: chunked\r\n";

    if (c->closed) {
        return;
    }
    c->chunked = length < 0;
    c->own_output = c->strm.out->len == 0;
    if (length >= 0) {
        snprintf(framing, sizeof(framing), "Content-Length: %" PRId64 "\r\n",
                 length);
    }
    write_head(c, head, framing, NULL, 0);
}

void
caller_write(Caller *c, const void *p, size_t n)
{
    char size[32];

    if (c->closed || n == 0) {
        return;
    }
    if (c->chunked) {
        int k = snprintf(size, sizeof(size), "%zx\r\n", n);
        strm_write(&c->strm, size, (size_t)k);
    }
    strm_write(&c->strm, p, n);
    if (c->chunked) {
        strm_write(&c->strm, "\r\n", 2);
    }
    update_buffered(c);
}

void
caller_end(Caller *c)
{
    if (c->closed) {
        return;
    }
    if (c->chunked) {
        strm_write(&c->strm, "0\r\n\r\n", 5);
    }
    c->chunked = false;
    response_complete(c);
}

void
caller_abort(Caller *c)
{
    c->user = NULL;
    c->held = 0;
    if (c->closed) {
        return;
    }
    if (c->own_output) {
        /* A caller that reads slowly or not at all would keep this memory
         * until the idle limit, and the response is useless to it. */
        strm_drop_output(&c->strm);
    }
    finish(c);
}

void
caller_hold(Caller *c, size_t n)
{
    if (!c->closed) {
        c->held = n;
        update_buffered(c);
    }
}

bool
caller_memory_is_short(const Caller *c)
{
    const CallerSet *s = c->set;

    return s->buffered > s->o.max_buffered_bytes / 2;
}

void
caller_respond_text(Caller *c, int status, const char *text, int64_t retry_us)
{
    char head[256];
    char retry[64] = "";

    if (retry_us > 0) {
        snprintf(retry, sizeof(retry), "Retry-After: %.3f\r\n",
                 (double)retry_us / 1e6);
    }
    snprintf(head, sizeof(head),
             "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\n%s", status,
             http_status_str((enum http_status)status), retry);
    caller_respond(c, str_of(head), text, strlen(text));
}

void
caller_reject(Caller *c, int status, const Err *e)
{
    c->set->o.fns.rejected(c->set->o.ctx, status, e);
    /* Requests that were sent behind one that was read completely are answered
     * as well. */
    if (status != 503 || c->req.state != H1_DONE || !has_input_behind(c)) {
        c->closing = true;
    }
    caller_respond_text(c, status, e->text,
                        status == 503 ? REJECTED_RETRY_US : 0);
}

/* Drops what arrives behind the last response. */
static void
on_late_input(Caller *c)
{
    discard_input(c);
    if (c->idle_end) {
        /* The request has crossed the close, whose packet may be lost, and
         * gets no response.  The reset tells the caller at once that it can
         * send the request again. */
        strm_reset_at_close(&c->strm);
        caller_close(c, c->end);
    }
}

void
caller_read(Caller *c)
{
    CallerSet *s = c->set;
    Err e = {0};

    if (c->phase >= PHASE_FINISHING) {
        on_late_input(c);
        return;
    }
    if (c->phase == PHASE_RESPONDING) {
        return;
    }
    if (!c->begun) {
        c->begun = true;
        c->limits = s->o.limits;
    }
    RtLimits limits = caller_limits(c);
    bool in_head = c->req.state == H1_HEAD && c->req.head->len == 0;
    H1State st = h1_feed(&c->req, c->strm.in, limits.head_bytes, &e);
    if (st == H1_ERROR) {
        caller_reject(c, 400, &e);
    }
    else if (st == H1_TOO_LARGE) {
        caller_reject(c, 431, &e);
    }
    else if (st != H1_HEAD && (c->req.body->len > limits.body_bytes ||
                               c->req.length > (int64_t)limits.body_bytes)) {
        err_set(&e, ERR_LIMIT,
                "the request body exceeds the limit of %zu bytes",
                limits.body_bytes);
        caller_reject(c, 413, &e);
    }
    else if (st != H1_HEAD && callers_over_limit(s, c)) {
        err_set(&e, ERR_LIMIT, "too many connections; retry later");
        caller_reject(c, 503, &e);
    }
    else if (!update_buffered(c)) {
        err_set(&e, ERR_LIMIT,
                "no buffer memory left for this request; retry later");
        caller_reject(c, 503, &e);
    }
    else if (st == H1_DONE) {
        c->phase = PHASE_RESPONDING;
        c->requests++;
        s->busy++;
        /* One request at a time.  Further input is buffered; beyond head_bytes
         * on_stream() suspends reads, so that it stays in the kernel. */
        s->o.fns.request(s->o.ctx, c, &c->req, evl_now(s->o.loop));
    }
    else {
        if (in_head && st == H1_BODY && h1_get(&c->req, "expect").n > 0) {
            strm_write(&c->strm, "HTTP/1.1 100 Continue\r\n\r\n", 25);
        }
        bool partial = c->strm.in->len + c->req.head->len > 0;
        if (in_head && partial && (!c->in_head || st == H1_BODY)) {
            c->since_us = evl_now(s->o.loop);
        }
        c->in_head = partial && st == H1_HEAD;
    }
}

/* The caller has closed its sending direction at least.  That cancels a
 * request that is being processed; responses that are complete here are still
 * delivered. */
static void
on_end_of_input(Caller *c)
{
    if (c->phase == PHASE_LINGERING) {
        caller_close(c, c->end);
        return;
    }
    bool written = c->strm.out->len == 0;
    if (c->phase != PHASE_FINISHING && !written) {
        finish(c);
    }
    else if (written) {
        caller_close(c, CALLER_END_PEER);
    }
    notify_disconnected(c);
}

void
caller_on_stream(void *ctx, StrmEvent ev)
{
    Caller *c = ctx;

    switch (ev) {
    case STRM_READABLE:
        c->input_us = evl_now(c->set->o.loop);
        if (c->phase == PHASE_RESPONDING &&
            c->strm.in->len > caller_limits(c).head_bytes) {
            strm_pause(&c->strm, true);
        }
        caller_read(c);
        break;
    case STRM_FLUSHED:
        update_buffered(c);
        if (c->phase == PHASE_FINISHING) {
            caller_linger(c, CALLER_END_RESPONSE);
        }
        else if (c->user != NULL && c->set->o.fns.flushed != NULL) {
            c->set->o.fns.flushed(c->set->o.ctx, c->user);
        }
        break;
    case STRM_EOF:
        on_end_of_input(c);
        break;
    case STRM_FAILED:
        on_disconnect(c);
        break;
    case STRM_CONNECTED:
        break;
    }
}
