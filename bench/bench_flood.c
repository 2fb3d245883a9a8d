/*
 * bench_flood - service by rank while one rank floods in at 10 times the
 * capacity, beside FIFO and strict priority.
 *
 * One owner VM of one zone per service: its part of the targets, real slot and
 * adm modules.  Work that runs past its deadline is cancelled at the deadline;
 * its slot-time is lost.
 */
#include "bench.h"

#define FLOOD_FROM (10 * SECOND)
#define FLOOD_TO (50 * SECOND)
#define RUN_TO (60 * SECOND)
#define SETTLE (2 * SECOND) /* until shares are counted */
#define FLOOD 10.0          /* times the capacity */
#define QUEUE 4096

typedef enum Policy { OURS, FIFO, STRICT, N_POLICIES } Policy;
static const char *const policy_names[] = {"ours", "fifo", "strict"};

static const double floors[N_RANKS] = {0.3, 0.2, 0.1};
static const int64_t deadlines[N_RANKS] = {1 * SECOND, 3 * SECOND,
                                           10 * SECOND};
/* Load of each rank, in parts of the capacity, without the flood. */
static const double base[N_RANKS] = {0.4, 0.3, 0.2};

typedef struct Work {
    AdmReq req;
    int target;
    int64_t begun_us;
    int64_t need_us;
} Work;

typedef struct Run {
    Policy policy;
    const BenchService *s;
    int slots;
    int flood_rank;
    GRand *rnd;
    Events ev;
    Adm *adm;
    SlotSet *set;
    GQueue fifo[N_RANKS]; /* AdmReq; FIFO uses the first only */
    size_t queued;
    uint64_t id;
    FILE *data;
    /* Counted during the flood, once settled. */
    double good_us[N_RANKS];
    double lost_us;
    uint64_t arrived[N_RANKS];
    uint64_t in_time[N_RANKS];
    double second_us[N_RANKS]; /* slot-time of the present second */
} Run;

enum { ARRIVE, FLOOD_IN, END, TICK };

static bool
counted(int64_t at)
{
    return at >= FLOOD_FROM + SETTLE && at < FLOOD_TO;
}

/* Requests a second that keep a part of the slots busy. */
static double
rate(const Run *r, double part)
{
    return part * r->slots / ((double)r->s->service_us / 1e6);
}

static AdmLoad
load_of(const Run *r, int64_t now)
{
    return (AdmLoad){slot_usable(r->set, now), slot_service_mean_us(r->set),
                     slot_service_p90_us(r->set)};
}

static void
on_drop(void *ctx, const AdmReq *q, AdmReason why)
{
    (void)ctx;
    (void)q;
    (void)why;
}

static void
offer(Run *r, const AdmReq *q, int64_t now)
{
    AdmLoad l = load_of(r, now);
    AdmReq evicted;
    bool has;

    if (r->policy == OURS) {
        adm_offer(r->adm, q, &l, now, &evicted, &has);
        return;
    }
    if (r->queued >= QUEUE) {
        int low = N_RANKS - 1;

        /* Strict priority evicts the newest request of a lower rank. */
        while (low > q->rank && g_queue_is_empty(&r->fifo[low])) {
            low--;
        }
        if (r->policy == FIFO || low == q->rank) {
            return;
        }
        g_free(g_queue_pop_tail(&r->fifo[low]));
        r->queued--;
    }
    AdmReq *copy = g_new(AdmReq, 1);

    *copy = *q;
    g_queue_push_tail(&r->fifo[r->policy == FIFO ? 0 : q->rank], copy);
    r->queued++;
}

/* Both baselines drop work only once its deadline has passed. */
static bool
next_baseline(Run *r, int64_t now, AdmReq *out)
{
    for (int k = 0; k < N_RANKS; k++) {
        AdmReq *q;

        while ((q = g_queue_pop_head(&r->fifo[k])) != NULL) {
            *out = *q;
            g_free(q);
            r->queued--;
            if (out->deadline_us > now) {
                return true;
            }
        }
    }
    return false;
}

static void
start_work(Run *r, int64_t now)
{
    SlotRequest ask = {-1, false};
    SlotReason why;
    AdmReq q;

    while (slot_free(r->set, now) > 0) {
        AdmLoad l = load_of(r, now);

        if (r->policy == OURS
                ? !adm_next(r->adm, &l, false, now, on_drop, NULL, &q)
                : !next_baseline(r, now, &q)) {
            return;
        }
        Work *w = g_new(Work, 1);

        w->req = q;
        w->target = slot_pick(r->set, &ask, r->rnd, now, &why);
        w->begun_us = now;
        w->need_us = draw_service_us(r->rnd, (double)r->s->service_us);
        slot_begin(r->set, w->target, false, now);
        adm_started(r->adm, q.rank, now);
        events_add(&r->ev, MIN(now + w->need_us, q.deadline_us), END, 0, w);
    }
}

static void
count_slot_time(Run *r, const Work *w, int64_t now, bool good)
{
    int64_t from = MAX(w->begun_us, FLOOD_FROM + SETTLE);
    int64_t to = MIN(now, FLOOD_TO);

    r->second_us[w->req.rank] += (double)(now - w->begun_us);
    if (to <= from) {
        return;
    }
    if (good) {
        r->good_us[w->req.rank] += (double)(to - from);
    }
    else {
        r->lost_us += (double)(to - from);
    }
}

static void
end_work(Run *r, Work *w, int64_t now)
{
    bool good = w->begun_us + w->need_us <= w->req.deadline_us;
    SlotEnd how = SLOT_END_OK;

    if (!good) {
        how = r->policy == OURS ? SLOT_END_TIMEOUT : SLOT_END_CANCELLED;
    }
    count_slot_time(r, w, now, good);
    r->in_time[w->req.rank] += good && counted(w->req.arrival_us);
    slot_end(r->set, w->target, how, now - w->begun_us, now);
    adm_ended(r->adm, w->req.rank, now - w->begun_us, now);
    g_free(w);
}

static void
arrive(Run *r, int kind, int rank, int64_t now)
{
    AdmReq q = {.id = ++r->id,
                .rank = rank,
                .deadline_us = now + deadlines[rank],
                .arrival_us = now,
                .avoid = -1};
    double part = kind == ARRIVE ? base[rank] : FLOOD;

    if (kind == FLOOD_IN && now >= FLOOD_TO) {
        return;
    }
    r->arrived[rank] += counted(now);
    offer(r, &q, now);
    events_add(&r->ev, now + draw_gap_us(r->rnd, rate(r, part)), kind, rank,
               NULL);
}

static void
tick(Run *r, int64_t now)
{
    fprintf(r->data, "%.0f", (double)now / 1e6);
    for (int k = 0; k < N_RANKS; k++) {
        fprintf(r->data, " %.4f", r->second_us[k] / 1e6 / r->slots);
        r->second_us[k] = 0;
    }
    fprintf(r->data, "\n");
    events_add(&r->ev, now + SECOND, TICK, 0, NULL);
}

static void
run_begin(Run *r, Policy p, const BenchService *s, int flood_rank,
          uint32_t seed)
{
    AdmOpts ao = {.n_ranks = N_RANKS,
                  .floor = {floors[0], floors[1], floors[2]},
                  .window_us = 1 * SECOND, /* as in mimosa-entry */
                  .queue_max = QUEUE};
    SlotOpts so = {.warmup_us = 0, .service_us = s->service_us};
    int n = (s->targets + N_ZONES - 1) / N_ZONES;
    char name[128];

    memset(r, 0, sizeof(*r));
    r->policy = p;
    r->s = s;
    r->slots = n * s->slots;
    r->flood_rank = flood_rank;
    r->rnd = g_rand_new_with_seed(seed);
    r->adm = adm_new(&ao);
    r->set = slot_set_new(&so);
    events_init(&r->ev);
    for (int i = 0; i < n; i++) {
        slot_declare(r->set, i, s->slots, s->connections, s->slots, false, 0);
    }
    for (int k = 0; k < N_RANKS; k++) {
        g_queue_init(&r->fifo[k]);
        events_add(&r->ev, draw_gap_us(r->rnd, rate(r, base[k])), ARRIVE, k,
                   NULL);
    }
    events_add(&r->ev, FLOOD_FROM, FLOOD_IN, flood_rank, NULL);
    snprintf(name, sizeof(name), "flood_%s_%s_rank%d", s->name,
             policy_names[p], flood_rank);
    r->data = bench_data(name);
    events_add(&r->ev, SECOND, TICK, 0, NULL);
}

static void
run_free(Run *r)
{
    Event e;

    while (events_next(&r->ev, &e)) {
        g_free(e.p);
    }
    for (int k = 0; k < N_RANKS; k++) {
        g_queue_clear_full(&r->fifo[k], g_free);
    }
    g_array_free(r->ev.heap, TRUE);
    adm_free(r->adm);
    slot_set_free(r->set);
    g_rand_free(r->rnd);
    fclose(r->data);
}

static void
run(Run *r, Policy p, const BenchService *s, int flood_rank, uint32_t seed)
{
    Event e;

    run_begin(r, p, s, flood_rank, seed);
    while (events_next(&r->ev, &e) && e.at_us < RUN_TO) {
        if (e.kind == ARRIVE || e.kind == FLOOD_IN) {
            arrive(r, e.kind, e.a, e.at_us);
        }
        else if (e.kind == END) {
            end_work(r, e.p, e.at_us);
        }
        else {
            tick(r, e.at_us);
        }
        start_work(r, e.at_us);
    }
    run_free(r);
}

static double
in_time(const Run *r, int rank)
{
    return (double)r->in_time[rank] / (double)MAX(r->arrived[rank], 1);
}

static double
goodput(const Run *r)
{
    double us = 0;

    for (int k = 0; k < N_RANKS; k++) {
        us += r->good_us[k];
    }
    return us / (double)(FLOOD_TO - FLOOD_FROM - SETTLE) / r->slots;
}

/* Least share of slot-time of a rank, over its floor. */
static double
floor_kept(const Run *r)
{

    double least = INFINITY;

    for (int k = 0; k < N_RANKS; k++) {
        double share = r->good_us[k] /
                       (double)(FLOOD_TO - FLOOD_FROM - SETTLE) / r->slots;

        least = fmin(least, share / floors[k]);
    }
    return least;
}

static void
row(Bench *b, const BenchService *s, const char *what, double value,
    double fifo, double strict, double target)
{
    char name[128];
    char base_text[64];
    char target_text[32];

    snprintf(name, sizeof(name), "flood.%s.%s", s->name, what);
    snprintf(base_text, sizeof(base_text), "fifo:%.4g,strict:%.4g", fifo,
             strict);
    snprintf(target_text, sizeof(target_text), ">=%g", target);
    bench_row(b, name, value, base_text, target_text, value >= target);
}

static void
measure(Bench *b, const BenchService *s, uint32_t seed)
{
    Run low[N_POLICIES];
    Run high[N_POLICIES];

    for (int p = 0; p < N_POLICIES; p++) {
        run(&low[p], (Policy)p, s, N_RANKS - 1, seed);
        run(&high[p], (Policy)p, s, 0, seed);
    }
    row(b, s, "low.urgent_in_time", in_time(&low[OURS], 0),
        in_time(&low[FIFO], 0), in_time(&low[STRICT], 0), 0.999);
    row(b, s, "low.goodput", goodput(&low[OURS]), goodput(&low[FIFO]),
        goodput(&low[STRICT]), 0.95);
    row(b, s, "low.floor_kept", floor_kept(&low[OURS]), floor_kept(&low[FIFO]),
        floor_kept(&low[STRICT]), 1);
    row(b, s, "high.goodput", goodput(&high[OURS]), goodput(&high[FIFO]),
        goodput(&high[STRICT]), 0.95);
    row(b, s, "high.floor_kept", floor_kept(&high[OURS]),
        floor_kept(&high[FIFO]), floor_kept(&high[STRICT]), 1);
}

int
main(int argc, char **argv)
{
    uint32_t seed = bench_seed(argc, argv);
    Bench b = {0};

    for (int i = 0; i < N_SERVICES; i++) {
        measure(&b, &bench_services[i], seed + (uint32_t)i);
    }
    return bench_end(&b);
}
