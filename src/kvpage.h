/*
 * kvpage - reads the pages of a list and the events of a watch, and logs and
 * counts what cannot be read of them.
 */
#ifndef MIMOSA_KVPAGE_H
#define MIMOSA_KVPAGE_H

#include "dlog.h"
#include "kv.h"

typedef struct KvPages {
    const KvCodec *codec;
    Dlog *log;
    const char *prefix; /* of the keys */
    int64_t dropped;    /* items that could not be read so far */
} KvPages;

typedef enum KvPageKind { KVPAGE_LIST, KVPAGE_EVENTS } KvPageKind;

/* Reads a page into *out; its proven_rev is the highest revision of the items
 * that were sent, 0 without items.  An answer of a watch with events that
 * cannot be read proves its rev, as they would be sent again for ever.  Leaves
 * out the items that cannot be read, and
 * events that a later one of the same key replaces.  Returns false, with an
 * empty *out, if the page cannot be read. */
bool kvpage_read(KvPages *k, KvPageKind kind, Str body, KvPage *out);

#endif
