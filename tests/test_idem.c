/* Tests of the idempotency records. */
#include "t.h"

#include <string.h>

#include "idem.h"

#define SEC INT64_C(1000000)
#define NOW (1000000 * SEC)

static Idem *
make(size_t max, int64_t tenure)
{
    IdemOpts o = {max, IDEM_WINDOW_MS * INT64_C(1000),
                  WALL_CLOCK_ERROR_MS * INT64_C(1000)};
    Idem *d = idem_new(&o);

    for (int i = 0; i < KEY_RANGES; i++) {
        idem_set_ownership(d, i, true, true, tenure);
    }
    /* The first call sets the start of the process; it must be well before
     * the requests. */
    idem_begin(d, &(IdemRequest){999, 2, NOW - 3600 * SEC}, NOW - 3600 * SEC);
    return d;
}

static IdemAction
ask(Idem *d, uint64_t key, int attempt, int64_t issued, int64_t now)
{
    return idem_begin(d, &(IdemRequest){key, attempt, issued}, now).act;
}

/* Guards against a resend that runs during or after the first attempt. */
START_TEST(resend_waits_then_replays)
{
    Idem *d = make(100, NOW - 7200 * SEC);
    GBytes *b = g_bytes_new_static("ok", 2);

    ck_assert_int_eq(ask(d, 7, 1, NOW, NOW), IDEM_RUN);
    ck_assert_int_eq(ask(d, 7, 2, NOW, NOW + 1), IDEM_WAIT);
    idem_finish(d, 7, IDEM_END_DONE, 201, b, NOW + 2);
    IdemDecision a = idem_begin(d, &(IdemRequest){7, 3, NOW}, NOW + 3);
    ck_assert_int_eq(a.act, IDEM_REPLAY);
    ck_assert_int_eq(a.status, 201);
    ck_assert(a.body == b);
    g_bytes_unref(b);
    idem_free(d);
}
END_TEST

/* Guards against a resend that runs after a run with an unknown outcome. */
START_TEST(unknown_outcome_is_not_retried)
{
    Idem *d = make(100, NOW - 7200 * SEC);

    ck_assert_int_eq(ask(d, 7, 1, NOW, NOW), IDEM_RUN);
    idem_finish(d, 7, IDEM_END_UNKNOWN, 0, NULL, NOW + 1);
    ck_assert_int_eq(ask(d, 7, 2, NOW, NOW + 2), IDEM_UNKNOWN);
    idem_free(d);
}
END_TEST

/* Guards against a resend that runs although an earlier owner may have run
 * the request. */
START_TEST(resend_without_record_needs_clean_tenure)
{
    Idem *d = make(100, NOW);
    int64_t at = NOW + 60 * SEC;

    ck_assert_int_eq(ask(d, 1, 2, NOW - SEC, at), IDEM_UNKNOWN);
    /* Issued after the start of the tenure, but within the clock error. */
    ck_assert_int_eq(ask(d, 2, 2, NOW + 4 * SEC, at), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 3, 2, NOW + 5 * SEC, at), IDEM_RUN);
    idem_set_ownership(d, idem_range(4), true, true, 0);
    ck_assert_int_eq(ask(d, 4, 2, NOW + 9 * SEC, at), IDEM_UNKNOWN);
    idem_free(d);
}
END_TEST

/* Guards against a second run by a first attempt that a paused forwarder
 * delayed.  Its resend ran at an owner that has failed since, and the new
 * owner has no record of the run.  Found by soak_once, seed 8. */
START_TEST(late_first_cannot_follow_a_clean_resend)
{
    Idem *a = make(100, NOW - 7200 * SEC);
    Idem *b = make(100, NOW);
    IdemDecision r;

    for (int64_t t = 0; t < 120 * SEC; t += SEC / 2) {
        /* The clocks of the two owners may differ by the clock error. */
        r = idem_begin(a, &(IdemRequest){7, 2, NOW}, NOW + t);
        if (r.act == IDEM_RUN) {
            ck_assert_int_eq(r.reason, IDEM_RESEND_CLEAN);
            ck_assert_int_eq(ask(b, 7, 1, NOW, NOW + t - 5 * SEC + 1),
                             IDEM_NOT_RUN);
            break;
        }
        ck_assert_int_eq(r.reason, IDEM_RESEND_EARLY);
    }
    ck_assert_int_eq(r.act, IDEM_RUN);
    idem_free(a);
    idem_free(b);
}
END_TEST

/* Guards against an early resend that prevents the first attempt from
 * running. */
START_TEST(early_resend_does_not_block_the_first)
{
    Idem *d = make(100, NOW - 7200 * SEC);

    ck_assert_int_eq(ask(d, 7, 2, NOW, NOW + SEC), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 7, 1, NOW, NOW + 2 * SEC), IDEM_RUN);
    ck_assert_int_eq(ask(d, 7, 3, NOW, NOW + 3 * SEC), IDEM_WAIT);
    idem_free(d);
}
END_TEST

/* Guards against a restarted entry process that uses the tenure from control,
 * which began before the restart, although its records are lost. */
START_TEST(tenure_counts_from_the_first_ask)
{
    IdemOpts o = {10, 600 * SEC, 5 * SEC};
    Idem *d = idem_new(&o);

    idem_set_ownership(d, 1, true, true, NOW - 7200 * SEC);
    ck_assert_int_eq(ask(d, 1, 2, NOW - SEC, NOW), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 65, 2, NOW + 6 * SEC, NOW + 60 * SEC), IDEM_RUN);
    idem_free(d);
}
END_TEST

/* Guards against a first attempt that arrives after its resend was answered
 * with unknown, and runs. */
START_TEST(late_first_is_refused)
{
    Idem *d = make(100, NOW);

    ck_assert_int_eq(ask(d, 1, 2, NOW - SEC, NOW), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 1, 1, NOW - SEC, NOW + 1), IDEM_NOT_RUN);
    ck_assert_int_eq(ask(d, 1, 3, NOW - SEC, NOW + 2), IDEM_UNKNOWN);
    /* After a run with an unknown outcome, not-run would be wrong. */
    int64_t at = NOW + 60 * SEC;
    ck_assert_int_eq(ask(d, 2, 2, at, at + 16 * SEC), IDEM_RUN);
    idem_finish(d, 2, IDEM_END_UNKNOWN, 0, NULL, at + 17 * SEC);
    ck_assert_int_eq(ask(d, 2, 1, at, at + 18 * SEC), IDEM_UNKNOWN);
    idem_free(d);
}
END_TEST

/* Guards against a delayed attempt that runs after not-run was reported for a
 * higher attempt. */
START_TEST(not_run_covers_earlier_attempts)
{
    Idem *d = make(100, NOW - 7200 * SEC);

    ck_assert_int_eq(ask(d, 1, 1, NOW, NOW), IDEM_RUN);
    ck_assert_int_eq(ask(d, 1, 3, NOW, NOW), IDEM_WAIT);
    idem_finish(d, 1, IDEM_END_NOT_RUN, 0, NULL, NOW);
    ck_assert_int_eq(ask(d, 1, 2, NOW, NOW), IDEM_NOT_RUN);
    ck_assert_int_eq(ask(d, 1, 4, NOW, NOW), IDEM_RUN);
    ck_assert_int_eq(ask(d, 2, 2, NOW, NOW + 16 * SEC), IDEM_RUN);
    idem_finish(d, 2, IDEM_END_NOT_RUN, 0, NULL, NOW + 16 * SEC);
    ck_assert_int_eq(ask(d, 2, 1, NOW, NOW + 17 * SEC), IDEM_NOT_RUN);
    idem_free(d);
}
END_TEST

/* Guards against a not-run record that stays valid after the range was lost:
 * another owner may have run the key since. */
START_TEST(not_run_is_invalid_after_ownership_change)
{
    Idem *d = make(100, NOW - 7200 * SEC);

    ck_assert_int_eq(ask(d, 1, 1, NOW, NOW), IDEM_RUN);
    idem_finish(d, 1, IDEM_END_NOT_RUN, 0, NULL, NOW);
    /* The loss of the range is not reported, only the newer tenure. */
    idem_set_ownership(d, 1, true, true, NOW + SEC);
    ck_assert_int_eq(ask(d, 1, 2, NOW, NOW + 2 * SEC), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 65, 1, NOW, NOW), IDEM_RUN);
    idem_set_ownership(d, 1, false, false, 0);
    idem_set_ownership(d, 1, true, true, NOW + 3 * SEC);
    idem_finish(d, 65, IDEM_END_NOT_RUN, 0, NULL, NOW);
    ck_assert_int_eq(ask(d, 65, 2, NOW, NOW + 4 * SEC), IDEM_UNKNOWN);
    idem_free(d);
}
END_TEST

/* Guards against resends that run in isolated mode. */
START_TEST(isolated_runs_first_attempts_only)
{
    Idem *d = make(100, NOW - 7200 * SEC);

    idem_set_ownership(d, 1, true, false, NOW - 7200 * SEC);
    ck_assert_int_eq(ask(d, 1, 2, NOW, NOW), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 65, 1, NOW, NOW), IDEM_RUN);
    idem_set_ownership(d, 1, false, false, 0);
    ck_assert_int_eq(ask(d, 129, 1, NOW, NOW), IDEM_NOT_OWNER);
    idem_free(d);
}
END_TEST

/* Guards against a request that runs again after its record has expired. */
START_TEST(window_ends_before_records_do)
{
    Idem *d = make(100, NOW - 7200 * SEC);
    size_t base = idem_count(d);

    /* A caller's clock that is 5 s ahead is the worst case for the retention
     * of records. */
    ck_assert_int_eq(ask(d, 1, 1, NOW + 5 * SEC, NOW), IDEM_RUN);
    ck_assert_int_eq(ask(d, 2, 1, NOW + 5 * SEC + 1, NOW), IDEM_NOT_RUN);
    idem_finish(d, 1, IDEM_END_UNKNOWN, 0, NULL, NOW);
    for (int64_t s = 0; s < 700; s++) {
        idem_expire(d, NOW + s * SEC);
        ck_assert_int_ne(ask(d, 1, 2, NOW + 5 * SEC, NOW + s * SEC), IDEM_RUN);
        if (s > 620) {
            ck_assert_int_eq(ask(d, 1, 1, NOW + 5 * SEC, NOW + s * SEC),
                             IDEM_NOT_RUN);
        }
    }
    ck_assert_uint_lt(idem_count(d), base + 1);
    idem_free(d);
}
END_TEST

/* Guards against running a request without a record when the table is full. */
START_TEST(full_table_refuses_new_keys)
{
    Idem *d = make(2, NOW - 7200 * SEC);

    ck_assert_int_eq(ask(d, 1, 1, NOW, NOW), IDEM_RUN);
    ck_assert_int_eq(ask(d, 2, 1, NOW, NOW), IDEM_NOT_RUN);
    ck_assert_int_eq(ask(d, 2, 2, NOW, NOW + 16 * SEC), IDEM_UNKNOWN);
    ck_assert_int_eq(ask(d, 1, 2, NOW, NOW), IDEM_WAIT);
    idem_free(d);
}
END_TEST

/* Guards against a successor that cannot replay the journal of an earlier
 * owner, and against not-run records in the journal. */
START_TEST(journal_carries_done_records)
{
    Idem *d = make(100, NOW - 7200 * SEC);
    Idem *s = make(100, NOW);

    ask(d, 1, 1, NOW - SEC, NOW);
    ask(d, 2, 1, NOW - SEC, NOW);
    idem_finish(d, 1, IDEM_END_DONE, 204, NULL, NOW);
    idem_finish(d, 2, IDEM_END_NOT_RUN, 0, NULL, NOW);
    GBytes *b = idem_journal_write(d, 4096);
    ck_assert_ptr_nonnull(b);
    ck_assert_ptr_null(idem_journal_write(d, 4096));
    size_t n;
    const char *p = g_bytes_get_data(b, &n);
    ck_assert(idem_journal_read(s, (Str){p, n}, NOW + 1));
    IdemDecision a = idem_begin(s, &(IdemRequest){1, 2, NOW - SEC}, NOW + 2);
    ck_assert_int_eq(a.act, IDEM_REPLAY);
    ck_assert_int_eq(a.status, 204);
    ck_assert_int_eq(ask(s, 2, 2, NOW - SEC, NOW + 2), IDEM_UNKNOWN);
    g_bytes_unref(b);
    idem_free(d);
    idem_free(s);
}
END_TEST

/* Guards against a malformed batch that is applied in part. */
START_TEST(malformed_journal_is_rejected)
{
    Idem *d = make(100, NOW - 7200 * SEC);
    Idem *s = make(100, NOW);
    size_t base = idem_count(s);

    for (uint64_t k = 1; k <= 5; k++) {
        ask(d, k, 1, NOW, NOW);
        idem_finish(d, k, IDEM_END_DONE, 200, NULL, NOW);
    }
    GBytes *b = idem_journal_write(d, 8 + 3 * 20 + 5);
    size_t n;
    const char *p = g_bytes_get_data(b, &n);
    ck_assert_uint_eq(n, 8 + 3 * 20);
    for (size_t cut = 0; cut < n; cut++) {
        ck_assert(!idem_journal_read(s, (Str){p, cut}, NOW));
    }
    char *bad = g_memdup2(p, n);
    bad[n - 6] = (char)0xff; /* status of the last entry: above 999 */
    ck_assert(!idem_journal_read(s, (Str){bad, n}, NOW));
    ck_assert_uint_eq(idem_count(s), base);
    ck_assert(idem_journal_read(s, (Str){p, n}, NOW));
    ck_assert_uint_eq(idem_count(s), base + 3);
    g_free(bad);
    g_bytes_unref(b);
    idem_free(d);
    idem_free(s);
}
END_TEST

/* Guards against bodies of many records that together exhaust the memory. */
START_TEST(total_size_of_bodies_is_bounded)
{
    enum { N = 10000 };
    Idem *d = make(2 * N, NOW - 7200 * SEC);
    char *text = g_malloc0(IDEM_BODY_BYTES);
    GBytes *b = g_bytes_new_take(text, IDEM_BODY_BYTES);

    for (uint64_t k = 1001; k <= 1000 + N; k++) {
        ck_assert_int_eq(ask(d, k, 1, NOW, NOW), IDEM_RUN);
        idem_finish(d, k, IDEM_END_DONE, 200, b, NOW);
    }
    ck_assert_uint_le(idem_body_bytes(d), IDEM_BODIES_BYTES_MAX);
    IdemDecision old = idem_begin(d, &(IdemRequest){1001, 2, NOW}, NOW + 1);
    ck_assert_int_eq(old.act, IDEM_REPLAY);
    ck_assert_int_eq(old.status, 200);
    ck_assert(old.body == NULL);
    IdemDecision new =
        idem_begin(d, &(IdemRequest){1000 + N, 2, NOW}, NOW + 1);
    ck_assert(new.body != NULL);
    idem_expire(d, NOW + 3600 * SEC);
    ck_assert_uint_eq(idem_body_bytes(d), 0);
    g_bytes_unref(b);
    idem_free(d);
}
END_TEST

T_MAIN("idem", total_size_of_bodies_is_bounded, resend_waits_then_replays,
       unknown_outcome_is_not_retried,
       resend_without_record_needs_clean_tenure,
       late_first_cannot_follow_a_clean_resend,
       early_resend_does_not_block_the_first, tenure_counts_from_the_first_ask,
       late_first_is_refused, not_run_covers_earlier_attempts,
       not_run_is_invalid_after_ownership_change,
       isolated_runs_first_attempts_only, window_ends_before_records_do,
       full_table_refuses_new_keys, journal_carries_done_records,
       malformed_journal_is_rejected)
