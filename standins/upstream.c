/*
 * standin-upstream - stand-in for one VM of a service.
 *
 * A request on any other path than those below takes a slot for the service
 * time, which a seeded generator spreads by --jitter on both sides, and is
 * answered with 200 and this body, so that a caller can check that the answer
 * is whole and its own:
 *
 *   "id=RID in=N out=M\n", then the N bytes of the request's body, then M
 *   bytes 'a' + i % 26; RID and M come from the query (rid=, bytes=)
 *
 * Over its slots it sheds (503, Mimosa-Shed: 1).  It stops work when the
 * caller closes the connection, and at Mimosa-Deadline-Ms with 504.  A request
 * with "X-Crash: 1" ends the process.  SIGTERM means leaving: answers carry
 * Mimosa-Leaving: 1 and the process ends after --drain-ms, when nothing runs.
 *
 *   GET /health   {"state":"ready|leaving|starting","load":L,"slots_busy":N}
 *   GET /runs     {"KEY":N}: runs that began, by Idempotency-Key
 *   GET /stats    counts; busy_max is the greatest number of requests at once,
 *                 last_start_leaving_ms when the last run began after SIGTERM
 */
#include <getopt.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "mimosascale.h"
#include "standin.h"

/* Service time of a cold start, as a multiple of a warm one. */
#define COLD_FACTOR 4.0
#define BYTES_MAX (8 * 1024 * 1024)
#define DRAIN_STEP_MS 20

typedef struct Opts {
    const char *listen;
    int slots;
    double service_ms;
    double jitter; /* part of the service time, on both sides */
    gint64 cold_ms;
    gint64 drain_ms;
    gint64 health_lag_ms; /* age of the figures that /health gives */
    guint32 seed;
    bool lie_load;
} Opts;

typedef struct Upstream {
    Opts o;
    GMainLoop *loop;
    GRand *rnd;
    GHashTable *runs; /* key -> count */
    gint64 started_us;
    gint64 leaving_us; /* 0: not leaving */
    gint64 last_start_us;
    int busy;
    int busy_max;
    int busy_told; /* as /health gives it */
    gint64 told_us;
    guint64 n_runs;
    guint64 n_shed;
    guint64 n_cancelled;
    guint64 n_late;
} Upstream;

typedef struct Run {
    Upstream *u;
    SoupServerMessage *msg;
    char *rid;
    gsize out_bytes;
    bool late; /* the deadline comes before the end of the work */
    guint timer;
    GSource *closed; /* sees the caller close the connection */
} Run;

static void
set_leaving(const Upstream *u, SoupServerMessage *msg)
{
    if (u->leaving_us != 0) {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(msg), "Mimosa-Leaving",
            "1");
    }
}

static void
run_free(Run *r)
{
    r->u->busy--;
    if (r->timer != 0) {
        g_source_remove(r->timer);
    }
    if (r->closed != NULL) {
        g_source_destroy(r->closed);
        g_source_unref(r->closed);
    }
    g_object_unref(r->msg);
    g_free(r->rid);
    g_free(r);
}

/* Answers with the echo of the request. */
static void
answer_run(Run *r)
{
    SoupMessageBody *in = soup_server_message_get_request_body(r->msg);
    GString *out = g_string_sized_new(r->out_bytes + (gsize)in->length + 128);

    g_string_append_printf(out, "id=%s in=%zu out=%zu\n", r->rid,
                           (gsize)in->length, r->out_bytes);
    if (in->length > 0) {
        g_string_append_len(out, in->data, (gssize)in->length);
    }
    for (gsize i = 0; i < r->out_bytes; i++) {
        g_string_append_c(out, (gchar)('a' + i % 26));
    }
    soup_message_body_append_take(
        soup_server_message_get_response_body(r->msg), (guchar *)out->str,
        out->len);
    g_string_free(out, FALSE);
    soup_message_headers_replace(
        soup_server_message_get_response_headers(r->msg), "Content-Type",
        "application/octet-stream");
    soup_server_message_set_status(r->msg, 200, NULL);
}

static gboolean
on_run_end(gpointer ctx)
{
    Run *r = ctx;
    SoupServerMessage *msg = g_object_ref(r->msg);

    r->timer = 0;
    set_leaving(r->u, msg);
    if (r->late) {
        r->u->n_late++;
        answer_text(msg, 504, "text/plain", "the deadline has passed\n");
    }
    else {
        answer_run(r);
    }
    run_free(r);
    soup_server_message_unpause(msg);
    g_object_unref(msg);
    return G_SOURCE_REMOVE;
}

static gboolean
on_readable(GSocket *sock, GIOCondition cond, gpointer ctx)
{
    Run *r = ctx;
    SoupServerMessage *msg = r->msg;
    char c;

    (void)cond;
    if (recv(g_socket_get_fd(sock), &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
        return G_SOURCE_REMOVE; /* the next request is already there */
    }
    r->u->n_cancelled++;
    g_object_ref(msg);
    run_free(r);
    /* libsoup finds the closed connection when it goes on. */
    soup_server_message_set_status(msg, 500, NULL);
    soup_server_message_unpause(msg);
    g_object_unref(msg);
    return G_SOURCE_REMOVE;
}

static double
service_ms(Upstream *u)
{
    double ms = u->o.service_ms *
                g_rand_double_range(u->rnd, 1 - u->o.jitter, 1 + u->o.jitter);
    double up_ms = (double)(g_get_monotonic_time() - u->started_us) / 1000;

    if (up_ms < (double)u->o.cold_ms) {
        ms *= COLD_FACTOR - (COLD_FACTOR - 1) * up_ms / (double)u->o.cold_ms;
    }
    return ms;
}

static void
count_run(Upstream *u, const char *key)
{
    u->n_runs++;
    u->last_start_us = g_get_monotonic_time();
    if (key != NULL) {
        guint n = GPOINTER_TO_UINT(g_hash_table_lookup(u->runs, key));
        g_hash_table_insert(u->runs, g_strdup(key), GUINT_TO_POINTER(n + 1));
    }
}

/* A whole number of the query or of a header, or def. */
static guint64
number(const char *text, guint64 max, guint64 def)
{
    uint64_t n = 0;

    return text != NULL && str_u64(str_of(text), max, &n) ? n : def;
}

static void
begin_run(Upstream *u, SoupServerMessage *msg, GHashTable *query)
{
    SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
    const char *rid = query != NULL ? g_hash_table_lookup(query, "rid") : NULL;
    const char *bytes =
        query != NULL ? g_hash_table_lookup(query, "bytes") : NULL;
    double ms = service_ms(u);
    guint64 deadline = number(
        soup_message_headers_get_one(h, "Mimosa-Deadline-Ms"), 600000, 600000);
    Run *r = g_new0(Run, 1);

    r->u = u;
    r->msg = g_object_ref(msg);
    r->rid = g_strdup(rid != NULL ? rid : "");
    r->out_bytes = number(bytes, BYTES_MAX, 0);
    r->late = ms > (double)deadline;
    u->busy++;
    u->busy_max = MAX(u->busy_max, u->busy);
    count_run(u, soup_message_headers_get_one(h, "Idempotency-Key"));
    r->timer =
        g_timeout_add((guint)(r->late ? (double)deadline : ms), on_run_end, r);
    r->closed = g_socket_create_source(soup_server_message_get_socket(msg),
                                       G_IO_IN, NULL);
    g_source_set_callback(r->closed, G_SOURCE_FUNC(on_readable), r, NULL);
    g_source_attach(r->closed, NULL);
    soup_server_message_pause(msg);
}

static const char *
state_name(const Upstream *u)
{
    if (u->leaving_us != 0) {
        return "leaving";
    }
    gint64 up_us = g_get_monotonic_time() - u->started_us;
    return up_us < u->o.cold_ms * 1000 ? "starting" : "ready";
}

static void
on_health(Upstream *u, SoupServerMessage *msg)
{
    char text[128];
    char load[G_ASCII_DTOSTR_BUF_SIZE];
    gint64 now = g_get_monotonic_time();

    if (now - u->told_us >= u->o.health_lag_ms * 1000) {
        u->busy_told = u->busy;
        u->told_us = now;
    }
    int busy = u->o.lie_load ? 0 : u->busy_told;
    g_ascii_formatd(load, sizeof(load), "%.3f", (double)busy / u->o.slots);
    snprintf(text, sizeof(text),
             "{\"state\":\"%s\",\"load\":%s,\"slots_busy\":%d}", state_name(u),
             load, busy);
    answer_text(msg, 200, "application/json", text);
}

static void
on_runs(Upstream *u, SoupServerMessage *msg)
{
    GString *g = g_string_new("{");
    GHashTableIter it;
    gpointer k;
    gpointer v;

    g_hash_table_iter_init(&it, u->runs);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        char *key = g_strescape(k, NULL);
        g_string_append_printf(g, "%s\"%s\":%u", g->len > 1 ? "," : "", key,
                               GPOINTER_TO_UINT(v));
        g_free(key);
    }
    g_string_append(g, "}\n");
    answer_text(msg, 200, "application/json", g->str);
    g_string_free(g, TRUE);
}

static char *
stats_text(const Upstream *u)
{
    gint64 after_ms = u->leaving_us != 0 && u->last_start_us > u->leaving_us
                          ? (u->last_start_us - u->leaving_us) / 1000
                          : 0;

    return g_strdup_printf(
        "{\"runs\":%" G_GUINT64_FORMAT ",\"busy\":%d,\"busy_max\":%d,"
        "\"slots\":%d,\"shed\":%" G_GUINT64_FORMAT
        ",\"cancelled\":%" G_GUINT64_FORMAT ",\"late\":%" G_GUINT64_FORMAT
        ",\"last_start_leaving_ms\":%" G_GINT64_FORMAT "}\n",
        u->n_runs, u->busy, u->busy_max, u->o.slots, u->n_shed, u->n_cancelled,
        u->n_late, after_ms);
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer ctx)
{
    Upstream *u = ctx;
    SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);

    (void)server;
    set_leaving(u, msg);
    if (strcmp(path, "/health") == 0) {
        on_health(u, msg);
    }
    else if (strcmp(path, "/runs") == 0) {
        on_runs(u, msg);
    }
    else if (strcmp(path, "/stats") == 0) {
        char *text = stats_text(u);
        answer_text(msg, 200, "application/json", text);
        g_free(text);
    }
    else if (g_strcmp0(soup_message_headers_get_one(h, "X-Crash"), "1") == 0) {
        fprintf(stderr, "standin-upstream: X-Crash request: ending\n");
        _exit(70);
    }
    else if (u->busy >= u->o.slots) {
        u->n_shed++;
        soup_message_headers_replace(
            soup_server_message_get_response_headers(msg), "Mimosa-Shed", "1");
        answer_text(msg, 503, "text/plain", "all slots are busy\n");
    }
    else {
        begin_run(u, msg, query);
    }
}

static gboolean
on_drain_step(gpointer ctx)
{
    Upstream *u = ctx;
    gint64 age_us = g_get_monotonic_time() - u->leaving_us;

    if (u->busy > 0 || age_us < u->o.drain_ms * 1000) {
        return G_SOURCE_CONTINUE;
    }
    g_main_loop_quit(u->loop);
    return G_SOURCE_REMOVE;
}

static gboolean
on_term(gpointer ctx)
{
    Upstream *u = ctx;

    if (u->leaving_us == 0) {
        u->leaving_us = g_get_monotonic_time();
        g_timeout_add(DRAIN_STEP_MS, on_drain_step, u);
    }
    return G_SOURCE_CONTINUE;
}

static int
usage(FILE *f)
{
    fputs("usage: standin-upstream --listen IP:PORT [--slots N] "
          "[--service-ms MS]\n"
          "       [--jitter PART] [--seed N] [--cold-ms MS] [--drain-ms MS]\n"
          "       [--health-lag-ms MS] [--lie-load] [--help] [--version]\n",
          f);
    return f == stdout ? 0 : 2;
}

static const struct option long_opts[] = {
    {"listen", required_argument, NULL, 'l'},
    {"slots", required_argument, NULL, 's'},
    {"service-ms", required_argument, NULL, 'm'},
    {"jitter", required_argument, NULL, 'j'},
    {"seed", required_argument, NULL, 'r'},
    {"cold-ms", required_argument, NULL, 'c'},
    {"drain-ms", required_argument, NULL, 'd'},
    {"health-lag-ms", required_argument, NULL, 'g'},
    {"lie-load", no_argument, NULL, 'i'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'v'},
    {0},
};

static void
set_option(Opts *o, int c, const char *arg)
{
    switch (c) {
    case 'l':
        o->listen = arg;
        break;
    case 's':
        o->slots = (int)number(arg, SLOTS_PER_TARGET_MAX, 0);
        break;
    case 'm':
        o->service_ms = g_ascii_strtod(arg, NULL);
        break;
    case 'j':
        o->jitter = g_ascii_strtod(arg, NULL);
        break;
    case 'r':
        o->seed = (guint32)number(arg, G_MAXUINT32, 1);
        break;
    case 'c':
        o->cold_ms = (gint64)number(arg, 600000, 0);
        break;
    case 'd':
        o->drain_ms = (gint64)number(arg, 600000, 0);
        break;
    case 'g':
        o->health_lag_ms = (gint64)number(arg, 600000, 0);
        break;
    default:
        o->lie_load = true;
        break;
    }
}

/* Returns -1 to go on, else the exit code. */
static int
read_options(int argc, char **argv, Opts *o)
{
    for (int c; (c = getopt_long(argc, argv, "", long_opts, NULL)) != -1;) {
        if (c == 'h') {
            return usage(stdout);
        }
        if (c == 'v') {
            puts("standin-upstream " MIMOSA_VERSION);
            return 0;
        }
        if (c == '?') {
            return usage(stderr);
        }
        set_option(o, c, optarg);
    }
    if (o->listen == NULL || optind != argc || o->slots < 1 ||
        !(o->service_ms >= 0) || !(o->jitter >= 0 && o->jitter <= 1)) {
        return usage(stderr);
    }
    return -1;
}

int
main(int argc, char **argv)
{
    Upstream u = {.o = {.slots = 4,
                        .service_ms = 20,
                        .jitter = 0.3,
                        .seed = 1,
                        .drain_ms = 4000}};
    int rc = read_options(argc, argv, &u.o);

    if (rc >= 0) {
        return rc;
    }
    u.rnd = g_rand_new_with_seed(u.o.seed);
    u.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    u.started_us = g_get_monotonic_time();
    u.loop = g_main_loop_new(NULL, FALSE);
    SoupServer *server =
        standin_listen("standin-upstream", u.o.listen, on_request, &u);
    if (server == NULL) {
        return 1;
    }
    g_unix_signal_add(SIGTERM, on_term, &u);
    g_unix_signal_add(SIGINT, standin_quit, u.loop);
    g_main_loop_run(u.loop);
    char *text = stats_text(&u);
    printf("standin-upstream: %s: %s", u.o.listen, text);
    g_free(text);
    g_object_unref(server);
    g_hash_table_destroy(u.runs);
    g_main_loop_unref(u.loop);
    g_rand_free(u.rnd);
    return 0;
}
