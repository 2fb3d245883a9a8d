/*
 * copies_world - several VMs, each with a mirror and a view, against one store
 * whose keys change in a seeded order; gossip between the VMs is lost, late
 * and out of order.
 */
#ifndef MIMOSA_COPIES_WORLD_H
#define MIMOSA_COPIES_WORLD_H

#include "t.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "dlog.h"
#include "http_stub.h"
#include "mirror.h"
#include "pf.h"
#include "view.h"

#define VMS 4
#define TARGETS 6
#define PROPAGATION_US 300000
#define PAGE_ITEMS 3
#define WATCH_ITEMS 4
#define STALE_REVS 4          /* a copy of the store lags by less */
#define GOSSIP_DELAY_US 30000 /* gossip takes less */
#define GOSSIP_LOSS 0.1       /* share of datagrams */

/* One change of the store. */
typedef struct Change {
    uint64_t rev;
    char *key;
    char *value; /* NULL: removed */
} Change;

typedef struct Record {
    uint64_t put_rev; /* revision of the last value */
    bool removed;
} Record;

typedef struct CopyVm {
    struct Copies *w;
    Mirror *mirror;
    View *view;
    UpsSet *upstreams;
    Vml *vms;
    UconnPool *pool;
    GHashTable *records; /* key -> Record */
    int n_regressed;     /* values that returned to an earlier revision */
} CopyVm;

/* A watch that waits for an event. */
typedef struct Waiting {
    struct Copies *w;
    StubConn *conn;
    uint64_t after;
    EvlTimer timer;
} Waiting;

typedef struct Copies {
    Evl *loop;
    Stub stub;
    GRand *rnd;
    Dlog *log;
    Topology topology;
    GArray *changes;      /* Change */
    uint64_t forgotten;   /* history up to this revision is gone */
    GPtrArray *waiting;   /* Waiting */
    GPtrArray *in_flight; /* Datagram */
    CopyVm vms[VMS];
    uint64_t boot_ms[TARGETS];
} Copies;

/* A gossip datagram on its way. */
typedef struct Datagram {
    CopyVm *to;
    EvlTimer timer;
    size_t n;
    char bytes[GOSSIP_BYTES_MAX];
} Datagram;

static uint64_t
store_rev(const Copies *w)
{
    return w->changes->len;
}

/* Returns the last change of a key up to a revision, or NULL. */
static const Change *
last_change(const Copies *w, const char *key, uint64_t upto)
{
    for (uint64_t i = upto; i > 0; i--) {
        const Change *c = &g_array_index(w->changes, Change, i - 1);
        if (strcmp(c->key, key) == 0) {
            return c;
        }
    }
    return NULL;
}

static void
write_item(GString *out, const Change *c)
{
    g_string_append(out, out->str[out->len - 1] == '[' ? "" : ",");
    if (c->value == NULL) {
        g_string_append_printf(out,
                               "{\"Key\":\"%s\",\"Rev\":%" G_GUINT64_FORMAT
                               ",\"Deleted\":true}",
                               c->key, c->rev);
        return;
    }
    char *base64 = g_base64_encode((guchar *)c->value, strlen(c->value));
    g_string_append_printf(
        out, "{\"Key\":\"%s\",\"Value\":\"%s\",\"Rev\":%" G_GUINT64_FORMAT "}",
        c->key, base64, c->rev);
    g_free(base64);
}

/* Returns the value of a query's parameter; release with g_free(). */
static char *
query_value(const StubConn *c, const char *name)
{
    char *target = g_strndup(c->req.target.p, c->req.target.n);
    char *text = g_strdup_printf("%s=", name);
    char *at = strstr(target, text);
    char *out = NULL;

    if (at != NULL) {
        at += strlen(text);
        out = g_uri_unescape_segment(at, at + strcspn(at, "&"), NULL);
    }
    g_free(target);
    g_free(text);
    return out;
}

static GList *
keys_with(const Copies *w, const char *prefix)
{
    GHashTable *keys = g_hash_table_new(g_str_hash, g_str_equal);

    for (guint i = 0; i < w->changes->len; i++) {
        char *key = g_array_index(w->changes, Change, i).key;
        if (g_str_has_prefix(key, prefix)) {
            g_hash_table_add(keys, key);
        }
    }
    GList *sorted = g_hash_table_get_keys(keys);
    g_hash_table_destroy(keys);
    return g_list_sort(sorted, (GCompareFunc)strcmp);
}

static void
respond_list(Copies *w, StubConn *conn)
{
    char *prefix = query_value(conn, "PathPrefix");
    char *after = query_value(conn, "after");
    GString *out = g_string_new("{\"items\":[");
    uint64_t rev = store_rev(w);
    int n = 0;
    bool more = false;

    if (stub_target_has(conn, "Serializable=1")) {
        rev -= MIN(rev, (uint64_t)g_rand_int_range(w->rnd, 0, STALE_REVS));
    }
    GList *keys = keys_with(w, prefix);
    for (GList *l = keys; l != NULL && !more; l = l->next) {
        const Change *c = last_change(w, l->data, rev);
        if (c == NULL || c->value == NULL ||
            (after != NULL && strcmp(c->key, after) <= 0)) {
            continue;
        }
        more = n == PAGE_ITEMS;
        if (!more) {
            write_item(out, c);
            n++;
        }
    }
    g_string_append_printf(
        out, "],\"HasMore\":%s,\"CurrentRev\":%" G_GUINT64_FORMAT "}",
        more ? "true" : "false", rev);
    stub_respond(conn, 200, out->str);
    g_string_free(out, TRUE);
    g_list_free(keys);
    g_free(prefix);
    g_free(after);
}

static void
respond_watch(const Copies *w, StubConn *conn, uint64_t after)
{
    GString *out = g_string_new("{\"events\":[");
    uint64_t rev = MIN(after + WATCH_ITEMS, store_rev(w));

    for (uint64_t i = after; i < rev; i++) {
        write_item(out, &g_array_index(w->changes, Change, i));
    }
    g_string_append_printf(out, "],\"CurrentRev\":%" G_GUINT64_FORMAT "}",
                           MAX(rev, after));
    stub_respond(conn, 200, out->str);
    g_string_free(out, TRUE);
}

static void
end_watch(void *ctx, int64_t now_us)
{
    Waiting *x = ctx;
    (void)now_us;

    respond_watch(x->w, x->conn, x->after);
    evl_disarm(x->w->loop, &x->timer);
    g_ptr_array_remove_fast(x->w->waiting, x);
    g_free(x);
}

static void
on_watch_call(Copies *w, StubConn *conn)
{
    char *after_text = query_value(conn, "after");
    char *wait_text = query_value(conn, "WaitMs");
    uint64_t after = g_ascii_strtoull(after_text, NULL, 10);
    int64_t wait_ms = g_ascii_strtoll(wait_text, NULL, 10);

    if (after < w->forgotten) {
        stub_respond(conn, 410, "{}");
    }
    else if (after < store_rev(w)) {
        respond_watch(w, conn, after);
    }
    else {
        Waiting *x = g_new0(Waiting, 1);
        *x = (Waiting){w, conn, after, {.fn = end_watch, .ctx = x}};
        g_ptr_array_add(w->waiting, x);
        evl_arm(w->loop, &x->timer, evl_now(w->loop) + wait_ms * 1000);
    }
    g_free(after_text);
    g_free(wait_text);
}

static void
on_call(void *ctx, StubConn *conn)
{
    if (stub_target_has(conn, "/api/kv-range")) {
        respond_list(ctx, conn);
    }
    else if (stub_target_has(conn, "/api/kv-watch")) {
        on_watch_call(ctx, conn);
    }
}

/* Changes a key; value is NULL to remove it. */
static void
store_change(Copies *w, const char *key, const char *value)
{
    Change c = {store_rev(w) + 1, g_strdup(key), g_strdup(value)};

    g_array_append_val(w->changes, c);
    while (w->waiting->len > 0) {
        end_watch(g_ptr_array_index(w->waiting, 0), 0);
    }
}

static void
on_copy_item(void *ctx, const char *key, GBytes *value, uint64_t rev,
             int64_t now_us)
{
    CopyVm *vm = ctx;
    Record *r = g_hash_table_lookup(vm->records, key);

    if (r == NULL) {
        r = g_new0(Record, 1);
        g_hash_table_insert(vm->records, g_strdup(key), r);
    }
    r->removed = value == NULL;
    if (value != NULL) {
        vm->n_regressed += rev < r->put_rev ? 1 : 0;
        r->put_rev = rev;
    }
    view_apply(vm->view, key, value, rev, now_us);
}

static void
ignore(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
}

static void
on_datagram(void *ctx, int64_t now_us)
{
    Datagram *d = ctx;
    Gossip msg;

    ck_assert(gossip_decode(&msg, d->bytes, d->n, NULL));
    mirror_receive(d->to->mirror, &msg, now_us);
    kv_page_clear(&msg.page);
    g_ptr_array_remove_fast(d->to->w->in_flight, d);
    g_free(d);
}

static void
on_copy_announce(void *ctx, const GossipOut *o)
{
    CopyVm *from = ctx;
    Copies *w = from->w;

    for (int i = 0; i < VMS; i++) {
        if (&w->vms[i] == from || g_rand_double(w->rnd) < GOSSIP_LOSS) {
            continue;
        }
        Datagram *d = g_new0(Datagram, 1);
        d->to = &w->vms[i];
        d->n = gossip_encode(o, d->bytes, sizeof(d->bytes));
        d->timer = (EvlTimer){.fn = on_datagram, .ctx = d};
        g_ptr_array_add(w->in_flight, d);
        evl_arm(w->loop, &d->timer,
                evl_now(w->loop) +
                    g_rand_int_range(w->rnd, 0, GOSSIP_DELAY_US));
    }
}

static void
ignore_routes(void *ctx, RtTable *t)
{
    (void)ctx;
    (void)t;
}

static void
ignore_vms(void *ctx)
{
    (void)ctx;
}

static void
vm_init(Copies *w, CopyVm *vm)
{
    vm->w = w;
    vm->upstreams = ups_new(&w->topology, 0);
    vm->vms = vml_new(&w->topology);
    vm->pool = uconns_new(w->loop);
    vm->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ViewOpts vo = {.log = w->log,
                   .topology = &w->topology,
                   .upstreams = vm->upstreams,
                   .pool = vm->pool,
                   .vms = vm->vms,
                   .fns = {ignore_routes, ignore_vms},
                   .ctx = vm};
    vm->view = view_new(&vo);
    MirrorOpts mo = {.loop = w->loop,
                     .log = w->log,
                     .codec = &pf_kv,
                     .store = w->stub.at,
                     .prefixes = pf_prefixes,
                     .urgent = pf_operator_prefix,
                     .rnd = w->rnd,
                     .propagation_us = PROPAGATION_US,
                     .fns = {.changed = on_copy_item,
                             .ready = ignore,
                             .current = ignore,
                             .behind = ignore,
                             .failed = ignore,
                             .announce = on_copy_announce},
                     .ctx = vm};
    vm->mirror = mirror_new(&mo);
}

static void
copies_init(Copies *w, uint32_t seed)
{
    DlogOpts lo = {STDERR_FILENO, 0, 65536};

    memset(w, 0, sizeof(*w));
    w->loop = evl_new();
    w->log = dlog_new(&lo);
    w->rnd = g_rand_new_with_seed(seed);
    w->changes = g_array_new(FALSE, TRUE, sizeof(Change));
    w->waiting = g_ptr_array_new();
    w->in_flight = g_ptr_array_new();
    topology_add(&w->topology, str_of("a"), str_of("r"));
    topology_add(&w->topology, str_of("b"), str_of("r"));
    stub_open(&w->stub, w->loop, on_call, w);
    for (int i = 0; i < VMS; i++) {
        vm_init(w, &w->vms[i]);
    }
}

static void
copies_free(Copies *w)
{
    for (int i = 0; i < VMS; i++) {
        CopyVm *vm = &w->vms[i];
        mirror_free(vm->mirror);
        view_free(vm->view);
        uconns_free(vm->pool);
        vml_free(vm->vms);
        ups_free(vm->upstreams);
        g_hash_table_destroy(vm->records);
    }
    while (w->waiting->len > 0) {
        Waiting *x = g_ptr_array_remove_index_fast(w->waiting, 0);
        evl_disarm(w->loop, &x->timer);
        g_free(x);
    }
    while (w->in_flight->len > 0) {
        Datagram *d = g_ptr_array_remove_index_fast(w->in_flight, 0);
        evl_disarm(w->loop, &d->timer);
        g_free(d);
    }
    g_ptr_array_free(w->waiting, TRUE);
    g_ptr_array_free(w->in_flight, TRUE);
    stub_close(&w->stub);
    for (guint i = 0; i < w->changes->len; i++) {
        g_free(g_array_index(w->changes, Change, i).key);
        g_free(g_array_index(w->changes, Change, i).value);
    }
    g_array_free(w->changes, TRUE);
    g_rand_free(w->rnd);
    dlog_free(w->log);
    evl_free(w->loop);
}

#endif
