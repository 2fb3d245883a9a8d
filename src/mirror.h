/*
 * mirror - keeps this VM's view of the platform's store, and its own record.
 *
 * Lists once, then watches; lists again when the store has forgotten the
 * history.  Serves on from memory while the store is away.  A key counts as
 * removed when an event says so or when two lists in a row lack it, since a
 * page may have a gap.  The VM's own record lives under a lease.
 */
#ifndef MIMOSA_MIRROR_H
#define MIMOSA_MIRROR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kv.h"

typedef struct MirrorFns {
    /* value NULL: the key is removed. */
    void (*item)(void *ctx, const char *key, GBytes *value, uint64_t rev,
                 int64_t now_us);
    /* The view is complete for the first time. */
    void (*ready)(void *ctx, int64_t now_us);
    /* A call failed; the view may be old. */
    void (*trouble)(void *ctx, int64_t now_us);
} MirrorFns;

typedef struct MirrorOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    const char *const *prefixes; /* NULL-terminated; each is watched */
    GRand *rnd;
    int64_t notice_us; /* by then a change has to be known here */
    MirrorFns fns;
    void *ctx;
} MirrorOpts;

typedef struct Mirror Mirror;

Mirror *mirror_new(const MirrorOpts *o);
void mirror_free(Mirror *m);

/* Sets the VM's own record; written again when it changes or is lost. */
void mirror_record(Mirror *m, const char *key, const char *value);

/* Ends the lease of the record, so that it goes at once. */
void mirror_leave(Mirror *m);

/* Calls made so far. */
int64_t mirror_calls(const Mirror *m);

#endif
