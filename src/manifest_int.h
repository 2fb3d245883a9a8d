/*
 * manifest_int - internal declarations of the manifest_*.c files.
 */
#ifndef MIMOSA_MANIFEST_INT_H
#define MIMOSA_MANIFEST_INT_H

#include "manifest.h"

/* Compares blocks by address, then by prefix length. */
int manifest_block_cmp(const void *a, const void *b);

/* Parses "ADDRESS/BITS"; bits after the prefix must be zero. */
bool manifest_block_read(MfBlock *b, Str text, Err *e);

/* Writes "ADDRESS/BITS"; out needs at least 64 bytes. */
void manifest_block_write(const MfBlock *b, char *out, size_t cap);

/* Parser state: the manifest and the group that is being read. */
typedef struct MfGroup {
    Manifest *m;
    GKeyFile *kf;
    const char *group;     /* header without its brackets */
    char *args[2];         /* words of the header after the kind */
    GHashTable *addresses; /* of all targets so far, to reject duplicates */
    GArray *blocks;        /* MfBlock, in the order of the text */
    Err *e;
} MfGroup;

typedef int (*MfFind)(const Manifest *m, Str name);

#define MFV_REQUIRED (-1.0) /* default of a mandatory key */

/*
 * Read the values of the current group.  On failure each returns false and
 * sets an error that names the group, the key, the value found, the allowed
 * values and the remedy.
 */
bool mfv_fail(MfGroup *p, const char *key, const char *found,
              const char *allowed, const char *remedy);
bool mfv_missing(MfGroup *p, const char *key, const char *allowed);

/* Returns the raw value, which the caller frees, or NULL if the key is
 * missing. */
char *mfv_value(MfGroup *p, const char *key);

bool mfv_number(MfGroup *p, const char *key, double min, double max,
                double def, bool whole, double *out);
bool mfv_int(MfGroup *p, const char *key, int min, int max, double def,
             int *out);

/* Reads a time in ms and stores it in us. */
bool mfv_ms(MfGroup *p, const char *key, double min, double max, double def,
            int64_t *out_us);

/* Reads the name of an entry that another group declares; kind is the word for
 * it in errors. */
bool mfv_ref(MfGroup *p, const char *key, const char *kind, MfFind find,
             int *out);

/* Copies the name in the group's header to dst. */
bool mfv_name(MfGroup *p, char dst[NAME_BYTES]);

/* Checks that a table of max entries can take one more.  Errors: ERR_LIMIT. */
bool mfv_check_limit(MfGroup *p, int have, int max);

#endif
