/*
 * pxhead - heads of forwarded requests and responses.
 *
 * No I/O and no state.  The caller passes the names of the headers, because
 * they differ between this program's own interface and a platform.
 */
#ifndef MIMOSA_PXHEAD_H
#define MIMOSA_PXHEAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "h1.h"

typedef struct PxHeaderNames {
    const char *attempt;       /* id of the caller's attempt */
    const char *affinity_key;  /* the same for all requests for an object */
    const char *time_left_ms;  /* time until the caller's deadline */
    const char *want_upstream; /* id of the upstream that must run it */
    const char *seal;          /* proof that the upstream sent the response */
    const char *not_run; /* set if the upstream did not run the request */
    const char *load;    /* load report: "running,waiting,slots" */
    const char *leaving; /* "1" if the upstream is leaving */
} PxHeaderNames;

/* Returns the head of the request to an upstream, framing headers included.
 * left_ms: time until the deadline.  Release with g_string_free(). */
GString *pxhead_request(const H1 *req, const PxHeaderNames *n,
                        const char *upstream, int64_t left_ms);

/* Returns status line and headers of a response, without hop-by-hop headers
 * and framing.  Release with g_string_free(). */
GString *pxhead_response(const H1 *resp);

typedef enum PxResponseKind {
    PX_RESPONSE_OWN,        /* response to this request */
    PX_RESPONSE_NOT_RUN,    /* the upstream did not run this request */
    PX_RESPONSE_MISMATCHED, /* response to another request */
    PX_RESPONSE_INVALID     /* no attempt id, or a success without proof */
} PxResponseKind;

/* Classifies a response by its head.  attempt: the id that was sent. */
PxResponseKind pxhead_classify(const H1 *resp, const PxHeaderNames *n,
                               Str attempt);

/* Returns true if the response announces that its upstream leaves.  A response
 * to another request, or of another upstream at the address, announces
 * nothing. */
bool pxhead_announces_leaving(const H1 *resp, const PxHeaderNames *n,
                              Str attempt);

/* Returns the time in us for which the upstream of a response with status 503
 * asked to be sent nothing (Retry-After); 0: none.  As above, other responses
 * count for nothing.  wall_us: time since the epoch. */
int64_t pxhead_wait_us(const H1 *resp, const PxHeaderNames *n, Str attempt,
                       int64_t wall_us);

/* Parses the load header.  Returns false if it is absent or malformed. */
bool pxhead_load(const H1 *resp, const PxHeaderNames *n, int *running,
                 int *waiting);

#endif
