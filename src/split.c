/* split - which share of a region's requests runs in which region.
 * See split.h. */
#include "split.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Part of the slots that the plan uses; the rest takes what varies within a
 * second and objects that fall unevenly. */
#define PLANNED_USE 0.75

/* Rows wanted: own region first, what is over goes by spare capacity. */
static void
wanted(const SplitIn *in, double out[REGIONS_MAX][REGIONS_MAX])
{
    double spare[REGIONS_MAX];
    double spare_sum = 0;
    double cap_sum = 0;

    for (int r = 0; r < in->n; r++) {
        double room = in->capacity[r] * PLANNED_USE;
        spare[r] = fmax(0, room - in->demand[r]);
        spare_sum += spare[r];
        cap_sum += in->capacity[r];
    }
    for (int f = 0; f < in->n; f++) {
        double room = in->capacity[f] * PLANNED_USE;
        double keep = in->demand[f] > room ? room / in->demand[f] : 1;
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

/* When all regions are over the plan, what does not fit stays where it is:
 * moving it would only add distance. */
static void
keep_excess(const SplitIn *in, double out[REGIONS_MAX][REGIONS_MAX])
{
    double need = 0;
    double spare = 0;

    for (int r = 0; r < in->n; r++) {
        double room = in->capacity[r] * PLANNED_USE;
        if (in->capacity[r] > 0) {
            need += fmax(0, in->demand[r] - room);
        }
        spare += fmax(0, room - in->demand[r]);
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

static void
move_row(double *row, const double *to, int n, double most)
{
    double far = 0;

    for (int t = 0; t < n; t++) {
        far += fmax(0, to[t] - row[t]);
    }
    double k = far > most ? most / far : 1;
    for (int t = 0; t < n; t++) {
        row[t] += (to[t] - row[t]) * k;
    }
}

/* Takes a region without capacity out of a row at once. */
static void
leave_empty(double *row, const SplitIn *in)
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
    double most = (double)(now_us - s->at_us) / 1e6 * in->max_shift_per_s;

    wanted(in, to);
    keep_excess(in, to);
    if (s->at_us == 0 || s->n != in->n) {
        memcpy(s->share, to, sizeof(to));
    }
    for (int f = 0; f < in->n; f++) {
        leave_empty(s->share[f], in);
        double sum = 0;
        for (int t = 0; t < in->n; t++) {
            sum += s->share[f][t];
        }
        if (sum <= 0) {
            memcpy(s->share[f], to[f], sizeof(to[f]));
        }
        move_row(s->share[f], to[f], in->n, most);
    }
    s->n = in->n;
    s->at_us = now_us;
}

int
split_region(const Split *s, int from, double unit)
{
    /* Own region first, so that shares that move touch few objects. */
    for (int i = 0; i < s->n; i++) {
        int t = i == 0 ? from : (i <= from ? i - 1 : i);
        if (unit < s->share[from][t]) {
            return t;
        }
        unit -= s->share[from][t];
    }
    return from;
}
