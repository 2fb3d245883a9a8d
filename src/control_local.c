/* control_local - snapshots for, and reports of, entry and lookup. */
#include "control.h"

#include <stdlib.h>
#include <string.h>

#include "ctlmsg.h"
#include "lg.h"

#define PART "local"
#define US_PER_MS 1000
/* Longest wait of a SNAPSHOT call: the confirmation of ownership has to reach
 * the entry well within its lapse time. */
#define HOLD_MS 200
/* Loads of an entry that has not called for this time are not used. */
#define LOADS_MS 2000
/* An entry whose connection ended and that did not come back is gone.  One
 * that is silent on an open connection may be paused and still hold work. */
#define GONE_MS 1000
/* A gained share comes into use at the end of its wait, some time after the
 * change of the roster. */
#define UNSETTLED_MS 3000

typedef struct Waiter {
    bool entry;
    RpcReq *req;
    uint64_t serial;
    int64_t since_us;
} Waiter;

struct ControlLocal {
    Control *c;
    GArray *waiters; /* Waiter */
    bool dirty;
    uint64_t serial;
    uint64_t epoch; /* of the body */
    uint64_t version;
    int64_t epoch_us; /* when that epoch was first seen */
    int64_t built_us;
    ms_snap_body body;
    MembVm *vms; /* texts of the body */
    SnapReport entry;
    RpcConn *entry_link;
    int64_t entry_us;
    uint64_t entry_epoch;
    uint64_t lookup_version;
    int64_t lookup_us;
    GQueue *journal; /* GBytes for the entry; the head is told until it is
                        acknowledged by its serial */
    uint64_t journal_serial; /* of the head */
};

ControlLocal *
control_local_new(Control *c)
{
    ControlLocal *l = g_new0(ControlLocal, 1);

    l->c = c;
    l->waiters = g_array_new(FALSE, FALSE, sizeof(Waiter));
    l->dirty = true;
    /* Serials of an earlier control of this VM must not match. */
    l->serial = c->incarnation;
    l->journal_serial = c->incarnation;
    l->journal = g_queue_new();
    return l;
}

static void
clear_body(ControlLocal *l)
{
    ms_snap_body *b = &l->body;

    for (u_int i = 0; i < b->rows.rows_len; i++) {
        g_free(b->rows.rows_val[i].now.now_val);
        g_free(b->rows.rows_val[i].want.want_val);
        g_free(b->rows.rows_val[i].moved.moved_val);
    }
    g_free(b->rows.rows_val);
    g_free(b->vms.vms_val);
    g_free(b->targets.targets_val);
    g_free(b->ranges.ranges_val);
    g_free(b->zone_up.zone_up_val);
    g_free(b->zone_free.zone_free_val);
    memset(b, 0, sizeof(*b));
    g_free(l->vms);
    l->vms = NULL;
}

void
control_local_free(ControlLocal *l)
{
    if (l == NULL) {
        return;
    }
    for (guint i = 0; i < l->waiters->len; i++) {
        xio_ignore(g_array_index(l->waiters, Waiter, i).req);
    }
    g_array_free(l->waiters, TRUE);
    clear_body(l);
    g_queue_free_full(l->journal, (GDestroyNotify)g_bytes_unref);
    xio_link_unref(l->entry_link);
    g_free(l);
}

void
control_local_dirty(ControlLocal *l)
{
    l->dirty = true;
}

/* Index of a member among the VMs of the body, or -1. */
static int
vm_index(const ControlLocal *l, const OwnRoster *r, int member)
{
    if (member < 0) {
        return -1;
    }
    for (u_int i = 0; i < l->body.vms.vms_len; i++) {
        if (strcmp(l->vms[i].id, r->members[member].id) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static void
put_vms(ControlLocal *l, int64_t now)
{
    Control *c = l->c;
    int n = memb_count(c->memb);
    ms_snap_body *b = &l->body;

    l->vms = g_new0(MembVm, n);
    b->vms.vms_val = g_new0(ms_snap_vm, n);
    for (int i = 0; i < n; i++) {
        const MembVm *vm = memb_at(c->memb, i);
        u_int k = b->vms.vms_len;
        if (vm->state == MEMB_GONE || k == VMS_MAX) {
            continue;
        }
        l->vms[k] = *vm;
        ctlmsg_put_vm(&b->vms.vms_val[k].vm, &l->vms[k], now);
        b->vms.vms_val[k].state = (u_int)vm->state;
        b->vms.vms_len++;
    }
}

static double *
copy_doubles(const double *v, int n)
{
    return g_memdup2(v, sizeof(*v) * (gsize)n);
}

static void
put_rows(ControlLocal *l, const Manifest *m)
{
    ms_snap_body *b = &l->body;
    u_int cells = (u_int)(m->n_services * m->n_zones);

    b->rows.rows_len = cells;
    b->rows.rows_val = g_new0(ms_snap_row, MAX(cells, 1));
    b->zone_free.zone_free_len = cells;
    b->zone_free.zone_free_val = g_new0(double, MAX(cells, 1));
    for (u_int i = 0; i < cells; i++) {
        int s = (int)i / m->n_zones;
        int z = (int)i % m->n_zones;
        const ShiftRow *r = control_rows_at(l->c->rows, s, z);
        ms_snap_row *out = &b->rows.rows_val[i];
        SnapLoad load;
        out->service = (u_int)s;
        out->home = (u_int)z;
        out->now.now_len = out->want.want_len = (u_int)r->n;
        out->now.now_val = copy_doubles(r->current, r->n);
        out->want.want_val = copy_doubles(r->desired, r->n);
        out->moved.moved_len = G_N_ELEMENTS(r->moved);
        out->moved.moved_val = copy_doubles(r->moved, G_N_ELEMENTS(r->moved));
        out->mark = r->slice;
        out->at_us = r->at_us;
        if (control_digest_load(l->c->digest, m->zones[z].name, s, &load)) {
            b->zone_free.zone_free_val[i] = load.free_slots;
        }
    }
    b->zone_up.zone_up_len = (u_int)m->n_zones;
    b->zone_up.zone_up_val = g_new0(u_int, m->n_zones);
    for (int z = 0; z < m->n_zones; z++) {
        b->zone_up.zone_up_val[z] = control_rows_zone_up(l->c, z);
    }
}

static void
put_target(ControlLocal *l, const MfTarget *t, ms_snap_target *out,
           int64_t now)
{
    const OwnRoster *r = own_roster(l->c->own);
    int budget = own_budget(l->c->own, t->name, t->slots, now);
    bool full = own_mode(l->c->own, now) == OWN_FULL;

    out->owner_vm = vm_index(l, r, own_owner(r, own_target_key(t->name)));
    out->budget = (u_int)budget;
    out->isolated_budget = (u_int)(full ? budget / 2 : budget);
}

static void
put_targets(ControlLocal *l, const Manifest *m, int64_t now)
{
    ms_snap_body *b = &l->body;
    int own_zone = manifest_zone(m, str_of(l->c->set.zone));

    b->targets.targets_len = (u_int)m->n_targets;
    b->targets.targets_val = g_new0(ms_snap_target, MAX(m->n_targets, 1));
    for (int t = 0; t < m->n_targets; t++) {
        ms_snap_target *out = &b->targets.targets_val[t];
        out->owner_vm = -1;
        if (m->targets[t].zone == own_zone) {
            put_target(l, &m->targets[t], out, now);
        }
    }
}

static void
put_ranges(ControlLocal *l, int64_t now)
{
    ms_snap_body *b = &l->body;
    const OwnRoster *r = own_roster(l->c->own);
    int64_t wall = g_get_real_time();

    b->ranges.ranges_len = KEY_RANGES;
    b->ranges.ranges_val = g_new0(ms_snap_range, KEY_RANGES);
    for (int i = 0; i < KEY_RANGES; i++) {
        ms_snap_range *out = &b->ranges.ranges_val[i];
        int64_t tenure = own_range_tenure(l->c->own, i, now);
        out->owner_vm = vm_index(l, r, own_owner(r, own_range_key(i)));
        out->owned = own_range_owned(l->c->own, i, now);
        out->tenure_wall_us = tenure < 0 ? 0 : wall - (now - tenure);
    }
}

/* A configuration is told once its rows are in force. */
static bool
serves(const Control *c)
{
    return cfg_manifest(c->cfg) != NULL && control_rows_ready(c->rows);
}

static void
build(ControlLocal *l, int64_t now)
{
    Control *c = l->c;
    const Manifest *m = cfg_manifest(c->cfg);

    clear_body(l);
    l->body.zone = c->set.zone;
    l->body.id = c->set.vm_id;
    put_vms(l, now);
    put_ranges(l, now);
    l->version = 0;
    if (serves(c)) {
        l->version = cfg_version(c->cfg);
        put_rows(l, m);
        put_targets(l, m, now);
    }
    if (own_roster(c->own)->epoch != l->epoch) {
        l->epoch = own_roster(c->own)->epoch;
        l->epoch_us = now;
    }
    l->serial++;
    l->built_us = now;
    l->dirty = false;
}

void
control_local_journal(ControlLocal *l, GBytes *batch)
{
    g_queue_push_tail(l->journal, g_bytes_ref(batch));
}

/* Drops the head once the entry holds it. */
static void
acknowledge_journal(ControlLocal *l, uint64_t serial)
{
    if (serial == l->journal_serial && !g_queue_is_empty(l->journal)) {
        g_bytes_unref(g_queue_pop_head(l->journal));
        l->journal_serial++;
    }
}

static void
put_journal(ControlLocal *l, ms_snapshot_res *res)
{
    GBytes *b = g_queue_peek_head(l->journal);

    if (b != NULL) {
        gsize n;
        res->journal.journal_val = (char *)g_bytes_get_data(b, &n);
        res->journal.journal_len = (u_int)n;
        res->journal_serial = l->journal_serial;
    }
}

static void
answer(ControlLocal *l, const Waiter *w, int64_t now)
{
    Control *c = l->c;
    ms_snapshot_res res = {
        .serial = l->serial,
        .config_version = l->version,
        .change_id = (char *)(l->version == 0 ? "" : cfg_change_id(c->cfg)),
        .epoch = l->epoch,
        .mode = (u_int)own_mode(c->own, now),
        .at_us = now,
        .good_until_us = own_good_until(c->own, now),
        .body = w->serial == l->serial ? NULL : &l->body,
    };

    if (w->entry) {
        put_journal(l, &res);
    }
    xio_reply(w->req, (xdrproc_t)xdr_ms_snapshot_res, &res);
}

void
control_local_step(ControlLocal *l, int64_t now_us)
{
    bool unsettled = now_us - l->epoch_us < UNSETTLED_MS * US_PER_MS;

    /* Loads of the zones change with each digest. */
    if (l->dirty || unsettled ||
        now_us - l->built_us > DIGEST_MS * US_PER_MS) {
        build(l, now_us);
    }
    for (guint i = 0; i < l->waiters->len;) {
        Waiter *w = &g_array_index(l->waiters, Waiter, i);
        bool news = w->serial != l->serial;
        if (news || now_us - w->since_us >= HOLD_MS * US_PER_MS) {
            answer(l, w, now_us);
            g_array_remove_index_fast(l->waiters, i);
        }
        else {
            i++;
        }
    }
}

/* Sums the free slots that the entry tells, for the weight of this VM. */
static void
take_entry(ControlLocal *l, RpcReq *req, const ms_report *r, int64_t now)
{
    SnapReport *e = &l->entry;
    Err err = {0};
    double free_slots = 0;

    e->n_loads = 0;
    for (u_int i = 0; i < r->loads.loads_len; i++) {
        if (ctlmsg_get_load(&e->loads[e->n_loads], &r->loads.loads_val[i],
                            &err)) {
            free_slots += e->loads[e->n_loads].free_slots;
            e->n_loads++;
        }
    }
    e->config_version = r->config_version;
    e->leaving = r->leaving;
    g_strlcpy(e->counters, r->counters, sizeof(e->counters));
    memb_self(l->c->memb)->free_slots = free_slots;
    l->entry_us = now;
    xio_link_unref(l->entry_link);
    l->entry_link = xio_link(req);
    if (r->leaving && !l->c->leaving) {
        MembVm *self = memb_self(l->c->memb);
        if (!self->leaving) {
            lg_decision(PART, "entry is leaving");
            self->leaving = true;
            control_local_dirty(l);
            control_peer_push(l->c->peer);
            control_digest_push(l->c->digest);
        }
    }
    if (r->journal.journal_len > 0) {
        control_journal_add(l->c->journal, r->journal.journal_val,
                            r->journal.journal_len);
    }
}

static void
take_report(ControlLocal *l, RpcReq *req, const ms_report *r, int64_t now)
{
    if (strcmp(r->sender, "entry") == 0) {
        take_entry(l, req, r, now);
    }
    else {
        l->lookup_us = now;
        l->lookup_version = r->config_version;
    }
}

void
control_local_snapshot(ControlLocal *l, RpcReq *r)
{
    ms_snapshot a;
    Err e = {0};
    int64_t now = g_get_monotonic_time();

    if (!xio_args(r, (xdrproc_t)xdr_ms_snapshot, &a, sizeof(a), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    take_report(l, r, &a.report, now);
    bool entry = strcmp(a.report.sender, "entry") == 0;
    if (entry && a.serial == l->serial) {
        l->entry_epoch = l->epoch;
    }
    if (entry) {
        acknowledge_journal(l, a.journal_serial);
    }
    Waiter w = {entry, r, a.serial, now};
    bool records = entry && !g_queue_is_empty(l->journal);
    if ((a.serial != l->serial || records) && l->built_us > 0) {
        answer(l, &w, now);
    }
    else {
        g_array_append_val(l->waiters, w);
    }
    xdr_free((xdrproc_t)xdr_ms_snapshot, (char *)&a);
}

void
control_local_report(ControlLocal *l, RpcReq *r)
{
    ms_report a;
    ms_ok res = {TRUE, (char *)""};
    Err e = {0};

    if (!xio_args(r, (xdrproc_t)xdr_ms_report, &a, sizeof(a), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    take_report(l, r, &a, g_get_monotonic_time());
    xio_reply(r, (xdrproc_t)xdr_ms_ok, &res);
    xdr_free((xdrproc_t)xdr_ms_report, (char *)&a);
}

bool
control_local_entry_gone(const ControlLocal *l, int64_t now_us)
{
    return l->entry_us == 0 || (!xio_link_open(l->entry_link) &&
                                now_us - l->entry_us > GONE_MS * US_PER_MS);
}

const SnapReport *
control_local_loads(const ControlLocal *l, int64_t now_us)
{
    if (l->entry_us == 0 || now_us - l->entry_us > LOADS_MS * US_PER_MS ||
        l->entry.config_version != cfg_version(l->c->cfg)) {
        return NULL;
    }
    return &l->entry;
}

uint64_t
control_local_acted_epoch(const ControlLocal *l, int64_t now_us)
{
    return control_local_entry_gone(l, now_us) ? own_roster(l->c->own)->epoch
                                               : l->entry_epoch;
}

void
control_local_text(const ControlLocal *l, GString *out)
{
    int64_t now = g_get_monotonic_time();

    g_string_append_printf(
        out,
        "local serial=%" G_GUINT64_FORMAT " version=%" G_GUINT64_FORMAT
        " entry=%s entry_version=%" G_GUINT64_FORMAT
        " lookup=%s lookup_version=%" G_GUINT64_FORMAT "\n",
        l->serial, l->version, control_local_entry_gone(l, now) ? "no" : "yes",
        l->entry.config_version,
        l->lookup_us > 0 && now - l->lookup_us < GONE_MS * US_PER_MS ? "yes"
                                                                     : "no",
        l->lookup_version);
    if (!control_local_entry_gone(l, now)) {
        g_string_append_printf(out, "entry_counters %s\n", l->entry.counters);
    }
}
