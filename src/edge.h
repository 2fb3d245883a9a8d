/*
 * edge - one entry VM on the platform: creates and connects its modules.
 *
 * One process serves the requests of callers and the endpoints for directory,
 * readiness and metrics, mirrors the platform's store and exchanges heartbeats
 * with the other VMs.
 */
#ifndef MIMOSA_EDGE_H
#define MIMOSA_EDGE_H

#include "err.h"
#include "eset.h"
#include "evl.h"

typedef struct Edge Edge;

/* file: the settings file, which is read again when it changes.  Returns NULL
 * and sets e when it is invalid or an address cannot be listened on. */
Edge *edge_new(Evl *loop, const char *file, Err *e);
void edge_free(Edge *g);

/* Reads the settings file now, even if it has not changed. */
void edge_reload(Edge *g);

/* Starts a planned stop.  The loop ends once no caller is connected or,
 * shortly before the VM is killed, once no request is in flight. */
void edge_shutdown(Edge *g);

#endif
