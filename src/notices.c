/* notices - what starts of upstreams have said.  See notices.h. */
#include "notices.h"

#include <string.h>

#include <glib.h>

#define KEEP_US 3600000000LL

struct Notices {
    GHashTable *by_id; /* id -> Notice */
};

Notices *
notices_new(void)
{
    Notices *n = g_new0(Notices, 1);

    n->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return n;
}

void
notices_free(Notices *n)
{
    g_hash_table_destroy(n->by_id);
    g_free(n);
}

const Notice *
notices_find(const Notices *n, const char *id, uint64_t boot_ms,
             const struct sockaddr_storage *addr)
{
    const Notice *x = g_hash_table_lookup(n->by_id, id);

    return x != NULL && x->boot_ms == boot_ms &&
                   memcmp(&x->addr, addr, sizeof(x->addr)) == 0
               ? x
               : NULL;
}

static gboolean
has_expired(gpointer id, gpointer notice, gpointer now_us)
{
    (void)id;
    return *(const int64_t *)now_us - ((const Notice *)notice)->at_us >
           KEEP_US;
}

Notice *
notices_change(Notices *n, const char *id, uint64_t boot_ms,
               const struct sockaddr_storage *addr, int64_t now_us)
{
    if (notices_find(n, id, boot_ms, addr) == NULL) {
        g_hash_table_foreach_remove(n->by_id, has_expired, &now_us);
        Notice *x = g_new0(Notice, 1);
        x->boot_ms = boot_ms;
        x->addr = *addr;
        g_hash_table_replace(n->by_id, g_strdup(id), x);
    }
    Notice *x = g_hash_table_lookup(n->by_id, id);
    x->at_us = now_us;
    return x;
}
