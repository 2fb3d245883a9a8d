/*
 * slot - slot accounting of the targets that this VM owns, and choice of the
 * target for a request.
 *
 * One SlotSet per service.  Slot use is the number of requests that this VM
 * has outstanding; health reports only reduce the usable slots.  Asserts the
 * invariant "overload": a target never has more outstanding requests than its
 * budget allows.  Times are in microseconds.
 */
#ifndef MIMOSA_SLOT_H
#define MIMOSA_SLOT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "health.h"
#include "limits.h"

typedef struct SlotSet SlotSet;

typedef struct SlotOpts {
    int64_t warmup_us;  /* warm-up time of a target, see health_usable() */
    int64_t service_us; /* expected service time until one is measured */
} SlotOpts;

SlotSet *slot_set_new(const SlotOpts *o);
void slot_set_free(SlotSet *s);

/*
 * Adds a target or changes its settings.  id is the target index of the
 * manifest and denotes the same target for the life of the set.  For a new
 * numbering the caller makes a new set and copies the state of each target
 * with slot_copy_state().  budget is the number of slots that this VM owns at
 * present, 0 to slots.  An id that is out of range is ignored.
 */
void slot_declare(SlotSet *s, int id, int slots, int connections, int budget,
                  bool draining, int64_t now_us);

/* Copies the outstanding count and health of target old_id of old to target
 * id of s, and the service times if s has none measured.  Does nothing if
 * either target is not declared. */
void slot_copy_state(SlotSet *s, int id, const SlotSet *old, int old_id);

/* Changes the budget.  Outstanding requests above a lower budget run to their
 * end; no request starts until fewer than the budget are outstanding. */
void slot_set_budget(SlotSet *s, int id, int budget, int64_t now_us);

typedef struct SlotRequest {
    int avoid;  /* target id not to use, or -1 */
    bool alone; /* needs an idle target, which then accepts no other request
                   until slot_end() */
} SlotRequest;

typedef enum SlotReason {
    SLOT_OK,
    SLOT_NONE_OWNED, /* this VM owns no slot of any target */
    SLOT_ALL_BUSY,   /* targets are usable, but none has capacity */
    SLOT_ALL_DOWN,   /* all targets are down, shutting down or draining */
} SlotReason;

/*
 * Chooses the target with the fewest outstanding requests per usable slot.
 * Compares all targets with capacity if there are at most 8, otherwise two
 * random ones ("power of two choices", Mitzenmacher 2001).  Returns the id of
 * the target, or -1.  *why is set in both cases.
 */
int slot_pick(const SlotSet *s, const SlotRequest *ask, GRand *rnd,
              int64_t now_us, SlotReason *why);

/* Occupies a slot of the target that slot_pick() chose at the same now_us. */
void slot_begin(SlotSet *s, int id, bool alone, int64_t now_us);

typedef enum SlotEnd {
    SLOT_END_OK,       /* successful response */
    SLOT_END_ERROR,    /* response with an error of the upstream */
    SLOT_END_SHED,     /* refused by the upstream, not run */
    SLOT_END_REFUSED,  /* connection refused, not run */
    SLOT_END_CLOSED,   /* connection closed without a response */
    SLOT_END_TIMEOUT,  /* no response by the deadline */
    SLOT_END_CANCELLED /* ignored in health and service times */
} SlotEnd;

/* Frees the slot of a request and records its result in the health of the
 * target and the estimates of the service time. */
void slot_end(SlotSet *s, int id, SlotEnd how, int64_t service_us,
              int64_t now_us);

/* Pass a health report, or a signal that the target is shutting down, to the
 * health of the target.  Unknown ids are ignored. */
void slot_report(SlotSet *s, int id, const HealthReport *r, int64_t now_us);
void slot_report_shutdown(SlotSet *s, int id, HealthSource src,
                          int64_t now_us);

/* Number of free slots, usable slots, outstanding requests of one target, and
 * outstanding requests of all targets. */
int slot_free(const SlotSet *s, int64_t now_us);
int slot_usable(const SlotSet *s, int64_t now_us);
int slot_outstanding(const SlotSet *s, int id);
int slot_busy(const SlotSet *s);

/* Moving estimates of the mean and 90th percentile of the service time, us. */
int64_t slot_service_mean_us(const SlotSet *s);
int64_t slot_service_p90_us(const SlotSet *s);

const char *slot_reason_name(SlotReason r);

#endif
