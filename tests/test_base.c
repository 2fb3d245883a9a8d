/* Tests of the base modules: err, str, ctr and hash. */
#include "t.h"

#include <string.h>

#include "ctr.h"
#include "err.h"
#include "hash.h"
#include "str.h"

/* Guards against numbers that overflow and then appear to be within their
 * limit. */
START_TEST(str_u64_rejects_overflow)
{
    uint64_t v = 7;

    ck_assert(str_u64(str_of("65535"), 65535, &v));
    ck_assert_uint_eq(v, 65535);
    ck_assert(!str_u64(str_of("65536"), 65535, &v));
    ck_assert(!str_u64(str_of("18446744073709551616"), UINT64_MAX, &v));
    ck_assert(!str_u64(str_of("3"), 2, &v));
    ck_assert(!str_u64(str_of(""), 10, &v));
    ck_assert(!str_u64(str_of("-1"), 10, &v));
}
END_TEST

/* Guards against a copy that is truncated without an error. */
START_TEST(str_copy_rejects_text_that_does_not_fit)
{
    char b[4];

    ck_assert(str_copy(b, sizeof(b), str_of("abc")));
    ck_assert(!str_copy(b, sizeof(b), str_of("abcd")));
    ck_assert(!str_copy(b, sizeof(b), (Str){"a\0b", 3}));
    ck_assert_str_eq(b, "");
}
END_TEST

/* Guards against an error that loses its text or kind when a caller adds a
 * prefix. */
START_TEST(err_prefix_keeps_text)
{
    Err e = {0};

    ck_assert(!err_set(&e, ERR_VALUE, "slots = %d", 0));
    ck_assert(!err_prefix(&e, "target t1"));
    ck_assert_str_eq(e.text, "target t1: slots = 0");
    ck_assert_int_eq(err_exit_code(e.kind), 2);
}
END_TEST

/* Guards against shares of keys that don't follow the weights: with weights 3
 * and 1 the first node gets 75 %. */
START_TEST(rendezvous_shares_follow_weights)
{
    int n_first = 0;

    for (uint64_t k = 0; k < 20000; k++) {
        n_first += hash_rendezvous(k, 1, 3.0) > hash_rendezvous(k, 2, 1.0);
    }
    ck_assert_int_gt(n_first, 14700);
    ck_assert_int_lt(n_first, 15300);
}
END_TEST

/* Guards against two counters with the same name and labels. */
START_TEST(counter_is_one_per_name)
{
    CtrSet *s = ctr_set_new();
    GString *g = g_string_new(NULL);

    ctr_add(ctr_get(s, "entry_requests", "rank=\"a\""), 2);
    ctr_add(ctr_get(s, "entry_requests", "rank=\"a\""), 3);
    ctr_text(s, g);
    ck_assert_str_eq(g->str, "entry_requests{rank=\"a\"} 5\n");
    g_string_free(g, TRUE);
    ctr_set_free(s);
}
END_TEST

T_MAIN("base", str_u64_rejects_overflow,
       str_copy_rejects_text_that_does_not_fit, err_prefix_keeps_text,
       rendezvous_shares_follow_weights, counter_is_one_per_name)
