/*
 * bench_scale - processor time of a placement decision and of a change of the
 * upstreams, by fleet size.  The baseline is the algorithm of revision
 * 354fdfe: it ranks all upstreams for each decision, and all upstreams for all
 * objects for each change.
 */
#include "bench.h"

#include "hash.h"
#include "pick.h"
#include "plan.h"

#define DECISIONS 20000
#define CHANGES 40
#define REGIONS 3
#define REPEATS 3

typedef struct Size {
    int vms;
    int upstreams;
    int objects;
} Size;

typedef struct World {
    Topology topo;
    UpsSet *set;
    Plan *plan;
    RtService service;
    RtRoute route;
    PickVm *vms;
    Size size;
    int64_t now_us;
} World;

static void
report(World *w, int i)
{
    static const char *const zones[REGIONS] = {"a", "b", "c"};
    char id[24];

    snprintf(id, sizeof(id), "u%d", i);
    UpsReport r = {.id = str_of(id),
                   .service = str_of("desk"),
                   .zone = str_of(zones[i % REGIONS]),
                   .slots = 9};
    ups_report(w->set, &r, w->now_us);
}

static uint64_t
object_of(int i)
{
    return hash_mix((uint64_t)i, 1);
}

static void
world_init(World *w, const Size *size)
{
    memset(w, 0, sizeof(*w));
    topology_add(&w->topo, str_of("a"), str_of("east"));
    topology_add(&w->topo, str_of("b"), str_of("west"));
    topology_add(&w->topo, str_of("c"), str_of("south"));
    w->size = *size;
    w->now_us = 100 * SECOND;
    w->set = ups_new(&w->topo, 0);
    w->plan = plan_new(REGIONS);
    w->service = (RtService){.id = hash_str(str_of("desk"), 0),
                             .max_conns = 100000,
                             .warmup_us = 3 * SECOND,
                             .cold_per_s = 3};
    w->route = (RtRoute){.sticky = true,
                         .latency_target_us = 1500 * MS,
                         .timeout_us = 4 * SECOND};
    w->vms = g_new0(PickVm, size->vms);
    for (int i = 0; i < size->vms; i++) {
        w->vms[i] = (PickVm){hash_mix(7, (uint64_t)i), i % REGIONS};
    }
    for (int i = 0; i < size->upstreams; i++) {
        report(w, i);
    }
    for (int i = 0; i < size->objects; i++) {
        plan_add(w->plan, w->service.id, object_of(i), 1, w->now_us);
    }
}

static void
world_clear(World *w)
{
    plan_free(w->plan);
    ups_free(w->set);
    g_free(w->vms);
}

static PickIn
pick_in(World *w, int object)
{
    return (PickIn){.set = w->set,
                    .topology = &w->topo,
                    .plan = w->plan,
                    .route = &w->route,
                    .service = &w->service,
                    .object = object_of(object),
                    .vms = w->vms,
                    .n_vms = w->size.vms,
                    .vms_version = 1,
                    .cold_vms_max = 4,
                    .max_rtt_us = 110 * MS};
}

static double
decision_us(World *w)
{
    PickReason why;
    double begin = bench_cpu_s();

    for (int i = 0; i < DECISIONS; i++) {
        PickIn in = pick_in(w, i % w->size.objects);
        if (pick_upstream(&in, w->now_us, &why) == NULL) {
            fprintf(stderr, "bench_scale: no upstream\n");
            exit(2);
        }
    }
    return (bench_cpu_s() - begin) / DECISIONS * 1e6;
}

/* Selects the best upstream by ranking all of them, as the baseline does for
 * each decision. */
static Ups *
best_by_full_ranking(const World *w, uint64_t object, int region)
{
    const GPtrArray *list = ups_of_service(w->set, w->service.id);
    Ups *best = NULL;
    double most = 0;

    for (guint i = 0; i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        if (region != RANKS_ANY_REGION && u->region != region) {
            continue;
        }
        double s = hash_rendezvous(object, u->key, u->slots);
        if (s > most) {
            most = s;
            best = u;
        }
    }
    return best;
}

static double
baseline_decision_us(const World *w)
{
    int n = DECISIONS / 20;
    double begin = bench_cpu_s();
    uintptr_t sum = 0;

    for (int i = 0; i < n; i++) {
        sum +=
            (uintptr_t)best_by_full_ranking(w, object_of(i), RANKS_ANY_REGION);
    }
    double us = (bench_cpu_s() - begin) / n * 1e6;
    return sum == 0 ? 0 : us;
}

/* Time of a change: one upstream is added or removed, and then the ranks of
 * all objects are queried. */
static double
change_us(World *w)
{
    char id[24];
    double begin = bench_cpu_s();

    for (int i = 0; i < CHANGES; i++) {
        int which = w->size.upstreams + i / 2;
        w->now_us += PLAN_STEP_US;
        if (i % 2 == 0) {
            report(w, which);
        }
        else {
            snprintf(id, sizeof(id), "u%d", which);
            ups_missing(w->set, str_of(id), w->now_us);
            ups_expire(w->set, w->now_us);
        }
        plan_step(w->plan, w->set, w->now_us);
        for (int o = 0; o < w->size.objects; o++) {
            plan_ranks(w->plan, w->set, w->service.id, PLAN_ALL_REGIONS,
                       object_of(o));
        }
        plan_owner(w->plan, w->service.id, PLAN_ALL_REGIONS, object_of(0));
    }
    return (bench_cpu_s() - begin) / CHANGES * 1e6;
}

/* Time of a change in the baseline: ranks all upstreams for each object, once
 * over all regions and once per region.  At most 200 objects are measured and
 * the result is scaled up. */
static double
baseline_change_us(const World *w)
{
    double begin = bench_cpu_s();
    uintptr_t sum = 0;
    int n = MIN(w->size.objects, 200);

    for (int o = 0; o < n; o++) {
        for (int r = RANKS_ANY_REGION; r < REGIONS; r++) {
            sum += (uintptr_t)best_by_full_ranking(w, object_of(o), r);
        }
    }
    double us = (bench_cpu_s() - begin) * 1e6 * w->size.objects / n;
    return sum == 0 ? 0 : us;
}

typedef struct Cost {
    double decision;
    double change;
    double baseline_decision;
    double baseline_change;
} Cost;

/* Minimum of each cost over REPEATS runs, in microseconds. */
static Cost
measure(const Size *size)
{
    Cost best = {1e12, 1e12, 1e12, 1e12};

    for (int i = 0; i < REPEATS; i++) {
        World w;
        world_init(&w, size);
        decision_us(&w); /* warm-up: builds the cached lists */
        best.decision = fmin(best.decision, decision_us(&w));
        best.change = fmin(best.change, change_us(&w));
        best.baseline_decision =
            fmin(best.baseline_decision, baseline_decision_us(&w));
        best.baseline_change =
            fmin(best.baseline_change, baseline_change_us(&w));
        world_clear(&w);
    }
    printf(
        "scale: vms=%d upstreams=%d objects=%d decision_us=%.2f "
        "change_us=%.0f baseline_decision_us=%.1f baseline_change_us=%.0f\n",
        size->vms, size->upstreams, size->objects, best.decision, best.change,
        best.baseline_decision, best.baseline_change);
    return best;
}

int
main(void)
{
    static const Size sizes[] = {{30, 150, 1000},    {30, 150, 8000},
                                 {300, 1350, 1000},  {300, 1350, 8000},
                                 {1000, 5000, 1000}, {1000, 5000, 8000}};
    static const Size large = {295, 1173, 909};
    Cost c[G_N_ELEMENTS(sizes)] = {{0}};
    Bench b = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        c[i] = measure(&sizes[i]);
    }
    Cost l = measure(&large);
    bench_row(&b,
              "decision at 5,000 upstreams over that at 150, 1,000 objects",
              c[4].decision / c[0].decision, "ranking all", "<= 1.5",
              c[4].decision <= 1.5 * c[0].decision);
    bench_row(&b,
              "decision at 5,000 upstreams over that at 150, 8,000 objects",
              c[5].decision / c[1].decision, "ranking all", "<= 1.5",
              c[5].decision <= 1.5 * c[1].decision);
    bench_row(&b, "former change over present one, 1,173 upstreams",
              l.baseline_change / l.change, "354fdfe", ">= 20",
              l.baseline_change >= 20 * l.change);
    return bench_end(&b);
}
