/* Tests of px with requests that crash upstreams. */
#include "px_world.h"

#define WAIT_US (200 * MS) /* of the request in the queue */

static uint64_t
fingerprint_of_ask(void)
{
    return crash_fingerprint(str_of("POST"), str_of("/x"), str_of(""),
                             str_of(""));
}

/* Guards against a request that crashes one more upstream because the verdict
 * came while it was queued. */
START_TEST(a_queued_request_is_refused_when_the_verdict_comes)
{
    World w;
    CrashMsg m = {.n_verdicts = 1,
                  .verdicts = {{.fingerprint = fingerprint_of_ask()}}};

    world_init(&w, true, 100);
    px_wait_for_view(w.px, evl_now(w.loop) + WAIT_US);
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    crash_receive(w.crashes, &m, evl_now(w.loop));
    world_run(&w, WAIT_US + SETTLE_US);
    world_end_not_run(&w, caller);
}
END_TEST

T_MAIN("px_crash", a_queued_request_is_refused_when_the_verdict_comes)
