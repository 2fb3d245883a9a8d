/*
 * mirror - keeps this VM's copy of the platform's store, and registers this
 * VM there.
 *
 * The store is listed once and then watched.  When the store has dropped the
 * history that a watch needs, or sends more events than an answer may hold,
 * the urgent keys are read at once, the watch
 * continues from their revision, and resync finds the missed changes.  While
 * the store is unreachable, the copy in memory stays in use.  A key is removed
 * when an event says so, or when lists no longer contain it.  The VM's own
 * entry is kept under a lease (registration).  All events that a watch returns
 * are forwarded to nearby VMs, also those without effect on this VM's own
 * state, and events received from them defer this VM's next watch (gossip).
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
    /* A key was set, or removed if value is NULL. */
    void (*changed)(void *ctx, const char *key, GBytes *value, uint64_t rev,
                    int64_t now_us);
    /* All prefixes have been listed for the first time. */
    void (*ready)(void *ctx, int64_t now_us);
    /* The copy is as recent as the store's own answers. */
    void (*current)(void *ctx, int64_t now_us);
    /* The store answers, and the copy, which is older than the propagation
     * time, lacks changes; "current" follows when they are known, or
     * "failed". */
    void (*behind)(void *ctx, int64_t now_us);
    /* An answer of the store is being received, and the copy is older than the
     * propagation time: it is likely to lack what the answer holds.  At most
     * once until "current", as an answer may have no end.  May be NULL. */
    void (*receiving)(void *ctx, int64_t now_us);
    /* The urgent keys are as recent as the store's own answers; the other
     * missed changes may follow.  May be NULL. */
    void (*urgent)(void *ctx, int64_t now_us);
    /* A call failed; the copy may be out of date. */
    void (*failed)(void *ctx, int64_t now_us);
    /* All changes before at_us (boot time) are known.  May be NULL. */
    void (*confirmed)(void *ctx, int64_t at_us);
    /* The store has begun another history (kvhist): the revisions that were
     * passed to "changed" mean nothing any more.  All keys are listed again.
     * Those that the list lacks stay for some time, in which they are likely
     * to be written again.  May be NULL. */
    void (*history_begun)(void *ctx, int64_t now_us);
    /* Changes to send to nearby VMs; valid during the call only. */
    void (*announce)(void *ctx, const GossipOut *o);
} MirrorFns;

typedef struct MirrorOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    const char *const *prefixes; /* NULL-terminated; each is watched */
    const char *urgent; /* prefix of a few keys, read first after changes
                           were missed */
    GRand *rnd;
    int64_t propagation_us; /* longest time for a change to be known to this
                               VM */
    MirrorFns fns;
    void *ctx;
} MirrorOpts;

typedef struct Mirror Mirror;

Mirror *mirror_new(const MirrorOpts *o);
void mirror_free(Mirror *m);

/* Sets this VM's own entry; it is written again when it changes or is lost. */
void mirror_register(Mirror *m, const char *key, const char *value);

/* Time, on the clock of evl_boottime(), until which the own entry stays in the
 * store even if no further call arrives there; 0: it is not there. */
int64_t mirror_registered_until(const Mirror *m);

/* Asks the store at once, for a VM that was suspended; MirrorFns.current is
 * called when all prefixes are confirmed. */
void mirror_revalidate(Mirror *m);

/* Reads the urgent keys from the store, not from a copy; MirrorFns.urgent is
 * called with the answer.  A failed call is repeated after the usual pauses.
 * Returns false if calls that bring all keys are under way, or calls fail. */
bool mirror_ask_urgent(Mirror *m);

/* Applies changes that another VM read from the store and forwarded. */
void mirror_receive(Mirror *m, const Gossip *w, int64_t now_us);

/* Number of the history of the store that the copy belongs to; see kvhist. */
uint64_t mirror_history(const Mirror *m);

/* Another VM has seen that history.  Returns true if it is the one of the
 * copy, so that revisions of that VM may be compared.  If it is a later one,
 * asks the store at once. */
bool mirror_hear_history(Mirror *m, uint64_t history, int64_t now_us);

/* Returns the name of what brought the last items: "list", "operator_list",
 * "watch", "gossip", "early_gossip" or "resync". */
const char *mirror_source(const Mirror *m);

/* The last answer of the store itself that confirmed the copy; gossip of other
 * VMs confirms it, too, but is not counted here. */
typedef struct MirrorConfirmation {
    int64_t at_us;      /* all changes before it are known; boot time, 0: there
                           was none */
    uint64_t rev;       /* position of the copy */
    uint64_t history;   /* see mirror_history() */
    const char *source; /* see mirror_source() */
} MirrorConfirmation;

/* Returns that of the prefix whose confirmation is the oldest. */
MirrorConfirmation mirror_confirmation(const Mirror *m);

/* Counts since mirror_new(). */
typedef struct MirrorCounts {
    int64_t calls;            /* to the store */
    int64_t watches_deferred; /* because of gossip from another VM */
    int64_t gossip_missing;   /* messages after which revisions are missing */
    int64_t items_dropped;    /* of lists and watches, as unreadable */
    int64_t histories;        /* that the store has begun */
} MirrorCounts;

MirrorCounts mirror_counts(const Mirror *m);

#endif
