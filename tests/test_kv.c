/* Tests of answers of the store, whose side the test plays on a loopback
 * socket. */
#include "t.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answers.h"
#include "free_port.h"
#include "kv.h"

#define STEP_US 20000
#define CALL_US 1000000
#define NONE (-100) /* no call has ended */

typedef struct World {
    Evl *loop;
    FILE *lines; /* of the log */
    Dlog *log;
    int listener;
    KvConn *conn;
    int status; /* of the last call */
    char body[64];
    int begun; /* calls of on_begin() */
    int begin; /* status of the last one */
    EvlTimer end;
} World;

static void
stop_loop(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
run(World *w)
{
    w->end = (EvlTimer){.fn = stop_loop, .ctx = w->loop};
    evl_arm(w->loop, &w->end, evl_now(w->loop) + STEP_US);
    evl_run(w->loop);
}

static void
setup(World *w)
{
    struct sockaddr_in at;

    memset(w, 0, sizeof(*w));
    w->listener = listen_on_loopback(&at);
    w->loop = evl_new();
    w->lines = tmpfile();
    DlogOpts lo = {fileno(w->lines), 100, 65536};
    w->log = dlog_new(&lo);
    w->conn = kv_new(w->loop, &at, w->log);
}

static void
teardown(World *w)
{
    kv_free(w->conn);
    evl_run_once(w->loop, 0);
    dlog_free(w->log);
    fclose(w->lines);
    evl_free(w->loop);
    close(w->listener);
}

/* Number of log lines that contain a text. */
static int
count_lines(World *w, const char *text)
{
    char line[1024];
    int n = 0;

    dlog_flush(w->log);
    rewind(w->lines);
    while (fgets(line, sizeof(line), w->lines) != NULL) {
        n += strstr(line, text) != NULL ? 1 : 0;
    }
    return n;
}

static void
on_done(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;
    (void)now_us;

    ck_assert_int_eq(w->status, NONE);
    w->status = status;
    str_copy(w->body, sizeof(w->body), body);
}

static void
on_begin(void *ctx, int status, int64_t now_us)
{
    World *w = ctx;

    ck_assert_int_eq(w->status, NONE);
    ck_assert_int_eq(now_us, evl_now(w->loop));
    w->begun++;
    w->begin = status;
}

/* Starts a call and returns the store's side of a new connection, on which the
 * request was read, or -1. */
static int
call(World *w)
{
    char buf[64];

    w->status = NONE;
    w->body[0] = '\0';
    kv_call(w->conn, g_string_new("GET / HTTP/1.1\r\n\r\n"), CALL_US, on_done,
            w);
    run(w);
    int fd = accept(w->listener, NULL, NULL);
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    ck_assert(fd < 0 || recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0);
    return fd;
}

static void
answer(World *w, int fd, Str text)
{
    ck_assert_int_eq(send(fd, text.p, text.n, MSG_NOSIGNAL), (ssize_t)text.n);
    run(w);
}

/* Guards against an interim answer that ends a call: the final one would
 * answer the next call on the connection. */
START_TEST(an_interim_answer_does_not_end_a_call)
{
    World w;

    setup(&w);
    int fd = call(&w);
    answer(&w, fd, str_of("HTTP/1.1 103 Early Hints\r\n\r\n"));
    ck_assert_int_eq(w.status, NONE);
    answer(&w, fd, str_of(ANSWER_OK ANSWER_BODY));
    ck_assert_int_eq(w.status, 200);
    ck_assert_str_eq(w.body, "abc");
    ck_assert_int_eq(call(&w), -1); /* on the same connection */
    answer(&w, fd, str_of(ANSWER_OK "Content-Length: 3\r\n\r\ndef"));
    ck_assert_str_eq(w.body, "def");
    close(fd);
    teardown(&w);
}
END_TEST

/* Guards against a malformed answer that counts as one, against a connection
 * that is used again after it, and against a failure whose reason no line
 * tells. */
START_TEST(a_malformed_answer_counts_as_none)
{
    World w;
    char byte;
    int n = 0;

    setup(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        const Answer *a = &answers[i];
        int fd = call(&w);
        ck_assert_msg(fd >= 0, "%s", a->name);
        GString *text = g_string_new_len(a->before.p, (gssize)a->before.n);
        g_string_append_len(text, a->after.p, (gssize)a->after.n);
        answer(&w, fd, (Str){text->str, text->len});
        g_string_free(text, TRUE);
        if (a->status == 0) {
            n++;
            ck_assert_msg(w.status == KV_NO_ANSWER, "%s: %d", a->name,
                          w.status);
            ck_assert_msg(recv(fd, &byte, 1, MSG_DONTWAIT) < 0 &&
                              errno == ECONNRESET,
                          "%s: not closed", a->name);
        }
        else {
            ck_assert_msg(w.status == a->status, "%s: %d", a->name, w.status);
            ck_assert_msg(strcmp(w.body, a->body) == 0, "%s: %s", a->name,
                          w.body);
        }
        kv_disconnect(w.conn);
        close(fd);
    }
    ck_assert_int_eq(count_lines(&w, "event=malformed_answer error=\""), n);
    teardown(&w);
}
END_TEST

/* Guards against an answer under way that is reported late, twice, with the
 * status of an interim answer, or not at all in the next call. */
START_TEST(an_answer_that_has_begun_is_reported_once)
{
    World w;

    setup(&w);
    kv_on_begin(w.conn, on_begin, &w);
    int fd = call(&w);
    answer(&w, fd, str_of("HTTP/1.1 103 Early Hints\r\n\r\n"));
    answer(&w, fd, str_of(ANSWER_OK));
    ck_assert_int_eq(w.begun, 0);
    answer(&w, fd, str_of("Content-Length: 3\r\n\r\n"));
    ck_assert_int_eq(w.begun, 1);
    ck_assert_int_eq(w.begin, 200);
    answer(&w, fd, str_of("a"));
    ck_assert_int_eq(w.status, NONE);
    answer(&w, fd, str_of("bc"));
    ck_assert_int_eq(w.status, 200);
    ck_assert_int_eq(w.begun, 1);
    ck_assert_int_eq(call(&w), -1); /* on the same connection */
    answer(&w, fd, str_of("HTTP/1.1 503 Busy\r\n" ANSWER_CHUNKED "3\r\nab"));
    ck_assert_int_eq(w.begun, 2);
    ck_assert_int_eq(w.begin, 503);
    answer(&w, fd, str_of("c\r\n0\r\n\r\n"));
    ck_assert_int_eq(w.status, 503);
    ck_assert_int_eq(w.begun, 2);
    close(fd);
    teardown(&w);
}
END_TEST

/* Guards against an answer that is reported as begun and is too large or
 * malformed at once. */
START_TEST(an_answer_that_is_not_used_is_not_reported)
{
    static const char *const texts[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\na",
        "HTTP/1.1 200 OK\r\n" ANSWER_CHUNKED "x\r\na",
    };
    World w;

    setup(&w);
    kv_on_begin(w.conn, on_begin, &w);
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        int fd = call(&w);
        answer(&w, fd, str_of(texts[i]));
        ck_assert_int_lt(w.status, 100);
        ck_assert_int_ne(w.status, NONE);
        ck_assert_int_eq(w.begun, 0);
        close(fd);
    }
    teardown(&w);
}
END_TEST

T_MAIN("kv", an_answer_that_has_begun_is_reported_once,
       an_answer_that_is_not_used_is_not_reported,
       an_interim_answer_does_not_end_a_call,
       a_malformed_answer_counts_as_none)
