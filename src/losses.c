/* losses - requests that were not served in time.  See losses.h. */
#include "losses.h"

#include <inttypes.h>
#include <string.h>

#include "limits.h"

/* Ratio of the time at an upstream to the usual one above which the upstream
 * is slow or did not have the object in its cache. */
#define SLOW_FACTOR 2
#define REASON_BYTES 64
#define ROW_BYTES 256

/* Lost requests of a row of a table. */
typedef struct Row {
    char *name;     /* first columns of the table, which also order it */
    int64_t second; /* wall time; 0 in the table without seconds */
    char *reason;
    int64_t requests;
} Row;

struct Losses {
    char region[NAME_BYTES]; /* of the VM whose log is read */
    GHashTable *groups;  /* name -> Row: by region, service, rank, reason */
    GHashTable *seconds; /* name -> Row: by second and reason */
    int64_t first_s;     /* wall time of the first request; 0: none */
    int64_t requests;
    int64_t lost;
    int64_t dropped;
    int64_t unreadable;
    char *unreadable_line; /* the first one */
};

static void
row_free(gpointer p)
{
    Row *r = p;

    g_free(r->name);
    g_free(r->reason);
    g_free(r);
}

Losses *
losses_new(void)
{
    Losses *l = g_new0(Losses, 1);

    l->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
    l->seconds =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
    losses_next_vm(l);
    return l;
}

void
losses_free(Losses *l)
{
    g_hash_table_destroy(l->groups);
    g_hash_table_destroy(l->seconds);
    g_free(l->unreadable_line);
    g_free(l);
}

void
losses_next_vm(Losses *l)
{
    g_strlcpy(l->region, "-", sizeof(l->region));
}

static void
count(GHashTable *rows, const char *name, int64_t second, const char *reason,
      int64_t requests)
{
    Row *r = g_hash_table_lookup(rows, name);

    if (r == NULL) {
        r = g_new0(Row, 1);
        r->name = g_strdup(name);
        r->second = second;
        r->reason = g_strdup(reason);
        g_hash_table_insert(rows, r->name, r);
    }
    r->requests += requests;
}

/* Returns the value of a field, empty if the line has none.  key: " NAME=". */
static Str
field(Str line, const char *key)
{
    const char *p = memmem(line.p, line.n, key, strlen(key));

    if (p == NULL) {
        return (Str){"", 0};
    }
    p += strlen(key);
    const char *end = memchr(p, ' ', line.n - (size_t)(p - line.p));
    return (Str){p, end == NULL ? line.n - (size_t)(p - line.p)
                                : (size_t)(end - p)};
}

/* Returns the whole part of a number, or -1. */
static int64_t
number(Str line, const char *key)
{
    Str v = field(line, key);
    const char *dot = memchr(v.p, '.', v.n);
    uint64_t n;

    v.n = dot == NULL ? v.n : (size_t)(dot - v.p);
    return str_u64(v, G_MAXINT64, &n) ? (int64_t)n : -1;
}

/* Reason for which an answer came after the latency target. */
static const char *
late_reason(Str line)
{
    int64_t sent = number(line, " sent_ms=");
    int64_t at_upstream = number(line, " took_ms=") - sent;

    if (number(line, " attempts=") > 1) {
        return "late_retried";
    }
    if (sent * 2 > number(line, " target_ms=")) {
        return "late_to_first_upstream";
    }
    if (at_upstream > SLOW_FACTOR * number(line, " usual_ms=")) {
        return "late_cold_or_slow";
    }
    if (number(line, " away=") == 1 && number(line, " new_conn=") == 1) {
        return "late_new_connection_away";
    }
    if (number(line, " load=") > number(line, " slots=")) {
        return "late_queued";
    }
    return "late_other";
}

/* Returns NULL for a request that was served in time.  text: buffer for
 * reasons that are names of events. */
static const char *
reason_of(Str line, char *text, size_t n)
{
    Str event = field(line, " event=");
    Str pick = field(line, " pick=");

    if (str_eqz(event, "answered") && number(line, " status=") < 500) {
        return number(line, " took_ms=") > number(line, " target_ms=")
                   ? late_reason(line)
                   : NULL;
    }
    if (str_eqz(event, "answered")) {
        return "upstream_error";
    }
    if (str_eqz(event, "no_room")) {
        return str_eqz(pick, "capped") ? "full_room_elsewhere"
                                       : "full_everywhere";
    }
    g_snprintf(text, (gulong)n, "%.*s", (int)event.n, event.p);
    return text;
}

static void
add_unreadable(Losses *l, Str line)
{
    l->unreadable++;
    if (l->unreadable_line == NULL) {
        l->unreadable_line = g_strndup(line.p, line.n);
    }
}

static void
add_request(Losses *l, Str line, int64_t time_s)
{
    char name[ROW_BYTES];
    char text[REASON_BYTES];
    Str service = field(line, " service=");
    int64_t requests = number(line, " requests=");
    const char *reason = reason_of(line, text, sizeof(text));

    if (requests < 1 || time_s < 0 || (reason != NULL && *reason == '\0')) {
        add_unreadable(l, line);
        return;
    }
    l->first_s = l->first_s == 0 ? time_s : MIN(l->first_s, time_s);
    l->requests += requests;
    if (reason == NULL) {
        return;
    }
    l->lost += requests;
    g_snprintf(name, sizeof(name), "%-12s %-16.*s %4" PRId64 " %-26s",
               l->region, service.n == 0 ? 1 : (int)service.n,
               service.n == 0 ? "-" : service.p, number(line, " rank="),
               reason);
    count(l->groups, name, 0, reason, requests);
    g_snprintf(name, sizeof(name), "%020" PRId64 " %s", time_s, reason);
    count(l->seconds, name, time_s, reason, requests);
}

void
losses_add(Losses *l, Str line)
{
    const char *at = memmem(line.p, line.n, "time=", strlen("time="));

    if (line.n == 0) {
        return;
    }
    if (at == NULL || field(line, " part=").n == 0) {
        add_unreadable(l, line);
        return;
    }
    Str rest = {at, line.n - (size_t)(at - line.p)};
    Str part = field(rest, " part=");
    Str event = field(rest, " event=");
    if (str_eqz(part, "request") && !str_eqz(event, "no_route") &&
        !str_eqz(event, "bad_request")) {
        add_request(l, rest, number(line, "time="));
    }
    else if (str_eqz(part, "log")) {
        l->dropped += MAX(number(rest, " lines="), 0);
    }
    else if (str_eqz(part, "vm") && str_eqz(event, "started")) {
        Str r = field(rest, " region=");
        g_snprintf(l->region, sizeof(l->region), "%.*s", (int)r.n, r.p);
    }
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(((const Row *)a)->name, ((const Row *)b)->name);
}

static gint
by_requests(gconstpointer a, gconstpointer b)
{
    int64_t x = ((const Row *)a)->requests;
    int64_t y = ((const Row *)b)->requests;

    return x == y ? by_name(a, b) : (x > y ? -1 : 1);
}

static GList *
sorted(GHashTable *cells, GCompareFunc order)
{
    return g_list_sort(g_hash_table_get_values(cells), order);
}

void
losses_text(const Losses *l, GString *out)
{
    GList *groups = sorted(l->groups, by_requests);
    GList *seconds = sorted(l->seconds, by_name);

    g_string_append_printf(out, "%-12s %-16s %4s %-26s requests\n", "region",
                           "service", "rank", "reason");
    for (GList *i = groups; i != NULL; i = i->next) {
        const Row *r = i->data;
        g_string_append_printf(out, "%s %8" PRId64 "\n", r->name, r->requests);
    }
    g_string_append_printf(out, "\n%10s %-26s requests\n", "second", "reason");
    for (GList *i = seconds; i != NULL; i = i->next) {
        const Row *r = i->data;
        g_string_append_printf(out, "%10" PRId64 " %-26s %8" PRId64 "\n",
                               r->second - l->first_s, r->reason, r->requests);
    }
    g_string_append_printf(out,
                           "\n%" PRId64 " of %" PRId64
                           " requests were not served in time\n"
                           "%" PRId64 " lines were dropped; their requests "
                           "count under the next line of their kind\n"
                           "%" PRId64 " lines are unreadable%s%s\n",
                           l->lost, l->requests, l->dropped, l->unreadable,
                           l->unreadable > 0 ? ", first: " : "",
                           l->unreadable > 0 ? l->unreadable_line : "");
    g_list_free(groups);
    g_list_free(seconds);
}

/* Returns the names of all reasons, sorted; the caller frees the list only. */
static GList *
reasons_of(const Losses *l)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter it;
    gpointer row;

    g_hash_table_iter_init(&it, l->seconds);
    while (g_hash_table_iter_next(&it, NULL, &row)) {
        g_hash_table_add(names, ((Row *)row)->reason);
    }
    GList *list =
        g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
    g_hash_table_destroy(names);
    return list;
}

void
losses_plot(const Losses *l, GString *out)
{
    GList *seconds = sorted(l->seconds, by_name);
    GList *reasons = reasons_of(l);
    const char *separator = "plot";

    g_string_append(out, "set title 'Requests not served in time'\n"
                         "set xlabel 'second'; set ylabel 'requests'\n"
                         "set key outside; set grid\n"
                         "$losses << END\n");
    for (GList *i = seconds; i != NULL; i = i->next) {
        const Row *r = i->data;
        g_string_append_printf(out, "%" PRId64 " %s %" PRId64 "\n",
                               r->second - l->first_s, r->reason, r->requests);
    }
    g_string_append(out, "END\n");
    for (GList *i = reasons; i != NULL; i = i->next) {
        g_string_append_printf(
            out,
            "%s $losses using 1:(strcol(2) eq '%s' ? $3 : NaN) with "
            "linespoints title '%s' noenhanced",
            separator, (char *)i->data, (char *)i->data);
        separator = ", \\\n    ";
    }
    g_string_append(out, reasons == NULL ? "" : "\n");
    g_list_free(reasons);
    g_list_free(seconds);
}
