/* Tests of adm: refusal, dropping, eviction and order of requests. */
#include "t.h"

#include "adm.h"
#include "inv.h"

#define MS 1000LL

static int dropped;
static AdmReason dropped_why;

static void
on_drop(void *ctx, const AdmReq *r, AdmReason why)
{
    (void)ctx;
    (void)r;
    dropped++;
    dropped_why = why;
}

static Adm *
adm_of(size_t queue_max, double floor_low)
{
    AdmOpts o = {.n_ranks = 3,
                 .floor = {0.1, 0.1, floor_low},
                 .window_us = 1000 * MS,
                 .queue_max = queue_max};

    return adm_new(&o);
}

static const AdmLoad load = {
    .usable = 10, .service_us = 10 * MS, .service_p90_us = 20 * MS};

static AdmReason
offer(Adm *a, uint64_t id, int rank, int64_t deadline)
{
    AdmReq r = {.id = id, .rank = rank, .deadline_us = deadline, .avoid = -1};
    AdmReq ev;
    bool has;

    return adm_offer(a, &r, &load, 0, &ev, &has);
}

static uint64_t
next(Adm *a, int64_t now)
{
    AdmReq r;

    return adm_next(a, &load, false, now, on_drop, NULL, &r) ? r.id : 0;
}

/* Starts n requests.  While any runs, the estimates of the service time are
 * used for admission. */
static void
start_n(Adm *a, int rank, int n)
{
    for (int i = 0; i < n; i++) {
        adm_started(a, rank, 0);
    }
}

/* Guards against requests served in an order that ignores rank or deadline. */
START_TEST(rank_goes_before_deadline)
{
    Adm *a = adm_of(100, 0);

    start_n(a, 0, 5);
    start_n(a, 1, 5);
    adm_ended(a, 1, 0, 500 * MS);
    offer(a, 1, 2, 9000 * MS);
    offer(a, 2, 0, 9000 * MS);
    offer(a, 3, 0, 8000 * MS);
    ck_assert_uint_eq(next(a, 500 * MS), 3);
    ck_assert_uint_eq(next(a, 500 * MS), 2);
    ck_assert_uint_eq(next(a, 500 * MS), 1);
    ck_assert_uint_eq(next(a, 500 * MS), 0);
    adm_free(a);
}
END_TEST

/* Guards against starting requests that cannot finish by their deadline. */
START_TEST(late_requests_are_refused_or_dropped)
{
    Adm *a = adm_of(100, 0);

    ck_assert_int_eq(offer(a, 1, 0, 0), ADM_LATE);
    start_n(a, 0, 1);
    ck_assert_int_eq(offer(a, 2, 0, 19 * MS), ADM_NO_TIME);
    ck_assert_int_eq(offer(a, 3, 0, 100 * MS), ADM_OK);
    dropped = 0;
    ck_assert_uint_eq(next(a, 90 * MS), 0);
    ck_assert_int_eq(dropped, 1);
    ck_assert_int_eq(dropped_why, ADM_NO_TIME);
    ck_assert_uint_eq(adm_waiting(a, 0), 0);
    adm_free(a);
}
END_TEST

/* Guards against an estimate of the service time that is too high, refuses
 * all requests and so is never measured again. */
START_TEST(idle_service_admits_one_request)
{
    Adm *a = adm_of(100, 0);

    ck_assert_int_eq(offer(a, 1, 0, 5 * MS), ADM_OK);
    ck_assert_uint_eq(next(a, 0), 1);
    adm_free(a);
}
END_TEST

/* Guards against queueing more requests than can be served by their
 * deadlines. */
START_TEST(a_long_wait_is_refused_on_arrival)
{
    Adm *a = adm_of(4000, 0);
    uint64_t id = 1;

    start_n(a, 0, 10);
    while (offer(a, id, 0, 1000 * MS) == ADM_OK) {
        id++;
    }
    /* 10 slots with a service time of 10 ms serve 1000 requests/s. */
    ck_assert_uint_gt(id, 500);
    ck_assert_uint_lt(id, 1000);
    adm_free(a);
}
END_TEST

/* Guards against a refusal for lack of slots that is reported as a lack of
 * time or a full queue. */
START_TEST(no_slots_is_no_capacity)
{
    Adm *a = adm_of(10, 0);
    AdmLoad none = {0};
    AdmReq r = {.id = 1, .deadline_us = 100, .avoid = -1};
    bool has;

    ck_assert_int_eq(adm_offer(a, &r, &none, 0, &r, &has), ADM_NO_CAPACITY);
    adm_free(a);
}
END_TEST

/* Guards against a full queue that refuses urgent requests, and against
 * urgent requests that evict all requests of the other ranks. */
START_TEST(full_queue_evicts_the_least_urgent)
{
    Adm *a = adm_of(10, 0.2);
    AdmReq ev;
    bool has;
    int evicted = 0;

    for (uint64_t i = 1; i <= 10; i++) {
        ck_assert_int_eq(offer(a, i, 2, (int64_t)(5000 + i) * MS), ADM_OK);
    }
    for (uint64_t i = 11; i <= 30; i++) {
        AdmReq r = {.id = i, .rank = 0, .deadline_us = 6000 * MS, .avoid = -1};

        if (adm_offer(a, &r, &load, 0, &ev, &has) == ADM_OK && has) {
            ck_assert_uint_eq(ev.id, (uint64_t)(10 - evicted++));
        }
    }
    ck_assert_uint_eq(adm_waiting(a, 0), 8);
    ck_assert_uint_eq(adm_waiting(a, 2), 2);
    ck_assert_int_eq(offer(a, 40, 2, 5000 * MS), ADM_OK);
    ck_assert_int_eq(offer(a, 41, 2, 7000 * MS), ADM_QUEUE_FULL);
    adm_free(a);
}
END_TEST

/* Guards against running a cancelled request, and against losing or
 * duplicating a request that is queued again because it found no target. */
START_TEST(cancel_and_put_back)
{
    Adm *a = adm_of(10, 0);
    AdmReq r;

    offer(a, 1, 0, 5000 * MS);
    ck_assert(adm_cancel(a, 1));
    ck_assert(!adm_cancel(a, 1));
    ck_assert_uint_eq(next(a, 0), 0);
    offer(a, 2, 0, 5000 * MS);
    ck_assert(adm_next(a, &load, false, 0, on_drop, NULL, &r));
    adm_requeue(a, &r);
    adm_requeue(a, &r);
    ck_assert_uint_eq(next(a, 0), 2);
    ck_assert_uint_eq(next(a, 0), 0);
    adm_free(a);
}
END_TEST

/* Guards against a request that waits for an idle target and blocks the
 * requests behind it. */
START_TEST(requests_for_idle_targets_can_be_skipped)
{
    Adm *a = adm_of(10, 0);
    AdmReq r = {.id = 1, .deadline_us = 100 * MS, .alone = true, .avoid = -1};
    bool has;

    adm_offer(a, &r, &load, 0, &r, &has);
    offer(a, 2, 0, 5000 * MS);
    ck_assert(adm_next(a, &load, true, 0, on_drop, NULL, &r));
    ck_assert_uint_eq(r.id, 2);
    ck_assert_uint_eq(next(a, 0), 1);
    adm_free(a);
}
END_TEST

/* Guards against urgent requests that starve a rank below its floor, and
 * against a rank that takes all slots while it catches up with its floor. */
START_TEST(floor_is_kept_and_limited)
{
    Adm *a = adm_of(100, 0.2);
    int low = 0;

    start_n(a, 0, 10);
    for (uint64_t i = 0; i < 20; i++) {
        offer(a, 100 + i, 0, 90000 * MS);
        offer(a, 200 + i, 2, 90000 * MS);
    }
    for (int i = 0; i < 10; i++) {
        int rank;

        adm_ended(a, 0, 10 * MS, 1000 * MS);
        rank = next(a, 1000 * MS) >= 200 ? 2 : 0;
        adm_started(a, rank, 1000 * MS);
        low += rank == 2;
    }
    ck_assert_int_eq(low, 4);
    adm_free(a);
}
END_TEST

T_MAIN("adm", rank_goes_before_deadline, late_requests_are_refused_or_dropped,
       idle_service_admits_one_request, a_long_wait_is_refused_on_arrival,
       no_slots_is_no_capacity, full_queue_evicts_the_least_urgent,
       cancel_and_put_back, requests_for_idle_targets_can_be_skipped,
       floor_is_kept_and_limited)
