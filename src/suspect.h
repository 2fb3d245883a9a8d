/*
 * suspect - requests that may crash the targets (upstreams) that run them.
 *
 * The requests in flight at a crash become suspects, which run alone on a
 * target.  A suspect whose run alone crashes its target is convicted and
 * refused for CONVICTED_MS; one whose run alone succeeds is cleared, and this
 * run is called the clearing run.
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
    SUSPECT_CLEAR,    /* run like any other request */
    SUSPECT_ALONE,    /* run without other requests on the target */
    SUSPECT_CONVICTED /* refuse */
} SuspectState;

/* State of a request as it is sent between VMs. */
typedef struct SuspectUpdate {
    uint64_t fingerprint; /* fingerprint of the request */
    SuspectState state;
    int64_t age_ms; /* time since the crash or the clearing run */
} SuspectUpdate;

/* max: limit of the entries. */
Suspects *suspect_new(size_t max);
void suspect_free(Suspects *s);

/* Fingerprint of a request.  Only the first BODY_HASH_BYTES of the body
 * count. */
uint64_t suspect_fingerprint(Str service, Str method, Str path, Str key,
                             Str body);

/* State of a request.  Sets *busy while the suspect already runs alone; the
 * caller then has to wait. */
SuspectState suspect_check(const Suspects *s, uint64_t fingerprint, bool *busy,
                           int64_t now_us);

/* Starts a run alone of a suspect.  No second one may start before its end. */
void suspect_begin_alone(Suspects *s, uint64_t fingerprint, int64_t now_us);

/*
 * Records that a target crashed with n requests in flight.  alone: the only
 * request in flight was a suspect that ran alone; it is convicted.  Fills
 * updates (n entries) for the other VMs.
 */
void suspect_crash(Suspects *s, const uint64_t *fingerprints, size_t n,
                   bool alone, int64_t now_us, SuspectUpdate *updates);

/* Ends a run alone.  success clears the request; otherwise it stays a suspect.
 * Returns true and fills update when other VMs have to be sent the result. */
bool suspect_end_alone(Suspects *s, uint64_t fingerprint, bool success,
                       int64_t now_us, SuspectUpdate *update);

/* Applies an update from another VM.  A conviction wins over other states; of
 * a suspicion and a clearing run the later one wins. */
void suspect_receive(Suspects *s, const SuspectUpdate *update, int64_t now_us);

/* Fills updates with up to max suspects and convicted requests, for a VM that
 * starts or was disconnected.  Returns the count. */
size_t suspect_list(const Suspects *s, SuspectUpdate *updates, size_t max,
                    int64_t now_us);

/* Drops entries that are older than CONVICTED_MS and don't run alone now. */
void suspect_expire(Suspects *s, int64_t now_us);
size_t suspect_count(const Suspects *s);

#endif
