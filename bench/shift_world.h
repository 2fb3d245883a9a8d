/*
 * shift_world - entry VMs that hold rows of their own, and what their traffic
 * adds up to.  Part of bench_shift.
 */
#ifndef MIMOSA_SHIFT_WORLD_H
#define MIMOSA_SHIFT_WORLD_H

#include "bench.h"

#define STEP_US (100 * MS)
#define DETECT_US (1500 * MS)
#define RESTART_US (3 * SECOND)
#define DIGEST_US (1 * SECOND)
#define VMS 60
#define EVENTS 400
#define SHARE_ERROR 0.005 /* a row has arrived */
#define WINDOW_MAX 400    /* steps of the cap's interval */
#define UTILISATION 0.85

typedef struct Change {
    int64_t at_us;
    int zone;
    enum { DOWN, UP, CUT, HEAL, DRAIN, UNDRAIN } what;
} Change;

typedef struct View {
    bool up[N_ZONES];
    bool draining[N_ZONES];
} View;

typedef struct Vm {
    int zone;
    double weight;
    double rate; /* of its clock */
    int64_t back_at_us;
    bool alive;
    int64_t seen_us[EVENTS]; /* when it learns of each change */
    View view;
    ShiftRow rows[N_ZONES];
    double digest[N_ZONES][N_ZONES]; /* rows as its peers know them */
    ShiftPicker drawers[N_ZONES];
} Vm;

typedef struct World {
    const BenchService *s;
    double cap;
    int64_t interval_us;
    int n_vms;
    Vm vms[VMS];
    Manifest *m;
    Change changes[EVENTS];
    int n_changes;
    View truth;
    bool cut[N_ZONES];
    double slots[N_ZONES];
    double demand[N_ZONES];
    double bytes_per_slot_s;
    double noise; /* error of the demand that a VM knows */
    int64_t restart_every_us;
    bool capped; /* false: the baseline without a cap */
    GRand *rnd;
    /* Measured. */
    double now[N_ZONES][N_ZONES];
    double path[N_ZONES][WINDOW_MAX]; /* moves of past steps, a ring */
    int64_t steps;
    double shift_max;
    int64_t overload_zone, overload_region, overload_link;
    FILE *data;
} World;

static Manifest *
geography(const World *w)
{
    Manifest *m = g_new0(Manifest, 1);

    m->n_regions = 3;
    m->n_zones = N_ZONES;
    m->n_links = 3;
    m->zone_latency_us = w->s->tunis ? 3 * MS : 4 * MS;
    int64_t far = w->s->tunis ? 12 * MS : 55 * MS;

    for (int z = 0; z < N_ZONES; z++) {
        m->zones[z].region = z / 2;
    }
    m->links[0] = (MfLink){0, 1, 4000, far, 1};
    m->links[1] = (MfLink){0, 2, 4000, far, 1};
    m->links[2] = (MfLink){1, 2, 4000, far, 1};
    m->n_services = 1;
    m->services[0].shift_cap = w->capped ? w->cap : 1000;
    m->services[0].shift_interval_us = w->interval_us;
    return m;
}

static int64_t
clock_of(const Vm *v, int64_t t)
{
    return (int64_t)((double)t * v->rate);
}

/* A VM's zone sees another unless one of them is cut off from the rest. */
static bool
reaches(const World *w, const Vm *v, int zone)
{
    return v->zone == zone || (!w->cut[v->zone] && !w->cut[zone]);
}

static void
plan(const World *w, const Vm *v, GRand *rnd, double *want)
{
    PlacementZone zones[N_ZONES];
    Manifest *m = w->m;

    for (int z = 0; z < N_ZONES; z++) {
        double error = w->noise * (2 * g_rand_double(rnd) - 1);

        /* The baseline fails over without a look at the slots. */
        zones[z] =
            (PlacementZone){v->view.up[z], w->slots[z] * (w->capped ? 1 : 10),
                            w->demand[z] * (1 + error)};
        m->zones[z].draining = v->view.draining[z];
    }
    double now[N_ZONES * N_ZONES];

    for (int h = 0; h < N_ZONES; h++) {
        memcpy(&now[h * N_ZONES], v->rows[h].current, sizeof(v->digest[h]));
    }
    PlacementIn in = {m, 0, zones, UTILISATION,
                      w->capped ? w->bytes_per_slot_s : 0};

    placement_rows(&in, want);
    if (w->capped && v->alive) {
        placement_limit_moves(&in, now, want);
    }
}

static void
aim(World *w, Vm *v, int64_t t)
{
    double want[N_ZONES * N_ZONES];

    plan(w, v, w->rnd, want);
    for (int h = 0; h < N_ZONES; h++) {
        shift_set_desired(&v->rows[h], &want[h * N_ZONES], clock_of(v, t));
    }
}

static void
apply(const World *w, View *view, const Change *c, int zone_of_vm)
{
    bool inside = c->zone == zone_of_vm;

    switch (c->what) {
    case DOWN:
    case UP:
        view->up[c->zone] = c->what == UP;
        break;
    case DRAIN:
    case UNDRAIN:
        view->draining[c->zone] = c->what == DRAIN;
        break;
    case CUT:
    case HEAL:
        for (int z = 0; z < N_ZONES; z++) {
            if ((z == c->zone) != inside) {
                view->up[z] = c->what == HEAL && w->truth.up[z];
            }
        }
        break;
    }
}

/* A VM that starts takes the rows of a peer that it reaches, else the natural
 * ones. */
static void
start_vm(World *w, Vm *v, int64_t t)
{
    const Vm *peer = NULL;

    v->alive = true;
    v->view = w->truth;
    for (int z = 0; z < N_ZONES; z++) {
        v->view.up[z] = w->truth.up[z] && reaches(w, v, z);
    }
    for (int i = 0; i < w->n_vms && peer == NULL; i++) {
        const Vm *p = &w->vms[(i + w->steps) % w->n_vms];

        if (p != v && p->alive && reaches(w, v, p->zone)) {
            peer = p;
        }
    }
    for (int h = 0; h < N_ZONES; h++) {
        shift_init(&v->rows[h], N_ZONES, h, &w->m->services[0],
                   clock_of(v, t));
        shift_picker_init(&v->drawers[h], N_RANKS, clock_of(v, t));
        if (peer != NULL) {
            shift_set_current(&v->rows[h], peer->digest[h], N_ZONES,
                              clock_of(v, t));
        }
    }
    aim(w, v, t);
    for (int h = 0; h < N_ZONES; h++) {
        memcpy(v->digest[h], v->rows[h].current, sizeof(v->digest[h]));
    }
}

static void
learn(World *w, Vm *v, int64_t from, int64_t to)
{
    bool news = false;

    for (int i = 0; i < w->n_changes; i++) {
        if (v->seen_us[i] >= from && v->seen_us[i] < to) {
            apply(w, &v->view, &w->changes[i], v->zone);
            news = true;
        }
    }
    /* Load and rows change the plan each second even without an event. */
    if (news || to % SECOND == 0) {
        aim(w, v, to);
    }
}

static void
happen(World *w, int64_t from, int64_t to)
{
    for (int i = 0; i < w->n_changes; i++) {
        const Change *c = &w->changes[i];

        if (c->at_us < from || c->at_us >= to) {
            continue;
        }
        if (c->what == CUT || c->what == HEAL) {
            w->cut[c->zone] = c->what == CUT;
            continue;
        }
        apply(w, &w->truth, c, -1);
        for (int k = 0; k < w->n_vms; k++) {
            Vm *v = &w->vms[k];

            if (v->zone == c->zone && c->what == DOWN) {
                v->alive = false;
                v->back_at_us = INT64_MAX;
            }
            if (v->zone == c->zone && c->what == UP) {
                v->back_at_us =
                    to + g_rand_int_range(w->rnd, 0, (int)RESTART_US);
            }
        }
    }
}

static void
step_vms(World *w, int64_t from, int64_t to)
{
    for (int k = 0; k < w->n_vms; k++) {
        Vm *v = &w->vms[k];

        if (!v->alive && v->back_at_us <= to) {
            start_vm(w, v, to);
        }
        if (!v->alive) {
            continue;
        }
        learn(w, v, from, to);
        for (int h = 0; h < N_ZONES; h++) {
            shift_step(&v->rows[h], clock_of(v, to));
            if (to % DIGEST_US == 0) {
                memcpy(v->digest[h], v->rows[h].current, sizeof(v->digest[h]));
            }
        }
        if (w->restart_every_us > 0 &&
            g_rand_double(w->rnd) <
                (double)STEP_US / (double)w->restart_every_us) {
            v->alive = false;
            v->back_at_us = to + RESTART_US;
        }
    }
}

/* Weight of the VMs that can take over a VM's callers: those that its side of
 * a cut knows as live; where there is none, all. */
static double
heirs(const World *w, const Vm *v, bool all)
{
    double sum = 0;

    for (int k = 0; k < w->n_vms; k++) {
        const Vm *p = &w->vms[k];

        if (p->alive && (all || reaches(w, v, p->zone))) {
            sum += p->weight;
        }
    }
    return sum;
}

/* Hands the traffic of each VM to itself or to its heirs. */
static void
spread(const World *w, double *weight)
{
    for (int k = 0; k < w->n_vms; k++) {
        const Vm *v = &w->vms[k];

        if (v->alive) {
            weight[k] += v->weight;
            continue;
        }
        bool all = heirs(w, v, false) <= 0;
        double sum = heirs(w, v, all);

        for (int i = 0; i < w->n_vms && sum > 0; i++) {
            const Vm *p = &w->vms[i];

            if (p->alive && (all || reaches(w, v, p->zone))) {
                weight[i] += v->weight * p->weight / sum;
            }
        }
    }
}

/* Traffic of all VMs: A[h][z]. */
static void
mean_rows(const World *w, double a[N_ZONES][N_ZONES])
{
    double weight[VMS] = {0};
    double sum = 0;

    memset(a, 0, sizeof(double) * N_ZONES * N_ZONES);
    spread(w, weight);
    for (int k = 0; k < w->n_vms; k++) {
        sum += weight[k];
        for (int i = 0; i < N_ZONES * N_ZONES; i++) {
            a[i / N_ZONES][i % N_ZONES] +=
                weight[k] * w->vms[k].rows[i / N_ZONES].current[i % N_ZONES];
        }
    }
    for (int i = 0; i < N_ZONES * N_ZONES && sum > 0; i++) {
        a[i / N_ZONES][i % N_ZONES] /= sum;
    }
}

/* Counts the movement of the last interval: the length of the way, which is
 * at least the distance of any two rows in it. */
static void
measure_shift(World *w, double a[N_ZONES][N_ZONES])
{
    int64_t window = w->interval_us / STEP_US;
    int at = (int)(w->steps % window);

    for (int h = 0; h < N_ZONES; h++) {
        double sum = 0;

        w->path[h][at] =
            w->steps > 0 ? shift_distance(w->now[h], a[h], N_ZONES) : 0;
        for (int i = 0; i < window; i++) {
            sum += w->path[h][i];
        }
        w->shift_max = fmax(w->shift_max, sum);
    }
}

/* Slots that the traffic asks for in a zone, and its part from other homes. */
static void
measure_load(World *w, double a[N_ZONES][N_ZONES])
{
    double region_load[3] = {0};
    double region_slots[3] = {0};
    double region_moved[3] = {0};
    double link[3][3] = {{0}};

    for (int z = 0; z < N_ZONES; z++) {
        double load = 0;
        double moved = 0;

        if (!w->truth.up[z]) {
            continue;
        }
        for (int h = 0; h < N_ZONES; h++) {
            double n = w->demand[h] * a[h][z];

            load += n;
            moved += h != z ? n : 0;
            link[h / 2][z / 2] += n * w->bytes_per_slot_s;
        }
        w->overload_zone += load > w->slots[z] * (1 + 1e-6) && moved > 1e-3;
        region_load[z / 2] += load;
        region_moved[z / 2] += moved;
        region_slots[z / 2] += w->slots[z];
    }
    for (int r = 0; r < 3; r++) {
        w->overload_region += region_load[r] > region_slots[r] * (1 + 1e-6) &&
                              region_moved[r] > 1e-3;
        for (int q = 0; q < 3; q++) {
            w->overload_link += r != q && link[r][q] > 4000e6 / 8;
        }
    }
}

static void
step(World *w, int64_t t)
{
    double a[N_ZONES][N_ZONES];

    happen(w, t, t + STEP_US);
    step_vms(w, t, t + STEP_US);
    mean_rows(w, a);
    measure_shift(w, a);
    measure_load(w, a);
    memcpy(w->now, a, sizeof(a));
    w->steps++;
    if (w->data != NULL && w->steps % 10 == 0) {
        fprintf(w->data, "%.1f", (double)t / 1e6);
        for (int z = 0; z < N_ZONES; z++) {
            fprintf(w->data, " %.4f", a[0][z]);
        }
        fprintf(w->data, "\n");
    }
}

#endif
