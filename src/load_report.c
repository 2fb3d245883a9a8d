/* load_report - results of the load generator: table, conditions, and the
 * comparison with the runs of the upstreams.  See load.h. */
#include <stdio.h>
#include <string.h>

#include "jsontext.h"
#include "load.h"
#include "str.h"

#define RUNS_TIMEOUT_S 5

static int
compare_i64(gconstpointer a, gconstpointer b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return (x > y) - (x < y);
}

/* Nearest-rank percentile in ms; q in (0, 1]. */
static double
percentile_ms(const LoadStat *s, double q)
{
    GArray *a = s->latency_us;

    if (a->len == 0) {
        return 0;
    }
    g_array_sort(a, compare_i64);
    guint i = (guint)(q * a->len + 0.999999);
    i = CLAMP(i, 1, a->len);
    return (double)g_array_index(a, int64_t, i - 1) / 1000.0;
}

static void
print_reasons(const LoadStat *s, const char *what, GHashTable *reasons)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;

    g_hash_table_iter_init(&it, reasons);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        printf("  %s %s: %s: %s: %u\n", s->service, s->rank, what, (char *)k,
               GPOINTER_TO_UINT(v));
    }
}

void
load_print(const Load *l)
{
    printf("%-12s %-10s %7s %8s %7s %7s %5s %6s %5s %6s %8s %8s\n", "service",
           "rank", "sent", "answered", "not-run", "unknown", "wrong", "failed",
           "cut", "resent", "p50 ms", "p99 ms");
    for (int i = 0; i < l->n_stats; i++) {
        const LoadStat *s = &l->stats[i];
        printf("%-12s %-10s %7" G_GINT64_FORMAT " %8" G_GINT64_FORMAT
               " %7" G_GINT64_FORMAT " %7" G_GINT64_FORMAT
               " %5" G_GINT64_FORMAT " %6" G_GINT64_FORMAT
               " %5" G_GINT64_FORMAT " %6" G_GINT64_FORMAT " %8.1f %8.1f\n",
               s->service, s->rank, s->sent, s->answered, s->not_run,
               s->unknown, s->wrong, s->failed, s->cut, s->resent,
               percentile_ms(s, 0.5), percentile_ms(s, 0.99));
    }
    for (int i = 0; i < l->n_stats; i++) {
        const LoadStat *s = &l->stats[i];
        print_reasons(s, "not run", s->not_run_reasons);
        print_reasons(s, "unknown", s->unknown_reasons);
        if (s->twice > 0 || s->ran > 0) {
            printf("  %s %s: ran twice: %" G_GINT64_FORMAT
                   ", told not-run but ran: %" G_GINT64_FORMAT "\n",
                   s->service, s->rank, s->twice, s->ran);
        }
    }
}

typedef struct Field {
    const char *name;
    size_t offset;
} Field;

static const Field fields[] = {
    {"sent", offsetof(LoadStat, sent)},
    {"answered", offsetof(LoadStat, answered)},
    {"not_run", offsetof(LoadStat, not_run)},
    {"unknown", offsetof(LoadStat, unknown)},
    {"wrong", offsetof(LoadStat, wrong)},
    {"failed", offsetof(LoadStat, failed)},
    {"cut", offsetof(LoadStat, cut)},
    {"resent", offsetof(LoadStat, resent)},
    {"refused", offsetof(LoadStat, refused)},
    {"twice", offsetof(LoadStat, twice)},
    {"ran", offsetof(LoadStat, ran)},
};

/* Sets *out to the sum of a field, or the maximum for a latency, over the
 * stats that match; an empty stat matches all.  Returns false if no stat or no
 * field has the name. */
static bool
get_value(const Load *l, const char *stat, const char *field, double *out)
{
    double sent = 0;
    double answered = 0;
    bool found = false;

    *out = 0;
    for (int i = 0; i < l->n_stats; i++) {
        const LoadStat *s = &l->stats[i];
        char name[2 * NAME_BYTES];
        snprintf(name, sizeof(name), "%s.%s", s->service, s->rank);
        if (stat[0] != '\0' && strcmp(stat, name) != 0) {
            continue;
        }
        sent += (double)s->sent;
        answered += (double)s->answered;
        if (strcmp(field, "p50_ms") == 0) {
            *out = MAX(*out, percentile_ms(s, 0.5));
            found = true;
        }
        else if (strcmp(field, "p99_ms") == 0) {
            *out = MAX(*out, percentile_ms(s, 0.99));
            found = true;
        }
        else if (strcmp(field, "max_ms") == 0) {
            *out = MAX(*out, percentile_ms(s, 1.0));
            found = true;
        }
        for (size_t k = 0; k < G_N_ELEMENTS(fields); k++) {
            if (strcmp(field, fields[k].name) == 0) {
                *out += (double)*(const int64_t *)((const char *)s +
                                                   fields[k].offset);
                found = true;
            }
        }
    }
    if (strcmp(field, "answered_pct") == 0 && sent > 0) {
        *out = 100.0 * answered / sent;
        found = true;
    }
    return found;
}

static bool
expect_fail(const char *text, Err *e)
{
    return err_set(e, ERR_USAGE,
                   "--expect: found \"%.100s\"; allowed: "
                   "[SERVICE.RANK.]FIELD and =, <= or >= and a number, such "
                   "as \"unknown=0\"; correct the condition",
                   text);
}

bool
load_expect(const Load *l, const char *text, bool *holds, Err *e)
{
    size_t n = strcspn(text, "=<>");
    const char *op = text + n;
    size_t op_n = op[0] == '=' ? 1 : 2;
    char *end = NULL;
    double found = 0;

    if (op[0] == '\0' || (op_n == 2 && op[1] != '=')) {
        return expect_fail(text, e);
    }
    double limit = g_ascii_strtod(op + op_n, &end);
    if (end == op + op_n || *end != '\0') {
        return expect_fail(text, e);
    }
    char *name = g_strndup(text, n);
    char *dot = strrchr(name, '.');
    if (dot != NULL) {
        *dot = '\0';
    }
    bool ok = get_value(l, dot != NULL ? name : "",
                        dot != NULL ? dot + 1 : name, &found);
    g_free(name);
    if (!ok) {
        return expect_fail(text, e);
    }
    *holds = op[0] == '='   ? found == limit
             : op[0] == '<' ? found <= limit
                            : found >= limit;
    printf("%s %s (found %g)\n", *holds ? "met   " : "FAILED", text, found);
    return true;
}

/* Adds the run counts of an upstream, by key, to the sums. */
static bool
add_runs(GHashTable *sums, const char *address, Err *e)
{
    SoupSession *session =
        soup_session_new_with_options("timeout", RUNS_TIMEOUT_S, NULL);
    char url[128];
    JsonParser *parser = json_parser_new();
    GError *ge = NULL;
    bool ok = true;

    snprintf(url, sizeof(url), "http://%s/runs", address);
    SoupMessage *msg = soup_message_new("GET", url);
    GBytes *body = soup_session_send_and_read(session, msg, NULL, &ge);
    gsize n = 0;
    const char *p = body != NULL ? g_bytes_get_data(body, &n) : NULL;
    Err reason = {0};
    JsonObject *o =
        p == NULL ? NULL : jsontext_object(parser, (Str){p, n}, &reason);
    if (o == NULL) {
        ok = err_set(e, ERR_UNAVAILABLE,
                     "--upstreams: %s does not report its runs (%s); give "
                     "addresses of standin-upstream",
                     address, ge != NULL ? ge->message : reason.text);
    }
    else {
        JsonObjectIter it;
        const char *key;
        JsonNode *v;
        json_object_iter_init(&it, o);
        while (json_object_iter_next(&it, &key, &v)) {
            guint sum = GPOINTER_TO_UINT(g_hash_table_lookup(sums, key)) +
                        (guint)json_node_get_int(v);
            g_hash_table_insert(sums, g_strdup(key), GUINT_TO_POINTER(sum));
        }
    }
    g_clear_error(&ge);
    if (body != NULL) {
        g_bytes_unref(body);
    }
    g_object_unref(msg);
    g_object_unref(parser);
    g_object_unref(session);
    return ok;
}

bool
load_compare_runs(Load *l, Err *e)
{
    GHashTable *sums =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter it;
    gpointer key;
    gpointer p;
    bool ok = true;

    for (int i = 0; ok && i < l->o.n_upstreams; i++) {
        ok = add_runs(sums, l->o.upstreams[i], e);
    }
    g_hash_table_iter_init(&it, l->keys);
    while (ok && g_hash_table_iter_next(&it, &key, &p)) {
        const LoadKey *k = p;
        guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(sums, key));
        LoadStat *s = &l->stats[k->stat];
        s->twice += runs > 1;
        s->ran += runs > 0 && k->not_run;
    }
    g_hash_table_destroy(sums);
    return ok;
}
