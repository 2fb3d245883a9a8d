/* gap - finds the changes that a watch has missed.  See gap.h. */
#include "gap.h"

#define CALL_TIMEOUT_US 1000000
/* Copies of the store lag, at times by seconds; the store itself is read after
 * a few tries, so that a VM which was cut off knows all within the time in
 * which a change has to be known.  With 12 tries of 0.7 s it used an upstream
 * 14 s after that had said that it leaves. */
#define STEP_PART 0.12 /* of that time, between tries */
#define STALE_TRIES 3
#define AGAIN_US 250000 /* until the second list */

struct Gap {
    GapOpts o;
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

static void read_page(Gap *g);

static void
read_later(Gap *g, int64_t us)
{
    double spread = g_rand_double_range(g->o.rnd, 0.7, 1.3);

    evl_arm(g->o.loop, &g->timer,
            evl_now(g->o.loop) + (int64_t)((double)us * spread));
}

static void
try_later(Gap *g)
{
    read_later(g, (int64_t)((double)g->o.notice_us * STEP_PART));
}

static void
list_ended(Gap *g, int64_t now_us)
{
    g_clear_pointer(&g->after, g_free);
    /* What has left must not wait for a second list; that one brings back what
     * the first may have lacked wrongly. */
    if (known_drop_missing(g->o.known, g->oldest, 1, now_us) > 0 &&
        !g->again) {
        g->again = true;
        read_later(g, AGAIN_US);
        return;
    }
    dlog_event(g->o.log, DLOG_INFO, "store",
               "event=gap_filled prefix=%s to=%" G_GUINT64_FORMAT " tries=%d",
               g->o.prefix, g->to, g->tries);
    gap_close(g);
}

/* Returns true when another page follows. */
static bool
take_page(Gap *g, const KvPage *p, int64_t now_us)
{
    if (g->after == NULL) {
        known_begin_list(g->o.known);
        g->oldest = p->rev;
    }
    g->oldest = MIN(g->oldest, p->rev);
    known_apply_old(g->o.known, p, now_us);
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
    Gap *g = ctx;
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
read_page(Gap *g)
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

Gap *
gap_new(const GapOpts *o)
{
    Gap *g = g_new0(Gap, 1);

    g->o = *o;
    g->conn = kv_new(o->loop, &o->store);
    g->timer = (EvlTimer){.fn = on_timer, .ctx = g};
    return g;
}

void
gap_free(Gap *g)
{
    gap_close(g);
    kv_free(g->conn);
    g_free(g);
}

void
gap_open(Gap *g)
{
    gap_close(g);
    g->open = true;
    known_keep_removed(g->o.known, true);
}

void
gap_fill(Gap *g, uint64_t to)
{
    g->to = to;
    read_page(g);
}

void
gap_close(Gap *g)
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
    known_keep_removed(g->o.known, false);
}

int64_t
gap_calls(const Gap *g)
{
    return g->calls;
}
