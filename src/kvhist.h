/*
 * kvhist - which history of the store its answers belong to.
 *
 * A store that comes back from an older copy loses its newest changes and
 * gives out their revisions again.  It then begins another history, whose
 * number is above that of all before it.  A revision is compared only with
 * revisions of the same history.
 *
 * A store that does not number its histories has the history 0.
 */
#ifndef MIMOSA_KVHIST_H
#define MIMOSA_KVHIST_H

#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "str.h"

typedef enum KvHistOrder {
    KVHIST_FORMER,  /* what it says is no longer true */
    KVHIST_CURRENT, /* its revisions may be compared */
    KVHIST_LATER    /* what is known of the store is no longer true */
} KvHistOrder;

/* Compares the history that an answer or a message names with the current
 * one. */
KvHistOrder kvhist_order(uint64_t current, uint64_t named);

/* The history that all connections to one store have seen. */
typedef struct KvHist {
    Dlog *log;          /* may be NULL */
    const char *header; /* of an answer, with the number of its history */
    uint64_t current;
    bool known;          /* an answer had a number */
    const char *ignored; /* why that of the last answer was not used; NULL: it
                            was */
    /* An answer has shown a later history, which is the current one now.  No
     * call is under way on the connection of that answer.  before: number of
     * the history until then. */
    void (*begun)(void *ctx, uint64_t before, int64_t now_us);
    void *ctx;
} KvHist;

/* Takes the number of an answer into account; value: that of the header, empty
 * if it is missing.  The first number that is seen is that of the current
 * history.  A number that is missing or cannot be read is logged, and counts
 * as the current one. */
KvHistOrder kvhist_answer(KvHist *h, Str value);

#endif
