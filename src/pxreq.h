/*
 * pxreq - a request under way, and the ways in which it ends.
 *
 * Internal to px: px takes requests and finds room for them, pxtry sends them
 * to upstreams, and both end them here.
 */
#ifndef MIMOSA_PXREQ_H
#define MIMOSA_PXREQ_H

#include "hist.h"
#include "outcome.h"
#include "px.h"

typedef enum ReqState { REQ_HELD, REQ_SENT, REQ_STREAMING } ReqState;

typedef struct Req {
    struct Px *p;
    Caller *caller;
    const H1 *head;
    RtTable *table;
    const RtRoute *route;
    const RtService *service;
    DemandService *demand;
    ReqState state;
    Str attempt;
    uint64_t object;
    uint64_t print; /* what makes it the same when it comes back */
    int64_t begin_us;
    int64_t end_us;  /* the caller leaves, or the route's time is over */
    int64_t last_us; /* the same with the grace for an answer */
    int64_t sent_us;
    Ups *u;
    Uconn *conn;
    Ups *tried[PICK_TRIED_MAX];
    int n_tried;
    int n_mismatched; /* whole answers to other requests that came */
    int n_delivered;  /* attempts that an upstream may have seen */
    bool ran;         /* one of them may have run */
    PickReason why;
    EvlTimer timer;
    GList queue_link;
} Req;

typedef enum PxCount {
    PX_ANSWERED,
    PX_REFUSED,
    PX_FAILED,
    PX_TIMED_OUT,
    PX_CUT,
    PX_LEFT,
    PX_UNROUTED,
    PX_BAD_HEAD,
    PX_RETRIES,
    PX_CRASHES,
    PX_COUNTS
} PxCount;

struct Px {
    PxOpts o;
    RtTable *table;
    const PickVm *vms;
    int n_vms;
    int self;
    uint32_t vms_version; /* counts their changes */
    int64_t max_rtt_us;
    int64_t view_wait_us; /* see px_wait_for_view() */
    GateStop stop;
    GQueue queue;
    EvlTimer queue_timer;
    int64_t counts[PX_COUNTS];
    Hist caller_time;
    Hist upstream_time;
};

/* Writes the line that explains how the request ended. */
void pxreq_log(const Req *r, const char *outcome, int status, int64_t now_us);

/* Ends the hold on an upstream and gives up the attempt there. */
void pxreq_drop_upstream(Req *r);

/* Takes the request out of the line for room. */
void pxreq_dequeue(Req *r);

/* Ends the request; the caller's connection is not its business. */
void pxreq_end(Req *r);

/* Answers in the system's own words and ends the request. */
void pxreq_respond(Req *r, PxCount count, int status, const char *text,
                   int64_t retry_us, int64_t now_us);

/* What to do without room; held_us: waited so far. */
GateOut pxreq_gate(const Req *r, bool any_usable, int64_t held_us,
                   int64_t now_us);

/* Ends the request as "act" says; not for OUT_PASS and OUT_RETRY. */
void pxreq_apply_outcome(Req *r, OutcomeAct act, int64_t now_us);

#endif
