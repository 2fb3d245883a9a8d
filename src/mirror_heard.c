/* mirror_heard - asks the store for the urgent keys although its watches
 * returned no change.  See mirror_state.h. */
#include "mirror_state.h"

bool
mirror_ask_urgent(Mirror *m)
{
    for (int i = 0; i < m->n_feeds; i++) {
        Feed *f = &m->feeds[i];
        if (!g_str_has_prefix(m->o.urgent, f->prefix)) {
            continue;
        }
        if (!f->listed || f->listing || f->relist || f->confirming ||
            f->urgent_pending || f->failing ||
            (kv_busy(f->conn) &&
             (kv_unread(f->conn) || kv_received(f->conn) > 0)) ||
            resync_lacks_changes(f->resync)) {
            return false;
        }
        kv_cancel(f->conn);
        evl_disarm(m->o.loop, &f->timer);
        f->pausing = false;
        f->urgent_pending = true;
        f->asked = true;
        mirror_feed_list_urgent(f);
        return true;
    }
    return false;
}

bool
mirror_feed_asked(Feed *f, const KvPage *p, int64_t now_us)
{
    bool ahead = kvcache_rev(f->cache) > p->rev;

    f->asked = false;
    f->lacked = false;
    kvcache_merge(f->cache, p, now_us);
    if (!ahead && !f->lacked) {
        /* The position stays: the events from it to the page's revision are
         * those of the next watch. */
        return false;
    }
    dlog_event(f->m->o.log, DLOG_WARN, "store",
               "event=position_wrong prefix=%s rev=%" G_GUINT64_FORMAT
               " store_rev=%" G_GUINT64_FORMAT,
               f->prefix, kvcache_rev(f->cache), p->rev);
    f->skip_copies = false;
    resync_begin(f->resync);
    kvcache_set_rev(f->cache, p->rev);
    return true;
}
