/*
 * platform_store - key-value store of standin-platform: its calls, and the
 * control calls of the tests.
 */
#ifndef MIMOSA_PLATFORM_STORE_H
#define MIMOSA_PLATFORM_STORE_H

#include "platform_history.h"

/* Returns the decoded value of a query parameter, NULL if there is none; free
 * it with g_free(). */
static char *
query_param(Str target, const char *name)
{
    char *t = g_strndup(target.p, target.n);
    char *q = strchr(t, '?');
    char *out = NULL;
    char **parts = g_strsplit(q == NULL ? "" : q + 1, "&", 0);

    for (int i = 0; parts[i] != NULL; i++) {
        size_t n = strlen(name);
        if (strncmp(parts[i], name, n) == 0 && parts[i][n] == '=') {
            out = g_uri_unescape_string(parts[i] + n + 1, NULL);
        }
    }
    g_strfreev(parts);
    g_free(t);
    return out;
}

static void
expire_leases(Platform *p, int64_t now_us)
{
    for (guint i = p->leases->len; i-- > 0;) {
        Lease l = g_array_index(p->leases, Lease, i);
        if (now_us < l.end_us) {
            continue;
        }
        g_array_remove_index_fast(p->leases, i);
        for (guint k = 0; k < p->items->len; k++) {
            Item *it = g_ptr_array_index(p->items, k);
            if (it->lease == l.id && it->encoded != NULL) {
                put(p, it->key, NULL, 0);
            }
        }
    }
}

static Lease *
find_lease(Platform *p, uint64_t id)
{
    for (guint i = 0; i < p->leases->len; i++) {
        Lease *l = &g_array_index(p->leases, Lease, i);
        if (l->id == id) {
            return l;
        }
    }
    return NULL;
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp((*(Item *const *)a)->key, (*(Item *const *)b)->key);
}

static bool
is_serializable(Str target)
{
    char *value = query_param(target, "Serializable");
    bool yes = g_strcmp0(value, "1") == 0;

    g_free(value);
    return yes;
}

/* rev: "own", "newest" or empty, see platform.c. */
static void
set_copy(Platform *p, const char *rev)
{
    g_clear_pointer(&p->copy, g_ptr_array_unref);
    if (*rev == '\0') {
        return;
    }
    p->copy = copy_items(p->items);
    p->copy_rev = strcmp(rev, "own") == 0 ? p->rev : 0;
}

static void
drop_backup(Platform *p)
{
    if (p->backup != NULL) {
        g_ptr_array_unref(p->backup->items);
        g_array_unref(p->backup->leases);
        g_clear_pointer(&p->backup, g_free);
    }
}

static void
make_backup(Platform *p)
{
    drop_backup(p);
    p->backup = g_new(Backup, 1);
    *p->backup = (Backup){.items = copy_items(p->items),
                          .leases = g_array_copy(p->leases),
                          .rev = p->rev,
                          .last_lease_id = p->last_lease_id};
}

/* Goes on from the backup, in the next era.  Watches that wait end without an
 * answer. */
static void
restore_backup(Platform *p)
{
    Backup *b = p->backup;

    if (b == NULL) {
        return;
    }
    for (guint i = p->watches->len; i-- > 0;) {
        Watch *w = g_ptr_array_index(p->watches, i);
        Caller *c = w->caller;
        caller_set_user(c, NULL);
        watch_free(w);
        caller_abort(c);
    }
    g_ptr_array_unref(p->items);
    p->items = copy_items(b->items);
    g_array_unref(p->leases);
    p->leases = g_array_copy(b->leases);
    p->rev = b->rev;
    p->last_lease_id = b->last_lease_id;
    for (Event *ev = g_queue_peek_tail(p->history);
         ev != NULL && ev->item.rev > p->rev;
         ev = g_queue_peek_tail(p->history)) {
        event_free(g_queue_pop_tail(p->history));
    }
    p->era++;
}

/* Values that were replaced since are not kept: their keys are lost. */
static void
go_back(Platform *p, uint64_t n)
{
    p->rev -= MIN(n, p->rev);
    for (guint i = p->items->len; i-- > 0;) {
        if (((Item *)g_ptr_array_index(p->items, i))->rev > p->rev) {
            g_ptr_array_remove_index(p->items, i);
        }
    }
    for (Event *ev = g_queue_peek_tail(p->history);
         ev != NULL && ev->item.rev > p->rev;
         ev = g_queue_peek_tail(p->history)) {
        event_free(g_queue_pop_tail(p->history));
    }
}

static void
on_range(Platform *p, Caller *c, Str target, int64_t now_us)
{
    char *prefix = query_param(target, "PathPrefix");
    char *after = query_param(target, "after");
    GString *g = g_string_new("{\"items\":[");
    bool partial = p->mode == MODE_PARTIAL;
    bool copy = p->copy != NULL && is_serializable(target);
    bool lags = p->lag_us > 0 && is_serializable(target);
    const GPtrArray *items = copy ? p->copy : p->items;
    uint64_t rev = lags ? lagging_rev(p, now_us) : p->rev;
    rev = copy && p->copy_rev != 0 ? p->copy_rev : rev;
    GPtrArray *found = g_ptr_array_new();
    guint n = 0;

    for (guint i = 0; i < items->len; i++) {
        const Item *it = g_ptr_array_index(items, i);
        it = copy ? it : item_at(p, it, rev);
        if (it != NULL && it->encoded != NULL && prefix != NULL &&
            g_str_has_prefix(it->key, prefix) &&
            (after == NULL || strcmp(it->key, after) > 0)) {
            g_ptr_array_add(found, (gpointer)it);
        }
    }
    g_ptr_array_sort(found, compare_keys);
    while (n < MIN(found->len, STORE_PAGE_ITEMS) &&
           g->len < STORE_PAGE_BYTES) {
        append_item(g, g_ptr_array_index(found, n++));
    }
    g_string_append_printf(
        g, "],\"HasMore\":%s,\"CurrentRev\":%" G_GUINT64_FORMAT "}",
        partial || n < found->len ? "true" : "false", MAX(rev, 1));
    g_ptr_array_free(found, TRUE);
    if (!partial || after == NULL) {
        respond(p, c, 200, g->str);
    }
    g_string_free(g, TRUE);
    g_free(after);
    g_free(prefix);
}

static void
on_watch(Platform *p, Caller *c, Str target, int64_t now_us)
{
    char *after = query_param(target, "after");
    char *wait = query_param(target, "WaitMs");
    Watch *w = g_new0(Watch, 1);

    w->p = p;
    w->caller = c;
    w->prefix = query_param(target, "PathPrefix");
    w->after_rev = after == NULL ? 0 : g_ascii_strtoull(after, NULL, 10);
    w->timer = (EvlTimer){.fn = on_watch_end, .ctx = w};
    g_ptr_array_add(p->watches, w);
    drop_old_events(p, now_us);
    if (p->mode == MODE_FORGET || w->after_rev < p->lost_rev ||
        (p->backup != NULL && w->after_rev > p->rev)) {
        p->mode = p->mode == MODE_FORGET ? MODE_OK : p->mode;
        watch_free(w);
        respond(p, c, 410, "{}");
    }
    else if (respond_to_watch(w, UINT64_MAX, false)) {
        watch_free(w);
    }
    else {
        caller_set_user(c, w);
        evl_arm(p->loop, &w->timer,
                now_us + 1000 * atoll(wait == NULL ? "0" : wait));
    }
    g_free(after);
    g_free(wait);
}

static void
on_lease(Platform *p, Caller *c, const H1 *req, int64_t now_us)
{
    KvLease l = {0, 0};
    char body[96];
    char *text = g_strndup((const char *)req->body->data, req->body->len);
    char *ttl = strstr(text, "\":\"");

    l.ttl_us = ttl == NULL ? 0 : atoll(ttl + 3) * 1000;
    Lease x = {++p->last_lease_id, now_us + l.ttl_us, l.ttl_us};
    g_array_append_val(p->leases, x);
    snprintf(body, sizeof(body),
             "{\"Lease\":%" G_GUINT64_FORMAT ",\"Ttl_time\":\"%lldms\"}", x.id,
             (long long)(x.ttl_us / 1000));
    respond(p, c, 200, body);
    g_free(text);
}

/* Returns the text behind the first occurrence of name, up to a quote, comma
 * or brace; free it with g_free().  This suffices because the entry VMs send
 * transactions with a single put. */
static char *
body_field(const char *text, const char *name)
{
    char *s = strstr(text, name);

    if (s == NULL) {
        return NULL;
    }
    s += strlen(name);
    return g_strndup(s, strcspn(s, "\",}"));
}

static void
on_txn(Platform *p, Caller *c, const H1 *req)
{
    char *text = g_strndup((const char *)req->body->data, req->body->len);
    char *key = body_field(text, "\"Key\":\"");
    char *value = body_field(text, "\"Value\":\"");
    char *lease = body_field(text, "\"Lease\":");
    uint64_t id = lease == NULL ? 0 : g_ascii_strtoull(lease, NULL, 10);

    if (id != 0 && find_lease(p, id) == NULL) {
        respond(p, c, 404, "{}");
    }
    else if (key == NULL || value == NULL) {
        respond(p, c, 400, "{}");
    }
    else {
        put(p, key, value, id);
        respond(p, c, 200, "{\"Rev\":1}");
    }
    g_free(text);
    g_free(key);
    g_free(value);
    g_free(lease);
}

static void
on_lease_update(Platform *p, Caller *c, const char *id, bool end,
                int64_t now_us)
{
    Lease *l = find_lease(p, g_ascii_strtoull(id, NULL, 10));

    if (l == NULL) {
        respond(p, c, 404, "{}");
        return;
    }
    l->end_us = end ? 0 : now_us + l->ttl_us;
    expire_leases(p, now_us);
    respond(p, c, 200, "{}");
}

static Target *
find_target(Platform *p, const char *id)
{
    for (int i = 0; i < p->n_targets; i++) {
        if (strcmp(p->targets[i].id, id) == 0) {
            return &p->targets[i];
        }
    }
    return NULL;
}

static int
count_repeated(const Platform *p, const char *id_prefix)
{
    GHashTableIter it;
    gpointer id;
    gpointer runs;
    int n = 0;

    g_hash_table_iter_init(&it, p->runs);
    while (g_hash_table_iter_next(&it, &id, &runs)) {
        bool counts = g_str_has_prefix(id, id_prefix);
        n += counts && GPOINTER_TO_INT(runs) > 1 ? 1 : 0;
    }
    return n;
}

/* Answers a call that asks for counts; returns false if it asks for none. */
static bool
format_counts(Platform *p, const char *what, const char *arg, char *out,
              size_t cap)
{
    const Target *t = find_target(p, arg);

    if (strcmp(what, "runs") == 0) {
        snprintf(out, cap, "%d\n",
                 GPOINTER_TO_INT(g_hash_table_lookup(p->runs, arg)));
    }
    else if (strcmp(what, "repeated") == 0) {
        snprintf(out, cap, "%d\n", count_repeated(p, arg));
    }
    else if (strcmp(what, "broken") == 0) {
        snprintf(out, cap, "%d %d\n", p->late_after_notice, p->during_wait);
    }
    else if (strcmp(what, "endless") == 0) {
        snprintf(out, cap, "%d %d\n", p->n_endless, p->n_endless_begun);
    }
    else if (strcmp(what, "answer") == 0) {
        size_t i = (size_t)strtoul(arg, NULL, 10);
        out[0] = '\0';
        if (i < G_N_ELEMENTS(answers)) {
            snprintf(out, cap, "%s %d %s\n", answers[i].name,
                     answers[i].status, answers[i].body);
        }
    }
    else if (strcmp(what, "arrived") == 0) {
        snprintf(out, cap, "%d\n", t == NULL ? 0 : t->arrived);
    }
    else if (strcmp(what, "served") == 0) {
        snprintf(out, cap, "%d\n", t == NULL ? 0 : t->served);
    }
    else if (strcmp(what, "crashes") == 0) {
        int n = 0;
        for (int i = 0; i < p->n_targets; i++) {
            n += p->targets[i].crashes;
        }
        snprintf(out, cap, "%d\n", n);
    }
    else {
        return false;
    }
    return true;
}

/* Changes what a target says in its responses, or the path to it. */
static void
change_target(Target *t, const char *what, Str body)
{
    bool restart = strcmp(what, "restart") == 0;

    if (strcmp(what, "path") == 0) {
        t->path_cut = str_eqz(body, "cut");
        g_hash_table_remove_all(t->told);
        return;
    }
    if (restart) {
        char *key = g_strdup_printf("servers/%s", t->id);
        t->boot_ms++;
        g_hash_table_remove_all(t->told);
        put(t->p, key, NULL, 0); /* the next report writes it */
        g_free(key);
    }
    if (restart || strcmp(what, "leaving") == 0 || strcmp(what, "busy") == 0 ||
        strcmp(what, "well") == 0) {
        t->leaving = strcmp(what, "leaving") == 0;
        t->retry_after[0] = '\0';
        str_copy(t->retry_after, sizeof(t->retry_after), body);
    }
}

static void
set_mode(Platform *p, const char *name)
{
    for (int i = 0; i < (int)G_N_ELEMENTS(mode_names); i++) {
        if (strcmp(name, mode_names[i]) == 0) {
            p->mode = (Mode)i;
        }
    }
}

/* call: target of the request without "/test/". */
static void
on_control(Platform *p, Caller *c, const char *call, const H1 *req)
{
    char **parts = g_strsplit(call, "?", 2);
    const char *what = parts[0];
    const char *arg = parts[1] == NULL ? "" : parts[1];
    Str body = {(const char *)req->body->data, req->body->len};
    Target *t = find_target(p, arg);
    char out[64] = "{}";

    if (strcmp(what, "key") == 0) {
        char *key = g_uri_unescape_string(arg, NULL);
        put_bytes(p, key, body.p, body.n);
        g_free(key);
    }
    else if (strcmp(what, "delete") == 0) {
        put(p, arg, NULL, 0);
    }
    else if (strcmp(what, "copy") == 0) {
        set_copy(p, arg);
    }
    else if (strcmp(what, "back") == 0) {
        go_back(p, g_ascii_strtoull(arg, NULL, 10));
    }
    else if (strcmp(what, "backup") == 0) {
        make_backup(p);
    }
    else if (strcmp(what, "restore") == 0) {
        restore_backup(p);
    }
    else if (strcmp(what, "era") == 0) {
        p->era = g_ascii_strtoull(arg, NULL, 10);
    }
    else if (strcmp(what, "lag") == 0) {
        p->lag_us = 1000 * atoll(arg);
    }
    else if (strcmp(what, "mode") == 0) {
        set_mode(p, arg);
    }
    else if (!format_counts(p, what, arg, out, sizeof(out)) && t != NULL) {
        change_target(t, what, body);
    }
    respond(p, c, 200, out);
    g_strfreev(parts);
}

static void
on_store(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Platform *p = ctx;
    char *path = g_strndup(req->target.p, req->target.n);

    if (g_str_has_prefix(path, "/test/")) {
        on_control(p, c, path + strlen("/test/"), req);
    }
    else if (p->mode == MODE_BUSY || p->mode == MODE_REFUSE) {
        respond(p, c, p->mode == MODE_BUSY ? 503 : 429, "{}");
    }
    else if (p->mode == MODE_SILENT) {
        caller_set_user(c, NULL);
    }
    else if (g_str_has_prefix(path, "/api/kv-range")) {
        on_range(p, c, req->target, evl_now(p->loop));
    }
    else if (g_str_has_prefix(path, "/api/kv-watch")) {
        on_watch(p, c, req->target, now_us);
    }
    else if (strcmp(path, "/api/kv-lease") == 0) {
        on_lease(p, c, req, now_us);
    }
    else if (strcmp(path, "/api/kv-txn") == 0) {
        on_txn(p, c, req);
    }
    else if (g_str_has_prefix(path, "/api/kv-keep/")) {
        on_lease_update(p, c, path + strlen("/api/kv-keep/"), false, now_us);
    }
    else if (g_str_has_prefix(path, "/api/kv-lease-end/")) {
        on_lease_update(p, c, path + strlen("/api/kv-lease-end/"), true,
                        now_us);
    }
    else {
        respond(p, c, 404, "{}");
    }
    g_free(path);
}

static void
on_watcher_disconnected(void *ctx, void *user, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
    watch_free(user);
}

#endif
