/*
 * px - path of a request: route, choice of an upstream, attempts, response.
 *
 * Owns the requests in flight.  The modules rt, pick, gate, demand and outcome
 * make the decisions without I/O; this module calls them and owns the timers
 * and the connections.
 */
#ifndef MIMOSA_PX_H
#define MIMOSA_PX_H

#include <stdint.h>

#include <glib.h>

#include "caller.h"
#include "crash.h"
#include "demand.h"
#include "dlog.h"
#include "gate.h"
#include "pick.h"
#include "pxhead.h"
#include "uconn.h"

typedef struct Px Px;

typedef struct PxOpts {
    Evl *loop;
    Dlog *log;
    const PxHeaderNames *names;
    const Topology *topology;
    int region; /* of this VM */
    UpsSet *upstreams;
    UconnPool *pool;
    Demand *demand;
    Plan *plan;
    Crashes *crashes;
    GRand *rnd;
    /* Requests wait for a newer copy of the store when it is older; 0: they
     * never do. */
    int64_t copy_age_max_us;
    /* Newest version of the configuration that any VM is known to have in
     * force, for the log; may be NULL. */
    uint64_t (*newest_version)(void *ctx);
    void *ctx;
} PxOpts;

Px *px_new(const PxOpts *o);
void px_free(Px *p);

/* Takes a reference of the table, which also applies to the requests that
 * were not sent to an upstream yet. */
void px_set_routes(Px *p, RtTable *t);
/* Requests handled by the present routes since since_us; see
 * routeuse_since(). */
int px_requests_since(const Px *p, int64_t since_us, GString *ids);
const RtTable *px_routes(const Px *p);

/* The view of the store is complete and confirmed by the store.  Requests that
 * match no route before may match one of a newer configuration, so they are
 * refused with 503 and not with 404. */
void px_view_complete(Px *p);

/* VMs that share the limits of cold upstreams; borrowed until the next call.
 * self: index of this VM, or -1. */
void px_set_vms(Px *p, const PickVm *vms, int n, int self);

/* Longest round-trip time to another region; 0: not known. */
void px_set_max_rtt(Px *p, int64_t max_rtt_us);

/* This VM knows all changes of the store before at_us.  If that is recent,
 * the routes are current too. */
void px_set_confirmed(Px *p, int64_t at_us);
/* The last at_us; 0: none. */
int64_t px_confirmed(const Px *p);

/* A call to the store failed.  Requests do not wait for a newer copy while
 * calls have failed for some time. */
void px_store_failed(Px *p, int64_t now_us);

/* Queues all requests until until_us, since the view of the store may be out
 * of date; 0: dispatches them again, by the routes that are then known.
 * Requests without a route wait too. */
void px_wait_for_view(Px *p, int64_t until_us);

/* The store answers, and the configuration in effect is known to be out of
 * date.  Requests wait as px_wait_for_view() says, then are refused with 503
 * and a short Retry-After, until behind is false.  While calls to the store
 * have failed for some time since the last call of this function, requests
 * are served by the old routes, as in an outage of the store. */
void px_set_routes_behind(Px *p, bool behind);

/* The process resumed after a pause.  Attempts that were sent before say
 * nothing about their upstreams. */
void px_resumed(Px *p, int64_t now_us);

/* Starts a planned stop: from stop->refuse_from_us on, refuses requests that
 * may still be in flight at stop->deadline_us. */
void px_shutdown(Px *p, const GateStop *stop);

/* Callbacks for callers_new(); their context is the Px. */
extern const CallerFns px_caller_fns;

/* Appends counters and histograms as lines of text. */
void px_metrics(const Px *p, GString *out);

#endif
