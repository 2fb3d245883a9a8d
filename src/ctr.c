/* ctr - metrics of a process.  See ctr.h. */
#include "ctr.h"

struct CtrSet {
    GHashTable *by_name; /* "name{labels}" to Ctr */
};

CtrSet *
ctr_set_new(void)
{
    CtrSet *s = g_new0(CtrSet, 1);

    s->by_name =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

void
ctr_set_free(CtrSet *s)
{
    if (s != NULL) {
        g_hash_table_destroy(s->by_name);
        g_free(s);
    }
}

Ctr *
ctr_get(CtrSet *s, const char *name, const char *labels)
{
    char *key = labels[0] == '\0' ? g_strdup(name)
                                  : g_strdup_printf("%s{%s}", name, labels);
    Ctr *c = g_hash_table_lookup(s->by_name, key);

    if (c != NULL) {
        g_free(key);
        return c;
    }
    c = g_new0(Ctr, 1);
    g_hash_table_insert(s->by_name, key, c);
    return c;
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return g_strcmp0(a, b);
}

void
ctr_text(const CtrSet *s, GString *out)
{
    GList *names = g_hash_table_get_keys(s->by_name);

    names = g_list_sort(names, compare_names);
    for (GList *l = names; l != NULL; l = l->next) {
        const Ctr *c = g_hash_table_lookup(s->by_name, l->data);
        g_string_append_printf(out, "%s %" G_GINT64_FORMAT "\n",
                               (const char *)l->data, c->value);
    }
    g_list_free(names);
}
