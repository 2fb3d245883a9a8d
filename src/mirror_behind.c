/* mirror_behind - reports that a mirror's copy lacks changes, or is likely to.
 * See mirror_state.h. */
#include "mirror_state.h"

void
mirror_feed_changes_missed(Feed *f, int64_t now_us)
{
    Mirror *m = f->m;

    if (!m->behind && f->listed &&
        mirror_feed_age_us(f) > m->o.propagation_us) {
        m->behind = true;
        m->not_current = true;
        m->o.fns.behind(m->o.ctx, now_us);
    }
}

/* An answer of the store that does not arrive at once is likely to hold
 * changes, but may also have no end. */
static void
report_receiving(Feed *f, int64_t now_us)
{
    Mirror *m = f->m;

    if (m->o.fns.receiving != NULL && !m->receiving && f->listed &&
        mirror_feed_age_us(f) > m->o.propagation_us) {
        m->receiving = true;
        m->o.fns.receiving(m->o.ctx, now_us);
    }
}

void
mirror_on_begin(void *ctx, int status, int64_t now_us)
{
    Feed *f = ctx;
    int64_t left_us = f->m->o.propagation_us - mirror_feed_age_us(f);

    if (status != 200) {
        return;
    }
    report_receiving(f, now_us);
    if (left_us >= 0) {
        evl_arm(f->m->o.loop, &f->too_old, now_us + left_us + 1);
    }
}

void
mirror_on_too_old(void *ctx, int64_t now_us)
{
    Feed *f = ctx;

    if (kv_busy(f->conn)) {
        report_receiving(f, now_us);
    }
}
