/* control_status - STATUS and EXPLAIN for mimosactl. */
#include "control.h"

#include <string.h>

#include "inv.h"
#include "mimosascale.h"

static void
reply_text(RpcReq *r, GString *g)
{
    ms_text t = {g->str};

    if (g->len > MS_TEXT_LEN) {
        g_string_truncate(g, MS_TEXT_LEN);
    }
    xio_reply(r, (xdrproc_t)xdr_ms_text, &t);
    g_string_free(g, TRUE);
}

static const char *
state_name(const MembVm *vm)
{
    static const char *const names[] = {"live", "suspected", "gone"};

    return names[vm->state];
}

static void
put_vms(const Control *c, GString *g, int64_t now)
{
    for (int i = 0; i < memb_count(c->memb); i++) {
        const MembVm *vm = memb_at(c->memb, i);
        g_string_append_printf(
            g,
            "vm id=%s zone=%s state=%s leaving=%d version=%" G_GUINT64_FORMAT
            " incarnation=%" G_GUINT64_FORMAT
            " heard_ms=%d control=%s entry=%s lookup=%s free_slots=%.1f\n",
            vm->id, vm->zone, state_name(vm), vm->leaving, vm->config_version,
            vm->incarnation, (int)((now - vm->heard_us) / 1000), vm->control,
            vm->entry, vm->lookup, vm->free_slots);
    }
}

static void
put_roster(const Control *c, GString *g, int64_t now)
{
    const OwnRoster *r = own_roster(c->own);
    OwnMode m = own_mode(c->own, now);

    g_string_append_printf(g,
                           "ownership mode=%s epoch=%" G_GUINT64_FORMAT
                           " good_ms=%d members=%d lost=%d\n",
                           own_mode_name(m), r->epoch,
                           (int)((own_good_until(c->own, now) - now) / 1000),
                           r->n, r->n_lost);
    for (int i = 0; i < r->n; i++) {
        g_string_append_printf(g, "member %s\n", r->members[i].id);
    }
}

/* Shares of a row in force and aimed at. */
static void
put_row(const Control *c, GString *g, int service, int home)
{
    const Manifest *m = cfg_manifest(c->cfg);
    const ShiftRow *r = control_rows_at(c->rows, service, home);

    g_string_append_printf(g, "row service=%s home=%s cap=%.3f interval_ms=%d",
                           m->services[service].name, m->zones[home].name,
                           r->cap, (int)(r->interval_us / 1000));
    for (int z = 0; z < m->n_zones; z++) {
        if (r->current[z] > 0 || r->desired[z] > 0) {
            g_string_append_printf(g, " %s=%.4f/%.4f", m->zones[z].name,
                                   r->current[z], r->desired[z]);
        }
    }
    g_string_append_c(g, '\n');
}

static void
put_owned(const Control *c, GString *g, int64_t now)
{
    const Manifest *m = cfg_manifest(c->cfg);
    int own_zone = manifest_zone(m, str_of(c->set.zone));
    int targets = 0;
    int slots = 0;
    int ranges = 0;

    for (int t = 0; t < m->n_targets; t++) {
        if (m->targets[t].zone == own_zone) {
            int b = own_budget(c->own, m->targets[t].name, m->targets[t].slots,
                               now);
            targets += b > 0;
            slots += b;
        }
    }
    for (int i = 0; i < KEY_RANGES; i++) {
        ranges += own_range_owned(c->own, i, now);
    }
    g_string_append_printf(g, "owned targets=%d slots=%d ranges=%d\n", targets,
                           slots, ranges);
}

void
control_status(Control *c, RpcReq *r)
{
    ms_query q;
    Err e = {0};
    int64_t now = g_get_monotonic_time();

    if (!xio_args(r, (xdrproc_t)xdr_ms_query, &q, sizeof(q), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    GString *g = g_string_new(NULL);
    g_string_append_printf(
        g,
        "control %s zone=%s release=%s serves=%s leaving=%d\n"
        "config version=%" G_GUINT64_FORMAT " change=%s\n",
        c->set.vm_id, c->set.zone, MIMOSA_VERSION,
        cfg_version(c->cfg) > 0 && control_rows_ready(c->rows) ? "yes" : "no",
        memb_self(c->memb)->leaving, cfg_version(c->cfg),
        cfg_change_id(c->cfg));
    put_roster(c, g, now);
    if (cfg_manifest(c->cfg) != NULL) {
        put_owned(c, g, now);
    }
    control_store_text(c->store, g);
    control_local_text(c->local, g);
    put_vms(c, g, now);
    ctr_add(control_ctr(c, "control_status_calls"), 1);
    control_ctr(c, "control_invariant_failures")->value =
        (int64_t)inv_failures();
    ctr_text(c->ctrs, g);
    xdr_free((xdrproc_t)xdr_ms_query, (char *)&q);
    reply_text(r, g);
}

/* Value of "key=value" among the words of a query, or "". */
static void
word(const char *text, const char *key, char out[NAME_BYTES])
{
    char **w = g_strsplit(text, " ", -1);
    size_t n = strlen(key);

    out[0] = '\0';
    for (int i = 0; w[i] != NULL; i++) {
        if (strncmp(w[i], key, n) == 0 && w[i][n] == '=') {
            g_strlcpy(out, w[i] + n + 1, NAME_BYTES);
        }
    }
    g_strfreev(w);
}

static void
explain_target(const Control *c, GString *g, const char *name, int64_t now)
{
    const Manifest *m = cfg_manifest(c->cfg);
    const OwnRoster *r = own_roster(c->own);
    int t = manifest_target(m, str_of(name));

    if (t < 0) {
        g_string_append_printf(
            g, "target \"%s\" is not declared; name one of the manifest\n",
            name);
        return;
    }
    const MfTarget *x = &m->targets[t];
    bool here = strcmp(m->zones[x->zone].name, c->set.zone) == 0;
    int owner = here ? own_owner(r, own_target_key(x->name)) : -1;
    g_string_append_printf(
        g, "target %s service=%s zone=%s slots=%d draining=%d owner=%s",
        x->name, m->services[x->service].name, m->zones[x->zone].name,
        x->slots, x->draining,
        owner >= 0 ? r->members[owner].id
                   : (here ? "none" : "ask a control of that zone"));
    g_string_append_printf(
        g, " budget_here=%d epoch=%" G_GUINT64_FORMAT "\n",
        here ? own_budget(c->own, x->name, x->slots, now) : 0, r->epoch);
}

static void
explain_service(const Control *c, GString *g, const char *service,
                const char *zone)
{
    const Manifest *m = cfg_manifest(c->cfg);
    int s = manifest_service(m, str_of(service));
    int only = manifest_zone(m, str_of(zone));

    if (s < 0 || (zone[0] != '\0' && only < 0)) {
        g_string_append_printf(g,
                               "service \"%s\" or zone \"%s\" is not "
                               "declared; name those of the manifest\n",
                               service, zone);
        return;
    }
    for (int h = 0; h < m->n_zones; h++) {
        SnapLoad l;
        if (only >= 0 && h != only) {
            continue;
        }
        put_row(c, g, s, h);
        bool known = control_digest_load(c->digest, m->zones[h].name, s, &l);
        g_string_append_printf(
            g,
            "zone %s up=%d draining=%d declared_slots=%d usable=%.1f "
            "free=%.1f load=%s\n",
            m->zones[h].name, control_rows_zone_up(c, h), m->zones[h].draining,
            manifest_zone_slots(m, s, h), known ? l.usable_slots : 0,
            known ? l.free_slots : 0, known ? "reported" : "unknown");
    }
}

void
control_explain(Control *c, RpcReq *r)
{
    ms_query q;
    Err e = {0};
    char service[NAME_BYTES];
    char zone[NAME_BYTES];
    char target[NAME_BYTES];

    if (!xio_args(r, (xdrproc_t)xdr_ms_query, &q, sizeof(q), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    GString *g = g_string_new(NULL);
    word(q.text, "service", service);
    word(q.text, "zone", zone);
    word(q.text, "target", target);
    if (cfg_manifest(c->cfg) == NULL) {
        g_string_append(g, "no configuration is in force; apply one with "
                           "mimosactl apply\n");
    }
    else if (target[0] != '\0') {
        explain_target(c, g, target, g_get_monotonic_time());
    }
    else {
        explain_service(c, g, service, zone);
    }
    xdr_free((xdrproc_t)xdr_ms_query, (char *)&q);
    reply_text(r, g);
}
