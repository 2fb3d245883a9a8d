/* Tests of connections on which the upstream has acted before the event loop
 * has read it. */
#include <stdio.h>
#include "uconn_world.h"

#define KEEP_US_MAX INT64_C(60000000)
#define MAX_RTT_US 150000 /* between regions */

static const char request[] = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";
static const char response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
static const char late_response[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";

static void
send_text(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

/* Opens an idle connection.  Returns the upstream's end of it. */
static int
open_idle(Fixture *f)
{
    uconn_open_spare(f->pool, f->u);
    run_for(f, RUN_US);
    ck_assert_uint_eq(f->u->idle_conns.length, 1);
    return accept(f->listener, NULL, NULL);
}

/* Sends a request on a connection of the pool, which the upstream answers on
 * the next one that it accepts. */
static void
check_new_connection(Fixture *f)
{
    UconnEvent ev = UCONN_FLUSHED;
    Uconn *c = uconn_open(f->pool, f->u, false, on_event, &ev);

    ck_assert(!uconn_is_reused(c));
    uconn_send(c, request, strlen(request), NULL, 0, false);
    run_for(f, RUN_US);
    int fd = accept(f->listener, NULL, NULL);
    send_text(fd, response);
    run_for(f, RUN_US);
    ck_assert_int_eq(ev, UCONN_DONE);
    ck_assert_mem_eq(uconn_response(c)->body->data, "own", 3);
    uconn_cancel(c);
    close(fd);
}

START_TEST(a_request_is_not_sent_on_a_connection_closed_by_the_upstream)
{
    Fixture f;

    setup(&f);
    close(open_idle(&f));
    check_new_connection(&f);
    teardown(&f);
}
END_TEST

START_TEST(a_request_is_not_sent_on_a_connection_with_a_late_response)
{
    Fixture f;

    setup(&f);
    int fd = open_idle(&f);
    send_text(fd, late_response);
    check_new_connection(&f);
    close(fd);
    teardown(&f);
}
END_TEST

START_TEST(a_released_connection_with_a_second_response_is_not_reused)
{
    Fixture f;
    UconnEvent ev = UCONN_FLUSHED;

    setup(&f);
    int fd = open_idle(&f);
    Uconn *c = uconn_open(f.pool, f.u, false, on_event, &ev);
    ck_assert(uconn_is_reused(c));
    uconn_send(c, request, strlen(request), NULL, 0, false);
    send_text(fd, response);
    run_for(&f, RUN_US);
    ck_assert_int_eq(ev, UCONN_DONE);
    send_text(fd, late_response);
    uconn_release(c);
    check_new_connection(&f);
    close(fd);
    teardown(&f);
}
END_TEST

START_TEST(a_reset_of_an_idle_connection_counts_as_a_failure_of_the_upstream)
{
    Fixture f;
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    setup(&f);
    int fd = open_idle(&f);
    ck_assert_int_eq(f.u->connect_failed_us, 0);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
    check_new_connection(&f);
    ck_assert_int_gt(f.u->connect_failed_us, 0);
    teardown(&f);
}
END_TEST

/* Returns the time for which an idle connection may be used after a response
 * with that header. */
static int64_t
kept_us(const char *header)
{
    Fixture f;
    UconnEvent ev = UCONN_FLUSHED;
    char text[128];

    setup(&f);
    int fd = open_idle(&f);
    Uconn *c = uconn_open(f.pool, f.u, false, on_event, &ev);
    uconn_send(c, request, strlen(request), NULL, 0, false);
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s\r\n", header);
    send_text(fd, text);
    run_for(&f, RUN_US);
    ck_assert_int_eq(ev, UCONN_DONE);
    uconn_release(c);
    int64_t keep_us = f.u->keep_us;
    close(fd);
    teardown(&f);
    return keep_us;
}

/* Guards against idle connections that are kept without a limit, until some
 * firewall between has dropped them. */
START_TEST(an_idle_connection_has_a_time_limit)
{
    ck_assert_int_le(kept_us("Keep-Alive: timeout=2000000000\r\n"),
                     KEEP_US_MAX);
}
END_TEST

/* Guards against requests that wait for a new connection to another region
 * while the upstream still keeps an idle one, and against requests that cross
 * the end of the announced time, a second of which may be rounding. */
START_TEST(an_idle_connection_is_used_until_shortly_before_its_end)
{
    int64_t keep_us = kept_us("Keep-Alive: timeout=10\r\n");

    ck_assert_int_ge(keep_us, 8500000);
    ck_assert_int_lt(keep_us, 9000000 - MAX_RTT_US);
    ck_assert_int_eq(kept_us("Keep-Alive: timeout=2\r\n"), 1000000);
    ck_assert_int_eq(kept_us("Keep-Alive: timeout=1\r\n"), 500000);
    ck_assert_int_eq(kept_us(""), 2000000);
}
END_TEST

typedef struct Attempt {
    Uconn *conn;
    UconnEvent end;
} Attempt;

/* Closes the connection when the attempt has ended, as its owner does. */
static void
on_attempt(void *ctx, UconnEvent ev, int64_t now_us)
{
    Attempt *a = ctx;
    (void)now_us;

    if (ev != UCONN_BODY && ev != UCONN_FLUSHED && ev != UCONN_SENDING) {
        a->end = ev;
        uconn_cancel(a->conn);
    }
}

/* The upstream acts on a connection that is established but not seen so yet.
 */
static void
check_not_sent(const char *text)
{
    Fixture f;
    Attempt a = {.end = UCONN_FLUSHED};

    setup(&f);
    a.conn = uconn_open(f.pool, f.u, true, on_attempt, &a);
    uconn_send(a.conn, request, strlen(request), NULL, 0, false);
    int fd = accept(f.listener, NULL, NULL);
    send_text(fd, text);
    shutdown(fd, SHUT_WR);
    run_for(&f, RUN_US);
    ck_assert_int_eq(a.end, UCONN_CONNECT_FAILED);
    char byte;
    ck_assert_int_le(recv(fd, &byte, sizeof(byte), MSG_DONTWAIT), 0);
    close(fd);
    teardown(&f);
}

START_TEST(a_request_is_not_sent_on_a_new_connection_that_has_ended)
{
    check_not_sent("");
}
END_TEST

START_TEST(bytes_that_precede_a_request_are_not_its_response)
{
    check_not_sent(response);
}
END_TEST

T_MAIN("uconn_reuse",
       a_request_is_not_sent_on_a_connection_closed_by_the_upstream,
       a_request_is_not_sent_on_a_connection_with_a_late_response,
       a_released_connection_with_a_second_response_is_not_reused,
       a_reset_of_an_idle_connection_counts_as_a_failure_of_the_upstream,
       an_idle_connection_has_a_time_limit,
       an_idle_connection_is_used_until_shortly_before_its_end,
       a_request_is_not_sent_on_a_new_connection_that_has_ended,
       bytes_that_precede_a_request_are_not_its_response)
