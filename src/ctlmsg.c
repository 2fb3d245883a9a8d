/* ctlmsg - conversion of the messages of ctl.x.  See ctlmsg.h. */
#include "ctlmsg.h"

#include <math.h>
#include <string.h>

#define AGE_MS_MAX 3600000

void
ctlmsg_put_vm(ms_vm *out, const MembVm *vm, int64_t now_us)
{
    int64_t age = (now_us - vm->heard_us) / 1000;

    memset(out, 0, sizeof(*out));
    out->id = (char *)vm->id;
    out->zone = (char *)vm->zone;
    out->incarnation = vm->incarnation;
    out->control = (char *)vm->control;
    out->entry = (char *)vm->entry;
    out->lookup = (char *)vm->lookup;
    out->leaving = vm->leaving;
    out->config_version = vm->config_version;
    out->free_slots = vm->free_slots;
    out->age_ms = (u_int)CLAMP(age, 0, AGE_MS_MAX);
}

bool
ctlmsg_get_vm(MembVm *out, const ms_vm *vm, Err *e)
{
    memset(out, 0, sizeof(*out));
    if (!str_is_name(str_of(vm->id), NAME_BYTES - 1) ||
        !str_is_name(str_of(vm->zone), NAME_BYTES - 1)) {
        return err_set(e, ERR_PROTOCOL,
                       "VM \"%.64s\" in zone \"%.64s\": no valid names; set "
                       "[vm] id and zone of that VM",
                       vm->id, vm->zone);
    }
    g_strlcpy(out->id, vm->id, sizeof(out->id));
    g_strlcpy(out->zone, vm->zone, sizeof(out->zone));
    g_strlcpy(out->control, vm->control, sizeof(out->control));
    g_strlcpy(out->entry, vm->entry, sizeof(out->entry));
    g_strlcpy(out->lookup, vm->lookup, sizeof(out->lookup));
    out->incarnation = vm->incarnation;
    out->leaving = vm->leaving;
    out->config_version = vm->config_version;
    out->free_slots = isfinite(vm->free_slots) ? MAX(vm->free_slots, 0) : 0;
    return true;
}

void
ctlmsg_put_load(ms_load *out, const SnapLoad *l, int n_zones)
{
    memset(out, 0, sizeof(*out));
    out->service = (u_int)l->service;
    out->usable_slots = l->usable_slots;
    out->free_slots = l->free_slots;
    out->demand.demand_val = g_new0(ms_demand, MAX(n_zones, 1));
    for (int z = 0; z < n_zones; z++) {
        if (l->demand[z] > 0) {
            ms_demand *d = &out->demand.demand_val[out->demand.demand_len++];
            d->home = (u_int)z;
            d->slots = l->demand[z];
        }
    }
}

/* Limits a slot count to [0, 1e9]; values that are not finite become 0. */
static double
clamp_slots(double v)
{
    return isfinite(v) && v > 0 ? MIN(v, 1e9) : 0;
}

bool
ctlmsg_get_load(SnapLoad *out, const ms_load *l, Err *e)
{
    memset(out, 0, sizeof(*out));
    if (l->service >= SERVICES_MAX) {
        return err_set(e, ERR_PROTOCOL,
                       "load of service %u; allowed are 0 to %d; use programs "
                       "of one release",
                       l->service, SERVICES_MAX - 1);
    }
    out->service = (int)l->service;
    out->usable_slots = clamp_slots(l->usable_slots);
    out->free_slots = clamp_slots(l->free_slots);
    for (u_int i = 0; i < l->demand.demand_len; i++) {
        const ms_demand *d = &l->demand.demand_val[i];
        if (d->home >= ZONES_MAX) {
            return err_set(e, ERR_PROTOCOL,
                           "load of home zone %u; allowed are 0 to %d; use "
                           "programs of one release",
                           d->home, ZONES_MAX - 1);
        }
        out->demand[d->home] = clamp_slots(d->slots);
    }
    return true;
}

void
ctlmsg_put_report(ms_report *out, const char *program, const SnapReport *r,
                  int n_zones)
{
    memset(out, 0, sizeof(*out));
    out->sender = (char *)program;
    out->counters = (char *)r->counters;
    out->config_version = r->config_version;
    out->leaving = r->leaving;
    out->zone_bad.zone_bad_val = g_new0(u_int, ZONES_MAX);
    for (int z = 0; z < n_zones; z++) {
        if (r->zone_bad[z]) {
            out->zone_bad.zone_bad_val[out->zone_bad.zone_bad_len++] =
                (u_int)z;
        }
    }
    int n = MIN(r->n_loads, SERVICES_MAX);
    out->loads.loads_val = g_new0(ms_load, MAX(n, 1));
    out->loads.loads_len = (u_int)n;
    for (int i = 0; i < n; i++) {
        ctlmsg_put_load(&out->loads.loads_val[i], &r->loads[i], n_zones);
    }
    if (r->journal != NULL && g_bytes_get_size(r->journal) <= MS_JOURNAL_LEN) {
        gsize len;
        out->journal.journal_val = (char *)g_bytes_get_data(r->journal, &len);
        out->journal.journal_len = (u_int)len;
    }
}

void
ctlmsg_free_loads(ms_load *loads, u_int n)
{
    for (u_int i = 0; i < n; i++) {
        g_free(loads[i].demand.demand_val);
    }
    g_free(loads);
}

void
ctlmsg_clear_report(ms_report *r)
{
    ctlmsg_free_loads(r->loads.loads_val, r->loads.loads_len);
    g_free(r->zone_bad.zone_bad_val);
    memset(r, 0, sizeof(*r));
}

static bool
get_vms(Snapshot *s, const ms_snap_body *b, Err *e)
{
    for (int i = 0; i < s->n_vms; i++) {
        const ms_snap_vm *v = &b->vms.vms_val[i];
        MembVm *vm = &s->vms[i];
        if (!ctlmsg_get_vm(vm, &v->vm, e)) {
            return false;
        }
        vm->state = v->state <= MEMB_GONE ? (MembState)v->state : MEMB_GONE;
        vm->heard_us = s->at_us - (int64_t)v->vm.age_ms * 1000;
        if (s->m != NULL) {
            s->vm_zone[i] = manifest_zone(s->m, str_of(vm->zone));
        }
        if (strcmp(vm->id, b->id) == 0) {
            s->own_vm = i;
        }
    }
    return true;
}

static bool
get_row(Snapshot *s, const ms_snap_row *r)
{
    const Manifest *m = s->m;
    u_int n = (u_int)m->n_zones;

    if (r->service >= (u_int)m->n_services || r->home >= n ||
        r->now.now_len != n || r->want.want_len != n ||
        r->moved.moved_len != G_N_ELEMENTS(s->rows->moved)) {
        return false;
    }
    const MfService *sv = &m->services[r->service];
    ShiftRow *row = &s->rows[r->service * n + r->home];
    row->n = (int)n;
    row->cap = sv->shift_cap;
    row->interval_us = sv->shift_interval_us;
    row->at_us = r->at_us;
    memcpy(row->current, r->now.now_val, n * sizeof(double));
    memcpy(row->desired, r->want.want_val, n * sizeof(double));
    /* The shares moved within the past interval, so that the receiver applies
     * the same cap as control. */
    memcpy(row->moved, r->moved.moved_val, sizeof(row->moved));
    row->slice = r->mark;
    return true;
}

static bool
get_lists(Snapshot *s, const ms_snap_body *b)
{
    const Manifest *m = s->m;
    u_int cells = (u_int)(m->n_services * m->n_zones);

    if (b->rows.rows_len != cells || b->zone_free.zone_free_len != cells ||
        b->targets.targets_len != (u_int)m->n_targets ||
        b->ranges.ranges_len != KEY_RANGES ||
        b->zone_up.zone_up_len != (u_int)m->n_zones) {
        return false;
    }
    for (u_int i = 0; i < cells; i++) {
        if (!get_row(s, &b->rows.rows_val[i])) {
            return false;
        }
        s->zone_free[i] = b->zone_free.zone_free_val[i];
    }
    for (int z = 0; z < m->n_zones; z++) {
        s->zone_up[z] = b->zone_up.zone_up_val[z] != 0;
    }
    for (int t = 0; t < m->n_targets; t++) {
        const ms_snap_target *x = &b->targets.targets_val[t];
        if (x->owner_vm < -1 || x->owner_vm >= s->n_vms ||
            x->budget > SLOTS_PER_TARGET_MAX ||
            x->isolated_budget > SLOTS_PER_TARGET_MAX) {
            return false;
        }
        s->targets[t] =
            (SnapTarget){x->owner_vm, (int)x->budget, (int)x->isolated_budget};
    }
    return true;
}

static bool
get_ranges(Snapshot *s, const ms_snap_body *b)
{
    for (u_int i = 0; i < b->ranges.ranges_len && i < KEY_RANGES; i++) {
        const ms_snap_range *r = &b->ranges.ranges_val[i];
        if (r->owner_vm < -1 || r->owner_vm >= s->n_vms) {
            return false;
        }
        s->ranges[i] =
            (SnapRange){r->owner_vm, r->owned != 0, r->tenure_wall_us};
    }
    return true;
}

Snapshot *
ctlmsg_snapshot(const ms_snapshot_res *reply, const ms_snap_body *b,
                SnapConfig *config, Err *e)
{
    Snapshot *s = snap_new(config, (int)b->vms.vms_len);

    s->epoch = reply->epoch;
    s->mode = reply->mode <= OWN_ISOLATED ? (OwnMode)reply->mode : OWN_NONE;
    s->at_us = reply->at_us;
    s->good_until_us = reply->good_until_us;
    if (config != NULL) {
        s->own_zone = manifest_zone(config->m, str_of(b->zone));
    }
    if (!get_vms(s, b, e)) {
        snap_unref(s);
        return NULL;
    }
    if (!get_ranges(s, b) || (config != NULL && !get_lists(s, b))) {
        err_set(e, ERR_PROTOCOL,
                "snapshot does not fit configuration %" G_GUINT64_FORMAT
                "; use programs of one release",
                s->config_version);
        snap_unref(s);
        return NULL;
    }
    return s;
}
