/* Tests of px with upstreams whose answers are malformed. */
#include "answers.h"
#include "px_world.h"

#define LARGE_BYTES ((size_t)1024 * 1024) /* more than px buffers */

/* Answers the request with this id, byte for byte. */
static void
answer(int fd, const Answer *a, const char *id)
{
    GString *g = g_string_new_len(a->before.p, (gssize)a->before.n);

    g_string_append_printf(g, "%s: %s\r\n%s: s\r\n", pf_header_names.attempt,
                           id, pf_header_names.seal);
    g_string_append_len(g, a->after.p, (gssize)a->after.n);
    ck_assert_int_eq(send(fd, g->str, g->len, MSG_NOSIGNAL), (ssize_t)g->len);
    g_string_free(g, TRUE);
}

/* Accepts a connection at the upstream and reads the request on it. */
static int
accept_request(World *w, const char *id)
{
    char buf[4096] = "";
    int fd = world_accept(w);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf) - 1, MSG_DONTWAIT), 0);
    ck_assert_msg(strstr(buf, id) != NULL, "%s: %s", id, buf);
    return fd;
}

/* Sends a further request on a caller's connection. */
static void
ask_behind(int caller, const char *id)
{
    char *text = g_strdup_printf("POST /x HTTP/1.1\r\n"
                                 "Host: desk.example\r\n"
                                 "X-Mimosascale-Attempt-Id: %s\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 id);

    ck_assert_int_eq(send(caller, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
    g_free(text);
}

/* Accepts the second request, after the first one was answered on fd.  The
 * connection of a malformed answer must have been closed. */
static int
accept_second(World *w, int fd, const Answer *a)
{
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);
    bool closed = n == 0 || (n < 0 && errno == ECONNRESET);

    ck_assert_msg(n <= 0, "%s: %d", a->name, (int)n);
    ck_assert_msg(closed || a->status != 0, "%s: not closed", a->name);
    close(fd);
    return accept_request(w, "id-2");
}

/* Lets the upstream answer the first of two pipelined requests that must not
 * run twice, and then the second one. */
static void
play(const Answer *a)
{
    World w;
    char buf[4096] = "";
    char *begin =
        g_strdup_printf("HTTP/1.1 %d ", a->status == 0 ? 502 : a->status);
    char *end = g_strdup_printf("\r\n\r\n%sHTTP/1.1 200 ",
                                a->status == 0 ? "upstream_failed" : a->body);

    world_init(&w, false, 100);
    int caller = world_ask(&w, "id-1", 1500);
    ask_behind(caller, "id-2");
    world_run(&w, SETTLE_US / 2);
    int fd = accept_request(&w, "id-1");
    answer(fd, a, "id-1");
    world_run(&w, SETTLE_US / 2);
    fd = accept_second(&w, fd, a);
    world_answer(fd, "id-2", 2);
    world_run(&w, SETTLE_US / 2);
    recv(caller, buf, sizeof(buf) - 1, MSG_DONTWAIT);
    ck_assert_msg(g_str_has_prefix(buf, begin) && strstr(buf, end) != NULL,
                  "%s: %s", a->name, buf);
    g_free(begin);
    g_free(end);
    close(fd);
    close(caller);
    world_run(&w, SETTLE_US / 2);
    world_clear(&w);
}

/* Guards against a malformed answer that is passed on, against a second run of
 * its request, against an upstream connection that is used again after it, and
 * against a caller's connection that does not serve the next request. */
START_TEST(a_malformed_answer_is_not_passed_on)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        if (answers[i].status == 0) {
            play(&answers[i]);
        }
    }
}
END_TEST

/* Guards against refusing a well-formed answer, and against bytes behind it
 * that the caller takes for the next one. */
START_TEST(an_unusual_answer_is_passed_on)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        if (answers[i].status != 0) {
            play(&answers[i]);
        }
    }
}
END_TEST

/* Appends what the caller has received.  Returns false once its connection has
 * ended. */
static bool
receive(int caller, GString *got)
{
    static char buf[65536];
    ssize_t n;

    while ((n = recv(caller, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
        g_string_append_len(got, buf, n);
    }
    return n < 0 && errno == EAGAIN;
}

/* Sends a chunk that px passes on while it arrives, and then "end".  Appends
 * what the caller receives, and returns false if its connection has ended. */
static bool
play_large(const char *end, GString *got)
{
    World w;
    GString *text = g_string_new(NULL);

    world_init(&w, false, 100);
    int caller = world_ask(&w, "id-1", 1500);
    world_run(&w, SETTLE_US / 2);
    int fd = accept_request(&w, "id-1");
    g_string_printf(text, ANSWER_CHUNKED "%zx\r\n", LARGE_BYTES);
    const Answer a = {
        "", 200, "", ANSWER_STR(ANSWER_OK), {text->str, text->len}};
    answer(fd, &a, "id-1");
    char *body = g_strnfill(LARGE_BYTES, 'x');
    g_string_assign(text, body);
    g_string_append(text, end);
    while (text->len > 0) {
        ssize_t n =
            send(fd, text->str, text->len, MSG_NOSIGNAL | MSG_DONTWAIT);
        ck_assert(n > 0 || errno == EAGAIN);
        g_string_erase(text, 0, MAX(n, 0));
        world_run(&w, MS);
        receive(caller, got);
    }
    world_run(&w, SETTLE_US);
    bool open = receive(caller, got);
    g_free(body);
    g_string_free(text, TRUE);
    close(fd);
    close(caller);
    world_run(&w, SETTLE_US);
    world_clear(&w);
    return open;
}

/* Guards against a response that is passed on while it arrives and looks
 * complete although its framing turns out to be malformed. */
START_TEST(a_malformed_end_truncates_a_large_response)
{
    static const struct {
        const char *end;
        bool complete;
    } cases[] = {
        {"\r\n0\r\n\r\n", true},
        {"xy0\r\n\r\n", false},
        {"\r\n0\r\nX A: b\r\n\r\n", false},
        {"\r\n3;\nabc\r\n0\r\n\r\n", false},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        GString *got = g_string_new(NULL);
        bool open = play_large(cases[i].end, got);
        ck_assert_uint_gt(got->len, LARGE_BYTES / 2);
        ck_assert_msg(open == cases[i].complete, "%s: open %d", cases[i].end,
                      open);
        ck_assert_msg(g_str_has_suffix(got->str, "\r\n0\r\n\r\n") ==
                          cases[i].complete,
                      "%s", cases[i].end);
        g_string_free(got, TRUE);
    }
}
END_TEST

T_MAIN("px_answers", a_malformed_answer_is_not_passed_on,
       an_unusual_answer_is_passed_on,
       a_malformed_end_truncates_a_large_response)
