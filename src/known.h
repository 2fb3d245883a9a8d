/*
 * known - the keys of the store that this VM believes in, each with the
 * revision that it knows, so that old copies of the store set nothing back.
 */
#ifndef MIMOSA_KNOWN_H
#define MIMOSA_KNOWN_H

#include <stdbool.h>
#include <stdint.h>

#include "kv.h"

/* A key changed; value NULL: it is gone.  Returns true when that changes what
 * this VM believes and other VMs have to know it. */
typedef bool (*KnownFn)(void *ctx, const char *key, GBytes *value,
                        uint64_t rev, int64_t now_us);

typedef struct Known Known;

Known *known_new(KnownFn changed, void *ctx);
void known_free(Known *k);

/* Takes a change that is newer than all that is known; the result of the
 * callback. */
bool known_apply(Known *k, const KvItem *it, int64_t now_us);

/* A list begins; its items are told by either function below. */
void known_begin_list(Known *k);
/* True until the first list begins. */
bool known_nothing(const Known *k);

/* Takes what is newer than known out of a list that may be old. */
void known_apply_old(Known *k, const KvPage *p, int64_t now_us);

/* Removes the keys that the last "lists" lists lack, the one that ends here
 * included.  upto: revision of the list; what is younger is not expected in
 * it.  Returns how many keys it lacks. */
int known_drop_missing(Known *k, uint64_t upto, uint32_t lists,
                       int64_t now_us);

/* While set, removed keys are remembered, since a list that is older than
 * their removal would bring them back. */
void known_keep_removed(Known *k, bool keep);

/* Drops all keys. */
void known_forget(Known *k, uint64_t rev, int64_t now_us);

#endif
