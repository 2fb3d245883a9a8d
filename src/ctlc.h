/*
 * ctlc - RPC client of the local control, used by entry and lookup.
 *
 * The client owns its connection, reconnects after errors, keeps one SNAPSHOT
 * call pending (a long poll), and calls back on the main loop.
 * Snapshots of one configuration version share the decoded manifest.
 */
#ifndef MIMOSA_CTLC_H
#define MIMOSA_CTLC_H

#include <stdint.h>

#include "err.h"
#include "limits.h"
#include "settings.h"
#include "snap.h"

typedef struct CtlClient CtlClient;

typedef struct CtlcOpts {
    const char *program;      /* "entry" or "lookup" */
    const char *address;      /* address of the local control */
    const uint8_t *fleet_key; /* FLEET_KEY_BYTES bytes */
    /* Called with each new snapshot; use snap_ref() to keep it. */
    void (*on_snapshot)(void *ctx, Snapshot *s);
    /* Called before each SNAPSHOT call to fill the report. */
    void (*fill_report)(void *ctx, SnapReport *r);
    void *ctx;
} CtlcOpts;

/* Starts the first call; connection errors are logged and retried. */
CtlClient *ctlc_new(const CtlcOpts *o);
void ctlc_free(CtlClient *c);

/* Sends a report without waiting for the next SNAPSHOT call, for example when
 * a planned stop begins. */
void ctlc_push(CtlClient *c);

#endif
