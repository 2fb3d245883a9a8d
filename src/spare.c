/* spare - idle connections opened ahead of need.  See spare.h. */
#include "spare.h"

#include "pick.h"

/* Shorter round trips add little to the time of a request. */
#define MIN_RTT_US 40000
/* An upstream that got two requests within this time gets a spare connection,
 * as several requests may need it at once.  Also the time for which an idle
 * connection is of use while the upstream has not announced it. */
#define USE_TIME_US 5000000
/* Requests that this VM has to expect for an upstream while a connection is
 * idle before it keeps one ready: in a large fleet each VM uses most upstreams
 * so rarely that the connections would expire unused. */
#define EXPECTED_USES_MIN 0.25
/* Requests that were expected since the last one and did not come, after which
 * no connection is kept ready until the next request. */
#define MISSED_MAX 4.0
/* Between spare connections of an upstream. */
#define OPEN_INTERVAL_US 500000

/* Returns the requests per second that this VM expects for each upstream of a
 * region.  usable: upstreams of each region. */
static double
expected_rate(const SpareIn *in, int region, const int *usable)
{
    const DemandService *d = in->demand;
    int all = 0;

    for (int r = 0; r < d->split.n; r++) {
        all += usable[r];
    }
    if (region >= d->split.n || usable[region] == 0) {
        return 0;
    }
    return (d->rate - d->near_rate) * d->split.share[in->region][region] /
               usable[region] +
           d->near_rate / all;
}

/* Time for which an idle connection to the upstream is of use. */
static int64_t
idle_us(const Ups *u)
{
    return u->keep_us > 0 ? u->keep_us : USE_TIME_US;
}

/* Returns true if a connection is to be kept ready for requests that come now
 * and then.  rate: that of the requests expected for the upstream. */
static bool
keeps_ready(const Ups *u, double rate, int64_t now_us)
{
    int64_t idle = idle_us(u);

    if (rate * (double)idle / 1e6 < EXPECTED_USES_MIN) {
        return false;
    }
    if (u->spare_us == 0) {
        return true;
    }
    int64_t since_us = MAX(u->sent_us, u->spares_from_us);
    return rate * (double)(now_us - since_us) / 1e6 < MISSED_MAX &&
           now_us - MAX(u->sent_us, u->spare_us) >= idle;
}

static bool
is_wanted(const SpareIn *in, const Ups *u, double rate, int64_t now_us)
{
    if (u->region == in->region || !ups_usable(in->set, u) ||
        u->idle_conns.length > 0 ||
        u->n_conns + 1 >= pick_max_conns(in->service, in->n_vms) ||
        now_us < u->wait_until_us ||
        ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        return false;
    }
    if (u->spare_us != 0 && now_us - u->spare_us < OPEN_INTERVAL_US) {
        return false;
    }
    bool often =
        u->sent_before_us > 0 && now_us - u->sent_before_us < USE_TIME_US;
    return often || keeps_ready(u, rate, now_us);
}

/* Returns the shortest time for which an upstream of the service keeps idle
 * connections; 0: not known of any. */
static int64_t
shortest_keep_us(const GPtrArray *list)
{
    int64_t min_us = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        const Ups *u = g_ptr_array_index(list, i);
        if (u->keep_us > 0 && (min_us == 0 || u->keep_us < min_us)) {
            min_us = u->keep_us;
        }
    }
    return min_us;
}

void
spare_step(const SpareIn *in, SpareFn open, void *ctx, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);
    int usable[REGIONS_MAX] = {0};

    if (!in->demand->used || in->max_rtt_us < MIN_RTT_US) {
        return;
    }
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const Ups *u = g_ptr_array_index(list, i);
        usable[u->region] += ups_usable(in->set, u) ? 1 : 0;
    }
    int64_t keep_us = shortest_keep_us(list);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        /* Until its first response it is taken to be like the others. */
        u->keep_us = u->keep_us == 0 ? keep_us : u->keep_us;
        double rate = expected_rate(in, u->region, usable);
        if (is_wanted(in, u, rate, now_us)) {
            if (u->spare_us == 0 || u->sent_us > u->spare_us) {
                u->spares_from_us = now_us;
            }
            u->spare_us = now_us;
            open(ctx, u);
        }
    }
}
