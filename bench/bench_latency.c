/*
 * bench_latency - latency of picked targets beside an oracle that knows the
 * true load, at 80 % load.
 *
 * One owner VM of one zone per service, real slot, health, adm and retry
 * modules.  Targets start cold, get slow, shed load beyond what they bear,
 * and their reports lag or mislead.  The oracle sees the true speed and load
 * of each target; round robin knows nothing.
 */
#include "bench.h"

#define RUN_FOR (240 * SECOND)
#define WARMUP (10 * SECOND)
#define COLD 3.0 /* times slower at the start, falling over the warm-up */
#define SLOW 2.0 /* times slower while slow */
#define LOAD 0.8
#define DEADLINE (3 * SECOND)
#define REPORT_LAG (2 * SECOND)
#define TARGETS 4

/* BOUND is an oracle that obeys the operator's warm-up, as we have to. */
typedef enum Policy { OURS, ORACLE, BOUND, ROBIN, N_POLICIES } Policy;

typedef enum Trouble {
    STEADY,
    LAGGING,
    COLD_START,
    SLOWER,
    SHEDDING,
    MIXED
} Trouble;
static const char *const trouble_names[] = {"steady",      "lagging_reports",
                                            "cold_starts", "slow_targets",
                                            "shedding",    "all_troubles"};

/* The truth of a target. */
typedef struct Truth {
    int out;
    int bears; /* sheds above that many */
    double slow;
    int64_t cold_since_us; /* -1: warm */
} Truth;

typedef struct Work {
    AdmReq req;
    int target;
    int64_t begun_us;
    int64_t first_us; /* first start */
    SlotEnd how;
} Work;

typedef struct Run {
    Policy policy;
    Trouble trouble;
    const BenchService *s;
    GRand *rnd;
    GRand *world; /* troubles and arrivals: the same for each policy */
    Events ev;
    Adm *adm;
    SlotSet *set;
    Retry retry;
    Truth truth[TARGETS];
    int n;
    int turn;
    uint64_t id;
    uint64_t missed; /* refused, shed or late */
    GArray *latency; /* double, ms */
} Run;

enum { ARRIVE, END, REPORT, CHANGE };

static double
slowness(const Truth *t, int64_t now)
{
    double cold = 1;

    if (t->cold_since_us >= 0 && now - t->cold_since_us < WARMUP) {
        cold = COLD - (COLD - 1) * (double)(now - t->cold_since_us) / WARMUP;
    }
    return cold * t->slow;
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
    Run *r = ctx;

    (void)q;
    (void)why;
    r->missed++;
}

static int
limit(const Run *r, const Truth *t, int64_t now)
{
    int n = MIN(t->bears, r->s->slots);
    int64_t age = now - t->cold_since_us;

    if (r->policy == BOUND && t->cold_since_us >= 0 && age < WARMUP) {
        n = MIN(n, 1 + (int)((r->s->slots - 1) * age / WARMUP));
    }
    return n;
}

/* The oracle takes the fastest target that has true room. */
static int
pick_oracle(const Run *r, int64_t now)
{
    int best = -1;
    double least = INFINITY;

    for (int i = 0; i < r->n; i++) {
        const Truth *t = &r->truth[i];

        if (t->out < limit(r, t, now) && slowness(t, now) < least) {
            least = slowness(t, now);
            best = i;
        }
    }
    return best;
}

static int
pick_robin(Run *r)
{
    for (int i = 0; i < r->n; i++) {
        int t = r->turn++ % r->n;

        if (r->truth[t].out < r->s->slots) {
            return t;
        }
    }
    return -1;
}

static int
pick(Run *r, int avoid, int64_t now)
{
    SlotRequest ask = {avoid, false};
    SlotReason why;

    if (r->policy == ORACLE || r->policy == BOUND) {
        return pick_oracle(r, now);
    }
    if (r->policy == ROBIN) {
        return pick_robin(r);
    }
    return slot_pick(r->set, &ask, r->rnd, now, &why);
}

static void
send_work(Run *r, Work *w, int64_t now)
{
    Truth *t = &r->truth[w->target];
    int64_t took =
        draw_service_us(r->rnd, (double)r->s->service_us * slowness(t, now));

    w->begun_us = now;
    w->how = SLOT_END_OK;
    t->out++;
    if (t->out > t->bears) {
        w->how = SLOT_END_SHED;
        took = MS;
    }
    else if (now + took > w->req.deadline_us) {
        w->how = SLOT_END_TIMEOUT;
        took = w->req.deadline_us - now;
    }
    if (r->policy == OURS) {
        slot_begin(r->set, w->target, false, now);
    }
    adm_started(r->adm, 0, now);
    events_add(&r->ev, now + MAX(took, 1), END, 0, w);
}

static void
start_work(Run *r, int64_t now)
{
    AdmReq q;

    for (;;) {
        AdmLoad l = load_of(r, now);

        if (r->policy != OURS) {
            l.usable = r->n * r->s->slots;
        }
        int t = pick(r, -1, now);

        if (t < 0 || !adm_next(r->adm, &l, false, now, on_drop, r, &q)) {
            return;
        }
        Work *w = g_new0(Work, 1);

        w->req = q;
        w->target = t;
        w->first_us = now;
        send_work(r, w, now);
    }
}

static AttemptEnd
attempt_end(SlotEnd how)
{
    return how == SLOT_END_SHED      ? ATTEMPT_SHED
           : how == SLOT_END_TIMEOUT ? ATTEMPT_TIMEOUT
                                     : ATTEMPT_ANSWERED;
}

static void
end_work(Run *r, Work *w, int64_t now)
{
    int was = w->target;

    r->truth[was].out--;
    if (r->policy == OURS) {
        slot_end(r->set, was, w->how, now - w->begun_us, now);
    }
    adm_ended(r->adm, 0, w->how == SLOT_END_OK ? now - w->begun_us : 0, now);
    RetryAct act =
        retry_decide(&r->retry, MF_IDEMPOTENT, attempt_end(w->how), false,
                     w->req.deadline_us, r->s->service_us, now);

    if (act == RETRY_RESEND) {
        w->target = pick(r, was, now);
        if (w->target >= 0) {
            send_work(r, w, now);
            return;
        }
        adm_requeue(r->adm, &w->req);
        g_free(w);
        return;
    }
    if (act == RETRY_PASS) {
        double ms = (double)(now - w->req.arrival_us) / 1e3;

        g_array_append_val(r->latency, ms);
    }
    else {
        r->missed++;
    }
    g_free(w);
}

static void
arrive(Run *r, int64_t now)
{
    AdmReq q = {.id = ++r->id,
                .deadline_us = now + DEADLINE,
                .arrival_us = now,
                .avoid = -1};
    AdmLoad l = load_of(r, now);
    AdmReq evicted;
    bool has;

    if (r->policy != OURS) {
        l.usable = r->n * r->s->slots;
    }
    retry_add_tokens(&r->retry);
    r->missed += adm_offer(r->adm, &q, &l, now, &evicted, &has) != ADM_OK;
    events_add(&r->ev,
               now +
                   draw_gap_us(r->world, LOAD * r->n * r->s->slots /
                                             ((double)r->s->service_us / 1e6)),
               ARRIVE, 0, NULL);
}

/* Reports tell of the load some time ago; those of target 0 always claim that
 * it is idle, those of target 1 that it is busy. */
static void
report(Run *r, int64_t now)
{
    for (int i = 0; i < r->n && r->trouble != STEADY; i++) {
        int busy = i == 0 ? 0 : (i == 1 ? r->s->slots : r->truth[i].out);
        HealthReport h = {.reported = REPORTED_READY,
                          .load = (double)busy / r->s->slots,
                          .slots_busy = busy,
                          .at_us = now - REPORT_LAG};

        slot_report(r->set, i, &h, now);
    }
    events_add(&r->ev, now + SECOND, REPORT, 0, NULL);
}

/* One target at a time is in trouble for 10 s, then 10 s of quiet. */
static void
change(Run *r, int64_t now)
{
    int64_t phase = now / (10 * SECOND);

    for (int i = 0; i < r->n; i++) {
        r->truth[i].bears = r->s->slots;
        r->truth[i].slow = 1;
    }
    events_add(&r->ev, now + 10 * SECOND, CHANGE, 0, NULL);
    int kind = g_rand_int_range(r->world, 0, 3);
    Truth *t = &r->truth[g_rand_int_range(r->world, 0, r->n)];

    if (r->trouble < COLD_START || phase % 2 == 0) {
        return;
    }
    if (r->trouble != MIXED) {
        kind = r->trouble - COLD_START;
    }
    if (kind == 0) {
        HealthReport h = {.reported = REPORTED_STARTING, .at_us = now};

        t->cold_since_us = now;
        slot_report(r->set, (int)(t - r->truth), &h, now);
    }
    else if (kind == 1) {
        t->slow = SLOW;
    }
    else {
        t->bears = (2 * r->s->slots + 2) / 3;
    }
}

static void
run(Run *r, Policy p, Trouble trouble, const BenchService *s, uint32_t seed)
{
    AdmOpts ao = {.n_ranks = 1, .window_us = SECOND, .queue_max = 4096};
    SlotOpts so = {.warmup_us = WARMUP, .service_us = s->service_us};
    Event e;

    memset(r, 0, sizeof(*r));
    r->policy = p;
    r->trouble = trouble;
    r->s = s;
    r->n = MIN((s->targets + N_ZONES - 1) / N_ZONES, TARGETS);
    r->rnd = g_rand_new_with_seed(seed);
    r->world = g_rand_new_with_seed(seed + 1000);
    r->adm = adm_new(&ao);
    r->set = slot_set_new(&so);
    r->latency = g_array_new(FALSE, FALSE, sizeof(double));
    retry_init(&r->retry, 0.1);
    events_init(&r->ev);
    for (int i = 0; i < r->n; i++) {
        r->truth[i] = (Truth){0, s->slots, 1, -1};
        slot_declare(r->set, i, s->slots, s->connections, s->slots, false, 0);
    }
    events_add(&r->ev, 0, CHANGE, 0, NULL);
    events_add(&r->ev, 0, REPORT, 0, NULL);
    events_add(&r->ev, 1, ARRIVE, 0, NULL);
    while (events_next(&r->ev, &e) && e.at_us < RUN_FOR) {
        switch (e.kind) {
        case ARRIVE:
            arrive(r, e.at_us);
            break;
        case END:
            end_work(r, e.p, e.at_us);
            break;
        case REPORT:
            report(r, e.at_us);
            break;
        default:
            change(r, e.at_us);
            break;
        }
        start_work(r, e.at_us);
    }
    while (events_next(&r->ev, &e)) {
        g_free(e.p);
    }
}

static void
run_free(Run *r)
{
    g_array_free(r->latency, TRUE);
    g_array_free(r->ev.heap, TRUE);
    adm_free(r->adm);
    slot_set_free(r->set);
    g_rand_free(r->rnd);
    g_rand_free(r->world);
}

static double
missed_part(const Run *r)
{
    return (double)r->missed / (double)MAX(r->id, 1);
}

static void
measure(Bench *b, const BenchService *s, Trouble trouble, uint32_t seed,
        FILE *data)
{
    static const double points[] = {0.5, 0.99};
    Run r[N_POLICIES];
    char name[128];
    char base[64];

    for (int p = 0; p < N_POLICIES; p++) {
        run(&r[p], (Policy)p, trouble, s, seed);
    }
    for (int i = 0; i < 2; i++) {
        double ms[N_POLICIES];
        bool bound = i == 1;

        for (int p = 0; p < N_POLICIES; p++) {
            ms[p] = bench_percentile(r[p].latency, points[i]);
            fprintf(data, "%.3f ", ms[p]);
        }
        snprintf(name, sizeof(name), "latency.%s.%s.p%.0f_over_oracle",
                 s->name, trouble_names[trouble], points[i] * 100);
        snprintf(base, sizeof(base), "round-robin:%.3g,oracle-ms:%.3g",
                 ms[ROBIN] / ms[ORACLE], ms[ORACLE]);
        /* The target speaks of p99; p50 is shown beside it. */
        bench_row(b, name, ms[OURS] / ms[ORACLE], base,
                  bound ? "<=1.3" : "none",
                  !bound || ms[OURS] / ms[ORACLE] <= 1.3);
    }
    double bound99 = bench_percentile(r[BOUND].latency, 0.99);

    snprintf(name, sizeof(name), "latency.%s.%s.p99_over_warmup_oracle",
             s->name, trouble_names[trouble]);
    snprintf(base, sizeof(base), "oracle-ms:%.3g", bound99);
    bench_row(b, name, bench_percentile(r[OURS].latency, 0.99) / bound99, base,
              "<=1.3",
              bench_percentile(r[OURS].latency, 0.99) / bound99 <= 1.3);
    fprintf(data, "%s/%s\n", s->name, trouble_names[trouble]);
    snprintf(name, sizeof(name), "latency.%s.%s.not_served", s->name,
             trouble_names[trouble]);
    snprintf(base, sizeof(base), "round-robin:%.3g,oracle:%.3g",
             missed_part(&r[ROBIN]), missed_part(&r[ORACLE]));
    bench_row(b, name, missed_part(&r[OURS]), base, "none", true);
    for (int p = 0; p < N_POLICIES; p++) {
        run_free(&r[p]);
    }
}

int
main(int argc, char **argv)
{
    uint32_t seed = bench_seed(argc, argv);
    FILE *data = bench_data("latency");
    Bench b = {0};

    for (int i = 0; i < N_SERVICES; i++) {
        for (int k = STEADY; k <= MIXED; k++) {
            measure(&b, &bench_services[i], (Trouble)k, seed + (uint32_t)i,
                    data);
        }
    }
    fclose(data);
    return bench_end(&b);
}
