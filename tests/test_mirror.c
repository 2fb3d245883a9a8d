/* Tests of mirror: lists, watches and resync. */
#include "mirror_world.h"

#define LATE_US 150000 /* of timers and calls on a busy machine */

/* Guards against a restarted VM that uses an upstream that left, or routes
 * that were withdrawn, because its first list came from an out-of-date copy of
 * the store. */
START_TEST(stale_first_list_is_confirmed_before_use)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "5")},
        {"after=4&WaitMs=1", 200, EVENTS(REMOVED("servers/a", "8"), "8")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against a stale list that counts as confirmed, because a second copy
 * of it was read as the answer to the watch that confirms it. */
START_TEST(a_copy_of_the_list_does_not_confirm_it)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"after=3&WaitMs=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"/api/kv-range?PathPrefix=$", 200, LIST(ITEM("servers/b", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against missed changes when a later page of the list comes from an
 * older copy of the store than the first page. */
START_TEST(watch_starts_at_revision_of_oldest_page)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200,
         "{\"items\":[" ITEM("servers/a",
                             "9") "],\"HasMore\":true,\"CurrentRev\":9}"},
        {"after=servers/a&Serializable=1", 200,
         LIST(ITEM("servers/b", "6"), "6")},
        {"after=6&WaitMs=1", 200,
         EVENTS(REMOVED("servers/b", "7") "," ITEM("servers/a", "9"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_str_eq(s.at_ready, "servers/a ");
}
END_TEST

/* Guards against a VM that keeps listing out-of-date copies after the store
 * has dropped the history needed to continue from them. */
START_TEST(list_is_repeated_if_history_was_dropped)
{
    Store s;
    static const Answer script[] = {
        {"Serializable=1", 200, LIST(ITEM("servers/a", "3"), "5")},
        {"after=3&WaitMs=1", 410, "{}"},
        {"/api/kv-range?PathPrefix=$", 200, LIST(ITEM("servers/b", "8"), "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, SHORT_US);
    ck_assert_ptr_null(strstr(s.calls[2], "Serializable"));
    ck_assert_str_eq(s.at_ready, "servers/b ");
}
END_TEST

/* Guards against changes missed because the store dropped its history,
 * against using a copy older than the mirror's state, and against a removed
 * key that reappears from such a copy. */
START_TEST(resync_finds_changes_of_dropped_history)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST(ITEM("op/evacuate/z", "12"), "20")},
        {"after=20&", 200, EVENTS(REMOVED("servers/b", "22"), "22")},
        /* Too old to contain the missed changes. */
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "15")},
        /* "a" has left and "c" was added; "b" was removed at revision 22,
         * after this list. */
        {"Serializable=1", 200,
         LIST(ITEM("op/evacuate/z", "12") "," ITEM("servers/b", "4") "," ITEM(
                  "servers/c", "13"),
              "21")},
        {"Serializable=1", 200,
         LIST(ITEM("op/evacuate/z", "12") "," ITEM("servers/c", "13"), "23")},
        {NULL, 0, NULL},
    };

    run(&s, script, 4000000);
    ck_assert_str_eq(s.at_ready, "servers/a servers/b ");
    ck_assert_str_eq(s.at_end, "op/evacuate/z servers/c ");
    /* The copy was current a moment before, so no request has to wait. */
    ck_assert_int_eq(s.n_behind, 0);
}
END_TEST

/* Guards against other VMs that never hear of a change: this VM has found it
 * in a list, so that the event of its watch has no effect here, but the others
 * take the announced revisions as complete. */
START_TEST(changes_found_by_resync_are_announced)
{
    Store s;
    static const Answer script[] = {
        START_WITH_GAP,
        /* "c" was added and "b" removed after the revision of the watch. */
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/c", "21"), "22")},
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/c", "21"), "22")},
        {"after=20&", 200,
         EVENTS(ITEM("servers/c", "21") "," REMOVED("servers/b", "22"), "22")},
        {NULL, 0, NULL},
    };

    run(&s, script, 3000000);
    ck_assert_str_eq(s.at_end, "servers/a servers/c ");
    ck_assert_str_eq(s.announced, "servers/c servers/b ");
}
END_TEST

/* Guards against other VMs that never learn of a report (review/1): this VM
 * knew its content already, but what others need follows from the store's
 * events, not from their effect here. */
START_TEST(events_without_effect_here_are_announced)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("servers/a", "10"), "10")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US);
    ck_assert_str_eq(s.announced, "servers/a ");
}
END_TEST

/* Counts the calls, starting at index from, whose target contains the text. */
static int
calls_with(const Store *s, int from, const char *text)
{
    int n = 0;

    for (int i = from; i < s->n_calls; i++) {
        n += strstr(s->calls[i], text) != NULL;
    }
    return n;
}

/* Guards against a VM that was cut off and keeps using an upstream that left,
 * for as long as the copies of the store lag. */
START_TEST(resync_is_in_time_if_copies_lag)
{
    Store s;
    static const Answer script[] = {
        START_WITH_GAP,
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "16")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/c", "13"), "21")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/c", "13"), "22")},
        {NULL, 0, NULL},
    };

    /* 0.5 s until the watch, plus the propagation time. */
    run(&s, script, 500000 + PROPAGATION_US);
    ck_assert_str_eq(s.at_end, "servers/c ");
    ck_assert_int_eq(calls_with(&s, 0, "Serializable"), 4);
}
END_TEST

/* Guards against a copy that counts as complete, and against a VM that is
 * never current again: the store has dropped its history a second time, and
 * the list of the first resync is complete before the revision is known up to
 * which the second one has to find changes. */
START_TEST(resync_that_ends_during_the_next_one_does_not_end_it)
{
    Store s;
    static const Answer script[] = {
        START_WITH_GAP,
        /* Late, see delay_at_call: after the next two calls. */
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "21")},
        {"after=20&", 410, "{}"},
        {"PathPrefix=op/", NO_ANSWER, NULL},
        {"PathPrefix=op/", 200, LIST("", "30")},
        {"Serializable=1", NO_ANSWER, NULL},
        {"after=30&", 200, EVENTS("", "30")},
        {"Serializable=1", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/c", "25"), "31")},
        {"after=30&", 410, "{}"},
        {"PathPrefix=op/", 200, LIST("", "40")},
        {"Serializable=1", 200, LIST(ITEM("servers/d", "35"), "41")},
        {NULL, 0, NULL},
    };

    memset(&s, 0, sizeof(s));
    s.delay_at_call = 5;
    run_store(&s, script, 6000000);
    int second = first_call(&s, "after=30&");
    /* Not even by the answer of this watch. */
    ck_assert_int_le(s.confirmed_at_call_us[second + 1], s.call_us[5]);
    ck_assert_str_eq(s.at_end, "servers/d ");
    ck_assert_int_gt(s.confirmed_us, s.call_us[second]);
}
END_TEST

/* Guards against two lists at the same time, where one treats keys as missing
 * that only the other has returned. */
START_TEST(list_of_store_ends_resync)
{
    Store s;
    static const Answer script[] = {
        START_WITH_GAP,
        {"Serializable=1", 200, LIST("", "15")},
        {"Serializable=1", 200, LIST("", "15")},
        /* Unreadable, so that everything is listed again; the third read of a
         * copy gets no answer. */
        {"after=20&", 200, "{"},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/a", "3") "," ITEM("servers/b", "4"), "30")},
        {NULL, 0, NULL},
    };

    run(&s, script, 3000000);
    ck_assert_str_eq(s.at_end, "servers/a servers/b ");
    int list = first_call(&s, "PathPrefix=$");
    ck_assert_int_eq(calls_with(&s, list + 1, "/api/kv-range"), 0);
}
END_TEST

/* Guards against a copy that counts as current while it keeps an upstream that
 * the store's list lacks, and that requests are then sent to. */
START_TEST(a_list_that_lacks_a_key_is_not_current)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        /* Unreadable, so that everything is listed again. */
        {"after=9&", 200, "{"},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/a", "3"), "30")},
        {"/api/kv-range?PathPrefix=$", 200,
         LIST(ITEM("servers/a", "3"), "31")},
        {NULL, 0, NULL},
    };
    char early[64];

    run(&s, script, 2000000);
    int list = first_call(&s, "PathPrefix=$");
    ck_assert_str_eq(s.at_end, "servers/a ");
    g_snprintf(early, sizeof(early), "|%d:servers/a servers/b ", list + 1);
    ck_assert_msg(strstr(s.currents, early) == NULL, "%s", s.currents);
    ck_assert_int_eq(s.confirmed_at_call_us[list + 1],
                     s.confirmed_at_call_us[list]);
}
END_TEST

/* Guards against VMs that keep calling a store that refuses their calls, each
 * of which has a price, although they receive all changes by gossip. */
START_TEST(gossip_defers_calls_while_store_refuses)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 503, "{}"},
        {NULL, 0, NULL},
    };

    /* The next watch starts at the earliest 1.24 s after the gossip; without
     * gossip it would start after 0.2 s. */
    run_with_gossip(&s, script, 1500000, 9, 0);
    ck_assert_int_gt(s.n_calls_at_gossip, 0);
    ck_assert_int_eq(s.n_calls, s.n_calls_at_gossip);
}
END_TEST

/* Guards against a record that shows a copy as confirmed by the store although
 * only other VMs have confirmed it since. */
START_TEST(gossip_is_no_confirmation_by_the_store)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 503, "{}"},
        {NULL, 0, NULL},
    };

    run_with_gossip(&s, script, 1500000, 9, 0);
    ck_assert_str_eq(s.confirmation.source, "watch");
    ck_assert_uint_eq(s.confirmation.rev, 9);
    ck_assert_int_gt(s.confirmation.at_us, 0);
    ck_assert_int_lt(s.confirmation.at_us, s.confirmed_us);
}
END_TEST

/* Guards against a VM whose calls are put off by gossip that proves nothing
 * about its copy, as that of a VM of whose clock nothing is known. */
START_TEST(gossip_of_unknown_age_defers_no_calls)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 503, "{}"},
        {"after=10&", 200, EVENTS("", "10")},
        {NULL, 0, NULL},
    };

    /* The pause after a failed call is 0.2 s at most. */
    run_with_gossip(&s, script, PROPAGATION_US, 9, INT64_C(3600000000));
    int n = s.n_calls_at_gossip;
    ck_assert_int_gt(s.n_calls, n);
    ck_assert_int_lt(s.call_us[n] - s.call_us[n - 1], 250000);
    ck_assert_int_gt(s.call_us[n] - s.call_us[n - 1], 90000);
}
END_TEST

/* Runs a mirror that receives gossip while its third call, a watch, waits; the
 * gossip confirms its copy.  Ends before a watch that is deferred begins. */
static void
run_with_gossip_during_watch(Store *s, const Answer *script)
{
    memset(s, 0, sizeof(*s));
    s->news = "servers/z"; /* removed before the start */
    s->gossip_rev = 9;
    s->news_from = 9;
    s->delay_at_call = NEWS_AFTER_CALLS;
    run_store(s, script, PROPAGATION_US);
    ck_assert_int_eq(s->n_calls_at_gossip, NEWS_AFTER_CALLS);
}

/* Guards against two VMs that both keep watching the store: their watches
 * alternate, so that the gossip of either always arrives during a watch of the
 * other, which then defers nothing. */
START_TEST(gossip_during_a_watch_defers_the_next_one)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    run_with_gossip_during_watch(&s, script);
    ck_assert_int_eq(s.n_calls, NEWS_AFTER_CALLS);
    ck_assert_int_eq(s.counts.watches_deferred, 1);
    /* The other VM would defer its watch as well. */
    ck_assert_int_eq(s.n_announced, 0);
}
END_TEST

/* Guards against changes that other VMs never hear of, because gossip arrived
 * during the watch that returned them. */
START_TEST(events_after_gossip_during_a_watch_are_announced)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("servers/a", "10"), "10")},
        {NULL, 0, NULL},
    };

    run_with_gossip_during_watch(&s, script);
    ck_assert_int_gt(s.n_calls, NEWS_AFTER_CALLS);
    ck_assert_str_eq(s.announced, "servers/a ");
}
END_TEST

/* Guards against a VM that takes gossip for as recent as its arrival, and
 * learns late of what has changed since its sender read the store. */
START_TEST(old_gossip_defers_the_watch_by_what_is_left)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 503, "{}"},
        {"after=10&", 200, EVENTS("", "10")},
        {NULL, 0, NULL},
    };
    const int64_t age_us = 440000; /* less than that of the copy */
    int64_t pause_us[2];

    for (int old = 0; old < 2; old++) {
        run_with_gossip(&s, script, PROPAGATION_US, 9, old * age_us);
        int next = s.n_calls_at_gossip;
        ck_assert_int_gt(s.n_calls, next);
        pause_us[old] = s.call_us[next] - s.call_us[next - 1];
    }
    ck_assert_int_gt(pause_us[0] - pause_us[1], LATE_US);
}
END_TEST

/* Guards against a copy that counts as recent because an answer without events
 * waited in the socket: the store may have cut the wait short. */
START_TEST(a_wait_that_was_cut_short_confirms_no_time_after_its_answer)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    run_with_stop(&s, script, PROPAGATION_US / 2, 3, PROPAGATION_US / 2);
    ck_assert_int_gt(s.confirmed_us, s.call_us[1]);
    ck_assert_int_le(s.confirmed_us, s.call_us[2]);
}
END_TEST

/* Guards against an answer without events that confirms the start of its watch
 * only, although nothing else shows how recent the copy is. */
START_TEST(a_whole_wait_confirms_its_end)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    memset(&s, 0, sizeof(s));
    s.delay_at_call = 3;
    run_store(&s, script, PROPAGATION_US);
    ck_assert_int_gt(s.confirmed_us, s.call_us[2] + PROPAGATION_US / 4);
}
END_TEST

/* Guards against a copy that counts as recent as the arrival of an answer,
 * which the network or this process may have delayed. */
START_TEST(an_answer_with_events_confirms_the_start_of_its_watch)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS(ITEM("servers/a", "10"), "10")},
        {NULL, 0, NULL},
    };

    run(&s, script, PROPAGATION_US / 2);
    ck_assert_int_ge(s.n_calls, 3);
    ck_assert_int_gt(s.confirmed_us, s.call_us[1]);
    ck_assert_int_le(s.confirmed_us, s.call_us[2]);
    ck_assert_int_ge(s.announced_age_us, 0);
    ck_assert_int_lt(s.announced_age_us, LATE_US);
}
END_TEST

/* Guards against a copy that counts as complete while it lacks what a resync
 * has still to find. */
START_TEST(a_copy_that_lacks_changes_is_not_confirmed)
{
    Store s;
    static const Answer script[] = {
        START_WITH_GAP,
        {"Serializable=1", 200, LIST("", "15")},
        {"after=20&", 200, EVENTS("", "20")},
        {NULL, 0, NULL},
    };

    /* Two pauses of 0.4 to 0.5 s precede the last call. */
    run(&s, script, PROPAGATION_US);
    ck_assert_int_ge(s.n_calls, 5);
    ck_assert_int_le(s.confirmed_us, s.call_us[2]);
}
END_TEST

/* Guards against news that waits for the revisions before it, and against a
 * message that counts as complete without them. */
START_TEST(news_is_applied_before_the_revisions_that_are_missing)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&", 200, EVENTS("", "9")},
        {"after=9&", 200,
         EVENTS(ITEM("op/config", "11") "," REMOVED("servers/b", "12"), "12")},
        {NULL, 0, NULL},
    };

    run_with_news(&s, script, PROPAGATION_US, "servers/b", 12);
    ck_assert_str_eq(s.at_gossip, "servers/a ");
    ck_assert_str_eq(s.at_end, "op/config servers/a ");
    /* The other datagrams of the message have some time to arrive. */
    int next = s.n_calls_at_gossip;
    ck_assert_int_gt(s.n_calls, next);
    ck_assert_int_ge(s.call_us[next] - s.gossip_us, PROPAGATION_US / 10);
    ck_assert_int_le(s.call_us[next] - s.gossip_us,
                     PROPAGATION_US * 3 / 10 + LATE_US);
}
END_TEST

/* Guards against a late recovery: after a failed call, a watch that waits for
 * events shows only when it ends that the store is reachable again. */
START_TEST(watch_after_failure_does_not_wait)
{
    Store s;
    static const Answer script[] = {
        START_A_B,
        {"after=9&WaitMs=600", 503, "{}"},
        {"after=9&WaitMs=1", 200, EVENTS("", "9")},
        {"after=9&WaitMs=600", 200, EVENTS("", "9")},
        {NULL, 0, NULL},
    };

    run(&s, script, 2000000);
}
END_TEST

T_MAIN("mirror", gossip_is_no_confirmation_by_the_store,
       stale_first_list_is_confirmed_before_use,
       a_copy_of_the_list_does_not_confirm_it,
       watch_starts_at_revision_of_oldest_page,
       list_is_repeated_if_history_was_dropped,
       resync_finds_changes_of_dropped_history,
       changes_found_by_resync_are_announced,
       events_without_effect_here_are_announced,
       resync_is_in_time_if_copies_lag,
       resync_that_ends_during_the_next_one_does_not_end_it,
       list_of_store_ends_resync, a_list_that_lacks_a_key_is_not_current,
       gossip_defers_calls_while_store_refuses,
       gossip_of_unknown_age_defers_no_calls,
       gossip_during_a_watch_defers_the_next_one,
       events_after_gossip_during_a_watch_are_announced,
       old_gossip_defers_the_watch_by_what_is_left,
       a_wait_that_was_cut_short_confirms_no_time_after_its_answer,
       a_whole_wait_confirms_its_end,
       an_answer_with_events_confirms_the_start_of_its_watch,
       a_copy_that_lacks_changes_is_not_confirmed,
       news_is_applied_before_the_revisions_that_are_missing,
       watch_after_failure_does_not_wait)
