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
    int64_t target_us;  /* latency target of the route */
    int64_t queued_us;  /* waited so far */
    int64_t left_us;    /* until the caller leaves or the route times out */
    int64_t service_us; /* usual time in an upstream */
    bool any_usable;    /* upstreams exist; there is only no room */
    double random;      /* [0, 1) */
} GateIn;

typedef struct GateOut {
    bool queue;
    int64_t retry_us; /* for Retry-After; 0: do not come back */
} GateOut;

GateOut gate_decide(const GateIn *in);

/* A planned stop of this VM; all 0: none. */
typedef struct GateStop {
    int64_t refuse_from_us; /* from then on no request may outlive the stop */
    int64_t deadline_us;    /* by then all answers have to be out */
} GateStop;

/* True when a request has to be refused, since it may still be under way when
 * this VM ends.  end_us: when its time is over. */
bool gate_outlives_stop(const GateStop *s, int64_t end_us, int64_t now_us);

#endif
