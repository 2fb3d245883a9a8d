/* Tests of news: changes of the store told within a region. */
#include "t.h"

#include <string.h>

#include <glib.h>

#include "gossip.h"
#include "gossipfrag.h"

#define N_MAX 40

typedef struct Feed {
    KvItem items[N_MAX];
    const KvItem *list[N_MAX];
    int n;
} Feed;

static void
add(Feed *f, uint64_t rev, size_t bytes)
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
clear(Feed *f)
{
    for (int i = 0; i < f->n; i++) {
        g_free(f->items[i].key);
        if (f->items[i].value != NULL) {
            g_bytes_unref(f->items[i].value);
        }
    }
}

/* Guards against changes that are lost or swapped on the way. */
START_TEST(changes_arrive_whole_and_in_order)
{
    Feed f = {.n = 0};
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];

    for (int i = 0; i < 8; i++) {
        add(&f, 101 + 3 * (uint64_t)i, i % 2 == 0 ? 0 : 100 + (size_t)i);
    }
    GossipOut o = {0, 100, 190, f.list, f.n};
    size_t n = gossip_encode(&o, buf, sizeof(buf));
    ck_assert(gossip_is(buf, n));
    ck_assert(gossip_decode(&w, buf, n, NULL));
    ck_assert_uint_eq(w.from, 100);
    ck_assert_uint_eq(w.page.rev, 190);
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

static GossipOrder
use_of(const GossipOut *o, uint64_t rev)
{
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];
    size_t n = gossip_encode(o, buf, sizeof(buf));

    ck_assert(gossip_decode(&w, buf, n, NULL));
    GossipOrder use = gossip_order(rev, w.from, w.page.rev);
    ck_assert_int_eq(use == GOSSIP_MISSING, w.page.items->len == 0);
    kv_page_clear(&w.page);
    return use;
}

/* Guards against a configuration that is too long for a datagram and that
 * the others then believe to have seen, and against a flood of datagrams
 * where hundreds of upstreams start. */
START_TEST(what_does_not_fit_is_a_gap)
{
    Feed f = {.n = 0};

    add(&f, 5, 100);
    GossipOut o = {0, 1, 200, f.list, f.n};
    ck_assert_int_eq(use_of(&o, 1), GOSSIP_NEXT);
    add(&f, 8, 5000);
    o.n = f.n;
    ck_assert_int_eq(use_of(&o, 1), GOSSIP_MISSING);
    clear(&f);
    f.n = 0;
    for (int i = 0; i < N_MAX; i++) {
        add(&f, 101 + (uint64_t)i, 250);
    }
    o.n = f.n;
    ck_assert_int_eq(use_of(&o, 100), GOSSIP_MISSING);
    clear(&f);
}
END_TEST

/* Guards against a view that skips changes, or goes back to older ones. */
START_TEST(gaps_and_old_news_are_told_apart)
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

/* Guards against two VMs that both watch, and against a pause that breaks
 * the time in which a change has to be known. */
START_TEST(the_vm_that_watched_last_watches_again_first)
{
    const int64_t notice_us = 2000000;
    const int64_t round_trip_us = 120000; /* between far regions */
    GossipTimes t = gossip_times(notice_us);
    int64_t own = gossip_pause_us(notice_us, false, 0.999);
    int64_t heard = gossip_pause_us(notice_us, true, 0);

    ck_assert_int_ge(heard, own + t.wait_us + round_trip_us);
    ck_assert_int_lt(own + t.timeout_us + round_trip_us, notice_us);
    /* What was told had an age of 0.12 of the time at most. */
    heard = gossip_pause_us(notice_us, true, 0.999);
    ck_assert_int_lt(heard + notice_us * 12 / 100 + round_trip_us, notice_us);
}
END_TEST

/* Guards against old news of a machine that stood still, or of a time in
 * which entries were missing for a moment only. */
START_TEST(stale_or_troubled_views_are_not_told)
{
    ck_assert(gossip_is_fresh(2000000, 630000, INT64_MAX));
    ck_assert(!gossip_is_fresh(2000000, 1500000, INT64_MAX));
    ck_assert(!gossip_is_fresh(2000000, 30000, 1000000));
}
END_TEST

/* Guards against bytes of others that stop the program or pass as news. */
START_TEST(broken_datagrams_are_refused)
{
    Feed f = {.n = 0};
    Gossip w;
    char buf[GOSSIP_BYTES_MAX];

    add(&f, 5, 100);
    GossipOut o = {0, 1, 20, f.list, f.n};
    size_t n = gossip_encode(&o, buf, sizeof(buf));
    for (size_t cut = 0; cut < n; cut++) {
        ck_assert(!gossip_decode(&w, buf, cut, NULL));
    }
    buf[0] ^= 1;
    ck_assert(!gossip_is(buf, n));
    clear(&f);
}
END_TEST

/* Hands over the parts in the order given, without the one at "lost". */
static GossipFragResult
hand_over(GossipFrag *s, GPtrArray *parts, bool back, int lost, Gossip *w)
{
    GossipFragResult use = GOSSIPFRAG_MORE;

    for (guint i = 0; i < parts->len; i++) {
        gsize n;
        guint k = back ? parts->len - 1 - i : i;
        const char *p = g_bytes_get_data(g_ptr_array_index(parts, k), &n);
        ck_assert(gossipfrag_is(p, n));
        ck_assert(!gossip_is(p, n));
        ck_assert_uint_le(n, GOSSIP_BYTES_MAX);
        if ((int)k != lost) {
            use = gossipfrag_add(s, p, n, w);
        }
    }
    return use;
}

/* Guards against all VMs of a zone asking the store when many upstreams
 * change at once or the configuration is long, and against news that are
 * taken with a part missing. */
START_TEST(long_news_travel_in_parts)
{
    Feed f = {.n = 0};
    GossipFrag *s = gossipfrag_new();
    GRand *rnd = g_rand_new_with_seed(3);
    Gossip w;

    for (int i = 0; i < N_MAX; i++) {
        /* Random bytes, so that compression leaves several parts. */
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
    GossipOut o = {0, 100, 190, f.list, f.n};
    ck_assert(!gossip_fits(&o));
    GPtrArray *parts = gossipfrag_split(&o, 1);
    ck_assert_uint_gt(parts->len, 1);
    ck_assert_int_eq(hand_over(s, parts, false, 0, &w), GOSSIPFRAG_MORE);
    ck_assert_int_eq(hand_over(s, parts, true, -1, &w), GOSSIPFRAG_COMPLETE);
    ck_assert_uint_eq(w.from, 100);
    ck_assert_uint_eq(w.page.rev, 190);
    ck_assert_uint_eq(w.page.items->len, (guint)f.n);
    for (int i = 0; i < f.n; i++) {
        const KvItem *it = &g_array_index(w.page.items, KvItem, i);
        ck_assert_uint_eq(it->rev, f.items[i].rev);
        ck_assert(g_bytes_equal(it->value, f.items[i].value));
    }
    kv_page_clear(&w.page);
    /* The same parts again are not news again. */
    ck_assert_int_eq(hand_over(s, parts, false, -1, &w), GOSSIPFRAG_MORE);
    g_ptr_array_free(parts, TRUE);
    gossipfrag_free(s);
    g_rand_free(rnd);
    clear(&f);
}
END_TEST

/* Guards against memory or a crash that bytes of others can cause. */
START_TEST(broken_parts_are_refused)
{
    Feed f = {.n = 0};
    GossipFrag *s = gossipfrag_new();
    GRand *rnd = g_rand_new_with_seed(4);
    Gossip w;
    gsize n;

    for (int i = 0; i < N_MAX; i++) {
        add(&f, 101 + (uint64_t)i, 250);
    }
    GossipOut o = {0, 100, 190, f.list, f.n};
    GPtrArray *parts = gossipfrag_split(&o, 1);
    const char *p = g_bytes_get_data(g_ptr_array_index(parts, 0), &n);
    for (int i = 0; i < 20000; i++) {
        char *copy = g_memdup2(p, n);
        copy[4 + g_rand_int_range(rnd, 0, (int)n - 4)] ^=
            (char)(1 << g_rand_int_range(rnd, 0, 8));
        gsize cut = (gsize)g_rand_int_range(rnd, 0, (int)n + 1);
        if (gossipfrag_add(s, copy, i % 2 == 0 ? n : cut, &w) ==
            GOSSIPFRAG_COMPLETE) {
            kv_page_clear(&w.page);
        }
        g_free(copy);
    }
    g_ptr_array_free(parts, TRUE);
    gossipfrag_free(s);
    g_rand_free(rnd);
    clear(&f);
}
END_TEST

T_MAIN("news", changes_arrive_whole_and_in_order, what_does_not_fit_is_a_gap,
       gaps_and_old_news_are_told_apart,
       the_vm_that_watched_last_watches_again_first,
       stale_or_troubled_views_are_not_told, broken_datagrams_are_refused,
       long_news_travel_in_parts, broken_parts_are_refused)
