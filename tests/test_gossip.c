/* Tests of gossip and gossipfrag: changes forwarded between VMs. */
#include "t.h"

#include <string.h>

#include <glib.h>

#include "gossip.h"
#include "gossipfrag.h"

#define SENDER                                                                \
    {                                                                         \
        7, 1000                                                               \
    }
#define N_MAX 40
#define AGE_US 123400

typedef struct Changes {
    KvItem items[N_MAX];
    const KvItem *list[N_MAX];
    int n;
} Changes;

static void
add(Changes *f, uint64_t rev, size_t bytes)
{
    KvItem *it = &f->items[f->n];
    char *value = g_strnfill(bytes, 'v');

    *it = (KvItem){.key = g_strdup_printf("servers/u-%" G_GUINT64_FORMAT, rev),
                   .value = bytes == 0 ? NULL : g_bytes_new(value, bytes),
                   .rev = rev,
                   .deleted = bytes == 0};
    f->list[f->n++] = it;
    g_free(value);
}

static void
clear(Changes *f)
{
    for (int i = 0; i < f->n; i++) {
        g_free(f->items[i].key);
        if (f->items[i].value != NULL) {
            g_bytes_unref(f->items[i].value);
        }
    }
}

/* Guards against changes that are lost or reordered by encoding. */
START_TEST(changes_arrive_complete_and_in_order)
{
    Changes f = {.n = 0};
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];

    for (int i = 0; i < 8; i++) {
        add(&f, 101 + 3 * (uint64_t)i, i % 2 == 0 ? 0 : 100 + (size_t)i);
    }
    GossipOut o = {0, 7, 100, 190, f.list, f.n, AGE_US, SENDER, 0};
    size_t n = gossip_encode(&o, buf, sizeof(buf));
    ck_assert(gossip_is(buf, n));
    ck_assert(gossip_decode(&w, buf, n, NULL));
    ck_assert_uint_eq(w.history, 7);
    ck_assert_uint_eq(w.from, 100);
    ck_assert_uint_eq(w.page.rev, 190);
    ck_assert_int_ge(w.age_us, AGE_US);
    ck_assert_int_lt(w.age_us, AGE_US + 1000);
    ck_assert_uint_eq(w.page.items->len, (guint)f.n);
    for (int i = 0; i < f.n; i++) {
        const KvItem *it = &g_array_index(w.page.items, KvItem, i);
        ck_assert_str_eq(it->key, f.items[i].key);
        ck_assert_uint_eq(it->rev, f.items[i].rev);
        ck_assert_int_eq(it->deleted, f.items[i].deleted);
        ck_assert(it->deleted || g_bytes_equal(it->value, f.items[i].value));
    }
    kv_page_clear(&w.page);
    clear(&f);
}
END_TEST

/* Guards against a message of a VM of an earlier program, which does not know
 * of histories, that cannot be read or is taken for one of the current
 * history. */
START_TEST(message_without_a_history_has_the_number_0)
{
    Changes f = {.n = 0};
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];

    add(&f, 101, 30);
    GossipOut o = {0, 7, 100, 101, f.list, f.n, AGE_US, SENDER, 0};
    size_t n = gossip_encode(&o, buf, sizeof(buf)) - sizeof(o.history);
    gossip_add_age(buf, n, 0); /* writes the checksum of the shorter one */
    ck_assert(gossip_decode(&w, buf, n, NULL));
    ck_assert_uint_eq(w.history, 0);
    ck_assert_uint_eq(w.page.rev, 101);
    ck_assert_uint_eq(w.page.items->len, 1);
    kv_page_clear(&w.page);
    clear(&f);
}
END_TEST

static GossipOrder
order_of(const GossipOut *o, uint64_t rev)
{
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];
    size_t n = gossip_encode(o, buf, sizeof(buf));

    ck_assert(gossip_decode(&w, buf, n, NULL));
    GossipOrder result = gossip_order(rev, w.from, w.page.rev);
    ck_assert_int_eq(result == GOSSIP_MISSING, w.page.items->len == 0);
    kv_page_clear(&w.page);
    return result;
}

/* Guards against receivers that skip a configuration too long for a datagram,
 * and against a flood of datagrams when hundreds of upstreams start: the
 * receivers must find revisions missing. */
START_TEST(too_large_message_reports_missing_revisions)
{
    Changes f = {.n = 0};

    add(&f, 5, 100);
    GossipOut o = {0, 0, 1, 200, f.list, f.n, AGE_US, SENDER, 0};
    ck_assert_int_eq(order_of(&o, 1), GOSSIP_NEXT);
    add(&f, 8, 5000);
    o.n = f.n;
    ck_assert_int_eq(order_of(&o, 1), GOSSIP_MISSING);
    clear(&f);
    f.n = 0;
    for (int i = 0; i < N_MAX; i++) {
        add(&f, 101 + (uint64_t)i, 250);
    }
    o.n = f.n;
    ck_assert_int_eq(order_of(&o, 100), GOSSIP_MISSING);
    clear(&f);
}
END_TEST

/* Guards against a VM that skips changes or returns to older ones. */
START_TEST(missing_and_old_revisions_are_distinguished)
{
    ck_assert_int_eq(gossip_order(10, 10, 12), GOSSIP_NEXT);
    ck_assert_int_eq(gossip_order(10, 8, 12), GOSSIP_NEXT);
    ck_assert_int_eq(gossip_order(10, 11, 12), GOSSIP_MISSING);
    ck_assert_int_eq(gossip_order(10, 10, 10), GOSSIP_NEXT);
    ck_assert_int_eq(gossip_order(10, 12, 12), GOSSIP_MISSING);
    ck_assert_int_eq(gossip_order(10, 8, 9), GOSSIP_OLD);
    ck_assert_int_eq(gossip_order(10, 2, 5), GOSSIP_OLD);
}
END_TEST

/* Guards against two VMs that both watch, because the pause of one ends before
 * the gossip of the other arrives, and against pauses so long that a change
 * arrives after the propagation time. */
START_TEST(last_watcher_watches_again_first)
{
    const int64_t propagation_us = 2000000;
    const int64_t round_trip_us = 120000; /* between far regions */
    GossipTimes t = gossip_times(propagation_us);
    int64_t own = gossip_pause_us(propagation_us, false, 0.999);
    int64_t by_gossip = gossip_pause_us(propagation_us, true, 0);

    ck_assert_int_ge(by_gossip, own + t.wait_us + round_trip_us);
    ck_assert_int_lt(own + t.timeout_us + round_trip_us, propagation_us);
    /* Changes are at most 0.12 of the propagation time old when forwarded. */
    by_gossip = gossip_pause_us(propagation_us, true, 0.999);
    ck_assert_int_lt(by_gossip + propagation_us * 12 / 100 + round_trip_us,
                     propagation_us);
}
END_TEST

/* Guards against a copy that is older than the propagation time before its
 * next watch is answered, as gossip was old, or as the store waits for events.
 */
START_TEST(old_copies_are_confirmed_in_time)
{
    static const int64_t propagations_us[] = {1600000, 2100000, 3600000};
    const int64_t answer_us = 350000; /* a round trip and a lost packet */

    for (size_t i = 0; i < G_N_ELEMENTS(propagations_us); i++) {
        int64_t p_us = propagations_us[i];
        int64_t wait_us = gossip_times(p_us).wait_us;
        for (int64_t age_us = 0; age_us <= p_us - answer_us; age_us += 5000) {
            int64_t last_us = gossip_deferral_us(p_us, age_us, 0.999);
            ck_assert_int_le(gossip_deferral_us(p_us, age_us, 0), last_us);
            ck_assert_int_le(age_us + last_us + answer_us, p_us);
            ck_assert_int_le(age_us + gossip_wait_us(p_us, age_us) + answer_us,
                             p_us);
        }
        /* Recent gossip defers by the whole pause, and the store waits. */
        ck_assert_int_eq(gossip_deferral_us(p_us, 0, 0),
                         gossip_pause_us(p_us, true, 0));
        ck_assert_int_eq(gossip_wait_us(p_us, 0), wait_us);
        ck_assert_int_eq(gossip_deferral_us(p_us, 2 * p_us, 0.5), 0);
        ck_assert_int_eq(gossip_wait_us(p_us, 2 * p_us), 0);
    }
}
END_TEST

/* Guards against forwarding out-of-date answers after the machine was
 * suspended, and answers shortly after a failure of the store, when entries
 * may be missing for a moment only. */
START_TEST(stale_answers_are_not_forwarded)
{
    ck_assert(gossip_is_fresh(2000000, 630000, INT64_MAX));
    ck_assert(!gossip_is_fresh(2000000, 1500000, INT64_MAX));
    ck_assert(!gossip_is_fresh(2000000, 30000, 1000000));
}
END_TEST

/* Guards against malformed datagrams that crash the program or are accepted as
 * gossip. */
START_TEST(malformed_datagrams_are_rejected)
{
    Changes f = {.n = 0};
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];

    add(&f, 5, 100);
    GossipOut o = {0, 0, 1, 20, f.list, f.n, AGE_US, SENDER, 0};
    size_t n = gossip_encode(&o, buf, sizeof(buf));
    for (size_t cut = 0; cut < n; cut++) {
        ck_assert(!gossip_decode(&w, buf, cut, NULL));
    }
    buf[0] ^= 1;
    ck_assert(!gossip_is(buf, n));
    clear(&f);
}
END_TEST

/* Adds the fragments, last first if reverse, without the one at index lost. */
static GossipFragResult
add_fragments(GossipFrag *s, GPtrArray *fragments, bool reverse, int lost,
              Gossip *w)
{
    GossipFragResult result = GOSSIPFRAG_MORE;

    for (guint i = 0; i < fragments->len; i++) {
        gsize n;
        guint k = reverse ? fragments->len - 1 - i : i;
        const char *p = g_bytes_get_data(g_ptr_array_index(fragments, k), &n);
        ck_assert(gossipfrag_is(p, n));
        ck_assert(!gossip_is(p, n));
        ck_assert_uint_le(n, GOSSIP_BYTES_MAX);
        if ((int)k != lost) {
            result = gossipfrag_add(s, p, n, 0, w);
        }
    }
    return result;
}

/* Guards against all VMs of a zone asking the store when many upstreams
 * change at once or the configuration is long, and against messages accepted
 * with a fragment missing. */
START_TEST(large_messages_are_fragmented)
{
    Changes f = {.n = 0};
    GossipFrag *s = gossipfrag_new();
    GRand *rnd = g_rand_new_with_seed(3);
    Gossip w;

    for (int i = 0; i < N_MAX; i++) {
        /* Random bytes, so that several fragments remain after compression. */
        char noise[400];
        for (size_t k = 0; k < sizeof(noise); k++) {
            noise[k] = (char)g_rand_int(rnd);
        }
        add(&f, 101 + (uint64_t)i, i == 7 ? 30000 : 250);
        if (i != 7) {
            g_bytes_unref(f.items[i].value);
            f.items[i].value = g_bytes_new(noise, sizeof(noise));
        }
    }
    GossipOut o = {0, 0, 100, 190, f.list, f.n, AGE_US, SENDER, 0};
    ck_assert(!gossip_fits(&o));
    GPtrArray *fragments = gossipfrag_split(&o, 1);
    ck_assert_uint_gt(fragments->len, 1);
    ck_assert_int_eq(add_fragments(s, fragments, false, 0, &w),
                     GOSSIPFRAG_MORE);
    ck_assert_int_eq(add_fragments(s, fragments, true, -1, &w),
                     GOSSIPFRAG_COMPLETE);
    ck_assert_uint_eq(w.from, 100);
    ck_assert_uint_eq(w.page.rev, 190);
    ck_assert_uint_eq(w.page.items->len, (guint)f.n);
    for (int i = 0; i < f.n; i++) {
        const KvItem *it = &g_array_index(w.page.items, KvItem, i);
        ck_assert_uint_eq(it->rev, f.items[i].rev);
        ck_assert(g_bytes_equal(it->value, f.items[i].value));
    }
    kv_page_clear(&w.page);
    /* The same fragments again do not form a second message. */
    ck_assert_int_eq(add_fragments(s, fragments, false, -1, &w),
                     GOSSIPFRAG_MORE);
    g_ptr_array_free(fragments, TRUE);
    gossipfrag_free(s);
    g_rand_free(rnd);
    clear(&f);
}
END_TEST

/* Guards against a message that counts as newer than its first fragment, when
 * others arrive late. */
START_TEST(age_counts_from_the_first_fragment)
{
    static const int64_t late_us[] = {0, 300000, 50000};
    Changes f = {.n = 0};
    GossipFrag *s = gossipfrag_new();
    GRand *rnd = g_rand_new_with_seed(5);
    char noise[3000]; /* does not compress */
    Gossip w;
    int64_t since_us = 0;

    for (size_t k = 0; k < sizeof(noise); k++) {
        noise[k] = (char)g_rand_int(rnd);
    }
    add(&f, 101, 1);
    g_bytes_unref(f.items[0].value);
    f.items[0].value = g_bytes_new(noise, sizeof(noise));
    GossipOut o = {0, 0, 100, 101, f.list, f.n, AGE_US, SENDER, 0};
    GPtrArray *fragments = gossipfrag_split(&o, 1);
    ck_assert_uint_eq(fragments->len, G_N_ELEMENTS(late_us));
    for (guint i = 0; i < fragments->len; i++) {
        gsize n;
        const char *p = g_bytes_get_data(g_ptr_array_index(fragments, i), &n);
        char *copy = g_memdup2(p, n);
        int64_t waited_us = 100000 * i;
        gossipfrag_add_wait(copy, n, waited_us);
        since_us = MAX(since_us, waited_us + late_us[i]);
        GossipFragResult result = gossipfrag_add(s, copy, n, since_us, &w);
        ck_assert_int_eq(result == GOSSIPFRAG_COMPLETE,
                         i + 1 == fragments->len);
        g_free(copy);
    }
    ck_assert_int_ge(w.age_us, AGE_US + since_us);
    ck_assert_int_lt(w.age_us, AGE_US + since_us + 1000);
    kv_page_clear(&w.page);
    g_ptr_array_free(fragments, TRUE);
    gossipfrag_free(s);
    g_rand_free(rnd);
    clear(&f);
}
END_TEST

/* Guards against malformed fragments that crash the program or exhaust
 * memory. */
START_TEST(malformed_fragments_are_rejected)
{
    Changes f = {.n = 0};
    GossipFrag *s = gossipfrag_new();
    GRand *rnd = g_rand_new_with_seed(4);
    Gossip w;
    gsize n;

    for (int i = 0; i < N_MAX; i++) {
        add(&f, 101 + (uint64_t)i, 250);
    }
    GossipOut o = {0, 0, 100, 190, f.list, f.n, AGE_US, SENDER, 0};
    GPtrArray *fragments = gossipfrag_split(&o, 1);
    const char *p = g_bytes_get_data(g_ptr_array_index(fragments, 0), &n);
    for (int i = 0; i < 20000; i++) {
        char *copy = g_memdup2(p, n);
        copy[4 + g_rand_int_range(rnd, 0, (int)n - 4)] ^=
            (char)(1 << g_rand_int_range(rnd, 0, 8));
        gsize cut = (gsize)g_rand_int_range(rnd, 0, (int)n + 1);
        if (gossipfrag_add(s, copy, i % 2 == 0 ? n : cut, 0, &w) ==
            GOSSIPFRAG_COMPLETE) {
            kv_page_clear(&w.page);
        }
        g_free(copy);
    }
    g_ptr_array_free(fragments, TRUE);
    gossipfrag_free(s);
    g_rand_free(rnd);
    clear(&f);
}
END_TEST

T_MAIN("news", changes_arrive_complete_and_in_order,
       message_without_a_history_has_the_number_0,
       too_large_message_reports_missing_revisions,
       missing_and_old_revisions_are_distinguished,
       last_watcher_watches_again_first, old_copies_are_confirmed_in_time,
       stale_answers_are_not_forwarded, malformed_datagrams_are_rejected,
       large_messages_are_fragmented, age_counts_from_the_first_fragment,
       malformed_fragments_are_rejected)
