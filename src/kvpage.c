/* kvpage - reads the pages of a list and the events of a watch.  See kvpage.h.
 */
#include "kvpage.h"

/* The events of a key behind the one at hand. */
typedef struct Later {
    uint64_t rev; /* greatest */
    bool removed; /* one of them is a removal */
} Later;

/* A removal counts beside a later value: an upstream, or a drained zone, that
 * vanished and came back must be seen to have done so. */
static bool
is_replaced(GHashTable *later, const KvItem *it)
{
    Later *l = g_hash_table_lookup(later, it->key);

    if (l == NULL) {
        l = g_new(Later, 1);
        *l = (Later){it->rev, it->deleted};
        g_hash_table_insert(later, g_strdup(it->key), l);
        return false;
    }
    bool replaced = it->rev <= l->rev && (!it->deleted || l->removed);
    l->rev = MAX(l->rev, it->rev);
    l->removed = l->removed || it->deleted;
    return replaced;
}

/* Drops the events that a later one of the same key replaces.  Each value that
 * is applied takes time for which requests wait, and is forwarded. */
static void
drop_replaced(KvPage *p)
{
    GHashTable *later =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    GArray *kept = g_array_new(FALSE, TRUE, sizeof(KvItem));
    GArray *replaced = g_array_new(FALSE, TRUE, sizeof(KvItem));

    for (guint i = p->items->len; i > 0; i--) {
        const KvItem *it = &g_array_index(p->items, KvItem, i - 1);
        g_array_append_val(is_replaced(later, it) ? replaced : kept, *it);
    }
    g_hash_table_destroy(later);
    g_array_set_size(p->items, 0);
    for (guint i = kept->len; i > 0; i--) {
        g_array_append_val(p->items, g_array_index(kept, KvItem, i - 1));
    }
    g_array_free(kept, TRUE);
    kv_page_clear(&(KvPage){.items = replaced});
}

static uint64_t
proven_rev(const KvPage *p, KvPageKind kind)
{
    uint64_t rev = 0;

    if (kind == KVPAGE_EVENTS && p->dropped > 0) {
        return p->rev;
    }
    for (guint i = 0; i < p->items->len; i++) {
        rev = MAX(rev, g_array_index(p->items, KvItem, i).rev);
    }
    return MIN(rev, p->rev);
}

bool
kvpage_read(KvPages *k, KvPageKind kind, Str body, KvPage *out)
{
    const char *call = kind == KVPAGE_LIST ? "list" : "watch";
    Err e = {0};

    *out = (KvPage){0};
    bool ok = kind == KVPAGE_LIST ? k->codec->read_list(body, out, &e)
                                  : k->codec->read_events(body, out, &e);
    if (!ok) {
        dlog_event(k->log, DLOG_WARN, "store",
                   "event=unreadable_page prefix=%s call=%s error=\"%s\"",
                   k->prefix, call, dlog_quoted(e.text).s);
        kv_page_clear(out);
        return false;
    }
    if (out->dropped > 0) {
        k->dropped += out->dropped;
        dlog_event(k->log, DLOG_WARN, "store",
                   "event=items_dropped prefix=%s call=%s items=%d "
                   "rev=%" G_GUINT64_FORMAT,
                   k->prefix, call, out->dropped, out->rev);
    }
    out->n_sent = (int)out->items->len + out->dropped;
    out->proven_rev = proven_rev(out, kind);
    if (kind == KVPAGE_EVENTS) {
        drop_replaced(out);
    }
    return true;
}
