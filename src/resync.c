/* resync - finds the changes that a watch has missed.  See resync.h. */
#include "resync.h"

#define CALL_TIMEOUT_US 1000000
/* Copies of the store lag, at times by seconds; the store itself is read after
 * a few tries, so that a VM which was cut off knows all within the time in
 * which a change has to be known.  With 12 tries of 0.7 s it used an upstream
 * 14 s after that had said that it leaves. */
#define STEP_PART 0.12 /* of that time, between tries */
#define STALE_TRIES 3
#define AGAIN_US 250000 /* until the second list */

struct Resync {
    ResyncOpts o;
    bool open;
    uint64_t to;
    KvConn *conn;
    EvlTimer timer;
    char *after;     /* last key of the page before */
    uint64_t oldest; /* revision of the pages of this list */
    bool again;      /* the list lacked known keys */
    int tries;       /* copies that were too old */
    int64_t calls;
};

static void read_page(Resync *g);

static void
read_later(Resync *g, int64_t us)
{
    double spread = g_rand_double_range(g->o.rnd, 0.7, 1.3);

    evl_arm(g->o.loop, &g->timer,
            evl_now(g->o.loop) + (int64_t)((double)us * spread));
}

static void
try_later(Resync *g)
{
    read_later(g, (int64_t)((double)g->o.propagation_us * STEP_PART));
}

static void
list_ended(Resync *g, int64_t now_us)
{
    g_clear_pointer(&g->after, g_free);
    /* What has left must not wait for a second list; that one brings back what
     * the first may have lacked wrongly. */
    if (kvcache_drop_missing(g->o.cache, g->oldest, 1, now_us) > 0 &&
        !g->again) {
        g->again = true;
        read_later(g, AGAIN_US);
        return;
    }
    dlog_event(g->o.log, DLOG_INFO, "store",
               "event=gap_filled prefix=%s to=%" G_GUINT64_FORMAT " tries=%d",
               g->o.prefix, g->to, g->tries);
    resync_end(g);
}

/* Returns true when another page follows. */
static bool
take_page(Resync *g, const KvPage *p, int64_t now_us)
{
    if (g->after == NULL) {
        kvcache_begin_list(g->o.cache);
        g->oldest = p->rev;
    }
    g->oldest = MIN(g->oldest, p->rev);
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
    Err e = {0};

    if (status != 200 || !g->o.codec->read_page(body, &p, &e)) {
        try_later(g);
    }
    else if (p.rev < g->to) {
        g->tries++;
        try_later(g);
    }
    else if (take_page(g, &p, now_us)) {
        read_page(g);
    }
    else {
        list_ended(g, now_us);
    }
    kv_page_clear(&p);
}

static void
read_page(Resync *g)
{
    g->calls++;
    kv_call(g->conn,
            g->o.codec->list(g->o.prefix, g->after, g->tries < STALE_TRIES),
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
    g->conn = kv_new(o->loop, &o->store);
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
    resync_end(g);
    g->open = true;
    kvcache_keep_removed(g->o.cache, true);
}

void
resync_run(Resync *g, uint64_t to)
{
    g->to = to;
    read_page(g);
}

void
resync_end(Resync *g)
{
    if (!g->open) {
        return;
    }
    evl_disarm(g->o.loop, &g->timer);
    kv_cancel(g->conn);
    g_clear_pointer(&g->after, g_free);
    g->open = false;
    g->again = false;
    g->tries = 0;
    kvcache_keep_removed(g->o.cache, false);
}

int64_t
resync_calls(const Resync *g)
{
    return g->calls;
}
