/*
 * bench_shift - movement of shares while regions fail and return, zones are
 * cut off or drained, and entry VMs restart.
 *
 * Each entry VM holds its own rows, learns of each event by itself up to
 * 1.5 s late and computes its own plan.  What counts is the traffic of all:
 * the mean of the VMs' rows, weighted with the callers that use each VM.
 */
#include "shift_world.h"

static World *
world_new(const BenchService *s, int n_vms, double cap, int64_t interval_us,
          bool capped, uint32_t seed)
{
    World *w = g_new0(World, 1);

    w->s = s;
    w->n_vms = n_vms;
    w->cap = cap;
    w->interval_us = interval_us;
    w->capped = capped;
    w->rnd = g_rand_new_with_seed(seed);
    w->m = geography(w);
    w->bytes_per_slot_s = 20e6;
    for (int z = 0; z < N_ZONES; z++) {
        w->truth.up[z] = true;
        w->slots[z] = (double)s->targets * s->slots / N_ZONES;
        w->demand[z] = w->slots[z] * (0.4 + 0.4 * g_rand_double(w->rnd));
    }
    for (int k = 0; k < n_vms; k++) {
        Vm *v = &w->vms[k];

        v->zone = k % N_ZONES;
        v->weight = 0.5 + g_rand_double(w->rnd);
        v->rate = 1;
    }
    return w;
}

static void
world_start(World *w)
{
    for (int k = 0; k < w->n_vms; k++) {
        Vm *v = &w->vms[k];

        for (int i = 0; i < w->n_changes; i++) {
            v->seen_us[i] =
                w->changes[i].at_us +
                (int64_t)(g_rand_double(w->rnd) * (double)DETECT_US);
        }
        start_vm(w, v, 0);
    }
}

static void
world_free(World *w)
{
    if (w->data != NULL) {
        fclose(w->data);
    }
    g_rand_free(w->rnd);
    g_free(w->m);
    g_free(w);
}

static void
add(World *w, int64_t at_us, int zone, int what)
{
    w->changes[w->n_changes++] = (Change){at_us, zone, what};
}

/* Least time of the row with the longest way to where the truth leads. */
static double
least_us(World *w, double want[N_ZONES * N_ZONES])
{
    Vm v = {.zone = 0, .view = w->truth};
    double noise = w->noise;
    double far = 0;

    w->noise = 0;
    plan(w, &v, w->rnd, want);
    w->noise = noise;
    for (int h = 0; h < N_ZONES; h++) {
        far =
            fmax(far, shift_distance(w->now[h], &want[h * N_ZONES], N_ZONES));
    }
    return (far - SHARE_ERROR) / w->cap * (double)w->interval_us;
}

static bool
arrived(const World *w, const double *want)
{
    for (int h = 0; h < N_ZONES; h++) {
        if (shift_distance(w->now[h], &want[h * N_ZONES], N_ZONES) >
            SHARE_ERROR) {
            return false;
        }
    }
    return true;
}

/* Runs until the shares follow the events at at_us; returns the time taken
 * over the least time. */
static double
follow(World *w, int64_t at_us, int64_t until_us, int64_t *t)
{
    double want[N_ZONES * N_ZONES];
    double ratio = INFINITY;

    while (*t <= at_us) {
        step(w, *t);
        *t += STEP_US;
    }
    double least = least_us(w, want);

    while (*t < until_us) {
        step(w, *t);
        *t += STEP_US;
        if (ratio == INFINITY && arrived(w, want)) {
            ratio = (double)(*t - at_us) / least;
        }
    }
    return ratio;
}

typedef struct Sum {
    double shift_over_cap;
    double ratio;
    int64_t overload;
} Sum;

static void
sum_up(Sum *s, const World *w, double ratio)
{
    s->shift_over_cap = fmax(s->shift_over_cap, w->shift_max / w->cap);
    s->ratio = fmax(s->ratio, ratio);
    s->overload += w->overload_zone + w->overload_region + w->overload_link;
}

/* Two changes, the second one undoing the first. */
static Sum
there_and_back(const BenchService *s, int n_vms, bool capped, uint32_t seed,
               const char *name, int zone, int n_zones, int what, int undo)
{
    World *w = world_new(s, n_vms, 0.1, 10 * SECOND, capped, seed);
    int64_t t = 0;
    Sum sum = {0};

    for (int z = zone; z < zone + n_zones; z++) {
        add(w, 10 * SECOND, z, what);
        add(w, 200 * SECOND, z, undo);
    }
    if (name != NULL) {
        char file[64];

        snprintf(file, sizeof(file), "shift_%s_%s", name, s->name);
        w->data = bench_data(file);
    }
    w->restart_every_us = 120 * SECOND;
    world_start(w);
    double there = follow(w, 10 * SECOND, 200 * SECOND, &t);
    double back = follow(w, 200 * SECOND, 400 * SECOND, &t);

    /* While a zone is cut off, the two sides rightly want different rows. */
    sum_up(&sum, w, what == CUT ? 0 : fmax(there, back));
    world_free(w);
    return sum;
}

/* Clocks as they are and at the bound that ownership allows for. */
#define CLOCK_USUAL 0.001

typedef struct Storm {
    const char *name;
    double clock_error;
    int n_kinds; /* 2: fail and drain, 3: cut off as well */
} Storm;

static const Storm storms[] = {
    {"storm", CLOCK_USUAL, 2},
    {"storm_10%_clocks", CLOCK_RATE_ERROR, 2},
    {"storm_with_cuts", CLOCK_USUAL, 3},
};

/* Random events and restarts for a long time; each VM has its own error of
 * the demand. */
static Sum
storm(const BenchService *s, const Storm *k, bool capped, uint32_t seed)
{
    enum { MINUTES = 40 };
    static const int kinds[] = {DOWN, DRAIN, CUT};
    World *w = world_new(s, 10, 0.2, 20 * SECOND, capped, seed);
    bool off[N_ZONES] = {false};
    int kind[N_ZONES] = {0};
    Sum sum = {0};

    w->noise = 0.05;
    w->restart_every_us = 120 * SECOND;
    for (int64_t t = 5 * SECOND; t < MINUTES * 60 * SECOND;
         t += g_rand_int_range(w->rnd, 1, 40) * SECOND) {
        int z = g_rand_int_range(w->rnd, 0, N_ZONES);

        if (w->n_changes >= EVENTS) {
            break;
        }
        if (!off[z]) {
            kind[z] = kinds[g_rand_int_range(w->rnd, 0, k->n_kinds)];
        }
        /* The enumeration names each undoing right after its change. */
        add(w, t, z, kind[z] + off[z]);
        off[z] = !off[z];
    }
    for (int i = 0; i < w->n_vms; i++) {
        w->vms[i].rate = 1 + k->clock_error * (2 * g_rand_double(w->rnd) - 1);
    }
    world_start(w);
    for (int64_t t = 0; t < MINUTES * 60 * SECOND; t += STEP_US) {
        step(w, t);
    }
    sum_up(&sum, w, 0);
    world_free(w);
    return sum;
}

static void
rows(Bench *b, const BenchService *s, const char *name, Sum ours, Sum free)
{
    char text[128];
    char base[64];

    snprintf(text, sizeof(text), "shift.%s.%s.largest_over_cap", s->name,
             name);
    snprintf(base, sizeof(base), "no-cap:%.3g", free.shift_over_cap);
    bench_row(b, text, ours.shift_over_cap, base, "<=1",
              ours.shift_over_cap <= 1);
    snprintf(text, sizeof(text), "shift.%s.%s.overloads", s->name, name);
    snprintf(base, sizeof(base), "no-cap:%" G_GINT64_FORMAT, free.overload);
    bench_row(b, text, (double)ours.overload, base, "0", ours.overload == 0);
    if (ours.ratio > 0) {
        snprintf(text, sizeof(text), "shift.%s.%s.time_over_least", s->name,
                 name);
        bench_row(b, text, ours.ratio, "cap:1", "<=1.2", ours.ratio <= 1.2);
    }
}

/* Requests of a home whose zone is lost: what the row lets through goes to the
 * most urgent ranks first, and no more goes through than the row allows. */
static void
refusals(Bench *b, uint32_t seed)
{
    static const double mix[N_RANKS] = {0.2, 0.5, 1.0}; /* cumulated */
    enum { PER_S = 2000 };
    MfService s = {.shift_cap = 0.1, .shift_interval_us = 10 * SECOND};
    double away[N_ZONES] = {0, 1};
    bool usable[N_ZONES] = {false, true, true, true, true, true};
    double allowed = 0;
    double ideal[N_RANKS] = {0};
    double served[N_RANKS] = {0};
    double arrived_n[N_RANKS] = {0};
    GRand *rnd = g_rand_new_with_seed(seed);
    ShiftRow r;
    ShiftPicker d;

    shift_init(&r, N_ZONES, 0, &s, 0);
    shift_picker_init(&d, N_RANKS, 0);
    shift_set_desired(&r, away, 0);
    for (int64_t t = 0; t < 120 * SECOND; t += draw_gap_us(rnd, PER_S)) {
        double u = g_rand_double(rnd);
        int k = u < mix[0] ? 0 : (u < mix[1] ? 1 : 2);

        shift_step(&r, t);
        arrived_n[k] += 1;
        allowed += 1 - r.current[0];
        for (int i = 0; i < N_RANKS; i++) {
            double part = mix[i] - (i > 0 ? mix[i - 1] : 0);
            double before = i > 0 ? mix[i - 1] : 0;

            ideal[i] += CLAMP(1 - r.current[0] - before, 0, part);
        }
        served[k] += shift_pick(&r, &d, 0, k, usable, t).zone >= 0;
    }
    double all = served[0] + served[1] + served[2];
    char base[64];

    snprintf(base, sizeof(base), "by-arrival:%.3g",
             allowed / (arrived_n[0] + arrived_n[1] + arrived_n[2]) *
                 arrived_n[0] / ideal[0]);
    bench_row(b, "shift.refusals.urgent_served_over_ideal",
              served[0] / ideal[0], base, ">=0.99",
              served[0] / ideal[0] >= 0.99);
    snprintf(base, sizeof(base), "by-arrival:%.3g",
             allowed / (arrived_n[0] + arrived_n[1] + arrived_n[2]) *
                 arrived_n[2] / ideal[2]);
    bench_row(b, "shift.refusals.lowest_served_over_ideal",
              served[2] / ideal[2], base, "<=1.05",
              served[2] / ideal[2] <= 1.05);
    snprintf(base, sizeof(base), "refuse-none:%.3g",
             (arrived_n[0] + arrived_n[1] + arrived_n[2]) / allowed);
    bench_row(b, "shift.refusals.served_over_row", all / allowed, base, "<=1",
              all / allowed <= 1);
    g_rand_free(rnd);
}

typedef struct Case {
    const char *name;
    int n_vms;
    int zone;
    int n_zones;
    int what;
    int undo;
} Case;

static const Case cases[] = {
    {"region_lost", 10, 0, 2, DOWN, UP},
    {"region_lost_60_vms", 60, 0, 2, DOWN, UP},
    {"zone_cut_off", 10, 0, 1, CUT, HEAL},
    {"drain", 8, 0, 1, DRAIN, UNDRAIN},
    {"region_drain", 8, 2, 2, DRAIN, UNDRAIN},
};

int
main(int argc, char **argv)
{
    uint32_t seed = bench_seed(argc, argv);
    Bench b = {0};

    for (uint32_t i = 0; i < N_SERVICES; i++) {
        const BenchService *s = &bench_services[i];

        for (size_t c = 0; c < G_N_ELEMENTS(cases); c++) {
            const Case *k = &cases[c];
            Sum ours = there_and_back(s, k->n_vms, true, seed + i, k->name,
                                      k->zone, k->n_zones, k->what, k->undo);
            Sum free = there_and_back(s, k->n_vms, false, seed + i, NULL,
                                      k->zone, k->n_zones, k->what, k->undo);

            rows(&b, s, k->name, ours, free);
        }
        for (size_t c = 0; c < G_N_ELEMENTS(storms); c++) {
            rows(&b, s, storms[c].name, storm(s, &storms[c], true, seed + i),
                 storm(s, &storms[c], false, seed + i));
        }
    }
    refusals(&b, seed);
    return bench_end(&b);
}
