/* Tests of px with upstreams that begin to drain. */
#include "px_world.h"

#define WAIT_US (200 * MS) /* of the request in the queue */

/* Guards against a request that waits in the queue while its upstream begins
 * to drain, and is sent to it afterwards. */
START_TEST(a_queued_request_is_not_sent_to_an_upstream_that_drains)
{
    World w;

    world_init(&w, true, 100);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    UpsReport r = {.id = str_of("u-1"),
                   .service = str_of("desk"),
                   .zone = str_of("z"),
                   .slots = 100,
                   .draining = true};
    memcpy(&r.addr, &w.u->addr, sizeof(r.addr));
    ups_report(w.set, &r, evl_now(w.loop));
    world_run(&w, WAIT_US + 10 * SETTLE_US);
    world_end_not_run(&w, caller);
}
END_TEST

T_MAIN("px_drain", a_queued_request_is_not_sent_to_an_upstream_that_drains)
