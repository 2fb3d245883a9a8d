/* mirror_history - a store that begins another history, as it came back from
 * an older copy.  See mirror_state.h. */
#include "mirror_state.h"

/* The store's answers lack what was written after its copy was made, until it
 * is written again.  Upstreams and VMs do so at once; an entry that is still
 * missing two seconds after the store's return counts as gone. */
#define RESTORE_US 2000000
/* The same for the urgent keys, which the operator writes again.  Using the
 * upstreams of a zone that was drained is worse than using them late. */
#define RESTORE_URGENT_US 10000000
/* While the list is not complete at that time. */
#define RESTORE_RETRY_US 250000

/* All calls of a former history end, also those whose answers the store
 * delays, and the keys are listed from the store itself, as copies of it may
 * be of the former history still. */
static void
begin_history(Feed *f, int64_t now_us)
{
    Mirror *m = f->m;

    kv_cancel(f->conn);
    evl_disarm(m->o.loop, &f->timer);
    resync_end(f->resync);
    f->pausing = false;
    f->listing = false;
    f->confirming = false;
    f->urgent_pending = false;
    f->asked = false;
    f->missed = false;
    f->again = false;
    f->rev_above = false;
    f->relist = true;
    f->replacing = true;
    f->history_us = now_us;
    if (f->listed) {
        mirror_feed_changes_missed(f, now_us);
        kvcache_begin_history(f->cache);
        evl_arm(m->o.loop, &f->restore, now_us + RESTORE_US);
    }
    else {
        kvcache_clear(f->cache, 0, now_us); /* not confirmed, and not in use */
        kvcache_set_rev(f->cache, 0);
    }
    mirror_feed_list(f);
}

static void
on_restore(void *ctx, int64_t now_us)
{
    Feed *f = ctx;
    Mirror *m = f->m;
    bool all = now_us - f->history_us >= RESTORE_URGENT_US;

    if (f->replacing) {
        evl_arm(m->o.loop, &f->restore, now_us + RESTORE_RETRY_US);
        return;
    }
    int n = kvcache_drop_former(f->cache, all ? NULL : m->o.urgent, now_us);
    if (n > 0) {
        dlog_event(m->o.log, DLOG_WARN, "store",
                   "event=not_restored prefix=%s keys=%d", f->prefix, n);
    }
    if (!all) {
        evl_arm(m->o.loop, &f->restore, f->history_us + RESTORE_URGENT_US);
    }
}

static void
on_history(void *ctx, uint64_t before, int64_t now_us)
{
    Mirror *m = ctx;

    dlog_event(m->o.log, DLOG_WARN, "store",
               "event=history_begun history=%" G_GUINT64_FORMAT
               " before=%" G_GUINT64_FORMAT " rev=%" G_GUINT64_FORMAT,
               m->history.current, before, kvcache_rev(m->feeds[0].cache));
    m->histories++;
    if (m->o.fns.history_begun != NULL) {
        m->o.fns.history_begun(m->o.ctx, now_us);
    }
    registration_begin_history(m->registration);
    for (int i = 0; i < m->n_feeds; i++) {
        begin_history(&m->feeds[i], now_us);
    }
}

void
mirror_init_history(Mirror *m)
{
    m->history = (KvHist){.log = m->o.log,
                          .header = m->o.codec->history_header,
                          .begun = on_history,
                          .ctx = m};
}

void
mirror_feed_init_history(Feed *f)
{
    kv_share_history(f->conn, &f->m->history);
    f->restore = (EvlTimer){.fn = on_restore, .ctx = f};
}

void
mirror_feed_log_replaced(const Feed *f, int64_t now_us)
{
    if (f->history_us != 0) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=history_listed prefix=%s"
                   " history=%" G_GUINT64_FORMAT " rev=%" G_GUINT64_FORMAT
                   " lacking=%d took_ms=%" G_GINT64_FORMAT,
                   f->prefix, f->m->history.current, kvcache_rev(f->cache),
                   kvcache_former(f->cache), (now_us - f->history_us) / 1000);
    }
}

uint64_t
mirror_history(const Mirror *m)
{
    return m->history.current;
}

bool
mirror_hear_history(Mirror *m, uint64_t history, int64_t now_us)
{
    KvHistOrder order = kvhist_order(m->history.current, history);

    if (order != KVHIST_LATER) {
        return order == KVHIST_CURRENT;
    }
    for (int i = 0; i < m->n_feeds; i++) {
        if (kv_busy(m->feeds[i].conn) && kv_received(m->feeds[i].conn) > 0) {
            return false; /* the answer under way names the history */
        }
    }
    /* Only the store itself can confirm it.  A message may be wrong, so it
     * causes a call no more often than a watch is due anyway. */
    if (m->history_asked_us == 0 ||
        now_us - m->history_asked_us >= m->o.propagation_us) {
        m->history_asked_us = now_us;
        dlog_event(m->o.log, DLOG_INFO, "store",
                   "event=history_heard history=%" G_GUINT64_FORMAT
                   " own=%" G_GUINT64_FORMAT,
                   history, m->history.current);
        mirror_revalidate(m);
    }
    return false;
}
