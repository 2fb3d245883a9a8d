/* Tests of mirror: answers of a watch that hold several versions of a value,
 * and requests that wait while an answer is being received. */
#include "mirror_world.h"

#define VALUE_BYTES 400000 /* of a configuration, base64 */
#define EVENT_BYTES (VALUE_BYTES + 256)
#define EVENTS_MAX 3
#define FIRST 2            /* answer of a script after START_A_B */
#define REFUSED 5          /* answers of REFUSED_CALLS */
#define REFUSED_US 3500000 /* all refused calls and their pauses */
#define REFUSED_CALL                                                          \
    {                                                                         \
        "after=9&", 429, "{}"                                                 \
    }
#define REFUSED_CALLS                                                         \
    REFUSED_CALL, REFUSED_CALL, REFUSED_CALL, REFUSED_CALL, REFUSED_CALL

/* Returns the events of n versions of the configuration after revision 9;
 * release it with g_free(). */
static char *
versions(int n)
{
    GString *g = g_string_sized_new((gsize)n * EVENT_BYTES);
    char *value = g_strnfill(VALUE_BYTES, 'A');

    g_string_append(g, "{\"events\":[");
    for (int i = 0; i < n; i++) {
        g_string_append_printf(g,
                               "%s{\"Key\":\"op/config\",\"Value\":\"%s\","
                               "\"Rev\":%d}",
                               i == 0 ? "" : ",", value, 10 + i);
    }
    g_string_append_printf(g, "],\"CurrentRev\":%d}", 9 + n);
    g_free(value);
    return g_string_free(g, FALSE);
}

/* Guards against a VM that receives each version of a configuration that it
 * has missed, over a slow link, where the newest one is all that counts. */
START_TEST(replaced_versions_are_not_received)
{
    Store s;
    char *body = versions(EVENTS_MAX);
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, body},
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "12"), "12")},
        {"Serializable=1", 200,
         LIST(ITEM("op/config", "12") "," ITEM("servers/a",
                                               "3") "," ITEM("servers/b", "4"),
              "12")},
        {NULL, 0, NULL},
    };

    run_cut(&s, script, 1000000, &script[FIRST], 2 * VALUE_BYTES);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    ck_assert_int_eq(s.n_urgent, 1);
    g_free(body);
}
END_TEST

/* Guards against two calls, and no gossip, for each new version of a large
 * configuration. */
START_TEST(a_new_version_is_received_by_the_watch)
{
    Store s;
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, body},
        {NULL, 0, NULL},
    };

    run(&s, script, 1000000);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    ck_assert_str_eq(s.announced, "op/config ");
    ck_assert_int_eq(s.n_urgent, 0);
    g_free(body);
}
END_TEST

/* Guards against requests that are handled by an old configuration while a
 * newer one is being received: that changes were missed is known before the
 * answer is complete. */
START_TEST(changes_are_missed_when_an_answer_begins)
{
    Store s;
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        REFUSED_CALLS,
        {"after=9&", 200, body},
        {NULL, 0, NULL},
    };

    run_cut(&s, script, REFUSED_US, &script[FIRST + REFUSED], VALUE_BYTES / 2);
    ck_assert_str_eq(s.at_end, "servers/a servers/b ");
    ck_assert_int_eq(s.n_receiving, 1);
    ck_assert_int_eq(s.n_behind, 0);
    g_free(body);
}
END_TEST

/* Guards against a VM that learns of upstreams that left seconds later than of
 * its configuration, as copies of the store lag. */
START_TEST(a_vm_that_was_refused_reads_the_store_itself)
{
    Store s;
    char *body = versions(EVENTS_MAX);
    const Answer script[] = {
        START_A_B,
        REFUSED_CALLS,
        {"after=9&", 200, body},
        {"PathPrefix=op/", 200, LIST(ITEM("op/config", "12"), "12")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("op/config", "12") "," ITEM("servers/b", "4"), "12")},
        {NULL, 0, NULL},
    };

    run_cut(&s, script, REFUSED_US, &script[FIRST + REFUSED], 2 * VALUE_BYTES);
    ck_assert_str_eq(s.at_end, "op/config servers/b ");
    ck_assert_int_eq(s.n_behind, 1);
    g_free(body);
}
END_TEST

/* Guards against a VM that refuses all requests, although gossip has brought
 * the changes that it missed, until the store answers it again. */
START_TEST(gossip_ends_the_time_in_which_changes_are_missed)
{
    Store s = {0};
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        REFUSED_CALLS,
        {"after=9&", 200, body},
        {NULL, 0, NULL},
    };

    s.cut = &script[FIRST + REFUSED];
    s.withheld = VALUE_BYTES / 2;
    s.gossip_rev = 9;
    s.gossip_after_calls = FIRST + REFUSED;
    run_store(&s, script, REFUSED_US + 2000000);
    ck_assert_int_eq(s.n_receiving, 1);
    ck_assert_int_eq(s.n_calls_at_gossip, FIRST + REFUSED + 1);
    ck_assert_int_gt(s.confirmed_us, s.call_us[FIRST + REFUSED]);
    ck_assert_msg(strchr(s.currents, '|') != strrchr(s.currents, '|'),
                  "current: %s", s.currents);
    g_free(body);
}
END_TEST

/* Guards against a VM that refuses all requests until a resync has ended,
 * although the watch has brought the newest routes. */
START_TEST(a_watch_during_a_resync_makes_the_urgent_keys_current)
{
    Store s;
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        REFUSED_CALLS,
        {"after=9&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST("", "9")},
        {"after=9&", 429, "{}"},
        {"after=9&", 200, body},
        {NULL, 0, NULL},
    };

    run(&s, script, REFUSED_US + 2000000);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    ck_assert_int_eq(s.n_behind, 1);
    ck_assert_int_eq(s.n_urgent, 2);
    g_free(body);
}
END_TEST

/* Guards against requests that are handled by an old configuration while a
 * newer one is being received: the copy grew too old during the transfer. */
START_TEST(changes_are_missed_when_the_copy_grows_old_during_an_answer)
{
    Store s = {0};
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, body},
        {NULL, 0, NULL},
    };

    s.cut = &script[FIRST];
    s.withheld = VALUE_BYTES;
    s.drip_bytes = VALUE_BYTES / 50;
    run_store(&s, script, 2 * PROPAGATION_US);
    ck_assert_int_eq(s.n_calls, FIRST + 1);
    ck_assert_int_lt(s.confirmed_us, evl_boottime() - PROPAGATION_US);
    ck_assert_int_eq(s.n_receiving, 1);
    g_free(body);
}
END_TEST

/* Guards against a VM on a slow processor that drops, after each stall, the
 * answer that brings the newest configuration, and never receives it whole;
 * and against one that takes that answer, which is older than the stall, for
 * current. */
START_TEST(an_answer_that_arrives_during_stalls_is_received)
{
    Store s = {0};
    char *body = versions(1);
    const Answer script[] = {
        START_A_B,
        {"after=9&", 200, body},
        {"after=10&WaitMs=1", 200, EVENTS("", "10")},
        {NULL, 0, NULL},
    };

    s.cut = &script[FIRST];
    s.withheld = VALUE_BYTES;
    s.drip_bytes = VALUE_BYTES / 10;
    s.stalls = true;
    run_store(&s, script, PROPAGATION_US);
    ck_assert_str_eq(s.at_end, "op/config servers/a servers/b ");
    /* Requests wait until the second watch has confirmed the copy. */
    ck_assert_msg(g_str_has_suffix(s.currents, "|4:op/config servers/a "
                                               "servers/b |"),
                  "current: %s", s.currents);
    g_free(body);
}
END_TEST

#define ROUND                                                                 \
    {"after=9&", 200, body},                                                  \
    {                                                                         \
        "PathPrefix=op/", 200, LIST(ITEM("op/config", "12"), "9")             \
    }

/* Guards against a VM that never learns which upstreams have left while its
 * watches keep being too large, since each ends the resync of the last. */
START_TEST(large_watches_do_not_keep_a_resync_from_its_end)
{
    Store s = {0};
    char *body = versions(EVENTS_MAX);
    char *spaces = g_strnfill(VALUE_BYTES, ' ');
    char *list = g_strconcat(
        LIST(ITEM("op/config", "12") "," ITEM("servers/b", "4"), "12"), spaces,
        NULL);
    const Answer script[] = {{"/api/kv-range?PathPrefix=$", 200, list},
                             START_A_B,
                             ROUND,
                             ROUND,
                             ROUND,
                             ROUND,
                             ROUND,
                             ROUND,
                             ROUND,
                             ROUND,
                             {NULL, 0, NULL}};

    /* The list of the store takes a second. */
    s.cut = &script[0];
    s.withheld = VALUE_BYTES;
    s.drip_bytes = VALUE_BYTES / 10;
    s.conns_max = CALLS_MAX;
    run_store(&s, script, 3 * PROPAGATION_US);
    ck_assert_str_eq(s.at_end, "op/config servers/b ");
    g_free(list);
    g_free(spaces);
    g_free(body);
}
END_TEST

T_MAIN("mirror_versions", replaced_versions_are_not_received,
       a_new_version_is_received_by_the_watch,
       changes_are_missed_when_an_answer_begins,
       a_vm_that_was_refused_reads_the_store_itself,
       gossip_ends_the_time_in_which_changes_are_missed,
       a_watch_during_a_resync_makes_the_urgent_keys_current,
       changes_are_missed_when_the_copy_grows_old_during_an_answer,
       an_answer_that_arrives_during_stalls_is_received,
       large_watches_do_not_keep_a_resync_from_its_end)
