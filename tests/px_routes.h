/*
 * px_routes - requests that wait while the configuration changes, for the
 * tests of px.
 */
#ifndef MIMOSA_TESTS_PX_ROUTES_H
#define MIMOSA_TESTS_PX_ROUTES_H

#include "px_world.h"

#define WAIT_US (600 * MS) /* for the view */
#define DEADLINE_MS 1500
#define SLOTS 100

static const WorldRoute moved = {2, "annex", "/", false, 0, TIMEOUT_US, NULL};
static const WorldRoute removed = {2, "desk",     "/other", false,
                                   0, TIMEOUT_US, NULL};
static const WorldRoute added = {3, "desk", "/", false, 0, TIMEOUT_US, NULL};

static inline void
start(World *w, bool idempotent)
{
    world_init(w, idempotent, SLOTS);
    world_add_annex(w, SLOTS);
}

/* Ends the world.  fd: connections that the test accepted; -1: none. */
static inline void
end(World *w, int caller, int fd)
{
    close(caller);
    if (fd >= 0) {
        close(fd);
    }
    world_run(w, SETTLE_US);
    world_clear(w);
}

/* Starts a request while the view is waited for. */
static inline int
ask_while_waiting(World *w)
{
    px_wait_for_view(w->px, evl_now(w->loop) + WAIT_US);
    int caller = world_ask(w, "a", DEADLINE_MS);
    world_run(w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 0);
    return caller;
}

static inline void
end_wait(World *w)
{
    px_wait_for_view(w->px, 0);
    world_run(w, SETTLE_US);
}

/* Starts a request whose route is added while it waits, and ends the wait. */
static inline int
ask_while_route_is_added(World *w)
{
    start(w, false);
    world_set_route(w, &removed);
    int caller = ask_while_waiting(w);
    world_set_route(w, &added);
    end_wait(w);
    return caller;
}

/* Accepts the connection of the request "a" and answers it. */
static inline void
check_served(World *w, int listener, int caller)
{
    char buf[4096];
    int fd = accept(listener, NULL, NULL);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    world_answer(fd, "a", 2);
    world_run(w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 200);
    close(fd);
}

/* Checks that no request is written to the upstream of the listener. */
static inline void
check_nothing_written(int listener)
{
    char byte;
    int fd = accept(listener, NULL, NULL);

    if (fd >= 0) {
        ck_assert_int_le((int)recv(fd, &byte, 1, MSG_DONTWAIT), 0);
        close(fd);
    }
}

/* Starts a request that waits for a connection to the first service. */
static inline int
ask_without_connection(World *w)
{
    start(w, false);
    int caller = world_ask(w, "a", DEADLINE_MS);
    while (w->u->n_conns == 0) {
        evl_run_once(w->loop, 1);
    }
    return caller;
}

#endif
