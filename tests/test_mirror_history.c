/* Tests of mirror with a store that comes back from an older copy and names
 * its histories. */
#include "mirror_world.h"

#define FULL_LIST "/api/kv-range?PathPrefix=$"
#define FIRST(status) STUB_ERA(1, status)
#define SECOND(status) STUB_ERA(2, status)
/* Longer than keys of upstreams and VMs, and than those of the operator, wait
 * to be written again. */
#define RESTORED_US 2600000
#define URGENT_RESTORED_US 10600000
#define AT_ONCE_US 100000 /* shorter than any pause or back-off */

/* Start at revision 9 of the first history. */
#define START                                                                 \
    {"Serializable=1", FIRST(200),                                            \
     LIST(ITEM("op/config", "3") "," ITEM("servers/b", "4"), "5")},           \
    {                                                                         \
        "after=4&WaitMs=1", FIRST(200), EVENTS(ITEM("servers/a", "9"), "9")   \
    }

/* Guards against a VM that never takes what the store has written at revisions
 * that it gave out before (review/6): the store's revision has passed that of
 * the copy, and items have the revisions of other ones. */
START_TEST(same_revision_of_a_later_history_is_another_change)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", SECOND(200), EVENTS("", "12")},
        {FULL_LIST, SECOND(200),
         LIST(ITEM("op/config", "3") "," ITEM("servers/a",
                                              "7") "," ITEM("servers/b", "2"),
              "12")},
        {"after=12&", SECOND(200), EVENTS(ITEM("servers/c", "13"), "13")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_int_eq(s.n_histories, 1);
    ck_assert_int_eq((int)s.counts.histories, 1);
    ck_assert_msg(strstr(s.changes,
                         "servers/a@9 op/config@3 servers/a@7 servers/b@2 "
                         "servers/c@13 ") != NULL,
                  "%s", s.changes);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b servers/c ");
    ck_assert_uint_eq(s.announced_history, 2);
}
END_TEST

/* Guards against a VM that waits for its next watch although another answer,
 * here a refusal, has shown the later history. */
START_TEST(refusal_that_names_a_later_history_starts_the_list)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", SECOND(503), "{}"},
        {FULL_LIST, SECOND(200), LIST(ITEM("op/config", "3"), "12")},
        {"after=12&", SECOND(200), EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_int_lt(s.call_us[3] - s.call_us[2], AT_ONCE_US);
}
END_TEST

/* Guards against upstreams that callers lose, and a drained zone that is used,
 * because the copy lacks them until they are written again; and against
 * upstreams that are used for good. */
START_TEST(keys_that_the_list_lacks_wait_to_be_written_again)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", FIRST(200),
         EVENTS(ITEM("op/drain", "10") "," ITEM("servers/c", "11"), "11")},
        {"after=11&", SECOND(410), "{}"},
        {FULL_LIST, SECOND(200),
         LIST(ITEM("op/config", "3") "," ITEM("servers/b", "4"), "12")},
        {"after=12&", SECOND(200), EVENTS(ITEM("servers/a", "13"), "13")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_end,
                     "op/config op/drain servers/a servers/b servers/c ");
    run(&s, script, PROPAGATION_US / 2 + RESTORED_US);
    ck_assert_str_eq(s.at_end, "op/config op/drain servers/a servers/b ");
    run(&s, script, PROPAGATION_US / 2 + URGENT_RESTORED_US);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
}
END_TEST

/* Guards against a key that was removed before the return and is kept out
 * although it was written again, and against a removal in the later history
 * that waits. */
START_TEST(removals_are_those_of_their_history)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", FIRST(200),
         EVENTS(REMOVED("servers/b", "10") "," ITEM("servers/c", "11"), "11")},
        {"after=11&", SECOND(200), EVENTS("", "11")},
        {FULL_LIST, SECOND(200),
         LIST(ITEM("op/config", "3") "," ITEM("servers/b", "4"), "5")},
        {"after=5&", SECOND(200), EVENTS(REMOVED("servers/c", "6"), "6")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
}
END_TEST

/* Guards against a list that is put together from pages of two histories. */
START_TEST(list_begins_anew_if_the_history_changes_between_pages)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", SECOND(200), EVENTS("", "12")},
        {FULL_LIST, SECOND(200),
         "{\"items\":[" ITEM("op/config",
                             "3") "],\"HasMore\":true,\"CurrentRev\":12}"},
        {"after=op/config", STUB_ERA(3, 200),
         LIST(ITEM("servers/x", "2"), "2")},
        {FULL_LIST, STUB_ERA(3, 200),
         LIST(ITEM("op/config", "2") "," ITEM("servers/y", "1"), "2")},
        {"after=2&", STUB_ERA(3, 200), EVENTS("", "2")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_int_eq(s.n_histories, 2);
    ck_assert_ptr_null(strstr(s.changes, "servers/x"));
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b servers/y ");
}
END_TEST

/* Guards against a VM that starts with a list of a copy that is of the former
 * history. */
START_TEST(first_list_of_a_former_history_is_not_used)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", FIRST(200),
         LIST(ITEM("op/config", "8") "," ITEM("servers/b", "4"), "9")},
        {"after=8&WaitMs=1", SECOND(200), EVENTS("", "12")},
        {FULL_LIST, SECOND(200), LIST(ITEM("op/config", "8"), "12")},
        {"after=12&", SECOND(200), EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "op/config ");
}
END_TEST

/* Guards against a VM that gives up what it has, or lists it again, for an
 * answer without a number, with one that cannot be read, or with a lower one;
 * the last of these is not used either. */
START_TEST(odd_numbers_begin_no_history)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", SECOND(200),
         LIST(ITEM("op/config", "3") "," ITEM("servers/b", "4"), "5")},
        {"after=4&WaitMs=1", SECOND(200), EVENTS(ITEM("servers/a", "9"), "9")},
        {"after=9&", 200, EVENTS(ITEM("servers/c", "10"), "10")},
        {"after=10&", FIRST(200),
         EVENTS(REMOVED("servers/b", "11") "," REMOVED("servers/c", "12"),
                "12")},
        {"after=10&", SECOND(200), EVENTS(ITEM("servers/d", "11"), "11")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US);
    ck_assert_int_eq(s.n_histories, 0);
    ck_assert_str_eq(s.at_end,
                     "op/config servers/a servers/b servers/c servers/d ");
}
END_TEST

/* Guards against gossip of the former history that removes a key, as it
 * continues from the revision of the copy. */
START_TEST(gossip_of_a_former_history_changes_nothing)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", FIRST(200), EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    memset(&s, 0, sizeof(s));
    s.news = "servers/b";
    s.news_from = 9;
    s.gossip_rev = 10;
    run_store(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
}
END_TEST

/* Guards against a VM that uses what another one says of a later history, and
 * against one that waits for its next watch, although it knows of it. */
START_TEST(gossip_of_a_later_history_makes_the_store_be_asked)
{
    Store s;
    static const Answer script[] = {
        START,
        {"after=9&", FIRST(200), EVENTS("", "9")},
        {"after=9&", SECOND(200), EVENTS("", "12")},
        {FULL_LIST, SECOND(200), LIST(ITEM("op/config", "3"), "12")},
        {"after=12&", SECOND(200), EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    memset(&s, 0, sizeof(s));
    s.news = "servers/b";
    s.news_from = 9;
    s.news_history = 2;
    s.gossip_rev = 10;
    run_store(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_gossip, "op/config servers/a servers/b ");
    ck_assert_int_lt(s.call_us[3] - s.gossip_us, AT_ONCE_US);
    ck_assert_int_eq(s.n_histories, 1);
}
END_TEST

T_MAIN("mirror_history", same_revision_of_a_later_history_is_another_change,
       refusal_that_names_a_later_history_starts_the_list,
       keys_that_the_list_lacks_wait_to_be_written_again,
       removals_are_those_of_their_history,
       list_begins_anew_if_the_history_changes_between_pages,
       first_list_of_a_former_history_is_not_used,
       odd_numbers_begin_no_history,
       gossip_of_a_former_history_changes_nothing,
       gossip_of_a_later_history_makes_the_store_be_asked)
