/*
 * crashmsg - messages between VMs about requests that crash upstreams, as XDR
 * datagrams.
 *
 * Times are sent as ages, as the clocks of VMs differ.
 */
#ifndef MIMOSA_CRASHMSG_H
#define MIMOSA_CRASHMSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "dgram.h"
#include "err.h"

#define CRASHMSG_REPORTS_MAX 44
#define CRASHMSG_VERDICTS_MAX 10

/* A crash while a request was in flight. */
typedef struct CrashReport {
    uint64_t fingerprint; /* of the request */
    uint64_t crash;       /* hash of the upstream and its start */
    int64_t age_us;       /* since the answer was lost */
    bool served_before;   /* the VM had served the request before */
} CrashReport;

typedef struct CrashVerdict {
    uint64_t fingerprint;
    bool served;        /* an upstream served the request; else it crashes
                           upstreams and is refused */
    bool contested;     /* a VM had served it before its crashes */
    int64_t age_us;     /* since it was served, or since its first crash */
    int64_t refused_us; /* since it was last refused; 0 if served */
    int weight; /* crashes and refusals; those with most are kept longest */
} CrashVerdict;

typedef struct CrashMsg {
    int n_reports;
    CrashReport reports[CRASHMSG_REPORTS_MAX];
    int n_verdicts;
    CrashVerdict verdicts[CRASHMSG_VERDICTS_MAX];
} CrashMsg;

/* Returns the length, or 0 if cap is too small. */
size_t crashmsg_encode(const CrashMsg *m, char *out, size_t cap);

/* True if a datagram is of this kind. */
bool crashmsg_is(const char *p, size_t n);

/* Errors: ERR_PROTOCOL. */
bool crashmsg_decode(CrashMsg *m, const char *p, size_t n, Err *e);

#endif
