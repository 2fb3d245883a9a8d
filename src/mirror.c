/* mirror - keeps this VM's view of the platform's store.  See mirror.h. */
#include "mirror.h"

#include <string.h>

#define CALL_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 150000
#define BACKOFF_MAX_US 1200000 /* current again within 3 s of a return */
#define RELIST_US 250000
/* A watch that confirms a list does not wait, and is repeated while it brings
 * as much as a page may hold. */
#define CONFIRM_WAIT_MS 1
#define CONFIRM_EVENTS 50
#define GAP_US 100000 /* until the watch after a gap in the news, at most */
#define LEASE_TTL_US 4000000
#define LEASE_KEEP_US 1600000 /* one renewal may fail */

typedef struct Feed {
    struct Mirror *m;
    const char *prefix;
    KvConn *conn;
    EvlTimer timer;
    bool listing;
    bool stale;         /* this list may be seconds old ... */
    bool confirming;    /* ... and a watch brings what it lacks */
    bool listed;        /* complete at least once */
    char *after;        /* last key of the page before */
    uint64_t rev;       /* to watch from */
    uint32_t round;     /* of listing */
    bool doubt;         /* the last list lacked known keys */
    bool pausing;       /* the timer runs for the next watch */
    bool hinted;        /* a gap was told: the others watch too */
    int64_t began_us;   /* boot time at the start of the call */
    int64_t trouble_us; /* when a call failed; steady time */
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
    int64_t put_off;
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
    f->trouble_us = now_us;
    f->hinted = false;
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

/* Returns true when other VMs have to know it. */
static bool
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
    return m->o.fns.item(m->o.ctx, it->key, it->deleted ? NULL : it->value,
                         it->rev, now_us);
}

/* Applies what is newer than the view and adds to "told", if not NULL, what
 * other VMs have to know.  Events may come twice, by a watch and as news. */
static void
apply_events(Feed *f, const KvPage *p, GPtrArray *told, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        KvItem *it = &g_array_index(p->items, KvItem, i);
        if (it->rev > f->rev && apply(f, it, now_us) && told != NULL) {
            g_ptr_array_add(told, it);
        }
    }
    f->rev = MAX(f->rev, p->rev);
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

/* The view is as new as the store's own answers. */
static void
view_current(Feed *f, int64_t now_us)
{
    f->listed = true;
    f->confirming = false;
    feed_works(f);
    tell_ready(f->m, now_us);
}

static void
list_complete(Feed *f, int64_t now_us)
{
    if (f->stale) {
        /* What has left or was withdrawn since must not be used first. */
        g_clear_pointer(&f->after, g_free);
        f->listing = false;
        f->confirming = true;
        feed_watch(f);
        return;
    }
    f->doubt = drop_missing(f, now_us) > 0;
    g_clear_pointer(&f->after, g_free);
    f->listing = false;
    view_current(f, now_us);
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
    if (f->after == NULL || p.rev < f->rev) {
        /* Changes during the listing come again by the watch; a later page
         * may come from an older copy of the store. */
        f->rev = p.rev;
    }
    for (guint i = 0; i < p.items->len; i++) {
        apply(f, &g_array_index(p.items, KvItem, i), now_us);
    }
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
        /* Only a VM that knows nothing yet cannot be set back by old news. */
        f->stale = f->round == 0;
        f->round++;
        g_clear_pointer(&f->after, g_free);
    }
    f->m->calls++;
    kv_call(f->conn, f->m->o.codec->list(f->prefix, f->after, f->stale),
            CALL_TIMEOUT_US, on_list, f);
}

static void
feed_pause(Feed *f, bool heard, int64_t now_us)
{
    Mirror *m = f->m;
    double dice = g_rand_double(m->o.rnd);

    f->pausing = true;
    evl_arm(m->o.loop, &f->timer,
            now_us + news_pause_us(m->o.notice_us, heard, dice));
}

/* Applies the events of a watch and tells them to the VMs near by. */
static void
take_events(Feed *f, const KvPage *p, int64_t now_us)
{
    Mirror *m = f->m;
    GPtrArray *told = g_ptr_array_new();
    uint64_t from = f->rev;

    apply_events(f, p, told, now_us);
    int64_t calm_us = f->trouble_us == 0 ? INT64_MAX : now_us - f->trouble_us;
    if (!f->hinted && !f->confirming &&
        news_worth_telling(m->o.notice_us, evl_boottime() - f->began_us,
                           calm_us)) {
        NewsOut o = {.feed = (int)(f - m->feeds),
                     .from = from,
                     .to = f->rev,
                     .items = (const KvItem *const *)told->pdata,
                     .n = (int)told->len};
        m->o.fns.tell(m->o.ctx, &o);
    }
    g_ptr_array_free(told, TRUE);
}

void
mirror_hear(Mirror *m, const News *w, int64_t now_us)
{
    if (w->feed < 0 || w->feed >= m->n_feeds) {
        return;
    }
    Feed *f = &m->feeds[w->feed];
    if (f->listing || !f->listed || f->doubt) {
        return;
    }
    switch (news_use(f->rev, w->from, w->page.rev)) {
    case NEWS_OLD:
        break;
    case NEWS_NEXT:
        apply_events(f, &w->page, NULL, now_us);
        if (f->pausing && !f->hinted) {
            m->put_off++;
            feed_pause(f, true, now_us);
        }
        break;
    case NEWS_GAP:
        if (f->pausing && !f->hinted) {
            f->hinted = true;
            evl_arm(m->o.loop, &f->timer,
                    now_us + g_rand_int_range(m->o.rnd, 0, GAP_US));
        }
        break;
    }
}

/* Drops what an old list has told and nothing has confirmed. */
static void
forget_unconfirmed(Feed *f, int64_t now_us)
{
    GHashTableIter it;
    gpointer k;

    g_hash_table_iter_init(&it, f->keys);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        f->m->o.fns.item(f->m->o.ctx, k, NULL, f->rev, now_us);
        g_hash_table_iter_remove(&it);
    }
    f->confirming = false;
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
        if (f->confirming) {
            forget_unconfirmed(f, now_us);
        }
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
        if (f->confirming) {
            forget_unconfirmed(f, now_us);
        }
        feed_failed(f, "watch", status, now_us);
        return;
    }
    take_events(f, &p, now_us);
    guint n = p.items->len;
    kv_page_clear(&p);
    if (f->confirming && n >= CONFIRM_EVENTS) {
        feed_watch(f);
        return;
    }
    view_current(f, now_us);
    feed_pause(f, f->hinted, now_us);
    f->hinted = false;
}

static void
feed_watch(Feed *f)
{
    NewsTimes t = news_times(f->m->o.notice_us);
    int wait_ms = f->confirming ? CONFIRM_WAIT_MS : (int)(t.wait_us / 1000);

    f->m->calls++;
    f->began_us = evl_boottime();
    kv_call(f->conn, f->m->o.codec->watch(f->prefix, f->rev, wait_ms),
            t.timeout_us, on_watch, f);
}

static void
on_feed_timer(void *ctx, int64_t now_us)
{
    Feed *f = ctx;
    (void)now_us;

    f->pausing = false;
    if (f->confirming) {
        feed_watch(f);
    }
    else if (f->listing || !f->listed || f->doubt) {
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

int64_t
mirror_put_off(const Mirror *m)
{
    return m->put_off;
}
