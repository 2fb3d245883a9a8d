/* Tests of caller: requests that arrive while a planned stop closes
 * connections. */
#include "caller_world.h"

#include <linux/filter.h>
#include <poll.h>

#include "strm.h"

#define READ_US 1000000
#define ROUND_TRIP_US 110000 /* between regions */

static void
check_answered(World *w)
{
    ck_assert(receive_all(w, READ_US));
    ck_assert_int_eq(count_received(w, "HTTP/1.1 200 OK"), 1);
    ck_assert_int_eq(w->requests, 1);
    world_clear(w);
}

START_TEST(a_request_not_read_yet_is_answered_at_a_stop)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    run(&w);
    send_text(&w, close_request);
    callers_close_idle(w.set);
    check_answered(&w);
}
END_TEST

START_TEST(a_request_on_a_connection_not_accepted_yet_is_answered_at_a_stop)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, close_request);
    callers_close_idle(w.set);
    check_answered(&w);
}
END_TEST

START_TEST(a_request_in_two_pieces_is_answered_at_a_stop)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, "GET / HTTP/1.1\r\nHo");
    run(&w);
    callers_close_idle(w.set);
    ck_assert_int_gt(callers_partial(w.set), 0);
    send_text(&w, "st: t\r\nConnection: close\r\n\r\n");
    check_answered(&w);
}
END_TEST

START_TEST(no_connection_is_established_before_the_listener_closes)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    Err e = {0};
    int fd = strm_listen(&at, &e);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &n), 0);
    int early = socket(AF_INET, SOCK_STREAM, 0);
    int late = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    ck_assert_int_eq(connect(early, (struct sockaddr *)&at, n), 0);
    strm_listen_end(fd);
    ck_assert_int_eq(connect(late, (struct sockaddr *)&at, n), -1);
    struct pollfd p = {.fd = late, .events = POLLOUT};
    ck_assert_int_eq(poll(&p, 1, 100), 0);
    int accepted = accept(fd, NULL, NULL);
    ck_assert_int_ge(accepted, 0);
    ck_assert_int_eq(accept(fd, NULL, NULL), -1);
    close(accepted);
    close(early);
    close(late);
    close(fd);
}
END_TEST

/* Guards against a caller whose connection is reset by the close of the
 * listener, as the last packet of its handshake was dropped. */
START_TEST(a_handshake_under_way_ends_before_the_listener_closes)
{
    struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
    struct sock_fprog filter = {.len = 1, .filter = &drop};
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    int none = 0;
    Err e = {0};
    int fd = strm_listen(&at, &e);
    int caller = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&at, &n), 0);
    /* The listener's answer is lost, and sent again after a second. */
    ck_assert_int_eq(setsockopt(caller, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                                sizeof(filter)),
                     0);
    ck_assert_int_eq(connect(caller, (struct sockaddr *)&at, n), -1);
    ck_assert_int_eq(
        setsockopt(caller, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none)),
        0);
    strm_listen_end(fd);
    struct pollfd p = {.fd = caller, .events = POLLOUT};
    ck_assert_int_eq(poll(&p, 1, 3000), 1);
    struct pollfd waiting = {.fd = fd, .events = POLLIN};
    ck_assert_int_eq(poll(&waiting, 1, 500), 1);
    int accepted = accept(fd, NULL, NULL);
    ck_assert_int_ge(accepted, 0);
    close(accepted);
    close(caller);
    close(fd);
}
END_TEST

/* Guards against a listener that closes within the round trip of a handshake,
 * and against one that stays open. */
START_TEST(a_listener_closes_a_round_trip_after_the_last_connection_request)
{
    World w;

    world_init(&w, 10);
    callers_close_idle(w.set);
    ck_assert(!callers_closed(w.set));
    run_for(&w, ROUND_TRIP_US);
    callers_close_idle(w.set);
    ck_assert(!callers_closed(w.set));
    run_for(&w, 2 * ROUND_TRIP_US);
    callers_close_idle(w.set);
    ck_assert(callers_closed(w.set));
    world_clear(&w);
}
END_TEST

START_TEST(a_request_sent_behind_another_is_answered_at_a_stop)
{
    World w;

    world_init(&w, 10);
    connect_client(&w, 0);
    send_text(&w, get_request);
    send_text(&w, get_request);
    callers_shutdown(w.set);
    ck_assert(receive_all(&w, READ_US));
    ck_assert_int_eq(count_received(&w, "HTTP/1.1 200 OK"), 2);
    ck_assert_int_eq(count_received(&w, "Connection: close"), 1);
    ck_assert_int_eq(w.requests, 2);
    world_clear(&w);
}
END_TEST

T_MAIN("caller_stop", a_request_not_read_yet_is_answered_at_a_stop,
       a_request_on_a_connection_not_accepted_yet_is_answered_at_a_stop,
       a_request_in_two_pieces_is_answered_at_a_stop,
       no_connection_is_established_before_the_listener_closes,
       a_handshake_under_way_ends_before_the_listener_closes,
       a_listener_closes_a_round_trip_after_the_last_connection_request,
       a_request_sent_behind_another_is_answered_at_a_stop)
