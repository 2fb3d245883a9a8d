/* pick - choice of an upstream for one request.  See pick.h. */
#include "pick.h"


#include "hash.h"

/* Upstreams that are looked at for one object: its own, and those that stand
 * in when it is poor.  With a third of them silent, one in 80 objects has
 * none. */
#define CANDIDATES 4
#define SAMPLES 12 /* of the list, for work that is not sticky */

/* Load over the slots up to which a rank is let in; the upstream queues what
 * is over 1.  Less urgent work leaves room for more urgent work. */
static const double fill_limit[RANKS_MAX] = {1.9, 1.6, 1.25, 1.0};

/* Regions are near when a round trip takes less than this part of the latency
 * target.  With 0.33, regions 110 ms apart shared all objects; requests on
 * their way between regions then outlived the rest at the end of traffic, and
 * the cap on shifts was exceeded. */
#define NEAR_PART 0.13

#define FILL_MORE 1.0 /* places in each queue beside that, for few slots */
/* Shares of failures and slowness from which an upstream is poor.  A cold one
 * takes about three times as long. */
#define POOR_FAILS 0.4
#define POOR_SLOWNESS 3.0
#define DOWN_WAIT_US 1000000 /* between tries of one that is unreachable */
#define COLD_PART 0.9        /* of the rate that a cold upstream bears */
#define COLD_BURST 1.0
#define COLD_NEAR 1.0  /* weight of VMs in the upstream's region ... */
#define COLD_FAR 0.05  /* ... and of others, as users of a cold upstream */
#define CONNS_PART 0.8 /* of an upstream's connections, for all VMs */
#define CONNS_MIN 4

static bool
was_tried(const PickIn *in, const Ups *u)
{
    for (int i = 0; i < in->n_tried; i++) {
        if (in->tried[i] == u) {
            return true;
        }
    }
    return false;
}

static bool
ranks_for_cold(const PickIn *in, const Ups *u)
{
    double own = 0;
    int ahead = 0;

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < in->n_vms; i++) {
            double w = in->vms[i].region == u->region ? COLD_NEAR : COLD_FAR;
            double s = hash_rendezvous(u->key, in->vms[i].key, w);
            if (pass == 0 && i == in->self) {
                own = s;
            }
            else if (pass == 1 && i != in->self && s > own) {
                ahead++;
            }
        }
    }
    return ahead < in->cold_vms_max;
}

/* True when this VM is one of the few that may use a cold upstream.  Ranking
 * the VMs is remembered until their list changes. */
static bool
shares_cold(const PickIn *in, Ups *u)
{
    if (in->n_vms <= in->cold_vms_max) {
        return true;
    }
    if (in->vms_version == 0 || u->cold_list_version != in->vms_version) {
        u->may_use_cold = ranks_for_cold(in, u);
        u->cold_list_version = in->vms_version;
    }
    return u->may_use_cold;
}

static double
cold_rate(const PickIn *in)
{
    int n = MIN(MAX(in->n_vms, 1), in->cold_vms_max);

    return in->service->cold_per_s * COLD_PART / n;
}

static bool
may_use(const PickIn *in, Ups *u, int64_t now_us)
{
    int conns = (int)(in->service->max_conns * CONNS_PART / MAX(in->n_vms, 1));

    if (!ups_usable(in->set, u) || was_tried(in, u) ||
        now_us - u->down_us < DOWN_WAIT_US) {
        return false;
    }
    if (u->idle_conns.length == 0 && u->n_conns >= MAX(conns, CONNS_MIN)) {
        return false;
    }
    if (!rt_region_allowed(in->route, in->topology->regions[u->region])) {
        return false;
    }
    if (ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        return shares_cold(in, u) &&
               bucket_has(&u->cold_bucket, cold_rate(in), COLD_BURST, now_us);
    }
    return true;
}

static bool
in_region(const Ups *u, int region)
{
    return region == RANKS_ANY_REGION || u->region == region;
}

/* The first usable ones by rank. */
static int
by_rank(const PickIn *in, const Ranks *r, Ups **c, int64_t now_us)
{
    int n = 0;

    for (int i = 0; i < r->n && n < CANDIDATES; i++) {
        if (may_use(in, r->at[i].u, now_us)) {
            c[n++] = r->at[i].u;
        }
    }
    return n;
}

/* Usable ones of the whole list, from a place that the object gives. */
static int
by_walk(const PickIn *in, int region, Ups **c, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);
    int n = 0;

    for (guint i = 0; list != NULL && i < list->len && n < CANDIDATES; i++) {
        Ups *u =
            g_ptr_array_index(list, (in->object % list->len + i) % list->len);
        if (in_region(u, region) && may_use(in, u, now_us)) {
            c[n++] = u;
        }
    }
    return n;
}

/* Any usable ones, for work that no upstream does faster than another. */
static int
by_chance(const PickIn *in, int region, Ups **c, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);
    int n = 0;

    for (uint64_t i = 0; list != NULL && i < SAMPLES && n < CANDIDATES; i++) {
        Ups *u = g_ptr_array_index(list, hash_mix(in->object, i) % list->len);
        bool twice = false;
        for (int k = 0; k < n; k++) {
            twice = twice || c[k] == u;
        }
        if (!twice && in_region(u, region) && may_use(in, u, now_us)) {
            c[n++] = u;
        }
    }
    return n;
}

static int
candidates(const PickIn *in, int region, Ups **c, int64_t now_us)
{
    int n;

    if (!in->route->sticky) {
        n = by_chance(in, region, c, now_us);
        return n > 0 ? n : by_walk(in, region, c, now_us);
    }
    const Ranks *known = in->plan == NULL
                             ? NULL
                             : plan_ranks(in->plan, in->set, in->service->id,
                                          region, in->object);
    if (known != NULL) {
        n = by_rank(in, known, c, now_us);
        return n > 0 || known->complete ? n : by_walk(in, region, c, now_us);
    }
    Ranks once = {0};
    RanksScope scope = {in->set, in->service->id, region, in->object};
    ranks_update(&once, &scope);
    n = by_rank(in, &once, c, now_us);
    n = n > 0 || once.complete ? n : by_walk(in, region, c, now_us);
    ranks_clear(&once);
    return n;
}

/* The plan's upstream takes the place of the first candidate. */
static int
put_owner_first(const PickIn *in, int region, Ups **c, int n, int64_t now_us)
{
    Ups *u = in->plan == NULL
                 ? NULL
                 : plan_owner(in->plan, in->service->id, region, in->object);

    if (u == NULL || u->service != in->service->id ||
        !may_use(in, u, now_us)) {
        return n;
    }
    /* Moves the better ones down over the place that it had, or the last. */
    int at = 0;
    while (at < n && c[at] != u) {
        at++;
    }
    if (at == n) {
        n = MIN(n + 1, CANDIDATES);
        at = n - 1;
    }
    for (int i = at; i > 0; i--) {
        c[i] = c[i - 1];
    }
    c[0] = u;
    return n;
}

bool
pick_is_degraded(const Ups *u, int64_t now_us)
{
    return ups_unresponsive(u, now_us) ||
           ups_fail_rate(u, now_us) > POOR_FAILS ||
           ups_slowness(u, now_us) > POOR_SLOWNESS;
}

static bool
has_room(const Ups *u, int rank, int64_t now_us)
{
    int r = CLAMP(rank, 0, RANKS_MAX - 1);

    return ups_load(u, now_us) < u->slots * fill_limit[r] + FILL_MORE;
}

/* The first candidate that is not poor, or the first where all are.  A full
 * one does not make its requests spill. */
static Ups *
choose(const PickIn *in, Ups *const *c, int n, int64_t now_us, int *at)
{
    *at = 0;
    while (*at < n - 1 && pick_is_degraded(c[*at], now_us)) {
        (*at)++;
    }
    if (pick_is_degraded(c[*at], now_us)) {
        *at = 0;
    }
    return has_room(c[*at], in->route->rank, now_us) ? c[*at] : NULL;
}

Ups *
pick_upstream(const PickIn *in, int64_t now_us, PickReason *why)
{
    Ups *c[CANDIDATES];
    int region = in->region;
    int at = 0;
    bool away = false;

    if (in->max_rtt_us < in->route->target_us * NEAR_PART) {
        region = -1;
    }
    else if (in->split != NULL && in->split->n > 0) {
        /* Another hash than that of the upstreams, so that the objects of a
         * region spread over all of its upstreams. */
        double unit = hash_unit(hash_mix(in->object, in->service->id));
        region = split_region(in->split, in->region, unit);
    }
    int n = candidates(in, region, c, now_us);
    if (n == 0 && region >= 0) {
        away = true;
        n = candidates(in, -1, c, now_us);
    }
    if (!away) {
        n = put_owner_first(in, region, c, n, now_us);
    }
    if (n == 0) {
        *why = PICK_NONE;
        return NULL;
    }
    Ups *u = choose(in, c, n, now_us, &at);
    if (u == NULL) {
        *why = PICK_FULL;
        return NULL;
    }
    if (ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        bucket_take(&u->cold_bucket, cold_rate(in), COLD_BURST, now_us);
    }
    *why = away ? PICK_REMOTE : (at == 0 ? PICK_FIRST : PICK_SPILL);
    return u;
}

const char *
pick_reason_name(PickReason w)
{
    static const char *const names[] = {"first", "spill", "away", "full",
                                        "none"};

    return names[w];
}
