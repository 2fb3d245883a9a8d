/*
 * edge - one entry VM on the platform: all parts put together.
 *
 * One process serves callers, the directory, readiness and metrics, mirrors
 * the platform's store and exchanges heartbeats with the other VMs.
 */
#ifndef MIMOSA_EDGE_H
#define MIMOSA_EDGE_H

#include "err.h"
#include "eset.h"
#include "evl.h"

typedef struct Edge Edge;

/* file: the settings file, which is read again when it changes. */
Edge *edge_new(Evl *loop, const char *file, Err *e);
void edge_free(Edge *g);

/* Looks at the settings file now. */
void edge_reload(Edge *g);

/* Starts a planned stop; the loop ends when no caller needs this VM. */
void edge_shutdown(Edge *g);

#endif
