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

T_MAIN("xferlimit", the_largest_value_arrives_on_the_slowest_link,
       slow_and_endless_transfers_end,
       an_interrupted_transfer_has_a_whole_limit,
       time_without_the_processor_does_not_count)
