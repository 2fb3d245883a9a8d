/*
 * storehttp - asynchronous calls to the store over HTTP.
 *
 * Answers are read by h1, so that a malformed one is none; libsoup leaves
 * malformed header lines out and reads the rest.
 *
 * Every call takes a token of the node's StoreLimit.  A call without an answer
 * within its time-out, or with a status of 500 or more, has failed and starts
 * the backoff.
 */
#ifndef MIMOSA_STOREHTTP_H
#define MIMOSA_STOREHTTP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "storelimit.h"

typedef struct StoreHttp StoreHttp;

typedef struct StoreAnswer {
    int status;       /* HTTP status; 0: failed, the outcome is unknown */
    uint64_t version; /* Store-Version, 0 when absent */
    GBytes *body;     /* borrowed; do not use when status is 0 */
    int64_t sent_us;  /* time at which the call was sent */
} StoreAnswer;

/* Called once for each started call, unless storehttp_free() cancels it.  With
 * status 0, e holds the error, if one was reported. */
typedef void (*StoreDone)(void *ctx, const StoreAnswer *a, const Err *e);

/* Neither q nor rnd is copied. */
StoreHttp *storehttp_new(const char *address, StoreLimit *q, GRand *rnd);
/* Cancels the outstanding calls; their callbacks are not called. */
void storehttp_free(StoreHttp *s);

/* Fault injection: while cut is true, calls fail as if the link was down. */
void storehttp_cut(StoreHttp *s, bool cut);

/*
 * Starts a call; path begins with "/", body may be NULL.  timeout_ms: until
 * the head of the answer is complete, and then without progress; see
 * xferlimit.h.  Returns false, and does not call done, if the budget or the
 * backoff does not allow a call now, or during an injected fault.
 */
bool storehttp_call(StoreHttp *s, const char *method, const char *path,
                    GBytes *body, unsigned timeout_ms, StoreDone done,
                    void *ctx);

#endif
