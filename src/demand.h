/*
 * demand - demand for each service, by region.
 *
 * A VM measures the demand of its own callers, in slots, and receives that of
 * the other VMs.  The shares of the regions (split) are computed from the sums
 * and from the usable upstreams.  The module also keeps this VM's part of the
 * retry budget, which is a limit for all VMs together, and the share of its
 * requests that may overflow to other regions.  It does no I/O and reads no
 * clock.
 */
#ifndef MIMOSA_DEMAND_H
#define MIMOSA_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "bucket.h"
#include "split.h"
#include "ups.h"

typedef struct DemandService {
    uint64_t id; /* hash of the service's name */
    Split split;
    Bucket retries;
    Bucket overflows;
    bool used;   /* this VM has received a request for it */
    int arrived; /* requests since the last step */
    int near;    /* those of them that run in any region, see pick_is_near()
                  */
    double rate; /* requests per second, moving average */
    double near_rate; /* the same of those */
    double work_s;    /* service time in an upstream, moving average */
} DemandService;

typedef struct Demand Demand;

typedef struct DemandOpts {
    const Topology *topology;
    int region;             /* of this VM */
    double max_shift_per_s; /* see SplitIn */
    double max_overflow;    /* share of a service's requests that may
                               overflow to other regions */
    double retry_ratio;     /* retries per request, for all VMs */
    double retry_slack;     /* extra retries per window, for all VMs */
    int64_t retry_window_us;
} DemandOpts;

Demand *demand_new(const DemandOpts *o);
void demand_free(Demand *d);

/* Returns the entry of a service, which is created if needed (borrowed). */
DemandService *demand_service(Demand *d, uint64_t id);

/* Counts a request, which adds to the retry budget.  n_vms: that share the
 * budget; 0: not known, which gives the smallest part. */
void demand_arrived(Demand *d, DemandService *s, int n_vms);

/* One of the requests that were counted runs in any region. */
void demand_arrived_near(DemandService *s);

/* Counts a request that is sent to an upstream, which adds to the share that
 * may overflow.  Refused requests add nothing: they run in no region. */
void demand_admitted(const Demand *d, DemandService *s);

/* Adds a service time to the average. */
void demand_served(DemandService *s, int64_t work_us);

/* Takes one retry from this VM's part of the budget; false if there is none.
 */
bool demand_retry(Demand *d, DemandService *s, int n_vms, int64_t now_us);

/* Returns true if a request may overflow to another region (see pick.h); it
 * is counted by demand_overflowed().  As each VM keeps to the share, all VMs
 * together do. */
bool demand_may_overflow(DemandService *s, int64_t now_us);
void demand_overflowed(DemandService *s, int64_t now_us);

/* Returns the demand of this VM's callers, in slots. */
double demand_own(const DemandService *s);

/* Records the demand received from another VM; it expires after
 * DEMAND_TTL_US. */
#define DEMAND_TTL_US 3000000
void demand_received(Demand *d, uint64_t vm, int region, uint64_t service,
                     double slots, int64_t now_us);

/* Updates the rates and the shares.  vms_by_region: number of VMs in use.  A
 * VM without a recent report counts with the average demand of its region;
 * before there is traffic, demand is assumed in proportion to the VMs. */
void demand_step(Demand *d, const UpsSet *set, const int *vms_by_region,
                 int64_t now_us);

/* Calls f for each service. */
void demand_each(Demand *d, void (*f)(void *ctx, const DemandService *s),
                 void *ctx);

#endif
