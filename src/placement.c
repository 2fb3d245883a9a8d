/* placement - wanted shares from capacity, health, drains, links and cost. See
 * place.h. */
#include "placement.h"

#include <math.h>
#include <string.h>

#include <glib.h>

/* Rounds of filling within one step of distance; each round hands out what
 * the last one could not place. */
#define ROUNDS 8

/* Demand in busy slots that a home without traffic counts with, so that its
 * row points to zones that serve when traffic comes. */
#define DEMAND_MIN 0.01

#define LEFT_MIN 1e-9

/* A pair of a home with excess and a zone with spare slots. */
typedef struct Way {
    int home;
    int zone;
    double cost;
    int64_t latency_us;
} Way;

typedef struct Plan {
    const PlacementIn *in;
    int n;
    double excess[ZONES_MAX];
    double spare[ZONES_MAX];
    double link[REGIONS_MAX][REGIONS_MAX]; /* bytes/s left, a <= b */
    double given[ZONES_MAX][ZONES_MAX];    /* slots by home and zone */
    GArray *ways;                          /* Way, nearest first */
} Plan;

static bool
serves(const PlacementIn *in, int z)
{
    return in->zones[z].up && !in->m->zones[z].draining &&
           in->zones[z].slots > 0;
}

static int
by_distance(gconstpointer a, gconstpointer b)
{
    const Way *x = a;
    const Way *y = b;

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
link_left(Plan *p, int home, int zone)
{
    int a = p->in->m->zones[home].region;
    int b = p->in->m->zones[zone].region;

    return a < b ? &p->link[a][b] : &p->link[b][a];
}

/* Slots that the link between two zones' regions still carries. */
static double
link_slots(Plan *p, int home, int zone)
{
    const Manifest *m = p->in->m;

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
find_ways(Plan *p)
{
    const Manifest *m = p->in->m;

    for (int h = 0; h < p->n; h++) {
        for (int z = 0; z < p->n; z++) {
            if (h == z || p->excess[h] <= LEFT_MIN ||
                p->spare[z] <= LEFT_MIN || link_slots(p, h, z) <= 0) {
                continue;
            }
            Way w = {h, z, manifest_cost(m, h, z),
                     manifest_latency_us(m, h, z)};
            /* The same region comes first whatever its latency. */
            if (m->zones[h].region == m->zones[z].region) {
                w.cost = -1;
                w.latency_us = 0;
            }
            g_array_append_val(p->ways, w);
        }
    }
    g_array_sort(p->ways, by_distance);
}

static void
start(Plan *p)
{
    const PlacementIn *in = p->in;

    for (int z = 0; z < p->n; z++) {
        double supply =
            serves(in, z) ? in->zones[z].slots * in->utilisation_max : 0;
        double demand = fmax(in->zones[z].demand, DEMAND_MIN);

        p->given[z][z] = fmin(demand, supply);
        p->spare[z] = supply - p->given[z][z];
        p->excess[z] = demand - p->given[z][z];
    }
    for (int i = 0; i < in->m->n_links; i++) {
        const MfLink *l = &in->m->links[i];
        int a = MIN(l->a, l->b);
        int b = MAX(l->a, l->b);

        p->link[a][b] = l->mbit * 1e6 / 8 * in->utilisation_max;
    }
}

static const Way *
way(const Plan *p, guint i)
{
    return &g_array_index(p->ways, Way, i);
}

/* What the ways of one distance ask for in a round. */
typedef struct Round {
    guint from;
    guint to;
    double *ask; /* slots by way */
    double at_zone[ZONES_MAX];
    double at_link[REGIONS_MAX][REGIONS_MAX]; /* a <= b */
} Round;

static double *
asked_of_link(Plan *p, Round *r, const Way *w)
{
    int a = p->in->m->zones[w->home].region;
    int b = p->in->m->zones[w->zone].region;

    return a < b ? &r->at_link[a][b] : &r->at_link[b][a];
}

/* Each home asks the zones in proportion to their spare slots. */
static void
ask(Plan *p, Round *r)
{
    double open[ZONES_MAX] = {0};

    memset(r->at_zone, 0, sizeof(r->at_zone));
    memset(r->at_link, 0, sizeof(r->at_link));
    for (guint i = r->from; i < r->to; i++) {
        open[way(p, i)->home] += p->spare[way(p, i)->zone];
    }
    for (guint i = r->from; i < r->to; i++) {
        const Way *w = way(p, i);
        double n = 0;

        if (open[w->home] > LEFT_MIN) {
            n = p->excess[w->home] * p->spare[w->zone] / open[w->home];
        }
        r->ask[i - r->from] = n;
        r->at_zone[w->zone] += n;
        *asked_of_link(p, r, w) += n;
    }
}

/* Zones and links that are asked for too much answer in proportion.  What is
 * left is lowered after the round, so that the order of the ways does not
 * matter. */
static void
answer(Plan *p, Round *r)
{
    for (guint i = r->from; i < r->to; i++) {
        const Way *w = way(p, i);
        double *n = &r->ask[i - r->from];

        if (*n <= 0) {
            continue;
        }
        double part = fmin(1, p->spare[w->zone] / r->at_zone[w->zone]);

        *n *= fmin(part,
                   link_slots(p, w->home, w->zone) / *asked_of_link(p, r, w));
    }
    for (guint i = r->from; i < r->to; i++) {
        const Way *w = way(p, i);
        double n = r->ask[i - r->from];

        p->given[w->home][w->zone] += n;
        p->excess[w->home] = fmax(p->excess[w->home] - n, 0);
        p->spare[w->zone] = fmax(p->spare[w->zone] - n, 0);
        *link_left(p, w->home, w->zone) -= n * p->in->bytes_per_slot_s;
    }
}

static void
fill(Plan *p)
{
    guint from = 0;

    while (from < p->ways->len) {
        guint to = from + 1;

        while (to < p->ways->len && way(p, to)->cost == way(p, from)->cost &&
               way(p, to)->latency_us == way(p, from)->latency_us) {
            to++;
        }
        Round r = {.from = from, .to = to};

        r.ask = g_new0(double, to - from);
        for (int i = 0; i < ROUNDS; i++) {
            ask(p, &r);
            answer(p, &r);
        }
        g_free(r.ask);
        from = to;
    }
}

void
placement_rows(const PlacementIn *in, double *want)
{
    Plan *p = g_new0(Plan, 1);
    int n = in->m->n_zones;

    p->in = in;
    p->n = n;
    p->ways = g_array_new(FALSE, FALSE, sizeof(Way));
    start(p);
    find_ways(p);
    fill(p);
    memset(want, 0, sizeof(double) * (size_t)n * (size_t)n);
    for (int h = 0; h < n; h++) {
        double demand = fmax(in->zones[h].demand, DEMAND_MIN);
        double away = 0;

        for (int z = 0; z < n; z++) {
            if (z != h) {
                want[h * n + z] = p->given[h][z] / demand;
                away += want[h * n + z];
            }
        }
        want[h * n + h] = fmax(1 - away, 0);
    }
    g_array_free(p->ways, TRUE);
    g_free(p);
}

/* Part of the moves into each zone that its free slots take now.  Half of the
 * reserve stays free, as the rows of other VMs differ a little. */
static void
room_now(const PlacementIn *in, const double *rows, const double *want,
         double *part)

{
    int n = in->m->n_zones;

    for (int z = 0; z < n; z++) {
        double load = 0;
        double in_flow = 0;

        for (int h = 0; h < n; h++) {
            double now = rows[h * n + z];

            load += in->zones[h].demand * now;
            in_flow += in->zones[h].demand * fmax(want[h * n + z] - now, 0);
        }
        double most = in->zones[z].slots * (1 + in->utilisation_max) / 2;
        double free = fmax(most - load, 0);

        part[z] = in_flow > free ? free / in_flow : 1;
    }
}

void
placement_limit_moves(const PlacementIn *in, const double *now, double *want)
{
    int n = in->m->n_zones;
    double part[ZONES_MAX];

    room_now(in, now, want, part);
    for (int h = 0; h < n; h++) {
        const double *row = &now[h * n];
        double all = 0;
        double may = 0;

        for (int z = 0; z < n; z++) {
            double more = fmax(want[h * n + z] - row[z], 0);

            all += more;
            may += more * part[z];
        }
        if (all <= LEFT_MIN) {
            continue;
        }
        for (int z = 0; z < n; z++) {
            double move = want[h * n + z] - row[z];

            move *= move > 0 ? part[z] : may / all;
            want[h * n + z] = fmax(row[z] + move, 0);
        }
    }
}
