/*
 * edge_state - state of an entry VM, for the parts of edge only.
 */
#ifndef MIMOSA_EDGE_STATE_H
#define MIMOSA_EDGE_STATE_H

#include <time.h>

#include "edge.h"

#include "heartbeat.h"
#include "caller.h"
#include "demand.h"
#include "heard.h"
#include "dlog.h"
#include "mirror.h"
#include "px.h"
#include "sharers.h"
#include "uconn.h"
#include "view.h"
#include "vml.h"

struct Edge {
    Evl *loop;
    char *file;
    struct timespec file_time;
    Eset set;
    Dlog *log;
    GRand *rnd;
    UpsSet *upstreams;
    UconnPool *pool;
    Demand *demand;
    Plan *plan;
    Crashes *crashes;
    Vml *vms;
    Sharers *sharers;
    View *view;
    Peer *peer;
    Heartbeats *heartbeats;
    Mirror *mirror;
    Px *px;
    CallerSet *callers;
    CallerSet *ready;
    CallerSet *directory;
    CallerSet *metrics;
    Heard heard;           /* configurations of other VMs */
    int64_t heard_asks;    /* calls to the store because of them */
    int64_t heard_refuted; /* revisions that the store did not confirm */
    EvlTimer tick;
    EvlTimer crash_step; /* while crash_waiting() */
    uint64_t boot_ms;
    int64_t started_us;
    int64_t propagation_us; /* longest time for a change to be known to all
                               VMs */
    bool view_complete;
    bool shutting_down;
    bool closing;         /* the last tick of a stop closed connections */
    int64_t shutdown_us;  /* earliest time of the signal to stop */
    int64_t stop_us;      /* time for the stop: the setting at that signal */
    int64_t settings_us;  /* last check of the settings file */
    int64_t heartbeat_us; /* last heartbeat sent by on_tick() */
    int64_t confirmation_log_us; /* last edge_log_confirmation() line */
    int64_t lag_us;              /* recent lateness of ticks */
    int64_t ran_us;              /* processor time used until the last tick */
    long page_faults;            /* major ones until the last tick */
};

/* Opens the listeners for requests and for the endpoints: readiness, directory
 * and metrics.  Returns false and sets e when an address cannot be listened
 * on. */
bool edge_open_listeners(Edge *g, Err *e);

/* Writes this VM's entry in the store, which says whether it is leaving. */
void edge_write_registration(Edge *g);

/* Takes the steps of a planned stop that are due; ends the loop with the last
 * one. */
void edge_step_shutdown(Edge *g, int64_t now_us);

/* Logs a configuration that is about to take effect late, with the requests
 * that may have used the one before. */
void edge_log_late_routes(const Edge *g, const RtTable *t);

/* Newest version that another VM has had in force; 0: none. ctx: the Edge. */
uint64_t edge_newest_version(void *ctx);

/* Logs, every few seconds, the configuration in force and the last answer of
 * the store that confirmed it. */
void edge_log_confirmation(Edge *g, int64_t now_us);

/* Appends the same as metrics. */
void edge_confirmation_metrics(const Edge *g, GString *out);

/* The store has begun another history; ctx: the Edge. */
void edge_begin_history(void *ctx, int64_t now_us);

/* A heartbeat of a VM of the list says which configuration is in force there.
 */
void edge_heard(Edge *g, const PeerHeartbeat *hb, int64_t now_us);

/* Asks the store for a configuration that others have had for some time.
 * Requests wait for the answer. */
void edge_step_heard(Edge *g, int64_t now_us);

/* The store's answer to that, if this VM has asked, was applied. */
void edge_heard_answered(Edge *g);

/* Records how late the tick is, which a planned stop allows for.  Logs a tick
 * that is late, with the time that the process has run since the tick before,
 * and its major page faults. */
void edge_check_late_tick(Edge *g, int64_t now_us);

#endif
