/* Tests of retry and link: budgets of retries and of link bytes. */
#include "t.h"

#include <string.h>

#include "inv.h"
#include "link.h"
#include "retry.h"

#define MS 1000LL

/* Guards against a retry storm: retries and hedges together stay within the
 * ratio of the first attempts plus the burst. */
START_TEST(retries_stay_within_the_ratio)
{
    Retry b;
    int retries = 0;

    retry_init(&b, 0.1);
    for (int i = 0; i < 10000; i++) {
        retry_add_tokens(&b);
        retries += retry_decide(&b, MF_IDEMPOTENT, ATTEMPT_CLOSED, false,
                                100 * MS, MS, 0) == RETRY_RESEND;
        retries += retry_hedge(&b, MF_IDEMPOTENT, 100 * MS, MS, 0);
    }
    ck_assert_int_ge(retries, 1000);
    ck_assert_int_le(retries, 1010);
}
END_TEST

/* Guards against a second run of work of class once, and against the reply
 * "not run" for work that may have run. */
START_TEST(once_work_is_resent_only_if_not_run)
{
    static const struct {
        MfClass class;
        AttemptEnd end;
        bool answer_begun;
        RetryAct first;
        RetryAct no_time;
    } rows[] = {
        {MF_ONCE, ATTEMPT_ANSWERED, false, RETRY_PASS, RETRY_PASS},
        {MF_ONCE, ATTEMPT_REFUSED, false, RETRY_RESEND, RETRY_NOT_RUN},
        {MF_ONCE, ATTEMPT_SHED, false, RETRY_RESEND, RETRY_NOT_RUN},
        {MF_ONCE, ATTEMPT_CLOSED, false, RETRY_UNKNOWN, RETRY_UNKNOWN},
        {MF_ONCE, ATTEMPT_TIMEOUT, false, RETRY_UNKNOWN, RETRY_UNKNOWN},
        {MF_IDEMPOTENT, ATTEMPT_SHED, false, RETRY_RESEND, RETRY_NOT_RUN},
        {MF_IDEMPOTENT, ATTEMPT_CLOSED, false, RETRY_RESEND, RETRY_UNKNOWN},
        {MF_IDEMPOTENT, ATTEMPT_CLOSED, true, RETRY_UNKNOWN, RETRY_UNKNOWN},
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        Retry b;

        retry_init(&b, 0.1);
        ck_assert_int_eq(retry_decide(&b, rows[i].class, rows[i].end,
                                      rows[i].answer_begun, 10 * MS, MS, 0),
                         rows[i].first);
        ck_assert_int_eq(retry_decide(&b, rows[i].class, rows[i].end,
                                      rows[i].answer_begun, 10 * MS, MS, 9500),
                         rows[i].no_time);
    }
    Retry b;

    retry_init(&b, 0.1);
    ck_assert(!retry_hedge(&b, MF_ONCE, 10 * MS, MS, 0));
    ck_assert(retry_hedge(&b, MF_IDEMPOTENT, 10 * MS, MS, 0));
}
END_TEST

/* Guards against sending more over a link than this VM's share of its rate,
 * when requests turn out larger than expected. */
START_TEST(link_bytes_stay_within_the_share)
{
    Link l;
    double sent = 0;

    link_init(&l, 4000, 4, 0);
    ck_assert(!link_take(&l, 1, 0));
    for (int64_t t = 0; t <= 10000 * MS; t += MS) {
        while (link_take(&l, 50000, t)) {
            /* Each request sends 1.5 times the expected bytes. */
            link_settle(&l, 50000, 75000, t);
            sent += 75000;
        }
    }
    /* 1000 Mbit/s for 10 s, plus the excess of the last request. */
    ck_assert_double_le(sent, 1.25e9 + 25000);
    ck_assert_double_ge(sent, 1.24e9);
    /* Work larger than the burst starts only when the bucket is full. */
    ck_assert(!link_take(&l, 1e8, 10000 * MS));
    ck_assert(link_take(&l, 1e8, 11000 * MS));
    ck_assert(!link_take(&l, 1, 11500 * MS));
}
END_TEST

T_MAIN("retry", retries_stay_within_the_ratio,
       once_work_is_resent_only_if_not_run, link_bytes_stay_within_the_share)
