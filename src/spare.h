/*
 * spare - idle connections to upstreams in other regions, opened ahead of
 * need.
 *
 * A connection to another region takes a round trip, which urgent work cannot
 * afford on top of its request.  Designed for regions that send part of their
 * requests elsewhere: at the start of a VM, when it has no connections, when
 * several requests need the same upstream at once, and when requests for an
 * upstream come so rarely that the connection of the last one has expired.
 * The module does no I/O and reads no clock.
 */
#ifndef MIMOSA_SPARE_H
#define MIMOSA_SPARE_H

#include <stdint.h>

#include "demand.h"
#include "rt.h"
#include "ups.h"

typedef struct SpareIn {
    const UpsSet *set;
    const RtService *service;
    const DemandService *demand; /* of the service */
    int region;                  /* of this VM */
    int n_vms;                   /* that share the upstreams' connections */
    int64_t max_rtt_us;          /* longest round trip between regions */
} SpareIn;

typedef void (*SpareFn)(void *ctx, Ups *u);

/* Calls open for each upstream to which a spare connection has to be opened
 * now: it has no idle connection, and it is used often, or is expected to be
 * used while the connection lasts. */
void spare_step(const SpareIn *in, SpareFn open, void *ctx, int64_t now_us);

#endif
