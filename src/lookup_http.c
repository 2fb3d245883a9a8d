/* lookup_http - HTTP service of mimosa-lookup.  See lookup_run.h. */
#include "lookup_run.h"

#include <signal.h>
#include <string.h>

#include "ctlc.h"
#include "ctr.h"
#include "hash.h"
#include "httpsrv.h"
#include "httptext.h"
#include "lg.h"
#include "lookup.h"
#include "loopsrc.h"

#define HEAD_MS 5000 /* time limit for reading a request head */
#define TICK_MS 50
/* A planned stop closes the listener after STOP_QUIET_MS without a request, at
 * the latest STOP_MARGIN_MS after the longest lifetime of an answer. */
#define STOP_MARGIN_MS 1000
#define STOP_QUIET_MS 2000
/* For callers that have not received an answer. */
#define STOP_LINGER_MS 2000
#define WEIGHT_MIN 0.1 /* weight of a VM without free slots */

struct LookupTask {
    const Settings *set;
    GMainLoop *loop;
    HttpSrv *http;
    CtlClient *ctl;
    CtrSet *ctrs;
    Ctr *requests;
    Ctr *answered;
    Ctr *refused;
    Ctr *no_vm;
    Snapshot *snap;
    LookupTable *table;
    uint8_t *near;
    LookupVm *vms;
    LookupIndex *index;
    int64_t stop_at_us;      /* start of the planned stop; 0: none */
    int64_t last_request_us; /* time of the latest request */
    int inflight;
};

static void
set_config(LookupTask *t, const Manifest *m)
{
    lookup_table_free(t->table);
    t->table = lookup_table_new(m->blocks, m->n_blocks);
    g_free(t->near);
    t->near = g_malloc0((gsize)m->n_zones * (gsize)m->n_zones);
    lookup_zone_order(m, t->near);
    lg_line(LG_INFO, "lookup",
            "configuration in force: %zu blocks in %zu bytes", m->n_blocks,
            lookup_table_bytes(t->table));
}

static void
set_vms(LookupTask *t, const Snapshot *s)
{
    g_free(t->vms);
    t->vms = g_new0(LookupVm, (gsize)s->n_vms + 1);
    for (int i = 0; i < s->n_vms; i++) {
        LookupVm *v = &t->vms[i];
        const MembVm *from = &s->vms[i];
        g_strlcpy(v->id, from->id, sizeof(v->id));
        g_strlcpy(v->address, from->entry, sizeof(v->address));
        v->hash = hash_str(str_of(from->id), 0);
        v->zone = s->vm_zone[i];
        v->live = from->state == MEMB_LIVE && from->entry[0] != '\0';
        v->leaving = from->leaving;
        v->weight = MAX(from->free_slots, WEIGHT_MIN);
    }
    lookup_index_free(t->index);
    t->index = lookup_index_new(t->vms, s->n_vms, s->m->n_zones);
}

void
lookup_take_snapshot(void *ctx, Snapshot *s)
{
    LookupTask *t = ctx;
    Snapshot *old = t->snap;

    if (s->m == NULL || s->own_zone < 0 ||
        (old != NULL && s->config_version < old->config_version)) {
        return;
    }
    t->snap = snap_ref(s);
    if (old == NULL || old->config_version != s->config_version) {
        set_config(t, s->m);
    }
    set_vms(t, s);
    snap_unref(old);
}

static void
fill_report(void *ctx, SnapReport *r)
{
    LookupTask *t = ctx;

    r->leaving = t->stop_at_us != 0;
    r->config_version = t->snap == NULL ? 0 : t->snap->config_version;
    g_snprintf(r->counters, sizeof(r->counters),
               "lookup_requests_total %" G_GINT64_FORMAT "\n"
               "lookup_answered_total %" G_GINT64_FORMAT "\n",
               t->requests->value, t->answered->value);
}

static void
reject(LookupTask *t, SoupServerMessage *msg, int status, const char *reason,
       const char *text)
{
    ctr_add(t->refused, 1);
    lg_decision("lookup", "refused: reason=%s %s", reason, text);
    http_answer(msg, status, "not-run",
                http_outcome_json("not-run", reason, text, 0), 0);
}

static GString *
answer_text(const LookupTask *t, const LookupAnswer *a)
{
    GString *g = g_string_new("{\"entries\":[");

    for (int i = 0; i < a->n; i++) {
        g_string_append_printf(g, "%s\"%s\"", i == 0 ? "" : ",",
                               t->vms[a->vm[i]].address);
    }
    g_string_append_printf(g,
                           "],\"home\":\"%s\",\"lifetime_ms\":"
                           "%" G_GINT64_FORMAT "}\n",
                           t->snap->m->zones[a->home].name, a->lifetime_ms);
    return g;
}

static void
respond(LookupTask *t, SoupServerMessage *msg, int service,
        const uint8_t addr[16])
{
    Snapshot *sn = t->snap;
    int n = sn->m->n_zones;
    LookupPlace p = lookup_place(t->table, addr);
    int home = p.zone >= 0 && p.zone < n ? p.zone : sn->own_zone;
    ShiftRow *row = &sn->rows[service * n + home];

    shift_step(row, g_get_monotonic_time());
    LookupView v = {.vms = t->vms,
                    .n_vms = sn->n_vms,
                    .n_zones = n,
                    .row = row->current,
                    .moving = shift_moving(row),
                    .index = t->index};
    LookupAnswer a = lookup_decide(&p, &v, t->near, sn->own_zone);
    lg_decision("lookup",
                "answer: service=%s home=%s zone=%s vm=%s "
                "lifetime_ms=%" G_GINT64_FORMAT " reason=%s",
                sn->m->services[service].name, sn->m->zones[a.home].name,
                sn->m->zones[a.zone].name, a.n > 0 ? t->vms[a.vm[0]].id : "-",
                a.lifetime_ms, lookup_reason_name(a.reason));
    if (a.n == 0) {
        ctr_add(t->no_vm, 1);
        reject(t, msg, 503, "no-vm", "no entry VM is live; ask again later");
        return;
    }
    ctr_add(t->answered, 1);
    http_answer_text(msg, "application/json", answer_text(t, &a));
}

static void
on_lookup(SoupServer *server, SoupServerMessage *msg, const char *path,
          GHashTable *query, gpointer data)
{
    LookupTask *t = data;
    const char *service =
        query == NULL ? NULL : g_hash_table_lookup(query, "service");
    const char *client =
        query == NULL ? NULL : g_hash_table_lookup(query, "client");
    uint8_t addr[16];
    char text[ERR_TEXT_BYTES];

    (void)server;
    (void)path;
    ctr_add(t->requests, 1);
    t->last_request_us = g_get_monotonic_time();
    if (t->snap == NULL) {
        reject(t, msg, 503, "no-configuration",
               "no configuration yet; ask another look-up VM");
        return;
    }
    int s = manifest_service(t->snap->m, str_of(service));
    if (s < 0) {
        g_snprintf(text, sizeof(text),
                   "service: \"%.40s\" is not in the manifest; name one of "
                   "its %d services",
                   service == NULL ? "" : service, t->snap->m->n_services);
        reject(t, msg, 400, "value", text);
        return;
    }
    if (client == NULL || !http_addr_parse(client, addr)) {
        g_snprintf(text, sizeof(text),
                   "client: \"%.40s\" must be an IPv4 or IPv6 address; send "
                   "the caller's address",
                   client == NULL ? "" : client);
        reject(t, msg, 400, "value", text);
        return;
    }
    respond(t, msg, s, addr);
}

static void
on_counters(SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
    LookupTask *t = data;
    GString *g = g_string_new(NULL);

    (void)server;
    (void)path;
    (void)query;
    ctr_get(t->ctrs, "lookup_connections", "")->value =
        http_srv_connections(t->http);
    ctr_text(t->ctrs, g);
    http_answer_text(msg, "text/plain", g);
}

/* libsoup emits "request-read" and then "request-finished" or
 * "request-aborted"; a connection counts as busy between them. */
static void
on_read(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
    HttpConn *c = http_srv_conn(msg);

    (void)server;
    g_object_set_data(G_OBJECT(msg), "mimosa-read", data);
    ((LookupTask *)data)->inflight++;
    if (c != NULL) {
        http_conn_set_user(c, data);
        http_conn_set_answered(c);
    }
}

static void
on_finished(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
    HttpConn *c = http_srv_conn(msg);

    (void)server;
    if (g_object_steal_data(G_OBJECT(msg), "mimosa-read") != NULL) {
        ((LookupTask *)data)->inflight--;
    }
    if (c != NULL) {
        http_conn_set_user(c, NULL);
    }
}

static gboolean
on_tick(gpointer data)
{
    LookupTask *t = data;
    int64_t now = g_get_monotonic_time();

    lg_flush();
    if (t->stop_at_us == 0) {
        return G_SOURCE_CONTINUE;
    }
    int64_t end = t->stop_at_us +
                  (LOOKUP_LIFETIME_MAX_MS + STOP_MARGIN_MS) * INT64_C(1000);
    int64_t idle_end =
        MAX(t->last_request_us, t->stop_at_us) + STOP_QUIET_MS * INT64_C(1000);
    if (now >= MIN(end, idle_end)) {
        http_srv_stop_accepting(t->http);
        bool unfinished =
            now < MIN(end, idle_end) + STOP_LINGER_MS * INT64_C(1000) &&
            http_srv_unfinished(t->http) > 0;
        if (t->inflight == 0 && !unfinished) {
            g_main_loop_quit(t->loop);
        }
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_term(gpointer data)
{
    LookupTask *t = data;

    if (t->stop_at_us == 0) {
        lg_line(LG_INFO, "lookup", "planned stop begins");
        t->stop_at_us = g_get_monotonic_time();
        if (t->ctl != NULL) {
            ctlc_push(t->ctl);
        }
    }
    return G_SOURCE_CONTINUE;
}

static bool
start_http(LookupTask *t, Err *e)
{
    HttpSrvOpts o = {.address = t->set->lookup,
                     .certificate = t->set->tls_certificate,
                     .key = t->set->tls_key,
                     .connections_max = CALLER_CONNECTIONS_MAX,
                     .idle_ms = CALLER_IDLE_MS,
                     .head_ms = HEAD_MS,
                     .ctrs = t->ctrs,
                     .prefix = "lookup",
                     .ctx = t};

    t->http = http_srv_new(&o, e);
    if (t->http == NULL) {
        return false;
    }
    SoupServer *s = http_srv_soup(t->http);
    http_limit_bodies(s, "/v1");
    soup_server_add_handler(s, "/v1/lookup", on_lookup, t, NULL);
    soup_server_add_handler(s, "/v1/counters", on_counters, t, NULL);
    g_signal_connect(s, "request-read", G_CALLBACK(on_read), t);
    g_signal_connect(s, "request-finished", G_CALLBACK(on_finished), t);
    g_signal_connect(s, "request-aborted", G_CALLBACK(on_finished), t);
    return true;
}

static void
connect_control(LookupTask *t)
{
    CtlcOpts co = {.program = "lookup",
                   .address = t->set->control,
                   .fleet_key = t->set->fleet_key,
                   .on_snapshot = lookup_take_snapshot,
                   .fill_report = fill_report,
                   .ctx = t};

    t->ctl = ctlc_new(&co);
}

static void
lookup_end(LookupTask *t)
{
    if (t->ctl != NULL) {
        ctlc_free(t->ctl);
    }
    http_srv_free(t->http);
    lookup_table_free(t->table);
    lookup_index_free(t->index);
    snap_unref(t->snap);
    ctr_set_free(t->ctrs);
    g_main_context_pop_thread_default(g_main_loop_get_context(t->loop));
    g_main_loop_unref(t->loop);
    g_free(t->near);
    g_free(t->vms);
    g_free(t);
}

int
lookup_run(const Settings *set, LookupFeed feed, void *ctx, Err *e)
{
    LookupTask *t = g_new0(LookupTask, 1);

    signal(SIGPIPE, SIG_IGN);
    t->set = set;
    GMainContext *own = g_main_context_new();
    g_main_context_push_thread_default(own);
    t->loop = g_main_loop_new(own, FALSE);
    g_main_context_unref(own);
    t->ctrs = ctr_set_new();
    t->requests = ctr_get(t->ctrs, "lookup_requests_total", "");
    t->answered = ctr_get(t->ctrs, "lookup_answered_total", "");
    t->refused = ctr_get(t->ctrs, "lookup_refused_total", "");
    t->no_vm = ctr_get(t->ctrs, "lookup_no_vm_total", "");
    if (!start_http(t, e)) {
        return err_exit_code(e->kind);
    }
    if (feed != NULL) {
        feed(t, ctx);
    }
    else {
        connect_control(t);
    }
    GSource *term = src_signal(SIGTERM, on_term, t);
    GSource *intr = src_signal(SIGINT, on_term, t);
    GSource *tick = src_timeout(TICK_MS, on_tick, t);
    lg_line(LG_INFO, "lookup", "listening on %s", set->lookup);
    lg_flush();
    g_main_loop_run(t->loop);
    src_end(&tick);
    src_end(&term);
    src_end(&intr);
    lg_line(LG_INFO, "lookup", "planned stop is complete");
    lookup_end(t);
    return 0;
}
