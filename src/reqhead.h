/*
 * reqhead - parser and validator of request heads.
 *
 * Has no state and does no I/O.  Each error text names the header, the value
 * received, the values allowed and the remedy.
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

/* Stage of a request on its path between entry VMs. */
typedef enum ReqStage {
    REQ_STAGE_ROUTE, /* forwarded to the VM that makes the decision */
    REQ_STAGE_RUN    /* decided by the owner of its key; to be run only */
} ReqStage;

/* Unparsed headers of a request; empty if absent. */
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
    Str client; /* address of the caller, set by another entry VM */
    Str fleet;
    size_t head_bytes;
    int64_t body_bytes; /* Content-Length; -1: absent */
} ReqHeadIn;

typedef struct ReqHead {
    int service;
    int rank;
    int64_t deadline_us; /* relative to the arrival of the request */
    MfClass class;
    char key[KEY_BYTES + 1]; /* idempotency key; empty: none */
    int attempt;
    int64_t issued_wall_us;
    int home; /* home zone of the key; -1 unless the class is MF_ONCE */
    int hop;  /* number of hops so far; 0: sent by a caller */
    ReqStage stage;
    size_t path_offset; /* offset in in->path of PATH, which starts with a
                           slash */
} ReqHead;

/*
 * Parses and validates a head.  fleet: token that Mimosa-Fleet must contain
 * for the headers of hops between entry VMs to be accepted.  Errors:
 * ERR_NOT_FOUND (service), ERR_SYNTAX, ERR_VALUE, ERR_LIMIT, ERR_AUTH.
 */
bool reqhead_parse(ReqHead *h, const ReqHeadIn *in, const Manifest *m,
                   const char *fleet, Err *e);

/* Returns true if s consists of 1 to KEY_BYTES visible ASCII characters. */
bool reqhead_is_key(Str s);

/* Returns the zone that the hash selects among the zones with a target of the
 * service, or -1 if the service has no target. */
int reqhead_zone_of_hash(const Manifest *m, int service, uint64_t hash);

#endif
