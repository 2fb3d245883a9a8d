/*
 * store_data - keys of standin-store and their file.
 */
#ifndef MIMOSA_STORE_DATA_H
#define MIMOSA_STORE_DATA_H

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

typedef struct Item {
    GBytes *value; /* NULL: deleted at this version */
    guint64 version;
    guint64 lease; /* 0: none */
} Item;

typedef struct StoreData {
    GHashTable *items; /* key -> Item */
    guint64 version;   /* of the newest write */
    const char *file;  /* NULL: in memory only */
} StoreData;

static inline void
store_item_free(gpointer p)
{
    Item *it = p;

    if (it->value != NULL) {
        g_bytes_unref(it->value);
    }
    g_free(it);
}

/* Writes all items to the file, so that a restart finds them. */
static inline void
store_save(StoreData *s)
{
    GVariantBuilder b;
    GHashTableIter it;
    gpointer k;
    gpointer v;
    GError *ge = NULL;

    if (s->file == NULL) {
        return;
    }
    g_variant_builder_init(&b, G_VARIANT_TYPE("a(stay)"));
    g_hash_table_iter_init(&it, s->items);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        Item *i = v;
        /* Leased values end with the store, as their holders must renew. */
        if (i->value != NULL && i->lease == 0) {
            g_variant_builder_add(
                &b, "(st@ay)", (char *)k, i->version,
                g_variant_new_from_bytes(G_VARIANT_TYPE_BYTESTRING, i->value,
                                         TRUE));
        }
    }
    GVariant *all =
        g_variant_ref_sink(g_variant_new("(ta(stay))", s->version, &b));
    if (!g_file_set_contents(s->file, g_variant_get_data(all),
                             (gssize)g_variant_get_size(all), &ge)) {
        fprintf(stderr, "standin-store: %s\n", ge->message);
        exit(1);
    }
    g_variant_unref(all);
}

static inline void
store_load(StoreData *s)
{
    gchar *data = NULL;
    gsize n = 0;
    GVariantIter *it = NULL;
    const char *key;
    guint64 version;
    GVariant *value;

    if (s->file == NULL || !g_file_get_contents(s->file, &data, &n, NULL)) {
        return;
    }
    GVariant *all = g_variant_ref_sink(g_variant_new_from_data(
        G_VARIANT_TYPE("(ta(stay))"), data, n, FALSE, g_free, data));
    g_variant_get(all, "(ta(stay))", &s->version, &it);
    while (g_variant_iter_next(it, "(&st@ay)", &key, &version, &value)) {
        Item *i = g_new0(Item, 1);
        i->version = version;
        i->value =
            g_bytes_new(g_variant_get_data(value), g_variant_get_size(value));
        g_hash_table_insert(s->items, g_strdup(key), i);
        g_variant_unref(value);
    }
    g_variant_iter_free(it);
    g_variant_unref(all);
}

#endif
