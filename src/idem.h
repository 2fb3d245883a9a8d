/*
 * idem - idempotency records of the key ranges that this VM owns.
 *
 * Asserts "at_most_once" (a key starts to run at most once while its record
 * says running or done) and "not_run" (a key told not-run had no run).
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
    int64_t window_us;      /* resends are accepted that long after issue */
    int64_t clock_error_us; /* of callers' wall clocks;
                               records live window + 2 * clock_error */
} IdemOpts;

Idem *idem_new(const IdemOpts *o);
void idem_free(Idem *d);

/* 64 bits of the key and the service; the range is its low bits. */
uint64_t idem_hash(Str service, Str key);
int idem_range(uint64_t key_hash);

/*
 * Tells what is owned.  tenure_wall_us: since when this VM has owned the range
 * without a lapse and with the predecessor certainly stopped; 0 when not
 * clean.  full is false in isolated mode: only first attempts run.  A tenure
 * that begins before the first call of idem_begin() counts from that call,
 * since the records of an earlier process are lost.
 */
void idem_set_ownership(Idem *d, int range, bool owned, bool full,
                        int64_t tenure_wall_us);

typedef struct IdemRequest {
    uint64_t key;           /* idem_hash */
    int attempt;            /* 1 for the first send */
    int64_t issued_wall_us; /* first send, caller's clock */
} IdemRequest;

typedef enum IdemAction {
    IDEM_RUN,    /* record is now running; call idem_finish() later */
    IDEM_WAIT,   /* runs now for another attempt: wait for its result */
    IDEM_REPLAY, /* done: answer from the record */
    IDEM_UNKNOWN,
    IDEM_NOT_RUN,
    IDEM_NOT_OWNER /* forward to the owner */
} IdemAction;

typedef enum IdemReason {
    IDEM_FIRST,
    IDEM_RESEND_CLEAN,     /* no record, tenure clean: never ran */
    IDEM_RESEND_NO_RECORD, /* no record, may have run at a predecessor */
    IDEM_RECORD,
    IDEM_EXPIRED, /* issued too long ago */
    IDEM_FUTURE,  /* issued in the future */
    IDEM_FULL,
    IDEM_LATE_FIRST, /* a resend was told unknown before */
    IDEM_OWNERSHIP,
    IDEM_RESEND_EARLY /* no record; may run once the first is out of time */
} IdemReason;

typedef struct IdemDecision {
    IdemAction act;
    IdemReason reason;
    int status;   /* for IDEM_REPLAY */
    GBytes *body; /* for IDEM_REPLAY; borrowed; NULL: too large to keep */
} IdemDecision;

/*
 * Without a record a first attempt runs while it is at most twice the clock
 * error old, and a resend runs in a clean tenure once it is more than three
 * times the clock error old.  So a first attempt that is held up on its way
 * cannot run at a later owner after its resend has run at an earlier one.  A
 * resend that is too early for that is told unknown, which is not recorded.
 */
IdemDecision idem_begin(Idem *d, const IdemRequest *q, int64_t now_wall_us);

typedef enum IdemEnd {
    IDEM_END_DONE,
    IDEM_END_NOT_RUN,
    IDEM_END_UNKNOWN
} IdemEnd;

/*
 * Ends a run.  body may be NULL; bytes over IDEM_BODY_BYTES are not kept.
 * Returns the outcome that callers are to be told, which is end.
 */
IdemEnd idem_finish(Idem *d, uint64_t key, IdemEnd end, int status,
                    GBytes *body, int64_t now_wall_us);

/* Drops records past their retention; call it about once a second. */
void idem_expire(Idem *d, int64_t now_wall_us);

size_t idem_count(const Idem *d);

/* Bytes of the bodies kept for replays, at most IDEM_BODIES_BYTES_MAX; the
 * oldest make room, and their records replay the status only. */
size_t idem_body_bytes(const Idem *d);

/*
 * Journal: writes records that were done since the last call, at most max
 * bytes, as XDR (NULL: none); and reads such a batch as records of a
 * predecessor.  Only done records are written: a not-run record of a
 * predecessor may have been followed by a run that no journal holds.
 * idem_journal_read returns false on a malformed batch and takes nothing.
 */
GBytes *idem_journal_write(Idem *d, size_t max);
bool idem_journal_read(Idem *d, Str batch, int64_t now_wall_us);

const char *idem_reason_name(IdemReason r);

#endif
