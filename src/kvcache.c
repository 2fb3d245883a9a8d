/* kvcache - the keys of the store that this VM holds.  See kvcache.h. */
#include "kvcache.h"

typedef struct Entry {
    uint32_t round; /* number of the last list that contained the key */
    uint64_t rev;
    bool removed; /* tombstone, see kvcache_keep_removed() */
    bool former;  /* rev is of a former history */
} Entry;

struct KvCache {
    KvCacheFn changed;
    void *ctx;
    uint32_t round; /* number of the current list; 0: none yet */
    uint64_t rev;   /* see kvcache_rev() */
    bool keep_removed;
    int n_removed;       /* tombstones */
    int n_former;        /* entries of a former history */
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

static void
set_removed(KvCache *k, Entry *e, bool removed)
{
    k->n_removed += (removed ? 1 : 0) - (e->removed ? 1 : 0);
    e->removed = removed;
}

static void
set_former(KvCache *k, Entry *e, bool former)
{
    k->n_former += (former ? 1 : 0) - (e->former ? 1 : 0);
    e->former = former;
}

/* Returns true if a change at that revision of the current history is later
 * than the cached state of the key; e may be NULL. */
static bool
is_later(const Entry *e, uint64_t rev)
{
    return e == NULL || e->former || rev > e->rev;
}

/* Drops the tombstones that nothing older than the removal can follow. */
static void
drop_tombstones(KvCache *k)
{
    GHashTableIter it;
    gpointer v;

    if (k->n_removed == 0 || k->keep_removed) {
        return;
    }
    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Entry *e = v;
        if (e->removed && e->rev <= k->rev) {
            k->n_removed--;
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
apply(KvCache *k, const KvItem *item, int64_t now_us)
{
    Entry *e = g_hash_table_lookup(k->entries, item->key);

    if (e == NULL) {
        e = g_new0(Entry, 1);
        g_hash_table_insert(k->entries, g_strdup(item->key), e);
    }
    e->round = k->round;
    e->rev = item->rev;
    set_former(k, e, false);
    set_removed(k, e, item->deleted);
    k->changed(k->ctx, item->key, item->deleted ? NULL : item->value,
               item->rev, now_us);
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
        const KvItem *item = &g_array_index(p->items, KvItem, i);
        Entry *e = g_hash_table_lookup(k->entries, item->key);
        /* A key that an earlier list lacked was not removed if a later list
         * has it. */
        if (is_later(e, item->rev) || (e->removed && p->rev >= e->rev)) {
            apply(k, item, now_us);
        }
        else {
            e->round = k->round;
        }
    }
}

void
kvcache_replace(KvCache *k, const KvPage *p, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        const KvItem *item = &g_array_index(p->items, KvItem, i);
        Entry *e = g_hash_table_lookup(k->entries, item->key);
        if (e == NULL || e->former || e->removed || item->rev != e->rev) {
            apply(k, item, now_us);
        }
        else {
            e->round = k->round;
        }
    }
}

void
kvcache_begin_history(KvCache *k)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const Entry *)v)->removed) {
            g_hash_table_iter_remove(&it);
        }
        else {
            set_former(k, v, true);
        }
    }
    k->n_removed = 0;
    k->rev = 0;
}

int
kvcache_former(const KvCache *k)
{
    return k->n_former;
}

int
kvcache_drop_former(KvCache *k, const char *but, int64_t now_us)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;
    int before = k->n_former;

    g_hash_table_iter_init(&it, k->entries);
    while (k->n_former > 0 && g_hash_table_iter_next(&it, &key, &v)) {
        if (!((const Entry *)v)->former ||
            (but != NULL && g_str_has_prefix(key, but))) {
            continue;
        }
        k->changed(k->ctx, key, NULL, k->rev, now_us);
        set_former(k, v, false);
        g_hash_table_iter_remove(&it);
    }
    return before - k->n_former;
}

void
kvcache_drop_newer(KvCache *k, uint64_t upto, int64_t now_us)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;

    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        Entry *e = v;
        if (e->former || e->rev <= upto || e->round == k->round) {
            continue;
        }
        if (!e->removed) {
            k->changed(k->ctx, key, NULL, upto, now_us);
        }
        /* Later changes of the key have revisions below its present one. */
        set_removed(k, e, false);
        g_hash_table_iter_remove(&it);
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
        Entry *e = v;
        uint32_t age = k->round - e->round;
        if (e->removed || e->former || e->rev > upto || age == 0) {
            continue;
        }
        missing++;
        if (age >= lists) {
            e->rev = upto;
            set_removed(k, e, true);
            k->changed(k->ctx, key, NULL, upto, now_us);
        }
    }
    drop_tombstones(k);
    return missing;
}

uint64_t
kvcache_rev(const KvCache *k)
{
    return k->rev;
}

void
kvcache_set_rev(KvCache *k, uint64_t rev)
{
    k->rev = rev;
    drop_tombstones(k);
}

void
kvcache_apply_events(KvCache *k, const KvPage *p, GPtrArray *following,
                     int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        KvItem *item = &g_array_index(p->items, KvItem, i);
        if (item->rev <= k->rev) {
            continue;
        }
        const Entry *e = g_hash_table_lookup(k->entries, item->key);
        if (is_later(e, item->rev)) {
            apply(k, item, now_us);
        }
        if (following != NULL) {
            g_ptr_array_add(following, item);
        }
    }
    kvcache_set_rev(k, MAX(k->rev, p->rev));
}

void
kvcache_apply_early(KvCache *k, const KvPage *p, int64_t now_us)
{
    for (guint i = 0; i < p->items->len; i++) {
        const KvItem *item = &g_array_index(p->items, KvItem, i);
        const Entry *e = g_hash_table_lookup(k->entries, item->key);
        if (item->rev > k->rev && is_later(e, item->rev)) {
            apply(k, item, now_us);
        }
    }
}

void
kvcache_keep_removed(KvCache *k, bool keep)
{
    k->keep_removed = keep;
    drop_tombstones(k);
}

void
kvcache_clear(KvCache *k, uint64_t rev, int64_t now_us)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;

    g_hash_table_iter_init(&it, k->entries);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        if (!((const Entry *)v)->removed) {
            k->changed(k->ctx, key, NULL, rev, now_us);
        }
        g_hash_table_iter_remove(&it);
    }
    k->n_removed = 0;
    k->n_former = 0;
}
