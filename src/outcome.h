/*
 * outcome - what to do after an attempt at an upstream ended.
 *
 * All decisions are rows of one table, since two guarantees depend on them: a
 * request that is not idempotent never runs twice, and the reply "not run" is
 * sent only when no attempt can have run the request.
 */
#ifndef MIMOSA_OUTCOME_H
#define MIMOSA_OUTCOME_H

#include <stdbool.h>

/* How an attempt at an upstream ended. */
typedef enum UpEnd {
    UP_NOT_SENT,  /* not connected, or nothing of the request was written */
    UP_NOT_RUN,   /* the upstream replied that it did not run the request */
    UP_LOST,      /* reset, closed or no answer after a byte was written */
    UP_INVALID,   /* received bytes are not an answer to this request */
    UP_RESPONSE,  /* complete answer */
    UP_TRUNCATED, /* ended after part of the answer went to the caller */
    UP_DEADLINE   /* the deadline passed before the upstream answered */
} UpEnd;

/* What is done next. */
typedef enum OutcomeAct {
    OUT_FORWARD,   /* forward the answer to the caller */
    OUT_RETRY,     /* send to another upstream */
    OUT_NOT_RUN,   /* refuse with 503: no attempt ran and none will */
    OUT_FAILED,    /* reply 502: the request may have run */
    OUT_TIMED_OUT, /* reply 504: the request may have run */
    OUT_ABORT      /* close the connection: the answer is visibly truncated */
} OutcomeAct;

typedef struct OutcomeIn {
    UpEnd end;
    bool idempotent;
    bool may_have_run; /* an earlier attempt may have run the request */
    bool may_retry; /* attempts, retry budget, time and an upstream are left */
} OutcomeIn;

/* Looks up the action for an attempt that ended. */
OutcomeAct outcome_decide(const OutcomeIn *in);

/* Names for log lines and metrics. */
const char *outcome_end_name(UpEnd e);
const char *outcome_act_name(OutcomeAct a);

#endif
