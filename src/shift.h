/*
 * shift - changes the zones' shares of traffic within the operator's cap.
 *
 * A ShiftRow belongs to one service and home zone h.  It is the row W[h][*]:
 * the share of h's traffic that each zone serves.  In any window of the cap's
 * interval the row moves by at most the cap, measured as half the L1 distance.
 */
#ifndef MIMOSA_SHIFT_H
#define MIMOSA_SHIFT_H

#include <stdbool.h>
#include <stdint.h>

#include "limits.h"
#include "manifest.h"

/*
 * The speed of a move is cap / (interval * SHIFT_MARGIN).  VMs detect the same
 * event at times that differ by at most 1.5 s of a 10 s interval; the margin
 * covers this difference.
 */
#define SHIFT_MARGIN 1.15

/*
 * An interval is divided into SHIFT_SLICES slices.  The moves of the past
 * interval are kept per slice, with one more slice since the interval ends
 * inside the oldest one.
 */
#define SHIFT_SLICES 32

typedef struct ShiftRow {
    int n;                     /* number of zones */
    double current[ZONES_MAX]; /* current shares; sum 1 */
    double desired[ZONES_MAX]; /* desired shares; sum 1 */
    int64_t at_us;             /* time of the current shares */
    double cap;
    int64_t interval_us;
    double moved[SHIFT_SLICES + 1]; /* ring: share moved in each slice */
    int64_t slice;                  /* number of the newest slice */
} ShiftRow;

/* Initializes a row with all of home's traffic in home. */
void shift_init(ShiftRow *r, int n, int home, const MfService *s,
                int64_t now_us);

/* Sets the current shares, as received from a peer or the store.  Returns
 * false when they are not n shares in [0, 1] of sum 1. */
bool shift_set_current(ShiftRow *r, const double *shares, int n,
                       int64_t now_us);

/* Sets the desired shares.  Returns false as shift_set_current() does. */
bool shift_set_desired(ShiftRow *r, const double *desired, int64_t now_us);

/* Sets a changed cap; the current shares stay. */
void shift_set_cap(ShiftRow *r, double cap, int64_t interval_us,
                   int64_t now_us);

/* Moves the row towards the desired shares, up to the present time.  After a
 * pause of the process, one step moves it at most as far as is allowed within
 * SHIFT_STEP_MAX_US. */
#define SHIFT_STEP_MAX_US 1000000
void shift_step(ShiftRow *r, int64_t now_us);

/* True until the current shares are the desired ones. */
bool shift_moving(const ShiftRow *r);

/* Minimum time in us that the rest of the move takes under the cap; INT64_MAX
 * with a cap of 0. */
int64_t shift_min_us(const ShiftRow *r);

/* Half the L1 distance of two rows. */
double shift_distance(const double *a, const double *b, int n);

/* Result for one request of home's traffic. */
typedef enum ShiftReason {
    SHIFT_HOME,   /* served in its home zone */
    SHIFT_MOVED,  /* served in another zone, within the cap */
    SHIFT_REFUSED /* its share belongs to a zone that can't serve, and the cap
                     does not allow moving it yet */
} ShiftReason;

typedef struct ShiftPick {
    int zone; /* -1 when refused */
    ShiftReason reason;
} ShiftPick;

/*
 * Accumulators that make the chosen zones follow the row exactly, for each
 * rank.  The usable share of the row is the sum of the shares of usable zones;
 * it goes to the most urgent ranks first.
 */
typedef struct ShiftPicker {
    int n_ranks;
    double credit[RANKS_MAX][ZONES_MAX]; /* requests due to each zone */
    double served_credit; /* requests that the usable share allows now */
} ShiftPicker;

/* n_ranks is limited to [1, RANKS_MAX]. */
void shift_picker_init(ShiftPicker *d, int n_ranks, int64_t now_us);

/*
 * Chooses the serving zone of a request.  usable[z] is true when zone z is
 * reachable and serves; home is the row's home zone.
 */
ShiftPick shift_pick(const ShiftRow *r, ShiftPicker *d, int home, int rank,
                     const bool *usable, int64_t now_us);

/* Name for log lines and metrics. */
const char *shift_reason_name(ShiftReason r);

#endif
