/* callers - set of the connections of callers: listener, timeouts, planned
 * stop.  See caller.h. */
#include "caller_state.h"

#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_CHECK_US 500000 /* interval of the timeout check */
#define ACCEPTS_PER_EVENT 32
/* Connections beyond max_callers whose requests are refused, as a part of it.
 * Further ones wait in the kernel's queue. */
#define REFUSED_PART 16
#define ACCEPT_QUEUE_MAX 4096    /* the kernel keeps fewer waiting */
#define BODY_TIMEOUT_US 10000000 /* from the head to the end of the body */
/* Time for which a new connection may wait for its first request when idle
 * connections are closed.  The request is likely on its way. */
#define FIRST_REQUEST_US 250000
/* Time until the handshakes are complete that are under way when no further
 * ones may begin: the longest round trip.  Callers that connect meanwhile try
 * again after a second, so it is no longer than that. */
#define HANDSHAKE_US 120000

static const char *const end_names[CALLER_ENDS] = {"peer", "response",
                                                   "timeout", "idle", "abort"};

const char *
caller_end_name(CallerEnd end)
{
    return end_names[end];
}

int64_t
callers_ended(const CallerSet *s, CallerEnd end)
{
    return s->ended[end];
}

/* Connections that are open at most, with those whose requests are refused. */
static int
open_max(const CallerSet *s)
{
    return s->o.max_callers + MAX(s->o.max_callers / REFUSED_PART, 1);
}

bool
callers_over_limit(const CallerSet *s, const Caller *c)
{
    return c->over_limit && (int)s->open.length > s->o.max_callers;
}

static void
set_accepting(CallerSet *s, bool accepting)
{
    if (s->listening && s->accepting != accepting) {
        s->accepting = accepting;
        evl_mod(s->o.loop, &s->listener, accepting ? EPOLLIN : 0);
    }
}

void
callers_resume_accept(CallerSet *s)
{
    set_accepting(s, (int)s->open.length < open_max(s));
}

/* Accepts up to max waiting connections.  Returns true if none is left. */
static bool
accept_waiting(CallerSet *s, int max)
{
    for (int i = 0; i < max; i++) {
        if ((int)s->open.length >= open_max(s)) {
            set_accepting(s, false);
            return false;
        }
        int fd =
            accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED) {
                set_accepting(s, false);
            }
            return errno == EAGAIN;
        }
        Caller *c = g_new0(Caller, 1);
        c->set = s;
        c->over_limit = (int)s->open.length >= s->o.max_callers;
        c->link.data = c;
        c->since_us = evl_now(s->o.loop);
        h1_init(&c->req, true);
        g_queue_push_tail_link(&s->open, &c->link);
        strm_accept(&c->strm, s->o.loop, fd, caller_on_stream, c);
    }
    return false;
}

static void
on_accept(void *ctx, uint32_t events)
{
    (void)events;
    accept_waiting(ctx, ACCEPTS_PER_EVENT);
}

/* Restarts the timeout of a response that the caller is still receiving.
 * Returns true while there is one. */
static bool
check_delivery(Caller *c, int64_t now_us)
{
    size_t left = c->strm.out->len;

    if (c->phase >= PHASE_FINISHING) {
        left += strm_unacked(&c->strm);
    }
    if (left < c->undelivered) {
        c->since_us = now_us;
    }
    c->undelivered = left;
    return left > 0;
}

/* True when the timeout of the caller's current phase has passed.  A caller
 * that waits for its response has none. */
static bool
has_timed_out(Caller *c, int64_t now_us)
{
    RtLimits l = caller_limits(c);
    bool delivering = check_delivery(c, now_us);
    int64_t age = now_us - c->since_us;

    switch (c->phase) {
    case PHASE_RESPONDING:
        return false;
    case PHASE_FINISHING:
        return age > l.idle_us;
    case PHASE_LINGERING:
        return age > (delivering ? l.idle_us : LINGER_US);
    case PHASE_READING:
        break;
    }
    if (c->req.state == H1_BODY) {
        return age > BODY_TIMEOUT_US;
    }
    return age > (c->strm.in->len > 0 ? l.head_us : l.idle_us);
}

static bool
is_idle(const Caller *c)
{
    return c->phase == PHASE_READING && c->req.state == H1_HEAD &&
           c->strm.in->len == 0 && c->strm.out->len == 0;
}

/* Reads the input of an idle connection.  Returns true if it is still idle:
 * no request has arrived that was not read yet. */
static bool
stays_idle(Caller *c)
{
    if (!is_idle(c)) {
        return false;
    }
    strm_read_now(&c->strm);
    return !c->closed && is_idle(c);
}

/* Calls fn for each open connection.  A request that fn reads may close any of
 * them; their memory is kept until the end of the loop iteration. */
static void
for_each_open(CallerSet *s, void (*fn)(Caller *c, int64_t now_us))
{
    int64_t now_us = evl_now(s->o.loop);
    GPtrArray *all = g_ptr_array_sized_new(s->open.length);

    for (GList *l = s->open.head; l != NULL; l = l->next) {
        g_ptr_array_add(all, l->data);
    }
    for (guint i = 0; i < all->len; i++) {
        Caller *c = g_ptr_array_index(all, i);
        if (!c->closed) {
            fn(c, now_us);
        }
    }
    g_ptr_array_free(all, TRUE);
}

static void
check_timeout(Caller *c, int64_t now_us)
{
    if (!has_timed_out(c, now_us)) {
        return;
    }
    if (caller_partial(c) > 0) {
        Err e = {0};
        err_set(&e, ERR_TIMEOUT, "the request was not received in time");
        caller_reject(c, 408, &e);
    }
    else if (!is_idle(c)) {
        caller_close(c, c->phase == PHASE_LINGERING ? c->end
                                                    : CALLER_END_TIMEOUT);
    }
    else if (stays_idle(c)) {
        caller_linger(c, CALLER_END_TIMEOUT);
    }
}

static void
on_timeout_check(void *ctx, int64_t now_us)
{
    CallerSet *s = ctx;

    for_each_open(s, check_timeout);
    /* An accept may have failed for want of descriptors. */
    callers_resume_accept(s);
    evl_arm(s->o.loop, &s->timeout_check, now_us + TIMEOUT_CHECK_US);
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
    s->accepting = true;
    evl_add(o->loop, &s->listener, EPOLLIN);
    s->timeout_check = (EvlTimer){.fn = on_timeout_check, .ctx = s};
    evl_arm(o->loop, &s->timeout_check, evl_now(o->loop) + TIMEOUT_CHECK_US);
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
    evl_disarm(s->o.loop, &s->timeout_check);
    while (s->open.head != NULL) {
        caller_close(s->open.head->data, CALLER_END_ABORT);
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
callers_unsent(const CallerSet *s)
{
    int writing = 0;

    for (GList *l = s->open.head; l != NULL; l = l->next) {
        const Caller *c = l->data;
        bool unsent = c->phase != PHASE_RESPONDING && c->strm.out->len > 0;
        writing += unsent ? 1 : 0;
    }
    return s->busy + writing;
}

int
callers_busy(const CallerSet *s)
{
    int receiving = 0;

    for (GList *l = s->open.head; l != NULL; l = l->next) {
        const Caller *c = l->data;
        bool unacked =
            c->phase == PHASE_LINGERING && strm_unacked(&c->strm) > 0;
        receiving += unacked ? 1 : 0;
    }
    return callers_unsent(s) + receiving;
}

int
callers_partial(const CallerSet *s)
{
    int n = 0;

    for (GList *l = s->open.head; l != NULL; l = l->next) {
        n += caller_partial(l->data) > 0 ? 1 : 0;
    }
    return n;
}

void
callers_shutdown(CallerSet *s)
{
    s->shutting_down = true;
}

static void
close_idle(Caller *c, int64_t now_us)
{
    if (stays_idle(c) &&
        (c->requests > 0 || now_us - c->since_us > FIRST_REQUEST_US)) {
        caller_linger(c, CALLER_END_IDLE);
    }
}

void
callers_close_idle(CallerSet *s)
{
    int64_t now_us = evl_now(s->o.loop);

    for_each_open(s, close_idle);
    if (s->listening && s->listen_end_us == 0) {
        strm_listen_end(s->listener.fd);
        s->listen_end_us = now_us + HANDSHAKE_US;
    }
    if (s->listening && accept_waiting(s, ACCEPT_QUEUE_MAX) &&
        now_us >= s->listen_end_us) {
        stop_listening(s);
    }
    for_each_open(s, close_idle);
}

bool
callers_closed(const CallerSet *s)
{
    return !s->listening && s->open.length == 0;
}

static void
reject_partial(Caller *c, int64_t now_us)
{
    Err e = {0};
    (void)now_us;

    if (caller_partial(c) > 0) {
        err_set(&e, ERR_LIMIT, "the VM stops before the request is complete");
        caller_reject(c, 503, &e);
    }
}

void
callers_reject_partial(CallerSet *s)
{
    s->last_responses = true;
    stop_listening(s);
    for_each_open(s, reject_partial);
}
