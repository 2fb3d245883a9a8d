/*
 * view - applies the entries of the store to the state from which requests are
 * served: routes, upstreams, drained zones and VMs.
 *
 * An entry that cannot be parsed is logged and ignored.  If it is that of an
 * upstream, the upstream is treated as missing.
 */
#ifndef MIMOSA_VIEW_H
#define MIMOSA_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "dlog.h"
#include "topology.h"
#include "rt.h"
#include "uconn.h"
#include "ups.h"
#include "vml.h"

typedef struct ViewFns {
    /* A newer configuration has taken effect. */
    void (*routes)(void *ctx, RtTable *t);
    /* The list of VMs has changed. */
    void (*vms)(void *ctx);
    /* Returns what brought the present item, for the log.  May be NULL. */
    const char *(*source)(void *ctx);
} ViewFns;

typedef struct ViewOpts {
    Dlog *log;
    const Topology *topology;
    UpsSet *upstreams;
    UconnPool *pool; /* connections to a restarted upstream are closed */
    Vml *vms;
    ViewFns fns;
    void *ctx;
} ViewOpts;

typedef struct View View;

View *view_new(const ViewOpts *o);
void view_free(View *v);

/* Applies an item of the store, or its removal if value is NULL. */
void view_apply(View *v, const char *key, GBytes *value, uint64_t rev,
                int64_t now_us);

/* The store has begun another history, whose revisions are not compared with
 * those before.  What is in effect stays. */
void view_begin_history(View *v, int64_t now_us);

/* Returns the configuration in effect, or NULL if there is none yet. */
const RtTable *view_routes(const View *v);

/* Revision of the store that brought it; 0: none. */
uint64_t view_config_rev(const View *v);

/* Highest revision of the configuration that was received, in force or not. */
uint64_t view_config_seen(const View *v);

/* Number of entries that could not be parsed. */
int64_t view_unreadable(const View *v);

#endif
