/* mirror - keeps this VM's view of the platform's store.  See mirror.h. */
#include "mirror.h"

#include <string.h>

/* Parts of the time in which a change has to be known.  Events gather in the
 * pause between two watches, since each call is priced.  A connection that
 * went silent is given up after the time limit, and the sum leaves a reserve
 * for the next call. */
#define WATCH_PAUSE_PART 0.35
#define WATCH_WAIT_PART 0.1
#define WATCH_TIMEOUT_PART 0.4
#define CALL_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 150000
#define BACKOFF_MAX_US 600000
#define RELIST_US 250000
#define LEASE_TTL_US 4000000
#define LEASE_KEEP_US 1600000 /* one renewal may fail */

typedef struct Feed {
    struct Mirror *m;
    const char *prefix;
    KvConn *conn;
    EvlTimer timer;
    bool listing;
    bool listed;    /* complete at least once */
    char *after;    /* last key of the page before */
    uint64_t rev;   /* to watch from */
    uint32_t round; /* of listing */
    bool doubt;     /* the last list lacked known keys */
    int64_t backoff_us;
    bool failing;
    GHashTable *keys; /* key -> round in which it was seen */
} Feed;

struct Mirror {
    MirrorOpts o;
    Feed *feeds;
    int n_feeds;
    bool ready;
    int64_t calls;
    KvConn *conn; /* for the record */
    EvlTimer timer;
    char *key;
    char *value;
    bool written; /* the value is in the store */
    bool leaving;
    uint64_t lease;
};

static void feed_list(Feed *f);
static void feed_watch(Feed *f);
static void record_step(Mirror *m);

static int64_t
spread(Mirror *m, int64_t us)
{
    return (int64_t)((double)us * g_rand_double_range(m->o.rnd, 0.7, 1.3));
}

static int64_t
part_of(const Mirror *m, double part)
{
    return (int64_t)((double)m->o.notice_us * part);
}

static void
feed_later(Feed *f, int64_t us)
{
    evl_arm(f->m->o.loop, &f->timer, evl_now(f->m->o.loop) + spread(f->m, us));
}

static void
feed_failed(Feed *f, const char *what, int status, int64_t now_us)
{
    if (!f->failing) {
        f->failing = true;
        dlog_event(f->m->o.log, DLOG_WARN, "store",
                   "event=lost prefix=%s call=%s status=%d", f->prefix, what,
                   status);
    }
    f->m->o.fns.trouble(f->m->o.ctx, now_us);
    f->backoff_us = CLAMP(f->backoff_us * 2, BACKOFF_MIN_US, BACKOFF_MAX_US);
    feed_later(f, f->backoff_us);
}

static void
feed_works(Feed *f)
{
    if (f->failing) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=regained prefix=%s rev=%" G_GUINT64_FORMAT,
                   f->prefix, f->rev);
    }
    f->failing = false;
    f->backoff_us = 0;
}

static void
own_record_lost(Mirror *m)
{
    if (m->leaving) {
        return;
    }
    dlog_event(m->o.log, DLOG_WARN, "store", "event=record_lost");
    m->written = false;
    m->lease = 0;
    if (!kv_busy(m->conn)) {
        record_step(m);
    }
}

static void
apply(Feed *f, const KvItem *it, int64_t now_us)
{
    Mirror *m = f->m;

    if (it->deleted) {
        g_hash_table_remove(f->keys, it->key);
        if (m->key != NULL && m->written && strcmp(it->key, m->key) == 0) {
            own_record_lost(m);
        }
    }
    else {
        g_hash_table_replace(f->keys, g_strdup(it->key),
                             GUINT_TO_POINTER(f->round));
    }
    m->o.fns.item(m->o.ctx, it->key, it->deleted ? NULL : it->value, it->rev,
                  now_us);
}

static void
apply_page(Feed *f, const KvPage *p, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        apply(f, &g_array_index(p->items, KvItem, i), now_us);
    }
}

/* Removes the keys that this list and the one before it lack. */
static int
drop_missing(Feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    int doubtful = 0;

    g_hash_table_iter_init(&it, f->keys);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        uint32_t age = f->round - GPOINTER_TO_UINT(v);
        if (age == 1) {
            doubtful++;
        }
        else if (age > 1) {
            f->m->o.fns.item(f->m->o.ctx, k, NULL, f->rev, now_us);
            if (f->m->key != NULL && strcmp(k, f->m->key) == 0) {
                own_record_lost(f->m);
            }
            g_hash_table_iter_remove(&it);
        }
    }
    return doubtful;
}

static void
tell_ready(Mirror *m, int64_t now_us)
{
    for (int i = 0; i < m->n_feeds; i++) {
        if (!m->feeds[i].listed) {
            return;
        }
    }
    if (!m->ready) {
        m->ready = true;
        m->o.fns.ready(m->o.ctx, now_us);
    }
}

static void
list_complete(Feed *f, int64_t now_us)
{
    f->listed = true;
    f->doubt = drop_missing(f, now_us) > 0;
    g_clear_pointer(&f->after, g_free);
    f->listing = false;
    feed_works(f);
    tell_ready(f->m, now_us);
    if (f->doubt) {
        feed_later(f, RELIST_US);
    }
    else {
        feed_watch(f);
    }
}

static void
on_list(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p = {0};
    Err e = {0};

    if (status != 200) {
        feed_failed(f, "list", status, now_us);
        return;
    }
    if (!f->m->o.codec->read_page(body, &p, &e)) {
        dlog_event(f->m->o.log, DLOG_WARN, "store",
                   "event=unreadable_page error=\"%s\"", e.text);
        kv_page_clear(&p);
        feed_failed(f, "list", status, now_us);
        return;
    }
    if (f->after == NULL) {
        /* Changes during the listing come again by the watch. */
        f->rev = p.rev;
    }
    apply_page(f, &p, now_us);
    if (p.more && p.items->len > 0) {
        g_free(f->after);
        f->after =
            g_strdup(g_array_index(p.items, KvItem, p.items->len - 1).key);
        kv_page_clear(&p);
        feed_list(f);
        return;
    }
    kv_page_clear(&p);
    list_complete(f, now_us);
}

static void
feed_list(Feed *f)
{
    if (!f->listing) {
        f->listing = true;
        f->round++;
        g_clear_pointer(&f->after, g_free);
    }
    f->m->calls++;
    kv_call(f->conn, f->m->o.codec->list(f->prefix, f->after), CALL_TIMEOUT_US,
            on_list, f);
}

static void
on_watch(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p = {0};
    Err e = {0};

    if (status == 410) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=history_gone prefix=%s rev=%" G_GUINT64_FORMAT,
                   f->prefix, f->rev);
        feed_list(f);
        return;
    }
    if (status != 200) {
        feed_failed(f, "watch", status, now_us);
        return;
    }
    if (!f->m->o.codec->read_page(body, &p, &e)) {
        dlog_event(f->m->o.log, DLOG_WARN, "store",
                   "event=unreadable_events error=\"%s\"", e.text);
        kv_page_clear(&p);
        f->doubt = true;
        feed_failed(f, "watch", status, now_us);
        return;
    }
    apply_page(f, &p, now_us);
    f->rev = MAX(f->rev, p.rev);
    kv_page_clear(&p);
    feed_works(f);
    feed_later(f, part_of(f->m, WATCH_PAUSE_PART));
}

static void
feed_watch(Feed *f)
{
    f->m->calls++;
    kv_call(f->conn,
            f->m->o.codec->watch(f->prefix, f->rev,
                                 (int)(part_of(f->m, WATCH_WAIT_PART) / 1000)),
            part_of(f->m, WATCH_TIMEOUT_PART), on_watch, f);
}

static void
on_feed_timer(void *ctx, int64_t now_us)
{
    Feed *f = ctx;
    (void)now_us;

    if (f->listing || !f->listed || f->doubt) {
        feed_list(f);
    }
    else {
        feed_watch(f);
    }
}

static void
record_later(Mirror *m, int64_t us)
{
    evl_arm(m->o.loop, &m->timer, evl_now(m->o.loop) + spread(m, us));
}

static void
on_put(void *ctx, int status, Str body, int64_t now_us)
{
    Mirror *m = ctx;
    (void)body;
    (void)now_us;

    if (status == 200) {
        m->written = true;
        record_later(m, LEASE_KEEP_US);
        return;
    }
    if (status == 404) {
        m->lease = 0;
    }
    record_later(m, BACKOFF_MAX_US);
}

static void
on_lease(void *ctx, int status, Str body, int64_t now_us)
{
    Mirror *m = ctx;
    KvLease l;
    Err e = {0};
    (void)now_us;

    if (status == 200 && m->o.codec->read_lease(body, &l, &e)) {
        m->lease = l.id;
        m->written = false;
        record_step(m);
        return;
    }
    record_later(m, BACKOFF_MAX_US);
}

static void
on_keep(void *ctx, int status, Str body, int64_t now_us)
{
    Mirror *m = ctx;
    (void)body;
    (void)now_us;

    if (status == 404) {
        m->lease = 0;
        m->written = false;
        record_step(m);
        return;
    }
    record_later(m, status == 200 ? LEASE_KEEP_US : BACKOFF_MAX_US);
}

/* The next call that the record needs. */
static void
record_step(Mirror *m)
{
    const KvCodec *k = m->o.codec;

    if (m->key == NULL || m->leaving) {
        return;
    }
    m->calls++;
    if (m->lease == 0) {
        kv_call(m->conn, k->lease_new(LEASE_TTL_US), CALL_TIMEOUT_US, on_lease,
                m);
    }
    else if (!m->written) {
        kv_call(m->conn, k->put(m->key, str_of(m->value), m->lease),
                CALL_TIMEOUT_US, on_put, m);
    }
    else {
        kv_call(m->conn, k->lease_keep(m->lease), CALL_TIMEOUT_US, on_keep, m);
    }
}

static void
on_record_timer(void *ctx, int64_t now_us)
{
    (void)now_us;
    if (!kv_busy(((Mirror *)ctx)->conn)) {
        record_step(ctx);
    }
}

void
mirror_record(Mirror *m, const char *key, const char *value)
{
    g_free(m->key);
    g_free(m->value);
    m->key = g_strdup(key);
    m->value = g_strdup(value);
    m->written = false;
    if (!kv_busy(m->conn)) {
        record_step(m);
    }
}

void
mirror_leave(Mirror *m)
{
    m->leaving = true;
    kv_cancel(m->conn);
    evl_disarm(m->o.loop, &m->timer);
    if (m->lease != 0) {
        m->calls++;
        kv_call(m->conn, m->o.codec->lease_end(m->lease), CALL_TIMEOUT_US,
                NULL, m);
    }
}

Mirror *
mirror_new(const MirrorOpts *o)
{
    Mirror *m = g_new0(Mirror, 1);

    m->o = *o;
    while (o->prefixes[m->n_feeds] != NULL) {
        m->n_feeds++;
    }
    m->feeds = g_new0(Feed, m->n_feeds);
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        f->m = m;
        f->prefix = o->prefixes[i];
        f->conn = kv_new(o->loop, &o->store);
        f->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        f->timer = (EvlTimer){.fn = on_feed_timer, .ctx = f};
        feed_list(f);
    }
    m->conn = kv_new(o->loop, &o->store);
    m->timer = (EvlTimer){.fn = on_record_timer, .ctx = m};
    return m;
}

void
mirror_free(Mirror *m)
{
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        evl_disarm(m->o.loop, &f->timer);
        kv_free(f->conn);
        g_hash_table_destroy(f->keys);
        g_free(f->after);
    }
    evl_disarm(m->o.loop, &m->timer);
    kv_free(m->conn);
    g_free(m->feeds);
    g_free(m->key);
    g_free(m->value);
    g_free(m);
}

int64_t
mirror_calls(const Mirror *m)
{
    return m->calls;
}
