/*
 * mirror - keeps this VM's view of the platform's store, and its own record.
 *
 * Lists once, then watches.  When the store has forgotten the history, the
 * urgent keys are read at once, the watch goes on from there, and gap finds
 * what was missed.  Serves on from memory while the store is away.  A key
 * counts as removed when an event says so, or when lists lack it.  The VM's
 * own record lives under a lease.  What a watch brings is told to the VMs near
 * by, and what they tell puts the own watch off (news).
 */
#ifndef MIMOSA_MIRROR_H
#define MIMOSA_MIRROR_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kv.h"
#include "gossip.h"

typedef struct MirrorFns {
    /* value NULL: the key is removed.  Returns true when it changes what
     * this VM believes and other VMs have to know it. */
    bool (*item)(void *ctx, const char *key, GBytes *value, uint64_t rev,
                 int64_t now_us);
    /* The view is complete for the first time. */
    void (*ready)(void *ctx, int64_t now_us);
    /* The view is as new as the store's own answers. */
    void (*current)(void *ctx, int64_t now_us);
    /* A call failed; the view may be old. */
    void (*failed)(void *ctx, int64_t now_us);
    /* Changes to tell the VMs near by; good during the call only. */
    void (*announce)(void *ctx, const GossipOut *o);
} MirrorFns;

typedef struct MirrorOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    const char *const *prefixes; /* NULL-terminated; each is watched */
    const char *urgent; /* prefix of few keys that are read at once when
                           changes were lost */
    GRand *rnd;
    int64_t propagation_us; /* by then a change has to be known here */
    MirrorFns fns;
    void *ctx;
} MirrorOpts;

typedef struct Mirror Mirror;

Mirror *mirror_new(const MirrorOpts *o);
void mirror_free(Mirror *m);

/* Sets the VM's own record; written again when it changes or is lost. */
void mirror_register(Mirror *m, const char *key, const char *value);

/* Asks the store at once, for a VM that stood still; "current" is called when
 * all of the view is confirmed. */
void mirror_revalidate(Mirror *m);

/* Takes changes that another VM read. */
void mirror_receive(Mirror *m, const Gossip *w, int64_t now_us);

/* Calls made so far. */
int64_t mirror_calls(const Mirror *m);
/* Watches that news from another VM put off. */
int64_t mirror_deferred(const Mirror *m);

#endif
