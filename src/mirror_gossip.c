/* mirror_gossip - the age of a mirror's copy, and changes forwarded between
 * VMs. See mirror_state.h. */
#include "mirror_state.h"

#include <string.h>

void
mirror_notify_current(Mirror *m, int64_t now_us)
{
    m->behind = false;
    m->not_current = false;
    m->receiving = false;
    m->o.fns.current(m->o.ctx, now_us);
}

void
mirror_feed_confirm(Feed *f, int64_t at_us)
{
    Mirror *m = f->m;

    f->partial_us = MAX(f->partial_us, at_us);
    if (resync_lacks_changes(f->resync)) {
        return;
    }
    f->confirmed_us = f->partial_us;
    if (strcmp(m->source, "gossip") != 0) {
        f->confirmation = (MirrorConfirmation){
            .at_us = f->confirmed_us,
            .rev = kvcache_rev(f->cache),
            .history = m->history.current,
            .source = m->source,
        };
    }
    at_us = f->confirmed_us;
    for (int i = 0; i < m->n_feeds; i++) {
        at_us = MIN(at_us, m->feeds[i].confirmed_us);
    }
    if (m->o.fns.confirmed != NULL) {
        m->o.fns.confirmed(m->o.ctx, at_us);
    }
    if ((m->not_current || m->receiving) &&
        evl_boottime() - at_us <= m->o.propagation_us) {
        mirror_notify_current(m, evl_now(m->o.loop));
    }
}

MirrorConfirmation
mirror_confirmation(const Mirror *m)
{
    const MirrorConfirmation *oldest = &m->feeds[0].confirmation;

    for (int i = 1; i < m->n_feeds; i++) {
        const MirrorConfirmation *c = &m->feeds[i].confirmation;
        oldest = c->at_us < oldest->at_us ? c : oldest;
    }
    return *oldest;
}

int64_t
mirror_feed_age_us(const Feed *f)
{
    return evl_boottime() - f->confirmed_us;
}

int64_t
mirror_feed_watched_age_us(const Feed *f)
{
    return evl_boottime() - f->partial_us;
}

void
mirror_feed_pause(Feed *f, bool by_gossip, int64_t now_us)
{
    Mirror *m = f->m;
    double sample = g_rand_double(m->o.rnd);
    int64_t pause_us =
        by_gossip ? gossip_deferral_us(m->o.propagation_us,
                                       mirror_feed_watched_age_us(f), sample)
                  : gossip_pause_us(m->o.propagation_us, false, sample);

    f->pausing = true;
    evl_arm(m->o.loop, &f->timer, now_us + pause_us);
}

/* Shows which revisions and events other VMs were sent. */
static void
log_forwarded(const Feed *f, const KvPage *p, const GossipOut *o)
{
    if (p->items->len > 0) {
        dlog_event(f->m->o.log, DLOG_INFO, "store",
                   "event=forwarded prefix=%s from=%" G_GUINT64_FORMAT
                   " to=%" G_GUINT64_FORMAT " events=%u forwarded=%d",
                   f->prefix, o->from, o->to, p->items->len, o->n);
    }
}

int64_t
mirror_feed_answered_us(const Feed *f, guint n)
{
    int64_t waited_us = f->watch_start_us + f->watch_wait_us;

    if (n >= BEHIND_EVENTS) {
        /* Changes from before the watch may follow in the next answer. */
        return f->partial_us;
    }
    if (n > 0 || evl_boottime() < waited_us) {
        return f->watch_start_us;
    }
    /* Without an event the store has waited for the whole time, unless the
     * wait was cut short, and the answer was in the socket since then. */
    return CLAMP(evl_since(f->m->o.loop), f->watch_start_us, waited_us);
}

bool
mirror_feed_apply(Feed *f, const KvPage *p, int64_t now_us)
{
    Mirror *m = f->m;
    GPtrArray *forward = g_ptr_array_new();
    uint64_t from = kvcache_rev(f->cache);
    KvPage proven = *p;

    proven.rev = p->proven_rev;
    kvcache_apply_events(f->cache, &proven, forward, now_us);
    bool lacks_events = mirror_feed_lacks_events(f, p);
    int64_t since_failure_us =
        f->failed_us == 0 ? INT64_MAX : now_us - f->failed_us;
    if (!f->missed && !f->confirming && !lacks_events &&
        !mirror_feed_confirms_gossip(f, p) &&
        gossip_is_fresh(m->o.propagation_us,
                        evl_boottime() - f->watch_start_us,
                        since_failure_us)) {
        GossipOut o = {.feed = (int)(f - m->feeds),
                       .history = m->history.current,
                       .from = from,
                       .to = kvcache_rev(f->cache),
                       .items = (const KvItem *const *)forward->pdata,
                       .n = (int)forward->len,
                       .age_us = evl_boottime() -
                                 mirror_feed_answered_us(f, (guint)p->n_sent)};
        m->o.fns.announce(m->o.ctx, &o);
        log_forwarded(f, p, &o);
    }
    g_ptr_array_free(forward, TRUE);
    return !lacks_events;
}

/* Applies the items of a message before which revisions are missing, and
 * watches soon.  The message may be the first part of a large one. */
static void
revisions_missed(Feed *f, const Gossip *w, int64_t now_us)
{
    Mirror *m = f->m;
    int64_t due_us = now_us + gossip_missing_pause_us(m->o.propagation_us,
                                                      g_rand_double(m->o.rnd));

    m->missing++;
    m->source = "early_gossip";
    kvcache_apply_early(f->cache, &w->page, now_us);
    if (!f->pausing) {
        return;
    }
    if (!f->missed) {
        dlog_event(m->o.log, DLOG_INFO, "store",
                   "event=gossip_missing prefix=%s rev=%" G_GUINT64_FORMAT
                   " from=%" G_GUINT64_FORMAT " to=%" G_GUINT64_FORMAT
                   " items=%u copy_age_ms=%" G_GINT64_FORMAT,
                   f->prefix, kvcache_rev(f->cache), w->from, w->page.rev,
                   w->page.items->len, mirror_feed_age_us(f) / 1000);
    }
    f->missed = true;
    f->missed_rev = MAX(f->missed_rev, w->page.rev);
    if (due_us < f->timer.at_us) {
        evl_arm(m->o.loop, &f->timer, due_us);
    }
}

bool
mirror_feed_confirms_gossip(const Feed *f, const KvPage *p)
{
    return f->heard && p->n_sent == 0 && p->rev >= kvcache_rev(f->cache);
}

/* Arms the timer of the next watch after gossip that confirms the copy.  It
 * does not shorten the pause after a failed call. */
static void
defer_watch(Feed *f, int64_t now_us)
{
    int64_t retry_us = f->timer.at_us;

    f->m->deferred++;
    mirror_feed_pause(f, true, now_us);
    if (f->failing && f->timer.at_us < retry_us) {
        evl_arm(f->m->o.loop, &f->timer, retry_us);
    }
}

void
mirror_feed_pause_after_watch(Feed *f, bool confirms_gossip, int64_t now_us)
{
    if (confirms_gossip) {
        defer_watch(f, now_us);
    }
    else {
        mirror_feed_pause(f, f->missed, now_us);
    }
    f->missed = false;
}

void
mirror_receive(Mirror *m, const Gossip *w, int64_t now_us)
{
    if (w->feed < 0 || w->feed >= m->n_feeds) {
        return;
    }
    Feed *f = &m->feeds[w->feed];
    if (!mirror_hear_history(m, w->history, now_us) || f->listing ||
        !f->listed || f->relist || f->urgent_pending ||
        now_us < f->gossip_from_us) {
        return;
    }
    switch (gossip_order(kvcache_rev(f->cache), w->from, w->page.rev)) {
    case GOSSIP_OLD:
        break;
    case GOSSIP_NEXT:
        m->source = "gossip";
        int64_t known_us = f->partial_us;
        kvcache_apply_events(f->cache, &w->page, NULL, now_us);
        f->missed = f->missed && kvcache_rev(f->cache) < f->missed_rev;
        /* The message may have waited in the socket of this VM. */
        mirror_feed_confirm(f, evl_since(m->o.loop) - w->age_us);
        if (f->partial_us <= known_us) {
            break;
        }
        f->heard = true;
        /* A VM whose calls the store refuses stays current by gossip. */
        if ((f->pausing || (f->failing && !kv_busy(f->conn))) && !f->missed) {
            defer_watch(f, now_us);
        }
        break;
    case GOSSIP_MISSING:
        revisions_missed(f, w, now_us);
        break;
    }
}
