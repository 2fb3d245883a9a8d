/*
 * view - what the store says, put into the state that requests are served
 * from: routes, upstreams, zones to keep empty, VMs.
 *
 * An entry that cannot be read is logged and changes nothing but its own
 * upstream, which is treated as missing.
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
    /* A newer configuration is in force. */
    void (*routes)(void *ctx, RtTable *t);
    /* The list of VMs has changed. */
    void (*vms)(void *ctx);
} ViewFns;

typedef struct ViewOpts {
    Dlog *log;
    const Topology *topology;
    UpsSet *upstreams;
    UconnPool *pool; /* its connections to a restarted upstream are closed */
    Vml *vms;
    ViewFns fns;
    void *ctx;
} ViewOpts;

typedef struct View View;

View *view_new(const ViewOpts *o);
void view_free(View *v);

/* Takes an item of the store; value NULL: it is removed.  Returns true when
 * it changes what this VM believes, so that others have to know it too. */
bool view_apply(View *v, const char *key, GBytes *value, uint64_t rev,
                int64_t now_us);

/* The configuration in force; NULL: none yet. */
const RtTable *view_routes(const View *v);

/* Entries that could not be read. */
int64_t view_unreadable(const View *v);

#endif
