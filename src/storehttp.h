/*
 * storehttp - calls of the store over HTTP, one callback each.
 *
 * Every call passes the node's StoreLimit.  A call that gets no answer within
 * its time, or a status over 499, counts as failed and starts the backoff.
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
    int status;       /* HTTP status; 0: no answer, the outcome is unknown */
    uint64_t version; /* Store-Version, 0 when absent */
    GBytes *body;     /* borrowed; NULL when status is 0 */
    int64_t sent_us;  /* when the call was sent */
} StoreAnswer;

typedef void (*StoreDone)(void *ctx, const StoreAnswer *a, const Err *e);

StoreHttp *storehttp_new(const char *address, StoreLimit *q, GRand *rnd);
/* Cancels the calls under way; their callbacks are not called. */
void storehttp_free(StoreHttp *s);

/* Fault injection: while set, calls fail as if the link was cut. */
void storehttp_cut(StoreHttp *s, bool cut);

/*
 * Starts a call; path starts with "/".  body may be NULL.  Returns false when
 * the budget or the backoff forbids it now.
 */
bool storehttp_call(StoreHttp *s, const char *method, const char *path,
                    GBytes *body, unsigned timeout_ms, StoreDone done,
                    void *ctx);

#endif
