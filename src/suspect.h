/*
 * suspect - requests that crash the upstreams that run them.
 */
#ifndef MIMOSA_SUSPECT_H
#define MIMOSA_SUSPECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "limits.h"
#include "str.h"

typedef struct Suspects Suspects;

typedef enum SuspectState {
    SUSPECT_CLEAR,    /* run as any other */
    SUSPECT_ALONE,    /* run alone on a target */
    SUSPECT_CONVICTED /* refuse, not run */
} SuspectState;

/* What is shared between VMs. */
typedef struct SuspectUpdate {
    uint64_t fingerprint; /* fingerprint */
    SuspectState state;
    int64_t age_ms; /* since the crash */
} SuspectUpdate;

Suspects *suspect_new(size_t max);
void suspect_free(Suspects *s);

/* Fingerprint of a request from its parts; body: its first
 * BODY_HASH_BYTES. */
uint64_t suspect_fingerprint(Str service, Str method, Str path, Str key,
                             Str body);

/* A suspect that already runs alone elsewhere waits: *busy is set. */
SuspectState suspect_check(const Suspects *s, uint64_t print, bool *busy,
                           int64_t now_us);

/* An alone run begins; no second one may begin until its end. */
void suspect_begin_alone(Suspects *s, uint64_t print, int64_t now_us);

/*
 * An upstream died with these requests in flight.  alone: there was just one
 * and it ran alone as a suspect, which convicts it.  Fills news (n entries)
 * to be shared.
 */
void suspect_crash(Suspects *s, const uint64_t *prints, size_t n, bool alone,
                   int64_t now_us, SuspectUpdate *news);

/* An alone run ended well (clears) or undecided (stays a suspect).  Returns
 * true and fills news when there is something to share. */
bool suspect_end_alone(Suspects *s, uint64_t print, bool well, int64_t now_us,
                       SuspectUpdate *news);

/* Takes news from another VM; the worse state wins, but a clear by an alone
 * run wins over a suspicion that is older. */
void suspect_receive(Suspects *s, const SuspectUpdate *news, int64_t now_us);

/* Fills news with up to max suspects and convicts, for a VM that starts or
 * was cut off.  Returns the count. */
size_t suspect_list(const Suspects *s, SuspectUpdate *news, size_t max,
                    int64_t now_us);

void suspect_expire(Suspects *s, int64_t now_us);
size_t suspect_count(const Suspects *s);

#endif
