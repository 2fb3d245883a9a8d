/* Tests of the requests that crash upstreams. */
#include "t.h"

#include "suspect.h"

#define MS INT64_C(1000)

static SuspectState
check(const Suspects *s, uint64_t p, int64_t now)
{
    bool busy;

    return suspect_check(s, p, &busy, now);
}

/* Guards against a third upstream that is lost to one request. */
START_TEST(second_crash_convicts)
{
    Suspects *s = suspect_new(100);
    uint64_t p[3] = {1, 2, 3};
    SuspectUpdate news[3];

    suspect_crash(s, p, 3, false, 0, news);
    ck_assert_int_eq(check(s, 2, MS), SUSPECT_ALONE);
    suspect_begin_alone(s, 2, MS);
    suspect_crash(s, &p[1], 1, true, 2 * MS, news);
    ck_assert_int_eq(news[0].state, SUSPECT_CONVICTED);
    ck_assert_int_eq(check(s, 2, 3 * MS), SUSPECT_CONVICTED);
    ck_assert_int_eq(check(s, 1, 3 * MS), SUSPECT_ALONE);
    ck_assert_int_eq(check(s, 2, (CONVICTED_MS + 3) * MS), SUSPECT_CLEAR);
    suspect_free(s);
}
END_TEST

/* Guards against an innocent that is refused because it shared an upstream
 * with a crashing request, once or twice. */
START_TEST(innocent_is_cleared_by_an_alone_run)
{
    Suspects *s = suspect_new(100);
    uint64_t p[2] = {1, 2};
    SuspectUpdate news[2];

    suspect_crash(s, p, 2, false, 0, news);
    suspect_crash(s, p, 2, false, MS, news);
    ck_assert_int_eq(check(s, 1, 2 * MS), SUSPECT_ALONE);
    suspect_begin_alone(s, 1, 2 * MS);
    ck_assert(suspect_end_alone(s, 1, true, 3 * MS, news));
    ck_assert_int_eq(news[0].state, SUSPECT_CLEAR);
    ck_assert_int_eq(check(s, 1, 4 * MS), SUSPECT_CLEAR);
    suspect_free(s);
}
END_TEST

/* Guards against two runs of a suspect at the same time. */
START_TEST(alone_run_is_busy_until_its_end)
{
    Suspects *s = suspect_new(100);
    uint64_t p = 1;
    SuspectUpdate news;
    bool busy;

    suspect_crash(s, &p, 1, false, 0, &news);
    suspect_begin_alone(s, 1, MS);
    ck_assert_int_eq(suspect_check(s, 1, &busy, 2 * MS), SUSPECT_ALONE);
    ck_assert(busy);
    ck_assert(!suspect_end_alone(s, 1, false, 3 * MS, &news));
    ck_assert_int_eq(suspect_check(s, 1, &busy, 4 * MS), SUSPECT_ALONE);
    ck_assert(!busy);
    suspect_free(s);
}
END_TEST

/* Guards against news that arrive late and undo newer knowledge. */
START_TEST(news_cross_without_harm)
{
    Suspects *s = suspect_new(100);
    int64_t now = 60000 * MS;

    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_ALONE, 100}, now);
    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_CLEAR, 50}, now);
    ck_assert_int_eq(check(s, 1, now), SUSPECT_CLEAR);
    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_ALONE, 100}, now);
    ck_assert_int_eq(check(s, 1, now), SUSPECT_CLEAR);
    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_ALONE, 10}, now);
    ck_assert_int_eq(check(s, 1, now), SUSPECT_ALONE);
    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_CONVICTED, 500}, now);
    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_CLEAR, 0}, now);
    ck_assert_int_eq(check(s, 1, now), SUSPECT_CONVICTED);
    suspect_receive(
        s, &(SuspectUpdate){2, SUSPECT_CONVICTED, CONVICTED_MS + 1}, now);
    ck_assert_int_eq(check(s, 2, now), SUSPECT_CLEAR);
    suspect_free(s);
}
END_TEST

/* Guards against a flood of suspects that pushes out the convicted. */
START_TEST(convicted_survive_a_full_table)
{
    Suspects *s = suspect_new(10);

    suspect_receive(s, &(SuspectUpdate){1, SUSPECT_CONVICTED, 0}, 0);
    for (uint64_t p = 2; p < 100; p++) {
        suspect_receive(s, &(SuspectUpdate){p, SUSPECT_ALONE, 0},
                        (int64_t)p * MS);
    }
    ck_assert_uint_eq(suspect_count(s), 10);
    ck_assert_int_eq(check(s, 1, 100 * MS), SUSPECT_CONVICTED);
    ck_assert_int_eq(check(s, 99, 100 * MS), SUSPECT_ALONE);
    suspect_expire(s, (CONVICTED_MS + 200) * MS);
    ck_assert_uint_eq(suspect_count(s), 0);
    suspect_free(s);
}
END_TEST

/* Guards against parts that run into each other in the fingerprint. */
START_TEST(print_keeps_parts_apart)
{
    Str a = str_of("a"), ab = str_of("ab"), b = str_of("b"), z = str_of("");
    char big[BODY_HASH_BYTES + 1] = {0};

    ck_assert(suspect_fingerprint(a, b, z, z, z) !=
              suspect_fingerprint(ab, z, z, z, z));
    ck_assert(suspect_fingerprint(a, z, z, b, z) !=
              suspect_fingerprint(a, z, z, z, b));
    uint64_t h = suspect_fingerprint(a, z, z, z, (Str){big, sizeof(big)});
    big[BODY_HASH_BYTES] = 1;
    ck_assert(h == suspect_fingerprint(a, z, z, z, (Str){big, sizeof(big)}));
}
END_TEST

T_MAIN("suspect", second_crash_convicts, innocent_is_cleared_by_an_alone_run,
       alone_run_is_busy_until_its_end, news_cross_without_harm,
       convicted_survive_a_full_table, print_keeps_parts_apart)
