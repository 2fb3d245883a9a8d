/*
 * retry - budget of one service for retries and hedges (token bucket).
 */
#ifndef MIMOSA_RETRY_H
#define MIMOSA_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

typedef struct Retry {
    double ratio;  /* tokens per first attempt */
    double tokens; /* retries and hedges allowed now */
    double burst;  /* upper limit of tokens */
} Retry;

/* A ratio of 0 disables retries and hedges. */
void retry_init(Retry *b, double ratio);

/* Adds the ratio to the tokens, up to the burst; to be called once for the
 * first attempt of each request. */
void retry_add_tokens(Retry *b);

/* How an attempt ended. */
typedef enum AttemptEnd {
    ATTEMPT_ANSWERED,
    ATTEMPT_REFUSED, /* connection refused: not run */
    ATTEMPT_SHED,    /* the upstream replied that it did not run the work */
    ATTEMPT_CLOSED,  /* connection closed after the first byte was sent */
    ATTEMPT_TIMEOUT
} AttemptEnd;

typedef enum RetryAct {
    RETRY_PASS,    /* forward the answer to the caller */
    RETRY_RESEND,  /* send to another target */
    RETRY_NOT_RUN, /* reply that the work was not run */
    RETRY_UNKNOWN  /* reply that the work may have run */
} RetryAct;

/*
 * Decides what follows an attempt; takes a token for RETRY_RESEND.  After
 * ATTEMPT_REFUSED and ATTEMPT_SHED the work was not run by this attempt: only
 * then is work of class MF_ONCE sent again, and only then is RETRY_NOT_RUN
 * returned.  Earlier attempts are not considered here; the caller must
 * not reply "not run" if one of them may have run the work.  answer_begun:
 * bytes of the answer went to the caller, so the work can't be sent again.
 * service_us: expected service time; no retry starts that would end after the
 * deadline.
 */
RetryAct retry_decide(Retry *b, MfClass class, AttemptEnd end,
                      bool answer_begun, int64_t deadline_us,
                      int64_t service_us, int64_t now_us);

/* Takes a token for a hedge of idempotent work; false when the class, the
 * budget or the deadline forbids it. */
bool retry_hedge(Retry *b, MfClass class, int64_t deadline_us,
                 int64_t service_us, int64_t now_us);

const char *retry_act_name(RetryAct a);

#endif
