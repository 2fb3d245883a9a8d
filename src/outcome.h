/*
 * outcome - what to do after an attempt at an upstream ended.
 *
 * One table, because two promises hang on it: a request that is not
 * idempotent never runs twice, and "not run" is only said when it is true.
 */
#ifndef MIMOSA_OUTCOME_H
#define MIMOSA_OUTCOME_H

#include <stdbool.h>

typedef enum UpEnd {
    UP_NOT_SENT,  /* not connected, or nothing of the request was written */
    UP_NOT_RUN,   /* the upstream says that it did not run the request */
    UP_LOST,      /* reset, closed or silent after a byte was written */
    UP_INVALID,   /* bytes that are no answer to this request */
    UP_ANSWER,    /* a whole answer */
    UP_TRUNCATED, /* ended after bytes of the answer went to the caller */
    UP_DEADLINE   /* the time is over while the upstream has the request */
} UpEnd;

typedef enum OutcomeAct {
    OUT_PASS,      /* hand the answer to the caller */
    OUT_RETRY,     /* send to another upstream */
    OUT_NOT_RUN,   /* refuse with 503: it has not run and will not */
    OUT_FAILED,    /* 502: it may have run */
    OUT_TIMED_OUT, /* 504: it may have run */
    OUT_ABORT      /* close the connection so that the answer looks cut */
} OutcomeAct;

typedef struct OutcomeIn {
    UpEnd end;
    bool idempotent;
    bool may_have_run; /* an earlier attempt of this request may have run */
    bool may_retry;    /* attempts, budget, time and a target are left */
} OutcomeIn;

OutcomeAct outcome_decide(const OutcomeIn *in);

const char *outcome_end_name(UpEnd e);
const char *outcome_act_name(OutcomeAct a);

#endif
