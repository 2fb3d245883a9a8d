/* Tests of px with callers that have left before their request is read. */
#include "px_world.h"

#define PAUSE_US (700 * MS)

/* Starts a world with an idle connection to the upstream, whose other side is
 * returned. */
static int
start_with_connection(World *w)
{
    char buf[4096];

    world_init(w, true, 100);
    int caller = world_ask(w, "a", 1500);
    world_run(w, SETTLE_US);
    int fd = world_accept(w);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    world_answer(fd, "a", 2);
    world_run(w, SETTLE_US);
    ck_assert_int_eq(world_status(caller), 200);
    close(caller);
    world_run(w, SETTLE_US);
    return fd;
}

/* Checks that the upstream got nothing more; ends the world. */
static void
check_nothing_sent(World *w, int fd)
{
    char byte;

    world_run(w, SETTLE_US);
    ck_assert_int_eq((int)recv(fd, &byte, 1, MSG_DONTWAIT), -1);
    ck_assert_int_eq(errno, EAGAIN);
    ck_assert_int_eq(world_accept(w), -1);
    ck_assert_int_eq(callers_open(w->callers), 0);
    close(fd);
    world_clear(w);
}

/* Guards against a request that is sent although its caller's close has
 * arrived behind it. */
START_TEST(a_request_behind_which_its_caller_has_closed_is_not_sent)
{
    World w;
    int fd = start_with_connection(&w);

    close(world_ask(&w, "b", 1500));
    g_usleep(PAUSE_US);
    check_nothing_sent(&w, fd);
}
END_TEST

/* The same for a reset. */
START_TEST(a_request_behind_which_its_caller_has_reset_is_not_sent)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};
    World w;
    int fd = start_with_connection(&w);

    int caller = world_ask(&w, "b", 1500);
    world_run(&w, 0); /* accepts the connection */
    setsockopt(caller, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(caller);
    g_usleep(PAUSE_US);
    check_nothing_sent(&w, fd);
}
END_TEST

/* The same for requests that follow each other on a connection. */
START_TEST(
    pipelined_requests_behind_which_their_caller_has_closed_are_not_sent)
{
    static const char next[] = "POST /x HTTP/1.1\r\n"
                               "Host: desk.example\r\n"
                               "X-Mimosascale-Attempt-Id: c\r\n"
                               "Content-Length: 0\r\n\r\n";
    World w;
    int fd = start_with_connection(&w);

    int caller = world_ask(&w, "b", 1500);
    ck_assert_int_eq(send(caller, next, strlen(next), MSG_NOSIGNAL),
                     (ssize_t)strlen(next));
    close(caller);
    g_usleep(PAUSE_US);
    check_nothing_sent(&w, fd);
}
END_TEST

/* Guards against a queued request that is sent when its caller has closed
 * while the loop was late. */
START_TEST(a_queued_request_whose_caller_has_closed_is_not_sent)
{
    World w;
    int fd = start_with_connection(&w);

    px_wait_for_view(w.px, evl_now(w.loop) + PAUSE_US / 2);
    int caller = world_ask(&w, "b", 1500);
    world_run(&w, SETTLE_US);
    close(caller);
    g_usleep(PAUSE_US);
    check_nothing_sent(&w, fd);
}
END_TEST

T_MAIN("px_left", a_request_behind_which_its_caller_has_closed_is_not_sent,
       a_request_behind_which_its_caller_has_reset_is_not_sent,
       pipelined_requests_behind_which_their_caller_has_closed_are_not_sent,
       a_queued_request_whose_caller_has_closed_is_not_sent)
