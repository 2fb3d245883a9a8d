/* spare - idle connections opened ahead of need.  See spare.h. */
#include "spare.h"

#include "pick.h"

/* Shorter round trips add little to the time of a request. */
#define MIN_RTT_US 40000
/* An idle connection is of use for about this time.  Only an upstream that got
 * two requests within it gets further spare connections. */
#define USE_TIME_US 5000000
/* Requests that this VM has to expect for an upstream within USE_TIME_US
 * before it opens a first connection: in a large fleet each VM uses most
 * upstreams so rarely that the connections would expire unused. */
#define FIRST_USES_MIN 0.25
/* Between spare connections of an upstream. */
#define OPEN_INTERVAL_US 500000

/* Returns the requests that this VM expects for each upstream of a region
 * within USE_TIME_US.  n: usable upstreams there. */
static double
expected_uses(const SpareIn *in, int region, int n)
{
    const Split *split = &in->demand->split;

    if (n == 0 || region >= split->n) {
        return 0;
    }
    return in->demand->rate * split->share[in->region][region] / n *
           (USE_TIME_US / 1e6);
}

static bool
is_wanted(const SpareIn *in, const Ups *u, double uses, int64_t now_us)
{
    if (u->region == in->region || !ups_usable(in->set, u) ||
        u->idle_conns.length > 0 ||
        u->n_conns + 1 >= pick_max_conns(in->service, in->n_vms) ||
        now_us < u->wait_until_us ||
        ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        return false;
    }
    if (u->spare_us == 0 && uses >= FIRST_USES_MIN) {
        return true;
    }
    return now_us - u->spare_us >= OPEN_INTERVAL_US && u->sent_before_us > 0 &&
           now_us - u->sent_before_us < USE_TIME_US;
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
    for (guint i = 0; list != NULL && i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        double uses = expected_uses(in, u->region, usable[u->region]);
        if (is_wanted(in, u, uses, now_us)) {
            u->spare_us = now_us;
            open(ctx, u);
        }
    }
}
