/* Tests of the view of the store, against a store on loopback that gives the
 * answers of a script. */
#include "t.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dlog.h"
#include "h1.h"
#include "mirror.h"
#include "pf.h"
#include "strm.h"

#define RUN_US 3000000
#define CALLS_MAX 16
#define CONNS_MAX 8

typedef struct Answer {
    const char *call; /* has to be in the target of the request */
    int status;
    const char *body;
} Answer;

typedef struct Conn {
    struct Store *s;
    Strm strm;
    H1 req;
} Conn;

typedef struct Store {
    Evl *loop;
    EvlFd listener;
    Conn conns[CONNS_MAX];
    int n_conns;
    const Answer *script; /* ends with a NULL call */
    char calls[CALLS_MAX][128];
    int n_calls;
    EvlTimer end;
    GHashTable *known; /* keys that the mirror believes in */
    char at_ready[256];
} Store;

static void
reply(Conn *c)
{
    Store *s = c->s;
    const Answer *a = s->script;

    if (strstr(c->req.target.p, "/api/kv-range") == NULL &&
        strstr(c->req.target.p, "/api/kv-watch") == NULL) {
        return; /* leases are not part of these tests */
    }
    ck_assert_int_lt(s->n_calls, CALLS_MAX);
    snprintf(s->calls[s->n_calls++], sizeof(s->calls[0]), "%.*s",
             (int)c->req.target.n, c->req.target.p);
    if (a->call == NULL) {
        return; /* the watch at the end of the script waits */
    }
    s->script++;
    char *text = g_strdup_printf("HTTP/1.1 %d Status\r\nContent-Length: "
                                 "%zu\r\n\r\n%s",
                                 a->status, strlen(a->body), a->body);
    strm_write(&c->strm, text, strlen(text));
    g_free(text);
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    Conn *c = ctx;
    Err e = {0};

    if (ev == STRM_EOF || ev == STRM_FAILED) {
        strm_close(&c->strm);
    }
    else if (ev == STRM_READABLE &&
             h1_feed(&c->req, c->strm.in, 8192, &e) == H1_DONE) {
        reply(c);
        h1_next(&c->req);
    }
}

static void
on_accept(void *ctx, uint32_t events)
{
    Store *s = ctx;
    Conn *c = &s->conns[s->n_conns++];
    (void)events;

    ck_assert_int_le(s->n_conns, CONNS_MAX);
    c->s = s;
    h1_init(&c->req, true);
    strm_accept(&c->strm, s->loop, accept(s->listener.fd, NULL, NULL),
                on_stream, c);
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static bool
on_item(void *ctx, const char *key, GBytes *value, uint64_t rev,
        int64_t now_us)
{
    Store *s = ctx;
    (void)rev;
    (void)now_us;

    if (value == NULL) {
        g_hash_table_remove(s->known, key);
    }
    else {
        g_hash_table_add(s->known, g_strdup(key));
    }
    return true;
}

static void
on_ready(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    GList *keys = g_hash_table_get_keys(s->known);
    (void)now_us;

    keys = g_list_sort(keys, (GCompareFunc)strcmp);
    for (GList *l = keys; l != NULL; l = l->next) {
        g_strlcat(s->at_ready, l->data, sizeof(s->at_ready));
        g_strlcat(s->at_ready, " ", sizeof(s->at_ready));
    }
    g_list_free(keys);
    /* What follows is not waited for. */
    evl_arm(s->loop, &s->end, evl_now(s->loop) + 20000);
}

static void
on_trouble(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
}

static void
on_tell(void *ctx, const NewsOut *o)
{
    (void)ctx;
    (void)o;
}

static void
run(Store *s, const Answer *script)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    DlogOpts lo = {STDERR_FILENO, 100, 65536};

    memset(s, 0, sizeof(*s));
    s->loop = evl_new();
    s->script = script;
    s->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->listener = (EvlFd){
        .fd = socket(AF_INET, SOCK_STREAM, 0), .fn = on_accept, .ctx = s};
    ck_assert_int_eq(bind(s->listener.fd, (struct sockaddr *)&at, n), 0);
    ck_assert_int_eq(listen(s->listener.fd, 8), 0);
    getsockname(s->listener.fd, (struct sockaddr *)&at, &n);
    evl_add(s->loop, &s->listener, EPOLLIN);
    MirrorOpts o = {
        .loop = s->loop,
        .log = dlog_new(&lo),
        .codec = &pf_kv,
        .store = at,
        .prefixes = pf_prefixes,
        .rnd = g_rand_new_with_seed(1),
        .notice_us = 2000000,
        .fns = {on_item, on_ready, on_trouble, on_tell},
        .ctx = s,
    };
    Mirror *m = mirror_new(&o);
    s->end = (EvlTimer){.fn = on_end, .ctx = s->loop};
    evl_arm(s->loop, &s->end, evl_now(s->loop) + RUN_US);
    evl_run(s->loop);
    mirror_free(m);
    for (int i = 0; i < s->n_conns; i++) {
        strm_close(&s->conns[i].strm);
        h1_clear(&s->conns[i].req);
    }
    evl_del(s->loop, &s->listener);
    close(s->listener.fd);
    g_hash_table_destroy(s->known);
    g_rand_free(o.rnd);
    dlog_free(o.log);
    evl_free(s->loop);
    ck_assert_msg(s->script->call == NULL, "not called: %s", s->script->call);
    for (int i = 0; i < s->n_calls && script[i].call != NULL; i++) {
        ck_assert_msg(strstr(s->calls[i], script[i].call) != NULL,
                      "call %d is %s and not %s", i, s->calls[i],
                      script[i].call);
    }
}

#define ITEM(key, rev)                                                        \
    "{\"Key\":\"" key "\",\"Value\":\"eA==\",\"Rev\":" rev "}"

/* Guards against a restarted VM that uses an upstream which has left, or
 * routes that were withdrawn, because its first list of the store was old. */
START_TEST(an_old_first_list_is_not_used_before_it_is_confirmed)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("servers/a", "3") "," ITEM(
             "servers/b", "4") "],\"HasMore\":false,\"CurrentRev\":5}"},
        {"after=5&WaitMs=1", 200,
         "{\"events\":[{\"Key\":\"servers/a\",\"Rev\":8,\"Deleted\":true}],"
         "\"CurrentRev\":9}"},
        {NULL, 0, NULL},
    };

    run(&s, script);
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against a change that is missed because a later page of the list
 * came from an older copy of the store than the first. */
START_TEST(the_oldest_page_says_from_where_to_watch)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("servers/a",
                             "3") "],\"HasMore\":true,\"CurrentRev\":9}"},
        {"after=servers/a&Serializable=1", 200,
         "{\"items\":[" ITEM("servers/b",
                             "4") "],\"HasMore\":false,\"CurrentRev\":6}"},
        {"after=6&WaitMs=1", 200,
         "{\"events\":[{\"Key\":\"servers/b\",\"Rev\":7,\"Deleted\":true}],"
         "\"CurrentRev\":9}"},
        {NULL, 0, NULL},
    };

    run(&s, script);
    ck_assert_str_eq(s.at_ready, "servers/a ");
}
END_TEST

/* Guards against a VM that goes on listing old copies when the store has
 * dropped the history behind them. */
START_TEST(a_list_without_history_behind_it_is_read_anew)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("servers/a",
                             "3") "],\"HasMore\":false,\"CurrentRev\":5}"},
        {"after=5&WaitMs=1", 410, "{}"},
        {"/api/kv-range?PathPrefix=", 200,
         "{\"items\":[" ITEM("servers/b",
                             "8") "],\"HasMore\":false,\"CurrentRev\":9}"},
        {NULL, 0, NULL},
    };

    run(&s, script);
    ck_assert_ptr_null(strstr(s.calls[2], "Serializable"));
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

T_MAIN("mirror", an_old_first_list_is_not_used_before_it_is_confirmed,
       the_oldest_page_says_from_where_to_watch,
       a_list_without_history_behind_it_is_read_anew)
