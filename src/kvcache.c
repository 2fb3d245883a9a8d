/* kvcache - the keys of the store that this VM holds.  See kvcache.h. */
#include "kvcache.h"

typedef struct Entry {
    uint32_t round; /* number of the last list that contained the key */
    uint64_t rev;
    bool removed; /* tombstone, see kvcache_keep_removed() */
} Entry;

struct KvCache {
    KvCacheFn changed;
    void *ctx;
    uint32_t round; /* number of the current list; 0: none yet */
    bool keep_removed;
    GHashTable *entries; /* key -> Entry */
};

KvCache *
kvcache_new(KvCacheFn changed, void *ctx)
{
    KvCache *k = g_new0(KvCache, 1);

    k->changed = changed;
    k->ctx = ctx;
    k->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return k;
}

void
kvcache_free(KvCache *k)
{
    g_hash_table_destroy(k->entries);
    g_free(k);
}

void
kvcache_apply(KvCache *k, const KvItem *it, int64_t now_us)
{
    if (it->deleted && !k->keep_removed) {
        g_hash_table_remove(k->entries, it->key);
    }
    else {
        Entry *e = g_new(Entry, 1);
        *e = (Entry){k->round, it->rev, it->deleted};
        g_hash_table_replace(k->entries, g_strdup(it->key), e);
    }
    k->changed(k->ctx, it->key, it->deleted ? NULL : it->value, it->rev,
               now_us);
}

void
kvcache_begin_list(KvCache *k)
{
    k->round++;
}

bool
kvcache_never_listed(const KvCache *k)
{
    return k->round == 0;
}

void
kvcache_merge(KvCache *k, const KvPage *p, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        const KvItem *it = &g_array_index(p->items, KvItem, i);
        Entry *e = g_hash_table_lookup(k->entries, it->key);
        if (e == NULL || it->rev > e->rev) {
            kvcache_apply(k, it, now_us);
        }
        else {
            e->round = k->round;
        }
    }
}

int
kvcache_drop_missing(KvCache *k, uint64_t upto, uint32_t lists, int64_t now_us)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;
    int missing = 0;

    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        const Entry *e = v;
        uint32_t age = k->round - e->round;
        if (e->removed || e->rev > upto || age == 0) {
            continue;
        }
        missing++;
        if (age >= lists) {
            k->changed(k->ctx, key, NULL, upto, now_us);
            g_hash_table_iter_remove(&it);
        }
    }
    return missing;
}

void
kvcache_keep_removed(KvCache *k, bool keep)
{
    GHashTableIter it;
    gpointer v;

    k->keep_removed = keep;
    g_hash_table_iter_init(&it, k->entries);
    while (!keep && g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const Entry *)v)->removed) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
kvcache_clear(KvCache *k, uint64_t rev, int64_t now_us)
{
    GHashTableIter it;
    gpointer key;

    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        k->changed(k->ctx, key, NULL, rev, now_us);
        g_hash_table_iter_remove(&it);
    }
}
