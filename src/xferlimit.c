/* xferlimit - time limit of a call with a large answer.  See xferlimit.h. */
#include "xferlimit.h"

#include <glib.h>

/* Bytes that are read this long after the end were late because the process
 * got no processor time: a timer that is in time ends the call before. */
#define LATE_US 50000

void
xferlimit_start(XferLimit *x, int64_t limit_us, int64_t now_us)
{
    *x = (XferLimit){.limit_us = limit_us, .end_us = now_us + limit_us};
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
