/* Tests of the time limit of calls with large answers, in simulated time. */
#include "t.h"

#include <glib.h>

#include "xferlimit.h"

#define LIMIT_US 1000000
#define STEP_US 10000
#define S_US INT64_C(1000000)
#define START_US (100 * S_US)
#define LARGEST_BYTES (STORE_VALUE_BYTES_MAX / 3 * 4 + 4)

/* Receives an answer at a rate.  Returns the time after which the call failed,
 * or 0 if the answer arrived. */
static int64_t
transfer(int64_t bytes, int64_t rate)
{
    int64_t now_us = START_US;
    XferLimit x;

    xferlimit_start(&x, LIMIT_US, now_us);
    for (int64_t got = 0; got < bytes;) {
        now_us += STEP_US;
        if (now_us >= x.end_us) {
            return x.end_us - START_US;
        }
        int64_t due = (now_us - START_US) * rate / S_US;
        xferlimit_received(&x, (size_t)(due - got), now_us);
        got = due;
    }
    return 0;
}

/* Guards against the largest configuration that the store takes, which a slow
 * link carries in 24 s, and which no call ever brings. */
START_TEST(the_largest_value_arrives_on_the_slowest_link)
{
    ck_assert_int_eq(transfer(LARGEST_BYTES, XFERLIMIT_LINK_RATE), 0);
    /* A fifth of the total limit is left. */
    ck_assert_int_eq(transfer(LARGEST_BYTES * 5 / 4, XFERLIMIT_LINK_RATE), 0);
    /* Others use half of the link, while smaller answers arrive. */
    ck_assert_int_eq(transfer(LARGEST_BYTES / 2, XFERLIMIT_LINK_RATE / 2), 0);
}
END_TEST

/* Guards against a call that ends neither by its rate nor by its time. */
START_TEST(slow_and_endless_transfers_end)
{
    ck_assert_int_le(transfer(G_MAXINT, 1), LIMIT_US);
    ck_assert_int_le(transfer(G_MAXINT, XFERLIMIT_RATE / 2), 3 * LIMIT_US);
    int64_t us = transfer(G_MAXINT, XFERLIMIT_RATE * 2);
    ck_assert_int_ge(us, XFERLIMIT_TOTAL_US);
    ck_assert_int_le(us, XFERLIMIT_TOTAL_US + LIMIT_US);
}
END_TEST

/* Guards against an answer that fails before a limit has passed since its last
 * bytes, as after a lost packet, and against one that does not fail then. */
START_TEST(an_interrupted_transfer_has_a_whole_limit)
{
    XferLimit x;
    int64_t now_us = START_US;

    xferlimit_start(&x, LIMIT_US, now_us);
    ck_assert_int_eq(x.end_us, START_US + LIMIT_US);
    for (int i = 0; i < 100; i++) {
        now_us += STEP_US;
        xferlimit_received(&x, XFERLIMIT_LINK_RATE / 100, now_us);
        ck_assert_int_eq(x.end_us, now_us + LIMIT_US);
    }
    xferlimit_received(&x, 0, now_us + STEP_US);
    ck_assert_int_eq(x.end_us, now_us + LIMIT_US);
    /* The link was away for most of the limit. */
    now_us += LIMIT_US * 9 / 10;
    xferlimit_received(&x, XFERLIMIT_LINK_RATE / 10, now_us);
    ck_assert_int_ge(x.end_us, now_us + LIMIT_US / 2);
}
END_TEST

/* Guards against a process that was late and fails a transfer whose bytes were
 * in time. */
START_TEST(time_without_the_processor_does_not_count)
{
    XferLimit x;
    int64_t now_us = START_US;

    xferlimit_start(&x, LIMIT_US, now_us);
    xferlimit_received(&x, 1, now_us);
    now_us += 5 * LIMIT_US;
    xferlimit_received(&x, 1, now_us);
    ck_assert_int_eq(x.end_us, now_us + LIMIT_US);
}
END_TEST

/* Starts a call at now_us and returns how long it may take to begin. */
static int64_t
limit_of_call(XferLimit *x, const XferBacklog *b, int64_t now_us)
{
    xferlimit_start(x, LIMIT_US, now_us);
    xferlimit_extend(x, b);
    return x->end_us - now_us;
}

/* Guards against a call that is given up because the rest of an answer that
 * was given up is still on the way, and against one without end. */
START_TEST(given_up_bytes_extend_the_limit)
{
    XferBacklog b = {0};
    XferLimit x;
    int64_t now_us = START_US;

    ck_assert_int_eq(limit_of_call(&x, &b, now_us), LIMIT_US);
    xferlimit_backlog_given_up(&b, XFERLIMIT_LINK_RATE / 2, now_us);
    ck_assert_int_eq(limit_of_call(&x, &b, now_us), LIMIT_US + S_US / 2);
    xferlimit_backlog_given_up(&b, -1, now_us);
    ck_assert_int_eq(limit_of_call(&x, &b, now_us),
                     LIMIT_US + XFERLIMIT_QUEUE_US);
    xferlimit_backlog_given_up(&b, INT64_MAX, now_us);
    ck_assert_int_eq(limit_of_call(&x, &b, now_us),
                     LIMIT_US + XFERLIMIT_QUEUE_US);
    now_us += XFERLIMIT_QUEUE_US;
    ck_assert_int_eq(limit_of_call(&x, &b, now_us), LIMIT_US);
}
END_TEST

/* Guards against a call that is given up because another answer of the same VM
 * has begun since, and against a limit that follows other answers for good. */
START_TEST(other_answers_extend_the_limit)
{
    XferBacklog b = {0};
    XferLimit x;
    int64_t end_us = START_US + LIMIT_US + XFERLIMIT_QUEUE_US;

    limit_of_call(&x, &b, START_US);
    for (int64_t now_us = START_US; now_us < START_US + 10 * S_US;
         now_us += STEP_US) {
        xferlimit_backlog_received(&b, START_US, XFERLIMIT_QUEUE_BYTES,
                                   now_us);
        xferlimit_extend(&x, &b);
        ck_assert_int_ge(x.end_us, START_US + LIMIT_US);
        ck_assert_int_le(x.end_us, end_us);
    }
    ck_assert_int_eq(x.end_us, end_us);
}
END_TEST

/* Guards against a limit that stays long although the link is free, and
 * against one that is short since an answer from before has gone on. */
START_TEST(an_answer_shows_that_the_bytes_before_it_have_passed)
{
    XferBacklog b = {0};
    int64_t now_us = START_US;

    xferlimit_backlog_given_up(&b, -1, now_us);
    now_us += STEP_US;
    xferlimit_backlog_received(&b, START_US - STEP_US, 0, now_us);
    ck_assert_int_eq(xferlimit_backlog_us(&b, now_us),
                     XFERLIMIT_QUEUE_US - STEP_US);
    xferlimit_backlog_received(&b, START_US, 0, now_us);
    ck_assert_int_eq(xferlimit_backlog_us(&b, now_us), 0);
}
END_TEST

/* Makes calls that no answer follows for 20 s.  Returns the time of the
 * longest one that began after the silence had lasted for XFERLIMIT_SILENT_US.
 */
static int64_t
longest_silent(XferBacklog *b, int *longer)
{
    int64_t now_us = START_US;
    int64_t longest_us = 0;
    XferLimit x;

    *longer = 0;
    while (now_us < START_US + 20 * S_US) {
        int64_t us = limit_of_call(&x, b, now_us);
        ck_assert_int_le(us, LIMIT_US + XFERLIMIT_QUEUE_US);
        *longer += us > LIMIT_US ? 1 : 0;
        if (now_us >= START_US + XFERLIMIT_SILENT_US) {
            longest_us = MAX(longest_us, us);
        }
        now_us += us;
        xferlimit_backlog_silent(b, &x, now_us);
    }
    return longest_us;
}

/* Guards against calls that are each given up for the bytes of those before,
 * on a link with a longer queue, and against a store that does not answer and
 * is given up late for good. */
START_TEST(calls_without_an_answer_extend_the_limit_for_a_while)
{
    XferBacklog b = {0};
    int longer;

    ck_assert_int_eq(longest_silent(&b, &longer), LIMIT_US);
    ck_assert_int_eq(longer, 0);
    xferlimit_backlog_received(&b, START_US - STEP_US, 0, START_US);
    xferlimit_backlog_given_up(&b, -1, START_US);
    ck_assert_int_eq(longest_silent(&b, &longer), LIMIT_US);
    ck_assert_int_eq(longer, 2);
}
END_TEST

T_MAIN("xferlimit", the_largest_value_arrives_on_the_slowest_link,
       slow_and_endless_transfers_end,
       an_interrupted_transfer_has_a_whole_limit,
       time_without_the_processor_does_not_count,
       given_up_bytes_extend_the_limit, other_answers_extend_the_limit,
       an_answer_shows_that_the_bytes_before_it_have_passed,
       calls_without_an_answer_extend_the_limit_for_a_while)
