/* Tests of caller: timeouts and limits of connections. */
#include "caller_world.h"

#define READ_US 3000000
#define TRICKLE_US 100000     /* between the bytes of a head */
#define BODY_READ_US 15000000 /* more than a body may take */

/* Sends the request while the loop is stalled, right before its check of the
 * idle timeout. */
START_TEST(a_request_that_arrives_at_the_idle_timeout_is_answered)
{
    World w;
    EvlTimer send = {.fn = on_send_close, .ctx = &w};
    EvlTimer stall = {.fn = on_stall, .ctx = &w};

    world_init(&w, 10);
    run(&w);
    connect_client(&w, 0);
    int64_t connected_us = evl_now(w.loop);
    evl_arm(w.loop, &stall, connected_us + IDLE_US + 100000);
    evl_arm(w.loop, &send, connected_us + IDLE_US + 200000);
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 200 OK"), 1);
    world_clear(&w);
}
END_TEST

START_TEST(a_body_that_stalls_is_answered_with_408)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, "POST / HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nab");
    ck_assert(receive_all(&w, BODY_READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 408 "), 1);
    ck_assert_int_eq(w.requests, 0);
    world_clear(&w);
}
END_TEST

/* Guards against a head that may take for ever as long as a byte of it arrives
 * within its time limit now and then. */
START_TEST(a_head_that_trickles_is_answered_with_408)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, "GET / HTTP/1.1\r\nX-A: ");
    for (int64_t us = 0; us < 3 * IDLE_US && w.received->len == 0;
         us += TRICKLE_US) {
        send_text(&w, "b");
        receive_all(&w, TRICKLE_US);
    }
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 408 "), 1);
    ck_assert_int_eq(w.requests, 0);
    world_clear(&w);
}
END_TEST

START_TEST(lower_limits_do_not_refuse_a_request_that_was_begun)
{
    const RtLimits lower = {8, 1, IDLE_US, IDLE_US};
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, "POST / HTTP/1.1\r\nHo");
    run(&w);
    callers_set_limits(w.set, &lower);
    send_text(&w, "st: t\r\nConnection: close\r\nContent-Length: 9\r\n\r\n");
    run(&w);
    send_text(&w, "123456789");
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 200 "), 1);
    world_clear(&w);
}
END_TEST

/* Connects n further clients, so that the next connection is over a limit. */
static void
fill_connections(World *w, int *fds, int n)
{
    for (int i = 0; i < n; i++) {
        fds[i] = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(
            connect(fds[i], (struct sockaddr *)&w->at, sizeof(w->at)), 0);
    }
    run(w);
    connect_client(w, 0);
}

static void
close_all(const int *fds, int n)
{
    for (int i = 0; i < n; i++) {
        close(fds[i]);
    }
}

START_TEST(a_request_on_a_connection_over_the_limit_is_refused_with_503)
{
    World w;
    int more[CALLERS_MAX];

    world_init(&w, 10);
    fill_connections(&w, more, CALLERS_MAX);
    send_text(&w, get_request);
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 503 "), 1);
    ck_assert_int_eq(count_received(&w, "Retry-After: "), 1);
    ck_assert_int_eq(w.requests, 0);
    close_all(more, CALLERS_MAX);
    world_clear(&w);
}
END_TEST

/* Guards against requests that end without a response: they were sent behind
 * one that is refused, and were dropped with its connection. */
START_TEST(requests_behind_a_refused_one_are_refused_too)
{
    World w;
    int more[CALLERS_MAX];

    world_init(&w, 10);
    fill_connections(&w, more, CALLERS_MAX);
    for (int i = 0; i < 3; i++) {
        send_text(&w, get_request);
    }
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 503 "), 3);
    ck_assert_int_eq(count_received(&w, "Connection: close"), 1);
    ck_assert_int_eq(w.requests, 0);
    close_all(more, CALLERS_MAX);
    world_clear(&w);
}
END_TEST

START_TEST(a_connection_that_waits_is_served_when_another_one_ends)
{
    World w;
    int more[CALLERS_MAX + 1];

    world_init(&w, 10);
    fill_connections(&w, more, CALLERS_MAX + 1);
    send_text(&w, close_request);
    run(&w);
    ck_assert_int_eq(callers_open(w.set), CALLERS_MAX + 1);
    close_all(more, CALLERS_MAX + 1);
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 200 "), 1);
    world_clear(&w);
}
END_TEST

T_MAIN("caller_limits", a_request_that_arrives_at_the_idle_timeout_is_answered,
       a_body_that_stalls_is_answered_with_408,
       a_head_that_trickles_is_answered_with_408,
       lower_limits_do_not_refuse_a_request_that_was_begun,
       a_request_on_a_connection_over_the_limit_is_refused_with_503,
       requests_behind_a_refused_one_are_refused_too,
       a_connection_that_waits_is_served_when_another_one_ends)
