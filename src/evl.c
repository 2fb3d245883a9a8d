/* evl - event loop for programs with many sockets.  See evl.h. */
#include "evl.h"

#include <errno.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "inv.h"

/* Events are ordered within one wait, so that it should return all that are
 * pending after a delay. */
#define EVENTS_PER_WAIT 1024
/* A timer that expired this long ago shows that the process got no processor
 * time.  Input that arrived meanwhile is then delivered before timers, for at
 * most CATCH_UP_US, so that a peer that was in time does not count as late. */
#define LATE_US 50000
#define CATCH_UP_US 100000
/* A wait that is shorter found events that were pending before. */
#define WAITED_US 1000

typedef struct Deferred {
    GDestroyNotify fn;
    void *p;
} Deferred;

struct Evl {
    EvlStallFn stall_fn;
    void *stall_ctx;
    int64_t last_wait_us; /* evl_boottime() after the last wait */
    int epoll_fd;
    bool stopped;
    int64_t now_us;
    int64_t since_us;     /* value of evl_since() */
    int64_t delivered_us; /* by then the last wait that returned all pending
                             events had not ended */
    Hist event_delays;
    Hist timer_delays;
    uint32_t generation;
    GPtrArray *fds;    /* EvlFd by descriptor */
    GPtrArray *timers; /* binary heap by at_us; entry 0 is unused */
    GArray *deferred;
};

static int64_t
clock_us(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
evl_boottime(void)
{
    return clock_us(CLOCK_BOOTTIME);
}

int64_t
evl_now(const Evl *l)
{
    return l->now_us;
}

int64_t
evl_since(const Evl *l)
{
    return l->since_us;
}

const Hist *
evl_event_delays(const Evl *l)
{
    return &l->event_delays;
}

const Hist *
evl_timer_delays(const Evl *l)
{
    return &l->timer_delays;
}

int64_t
evl_elapsed(const Evl *l)
{
    return evl_boottime() - l->now_us;
}

static EvlTimer *
timer_at(const Evl *l, guint i)
{
    return g_ptr_array_index(l->timers, i);
}

static void
timer_put(Evl *l, guint i, EvlTimer *t)
{
    g_ptr_array_index(l->timers, i) = t;
    t->heap_index = i;
}

static void
timer_up(Evl *l, guint i)
{
    EvlTimer *t = timer_at(l, i);

    while (i > 1 && timer_at(l, i / 2)->at_us > t->at_us) {
        timer_put(l, i, timer_at(l, i / 2));
        i /= 2;
    }
    timer_put(l, i, t);
}

static void
timer_down(Evl *l, guint i)
{
    EvlTimer *t = timer_at(l, i);
    guint n = l->timers->len;

    while (2 * i < n) {
        guint c = 2 * i;
        if (c + 1 < n && timer_at(l, c + 1)->at_us < timer_at(l, c)->at_us) {
            c++;
        }
        if (timer_at(l, c)->at_us >= t->at_us) {
            break;
        }
        timer_put(l, i, timer_at(l, c));
        i = c;
    }
    timer_put(l, i, t);
}

void
evl_disarm(Evl *l, EvlTimer *t)
{
    guint i = t->heap_index;

    if (i == 0) {
        return;
    }
    EvlTimer *last = timer_at(l, l->timers->len - 1);
    g_ptr_array_set_size(l->timers, (gint)l->timers->len - 1);
    t->heap_index = 0;
    if (last != t) {
        timer_put(l, i, last);
        timer_up(l, i);
        timer_down(l, last->heap_index);
    }
}

void
evl_arm(Evl *l, EvlTimer *t, int64_t at_us)
{
    evl_disarm(l, t);
    t->at_us = at_us;
    g_ptr_array_add(l->timers, t);
    t->heap_index = l->timers->len - 1;
    timer_up(l, t->heap_index);
}

int
evl_wait_ms(const Evl *l)
{
    if (l->timers->len <= 1) {
        return -1;
    }
    int64_t us = timer_at(l, 1)->at_us - evl_boottime();
    return us <= 0 ? 0 : (int)MIN((us + 999) / 1000, G_MAXINT);
}

/* Returns the descriptor of an event, or NULL if it was removed since. */
static EvlFd *
find_fd(const Evl *l, const struct epoll_event *ev)
{
    guint fd = (guint)(ev->data.u64 & 0xffffffffU);
    EvlFd *f = fd < l->fds->len ? g_ptr_array_index(l->fds, fd) : NULL;

    return f != NULL && f->generation == (uint32_t)(ev->data.u64 >> 32) ? f
                                                                        : NULL;
}

static bool
is_first(const EvlFd *f, uint32_t events)
{
    return f->first || (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
}

static void
run_deferred(Evl *l)
{
    for (guint i = 0; i < l->deferred->len; i++) {
        Deferred x = g_array_index(l->deferred, Deferred, i);
        x.fn(x.p);
    }
    g_array_set_size(l->deferred, 0);
}

int
evl_fd(const Evl *l)
{
    return l->epoll_fd;
}

void
evl_update_now(Evl *l)
{
    l->now_us = evl_boottime();
}

/* CLOCK_BOOTTIME advances both while the machine is suspended and while the
 * process is stopped.  The gap includes the time that the callbacks of one
 * iteration take, which is far below EVL_STALL_US. */
static void
detect_stall(Evl *l, int wait_ms)
{
    int64_t at_us = evl_boottime();
    int64_t gap_us = at_us - l->last_wait_us - (int64_t)MAX(wait_ms, 0) * 1000;
    bool first = l->last_wait_us == 0;

    l->last_wait_us = at_us;
    if (!first && wait_ms >= 0 && gap_us > EVL_STALL_US &&
        l->stall_fn != NULL) {
        l->stall_fn(l->stall_ctx, gap_us, l->now_us);
    }
}

void
evl_on_stall(Evl *l, EvlStallFn fn, void *ctx)
{
    l->stall_fn = fn;
    l->stall_ctx = ctx;
}

static void
deliver_all(Evl *l, const struct epoll_event *evs, int n)
{
    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < n; i++) {
            EvlFd *f = find_fd(l, &evs[i]);
            if (f != NULL && is_first(f, evs[i].events) == (pass == 0)) {
                f->fn(f->ctx, evs[i].events);
            }
        }
    }
}

/* Delivers events until none is pending. */
static void
catch_up(Evl *l)
{
    struct epoll_event evs[EVENTS_PER_WAIT];
    int64_t end_us = l->now_us + CATCH_UP_US;
    int n;

    while (l->now_us < end_us &&
           (n = epoll_wait(l->epoll_fd, evs, EVENTS_PER_WAIT, 0)) > 0) {
        evl_update_now(l);
        deliver_all(l, evs, n);
    }
}

void
evl_run_once(Evl *l, int wait_ms)
{
    struct epoll_event evs[EVENTS_PER_WAIT];
    int64_t start_us = evl_boottime();
    int n = epoll_wait(l->epoll_fd, evs, EVENTS_PER_WAIT, wait_ms);

    evl_update_now(l);
    l->since_us = l->delivered_us;
    if (n >= 0 && n < EVENTS_PER_WAIT) {
        /* Not now_us: the process may get no processor time between the wait
         * and the clock. */
        l->delivered_us = start_us + (n == 0 ? (int64_t)wait_ms * 1000 : 0);
    }
    int64_t pending_us =
        l->now_us - start_us > WAITED_US ? l->now_us : l->since_us;
    detect_stall(l, wait_ms);
    bool late =
        l->timers->len > 1 && l->now_us - timer_at(l, 1)->at_us > LATE_US;
    deliver_all(l, evs, n);
    if (late) {
        catch_up(l);
    }
    if (n > 0) {
        hist_add(&l->event_delays, evl_boottime() - pending_us);
    }
    while (l->timers->len > 1 && timer_at(l, 1)->at_us <= l->now_us) {
        EvlTimer *t = timer_at(l, 1);
        evl_disarm(l, t);
        hist_add(&l->timer_delays, l->now_us - t->at_us);
        t->fn(t->ctx, l->now_us);
    }
    run_deferred(l);
}

Evl *
evl_new(void)
{
    Evl *l = g_new0(Evl, 1);

    l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    INV("evl_epoll", l->epoll_fd >= 0, "epoll_create1: errno %d", errno);
    l->now_us = evl_boottime();
    l->since_us = l->now_us;
    l->delivered_us = l->now_us;
    l->fds = g_ptr_array_new();
    l->timers = g_ptr_array_new();
    g_ptr_array_add(l->timers, NULL);
    l->deferred = g_array_new(FALSE, FALSE, sizeof(Deferred));
    return l;
}

void
evl_free(Evl *l)
{
    run_deferred(l);
    close(l->epoll_fd);
    g_ptr_array_free(l->fds, TRUE);
    g_ptr_array_free(l->timers, TRUE);
    g_array_free(l->deferred, TRUE);
    g_free(l);
}

void
evl_run(Evl *l)
{
    l->stopped = false;
    while (!l->stopped) {
        evl_run_once(l, evl_wait_ms(l));
    }
}

void
evl_stop(Evl *l)
{
    l->stopped = true;
}

static void
control(Evl *l, int op, EvlFd *f, uint32_t events)
{
    struct epoll_event ev = {.events = events};

    ev.data.u64 = (uint64_t)f->generation << 32 | (uint32_t)f->fd;
    int rc = epoll_ctl(l->epoll_fd, op, f->fd, &ev);
    INV("evl_epoll", rc == 0, "epoll_ctl %d on %d: errno %d", op, f->fd,
        errno);
}

void
evl_add(Evl *l, EvlFd *f, uint32_t events)
{
    if ((guint)f->fd >= l->fds->len) {
        g_ptr_array_set_size(l->fds, f->fd + 1);
    }
    f->generation = ++l->generation;
    g_ptr_array_index(l->fds, f->fd) = f;
    control(l, EPOLL_CTL_ADD, f, events);
}

void
evl_mod(Evl *l, EvlFd *f, uint32_t events)
{
    control(l, EPOLL_CTL_MOD, f, events);
}

void
evl_del(Evl *l, EvlFd *f)
{
    control(l, EPOLL_CTL_DEL, f, 0);
    g_ptr_array_index(l->fds, f->fd) = NULL;
}

void
evl_defer(Evl *l, GDestroyNotify f, void *p)
{
    Deferred x = {f, p};

    g_array_append_val(l->deferred, x);
}
