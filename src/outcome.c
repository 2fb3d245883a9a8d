/* outcome - what to do after an attempt at an upstream ended.
 * See outcome.h. */
#include "outcome.h"

typedef struct Row {
    bool retry_idempotent;
    bool retry_other;
    OutcomeAct final;     /* when the request is not sent again */
    OutcomeAct final_ran; /* the same, if an earlier attempt may have run */
} Row;

static const Row rows[] = {
    [UP_NOT_SENT] = {true, true, OUT_NOT_RUN, OUT_FAILED},
    [UP_NOT_RUN] = {true, true, OUT_NOT_RUN, OUT_FAILED},
    [UP_LOST] = {true, false, OUT_FAILED, OUT_FAILED},
    [UP_INVALID] = {true, false, OUT_FAILED, OUT_FAILED},
    [UP_RESPONSE] = {false, false, OUT_FORWARD, OUT_FORWARD},
    [UP_TRUNCATED] = {false, false, OUT_ABORT, OUT_ABORT},
    [UP_DEADLINE] = {false, false, OUT_TIMED_OUT, OUT_TIMED_OUT},
};

OutcomeAct
outcome_decide(const OutcomeIn *in)
{
    const Row *r = &rows[in->end];

    if (in->may_retry &&
        (in->idempotent ? r->retry_idempotent : r->retry_other)) {
        return OUT_RETRY;
    }
    return in->may_have_run ? r->final_ran : r->final;
}

const char *
outcome_end_name(UpEnd e)
{
    static const char *const names[] = {
        "not_sent", "not_run", "lost", "garbled", "answer", "cut", "late"};

    return names[e];
}

const char *
outcome_act_name(OutcomeAct a)
{
    static const char *const names[] = {"pass",   "again",     "refused",
                                        "failed", "timed_out", "cut"};

    return names[a];
}
