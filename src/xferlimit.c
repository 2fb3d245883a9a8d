/* xferlimit - time limit of a call with a large answer.  See xferlimit.h. */
#include "xferlimit.h"

#include <glib.h>

/* Bytes that are read this long after the end were late because the process
 * got no processor time: a timer that is in time ends the call before. */
#define LATE_US 50000

void
xferlimit_start(XferLimit *x, int64_t limit_us, int64_t now_us)
{
    *x = (XferLimit){
        .limit_us = limit_us, .start_us = now_us, .end_us = now_us + limit_us};
}

void
xferlimit_extend(XferLimit *x, const XferBacklog *b)
{
    int64_t passed_us = MIN(b->clear_us, x->start_us + XFERLIMIT_QUEUE_US);

    if (x->last_us == 0) {
        x->end_us = MAX(x->end_us, passed_us + x->limit_us);
    }
}

int64_t
xferlimit_backlog_us(const XferBacklog *b, int64_t now_us)
{
    return MAX(b->clear_us - now_us, 0);
}

static void
add_on_way(XferBacklog *b, int64_t bytes, int64_t now_us)
{
    int64_t most = XFERLIMIT_QUEUE_BYTES;
    int64_t n = bytes < 0 ? most : MIN(bytes, most);

    b->clear_us =
        MAX(b->clear_us, now_us + INT64_C(1000000) * n / XFERLIMIT_LINK_RATE);
}

void
xferlimit_backlog_received(XferBacklog *b, int64_t started_us,
                           int64_t left_bytes, int64_t now_us)
{
    b->received_us = now_us;
    if (started_us >= b->given_up_us) {
        /* What was given up before has passed. */
        b->clear_us = now_us;
    }
    add_on_way(b, left_bytes, now_us);
}

void
xferlimit_backlog_given_up(XferBacklog *b, int64_t left_bytes, int64_t now_us)
{
    b->given_up_us = now_us;
    add_on_way(b, left_bytes, now_us);
}

void
xferlimit_backlog_silent(XferBacklog *b, const XferLimit *x, int64_t now_us)
{
    bool waited = x->end_us > x->start_us + x->limit_us;

    if (waited && now_us - b->received_us < XFERLIMIT_SILENT_US) {
        xferlimit_backlog_given_up(b, XFERLIMIT_QUEUE_BYTES, now_us);
    }
}

void
xferlimit_received(XferLimit *x, size_t bytes, int64_t now_us)
{
    int64_t earned_us = INT64_C(1000000) * (int64_t)bytes / XFERLIMIT_RATE;

    if (bytes == 0) {
        return;
    }
    if (x->last_us == 0) {
        x->last_us = now_us + XFERLIMIT_TOTAL_US;
        x->end_us = now_us + x->limit_us;
    }
    else if (now_us - x->end_us > LATE_US) {
        x->end_us = now_us + x->limit_us;
    }
    else {
        x->end_us = MIN(x->end_us + earned_us, now_us + x->limit_us);
    }
    x->end_us = MIN(x->end_us, x->last_us);
}
