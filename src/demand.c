/* demand - demand for each service, by region.  See demand.h. */
#include "demand.h"

#include <math.h>

#include <glib.h>

/* Time constant of the average request rate; bursts last for seconds. */
#define RATE_AVG_US 2e6
#define WORK_WEIGHT 0.02 /* of one response in the average service time */
#define WORK_START_S 0.2 /* service time before the first responses */
/* Fraction of the retry budget that is used; the rest is a margin for lost
 * counts. */
#define RETRY_FRACTION 0.7
/* Overflows that one VM may send at once.  It is the smallest whole number, as
 * the burst comes on top of the share. */
#define OVERFLOW_BURST 1.0
#define DEMAND_MIN_SLOTS 0.5 /* a lower demand counts as no traffic */

/* Demand reported by another VM. */
typedef struct RemoteDemand {
    uint64_t vm;
    uint64_t service;
    int region;
    double slots;
    int64_t at_us;
} RemoteDemand;

struct Demand {
    DemandOpts o;
    GHashTable *services; /* id -> DemandService */
    GArray *remote;       /* RemoteDemand */
    int64_t step_us;      /* time of the last step; 0: none */
};

Demand *
demand_new(const DemandOpts *o)
{
    Demand *d = g_new0(Demand, 1);

    d->o = *o;
    d->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    d->remote = g_array_new(FALSE, TRUE, sizeof(RemoteDemand));
    return d;
}

void
demand_free(Demand *d)
{
    g_hash_table_destroy(d->services);
    g_array_free(d->remote, TRUE);
    g_free(d);
}

DemandService *
demand_service(Demand *d, uint64_t id)
{
    DemandService *s = g_hash_table_lookup(d->services, &id);

    if (s == NULL) {
        s = g_new0(DemandService, 1);
        s->id = id;
        s->work_s = WORK_START_S;
        g_hash_table_insert(d->services, &s->id, s);
    }
    return s;
}

/* Returns this VM's part of the retries that are allowed beyond the ratio. */
static double
retry_burst(const Demand *d, int n_vms)
{
    return n_vms <= 0 ? 1 : fmax(1, d->o.retry_slack * RETRY_FRACTION / n_vms);
}

void
demand_arrived(Demand *d, DemandService *s, int n_vms)
{
    s->arrived++;
    s->used = true;
    bucket_add(&s->retries, d->o.retry_ratio * RETRY_FRACTION,
               retry_burst(d, n_vms));
}

void
demand_arrived_near(DemandService *s)
{
    s->near++;
}

void
demand_admitted(const Demand *d, DemandService *s)
{
    bucket_add(&s->overflows, d->o.max_overflow, OVERFLOW_BURST);
}

void
demand_served(DemandService *s, int64_t work_us)
{
    s->work_s += WORK_WEIGHT * ((double)work_us / 1e6 - s->work_s);
}

bool
demand_retry(Demand *d, DemandService *s, int n_vms, int64_t now_us)
{
    /* The slack is granted per window and refills at half that rate. */
    double burst = retry_burst(d, n_vms);
    double per_s = burst / ((double)d->o.retry_window_us / 1e6) / 2;

    return bucket_take(&s->retries, per_s, burst, now_us);
}

bool
demand_may_overflow(DemandService *s, int64_t now_us)
{
    return bucket_has(&s->overflows, 0, OVERFLOW_BURST, now_us);
}

void
demand_overflowed(DemandService *s, int64_t now_us)
{
    bucket_take(&s->overflows, 0, OVERFLOW_BURST, now_us);
}

double
demand_own(const DemandService *s)
{
    return s->rate * s->work_s;
}

void
demand_received(Demand *d, uint64_t vm, int region, uint64_t service,
                double slots, int64_t now_us)
{
    RemoteDemand h = {vm, service, region, slots, now_us};

    for (guint i = 0; i < d->remote->len; i++) {
        RemoteDemand *x = &g_array_index(d->remote, RemoteDemand, i);
        if (x->vm == vm && x->service == service) {
            *x = h;
            return;
        }
    }
    g_array_append_val(d->remote, h);
}

static void
expire_remote(Demand *d, int64_t now_us)
{
    for (guint i = d->remote->len; i-- > 0;) {
        if (now_us - g_array_index(d->remote, RemoteDemand, i).at_us >
            DEMAND_TTL_US) {
            g_array_remove_index_fast(d->remote, i);
        }
    }
}

static void
count_capacity(SplitIn *in, const UpsSet *set, uint64_t service)
{
    const GPtrArray *list = ups_of_service(set, service);

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const Ups *u = g_ptr_array_index(list, i);
        if (ups_usable(set, u)) {
            in->capacity[u->region] += u->slots;
        }
    }
}

/* Before there is traffic, assumes a demand of half of the slots, in
 * proportion to the VMs of each region. */
static void
assume_demand(SplitIn *in, const int *vms_by_region)
{
    double slots = 0;
    int vms = 0;

    for (int r = 0; r < in->n; r++) {
        slots += in->capacity[r];
        vms += vms_by_region[r];
    }
    for (int r = 0; r < in->n && vms > 0; r++) {
        in->demand[r] = slots / 2 * vms_by_region[r] / vms;
    }
}

static void
step_service(Demand *d, DemandService *s, const UpsSet *set,
             const int *vms_by_region, int64_t now_us)
{
    SplitIn in = {.n = d->o.topology->n_regions,
                  .max_shift_per_s = d->o.max_shift_per_s,
                  .unused = !s->used};
    int reports[REGIONS_MAX] = {0};
    double sum = 0;

    in.demand[d->o.region] = demand_own(s);
    reports[d->o.region] = 1;
    for (guint i = 0; i < d->remote->len; i++) {
        const RemoteDemand *h = &g_array_index(d->remote, RemoteDemand, i);
        if (h->service == s->id) {
            in.demand[h->region] += h->slots;
            reports[h->region]++;
        }
    }
    for (int r = 0; r < in.n; r++) {
        if (reports[r] > 0 && vms_by_region[r] > reports[r]) {
            in.demand[r] *= (double)vms_by_region[r] / reports[r];
        }
        sum += in.demand[r];
    }
    count_capacity(&in, set, s->id);
    if (sum < DEMAND_MIN_SLOTS) {
        assume_demand(&in, vms_by_region);
    }
    split_step(&s->split, &in, now_us);
}

void
demand_step(Demand *d, const UpsSet *set, const int *vms_by_region,
            int64_t now_us)
{
    double dt = (double)(now_us - d->step_us);
    GHashTableIter it;
    gpointer p;

    expire_remote(d, now_us);
    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        DemandService *s = p;
        if (d->step_us > 0 && dt > 0) {
            double now_rate = s->arrived / (dt / 1e6);
            double w = 1 - exp(-dt / RATE_AVG_US);
            double near_rate = s->near / (dt / 1e6);
            s->rate += w * (now_rate - s->rate);
            s->near_rate += w * (near_rate - s->near_rate);
        }
        s->arrived = 0;
        s->near = 0;
        step_service(d, s, set, vms_by_region, now_us);
    }
    d->step_us = now_us;
}

void
demand_each(Demand *d, void (*f)(void *ctx, const DemandService *s), void *ctx)
{
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, d->services);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        f(ctx, p);
    }
}
