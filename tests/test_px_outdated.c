/* Tests of px with routes that are known to be out of date. */
#include "px_routes.h"

/* Of the store, after which it is not waited for. */
#define OUTAGE_US (450 * MS)

/* Value of a counter. */
static int
counter(const World *w, const char *name)
{
    GString *s = g_string_new("\n");
    char *key = g_strdup_printf("\n%s ", name);

    px_metrics(w->px, s);
    const char *at = strstr(s->str, key);
    ck_assert_ptr_nonnull(at);
    int n = atoi(at + strlen(key));
    g_string_free(s, TRUE);
    g_free(key);
    return n;
}

/* Checks that the caller was refused and told to retry at once. */
static void
check_refused(int caller)
{
    char buf[512] = "";

    ck_assert_int_gt((int)recv(caller, buf, sizeof(buf) - 1, MSG_DONTWAIT), 0);
    ck_assert_ptr_nonnull(strstr(buf, "HTTP/1.1 503"));
    ck_assert_ptr_nonnull(strstr(buf, "Retry-After: 0.02"));
    ck_assert_ptr_nonnull(strstr(buf, "configuration_outdated"));
}

/* Sends a request by routes that are known to be out of date, and checks that
 * it is refused. */
static void
check_next_refused(World *w)
{
    int caller = world_ask(w, "b", DEADLINE_MS);

    world_run(w, SETTLE_US);
    check_refused(caller);
    close(caller);
}

/* Guards against requests that are handled by routes that are known to be out
 * of date, once the wait for newer ones has ended. */
START_TEST(requests_are_refused_while_the_routes_are_known_to_be_old)
{
    World w;

    start(&w, false);
    px_set_routes_behind(w.px, true);
    int caller = ask_while_waiting(&w);
    world_run(&w, WAIT_US);
    check_refused(caller);
    check_next_refused(&w);
    check_nothing_written(w.listener);
    ck_assert_int_eq(counter(&w, "edge_requests_outdated_total"), 2);
    end(&w, caller, -1);
}
END_TEST

/* Guards against requests that are refused although the routes are current. */
START_TEST(requests_are_served_once_the_routes_are_current)
{
    World w;

    start(&w, false);
    px_set_routes_behind(w.px, true);
    check_next_refused(&w);
    int caller = ask_while_waiting(&w);
    world_set_route(&w, &moved);
    px_set_routes_behind(w.px, false);
    end_wait(&w);
    check_served(&w, w.annex, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against 404 by routes that are known to be out of date. */
START_TEST(a_request_without_a_route_is_not_answered_404_by_old_routes)
{
    World w;

    start(&w, false);
    world_set_route(&w, &removed);
    px_set_routes_behind(w.px, true);
    check_next_refused(&w);
    int caller = ask_while_waiting(&w);
    world_run(&w, WAIT_US);
    check_refused(caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request that is written to a connection which was begun
 * before the routes were known to be out of date. */
START_TEST(a_request_is_not_written_by_routes_known_to_be_old)
{
    World w;
    int caller = ask_without_connection(&w);

    px_set_routes_behind(w.px, true);
    world_run(&w, SETTLE_US);
    check_nothing_written(w.listener);
    check_refused(caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against requests that are refused in an outage of the store. */
START_TEST(old_routes_are_used_while_the_store_does_not_answer)
{
    World w;

    start(&w, false);
    px_set_routes_behind(w.px, true);
    px_store_failed(w.px, evl_now(w.loop));
    check_next_refused(&w);
    world_run(&w, OUTAGE_US);
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

/* Guards against old routes that are used after an outage of the store, when
 * its first answer has shown that changes were missed. */
START_TEST(an_outage_that_has_ended_does_not_allow_old_routes)
{
    World w;

    start(&w, false);
    px_store_failed(w.px, evl_now(w.loop));
    world_run(&w, OUTAGE_US);
    px_set_routes_behind(w.px, true);
    check_next_refused(&w);
    check_nothing_written(w.listener);
    world_clear(&w);
}
END_TEST

/* Guards against a retry by routes and upstreams that are known to be out of
 * date, as a VM that was cut off may know no upstream that still runs. */
START_TEST(a_lost_request_is_not_sent_again_while_the_view_is_waited_for)
{
    World w;
    char buf[4096];

    start(&w, true);
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    int fd = world_accept(&w);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    int other = world_upstream(&w, "u-2", "desk", SLOTS);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    close(fd);
    world_run(&w, SETTLE_US);
    check_nothing_written(other);
    ck_assert_int_eq(world_status(caller), 502);
    close(other);
    end(&w, caller, -1);
}
END_TEST

/* Guards against a request, rejected by its first upstream, that is sent on by
 * routes and upstreams that are known to be out of date. */
START_TEST(a_rejected_request_is_not_sent_on_by_routes_known_to_be_old)
{
    static const char not_run[] = "HTTP/1.1 503 Service Unavailable\r\n"
                                  "X-Mimosascale-Attempt-Id: a\r\n"
                                  "X-Mimosascale-Not-Run: 1\r\n"
                                  "Content-Length: 0\r\n\r\n";
    char buf[4096];
    World w;

    start(&w, false);
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    int fd = world_accept(&w);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    int other = world_upstream(&w, "u-2", "desk", SLOTS);
    px_set_routes_behind(w.px, true);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    ck_assert_int_gt((int)send(fd, not_run, strlen(not_run), MSG_NOSIGNAL), 0);
    world_run(&w, SETTLE_US);
    check_nothing_written(other);
    world_run(&w, WAIT_US);
    check_nothing_written(other);
    ck_assert_int_eq(world_status(caller), 503);
    close(other);
    end(&w, caller, fd);
}
END_TEST

/* Guards against requests that are refused without end, since each message
 * that confirms the copy ends the outage of the store. */
START_TEST(a_copy_that_is_confirmed_meanwhile_is_used)
{
    World w;

    start(&w, false);
    px_set_routes_behind(w.px, true);
    px_store_failed(w.px, evl_now(w.loop));
    world_run(&w, OUTAGE_US);
    px_set_confirmed(w.px, evl_now(w.loop));
    int caller = world_ask(&w, "a", DEADLINE_MS);
    world_run(&w, SETTLE_US);
    check_served(&w, w.listener, caller);
    end(&w, caller, -1);
}
END_TEST

T_MAIN("px_outdated",
       requests_are_refused_while_the_routes_are_known_to_be_old,
       requests_are_served_once_the_routes_are_current,
       a_request_without_a_route_is_not_answered_404_by_old_routes,
       a_request_is_not_written_by_routes_known_to_be_old,
       old_routes_are_used_while_the_store_does_not_answer,
       an_outage_that_has_ended_does_not_allow_old_routes,
       a_lost_request_is_not_sent_again_while_the_view_is_waited_for,
       a_rejected_request_is_not_sent_on_by_routes_known_to_be_old,
       a_copy_that_is_confirmed_meanwhile_is_used)
