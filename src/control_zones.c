/* control_zones - what is known of each zone.  See control_zones.h. */
#include "control_zones.h"

#include <math.h>
#include <string.h>

#include "ctlmsg.h"
#include "hash.h"
#include "lg.h"

#define PART "digest"
#define US_PER_MS 1000
#define AGE_MS_MAX 3600000
#define LOAD_FRESH_MS 5000
/* A new VM has heard of its zone's VMs after this time. */
#define SETTLE_MS 2000
/* Loads are told in steps of this many slots, so that noise is not sent. */
#define LOAD_STEP 0.25

/* Loads of one VM of the own zone, kept by the relay. */
typedef struct VmLoads {
    int64_t at_us;
    uint64_t config_version;
    int n;
    SnapLoad loads[SERVICES_MAX];
} VmLoads;

void
zones_init(Zones *d, Control *c)
{
    d->c = c;
    d->born_us = g_get_monotonic_time();
    d->zones = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    d->vm_loads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
zones_clear(Zones *d)
{
    g_hash_table_destroy(d->zones);
    g_hash_table_destroy(d->vm_loads);
}

Zone *
zones_at(Zones *d, const char *name)
{
    Zone *z = g_hash_table_lookup(d->zones, name);

    if (z == NULL && g_hash_table_size(d->zones) < ZONES_MAX) {
        z = g_new0(Zone, 1);
        g_strlcpy(z->name, name, sizeof(z->name));
        z->told_us = INT64_MIN / 4;
        g_hash_table_insert(d->zones, z->name, z);
    }
    return z;
}

bool
zones_is_own(const Zones *d, const char *zone)
{
    return strcmp(zone, d->c->set.zone) == 0;
}

static uint64_t
hash_vms(const MembVm *vms, int n)
{
    uint64_t h = 1;

    for (int i = 0; i < n; i++) {
        h = hash_str(str_of(vms[i].id), h);
        h = hash_str(str_of(vms[i].control), h);
        h = hash_str(str_of(vms[i].entry), h);
        h = hash_str(str_of(vms[i].lookup), h);
        h = hash_mix(h, vms[i].incarnation * 2 + vms[i].leaving);
    }
    return h;
}

static uint64_t
hash_loads(const SnapLoad *l, int n)
{
    return n == 0
               ? 1
               : hash_str((Str){(const char *)l, sizeof(*l) * (size_t)n}, 1);
}

/* The VMs of a zone that are not gone. */
static int
live_vms(const Zones *d, const char *zone, MembVm *out)
{
    int n = 0;

    for (int i = 0; i < memb_count(d->c->memb) && n < VMS_PER_ZONE_MAX; i++) {
        const MembVm *vm = memb_at(d->c->memb, i);
        if (vm->state != MEMB_GONE && strcmp(vm->zone, zone) == 0) {
            out[n++] = *vm;
        }
    }
    return n;
}

static double
step(double v)
{
    return round(v / LOAD_STEP) * LOAD_STEP;
}

static void
add_loads(Zone *z, const SnapLoad *loads, int n)
{
    for (int i = 0; i < n; i++) {
        int k = 0;
        while (k < z->n_loads && z->loads[k].service != loads[i].service) {
            k++;
        }
        if (k == SERVICES_MAX) {
            return;
        }
        if (k == z->n_loads) {
            memset(&z->loads[k], 0, sizeof(z->loads[k]));
            z->loads[k].service = loads[i].service;
            z->n_loads++;
        }
        z->loads[k].usable_slots += step(loads[i].usable_slots);
        z->loads[k].free_slots += step(loads[i].free_slots);
        for (int h = 0; h < ZONES_MAX; h++) {
            z->loads[k].demand[h] += step(loads[i].demand[h]);
        }
    }
}

bool
zones_is_relay(const Zones *d)
{
    const MembVm *r = memb_relay(d->c->memb, d->c->set.zone);

    return r != NULL && strcmp(r->id, d->c->set.vm_id) == 0;
}

/* Sums the loads of the own zone's VMs. */
static void
sum_loads(Zones *d, Zone *z, int64_t now)
{
    GHashTableIter it;
    gpointer key;
    gpointer value;
    const SnapReport *own = control_local_loads(d->c->local, now);

    z->n_loads = 0;
    if (own != NULL) {
        add_loads(z, own->loads, own->n_loads);
    }
    g_hash_table_iter_init(&it, d->vm_loads);
    while (g_hash_table_iter_next(&it, &key, &value)) {
        const VmLoads *v = value;
        if (now - v->at_us > LOAD_FRESH_MS * (int64_t)US_PER_MS) {
            g_hash_table_iter_remove(&it);
        }
        else if (v->config_version == cfg_version(d->c->cfg)) {
            add_loads(z, v->loads, v->n);
        }
    }
    z->loads_hash =
        hash_mix(hash_loads(z->loads, z->n_loads), z->config_version);
}

/* Brings the statement of the own zone up to date. */
Zone *
zones_own(Zones *d, int64_t now)
{
    Zone *z = zones_at(d, d->c->set.zone);

    z->n_vms = live_vms(d, z->name, z->vms);
    z->vms_hash = hash_vms(z->vms, z->n_vms);
    if (zones_is_relay(d)) {
        z->config_version = cfg_version(d->c->cfg);
        z->told_us = now;
        sum_loads(d, z, now);
    }
    return z;
}

void
zones_put_loads(ms_zone *out, const SnapLoad *loads, int n)
{
    out->loads_full = TRUE;
    out->loads.loads_len = (u_int)n;
    out->loads.loads_val = g_new0(ms_load, MAX(n, 1));
    for (int i = 0; i < n; i++) {
        ctlmsg_put_load(&out->loads.loads_val[i], &loads[i], ZONES_MAX);
    }
}

/*
 * Writes a zone for a receiver that holds the hashes of have.  VMs that are
 * gone here are left out, so that the receiver drops them too.  Texts are
 * borrowed from keep, which gets the VMs.
 */
static u_int
zone_age_ms(const Zones *d, const Zone *z, int64_t now)
{
    int64_t age = (now - z->told_us) / US_PER_MS;

    return zones_is_own(d, z->name) ? 0 : (u_int)CLAMP(age, 0, AGE_MS_MAX);
}

void
zones_put(Zones *d, ms_zone *out, Zone *z, uint64_t have_vms,
          uint64_t have_loads, MembVm *keep, int64_t now)
{
    int n = live_vms(d, z->name, keep);

    memset(out, 0, sizeof(*out));
    out->zone = z->name;
    out->whole =
        zones_is_relay(d) && now - d->born_us > SETTLE_MS * (int64_t)US_PER_MS;
    out->age_ms = zone_age_ms(d, z, now);
    out->config_version = z->config_version;
    out->vms_hash = hash_vms(keep, n);
    if (out->vms_hash != have_vms) {
        out->vms_full = TRUE;
        out->vms.vms_len = (u_int)n;
        out->vms.vms_val = g_new0(ms_vm, MAX(n, 1));
        for (int i = 0; i < n; i++) {
            ctlmsg_put_vm(&out->vms.vms_val[i], &keep[i], now);
        }
    }
    out->loads_hash = z->loads_hash;
    if (z->loads_hash != have_loads) {
        zones_put_loads(out, z->loads, z->n_loads);
    }
}

void
zones_clear_message(ms_zone *z)
{
    ctlmsg_free_loads(z->loads.loads_val, z->loads.loads_len);
    g_free(z->vms.vms_val);
}

/* Tells memb of all VMs of a zone's newest statement. */
static void
tell_vms(Zones *d, const Zone *z, int64_t now)
{
    Control *c = d->c;

    for (int i = 0; i < z->n_vms; i++) {
        const MembVm *vm = &z->vms[i];
        if (strcmp(vm->id, c->set.vm_id) != 0) {
            control_news(c, vm, now - z->told_us);
        }
        else if (vm->leaving && !memb_self(c->memb)->leaving) {
            lg_decision(PART, "the relay names this VM as leaving");
            memb_self(c->memb)->leaving = true;
            control_local_dirty(c->local);
        }
    }
}

static void
drop_unlisted(Zones *d, const Zone *z, const MembVm *vms, int n)
{
    for (int i = 0; i < z->n_vms; i++) {
        bool listed = false;
        for (int k = 0; k < n; k++) {
            listed = listed || strcmp(z->vms[i].id, vms[k].id) == 0;
        }
        if (!listed) {
            memb_refused(d->c->memb, z->vms[i].id);
        }
    }
}

/* Replaces the list of a zone's VMs.  Those that a whole list leaves out are
 * gone; another list only tells of the VMs in it. */
static bool
take_vms(Zones *d, Zone *z, const ms_zone *in)
{
    MembVm vms[VMS_PER_ZONE_MAX] = {0};
    int n = (int)in->vms.vms_len;
    Err e = {0};

    for (int i = 0; i < n; i++) {
        if (!ctlmsg_get_vm(&vms[i], &in->vms.vms_val[i], &e) ||
            strcmp(vms[i].zone, z->name) != 0) {
            lg_line(LG_WARN, PART, "zone %s is left: %s", z->name, e.text);
            return false;
        }
    }
    if (zones_is_own(d, z->name) ? zones_is_relay(d)
                                 : !in->whole && z->n_vms > 0) {
        for (int i = 0; i < n; i++) {
            int64_t age = in->vms.vms_val[i].age_ms;
            if (strcmp(vms[i].id, d->c->set.vm_id) != 0) {
                control_news(d->c, &vms[i], age * US_PER_MS);
            }
        }
        return false;
    }
    if (!zones_is_own(d, z->name)) {
        drop_unlisted(d, z, vms, n);
    }
    memcpy(z->vms, vms, sizeof(vms));
    z->n_vms = n;
    z->vms_hash = in->vms_hash;
    return true;
}

static void
take_loads(Zone *z, const ms_zone *in)
{
    int n = MIN((int)in->loads.loads_len, SERVICES_MAX);
    Err e = {0};

    z->n_loads = 0;
    for (int i = 0; i < n; i++) {
        if (ctlmsg_get_load(&z->loads[z->n_loads], &in->loads.loads_val[i],
                            &e)) {
            z->n_loads++;
        }
    }
    z->loads_hash = in->loads_hash;
}

bool
zones_is_same(Zones *d, const Zone *z, uint64_t have_vms, uint64_t have_loads,
              int64_t now, u_int *age_ms)
{
    MembVm vms[VMS_PER_ZONE_MAX];
    int n = live_vms(d, z->name, vms);

    *age_ms = zone_age_ms(d, z, now);
    return hash_vms(vms, n) == have_vms && z->loads_hash == have_loads;
}

void
zones_refresh(Zones *d, Zone *z, u_int age_ms, int64_t now)
{
    int64_t told = now - (int64_t)age_ms * US_PER_MS;

    if (told > z->told_us &&
        !(zones_is_own(d, z->name) && zones_is_relay(d))) {
        z->told_us = told;
        tell_vms(d, z, now);
    }
}

/* Takes a statement of another zone, or of the own one from its relay. */
void
zones_take(Zones *d, const ms_zone *in, int64_t now)
{
    int64_t told = now - (int64_t)in->age_ms * US_PER_MS;

    if (!str_is_name(str_of(in->zone), NAME_BYTES - 1)) {
        return;
    }
    Zone *z = zones_at(d, in->zone);
    if (z == NULL || (told <= z->told_us && !zones_is_own(d, in->zone))) {
        return;
    }
    if (in->vms_full) {
        if (!take_vms(d, z, in)) {
            return;
        }
    }
    else if (in->vms_hash != z->vms_hash) {
        return; /* told to a former state of this VM: the next one is full */
    }
    if (zones_is_own(d, in->zone) && zones_is_relay(d)) {
        return;
    }
    z->told_us = MAX(z->told_us, told);
    z->config_version = in->config_version;
    if (in->loads_full) {
        take_loads(z, in);
    }
    tell_vms(d, z, now);
}

void
zones_keep_loads(Zones *d, const char *id, const ms_zone *z, int64_t now)
{
    VmLoads *v = g_new0(VmLoads, 1);
    Err e = {0};

    v->at_us = now;
    v->config_version = z->config_version;
    for (u_int i = 0; i < z->loads.loads_len; i++) {
        if (ctlmsg_get_load(&v->loads[v->n], &z->loads.loads_val[i], &e)) {
            v->n++;
        }
    }
    if (g_hash_table_size(d->vm_loads) < 2 * VMS_PER_ZONE_MAX) {
        g_hash_table_replace(d->vm_loads, g_strdup(id), v);
    }
    else {
        g_free(v);
    }
}

bool
zones_load(const Zones *d, const char *zone, int service, SnapLoad *out)
{
    const Zone *z = g_hash_table_lookup(d->zones, zone);
    int64_t now = g_get_monotonic_time();

    if (z == NULL || z->config_version != cfg_version(d->c->cfg) ||
        now - z->told_us > LOAD_FRESH_MS * (int64_t)US_PER_MS) {
        return false;
    }
    for (int i = 0; i < z->n_loads; i++) {
        if (z->loads[i].service == service) {
            *out = z->loads[i];
            return true;
        }
    }
    return false;
}
