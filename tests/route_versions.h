/*
 * route_versions - random versions of a configuration, as the operator writes
 * them, and a simple model that says which services each of them allows.
 *
 * Pairs of routes exchange their services with each version, homes and
 * timeouts flip, and routes are added, removed and split.  The model is
 * written from the users' protocol and shares no code with the product.
 */
#ifndef MIMOSA_TESTS_ROUTE_VERSIONS_H
#define MIMOSA_TESTS_ROUTE_VERSIONS_H

#include <stdbool.h>
#include <string.h>

#include <glib.h>

#define RV_HOSTS 4
#define RV_SERVICES 8
#define RV_ROUTES 22
#define RV_PARTS 4  /* services of a split */
#define RV_PAIRS 11 /* the first routes are pairs */
#define RV_REGIONS 2

typedef struct RvRoute {
    bool present;
    int host;
    char prefix[48];
    int n_parts;
    int service[RV_PARTS];
    double weight[RV_PARTS];
    int home; /* region; -1: any */
    int timeout_ms;
    int attempts;
    bool sticky;
    bool idempotent;
} RvRoute;

typedef struct RvVersion {
    int64_t number;
    RvRoute route[RV_ROUTES];
} RvVersion;

static const char *const rv_hosts[RV_HOSTS] = {
    "desk.example", "dock.example", "deck.example", "d.desk.example"};

static inline double
rv_weight(GRand *r)
{
    static const double weights[] = {0, 1e-6, 0.01, 0.1, 0.3, 1, 2.5, 60};

    return weights[g_rand_int_range(r, 0, G_N_ELEMENTS(weights))];
}

/* Gives the route one service, or a split with a weight that is not 0. */
static inline void
rv_set_parts(RvRoute *x, GRand *r)
{
    x->n_parts = g_rand_int_range(r, 0, 4) > 0
                     ? 1
                     : g_rand_int_range(r, 2, RV_PARTS + 1);
    int first = g_rand_int_range(r, 0, RV_SERVICES);
    for (int i = 0; i < x->n_parts; i++) {
        x->service[i] = (first + i) % RV_SERVICES;
        x->weight[i] = rv_weight(r);
    }
    x->weight[g_rand_int_range(r, 0, x->n_parts)] = 1;
}

/* Routes 2i and 2i + 1 are a pair: the same prefix at two hosts, or a prefix
 * and one under it.  No two routes have the same host and prefix, for which
 * the protocol names no order. */
static inline void
rv_init(RvVersion *v, GRand *r)
{
    memset(v, 0, sizeof(*v));
    v->number = 1;
    for (int i = 0; i < RV_ROUTES; i++) {
        RvRoute *x = &v->route[i];
        int pair = i / 2;
        bool nested = pair % 2 == 1;
        x->present = true;
        x->host = (nested ? pair + 2 : pair + i % 2) % RV_HOSTS;
        g_snprintf(x->prefix, sizeof(x->prefix), "/%xiq%d/%s", 3 + pair / 2,
                   pair / 2, nested && i % 2 == 1 ? "zriajy/" : "");
        if (i == RV_ROUTES - 1) {
            g_strlcpy(x->prefix, "/", sizeof(x->prefix));
        }
        rv_set_parts(x, r);
        x->home = g_rand_int_range(r, -1, RV_REGIONS);
        x->timeout_ms = g_rand_boolean(r) ? 400 : 1100;
        x->attempts = g_rand_int_range(r, 1, 3);
        x->sticky = g_rand_boolean(r);
        x->idempotent = g_rand_boolean(r);
    }
}

static inline void
rv_exchange(RvRoute *a, RvRoute *b)
{
    RvRoute old = *a;

    a->n_parts = b->n_parts;
    memcpy(a->service, b->service, sizeof(a->service));
    memcpy(a->weight, b->weight, sizeof(a->weight));
    b->n_parts = old.n_parts;
    memcpy(b->service, old.service, sizeof(b->service));
    memcpy(b->weight, old.weight, sizeof(b->weight));
}

/* Changes a version into the next one. */
static inline void
rv_next(RvVersion *v, GRand *r)
{
    v->number += g_rand_int_range(r, 1, 9);
    for (int i = 0; i < RV_ROUTES; i++) {
        RvRoute *x = &v->route[i];
        if (i % 2 == 0 && g_rand_int_range(r, 0, 3) > 0) {
            rv_exchange(x, &v->route[i + 1]);
        }
        if (x->home >= 0 && i % 4 != 3) {
            x->home = 1 - x->home;
        }
        if (i % 3 == 0) {
            x->timeout_ms = x->timeout_ms == 400 ? 1100 : 400;
        }
        if (g_rand_int_range(r, 0, 6) == 0) {
            x->present = !x->present;
        }
        if (g_rand_int_range(r, 0, 10) == 0) {
            rv_set_parts(x, r);
        }
    }
}

static inline void
rv_append_route(const RvRoute *x, int name, GString *s)
{
    g_string_append_printf(
        s,
        "{\"Name\":\"r%d\",\"PathPrefix\":\"%s\",\"Kind\":\"%s\","
        "\"MaxAttempts\":%d,\"Timeout\":\"%dms\",\"Slo\":\"300ms\","
        "\"Priority\":%d,\"Sticky\":%s",
        name, x->prefix, x->idempotent ? "idempotent" : "non_idempotent",
        x->attempts, x->timeout_ms, name % 3, x->sticky ? "true" : "false");
    if (x->home >= 0) {
        g_string_append_printf(s, ",\"HomeRegions\":[\"reg%d\"]", x->home);
    }
    if (x->n_parts == 1) {
        g_string_append_printf(s, ",\"Service\":\"s%d\"}", x->service[0]);
        return;
    }
    for (int i = 0; i < x->n_parts; i++) {
        g_string_append_printf(s, "%s{\"Service\":\"s%d\",\"Weight\":%.17g}",
                               i == 0 ? ",\"Split\":[" : ",", x->service[i],
                               x->weight[i]);
    }
    g_string_append(s, "]}");
}

/* The text of the version, with its routes in an order of their own. */
static inline GString *
rv_json(const RvVersion *v, GRand *r)
{
    GString *s = g_string_new(NULL);
    int from = g_rand_int_range(r, 0, RV_ROUTES);

    g_string_append_printf(
        s, "{\"Version\":%" G_GINT64_FORMAT ",\"Limits\":{},\"Services\":[",
        v->number);
    for (int i = 0; i < RV_SERVICES; i++) {
        g_string_append_printf(s,
                               "%s{\"Name\":\"s%d\",\"MaxConns\":1000,"
                               "\"Cold\":\"1s\",\"ColdPerS\":1000}",
                               i == 0 ? "" : ",", i);
    }
    g_string_append(s, "],\"Vhosts\":[");
    for (int h = 0; h < RV_HOSTS; h++) {
        bool first = true;
        g_string_append_printf(s, "%s{\"Host\":\"%s\",\"Paths\":[",
                               h == 0 ? "" : ",", rv_hosts[h]);
        for (int i = 0; i < RV_ROUTES; i++) {
            int k = (from + i) % RV_ROUTES;
            const RvRoute *x = &v->route[k];
            if (x->present && x->host == h) {
                g_string_append(s, first ? "" : ",");
                rv_append_route(x, k, s);
                first = false;
            }
        }
        g_string_append(s, "]}");
    }
    g_string_append(s, "]}");
    return s;
}

/* "Among the routes of that host, the route selected is the one with the
 * longest PathPrefix that begins the path."  NULL: 404. */
static inline const RvRoute *
rv_match(const RvVersion *v, const char *host, const char *target)
{
    char *name = g_strndup(host, strcspn(host, ":"));
    char *path = g_strndup(target, strcspn(target, "?"));
    const RvRoute *best = NULL;

    for (int i = 0; i < RV_ROUTES; i++) {
        const RvRoute *x = &v->route[i];
        if (x->present && g_ascii_strcasecmp(rv_hosts[x->host], name) == 0 &&
            strncmp(path, x->prefix, strlen(x->prefix)) == 0 &&
            (best == NULL || strlen(x->prefix) > strlen(best->prefix))) {
            best = x;
        }
    }
    g_free(name);
    g_free(path);
    return best;
}

/* True if the route allows the service.  A part of weight 0 gets nothing. */
static inline bool
rv_allows(const RvRoute *x, int service)
{
    for (int i = 0; x != NULL && i < x->n_parts; i++) {
        if (x->service[i] == service &&
            (x->n_parts == 1 || x->weight[i] > 0)) {
            return true;
        }
    }
    return false;
}

static inline char *
rv_random_host(GRand *r, int host)
{
    char *h = g_strdup(rv_hosts[host]);
    char *out;

    for (char *p = h; *p != '\0'; p++) {
        *p = g_rand_int_range(r, 0, 4) == 0 ? g_ascii_toupper(*p) : *p;
    }
    out = g_strconcat(h, g_rand_int_range(r, 0, 3) == 0 ? ":8443" : "", NULL);
    g_free(h);
    return out;
}

/* A path at, above, below or beside a prefix, perhaps with a query. */
static inline char *
rv_random_path(GRand *r, const char *prefix)
{
    static const char *const tails[] = {
        "",        "x",         "zriajy/",    "zriajy",   "zriajy/9",
        "zriaj/y", "/",         "/zriajy/",   "..",       "../4iq1/x",
        "%2F",     "zriajy%2F", "./zriajy/",  "Zriajy/",  "a?b=/4iq1/zriajy/",
        "?",       "?/zriajy/", "zriajy?x=1", "zriajy/?y"};
    int i = g_rand_int_range(r, 0, RV_PAIRS / 2 + 2);
    const char *tail = tails[g_rand_int_range(r, 0, G_N_ELEMENTS(tails))];

    switch (g_rand_int_range(r, 0, 18)) {
    case 0: /* above */
        return g_strdup_printf("/%xiq%d%s", 3 + i, i,
                               g_rand_boolean(r) ? "" : "?q=1");
    case 1: /* beside */
        return g_strdup_printf("/%xiq%dz/%s", 3 + i, i, tail);
    case 2:
        return g_strdup_printf("//%xiq%d/%s", 3 + i, i, tail);
    case 3:
        return g_strdup_printf("/%%%xiq%d/%s", 3 + i, i, tail);
    case 4:
        return g_strdup_printf("/%xIQ%d/%s", 3 + i, i, tail);
    case 5:
        return g_strdup_printf("/%s", tail);
    default:
        return g_strconcat(prefix, tail, NULL);
    }
}

/* A request for a host, most of them at, above, below or beside the prefix of
 * a route there. */
static inline void
rv_random_request(const RvVersion *v, GRand *r, char **host, char **path)
{
    const RvRoute *x = &v->route[g_rand_int_range(r, 0, RV_ROUTES)];
    int h = g_rand_int_range(r, 0, 10) == 0 ? g_rand_int_range(r, 0, RV_HOSTS)
                                            : x->host;

    *host = rv_random_host(r, h);
    *path = rv_random_path(r, x->prefix);
}

#endif
