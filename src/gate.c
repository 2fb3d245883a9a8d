/* gate - queue or refuse a request for which no upstream has capacity.
 * See gate.h. */
#include "gate.h"

#include <glib.h>

/* Fraction of the latency target for which a request may be queued. */
#define QUEUE_FRACTION 0.12
/* Callers ignore a Retry-After that is longer than this fraction of their
 * remaining time. */
#define RETRY_LEFT_FRACTION 0.33
/* Mean Retry-After, before the random spread of 40 % to both sides: as a
 * fraction of the latency target, or in us while no upstream is usable and
 * discovery has to report one first. */
#define RETRY_TARGET_FRACTION 0.2
#define RETRY_UNUSABLE_US 700000

GateOut
gate_decide(const GateIn *in)
{
    GateOut out = {false, 0};

    if (in->wait_us > 0) {
        /* Spread, so that the callers do not return all at once. */
        out.retry_us =
            in->wait_us + (int64_t)((double)RETRY_UNUSABLE_US * in->random);
        return out;
    }
    if (in->any_usable &&
        in->queued_us < in->latency_target_us * QUEUE_FRACTION &&
        in->left_us > in->service_us) {
        out.queue = true;
        return out;
    }
    int64_t wait =
        in->any_usable
            ? (int64_t)((double)in->latency_target_us * RETRY_TARGET_FRACTION)
            : RETRY_UNUSABLE_US;
    wait = (int64_t)((double)wait * (0.6 + 0.8 * in->random));
    out.retry_us =
        MIN(wait, (int64_t)((double)in->left_us * RETRY_LEFT_FRACTION));
    out.retry_us = MAX(out.retry_us, 1000);
    return out;
}

bool
gate_outlives_stop(const GateStop *s, int64_t end_us, int64_t now_us)
{
    return s->deadline_us != 0 && now_us > s->refuse_from_us &&
           end_us > s->deadline_us;
}
