/*
 * crash - requests that crash the upstreams that run them.
 *
 * A lost answer alone is weak evidence: answers also get lost for other
 * reasons, and other requests are in flight beside the one that causes a
 * crash.  A crash is counted when the answer was lost and the upstream was
 * then found down or restarted.  A request whose fingerprint was in flight at
 * CRASH_LIMIT such crashes is refused.  Crashes are sent to the other VMs,
 * since callers may repeat the request at any of them.
 *
 * No sockets and no clock: callers pass the time in microseconds.
 */
#ifndef MIMOSA_CRASH_H
#define MIMOSA_CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "str.h"
#include "ups.h"

/* Crashes after which a request is refused. */
#define CRASH_LIMIT 3

typedef struct Crashes Crashes;

/* A crash as it is sent between VMs. */
typedef struct CrashUpdate {
    uint64_t fingerprint; /* fingerprint of the request */
    uint64_t id; /* of the crash: hash of the upstream and its start */
} CrashUpdate;

typedef struct CrashOpts {
    Dlog *log; /* NULL: no lines */
} CrashOpts;

Crashes *crash_new(const CrashOpts *o);
void crash_free(Crashes *c);

/* Fingerprint of a request; equal when the request is repeated. */
uint64_t crash_fingerprint(Str method, Str target, Str object, Str body);

/* Records that an upstream lost the answer of a request.  Takes a reference
 * to u while the entry exists. */
void crash_response_lost(Crashes *c, uint64_t fingerprint, Ups *u,
                         int64_t now_us);

/* Adds a crash that another VM counted. */
void crash_receive(Crashes *c, const CrashUpdate *update, int64_t now_us);

/* True when the fingerprint was in flight at CRASH_LIMIT crashes or more. */
bool crash_should_refuse(Crashes *c, uint64_t fingerprint, int64_t now_us);

/* Fills out with up to max crashes, own and received ones, for the next
 * heartbeat to other VMs; each crash is returned by a few calls.  Returns the
 * count. */
int crash_updates(Crashes *c, CrashUpdate *out, int max, int64_t now_us);

/* Appends the counters: lost answers, crashes confirmed, not confirmed, sent,
 * received and dropped; entries kept. */
void crash_metrics(const Crashes *c, GString *out);

#endif
