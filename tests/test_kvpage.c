/* Tests of kvpage: which events of an answer are kept. */
#include "t.h"

#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "kvcache.h"
#include "kvpage.h"
#include "pf.h"

#define KEYS 3
#define EVENTS 12
#define SEEDS 200

/* Appends an event; value NULL: a removal. */
static void
add_event(GString *out, const char *key, uint64_t rev, const char *value)
{
    g_string_append(out, out->str[out->len - 1] == '[' ? "" : ",");
    if (value == NULL) {
        g_string_append_printf(out,
                               "{\"Key\":\"%s\",\"Rev\":%" G_GUINT64_FORMAT
                               ",\"Deleted\":true}",
                               key, rev);
        return;
    }
    char *base64 = g_base64_encode((const guchar *)value, strlen(value));
    g_string_append_printf(
        out, "{\"Key\":\"%s\",\"Value\":\"%s\",\"Rev\":%" G_GUINT64_FORMAT "}",
        key, base64, rev);
    g_free(base64);
}

/* Reads an answer that ends with these bytes. */
static KvPage
read_kind(KvPageKind kind, GString *text, uint64_t rev)
{
    DlogOpts lo = {STDERR_FILENO, 100, 65536};
    Dlog *log = dlog_new(&lo);
    KvPages pages = {&pf_kv, log, "", 0};
    KvPage p;

    g_string_append_printf(text, "],\"CurrentRev\":%" G_GUINT64_FORMAT "}",
                           rev);
    ck_assert(kvpage_read(&pages, kind, (Str){text->str, text->len}, &p));
    g_string_free(text, TRUE);
    dlog_free(log);
    return p;
}

/* Returns "KEY=VALUE@REV " for each item, without "=VALUE" if removed. */
static char *
items_text(const KvPage *p)
{
    GString *out = g_string_new("");

    for (guint i = 0; i < p->items->len; i++) {
        const KvItem *it = &g_array_index(p->items, KvItem, i);
        g_string_append(out, it->key);
        if (!it->deleted) {
            gsize n;
            const char *value = g_bytes_get_data(it->value, &n);
            g_string_append_printf(out, "=%.*s", (int)n, value);
        }
        g_string_append_printf(out, "@%" G_GUINT64_FORMAT " ", it->rev);
    }
    return g_string_free(out, FALSE);
}

static void
assert_items(GString *text, uint64_t rev, int n_sent, const char *expected)
{
    KvPage p = read_kind(KVPAGE_EVENTS, text, rev);
    char *items = items_text(&p);

    ck_assert_str_eq(items, expected);
    ck_assert_uint_eq(p.rev, rev);
    ck_assert_int_eq(p.n_sent, n_sent);
    g_free(items);
    kv_page_clear(&p);
}

/* Guards against requests that wait while each of several versions of a
 * configuration is parsed and put in force. */
START_TEST(replaced_values_are_dropped)
{
    GString *text = g_string_new("{\"events\":[");

    add_event(text, "op/config", 11, "one");
    add_event(text, "servers/a", 12, "x");
    add_event(text, "op/config", 13, "two");
    add_event(text, "servers/b", 14, "y");
    add_event(text, "op/config", 15, "three");
    assert_items(text, 20, 5,
                 "servers/a=x@12 servers/b=y@14 op/config=three@15 ");
}
END_TEST

/* Guards against an upstream, or a drained zone, that vanished and came back
 * and is not seen to have done so: it counts as missing since then, and its
 * targets may have become cold.  A value that is removed again is of no use.
 */
START_TEST(removals_are_kept)
{
    GString *text = g_string_new("{\"events\":[");

    add_event(text, "servers/a", 11, "x");
    add_event(text, "servers/a", 12, NULL);
    assert_items(text, 12, 2, "servers/a@12 ");

    text = g_string_new("{\"events\":[");
    add_event(text, "servers/a", 11, NULL);
    add_event(text, "servers/a", 12, "x");
    assert_items(text, 12, 2, "servers/a@11 servers/a=x@12 ");

    text = g_string_new("{\"events\":[");
    add_event(text, "servers/a", 11, "x");
    add_event(text, "servers/a", 12, NULL);
    add_event(text, "servers/b", 13, "z");
    add_event(text, "servers/a", 14, "y");
    add_event(text, "servers/a", 15, "w");
    assert_items(text, 19, 5, "servers/a@12 servers/b=z@13 servers/a=w@15 ");
}
END_TEST

/* Guards against an older value that replaces a newer one in an answer that is
 * not in the order of the revisions. */
START_TEST(newest_value_is_kept_in_any_order)
{
    GString *text = g_string_new("{\"events\":[");

    add_event(text, "servers/a", 15, "new");
    add_event(text, "servers/a", 11, "old");
    assert_items(text, 19, 2, "servers/a=new@15 servers/a=old@11 ");
}
END_TEST

/* Guards against an answer that does not count as full, as events in it were
 * dropped or could not be read. */
START_TEST(all_events_sent_are_counted)
{
    GString *text = g_string_new("{\"events\":[{}");

    add_event(text, "servers/a", 11, "x");
    add_event(text, "servers/a", 12, "y");
    assert_items(text, 19, 3, "servers/a=y@12 ");
}
END_TEST

/* Guards against a list that loses items. */
START_TEST(lists_are_unchanged)
{
    GString *text = g_string_new("{\"items\":[");

    add_event(text, "servers/a", 11, "x");
    add_event(text, "servers/b", 9, "y");
    KvPage p = read_kind(KVPAGE_LIST, text, 19);
    char *items = items_text(&p);
    ck_assert_str_eq(items, "servers/a=x@11 servers/b=y@9 ");
    ck_assert_int_eq(p.n_sent, 2);
    g_free(items);
    kv_page_clear(&p);
}
END_TEST

typedef struct Event {
    char key[16];
    bool removed;
} Event;

/* The state of a copy. */
typedef struct Copy {
    KvCache *cache;
    GHashTable *revs;    /* key -> revision of its value */
    GHashTable *removed; /* keys that were removed at least once */
} Copy;

static void
on_change(void *ctx, const char *key, GBytes *value, uint64_t rev,
          int64_t now_us)
{
    Copy *c = ctx;
    (void)now_us;

    if (value == NULL) {
        g_hash_table_remove(c->revs, key);
        g_hash_table_insert(c->removed, g_strdup(key), NULL);
        return;
    }
    g_hash_table_insert(c->revs, g_strdup(key), GUINT_TO_POINTER((guint)rev));
}

static void
copy_init(Copy *c)
{
    c->cache = kvcache_new(on_change, c);
    c->revs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->removed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
copy_free(Copy *c)
{
    kvcache_free(c->cache);
    g_hash_table_destroy(c->revs);
    g_hash_table_destroy(c->removed);
}

/* Returns a page with the events after "from", up to "to", as the store sent
 * them; the event at index i has revision i + 1. */
static KvPage
whole_page(const Event *events, uint64_t from, uint64_t to)
{
    KvPage p = {.items = g_array_new(FALSE, TRUE, sizeof(KvItem)), .rev = to};

    for (uint64_t rev = from + 1; rev <= to; rev++) {
        const Event *e = &events[rev - 1];
        KvItem it = {.key = g_strdup(e->key),
                     .value = e->removed ? NULL : g_bytes_new("x", 1),
                     .rev = rev,
                     .deleted = e->removed};
        g_array_append_val(p.items, it);
    }
    return p;
}

static KvPage
kept_page(const Event *events, uint64_t from, uint64_t to)
{
    GString *text = g_string_new("{\"events\":[");

    for (uint64_t rev = from + 1; rev <= to; rev++) {
        const Event *e = &events[rev - 1];
        add_event(text, e->key, rev, e->removed ? NULL : "x");
    }
    return read_kind(KVPAGE_EVENTS, text, to);
}

static void
assert_same_keys(GHashTable *a, GHashTable *b)
{
    GHashTableIter it;
    gpointer key;
    gpointer value;

    ck_assert_uint_eq(g_hash_table_size(a), g_hash_table_size(b));
    g_hash_table_iter_init(&it, a);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        ck_assert(g_hash_table_contains(b, key));
        ck_assert_ptr_eq(g_hash_table_lookup(b, key), value);
    }
}

/* Compares a copy that has all events up to "has" and then gets the kept ones
 * after "from" with one that gets all. */
static void
compare_copies(const Event *events, uint64_t from, uint64_t has)
{
    KvPage before = whole_page(events, 0, has);
    KvPage rest = whole_page(events, has, EVENTS);
    KvPage kept = kept_page(events, from, EVENTS);
    Copy all;
    Copy some;

    copy_init(&all);
    copy_init(&some);
    kvcache_apply_events(all.cache, &before, NULL, 0);
    kvcache_apply_events(some.cache, &before, NULL, 0);
    g_hash_table_remove_all(all.removed);
    g_hash_table_remove_all(some.removed);
    kvcache_apply_events(all.cache, &rest, NULL, 0);
    kvcache_apply_events(some.cache, &kept, NULL, 0);
    ck_assert_uint_eq(kvcache_rev(some.cache), EVENTS);
    assert_same_keys(all.revs, some.revs);
    assert_same_keys(all.removed, some.removed);
    copy_free(&all);
    copy_free(&some);
    kv_page_clear(&before);
    kv_page_clear(&rest);
    kv_page_clear(&kept);
}

/* Guards against receivers of gossip that end in another state than the store
 * as the sender forwards only what its answer kept, whatever revision between
 * they have. */
START_TEST(receivers_between_two_revisions_agree)
{
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        GRand *rnd = g_rand_new_with_seed(seed);
        Event events[EVENTS];

        for (int i = 0; i < EVENTS; i++) {
            g_snprintf(events[i].key, sizeof(events[i].key), "servers/%d",
                       g_rand_int_range(rnd, 0, KEYS));
            events[i].removed = g_rand_int_range(rnd, 0, 3) == 0;
        }
        uint64_t from = (uint64_t)g_rand_int_range(rnd, 0, EVENTS);
        for (uint64_t has = from; has <= EVENTS; has++) {
            compare_copies(events, from, has);
        }
        g_rand_free(rnd);
    }
}
END_TEST

/* Guards against a position above what an answer shows, and against a watch
 * whose unreadable events are sent again for ever. */
START_TEST(proven_revision_is_that_of_the_items)
{
    GString *list = g_string_new("{\"HasMore\":false,\"items\":[");
    GString *events = g_string_new("{\"events\":[");
    GString *odd = g_string_new("{\"events\":[{}");
    GString *none = g_string_new("{\"events\":[");

    add_event(list, "b", 7, "x");
    add_event(list, "c", 3, "x");
    add_event(events, "b", 5, "x");
    add_event(events, "b", 8, "y");
    KvPage pages[] = {
        read_kind(KVPAGE_LIST, list, 9), read_kind(KVPAGE_EVENTS, events, 9),
        read_kind(KVPAGE_EVENTS, odd, 9), read_kind(KVPAGE_EVENTS, none, 9)};
    ck_assert_uint_eq(pages[0].proven_rev, 7);
    ck_assert_uint_eq(pages[1].proven_rev, 8);
    ck_assert_uint_eq(pages[2].proven_rev, 9);
    ck_assert_uint_eq(pages[3].proven_rev, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        kv_page_clear(&pages[i]);
    }
}
END_TEST

T_MAIN("kvpage", proven_revision_is_that_of_the_items,
       replaced_values_are_dropped, removals_are_kept,
       newest_value_is_kept_in_any_order, all_events_sent_are_counted,
       lists_are_unchanged, receivers_between_two_revisions_agree)
