/*
 * lookup - selects the entry VMs that a caller should use.
 *
 * Pure functions without I/O or global state.  A LookupTable is the immutable
 * block table of one configuration.  A LookupView holds the state that changes
 * while that configuration is in force: the VMs and the shift rows.
 */
#ifndef MIMOSA_LOOKUP_H
#define MIMOSA_LOOKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

typedef struct LookupTable LookupTable;

/* Builds a table.  The blocks are copied in a compact form of at most 160
 * bytes per block.  Never fails. */
LookupTable *lookup_table_new(const MfBlock *blocks, size_t n);
void lookup_table_free(LookupTable *t);

/* Upper bound of the memory of a table, in bytes. */
size_t lookup_table_bytes(const LookupTable *t);

typedef struct LookupPlace {
    int zone; /* -1: no block matches */
    int site;
    uint64_t block_hash; /* equal for all addresses of a block */
} LookupPlace;

/* Finds the block with the longest prefix that matches an address, which is
 * in 128-bit form (IPv4 as ::ffff:a.b.c.d). */
LookupPlace lookup_place(const LookupTable *t, const uint8_t addr[16]);

typedef struct LookupVm {
    char id[NAME_BYTES];
    char address[ADDR_BYTES]; /* listening address of its mimosa-entry */
    uint64_t hash;            /* hash_str() of the id */
    int zone;
    int site;
    bool live;     /* member that is not suspected to have failed */
    bool leaving;  /* shutting down, or leaving by the VM list */
    double weight; /* free capacity, greater than 0 */
} LookupVm;

/*
 * Index of the usable VMs by zone and site.  Build it once per change of the
 * VMs; without it, lookup_decide() builds a temporary index on each call.
 */
typedef struct LookupIndex LookupIndex;

LookupIndex *lookup_index_new(const LookupVm *vms, int n_vms, int n_zones);
void lookup_index_free(LookupIndex *x);

typedef struct LookupView {
    const LookupVm *vms;
    int n_vms;
    int n_zones;
    const double *row; /* shares W[home][*] of the service; n_zones long */
    bool moving;       /* the shares are changing: use short lifetimes */
    const LookupIndex *index; /* built from vms and n_zones, or NULL */
} LookupView;

typedef enum LookupReason {
    LOOKUP_OK,         /* the first entry is in the serving zone */
    LOOKUP_OTHER_ZONE, /* the serving zone has no usable VM */
    LOOKUP_NO_BLOCK,   /* no block matches: home is the zone of this VM */
    LOOKUP_NO_VM       /* no zone has a usable VM */
} LookupReason;

typedef struct LookupAnswer {
    int n;                  /* number of entries */
    int vm[LOOKUP_ENTRIES]; /* indexes into LookupView.vms, best first */
    int home;               /* home zone */
    int zone;               /* selected serving zone */
    int64_t lifetime_ms;    /* how long the caller may cache the answer */
    LookupReason reason;
} LookupAnswer;

/*
 * Selects the entry VMs for a caller.  near[z * n_zones + k] is the k-th zone
 * in order of latency from zone z; see lookup_zone_order().  own_zone is the
 * home zone if no block matches.
 */
LookupAnswer lookup_decide(const LookupPlace *p, const LookupView *v,
                           const uint8_t *near, int own_zone);

/* Fills near, which has n_zones * n_zones bytes: per zone, all zones in order
 * of the manifest's latencies, the zone itself first. */
void lookup_zone_order(const Manifest *m, uint8_t *near);

const char *lookup_reason_name(LookupReason r);

#endif
