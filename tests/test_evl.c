/* Tests of evl: time since which an event may have been pending, and the order
 * of events. */
#include "t.h"

#include <sys/epoll.h>
#include <unistd.h>

#include "evl.h"

#define LATE_US 200000
#define WAIT_MS 50
#define EVENTS 300

typedef struct World {
    Evl *loop;
    EvlFd event;
    int pipe[2];
    int delivered;
    int64_t since_us; /* evl_since() when the event was delivered */
} World;

static void
on_event(void *ctx, uint32_t events)
{
    World *w = ctx;
    char byte;
    (void)events;

    ck_assert_int_eq(read(w->pipe[0], &byte, 1), 1);
    w->since_us = evl_since(w->loop);
    w->delivered++;
}

static void
world_init(World *w)
{
    memset(w, 0, sizeof(*w));
    w->loop = evl_new();
    ck_assert_int_eq(pipe(w->pipe), 0);
    w->event = (EvlFd){.fd = w->pipe[0], .fn = on_event, .ctx = w};
    evl_add(w->loop, &w->event, EPOLLIN);
}

static void
world_clear(World *w)
{
    evl_del(w->loop, &w->event);
    evl_free(w->loop);
    close(w->pipe[0]);
    close(w->pipe[1]);
}

/* Guards against a signal that is read late and counts as sent when it was
 * read. */
START_TEST(an_event_that_is_delivered_late_is_not_older_than_since)
{
    World w;

    world_init(&w);
    evl_run_once(w.loop, 0);
    int64_t sent_us = g_get_monotonic_time();
    ck_assert_int_eq(write(w.pipe[1], "x", 1), 1);
    g_usleep(LATE_US);
    evl_run_once(w.loop, 0);
    ck_assert_int_eq(w.delivered, 1);
    ck_assert_int_le(w.since_us, sent_us);
    ck_assert_int_ge(evl_now(w.loop) - w.since_us, LATE_US);
    world_clear(&w);
}
END_TEST

/* Guards against a loop without events whose next event counts as old. */
START_TEST(since_follows_a_loop_that_waits)
{
    World w;

    world_init(&w);
    evl_run_once(w.loop, 0);
    int64_t begin_us = g_get_monotonic_time();
    evl_run_once(w.loop, WAIT_MS);
    ck_assert_int_eq(write(w.pipe[1], "x", 1), 1);
    evl_run_once(w.loop, WAIT_MS);
    ck_assert_int_eq(w.delivered, 1);
    ck_assert_int_ge(w.since_us, begin_us + WAIT_MS * 1000);
    world_clear(&w);
}
END_TEST

typedef struct Source {
    EvlFd event;
    int pipe[2];
    int *n_delivered; /* of all sources */
    int place;        /* among the delivered ones, from 1; 0: none */
} Source;

static void
on_source(void *ctx, uint32_t events)
{
    Source *s = ctx;
    char byte;
    (void)events;

    ck_assert_int_ge((int)read(s->pipe[0], &byte, 1), 0);
    s->place = ++*s->n_delivered;
}

static void
source_init(Source *s, Evl *loop, int *n_delivered, bool first)
{
    ck_assert_int_eq(pipe(s->pipe), 0);
    s->n_delivered = n_delivered;
    s->place = 0;
    s->event =
        (EvlFd){.fd = s->pipe[0], .first = first, .fn = on_source, .ctx = s};
    evl_add(loop, &s->event, EPOLLIN);
}

static void
source_clear(Source *s, Evl *loop)
{
    evl_del(loop, &s->event);
    close(s->pipe[0]);
    close(s->pipe[1]);
}

/* Guards against requests that are handled in the iteration in which the
 * changes that concern them wait behind them, after a delay. */
START_TEST(changes_and_ends_are_delivered_before_other_events)
{
    Evl *loop = evl_new();
    Source s[3];
    int n = 0;

    for (int i = 0; i < 3; i++) {
        source_init(&s[i], loop, &n, i == 2);
        ck_assert_int_eq(write(s[i].pipe[1], "x", 1), 1);
    }
    close(s[1].pipe[1]);
    evl_run_once(loop, 0);
    ck_assert_int_eq(n, 3);
    ck_assert_int_eq(s[0].place, 3);
    s[1].pipe[1] = dup(s[0].pipe[1]);
    for (int i = 0; i < 3; i++) {
        source_clear(&s[i], loop);
    }
    evl_free(loop);
}
END_TEST

/* Guards against an order that holds within a part of the events only. */
START_TEST(order_holds_for_hundreds_of_events)
{
    Evl *loop = evl_new();
    Source *s = g_new0(Source, EVENTS);
    int n = 0;

    for (int i = 0; i < EVENTS; i++) {
        source_init(&s[i], loop, &n, i == EVENTS - 1);
        ck_assert_int_eq(write(s[i].pipe[1], "x", 1), 1);
    }
    evl_run_once(loop, 0);
    ck_assert_int_eq(n, EVENTS);
    ck_assert_int_eq(s[EVENTS - 1].place, 1);
    for (int i = 0; i < EVENTS; i++) {
        source_clear(&s[i], loop);
    }
    g_free(s);
    evl_free(loop);
}
END_TEST

T_MAIN("evl", an_event_that_is_delivered_late_is_not_older_than_since,
       since_follows_a_loop_that_waits,
       changes_and_ends_are_delivered_before_other_events,
       order_holds_for_hundreds_of_events)
