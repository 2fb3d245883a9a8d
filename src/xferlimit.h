/*
 * xferlimit - time limit of a call whose answer may be large.
 *
 * A limit for the whole answer fails each large one on a slow link, and the
 * next call asks for the same again.  The answer therefore has to begin within
 * the limit.  From then on the limit is one for progress: it starts anew as
 * long as bytes arrive at XFERLIMIT_RATE or faster, up to XFERLIMIT_TOTAL_US.
 *
 * An answer cannot begin before what this VM itself has put on the way has
 * passed: answers of its other calls, and those that it has given up, whose
 * bytes still wait in front of a slow link.  A call that is given up meanwhile
 * would add its own answer to them.  The limit until an answer begins
 * therefore counts from the time at which they have passed on the slowest
 * link, at most XFERLIMIT_QUEUE_US later.
 */
#ifndef MIMOSA_XFERLIMIT_H
#define MIMOSA_XFERLIMIT_H

#include <stdbool.h>
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

/* Bytes that wait in front of a link at most. */
#define XFERLIMIT_QUEUE_BYTES 131072
#define XFERLIMIT_QUEUE_US                                                    \
    (INT64_C(1000000) * XFERLIMIT_QUEUE_BYTES / XFERLIMIT_LINK_RATE)
/* A store that has sent nothing for this time has put nothing on the way. */
#define XFERLIMIT_SILENT_US 5000000

/* What is on the way from one store to this VM, of all calls. */
typedef struct XferBacklog {
    int64_t clear_us;    /* has passed by then, on the slowest link */
    int64_t given_up_us; /* when an answer was last given up */
    int64_t received_us; /* when bytes last arrived */
} XferBacklog;

typedef struct XferLimit {
    int64_t limit_us;
    int64_t start_us;
    int64_t end_us;  /* the call fails then, unless bytes arrive before */
    int64_t last_us; /* end_us cannot exceed it; 0: no byte has arrived */
} XferLimit;

void xferlimit_start(XferLimit *x, int64_t limit_us, int64_t now_us);

/* Extends the limit by the bytes on the way, unless the answer has begun. Call
 * after xferlimit_start() and again before the call fails, as other answers
 * may have begun since. */
void xferlimit_extend(XferLimit *x, const XferBacklog *b);

/* Time until the bytes on the way have passed. */
int64_t xferlimit_backlog_us(const XferBacklog *b, int64_t now_us);

/* Bytes of an answer to a call that started at started_us have arrived.
 * left_bytes: of that answer, still to come; -1: not known. */
void xferlimit_backlog_received(XferBacklog *b, int64_t started_us,
                                int64_t left_bytes, int64_t now_us);

/* An answer was given up while it arrived; left_bytes as above. */
void xferlimit_backlog_given_up(XferBacklog *b, int64_t left_bytes,
                                int64_t now_us);

/* A call was given up before its answer began.  If it had to wait for bytes on
 * the way, these may be more than was assumed, and its answer follows them. */
void xferlimit_backlog_silent(XferBacklog *b, const XferLimit *x,
                              int64_t now_us);

/* Bytes of the answer have arrived. */
void xferlimit_received(XferLimit *x, size_t bytes, int64_t now_us);

#endif
