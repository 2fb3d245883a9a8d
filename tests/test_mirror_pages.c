/* Tests of mirror: sizes of the answers of the store. */
#include "mirror_world.h"

#define FULL_REV 55 /* of the 50th event after revision 5 */
#define FULL_EVENTS 400
#define FIRST_REV 10
#define MIN_PAUSE_US (PROPAGATION_US / 10) /* less than between watches */

/* Guards against an endless answer of the store that exhausts memory: an
 * answer over the limit is dropped and the call is repeated. */
START_TEST(endless_answer_is_dropped)
{
    Store s;
    char *text = g_strnfill(ENDLESS_BYTES, ' ');
    char *body = g_strconcat(text, LIST(ITEM("servers/a", "3"), "5"), NULL);
    const Answer script[] = {
        {"Serializable=1", 200, body},
        {"Serializable=1", 200, LIST(ITEM("servers/b", "4"), "5")},
        {"after=4&WaitMs=1", 200, EVENTS("", "4")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
    g_free(body);
    g_free(text);
}
END_TEST

/* Guards against a VM that repeats a watch for ever whose answer is larger
 * than kv reads, such as many changed values of 1 MiB. */
START_TEST(watch_over_the_limit_is_replaced_by_pages)
{
    Store s;
    char *text = g_strnfill(ENDLESS_BYTES, ' ');
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, text},
        {"PathPrefix=op/", 200, LIST(ITEM("op/evacuate/z", "19"), "20")},
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("op/evacuate/z", "19") "," ITEM(
             "servers/a", "3") "],\"HasMore\":true,\"CurrentRev\":20}"},
        {"after=servers/a&Serializable=1", 200,
         LIST(ITEM("servers/c", "13"), "20")},
        {"Serializable=1", 200,
         LIST(ITEM("op/evacuate/z", "19") "," ITEM("servers/a", "3") "," ITEM(
                  "servers/c", "13"),
              "20")},
        {"after=20&", 200, EVENTS(REMOVED("servers/a", "21"), "21")},
        {NULL, 0, NULL},
    };

    run(&s, script, 4000000);
    ck_assert_str_eq(s.at_ready, "servers/a servers/b ");
    ck_assert_str_eq(s.at_end, "op/evacuate/z servers/c ");
    g_free(text);
}
END_TEST

/* Guards against a VM that never becomes ready because the watch that confirms
 * its first list has such an answer. */
START_TEST(first_watch_over_the_limit_is_replaced_by_pages)
{
    Store s;
    char *text = g_strnfill(ENDLESS_BYTES, ' ');
    const Answer script[] = {
        {"Serializable=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"after=3&WaitMs=1", 200, text},
        {"/api/kv-range?PathPrefix=$", 200, LIST(ITEM("servers/b", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
    g_free(text);
}
END_TEST

/* Guards against a limit below the largest page: 500 items with long keys, up
 * to 1 MB, and then a value of 1 MiB. */
START_TEST(largest_page_is_read)
{
    Store s;
    char *value =
        g_strnfill((STORE_PAGE_BYTES + STORE_VALUE_BYTES_MAX) / 3 * 4, 'A');
    GString *page = g_string_new("{\"items\":[{\"Key\":\"servers/a\","
                                 "\"Rev\":3,\"Value\":\"");

    g_string_append_printf(page, "%s\"}", value);
    for (int i = 0; i < STORE_PAGE_ITEMS; i++) {
        g_string_append_printf(page,
                               ",{\"Key\":\"servers/%0192d\",\"Rev\":4,"
                               "\"Created\":4,\"Lease\":0,\"Value\":\"\"}",
                               i);
    }
    g_string_append(page, "],\"HasMore\":false,\"CurrentRev\":5}");
    const Answer script[] = {
        {"Serializable=1", 200, page->str},
        {"after=4&WaitMs=1", 200, EVENTS("", "4")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_ne(s.at_ready, "");
    g_string_free(page, TRUE);
    g_free(value);
}
END_TEST

/* Guards against a list that ends, or begins again, at an item that cannot be
 * read, and against such an item that replaces another. */
START_TEST(unreadable_items_do_not_end_a_list)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[7,{},{\"Key\":1,\"Value\":\"eA==\",\"Rev\":3},"
         "{\"Key\":\"servers/rev\",\"Value\":\"eA==\",\"Rev\":-3},"
         "{\"Key\":\"servers/b\",\"Value\":null,\"Rev\":3}],"
         "\"HasMore\":true,\"CurrentRev\":5}"},
        {"after=servers/b&Serializable=1", 200,
         LIST(ITEM("servers/c", "3") "," ITEM("servers/c\\u0000\\\\x", "4"),
              "5")},
        {"after=3&WaitMs=1", 200,
         EVENTS(REMOVED("servers/c\\u0000", "6"), "6")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready,
                     "servers/b servers/c servers/c\xef\xbf\xbd\\x ");
    ck_assert_int_eq(s.counts.items_dropped, 4);
}
END_TEST

/* Guards against a list that is taken as complete although a page of it had no
 * item that can be read. */
START_TEST(page_without_readable_items_is_read_again)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[{}],\"HasMore\":true,\"CurrentRev\":5}"},
        {"Serializable=1", 200, LIST(ITEM("servers/c", "3"), "5")},
        {"after=3&WaitMs=1", 200, EVENTS("", "3")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/c ");
}
END_TEST

/* Guards against a VM that becomes ready before it knows all changes, as it
 * takes a full answer, with many values of one key, for the last. */
START_TEST(full_answer_of_one_key_is_not_the_last)
{
    Store s;
    GString *body = g_string_new("{\"events\":[");

    for (int rev = 6; rev <= FULL_REV; rev++) {
        g_string_append_printf(body,
                               "%s{\"Key\":\"servers/a\",\"Rev\":%d,"
                               "\"Value\":\"eA==\"}",
                               rev == 6 ? "" : ",", rev);
    }
    g_string_append_printf(body, "],\"CurrentRev\":%d}", FULL_REV);
    const Answer script[] = {
        {"Serializable=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"after=3&WaitMs=1", 200, body->str},
        {"after=55&WaitMs=1", 200, EVENTS(REMOVED("servers/a", "56"), "56")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "");
    g_string_free(body, TRUE);
}
END_TEST

/* Guards against VMs that take their copy for recent, and defer their watch,
 * because of gossip from a full answer that further events follow. */
START_TEST(gossip_of_a_full_answer_is_as_old_as_the_copy)
{
    Store s;
    GString *events = g_string_new("{\"events\":[");

    for (int i = 0; i < FULL_EVENTS; i++) {
        g_string_append_printf(
            events,
            "%s{\"Key\":\"servers/x%d\",\"Value\":\"eA==\",\"Rev\":%d}",
            i == 0 ? "" : ",", i, FIRST_REV + i);
    }
    g_string_append_printf(events, "],\"CurrentRev\":%d}",
                           FIRST_REV + FULL_EVENTS - 1);
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, events->str},
        {"after=409&", 429, "{}"},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_str_ne(s.announced, "");
    ck_assert_int_gt(s.announced_age_us, MIN_PAUSE_US);
    g_string_free(events, TRUE);
}
END_TEST

T_MAIN("mirror_pages", endless_answer_is_dropped,
       watch_over_the_limit_is_replaced_by_pages,
       first_watch_over_the_limit_is_replaced_by_pages, largest_page_is_read,
       unreadable_items_do_not_end_a_list,
       page_without_readable_items_is_read_again,
       full_answer_of_one_key_is_not_the_last,
       gossip_of_a_full_answer_is_as_old_as_the_copy)
