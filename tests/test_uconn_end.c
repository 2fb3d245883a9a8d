/* Tests of responses whose upstream closes its connection before they are
 * read. */
#include "uconn_world.h"

#include <sys/epoll.h>

/* More than the kernel passes in one read. */
#define LARGE_BYTES ((size_t)4 * 1024 * 1024)
#define EARLY_BYTES ((size_t)64 * 1024) /* more than one read takes */
#define UPLOAD_BYTES ((guint)16 * 1024 * 1024)
#define STEP_US 2000 /* between the reads of a slow caller */
#define LIMIT_US 20000000

static const char request[] = "GET / HTTP/1.1\r\nHost: t\r\n\r\n";

typedef struct Slow {
    Fixture f;
    int fd; /* the upstream's end of the connection */
    Uconn *conn;
    UconnEvent end;
    bool ended;
    bool fast; /* reads are not suspended */
    size_t received;
    EvlTimer resume;
    EvlFd trigger;
} Slow;

static void
on_resume(void *ctx, int64_t now_us)
{
    Slow *s = ctx;
    (void)now_us;

    if (!s->ended) {
        uconn_pause(s->conn, false);
    }
}

/* Takes what has arrived and suspends reads, as for a caller that is slow. */
static void
on_slow(void *ctx, UconnEvent ev, int64_t now_us)
{
    Slow *s = ctx;
    GByteArray *body = uconn_response(s->conn)->body;

    if (ev == UCONN_FLUSHED || ev == UCONN_SENDING) {
        return;
    }
    s->received += body->len;
    g_byte_array_set_size(body, 0);
    if (ev == UCONN_BODY && s->fast) {
        return;
    }
    if (ev == UCONN_BODY) {
        uconn_pause(s->conn, true);
        evl_arm(s->f.loop, &s->resume, now_us + STEP_US);
        return;
    }
    s->end = ev;
    s->ended = true;
    uconn_cancel(s->conn);
}

/* Sends a request with n bytes of body and accepts its connection. */
static void
slow_connect(Slow *s, size_t n)
{
    char *body = g_malloc0(n);

    memset(s, 0, sizeof(*s));
    setup(&s->f);
    s->resume = (EvlTimer){.fn = on_resume, .ctx = s};
    s->conn = uconn_open(s->f.pool, s->f.u, true, on_slow, s);
    uconn_send(s->conn, request, strlen(request), body, n, false);
    run_for(&s->f, RUN_US);
    s->fd = accept(s->f.listener, NULL, NULL);
    g_free(body);
}

static void
send_head(Slow *s, const char *head)
{
    ck_assert_int_eq(send(s->fd, head, strlen(head), 0),
                     (ssize_t)strlen(head));
}

static void
slow_init(Slow *s, const char *head)
{
    char got[sizeof(request)];

    slow_connect(s, 0);
    ck_assert_int_eq(recv(s->fd, got, sizeof(got), 0),
                     (ssize_t)strlen(request));
    send_head(s, head);
}

/* Sends n bytes of the body while the loop runs. */
static void
send_body(Slow *s, size_t n)
{
    int64_t end_us = evl_now(s->f.loop) + LIMIT_US;
    static const char part[65536];

    while (n > 0 && evl_now(s->f.loop) < end_us) {
        ssize_t k = send(s->fd, part, MIN(n, sizeof(part)),
                         MSG_DONTWAIT | MSG_NOSIGNAL);
        if (k > 0) {
            n -= (size_t)k;
            continue;
        }
        ck_assert_int_eq(errno, EAGAIN);
        evl_run_once(s->f.loop, 1);
    }
    ck_assert_uint_eq(n, 0);
}

static void
run_to_end(Slow *s)
{
    int64_t end_us = evl_now(s->f.loop) + LIMIT_US;

    while (!s->ended && evl_now(s->f.loop) < end_us) {
        evl_run_once(s->f.loop, 1);
    }
    ck_assert(s->ended);
}

static void
slow_clear(Slow *s)
{
    evl_disarm(s->f.loop, &s->resume);
    teardown(&s->f);
}

static void
check_whole(const char *head)
{
    Slow s;

    slow_init(&s, head);
    send_body(&s, LARGE_BYTES);
    close(s.fd);
    run_to_end(&s);
    ck_assert_int_eq(s.end, UCONN_DONE);
    ck_assert_uint_eq(s.received, LARGE_BYTES);
    slow_clear(&s);
}

START_TEST(a_close_does_not_cut_a_response_while_reads_are_suspended)
{
    check_whole("HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n");
}
END_TEST

START_TEST(a_response_without_a_length_is_not_complete_before_it_is_read)
{
    check_whole("HTTP/1.1 200 OK\r\n\r\n");
}
END_TEST

/* Resets the upstream's end. */
static void
reset(int fd)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

START_TEST(a_reset_while_reads_are_suspended_does_not_end_a_response)
{
    Slow s;

    slow_init(&s, "HTTP/1.1 200 OK\r\n\r\n");
    send_body(&s, LARGE_BYTES);
    reset(s.fd);
    run_to_end(&s);
    ck_assert_int_eq(s.end, UCONN_LOST);
    slow_clear(&s);
}
END_TEST

/* An upstream that answers early, reads nothing and closes resets the
 * connection behind its response. */
static void
check_early_response(const char *head, UconnEvent end)
{
    static const char body[EARLY_BYTES];
    Slow s;

    slow_connect(&s, UPLOAD_BYTES);
    s.fast = true;
    send_head(&s, head);
    ck_assert_int_eq(send(s.fd, body, sizeof(body), 0), EARLY_BYTES);
    close(s.fd);
    run_to_end(&s);
    ck_assert_int_eq(s.end, end);
    ck_assert_uint_eq(s.received, EARLY_BYTES);
    slow_clear(&s);
}

START_TEST(a_reset_does_not_cut_a_response_that_has_arrived)
{
    check_early_response("HTTP/1.1 413 Too large\r\n"
                         "Content-Length: 65536\r\n\r\n",
                         UCONN_DONE);
}
END_TEST

START_TEST(a_response_without_a_length_that_is_reset_is_not_complete)
{
    check_early_response("HTTP/1.1 413 Too large\r\n\r\n", UCONN_LOST);
}
END_TEST

START_TEST(a_write_after_a_reset_does_not_make_a_response_complete)
{
    Slow s;

    slow_init(&s, "HTTP/1.1 200 OK\r\n\r\nfirst part");
    s.fast = true;
    run_for(&s.f, RUN_US);
    reset(s.fd);
    uconn_send_more(s.conn, request, strlen(request));
    run_to_end(&s);
    ck_assert_int_eq(s.end, UCONN_LOST);
    slow_clear(&s);
}
END_TEST

/* Answers and resets the connection while the loop delivers events. */
static void
on_trigger(void *ctx, uint32_t events)
{
    Slow *s = ctx;
    (void)events;

    evl_del(s->f.loop, &s->trigger);
    send_head(s, "HTTP/1.1 413 Too large\r\nContent-Length: 5\r\n\r\nwhole");
    reset(s->fd);
}

START_TEST(a_failed_write_does_not_drop_a_response_that_has_arrived)
{
    Slow s;
    int fds[2];
    char buf[65536];

    slow_connect(&s, UPLOAD_BYTES);
    s.fast = true;
    ck_assert_int_eq(pipe(fds), 0);
    s.trigger = (EvlFd){.fd = fds[0], .fn = on_trigger, .ctx = &s};
    evl_add(s.f.loop, &s.trigger, EPOLLIN);
    ck_assert_int_eq((int)write(fds[1], "x", 1), 1);
    while (recv(s.fd, buf, sizeof(buf), MSG_DONTWAIT) > 0) {
    }
    run_to_end(&s);
    ck_assert_int_eq(s.end, UCONN_DONE);
    ck_assert_uint_eq(s.received, strlen("whole"));
    close(fds[0]);
    close(fds[1]);
    slow_clear(&s);
}
END_TEST

/* Guards against a loop that polls a connection which it must not read yet. */
START_TEST(a_reset_while_reads_are_suspended_does_not_busy_the_loop)
{
    Slow s;
    int iterations = 0;

    slow_init(&s, "HTTP/1.1 200 OK\r\n\r\n");
    send_body(&s, LARGE_BYTES);
    evl_run_once(s.f.loop, 1);
    evl_disarm(s.f.loop, &s.resume);
    uconn_pause(s.conn, true);
    reset(s.fd);
    int64_t end_us = evl_now(s.f.loop) + RUN_US;
    while (evl_now(s.f.loop) < end_us) {
        evl_run_once(s.f.loop, (int)(RUN_US / 1000 / 4));
        iterations++;
    }
    ck_assert(!s.ended);
    ck_assert_int_lt(iterations, 20);
    uconn_pause(s.conn, false);
    run_to_end(&s);
    ck_assert_int_eq(s.end, UCONN_LOST);
    slow_clear(&s);
}
END_TEST

T_MAIN("uconn_end", a_close_does_not_cut_a_response_while_reads_are_suspended,
       a_response_without_a_length_is_not_complete_before_it_is_read,
       a_reset_while_reads_are_suspended_does_not_end_a_response,
       a_reset_while_reads_are_suspended_does_not_busy_the_loop,
       a_reset_does_not_cut_a_response_that_has_arrived,
       a_response_without_a_length_that_is_reset_is_not_complete,
       a_write_after_a_reset_does_not_make_a_response_complete,
       a_failed_write_does_not_drop_a_response_that_has_arrived)
