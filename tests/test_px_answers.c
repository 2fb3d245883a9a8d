/* Tests of px with upstreams whose answers are malformed. */
#include "answers.h"
#include "px_world.h"

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

/* Checks that the VM has closed the upstream's connection, without a request
 * on it. */
static void
check_closed(int fd, const char *name)
{
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT);

    ck_assert_msg(n == 0 || (n < 0 && errno == ECONNRESET), "%s: %d", name,
                  (int)n);
    close(fd);
}

/* A malformed answer to the first of two pipelined requests that must not run
 * twice. */
static void
play_malformed(const Answer *a)
{
    World w;
    char buf[4096] = "";

    world_init(&w, false, 100);
    int caller = world_ask(&w, "id-1", 1500);
    ask_behind(caller, "id-2");
    world_run(&w, SETTLE_US / 2);
    int fd = accept_request(&w, "id-1");
    answer(fd, a, "id-1");
    world_run(&w, SETTLE_US / 2);
    check_closed(fd, a->name);
    fd = accept_request(&w, "id-2");
    world_answer(fd, "id-2", 2);
    world_run(&w, SETTLE_US / 2);
    recv(caller, buf, sizeof(buf) - 1, MSG_DONTWAIT);
    ck_assert_msg(g_str_has_prefix(buf, "HTTP/1.1 502 "), "%s: %s", a->name,
                  buf);
    ck_assert_msg(strstr(buf, "\r\n\r\nupstream_failedHTTP/1.1 200 ") != NULL,
                  "%s: %s", a->name, buf);
    close(fd);
    close(caller);
    world_run(&w, SETTLE_US / 2);
    world_clear(&w);
}

/* Guards against a malformed answer that is passed on, against a second run of
 * its request, against a connection that is used again after it, and against
 * the loss of the request behind it. */
START_TEST(a_malformed_answer_is_not_passed_on)
{
    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        if (answers[i].status == 0) {
            play_malformed(&answers[i]);
        }
    }
}
END_TEST

T_MAIN("px_answers", a_malformed_answer_is_not_passed_on)
