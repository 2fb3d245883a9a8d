/*
 * own - ownership of a zone's targets and key ranges, without a coordinator.
 *
 * The roster of a zone lives in the store and changes by compare-and-swap.
 * A member acts on it only while it has confirmed it within OWN_LAPSE_MS, by
 * the store or by every other member.  Asserts "overload" where budgets of a
 * target would exceed its slots.
 */
#ifndef MIMOSA_OWN_H
#define MIMOSA_OWN_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "limits.h"
#include "str.h"

typedef struct OwnMember {
    char id[NAME_BYTES];
    uint64_t incarnation;
    uint64_t since; /* epoch in which it joined */
    char control[ADDR_BYTES];
    char entry[ADDR_BYTES];
    char lookup[ADDR_BYTES];
} OwnMember;

/* A former member that was neither released nor seen restarted. */
typedef struct OwnLost {
    char id[NAME_BYTES];
    uint64_t incarnation;
    uint64_t since; /* epoch in which it joined */
    uint64_t epoch; /* the last one it was a member of */
} OwnLost;

typedef struct OwnRoster {
    uint64_t epoch;         /* 0: none */
    uint64_t store_version; /* for compare-and-swap */
    int n;
    OwnMember members[VMS_PER_ZONE_MAX]; /* sorted by id */
    int n_lost;
    OwnLost lost[VMS_PER_ZONE_MAX];
} OwnRoster;

/* Text form in the store (INI).  own_parse names the place of an error. */
GString *own_text(const OwnRoster *r);
bool own_parse(OwnRoster *r, Str text, uint64_t store_version, Err *e);

typedef struct Own Own;

Own *own_new(const OwnMember *self, int64_t now_us);
void own_free(Own *o);

/* Takes a roster; ignores one of a lower or the same epoch.  Returns true
 * when it was taken. */
bool own_adopt(Own *o, const OwnRoster *r, int64_t now_us);
const OwnRoster *own_roster(const Own *o);

/* The store answered that version v is the newest; asked_us: when the
 * question was sent. */
void own_confirm_store(Own *o, uint64_t v, int64_t asked_us);

/* A member answered a heartbeat that was sent at asked_us: it holds the same
 * epoch and gave its promise (own_promise()). */
void own_confirm_peer(Own *o, const char *id, uint64_t incarnation,
                      uint64_t epoch, int64_t asked_us);

/*
 * A VM said which epoch it acts on: the one that its entry process has
 * acknowledged, not only its control.  Clears the reserve that is kept for a
 * former owner once it acts on a roster that takes the target from it.
 */
void own_heard(Own *o, const char *id, uint64_t incarnation, uint64_t epoch);

/*
 * Call it each heartbeat.  A gap of more than OWN_LAPSE_MS between two calls
 * is a pause of this process: nothing is owned until a confirmation that was
 * asked for after it.
 */
void own_step(Own *o, int64_t now_us);

/*
 * Whether a heartbeat of a member is answered with a promise: this VM holds
 * the same epoch and has sent no change of it to the store.  The promise needs
 * no time of its own: a change that is sent after it takes effect after the
 * question, and who gains by it waits longer than the confirmation lasts.
 */
bool own_promise(Own *o, const char *id, uint64_t epoch, int64_t now_us);

typedef enum OwnMode {
    OWN_NONE,    /* not a member, or lapsed after a pause, or waiting */
    OWN_FULL,    /* confirmed */
    OWN_ISOLATED /* neither the store nor every member confirms */
} OwnMode;

OwnMode own_mode(const Own *o, int64_t now_us);

/* Until when the present mode is good, monotonic us. */
int64_t own_good_until(const Own *o, int64_t now_us);

/* Who owns a target or range by the roster: member index, or -1. */
int own_owner(const OwnRoster *r, uint64_t key);
uint64_t own_target_key(const char *target_name);
uint64_t own_range_key(int range);

/*
 * Budget of this VM on a target with that many slots, at this time.
 * Full: slots less the reserve of former owners that may still act on it
 * (lost members, and members not yet heard on the new roster).  Isolated:
 * floor of half of that.  Not the owner, or waiting after a change: 0.
 * Work that runs above a budget that fell by a lapse or a loss must have
 * ended, or be cancelled, by the former own_good_until().
 */
int own_budget(const Own *o, const char *target_name, int slots,
               int64_t now_us);

/* Tenure of a key range: monotonic us since when it is clean, or -1. */
int64_t own_range_tenure(const Own *o, int range, int64_t now_us);
bool own_range_owned(const Own *o, int range, int64_t now_us);

/*
 * Proposes the next roster: adds live, removes gone.  released: the member
 * left on its own, so no reserve is kept.  Returns false when nothing is to
 * change, when another live member is to propose (the lowest id; the next ones
 * after OWN_PROPOSE_STEP_MS each).  Call it only while the store answers.  A
 * member that seen does not list counts as gone once this VM has run for twice
 * REMOVE_MS.
 */
#define OWN_PROPOSE_STEP_MS 2000
typedef struct OwnSeen {
    OwnMember member;
    bool live;     /* heard from */
    bool released; /* said that it stopped acting, or restarted */
} OwnSeen;
bool own_propose(Own *o, const OwnSeen *seen, int n, int64_t now_us,
                 OwnRoster *next);

/*
 * The store certainly did not take the change that was proposed for that
 * epoch (refused connection or conflict), so promises may be given again.
 * After a lost answer it must not be called: the write may take effect late.
 */
void own_propose_void(Own *o, uint64_t epoch);

/* Drops reserves of lost members that are certainly gone (the VM list no
 * longer names them, or a newer incarnation is seen). */
bool own_propose_forget(Own *o, const char *id, int64_t now_us,
                        OwnRoster *next);

const char *own_mode_name(OwnMode m);

#endif
