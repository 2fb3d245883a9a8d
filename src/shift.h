/*
 * shift - moves shares of traffic within the operator's cap.
 *
 * A ShiftRow is W[h][*] of one service and home zone: the share of h's
 * traffic that each zone serves.  In any window of the cap's interval the row
 * moves by at most the cap, measured as half the L1 distance.
 */
#ifndef MIMOSA_SHIFT_H
#define MIMOSA_SHIFT_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

/*
 * Slope is cap / (interval * SHIFT_MARGIN).  The margin covers the spread of
 * the times at which VMs detect one event (at most 1.5 s of a 10 s interval).
 */
#define SHIFT_MARGIN 1.15

/*
 * The moves of the past interval are kept in SHIFT_SLICES parts of it, and one
 * more for the part that is only half past.
 */
#define SHIFT_SLICES 32

typedef struct ShiftRow {
    int n;                     /* zones */
    double current[ZONES_MAX]; /* shares in force; sum 1 */
    double desired[ZONES_MAX]; /* shares aimed at; sum 1 */
    int64_t at_us;             /* time of "now" */
    double cap;
    int64_t interval_us;
    double moved[SHIFT_SLICES + 1]; /* by part of an interval, a ring */
    int64_t slice;                  /* number of the newest part */
} ShiftRow;

/* Starts a row at natural: all of home's traffic in home. */
void shift_init(ShiftRow *r, int n, int home, const MfService *s,
                int64_t now_us);

/* Sets the shares in force, as learned from a peer or the store.  Returns
 * false when they are not n shares in [0, 1] of sum 1. */
bool shift_set_current(ShiftRow *r, const double *shares, int n,
                       int64_t now_us);

/* Aims at other shares.  Returns false as shift_set_current() does. */
bool shift_set_desired(ShiftRow *r, const double *want, int64_t now_us);

/* Takes a changed cap; the shares in force stay. */
void shift_set_cap(ShiftRow *r, double cap, int64_t interval_us,
                   int64_t now_us);

/* Moves the row to the present time.  A clock that stood still for a pause
 * moves it by at most one interval's slope over SHIFT_STEP_MAX_US. */
#define SHIFT_STEP_MAX_US 1000000
void shift_step(ShiftRow *r, int64_t now_us);

bool shift_moving(const ShiftRow *r);

/* Least time in us that the cap allows for the rest of the way. */
int64_t shift_min_us(const ShiftRow *r);

/* Half the L1 distance of two rows. */
double shift_distance(const double *a, const double *b, int n);

/* What is done with one request of home's traffic. */
typedef enum ShiftReason {
    SHIFT_HOME,   /* served in its home zone */
    SHIFT_MOVED,  /* served in another zone, within the cap */
    SHIFT_REFUSED /* its part of the row points to a zone that cannot serve,
                     and the cap does not let it move yet */
} ShiftReason;

typedef struct ShiftPick {
    int zone; /* -1 when refused */
    ShiftReason reason;
} ShiftPick;

/*
 * Accumulators that make the drawn zones follow the row exactly, per rank. The
 * usable part of the row goes to the most urgent ranks first.
 */
typedef struct ShiftPicker {
    int n_ranks;
    double credit[RANKS_MAX][ZONES_MAX];
    double served_credit; /* requests that the usable part allows now */
} ShiftPicker;

void shift_picker_init(ShiftPicker *d, int n_ranks, int64_t now_us);

/*
 * Draws the serving zone of a request.  usable[z] tells whether z can be
 * reached and serves; home is the row's home zone.
 */
ShiftPick shift_pick(const ShiftRow *r, ShiftPicker *d, int home, int rank,
                     const bool *usable, int64_t now_us);

const char *shift_reason_name(ShiftReason r);

#endif
