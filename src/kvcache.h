/*
 * kvcache - the keys of the store that this VM holds, each with its revision,
 * so that an out-of-date copy of the store does not overwrite newer values.
 */
#ifndef MIMOSA_KVCACHE_H
#define MIMOSA_KVCACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

/* Called when a key changed, or was removed if value is NULL. */
typedef void (*KvCacheFn)(void *ctx, const char *key, GBytes *value,
                          uint64_t rev, int64_t now_us);

typedef struct KvCache KvCache;

KvCache *kvcache_new(KvCacheFn changed, void *ctx);
void kvcache_free(KvCache *k);

/* Applies a change, which must not be older than the cached state (not
 * checked). */
void kvcache_apply(KvCache *k, const KvItem *it, int64_t now_us);

/* Begins a list.  Its items are then passed to kvcache_apply() or
 * kvcache_merge(). */
void kvcache_begin_list(KvCache *k);
/* Returns true until the first list begins. */
bool kvcache_never_listed(const KvCache *k);

/* Applies the items of a page that are newer than the cached ones; the list
 * may be out of date. */
void kvcache_merge(KvCache *k, const KvPage *p, int64_t now_us);

/* Ends a list and removes the keys that were missing in each of the last
 * "lists" lists, including this one.  upto: revision of the list; keys with a
 * later revision are not expected in it.  Returns the number of keys missing
 * in this list. */
int kvcache_drop_missing(KvCache *k, uint64_t upto, uint32_t lists,
                         int64_t now_us);

/* While keep is true, entries of removed keys are kept as tombstones, since a
 * list that is older than a removal would add the key again. */
void kvcache_keep_removed(KvCache *k, bool keep);

/* Drops all keys; each counts as removed at revision rev. */
void kvcache_clear(KvCache *k, uint64_t rev, int64_t now_us);

#endif
