/* control_core - what the tasks of mimosa-control share.  See control.h. */
#include "control.h"

#include <string.h>
#include <unistd.h>

#include "lg.h"

#define PART "control"

bool
control_near(const Control *c, const MembVm *vm)
{
    return strcmp(vm->zone, c->set.zone) == 0;
}

Ctr *
control_ctr(Control *c, const char *name)
{
    return ctr_get(c->ctrs, name, "");
}

static const char *
take_name(CfgOfferResult t)
{
    static const char *const names[] = {"taken", "same", "older", "bad",
                                        "conflict"};

    return names[t];
}

CfgOfferResult
control_offer(Control *c, Str envelope, const char *source)
{
    int64_t now = g_get_monotonic_time();
    uint64_t before = cfg_version(c->cfg);
    Err e = {0};
    CfgOfferResult t = cfg_offer(c->cfg, envelope, now, &e);
    char label[64];

    g_snprintf(label, sizeof(label), "result=\"%s\"", take_name(t));
    ctr_add(ctr_get(c->ctrs, "control_config_offers", label), 1);
    if (t == CFG_BAD || t == CFG_CONFLICT) {
        lg_line(LG_WARN, PART,
                "configuration from %s is left, %" G_GUINT64_FORMAT
                " stays in force: %s",
                source, before, e.text);
    }
    if (t == CFG_ADOPTED) {
        memb_self(c->memb)->config_version = cfg_version(c->cfg);
        lg_decision(PART,
                    "configuration %" G_GUINT64_FORMAT " (%s) in force after "
                    "%" G_GUINT64_FORMAT ", from %s",
                    cfg_version(c->cfg), cfg_change_id(c->cfg), before,
                    source);
        control_rows_config(c->rows, now);
        control_local_dirty(c->local);
        control_peer_push(c->peer);
        control_digest_push(c->digest);
    }
    return t;
}

static bool
has_member(const OwnRoster *r, const OwnMember *m)
{
    for (int i = 0; i < r->n; i++) {
        if (strcmp(r->members[i].id, m->id) == 0) {
            return r->members[i].incarnation == m->incarnation;
        }
    }
    return false;
}

/* Records of members that left or restarted are read from the journal. */
static void
want_journals(Control *c, const OwnRoster *old, const OwnRoster *r)
{
    for (int i = 0; i < old->n; i++) {
        if (!has_member(r, &old->members[i])) {
            control_journal_want(c->journal, old->members[i].id);
        }
    }
    if (old->epoch == 0) {
        control_journal_want(c->journal, c->set.vm_id);
    }
}

bool
control_adopt(Control *c, const OwnRoster *r, const char *source)
{
    int64_t now = g_get_monotonic_time();
    OwnRoster *old = g_memdup2(own_roster(c->own), sizeof(*old));

    if (!own_adopt(c->own, r, now)) {
        g_free(old);
        return false;
    }
    want_journals(c, old, r);
    g_free(old);
    GString *ids = g_string_new(NULL);
    for (int i = 0; i < r->n; i++) {
        g_string_append_printf(ids, " %s", r->members[i].id);
    }
    lg_decision(PART,
                "roster of %s: epoch %" G_GUINT64_FORMAT " from %s, members%s,"
                " lost %d",
                c->set.zone, r->epoch, source, ids->str, r->n_lost);
    g_string_free(ids, TRUE);
    ctr_add(control_ctr(c, "control_roster_changes"), 1);
    control_local_dirty(c->local);
    control_peer_push(c->peer);
    return true;
}

void
control_news(Control *c, const MembVm *vm, int64_t age_us)
{
    int64_t now = g_get_monotonic_time();

    if (!memb_news(c->memb, vm, age_us, now)) {
        return;
    }
    const MembVm *now_is = memb_find(c->memb, vm->id);
    lg_decision(PART, "VM %s of %s: incarnation %" G_GUINT64_FORMAT " %s%s",
                vm->id, vm->zone, vm->incarnation,
                now_is->state == MEMB_LIVE ? "live" : "suspected",
                now_is->leaving ? ", leaving" : "");
    control_local_dirty(c->local);
}

static bool
drop_zone(void *p)
{
    Control *c = p;

    return c->opts.fault_loss > 0 &&
           g_rand_double(c->fault_rnd) < c->opts.fault_loss;
}

static bool
drop_other(void *p)
{
    Control *c = p;

    return c->cut || drop_zone(p);
}

static void
serve(void *ctx, RpcReq *r, uint32_t proc)
{
    Control *c = ctx;

    switch (proc) {
    case MS_DIGEST:
        control_digest_serve(c->digest, r);
        break;
    case MS_SNAPSHOT:
        control_local_snapshot(c->local, r);
        break;
    case MS_REPORT:
        control_local_report(c->local, r);
        break;
    case MS_STATUS:
        control_status(c, r);
        break;
    case MS_EXPLAIN:
        control_explain(c, r);
        break;
    default:
        if (!control_peer_call(c->peer, r, proc)) {
            xio_refuse(r, PROC_UNAVAIL);
        }
    }
}

static void
init_rpc(Control *c)
{
    RpcOpts o = {
        .key = c->set.fleet_key,
        .drop = drop_zone,
        .drop_ctx = c,
        .bytes_out = &control_ctr(c, "control_rpc_out_bytes")->value,
        .bytes_in = &control_ctr(c, "control_rpc_in_bytes")->value,
        .calls = &control_ctr(c, "control_rpc_calls")->value,
        .bad_frames = &control_ctr(c, "control_rpc_bad_frames")->value,
    };

    c->rpc_zone = o;
    c->rpc_other = o;
    c->rpc_other.drop = drop_other;
}

static void
init_self(Control *c, int64_t now)
{
    MembVm vm = {.incarnation = c->incarnation, .heard_us = now};
    OwnMember m = {.incarnation = c->incarnation};

    memcpy(vm.id, c->set.vm_id, sizeof(vm.id));
    memcpy(vm.zone, c->set.zone, sizeof(vm.zone));
    memcpy(vm.control, c->set.control, sizeof(vm.control));
    memcpy(vm.entry, c->set.entry, sizeof(vm.entry));
    memcpy(vm.lookup, c->set.lookup, sizeof(vm.lookup));
    memcpy(m.id, vm.id, sizeof(m.id));
    memcpy(m.control, vm.control, sizeof(m.control));
    memcpy(m.entry, vm.entry, sizeof(m.entry));
    memcpy(m.lookup, vm.lookup, sizeof(m.lookup));
    c->memb = memb_new(&vm, now);
    c->own = own_new(&m, now);
}

Control *
control_new(const Settings *s, const ControlOpts *o, Err *e)
{
    Control *c = g_new0(Control, 1);
    int64_t now = g_get_monotonic_time();

    c->set = *s;
    c->opts = *o;
    /* The wall clock in us grows with each start on one VM. */
    c->incarnation = (uint64_t)g_get_real_time();
    c->rnd = g_rand_new();
    c->fault_rnd = g_rand_new_with_seed(o->fault_seed);
    c->ctrs = ctr_set_new();
    c->cfg = cfg_new();
    storelimit_init(&c->q, STORE_CALLS_PER_S, STORE_CALLS_BURST, now);
    init_rpc(c);
    init_self(c, now);
    c->loop = g_main_loop_new(NULL, FALSE);
    c->server = xio_server_new(c->set.control, &c->rpc_zone, serve, c, e);
    if (c->server == NULL) {
        control_free(c);
        return NULL;
    }
    c->http = storehttp_new(c->set.store, &c->q, c->rnd);
    c->store = control_store_new(c);
    c->roster = control_roster_new(c);
    c->journal = control_journal_new(c);
    c->peer = control_peer_new(c);
    c->fetch = control_fetch_new(c);
    c->digest = control_digest_new(c);
    c->local = control_local_new(c);
    c->rows = control_rows_new(c);
    return c;
}

void
control_free(Control *c)
{
    xio_server_free(c->server);
    control_local_free(c->local);
    control_peer_free(c->peer);
    control_fetch_free(c->fetch);
    control_digest_free(c->digest);
    storehttp_free(c->http);
    control_store_free(c->store);
    control_roster_free(c->roster);
    control_journal_free(c->journal);
    control_rows_free(c->rows);
    own_free(c->own);
    memb_free(c->memb);
    cfg_free(c->cfg);
    ctr_set_free(c->ctrs);
    g_rand_free(c->rnd);
    g_rand_free(c->fault_rnd);
    g_main_loop_unref(c->loop);
    g_free(c);
}

void
control_leave(Control *c)
{
    if (c->leaving) {
        return;
    }
    lg_line(LG_INFO, PART, "planned stop: leaving the zone's membership");
    c->leaving = true;
    c->leaving_us = g_get_monotonic_time();
    memb_self(c->memb)->leaving = true;
    control_local_dirty(c->local);
    control_peer_push(c->peer);
    control_digest_push(c->digest);
}
