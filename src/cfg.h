/*
 * cfg - adoption of configuration: upward only.  Asserts "config_revert".
 */
#ifndef MIMOSA_CFG_H
#define MIMOSA_CFG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "limits.h"
#include "manifest.h"
#include "str.h"

#define CHANGE_ID_BYTES 37 /* a UUID text with its terminator */

/* An envelope as it stands in the store key "config" and on the wire. */
typedef struct CfgEnvelope {
    uint64_t version; /* grows by one with each accepted change */
    char change_id[CHANGE_ID_BYTES];
    uint64_t store_version; /* for compare-and-swap */
    GBytes *packed;         /* zstd of the manifest text */
} CfgEnvelope;

/*
 * Bytes of an envelope: "MMS1", version, change id, length, packed text.
 * cfg_decode checks lengths and the checksum and unpacks within
 * MANIFEST_BYTES_MAX.
 */
GBytes *cfg_encode(uint64_t version, const char *change_id, Str manifest_text,
                   Err *e);
bool cfg_decode(Str bytes, uint64_t *version, char change_id[CHANGE_ID_BYTES],
                GString *manifest_text, Err *e);

typedef struct Cfg Cfg;

Cfg *cfg_new(void);
void cfg_free(Cfg *c);

typedef enum CfgOfferResult {
    CFG_ADOPTED,
    CFG_SAME,
    CFG_OLDER,   /* ignored */
    CFG_BAD,     /* malformed: the running one stays */
    CFG_CONFLICT /* the same version with another change id: reported */
} CfgOfferResult;

/* Offers an envelope from the store or a peer. */
CfgOfferResult cfg_offer(Cfg *c, Str envelope, int64_t now_us, Err *e);

uint64_t cfg_version(const Cfg *c); /* 0: none yet */
const char *cfg_change_id(const Cfg *c);
const Manifest *cfg_manifest(const Cfg *c); /* NULL: none yet */
GBytes *cfg_envelope(const Cfg *c);         /* borrowed */

/* What an operator's write that got no clear answer came to. */
typedef enum CfgWrite {
    CFG_WROTE,      /* took effect */
    CFG_LOST_RACE,  /* another change took the version: never in force */
    CFG_SUPERSEDED, /* later changes stand: it may have been in force before */
    CFG_NOT_YET     /* did not take effect: may be sent again */
} CfgWrite;

CfgWrite cfg_resolve(uint64_t base_version, const char *my_change_id,
                     uint64_t stored_version, const char *stored_change_id);

#endif
