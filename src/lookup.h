/*
 * lookup - which entry VMs a caller should use.
 *
 * Pure: state, inputs and the present time in; decision out.  A LookupTable
 * is the block table of one configuration; a LookupView holds what changes:
 * live VMs and shift rows.
 */
#ifndef MIMOSA_LOOKUP_H
#define MIMOSA_LOOKUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

typedef struct LookupTable LookupTable;

/* Builds a table; the blocks are copied in a compact form (at most 160 bytes
 * a block in all).  Never fails. */
LookupTable *lookup_table_new(const MfBlock *blocks, size_t n);
void lookup_table_free(LookupTable *t);
size_t lookup_table_bytes(const LookupTable *t);

typedef struct LookupPlace {
    int zone; /* -1: no block matches */
    int site;
    uint64_t block_hash; /* the same for all addresses of a block */
} LookupPlace;

/* Finds the longest matching block of an address in its 128-bit form. */
LookupPlace lookup_place(const LookupTable *t, const uint8_t addr[16]);

typedef struct LookupVm {
    char id[NAME_BYTES];
    char address[ADDR_BYTES]; /* where its mimosa-entry listens */
    uint64_t hash;            /* hash_str of the id */
    int zone;
    int site;
    bool live;     /* member, not suspected */
    bool leaving;  /* planned stop or VM list */
    double weight; /* free capacity, > 0 */
} LookupVm;

/*
 * Usable VMs by zone and site in a compact form, to be made once per change of
 * the VMs.  Without it, each decision makes one of its own.
 */
typedef struct LookupIndex LookupIndex;

LookupIndex *lookup_index_new(const LookupVm *vms, int n_vms, int n_zones);
void lookup_index_free(LookupIndex *x);

typedef struct LookupView {
    const LookupVm *vms;
    int n_vms;
    int n_zones;
    const double *row;        /* W[home][*] of the service; n_zones long */
    bool moving;              /* the row moves now: short lifetimes */
    const LookupIndex *index; /* of vms and n_zones, or NULL */
} LookupView;

typedef enum LookupReason {
    LOOKUP_OK,         /* first entry is in the drawn zone */
    LOOKUP_OTHER_ZONE, /* the drawn zone has no usable VM */
    LOOKUP_NO_BLOCK,   /* no block matches: zone of the asked VM */
    LOOKUP_NO_VM       /* no usable VM at all */
} LookupReason;

typedef struct LookupAnswer {
    int n;                  /* entries, best first */
    int vm[LOOKUP_ENTRIES]; /* indexes into view->vms */
    int home;               /* home zone */
    int zone;               /* drawn serving zone */
    int64_t lifetime_ms;
    LookupReason reason;
} LookupAnswer;

/*
 * Decides for a caller.  near lists all zones by growing latency from each
 * zone: near[z * n_zones + k].  own_zone is used when no block matches.
 */
LookupAnswer lookup_decide(const LookupPlace *p, const LookupView *v,
                           const uint8_t *near, int own_zone);

/* Fills near from the manifest's latencies; n_zones * n_zones bytes. */
void lookup_zone_order(const Manifest *m, uint8_t *near);

const char *lookup_reason_name(LookupReason r);

#endif
