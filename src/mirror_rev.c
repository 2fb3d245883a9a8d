/* mirror_rev - the revision up to which a mirror's copy is complete.  See
 * mirror_state.h. */
#include "mirror_state.h"

void
mirror_feed_listed(Feed *f, const KvPage *p)
{
    uint64_t rev = f->stale ? p->proven_rev : p->rev;

    if (f->after == NULL || rev < kvcache_rev(f->cache)) {
        kvcache_set_rev(f->cache, rev);
    }
}

bool
mirror_feed_lacks_events(Feed *f, const KvPage *p)
{
    /* After a full answer the store has more events anyway. */
    bool above = p->n_sent < BEHIND_EVENTS && p->rev > kvcache_rev(f->cache);
    bool first = above && !f->rev_above;

    if (first) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=revision_without_event prefix=%s"
                   " rev=%" G_GUINT64_FORMAT " events=%d"
                   " events_rev=%" G_GUINT64_FORMAT,
                   f->prefix, p->rev, p->n_sent, kvcache_rev(f->cache));
    }
    f->rev_above = above;
    return first;
}

bool
mirror_feed_rev_back(Feed *f, const KvPage *p)
{
    if (f->replacing || p->rev >= f->asked_rev) {
        return false;
    }
    dlog_event(f->m->o.log, DLOG_WARN, "store",
               "event=revision_back prefix=%s asked=%" G_GUINT64_FORMAT
               " rev=%" G_GUINT64_FORMAT,
               f->prefix, f->asked_rev, p->rev);
    f->replacing = true;
    f->relist = true;
    f->listing = false;
    f->confirming = false;
    f->urgent_pending = false;
    return true;
}

void
mirror_feed_merge(Feed *f, const KvPage *p, int64_t now_us)
{
    if (f->replacing) {
        kvcache_replace(f->cache, p, now_us);
    }
    else {
        kvcache_merge(f->cache, p, now_us);
    }
}

void
mirror_feed_replaced(Feed *f, int64_t now_us)
{
    if (!f->replacing) {
        return;
    }
    kvcache_drop_newer(f->cache, kvcache_rev(f->cache), now_us);
    mirror_feed_log_replaced(f, now_us);
    f->replacing = false;
    /* Other VMs learn of it by their own next watch, and may have sent what
     * the store has lost. */
    f->gossip_from_us = now_us + f->m->o.propagation_us;
}
