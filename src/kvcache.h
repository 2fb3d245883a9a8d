/*
 * kvcache - the keys of the store that this VM believes in, each with the
 * revision that it knows, so that old copies of the store set nothing back.
 */
#ifndef MIMOSA_KVCACHE_H
#define MIMOSA_KVCACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

/* A key changed; value NULL: it is gone.  Returns true when that changes what
 * this VM believes and other VMs have to know it. */
typedef bool (*KvCacheFn)(void *ctx, const char *key, GBytes *value,
                          uint64_t rev, int64_t now_us);

typedef struct KvCache KvCache;

KvCache *kvcache_new(KvCacheFn changed, void *ctx);
void kvcache_free(KvCache *k);

/* Takes a change that is newer than all that is known; the result of the
 * callback. */
bool kvcache_apply(KvCache *k, const KvItem *it, int64_t now_us);

/* A list begins; its items are told by either function below. */
void kvcache_begin_list(KvCache *k);
/* True until the first list begins. */
bool kvcache_never_listed(const KvCache *k);

/* Takes what is newer than known out of a list that may be old. */
void kvcache_merge(KvCache *k, const KvPage *p, int64_t now_us);

/* Removes the keys that the last "lists" lists lack, the one that ends here
 * included.  upto: revision of the list; what is younger is not expected in
 * it.  Returns how many keys it lacks. */
int kvcache_drop_missing(KvCache *k, uint64_t upto, uint32_t lists,
                         int64_t now_us);

/* While set, removed keys are remembered, since a list that is older than
 * their removal would bring them back. */
void kvcache_keep_removed(KvCache *k, bool keep);

/* Drops all keys. */
void kvcache_clear(KvCache *k, uint64_t rev, int64_t now_us);

#endif
