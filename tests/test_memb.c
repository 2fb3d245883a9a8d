/* Tests of membership, the store budget and configuration envelopes. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "cfg.h"
#include "memb.h"
#include "storelimit.h"

#define MS INT64_C(1000)

static MembVm
vm(const char *id, const char *zone, uint64_t incarnation)
{
    MembVm v = {.incarnation = incarnation};

    strcpy(v.id, id);
    strcpy(v.zone, zone);
    strcpy(v.control, "127.0.0.1:1");
    return v;
}

/* Guards against a dead VM that stays, and a live one that is removed. */
START_TEST(silent_vms_go)
{
    MembVm self = vm("b", "z", 1);
    MembVm a = vm("a", "z", 1);
    Memb *m = memb_new(&self, 0);

    ck_assert(memb_news(m, &a, 0, 0));
    ck_assert_str_eq(memb_relay(m, "z")->id, "a");
    for (int64_t t = 0; t <= 3000 * MS; t += 100 * MS) {
        memb_step(m, t);
        MembState want = t <= SUSPECT_MS * MS  ? MEMB_LIVE
                         : t <= REMOVE_MS * MS ? MEMB_SUSPECT
                                               : MEMB_GONE;
        ck_assert_int_eq(memb_find(m, "a")->state, want);
    }
    ck_assert_str_eq(memb_relay(m, "z")->id, "b");
    memb_free(m);
}
END_TEST

/* Guards against news of an earlier start or an earlier time. */
START_TEST(old_news_is_ignored)
{
    MembVm self = vm("b", "z", 1);
    MembVm a = vm("a", "z", 5);
    Memb *m = memb_new(&self, 0);

    memb_news(m, &a, 0, 1000 * MS);
    a.incarnation = 4;
    a.leaving = true;
    ck_assert(!memb_news(m, &a, 0, 1100 * MS));
    a.incarnation = 5;
    ck_assert(!memb_news(m, &a, 500 * MS, 1100 * MS));
    ck_assert(!memb_find(m, "a")->leaving);
    ck_assert(memb_news(m, &a, 50 * MS, 1100 * MS));
    ck_assert(memb_find(m, "a")->leaving);
    memb_free(m);
}
END_TEST

/* Guards against a process that was paused and then takes all others as gone,
 * though only it was silent. */
START_TEST(pause_removes_nobody)
{
    MembVm self = vm("b", "z", 1);
    MembVm a = vm("a", "z", 1);
    Memb *m = memb_new(&self, 0);

    memb_news(m, &a, 0, 0);
    memb_step(m, 0);
    memb_step(m, 30000 * MS);
    ck_assert_int_eq(memb_find(m, "a")->state, MEMB_SUSPECT);
    memb_news(m, &a, 0, 30100 * MS);
    memb_step(m, 30200 * MS);
    ck_assert_int_eq(memb_find(m, "a")->state, MEMB_LIVE);
    memb_free(m);
}
END_TEST

/* Guards against a hint of the VM list that removes a VM that is heard. */
START_TEST(hints_shorten_only)
{
    MembVm self = vm("b", "z", 1);
    MembVm a = vm("a", "z", 1);
    Memb *m = memb_new(&self, 0);

    memb_news(m, &a, 0, 0);
    memb_hint(m, "a", true, true, 0);
    ck_assert(memb_find(m, "a")->leaving);
    for (int64_t t = 0; t < 5000 * MS; t += 100 * MS) {
        if (t % (500 * MS) == 0) {
            memb_news(m, &a, 0, t);
            memb_hint(m, "a", false, false, t);
        }
        memb_step(m, t);
        ck_assert_int_eq(memb_find(m, "a")->state, MEMB_LIVE);
    }
    memb_step(m, 5500 * MS);
    memb_step(m, 5800 * MS);
    ck_assert_int_eq(memb_find(m, "a")->state, MEMB_GONE);
    memb_free(m);
}
END_TEST

/* Guards against heartbeats whose number grows with the square of a zone. */
START_TEST(peers_are_bounded)
{
    MembVm self = vm("m-500", "z", 1);
    Memb *m = memb_new(&self, 0);
    int index[VMS_PER_ZONE_MAX];
    char id[NAME_BYTES];

    for (int i = 0; i < 40; i++) {
        snprintf(id, sizeof(id), "m-%d", 100 + i);
        MembVm v = vm(id, i < 30 ? "z" : "y", 1);
        memb_news(m, &v, 0, 0);
        int n = memb_peers(m, index, VMS_PER_ZONE_MAX);
        int in_zone = MIN(i + 1, 30);
        ck_assert_int_le(n, MEMB_DIRECT);
        ck_assert_int_ge(n, in_zone <= MEMB_DIRECT ? in_zone : MEMB_NEXT);
    }
    memb_free(m);
}
END_TEST

/* Guards against calls over the budget and in the backoff. */
START_TEST(store_calls_are_bounded)
{
    StoreLimit q;
    GRand *r = g_rand_new_with_seed(1);
    int64_t retry = 0;
    int n = 0;

    storelimit_init(&q, 2.0, 10.0, 0);
    for (int64_t t = 0; t < 60000 * MS; t += 10 * MS) {
        n += storelimit_take(&q, t, &retry);
    }
    ck_assert_int_le(n, 130);
    ck_assert_int_ge(n, 128);
    for (int i = 0; i < 20; i++) {
        storelimit_fail(&q, r, 0);
        ck_assert_int_le(q.not_before_us, STORE_BACKOFF_MAX_MS * MS);
    }
    q.not_before_us = 70000 * MS;
    ck_assert(!storelimit_take(&q, 69000 * MS, &retry));
    ck_assert_int_eq(retry, 70000 * MS);
    storelimit_ok(&q);
    ck_assert(storelimit_take(&q, 69000 * MS, &retry));
    g_rand_free(r);
}
END_TEST

#define UUID_A "11111111-2222-3333-4444-555555555555"
#define UUID_B "11111111-2222-3333-4444-666666666666"

static CfgOfferResult
offer(Cfg *c, uint64_t version, const char *id, const char *text, int flip)
{
    Err e = {0};
    gsize n;
    GBytes *b = cfg_encode(version, id, str_of(text), &e);
    char *copy = g_memdup2(g_bytes_get_data(b, &n), g_bytes_get_size(b));

    n = g_bytes_get_size(b);
    if (flip >= 0) {
        copy[flip % (int)n] ^= 4;
    }
    CfgOfferResult t = cfg_offer(c, (Str){copy, n}, 0, &e);
    ck_assert(t == CFG_ADOPTED || t == CFG_SAME || t == CFG_OLDER ||
              e.text[0] != '\0');
    g_free(copy);
    g_bytes_unref(b);
    return t;
}

/* Guards against a configuration that reverts, and against a malformed one
 * that takes the place of the running one. */
START_TEST(configuration_goes_up_only)
{
    gchar *text = NULL;
    Cfg *c = cfg_new();

    ck_assert(g_file_get_contents("examples/demo.ini", &text, NULL, NULL));
    ck_assert_int_eq(offer(c, 5, UUID_A, text, -1), CFG_ADOPTED);
    ck_assert_int_eq(offer(c, 5, UUID_A, text, -1), CFG_SAME);
    ck_assert_int_eq(offer(c, 4, UUID_B, text, -1), CFG_OLDER);
    ck_assert_int_eq(offer(c, 5, UUID_B, text, -1), CFG_CONFLICT);
    ck_assert_int_eq(offer(c, 6, UUID_B, "[nothing]\n", -1), CFG_BAD);
    for (int i = 0; i < 400; i++) {
        ck_assert_int_eq(offer(c, 7, UUID_B, text, i), CFG_BAD);
    }
    ck_assert_uint_eq(cfg_version(c), 5);
    ck_assert_int_eq(offer(c, 6, UUID_B, text, -1), CFG_ADOPTED);
    ck_assert_str_eq(cfg_change_id(c), UUID_B);
    cfg_free(c);
    g_free(text);
}
END_TEST

/* Guards against a lost answer that is taken for a failure or a success. */
START_TEST(lost_write_is_resolved)
{
    ck_assert_int_eq(cfg_resolve(3, UUID_A, 3, UUID_B), CFG_NOT_YET);
    ck_assert_int_eq(cfg_resolve(3, UUID_A, 4, UUID_A), CFG_WROTE);
    ck_assert_int_eq(cfg_resolve(3, UUID_A, 4, UUID_B), CFG_LOST_RACE);
    ck_assert_int_eq(cfg_resolve(3, UUID_A, 5, UUID_B), CFG_SUPERSEDED);
}
END_TEST

T_MAIN("memb", silent_vms_go, old_news_is_ignored, pause_removes_nobody,
       hints_shorten_only, peers_are_bounded, store_calls_are_bounded,
       configuration_goes_up_only, lost_write_is_resolved)
