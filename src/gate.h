/*
 * gate - what to do with a request for which there is no room.
 *
 * Load it answers: bursts beyond the slots of a service.  A short wait often
 * finds a slot; a long one only delays the refusal.  A caller that is refused
 * comes back once after the time it is told, so that time spreads the load
 * and still leaves a chance to be served within the latency target.  Pure.
 */
#ifndef MIMOSA_GATE_H
#define MIMOSA_GATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct GateIn {
    int64_t target_us; /* latency target of the route */
    int64_t held_us;   /* waited so far */
    int64_t left_us;   /* until the caller leaves or the route times out */
    int64_t work_us;   /* usual time in an upstream */
    bool any_usable;   /* upstreams exist; there is only no room */
    double dice;       /* [0, 1) */
} GateIn;

typedef struct GateOut {
    bool hold;
    int64_t retry_us; /* for Retry-After; 0: do not come back */
} GateOut;

GateOut gate_decide(const GateIn *in);

#endif
