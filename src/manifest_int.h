/*
 * manifest_int - shared by the manifest_*.c files only.
 */
#ifndef MIMOSA_MANIFEST_INT_H
#define MIMOSA_MANIFEST_INT_H

#include "manifest.h"

/* Compares blocks by address, then by prefix length. */
int manifest_block_cmp(const void *a, const void *b);

/* Parses "ADDRESS/BITS"; bits beyond the prefix must be zero. */
bool manifest_block_read(MfBlock *b, Str text, Err *e);

/* Writes "ADDRESS/BITS"; at least 64 bytes of room. */
void manifest_block_write(const MfBlock *b, char *out, size_t cap);

/* One group while it is read. */
typedef struct MfGroup {
    Manifest *m;
    GKeyFile *kf;
    const char *group; /* whole header without brackets */
    char *args[2];     /* words after the kind */
    GHashTable *addresses;
    GArray *blocks;
    Err *e;
} MfGroup;

typedef int (*MfFind)(const Manifest *m, Str name);

#define MFV_REQUIRED (-1.0) /* default of a key that must be given */

/*
 * Values of the present group.  Each returns false after it set an error that
 * names group, key, the value found, what is allowed and the remedy.
 */
bool mfv_fail(MfGroup *p, const char *key, const char *found,
              const char *allowed, const char *remedy);
bool mfv_missing(MfGroup *p, const char *key, const char *allowed);

/* Raw value, to be freed, or NULL when the key is missing. */
char *mfv_value(MfGroup *p, const char *key);

bool mfv_number(MfGroup *p, const char *key, double min, double max,
                double def, bool whole, double *out);
bool mfv_int(MfGroup *p, const char *key, int min, int max, double def,
             int *out);

/* A time that is written in ms and stored in us. */
bool mfv_ms(MfGroup *p, const char *key, double min, double max, double def,
            int64_t *out_us);

/* A key that names a part declared elsewhere in the manifest. */
bool mfv_ref(MfGroup *p, const char *key, const char *kind, MfFind find,
             int *out);

/* The group's own name. */
bool mfv_name(MfGroup *p, char dst[NAME_BYTES]);

/* Checks that one more part of a kind has room. */
bool mfv_check_limit(MfGroup *p, int have, int max);

#endif
