/* Tests of mirror: the urgent keys are read because other VMs have a newer
 * configuration. */
#include "mirror_world.h"

#define ASK_US 50000   /* during the pause after the start */
#define DONE_US 300000 /* the answers have arrived */

static void
run_asked(Store *s, const Answer *script, int64_t after_us)
{
    memset(s, 0, sizeof(*s));
    s->ask_after_us = ASK_US;
    run_store(s, script, after_us);
    ck_assert(s->asked);
}

/* Guards against a watch that continues from the list of some keys and skips
 * the events of all others. */
START_TEST(position_stays_if_nothing_was_lacking)
{
    Store s;
    const Answer script[] = {
        START_A_B,
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "10"), "11")},
        {"after=9&", 200, EVENTS(ITEM("servers/c", "11"), "11")},
        {NULL, 0, NULL},
    };

    run_asked(&s, script, DONE_US);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b servers/c ");
    ck_assert_int_eq(s.n_urgent, 1);
    ck_assert_int_eq(s.n_calls, 4);
}
END_TEST

/* Guards against a VM that reads the configuration that its copy had counted
 * as known, and goes on without the other changes before its position. */
START_TEST(changes_before_the_position_are_found)
{
    Store s;
    const Answer script[] = {
        START_A_B,
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "7"), "12")},
        {"Serializable=1", 200,
         LIST(ITEM("op/config", "7") "," ITEM("servers/a",
                                              "3") "," ITEM("servers/c", "8"),
              "12")},
        {"after=12&", 200, EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    run_asked(&s, script, 2000000);
    ck_assert(strstr(s.at_end, "op/config servers/a ") != NULL);
    ck_assert(strstr(s.at_end, "servers/c ") != NULL);
}
END_TEST

/* Guards against a VM that watches from above the store's revision for good.
 */
START_TEST(position_above_the_store_is_left)
{
    Store s;
    const Answer script[] = {
        START_A_B,
        {"PathPrefix=op/", 200, LIST("", "6")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "6")},
        {"after=6&", 200, EVENTS(ITEM("servers/c", "7"), "7")},
        {NULL, 0, NULL},
    };

    run_asked(&s, script, 2000000);
    ck_assert(strstr(s.at_end, "servers/c ") != NULL);
}
END_TEST

/* Guards against a VM that gives up when the store turns the call away. */
START_TEST(failed_call_is_repeated)
{
    Store s;
    const Answer script[] = {
        START_A_B,
        {"PathPrefix=op/", 429, "{}"},
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "10"), "12")},
        {"after=9&", 200, EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    run_asked(&s, script, 1000000);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    ck_assert_int_eq(s.n_urgent, 1);
}
END_TEST

T_MAIN("mirror_heard", position_stays_if_nothing_was_lacking,
       changes_before_the_position_are_found, position_above_the_store_is_left,
       failed_call_is_repeated)
