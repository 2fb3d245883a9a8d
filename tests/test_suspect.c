/* Tests of suspect: requests that may crash upstreams. */
#include "t.h"

#include "suspect.h"

#define MS INT64_C(1000)

static SuspectState
check(const Suspects *s, uint64_t p, int64_t now)
{
    bool busy;

    return suspect_check(s, p, &busy, now);
}

/* Guards against a request that crashes a third upstream because a crash in
 * its run alone did not convict it. */
START_TEST(second_crash_convicts_suspect)
{
    Suspects *s = suspect_new(100);
    uint64_t p[3] = {1, 2, 3};
    SuspectUpdate updates[3];

    suspect_crash(s, p, 3, false, 0, updates);
    ck_assert_int_eq(check(s, 2, MS), SUSPECT_ALONE);
    suspect_begin_alone(s, 2, MS);
    suspect_crash(s, &p[1], 1, true, 2 * MS, updates);
    ck_assert_int_eq(updates[0].state, SUSPECT_CONVICTED);
    ck_assert_int_eq(check(s, 2, 3 * MS), SUSPECT_CONVICTED);
    ck_assert_int_eq(check(s, 1, 3 * MS), SUSPECT_ALONE);
    ck_assert_int_eq(check(s, 2, (CONVICTED_MS + 3) * MS), SUSPECT_CLEAR);
    suspect_free(s);
}
END_TEST

/* Guards against refusing a request that only was in flight at an upstream
 * together with a crashing one, once or twice. */
START_TEST(run_alone_clears_suspect)
{
    Suspects *s = suspect_new(100);
    uint64_t p[2] = {1, 2};
    SuspectUpdate updates[2];

    suspect_crash(s, p, 2, false, 0, updates);
    suspect_crash(s, p, 2, false, MS, updates);
    ck_assert_int_eq(check(s, 1, 2 * MS), SUSPECT_ALONE);
    suspect_begin_alone(s, 1, 2 * MS);
    ck_assert(suspect_end_alone(s, 1, true, 3 * MS, updates));
    ck_assert_int_eq(updates[0].state, SUSPECT_CLEAR);
    ck_assert_int_eq(check(s, 1, 4 * MS), SUSPECT_CLEAR);
    suspect_free(s);
}
END_TEST

/* Guards against two simultaneous runs of a suspect. */
START_TEST(suspect_is_busy_during_run_alone)
{
    Suspects *s = suspect_new(100);
    uint64_t p = 1;
    SuspectUpdate update;
    bool busy;

    suspect_crash(s, &p, 1, false, 0, &update);
    suspect_begin_alone(s, 1, MS);
    ck_assert_int_eq(suspect_check(s, 1, &busy, 2 * MS), SUSPECT_ALONE);
    ck_assert(busy);
    ck_assert(!suspect_end_alone(s, 1, false, 3 * MS, &update));
    ck_assert_int_eq(suspect_check(s, 1, &busy, 4 * MS), SUSPECT_ALONE);
    ck_assert(!busy);
    suspect_free(s);
}
END_TEST

/* Guards against updates that arrive late or out of order and overwrite a
 * newer state. */
START_TEST(updates_may_arrive_out_of_order)
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

/* Guards against many suspects that evict the convicted requests. */
START_TEST(full_table_keeps_convicted)
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

/* Guards against fingerprints that ignore the bounds between the parts of a
 * request, and against hashing more of a body than BODY_HASH_BYTES. */
START_TEST(fingerprint_separates_parts)
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

T_MAIN("suspect", second_crash_convicts_suspect, run_alone_clears_suspect,
       suspect_is_busy_during_run_alone, updates_may_arrive_out_of_order,
       full_table_keeps_convicted, fingerprint_separates_parts)
