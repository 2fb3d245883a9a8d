/*
 * ctl_cmd - commands of mimosactl and their shared functions.
 *
 * A command prints its result to standard output and returns true, or returns
 * false and sets an error; the kind of the error gives the exit code.
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

#define CTL_ARGS_MAX VMS_MAX /* "losses" takes a log of each VM */

typedef struct CtlOpts {
    const char *config; /* settings file */
    const char *service;
    const char *client;
    const char *rank;
    const char *plot;   /* file for a gnuplot script; NULL: none */
    int64_t wait_ms;    /* until a version is in force; 0: do not wait */
    int64_t timeout_ms; /* for all store calls of a command together; an
                           answer that arrives by then is read to its end */
    int64_t base; /* version that must be stored before a change; -1: any */
    const char *args[CTL_ARGS_MAX];
    int n_args;
} CtlOpts;

typedef struct Ctl {
    CtlOpts o;
    Settings s;
    StoreLimit q;
    GRand *rnd;
    StoreHttp *store;
    int64_t deadline_us; /* deadline of the command's store calls */
} Ctl;

/* Reads the settings and sets up the store client.
 * Errors: ERR_USAGE without a settings file; those of
 * settings_read_operator(). */
bool ctl_open(Ctl *c, Err *e);
void ctl_close(Ctl *c);

/* The stored configuration. */
typedef struct CtlStored {
    uint64_t version;       /* 0: none is stored */
    uint64_t store_version; /* for compare-and-swap */
    char change_id[CHANGE_ID_BYTES];
    GString *text; /* NULL: none is stored */
    Manifest *m;   /* NULL: none is stored, or this program cannot parse it */
} CtlStored;

/* Reads the stored configuration.  Tries again until the store answers or the
 * command's deadline has passed.
 * Errors: ERR_UNAVAILABLE, ERR_SYNTAX, ERR_PROTOCOL. */
bool ctl_stored_read(Ctl *c, CtlStored *out, Err *e);
void ctl_stored_clear(CtlStored *s);

/*
 * Writes a text as the version after base.  If the answer is lost, reads the
 * change id back to find out whether the write took effect.
 * Errors: ERR_CONFLICT, with both versions in its text; ERR_UNAVAILABLE, if
 * it remains unknown whether the change took effect; ERR_LIMIT.
 */
bool ctl_stored_write(Ctl *c, const CtlStored *base, Str text,
                      uint64_t *version, Err *e);

/* Waits until a version is in force on all VMs, at most wait_ms, and prints
 * the result; after a time-out, also the VMs and programs that lack the
 * version.
 * Errors: ERR_TIMEOUT, ERR_UNAVAILABLE. */
bool ctl_wait(Ctl *c, uint64_t version, Err *e);

/* Reads and checks a manifest file.  Unless text is NULL, sets *text to the
 * content, which the caller frees. */
Manifest *ctl_manifest_file(const char *file, GString **text, Err *e);

bool ctl_check(Ctl *c, Err *e);
bool ctl_diff(Ctl *c, Err *e);
bool ctl_apply(Ctl *c, Err *e);
bool ctl_drain(Ctl *c, Err *e);
bool ctl_undrain(Ctl *c, Err *e);
bool ctl_status(Ctl *c, Err *e);
bool ctl_explain(Ctl *c, Err *e);
bool ctl_losses(Ctl *c, Err *e);

#endif
