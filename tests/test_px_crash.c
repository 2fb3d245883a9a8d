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

/* Accepts the request at the upstream and reads it. */
static int
take_request(World *w)
{
    char buf[4096];
    int fd = world_accept(w);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_gt((int)recv(fd, buf, sizeof(buf), 0), 0);
    return fd;
}

/* Value of a counter of crashes. */
static int
counter(const World *w, const char *name)
{
    GString *t = g_string_new(NULL);
    char *key = g_strdup_printf("edge_crashes_%s_total ", name);

    crash_metrics(w->crashes, t);
    const char *at = strstr(t->str, key);
    ck_assert_ptr_nonnull(at);
    int n = atoi(at + strlen(key));
    g_free(key);
    g_string_free(t, TRUE);
    return n;
}

static void
restart_listener(World *w)
{
    struct sockaddr_in at;

    w->listener = world_bind(&at);
}

/* Guards against a crash that is not counted, as this VM has no further
 * request for the upstream and so does not see that it is down. */
START_TEST(a_crash_is_confirmed_without_another_request)
{
    World w;

    world_init(&w, false, 100);
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    int fd = take_request(&w);
    close(w.listener);
    close(fd);
    world_run(&w, SETTLE_US);
    crash_step(w.crashes, evl_now(w.loop));
    ck_assert_int_eq(counter(&w, "lost_answers"), 1);
    ck_assert_int_eq(counter(&w, "confirmed"), 1);
    close(caller);
    restart_listener(&w);
    world_clear(&w);
}
END_TEST

/* Guards against a crash that is not counted, as the caller left or its time
 * ended before the upstream crashed. */
START_TEST(a_crash_after_the_caller_left_is_counted)
{
    World w;

    world_init(&w, false, 100);
    int caller = world_ask(&w, "a", 1500);
    world_run(&w, SETTLE_US);
    int fd = take_request(&w);
    close(caller);
    world_run(&w, SETTLE_US);
    close(w.listener);
    close(fd);
    ups_observe_connect_failure(w.u, evl_now(w.loop));
    crash_step(w.crashes, evl_now(w.loop));
    ck_assert_int_eq(counter(&w, "confirmed"), 1);
    restart_listener(&w);
    world_clear(&w);
}
END_TEST

T_MAIN("px_crash", a_queued_request_is_refused_when_the_verdict_comes,
       a_crash_is_confirmed_without_another_request,
       a_crash_after_the_caller_left_is_counted)
