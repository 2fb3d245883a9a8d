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
#define INBOX_BYTES (256 * 1024)
#define INBOX_PER_TURN 64 /* as peer reads */
#define GOSSIP_LOSS 0.1   /* share of datagrams */

struct CopyVm;

/* What a world plays.  copies_init() sets it to the values above; change it
 * before copies_start(). */
typedef struct CopiesOpts {
    int page_items;
    int watch_items;
    int stale_revs;
    int64_t gossip_delay_us;
    double gossip_loss;
    bool whole_gossip; /* messages of any size arrive, as from fragments */
    bool own_loops; /* each VM has a loop, which the test runs; datagrams wait
                       in a socket of the VM */
    /* Called before a call is answered; returns true to answer it otherwise or
     * not at all.  May be NULL. */
    bool (*fault)(struct CopyVm *vm, StubConn *conn);
    /* MirrorFns.confirmed; may be NULL. */
    void (*confirmed)(struct CopyVm *vm, int64_t at_us);
    void *ctx;
} CopiesOpts;

/* One change of the store. */
typedef struct Change {
    uint64_t rev;
    int64_t at_us; /* acknowledged; boot time */
    char *key;
    char *value; /* NULL: removed */
} Change;

typedef struct Record {
    uint64_t put_rev; /* revision of the last value */
    bool removed;
} Record;

typedef struct CopyVm {
    struct Copies *w;
    Evl *loop;
    Stub stub;     /* the store, as this VM reaches it */
    EvlFd inbox;   /* datagrams, if the VM has a loop of its own */
    int outbox_fd; /* other end of the inbox */
    int64_t answer_delay_us;
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
    CopyVm *vm;
    StubConn *conn;
    uint64_t after;
    EvlTimer timer;
} Waiting;

/* An answer that is sent late. */
typedef struct Delayed {
    struct Copies *w;
    StubConn *conn;
    int status;
    char *body;
    EvlTimer timer;
} Delayed;

typedef struct Copies {
    CopiesOpts o;
    Evl *loop;
    GRand *rnd;
    Dlog *log;
    Topology topology;
    GArray *changes;      /* Change */
    uint64_t forgotten;   /* history up to this revision is gone */
    GPtrArray *waiting;   /* Waiting */
    GPtrArray *delayed;   /* Delayed */
    GPtrArray *in_flight; /* Datagram */
    CopyVm vms[VMS];
    uint64_t boot_ms[TARGETS];
} Copies;

/* A gossip datagram on its way. */
typedef struct Datagram {
    CopyVm *to;
    EvlTimer timer;
    GByteArray *bytes;
    int64_t sent_us; /* boot time */
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
drop_delayed(Delayed *d)
{
    evl_disarm(d->w->loop, &d->timer);
    g_ptr_array_remove_fast(d->w->delayed, d);
    g_free(d->body);
    g_free(d);
}

static void
on_delay_end(void *ctx, int64_t now_us)
{
    Delayed *d = ctx;
    (void)now_us;

    stub_respond(d->conn, d->status, d->body);
    drop_delayed(d);
}

static void
respond(CopyVm *vm, StubConn *conn, int status, const char *body)
{
    Copies *w = vm->w;

    if (vm->answer_delay_us == 0) {
        stub_respond(conn, status, body);
        return;
    }
    Delayed *d = g_new0(Delayed, 1);
    *d = (Delayed){w, conn, status, g_strdup(body), {0}};
    d->timer = (EvlTimer){.fn = on_delay_end, .ctx = d};
    g_ptr_array_add(w->delayed, d);
    evl_arm(w->loop, &d->timer, evl_now(w->loop) + vm->answer_delay_us);
}

static void
respond_list(CopyVm *vm, StubConn *conn)
{
    Copies *w = vm->w;
    char *prefix = query_value(conn, "PathPrefix");
    char *after = query_value(conn, "after");
    GString *out = g_string_new("{\"items\":[");
    uint64_t rev = store_rev(w);
    int n = 0;
    bool more = false;

    if (stub_target_has(conn, "Serializable=1")) {
        uint64_t lag = (uint64_t)g_rand_int_range(w->rnd, 0, w->o.stale_revs);
        rev -= MIN(rev, lag);
    }
    GList *keys = keys_with(w, prefix);
    for (GList *l = keys; l != NULL && !more; l = l->next) {
        const Change *c = last_change(w, l->data, rev);
        if (c == NULL || c->value == NULL ||
            (after != NULL && strcmp(c->key, after) <= 0)) {
            continue;
        }
        more = n == w->o.page_items;
        if (!more) {
            write_item(out, c);
            n++;
        }
    }
    g_string_append_printf(
        out, "],\"HasMore\":%s,\"CurrentRev\":%" G_GUINT64_FORMAT "}",
        more ? "true" : "false", rev);
    respond(vm, conn, 200, out->str);
    g_string_free(out, TRUE);
    g_list_free(keys);
    g_free(prefix);
    g_free(after);
}

static void
respond_watch(CopyVm *vm, StubConn *conn, uint64_t after)
{
    const Copies *w = vm->w;
    GString *out = g_string_new("{\"events\":[");
    uint64_t rev = MIN(after + (uint64_t)w->o.watch_items, store_rev(w));

    for (uint64_t i = after; i < rev; i++) {
        write_item(out, &g_array_index(w->changes, Change, i));
    }
    g_string_append_printf(out, "],\"CurrentRev\":%" G_GUINT64_FORMAT "}",
                           MAX(rev, after));
    respond(vm, conn, 200, out->str);
    g_string_free(out, TRUE);
}

static void
end_watch(void *ctx, int64_t now_us)
{
    Waiting *x = ctx;
    Copies *w = x->vm->w;
    (void)now_us;

    respond_watch(x->vm, x->conn, x->after);
    evl_disarm(w->loop, &x->timer);
    g_ptr_array_remove_fast(w->waiting, x);
    g_free(x);
}

static void
on_watch_call(CopyVm *vm, StubConn *conn)
{
    Copies *w = vm->w;
    char *after_text = query_value(conn, "after");
    char *wait_text = query_value(conn, "WaitMs");
    uint64_t after = g_ascii_strtoull(after_text, NULL, 10);
    int64_t wait_ms = g_ascii_strtoll(wait_text, NULL, 10);

    if (after < w->forgotten) {
        respond(vm, conn, 410, "{}");
    }
    else if (after < store_rev(w)) {
        respond_watch(vm, conn, after);
    }
    else {
        Waiting *x = g_new0(Waiting, 1);
        *x = (Waiting){vm, conn, after, {.fn = end_watch, .ctx = x}};
        g_ptr_array_add(w->waiting, x);
        evl_arm(w->loop, &x->timer, evl_now(w->loop) + wait_ms * 1000);
    }
    g_free(after_text);
    g_free(wait_text);
}

static void
on_call(void *ctx, StubConn *conn)
{
    CopyVm *vm = ctx;

    if (vm->w->o.fault != NULL && vm->w->o.fault(vm, conn)) {
        return;
    }
    if (stub_target_has(conn, "/api/kv-range")) {
        respond_list(vm, conn);
    }
    else if (stub_target_has(conn, "/api/kv-watch")) {
        on_watch_call(vm, conn);
    }
}

/* Changes a key; value is NULL to remove it. */
static void
store_change(Copies *w, const char *key, const char *value)
{
    Change c = {.rev = store_rev(w) + 1,
                .at_us = evl_boottime(),
                .key = g_strdup(key),
                .value = g_strdup(value)};

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
receive(CopyVm *vm, GByteArray *bytes, int64_t now_us)
{
    Gossip msg;

    ck_assert(gossip_decode_large(&msg, bytes, NULL));
    mirror_receive(vm->mirror, &msg, now_us);
    kv_page_clear(&msg.page);
}

static void
on_inbox(void *ctx, uint32_t events)
{
    CopyVm *vm = ctx;
    (void)events;

    for (int i = 0; i < INBOX_PER_TURN; i++) {
        GByteArray *bytes = g_byte_array_new();
        g_byte_array_set_size(bytes, INBOX_BYTES);
        ssize_t n = recv(vm->inbox.fd, bytes->data, bytes->len, MSG_DONTWAIT);
        if (n > 0) {
            g_byte_array_set_size(bytes, (guint)n);
            receive(vm, bytes, evl_now(vm->loop));
        }
        g_byte_array_unref(bytes);
        if (n <= 0) {
            return;
        }
    }
}

static GByteArray *
encode(const Copies *w, const GossipOut *o)
{
    GByteArray *bytes = w->o.whole_gossip ? gossip_encode_large(o) : NULL;

    if (bytes == NULL) {
        bytes = g_byte_array_new();
        g_byte_array_set_size(bytes, GOSSIP_BYTES_MAX);
        size_t n = gossip_encode(o, (char *)bytes->data, bytes->len);
        g_byte_array_set_size(bytes, (guint)n);
    }
    return bytes;
}

static void
free_datagram(Datagram *d)
{
    g_byte_array_unref(d->bytes);
    g_free(d);
}

static void
on_datagram(void *ctx, int64_t now_us)
{
    Datagram *d = ctx;

    /* As heartbeat_gossip_age() does. */
    gossip_add_age((char *)d->bytes->data, d->bytes->len,
                   evl_boottime() - d->sent_us);
    if (d->to->w->o.own_loops) {
        /* What does not fit the socket is lost. */
        (void)!send(d->to->outbox_fd, d->bytes->data, d->bytes->len,
                    MSG_DONTWAIT);
    }
    else {
        receive(d->to, d->bytes, now_us);
    }
    g_ptr_array_remove_fast(d->to->w->in_flight, d);
    free_datagram(d);
}

static void
on_copy_announce(void *ctx, const GossipOut *o)
{
    CopyVm *from = ctx;
    Copies *w = from->w;

    for (int i = 0; i < VMS; i++) {
        if (&w->vms[i] == from || g_rand_double(w->rnd) < w->o.gossip_loss) {
            continue;
        }
        Datagram *d = g_new0(Datagram, 1);
        d->to = &w->vms[i];
        d->bytes = encode(w, o);
        d->sent_us = evl_boottime();
        d->timer = (EvlTimer){.fn = on_datagram, .ctx = d};
        g_ptr_array_add(w->in_flight, d);
        evl_arm(w->loop, &d->timer,
                evl_now(w->loop) +
                    g_rand_int_range(w->rnd, 0, (gint32)w->o.gossip_delay_us));
    }
}

static void
on_copy_confirmed(void *ctx, int64_t at_us)
{
    CopyVm *vm = ctx;

    if (vm->w->o.confirmed != NULL) {
        vm->w->o.confirmed(vm, at_us);
    }
}

/* As edge does. */
static void
on_copy_stall(void *ctx, int64_t stalled_us, int64_t now_us)
{
    CopyVm *vm = ctx;
    (void)stalled_us;
    (void)now_us;

    mirror_revalidate(vm->mirror);
}

static void
open_loop(CopyVm *vm)
{
    int fds[2];

    ck_assert_int_eq(socketpair(AF_UNIX, SOCK_DGRAM, 0, fds), 0);
    vm->loop = evl_new();
    vm->outbox_fd = fds[1];
    vm->inbox =
        (EvlFd){.fd = fds[0], .first = true, .fn = on_inbox, .ctx = vm};
    evl_add(vm->loop, &vm->inbox, EPOLLIN);
}

static void
close_loop(CopyVm *vm)
{
    evl_del(vm->loop, &vm->inbox);
    close(vm->inbox.fd);
    close(vm->outbox_fd);
    evl_free(vm->loop);
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
    vm->loop = w->loop;
    if (w->o.own_loops) {
        open_loop(vm);
    }
    stub_open(&vm->stub, w->loop, on_call, vm);
    vm->upstreams = ups_new(&w->topology, 0);
    vm->vms = vml_new(&w->topology);
    vm->pool = uconns_new(vm->loop);
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
    MirrorOpts mo = {.loop = vm->loop,
                     .log = w->log,
                     .codec = &pf_kv,
                     .store = vm->stub.at,
                     .prefixes = pf_prefixes,
                     .urgent = pf_operator_prefix,
                     .rnd = w->rnd,
                     .propagation_us = PROPAGATION_US,
                     .fns = {.changed = on_copy_item,
                             .ready = ignore,
                             .current = ignore,
                             .behind = ignore,
                             .failed = ignore,
                             .confirmed = on_copy_confirmed,
                             .announce = on_copy_announce},
                     .ctx = vm};
    vm->mirror = mirror_new(&mo);
    if (w->o.own_loops) {
        evl_on_stall(vm->loop, on_copy_stall, vm);
    }
}

static void
copies_init(Copies *w, uint32_t seed)
{
    DlogOpts lo = {STDERR_FILENO, 0, 65536};

    memset(w, 0, sizeof(*w));
    w->o = (CopiesOpts){.page_items = PAGE_ITEMS,
                        .watch_items = WATCH_ITEMS,
                        .stale_revs = STALE_REVS,
                        .gossip_delay_us = GOSSIP_DELAY_US,
                        .gossip_loss = GOSSIP_LOSS};
    w->loop = evl_new();
    w->log = dlog_new(&lo);
    w->rnd = g_rand_new_with_seed(seed);
    w->changes = g_array_new(FALSE, TRUE, sizeof(Change));
    w->waiting = g_ptr_array_new();
    w->delayed = g_ptr_array_new();
    w->in_flight = g_ptr_array_new();
    topology_add(&w->topology, str_of("a"), str_of("r"));
    topology_add(&w->topology, str_of("b"), str_of("r"));
}

static void
copies_start(Copies *w)
{
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
        if (w->o.own_loops) {
            close_loop(vm);
        }
        stub_close(&vm->stub);
    }
    while (w->delayed->len > 0) {
        drop_delayed(g_ptr_array_index(w->delayed, 0));
    }
    while (w->waiting->len > 0) {
        Waiting *x = g_ptr_array_remove_index_fast(w->waiting, 0);
        evl_disarm(w->loop, &x->timer);
        g_free(x);
    }
    while (w->in_flight->len > 0) {
        Datagram *d = g_ptr_array_remove_index_fast(w->in_flight, 0);
        evl_disarm(w->loop, &d->timer);
        free_datagram(d);
    }
    g_ptr_array_free(w->waiting, TRUE);
    g_ptr_array_free(w->in_flight, TRUE);
    g_ptr_array_free(w->delayed, TRUE);
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
