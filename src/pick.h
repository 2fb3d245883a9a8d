/*
 * pick - choice of an upstream for one request.
 *
 * Load it answers: sticky work at up to all slots of a service.  An upstream
 * that saw an object lately serves it in a fraction of the time, and it
 * remembers a bounded number of objects.  Each object therefore has few
 * candidates, by rendezvous hashing; spilling to any upstream with room would
 * make all of them cold for all objects.  A full upstream refuses.
 *
 * Where the way between regions is short against the latency target, an
 * object has one place for the callers of all regions: fewer upstreams have
 * to learn it, and all regions share the load.  Where it is long, each region
 * has its own place for it, in the region that the split names.  Pure.
 */
#ifndef MIMOSA_PICK_H
#define MIMOSA_PICK_H

#include <stdint.h>

#include "plan.h"
#include "rt.h"
#include "split.h"
#include "ups.h"

#define PICK_TRIED_MAX 8 /* attempts of one request that are remembered */

typedef enum PickReason {
    PICK_FIRST,  /* the object's first candidate */
    PICK_SPILL,  /* the stand-in for one that fails or is slow */
    PICK_REMOTE, /* the planned region has no usable upstream */
    PICK_FULL,   /* the candidates have no room for this rank */
    PICK_NONE    /* no usable upstream at all */
} PickReason;

/* A VM that shares the limits of cold upstreams. */
typedef struct PickVm {
    uint64_t key;
    int region;
} PickVm;

typedef struct PickIn {
    const UpsSet *set;
    const Topology *topology;
    Plan *plan;         /* NULL: rendezvous hashing alone */
    const Split *split; /* NULL: own region while it can */
    const RtRoute *route;
    const RtService *service;
    uint64_t object; /* hash of the affinity key; of the attempt if none */
    int region;      /* of the caller's entry VM */
    const PickVm *vms;
    int n_vms;
    int self;             /* index in vms */
    uint32_t vms_version; /* changes with vms and self; 0: not told */
    int cold_vms_max;     /* how many VMs may use one cold upstream */
    int64_t max_rtt_us;   /* longest round trip between regions */
    const Ups *tried[PICK_TRIED_MAX];
    int n_tried;
} PickIn;

/*
 * Returns an upstream, or NULL with PICK_FULL or PICK_NONE.  Takes a token of
 * a cold upstream's share when it returns one.
 */
Ups *pick_upstream(const PickIn *in, int64_t now_us, PickReason *why);

/* True when an upstream fails or is slow so often that a cold one is better.
 */
bool pick_is_degraded(const Ups *u, int64_t now_us);

const char *pick_reason_name(PickReason w);

#endif
