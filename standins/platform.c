/*
 * standin-platform - stand-in for the users' platform: its store, and targets
 * that run requests.
 *
 * The last part of a request's path chooses what a target does with it: ok,
 * cut, cutchunk, garble, extra, otherid, reset (before the run), lost (after
 * it), notrun, misdirected, slow, large.  Control calls on the store's port:
 *   PUT  /test/key?KEY     stores the body as the operator does
 *   PUT  /test/delete?KEY  removes a key
 *   PUT  /test/mode?MODE   ok, busy (503), refuse (429), silent, forget (410)
 *   GET  /test/runs?ID     how often the attempt with this id ran
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "caller.h"
#include "evl.h"
#include "pf.h"
#include "strm.h"

#define STANDIN_TARGETS 32
#define BEAT_US 500000
#define SLOW_US 1000000
#define LARGE_BYTES (700 * 1024)
#define HELD_BYTES (64 * 1024 * 1024)
#define RUN_SLOTS 4

typedef enum Mode {
    MODE_OK,
    MODE_BUSY,
    MODE_REFUSE,
    MODE_SILENT,
    MODE_FORGET
} Mode;

static const char *const mode_names[] = {"ok", "busy", "refuse", "silent",
                                         "forget"};

typedef struct Item {
    char *key;
    char *text; /* base64; NULL: removed */
    uint64_t rev;
    uint64_t lease;
} Item;

typedef struct Lease {
    uint64_t id;
    int64_t end_us;
    int64_t ttl_us;
} Lease;

typedef struct Watch {
    struct Platform *p;
    Caller *caller;
    char *prefix;
    uint64_t after;
    EvlTimer timer;
} Watch;

typedef struct Target {
    struct Platform *p;
    char id[NAME_BYTES];
    char service[NAME_BYTES];
    char zone[NAME_BYTES];
    struct sockaddr_in at;
    struct sockaddr_in told; /* the address that it registers */
    int seq;
    CallerSet *callers;
} Target;

typedef struct Late {
    Target *t;
    Caller *caller;
    char *id;
    EvlTimer timer;
} Late;

typedef struct Platform {
    Evl *loop;
    Mode mode;
    uint64_t rev;
    uint64_t next_lease;
    GPtrArray *items; /* the newest of each key, removed ones included */
    GArray *leases;   /* Lease */
    GPtrArray *watches;
    GHashTable *runs; /* attempt id -> count */
    Target targets[STANDIN_TARGETS];
    int n_targets;
    CallerSet *callers;
    EvlTimer beat;
} Platform;

static void
item_free(gpointer data)
{
    Item *i = data;

    g_free(i->key);
    g_free(i->text);
    g_free(i);
}

static void
answer(Caller *c, int status, const char *body)
{
    char head[96];

    snprintf(head, sizeof(head),
             "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n",
             status);
    caller_answer(c, str_of(head), body, strlen(body));
}

/* Value of a name in the query, decoded; release with g_free(). */
static char *
query(Str target, const char *name)
{
    char *t = g_strndup(target.p, target.n);
    char *q = strchr(t, '?');
    char *out = NULL;
    char **parts = g_strsplit(q == NULL ? "" : q + 1, "&", 0);

    for (int i = 0; parts[i] != NULL; i++) {
        size_t n = strlen(name);
        if (strncmp(parts[i], name, n) == 0 && parts[i][n] == '=') {
            out = g_uri_unescape_string(parts[i] + n + 1, NULL);
        }
    }
    g_strfreev(parts);
    g_free(t);
    return out;
}

static void
add_item(GString *g, const Item *it)
{
    g_string_append_printf(g, "%s{\"Key\":\"%s\",\"Rev\":%" G_GUINT64_FORMAT,
                           g->str[g->len - 1] == '[' ? "" : ",", it->key,
                           it->rev);
    if (it->text == NULL) {
        g_string_append(g, ",\"Deleted\":true}");
    }
    else {
        g_string_append_printf(g, ",\"Value\":\"%s\"}", it->text);
    }
}

/* Answers a watch when there is something to tell, or always when last. */
static bool
answer_watch(Watch *w, bool last)
{
    Platform *p = w->p;
    GString *g = g_string_new("{\"events\":[");
    size_t empty = g->len;

    for (guint i = 0; i < p->items->len; i++) {
        const Item *it = g_ptr_array_index(p->items, i);
        if (it->rev > w->after && g_str_has_prefix(it->key, w->prefix)) {
            add_item(g, it);
        }
    }
    bool done = last || g->len > empty;
    if (done) {
        g_string_append_printf(g, "],\"CurrentRev\":%" G_GUINT64_FORMAT "}",
                               p->rev);
        caller_set_user(w->caller, NULL);
        answer(w->caller, 200, g->str);
    }
    g_string_free(g, TRUE);
    return done;
}

static void
watch_free(Watch *w)
{
    evl_disarm(w->p->loop, &w->timer);
    g_ptr_array_remove_fast(w->p->watches, w);
    g_free(w->prefix);
    g_free(w);
}

static void
on_watch_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    answer_watch(ctx, true);
    watch_free(ctx);
}

static void
changed(Platform *p)
{
    for (guint i = p->watches->len; i-- > 0;) {
        Watch *w = g_ptr_array_index(p->watches, i);
        if (answer_watch(w, false)) {
            watch_free(w);
        }
    }
}

/* text NULL: removes. */
static void
put(Platform *p, const char *key, const char *text, uint64_t lease)
{
    Item *it = NULL;

    for (guint i = 0; i < p->items->len; i++) {
        Item *x = g_ptr_array_index(p->items, i);
        if (strcmp(x->key, key) == 0) {
            it = x;
        }
    }
    if (it == NULL) {
        it = g_new0(Item, 1);
        it->key = g_strdup(key);
        g_ptr_array_add(p->items, it);
    }
    g_free(it->text);
    it->text = g_strdup(text);
    it->rev = ++p->rev;
    it->lease = lease;
    changed(p);
}

static void
put_bytes(Platform *p, const char *key, const void *data, size_t n)
{
    char *text = g_base64_encode(data, n);

    put(p, key, text, 0);
    g_free(text);
}

static void
end_leases(Platform *p, int64_t now_us)
{
    for (guint i = p->leases->len; i-- > 0;) {
        Lease l = g_array_index(p->leases, Lease, i);
        if (now_us < l.end_us) {
            continue;
        }
        g_array_remove_index_fast(p->leases, i);
        for (guint k = 0; k < p->items->len; k++) {
            Item *it = g_ptr_array_index(p->items, k);
            if (it->lease == l.id && it->text != NULL) {
                put(p, it->key, NULL, 0);
            }
        }
    }
}

static Lease *
find_lease(Platform *p, uint64_t id)
{
    for (guint i = 0; i < p->leases->len; i++) {
        Lease *l = &g_array_index(p->leases, Lease, i);
        if (l->id == id) {
            return l;
        }
    }
    return NULL;
}

static void
on_range(Platform *p, Caller *c, Str target)
{
    char *prefix = query(target, "PathPrefix");
    GString *g = g_string_new("{\"items\":[");

    for (guint i = 0; i < p->items->len; i++) {
        const Item *it = g_ptr_array_index(p->items, i);
        if (it->text != NULL && prefix != NULL &&
            g_str_has_prefix(it->key, prefix)) {
            add_item(g, it);
        }
    }
    g_string_append_printf(
        g, "],\"HasMore\":false,\"CurrentRev\":%" G_GUINT64_FORMAT "}",
        MAX(p->rev, 1));
    answer(c, 200, g->str);
    g_string_free(g, TRUE);
    g_free(prefix);
}

static void
on_watch(Platform *p, Caller *c, Str target, int64_t now_us)
{
    char *after = query(target, "after");
    char *wait = query(target, "WaitMs");
    Watch *w = g_new0(Watch, 1);

    w->p = p;
    w->caller = c;
    w->prefix = query(target, "PathPrefix");
    w->after = after == NULL ? 0 : g_ascii_strtoull(after, NULL, 10);
    w->timer = (EvlTimer){.fn = on_watch_end, .ctx = w};
    g_ptr_array_add(p->watches, w);
    if (p->mode == MODE_FORGET) {
        p->mode = MODE_OK;
        watch_free(w);
        answer(c, 410, "{}");
    }
    else if (answer_watch(w, false)) {
        watch_free(w);
    }
    else {
        caller_set_user(c, w);
        evl_arm(p->loop, &w->timer,
                now_us + 1000 * atoll(wait == NULL ? "0" : wait));
    }
    g_free(after);
    g_free(wait);
}

static void
on_lease(Platform *p, Caller *c, const H1 *req, int64_t now_us)
{
    KvLease l = {0, 0};
    char body[96];
    char *text = g_strndup((const char *)req->body->data, req->body->len);
    char *ttl = strstr(text, "\":\"");

    l.ttl_us = ttl == NULL ? 0 : atoll(ttl + 3) * 1000;
    Lease x = {++p->next_lease, now_us + l.ttl_us, l.ttl_us};
    g_array_append_val(p->leases, x);
    snprintf(body, sizeof(body),
             "{\"Lease\":%" G_GUINT64_FORMAT ",\"Ttl_time\":\"%lldms\"}", x.id,
             (long long)(x.ttl_us / 1000));
    answer(c, 200, body);
    g_free(text);
}

/* Field of the one put that the product sends. */
static char *
field(const char *text, const char *name)
{
    char *at = strstr(text, name);

    if (at == NULL) {
        return NULL;
    }
    at += strlen(name);
    return g_strndup(at, strcspn(at, "\",}"));
}

static void
on_txn(Platform *p, Caller *c, const H1 *req)
{
    char *text = g_strndup((const char *)req->body->data, req->body->len);
    char *key = field(text, "\"Key\":\"");
    char *value = field(text, "\"Value\":\"");
    char *lease = field(text, "\"Lease\":");
    uint64_t id = lease == NULL ? 0 : g_ascii_strtoull(lease, NULL, 10);

    if (id != 0 && find_lease(p, id) == NULL) {
        answer(c, 404, "{}");
    }
    else if (key == NULL || value == NULL) {
        answer(c, 400, "{}");
    }
    else {
        put(p, key, value, id);
        answer(c, 200, "{\"Rev\":1}");
    }
    g_free(text);
    g_free(key);
    g_free(value);
    g_free(lease);
}

static void
on_lease_call(Platform *p, Caller *c, const char *id, bool end, int64_t now_us)
{
    Lease *l = find_lease(p, g_ascii_strtoull(id, NULL, 10));

    if (l == NULL) {
        answer(c, 404, "{}");
        return;
    }
    l->end_us = end ? 0 : now_us + l->ttl_us;
    end_leases(p, now_us);
    answer(c, 200, "{}");
}

static void
on_test(Platform *p, Caller *c, const char *path, const H1 *req)
{
    const char *q = strchr(path, '?');
    char out[32];

    q = q == NULL ? "" : q + 1;
    if (g_str_has_prefix(path, "/test/key?")) {
        put_bytes(p, q, req->body->data, req->body->len);
    }
    else if (g_str_has_prefix(path, "/test/delete?")) {
        put(p, q, NULL, 0);
    }
    else if (g_str_has_prefix(path, "/test/mode?")) {
        for (int i = 0; i < (int)G_N_ELEMENTS(mode_names); i++) {
            if (strcmp(q, mode_names[i]) == 0) {
                p->mode = (Mode)i;
            }
        }
    }
    else if (g_str_has_prefix(path, "/test/runs?")) {
        snprintf(out, sizeof(out), "%d\n",
                 GPOINTER_TO_INT(g_hash_table_lookup(p->runs, q)));
        answer(c, 200, out);
        return;
    }
    answer(c, 200, "{}");
}

static void
on_store(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Platform *p = ctx;
    char *path = g_strndup(req->target.p, req->target.n);

    if (g_str_has_prefix(path, "/test/")) {
        on_test(p, c, path, req);
    }
    else if (p->mode == MODE_BUSY || p->mode == MODE_REFUSE) {
        answer(c, p->mode == MODE_BUSY ? 503 : 429, "{}");
    }
    else if (p->mode == MODE_SILENT) {
        caller_set_user(c, NULL);
    }
    else if (g_str_has_prefix(path, "/api/kv-range")) {
        on_range(p, c, req->target);
    }
    else if (g_str_has_prefix(path, "/api/kv-watch")) {
        on_watch(p, c, req->target, now_us);
    }
    else if (strcmp(path, "/api/kv-lease") == 0) {
        on_lease(p, c, req, now_us);
    }
    else if (strcmp(path, "/api/kv-txn") == 0) {
        on_txn(p, c, req);
    }
    else if (g_str_has_prefix(path, "/api/kv-keep/")) {
        on_lease_call(p, c, path + strlen("/api/kv-keep/"), false, now_us);
    }
    else if (g_str_has_prefix(path, "/api/kv-lease-end/")) {
        on_lease_call(p, c, path + strlen("/api/kv-lease-end/"), true, now_us);
    }
    else {
        answer(c, 404, "{}");
    }
    g_free(path);
}

static void
on_watcher_left(void *ctx, void *user, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
    watch_free(user);
}

static void
ran(Platform *p, const char *id)
{
    int n = GPOINTER_TO_INT(g_hash_table_lookup(p->runs, id));

    g_hash_table_replace(p->runs, g_strdup(id), GINT_TO_POINTER(n + 1));
}

static char *
answer_head(const char *id, int status, const char *extra)
{
    return g_strdup_printf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: 1,0,%d\r\n%s",
                           status, pf_names.attempt, id, pf_names.load,
                           RUN_SLOTS, extra);
}

static char *
sealed_head(const char *id)
{
    char *seal = g_strdup_printf("%s: seal-%s\r\n", pf_names.seal, id);
    char *head = answer_head(id, 200, seal);

    g_free(seal);
    return head;
}

static void
answer_run(Platform *p, Caller *c, const char *id)
{
    char *head = sealed_head(id);
    char *body = g_strdup_printf("done %s\n", id);

    ran(p, id);
    caller_answer(c, str_of(head), body, strlen(body));
    g_free(head);
    g_free(body);
}

/* A whole answer with other bytes before or behind it. */
static void
answer_twice(Platform *p, Caller *c, const char *id, bool other_first)
{
    char *head = sealed_head(other_first ? "0000" : id);
    char *next = sealed_head(other_first ? id : "0000");
    char *more = g_strdup_printf("abc%sContent-Length: 3\r\n\r\ndef", next);

    ran(p, id);
    caller_begin(c, str_of(head), 3);
    caller_more(c, more, strlen(more));
    caller_end(c);
    g_free(head);
    g_free(next);
    g_free(more);
}

static void
answer_part(Platform *p, Caller *c, const char *id, int64_t length)
{
    char *head = sealed_head(id);

    ran(p, id);
    caller_begin(c, str_of(head), length);
    caller_more(c, "part", 4);
    caller_cut(c);
    g_free(head);
}

static void
answer_large(Platform *p, Caller *c, const char *id)
{
    char *head = sealed_head(id);
    char *body = g_malloc0(LARGE_BYTES);

    memset(body, 'x', LARGE_BYTES);
    ran(p, id);
    caller_begin(c, str_of(head), -1);
    caller_more(c, body, LARGE_BYTES);
    caller_end(c);
    g_free(body);
    g_free(head);
}

static void
on_late(void *ctx, int64_t now_us)
{
    Late *l = ctx;
    (void)now_us;

    caller_set_user(l->caller, NULL);
    answer_run(l->t->p, l->caller, l->id);
    g_free(l->id);
    g_free(l);
}

static void
on_late_left(void *ctx, void *user, int64_t now_us)
{
    Target *t = ctx;
    Late *l = user;
    (void)now_us;

    evl_disarm(t->p->loop, &l->timer);
    g_free(l->id);
    g_free(l);
}

static void
answer_late(Target *t, Caller *c, const char *id, int64_t now_us)
{
    Late *l = g_new0(Late, 1);

    *l = (Late){t, c, g_strdup(id), {.fn = on_late, .ctx = l}};
    caller_set_user(c, l);
    evl_arm(t->p->loop, &l->timer, now_us + SLOW_US);
}

static void
say_not_run(Caller *c, const char *id, int status)
{
    char *extra = g_strdup_printf("%s: 1\r\n", pf_names.not_run);
    char *head = answer_head(id, status, extra);

    caller_answer(c, str_of(head), "", 0);
    g_free(head);
    g_free(extra);
}

static void
run_fault(Target *t, Caller *c, const char *what, const char *id,
          int64_t now_us)
{
    Platform *p = t->p;

    if (strcmp(what, "cut") == 0 || strcmp(what, "cutchunk") == 0) {
        answer_part(p, c, id, what[3] == '\0' ? 100 : -1);
    }
    else if (strcmp(what, "garble") == 0) {
        caller_begin(c, str_of("these bytes are no answer\r\n"), 0);
        caller_cut(c);
    }
    else if (strcmp(what, "extra") == 0 || strcmp(what, "otherid") == 0) {
        answer_twice(p, c, id, what[0] == 'o');
    }
    else if (strcmp(what, "reset") == 0) {
        caller_cut(c);
    }
    else if (strcmp(what, "lost") == 0) {
        ran(p, id);
        caller_cut(c);
    }
    else if (strcmp(what, "notrun") == 0) {
        say_not_run(c, id, 503);
    }
    else if (strcmp(what, "misdirected") == 0) {
        say_not_run(c, id, 421);
    }
    else if (strcmp(what, "slow") == 0) {
        answer_late(t, c, id, now_us);
    }
    else if (strcmp(what, "large") == 0) {
        answer_large(p, c, id);
    }
    else {
        answer_run(p, c, id);
    }
}

static void
on_target(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Target *t = ctx;
    Str id = h1_get(req, pf_names.attempt);
    char *z = g_strndup(id.p, id.n);
    char *path = g_strndup(req->target.p, req->target.n);

    if (!str_eqz(h1_get(req, pf_names.want_upstream), t->id)) {
        say_not_run(c, z, 421);
    }
    else {
        run_fault(t, c, strrchr(path, '/') + 1, z, now_us);
    }
    g_free(z);
    g_free(path);
}

static void
on_refused(void *ctx, int status, const Err *e)
{
    (void)ctx;
    fprintf(stderr, "standin-platform: %d %s\n", status, e->text);
}

static void
on_beat(void *ctx, int64_t now_us)
{
    Platform *p = ctx;

    end_leases(p, now_us);
    for (int i = 0; i < p->n_targets; i++) {
        Target *t = &p->targets[i];
        char *key = g_strdup_printf("servers/%s", t->id);
        char *text = g_strdup_printf(
            "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
            "\"Slots\":%d,\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":%d,"
            "\"born\":1}",
            t->service, ntohs(t->told.sin_port), t->zone, RUN_SLOTS, ++t->seq);
        put_bytes(p, key, text, strlen(text));
        g_free(key);
        g_free(text);
    }
    evl_arm(p->loop, &p->beat, now_us + BEAT_US);
}

static CallerSet *
serve(Platform *p, const struct sockaddr_in *at, const CallerFns *fns,
      void *ctx)
{
    Err e = {0};
    CallerOpts o = {.loop = p->loop,
                    .at = *at,
                    .max_callers = 1000,
                    .max_held_bytes = HELD_BYTES,
                    .limits = {65536, HELD_BYTES, 30000000, 30000000},
                    .fns = *fns,
                    .ctx = ctx};
    CallerSet *s = callers_new(&o, &e);

    if (s == NULL) {
        fprintf(stderr, "standin-platform: %s\n", e.text);
        exit(1);
    }
    return s;
}

/* Reads "ID,IP:PORT,SERVICE,ZONE", and behind it ",IP:PORT" of a proxy. */
static bool
add_target(Platform *p, const char *text)
{
    Target *t = &p->targets[p->n_targets];
    char **f = g_strsplit(text, ",", 0);
    guint n = g_strv_length(f);
    bool ok = p->n_targets < STANDIN_TARGETS && (n == 4 || n == 5) &&
              str_copy(t->id, sizeof(t->id), str_of(f[0])) &&
              strm_addr(str_of(f[1]), &t->at) &&
              strm_addr(str_of(f[n == 5 ? 4 : 1]), &t->told) &&
              str_copy(t->service, sizeof(t->service), str_of(f[2])) &&
              str_copy(t->zone, sizeof(t->zone), str_of(f[3]));

    t->p = p;
    p->n_targets += ok ? 1 : 0;
    g_strfreev(f);
    return ok;
}

static int
usage(void)
{
    fputs("usage: standin-platform --store IP:PORT "
          "[--target ID,IP:PORT,SERVICE,ZONE[,PROXY]]...\n",
          stderr);
    return 2;
}

static void
start(Platform *p, const struct sockaddr_in *store)
{
    static const CallerFns store_fns = {on_store, on_watcher_left, NULL,
                                        on_refused};
    static const CallerFns target_fns = {on_target, on_late_left, NULL,
                                         on_refused};

    p->items = g_ptr_array_new_with_free_func(item_free);
    p->leases = g_array_new(FALSE, TRUE, sizeof(Lease));
    p->watches = g_ptr_array_new();
    p->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->callers = serve(p, store, &store_fns, p);
    for (int i = 0; i < p->n_targets; i++) {
        p->targets[i].callers =
            serve(p, &p->targets[i].at, &target_fns, &p->targets[i]);
    }
    p->beat = (EvlTimer){.fn = on_beat, .ctx = p};
    evl_arm(p->loop, &p->beat, evl_now(p->loop));
}

int
main(int argc, char **argv)
{
    static const struct option opts[] = {
        {"store", required_argument, NULL, 's'},
        {"target", required_argument, NULL, 't'},
        {NULL, 0, NULL, 0},
    };
    static Platform p;
    struct sockaddr_in store = {0};
    int c;

    signal(SIGPIPE, SIG_IGN);
    while ((c = getopt_long(argc, argv, "", opts, NULL)) != -1) {
        bool ok = c == 's' ? strm_addr(str_of(optarg), &store)
                           : c == 't' && add_target(&p, optarg);
        if (!ok) {
            return usage();
        }
    }
    if (store.sin_port == 0) {
        return usage();
    }
    p.loop = evl_new();
    start(&p, &store);
    evl_run(p.loop);
    return 0;
}
