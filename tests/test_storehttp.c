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
#define STATUS_FAILED_MIN 500 /* lowest status of a failed call */

typedef struct Store {
    int listener;
    GString *text; /* the answer, byte for byte */
} Store;

typedef struct Result {
    GMainLoop *loop;
    int status;
    char body[64];
} Result;

/* Answers one call, and ends the connection when the caller has. */
static gpointer
serve(gpointer data)
{
    Store *s = data;
    char buf[4096];
    int fd = accept(s->listener, NULL, NULL);

    if (recv(fd, buf, sizeof(buf), 0) > 0) {
        send(fd, s->text->str, s->text->len, MSG_NOSIGNAL);
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
        str_copy(r->body, sizeof(r->body), (Str){p, n});
    }
    else {
        ck_assert_str_ne(e->text, "");
    }
    g_main_loop_quit(r->loop);
}

/* Makes a call that gets the answer. */
static Result
call(const Answer *a)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    Store s = {socket(AF_INET, SOCK_STREAM, 0), g_string_new(NULL)};
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
        storehttp_call(h, "GET", "/v1/kv/a", NULL, TIMEOUT_MS, on_done, &r));
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
        Result r = call(a);
        ck_assert_msg(r.status == wanted, "%s: %d", a->name, r.status);
        ck_assert_msg(wanted == 0 || strcmp(r.body, a->body) == 0, "%s: %s",
                      a->name, r.body);
    }
}
END_TEST

T_MAIN("storehttp", only_well_formed_answers_are_used)
