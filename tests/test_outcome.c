/* Tests of outcome and gate: actions after an attempt, and requests without
 * capacity. */
#include "t.h"

#include <glib.h>

#include "gate.h"
#include "outcome.h"

#define MS 1000LL

/* Guards against a second run of work that is not idempotent, and against the
 * reply "not run" for work that may have run.  One row for each end of an
 * attempt. */
START_TEST(each_end_has_its_action)
{
    static const struct {
        UpEnd end;
        OutcomeAct retry_idempotent;
        OutcomeAct retry_other;
        OutcomeAct final;
        OutcomeAct final_ran;
    } rows[] = {
        {UP_NOT_SENT, OUT_RETRY, OUT_RETRY, OUT_NOT_RUN, OUT_FAILED},
        {UP_NOT_RUN, OUT_RETRY, OUT_RETRY, OUT_NOT_RUN, OUT_FAILED},
        {UP_LOST, OUT_RETRY, OUT_FAILED, OUT_FAILED, OUT_FAILED},
        {UP_INVALID, OUT_RETRY, OUT_FAILED, OUT_FAILED, OUT_FAILED},
        {UP_RESPONSE, OUT_FORWARD, OUT_FORWARD, OUT_FORWARD, OUT_FORWARD},
        {UP_TRUNCATED, OUT_ABORT, OUT_ABORT, OUT_ABORT, OUT_ABORT},
        {UP_DEADLINE, OUT_TIMED_OUT, OUT_TIMED_OUT, OUT_TIMED_OUT,
         OUT_TIMED_OUT},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        OutcomeIn in = {rows[i].end, true, false, true};
        ck_assert_int_eq(outcome_decide(&in), rows[i].retry_idempotent);
        in.idempotent = false;
        ck_assert_int_eq(outcome_decide(&in), rows[i].retry_other);
        in.may_retry = false;
        ck_assert_int_eq(outcome_decide(&in), rows[i].final);
        in.may_have_run = true;
        ck_assert_int_eq(outcome_decide(&in), rows[i].final_ran);
    }
}
END_TEST

/* Guards against queueing requests that no upstream can serve in time, and
 * against a Retry-After beyond the time that the caller has left. */
START_TEST(no_capacity_queues_briefly_then_refuses)
{
    GateIn in = {.latency_target_us = 400 * MS,
                 .left_us = 1200 * MS,
                 .service_us = 150 * MS,
                 .any_usable = true,
                 .random = 0.5};

    ck_assert(gate_decide(&in).queue);
    in.queued_us = 100 * MS;
    GateOut out = gate_decide(&in);
    ck_assert(!out.queue);
    ck_assert_int_gt(out.retry_us, 0);
    ck_assert_int_le(out.retry_us, in.left_us / 3);
    in.queued_us = 0;
    in.any_usable = false;
    ck_assert(!gate_decide(&in).queue);
    in.any_usable = true;
    in.left_us = 100 * MS;
    out = gate_decide(&in);
    ck_assert(!out.queue);
    ck_assert_int_le(out.retry_us, in.left_us / 3 + 1000);
}
END_TEST

/* Guards against refused callers that all retry at the same time. */
START_TEST(retry_after_is_spread)
{
    GateIn in = {.latency_target_us = 400 * MS,
                 .queued_us = 400 * MS,
                 .left_us = 1200 * MS,
                 .any_usable = true};
    int64_t first = gate_decide(&in).retry_us;

    in.random = 0.99;
    ck_assert_int_gt(gate_decide(&in).retry_us, first * 2);
}
END_TEST

/* Guards against a planned stop that aborts a request which arrived seconds
 * after the signal, when its deadline was already later than the stop. */
START_TEST(late_requests_end_before_the_vm)
{
    const GateStop none = {0, 0};
    const GateStop stop = {3000 * MS, 5700 * MS};

    ck_assert(!gate_outlives_stop(&none, 9000 * MS, 4000 * MS));
    ck_assert(!gate_outlives_stop(&stop, 7000 * MS, 2900 * MS));
    ck_assert(!gate_outlives_stop(&stop, 5600 * MS, 4000 * MS));
    ck_assert(gate_outlives_stop(&stop, 5800 * MS, 4000 * MS));
}
END_TEST

T_MAIN("outcome", each_end_has_its_action,
       no_capacity_queues_briefly_then_refuses, retry_after_is_spread,
       late_requests_end_before_the_vm)
