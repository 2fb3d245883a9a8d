/*
 * lookup_run - main loop of the program mimosa-lookup.
 */
#ifndef MIMOSA_LOOKUP_RUN_H
#define MIMOSA_LOOKUP_RUN_H

#include "err.h"
#include "settings.h"
#include "snap.h"

typedef struct LookupTask LookupTask;
typedef void (*LookupFeed)(LookupTask *t, void *ctx);

/* Runs until a planned stop ends; returns the exit code.  If feed is not NULL,
 * it is called once with ctx instead of connecting to the local control, and
 * it supplies snapshots by lookup_take_snapshot().  Errors: those of the
 * listener, in e. */
int lookup_run(const Settings *set, LookupFeed feed, void *ctx, Err *e);

/* Puts a snapshot into use; ctx is the LookupTask.  Ignores snapshots without
 * a configuration or own zone, or with an older configuration. */
void lookup_take_snapshot(void *ctx, Snapshot *s);

#endif
