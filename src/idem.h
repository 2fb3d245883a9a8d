/*
 * idem - idempotency records of the key ranges that this VM owns.
 *
 * A record holds the state of a request, identified by its idempotency key,
 * so that a resend of the request does not run again.  Asserts the invariants
 * "at_most_once" (a key whose record is running or done does not start again)
 * and "not_run" (a key reported as not-run is not done).  Times are in
 * microseconds of the wall clock.
 */
#ifndef MIMOSA_IDEM_H
#define MIMOSA_IDEM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "limits.h"
#include "str.h"

typedef struct Idem Idem;

typedef struct IdemOpts {
    size_t records_max;
    int64_t window_us; /* time after issue for which resends are accepted */
    int64_t clock_error_us; /* greatest error of a caller's wall clock;
                               records are kept for
                               window_us + 2 * clock_error_us */
} IdemOpts;

Idem *idem_new(const IdemOpts *o);
void idem_free(Idem *d);

/* Hash of the key and the service, and the key range of such a hash, which is
 * given by its low bits. */
uint64_t idem_hash(Str service, Str key);
int idem_range(uint64_t key_hash);

/*
 * Sets the ownership of a range.  tenure_wall_us is the time since which this
 * VM has owned the range without a lapse while the predecessor was certain to
 * have stopped; 0 if that is not so (the tenure is not clean).  full is false
 * in isolated mode, in which only first attempts run.  A tenure that begins
 * before the first call of idem_begin() counts from that call, because the
 * records of an earlier process are lost.
 */
void idem_set_ownership(Idem *d, int range, bool owned, bool full,
                        int64_t tenure_wall_us);

typedef struct IdemRequest {
    uint64_t key;           /* from idem_hash() */
    int attempt;            /* 1 for the first attempt, more for resends */
    int64_t issued_wall_us; /* time of the first attempt, caller's clock */
} IdemRequest;

typedef enum IdemAction {
    IDEM_RUN,      /* run it; the record is running until idem_finish() */
    IDEM_WAIT,     /* another attempt is running: wait for its result */
    IDEM_REPLAY,   /* done: reply from the record */
    IDEM_UNKNOWN,  /* reply that the outcome is unknown */
    IDEM_NOT_RUN,  /* reply that the request was not run */
    IDEM_NOT_OWNER /* forward to the owner */
} IdemAction;

typedef enum IdemReason {
    IDEM_FIRST,            /* first attempt, no record */
    IDEM_RESEND_CLEAN,     /* no record, tenure clean: the key never ran */
    IDEM_RESEND_NO_RECORD, /* no record: may have run at an earlier owner */
    IDEM_RECORD,           /* decided by the record of the key */
    IDEM_EXPIRED,          /* issued too long ago for this attempt */
    IDEM_FUTURE,      /* issued in the future by more than the clock error */
    IDEM_FULL,        /* records_max is reached */
    IDEM_LATE_FIRST,  /* first attempt after a resend that got IDEM_UNKNOWN */
    IDEM_OWNERSHIP,   /* the range is not owned */
    IDEM_RESEND_EARLY /* no record, and the first attempt may still arrive */
} IdemReason;

typedef struct IdemDecision {
    IdemAction act;
    IdemReason reason;
    int status;   /* for IDEM_REPLAY */
    GBytes *body; /* for IDEM_REPLAY; borrowed; NULL: none was kept */
} IdemDecision;

/*
 * Decides how to handle an attempt, and starts its record if it is to run.
 *
 * Without a record, a first attempt runs if it was issued at most
 * 2 * clock_error_us ago, and a resend runs in a clean tenure if it was issued
 * more than 3 * clock_error_us ago.  Therefore a delayed first attempt cannot
 * run at a later owner after its resend has run at an earlier one.  A resend
 * in a clean tenure that comes too early gets IDEM_UNKNOWN and no record.
 */
IdemDecision idem_begin(Idem *d, const IdemRequest *q, int64_t now_wall_us);

typedef enum IdemEnd {
    IDEM_END_DONE,    /* has a status, and maybe a body, for replays */
    IDEM_END_NOT_RUN, /* certain not to have run */
    IDEM_END_UNKNOWN  /* may have run */
} IdemEnd;

/*
 * Ends a run.  body may be NULL; a body of more than IDEM_BODY_BYTES is not
 * kept.  Returns the outcome to report to callers, which is end.
 */
IdemEnd idem_finish(Idem *d, uint64_t key, IdemEnd end, int status,
                    GBytes *body, int64_t now_wall_us);

/* Expires records whose retention time has passed, except running ones.  Call
 * it about once a second. */
void idem_expire(Idem *d, int64_t now_wall_us);

/* Number of records. */
size_t idem_count(const Idem *d);

/* Total size of the bodies kept for replays, at most IDEM_BODIES_BYTES_MAX.
 * The oldest bodies are dropped first, and their records replay the status
 * only. */
size_t idem_body_bytes(const Idem *d);

/*
 * Journal, by which a successor gets the records of an earlier owner.
 * idem_journal_write() returns a batch of at most max bytes, in XDR, of the
 * records that became done and were not yet written, or NULL if there are
 * none or max is too small.  Only done records are written, because a run that
 * is in no journal may have followed a not-run record.  idem_journal_read()
 * adds the records of such a batch.  On a malformed batch it returns false and
 * adds none.
 */
GBytes *idem_journal_write(Idem *d, size_t max);
bool idem_journal_read(Idem *d, Str batch, int64_t now_wall_us);

const char *idem_reason_name(IdemReason r);

#endif
