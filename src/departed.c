/* departed - upstreams that discovery no longer lists.  See departed.h. */
#include "departed.h"

#include <glib.h>

#define KEEP_US 60000000 /* the copy of a store is some seconds old */

typedef struct Start {
    uint64_t boot_ms;
    uint64_t seq;
    int64_t at_us;
} Start;

struct Departed {
    GHashTable *by_id; /* id -> Start */
};

Departed *
departed_new(void)
{
    Departed *d = g_new0(Departed, 1);

    d->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return d;
}

void
departed_free(Departed *d)
{
    g_hash_table_destroy(d->by_id);
    g_free(d);
}

static gboolean
has_expired(gpointer id, gpointer start, gpointer now_us)
{
    (void)id;
    return *(const int64_t *)now_us - ((const Start *)start)->at_us > KEEP_US;
}

void
departed_add(Departed *d, const char *id, uint64_t boot_ms, uint64_t seq,
             int64_t now_us)
{
    Start *x = g_new(Start, 1);

    *x = (Start){boot_ms, seq, now_us};
    g_hash_table_foreach_remove(d->by_id, has_expired, &now_us);
    g_hash_table_replace(d->by_id, g_strdup(id), x);
}

uint64_t
departed_seq(const Departed *d, Str id, uint64_t boot_ms)
{
    char *key = g_strndup(id.p, id.n);
    const Start *x = g_hash_table_lookup(d->by_id, key);

    g_free(key);
    return x != NULL && x->boot_ms == boot_ms ? x->seq : 0;
}
