/* gate - what to do with a request for which there is no room.
 * See gate.h. */
#include "gate.h"

#include <glib.h>

/* Part of the latency target that a request may wait for room. */
#define HOLD_PART 0.12
/* Callers keep to a Retry-After of up to that part of the time they have. */
#define RETRY_LEFT_PART 0.33
#define RETRY_TARGET_PART 0.2 /* of the latency target, before the spread */
#define RETRY_NONE_US 700000  /* nothing usable: wait for discovery */

GateOut
gate_decide(const GateIn *in)
{
    GateOut out = {false, 0};

    if (in->any_usable && in->queued_us < in->target_us * HOLD_PART &&
        in->left_us > in->service_us) {
        out.queue = true;
        return out;
    }
    int64_t wait = in->any_usable
                       ? (int64_t)((double)in->target_us * RETRY_TARGET_PART)
                       : RETRY_NONE_US;
    wait = (int64_t)((double)wait * (0.6 + 0.8 * in->random));
    out.retry_us = MIN(wait, (int64_t)((double)in->left_us * RETRY_LEFT_PART));
    out.retry_us = MAX(out.retry_us, 1000);
    return out;
}

bool
gate_outlives_stop(const GateStop *s, int64_t end_us, int64_t now_us)
{
    return s->deadline_us != 0 && now_us > s->refuse_from_us &&
           end_us > s->deadline_us;
}
