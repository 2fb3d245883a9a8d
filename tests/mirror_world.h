/*
 * mirror_world - a mirror against a scripted store on loopback.
 */
#ifndef MIMOSA_MIRROR_WORLD_H
#define MIMOSA_MIRROR_WORLD_H

#include "t.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "dlog.h"
#include "http_stub.h"
#include "mirror.h"
#include "pf.h"

#define RUN_US 6000000 /* ends a run whose mirror does not become ready */
#define SHORT_US 20000 /* after_us of tests of the start only */
#define ENDLESS_BYTES (12 * 1024 * 1024) /* kv reads at most 7 MB */
#define PROPAGATION_US 2000000 /* longest time for a change to arrive */
#define CALLS_MAX 40
#define NEWS_AFTER_CALLS 3
#define NEWS_US 50000 /* less than the pause between watches */
#define CONNS_MAX 8
#define DRIP_US 100000 /* between parts of an answer */

#define NO_ANSWER 0

typedef struct Answer {
    const char *call; /* pattern for the target of the request */
    int status;       /* NO_ANSWER: the call stays open */
    const char *body;
} Answer;

typedef struct Store {
    Evl *loop;
    Stub stub;
    const Answer *script; /* ends with a NULL call */
    unsigned used;        /* bit set of the answers that were sent */
    const Answer *cut;    /* the answer whose last bytes are not sent */
    size_t withheld;      /* those bytes */
    int64_t after_us;     /* how long to run after the mirror is ready */
    Mirror *mirror;
    EvlTimer gossip; /* armed at the first failed call if gossip_rev is set */
    uint64_t gossip_rev; /* the gossip continues from this revision; 0: none
                            is sent */
    int64_t gossip_age_us;
    int gossip_after_calls; /* the gossip follows a failed call after these */
    const char *news;  /* key that a message says is removed, sent after the
                          first call once the mirror is ready; NULL: none */
    int64_t gossip_us; /* when the gossip was received */
    char at_gossip[256];
    int n_calls_at_gossip; /* calls made when the gossip was received */
    char calls[CALLS_MAX][128];
    int n_calls;
    EvlTimer end;
    int64_t ask_after_us; /* mirror_ask_urgent() is called so long after the
                             mirror is ready; 0: never */
    EvlTimer ask;
    bool asked;       /* its result */
    GHashTable *keys; /* keys that the mirror holds */
    char at_ready[256];
    char at_end[256];
    int delay_at_call; /* this call, which may wait, is answered after the
                          wait; 0: none */
    EvlTimer delay;
    StubConn *delayed;
    const Answer *late;
    int stop_at_call; /* after the answer to this call the process gets no */
    int64_t stop_us;  /* processor time for stop_us; 0: never */
    int n_behind;     /* calls of MirrorFns.behind */
    int n_urgent;     /* calls of MirrorFns.urgent */
    int n_receiving;  /* calls of MirrorFns.receiving */
    /* "N:KEYS|" for each call of MirrorFns.current: the calls made by then and
     * the keys held. */
    char currents[1024];
    int64_t confirmed_us;       /* last argument of MirrorFns.confirmed */
    int64_t call_us[CALLS_MAX]; /* when each call arrived */
    int64_t confirmed_at_call_us[CALLS_MAX]; /* confirmed_us at that time */
    MirrorCounts counts;
    MirrorConfirmation confirmation;
    EvlTimer drip;     /* while the rest of the cut answer is sent */
    size_t drip_bytes; /* sent at a time; 0: the rest is not sent */
    StubConn *dripping;
    bool stalls; /* the process is taken for stalled while a part arrives */
    unsigned conns_max; /* 0: CONNS_MAX */
    int64_t announced_age_us;
    uint64_t announced_history;
    int n_announced;       /* messages to other VMs */
    char announced[256];   /* keys that were announced to other VMs */
    uint64_t announced_to; /* highest revision of these messages */
    char changes[512];     /* "KEY@REV " or "-KEY@REV " of each change */
    uint64_t news_history; /* of the store, named by the message of news */
    int n_histories;       /* calls of MirrorFns.history_begun */
    uint64_t news_from;    /* the message of news continues from it; 0: from
                              gossip_rev */
} Store;

/* A pattern that ends with "$" must match at the end of the call, others
 * anywhere. */
static bool
matches(const char *call, const char *pattern)
{
    size_t n = strlen(pattern);
    size_t len = strlen(call);

    if (pattern[n - 1] != '$') {
        return strstr(call, pattern) != NULL;
    }
    return len >= n - 1 && strncmp(call + len - (n - 1), pattern, n - 1) == 0;
}

/* Returns the index of the first call that matches the pattern; there must be
 * one. */
static inline int
first_call(const Store *s, const char *pattern)
{
    int i = 0;

    while (i < s->n_calls && !matches(s->calls[i], pattern)) {
        i++;
    }
    ck_assert_msg(i < s->n_calls, "not called: %s", pattern);
    return i;
}

/* Returns the first unused answer that matches the call, or NULL. */
static const Answer *
find_answer(Store *s, const char *call)
{
    for (int i = 0; s->script[i].call != NULL; i++) {
        if ((s->used & 1U << i) == 0 && matches(call, s->script[i].call)) {
            s->used |= 1U << i;
            return &s->script[i];
        }
    }
    return NULL;
}

static void on_news_timer(void *ctx, int64_t now_us);

static void
on_delay_end(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    stub_respond(s->delayed, s->late->status, s->late->body);
}

static void
on_drip(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    size_t n = MIN(s->drip_bytes, s->withheld);
    size_t len = strlen(s->cut->body);

    if (s->dripping->strm.open && n > 0) {
        strm_write(&s->dripping->strm, s->cut->body + len - s->withheld, n);
        s->withheld -= n;
        if (s->stalls) {
            mirror_revalidate(s->mirror);
        }
        evl_arm(s->loop, &s->drip, now_us + DRIP_US);
    }
}

static void
on_request(void *ctx, StubConn *c)
{
    Store *s = ctx;
    char *call = s->calls[s->n_calls];

    if (!stub_target_has(c, "/api/kv-range") &&
        !stub_target_has(c, "/api/kv-watch")) {
        return; /* lease calls are not answered */
    }
    ck_assert_int_lt(s->n_calls, CALLS_MAX);
    snprintf(call, sizeof(s->calls[0]), "%.*s", (int)c->req.target.n,
             c->req.target.p);
    s->confirmed_at_call_us[s->n_calls] = s->confirmed_us;
    s->call_us[s->n_calls++] = evl_boottime();
    const Answer *a = find_answer(s, call);
    if (s->news != NULL && s->n_calls == NEWS_AFTER_CALLS) {
        /* During the pause after this call. */
        s->gossip = (EvlTimer){.fn = on_news_timer, .ctx = s};
        evl_arm(s->loop, &s->gossip, evl_now(s->loop) + NEWS_US);
    }
    if (a != NULL && a->status == NO_ANSWER) {
        return;
    }
    if (a != NULL && s->n_calls == s->delay_at_call) {
        s->delayed = c;
        s->late = a;
        s->delay = (EvlTimer){.fn = on_delay_end, .ctx = s};
        evl_arm(s->loop, &s->delay,
                evl_now(s->loop) + PROPAGATION_US * 3 / 10);
    }
    else if (a != NULL) { /* other calls stay open, e.g. watches */
        stub_respond_part(c, a->status, a->body,
                          a == s->cut ? s->withheld : 0);
        if (a == s->cut && s->drip_bytes > 0) {
            s->dripping = c;
            s->drip = (EvlTimer){.fn = on_drip, .ctx = s};
            evl_arm(s->loop, &s->drip, evl_now(s->loop) + DRIP_US);
        }
    }
    if (s->n_calls == s->stop_at_call) {
        g_usleep((gulong)s->stop_us);
    }
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
on_item(void *ctx, const char *key, GBytes *value, uint64_t rev,
        int64_t now_us)
{
    Store *s = ctx;
    size_t n = strlen(s->changes);
    (void)now_us;

    g_snprintf(s->changes + n, sizeof(s->changes) - n,
               "%s%s@%" G_GUINT64_FORMAT " ", value == NULL ? "-" : "", key,
               rev);
    if (value == NULL) {
        g_hash_table_remove(s->keys, key);
        return;
    }
    g_hash_table_add(s->keys, g_strdup(key));
}

static void
write_keys(const Store *s, char *out, size_t cap)
{
    GList *sorted = g_hash_table_get_keys(s->keys);

    sorted = g_list_sort(sorted, (GCompareFunc)strcmp);
    for (GList *l = sorted; l != NULL; l = l->next) {
        g_strlcat(out, l->data, cap);
        g_strlcat(out, " ", cap);
    }
    g_list_free(sorted);
}

static void
on_ask(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    s->asked = mirror_ask_urgent(s->mirror);
}

static void
on_ready(void *ctx, int64_t now_us)
{
    Store *s = ctx;

    if (s->ask_after_us > 0) {
        s->ask = (EvlTimer){.fn = on_ask, .ctx = s};
        evl_arm(s->loop, &s->ask, now_us + s->ask_after_us);
    }

    write_keys(s, s->at_ready, sizeof(s->at_ready));
    evl_arm(s->loop, &s->end, evl_now(s->loop) + s->after_us);
}

static void
on_current(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    size_t n = strlen(s->currents);
    g_snprintf(s->currents + n, sizeof(s->currents) - n, "%d:", s->n_calls);
    write_keys(s, s->currents, sizeof(s->currents));
    g_strlcat(s->currents, "|", sizeof(s->currents));
}

static void
on_behind(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    s->n_behind++;
}

static void
on_receiving(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    s->n_receiving++;
}

static void
on_urgent(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    s->n_urgent++;
}

static void
on_news_timer(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    Gossip w = {.history = s->news_history,
                .from = s->news_from != 0 ? s->news_from : s->gossip_rev,
                .page = {.rev = s->gossip_rev}};
    KvItem removed = {
        .key = g_strdup(s->news), .rev = s->gossip_rev, .deleted = true};

    w.page.items = g_array_new(FALSE, TRUE, sizeof(KvItem));
    g_array_append_val(w.page.items, removed);
    mirror_receive(s->mirror, &w, now_us);
    kv_page_clear(&w.page);
    s->n_calls_at_gossip = s->n_calls;
    s->gossip_us = evl_boottime();
    write_keys(s, s->at_gossip, sizeof(s->at_gossip));
}

static void
on_gossip_timer(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    Gossip w = {.from = s->gossip_rev,
                .age_us = s->gossip_age_us,
                .page = {.rev = s->gossip_rev + 1}};

    w.page.items = g_array_new(FALSE, TRUE, sizeof(KvItem));
    mirror_receive(s->mirror, &w, now_us);
    kv_page_clear(&w.page);
    s->n_calls_at_gossip = s->n_calls;
}

static void
on_failed(void *ctx, int64_t now_us)
{
    Store *s = ctx;

    if (s->gossip_rev != 0 && s->news == NULL && s->n_calls_at_gossip == 0 &&
        s->n_calls > s->gossip_after_calls) {
        s->gossip = (EvlTimer){.fn = on_gossip_timer, .ctx = s};
        evl_arm(s->loop, &s->gossip, now_us + 1000);
    }
}

static void
on_confirmed(void *ctx, int64_t at_us)
{
    ((Store *)ctx)->confirmed_us = at_us;
}

static void
on_history_begun(void *ctx, int64_t now_us)
{
    (void)now_us;
    ((Store *)ctx)->n_histories++;
}

static void
on_announce(void *ctx, const GossipOut *o)
{
    Store *s = ctx;

    s->n_announced++;
    s->announced_history = o->history;
    s->announced_age_us = o->age_us;
    s->announced_to = MAX(s->announced_to, o->to);
    for (int i = 0; i < o->n; i++) {
        g_strlcat(s->announced, o->items[i]->key, sizeof(s->announced));
        g_strlcat(s->announced, " ", sizeof(s->announced));
    }
}

/* Runs a mirror against the script.  after_us: how long to run after the
 * mirror is ready. */
static void
run_store(Store *s, const Answer *script, int64_t after_us)
{
    DlogOpts lo = {STDERR_FILENO, 100, 65536};

    s->loop = evl_new();
    s->script = script;
    s->after_us = after_us;
    s->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    stub_open(&s->stub, s->loop, on_request, s);
    MirrorOpts o = {
        .loop = s->loop,
        .log = dlog_new(&lo),
        .codec = &pf_kv,
        .store = s->stub.at,
        .prefixes = pf_prefixes,
        .urgent = pf_operator_prefix,
        .rnd = g_rand_new_with_seed(1),
        .propagation_us = PROPAGATION_US,
        .fns = {.changed = on_item,
                .ready = on_ready,
                .current = on_current,
                .behind = on_behind,
                .receiving = on_receiving,
                .urgent = on_urgent,
                .failed = on_failed,
                .confirmed = on_confirmed,
                .history_begun = on_history_begun,
                .announce = on_announce},
        .ctx = s,
    };
    s->mirror = mirror_new(&o);
    s->end = (EvlTimer){.fn = on_end, .ctx = s->loop};
    evl_arm(s->loop, &s->end, evl_now(s->loop) + RUN_US);
    evl_run(s->loop);
    write_keys(s, s->at_end, sizeof(s->at_end));
    s->counts = mirror_counts(s->mirror);
    s->confirmation = mirror_confirmation(s->mirror);
    mirror_free(s->mirror);
    ck_assert_uint_le(s->stub.conns->len,
                      s->conns_max == 0 ? CONNS_MAX : s->conns_max);
    stub_close(&s->stub);
    g_hash_table_destroy(s->keys);
    g_rand_free(o.rnd);
    dlog_free(o.log);
    evl_free(s->loop);
    for (int i = 0; script[i].call != NULL; i++) {
        ck_assert_msg((s->used & 1U << i) != 0, "not called: %s",
                      script[i].call);
    }
}

/* The same with gossip; gossip_rev and gossip_age_us: see Store. */
static inline void
run_with_gossip(Store *s, const Answer *script, int64_t after_us,
                uint64_t gossip_rev, int64_t gossip_age_us)
{
    memset(s, 0, sizeof(*s));
    s->gossip_rev = gossip_rev;
    s->gossip_age_us = gossip_age_us;
    run_store(s, script, after_us);
}

/* The same with a message that says that the key was removed at revision rev,
 * and that revisions before it are missing. */
static inline void
run_with_news(Store *s, const Answer *script, int64_t after_us,
              const char *key, uint64_t rev)
{
    memset(s, 0, sizeof(*s));
    s->news = key;
    s->gossip_rev = rev;
    run_store(s, script, after_us);
}

/* The same with an answer of the script whose last bytes are not sent. */
static inline void
run_cut(Store *s, const Answer *script, int64_t after_us, const Answer *cut,
        size_t withheld)
{
    memset(s, 0, sizeof(*s));
    s->cut = cut;
    s->withheld = withheld;
    run_store(s, script, after_us);
}

/* The same with a process that gets no processor time for stop_us after the
 * answer to a call. */
static inline void
run_with_stop(Store *s, const Answer *script, int64_t after_us,
              int stop_at_call, int64_t stop_us)
{
    memset(s, 0, sizeof(*s));
    s->stop_at_call = stop_at_call;
    s->stop_us = stop_us;
    run_store(s, script, after_us);
}

static inline void
run(Store *s, const Answer *script, int64_t after_us)
{
    memset(s, 0, sizeof(*s));
    run_store(s, script, after_us);
}

#define ITEM(key, rev)                                                        \
    "{\"Key\":\"" key "\",\"Value\":\"eA==\",\"Rev\":" rev "}"

#define LIST(items, rev)                                                      \
    "{\"items\":[" items "],\"HasMore\":false,\"CurrentRev\":" rev "}"
#define EVENTS(items, rev) "{\"events\":[" items "],\"CurrentRev\":" rev "}"
#define REMOVED(key, rev)                                                     \
    "{\"Key\":\"" key "\",\"Rev\":" rev ",\"Deleted\":true}"
/* Start with the upstreams a and b, confirmed at revision 9. */
#define START_A_B                                                             \
    {"Serializable=1", 200,                                                   \
     LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "5")},           \
    {                                                                         \
        "after=4&WaitMs=1", 200, EVENTS(REMOVED("servers/z", "9"), "9")       \
    }
/* The same; the store then has dropped changes, and is at revision 20. */
#define START_WITH_GAP                                                        \
    START_A_B, {"after=9&", 410, "{}"},                                       \
    {                                                                         \
        "PathPrefix=op/", 200, LIST("", "20")                                 \
    }

#endif
