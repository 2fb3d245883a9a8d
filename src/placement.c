/* placement - target shares from capacity, health, drains, links and cost.
 * See placement.h. */
#include "placement.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Rounds of allocation among paths of equal distance, which is the cost, then
 * the latency; each round allocates what the previous one could not. */
#define ROUNDS 8

/* Demand in busy slots assumed for a home without traffic, so that its row
 * names zones that can serve when traffic arrives. */
#define DEMAND_MIN 0.01

/* Slots and shares up to this value count as none. */
#define EPSILON 1e-9

/* A home with excess demand and a zone with spare slots. */
typedef struct Path {
    int home;
    int zone;
    double cost;
    int64_t latency_us;
} Path;

typedef struct Placement {
    const PlacementIn *in;
    int n;
    double excess[ZONES_MAX];
    double spare[ZONES_MAX];
    double link[REGIONS_MAX][REGIONS_MAX]; /* spare bytes/s, a <= b */
    double assigned[ZONES_MAX][ZONES_MAX]; /* slots by home and zone */
    GArray *paths;                         /* Path, nearest first */
} Placement;

static bool
serves(const PlacementIn *in, int z)
{
    return in->zones[z].up && !in->manifest->zones[z].draining &&
           in->zones[z].slots > 0;
}

static int
compare_distance(gconstpointer a, gconstpointer b)
{
    const Path *x = a;
    const Path *y = b;

    if (x->cost != y->cost) {
        return x->cost < y->cost ? -1 : 1;
    }
    if (x->latency_us != y->latency_us) {
        return x->latency_us < y->latency_us ? -1 : 1;
    }
    if (x->home != y->home) {
        return x->home - y->home;
    }
    return x->zone - y->zone;
}

static double *
link_left(Placement *p, int home, int zone)
{
    int a = p->in->manifest->zones[home].region;
    int b = p->in->manifest->zones[zone].region;

    return a < b ? &p->link[a][b] : &p->link[b][a];
}

/* Returns the slots for which the link between two zones' regions still has
 * capacity. */
static double
link_slots(Placement *p, int home, int zone)
{
    const Manifest *m = p->in->manifest;

    if (m->zones[home].region == m->zones[zone].region) {
        return INFINITY;
    }
    if (manifest_link(m, m->zones[home].region, m->zones[zone].region) ==
        NULL) {
        return 0;
    }
    if (p->in->bytes_per_slot_s <= 0) {
        return INFINITY;
    }
    return fmax(*link_left(p, home, zone) / p->in->bytes_per_slot_s, 0);
}

static void
find_paths(Placement *p)
{
    const Manifest *m = p->in->manifest;

    for (int h = 0; h < p->n; h++) {
        for (int z = 0; z < p->n; z++) {
            if (h == z || p->excess[h] <= EPSILON || p->spare[z] <= EPSILON ||
                link_slots(p, h, z) <= 0) {
                continue;
            }
            Path w = {h, z, manifest_cost(m, h, z),
                      manifest_latency_us(m, h, z)};
            /* Zones of the same region come first, whatever their latency. */
            if (m->zones[h].region == m->zones[z].region) {
                w.cost = -1;
                w.latency_us = 0;
            }
            g_array_append_val(p->paths, w);
        }
    }
    g_array_sort(p->paths, compare_distance);
}

static void
init_slots(Placement *p)
{
    const PlacementIn *in = p->in;

    for (int z = 0; z < p->n; z++) {
        double supply =
            serves(in, z) ? in->zones[z].slots * in->utilisation_max : 0;
        double demand = fmax(in->zones[z].demand, DEMAND_MIN);

        p->assigned[z][z] = fmin(demand, supply);
        p->spare[z] = supply - p->assigned[z][z];
        p->excess[z] = demand - p->assigned[z][z];
    }
    for (int i = 0; i < in->manifest->n_links; i++) {
        const MfLink *l = &in->manifest->links[i];
        int a = MIN(l->a, l->b);
        int b = MAX(l->a, l->b);

        p->link[a][b] = l->mbit * 1e6 / 8 * in->utilisation_max;
    }
}

static const Path *
path_at(const Placement *p, guint i)
{
    return &g_array_index(p->paths, Path, i);
}

/* Requests in one round of the paths of equal distance. */
typedef struct Round {
    guint from;
    guint to;
    double *requested; /* slots by path */
    double zone_total[ZONES_MAX];
    double link_total[REGIONS_MAX][REGIONS_MAX]; /* a <= b */
} Round;

static double *
link_requests(Placement *p, Round *r, const Path *w)
{
    int a = p->in->manifest->zones[w->home].region;
    int b = p->in->manifest->zones[w->zone].region;

    return a < b ? &r->link_total[a][b] : &r->link_total[b][a];
}

/* Each home requests slots from the zones in proportion to their spare slots.
 */
static void
request_slots(Placement *p, Round *r)
{
    double reachable[ZONES_MAX] = {0};

    memset(r->zone_total, 0, sizeof(r->zone_total));
    memset(r->link_total, 0, sizeof(r->link_total));
    for (guint i = r->from; i < r->to; i++) {
        reachable[path_at(p, i)->home] += p->spare[path_at(p, i)->zone];
    }
    for (guint i = r->from; i < r->to; i++) {
        const Path *w = path_at(p, i);
        double n = 0;

        if (reachable[w->home] > EPSILON) {
            n = p->excess[w->home] * p->spare[w->zone] / reachable[w->home];
        }
        r->requested[i - r->from] = n;
        r->zone_total[w->zone] += n;
        *link_requests(p, r, w) += n;
    }
}

/* Zones and links with more requests than capacity grant them in proportion.
 * The spare capacity is reduced after all requests are scaled, so that the
 * order of the paths does not matter. */
static void
grant_slots(Placement *p, Round *r)
{
    for (guint i = r->from; i < r->to; i++) {
        const Path *w = path_at(p, i);
        double *n = &r->requested[i - r->from];

        if (*n <= 0) {
            continue;
        }
        double part = fmin(1, p->spare[w->zone] / r->zone_total[w->zone]);

        *n *= fmin(part,
                   link_slots(p, w->home, w->zone) / *link_requests(p, r, w));
    }
    for (guint i = r->from; i < r->to; i++) {
        const Path *w = path_at(p, i);
        double n = r->requested[i - r->from];

        p->assigned[w->home][w->zone] += n;
        p->excess[w->home] = fmax(p->excess[w->home] - n, 0);
        p->spare[w->zone] = fmax(p->spare[w->zone] - n, 0);
        *link_left(p, w->home, w->zone) -= n * p->in->bytes_per_slot_s;
    }
}

static void
fill_paths(Placement *p)
{
    guint from = 0;

    while (from < p->paths->len) {
        guint to = from + 1;

        while (to < p->paths->len &&
               path_at(p, to)->cost == path_at(p, from)->cost &&
               path_at(p, to)->latency_us == path_at(p, from)->latency_us) {
            to++;
        }
        Round r = {.from = from, .to = to};

        r.requested = g_new0(double, to - from);
        for (int i = 0; i < ROUNDS; i++) {
            request_slots(p, &r);
            grant_slots(p, &r);
        }
        g_free(r.requested);
        from = to;
    }
}

void
placement_rows(const PlacementIn *in, double *want)
{
    Placement *p = g_new0(Placement, 1);
    int n = in->manifest->n_zones;

    p->in = in;
    p->n = n;
    p->paths = g_array_new(FALSE, FALSE, sizeof(Path));
    init_slots(p);
    find_paths(p);
    fill_paths(p);
    memset(want, 0, sizeof(double) * (size_t)n * (size_t)n);
    for (int h = 0; h < n; h++) {
        double demand = fmax(in->zones[h].demand, DEMAND_MIN);
        double away = 0;

        for (int z = 0; z < n; z++) {
            if (z != h) {
                want[h * n + z] = p->assigned[h][z] / demand;
                away += want[h * n + z];
            }
        }
        want[h * n + h] = fmax(1 - away, 0);
    }
    g_array_free(p->paths, TRUE);
    g_free(p);
}

/* Computes the fraction of the moves into each zone for which it has free
 * slots now.  Half of the slots above utilisation_max stay free, as the rows
 * of other VMs differ slightly. */
static void
inflow_limits(const PlacementIn *in, const double *rows, const double *want,
              double *part)
{
    int n = in->manifest->n_zones;

    for (int z = 0; z < n; z++) {
        double load = 0;
        double in_flow = 0;

        for (int h = 0; h < n; h++) {
            double now = rows[h * n + z];

            load += in->zones[h].demand * now;
            in_flow += in->zones[h].demand * fmax(want[h * n + z] - now, 0);
        }
        double max_load = in->zones[z].slots * (1 + in->utilisation_max) / 2;
        double free = fmax(max_load - load, 0);

        part[z] = in_flow > free ? free / in_flow : 1;
    }
}

void
placement_limit_moves(const PlacementIn *in, const double *now, double *want)
{
    int n = in->manifest->n_zones;
    double part[ZONES_MAX];

    inflow_limits(in, now, want, part);
    for (int h = 0; h < n; h++) {
        const double *row = &now[h * n];
        double total = 0;
        double allowed = 0;

        for (int z = 0; z < n; z++) {
            double more = fmax(want[h * n + z] - row[z], 0);

            total += more;
            allowed += more * part[z];
        }
        if (total <= EPSILON) {
            continue;
        }
        for (int z = 0; z < n; z++) {
            double move = want[h * n + z] - row[z];

            move *= move > 0 ? part[z] : allowed / total;
            want[h * n + z] = fmax(row[z] + move, 0);
        }
    }
}
