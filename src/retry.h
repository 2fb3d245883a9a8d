/*
 * retry - retry and hedge budget of one service (token bucket).
 */
#ifndef MIMOSA_RETRY_H
#define MIMOSA_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

typedef struct Retry {
    double ratio; /* tokens per first attempt */
    double tokens;
    double burst;
} Retry;

void retry_init(Retry *b, double ratio);

/* Each first attempt adds the ratio, up to the burst. */
void retry_add_credit(Retry *b);

/* What is known of an attempt that ended. */
typedef enum AttemptEnd {
    ATTEMPT_ANSWERED,
    ATTEMPT_REFUSED, /* connection refused: not run */
    ATTEMPT_SHED,    /* the upstream says not run */
    ATTEMPT_CLOSED,  /* closed after the first byte was sent */
    ATTEMPT_TIMEOUT
} AttemptEnd;

typedef enum RetryAct {
    RETRY_PASS,   /* hand the answer to the caller */
    RETRY_RESEND, /* send to another target */
    RETRY_NOT_RUN,
    RETRY_UNKNOWN
} RetryAct;

/*
 * Decides after an attempt.  Work of class once is sent again only after
 * REFUSED or SHED.  Idempotent work that may not be retried is told not-run
 * only if it was certainly not run.  answer_begun: bytes of the answer went to
 * the caller, so that nothing may be sent again.
 */
RetryAct retry_decide(Retry *b, MfClass class, AttemptEnd how,
                      bool answer_begun, int64_t deadline_us,
                      int64_t service_us, int64_t now_us);

/* Takes a token for a hedge of idempotent work. */
bool retry_hedge(Retry *b, MfClass class, int64_t deadline_us,
                 int64_t service_us, int64_t now_us);

const char *retry_act_name(RetryAct a);

#endif
