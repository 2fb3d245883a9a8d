/* caller - server side of HTTP/1.1.  See caller.h. */
#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "strm.h"

#define SWEEP_US 500000 /* between looks for callers that are too slow */
#define ACCEPTS_PER_TURN 32
#define BODY_IDLE_US 10000000 /* without a byte of a request's body */
#define LINGER_US 1000000     /* after an answer to a request not read whole */

struct Caller {
    CallerSet *set;
    Strm strm;
    H1 req;
    void *user;
    int64_t since_us; /* of the phase: idle, head or body */
    size_t held;
    bool busy;      /* a whole request waits for its answer */
    bool chunked;   /* the answer under way is chunked */
    bool closing;   /* close when all is written */
    bool lingering; /* input is dropped until the caller closes */
    bool gone;
    GList link;
};

struct CallerSet {
    CallerOpts o;
    EvlFd listener;
    bool listening;
    EvlTimer sweep;
    GQueue open;
    int busy;
    size_t held;
    bool leaving;
};

static void read_more(Caller *c);

static void
release(gpointer p)
{
    h1_clear(&((Caller *)p)->req);
    g_free(p);
}

static void
hang_up(Caller *c)
{
    CallerSet *s = c->set;

    if (c->gone) {
        return;
    }
    c->gone = true;
    strm_close(&c->strm);
    g_queue_unlink(&s->open, &c->link);
    s->held -= c->held;
    if (c->busy) {
        s->busy--;
    }
    evl_defer(s->o.loop, release, c);
}

static void
caller_left(Caller *c)
{
    void *user = c->user;

    c->user = NULL;
    hang_up(c);
    if (user != NULL) {
        c->set->o.fns.disconnected(c->set->o.ctx, user,
                                   evl_now(c->set->o.loop));
    }
}

/* Keeps the sum of bytes held; a caller that takes it over the limit is
 * dropped, as nothing can be read for it. */
static bool
count_held(Caller *c)
{
    CallerSet *s = c->set;
    size_t held = c->strm.in->len + c->strm.out->len + c->req.body->len;

    s->held += held - c->held;
    c->held = held;
    return s->held <= s->o.max_buffered_bytes;
}

void
caller_set_user(Caller *c, void *user)
{
    c->user = user;
}

size_t
caller_backlog(const Caller *c)
{
    return c->gone ? 0 : c->strm.out->len;
}

static void
answer_complete(Caller *c)
{
    c->user = NULL;
    if (c->gone) {
        return;
    }
    if (c->busy) {
        c->busy = false;
        c->set->busy--;
    }
    c->since_us = evl_now(c->set->o.loop);
    if (c->closing) {
        if (c->strm.out->len == 0 && !c->lingering) {
            hang_up(c);
        }
        return;
    }
    h1_next(&c->req);
    strm_pause(&c->strm, false);
    if (c->strm.in->len > 0) {
        read_more(c);
    }
}

/* Writes the head with the headers of connection and framing. */
static void
write_head(Caller *c, Str head, const char *framing, const void *body,
           size_t n)
{
    GString *g = g_string_sized_new(head.n + n + 128);

    if (!c->req.keep || c->set->leaving) {
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

    if (c->gone) {
        return;
    }
    if (c->req.parser.method == HTTP_HEAD) {
        n = 0;
    }
    snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n", n);
    write_head(c, head, framing, body, n);
    answer_complete(c);
}

void
caller_begin(Caller *c, Str head, int64_t length)
{
    char framing[64] = "Transfer-Encoding: chunked\r\n";

    if (c->gone) {
        return;
    }
    c->chunked = length < 0;
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

    if (c->gone || n == 0) {
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
    count_held(c);
}

void
caller_end(Caller *c)
{
    if (c->gone) {
        return;
    }
    if (c->chunked) {
        strm_write(&c->strm, "0\r\n\r\n", 5);
    }
    c->chunked = false;
    answer_complete(c);
}

void
caller_abort(Caller *c)
{
    c->user = NULL;
    hang_up(c);
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

/* Answers a request that is not whole; the rest of it is dropped. */
static void
refuse(Caller *c, int status, const Err *e)
{
    c->set->o.fns.refused(c->set->o.ctx, status, e);
    c->closing = true;
    c->lingering = true;
    c->since_us = evl_now(c->set->o.loop);
    caller_respond_text(c, status, e->text, 0);
}

static void
read_more(Caller *c)
{
    CallerSet *s = c->set;
    Err e = {0};

    if (c->lingering) {
        g_byte_array_set_size(c->strm.in, 0);
        return;
    }
    if (c->busy) {
        return;
    }
    bool fresh = c->req.state == H1_HEAD && c->req.head->len == 0;
    H1State st = h1_feed(&c->req, c->strm.in, s->o.limits.head_bytes, &e);
    if (st == H1_ERROR) {
        refuse(c, 400, &e);
    }
    else if (st == H1_TOO_LARGE) {
        refuse(c, 431, &e);
    }
    else if (st != H1_HEAD &&
             (c->req.body->len > s->o.limits.body_bytes ||
              c->req.length > (int64_t)s->o.limits.body_bytes)) {
        err_set(&e, ERR_LIMIT, "the body has over %zu bytes",
                s->o.limits.body_bytes);
        refuse(c, 413, &e);
    }
    else if (!count_held(c)) {
        err_set(&e, ERR_LIMIT, "no memory for this request now");
        refuse(c, 503, &e);
    }
    else if (st == H1_DONE) {
        c->busy = true;
        s->busy++;
        /* One request at a time: what follows waits in the kernel. */
        s->o.fns.request(s->o.ctx, c, &c->req, evl_now(s->o.loop));
    }
    else {
        if (fresh && st == H1_BODY && h1_get(&c->req, "expect").n > 0) {
            strm_write(&c->strm, "HTTP/1.1 100 Continue\r\n\r\n", 25);
        }
        if (fresh && c->strm.in->len + c->req.head->len > 0) {
            c->since_us = evl_now(s->o.loop);
        }
    }
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    Caller *c = ctx;

    switch (ev) {
    case STRM_READABLE:
        if (c->busy && c->strm.in->len > c->set->o.limits.head_bytes) {
            strm_pause(&c->strm, true);
        }
        read_more(c);
        break;
    case STRM_FLUSHED:
        count_held(c);
        if (c->closing && !c->busy && !c->lingering) {
            hang_up(c);
        }
        else if (c->user != NULL && c->set->o.fns.flushed != NULL) {
            c->set->o.fns.flushed(c->set->o.ctx, c->user);
        }
        break;
    case STRM_EOF:
    case STRM_FAILED:
        caller_left(c);
        break;
    case STRM_CONNECTED:
        break;
    }
}

static void
on_accept(void *ctx, uint32_t events)
{
    CallerSet *s = ctx;
    (void)events;

    for (int i = 0; i < ACCEPTS_PER_TURN; i++) {
        int fd =
            accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if ((int)s->open.length >= s->o.max_callers) {
            close(fd);
            continue;
        }
        Caller *c = g_new0(Caller, 1);
        c->set = s;
        c->link.data = c;
        c->since_us = evl_now(s->o.loop);
        h1_init(&c->req, true);
        g_queue_push_tail_link(&s->open, &c->link);
        strm_accept(&c->strm, s->o.loop, fd, on_stream, c);
    }
}

/* Time that a caller without a whole request has left. */
static bool
is_overdue(const Caller *c, int64_t now_us)
{
    int64_t age = now_us - c->since_us;

    if (c->lingering) {
        return age > LINGER_US;
    }
    if (c->busy) {
        return false;
    }
    if (c->req.state == H1_BODY) {
        return age > BODY_IDLE_US;
    }
    return age > (c->strm.in->len > 0 ? c->set->o.limits.head_us
                                      : c->set->o.limits.idle_us);
}

static void
on_sweep(void *ctx, int64_t now_us)
{
    CallerSet *s = ctx;
    GList *next;

    for (GList *l = s->open.head; l != NULL; l = next) {
        Caller *c = l->data;
        next = l->next;
        if (!is_overdue(c, now_us)) {
            continue;
        }
        if (c->strm.in->len > 0 && !c->lingering && c->req.state == H1_HEAD) {
            Err e = {0};
            err_set(&e, ERR_TIMEOUT, "the head took too long");
            refuse(c, 408, &e);
        }
        else {
            hang_up(c);
        }
    }
    evl_arm(s->o.loop, &s->sweep, now_us + SWEEP_US);
}

CallerSet *
callers_new(const CallerOpts *o, Err *e)
{
    int fd = strm_listen(&o->listen_addr, e);

    if (fd < 0) {
        return NULL;
    }
    CallerSet *s = g_new0(CallerSet, 1);
    s->o = *o;
    g_queue_init(&s->open);
    s->listener = (EvlFd){.fd = fd, .fn = on_accept, .ctx = s};
    s->listening = true;
    evl_add(o->loop, &s->listener, EPOLLIN);
    s->sweep = (EvlTimer){.fn = on_sweep, .ctx = s};
    evl_arm(o->loop, &s->sweep, evl_now(o->loop) + SWEEP_US);
    return s;
}

static void
stop_listening(CallerSet *s)
{
    if (s->listening) {
        evl_del(s->o.loop, &s->listener);
        close(s->listener.fd);
        s->listening = false;
    }
}

void
callers_free(CallerSet *s)
{
    if (s == NULL) {
        return;
    }
    stop_listening(s);
    evl_disarm(s->o.loop, &s->sweep);
    while (s->open.head != NULL) {
        caller_abort(s->open.head->data);
    }
    g_free(s);
}

void
callers_set_limits(CallerSet *s, const RtLimits *l)
{
    s->o.limits = *l;
}

int
callers_open(const CallerSet *s)
{
    return (int)s->open.length;
}

int
callers_busy(const CallerSet *s)
{
    return s->busy;
}

void
callers_shutdown(CallerSet *s)
{
    s->leaving = true;
}

void
callers_close_idle(CallerSet *s)
{
    GList *next;

    stop_listening(s);
    for (GList *l = s->open.head; l != NULL; l = next) {
        Caller *c = l->data;
        next = l->next;
        if (!c->busy && c->strm.in->len == 0 && c->strm.out->len == 0 &&
            c->req.state == H1_HEAD) {
            hang_up(c);
        }
    }
}
