/* Tests of the decision to ask the store for a configuration that other VMs
 * have in force. */
#include "t.h"

#include <string.h>

#include "heard.h"

#define MS INT64_C(1000)
#define PROPAGATION (2000 * MS)
#define LONG_US (PROPAGATION / 2) /* longer than the delay of a call */

static Heard h;
static HeardClaim refuted;

static void
setup(void)
{
    memset(&h, 0, sizeof(h));
}

/* Guards against a VM that keeps an old configuration although others use a
 * newer one. */
START_TEST(asks_for_a_revision_that_does_not_come)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    ck_assert(heard_step(&h, 9, PROPAGATION, 1 * MS) == NULL);
    HeardClaim *c = heard_step(&h, 9, PROPAGATION, 1 * MS + LONG_US);
    ck_assert(c != NULL);
    ck_assert_str_eq(c->vm, "a");
    ck_assert_uint_eq(c->version, 4);
    heard_asked(&h, 1 * MS + LONG_US);
    ck_assert(!heard_answered(&h, 10, &refuted));
    ck_assert(heard_step(&h, 10, PROPAGATION, 9000 * MS) == NULL);
}
END_TEST

/* Guards against a call for each configuration that comes by the watch. */
START_TEST(asks_not_if_the_revision_comes)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    ck_assert(heard_step(&h, 10, PROPAGATION, 1 * MS + LONG_US) == NULL);
    heard_add(&h, "b", 10, 4, 10, 2 * MS + LONG_US);
    ck_assert(heard_step(&h, 10, PROPAGATION, 9000 * MS) == NULL);
}
END_TEST

/* Guards against a refusal for lack of a route that does not tell that another
 * VM has a newer version, whatever its revision. */
START_TEST(newest_version_is_that_of_any_vm)
{
    setup();
    heard_add(&h, "a", 10, 7, 20, 1 * MS);
    heard_add(&h, "b", 30, 5, 20, 2 * MS);
    ck_assert_uint_eq(h.newest_version, 7);
}
END_TEST

/* Guards against a VM that never asks, as newer revisions restart the delay.
 */
START_TEST(newer_revisions_do_not_restart_the_delay)
{
    setup();
    for (int i = 0; i < 20; i++) {
        heard_add(&h, "a", 10 + (uint64_t)i, 4, 9, i * 100 * MS + 1);
    }
    HeardClaim *c = heard_step(&h, 9, PROPAGATION, LONG_US + 1);
    ck_assert(c != NULL);
    ck_assert_uint_eq(c->rev, 29);
    ck_assert_int_eq(heard_since(&h, 29), 1);
    /* The first one came; the others are younger. */
    ck_assert(heard_step(&h, 10, PROPAGATION, LONG_US + 1) != NULL);
    ck_assert(heard_step(&h, 28, PROPAGATION, 19 * 100 * MS + 2) == NULL);
}
END_TEST

/* Guards against calls for ever for a revision that the store does not have:
 * of a store that was restored, of another deployment, or forged. */
START_TEST(refuted_revision_of_a_sender_is_not_asked_for_again)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    ck_assert(heard_step(&h, 9, PROPAGATION, 1 * MS + LONG_US) != NULL);
    heard_asked(&h, 1 * MS + LONG_US);
    ck_assert(heard_answered(&h, 9, &refuted));
    ck_assert_uint_eq(refuted.rev, 10);
    ck_assert(!heard_answered(&h, 9, &refuted));
    for (int i = 2; i < 60; i++) {
        heard_add(&h, "a", 10, 4, 9, i * 500 * MS);
        ck_assert(heard_step(&h, 9, PROPAGATION, i * 500 * MS) == NULL);
    }
    /* Another sender may be right about that revision later. */
    heard_add(&h, "b", 10, 4, 9, 60000 * MS);
    ck_assert(heard_step(&h, 9, PROPAGATION, 60000 * MS + LONG_US) != NULL);
}
END_TEST

/* Guards against a refutation of a revision by a call that began before it. */
START_TEST(answer_refutes_only_claims_from_before_the_call)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    heard_asked(&h, 1 * MS + LONG_US);
    heard_add(&h, "b", 11, 5, 9, 2 * MS + LONG_US);
    ck_assert(!heard_answered(&h, 10, &refuted));
    ck_assert(heard_step(&h, 10, PROPAGATION, 9000 * MS) != NULL);
}
END_TEST

/* Guards against calls more often than once in the propagation time, from a
 * sender that claims another revision each time. */
START_TEST(asks_at_most_once_in_the_propagation_time)
{
    int calls = 0;

    setup();
    for (int i = 1; i <= 400; i++) {
        int64_t now_us = i * 50 * MS;
        heard_add(&h, "a", 100 + (uint64_t)i, 4, 9, now_us);
        if (heard_step(&h, 9, PROPAGATION, now_us) != NULL) {
            calls++;
            heard_asked(&h, now_us);
            while (heard_answered(&h, 9, &refuted)) {
            }
        }
    }
    ck_assert_int_ge(calls, 2);
    ck_assert_int_le(calls, 10);
}
END_TEST

/* Guards against a second call while the answer to the first is due. */
START_TEST(asks_not_while_a_call_is_under_way)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    heard_asked(&h, 1 * MS + LONG_US);
    ck_assert(heard_step(&h, 9, PROPAGATION, 60000 * MS) == NULL);
}
END_TEST

/* Guards against a VM that asks for a revision of a former history of the
 * store, and against one that does not ask for a revision which a sender names
 * again in the later history, as it was refuted in the former one. */
START_TEST(history_of_the_store_begins_without_claims_and_refutations)
{
    setup();
    heard_add(&h, "a", 10, 4, 9, 1 * MS);
    heard_asked(&h, 1 * MS + LONG_US);
    ck_assert(heard_answered(&h, 9, &refuted));
    heard_add(&h, "b", 30, 5, 9, 9000 * MS);
    heard_begin_history(&h);
    ck_assert(heard_step(&h, 7, PROPAGATION, 9000 * MS + LONG_US) == NULL);
    heard_add(&h, "a", 10, 6, 7, 20000 * MS);
    ck_assert(heard_step(&h, 7, PROPAGATION, 20000 * MS + LONG_US) != NULL);
}
END_TEST

T_MAIN("heard", newest_version_is_that_of_any_vm,
       asks_for_a_revision_that_does_not_come, asks_not_if_the_revision_comes,
       newer_revisions_do_not_restart_the_delay,
       refuted_revision_of_a_sender_is_not_asked_for_again,
       answer_refutes_only_claims_from_before_the_call,
       asks_at_most_once_in_the_propagation_time,
       asks_not_while_a_call_is_under_way,
       history_of_the_store_begins_without_claims_and_refutations)
