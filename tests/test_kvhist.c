/* Tests of which history of the store an answer belongs to. */
#include "t.h"

#include "kvhist.h"

static KvHistOrder
answer(KvHist *h, const char *value)
{
    return kvhist_answer(h, str_of(value));
}

/* Guards against a later history that is not seen, and against answers of
 * former ones that are used. */
START_TEST(number_orders_the_histories)
{
    KvHist h = {0};

    ck_assert_int_eq(answer(&h, "7"), KVHIST_CURRENT);
    ck_assert_int_eq(answer(&h, "7"), KVHIST_CURRENT);
    ck_assert_int_eq(answer(&h, "8"), KVHIST_LATER);
    ck_assert_int_eq(answer(&h, "8"), KVHIST_CURRENT);
    ck_assert_int_eq(answer(&h, "7"), KVHIST_FORMER);
    ck_assert_int_eq(answer(&h, "11"), KVHIST_LATER);
    ck_assert_uint_eq(h.current, 11);
}
END_TEST

/* Guards against a VM that lists all keys because the store begins or ceases
 * to number its histories, or sends something else. */
START_TEST(odd_numbers_are_those_of_the_current_history)
{
    static const char *const odd[] = {
        "", "x", "9x", "-9", "9.5", "18446744073709551616", "+9", "0x9"};
    KvHist h = {0};

    ck_assert_int_eq(answer(&h, ""), KVHIST_CURRENT);
    ck_assert(!h.known);
    ck_assert_int_eq(answer(&h, "5"), KVHIST_CURRENT);
    for (size_t i = 0; i < G_N_ELEMENTS(odd); i++) {
        ck_assert_msg(answer(&h, odd[i]) == KVHIST_CURRENT, "%s", odd[i]);
        ck_assert_uint_eq(h.current, 5);
    }
    ck_assert_int_eq(answer(&h, "6"), KVHIST_LATER);
}
END_TEST

/* Guards against a first history with the number 0, which is also that of a
 * store without numbers. */
START_TEST(first_history_may_have_the_number_0)
{
    KvHist h = {0};

    ck_assert_int_eq(answer(&h, "0"), KVHIST_CURRENT);
    ck_assert_int_eq(answer(&h, "1"), KVHIST_LATER);
    ck_assert_int_eq(answer(&h, "0"), KVHIST_FORMER);
}
END_TEST

T_MAIN("kvhist", number_orders_the_histories,
       odd_numbers_are_those_of_the_current_history,
       first_history_may_have_the_number_0)
