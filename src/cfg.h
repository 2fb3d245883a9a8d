/*
 * cfg - the configuration in use; its version never decreases.
 *
 * Asserts "config_revert".
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

/* An envelope as stored under the key "config" and sent between VMs. */
typedef struct CfgEnvelope {
    uint64_t version; /* incremented by each accepted change */
    char change_id[CHANGE_ID_BYTES];
    uint64_t store_version; /* of the stored value, for compare-and-swap */
    GBytes *packed;         /* manifest text, compressed with zstd */
} CfgEnvelope;

/*
 * Encode and decode an envelope: "MMS1", version, change id, length, packed
 * text, checksum.  cfg_decode() checks lengths and checksum and refuses a
 * manifest text of more than MANIFEST_BYTES_MAX.  Errors: ERR_VALUE, ERR_LIMIT
 * (cfg_encode); ERR_SYNTAX, ERR_VALUE (cfg_decode).
 */
GBytes *cfg_encode(uint64_t version, const char *change_id, Str manifest_text,
                   Err *e);
bool cfg_decode(Str bytes, uint64_t *version, char change_id[CHANGE_ID_BYTES],
                GString *manifest_text, Err *e);

typedef struct Cfg Cfg;

Cfg *cfg_new(void);
void cfg_free(Cfg *c);

typedef enum CfgOfferResult {
    CFG_ADOPTED, /* now in use */
    CFG_SAME,    /* already in use */
    CFG_OLDER,   /* ignored: older than the one in use */
    CFG_BAD,     /* malformed: ignored, with an error */
    CFG_CONFLICT /* same version, another change id: ignored, with an error */
} CfgOfferResult;

/* Adopts an envelope from the store or a peer if it is newer. */
CfgOfferResult cfg_offer(Cfg *c, Str envelope, int64_t now_us, Err *e);

uint64_t cfg_version(const Cfg *c); /* 0: none */
const char *cfg_change_id(const Cfg *c);
const Manifest *cfg_manifest(const Cfg *c); /* NULL: none */
GBytes *cfg_envelope(const Cfg *c);         /* owned by c; NULL: none */

/* Result of an operator's write whose answer from the store was lost. */
typedef enum CfgWrite {
    CFG_WROTE,      /* the change is stored */
    CFG_LOST_RACE,  /* another change has its version: it was never stored */
    CFG_SUPERSEDED, /* later changes are stored; it may precede them */
    CFG_NOT_YET     /* the change is not stored: it may be sent again */
} CfgWrite;

/* Compares the stored version and change id with those of the write, which was
 * based on base_version. */
CfgWrite cfg_resolve(uint64_t base_version, const char *my_change_id,
                     uint64_t stored_version, const char *stored_change_id);

#endif
