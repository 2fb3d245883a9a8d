/*
 * crashtab - bounded table of fingerprints and the crashes they met.
 *
 * When the table is full, an entry with few crashes and refusals that was not
 * changed recently makes room.  No I/O and no clock.
 */
#ifndef MIMOSA_CRASHTAB_H
#define MIMOSA_CRASHTAB_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ups.h"

#define CRASHTAB_ENTRIES_MAX 4096
#define CRASHTAB_CRASHES_MAX 4 /* for each fingerprint */
#define CRASHTAB_BY_WEIGHT 5   /* entries of a heartbeat chosen by weight */

/* A lost answer; a crash once it is confirmed. */
typedef struct Crash {
    uint64_t id;       /* hash of the upstream and its start */
    Ups *u;            /* until it is confirmed; NULL if reported */
    uint64_t boot_ms;  /* start of u when the answer was lost */
    int64_t at_us;     /* when the answer was lost */
    bool own;          /* this VM lost the answer */
    bool confirmed;    /* the upstream was found down or restarted */
    int n_sent;        /* reports sent to the owners */
    int64_t send_us;   /* earliest time of the next one */
    int64_t resend_us; /* pause after the last one */
} Crash;

typedef struct CrashEntry {
    uint64_t fingerprint;
    int n;
    Crash crashes[CRASHTAB_CRASHES_MAX];
    int64_t first_us;    /* first crash of the verdict */
    int64_t refused_us;  /* last refusal, or the verdict; 0: no verdict */
    int64_t served_us;   /* last known to be served; 0: never */
    int64_t objected_us; /* last objection to a verdict, as it was served */
    int64_t in_force_us; /* start of the verdict */
    bool contested;      /* a VM had served it before its crashes */
    bool revoked;        /* a verdict was void, as it was served */
    int weight; /* crashes and refusals, the most that a VM has seen */
    GList link;
    GList busy_link;     /* its data is NULL unless it is in Crashtab.busy */
    GList announce_link; /* the same for Crashtab.announce */
    GList known_link;    /* the same for Crashtab.known */
} CrashEntry;

typedef struct Crashtab {
    GHashTable *by_fingerprint;
    GQueue order;    /* CrashEntry, least recently changed first */
    GQueue busy;     /* with crashes to confirm or to report */
    GQueue announce; /* to be announced to the VMs of the region */
    GQueue known;    /* with a verdict, or one that was void */
} Crashtab;

void crashtab_init(Crashtab *t);
void crashtab_clear(Crashtab *t);

/* Returns NULL if there is none. */
CrashEntry *crashtab_find(const Crashtab *t, uint64_t fingerprint);

/* Returns the entry, which is added if there is none.  dropped: set to the
 * fingerprint that made room, 0 if none did. */
CrashEntry *crashtab_get(Crashtab *t, uint64_t fingerprint, uint64_t *dropped);

/* Marks an entry as the one changed last. */
void crashtab_touch(Crashtab *t, CrashEntry *e);
void crashtab_drop(Crashtab *t, CrashEntry *e);

/* Put an entry into the queue, or remove it if on is false. */
void crashtab_set_busy(Crashtab *t, CrashEntry *e, bool on);
void crashtab_set_announce(Crashtab *t, CrashEntry *e, bool on);

/* Puts an entry into the queue Crashtab.known. */
void crashtab_set_known(Crashtab *t, CrashEntry *e);

/* Changes the weight.  Known entries with most weight stay at the head of
 * their queue. */
void crashtab_set_weight(Crashtab *t, CrashEntry *e, int weight);

/* The entries to be announced with most weight.  Returns their number. */
int crashtab_announced(const Crashtab *t, CrashEntry **list, int max);

/* Known entries for a heartbeat: CRASHTAB_BY_WEIGHT of those with most weight,
 * then others in turn, up to max.  Returns their number. */
int crashtab_next_known(Crashtab *t, CrashEntry **list, int max);

/* Returns NULL if the entry does not have the crash. */
Crash *crashtab_find_crash(CrashEntry *e, uint64_t id);

/* Adds a crash.  Returns NULL if the entry has it or holds as many confirmed
 * ones as it can; an older one that is not confirmed is replaced. */
Crash *crashtab_add_crash(CrashEntry *e, uint64_t id);
void crashtab_drop_crash(CrashEntry *e, int i);

/* Number of confirmed crashes. */
int crashtab_confirmed(const CrashEntry *e);

#endif
