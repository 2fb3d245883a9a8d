/* snap - snapshots and their shared configuration.  See snap.h. */
#include "snap.h"

#include <string.h>

SnapConfig *
snap_config_new(uint64_t version, const char *change_id, Manifest *m)
{
    SnapConfig *c = g_new0(SnapConfig, 1);

    c->refs = 1;
    c->version = version;
    g_strlcpy(c->change_id, change_id, sizeof(c->change_id));
    c->m = m;
    return c;
}

SnapConfig *
snap_config_ref(SnapConfig *c)
{
    g_atomic_int_inc(&c->refs);
    return c;
}

void
snap_config_unref(SnapConfig *c)
{
    if (c != NULL && g_atomic_int_dec_and_test(&c->refs)) {
        manifest_free(c->m);
        g_free(c);
    }
}

static void
fill_config(Snapshot *s, SnapConfig *config)
{
    const Manifest *m = config->m;
    size_t cells = (size_t)m->n_services * (size_t)m->n_zones;

    s->config = snap_config_ref(config);
    s->config_version = config->version;
    g_strlcpy(s->change_id, config->change_id, sizeof(s->change_id));
    s->m = m;
    s->rows = g_new0(ShiftRow, cells);
    s->zone_free = g_new0(double, cells);
    s->targets = g_new0(SnapTarget, m->n_targets);
    for (int i = 0; i < m->n_targets; i++) {
        s->targets[i].owner_vm = -1;
    }
}

Snapshot *
snap_new(SnapConfig *config, int n_vms)
{
    Snapshot *s = g_new0(Snapshot, 1);

    s->refs = 1;
    s->own_zone = -1;
    s->own_vm = -1;
    s->n_vms = n_vms;
    s->vms = g_new0(MembVm, n_vms);
    s->vm_zone = g_new0(int, n_vms);
    for (int i = 0; i < n_vms; i++) {
        s->vm_zone[i] = -1;
    }
    for (int i = 0; i < KEY_RANGES; i++) {
        s->ranges[i].owner_vm = -1;
    }
    if (config != NULL) {
        fill_config(s, config);
    }
    return s;
}

Snapshot *
snap_ref(Snapshot *s)
{
    g_atomic_int_inc(&s->refs);
    return s;
}

void
snap_unref(Snapshot *s)
{
    if (s == NULL || !g_atomic_int_dec_and_test(&s->refs)) {
        return;
    }
    g_free(s->vms);
    g_free(s->vm_zone);
    g_free(s->rows);
    g_free(s->targets);
    g_free(s->zone_free);
    if (s->journal != NULL) {
        g_bytes_unref(s->journal);
    }
    snap_config_unref(s->config);
    g_free(s);
}
