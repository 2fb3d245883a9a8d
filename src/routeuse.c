/* routeuse - the requests handled last.  See routeuse.h. */
#include "routeuse.h"

#include "dlog.h"

#define IDS_MAX 6 /* in one line of the log */

void
routeuse_add(RouteUse *u, Str id, int64_t now_us)
{
    guint i = (guint)(u->n++ % ROUTEUSE_REQUESTS);

    g_strlcpy(u->used[i].id, dlog_name(id).s, sizeof(u->used[i].id));
    u->used[i].at_us = now_us;
}

int
routeuse_since(const RouteUse *u, int64_t since_us, GString *ids)
{
    uint64_t oldest = u->n - MIN(u->n, ROUTEUSE_REQUESTS);
    int n = 0;

    for (uint64_t k = oldest; k < u->n; k++) {
        guint i = (guint)(k % ROUTEUSE_REQUESTS);
        if (u->used[i].at_us < since_us) {
            continue;
        }
        if (n++ < IDS_MAX) {
            g_string_append_printf(ids, "%s%s", n == 1 ? "" : ",",
                                   u->used[i].id);
        }
    }
    if (n == 0) {
        g_string_append_c(ids, '-');
    }
    return n;
}
