/*
 * kvcache - the keys of the store that this VM holds, each with the revision
 * of its last change, and the revision up to which all events were applied.
 *
 * The content follows from the store's answers alone, in any order of lists,
 * events and copies of the store that are out of date: a key never returns to
 * an earlier revision, but by kvcache_replace() or in a later history of the
 * store (kvcache_begin_history()).
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

/* Begins a list.  Its pages are then passed to kvcache_merge(). */
void kvcache_begin_list(KvCache *k);
/* Returns true until the first list begins. */
bool kvcache_never_listed(const KvCache *k);

/* Applies the items of a page that are newer than the cached ones; the page
 * may be out of date. */
void kvcache_merge(KvCache *k, const KvPage *p, int64_t now_us);

/* The same for a list of the store itself, whose revision has fallen: what the
 * list holds counts, whatever the revision of the cached entry. */
void kvcache_replace(KvCache *k, const KvPage *p, int64_t now_us);

/* The store has begun another history.  The keys stay, but the revisions of
 * the former history are no longer compared with: each item of the later one
 * replaces its key, and a list that lacks a key does not remove it. */
void kvcache_begin_history(KvCache *k);

/* Number of the keys that only a former history had so far. */
int kvcache_former(const KvCache *k);

/* Removes those of them that do not begin with "but"; NULL: all.  Returns
 * their number. */
int kvcache_drop_former(KvCache *k, const char *but, int64_t now_us);

/* Removes the keys with a revision above "upto" that the last list lacked. */
void kvcache_drop_newer(KvCache *k, uint64_t upto, int64_t now_us);

/* Ends a list and removes the keys that were missing in each of the last
 * "lists" lists, including this one.  upto: revision of the list; keys with a
 * later revision are not expected in it.  Returns the number of keys missing
 * in this list. */
int kvcache_drop_missing(KvCache *k, uint64_t upto, uint32_t lists,
                         int64_t now_us);

/* Revision up to which all events were applied, or 0. */
uint64_t kvcache_rev(const KvCache *k);
/* Sets it to the revision of a list, whose later events follow. */
void kvcache_set_rev(KvCache *k, uint64_t rev);

/* Applies the events of a page that follow kvcache_rev(), without those that
 * are older than the cached state of their key; events may arrive twice.
 * following, if not NULL: gets all events after kvcache_rev(), KvItem of the
 * page.  Another cache at that revision needs them all, whatever their effect
 * here was. */
void kvcache_apply_events(KvCache *k, const KvPage *p, GPtrArray *following,
                          int64_t now_us);

/* Applies events that are newer than the cached state of their key, although
 * others before them are missing.  kvcache_rev() stays, so that the whole
 * events may follow. */
void kvcache_apply_early(KvCache *k, const KvPage *p, int64_t now_us);

/* While keep is true, all tombstones of removed keys are kept, since a list
 * that is older than a removal would add the key again.  Otherwise those are
 * kept whose removal kvcache_rev() has not reached. */
void kvcache_keep_removed(KvCache *k, bool keep);

/* Drops all keys; each counts as removed at revision rev. */
void kvcache_clear(KvCache *k, uint64_t rev, int64_t now_us);

#endif
