/*
 * gate - queue or refuse a request for which no upstream has capacity.
 *
 * It handles bursts beyond the slots of a service.  A slot often becomes free
 * within a short wait; a long wait only delays the refusal.  A refused caller
 * sends the request once more after the Retry-After, which therefore spreads
 * the load and still leaves a chance to be served within the latency target.
 *
 * No sockets and no clock: callers pass the time in microseconds.
 */
#ifndef MIMOSA_GATE_H
#define MIMOSA_GATE_H

#include <stdbool.h>
#include <stdint.h>

typedef struct GateIn {
    int64_t latency_target_us; /* latency target of the route */
    int64_t queued_us;         /* time queued so far */
    int64_t left_us;    /* time until the deadline of the caller or route */
    int64_t service_us; /* usual service time of an upstream */
    bool any_usable;    /* usable upstreams exist, but without capacity */
    int64_t wait_us;    /* time for which all usable upstreams asked this VM to
                           send nothing; 0: none */
    double random;      /* random sample in [0, 1) */
} GateIn;

typedef struct GateOut {
    bool queue;       /* queue the request; else refuse it */
    int64_t retry_us; /* for Retry-After when refused; 0 when queued */
} GateOut;

/* Decides whether to queue or to refuse a request. */
GateOut gate_decide(const GateIn *in);

/* A planned stop of this VM; all 0 when none is planned. */
typedef struct GateStop {
    int64_t refuse_from_us; /* after this time, requests with a deadline after
                               deadline_us are refused */
    int64_t deadline_us;    /* time by which all answers must be sent */
} GateStop;

/* True when a request has to be refused because it may still be in flight
 * when this VM stops.  end_us: deadline of the request. */
bool gate_outlives_stop(const GateStop *s, int64_t end_us, int64_t now_us);

#endif
