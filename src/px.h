/*
 * px - the way of a request: route, choice, attempts, answer.
 *
 * Owns the requests under way.  Decisions are made by rt, pick, gate, demand
 * and outcome; this module drives them with sockets and time.
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
} PxOpts;

Px *px_new(const PxOpts *o);
void px_free(Px *p);

/* Takes a reference of the table. */
void px_set_routes(Px *p, RtTable *t);
const RtTable *px_routes(const Px *p);

/* VMs that share limits; borrowed until the next call. */
void px_set_vms(Px *p, const PickVm *vms, int n, int self);

/* Longest round trip between regions; 0: not known. */
void px_set_max_rtt(Px *p, int64_t reach_us);

/* Requests wait until then, as the view may be old; 0: go on. */
void px_wait_for_view(Px *p, int64_t until_us);

/* From stop->late_us on, refuses requests that may outlive the VM. */
void px_shutdown(Px *p, const GateStop *stop);

/* Functions for callers_new(), with the Px as context. */
extern const CallerFns px_caller_fns;

/* Counters and histograms as text lines. */
void px_metrics(const Px *p, GString *out);

#endif
