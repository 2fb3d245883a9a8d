/* Tests of answers of the store that take longer than the time limit of their
 * call.  The test plays the store on a loopback socket. */
#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "free_port.h"
#include "kv.h"

#define LIMIT_US 100000
#define PIECE_US 20000
#define PIECE_BYTES 1200
#define PIECES 20
#define ENDLESS_BYTES 500000 /* of a piece of an answer without end */
#define ENDLESS_US 1000
#define TOO_LARGE_BYTES 100000000
#define LEFT_BYTES (XFERLIMIT_LINK_RATE / 2)
#define TRICKLE_US 5000 /* between single bytes */
#define ENDLESS_PIECES 100000
#define GIVE_UP_US 10000000
#define NONE (-100) /* no call has ended */
#define HEAD "HTTP/1.1 200 OK\r\n"
#define ENDLESS HEAD "\r\n" /* ends with its connection */

/* Sends a head, then pieces of a body at even times. */
typedef struct Sender {
    int fd;
    EvlTimer timer;
    size_t piece_bytes;
    int pieces; /* still to be sent */
    int64_t interval_us;
    int64_t last_us; /* when the last one was sent */
    bool close;      /* after the last piece */
} Sender;

typedef struct World {
    Evl *loop;
    int listener;
    KvConn *conn;
    Sender sender;
    int status; /* of the call */
    size_t body_bytes;
    int64_t called_us;
    int64_t ended_us;
    const char *busy_text; /* sent while the loop is busy */
    EvlTimer busy;
    EvlTimer end;
} World;

static void
stop_loop(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
setup(World *w)
{
    struct sockaddr_in at;

    memset(w, 0, sizeof(*w));
    w->listener = listen_on_loopback(&at);
    w->loop = evl_new();
    w->conn = kv_new(w->loop, &at, NULL);
    w->sender.fd = -1;
}

static void
teardown(World *w)
{
    evl_disarm(w->loop, &w->sender.timer);
    kv_free(w->conn);
    evl_run_once(w->loop, 0);
    evl_free(w->loop);
    if (w->sender.fd >= 0) {
        close(w->sender.fd);
    }
    close(w->listener);
}

static void
run_for(World *w, int64_t us)
{
    w->end = (EvlTimer){.fn = stop_loop, .ctx = w->loop};
    evl_arm(w->loop, &w->end, evl_now(w->loop) + us);
    evl_run(w->loop);
    evl_disarm(w->loop, &w->end);
}

static void
on_done(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;

    ck_assert_int_eq(w->status, NONE);
    w->status = status;
    w->body_bytes = body.n;
    w->ended_us = now_us;
    evl_stop(w->loop);
}

static void
start_call(World *w)
{
    w->status = NONE;
    w->called_us = evl_now(w->loop);
    kv_call(w->conn, g_string_new("GET / HTTP/1.1\r\n\r\n"), LIMIT_US, on_done,
            w);
}

/* Starts a call on a new connection, which is accepted. */
static void
call(World *w)
{
    struct timespec step = {.tv_nsec = 1000000};
    char buf[64];

    start_call(w);
    for (int i = 0; i < 50 && w->sender.fd < 0; i++) {
        w->sender.fd = accept4(w->listener, NULL, NULL, SOCK_NONBLOCK);
        nanosleep(&step, NULL);
    }
    ck_assert_int_ge(w->sender.fd, 0);
    while (recv(w->sender.fd, buf, sizeof(buf), 0) <= 0) {
        evl_run_once(w->loop, 1);
    }
}

static void
send_text(const World *w, const char *text)
{
    ck_assert_int_eq(send(w->sender.fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

static void
on_piece(void *ctx, int64_t now_us)
{
    World *w = ctx;
    Sender *s = &w->sender;
    char *piece = g_strnfill(s->piece_bytes, 'a');

    s->last_us = now_us;
    s->pieces--;
    /* Part of a piece will do for an answer without end. */
    ssize_t n = send(s->fd, piece, s->piece_bytes, MSG_NOSIGNAL);
    ck_assert(n > 0 || errno == EAGAIN || w->status != NONE);
    g_free(piece);
    if (s->pieces > 0) {
        /* After a stall, no piece is sent twice as fast. */
        evl_arm(w->loop, &s->timer, now_us + s->interval_us);
    }
    else if (s->close) {
        close(s->fd);
        s->fd = -1;
    }
}

/* Sends pieces until the call has ended or none is left. */
static void
send_pieces(World *w, size_t piece_bytes, int pieces, int64_t interval_us)
{
    Sender *s = &w->sender;

    s->piece_bytes = piece_bytes;
    s->pieces = pieces;
    s->interval_us = interval_us;
    s->timer = (EvlTimer){.fn = on_piece, .ctx = w};
    evl_arm(w->loop, &s->timer, evl_now(w->loop) + interval_us);
    run_for(w, GIVE_UP_US);
}

static void
send_length(const World *w, int64_t bytes)
{
    char *text = g_strdup_printf(
        HEAD "Content-Length: %" G_GINT64_FORMAT "\r\n\r\n", bytes);

    send_text(w, text);
    g_free(text);
}

/* Guards against an answer that is dropped although it arrives all the time,
 * only since it takes longer than the limit: the next call asks for the same,
 * so on a slow link no call ever succeeds. */
START_TEST(an_answer_that_arrives_steadily_is_delivered)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, (int64_t)PIECES * PIECE_BYTES);
    send_pieces(&w, PIECE_BYTES, PIECES, PIECE_US);
    ck_assert_int_eq(w.status, 200);
    ck_assert_uint_eq(w.body_bytes, PIECES * PIECE_BYTES);
    ck_assert_int_gt(w.ended_us - w.called_us, 3 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against a connection that has gone silent and is not given up. */
START_TEST(no_answer_fails_at_the_limit)
{
    World w;

    setup(&w);
    call(&w);
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_ge(w.ended_us - w.called_us, LIMIT_US);
    ck_assert_int_lt(w.ended_us - w.called_us, 5 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against a call that does not end when the connection goes silent in
 * the middle of the answer. */
START_TEST(an_answer_that_stops_fails_a_limit_later)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, (int64_t)2 * PIECES * PIECE_BYTES);
    send_pieces(&w, PIECE_BYTES, 3, PIECE_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_eq(w.sender.pieces, 0);
    ck_assert_int_lt(w.ended_us - w.sender.last_us, 5 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against a call that single bytes keep open. */
START_TEST(an_answer_below_the_minimum_rate_fails)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, ENDLESS_PIECES);
    send_pieces(&w, 1, ENDLESS_PIECES, TRICKLE_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_lt(w.ended_us - w.called_us, 10 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against a head of which single bytes keep a call open. */
START_TEST(a_head_below_the_minimum_rate_fails)
{
    World w;

    setup(&w);
    call(&w);
    send_text(&w, HEAD "Name: ");
    send_pieces(&w, 1, ENDLESS_PIECES, TRICKLE_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_lt(w.ended_us - w.called_us, 10 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against an answer without end that takes all memory. */
START_TEST(an_endless_answer_is_too_large)
{
    World w;

    setup(&w);
    call(&w);
    send_text(&w, ENDLESS);
    send_pieces(&w, ENDLESS_BYTES, ENDLESS_PIECES, ENDLESS_US);
    ck_assert_int_eq(w.status, KV_TOO_LARGE);
    ck_assert_uint_lt(w.body_bytes, TOO_LARGE_BYTES);
    teardown(&w);
}
END_TEST

/* Guards against a slow link that carries an answer which is then dropped. */
START_TEST(an_answer_is_too_large_by_its_length)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, TOO_LARGE_BYTES);
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, KV_TOO_LARGE);
    ck_assert_uint_eq(w.body_bytes, 0);
    teardown(&w);
}
END_TEST

/* Guards against a part of an answer that counts as the whole. */
START_TEST(an_answer_cut_off_midway_fails)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, (int64_t)2 * PIECES * PIECE_BYTES);
    w.sender.close = true;
    send_pieces(&w, PIECE_BYTES, 3, PIECE_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    teardown(&w);
}
END_TEST

/* Keeps the loop busy, so that events and timers of that time are late. */
static void
on_busy(void *ctx, int64_t now_us)
{
    World *w = ctx;
    struct timespec t = {.tv_nsec = LIMIT_US * 1000 / 2};
    (void)now_us;

    nanosleep(&t, NULL);
    if (w->busy_text != NULL) {
        send_text(w, w->busy_text);
    }
    nanosleep(&t, NULL);
    nanosleep(&t, NULL);
}

/* Keeps the loop busy for 1.5 limits, from now on.  The text is sent within
 * the limit; NULL: none. */
static void
be_busy(World *w, const char *text)
{
    w->busy_text = text;
    w->busy = (EvlTimer){.fn = on_busy, .ctx = w};
    evl_arm(w->loop, &w->busy, evl_now(w->loop));
}

/* Guards against a late process that fails a call although its answer waits in
 * the socket. */
START_TEST(an_answer_that_waits_in_the_socket_is_in_time)
{
    World w;

    setup(&w);
    call(&w);
    be_busy(&w, HEAD "Content-Length: 3\r\n\r\nabc");
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, 200);
    teardown(&w);
}
END_TEST

/* Guards against the same, with bytes that arrive while the timers run of
 * which one is that of the call. */
START_TEST(an_answer_that_arrives_while_timers_run_is_in_time)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, PIECE_BYTES);
    be_busy(&w, NULL);
    send_pieces(&w, PIECE_BYTES, 1, PIECE_US);
    ck_assert_int_eq(w.status, 200);
    teardown(&w);
}
END_TEST

/* Guards against a late process to which the rest of an answer counts as late,
 * and which fails a call whose answer arrives. */
START_TEST(a_late_process_does_not_fail_a_transfer)
{
    World w;

    setup(&w);
    call(&w);
    send_length(&w, (int64_t)PIECES * PIECE_BYTES);
    be_busy(&w, "aaa");
    send_pieces(&w, PIECE_BYTES, PIECES, PIECE_US);
    ck_assert_int_eq(w.status, 200);
    teardown(&w);
}
END_TEST

/* Ends the connection of the last call, as the store's side. */
static void
hang_up(World *w)
{
    close(w->sender.fd);
    w->sender.fd = -1;
}

/* Guards against a call that is given up, again and again, while the rest of
 * an answer that was given up holds the link, and against one that waits for
 * more than that. */
START_TEST(a_call_waits_for_the_rest_of_an_answer_that_was_given_up)
{
    World w;
    int64_t left_us = INT64_C(1000000) * LEFT_BYTES / XFERLIMIT_LINK_RATE;

    setup(&w);
    kv_limit_answer(w.conn, LEFT_BYTES - 1);
    call(&w);
    send_length(&w, LEFT_BYTES);
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, KV_TOO_LARGE);
    hang_up(&w);
    call(&w);
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_gt(w.ended_us - w.called_us, left_us);
    ck_assert_int_lt(w.ended_us - w.called_us, left_us + 5 * LIMIT_US);
    teardown(&w);
}
END_TEST

/* Guards against a call that is given up while another answer to the same VM
 * holds the link. */
START_TEST(a_call_waits_while_another_answer_arrives)
{
    World w;
    XferBacklog b = {0};

    setup(&w);
    kv_share_backlog(w.conn, &b);
    call(&w);
    /* What another connection received, after the call began. */
    xferlimit_backlog_received(&b, w.called_us, LEFT_BYTES, evl_now(w.loop));
    run_for(&w, GIVE_UP_US);
    ck_assert_int_eq(w.status, KV_NO_ANSWER);
    ck_assert_int_gt(w.ended_us - w.called_us, 2 * LIMIT_US);
    teardown(&w);
}
END_TEST

T_MAIN("kv_slow", an_answer_that_arrives_steadily_is_delivered,
       no_answer_fails_at_the_limit, an_answer_that_stops_fails_a_limit_later,
       an_answer_below_the_minimum_rate_fails,
       a_head_below_the_minimum_rate_fails, an_endless_answer_is_too_large,
       an_answer_is_too_large_by_its_length, an_answer_cut_off_midway_fails,
       an_answer_that_waits_in_the_socket_is_in_time,
       an_answer_that_arrives_while_timers_run_is_in_time,
       a_late_process_does_not_fail_a_transfer,
       a_call_waits_for_the_rest_of_an_answer_that_was_given_up,
       a_call_waits_while_another_answer_arrives)
