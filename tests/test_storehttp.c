/* Tests of answers of the store over the own interface, whose side the test
 * plays on a loopback socket. */
#include "t.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "answers.h"
#include "storehttp.h"

#define TIMEOUT_MS 1000
#define SHORT_MS 100 /* time limit of a call with a slow answer */
#define PIECE_US 20000
#define PIECE_BYTES 1200
#define PIECES 20
#define GIVE_UP_US 10000000   /* far below XFERLIMIT_TOTAL_US */
#define STATUS_FAILED_MIN 500 /* lowest status of a failed call */

typedef struct Store {
    int listener;
    GString *text; /* the answer, byte for byte */
    size_t piece;  /* bytes that are sent every PIECE_US; 0: all at once */
} Store;

typedef struct Result {
    GMainLoop *loop;
    int status;
    char body[64]; /* empty if the body is larger */
    size_t body_bytes;
} Result;

/* Sends the head and then pieces of the body, or all at once. */
static void
send_answer(const Store *s, int fd)
{
    const char *body = strstr(s->text->str, "\r\n\r\n");
    size_t piece = s->piece > 0 ? s->piece : s->text->len;
    size_t n = s->piece > 0 ? (size_t)(body - s->text->str) + 4 : piece;

    for (size_t i = 0; i < s->text->len; i += n, n = piece) {
        if (i > 0) {
            g_usleep(PIECE_US);
        }
        n = MIN(n, s->text->len - i);
        if (send(fd, s->text->str + i, n, MSG_NOSIGNAL) < 0) {
            return;
        }
    }
}

/* Answers one call, and ends the connection when the caller has. */
static gpointer
serve(gpointer data)
{
    Store *s = data;
    char buf[4096];
    int fd = accept(s->listener, NULL, NULL);

    if (recv(fd, buf, sizeof(buf), 0) > 0) {
        send_answer(s, fd);
    }
    while (recv(fd, buf, sizeof(buf), 0) > 0) {
    }
    close(fd);
    return NULL;
}

static void
on_done(void *ctx, const StoreAnswer *a, const Err *e)
{
    Result *r = ctx;

    r->status = a->status;
    if (a->status != 0) {
        gsize n;
        const char *p = g_bytes_get_data(a->body, &n);
        r->body_bytes = n;
        str_copy(r->body, sizeof(r->body), (Str){p, n});
    }
    else {
        ck_assert_str_ne(e->text, "");
    }
    g_main_loop_quit(r->loop);
}

/* Makes a call that gets the answer, in pieces of that size; 0: at once. */
static Result
call(const Answer *a, size_t piece, unsigned timeout_ms)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    Store s = {socket(AF_INET, SOCK_STREAM, 0), g_string_new(NULL), piece};
    Result r = {.loop = g_main_loop_new(NULL, FALSE), .status = -1};
    StoreLimit q;
    GRand *rnd = g_rand_new_with_seed(1);

    storelimit_init(&q, 1, 1, g_get_monotonic_time());
    ck_assert_int_eq(bind(s.listener, (struct sockaddr *)&at, n), 0);
    ck_assert_int_eq(listen(s.listener, 8), 0);
    getsockname(s.listener, (struct sockaddr *)&at, &n);
    g_string_append_len(s.text, a->before.p, (gssize)a->before.n);
    g_string_append_len(s.text, a->after.p, (gssize)a->after.n);
    char *address = g_strdup_printf("127.0.0.1:%d", ntohs(at.sin_port));
    GThread *thread = g_thread_new("store", serve, &s);
    StoreHttp *h = storehttp_new(address, &q, rnd);
    ck_assert(
        storehttp_call(h, "GET", "/v1/kv/a", NULL, timeout_ms, on_done, &r));
    g_main_loop_run(r.loop);
    storehttp_free(h);
    g_thread_join(thread);
    g_main_loop_unref(r.loop);
    g_rand_free(rnd);
    g_string_free(s.text, TRUE);
    g_free(address);
    close(s.listener);
    return r;
}

/* Guards against a malformed answer of the store that is used, and against a
 * well-formed one that is not. */
START_TEST(only_well_formed_answers_are_used)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        const Answer *a = &answers[i];
        int wanted = a->status >= STATUS_FAILED_MIN ? 0 : a->status;
        Result r = call(a, 0, TIMEOUT_MS);
        ck_assert_msg(r.status == wanted, "%s: %d", a->name, r.status);
        ck_assert_msg(wanted == 0 || strcmp(r.body, a->body) == 0, "%s: %s",
                      a->name, r.body);
    }
}
END_TEST

/* Makes a call with a body of PIECES * PIECE_BYTES, of which that many bytes
 * arrive every PIECE_US. */
static Result
call_slow(size_t piece)
{
    size_t n = (size_t)PIECES * PIECE_BYTES;
    char *body = g_strnfill(n, 'a');
    char *text = g_strdup_printf("Content-Length: %zu\r\n\r\n%s", n, body);
    Answer a = {.before = str_of(ANSWER_OK), .after = str_of(text)};
    Result r = call(&a, piece, SHORT_MS);

    g_free(text);
    g_free(body);
    return r;
}

/* Guards against a configuration that takes longer than the time limit of a
 * call on a slow link, and which no call ever brings. */
START_TEST(an_answer_that_arrives_steadily_is_delivered)
{
    Result r = call_slow(PIECE_BYTES);

    ck_assert_int_eq(r.status, 200);
    ck_assert_uint_eq(r.body_bytes, PIECES * PIECE_BYTES);
}
END_TEST

/* Guards against a call that single bytes keep open. */
START_TEST(an_answer_below_the_minimum_rate_fails)
{
    int64_t start_us = g_get_monotonic_time();

    ck_assert_int_eq(call_slow(1).status, 0);
    ck_assert_int_lt(g_get_monotonic_time() - start_us, GIVE_UP_US);
}
END_TEST

T_MAIN("storehttp", an_answer_that_arrives_steadily_is_delivered,
       an_answer_below_the_minimum_rate_fails,
       only_well_formed_answers_are_used)
