/* Tests of the record of requests that were handled last. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "routeuse.h"

static RouteUse use;

static void
add(int n, int64_t at_us)
{
    char id[16];

    snprintf(id, sizeof(id), "r%d", n);
    routeuse_add(&use, str_of(id), at_us);
}

/* Guards against a record of a late configuration that names requests from
 * before the time at which it was due. */
START_TEST(names_requests_since_a_time)
{
    GString *ids = g_string_new(NULL);

    for (int i = 1; i <= 9; i++) {
        add(i, i * 10);
    }
    ck_assert_int_eq(routeuse_since(&use, 30, ids), 7);
    ck_assert_str_eq(ids->str, "r3,r4,r5,r6,r7,r8");
    g_string_truncate(ids, 0);
    ck_assert_int_eq(routeuse_since(&use, 91, ids), 0);
    ck_assert_str_eq(ids->str, "-");
    g_string_free(ids, TRUE);
}
END_TEST

/* Guards against a record that grows with the number of requests. */
START_TEST(keeps_the_last_requests_only)
{
    GString *ids = g_string_new(NULL);

    for (int i = 1; i <= ROUTEUSE_REQUESTS + 5; i++) {
        add(i, i);
    }
    ck_assert_int_eq(routeuse_since(&use, 0, ids), ROUTEUSE_REQUESTS);
    ck_assert_str_eq(ids->str, "r6,r7,r8,r9,r10,r11");
    g_string_free(ids, TRUE);
}
END_TEST

/* Guards against ids that forge fields of the line. */
START_TEST(ids_cannot_end_their_field)
{
    GString *ids = g_string_new(NULL);

    routeuse_add(&use, str_of("a b=c"), 1);
    ck_assert_int_eq(routeuse_since(&use, 0, ids), 1);
    ck_assert_str_eq(ids->str, "a?b?c");
    g_string_free(ids, TRUE);
}
END_TEST

T_MAIN("routeuse", names_requests_since_a_time, keeps_the_last_requests_only,
       ids_cannot_end_their_field)
