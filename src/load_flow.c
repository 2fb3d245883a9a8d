/* load_flow - parsing of flows, arrivals, and the run.  See load.h. */
#include "load.h"

#include <math.h>
#include <string.h>

#include "settings.h"
#include "str.h"

#define TICK_MS 2
#define CONNECTIONS_MAX 4096
#define BODY_MAX (1024 * 1024)
#define DRAIN_WAIT_US (30 * G_USEC_PER_SEC) /* wait after the last arrival */

static bool
flow_fail(const char *key, const char *found, const char *allowed, Err *e)
{
    return err_set(e, ERR_USAGE,
                   "--flow: %.20s: found \"%.60s\"; allowed: %s; correct it",
                   key, found, allowed);
}

static bool
parse_count(const char *key, const char *v, uint64_t max, int64_t *out, Err *e)
{
    uint64_t n = 0;

    if (!str_u64(str_of(v), max, &n)) {
        return flow_fail(key, v, "a whole number", e);
    }
    *out = (int64_t)n;
    return true;
}

static bool
parse_text(const char *key, const char *v, char *dst, size_t cap, Err *e)
{
    return (v[0] != '\0' && str_copy(dst, cap, str_of(v))) ||
           flow_fail(key, v, "a short text", e);
}

static bool
parse_key(LoadFlow *f, const char *key, const char *v, Err *e)
{
    char *end = NULL;

    if (strcmp(key, "service") == 0) {
        return parse_text(key, v, f->service, sizeof(f->service), e);
    }
    if (strcmp(key, "rank") == 0) {
        return parse_text(key, v, f->rank, sizeof(f->rank), e);
    }
    if (strcmp(key, "path") == 0) {
        return parse_text(key, v, f->path, sizeof(f->path), e);
    }
    if (strcmp(key, "client") == 0) {
        return parse_text(key, v, f->client, sizeof(f->client), e);
    }
    if (strcmp(key, "class") == 0) {
        f->class = strcmp(v, "once") == 0 ? MF_ONCE : MF_IDEMPOTENT;
        return f->class == MF_ONCE || strcmp(v, "idempotent") == 0 ||
               flow_fail(key, v, "idempotent, once", e);
    }
    if (strcmp(key, "rate") == 0) {
        f->rate = g_ascii_strtod(v, &end);
        return (end != v && *end == '\0' && f->rate > 0 && f->rate <= 1e5) ||
               flow_fail(key, v, "a number per second over 0", e);
    }
    if (strcmp(key, "deadline") == 0) {
        return parse_count(key, v, DEADLINE_MS_MAX, &f->deadline_ms, e);
    }
    if (strcmp(key, "body") == 0) {
        return parse_count(key, v, BODY_MAX, &f->body_bytes, e);
    }
    if (strcmp(key, "answer") == 0) {
        return parse_count(key, v, BODY_MAX, &f->answer_bytes, e);
    }
    return flow_fail(key, v,
                     "service, rank, rate, class, path, client, deadline, "
                     "body, answer",
                     e);
}

bool
load_flow_read(LoadFlow *f, const char *text, Err *e)
{
    gchar **words = g_strsplit(text, ",", -1);
    bool ok = true;

    memset(f, 0, sizeof(*f));
    g_strlcpy(f->path, "/", sizeof(f->path));
    g_strlcpy(f->client, "127.0.0.1", sizeof(f->client));
    for (int i = 0; ok && words[i] != NULL; i++) {
        char *eq = strchr(words[i], '=');
        if (eq == NULL) {
            ok = flow_fail("word", words[i], "key=value", e);
            break;
        }
        *eq = '\0';
        ok = parse_key(f, words[i], eq + 1, e);
    }
    g_strfreev(words);
    if (ok && (f->service[0] == '\0' || f->rank[0] == '\0' || f->rate <= 0)) {
        ok = flow_fail("word", text, "at least service, rank and rate", e);
    }
    return ok;
}

/* Index of the stat of a flow; adds it if there is none. */
static int
find_stat(Load *l, const LoadFlow *f)
{
    for (int i = 0; i < l->n_stats; i++) {
        if (strcmp(l->stats[i].service, f->service) == 0 &&
            strcmp(l->stats[i].rank, f->rank) == 0) {
            return i;
        }
    }
    LoadStat *s = &l->stats[l->n_stats];
    g_strlcpy(s->service, f->service, sizeof(s->service));
    g_strlcpy(s->rank, f->rank, sizeof(s->rank));
    s->latency_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    s->not_run_reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->unknown_reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return l->n_stats++;
}

static SoupSession *
session_new(const char *client)
{
    GSocketAddress *local = NULL;

    /* An entry VM derives the caller's block from its address.  On loopback,
     * any address of 127/8 can be bound. */
    if (g_str_has_prefix(client, "127.")) {
        local = g_inet_socket_address_new_from_string(client, 0);
    }
    SoupSession *s = soup_session_new_with_options(
        "max-conns", CONNECTIONS_MAX, "max-conns-per-host", CONNECTIONS_MAX,
        "local-address", local, NULL);
    soup_session_remove_feature_by_type(s, SOUP_TYPE_CONTENT_DECODER);
    if (local != NULL) {
        g_object_unref(local);
    }
    return s;
}

/* Index of the cache of a flow; adds it if there is none.  Caches of one
 * client share a session. */
static int
find_cache(Load *l, const LoadFlow *f)
{
    SoupSession *shared = NULL;

    for (int i = 0; i < l->n_caches; i++) {
        if (strcmp(l->caches[i].client, f->client) != 0) {
            continue;
        }
        if (strcmp(l->caches[i].service, f->service) == 0) {
            return i;
        }
        shared = l->caches[i].session;
    }
    LoadCache *c = &l->caches[l->n_caches];
    g_strlcpy(c->service, f->service, sizeof(c->service));
    g_strlcpy(c->client, f->client, sizeof(c->client));
    c->session =
        shared != NULL ? g_object_ref(shared) : session_new(f->client);
    c->next_lookup = l->n_caches % MAX(l->o.n_lookups, 1);
    g_queue_init(&c->queued_requests);
    return l->n_caches++;
}

/* Time until the next arrival of a Poisson process, in microseconds. */
static int64_t
arrival_interval_us(Load *l, double rate)
{
    double u = g_rand_double(l->rnd);

    return (int64_t)(-log(1.0 - u) / rate * 1e6);
}

static gboolean
on_tick(gpointer ctx)
{
    Load *l = ctx;
    int64_t now = g_get_monotonic_time();

    for (int i = 0; i < l->o.n_flows; i++) {
        LoadFlow *f = &l->o.flows[i];
        while (f->next_us <= now && f->next_us < l->end_us) {
            load_request(l, f);
            f->next_us += arrival_interval_us(l, f->rate);
        }
    }
    bool ended = now >= l->end_us;
    if (ended && (l->inflight == 0 || now >= l->end_us + DRAIN_WAIT_US)) {
        g_main_loop_quit(l->loop);
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

void
load_run(Load *l)
{
    l->rnd = g_rand_new_with_seed(l->o.seed);
    l->run_id = (uint64_t)g_get_real_time();
    l->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->start_us = g_get_monotonic_time();
    l->end_us = l->start_us + (int64_t)(l->o.seconds * 1e6);
    for (int i = 0; i < l->o.n_flows; i++) {
        LoadFlow *f = &l->o.flows[i];
        f->stat = find_stat(l, f);
        f->cache = find_cache(l, f);
        f->next_us = l->start_us + arrival_interval_us(l, f->rate);
    }
    l->loop = g_main_loop_new(NULL, FALSE);
    g_timeout_add(TICK_MS, on_tick, l);
    g_main_loop_run(l->loop);
    /* Requests that have not ended count as unknown. */
    for (int i = 0; i < l->n_stats; i++) {
        LoadStat *s = &l->stats[i];
        s->unknown = s->sent - s->answered - s->not_run - s->wrong;
    }
}

void
load_free(Load *l)
{
    for (int i = 0; i < l->n_stats; i++) {
        g_array_free(l->stats[i].latency_us, TRUE);
        g_hash_table_destroy(l->stats[i].not_run_reasons);
        g_hash_table_destroy(l->stats[i].unknown_reasons);
    }
    for (int i = 0; i < l->n_caches; i++) {
        g_object_unref(l->caches[i].session);
    }
    g_hash_table_destroy(l->keys);
    g_main_loop_unref(l->loop);
    g_rand_free(l->rnd);
}
