/*
 * snap - what control tells entry and lookup on the same VM, and what they
 * report back.
 *
 * A Snapshot is read-only once it is handed over.  Times are monotonic; all
 * processes of a VM share that clock.
 */
#ifndef MIMOSA_SNAP_H
#define MIMOSA_SNAP_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "limits.h"
#include "manifest.h"
#include "memb.h"
#include "own.h"
#include "shift.h"

/* Ownership of one target of the VM's own zone. */
typedef struct SnapTarget {
    int owner_vm;        /* index into vms, or -1 */
    int budget;          /* of this VM until good_until_us; 0: not owner */
    int isolated_budget; /* after good_until_us without a newer snapshot */
} SnapTarget;

/* Ownership of one idempotency key range of the VM's own zone. */
typedef struct SnapRange {
    int owner_vm;           /* index into vms, or -1 */
    bool owned;             /* by this VM, until good_until_us */
    int64_t tenure_wall_us; /* clean since then; 0: not clean */
} SnapRange;

/* A decoded configuration that snapshots of its version share. */
typedef struct SnapConfig {
    gint refs;
    uint64_t version;
    char change_id[40];
    Manifest *m;
} SnapConfig;

/* Takes the manifest. */
SnapConfig *snap_config_new(uint64_t version, const char *change_id,
                            Manifest *m);
SnapConfig *snap_config_ref(SnapConfig *c);
void snap_config_unref(SnapConfig *c);

typedef struct Snapshot {
    gint refs;
    SnapConfig *config;      /* NULL: none yet */
    uint64_t config_version; /* 0: none yet, refuse to serve */
    char change_id[40];
    const Manifest *m; /* owned by the snapshot's holder of the version */
    int own_zone;      /* index, or -1 when the manifest lacks it */
    int own_vm;        /* index into vms */
    uint64_t epoch;
    OwnMode mode;
    int64_t at_us;
    int64_t good_until_us;
    int n_vms;
    MembVm *vms;
    int *vm_zone;            /* zone index of each VM, or -1 */
    bool zone_up[ZONES_MAX]; /* a live VM of that zone can be reached */
    ShiftRow *rows;          /* [service * n_zones + home] */
    SnapTarget *targets;     /* by manifest target; owner -1 in other zones */
    SnapRange ranges[KEY_RANGES];
    double *zone_free; /* free slots [service * n_zones + zone] */
    GBytes *journal;   /* new batch for idem_journal_read(), or NULL */
} Snapshot;

/* Makes a snapshot with one reference.  config may be NULL: version 0, no
 * manifest, rows or targets.  The lists are zeroed, owners are -1. */
Snapshot *snap_new(SnapConfig *config, int n_vms);
Snapshot *snap_ref(Snapshot *s);
void snap_unref(Snapshot *s);

static inline const ShiftRow *
snap_row(const Snapshot *s, int service, int home)
{
    return &s->rows[service * s->m->n_zones + home];
}

/* What entry reports of one service. */
typedef struct SnapLoad {
    int service;
    double usable_slots; /* of the targets this VM owns */
    double free_slots;
    double demand[ZONES_MAX]; /* busy slots wanted, by home zone */
} SnapLoad;

typedef struct SnapReport {
    int n_loads;
    SnapLoad loads[SERVICES_MAX];
    uint64_t config_version;  /* in force in this process */
    bool zone_bad[ZONES_MAX]; /* forwarding to that zone fails */
    bool leaving;             /* a planned stop has begun */
    char counters[1024];      /* main counters as text, for status */
    GBytes *journal;          /* batch of idem_journal_write() or NULL; ctlc
                                 takes it */
} SnapReport;

#endif
