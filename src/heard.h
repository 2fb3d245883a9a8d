/*
 * heard - revisions of the configuration that other VMs have in force, and
 * whether to ask the store for one that this VM lacks.
 *
 * A VM whose watches are answered without an event takes its copy for current,
 * also if its position is not one of the store.  Other VMs know better.  What
 * they say may be wrong too, after the store returned from an older copy or in
 * a message of another deployment: a revision that the store does not confirm
 * is refuted, and the same sender does not cause a call for it again.  Does no
 * I/O and reads no clock.
 */
#ifndef MIMOSA_HEARD_H
#define MIMOSA_HEARD_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"

#define HEARD_CLAIMS_MAX 8    /* revisions above the own one */
#define HEARD_REFUTED_MAX 512 /* remembered; the oldest is replaced */

/* What a VM said first about a revision. */
typedef struct HeardClaim {
    char vm[NAME_BYTES];
    uint64_t rev;
    uint64_t version;
    int64_t since_us;
    bool warned; /* heard_step() has returned it */
} HeardClaim;

typedef struct Heard {
    HeardClaim claims[HEARD_CLAIMS_MAX]; /* in the order of since_us */
    int n;
    bool asking;      /* heard_asked(), and no heard_answered() since */
    int64_t asked_us; /* last call; 0: none */
    struct {
        uint64_t sender; /* hash of the VM's id */
        uint64_t rev;
    } refuted[HEARD_REFUTED_MAX];
    uint64_t n_refuted;      /* so far */
    uint64_t newest_version; /* highest that a VM has had in force */
} Heard;

/* A VM has that revision in force.  own_rev: highest revision of the
 * configuration that this VM received. */
void heard_add(Heard *h, const char *vm, uint64_t rev, uint64_t version,
               uint64_t own_rev, int64_t now_us);

/* Forgets the claims that own_rev has reached.  Returns the highest of the
 * others, if any has stood for so long that its revision should have come by a
 * watch or by gossip, and the last call began at least a propagation time ago;
 * else NULL. */
HeardClaim *heard_step(Heard *h, uint64_t own_rev, int64_t propagation_us,
                       int64_t now_us);

/* A call to the store for the configuration begins. */
void heard_asked(Heard *h, int64_t now_us);

/* Its answer was applied.  Moves a claim that was made before the call and
 * is above own_rev to *refuted, and returns true; false: no further one. */
bool heard_answered(Heard *h, uint64_t own_rev, HeardClaim *refuted);

/* The store has begun another history: what was said is forgotten, as its
 * revisions are of the former one. */
void heard_begin_history(Heard *h);

/* Time of the first claim that revision rev answers; 0: none. */
int64_t heard_since(const Heard *h, uint64_t rev);

#endif
