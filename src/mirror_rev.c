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
