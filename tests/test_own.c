/* Tests of ownership: confirmations, promises, budgets, handover. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "own.h"

#define MS INT64_C(1000)
#define SLOTS 9

static OwnMember
member(const char *id, uint64_t incarnation)
{
    OwnMember m = {.incarnation = incarnation};

    snprintf(m.id, sizeof(m.id), "%s", id);
    snprintf(m.control, sizeof(m.control), "127.0.0.1:1");
    return m;
}

/* A roster of ids "a", "b", ... with one store version per epoch. */
static OwnRoster
roster(uint64_t epoch, const char *ids)
{
    OwnRoster r = {.epoch = epoch, .store_version = epoch};

    for (const char *p = ids; *p != '\0'; p++) {
        char id[2] = {*p, '\0'};
        r.members[r.n] = member(id, 1);
        r.members[r.n++].since = 1;
    }
    return r;
}

static Own *
make(const char *id, const OwnRoster *r, int64_t now)
{
    OwnMember m = member(id, 1);
    Own *o = own_new(&m, now);

    own_adopt(o, r, now);
    return o;
}

/* Steps a VM and confirms its epoch by the store. */
static void
confirm(Own *o, int64_t now)
{
    own_step(o, now);
    own_confirm_store(o, own_roster(o)->store_version, now);
}

/* Adopts a roster and confirms it. */
static void
adopt(Own *o, const OwnRoster *r, int64_t now)
{
    own_adopt(o, r, now);
    confirm(o, now);
}

/* A target name that the member of that index owns under both rosters. */
static const char *
target_of(const OwnRoster *r, int owner, const OwnRoster *r2, int owner2)
{
    static char name[16];

    for (int i = 0; i < 10000; i++) {
        snprintf(name, sizeof(name), "t%d", i);
        uint64_t k = own_target_key(name);
        if (own_owner(r, k) == owner &&
            (r2 == NULL || own_owner(r2, k) == owner2)) {
            return name;
        }
    }
    ck_abort_msg("no such target");
    return NULL;
}

/* Steps o every 500 ms, so that it does not count as paused. */
static int64_t
run(Own *o, int64_t from, int64_t to, bool confirmed)
{
    for (int64_t t = from; t < to; t += 500 * MS) {
        own_step(o, t);
        if (confirmed) {
            confirm(o, t);
        }
    }
    own_step(o, to);
    if (confirmed) {
        confirm(o, to);
    }
    return to;
}

/* Guards against a member that acts on a confirmation that has lapsed. */
START_TEST(confirmation_lapses)
{
    OwnRoster r = roster(1, "ab");
    Own *o = make("a", &r, 0);
    const char *t = target_of(&r, 0, NULL, 0);

    ck_assert_int_eq(own_budget(o, t, SLOTS, 0), 0);
    int64_t now = run(o, 0, 2000 * MS, true);
    ck_assert_int_eq(own_mode(o, now), OWN_FULL);
    ck_assert_int_eq(own_budget(o, t, SLOTS, now), SLOTS);
    ck_assert_int_eq(own_good_until(o, now), now + OWN_LAPSE_MS * MS);
    run(o, now, now + OWN_LAPSE_MS * MS + 1, false);
    now += OWN_LAPSE_MS * MS + 1;
    ck_assert_int_eq(own_mode(o, now), OWN_ISOLATED);
    ck_assert_int_eq(own_budget(o, t, SLOTS, now), SLOTS / 2);
    own_free(o);
}
END_TEST

/* Guards against a paused process that goes on with what it owned. */
START_TEST(pause_needs_a_new_confirmation)
{
    OwnRoster r = roster(1, "ab");
    Own *o = make("a", &r, 0);
    const char *t = target_of(&r, 0, NULL, 0);
    int64_t now = run(o, 0, 2000 * MS, true);

    now += 30000 * MS;
    /* Before the first step after the pause, too. */
    ck_assert_int_eq(own_budget(o, t, SLOTS, now), 0);
    own_step(o, now);
    ck_assert_int_eq(own_mode(o, now), OWN_NONE);
    own_confirm_store(o, 1, now - MS); /* asked before the pause ended */
    ck_assert_int_eq(own_mode(o, now), OWN_NONE);
    own_confirm_store(o, 1, now);
    ck_assert_int_eq(own_budget(o, t, SLOTS, now), SLOTS);
    own_free(o);
}
END_TEST

/* Guards against full service on the word of only some members. */
START_TEST(every_member_must_confirm)
{
    OwnRoster r = roster(1, "abc");
    Own *o = make("a", &r, 0);
    int64_t now = run(o, 0, 2000 * MS, false);

    own_confirm_peer(o, "b", 1, 1, now);
    ck_assert_int_eq(own_mode(o, now), OWN_NONE);
    own_confirm_peer(o, "c", 2, 1, now); /* another incarnation */
    own_confirm_peer(o, "c", 1, 2, now); /* another epoch */
    ck_assert_int_eq(own_mode(o, now), OWN_NONE);
    own_confirm_peer(o, "c", 1, 1, now - 400 * MS);
    ck_assert_int_eq(own_mode(o, now), OWN_FULL);
    ck_assert_int_eq(own_good_until(o, now), now + 600 * MS);
    own_free(o);
}
END_TEST

/* Guards against two owners during a planned change: the gaining member
 * waits until the losing one must have lapsed. */
START_TEST(gaining_member_waits)
{
    OwnRoster r1 = roster(1, "ac");
    OwnRoster r2 = roster(2, "abc");
    r2.members[1].since = 2;
    Own *b = make("b", &r1, 0);
    const char *t = target_of(&r1, 0, &r2, 1);
    int64_t now = run(b, 0, 2000 * MS, false);

    ck_assert(own_adopt(b, &r2, now));
    confirm(b, now);
    ck_assert_int_eq(own_budget(b, t, SLOTS, now + 1099 * MS), 0);
    now = run(b, now, now + 1100 * MS, true);
    /* a may be isolated on epoch 1 and hold half. */
    ck_assert_int_eq(own_budget(b, t, SLOTS, now), SLOTS - SLOTS / 2);
    own_heard(b, "a", 1, 2);
    ck_assert_int_eq(own_budget(b, t, SLOTS, now), SLOTS);
    own_free(b);
}
END_TEST

/* Guards against a member that skips an epoch and misses that another one
 * owned its target meanwhile. */
START_TEST(skipped_epoch_waits)
{
    OwnRoster r1 = roster(1, "ab");
    OwnRoster r3 = roster(3, "ab");
    Own *a = make("a", &r1, 0);
    const char *t = target_of(&r1, 0, NULL, 0);
    int64_t now = run(a, 0, 2000 * MS, true);

    ck_assert_int_eq(own_budget(a, t, SLOTS, now), SLOTS);
    adopt(a, &r3, now);
    ck_assert_int_eq(own_budget(a, t, SLOTS, now), 0);
    now = run(a, now, now + 1100 * MS, true);
    ck_assert_int_eq(own_budget(a, t, SLOTS, now), SLOTS);
    own_free(a);
}
END_TEST

/* Guards against a roster change that takes back what was just handed on
 * before the wait is over. */
START_TEST(change_within_the_wait_waits)
{
    OwnRoster r1 = roster(1, "ab");
    OwnRoster r2 = roster(2, "abc");
    OwnRoster r3 = roster(3, "ab");
    r2.members[2].since = 2;
    Own *a = make("a", &r1, 0);
    const char *t = target_of(&r1, 0, &r2, 2);
    int64_t now = run(a, 0, 2000 * MS, true);

    adopt(a, &r2, now);
    ck_assert_int_eq(own_budget(a, t, SLOTS, now), 0);
    now += 300 * MS;
    adopt(a, &r3, now);
    ck_assert_int_eq(own_budget(a, t, SLOTS, now), 0);
    now = run(a, now, now + 1100 * MS, true);
    ck_assert_int_eq(own_budget(a, t, SLOTS, now), SLOTS);
    own_free(a);
}
END_TEST

/* Guards against a sum over the slots when a cut-off member goes on with its
 * half, and against a reserve that outlives the member. */
START_TEST(lost_member_keeps_a_reserve)
{
    OwnRoster r1 = roster(1, "ab");
    OwnRoster r2 = roster(2, "b");
    OwnMember m = member("a", 1);
    memcpy(r2.lost[0].id, m.id, sizeof(m.id));
    r2.lost[0].incarnation = 1;
    r2.lost[0].since = 1;
    r2.lost[0].epoch = 1;
    r2.n_lost = 1;
    Own *b = make("b", &r1, 0);
    const char *ta = target_of(&r1, 0, NULL, 0);
    int64_t now = run(b, 0, 2000 * MS, true);

    own_adopt(b, &r2, now);
    now = run(b, now, now + 1100 * MS, true);
    ck_assert_int_eq(own_budget(b, ta, SLOTS, now), SLOTS - SLOTS / 2);
    ck_assert_int_eq(own_budget(b, ta, 1, now), 1);
    for (int i = 0; i < KEY_RANGES; i++) {
        bool was_a = own_owner(&r1, own_range_key(i)) == 0;
        ck_assert(own_range_owned(b, i, now));
        ck_assert_int_eq(own_range_tenure(b, i, now) >= 0, !was_a);
    }
    const char *tb = target_of(&r1, 1, NULL, 0);
    ck_assert_int_eq(own_budget(b, tb, SLOTS, now), SLOTS);
    /* a acts on a roster without itself: it holds nothing. */
    own_heard(b, "a", 1, 2);
    own_step(b, now);
    ta = target_of(&r1, 0, NULL, 0);
    ck_assert_int_eq(own_budget(b, ta, SLOTS, now), SLOTS);
    for (int i = 0; i < KEY_RANGES; i++) {
        ck_assert_int_ge(own_range_tenure(b, i, now), 0);
    }
    own_free(b);
}
END_TEST

static OwnSeen
seen(const char *id, uint64_t incarnation, bool live, bool released)
{
    return (OwnSeen){member(id, incarnation), live, released};
}

/* Guards against a promise while a change of this VM may be in force. */
START_TEST(no_promise_with_a_change_under_way)
{
    OwnRoster r = roster(1, "ab");
    OwnRoster next;
    Own *a = make("a", &r, 0);
    OwnSeen s[1] = {seen("b", 1, false, false)};
    int64_t now = run(a, 0, 9000 * MS, true);

    ck_assert(own_promise(a, "b", 1, now));
    ck_assert(!own_promise(a, "b", 2, now));
    ck_assert(!own_promise(a, "c", 1, now));
    ck_assert(own_propose(a, s, 1, now, &next));
    ck_assert_int_eq(next.n, 1);
    ck_assert_int_eq(next.n_lost, 1);
    ck_assert_uint_eq(next.epoch, 2);
    /* The write may take effect late, so no promise for this epoch. */
    ck_assert(!own_promise(a, "b", 1, now + 60000 * MS));
    own_propose_void(a, 1);
    ck_assert(own_promise(a, "b", 1, now + 60000 * MS));
    own_free(a);
}
END_TEST

/* Guards against a proposer that trusts its peers' confirmations while its
 * own change may already be in force. */
START_TEST(own_change_under_way_needs_the_store)
{
    OwnRoster r = roster(1, "ab");
    OwnRoster next;
    Own *a = make("a", &r, 0);
    OwnSeen s[2] = {seen("b", 1, true, false), seen("c", 1, true, false)};
    int64_t now = run(a, 0, 9000 * MS, true);

    ck_assert(own_propose(a, s, 2, now, &next));
    run(a, now, now + 1500 * MS, false);
    now += 1500 * MS;
    own_confirm_peer(a, "b", 1, 1, now);
    ck_assert_int_eq(own_mode(a, now), OWN_ISOLATED);
    own_confirm_store(a, 1, now);
    ck_assert_int_eq(own_mode(a, now), OWN_FULL);
    own_free(a);

    /* A sole member, whose own word is enough otherwise. */
    r = roster(1, "a");
    a = make("a", &r, 0);
    now = run(a, 0, 9000 * MS, true);
    ck_assert(own_propose(a, s, 2, now, &next));
    run(a, now, now + 1500 * MS, false);
    ck_assert_int_eq(own_mode(a, now + 1500 * MS), OWN_ISOLATED);
    own_free(a);
}
END_TEST

/* Guards against two proposers at once, and against a proposer that is live
 * but never writes. */
START_TEST(lowest_live_id_proposes_first)
{
    OwnRoster r = roster(1, "abc");
    OwnRoster next;
    Own *b = make("b", &r, 0);
    OwnSeen s[3] = {seen("a", 1, true, false), seen("c", 1, true, false),
                    seen("d", 1, true, false)};
    int64_t now = run(b, 0, 9000 * MS, true);

    ck_assert(!own_propose(b, s, 3, now, &next));
    ck_assert(!own_propose(b, s, 3, now + 1900 * MS, &next));
    ck_assert(own_propose(b, s, 3, now + 2000 * MS, &next));
    ck_assert_int_eq(next.n, 4);
    ck_assert_uint_eq(next.members[3].since, 2);
    s[0].live = false;
    own_propose_void(b, 1);
    ck_assert(own_propose(b, s, 3, now, &next));
    ck_assert_int_eq(next.n, 3);
    ck_assert_str_eq(next.lost[0].id, "a");
    own_free(b);
}
END_TEST

/* Guards against a new VM that replaces a roster whose members may act. */
START_TEST(new_vm_replaces_only_a_dead_roster)
{
    OwnRoster r = roster(4, "ab");
    OwnRoster next;
    Own *c = make("c", &r, 0);
    OwnSeen s[2] = {seen("a", 1, false, true), seen("b", 1, false, false)};
    int64_t now = run(c, 0, 9000 * MS, false);

    ck_assert(!own_propose(c, s, 2, now, &next));
    ck_assert(!own_propose(c, s, 1, now, &next));
    s[1].released = true;
    ck_assert(own_propose(c, s, 2, now, &next));
    ck_assert_int_eq(next.n, 1);
    ck_assert_int_eq(next.n_lost, 0);
    own_free(c);
    /* Itself under an older incarnation, and a restarted one. */
    OwnMember m = member("a", 2);
    Own *a = own_new(&m, 0);
    own_adopt(a, &r, 0);
    s[0] = seen("b", 2, true, false);
    ck_assert_int_eq(own_mode(a, 0), OWN_NONE);
    ck_assert(own_propose(a, s, 1, now, &next));
    ck_assert_int_eq(next.n, 2);
    ck_assert_uint_eq(next.members[0].incarnation, 2);
    ck_assert_uint_eq(next.members[0].since, 5);
    own_free(a);
}
END_TEST

/* Guards against a proposer that has just started and has heard of nobody. */
START_TEST(young_proposer_removes_nobody)
{
    OwnRoster r = roster(1, "ab");
    OwnRoster next;
    Own *a = make("a", &r, 0);

    ck_assert(!own_propose(a, NULL, 0, 1000 * MS, &next));
    ck_assert(own_propose(a, NULL, 0, 4000 * MS, &next));
    own_free(a);
}
END_TEST

/* Guards against a member that acts on a roster that the store has replaced,
 * and against one that goes back. */
START_TEST(newer_version_stops_and_older_is_ignored)
{
    OwnRoster r = roster(2, "ab");
    OwnRoster old = roster(1, "a");
    Own *a = make("a", &r, 0);
    int64_t now = run(a, 0, 2000 * MS, true);

    ck_assert(!own_adopt(a, &old, now));
    own_confirm_store(a, 1, now);
    ck_assert_int_eq(own_mode(a, now), OWN_FULL);
    own_confirm_store(a, 3, now);
    ck_assert_int_eq(own_mode(a, now), OWN_NONE);
    own_free(a);
}
END_TEST

/* Guards against a roster text that changes on its way through the store. */
START_TEST(text_round_trip)
{
    OwnRoster r = roster(7, "abc");
    OwnRoster back;
    Err e = {0};

    snprintf(r.lost[0].id, NAME_BYTES, "x");
    r.lost[0].incarnation = 3;
    r.lost[0].since = 2;
    r.lost[0].epoch = 6;
    r.n_lost = 1;
    GString *g = own_text(&r);
    ck_assert_msg(own_parse(&back, (Str){g->str, g->len}, 7, &e), "%s",
                  e.text);
    ck_assert_mem_eq(&r, &back, sizeof(r));
    ck_assert(!own_parse(&back, str_of("[roster]\nepoch=x\n"), 1, &e));
    ck_assert_ptr_nonnull(strstr(e.text, "epoch = \"x\""));
    ck_assert(!own_parse(&back, str_of("[member a]\n"), 1, &e));
    ck_assert(!own_parse(&back, str_of("junk"), 1, &e));
    for (size_t i = 0; i < g->len; i++) {
        own_parse(&back, (Str){g->str, i}, 7, &e);
    }
    g_string_free(g, TRUE);
}
END_TEST

T_MAIN("own", confirmation_lapses, pause_needs_a_new_confirmation,
       every_member_must_confirm, gaining_member_waits, skipped_epoch_waits,
       change_within_the_wait_waits, lost_member_keeps_a_reserve,
       no_promise_with_a_change_under_way,
       own_change_under_way_needs_the_store, lowest_live_id_proposes_first,
       new_vm_replaces_only_a_dead_roster, young_proposer_removes_nobody,
       newer_version_stops_and_older_is_ignored, text_round_trip)
