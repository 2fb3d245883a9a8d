/*
 * xferlimit - time limit of a call whose answer may be large.
 *
 * A limit for the whole answer fails each large one on a slow link, and the
 * next call asks for the same again.  The answer therefore has to begin within
 * the limit.  From then on the limit is one for progress: it starts anew as
 * long as bytes arrive at XFERLIMIT_RATE or faster, up to XFERLIMIT_TOTAL_US.
 */
#ifndef MIMOSA_XFERLIMIT_H
#define MIMOSA_XFERLIMIT_H

#include <stddef.h>
#include <stdint.h>

#include "limits.h"

/* Slowest link, in bytes per second, on which the largest answer is read. */
#define XFERLIMIT_LINK_RATE 60000
/* Minimum rate of an answer, in bytes per second.  Other calls may use the
 * link at the same time. */
#define XFERLIMIT_RATE (XFERLIMIT_LINK_RATE / 4)
/* A page whose last value, of the greatest size, exceeds its bytes; in base64.
 */
#define XFERLIMIT_ANSWER_BYTES                                                \
    ((STORE_PAGE_BYTES + STORE_VALUE_BYTES_MAX) / 3 * 4 +                     \
     STORE_PAGE_ITEMS * STORE_ITEM_BYTES)
/* Limit of a transfer.  What it brings grows old meanwhile. */
#define XFERLIMIT_TOTAL_US                                                    \
    (INT64_C(1000000) * XFERLIMIT_ANSWER_BYTES / XFERLIMIT_LINK_RATE)

typedef struct XferLimit {
    int64_t limit_us;
    int64_t end_us;  /* the call fails then, unless bytes arrive before */
    int64_t last_us; /* end_us cannot exceed it; 0: no byte has arrived */
} XferLimit;

void xferlimit_start(XferLimit *x, int64_t limit_us, int64_t now_us);

/* Bytes of the answer have arrived. */
void xferlimit_received(XferLimit *x, size_t bytes, int64_t now_us);

#endif
