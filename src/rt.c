/* rt - routing table of one configuration.  See rt.h. */
#include "rt.h"

#include <string.h>

#include "hash.h"

struct RtTable {
    gint refs;
    uint64_t version;
    RtLimits limits;
    GArray *services;  /* RtService */
    GHashTable *hosts; /* host in lower case -> GArray of RtRoute, longest
                          prefix first */
};

static void
service_clear(gpointer p)
{
    RtService *s = p;

    g_free(s->name);
    g_free(s->health_path);
}

static void
route_clear(gpointer p)
{
    RtRoute *r = p;

    g_free(r->name);
    g_free(r->prefix);
    g_free(r->weighted);
    g_strfreev(r->home_regions);
}

static void
routes_free(gpointer p)
{
    g_array_free(p, TRUE);
}

RtTable *
rt_new(uint64_t version)
{
    RtTable *t = g_new0(RtTable, 1);

    t->refs = 1;
    t->version = version;
    t->limits = (RtLimits){HEAD_BYTES_MAX, BODY_BYTES_MAX,
                           CALLER_IDLE_MS * 1000LL, CALLER_IDLE_MS * 1000LL};
    t->services = g_array_new(FALSE, TRUE, sizeof(RtService));
    g_array_set_clear_func(t->services, service_clear);
    t->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, routes_free);
    return t;
}

RtTable *
rt_ref(RtTable *t)
{
    t->refs++;
    return t;
}

void
rt_unref(RtTable *t)
{
    if (t == NULL || --t->refs > 0) {
        return;
    }
    g_array_free(t->services, TRUE);
    g_hash_table_destroy(t->hosts);
    g_free(t);
}

uint64_t
rt_version(const RtTable *t)
{
    return t->version;
}

RtLimits *
rt_limits(RtTable *t)
{
    return &t->limits;
}

int
rt_add_service(RtTable *t, const RtService *s)
{
    RtService copy = *s;

    copy.id = hash_str(str_of(s->name), 0);
    g_array_append_val(t->services, copy);
    return (int)t->services->len - 1;
}

void
rt_add_route(RtTable *t, Str host, const RtRoute *r)
{
    char *key = g_ascii_strdown(host.p, (gssize)host.n);
    GArray *list = g_hash_table_lookup(t->hosts, key);
    RtRoute copy = *r;
    guint i = 0;

    if (list == NULL) {
        list = g_array_new(FALSE, TRUE, sizeof(RtRoute));
        g_array_set_clear_func(list, route_clear);
        g_hash_table_insert(t->hosts, g_strdup(key), list);
    }
    g_free(key);
    copy.weight_sum = 0;
    for (int k = 0; k < copy.n_weighted; k++) {
        copy.weight_sum += copy.weighted[k].weight;
    }
    size_t n = strlen(copy.prefix);
    while (i < list->len &&
           strlen(g_array_index(list, RtRoute, i).prefix) >= n) {
        i++;
    }
    g_array_insert_val(list, i, copy);
}

int
rt_n_services(const RtTable *t)
{
    return (int)t->services->len;
}

const RtService *
rt_service(const RtTable *t, int i)
{
    return &g_array_index(t->services, RtService, i);
}

int
rt_find_service(const RtTable *t, Str name)
{
    for (int i = 0; i < rt_n_services(t); i++) {
        if (str_eqz(name, rt_service(t, i)->name)) {
            return i;
        }
    }
    return -1;
}

const RtRoute *
rt_match(const RtTable *t, Str host, Str path)
{
    const char *colon = host.n > 0 ? memchr(host.p, ':', host.n) : NULL;
    size_t n = colon == NULL ? host.n : (size_t)(colon - host.p);
    const char *query = path.n > 0 ? memchr(path.p, '?', path.n) : NULL;

    if (n == 0 || path.n == 0) {
        return NULL;
    }
    if (query != NULL) {
        path.n = (size_t)(query - path.p);
    }
    char *key = g_ascii_strdown(host.p, (gssize)n);
    const GArray *list = g_hash_table_lookup(t->hosts, key);
    g_free(key);
    for (guint i = 0; list != NULL && i < list->len; i++) {
        const RtRoute *r = &g_array_index(list, RtRoute, i);
        if (str_starts(path, str_of(r->prefix))) {
            return r;
        }
    }
    return NULL;
}

const RtService *
rt_choose_service(const RtTable *t, const RtRoute *r, uint64_t hash)
{
    double at = hash_unit(hash) * r->weight_sum;
    int last = 0;

    for (int i = 0; i < r->n_weighted; i++) {
        double weight = r->weighted[i].weight;
        if (weight <= 0) {
            continue;
        }
        last = i;
        if (at < weight) {
            break;
        }
        at -= weight;
    }
    /* The last one when the differences above were rounded up. */
    return rt_service(t, r->weighted[last].service);
}

bool
rt_region_allowed(const RtRoute *r, const char *region)
{
    return r->home_regions == NULL || r->home_regions[0] == NULL ||
           g_strv_contains((const gchar *const *)r->home_regions, region);
}
