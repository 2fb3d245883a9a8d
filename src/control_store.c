/* control_store - configuration, VM list and rows in the store. */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "jsontext.h"
#include "lg.h"

#define PART "store"
#define US_PER_MS 1000
/* Short enough to notice a store that was replaced without closing. */
#define WATCH_MS 5000
/* A new VM sees itself as relay until it hears its zone. */
#define SETTLE_MS 1500
#define VMS_EVERY_MS 2000
/* Calls of the budget that are kept for rosters and the configuration. */
#define CALLS_KEPT 4.0
#define VMS_FRESH_MS 5000
#define ROWS_EVERY_MS 2000
#define ROW_CHANGE_MIN 0.001
#define LISTED_MAX (4 * VMS_MAX)

struct ControlStore {
    Control *c;
    int64_t born_us;
    bool config_busy;
    bool config_known;
    uint64_t config_at; /* store version that was read last */
    bool vms_busy;
    bool vms_wanted;
    int64_t vms_us;     /* when the newest list was asked for */
    GHashTable *listed; /* id -> itself */
    bool row_busy;
    int row_service; /* next service to read or write */
    int64_t rows_us;
    uint64_t row_at[SERVICES_MAX];
    char *row_text[SERVICES_MAX]; /* as it stands in the store */
};

ControlStore *
control_store_new(Control *c)
{
    ControlStore *s = g_new0(ControlStore, 1);

    s->c = c;
    s->born_us = g_get_monotonic_time();
    s->vms_us = s->born_us - VMS_FRESH_MS * US_PER_MS;
    s->listed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return s;
}

void
control_store_free(ControlStore *s)
{
    if (s == NULL) {
        return;
    }
    g_hash_table_destroy(s->listed);
    for (int i = 0; i < SERVICES_MAX; i++) {
        g_free(s->row_text[i]);
    }
    g_free(s);
}

bool
control_store_config_known(const ControlStore *s)
{
    return s->config_known;
}

void
control_store_want_vms(ControlStore *s)
{
    s->vms_wanted = true;
}

bool
control_store_unlisted(const ControlStore *s, const char *id, int64_t now_us)
{
    return now_us - s->vms_us < VMS_FRESH_MS * US_PER_MS &&
           g_hash_table_contains(s->listed, s->c->set.vm_id) &&
           !g_hash_table_contains(s->listed, id);
}

static bool
is_relay(const Control *c)
{
    const MembVm *r = memb_relay(c->memb, c->set.zone);

    return r != NULL && strcmp(r->id, c->set.vm_id) == 0;
}

/* The one relay that keeps the rows in the store: the first of all zones. */
static bool
is_first_relay(const Control *c)
{
    for (int i = 0; i < memb_count(c->memb); i++) {
        const MembVm *vm = memb_at(c->memb, i);
        if (vm->state == MEMB_LIVE && !vm->leaving) {
            return strcmp(vm->id, c->set.vm_id) == 0;
        }
    }
    return false;
}

static void
on_config(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlStore *s = ctx;

    s->config_busy = false;
    if (a->status == 200) {
        gsize n;
        const char *p = g_bytes_get_data(a->body, &n);
        s->config_known = true;
        s->config_at = a->version;
        control_offer(s->c, (Str){p, n}, "the store");
    }
    else if (a->status == 404) {
        s->config_known = true;
        s->config_at = a->version;
    }
    else if (a->status == 204) {
        /* Another version than the one that was read: the store came back
         * with other counts, so the key is read anew. */
        s->config_known = a->version == s->config_at;
    }
    else if (a->status == 0) {
        lg_line(LG_DEBUG, PART, "configuration: %s", e->text);
        s->config_known = false;
    }
    else {
        lg_line(LG_WARN, PART, "configuration: status %d of the store",
                a->status);
    }
}

static void
step_config(ControlStore *s, int64_t now)
{
    char path[96];
    unsigned ms = STORE_TIMEOUT_MS;
    bool settled = now - s->born_us > SETTLE_MS * US_PER_MS;

    if (s->config_busy) {
        return;
    }
    if (!s->config_known) {
        if (cfg_version(s->c->cfg) != 0 && !is_relay(s->c)) {
            return;
        }
        g_strlcpy(path, "/v1/kv/config", sizeof(path));
    }
    else if (settled && is_relay(s->c)) {
        g_snprintf(path, sizeof(path),
                   "/v1/watch/config?after=%" G_GUINT64_FORMAT "&wait_ms=%d",
                   s->config_at, WATCH_MS);
        ms += WATCH_MS;
    }
    else {
        return;
    }
    s->config_busy =
        storehttp_call(s->c->http, "GET", path, NULL, ms, on_config, s);
}

static void
take_vm(ControlStore *s, JsonObject *o)
{
    Control *c = s->c;
    const char *id = json_object_get_string_member_with_default(o, "id", "");
    const char *st =
        json_object_get_string_member_with_default(o, "state", "");
    bool leaving = strcmp(st, "leaving") == 0;

    if (!str_is_name(str_of(id), NAME_BYTES - 1)) {
        return;
    }
    g_hash_table_add(s->listed, g_strdup(id));
    if (strcmp(id, c->set.vm_id) == 0) {
        if (memb_self(c->memb)->leaving != (leaving || c->leaving)) {
            lg_decision(PART, "the VM list names this VM as %s", st);
            memb_self(c->memb)->leaving = leaving || c->leaving;
            control_local_dirty(c->local);
            control_peer_push(c->peer);
        }
        return;
    }
    memb_hint(c->memb, id, leaving, true, g_get_monotonic_time());
}

/* VMs that the list does not name are hinted as gone, when the list is whole
 * enough to name this VM. */
static void
hint_unlisted(ControlStore *s)
{
    Control *c = s->c;

    if (!g_hash_table_contains(s->listed, c->set.vm_id)) {
        return;
    }
    for (int i = 0; i < memb_count(c->memb); i++) {
        const MembVm *vm = memb_at(c->memb, i);
        if (!g_hash_table_contains(s->listed, vm->id)) {
            memb_hint(c->memb, vm->id, false, false, g_get_monotonic_time());
        }
    }
}

/* Reads {"vms":[{"id":..,"state":..}]}. */
static bool
take_vms(ControlStore *s, GBytes *body)
{
    JsonParser *p = json_parser_new();
    gsize n;
    const char *text = g_bytes_get_data(body, &n);
    JsonArray *vms = NULL;

    JsonObject *o = jsontext_object(p, (Str){text, n}, NULL);
    JsonNode *m = o == NULL ? NULL : json_object_get_member(o, "vms");
    if (m != NULL && JSON_NODE_HOLDS_ARRAY(m)) {
        vms = json_node_get_array(m);
    }
    if (vms != NULL && json_array_get_length(vms) <= LISTED_MAX) {
        g_hash_table_remove_all(s->listed);
        for (guint i = 0; i < json_array_get_length(vms); i++) {
            JsonNode *v = json_array_get_element(vms, i);
            if (JSON_NODE_HOLDS_OBJECT(v)) {
                take_vm(s, json_node_get_object(v));
            }
        }
        hint_unlisted(s);
    }
    g_object_unref(p);
    return vms != NULL;
}

static void
on_vms(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlStore *s = ctx;

    (void)e;
    s->vms_busy = false;
    if (a->status != 200) {
        return;
    }
    if (!take_vms(s, a->body)) {
        lg_line(LG_WARN, PART,
                "VM list is left: it is no JSON object with a list \"vms\"; "
                "check [store] address");
        return;
    }
    s->vms_us = a->sent_us;
}

static void
step_vms(ControlStore *s, int64_t now)
{
    int64_t age_ms = (now - s->vms_us) / US_PER_MS;
    bool due = (s->vms_wanted || is_relay(s->c)) && age_ms >= VMS_EVERY_MS;

    if (s->vms_busy || !due) {
        return;
    }
    s->vms_wanted = false;
    s->vms_busy = storehttp_call(s->c->http, "GET", "/v1/vms", NULL,
                                 STORE_TIMEOUT_MS, on_vms, s);
}

/* Lines "HOME ZONE SHARE". */
static char *
row_text(const Control *c, int service)
{
    const Manifest *m = cfg_manifest(c->cfg);
    GString *g = g_string_new(NULL);
    char num[G_ASCII_DTOSTR_BUF_SIZE];

    for (int h = 0; h < m->n_zones; h++) {
        const ShiftRow *r = control_rows_at(c->rows, service, h);
        for (int z = 0; z < m->n_zones; z++) {
            if (r->current[z] > ROW_CHANGE_MIN / 10) {
                g_ascii_formatd(num, sizeof(num), "%.6f", r->current[z]);
                g_string_append_printf(g, "%s %s %s\n", m->zones[h].name,
                                       m->zones[z].name, num);
            }
        }
    }
    return g_string_free(g, FALSE);
}

static void
offer_row(ControlStore *s, const char *service, const char *home,
          GPtrArray *zones, GArray *shares)
{
    if (zones->len > 0) {
        control_rows_offer(s->c->rows, service, home, (int)zones->len,
                           (char *const *)zones->pdata,
                           (const double *)(void *)shares->data);
    }
    g_ptr_array_set_size(zones, 0);
    g_array_set_size(shares, 0);
}

static void
take_row(ControlStore *s, const char *service, GBytes *body)
{
    gsize n;
    const char *p = g_bytes_get_data(body, &n);
    char *text = g_strndup(p, n);
    char **lines = g_strsplit(text, "\n", -1);
    GPtrArray *zones = g_ptr_array_new_with_free_func(g_free);
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(double));
    char home[NAME_BYTES] = "";

    for (int i = 0; lines[i] != NULL; i++) {
        char **w = g_strsplit(lines[i], " ", 4);
        if (g_strv_length(w) == 3 && zones->len < ZONES_MAX) {
            if (strcmp(home, w[0]) != 0) {
                offer_row(s, service, home, zones, shares);
                g_strlcpy(home, w[0], sizeof(home));
            }
            double v = g_ascii_strtod(w[2], NULL);
            g_ptr_array_add(zones, g_strdup(w[1]));
            g_array_append_val(shares, v);
        }
        g_strfreev(w);
    }
    offer_row(s, service, home, zones, shares);
    g_ptr_array_free(zones, TRUE);
    g_array_free(shares, TRUE);
    g_strfreev(lines);
    g_free(text);
}

static void
on_row_read(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlStore *s = ctx;
    const Manifest *m = cfg_manifest(s->c->cfg);

    (void)e;
    s->row_busy = false;
    if (m == NULL || s->row_service >= m->n_services || a->status == 0) {
        return;
    }
    s->row_at[s->row_service] = a->version;
    if (a->status == 200) {
        take_row(s, m->services[s->row_service].name, a->body);
    }
    s->row_service++;
    if (s->row_service == m->n_services) {
        s->row_service = 0;
        control_rows_offered(s->c->rows, "the store", g_get_monotonic_time());
    }
}

static void
on_row_written(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlStore *s = ctx;

    (void)e;
    s->row_busy = false;
    if (a->status == 200 || a->status == 409) {
        /* After a conflict the next write is based on the present one. */
        s->row_at[s->row_service] = a->version;
    }
    if (a->status != 200) {
        g_clear_pointer(&s->row_text[s->row_service], g_free);
    }
}

static void
row_path(const Control *c, int service, char *path, size_t cap, int64_t cas)
{
    const char *name = cfg_manifest(c->cfg)->services[service].name;

    g_snprintf(path, (gulong)cap, "/v1/kv/shift/%s", name);
    if (cas >= 0) {
        size_t n = strlen(path);
        g_snprintf(path + n, (gulong)(cap - n), "?cas=%" G_GINT64_FORMAT, cas);
    }
}

static void
write_rows(ControlStore *s, int64_t now)
{
    const Manifest *m = cfg_manifest(s->c->cfg);
    char path[NAME_BYTES + 64];

    if (now - s->rows_us < ROWS_EVERY_MS * US_PER_MS) {
        return;
    }
    s->rows_us = now;
    for (int i = 0; i < m->n_services; i++) {
        int k = (s->row_service + 1 + i) % m->n_services;
        char *text = row_text(s->c, k);
        if (g_strcmp0(text, s->row_text[k]) == 0) {
            g_free(text);
            continue;
        }
        s->row_service = k;
        g_free(s->row_text[k]);
        s->row_text[k] = text;
        GBytes *b = g_bytes_new(text, strlen(text));
        row_path(s->c, k, path, sizeof(path), (int64_t)s->row_at[k]);
        s->row_busy = storehttp_call(s->c->http, "PUT", path, b,
                                     STORE_TIMEOUT_MS, on_row_written, s);
        if (!s->row_busy) {
            g_clear_pointer(&s->row_text[k], g_free);
        }
        g_bytes_unref(b);
        return;
    }
}

static void
step_rows(ControlStore *s, int64_t now)
{
    char path[NAME_BYTES + 64];

    if (s->row_busy || cfg_manifest(s->c->cfg) == NULL) {
        return;
    }
    if (control_rows_ready(s->c->rows)) {
        if (is_first_relay(s->c)) {
            write_rows(s, now);
        }
        return;
    }
    if (s->row_service >= cfg_manifest(s->c->cfg)->n_services) {
        s->row_service = 0;
    }
    row_path(s->c, s->row_service, path, sizeof(path), -1);
    s->row_busy = storehttp_call(s->c->http, "GET", path, NULL,
                                 STORE_TIMEOUT_MS, on_row_read, s);
}

void
control_store_step(ControlStore *s, int64_t now_us)
{
    step_config(s, now_us);
    if (storelimit_left(&s->c->q, now_us) > CALLS_KEPT) {
        step_vms(s, now_us);
        step_rows(s, now_us);
    }
}

void
control_store_text(const ControlStore *s, GString *out)
{
    const StoreLimit *q = &s->c->q;

    g_string_append_printf(out,
                           "store config_known=%d calls=%" G_GUINT64_FORMAT
                           " refused=%" G_GUINT64_FORMAT " fails=%d\n",
                           s->config_known, q->calls, q->refused, q->fails);
}
