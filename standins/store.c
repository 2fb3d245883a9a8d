/*
 * standin-store - stand-in for the platform's key-value service and VM list.
 *
 *   GET    /v1/kv/KEY                       200 value, 404
 *   PUT    /v1/kv/KEY?cas=V[&lease=ID]      200, 409 (V differs), 410 (lease)
 *   DELETE /v1/kv/KEY?cas=V                 200, 404, 409
 *   GET    /v1/watch/KEY?after=V&wait_ms=M  200 value, 404 (deleted after V),
 *                                           204 (no news within M)
 *   POST   /v1/lease?ttl_ms=M               200 {"id":"N"}
 *   PUT    /v1/lease/ID                     200, 404 (lapsed)
 *   GET    /v1/vms                          200 {"vms":[{"id":..,"zone":..,
 *                                           "state":"live|leaving"}]}
 *
 * Each answer about a key has its version in Store-Version, 0 when the key
 * does not exist.  Versions come from one counter, so that a key that was
 * deleted and made again never has an old version.  Controls for tests, which
 * faults do not touch:
 *
 *   PUT  /v1/vms    sets the VM list (the JSON of GET /v1/vms)
 *   POST /v1/fault  JSON object, any of: "slow_ms" (delay of each call),
 *                   "down" (closes connections without an answer), "hang"
 *                   (never answers), "lose_answers" (closes without an answer
 *                   after the next N writes took effect), "stale_vms" (GET
 *                   gives the list as it was when this was set); {} clears all
 *   GET  /v1/calls  JSON counts of calls by kind; a waiting watch is one call
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <libsoup/soup.h>

#include "jsontext.h"
#include "mimosascale.h"
#include "standin.h"
#include "store_data.h"

#define WATCH_MS_MAX 300000
#define LEASE_TTL_MS_MAX 600000
#define LEASE_STEP_MS 20
#define KV_PATH "/v1/kv/"
#define WATCH_PATH "/v1/watch/"
#define LEASE_PATH "/v1/lease"

typedef struct Lease {
    gint64 ttl_us;
    gint64 until_us;
} Lease;

typedef enum Call {
    CALL_READ,
    CALL_WRITE,
    CALL_WATCH,
    CALL_LEASE,
    CALL_VMS,
    CALLS
} Call;

typedef struct Store {
    StoreData data;
    GHashTable *leases; /* id -> Lease */
    GList *watches;     /* of Watch */
    guint64 lease_id;
    char *vms;
    char *stale_vms; /* NULL: not stale */
    gint64 slow_ms;
    bool down;
    bool hang;
    gint64 lose_answers;
    guint64 calls[CALLS];
} Store;

typedef struct Watch {
    Store *s;
    SoupServerMessage *msg;
    char *key;
    guint64 after;
    guint timer;
} Watch;

static guint64
version_of(Store *s, const char *key)
{
    const Item *i = g_hash_table_lookup(s->data.items, key);

    return i != NULL && i->value != NULL ? i->version : 0;
}

static void
answer(SoupServerMessage *msg, guint status, guint64 version, GBytes *body)
{
    char v[24];

    snprintf(v, sizeof(v), "%" G_GUINT64_FORMAT, version);
    soup_message_headers_replace(soup_server_message_get_response_headers(msg),
                                 "Store-Version", v);
    if (body != NULL) {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(msg), "Content-Type",
            "application/octet-stream");
        soup_message_body_append_bytes(
            soup_server_message_get_response_body(msg), body);
    }
    soup_server_message_set_status(msg, status, NULL);
}

static void
answer_item(SoupServerMessage *msg, const Item *i)
{
    if (i == NULL || i->value == NULL) {
        answer(msg, 404, 0, NULL);
    }
    else {
        answer(msg, 200, i->version, i->value);
    }
}

static void watch_gone(SoupServerMessage *msg, gpointer ctx);

static void
watch_free(Watch *w)
{
    w->s->watches = g_list_remove(w->s->watches, w);
    g_signal_handlers_disconnect_by_func(w->msg, watch_gone, w);
    if (w->timer != 0) {
        g_source_remove(w->timer);
    }
    g_object_unref(w->msg);
    g_free(w->key);
    g_free(w);
}

static void
watch_gone(SoupServerMessage *msg, gpointer ctx)
{
    (void)msg;
    watch_free(ctx);
}

static void
watch_end(Watch *w, bool news)
{
    SoupServerMessage *msg = g_object_ref(w->msg);

    if (news) {
        answer_item(msg, g_hash_table_lookup(w->s->data.items, w->key));
    }
    else {
        answer(msg, 204, version_of(w->s, w->key), NULL);
    }
    watch_free(w);
    soup_server_message_unpause(msg);
    g_object_unref(msg);
}

static gboolean
watch_timeout(gpointer ctx)
{
    Watch *w = ctx;

    w->timer = 0;
    watch_end(w, false);
    return G_SOURCE_REMOVE;
}

/* Sets or, with value NULL, deletes a key and tells its watches. */
static guint64
set_item(Store *s, const char *key, GBytes *value, guint64 lease)
{
    Item *i = g_new0(Item, 1);

    i->value = value;
    i->version = ++s->data.version;
    i->lease = lease;
    g_hash_table_insert(s->data.items, g_strdup(key), i);
    store_save(&s->data);
    for (GList *l = s->watches; l != NULL;) {
        Watch *w = l->data;
        l = l->next;
        if (strcmp(w->key, key) == 0) {
            watch_end(w, true);
        }
    }
    return i->version;
}

static guint64
query_u64(GHashTable *query, const char *name, guint64 max, guint64 def)
{
    const char *v = query != NULL ? g_hash_table_lookup(query, name) : NULL;
    uint64_t n = 0;

    return v != NULL && str_u64(str_of(v), max, &n) ? n : def;
}

static void
on_write(Store *s, SoupServerMessage *msg, const char *key, GHashTable *query)
{
    bool put = strcmp(soup_server_message_get_method(msg), "PUT") == 0;
    SoupMessageBody *body = soup_server_message_get_request_body(msg);
    guint64 lease = query_u64(query, "lease", G_MAXUINT64, 0);
    guint64 have = version_of(s, key);

    if (query == NULL || g_hash_table_lookup(query, "cas") == NULL) {
        answer_text(msg, 400, "text/plain",
                    "found no cas; allowed: cas=VERSION; add it\n");
        return;
    }
    if (body->length > STORE_VALUE_BYTES_MAX) {
        answer(msg, 413, have, NULL);
        return;
    }
    if (query_u64(query, "cas", G_MAXUINT64, G_MAXUINT64) != have) {
        answer(msg, 409, have, NULL);
        return;
    }
    if (!put && have == 0) {
        answer(msg, 404, 0, NULL);
        return;
    }
    if (lease != 0 && !g_hash_table_contains(s->leases, &lease)) {
        answer(msg, 410, have, NULL);
        return;
    }
    guint64 v =
        set_item(s, key, put ? soup_message_body_flatten(body) : NULL, lease);
    if (s->lose_answers > 0) {
        s->lose_answers--;
        drop(msg);
        return;
    }
    answer(msg, 200, put ? v : 0, NULL);
}

static void
on_kv(Store *s, SoupServerMessage *msg, const char *path, GHashTable *query)
{
    const char *method = soup_server_message_get_method(msg);
    const char *key = path + strlen(KV_PATH);

    if (key[0] == '\0') {
        answer_text(msg, 400, "text/plain",
                    "found no key; allowed: /v1/kv/KEY; add it\n");
    }
    else if (strcmp(method, "GET") == 0) {
        s->calls[CALL_READ]++;
        answer_item(msg, g_hash_table_lookup(s->data.items, key));
    }
    else if (strcmp(method, "PUT") == 0 || strcmp(method, "DELETE") == 0) {
        s->calls[CALL_WRITE]++;
        on_write(s, msg, key, query);
    }
    else {
        answer(msg, 405, 0, NULL);
    }
}

static void
on_watch(Store *s, SoupServerMessage *msg, const char *path, GHashTable *query)
{
    const char *key = path + strlen(WATCH_PATH);
    guint64 after = query_u64(query, "after", G_MAXUINT64, 0);
    const Item *i = g_hash_table_lookup(s->data.items, key);

    s->calls[CALL_WATCH]++;
    if (i != NULL && i->version > after) {
        answer_item(msg, i);
        return;
    }
    Watch *w = g_new0(Watch, 1);
    w->s = s;
    w->msg = g_object_ref(msg);
    w->key = g_strdup(key);
    w->after = after;
    w->timer = g_timeout_add(
        (guint)query_u64(query, "wait_ms", WATCH_MS_MAX, WATCH_MS_MAX),
        watch_timeout, w);
    s->watches = g_list_prepend(s->watches, w);
    g_signal_connect(msg, "finished", G_CALLBACK(watch_gone), w);
    g_signal_connect(msg, "disconnected", G_CALLBACK(watch_gone), w);
    soup_server_message_pause(msg);
}

static void
on_lease(Store *s, SoupServerMessage *msg, const char *path, GHashTable *query)
{
    const char *method = soup_server_message_get_method(msg);
    gint64 now = g_get_monotonic_time();
    char text[48];
    uint64_t id = 0;

    s->calls[CALL_LEASE]++;
    if (strcmp(method, "POST") == 0) {
        guint64 ttl = query_u64(query, "ttl_ms", LEASE_TTL_MS_MAX, 0);
        if (ttl == 0) {
            answer_text(msg, 400, "text/plain",
                        "found no ttl_ms; allowed: 1 to 600000; add it\n");
            return;
        }
        Lease *l = g_new0(Lease, 1);
        guint64 *key = g_memdup2(&(guint64){++s->lease_id}, sizeof(guint64));
        l->ttl_us = (gint64)ttl * 1000;
        l->until_us = now + l->ttl_us;
        g_hash_table_insert(s->leases, key, l);
        snprintf(text, sizeof(text), "{\"id\":\"%" G_GUINT64_FORMAT "\"}",
                 *key);
        answer_text(msg, 200, "application/json", text);
        return;
    }
    const char *id_text = path + strlen(LEASE_PATH);
    Lease *l = NULL;
    if (*id_text == '/' && str_u64(str_of(id_text + 1), G_MAXUINT64, &id)) {
        l = g_hash_table_lookup(s->leases, &id);
    }
    if (l != NULL) {
        l->until_us = now + l->ttl_us;
    }
    answer_text(msg, l != NULL ? 200 : 404, "application/json", "{}");
}

static void
drop_leased(Store *s, guint64 id)
{
    GList *keys = g_hash_table_get_keys(s->data.items);

    for (GList *l = keys; l != NULL; l = l->next) {
        const Item *i = g_hash_table_lookup(s->data.items, l->data);
        if (i->value != NULL && i->lease == id) {
            char *key = g_strdup(l->data);
            set_item(s, key, NULL, 0);
            g_free(key);
        }
    }
    g_list_free(keys);
}

static gboolean
on_lease_step(gpointer ctx)
{
    Store *s = ctx;
    gint64 now = g_get_monotonic_time();
    GList *ids = g_hash_table_get_keys(s->leases);

    for (GList *l = ids; l != NULL; l = l->next) {
        guint64 id = *(guint64 *)l->data;
        const Lease *lease = g_hash_table_lookup(s->leases, &id);
        if (lease->until_us <= now) {
            g_hash_table_remove(s->leases, &id);
            drop_leased(s, id);
        }
    }
    g_list_free(ids);
    return G_SOURCE_CONTINUE;
}

static void
on_vms(Store *s, SoupServerMessage *msg)
{
    SoupMessageBody *body = soup_server_message_get_request_body(msg);

    if (strcmp(soup_server_message_get_method(msg), "PUT") == 0) {
        g_free(s->vms);
        s->vms = g_strndup(body->data, (gsize)body->length);
        answer_text(msg, 200, "application/json", "{}");
        return;
    }
    s->calls[CALL_VMS]++;
    answer_text(msg, 200, "application/json",
                s->stale_vms != NULL ? s->stale_vms : s->vms);
}

static void
on_fault(Store *s, SoupServerMessage *msg)
{
    SoupMessageBody *body = soup_server_message_get_request_body(msg);
    JsonParser *p = json_parser_new();
    JsonObject *o =
        jsontext_object(p, (Str){body->data, (size_t)body->length}, NULL);

    if (o == NULL) {
        answer_text(msg, 400, "text/plain",
                    "found other text; allowed: a JSON object; correct it\n");
        g_object_unref(p);
        return;
    }
    s->slow_ms = json_object_get_int_member_with_default(o, "slow_ms", 0);
    s->down = json_object_get_boolean_member_with_default(o, "down", FALSE);
    s->hang = json_object_get_boolean_member_with_default(o, "hang", FALSE);
    s->lose_answers =
        json_object_get_int_member_with_default(o, "lose_answers", 0);
    bool stale =
        json_object_get_boolean_member_with_default(o, "stale_vms", FALSE);
    if (stale != (s->stale_vms != NULL)) {
        g_clear_pointer(&s->stale_vms, g_free);
        s->stale_vms = stale ? g_strdup(s->vms) : NULL;
    }
    g_object_unref(p);
    answer_text(msg, 200, "application/json", "{}");
}

static void
on_calls(Store *s, SoupServerMessage *msg)
{
    char text[256];

    snprintf(text, sizeof(text),
             "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
             ",\"watches\":%" G_GUINT64_FORMAT ",\"leases\":%" G_GUINT64_FORMAT
             ",\"vms\":%" G_GUINT64_FORMAT "}\n",
             s->calls[CALL_READ], s->calls[CALL_WRITE], s->calls[CALL_WATCH],
             s->calls[CALL_LEASE], s->calls[CALL_VMS]);
    answer_text(msg, 200, "application/json", text);
}

static void
serve(Store *s, SoupServerMessage *msg, const char *path, GHashTable *query)
{
    if (g_str_has_prefix(path, KV_PATH)) {
        on_kv(s, msg, path, query);
    }
    else if (g_str_has_prefix(path, WATCH_PATH)) {
        on_watch(s, msg, path, query);
    }
    else if (g_str_has_prefix(path, LEASE_PATH)) {
        on_lease(s, msg, path, query);
    }
    else if (strcmp(path, "/v1/vms") == 0) {
        on_vms(s, msg);
    }
    else {
        answer(msg, 404, 0, NULL);
    }
}

/* A call that waits for the delay of the fault "slow_ms". */
typedef struct Late {
    Store *s;
    SoupServerMessage *msg;
    char *path;
    GHashTable *query;
} Late;

static gboolean
on_late(gpointer ctx)
{
    Late *l = ctx;

    soup_server_message_unpause(l->msg);
    serve(l->s, l->msg, l->path, l->query);
    if (l->query != NULL) {
        g_hash_table_unref(l->query);
    }
    g_object_unref(l->msg);
    g_free(l->path);
    g_free(l);
    return G_SOURCE_REMOVE;
}

static bool
is_control(const char *method, const char *path)
{
    return strcmp(path, "/v1/fault") == 0 || strcmp(path, "/v1/calls") == 0 ||
           (strcmp(path, "/v1/vms") == 0 && strcmp(method, "PUT") == 0);
}

static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer ctx)
{
    Store *s = ctx;

    (void)server;
    if (is_control(soup_server_message_get_method(msg), path)) {
        if (strcmp(path, "/v1/fault") == 0) {
            on_fault(s, msg);
        }
        else if (strcmp(path, "/v1/calls") == 0) {
            on_calls(s, msg);
        }
        else {
            on_vms(s, msg);
        }
    }
    else if (s->down) {
        drop(msg);
    }
    else if (s->hang) {
        soup_server_message_pause(msg);
    }
    else if (s->slow_ms > 0) {
        Late *l = g_new0(Late, 1);
        *l = (Late){s, g_object_ref(msg), g_strdup(path),
                    query != NULL ? g_hash_table_ref(query) : NULL};
        soup_server_message_pause(msg);
        g_timeout_add((guint)s->slow_ms, on_late, l);
    }
    else {
        serve(s, msg, path, query);
    }
}

static int
usage(FILE *f)
{
    fputs("usage: standin-store --listen IP:PORT [--file FILE]\n", f);
    return f == stdout ? 0 : 2;
}

static bool
read_options(int argc, char **argv, const char **listen, const char **file,
             int *rc)
{
    static const struct option opts[] = {
        {"listen", required_argument, NULL, 'l'},
        {"file", required_argument, NULL, 'f'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {0},
    };

    for (int c; (c = getopt_long(argc, argv, "", opts, NULL)) != -1;) {
        if (c == 'l') {
            *listen = optarg;
        }
        else if (c == 'f') {
            *file = optarg;
        }
        else if (c == 'v') {
            puts("standin-store " MIMOSA_VERSION);
            return false;
        }
        else {
            *rc = usage(c == 'h' ? stdout : stderr);
            return false;
        }
    }
    if (*listen == NULL || optind != argc) {
        *rc = usage(stderr);
        return false;
    }
    return true;
}

int
main(int argc, char **argv)
{
    Store s = {0};
    const char *listen = NULL;
    int rc = 0;

    if (!read_options(argc, argv, &listen, &s.data.file, &rc)) {
        return rc;
    }
    s.data.items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                         store_item_free);
    s.leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s.vms = g_strdup("{\"vms\":[]}");
    store_load(&s.data);
    g_timeout_add(LEASE_STEP_MS, on_lease_step, &s);
    return standin_run("standin-store", listen, on_request, &s);
}
