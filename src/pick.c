/* pick - choice of an upstream for one request.  See pick.h. */
#include "pick.h"

#include "hash.h"

/* Upstreams considered for one object: its own, and the replacements used
 * while that one is degraded.  With a third of the upstreams unresponsive, one
 * object in 80 has no responsive candidate. */
#define CANDIDATES 4
#define SAMPLE_TRIES 12 /* upstreams sampled for work that is not sticky */

/* Ratio of load to slots up to which a rank is admitted; the upstream queues
 * what exceeds 1.  Less urgent ranks have lower limits, which reserves
 * capacity for more urgent work. */
static const double fill_limit[RANKS_MAX] = {1.9, 1.6, 1.25, 1.0};

/* Regions share the upstreams of an object if the round trip between them
 * takes less than this fraction of the latency target.  With 0.33, regions
 * 110 ms apart shared all objects; when traffic ended, requests in transit
 * between regions finished after all others, and the cap on shifts was
 * exceeded. */
#define NEAR_RTT_FRACTION 0.13

/* Requests admitted beyond fill_limit at each upstream; it matters for those
 * with few slots. */
#define FILL_EXTRA 1.0
/* Share of failures, and ratio of the service time to the usual one, above
 * which an upstream is degraded.  A cold upstream takes about three times the
 * usual time. */
#define DEGRADED_FAILURES 0.4
#define DEGRADED_SLOWNESS 3.0
#define DOWN_RETRY_US 1000000 /* pause after a failure to connect */
/* Fraction of the rate that a cold upstream sustains, used by all VMs
 * together; and the burst of each VM in requests. */
#define COLD_FRACTION 0.9
#define COLD_BURST 1.0
/* Weights by which VMs are ranked as users of a cold upstream: VMs in the
 * upstream's region, and VMs in other regions. */
#define COLD_WEIGHT_LOCAL 1.0
#define COLD_WEIGHT_REMOTE 0.05
/* Fraction of an upstream's connections that all VMs together may open, in
 * equal parts; and the minimum for each VM. */
#define CONNS_FRACTION 0.8
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

/* Ranks the VMs for a cold upstream by weighted rendezvous hashing; returns
 * true if this VM is among the first ones, which may use it. */
static bool
is_cold_user(const PickIn *in, const Ups *u)
{
    double own = 0;
    int ahead = 0;

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < in->n_vms; i++) {
            double w = in->vms[i].region == u->region ? COLD_WEIGHT_LOCAL
                                                      : COLD_WEIGHT_REMOTE;
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

/* Returns true if this VM is among those that may use a cold upstream.  The
 * result is cached until the list of VMs changes. */
static bool
cold_allowed(const PickIn *in, Ups *u)
{
    if (in->self < 0 || in->self >= in->n_vms) {
        return false;
    }
    if (in->n_vms <= in->cold_vms_max) {
        return true;
    }
    if (in->vms_version == 0 || u->cold_list_version != in->vms_version) {
        u->may_use_cold = is_cold_user(in, u);
        u->cold_list_version = in->vms_version;
    }
    return u->may_use_cold;
}

/* Returns the rate at which this VM may use a cold upstream, in requests per
 * second. */
static double
cold_rate(const PickIn *in)
{
    int n = MIN(in->n_vms, in->cold_vms_max);

    return in->service->cold_per_s * COLD_FRACTION / n;
}

bool
pick_is_near(const RtRoute *route, int64_t max_rtt_us)
{
    return (double)max_rtt_us <
           (double)route->latency_target_us * NEAR_RTT_FRACTION;
}

int
pick_max_conns(const RtService *s, int n_vms)
{
    if (n_vms <= 0) {
        return CONNS_MIN;
    }
    return MAX((int)(s->max_conns * CONNS_FRACTION / n_vms), CONNS_MIN);
}

/* Returns true if the request may be sent to the upstream, now or later. */
static bool
may_use_later(const PickIn *in, const Ups *u, int64_t now_us)
{
    return ups_usable(in->set, u) && !was_tried(in, u) &&
           now_us - u->connect_failed_us >= DOWN_RETRY_US &&
           rt_region_allowed(in->route, in->topology->regions[u->region]);
}

static bool
may_use(const PickIn *in, Ups *u, int64_t now_us)
{
    if (now_us < u->wait_until_us || !may_use_later(in, u, now_us)) {
        return false;
    }
    if (u->idle_conns.length == 0 &&
        u->n_conns >= pick_max_conns(in->service, in->n_vms)) {
        return false;
    }
    if (ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        return cold_allowed(in, u) &&
               bucket_has(&u->cold_bucket, cold_rate(in), COLD_BURST, now_us);
    }
    return true;
}

static bool
in_region(const Ups *u, int region)
{
    return region == RANKS_ANY_REGION || u->region == region;
}

/* Collects the first usable upstreams of a ranking. */
static int
ranked_candidates(const PickIn *in, const Ranks *r, Ups **c, int64_t now_us)
{
    int n = 0;

    for (int i = 0; i < r->n && n < CANDIDATES; i++) {
        if (may_use(in, r->at[i].u, now_us)) {
            c[n++] = r->at[i].u;
        }
    }
    return n;
}

/* Collects usable upstreams by a scan of the whole list, from an offset that
 * depends on the object. */
static int
scan_candidates(const PickIn *in, int region, Ups **c, int64_t now_us)
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

/* Collects a pseudo-random sample of usable upstreams, for work that gains
 * nothing from a cache. */
static int
sample_candidates(const PickIn *in, int region, Ups **c, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);
    int n = 0;

    if (list == NULL || list->len == 0) {
        return 0;
    }
    for (uint64_t i = 0; i < SAMPLE_TRIES && n < CANDIDATES; i++) {
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
        n = sample_candidates(in, region, c, now_us);
        return n > 0 ? n : scan_candidates(in, region, c, now_us);
    }
    const Ranks *ranks = in->plan == NULL
                             ? NULL
                             : plan_ranks(in->plan, in->set, in->service->id,
                                          region, in->object);
    if (ranks != NULL) {
        n = ranked_candidates(in, ranks, c, now_us);
        return n > 0 || ranks->complete
                   ? n
                   : scan_candidates(in, region, c, now_us);
    }
    Ranks temp = {0};
    RanksScope scope = {in->set, in->service->id, region, in->object};
    ranks_update(&temp, &scope);
    n = ranked_candidates(in, &temp, c, now_us);
    n = n > 0 || temp.complete ? n : scan_candidates(in, region, c, now_us);
    ranks_clear(&temp);
    return n;
}

/* Puts the upstream assigned by the plan in front of the other candidates;
 * returns their new number. */
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
    /* Shift the candidates before it by one, over its old entry or over the
     * last one. */
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
           ups_fail_rate(u, now_us) > DEGRADED_FAILURES ||
           ups_slowness(u, now_us) > DEGRADED_SLOWNESS;
}

static bool
has_capacity(const Ups *u, int rank, int64_t now_us)
{
    int r = CLAMP(rank, 0, RANKS_MAX - 1);

    return ups_load(u, now_us) < u->slots * fill_limit[r] + FILL_EXTRA;
}

/* Returns the first candidate that is not degraded, or the first one if all
 * are; NULL if that one is full.  Sets *at to its index.  Requests for a full
 * upstream do not spill to the next candidate. */
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
    return has_capacity(c[*at], in->route->rank, now_us) ? c[*at] : NULL;
}

/* Returns the least loaded of the object's upstreams in the other regions, or
 * NULL if none of them is warm, not degraded and has a free slot. */
static Ups *
overflow(const PickIn *in, int region, int64_t now_us)
{
    Ups *best = NULL;
    double best_load = 1;

    for (int r = 0; r < in->topology->n_regions; r++) {
        Ups *c[CANDIDATES];
        if (r == region) {
            continue;
        }
        int n = candidates(in, r, c, now_us);
        n = put_owner_first(in, r, c, n, now_us);
        if (n == 0 || pick_is_degraded(c[0], now_us) ||
            ups_cold(in->set, c[0], in->service->warmup_us, now_us)) {
            continue;
        }
        double load = (ups_load(c[0], now_us) + 1) / c[0]->slots;
        if (load <= best_load) {
            best_load = load;
            best = c[0];
        }
    }
    return best;
}

/* Chooses for a request whose candidates are full.  scope: region of the
 * candidates, or RANKS_ANY_REGION. */
static Ups *
pick_elsewhere(const PickIn *in, int scope, int64_t now_us, PickReason *why)
{
    Ups *u = scope == RANKS_ANY_REGION ? NULL : overflow(in, scope, now_us);

    if (u == NULL) {
        *why = PICK_FULL;
        return NULL;
    }
    *why = in->may_overflow ? PICK_OVERFLOW : PICK_CAPPED;
    return in->may_overflow ? u : NULL;
}

/* Returns the shortest wait that upstreams of a region asked for; 0: none. */
static int64_t
first_wait(const PickIn *in, int region, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);
    int64_t first_us = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const Ups *u = g_ptr_array_index(list, i);
        int64_t wait_us = u->wait_until_us - now_us;
        if (wait_us > 0 && in_region(u, region) &&
            may_use_later(in, u, now_us) &&
            (first_us == 0 || wait_us < first_us)) {
            first_us = wait_us;
        }
    }
    return first_us;
}

int64_t
pick_wait_us(const PickIn *in, int64_t now_us)
{
    return first_wait(in, RANKS_ANY_REGION, now_us);
}

/* Chooses for a request whose region has upstreams, all of which asked for a
 * wait.  It may overflow only, as the cap on shifts holds for it. */
static Ups *
pick_while_waiting(const PickIn *in, int region, int64_t now_us,
                   PickReason *why)
{
    Ups *u = in->may_overflow ? overflow(in, region, now_us) : NULL;

    *why = u == NULL ? PICK_WAIT : PICK_OVERFLOW;
    return u;
}

Ups *
pick_upstream(const PickIn *in, int64_t now_us, PickReason *why)
{
    Ups *c[CANDIDATES];
    int region = in->region;
    int at = 0;
    bool remote = false;

    if (pick_is_near(in->route, in->max_rtt_us)) {
        region = -1;
    }
    else if (in->split != NULL && in->split->n > 0) {
        /* This hash is independent of the one that ranks upstreams, so that
         * the objects of a region spread over all of its upstreams. */
        double unit = hash_unit(hash_mix(in->object, in->service->id));
        region = split_region(in->split, in->region, unit);
    }
    int n = candidates(in, region, c, now_us);
    if (n == 0 && region >= 0 && first_wait(in, region, now_us) > 0) {
        return pick_while_waiting(in, region, now_us, why);
    }
    if (n == 0 && region >= 0) {
        remote = true;
        n = candidates(in, -1, c, now_us);
    }
    if (!remote) {
        n = put_owner_first(in, region, c, n, now_us);
    }
    if (n == 0) {
        *why = pick_wait_us(in, now_us) > 0 ? PICK_WAIT : PICK_NONE;
        return NULL;
    }
    Ups *u = choose(in, c, n, now_us, &at);
    if (u == NULL) {
        return pick_elsewhere(in, remote ? RANKS_ANY_REGION : region, now_us,
                              why);
    }
    if (ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        bucket_take(&u->cold_bucket, cold_rate(in), COLD_BURST, now_us);
    }
    *why = remote ? PICK_REMOTE : (at == 0 ? PICK_FIRST : PICK_SPILL);
    return u;
}

const char *
pick_reason_name(PickReason w)
{
    static const char *const names[] = {"first",  "spill", "away", "overflow",
                                        "capped", "full",  "wait", "none"};

    return names[w];
}
