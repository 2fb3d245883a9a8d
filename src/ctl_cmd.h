/*
 * ctl_cmd - commands of mimosactl and what they share.
 *
 * A command prints its result to standard output and returns false with an
 * error otherwise; the kind of the error gives the exit code.
 */
#ifndef MIMOSA_CTL_CMD_H
#define MIMOSA_CTL_CMD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cfg.h"
#include "err.h"
#include "manifest.h"
#include "settings.h"
#include "storehttp.h"

#define CTL_ARGS_MAX 2

typedef struct CtlOpts {
    const char *config; /* settings file */
    const char *service;
    const char *client;
    const char *rank;
    int64_t wait_ms;    /* for a version to be in force; 0: do not wait */
    int64_t timeout_ms; /* of all store calls of a command */
    int64_t base;       /* version that a change must replace; -1: any */
    const char *args[CTL_ARGS_MAX];
    int n_args;
} CtlOpts;

typedef struct Ctl {
    CtlOpts o;
    Settings s;
    StoreLimit q;
    GRand *rnd;
    StoreHttp *store;
    int64_t deadline_us; /* end of the command's store calls */
} Ctl;

bool ctl_open(Ctl *c, Err *e);
void ctl_close(Ctl *c);

/* The stored configuration.  version 0: none yet. */
typedef struct CtlStored {
    uint64_t version;
    uint64_t store_version; /* for compare-and-swap */
    char change_id[CHANGE_ID_BYTES];
    GString *text; /* NULL: none yet */
    Manifest *m;   /* NULL: none yet, or not readable by this program */
} CtlStored;

/* Reads the stored configuration, again and again until the command's time is
 * over.  Errors: ERR_UNAVAILABLE, ERR_SYNTAX. */
bool ctl_stored_read(Ctl *c, CtlStored *out, Err *e);
void ctl_stored_clear(CtlStored *s);

/*
 * Writes a text as the version after base.  An answer that is lost is resolved
 * by reading back the change id.
 * Errors: ERR_CONFLICT with both versions, ERR_UNAVAILABLE when it stays
 * unknown whether the change took effect, ERR_LIMIT.
 */
bool ctl_stored_write(Ctl *c, const CtlStored *base, Str text,
                      uint64_t *version, Err *e);

/* Waits until a version is in force on all VMs, and reports where it is and
 * where not.  Errors: ERR_TIMEOUT, ERR_UNAVAILABLE. */
bool ctl_wait(Ctl *c, uint64_t version, Err *e);

/* Reads and checks a manifest file.  The text is freed by the caller. */
Manifest *ctl_manifest_file(const char *file, GString **text, Err *e);

bool ctl_check(Ctl *c, Err *e);
bool ctl_diff(Ctl *c, Err *e);
bool ctl_apply(Ctl *c, Err *e);
bool ctl_drain(Ctl *c, Err *e);
bool ctl_undrain(Ctl *c, Err *e);
bool ctl_status(Ctl *c, Err *e);
bool ctl_explain(Ctl *c, Err *e);

#endif
