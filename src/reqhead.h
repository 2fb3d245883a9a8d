/*
 * reqhead - parse and check of the head of a caller's request.
 *
 * Pure.  Each error names the header, the value found, what is allowed and
 * the remedy.
 */
#ifndef MIMOSA_REQHEAD_H
#define MIMOSA_REQHEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limits.h"
#include "manifest.h"
#include "str.h"

/* Part of a request's way between entry VMs. */
typedef enum ReqStage {
    REQ_STAGE_ROUTE, /* on its way to where it is decided */
    REQ_STAGE_RUN    /* decided by the owner of its key; only to be run */
} ReqStage;

/* Headers as they stand in the request; empty: absent. */
typedef struct ReqHeadIn {
    Str path; /* "/v1/run/SERVICE/PATH" without the query */
    Str rank;
    Str deadline_ms;
    Str class;
    Str key;
    Str attempt;
    Str issued;
    Str home;
    Str hop;
    Str stage;
    Str client; /* address of the caller, from another entry */
    Str fleet;
    size_t head_bytes;
    int64_t body_bytes; /* Content-Length; -1: not told */
} ReqHeadIn;

typedef struct ReqHead {
    int service;
    int rank;
    int64_t deadline_us; /* relative to the arrival */
    MfClass class;
    char key[KEY_BYTES + 1]; /* empty: none */
    int attempt;
    int64_t issued_wall_us;
    int home; /* home zone of the key of once work; -1 for other work */
    int hop;  /* hops made so far; 0: from a caller */
    ReqStage stage;
    size_t path_offset; /* where PATH begins in in->path, with its slash */
} ReqHead;

/*
 * Parses and checks.  fleet: the value that Mimosa-Fleet must have for the
 * headers of internal hops.  Errors: ERR_NOT_FOUND (service), ERR_SYNTAX,
 * ERR_VALUE, ERR_LIMIT, ERR_AUTH.
 */
bool reqhead_parse(ReqHead *h, const ReqHeadIn *in, const Manifest *m,
                   const char *fleet, Err *e);

/* True when s is 1 to KEY_BYTES visible ASCII characters. */
bool reqhead_is_key(Str s);

/* Zones of a service are those with a target of it.  Returns the zone that a
 * hash chooses among them, or -1 when it has no target. */
int reqhead_zone_of_hash(const Manifest *m, int service, uint64_t hash);

#endif
