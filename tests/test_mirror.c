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

#define RUN_US 6000000
#define SOON_US 20000
#define ENDLESS_BYTES (12 * 1024 * 1024) /* 8 MB are read */
#define NOTICE_US 2000000 /* in which a change has to be known */
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
    unsigned used;        /* bit of each answer that was given */
    int64_t after_us;     /* to go on after the mirror is ready */
    Mirror *mirror;
    EvlTimer hear;          /* runs from the first failed call, if hear_rev */
    uint64_t hear_rev;      /* that another VM tells of then; 0: none */
    int n_calls_at_trouble; /* made when the news came */
    char calls[CALLS_MAX][128];
    int n_calls;
    EvlTimer end;
    GHashTable *known; /* keys that the mirror believes in */
    char at_ready[256];
    char at_end[256];
} Store;

/* A pattern that ends with "$" has to be the end of the call. */
static bool
fits(const char *call, const char *pattern)
{
    size_t n = strlen(pattern);
    size_t all = strlen(call);

    if (pattern[n - 1] != '$') {
        return strstr(call, pattern) != NULL;
    }
    return all >= n - 1 && strncmp(call + all - (n - 1), pattern, n - 1) == 0;
}

/* Each call gets the first answer that fits and was not given yet. */
static const Answer *
answer_for(Store *s, const char *call)
{
    for (int i = 0; s->script[i].call != NULL; i++) {
        if ((s->used & 1U << i) == 0 && fits(call, s->script[i].call)) {
            s->used |= 1U << i;
            return &s->script[i];
        }
    }
    return NULL;
}

static void
reply(Conn *c)
{
    Store *s = c->s;
    char *call = s->calls[s->n_calls];

    if (memmem(c->req.target.p, c->req.target.n, "/api/kv-range", 13) ==
            NULL &&
        memmem(c->req.target.p, c->req.target.n, "/api/kv-watch", 13) ==
            NULL) {
        return; /* leases are not part of these tests */
    }
    ck_assert_int_lt(s->n_calls, CALLS_MAX);
    snprintf(call, sizeof(s->calls[0]), "%.*s", (int)c->req.target.n,
             c->req.target.p);
    s->n_calls++;
    const Answer *a = answer_for(s, call);
    if (a == NULL) {
        return; /* a watch that waits */
    }
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
    int fd = accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK);
    strm_accept(&c->strm, s->loop, fd, on_stream, c);
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
write_known(const Store *s, char *out, size_t cap)
{
    GList *keys = g_hash_table_get_keys(s->known);

    keys = g_list_sort(keys, (GCompareFunc)strcmp);
    for (GList *l = keys; l != NULL; l = l->next) {
        g_strlcat(out, l->data, cap);
        g_strlcat(out, " ", cap);
    }
    g_list_free(keys);
}

static void
on_ready(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    write_known(s, s->at_ready, sizeof(s->at_ready));
    evl_arm(s->loop, &s->end, evl_now(s->loop) + s->after_us);
}

static void
on_current(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
}

static void
on_hear(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    Gossip w = {.from = s->hear_rev, .page = {.rev = s->hear_rev + 1}};

    w.page.items = g_array_new(FALSE, TRUE, sizeof(KvItem));
    mirror_receive(s->mirror, &w, now_us);
    kv_page_clear(&w.page);
    s->n_calls_at_trouble = s->n_calls;
}

static void
on_trouble(void *ctx, int64_t now_us)
{
    Store *s = ctx;

    if (s->hear_rev != 0 && s->n_calls_at_trouble == 0) {
        s->hear = (EvlTimer){.fn = on_hear, .ctx = s};
        evl_arm(s->loop, &s->hear, now_us + 1000);
    }
}

static void
on_tell(void *ctx, const GossipOut *o)
{
    (void)ctx;
    (void)o;
}

/* after_us: to go on after the mirror is ready. */
static void
run_hearing(Store *s, const Answer *script, int64_t after_us,
            uint64_t hear_rev)
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(at);
    DlogOpts lo = {STDERR_FILENO, 100, 65536};

    memset(s, 0, sizeof(*s));
    s->loop = evl_new();
    s->script = script;
    s->after_us = after_us;
    s->hear_rev = hear_rev;
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
        .urgent = pf_operator_prefix,
        .rnd = g_rand_new_with_seed(1),
        .propagation_us = NOTICE_US,
        .fns = {on_item, on_ready, on_current, on_trouble, on_tell},
        .ctx = s,
    };
    s->mirror = mirror_new(&o);
    s->end = (EvlTimer){.fn = on_end, .ctx = s->loop};
    evl_arm(s->loop, &s->end, evl_now(s->loop) + RUN_US);
    evl_run(s->loop);
    write_known(s, s->at_end, sizeof(s->at_end));
    mirror_free(s->mirror);
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
    for (int i = 0; script[i].call != NULL; i++) {
        ck_assert_msg((s->used & 1U << i) != 0, "not called: %s",
                      script[i].call);
    }
}

static void
run(Store *s, const Answer *script, int64_t after_us)
{
    run_hearing(s, script, after_us, 0);
}

#define ITEM(key, rev)                                                        \
    "{\"Key\":\"" key "\",\"Value\":\"eA==\",\"Rev\":" rev "}"

#define LIST(items, rev)                                                      \
    "{\"items\":[" items "],\"HasMore\":false,\"CurrentRev\":" rev "}"
#define EVENTS(items, rev) "{\"events\":[" items "],\"CurrentRev\":" rev "}"
#define GONE(key, rev) "{\"Key\":\"" key "\",\"Rev\":" rev ",\"Deleted\":true}"
/* A start with two upstreams, confirmed at revision 9. */
#define START_WITH_A_AND_B                                                    \
    {"Serializable=1", 200,                                                   \
     LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "5")},           \
    {                                                                         \
        "after=5&WaitMs=1", 200, EVENTS("", "9")                              \
    }

/* Guards against a restarted VM that uses an upstream which has left, or
 * routes that were withdrawn, because its first list of the store was old. */
START_TEST(an_old_first_list_is_not_used_before_it_is_confirmed)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "5")},
        {"after=5&WaitMs=1", 200, EVENTS(GONE("servers/a", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SOON_US);
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
         LIST(ITEM("servers/b", "4"), "6")},
        {"after=6&WaitMs=1", 200, EVENTS(GONE("servers/b", "7"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SOON_US);
    ck_assert_str_eq(s.at_ready, "servers/a ");
}
END_TEST

/* Guards against a VM that goes on listing old copies when the store has
 * dropped the history behind them. */
START_TEST(a_list_without_history_behind_it_is_read_anew)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"after=5&WaitMs=1", 410, "{}"},
        {"/api/kv-range?PathPrefix=$", 200, LIST(ITEM("servers/b", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SOON_US);
    ck_assert_ptr_null(strstr(s.calls[2], "Serializable"));
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against changes that are lost with the history of the store, against
 * a copy that is older than what is known, and against a removed key that
 * such a copy brings back. */
START_TEST(changes_lost_with_the_history_are_found_again)
{
    Store s;
    static const Answer script[] = {
        START_WITH_A_AND_B,
        {"after=9&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST(ITEM("op/evacuate/z", "12"), "20")},
        {"after=20&", 200, EVENTS(GONE("servers/b", "22"), "22")},
        /* Too old to tell what was lost. */
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "15")},
        /* Without the upstream that left and with one that came; "b" is gone
         * since. */
        {"Serializable=1", 200,
         LIST(ITEM("op/evacuate/z", "12") "," ITEM("servers/b", "4") "," ITEM(
                  "servers/c", "13"),
              "21")},
        {"Serializable=1", 200,
         LIST(ITEM("op/evacuate/z", "12") "," ITEM("servers/c", "13"), "23")},
        {NULL, 0, NULL},
    };

    run(&s, script, 4000000);
    ck_assert_str_eq(s.at_ready, "servers/a servers/b ");
    ck_assert_str_eq(s.at_end, "op/evacuate/z servers/c ");
}
END_TEST

/* Calls whose target holds the text, from one on. */
static int
calls_with(const Store *s, int from, const char *text)
{
    int n = 0;

    for (int i = from; i < s->n_calls; i++) {
        n += strstr(s->calls[i], text) != NULL;
    }
    return n;
}

/* Guards against a VM that was cut off and goes on using an upstream which has
 * left, for as long as the copies of the store lag. */
START_TEST(lost_changes_are_known_in_time_though_copies_lag)
{
    Store s;
    static const Answer script[] = {
        START_WITH_A_AND_B,
        {"after=9&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST("", "20")},
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "16")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/c", "13"), "21")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/c", "13"), "22")},
        {NULL, 0, NULL},
    };

    /* 0.5 s to the watch, and the time in which a change has to be known. */
    run(&s, script, 500000 + NOTICE_US);
    ck_assert_str_eq(s.at_end, "servers/c ");
    ck_assert_int_eq(calls_with(&s, 0, "Serializable"), 4);
}
END_TEST

/* Guards against two lists at the same time, of which one takes the keys that
 * only the other has seen for missing. */
START_TEST(a_list_of_the_store_ends_the_search_for_lost_changes)
{
    Store s;
    static const Answer script[] = {
        START_WITH_A_AND_B,
        {"after=9&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST("", "20")},
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "15")},
        /* Unreadable, so that all is listed; the third copy has no answer. */
        {"after=20&", 200, "{"},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "30")},
        {NULL, 0, NULL},
    };
    int list = 0;

    run(&s, script, 3000000);
    ck_assert_str_eq(s.at_end, "servers/a servers/b ");
    while (!fits(s.calls[list], "PathPrefix=$")) {
        list++;
    }
    ck_assert_int_eq(calls_with(&s, list + 1, "/api/kv-range"), 0);
}
END_TEST

/* Guards against VMs that the store turns away and that go on asking it, each
 * call priced, while the VMs near by tell them all that changes. */
START_TEST(news_put_off_the_calls_of_a_vm_that_is_turned_away)
{
    Store s;
    static const Answer script[] = {
        START_WITH_A_AND_B,
        {"after=9&", 503, "{}"},
        {NULL, 0, NULL},
    };

    /* The next watch comes 1.24 s after the news at the earliest; without
     * them it would come after 0.2 s. */
    run_hearing(&s, script, 1500000, 9);
    ck_assert_int_gt(s.n_calls_at_trouble, 0);
    ck_assert_int_eq(s.n_calls, s.n_calls_at_trouble);
}
END_TEST

/* Guards against a call that waits in vain while the store is out of reach and
 * hides that it is back. */
START_TEST(a_call_after_a_failed_one_does_not_wait)
{
    Store s;
    static const Answer script[] = {
        START_WITH_A_AND_B,
        {"after=9&WaitMs=600", 503, "{}"},
        {"after=9&WaitMs=1", 200, EVENTS("", "9")},
        {"after=9&WaitMs=600", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
}
END_TEST

/* Guards against memory that an answer of the store without end would take:
 * what is longer than any answer is given up, and the call made again. */
START_TEST(an_answer_without_end_is_given_up)
{
    Store s;
    char *text = g_strnfill(ENDLESS_BYTES, ' ');
    char *body = g_strconcat(text, LIST(ITEM("servers/a", "3"), "5"), NULL);
    const Answer script[] = {
        {"Serializable=1", 200, body},
        {"Serializable=1", 200, LIST(ITEM("servers/b", "4"), "5")},
        {"after=5&WaitMs=1", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SOON_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
    g_free(body);
    g_free(text);
}
END_TEST

T_MAIN("mirror", an_old_first_list_is_not_used_before_it_is_confirmed,
       the_oldest_page_says_from_where_to_watch,
       a_list_without_history_behind_it_is_read_anew,
       changes_lost_with_the_history_are_found_again,
       lost_changes_are_known_in_time_though_copies_lag,
       a_list_of_the_store_ends_the_search_for_lost_changes,
       news_put_off_the_calls_of_a_vm_that_is_turned_away,
       a_call_after_a_failed_one_does_not_wait,
       an_answer_without_end_is_given_up)
