/* mirror - keeps this VM's copy of the platform's store.  See mirror.h. */
#include "mirror_state.h"

#define CALL_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 150000
/* Short enough for the copy to be current again within 3 s after the store
 * becomes reachable. */
#define BACKOFF_MAX_US 900000
/* Longest pause after an attempt to connect, which costs the store nothing. */
#define RECONNECT_MAX_US 300000
#define RELIST_US 250000 /* until the list that confirms missing keys */
/* A watch that confirms a list returns at once.  It is repeated while its
 * answer has at least CONFIRM_EVENTS events, since this may be a full page and
 * more events may follow. */
#define CONFIRM_WAIT_MS 1
#define CONFIRM_EVENTS 50
/* The answer of a watch holds each version of a value.  One that is larger
 * than both limits holds values that are already replaced, and a list brings
 * the newest ones with fewer bytes. */
#define WATCH_BYTES_MIN 524288
#define WATCH_VALUES_MAX 2.5 /* in sizes of the largest value seen */
/* The loop looks at its sockets this long before the end of a watch's wait;
 * longer than it rounds its timers up. */
#define WAIT_END_EARLY_US 2000

static void feed_watch(Feed *f);

static void
feed_schedule(Feed *f, int64_t us)
{
    double jitter = g_rand_double_range(f->m->o.rnd, 0.7, 1.3);

    evl_arm(f->m->o.loop, &f->timer,
            evl_now(f->m->o.loop) + (int64_t)((double)us * jitter));
}

static void
feed_call(Feed *f, GString *request, int64_t limit_us, size_t bytes_max,
          KvDone done)
{
    f->m->calls++;
    f->call_start_us = evl_now(f->m->o.loop);
    evl_disarm(f->m->o.loop, &f->too_old);
    kv_limit_answer(f->conn, bytes_max);
    kv_call(f->conn, request, limit_us, done, f);
}

static size_t
watch_bytes_max(const Feed *f)
{
    size_t value_bytes = KV_BASE64_BYTES(f->value_bytes);
    double values = WATCH_VALUES_MAX * (double)value_bytes;

    return (size_t)MAX(WATCH_BYTES_MIN, values);
}

static void
feed_failed(Feed *f, const char *what, int status, int64_t now_us)
{
    if (!f->failing) {
        f->failing = true;
        f->lost_us = now_us;
        dlog_event(f->m->o.log, DLOG_WARN, "store",
                   "event=lost prefix=%s call=%s status=%d", f->prefix, what,
                   status);
    }
    if (status == 200) {
        /* Not the answer to this call, which may still be under way. */
        kv_disconnect(f->conn);
    }
    f->m->behind = false;
    f->m->o.fns.failed(f->m->o.ctx, now_us);
    f->failed_us = now_us;
    f->missed = false;
    f->backoff_us =
        CLAMP(f->backoff_us * 2, BACKOFF_MIN_US,
              status == KV_NOT_SENT ? RECONNECT_MAX_US : BACKOFF_MAX_US);
    dlog_event(f->m->o.log, DLOG_INFO, "store",
               "event=call_failed prefix=%s call=%s status=%d "
               "backoff_ms=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT
               " received=%zu copy_age_ms=%" G_GINT64_FORMAT,
               f->prefix, what, status, f->backoff_us / 1000,
               (now_us - f->call_start_us) / 1000, kv_received(f->conn),
               mirror_feed_age_us(f) / 1000);
    feed_schedule(f, f->backoff_us);
}

static void
feed_succeeded(Feed *f, int64_t now_us)
{
    if (f->failing) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=regained prefix=%s rev=%" G_GUINT64_FORMAT
                   " lost_ms=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT
                   " received=%zu",
                   f->prefix, kvcache_rev(f->cache),
                   (now_us - f->lost_us) / 1000,
                   (now_us - f->call_start_us) / 1000, kv_received(f->conn));
    }
    f->failing = false;
    f->backoff_us = 0;
}

static void
on_key(void *ctx, const char *key, GBytes *value, uint64_t rev, int64_t now_us)
{
    Feed *f = ctx;

    if (value == NULL) {
        registration_removed(f->m->registration, key);
    }
    else {
        f->value_bytes = MAX(f->value_bytes, g_bytes_get_size(value));
    }
    f->lacked = f->lacked || rev <= kvcache_rev(f->cache);
    f->m->o.fns.changed(f->m->o.ctx, key, value, rev, now_us);
}

static void
notify_ready(Mirror *m, int64_t now_us)
{
    for (int i = 0; i < m->n_feeds; i++) {
        if (m->ready || !m->feeds[i].listed) {
            return;
        }
    }
    m->ready = true;
    m->o.fns.ready(m->o.ctx, now_us);
}

static bool
is_current(const Feed *f)
{
    return f->listed && !f->relist && !f->checking && !f->urgent_pending &&
           !resync_lacks_changes(f->resync);
}

static void
notify_current(Mirror *m, int64_t now_us)
{
    for (int i = 0; i < m->n_feeds; i++) {
        if (!is_current(&m->feeds[i])) {
            return;
        }
    }
    mirror_notify_current(m, now_us);
}

static void
notify_urgent(Mirror *m, int64_t now_us)
{
    if (m->o.fns.urgent != NULL) {
        m->o.fns.urgent(m->o.ctx, now_us);
    }
}

static void
on_resync_page(void *ctx)
{
    ((Feed *)ctx)->m->source = "resync";
}

static void
on_resync(void *ctx, int64_t now_us)
{
    Feed *f = ctx;

    mirror_feed_confirm(f, f->partial_us);
    notify_current(f->m, now_us);
}

/* Records that the copy is as recent as the store's own answers. */
static void
mark_current(Feed *f, int64_t now_us)
{
    f->listed = true;
    f->confirming = false;
    f->checking = false;
    feed_succeeded(f, now_us);
    notify_ready(f->m, now_us);
    notify_current(f->m, now_us);
}

static void
list_complete(Feed *f, int64_t now_us)
{
    if (f->stale) {
        /* A watch confirms the list first, so that upstreams that left and
         * routes that were withdrawn since are not used. */
        g_clear_pointer(&f->after, g_free);
        f->listing = false;
        f->confirming = true;
        feed_watch(f);
        return;
    }
    mirror_feed_replaced(f, now_us);
    f->relist =
        kvcache_drop_missing(f->cache, kvcache_rev(f->cache), 2, now_us) > 0;
    g_clear_pointer(&f->after, g_free);
    f->listing = false;
    mark_current(f, now_us);
    if (f->relist) {
        feed_schedule(f, RELIST_US);
    }
    else {
        mirror_feed_confirm(f, f->list_start_us);
        feed_watch(f);
    }
}

/* Drops the keys of a stale list that was not confirmed. */
static void
drop_unconfirmed(Feed *f, int64_t now_us)
{
    kvcache_clear(f->cache, kvcache_rev(f->cache), now_us);
    f->confirming = false;
}

static void
on_list(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p;

    if (status == KV_LATER) {
        return;
    }
    if (status == KV_FORMER && f->stale) {
        /* The copy is older than an answer to another call. */
        drop_unconfirmed(f, now_us);
        f->listing = false;
    }
    if (status != 200 || !kvpage_read(&f->pages, KVPAGE_LIST, body, &p)) {
        feed_failed(f, "list", status, now_us);
        return;
    }
    if (!f->stale && mirror_feed_rev_back(f, &p)) {
        kv_page_clear(&p);
        mirror_feed_list(f);
        return;
    }
    mirror_feed_listed(f, &p);
    f->m->source = "list";
    mirror_feed_merge(f, &p, now_us);
    if (p.more && p.items->len > 0) {
        g_free(f->after);
        f->after =
            g_strdup(g_array_index(p.items, KvItem, p.items->len - 1).key);
        kv_page_clear(&p);
        mirror_feed_list(f);
        return;
    }
    kv_page_clear(&p);
    list_complete(f, now_us);
}

void
mirror_feed_list(Feed *f)
{
    if (!f->listing) {
        f->listing = true;
        /* A stale list could overwrite newer values, so it is used only while
         * the cache is empty. */
        f->stale = kvcache_never_listed(f->cache);
        /* The cache numbers the lists to find missing keys, so resync must not
         * list at the same time. */
        resync_end(f->resync);
        kvcache_begin_list(f->cache);
        g_clear_pointer(&f->after, g_free);
        f->list_start_us = evl_boottime();
        f->asked_rev = kvcache_rev(f->cache);
    }
    feed_call(f, f->m->o.codec->list(f->prefix, f->after, f->stale),
              CALL_TIMEOUT_US, KV_ANSWER_BYTES_MAX, on_list);
}

static void
on_urgent(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p;

    if (status == KV_LATER) {
        return;
    }
    if (status != 200 || !kvpage_read(&f->pages, KVPAGE_LIST, body, &p)) {
        feed_failed(f, "list", status, now_us);
        return;
    }
    f->urgent_pending = false;
    if (mirror_feed_rev_back(f, &p) || p.more) {
        /* More than one page of urgent keys: list everything instead. */
        f->asked = false;
        kv_page_clear(&p);
        mirror_feed_list(f);
        return;
    }
    f->m->source = "operator_list";
    bool lacks_others = true;
    if (f->asked) {
        lacks_others = mirror_feed_asked(f, &p, now_us);
    }
    else {
        kvcache_merge(f->cache, &p, now_us);
        kvcache_set_rev(f->cache, p.rev);
    }
    kv_page_clear(&p);
    notify_urgent(f->m, now_us);
    if (!lacks_others) {
        feed_succeeded(f, now_us);
        feed_watch(f);
        return;
    }
    mirror_feed_confirm(f, f->list_start_us);
    feed_succeeded(f, now_us);
    mirror_feed_pause(f, false, now_us);
    resync_run(f->resync, kvcache_rev(f->cache), !f->skip_copies);
}

void
mirror_feed_list_urgent(Feed *f)
{
    f->list_start_us = evl_boottime();
    f->asked_rev = kvcache_rev(f->cache);
    feed_call(f, f->m->o.codec->list(f->m->o.urgent, NULL, false),
              CALL_TIMEOUT_US, KV_ANSWER_BYTES_MAX, on_urgent);
}

/* Lists the keys instead of watching from a revision whose events the store
 * cannot or could not send. */
static void
list_instead(Feed *f, int status, int64_t now_us)
{
    if (f->confirming || !f->listed) {
        drop_unconfirmed(f, now_us);
        mirror_feed_list(f);
        return;
    }
    mirror_feed_changes_missed(f, now_us);
    f->urgent_pending = true;
    /* Few VMs miss so many changes; a dropped history is missed by all. */
    f->skip_copies = f->m->behind && status == KV_TOO_LARGE;
    resync_begin(f->resync);
    mirror_feed_list_urgent(f);
}

/* Lists all keys of a store that came back from an older copy; with a pause
 * when its lists and watches keep differing. */
static void
watch_back(Feed *f, int64_t now_us)
{
    if (now_us < f->gossip_from_us) {
        mirror_feed_pause(f, false, now_us);
        return;
    }
    mirror_feed_list(f);
}

static void
on_watch(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p;

    if (status == KV_LATER) {
        return;
    }
    /* The size of a watch's answer has no limit, unlike that of a page. */
    if (status == 410 || status == KV_TOO_LARGE) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=%s prefix=%s rev=%" G_GUINT64_FORMAT,
                   status == 410 ? "history_gone" : "events_too_large",
                   f->prefix, kvcache_rev(f->cache));
        list_instead(f, status, now_us);
        return;
    }
    if (status != 200) {
        feed_failed(f, "watch", status, now_us);
        return;
    }
    if (!kvpage_read(&f->pages, KVPAGE_EVENTS, body, &p)) {
        f->relist = true;
        if (f->confirming) {
            drop_unconfirmed(f, now_us);
        }
        feed_failed(f, "watch", status, now_us);
        return;
    }
    if (mirror_feed_rev_back(f, &p)) {
        kv_page_clear(&p);
        watch_back(f, now_us);
        return;
    }
    f->m->source = "watch";
    bool complete = mirror_feed_apply(f, &p, now_us);
    bool confirms_gossip = mirror_feed_confirms_gossip(f, &p);
    guint n = (guint)p.n_sent;
    kv_page_clear(&p);
    if (!complete || (f->confirming && n >= CONFIRM_EVENTS) ||
        (f->again && n < BEHIND_EVENTS)) {
        feed_watch(f);
        return;
    }
    if (n >= BEHIND_EVENTS) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=behind prefix=%s rev=%" G_GUINT64_FORMAT, f->prefix,
                   kvcache_rev(f->cache));
        mirror_feed_changes_missed(f, now_us);
        feed_watch(f);
        return;
    }
    mirror_feed_confirm(f, mirror_feed_answered_us(f, n));
    if (resync_lacks_changes(f->resync)) {
        notify_urgent(f->m, now_us);
    }
    mark_current(f, now_us);
    mirror_feed_pause_after_watch(f, confirms_gossip, now_us);
}

static void
feed_watch(Feed *f)
{
    GossipTimes t = gossip_times(f->m->o.propagation_us);
    /* While calls fail, a watch that waits for events would delay finding out
     * that the store is reachable again. */
    bool at_once = f->confirming || f->checking || f->failing;
    int64_t limit_us = f->failing ? CALL_TIMEOUT_US : t.timeout_us;
    int64_t wait_us = at_once ? 0
                              : gossip_wait_us(f->m->o.propagation_us,
                                               mirror_feed_watched_age_us(f));
    int wait_ms = MAX((int)(wait_us / 1000), CONFIRM_WAIT_MS);

    f->asked_rev = kvcache_rev(f->cache);
    f->again = false;
    f->heard = false;
    f->watch_start_us = evl_boottime();
    f->watch_wait_us = wait_ms * INT64_C(1000);
    evl_arm(f->m->o.loop, &f->wait_end,
            f->watch_start_us + f->watch_wait_us - WAIT_END_EARLY_US);
    feed_call(f,
              f->m->o.codec->watch(f->prefix, kvcache_rev(f->cache), wait_ms),
              limit_us, watch_bytes_max(f), on_watch);
}

/* Does nothing: that the timer fires makes the loop look at its sockets at
 * that time, see Feed.wait_end. */
static void
on_wait_end(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
}

static void
on_timer(void *ctx, int64_t now_us)
{
    Feed *f = ctx;
    (void)now_us;

    f->pausing = false;
    if (f->urgent_pending) {
        mirror_feed_list_urgent(f);
    }
    else if (!f->confirming && (f->listing || !f->listed || f->relist)) {
        mirror_feed_list(f);
    }
    else {
        feed_watch(f);
    }
}

void
mirror_revalidate(Mirror *m)
{
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        if (!f->listed || f->listing || f->relist || f->urgent_pending) {
            continue;
        }
        /* An answer already in the socket may be as old as the copy, but is
         * not dropped: it may be large, and the next stall be near. */
        f->checking = true;
        f->again = kv_unread(f->conn);
        if (f->again) {
            continue;
        }
        kv_cancel(f->conn);
        evl_disarm(m->o.loop, &f->timer);
        f->pausing = false;
        feed_watch(f);
    }
}

void
mirror_register(Mirror *m, const char *key, const char *value)
{
    registration_set(m->registration, key, value);
}

int64_t
mirror_registered_until(const Mirror *m)
{
    return registration_valid_until(m->registration);
}

Mirror *
mirror_new(const MirrorOpts *o)
{
    Mirror *m = g_new0(Mirror, 1);

    m->o = *o;
    m->source = "-";
    while (o->prefixes[m->n_feeds] != NULL) {
        m->n_feeds++;
    }
    mirror_init_history(m);
    RegistrationOpts ro = {o->loop, o->log,      o->codec,   o->store,
                           o->rnd,  &m->backlog, &m->history};
    m->registration = registration_new(&ro);
    m->feeds = g_new0(Feed, m->n_feeds);
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        f->m = m;
        f->prefix = o->prefixes[i];
        f->conn = kv_new(o->loop, &o->store, o->log);
        kv_share_backlog(f->conn, &m->backlog);
        kv_on_begin(f->conn, mirror_on_begin, f);
        mirror_feed_init_history(f);
        f->cache = kvcache_new(on_key, f);
        f->pages = (KvPages){o->codec, o->log, f->prefix, 0};
        ResyncOpts go = {.loop = o->loop,
                         .log = o->log,
                         .pages = &f->pages,
                         .store = o->store,
                         .backlog = &m->backlog,
                         .history = &m->history,
                         .rnd = o->rnd,
                         .prefix = f->prefix,
                         .propagation_us = o->propagation_us,
                         .cache = f->cache,
                         .merging = on_resync_page,
                         .found = on_resync,
                         .ctx = f};
        f->resync = resync_new(&go);
        f->timer = (EvlTimer){.fn = on_timer, .ctx = f};
        f->wait_end = (EvlTimer){.fn = on_wait_end, .ctx = f};
        f->too_old = (EvlTimer){.fn = mirror_on_too_old, .ctx = f};
        mirror_feed_list(f);
    }
    return m;
}

void
mirror_free(Mirror *m)
{
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        resync_free(f->resync);
        evl_disarm(m->o.loop, &f->timer);
        evl_disarm(m->o.loop, &f->wait_end);
        evl_disarm(m->o.loop, &f->too_old);
        evl_disarm(m->o.loop, &f->restore);
        kv_free(f->conn);
        kvcache_free(f->cache);
        g_free(f->after);
    }
    registration_free(m->registration);
    g_free(m->feeds);
    g_free(m);
}

const char *
mirror_source(const Mirror *m)
{
    return m->source;
}

MirrorCounts
mirror_counts(const Mirror *m)
{
    MirrorCounts c = {.calls = m->calls + registration_calls(m->registration),
                      .watches_deferred = m->deferred,
                      .gossip_missing = m->missing,
                      .histories = m->histories};

    for (int i = 0; i < m->n_feeds; i++) {
        c.calls += resync_calls(m->feeds[i].resync);
        c.items_dropped += m->feeds[i].pages.dropped;
    }
    return c;
}
