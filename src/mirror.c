/* mirror - keeps this VM's view of the platform's store.  See mirror.h. */
#include "mirror.h"

#include "resync.h"
#include "kvcache.h"
#include "registration.h"

#define CALL_TIMEOUT_US 1000000
#define BACKOFF_MIN_US 150000
#define BACKOFF_MAX_US 900000 /* current again within 3 s of a return */
#define RELIST_US 250000
/* A watch that confirms a list does not wait, and is repeated while it brings
 * as much as a page may hold. */
#define CONFIRM_WAIT_MS 1
#define CONFIRM_EVENTS 50
/* A watch brings a few hundred events at a time; a VM that was away for
 * seconds misses thousands and does not pause between these. */
#define BEHIND_EVENTS 400
#define GAP_US 100000 /* until the watch after a gap in the news, at most */
typedef struct Feed {
    struct Mirror *m;
    const char *prefix;
    KvConn *conn;
    EvlTimer timer;
    bool listing;
    bool stale;         /* this list may be seconds old ... */
    bool confirming;    /* ... and a watch brings what it lacks */
    bool checking;      /* a watch does not wait, see mirror_revalidate() */
    bool listed;        /* complete at least once */
    char *after;        /* last key of the page before */
    uint64_t rev;       /* to watch from */
    bool doubt;         /* the last list lacked known keys */
    bool pausing;       /* the timer runs for the next watch */
    bool hinted;        /* a gap was told: the others watch too */
    int64_t began_us;   /* boot time at the start of the call */
    int64_t trouble_us; /* when a call failed; steady time */
    int64_t backoff_us;
    bool failing;
    bool urgent; /* changes were lost, and the urgent keys come first */
    Resync *gap;
    KvCache *known;
} Feed;

struct Mirror {
    MirrorOpts o;
    Feed *feeds;
    int n_feeds;
    bool ready;
    int64_t calls;
    int64_t put_off;
    Registration *record;
};

static void feed_list(Feed *f);
static void feed_urgent(Feed *f);
static void feed_watch(Feed *f);

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
    f->m->o.fns.failed(f->m->o.ctx, now_us);
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

static bool
on_key(void *ctx, const char *key, GBytes *value, uint64_t rev, int64_t now_us)
{
    Feed *f = ctx;

    if (value == NULL) {
        registration_removed(f->m->record, key);
    }
    return f->m->o.fns.item(f->m->o.ctx, key, value, rev, now_us);
}

/* Applies what is newer than the view and adds to "told", if not NULL, what
 * other VMs have to know.  Events may come twice, by a watch and as news. */
static void
apply_events(Feed *f, const KvPage *p, GPtrArray *told, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        KvItem *it = &g_array_index(p->items, KvItem, i);
        if (it->rev > f->rev && kvcache_apply(f->known, it, now_us) &&
            told != NULL) {
            g_ptr_array_add(told, it);
        }
    }
    f->rev = MAX(f->rev, p->rev);
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
tell_current(Mirror *m, int64_t now_us)
{
    for (int i = 0; i < m->n_feeds; i++) {
        if (!m->feeds[i].listed || m->feeds[i].checking) {
            return;
        }
    }
    m->o.fns.current(m->o.ctx, now_us);
}

/* The view is as new as the store's own answers. */
static void
view_current(Feed *f, int64_t now_us)
{
    f->listed = true;
    f->confirming = false;
    f->checking = false;
    feed_works(f);
    tell_ready(f->m, now_us);
    tell_current(f->m, now_us);
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
    f->doubt = kvcache_drop_missing(f->known, f->rev, 2, now_us) > 0;
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
        kvcache_apply(f->known, &g_array_index(p.items, KvItem, i), now_us);
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
        f->stale = kvcache_never_listed(f->known);
        /* A list of its own would end the rounds of this one. */
        resync_end(f->gap);
        kvcache_begin_list(f->known);
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
            now_us + gossip_pause_us(m->o.propagation_us, heard, dice));
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
        gossip_is_fresh(m->o.propagation_us, evl_boottime() - f->began_us,
                        calm_us)) {
        GossipOut o = {.feed = (int)(f - m->feeds),
                       .from = from,
                       .to = f->rev,
                       .items = (const KvItem *const *)told->pdata,
                       .n = (int)told->len};
        m->o.fns.announce(m->o.ctx, &o);
    }
    g_ptr_array_free(told, TRUE);
}

void
mirror_receive(Mirror *m, const Gossip *w, int64_t now_us)
{
    if (w->feed < 0 || w->feed >= m->n_feeds) {
        return;
    }
    Feed *f = &m->feeds[w->feed];
    if (f->listing || !f->listed || f->doubt || f->urgent) {
        return;
    }
    switch (gossip_order(f->rev, w->from, w->page.rev)) {
    case GOSSIP_OLD:
        break;
    case GOSSIP_NEXT:
        apply_events(f, &w->page, NULL, now_us);
        /* A VM that the store turns away knows all by the others' news. */
        if ((f->pausing || (f->failing && !kv_busy(f->conn))) && !f->hinted) {
            m->put_off++;
            feed_pause(f, true, now_us);
        }
        break;
    case GOSSIP_MISSING:
        if (f->pausing && !f->hinted) {
            f->hinted = true;
            evl_arm(m->o.loop, &f->timer,
                    now_us + g_rand_int_range(m->o.rnd, 0, GAP_US));
        }
        break;
    }
}

static void
on_urgent(void *ctx, int status, Str body, int64_t now_us)
{
    Feed *f = ctx;
    KvPage p = {0};
    Err e = {0};

    if (status != 200 || !f->m->o.codec->read_page(body, &p, &e)) {
        kv_page_clear(&p);
        feed_failed(f, "list", status, now_us);
        return;
    }
    f->urgent = false;
    if (p.more) {
        /* Too many urgent keys for a part to be of use. */
        kv_page_clear(&p);
        feed_list(f);
        return;
    }
    kvcache_merge(f->known, &p, now_us);
    f->rev = p.rev;
    kv_page_clear(&p);
    feed_works(f);
    feed_pause(f, false, now_us);
    resync_run(f->gap, f->rev);
}

/* Reads the keys that bind at once; the watch goes on from there. */
static void
feed_urgent(Feed *f)
{
    f->m->calls++;
    kv_call(f->conn, f->m->o.codec->list(f->m->o.urgent, NULL, false),
            CALL_TIMEOUT_US, on_urgent, f);
}

/* Drops what an old list has told and nothing has confirmed. */
static void
forget_unconfirmed(Feed *f, int64_t now_us)
{
    kvcache_clear(f->known, f->rev, now_us);
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
        if (f->confirming || !f->listed) {
            forget_unconfirmed(f, now_us);
            feed_list(f);
        }
        else {
            f->urgent = true;
            resync_begin(f->gap);
            feed_urgent(f);
        }
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
    if (n >= BEHIND_EVENTS) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=behind prefix=%s rev=%" G_GUINT64_FORMAT, f->prefix,
                   f->rev);
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
    GossipTimes t = gossip_times(f->m->o.propagation_us);
    /* While calls fail, a waiting one would hide for as long that the store
     * is back. */
    bool at_once = f->confirming || f->checking || f->failing;
    int64_t limit_us = f->failing ? CALL_TIMEOUT_US : t.timeout_us;
    int wait_ms = at_once ? CONFIRM_WAIT_MS : (int)(t.wait_us / 1000);

    f->m->calls++;
    f->began_us = evl_boottime();
    kv_call(f->conn, f->m->o.codec->watch(f->prefix, f->rev, wait_ms),
            limit_us, on_watch, f);
}

static void
on_feed_timer(void *ctx, int64_t now_us)
{
    Feed *f = ctx;
    (void)now_us;

    f->pausing = false;
    if (f->urgent) {
        feed_urgent(f);
    }
    else if (f->confirming) {
        feed_watch(f);
    }
    else if (f->listing || !f->listed || f->doubt) {
        feed_list(f);
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
        if (!f->listed || f->listing || f->doubt || f->urgent) {
            continue;
        }
        /* An answer that waits in the socket is as old as the view. */
        kv_cancel(f->conn);
        evl_disarm(m->o.loop, &f->timer);
        f->pausing = false;
        f->checking = true;
        feed_watch(f);
    }
}

void
mirror_register(Mirror *m, const char *key, const char *value)
{
    registration_set(m->record, key, value);
}

Mirror *
mirror_new(const MirrorOpts *o)
{
    Mirror *m = g_new0(Mirror, 1);

    m->o = *o;
    while (o->prefixes[m->n_feeds] != NULL) {
        m->n_feeds++;
    }
    RegistrationOpts ro = {o->loop, o->log, o->codec, o->store, o->rnd};
    m->record = registration_new(&ro);
    m->feeds = g_new0(Feed, m->n_feeds);
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        f->m = m;
        f->prefix = o->prefixes[i];
        f->conn = kv_new(o->loop, &o->store);
        f->known = kvcache_new(on_key, f);
        ResyncOpts go = {.loop = o->loop,
                         .log = o->log,
                         .codec = o->codec,
                         .store = o->store,
                         .rnd = o->rnd,
                         .prefix = f->prefix,
                         .propagation_us = o->propagation_us,
                         .cache = f->known};
        f->gap = resync_new(&go);
        f->timer = (EvlTimer){.fn = on_feed_timer, .ctx = f};
        feed_list(f);
    }
    return m;
}

void
mirror_free(Mirror *m)
{
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        resync_free(f->gap);
        evl_disarm(m->o.loop, &f->timer);
        kv_free(f->conn);
        kvcache_free(f->known);
        g_free(f->after);
    }
    registration_free(m->record);
    g_free(m->feeds);
    g_free(m);
}

int64_t
mirror_calls(const Mirror *m)
{
    int64_t n = m->calls + registration_calls(m->record);

    for (int i = 0; i < m->n_feeds; i++) {
        n += resync_calls(m->feeds[i].gap);
    }
    return n;
}

int64_t
mirror_deferred(const Mirror *m)
{
    return m->put_off;
}
