/*
 * pxreq - a request in flight, and how it ends.
 *
 * Internal to px: px accepts and queues requests, pxtry sends them to
 * upstreams, and both end them with the functions declared here.
 */
#ifndef MIMOSA_PXREQ_H
#define MIMOSA_PXREQ_H

#include "hist.h"
#include "outcome.h"
#include "px.h"
#include "routeuse.h"

typedef enum ReqState { REQ_PENDING, REQ_SENT, REQ_STREAMING } ReqState;

typedef struct Req {
    struct Px *p;
    Caller *caller;
    const H1 *head;
    RtTable *table;
    const RtRoute *route;     /* NULL: the table has none; the request may
                                 wait for a newer one */
    const RtService *service; /* NULL without a route, as is demand */
    DemandService *demand;
    bool counted;  /* in the demand */
    bool admitted; /* counted by demand_admitted() */
    ReqState state;
    Str attempt; /* id that the caller sent, not an attempt at an upstream */
    uint64_t object; /* hash of the affinity key on a sticky route, else of
                        the caller's attempt id */
    uint64_t fingerprint; /* the same when the caller repeats the request */
    int64_t begin_us;
    int64_t end_us;  /* deadline of the caller or timeout of the route */
    int64_t last_us; /* last time for a response: end_us, or later by a grace
                        when the timeout of the route comes first */
    int64_t sent_us; /* start of the current attempt at an upstream */
    int64_t copy_age_us; /* age of the copy of the store at that time */
    Ups *u;              /* upstream of the running attempt, or NULL */
    Uconn *conn;
    bool may_run;  /* the current upstream may run the request */
    bool new_conn; /* the last attempt waited for a new connection */
    Ups *tried[PICK_TRIED_MAX]; /* upstreams of all attempts, in order */
    int n_tried;
    int n_mismatched; /* complete responses to other requests */
    int n_delivered;  /* attempts that an upstream may have received */
    bool ran;         /* an upstream may have run the request */
    PickReason why;   /* result of the last pxtry_pick() */
    int64_t wait_us;  /* the same, see pick_wait_us(); 0 unless PICK_WAIT */
    EvlTimer timer;
    GList queue_link;
} Req;

typedef enum PxCount {
    PX_ANSWERED, /* got the complete response of an upstream */
    PX_REFUSED,
    PX_FAILED,
    PX_TIMED_OUT,
    PX_TRUNCATED, /* the response was truncated while it was streamed */
    PX_CALLER_DISCONNECTED, /* the caller disconnected before the end */
    PX_UNROUTED,
    PX_BAD_HEAD,
    PX_RETRIES,  /* attempts that followed one that may have been received */
    PX_CRASHES,  /* refused, since it crashes upstreams */
    PX_OUTDATED, /* refused, see px_set_routes_behind() */
    PX_COUNTS
} PxCount;

struct Px {
    PxOpts o;
    RtTable *table;
    const PickVm *vms;
    int n_vms;
    int self;
    uint32_t vms_version; /* number of calls of px_set_vms() */
    int64_t max_rtt_us;
    bool view_complete;   /* see px_view_complete() */
    int64_t view_wait_us; /* see px_wait_for_view() */
    bool routes_behind;   /* see px_set_routes_behind() */
    int64_t resumed_us;   /* see px_resumed() */
    int64_t confirmed_us; /* see px_set_confirmed() */
    int64_t copy_wait_us; /* until then requests wait for a newer copy of the
                             store; 0: the copy is not too old */
    int64_t store_failed_us; /* first failed call since confirmed_us or
                                px_set_routes_behind(); 0: none */
    int64_t copy_waits;      /* times that requests waited for it */
    GateStop stop;
    GQueue queue;
    bool queue_outdated; /* the table has changed since it was sorted */
    EvlTimer queue_timer;
    int64_t counts[PX_COUNTS];
    int64_t leaving_notices; /* upstreams that said that they leave */
    int64_t waits;           /* answers that asked this VM to send nothing */
    int64_t lossy_ends;      /* callers closed while bytes could be lost */
    Hist caller_time;
    Hist upstream_time;
    Hist copy_age; /* time since confirmed_us at the start of an attempt */
    RouteUse route_use;
};

/* True if a request may be sent by what this VM knows: its copy of the store
 * is recent, or a newer one cannot be had. */
bool pxreq_copy_is_usable(Px *p, int64_t now_us);

/* True if requests are refused because the routes are known to be out of date;
 * see px_set_routes_behind(). */
bool pxreq_routes_are_outdated(const Px *p, int64_t now_us);

/* True if a request may be sent by the routes and the upstreams that this VM
 * knows: requests neither wait for newer ones nor are refused for that. */
bool pxreq_view_is_usable(Px *p, int64_t now_us);

/* Sets the route, which is one of the current table or NULL, the service and
 * the deadlines.  The request counts in the demand of its first service only:
 * demand is measured at arrival, and a request must not add to the retry
 * budget twice. */
void pxreq_set_route(Req *r, const RtRoute *route, int64_t now_us);

/* Applies the current table to a request that no upstream may have received
 * yet.  Returns true if its table has changed. */
bool pxreq_update_route(Req *r, int64_t now_us);

/* Applies a newer table to a request whose upstream is chosen.  Returns true
 * if the route, and the time left in the head that was prepared, still allow
 * the attempt. */
bool pxreq_route_still_allows(Req *r, int64_t now_us);

/* Rank of the route; the lowest without one. */
int pxreq_rank(const Req *r);

/* Logs how the request ended. */
void pxreq_log(const Req *r, const char *outcome, int status, int64_t now_us);

/* Cancels the running attempt, if any, whose response then counts as lost, and
 * releases its upstream. */
void pxreq_drop_upstream(Req *r, int64_t now_us);

#define PXREQ_QUEUE_POLL_US 8000 /* between checks for capacity */

/* Queues a request until the next check for capacity, by rank and then by
 * arrival. */
void pxreq_enqueue(Req *r, int64_t now_us);

/* Queues a request again whose running attempt, if any, has sent nothing. */
void pxreq_requeue(Req *r, int64_t now_us);

/* Removes the request from the queue for capacity, if it is there. */
void pxreq_dequeue(Req *r);

/* Ends the request; leaves the caller's connection as it is. */
void pxreq_end(Req *r, int64_t now_us);

/* Sends a response of the system itself and ends the request. */
void pxreq_respond(Req *r, PxCount count, int status, const char *text,
                   int64_t retry_us, int64_t now_us);

/* Decides whether a request without capacity is queued or refused.
 * queued_us: time in the queue so far. */
GateOut pxreq_gate(const Req *r, bool any_usable, int64_t queued_us,
                   int64_t now_us);

/* Ends the request by the given action; no effect for OUT_FORWARD, OUT_RETRY.
 */
void pxreq_apply_outcome(Req *r, OutcomeAct act, int64_t now_us);

#endif
