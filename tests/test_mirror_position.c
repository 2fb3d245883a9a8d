/* Tests of mirror: the revision from which the next watch continues. */
#include "mirror_world.h"

#define FULL_LIST "/api/kv-range?PathPrefix=$"

/* Guards against changes that are missed for good: the first list had old
 * items beside the newest revision (issue 54). */
START_TEST(first_list_below_its_revision_is_watched_from_its_items)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "9")},
        {"after=4&WaitMs=1", 200, EVENTS(REMOVED("servers/a", "8"), "9")},
        /* Nothing is missing after the first watch with an event. */
        {"after=8&WaitMs=1", 200, EVENTS("", "8")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against the same where only one page is from an old copy. */
START_TEST(pages_of_different_age_are_watched_from_the_oldest)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("servers/a", "12") "," ITEM(
             "servers/b", "4") "],\"HasMore\":true,\"CurrentRev\":12}"},
        {"after=servers/b&Serializable=1", 200,
         LIST(ITEM("servers/c", "6"), "12")},
        {"after=6&WaitMs=1", 200,
         EVENTS(REMOVED("servers/c", "7") "," ITEM("servers/a", "12"), "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/a servers/b ");
}
END_TEST

/* Guards against a copy without items that counts as an empty store. */
START_TEST(empty_first_list_is_watched_from_the_beginning)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200, LIST("", "9")},
        {"after=0&WaitMs=1", 200, EVENTS(ITEM("servers/a", "9"), "9")},
        {NULL, 0, NULL},
    };
    static const Answer forgot[] = {
        {"Serializable=1", 200, LIST("", "9")},
        {"after=0&WaitMs=1", 410, "{}"},
        {FULL_LIST, 200, LIST(ITEM("servers/a", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/a ");
    run(&s, forgot, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/a ");
}
END_TEST

/* Guards against an event that is lost because the answer before it had its
 * revision, and against other VMs that are told that they have it. */
START_TEST(watch_below_its_revision_continues_from_its_events)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("servers/c", "10"), "12")},
        {"after=10&", 200, EVENTS(ITEM("servers/d", "12"), "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_end, "servers/a servers/b servers/c servers/d ");
    ck_assert_uint_eq(s.announced_to, 12);
    ck_assert_str_eq(s.announced, "servers/d ");
}
END_TEST

/* Guards against the same with an answer without events, and against a copy
 * that it confirms. */
START_TEST(watch_without_events_keeps_its_position)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "12")},
        {"after=9&", 200, EVENTS(ITEM("servers/d", "12"), "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_str_eq(s.at_end, "servers/a servers/b servers/d ");
    ck_assert_int_le(s.confirmed_at_call_us[3], s.call_us[1]);
}
END_TEST

/* Guards against a VM that watches without a pause, or is never current, as
 * the store names a revision for which it has no event. */
START_TEST(revision_without_events_does_not_repeat_calls)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "12")},
        {"after=9&", 200, EVENTS("", "12")},
        {"after=9&", 200, EVENTS("", "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US);
    ck_assert_int_ge(s.n_calls, 5);
    ck_assert_int_gt(s.confirmed_us, s.call_us[2]);
    ck_assert_int_gt(s.call_us[4] - s.call_us[3], PROPAGATION_US / 10);
}
END_TEST

/* Guards against a VM that holds for good what a store has lost that came back
 * from an older copy. */
START_TEST(watch_of_a_store_that_came_back_is_replaced_by_its_list)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200,
         EVENTS(ITEM("servers/b", "10") "," ITEM("servers/c", "11"), "11")},
        {"after=11&", 200, EVENTS("", "6")},
        {FULL_LIST, 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "6")},
        {"after=6&", 200, EVENTS(ITEM("servers/b", "7"), "7")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
    ck_assert_str_eq(s.at_end, "servers/a servers/b ");
    ck_assert_msg(strstr(s.changes, "servers/b@4 -servers/c@6 servers/b@7 ") !=
                      NULL,
                  "%s", s.changes);
}
END_TEST

/* Guards against a VM that lists without a pause as long as the watches of the
 * store have a lower revision than its lists. */
START_TEST(watches_below_the_list_do_not_repeat_calls)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "6")},
        {FULL_LIST, 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "9")},
        {"after=9&", 200, EVENTS("", "6")},
        {FULL_LIST, 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
    ck_assert_int_ge(s.n_calls, 6);
    ck_assert_int_gt(s.call_us[5] - s.call_us[4], PROPAGATION_US / 10);
}
END_TEST

/* Guards against an old copy that brings an older configuration back. */
START_TEST(old_copy_with_newest_revision_changes_no_newer_key)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("op/config", "10"), "10")},
        {"after=10&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "10"), "12")},
        {"Serializable=1", 200,
         LIST(ITEM("op/config", "5") "," ITEM("servers/a",
                                              "3") "," ITEM("servers/b", "4"),
              "12")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    ck_assert_ptr_null(strstr(s.changes, "op/config@5"));
}
END_TEST

/* Guards against a VM that holds what the store has lost, when a list shows
 * it. */
START_TEST(list_of_a_store_that_came_back_is_read_again)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("servers/c", "10"), "10")},
        {"after=10&", 200, "{"}, /* unreadable, so that all is listed */
        {FULL_LIST, 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "6")},
        {FULL_LIST, 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "6")},
        {"after=6&", 200, EVENTS(ITEM("servers/d", "7"), "7")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
    ck_assert_str_eq(s.at_end, "servers/a servers/b servers/d ");
}
END_TEST

/* Guards against the same when the list of the operator's keys shows it. */
START_TEST(operator_list_of_a_store_that_came_back_is_replaced)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("op/config", "10"), "10")},
        {"after=10&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "2"), "6")},
        {FULL_LIST, 200,
         LIST(ITEM("op/config", "2") "," ITEM("servers/a",
                                              "3") "," ITEM("servers/b", "4"),
              "6")},
        {"after=6&", 200, EVENTS(ITEM("servers/c", "7"), "7")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b servers/c ");
    ck_assert_ptr_nonnull(strstr(s.changes, "op/config@10 op/config@2 "));
}
END_TEST

/* Guards against a store that is taken for an older one because gossip has
 * arrived during the watch. */
START_TEST(gossip_during_a_watch_does_not_make_its_answer_old)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "9")},
        {"after=12&", 200, EVENTS(ITEM("servers/c", "13"), "13")},
        {NULL, 0, NULL},
    };

    memset(&s, 0, sizeof(s));
    s.delay_at_call = 3;
    s.news = "servers/b";
    s.news_from = 9;
    s.gossip_rev = 12;
    run_store(&s, script, PROPAGATION_US);
    ck_assert_str_eq(s.at_gossip, "servers/a ");
    ck_assert_str_eq(s.at_end, "servers/a servers/c ");
}
END_TEST

T_MAIN("mirror_position",
       first_list_below_its_revision_is_watched_from_its_items,
       pages_of_different_age_are_watched_from_the_oldest,
       empty_first_list_is_watched_from_the_beginning,
       watch_below_its_revision_continues_from_its_events,
       watch_without_events_keeps_its_position,
       revision_without_events_does_not_repeat_calls,
       watch_of_a_store_that_came_back_is_replaced_by_its_list,
       watches_below_the_list_do_not_repeat_calls,
       old_copy_with_newest_revision_changes_no_newer_key,
       list_of_a_store_that_came_back_is_read_again,
       operator_list_of_a_store_that_came_back_is_replaced,
       gossip_during_a_watch_does_not_make_its_answer_old)
