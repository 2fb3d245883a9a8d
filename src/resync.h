/*
 * resync - finds the changes that a watch has missed because the store dropped
 * its history.
 *
 * Load it answers: a fleet of hundreds of VMs that all miss the same changes.
 * Copies of the store that may be old are read at a tenth of the price; the
 * store itself is read when they lag too far.
 */
#ifndef MIMOSA_RESYNC_H
#define MIMOSA_RESYNC_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kvcache.h"
#include "kv.h"

typedef struct ResyncOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    GRand *rnd;
    const char *prefix;
    int64_t propagation_us; /* by then a change has to be known here */
    KvCache *cache;
} ResyncOpts;

typedef struct Resync Resync;

Resync *resync_new(const ResyncOpts *o);
void resync_free(Resync *g);

/* From now on lists may be older than what is known. */
void resync_begin(Resync *g);

/* Looks for all changes up to that revision; the gap must be open. */
void resync_run(Resync *g, uint64_t to);

/* Ends the search: a list of the store itself makes it needless. */
void resync_end(Resync *g);

/* Calls made so far. */
int64_t resync_calls(const Resync *g);

#endif
