/*
 * pick - choice of an upstream for one request.
 *
 * The affinity key of a request names its object.  Designed for sticky work
 * that uses up to all slots of a service.  An upstream that served an object
 * recently serves it again in a fraction of the time, and it caches a bounded
 * number of objects.  Each object therefore has few candidates, chosen by
 * rendezvous hashing; spilling to any upstream with capacity would leave all
 * of them cold for all objects.  Requests for a full upstream are refused.
 *
 * If the round trip between regions is short compared with the latency
 * target, callers of all regions use the same upstream for an object: fewer
 * upstreams have to cache it, and all regions share the load.  Otherwise each
 * region uses its own upstream for the object, in the region chosen by the
 * split.
 *
 * If the upstream in the chosen region is full, the request may overflow to
 * the upstream of the same object in another region, which that region's own
 * callers keep warm.  Designed for regions whose callers need more slots than
 * they have while other regions have free ones.  An overflow uses free slots
 * only, so that callers of the other region do not queue behind it.
 *
 * The module does no I/O and reads no clock.
 */
#ifndef MIMOSA_PICK_H
#define MIMOSA_PICK_H

#include <stdint.h>

#include "plan.h"
#include "rt.h"
#include "split.h"
#include "ups.h"

#define PICK_TRIED_MAX 8 /* recorded attempts of one request */

typedef enum PickReason {
    PICK_FIRST,    /* the object's first candidate */
    PICK_SPILL,    /* a later candidate, as the first one is degraded */
    PICK_REMOTE,   /* any region, as the chosen one has no usable upstream */
    PICK_OVERFLOW, /* another region, as the candidates in the chosen one are
                      full */
    PICK_CAPPED,   /* no upstream: the request may not overflow, though another
                      region has a free slot */
    PICK_FULL,     /* the candidates have no capacity for this rank */
    PICK_WAIT,     /* no upstream: all usable ones asked this VM to wait */
    PICK_NONE      /* no usable upstream in any region */
} PickReason;

/* An entry VM; all of them share the rate limits of cold upstreams. */
typedef struct PickVm {
    uint64_t key;
    int region;
} PickVm;

typedef struct PickIn {
    const UpsSet *set;
    const Topology *topology;
    Plan *plan;         /* NULL: rendezvous hashing only */
    const Split *split; /* NULL: the caller's region if usable */
    const RtRoute *route;
    const RtService *service;
    uint64_t object;      /* hash of the affinity key, or of the attempt id */
    int region;           /* of the entry VM that the caller uses */
    const PickVm *vms;    /* that share limits, see sharers.h */
    int n_vms;            /* 0: not known */
    int self;             /* index in vms; -1: this VM takes no share of the
                             rate of cold upstreams */
    uint32_t vms_version; /* version of vms and self; 0: unknown */
    bool may_overflow;    /* the request may leave the chosen region when its
                             upstream there is full */
    int cold_vms_max;     /* maximum number of VMs that use a cold upstream */
    int64_t max_rtt_us;   /* longest round trip between regions */
    const Ups *tried[PICK_TRIED_MAX];
    int n_tried;
} PickIn;

/*
 * Returns a borrowed upstream, or NULL with *why set to PICK_FULL or
 * PICK_NONE.  If the upstream is cold, takes one token of this VM's share of
 * its rate.
 */
Ups *pick_upstream(const PickIn *in, int64_t now_us, PickReason *why);

/* Returns true if callers of all regions use the same upstream for an object
 * of that route, wherever it is. */
bool pick_is_near(const RtRoute *route, int64_t max_rtt_us);

/* Returns the time until the first upstream that the request may use, and that
 * asked this VM to wait, accepts requests again; 0 if none asked. */
int64_t pick_wait_us(const PickIn *in, int64_t now_us);

/* Returns true if an upstream is unresponsive, or fails or is slow so often
 * that a cold upstream is preferable. */
bool pick_is_degraded(const Ups *u, int64_t now_us);

/* Maximum number of connections of this VM to one upstream: its part of those
 * of all VMs.  n_vms 0: not known, which gives the smallest part. */
int pick_max_conns(const RtService *s, int n_vms);

const char *pick_reason_name(PickReason w);

#endif
