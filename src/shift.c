/* shift - changes the zones' shares of traffic within the operator's cap.
 * See shift.h. */
#include "shift.h"

#include <math.h>
#include <string.h>

#include "inv.h"

#define SUM_ERROR 1e-6  /* tolerance for shares and sums of shares */
#define MOVE_ERROR 1e-9 /* smaller distances and shares count as 0 */

/* Requests of the usable share that are reserved for each more urgent rank.
 * Large enough for uneven arrivals, and small compared with the requests of
 * one interval of the cap. */
#define RANK_RESERVE 16.0

static bool
is_valid_row(const double *w, int n)
{
    double sum = 0;

    for (int z = 0; z < n; z++) {
        if (!(w[z] >= -SUM_ERROR && w[z] <= 1 + SUM_ERROR)) {
            return false;
        }
        sum += w[z];
    }
    return fabs(sum - 1) <= SUM_ERROR;
}

/* Copies a row and scales it to a sum of 1, which removes rounding errors. */
static void
copy_normalized(double *dst, const double *src, int n)
{
    double sum = 0;

    for (int z = 0; z < n; z++) {
        dst[z] = fmax(src[z], 0);
        sum += dst[z];
    }
    for (int z = 0; z < n; z++) {
        dst[z] /= sum;
    }
}

double
shift_distance(const double *a, const double *b, int n)
{
    double d = 0;

    for (int z = 0; z < n; z++) {
        d += fabs(a[z] - b[z]);
    }
    return d / 2;
}

static int64_t
slice_us(const ShiftRow *r)
{
    int64_t us = r->interval_us / SHIFT_SLICES;

    return us > 0 ? us : 1;
}

static double
moved_in_interval(const ShiftRow *r)
{
    double sum = 0;

    for (int i = 0; i <= SHIFT_SLICES; i++) {
        sum += r->moved[i];
    }
    return sum;
}

/* Drops the moves that are older than an interval. */
static void
drop_old_moves(ShiftRow *r, int64_t now_us)
{
    int64_t slice = now_us / slice_us(r);
    int64_t passed = slice - r->slice;

    if (passed <= 0) {
        return;
    }
    for (int64_t i = 1; i <= passed && i <= SHIFT_SLICES + 1; i++) {
        r->moved[(r->slice + i) % (SHIFT_SLICES + 1)] = 0;
    }
    r->slice = slice;
}

void
shift_init(ShiftRow *r, int n, int home, const MfService *s, int64_t now_us)
{
    memset(r, 0, sizeof(*r));
    r->n = n;
    r->current[home] = 1;
    r->desired[home] = 1;
    r->at_us = now_us;
    r->cap = s->shift_cap;
    r->interval_us = s->shift_interval_us;
    r->slice = now_us / slice_us(r);
}

bool
shift_set_current(ShiftRow *r, const double *shares, int n, int64_t now_us)
{
    if (n != r->n || !is_valid_row(shares, n)) {
        return false;
    }
    copy_normalized(r->current, shares, n);
    r->at_us = now_us;
    return true;
}

bool
shift_set_desired(ShiftRow *r, const double *desired, int64_t now_us)
{
    if (!is_valid_row(desired, r->n)) {
        return false;
    }
    shift_step(r, now_us);
    copy_normalized(r->desired, desired, r->n);
    return true;
}

void
shift_set_cap(ShiftRow *r, double cap, int64_t interval_us, int64_t now_us)
{
    if (cap == r->cap && interval_us == r->interval_us) {
        return;
    }
    shift_step(r, now_us);
    double moved = moved_in_interval(r);

    /* A longer interval includes moves that have been dropped; the row is
     * assumed to have moved at the same rate then. */
    if (interval_us > r->interval_us && r->interval_us > 0) {
        moved *= (double)interval_us / (double)r->interval_us;
    }
    r->cap = cap;
    r->interval_us = interval_us;
    memset(r->moved, 0, sizeof(r->moved));
    r->slice = now_us / slice_us(r);
    r->moved[r->slice % (SHIFT_SLICES + 1)] = fmin(moved, cap);
}

/* Share by which the row may move in dt_us. */
static double
allowed_move(const ShiftRow *r, int64_t dt_us)
{
    double speed = r->cap / ((double)r->interval_us * SHIFT_MARGIN);

    if (INV_FAULT("shift_double_slope")) {
        return 2 * SHIFT_MARGIN * speed * (double)dt_us;
    }
    return fmin(speed * (double)dt_us, fmax(r->cap - moved_in_interval(r), 0));
}

void
shift_step(ShiftRow *r, int64_t now_us)
{
    int64_t dt = now_us - r->at_us;

    if (dt <= 0) {
        return;
    }
    r->at_us = now_us;
    drop_old_moves(r, now_us);
    double d = shift_distance(r->current, r->desired, r->n);

    if (d <= MOVE_ERROR || r->interval_us <= 0) {
        return;
    }
    double move =
        allowed_move(r, dt < SHIFT_STEP_MAX_US ? dt : SHIFT_STEP_MAX_US);
    double fraction = move < d ? move / d : 1;

    for (int z = 0; z < r->n; z++) {
        r->current[z] += fraction * (r->desired[z] - r->current[z]);
    }
    r->moved[r->slice % (SHIFT_SLICES + 1)] += fraction * d;
    INV("shift_cap", moved_in_interval(r) <= r->cap + SUM_ERROR,
        "row moved %.6f in %" G_GINT64_FORMAT " us, cap %.6f",
        moved_in_interval(r), r->interval_us, r->cap);
}

bool
shift_moving(const ShiftRow *r)
{
    return shift_distance(r->current, r->desired, r->n) > MOVE_ERROR;
}

int64_t
shift_min_us(const ShiftRow *r)
{
    double d = shift_distance(r->current, r->desired, r->n);

    if (d <= MOVE_ERROR) {
        return 0;
    }
    if (r->cap <= 0) {
        return INT64_MAX;
    }
    return (int64_t)(d / r->cap * (double)r->interval_us);
}

void
shift_picker_init(ShiftPicker *d, int n_ranks, int64_t now_us)
{
    memset(d, 0, sizeof(*d));
    d->n_ranks = n_ranks < 1 ? 1 : (n_ranks < RANKS_MAX ? n_ranks : RANKS_MAX);
    (void)now_us;
}

/*
 * Decides whether a request is served by a usable zone or refused.  Each
 * request of any rank adds the usable share of the row to a token bucket, and
 * each served request takes one token, so that the total follows the row.  A
 * rank needs RANK_RESERVE more tokens for each rank that is more urgent, so
 * that those tokens stay reserved for more urgent requests.
 */
static bool
admit(ShiftPicker *d, int rank, double usable)
{
    if (usable >= 1 - SUM_ERROR) {
        d->served_credit = 0;
        return true;
    }
    double limit = RANK_RESERVE * d->n_ranks;

    d->served_credit = fmin(d->served_credit + usable, limit);
    if (d->served_credit < 1 + RANK_RESERVE * rank - SUM_ERROR) {
        return false;
    }
    d->served_credit -= 1;
    return true;
}

/* Chooses the zone with the most credit.  Each choice adds to the credit of
 * each usable zone its share and takes one from the chosen zone. */
static int
pick_zone(const ShiftRow *r, double *credit, const bool *usable, double sum)
{
    int best = -1;

    for (int z = 0; z < r->n; z++) {
        if (!usable[z] || r->current[z] <= MOVE_ERROR) {
            credit[z] = 0;
            continue;
        }
        credit[z] += r->current[z] / sum;
        if (best < 0 || credit[z] > credit[best]) {
            best = z;
        }
    }
    if (best >= 0) {
        credit[best] -= 1;
    }
    return best;
}

ShiftPick
shift_pick(const ShiftRow *r, ShiftPicker *d, int home, int rank,
           const bool *usable, int64_t now_us)
{
    double sum = 0;
    ShiftPick out = {-1, SHIFT_REFUSED};

    (void)now_us;
    rank = rank < 0 ? 0 : (rank < d->n_ranks ? rank : d->n_ranks - 1);
    for (int z = 0; z < r->n; z++) {
        sum += usable[z] ? r->current[z] : 0;
    }
    if (sum <= MOVE_ERROR || !admit(d, rank, sum)) {
        return out;
    }
    out.zone = pick_zone(r, d->credit[rank], usable, sum);
    if (out.zone >= 0) {
        out.reason = out.zone == home ? SHIFT_HOME : SHIFT_MOVED;
    }
    return out;
}

const char *
shift_reason_name(ShiftReason r)
{
    static const char *const names[] = {"home", "moved", "refused"};

    return names[r];
}
