/* evl - event loop of a program that holds many sockets.  See evl.h. */
#include "evl.h"

#include <errno.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "inv.h"

#define EVENTS_PER_TURN 128

typedef struct Later {
    GDestroyNotify fn;
    void *p;
} Later;

struct Evl {
    EvlStallFn still;
    void *still_ctx;
    int64_t turn_us; /* boot time after the last wait */
    int epoll_fd;
    bool stopped;
    int64_t now_us;
    uint32_t generation;
    GPtrArray *fds;    /* EvlFd by descriptor */
    GPtrArray *timers; /* binary heap by at_us; entry 0 is unused */
    GArray *later;
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
    int64_t us = timer_at(l, 1)->at_us - clock_us(CLOCK_MONOTONIC);
    return us <= 0 ? 0 : (int)MIN((us + 999) / 1000, G_MAXINT);
}

static void
deliver(Evl *l, const struct epoll_event *ev)
{
    guint fd = (guint)(ev->data.u64 & 0xffffffffU);
    EvlFd *f = fd < l->fds->len ? g_ptr_array_index(l->fds, fd) : NULL;

    if (f != NULL && f->generation == (uint32_t)(ev->data.u64 >> 32)) {
        f->fn(f->ctx, ev->events);
    }
}

static void
run_later(Evl *l)
{
    for (guint i = 0; i < l->later->len; i++) {
        Later x = g_array_index(l->later, Later, i);
        x.fn(x.p);
    }
    g_array_set_size(l->later, 0);
}

int
evl_fd(const Evl *l)
{
    return l->epoll_fd;
}

void
evl_update_now(Evl *l)
{
    l->now_us = clock_us(CLOCK_MONOTONIC);
}

/* The clock that counts while a machine is suspended also counts while the
 * process is stopped.  The time that a turn's own work takes is part of the
 * gap; it is far below the bound. */
static void
notice_still(Evl *l, int wait_ms)
{
    int64_t at_us = evl_boottime();
    int64_t gap_us = at_us - l->turn_us - (int64_t)MAX(wait_ms, 0) * 1000;
    bool first = l->turn_us == 0;

    l->turn_us = at_us;
    if (!first && wait_ms >= 0 && gap_us > EVL_STALL_US && l->still != NULL) {
        l->still(l->still_ctx, gap_us, l->now_us);
    }
}

void
evl_on_stall(Evl *l, EvlStallFn fn, void *ctx)
{
    l->still = fn;
    l->still_ctx = ctx;
}

void
evl_run_once(Evl *l, int wait_ms)
{
    struct epoll_event evs[EVENTS_PER_TURN];
    int n = epoll_wait(l->epoll_fd, evs, EVENTS_PER_TURN, wait_ms);

    evl_update_now(l);
    notice_still(l, wait_ms);
    for (int i = 0; i < n; i++) {
        deliver(l, &evs[i]);
    }
    while (l->timers->len > 1 && timer_at(l, 1)->at_us <= l->now_us) {
        EvlTimer *t = timer_at(l, 1);
        evl_disarm(l, t);
        t->fn(t->ctx, l->now_us);
    }
    run_later(l);
}

Evl *
evl_new(void)
{
    Evl *l = g_new0(Evl, 1);

    l->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    INV("evl_epoll", l->epoll_fd >= 0, "epoll_create1: errno %d", errno);
    l->now_us = clock_us(CLOCK_MONOTONIC);
    l->fds = g_ptr_array_new();
    l->timers = g_ptr_array_new();
    g_ptr_array_add(l->timers, NULL);
    l->later = g_array_new(FALSE, FALSE, sizeof(Later));
    return l;
}

void
evl_free(Evl *l)
{
    run_later(l);
    close(l->epoll_fd);
    g_ptr_array_free(l->fds, TRUE);
    g_ptr_array_free(l->timers, TRUE);
    g_array_free(l->later, TRUE);
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
    Later x = {f, p};

    g_array_append_val(l->later, x);
}
