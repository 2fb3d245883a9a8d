/*
 * slot - slot use of the targets that this VM owns, and target choice.
 *
 * One SlotSet per service.  Counts of requests that this VM has outstanding
 * decide; reports only lower what may be used.  Asserts "overload": never more
 * outstanding on a target than its budget allows.
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
    int64_t warmup_us;
    int64_t service_us; /* expected service time before a measurement */
} SlotOpts;

SlotSet *slot_set_new(const SlotOpts *o);
void slot_set_free(SlotSet *s);

/*
 * Declares a target or changes it; id is the manifest's target index and
 * stays the same target for the life of the set (the caller makes a new set
 * for a new numbering and carries outstanding counts with slot_copy_state()).
 * budget: slots that ownership lets this VM use now, 0 to slots.
 */
void slot_declare(SlotSet *s, int id, int slots, int connections, int budget,
                  bool draining, int64_t now_us);

/* Carries outstanding counts and health of old's target old_id. */
void slot_copy_state(SlotSet *s, int id, const SlotSet *old, int old_id);

/* Lowers or raises the budget.  Outstanding work above it runs to its end;
 * nothing new starts until it is below. */
void slot_set_budget(SlotSet *s, int id, int budget, int64_t now_us);

typedef struct SlotRequest {
    int avoid;  /* target id not to use, or -1 */
    bool alone; /* only a target with nothing outstanding; it then takes no
                   other work until slot_end() */
} SlotRequest;

typedef enum SlotReason {
    SLOT_OK,
    SLOT_NONE_OWNED, /* no budget on any target */
    SLOT_ALL_BUSY,
    SLOT_ALL_DOWN, /* none ready: down, leaving or draining */
} SlotReason;

/*
 * Chooses the target with the least outstanding per usable slot of two random
 * candidates with room (Mitzenmacher 2001), or of all when at most 8 have
 * room.  Returns its id or -1 with the reason.
 */
int slot_pick(const SlotSet *s, const SlotRequest *ask, GRand *rnd,
              int64_t now_us, SlotReason *why);

/* Takes a slot of a target that slot_pick() returned at the same time. */
void slot_begin(SlotSet *s, int id, bool alone, int64_t now_us);

typedef enum SlotEnd {
    SLOT_END_OK,
    SLOT_END_ERROR,   /* answered with an error of the upstream */
    SLOT_END_SHED,    /* refused by the upstream, not run */
    SLOT_END_REFUSED, /* connection refused, not run */
    SLOT_END_CLOSED,  /* closed without an answer */
    SLOT_END_TIMEOUT,
    SLOT_END_CANCELLED
} SlotEnd;

void slot_end(SlotSet *s, int id, SlotEnd how, int64_t service_us,
              int64_t now_us);

/* Hands on a health report or a leaving signal from any source. */
void slot_report(SlotSet *s, int id, const HealthReport *r, int64_t now_us);
void slot_report_shutdown(SlotSet *s, int id, HealthSource src,
                          int64_t now_us);

/* Slots that could start work now, and all usable ones. */
int slot_free(const SlotSet *s, int64_t now_us);
int slot_usable(const SlotSet *s, int64_t now_us);
int slot_outstanding(const SlotSet *s, int id);
int slot_busy(const SlotSet *s);

/* Moving estimates of the service time, in us. */
int64_t slot_service_mean_us(const SlotSet *s);
int64_t slot_service_p90_us(const SlotSet *s);

const char *slot_reason_name(SlotReason r);

#endif
