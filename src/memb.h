/*
 * memb - membership: who is live, leaving, suspected or gone.
 *
 * Pure.  Time is monotonic and local; ages travel, not times.
 */
#ifndef MIMOSA_MEMB_H
#define MIMOSA_MEMB_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

typedef enum MembState { MEMB_LIVE, MEMB_SUSPECT, MEMB_GONE } MembState;

typedef struct MembVm {
    char id[NAME_BYTES];
    char zone[NAME_BYTES];
    uint64_t incarnation; /* grows with each start of its control */
    char control[ADDR_BYTES];
    char entry[ADDR_BYTES];
    char lookup[ADDR_BYTES];
    uint64_t config_version;
    double free_slots;
    int64_t heard_us; /* local time of the newest news */
    MembState state;
    bool leaving;
} MembVm;

typedef struct Memb Memb;

Memb *memb_new(const MembVm *self, int64_t now_us);
void memb_free(Memb *m);

/* Changes what is told of this VM itself. */
MembVm *memb_self(Memb *m);

/* News of a VM, age_us old; older incarnations and older news are ignored.
 * Returns true when the VM is new or changed its state. */
bool memb_news(Memb *m, const MembVm *vm, int64_t age_us, int64_t now_us);

/* The platform's VM list names a VM as leaving or gone: a hint.  It marks
 * leaving at once, but a VM that is heard from stays live. */
void memb_hint(Memb *m, const char *id, bool leaving, bool listed,
               int64_t now_us);

/* A connection to the VM's control was refused: nothing listens there.  The
 * VM is gone after MEMB_REFUSED_MS unless it is heard from. */
#define MEMB_REFUSED_MS 300
void memb_refused(Memb *m, const char *id);

/* Applies SUSPECT_MS and REMOVE_MS; call it each heartbeat.  After a pause of
 * this process (now_us far past the last step) nobody is removed until one
 * more REMOVE_MS has passed.  Returns the number of changes. */
int memb_step(Memb *m, int64_t now_us);

int memb_count(const Memb *m);
const MembVm *memb_at(const Memb *m, int i); /* sorted by zone, id */
const MembVm *memb_find(const Memb *m, const char *id);

/* Relay of a zone: its live, not leaving VM with the lowest id, or NULL. */
const MembVm *memb_relay(const Memb *m, const char *zone);

/* Peers to send a heartbeat to: all in the zone up to MEMB_DIRECT, above that
 * the MEMB_NEXT next on the ring of their hashes and the relay, which tells
 * the rest.  Returns the count. */
#define MEMB_DIRECT 8
#define MEMB_NEXT 1
int memb_peers(const Memb *m, int *index, int max);

#endif
