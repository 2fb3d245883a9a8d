/* Tests of gossip: messages that were damaged, and mixed fragments. */
#include "t.h"

#include <string.h>

#include "gossip.h"
#include "gossipfrag.h"

#define VALUE_BYTES 3000 /* several fragments */

static GossipOut
message(KvItem *it, const KvItem **list, guint32 seed, size_t bytes)
{
    GRand *rnd = g_rand_new_with_seed(seed);
    guint8 *value = g_malloc(bytes);

    for (size_t i = 0; i < bytes; i++) {
        value[i] = (guint8)g_rand_int(rnd);
    }
    *it = (KvItem){.key = g_strdup("servers/u-1"),
                   .value = g_bytes_new_take(value, bytes),
                   .rev = 101};
    *list = it;
    g_rand_free(rnd);
    return (GossipOut){.from = 100, .to = 101, .items = list, .n = 1};
}

static void
clear_item(KvItem *it)
{
    g_free(it->key);
    g_bytes_unref(it->value);
}

/* Guards against a VM that takes over a message in which a bit has changed on
 * the way. */
START_TEST(message_with_a_flipped_bit_is_not_read)
{
    KvItem it;
    const KvItem *list;
    char buf[GOSSIP_BYTES_MAX];
    GossipOut o = message(&it, &list, 1, 100);
    size_t n = gossip_encode(&o, buf, sizeof(buf));
    int accepted = 0;

    for (size_t bit = 32; bit < n * 8; bit++) {
        Gossip w;
        buf[bit / 8] ^= (char)(1 << bit % 8);
        if (gossip_decode(&w, buf, n, NULL)) {
            accepted++;
            kv_page_clear(&w.page);
        }
        buf[bit / 8] ^= (char)(1 << bit % 8);
    }
    ck_assert_int_eq(accepted, 0);
    clear_item(&it);
}
END_TEST

/* Passes the fragments but the one at "other" from a, that one from b.
 * Returns whether a message was complete. */
static bool
complete(GPtrArray *a, GPtrArray *b, guint other)
{
    GossipFrag *s = gossipfrag_new();
    bool done = false;

    for (guint i = 0; i < a->len; i++) {
        gsize n;
        Gossip w;
        const char *p =
            g_bytes_get_data(g_ptr_array_index(i == other ? b : a, i), &n);
        if (gossipfrag_add(s, p, n, 0, &w) == GOSSIPFRAG_COMPLETE) {
            done = true;
            kv_page_clear(&w.page);
        }
    }
    gossipfrag_free(s);
    return done;
}

/* The same for a message in fragments. */
START_TEST(fragment_with_a_flipped_bit_is_not_read)
{
    KvItem it;
    const KvItem *list;
    GossipOut o = message(&it, &list, 1, VALUE_BYTES);
    GPtrArray *a = gossipfrag_split(&o, 1);
    GPtrArray *b = gossipfrag_split(&o, 1);
    gsize n;
    int accepted = 0;

    ck_assert(complete(a, a, 0));
    guint8 *p =
        (guint8 *)(uintptr_t)g_bytes_get_data(g_ptr_array_index(b, 1), &n);
    for (gsize at = n / 2; at < n; at++) {
        p[at] ^= 1;
        accepted += complete(a, b, 1) ? 1 : 0;
        p[at] ^= 1;
    }
    ck_assert_int_eq(accepted, 0);
    g_ptr_array_free(a, TRUE);
    g_ptr_array_free(b, TRUE);
    clear_item(&it);
}
END_TEST

/* Guards against a message that is put together from those of two VMs. */
START_TEST(mixed_fragments_are_not_read)
{
    KvItem its[2];
    const KvItem *lists[2];
    GossipOut o1 = message(&its[0], &lists[0], 1, VALUE_BYTES);
    GossipOut o2 = message(&its[1], &lists[1], 2, VALUE_BYTES);
    GPtrArray *a = gossipfrag_split(&o1, 1);
    GPtrArray *b = gossipfrag_split(&o2, 1);

    ck_assert_uint_eq(a->len, b->len);
    ck_assert(!complete(a, b, 1));
    g_ptr_array_free(a, TRUE);
    g_ptr_array_free(b, TRUE);
    clear_item(&its[0]);
    clear_item(&its[1]);
}
END_TEST

T_MAIN("gossip_damage", message_with_a_flipped_bit_is_not_read,
       fragment_with_a_flipped_bit_is_not_read, mixed_fragments_are_not_read)
