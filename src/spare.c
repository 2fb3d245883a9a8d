/* spare - idle connections opened ahead of need.  See spare.h. */
#include "spare.h"

#include "pick.h"

/* Shorter round trips add little to the time of a request. */
#define MIN_RTT_US 40000
/* Share of the requests that a region has to get for first connections. */
#define MIN_SHARE 0.02
/* Only an upstream that got two requests within this time gets further spare
 * connections: others would mostly expire unused. */
#define USED_TWICE_WITHIN_US 5000000
/* In a larger fleet each VM uses most upstreams too rarely for first
 * connections, whose number is that of the VMs times that of the upstreams. */
#define FIRST_VMS_MAX 100
#define OPEN_INTERVAL_US                                                      \
    500000 /* between spare connections of an upstream                        \
            */

static bool
is_wanted(const SpareIn *in, const Ups *u, int64_t now_us)
{
    const Split *split = &in->demand->split;

    if (u->region == in->region || !ups_usable(in->set, u) ||
        u->idle_conns.length > 0 ||
        u->n_conns + 1 >= pick_max_conns(in->service, in->n_vms) ||
        ups_cold(in->set, u, in->service->warmup_us, now_us)) {
        return false;
    }
    if (u->spare_us == 0 && in->n_vms <= FIRST_VMS_MAX) {
        return u->region < split->n &&
               split->share[in->region][u->region] >= MIN_SHARE;
    }
    return now_us - u->spare_us >= OPEN_INTERVAL_US && u->sent_before_us > 0 &&
           now_us - u->sent_before_us < USED_TWICE_WITHIN_US;
}

void
spare_step(const SpareIn *in, SpareFn open, void *ctx, int64_t now_us)
{
    const GPtrArray *list = ups_of_service(in->set, in->service->id);

    if (!in->demand->used || in->max_rtt_us < MIN_RTT_US) {
        return;
    }
    for (guint i = 0; list != NULL && i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        if (is_wanted(in, u, now_us)) {
            u->spare_us = now_us;
            open(ctx, u);
        }
    }
}
