/*
 * pxhead - heads of forwarded requests and of answers that are passed on.
 *
 * Pure.  The names of the headers come from outside, since the product's own
 * interface and a platform differ in them.
 */
#ifndef MIMOSA_PXHEAD_H
#define MIMOSA_PXHEAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "h1.h"

typedef struct PxHeaderNames {
    const char *attempt;       /* id of the caller's attempt */
    const char *affinity_key;  /* requests on one object carry one value */
    const char *time_left_ms;  /* how long the caller waits */
    const char *want_upstream; /* id of the upstream that is meant */
    const char *seal;          /* an upstream's proof of its answer */
    const char *not_run;       /* the upstream did not run the request */
    const char *load;          /* "running,waiting,slots" */
} PxHeaderNames;

/* Head of the request for an upstream, with its framing. */
GString *pxhead_request(const H1 *req, const PxHeaderNames *n,
                        const char *upstream, int64_t left_ms);

/* Status line and headers of an answer, without connection and framing. */
GString *pxhead_response(const H1 *ans);

typedef enum PxResponseKind {
    PX_RESPONSE_OWN,        /* answers this request */
    PX_RESPONSE_NOT_RUN,    /* says that the request was not run */
    PX_RESPONSE_MISMATCHED, /* belongs to another request */
    PX_RESPONSE_INVALID     /* a success without proof, or no id at all */
} PxResponseKind;

/* What an answer is, by its head.  attempt: the id that was sent. */
PxResponseKind pxhead_classify(const H1 *ans, const PxHeaderNames *n,
                               Str attempt);

/* Reads the load header; false when it is absent or malformed. */
bool pxhead_load(const H1 *ans, const PxHeaderNames *n, int *running,
                 int *waiting);

#endif
