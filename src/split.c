/* split - shares of each region's requests that are served in each region.
 * See split.h. */
#include "split.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Fraction of a region's slots up to which it serves all of its own requests;
 * the rest absorbs variation within a second and the uneven distribution of
 * objects. */
#define PLANNED_UTILISATION 0.55

/* A step moves shares for at most this time.  A process that was paused for
 * longer must not make up for it at once. */
#define STEP_US_MAX 1000000

/* Returns the fraction of the slots that is planned: more when all regions
 * together need more, so that none is loaded more than the others. */
static double
planned_utilisation(const SplitIn *in)
{
    double demand = 0;
    double capacity = 0;

    for (int r = 0; r < in->n; r++) {
        demand += in->demand[r];
        capacity += in->capacity[r];
    }
    double overall = capacity > 0 ? demand / capacity : 0;
    return fmin(1, fmax(PLANNED_UTILISATION, overall));
}

/* Computes the target rows: the own region first, the excess in proportion to
 * the spare capacity of the regions. */
static void
target_rows(const SplitIn *in, double planned,
            double out[REGIONS_MAX][REGIONS_MAX])
{
    double spare[REGIONS_MAX];
    double spare_sum = 0;
    double cap_sum = 0;

    for (int r = 0; r < in->n; r++) {
        double usable = in->capacity[r] * planned;
        spare[r] = fmax(0, usable - in->demand[r]);
        spare_sum += spare[r];
        cap_sum += in->capacity[r];
    }
    for (int f = 0; f < in->n; f++) {
        double usable = in->capacity[f] * planned;
        double keep = in->demand[f] > usable ? usable / in->demand[f] : 1;
        double over = 1 - keep;
        if (in->capacity[f] <= 0) {
            keep = 0;
            over = 1;
        }
        for (int t = 0; t < in->n; t++) {
            double part = 0;
            if (over > 0 && spare_sum > 0) {
                part = spare[t] / spare_sum;
            }
            else if (over > 0 && cap_sum > 0) {
                part = in->capacity[t] / cap_sum;
            }
            out[f][t] = over * part + (t == f ? keep : 0);
        }
        if (cap_sum <= 0) {
            out[f][f] = 1;
        }
    }
}

/* If the excess is greater than the spare capacity of all regions, the part
 * that does not fit stays in its own region: moving it would only add latency.
 */
static void
keep_excess(const SplitIn *in, double planned,
            double out[REGIONS_MAX][REGIONS_MAX])
{
    double need = 0;
    double spare = 0;

    for (int r = 0; r < in->n; r++) {
        double usable = in->capacity[r] * planned;
        if (in->capacity[r] > 0) {
            need += fmax(0, in->demand[r] - usable);
        }
        spare += fmax(0, usable - in->demand[r]);
    }
    if (need <= spare || need <= 0) {
        return;
    }
    for (int f = 0; f < in->n; f++) {
        if (in->capacity[f] <= 0) {
            continue;
        }
        for (int t = 0; t < in->n; t++) {
            out[f][t] = out[f][t] * spare / need;
            if (t == f) {
                out[f][t] += 1 - spare / need;
            }
        }
    }
}

/* Moves a row towards its target by a share of at most max_move. */
static void
move_row(double *row, const double *to, int n, double max_move)
{
    double distance = 0;

    for (int t = 0; t < n; t++) {
        distance += fmax(0, to[t] - row[t]);
    }
    double k = distance > max_move ? max_move / distance : 1;
    for (int t = 0; t < n; t++) {
        row[t] += (to[t] - row[t]) * k;
    }
}

/* Removes regions without capacity from a row at once. */
static void
drop_empty(double *row, const SplitIn *in)
{
    double sum = 0;

    for (int t = 0; t < in->n; t++) {
        if (in->capacity[t] <= 0) {
            row[t] = 0;
        }
        sum += row[t];
    }
    for (int t = 0; t < in->n && sum > 0; t++) {
        row[t] /= sum;
    }
}

void
split_step(Split *s, const SplitIn *in, int64_t now_us)
{
    double to[REGIONS_MAX][REGIONS_MAX] = {{0}};
    int64_t elapsed_us = MIN(now_us - s->at_us, STEP_US_MAX);
    double max_move = (double)elapsed_us / 1e6 * in->max_shift_per_s;

    double planned = planned_utilisation(in);
    target_rows(in, planned, to);
    keep_excess(in, planned, to);
    if (s->at_us == 0 || s->n != in->n || in->unused) {
        memcpy(s->share, to, sizeof(to));
    }
    for (int f = 0; f < in->n; f++) {
        drop_empty(s->share[f], in);
        double sum = 0;
        for (int t = 0; t < in->n; t++) {
            sum += s->share[f][t];
        }
        if (sum <= 0) {
            memcpy(s->share[f], to[f], sizeof(to[f]));
        }
        move_row(s->share[f], to[f], in->n, max_move);
    }
    s->n = in->n;
    s->at_us = now_us;
}

int
split_region(const Split *s, int from, double unit)
{
    /* The own region comes first in the unit interval, so that a change of
     * shares moves few objects. */
    for (int i = 0; i < s->n; i++) {
        int t = i == 0 ? from : (i <= from ? i - 1 : i);
        if (unit < s->share[from][t]) {
            return t;
        }
        unit -= s->share[from][t];
    }
    return from;
}
