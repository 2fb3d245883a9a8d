/*
 * resync - finds the changes that a watch missed because the store dropped
 * its history.
 *
 * It is built for a fleet of hundreds of VMs that all miss the same changes.
 * Copies of the store, which may be out of date, are read at a tenth of the
 * price; the store itself is read when they lag too far.
 */
#ifndef MIMOSA_RESYNC_H
#define MIMOSA_RESYNC_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kvcache.h"
#include "kvpage.h"
#include "kv.h"

typedef struct ResyncOpts {
    Evl *loop;
    Dlog *log;
    KvPages *pages; /* borrowed */
    struct sockaddr_in store;
    XferBacklog *backlog; /* see kv_share_backlog() */
    KvHist *history;      /* see kv_share_history() */
    GRand *rnd;
    const char *prefix;
    int64_t propagation_us; /* longest time for a change to reach this VM */
    KvCache *cache;
    /* A page is about to be merged into the cache. */
    void (*merging)(void *ctx);
    /* The changes are in the cache. */
    void (*found)(void *ctx, int64_t now_us);
    void *ctx;
} ResyncOpts;

typedef struct Resync Resync;

Resync *resync_new(const ResyncOpts *o);
void resync_free(Resync *g);

/* Starts a resync, or extends one that still lacks changes, whose list may
 * take longer than the time between two such calls.  Until it ends, the cache
 * keeps tombstones of removed keys, because the lists may be older than the
 * cached keys. */
void resync_begin(Resync *g);

/* Lists the keys until all changes up to revision "to" are found.  Call after
 * resync_begin().  copies: reads copies of the store first, which may lag. */
void resync_run(Resync *g, uint64_t to, bool copies);

/* True from resync_begin() until the changes are in the cache. */
bool resync_lacks_changes(const Resync *g);

/* Ends the resync.  Called early when the store itself is listed, which makes
 * the resync unnecessary. */
void resync_end(Resync *g);

/* Number of calls to the store so far. */
int64_t resync_calls(const Resync *g);

#endif
