/*
 * own_state - state of own, shared by own.c and own_change.c only.
 */
#ifndef MIMOSA_OWN_STATE_H
#define MIMOSA_OWN_STATE_H

#include "own.h"

#define OWN_NEVER (INT64_MIN / 4)
#define OWN_LAPSE_US (OWN_LAPSE_MS * INT64_C(1000))
/* The lapse time as another VM's clock may measure it. */
#define OWN_WAIT_US ((int64_t)(OWN_LAPSE_US * (1 + CLOCK_RATE_ERROR)))
#define OWN_PAUSE_US OWN_LAPSE_US
#define OWN_CHAIN 4 /* rosters kept while a wait lasts */
#define OWN_ACKS_MAX (4 * VMS_PER_ZONE_MAX)

/* Members of a former roster. */
typedef struct OwnSet {
    int n;
    int me;
    uint64_t nodes[VMS_PER_ZONE_MAX];
} OwnSet;

struct Own {
    OwnMember self;
    int64_t born_us;
    int64_t step_us;    /* of the newest own_step() */
    int64_t resumed_us; /* confirmations asked for before do not count */
    bool confirmed;     /* at least once since resumed_us */
    bool stale;         /* the store holds a newer roster */
    OwnRoster r;
    int me; /* index of this VM, or -1 */
    uint64_t nodes[VMS_PER_ZONE_MAX];
    int64_t confirmed_us; /* carried over from the former roster */
    int64_t store_us;
    int64_t peer_us[VMS_PER_ZONE_MAX];
    GHashTable *acks; /* id -> incarnation and epoch it acts on */
    int64_t wait_until_us;
    bool all_gained;
    int n_chain;
    OwnSet chain[OWN_CHAIN];
    int64_t tenure_us[KEY_RANGES]; /* -1: not clean */
    int64_t want_since_us;         /* a change has been wanted since then */
    uint64_t pending_epoch;        /* a change of it may reach the store */
    int64_t proposed_us;           /* first time that it was proposed */
};

int own_find(const OwnRoster *r, const char *id);
bool own_acked(const Own *o, const char *id, uint64_t incarnation,
               uint64_t epoch);

#endif
