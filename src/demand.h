/*
 * demand - how much work each service is asked for, by region.
 *
 * A VM measures what its own callers ask for, in slots, and hears the same
 * from the other VMs.  From these sums and from the upstreams in use follow
 * the shares of the regions (split).  Also keeps this VM's part of the retry
 * budget, which is a sum over all VMs.  Pure.
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
    int arrived;   /* requests since the last step */
    double rate;   /* requests a second, moving average */
    double work_s; /* time in an upstream, moving average */
} DemandService;

typedef struct Demand Demand;

typedef struct DemandOpts {
    const Topology *topology;
    int region; /* of this VM */
    double max_shift_per_s;
    double retry_ratio; /* of the requests, for all VMs */
    double retry_slack; /* requests in a window, for all VMs */
    int64_t retry_window_us;
} DemandOpts;

Demand *demand_new(const DemandOpts *o);
void demand_free(Demand *d);

DemandService *demand_service(Demand *d, uint64_t id);
void demand_arrived(Demand *d, DemandService *s, int n_vms);
void demand_served(DemandService *s, int64_t work_us);

/* Takes one of this VM's retries. */
bool demand_retry(Demand *d, DemandService *s, int n_vms, int64_t now_us);

/* Slots that this VM's callers ask for. */
double demand_own(const DemandService *s);

/* What another VM asks for; forgotten after DEMAND_TTL_US. */
#define DEMAND_TTL_US 3000000
void demand_received(Demand *d, uint64_t vm, int region, uint64_t service,
                     double slots, int64_t now_us);

/* vms_by_region: VMs in use.  Those that were not heard lately are taken to
 * ask for as much as the others of their region; before traffic they stand
 * for the demand. */
void demand_step(Demand *d, const UpsSet *set, const int *vms_by_region,
                 int64_t now_us);

void demand_each(Demand *d, void (*f)(void *ctx, const DemandService *s),
                 void *ctx);

#endif
