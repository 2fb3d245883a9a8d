/* resync - finds the changes that a watch has missed.  See resync.h. */
#include "resync.h"

#define CALL_TIMEOUT_US 1000000
/* Copies of the store lag, at times by seconds.  The store itself is read
 * after a few tries, so that a VM that was cut off has all changes within the
 * propagation time.  With 12 tries at 0.7 s a VM still used an upstream 14 s
 * after the upstream had announced its shutdown. */
#define RETRY_SHARE 0.12 /* pause between tries / propagation time */
#define STALE_TRIES 3
#define SECOND_LIST_US 250000 /* until the second list */

struct Resync {
    ResyncOpts o;
    bool active;
    bool lacks_changes;
    bool running;   /* from resync_run() on */
    bool unbounded; /* begun, and resync_run() has not named "to" since */
    uint64_t to;
    uint64_t list_to; /* "to" when this list began */
    KvConn *conn;
    EvlTimer timer;
    char *after;      /* last key of the previous page */
    uint64_t oldest;  /* lowest revision among the pages of this list */
    bool second_list; /* the first list lacked cached keys; list once more */
    int tries;        /* answers that were too old */
    int64_t calls;
};

static void read_page(Resync *g);

static void
schedule_read(Resync *g, int64_t us)
{
    double jitter = g_rand_double_range(g->o.rnd, 0.7, 1.3);

    evl_arm(g->o.loop, &g->timer,
            evl_now(g->o.loop) + (int64_t)((double)us * jitter));
}

static void
schedule_try(Resync *g)
{
    schedule_read(g, (int64_t)((double)g->o.propagation_us * RETRY_SHARE));
}

static void
on_list_end(Resync *g, int64_t now_us)
{
    g_clear_pointer(&g->after, g_free);
    /* Missing keys are dropped after the first list, so that upstreams that
     * left are not used any longer.  A second list restores keys that the
     * first one lacked by mistake. */
    bool dropped = kvcache_drop_missing(g->o.cache, g->oldest, 1, now_us) > 0;
    if (g->oldest < g->to) {
        /* More changes were missed since the list began. */
        read_page(g);
        return;
    }
    if (g->lacks_changes) {
        g->lacks_changes = false;
        g->o.found(g->o.ctx, now_us);
    }
    if (g->unbounded) {
        /* Other changes were missed meanwhile; resync_run() is to follow. */
        g->lacks_changes = true;
        g->running = false;
        return;
    }
    if (dropped && !g->second_list) {
        g->second_list = true;
        schedule_read(g, SECOND_LIST_US);
        return;
    }
    dlog_event(g->o.log, DLOG_INFO, "store",
               "event=gap_filled prefix=%s to=%" G_GUINT64_FORMAT " tries=%d",
               g->o.prefix, g->to, g->tries);
    resync_end(g);
}

/* Applies a page of the list.  Returns true when another page follows. */
static bool
apply_page(Resync *g, const KvPage *p, int64_t now_us)
{
    if (g->after == NULL) {
        kvcache_begin_list(g->o.cache);
        g->oldest = p->rev;
    }
    g->oldest = MIN(g->oldest, p->rev);
    g->o.merging(g->o.ctx);
    kvcache_merge(g->o.cache, p, now_us);
    if (!p->more || p->items->len == 0) {
        return false;
    }
    g_free(g->after);
    g->after =
        g_strdup(g_array_index(p->items, KvItem, p->items->len - 1).key);
    return true;
}

static void
on_page(void *ctx, int status, Str body, int64_t now_us)
{
    Resync *g = ctx;
    KvPage p = {0};

    if (status == KV_LATER) {
        return;
    }
    g->tries += status == KV_FORMER ? 1 : 0; /* a copy that is too old */
    if (status != 200 || !kvpage_read(g->o.pages, KVPAGE_LIST, body, &p)) {
        schedule_try(g);
    }
    else if (p.rev < g->list_to) {
        g->tries++;
        schedule_try(g);
    }
    else if (apply_page(g, &p, now_us)) {
        read_page(g);
    }
    else {
        on_list_end(g, now_us);
    }
    kv_page_clear(&p);
}

static void
read_page(Resync *g)
{
    if (g->after == NULL) {
        g->list_to = g->to;
    }
    g->calls++;
    kv_call(
        g->conn,
        g->o.pages->codec->list(g->o.prefix, g->after, g->tries < STALE_TRIES),
        CALL_TIMEOUT_US, on_page, g);
}

static void
on_timer(void *ctx, int64_t now_us)
{
    (void)now_us;
    read_page(ctx);
}

Resync *
resync_new(const ResyncOpts *o)
{
    Resync *g = g_new0(Resync, 1);

    g->o = *o;
    g->conn = kv_new(o->loop, &o->store, o->log);
    kv_share_backlog(g->conn, o->backlog);
    kv_share_history(g->conn, o->history);
    g->timer = (EvlTimer){.fn = on_timer, .ctx = g};
    return g;
}

void
resync_free(Resync *g)
{
    resync_end(g);
    kv_free(g->conn);
    g_free(g);
}

void
resync_begin(Resync *g)
{
    if (g->lacks_changes) {
        g->unbounded = true;
        return;
    }
    resync_end(g);
    g->active = true;
    g->lacks_changes = true;
    g->unbounded = true;
    kvcache_keep_removed(g->o.cache, true);
}

void
resync_run(Resync *g, uint64_t to, bool copies)
{
    g->to = to;
    g->unbounded = false;
    if (!copies) {
        g->tries = STALE_TRIES;
    }
    if (!g->running) {
        g->running = true;
        read_page(g);
    }
}

void
resync_end(Resync *g)
{
    if (!g->active) {
        return;
    }
    evl_disarm(g->o.loop, &g->timer);
    kv_cancel(g->conn);
    g_clear_pointer(&g->after, g_free);
    g->active = false;
    g->running = false;
    g->unbounded = false;
    g->lacks_changes = false;
    g->second_list = false;
    g->tries = 0;
    kvcache_keep_removed(g->o.cache, false);
}

bool
resync_lacks_changes(const Resync *g)
{
    return g->lacks_changes;
}

int64_t
resync_calls(const Resync *g)
{
    return g->calls;
}
