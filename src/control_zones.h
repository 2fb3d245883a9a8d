/*
 * control_zones - what is known of each zone; used by control_digest only.
 */
#ifndef MIMOSA_CONTROL_ZONES_H
#define MIMOSA_CONTROL_ZONES_H

#include "control.h"

/* What the VMs of a zone told of it. */
typedef struct Zone {
    char name[NAME_BYTES];
    int64_t told_us; /* when the newest statement was made */
    uint64_t config_version;
    uint64_t vms_hash;
    int n_vms;
    MembVm vms[VMS_PER_ZONE_MAX];
    uint64_t loads_hash;
    int n_loads;
    SnapLoad loads[SERVICES_MAX];
    /* Towards that zone: what it holds of ours, and who is asked. */
    uint64_t their_vms_hash;
    uint64_t their_loads_hash;
    bool waiting;
    int fails;
    char target[NAME_BYTES];
} Zone;

typedef struct Zones {
    Control *c;
    GHashTable *zones;    /* name -> Zone, the own one too */
    GHashTable *vm_loads; /* id -> VmLoads */
    int64_t born_us;
} Zones;

void zones_init(Zones *d, Control *c);
void zones_clear(Zones *d);

/* The zone of that name, made at first use; NULL beyond ZONES_MAX. */
Zone *zones_at(Zones *d, const char *name);
bool zones_is_own(const Zones *d, const char *zone);
/* Whether this VM is the relay of its zone. */
bool zones_is_relay(const Zones *d);
/* Brings the statement of the own zone up to date. */
Zone *zones_own(Zones *d, int64_t now);

/* Takes a statement of another zone, or of the own one from its relay. */
void zones_take(Zones *d, const ms_zone *in, int64_t now);
/* Whether a receiver with those hashes holds the zone as it is here. */
bool zones_is_same(Zones *d, const Zone *z, uint64_t have_vms,
                   uint64_t have_loads, int64_t now, u_int *age_ms);
/* The sender holds the zone as it is here, from a statement of that age. */
void zones_refresh(Zones *d, Zone *z, u_int age_ms, int64_t now);
/* The relay keeps the loads that a VM of its zone tells. */
void zones_keep_loads(Zones *d, const char *id, const ms_zone *z, int64_t now);
bool zones_load(const Zones *d, const char *zone, int service, SnapLoad *out);

/*
 * Writes a zone for a receiver that holds the hashes of have.  VMs that are
 * gone here are left out, so that the receiver drops them too.  Texts are
 * borrowed from keep, VMS_PER_ZONE_MAX long, which gets the VMs.
 */
void zones_put(Zones *d, ms_zone *out, Zone *z, uint64_t have_vms,
               uint64_t have_loads, MembVm *keep, int64_t now);
void zones_put_loads(ms_zone *out, const SnapLoad *loads, int n);
void zones_clear_message(ms_zone *z);

#endif
