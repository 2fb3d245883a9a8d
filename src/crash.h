/*
 * crash - requests that crash the upstreams that run them.
 *
 * A lost answer alone says little: answers get lost, and innocent requests
 * are in flight beside a guilty one.  A crash is counted when the answer was
 * lost and the upstream was then found down or started again.  A request
 * whose print was in flight at several such crashes is refused.  Crashes are
 * told to the other VMs, since the request may come back at any of them.
 * Pure.
 */
#ifndef MIMOSA_CRASH_H
#define MIMOSA_CRASH_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"
#include "ups.h"

/* Crashes after which a request is refused. */
#define CRASH_LIMIT 3

typedef struct Crashes Crashes;

typedef struct CrashUpdate {
    uint64_t fingerprint;
    uint64_t id; /* of the crash: hash of the upstream and its start */
} CrashUpdate;

Crashes *crash_new(void);
void crash_free(Crashes *c);

/* What makes a request the same when it comes back. */
uint64_t crash_fingerprint(Str method, Str target, Str object, Str body);

/* The answer of a request was lost at an upstream. */
void crash_answer_lost(Crashes *c, uint64_t print, Ups *u, int64_t now_us);

/* Another VM counted a crash. */
void crash_receive(Crashes *c, const CrashUpdate *n, int64_t now_us);

/* True when the request is to be refused. */
bool crash_should_refuse(Crashes *c, uint64_t print, int64_t now_us);

/* Crashes to tell other VMs, each a few times.  Returns the count. */
int crash_updates(Crashes *c, CrashUpdate *out, int max, int64_t now_us);

#endif
