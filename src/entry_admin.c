/* entry_admin - counters, explanations and news.  See entry.h. */
#include "entry.h"

#include <string.h>

#include <json-glib/json-glib.h>

#include "httptext.h"
#include "lg.h"

static void
gauge(Entry *en, const char *name, int64_t v)
{
    ctr_get(en->ctrs, name, "")->value = v;
}

static void
set_gauges(Entry *en)
{
    int64_t now = g_get_monotonic_time();
    char label[NAME_BYTES + 16];

    gauge(en, "entry_inflight", en->reqs.length);
    gauge(en, "entry_queued", g_hash_table_size(en->queued));
    gauge(en, "entry_connections", http_srv_connections(en->http));
    gauge(en, "entry_body_held_bytes", (int64_t)en->body_bytes);
    gauge(en, "entry_records", (int64_t)idem_count(en->idem));
    gauge(en, "entry_suspects", (int64_t)suspect_count(en->suspects));
    for (int i = 0; i < en->n_svcs; i++) {
        const Svc *s = en->svcs[i];
        g_snprintf(label, sizeof(label), "service=\"%s\"", s->name);
        ctr_get(en->ctrs, "entry_slots_busy", label)->value =
            slot_busy(s->slots);
        ctr_get(en->ctrs, "entry_slots_usable", label)->value =
            slot_usable(s->slots, now);
    }
}

static void
on_counters(SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
    Entry *en = data;
    GString *g = g_string_new(NULL);

    (void)server;
    (void)path;
    (void)query;
    set_gauges(en);
    ctr_text(en->ctrs, g);
    http_answer_text(msg, "text/plain", g);
}

/* News of crash suspects from another entry VM. */
static void
on_suspects(SoupServer *server, SoupServerMessage *msg, const char *path,
            GHashTable *query, gpointer data)
{
    Entry *en = data;
    SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
    const char *proof = soup_message_headers_get_one(h, "Mimosa-Fleet");

    (void)server;
    (void)path;
    (void)query;
    if (strcmp(soup_server_message_get_method(msg), "POST") != 0 ||
        proof == NULL || strcmp(proof, en->proof) != 0) {
        soup_server_message_set_status(msg, 403, NULL);
        return;
    }
    SoupMessageBody *b = soup_server_message_get_request_body(msg);
    GBytes *all = soup_message_body_flatten(b);
    gsize n;
    const char *p = g_bytes_get_data(all, &n);
    crash_on_news(en, (Str){p, n});
    g_bytes_unref(all);
    soup_server_message_set_status(msg, 204, NULL);
}

static void
add_zone_shares(JsonBuilder *b, const Snapshot *sn, int service, int home)
{
    const ShiftRow *row = snap_row(sn, service, home);

    json_builder_set_member_name(b, "zones");
    json_builder_begin_array(b);
    for (int z = 0; z < sn->m->n_zones; z++) {
        json_builder_begin_object(b);
        json_builder_set_member_name(b, "zone");
        json_builder_add_string_value(b, sn->m->zones[z].name);
        json_builder_set_member_name(b, "share");
        json_builder_add_double_value(b, row->current[z]);
        json_builder_set_member_name(b, "wanted");
        json_builder_add_double_value(b, row->desired[z]);
        json_builder_set_member_name(b, "up");
        json_builder_add_boolean_value(b, sn->zone_up[z]);
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
}

static void
add_targets(JsonBuilder *b, const Entry *en, const Svc *s)
{
    const Snapshot *sn = en->snap;
    int64_t now = g_get_monotonic_time();

    json_builder_set_member_name(b, "targets");
    json_builder_begin_array(b);
    for (int i = 0; i < s->n_own; i++) {
        int vm = sn->targets[s->own[i]].owner_vm;
        json_builder_begin_object(b);
        json_builder_set_member_name(b, "target");
        json_builder_add_string_value(b, sn->m->targets[s->own[i]].name);
        json_builder_set_member_name(b, "owner");
        json_builder_add_string_value(b, vm < 0 ? "" : sn->vms[vm].id);
        json_builder_set_member_name(b, "owned_here");
        json_builder_add_boolean_value(b, entry_owned_now(en, s->own[i], now));
        json_builder_set_member_name(b, "outstanding");
        json_builder_add_int_value(b, slot_outstanding(s->slots, s->own[i]));
        json_builder_end_object(b);
    }
    json_builder_end_array(b);
}

static GString *
explain(const Entry *en, int service, int rank, const char *client)
{
    const Snapshot *sn = en->snap;
    const Svc *s = en->svcs[service];
    int64_t now = g_get_monotonic_time();
    uint8_t addr[16] = {0};
    LookupPlace p = {-1, 0, 0};
    JsonBuilder *b = json_builder_new();

    if (http_addr_parse(client, addr)) {
        p = lookup_place(en->blocks, addr);
    }
    int home = p.zone >= 0 ? p.zone : sn->own_zone;
    json_builder_begin_object(b);
    json_builder_set_member_name(b, "service");
    json_builder_add_string_value(b, s->name);
    json_builder_set_member_name(b, "rank");
    json_builder_add_string_value(b, sn->m->ranks[rank].name);
    json_builder_set_member_name(b, "home");
    json_builder_add_string_value(b, sn->m->zones[home].name);
    json_builder_set_member_name(b, "home_reason");
    json_builder_add_string_value(b, p.zone >= 0 ? "block" : "no-block");
    add_zone_shares(b, sn, service, home);
    json_builder_set_member_name(b, "own_zone");
    json_builder_add_string_value(b, sn->m->zones[sn->own_zone].name);
    json_builder_set_member_name(b, "ownership");
    json_builder_add_string_value(b, own_mode_name(en->applied));
    json_builder_set_member_name(b, "usable_slots");
    json_builder_add_int_value(b, slot_usable(s->slots, now));
    json_builder_set_member_name(b, "free_slots");
    json_builder_add_int_value(b, slot_free(s->slots, now));
    json_builder_set_member_name(b, "waiting_in_rank");
    json_builder_add_int_value(b, (gint64)adm_waiting(s->adm, rank));
    json_builder_set_member_name(b, "service_p90_us");
    json_builder_add_int_value(b, slot_service_p90_us(s->slots));
    add_targets(b, en, s);
    json_builder_end_object(b);
    JsonNode *root = json_builder_get_root(b);
    char *z = json_to_string(root, TRUE);
    GString *g = g_string_new(z);
    g_free(z);
    json_node_unref(root);
    g_object_unref(b);
    return g_string_append_c(g, '\n');
}

static void
on_explain(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
    Entry *en = data;
    const char *service =
        query == NULL ? NULL : g_hash_table_lookup(query, "service");
    const char *client =
        query == NULL ? NULL : g_hash_table_lookup(query, "client");
    const char *rank =
        query == NULL ? NULL : g_hash_table_lookup(query, "rank");

    (void)server;
    (void)path;
    if (en->snap == NULL) {
        http_answer(msg, 503, "not-run",
                    http_outcome_json("not-run", "no-configuration",
                                      "no configuration yet", 0),
                    0);
        return;
    }
    int s = manifest_service(en->snap->m, str_of(service));
    int r = rank == NULL ? en->snap->m->n_ranks - 1
                         : manifest_rank(en->snap->m, str_of(rank));
    if (s < 0 || r < 0) {
        http_answer(msg, 400, "not-run",
                    http_outcome_json("not-run", "value",
                                      "service and rank: must be names of "
                                      "the manifest; correct the query",
                                      0),
                    0);
        return;
    }
    http_answer_text(msg, "application/json",
                     explain(en, s, r, client == NULL ? "" : client));
}

void
admin_start(Entry *en)
{
    SoupServer *s = http_srv_soup(en->http);

    http_limit_bodies(s, "/v1/counters");
    http_limit_bodies(s, "/v1/explain");
    http_limit_bodies(s, "/v1/fleet");
    soup_server_add_handler(s, "/v1/counters", on_counters, en, NULL);
    soup_server_add_handler(s, "/v1/explain", on_explain, en, NULL);
    soup_server_add_handler(s, "/v1/fleet/suspects", on_suspects, en, NULL);
}
