/* Tests of px with upstreams that begin to drain, and with a copy of the store
 * that may be too old to show it. */
#include "px_world.h"

#define WAIT_US (200 * MS) /* of the request in the queue */
#define OUTAGE_US (450 * MS)

/* Guards against a request that waits in the queue while its upstream begins
 * to drain, and is sent to it afterwards. */
START_TEST(a_queued_request_is_not_sent_to_an_upstream_that_drains)
{
    World w;

    world_init(&w, true, 100);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    world_drain(&w);
    world_run(&w, WAIT_US + 10 * SETTLE_US);
    world_end_not_run(&w, caller);
}
END_TEST

/* Lets a caller leave whose request is under way; ends the world. */
static void
end(World *w, int caller)
{
    close(caller);
    world_run(w, SETTLE_US);
    world_clear(w);
}

/* Starts a world whose copy of the store is too old, and a caller that sends a
 * request. */
static int
ask_with_old_copy(World *w)
{
    world_init(w, true, 100);
    px_set_confirmed(w->px, evl_now(w->loop) - COPY_AGE_MAX_US - MS);
    int caller = world_ask(w, "a", 1500);
    world_run(w, SETTLE_US);
    return caller;
}

/* Guards against a request that is sent to an upstream that has left, as the
 * copy of the store is older than the time in which changes have to be known.
 */
START_TEST(a_request_waits_for_a_copy_that_is_recent)
{
    World w;
    int caller = ask_with_old_copy(&w);

    ck_assert_int_eq(world_accept(&w), -1);
    world_drain(&w);
    px_set_confirmed(w.px, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    world_end_not_run(&w, caller);
}
END_TEST

/* Guards against a request that waits although the copy is recent again. */
START_TEST(a_request_is_sent_when_the_copy_is_confirmed)
{
    World w;
    int caller = ask_with_old_copy(&w);

    ck_assert_int_eq(world_accept(&w), -1);
    px_set_confirmed(w.px, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    ck_assert_int_ge(world_accept(&w), 0);
    end(&w, caller);
}
END_TEST

/* Guards against requests that are held or refused in an outage of the store.
 */
START_TEST(a_request_is_sent_by_an_old_copy_if_the_store_does_not_answer)
{
    World w;
    int caller = ask_with_old_copy(&w);

    world_run(&w, OUTAGE_US);
    ck_assert_int_ge(world_accept(&w), 0);
    int next = world_ask(&w, "b", 1500);
    world_run(&w, SETTLE_US);
    ck_assert_int_ge(world_accept(&w), 0);
    close(next);
    end(&w, caller);
}
END_TEST

/* The same, when calls have failed before the copy was too old. */
START_TEST(a_request_does_not_wait_while_calls_to_the_store_fail)
{
    World w;

    world_init(&w, true, 100);
    px_set_confirmed(w.px, evl_now(w.loop));
    px_store_failed(w.px, evl_now(w.loop));
    world_run(&w, COPY_AGE_MAX_US + MS);
    px_store_failed(w.px, evl_now(w.loop));
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    ck_assert_int_ge(world_accept(&w), 0);
    end(&w, caller);
}
END_TEST

/* Starts a world and a caller whose request waits for a connection. */
static int
ask_without_connection(World *w)
{
    world_init(w, true, 100);
    int caller = world_ask(w, "a", 1500);
    while (w->u->n_conns == 0) {
        evl_run_once(w->loop, 1);
    }
    return caller;
}

/* Checks that nothing is written to the connection. */
static void
check_not_written(World *w)
{
    char byte;

    world_run(w, SETTLE_US);
    int fd = world_accept(w);
    ck_assert(fd < 0 || recv(fd, &byte, 1, MSG_DONTWAIT) <= 0);
}

/* Guards against a request that waits for a connection while its upstream
 * begins to leave, and is written when it is established. */
START_TEST(a_request_is_not_written_to_a_connection_of_an_upstream_that_drains)
{
    World w;
    int caller = ask_without_connection(&w);

    world_drain(&w);
    check_not_written(&w);
    ck_assert_int_eq(world_status(caller), 503);
    end(&w, caller);
}
END_TEST

/* The same for a copy that has become too old meanwhile. */
START_TEST(a_request_is_not_written_by_a_copy_that_has_become_too_old)
{
    World w;
    char byte;
    int caller = ask_without_connection(&w);

    px_set_confirmed(w.px, evl_now(w.loop) - COPY_AGE_MAX_US - MS);
    check_not_written(&w);
    px_set_confirmed(w.px, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    int fd = world_accept(&w);
    ck_assert_int_gt((int)recv(fd, &byte, 1, MSG_DONTWAIT), 0);
    end(&w, caller);
}
END_TEST

T_MAIN("px_drain", a_queued_request_is_not_sent_to_an_upstream_that_drains,
       a_request_waits_for_a_copy_that_is_recent,
       a_request_is_sent_when_the_copy_is_confirmed,
       a_request_is_sent_by_an_old_copy_if_the_store_does_not_answer,
       a_request_does_not_wait_while_calls_to_the_store_fail,
       a_request_is_not_written_to_a_connection_of_an_upstream_that_drains,
       a_request_is_not_written_by_a_copy_that_has_become_too_old)
