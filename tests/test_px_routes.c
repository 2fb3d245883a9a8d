/* Tests of px with requests whose route changes before they are sent to an
 * upstream. */
#include "px_routes.h"

#define SHORT_TIMEOUT_US (200 * MS)
#define NOT_RUN                                                               \
    "HTTP/1.1 503 Service Unavailable\r\n"                                    \
    "X-Mimosascale-Attempt-Id: a\r\n"                                         \
    "X-Mimosascale-Not-Run: 1\r\n"                                            \
    "Content-Length: 0\r\n\r\n"

/* Guards against a request that is run by the service of an old configuration
 * although it waited for the newer one. */
START_TEST(a_waiting_request_goes_to_the_service_of_the_newer_configuration)
{
    World w;

    start(&w, false);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &moved);
    end_wait(&w);
    check_nothing_written(w.listener);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* The same for a request that waits for a recent copy of the store. */
START_TEST(a_request_that_waits_for_a_recent_copy_goes_to_the_newer_service)
{
    World w;

    start(&w, false);
    px_set_confirmed(w.px, evl_now(w.loop) - COPY_AGE_MAX_US - MS);
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    world_set_route(&w, &moved);
    px_set_confirmed(w.px, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request that runs on a route that was removed. */
START_TEST(a_waiting_request_whose_route_is_removed_is_not_run)
{
    World w;

    start(&w, false);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &removed);
    world_run(&w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 0);
    end_wait(&w);
    ck_assert_int_eq(world_status(caller), 404);
    check_nothing_written(w.listener);
    check_nothing_written(w.annex);
    end(&w, caller, -1);
}
END_TEST

/* Guards against 404 on a route of a configuration that is waited for. */
START_TEST(a_request_on_a_route_added_while_it_waits_is_served)
{
    World w;
    int caller = ask_while_route_is_added(&w);

    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

/* The same while the copy of the store is too old. */
START_TEST(a_request_on_an_added_route_waits_for_a_recent_copy)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    px_set_confirmed(w.px, evl_now(w.loop) - COPY_AGE_MAX_US - MS);
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 0);
    world_set_route(&w, &added);
    px_set_confirmed(w.px, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request without a route that is held for good. */
START_TEST(a_request_without_a_route_after_the_wait_is_answered_404)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    int caller = ask_while_waiting(&w);
    world_run(&w, WAIT_US);
    ck_assert_int_eq(world_status(caller), 404);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request without a route that is held without a reason. */
START_TEST(a_request_without_a_route_is_answered_at_once_by_a_recent_view)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    px_set_confirmed(w.px, evl_now(w.loop));
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 404);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request without a route that is held beyond its deadline.
 */
START_TEST(a_request_without_a_route_waits_no_longer_than_its_deadline)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    int caller = world_ask(&w, "a", 100);
    world_run(&w, 3 * SETTLE_US);
    ck_assert_int_eq(world_status(caller), 503);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a crash or a leak when the caller of a request without a
 * route leaves. */
START_TEST(a_caller_may_leave_while_its_request_has_no_route)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    int caller = ask_while_waiting(&w);
    close(caller);
    world_run(&w, SETTLE_US);
    ck_assert_int_eq(callers_open(w.callers), 0);
    world_set_route(&w, &added);
    end_wait(&w);
    check_nothing_written(w.listener);
    world_clear(&w);
}
END_TEST

/* Guards against the timeout of a route that is no longer in force. */
START_TEST(a_waiting_request_gets_the_timeout_of_its_new_route)
{
    WorldRoute hasty = {2, "desk", "/", false, 0, SHORT_TIMEOUT_US, NULL};
    World w;

    start(&w, false);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &hasty);
    end_wait(&w);
    int fd = world_accept(&w);
    ck_assert_int_ge(fd, 0);
    /* The time in the queue counts, and 150 ms of grace follow. */
    world_run(&w, SHORT_TIMEOUT_US + 150 * MS - SETTLE_US);
    ck_assert_int_eq(world_status(caller), 504);
    end(&w, caller, fd);
}
END_TEST

/* The same for a timeout that has become longer. */
START_TEST(a_waiting_request_outlasts_the_timeout_of_its_old_route)
{
    WorldRoute hasty = {2, "desk", "/", false, 0, SHORT_TIMEOUT_US, NULL};
    World w;

    start(&w, false);
    world_set_route(&w, &hasty);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &added);
    world_run(&w, SHORT_TIMEOUT_US);
    ck_assert_int_eq(world_status(caller), 0);
    end_wait(&w);
    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request that may still be in flight at the end of a planned
 * stop, as its new route allows more time. */
START_TEST(a_waiting_request_is_refused_if_its_new_route_outlasts_a_stop)
{
    WorldRoute hasty = {2, "desk", "/", false, 0, SHORT_TIMEOUT_US, NULL};
    World w;

    start(&w, false);
    world_set_route(&w, &hasty);
    int64_t now_us = evl_now(w.loop);
    GateStop stop = {now_us, now_us + S};
    px_shutdown(w.px, &stop);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &added);
    end_wait(&w);
    check_nothing_written(w.listener);
    ck_assert_int_eq(world_status(caller), 503);
    end(&w, caller, -1);
}
END_TEST

/* Sends the request "a" to the first service, whose side of the connection is
 * returned, and then moves the route. */
static int
send_before_move(World *w, bool idempotent, int *caller)
{
    char buf[4096];

    start(w, idempotent);
    *caller = world_ask(w, "a", DEADLINE_MS);
    world_run(w, SETTLE_US);
    int fd = world_accept(w);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    world_set_route(w, &moved);
    return fd;
}

/* Guards against a request that is run twice, by two configurations. */
START_TEST(a_lost_request_is_not_run_again_by_the_newer_configuration)
{
    World w;
    int caller;
    int fd = send_before_move(&w, false, &caller);

    close(fd);
    world_run(&w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 502);
    check_nothing_written(w.annex);
    end(&w, caller, -1);
}
END_TEST

/* The same for a request that may be repeated. */
START_TEST(a_retry_goes_to_the_service_of_the_first_attempt)
{
    World w;
    int caller;
    int fd = send_before_move(&w, true, &caller);
    int other = world_upstream(&w, "u-2", "desk", SLOTS);

    close(fd);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.annex);
    check_served(&w, other, caller);
    close(other);
    end(&w, caller, -1);
}
END_TEST

/* The same for a request that its upstream has not run. */
START_TEST(a_rejected_request_goes_to_the_service_of_the_first_attempt)
{
    World w;
    int caller;
    int fd = send_before_move(&w, false, &caller);
    int other = world_upstream(&w, "u-2", "desk", SLOTS);

    ck_assert_int_gt((int)send(fd, NOT_RUN, strlen(NOT_RUN), MSG_NOSIGNAL), 0);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.annex);
    check_served(&w, other, caller);
    close(other);
    end(&w, caller, fd);
}
END_TEST

/* Guards against a request that is written to a new connection by a route
 * that has changed since the connection was begun. */
START_TEST(a_request_is_not_written_to_a_connection_of_the_old_service)
{
    World w;
    int caller = ask_without_connection(&w);

    world_set_route(&w, &moved);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* The same for a route that was removed. */
START_TEST(a_request_is_not_written_to_a_connection_of_a_removed_route)
{
    World w;
    int caller = ask_without_connection(&w);

    world_set_route(&w, &removed);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    ck_assert_int_eq(world_status(caller), 404);
    end(&w, caller, -1);
}
END_TEST

/* The same for a view that has become out of date meanwhile. */
START_TEST(a_request_is_not_written_while_the_view_is_waited_for)
{
    World w;
    int caller = ask_without_connection(&w);

    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    world_set_route(&w, &moved);
    end_wait(&w);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request that is written to an upstream which discovery has
 * reported as one of another service since the connection was begun. */
START_TEST(a_request_is_not_written_to_an_upstream_of_another_service_now)
{
    World w;
    int caller = ask_without_connection(&w);
    UpsReport r = {.id = str_of("u-1"),
                   .service = str_of("annex"),
                   .zone = str_of("z"),
                   .slots = SLOTS,
                   .boot_ms = w.u->boot_ms};

    memcpy(&r.addr, &w.u->addr, sizeof(r.addr));
    ups_report(w.set, &r, evl_now(w.loop));
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    check_nothing_written(w.annex);
    ck_assert_int_eq(world_status(caller), 503);
    end(&w, caller, -1);
}
END_TEST

/* Guards against connections that are given up at each change of the
 * configuration. */
START_TEST(a_connection_is_used_if_the_route_has_not_changed)
{
    World w;
    int caller = ask_without_connection(&w);

    world_set_route(&w, &added);
    world_run(&w, SETTLE_US);
    check_served(&w, w.listener, caller);
    ck_assert_int_eq(world_accept(&w), -1);
    end(&w, caller, -1);
}
END_TEST

/* Guards against an attempt that is repeated by the old configuration after
 * its connection failed. */
START_TEST(a_request_that_found_no_connection_goes_to_the_newer_service)
{
    World w;

    start(&w, false);
    shutdown(w.listener, SHUT_RDWR); /* it refuses connections */
    int caller = world_ask(&w, "a", DEADLINE_MS);
    while (w.u->n_conns == 0) {
        evl_run_once(w.loop, 1);
    }
    world_set_route(&w, &moved);
    world_run(&w, SETTLE_US);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against requests that are sent in the order of the ranks of an old
 * configuration. */
START_TEST(queued_requests_are_sent_by_the_ranks_of_the_newer_configuration)
{
    WorldRoute old = {2, "desk", "/x", false, 1, TIMEOUT_US, NULL};
    WorldRoute newer = {3, "desk", "/x", false, 1, TIMEOUT_US, "/y"};
    World w;
    char buf[4096] = "";

    world_init(&w, false, 1);
    world_set_route(&w, &old);
    int caller = ask_while_waiting(&w);
    int urgent = world_ask_path(&w, "b", "/y", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    world_set_route(&w, &newer);
    end_wait(&w);
    int fd = world_accept(&w);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf) - 1, 0), 0);
    ck_assert_ptr_nonnull(strstr(buf, "Attempt-Id: b"));
    close(urgent);
    end(&w, caller, fd);
}
END_TEST

/* Guards against a request that counts twice in the demand, from which the
 * retry budget follows. */
START_TEST(a_request_whose_route_changes_counts_once_in_the_demand)
{
    World w;

    start(&w, false);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &moved);
    end_wait(&w);
    ck_assert_int_eq(w.service->arrived + w.annex_service->arrived, 1);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request on an added route that counts in no demand. */
START_TEST(a_request_on_an_added_route_counts_in_the_demand)
{
    World w;
    int caller = ask_while_route_is_added(&w);

    ck_assert_int_eq(w.service->arrived, 1);
    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

T_MAIN("px_routes",
       a_waiting_request_goes_to_the_service_of_the_newer_configuration,
       a_request_that_waits_for_a_recent_copy_goes_to_the_newer_service,
       a_waiting_request_whose_route_is_removed_is_not_run,
       a_request_on_a_route_added_while_it_waits_is_served,
       a_request_on_an_added_route_waits_for_a_recent_copy,
       a_request_without_a_route_after_the_wait_is_answered_404,
       a_request_without_a_route_is_answered_at_once_by_a_recent_view,
       a_request_without_a_route_waits_no_longer_than_its_deadline,
       a_caller_may_leave_while_its_request_has_no_route,
       a_waiting_request_gets_the_timeout_of_its_new_route,
       a_waiting_request_outlasts_the_timeout_of_its_old_route,
       a_waiting_request_is_refused_if_its_new_route_outlasts_a_stop,
       a_lost_request_is_not_run_again_by_the_newer_configuration,
       a_retry_goes_to_the_service_of_the_first_attempt,
       a_rejected_request_goes_to_the_service_of_the_first_attempt,
       a_request_is_not_written_to_a_connection_of_the_old_service,
       a_request_is_not_written_to_a_connection_of_a_removed_route,
       a_request_is_not_written_while_the_view_is_waited_for,
       a_request_is_not_written_to_an_upstream_of_another_service_now,
       a_connection_is_used_if_the_route_has_not_changed,
       a_request_that_found_no_connection_goes_to_the_newer_service,
       queued_requests_are_sent_by_the_ranks_of_the_newer_configuration,
       a_request_whose_route_changes_counts_once_in_the_demand,
       a_request_on_an_added_route_counts_in_the_demand)
