/* adm - admission of one service: queue by rank and deadline.  See adm.h. */
#include "adm.h"

#include <math.h>

#include <glib.h>

#include "inv.h"

/* A waiting rank earns FLOOR_MARGIN times its floor, so that its share
 * settles above the floor and not just under it. */
#define FLOOR_MARGIN 1.05

/* Part of the window for which a rank may earn or be in debt.  A longer memory
 * would let the slots that a rank used in quiet times count against its floor
 * when a flood begins. */
#define EARNED_PART 0.1

/* A rank that was idle is far below its floor when its work floods in.  It
 * may catch up with at most CATCH_UP times its floor of the slots, so that
 * more urgent work does not wait for it. */
#define CATCH_UP 2.0

/*
 * Slack that is asked for on arrival, in p90 of the service time.  With just
 * one p90, a flood fills the queue with work that starts at its last moment;
 * one of ten such requests ends late, and those are the longest ones.
 */
#define ARRIVAL_SLACK 2.0

/* Slack that is asked for at the start while other work of the rank waits,
 * in p90: then it is better to start what surely ends in time. */
#define START_SLACK 1.5

/* Weight of a sample in the moving mean of a rank's service time. */
#define MEAN_WEIGHT 0.05

typedef struct RankQueue {
    GSequence *waiting; /* Entry by deadline */
    double floor;
    int busy;       /* slots in use now */
    double used;    /* slots in use, decayed mean over the window */
    double earned;  /* slot-time in us that its floor still owes it */
    double mean_us; /* service time; 0: none measured */
} RankQueue;

struct Adm {
    int n_ranks;
    int64_t window_us;
    size_t queue_max;
    size_t n_waiting;
    int64_t used_at_us;
    GHashTable *by_id; /* id to GSequenceIter */
    RankQueue ranks[RANKS_MAX];
};

static int
by_deadline(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const AdmReq *x = a;
    const AdmReq *y = b;

    (void)ctx;
    if (x->deadline_us != y->deadline_us) {
        return x->deadline_us < y->deadline_us ? -1 : 1;
    }
    return x->id < y->id ? -1 : x->id > y->id;
}

Adm *
adm_new(const AdmOpts *o)
{
    Adm *a = g_new0(Adm, 1);

    a->n_ranks = CLAMP(o->n_ranks, 1, RANKS_MAX);
    a->window_us = o->window_us > 0 ? o->window_us : 1;
    a->queue_max = o->queue_max;
    a->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (int k = 0; k < a->n_ranks; k++) {
        a->ranks[k].waiting = g_sequence_new(g_free);
        a->ranks[k].floor = o->floor[k];
    }
    return a;
}

void
adm_free(Adm *a)
{
    if (a == NULL) {
        return;
    }
    for (int k = 0; k < a->n_ranks; k++) {
        g_sequence_free(a->ranks[k].waiting);
    }
    g_hash_table_destroy(a->by_id);
    g_free(a);
}

void
adm_set_floors(Adm *a, const double *floor, int n_ranks)
{
    for (int k = 0; k < a->n_ranks && k < n_ranks; k++) {
        a->ranks[k].floor = floor[k];
    }
}

static int
rank_of(const Adm *a, const AdmReq *r)
{
    return CLAMP(r->rank, 0, a->n_ranks - 1);
}

static size_t
waiting(const Adm *a, int rank)
{
    return (size_t)g_sequence_get_length(a->ranks[rank].waiting);
}

/* The window of the floors is exponential: e-fold in window_us. */
static double
decay(const Adm *a, int64_t now_us)
{
    int64_t dt = now_us - a->used_at_us;

    return dt > 0 ? exp(-(double)dt / (double)a->window_us) : 1.0;
}

static double
used_now(const Adm *a, int rank, int64_t now_us)
{
    double d = decay(a, now_us);

    return a->ranks[rank].used * d + a->ranks[rank].busy * (1.0 - d);
}

static int
busy_all(const Adm *a)
{
    int n = 0;

    for (int k = 0; k < a->n_ranks; k++) {
        n += a->ranks[k].busy;
    }
    return n;
}

/* A rank earns its floor while it waits and pays for the slots it uses. */
static void
earn(Adm *a, int rank, int all, int64_t dt)
{
    RankQueue *q = &a->ranks[rank];
    double due = q->floor * all;
    double most = EARNED_PART * (double)a->window_us * fmax(due, 1.0);

    if (waiting(a, rank) > 0) {
        q->earned += FLOOR_MARGIN * due * (double)dt;
    }
    q->earned -= (double)q->busy * (double)dt;
    q->earned = CLAMP(q->earned, -most, most);
}

static void
account(Adm *a, int64_t now_us)
{
    int64_t dt = now_us - a->used_at_us;
    double d = decay(a, now_us);
    int all = busy_all(a);

    if (dt <= 0) {
        return;
    }
    for (int k = 0; k < a->n_ranks; k++) {
        RankQueue *q = &a->ranks[k];

        q->used = q->used * d + q->busy * (1.0 - d);
        earn(a, k, all, dt);
    }
    a->used_at_us = now_us;
}

static void
insert(Adm *a, const AdmReq *r)
{
    AdmReq *e = g_new(AdmReq, 1);
    GSequenceIter *it;

    *e = *r;
    it = g_sequence_insert_sorted(a->ranks[rank_of(a, r)].waiting, e,
                                  by_deadline, NULL);
    g_hash_table_insert(a->by_id, &e->id, it);
    a->n_waiting++;
}

static void
take_out(Adm *a, GSequenceIter *it, AdmReq *out)
{
    AdmReq *e = g_sequence_get(it);

    *out = *e;
    g_hash_table_remove(a->by_id, &out->id);
    g_sequence_remove(it);
    a->n_waiting--;
}

/* Slots that a rank can count on: what more urgent ranks leave over, less the
 * floors that less urgent ranks use, and never less than its own floor. */
static double
slots_for(const Adm *a, int rank, const AdmLoad *l, int64_t now_us)
{
    double n = l->usable;

    for (int k = 0; k < a->n_ranks; k++) {
        double used = used_now(a, k, now_us);

        if (k < rank) {
            n -= used;
        }
        else if (k > rank) {
            n -= fmin(used, a->ranks[k].floor * l->usable);
        }
    }
    return fmax(n, fmax(a->ranks[rank].floor * l->usable, 0.05));
}

/* Predicted wait of a request: the work of its rank with earlier deadlines,
 * at the speed of the slots that its rank can count on. */
static double
predicted_wait_us(const Adm *a, const AdmReq *r, const AdmLoad *l,
                  int64_t now_us)
{
    int rank = rank_of(a, r);
    const RankQueue *q = &a->ranks[rank];
    double mean = q->mean_us > 0 ? q->mean_us : (double)l->service_us;
    GSequenceIter *it =
        g_sequence_search(q->waiting, (gpointer)r, by_deadline, NULL);
    int ahead = g_sequence_iter_get_position(it);

    if (ahead == 0 && busy_all(a) < l->usable) {
        return 0;
    }
    return (ahead + 1) * mean / slots_for(a, rank, l, now_us);
}

/* With nothing running there is no new measurement, so that an estimate that
 * is too high could refuse all work for ever: one request may run. */
static bool
may_measure(const Adm *a)
{
    return busy_all(a) == 0;
}

static AdmReason
judge(const Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us)
{
    if (r->deadline_us <= now_us) {
        return ADM_LATE;
    }
    if (l->usable <= 0) {
        return ADM_NO_CAPACITY;
    }
    if (may_measure(a) && a->n_waiting == 0) {
        return ADM_OK;
    }
    double left = (double)(r->deadline_us - now_us);
    double wait = predicted_wait_us(a, r, l, now_us);
    double slack = wait > 0 ? ARRIVAL_SLACK : 1.0;

    if (wait + slack * (double)l->service_p90_us > left) {
        return ADM_NO_TIME;
    }
    return ADM_OK;
}

/* Whether a rank holds more than n of its floor's part of the queue. */
static bool
over_part(const Adm *a, int rank, size_t n)
{
    return (double)n > a->ranks[rank].floor * (double)a->queue_max;
}

static GSequenceIter *
latest(const Adm *a, int rank)
{
    GSequence *q = a->ranks[rank].waiting;

    return g_sequence_iter_prev(g_sequence_get_end_iter(q));
}

/*
 * Queue place to free for a request: the latest deadline of the least urgent
 * rank that holds more than its floor's part of the queue.  A rank that is
 * within its part may take from any other.  NULL: none.
 */
static GSequenceIter *
victim(const Adm *a, const AdmReq *r)
{
    int own = rank_of(a, r);
    bool over = over_part(a, own, waiting(a, own) + 1);

    for (int k = a->n_ranks - 1; k >= (over ? own : 0); k--) {
        if (k != own && over_part(a, k, waiting(a, k))) {
            return latest(a, k);
        }
    }
    if (waiting(a, own) > 0 &&
        by_deadline(r, g_sequence_get(latest(a, own)), NULL) < 0) {
        return latest(a, own);
    }
    return NULL;
}

AdmReason
adm_offer(Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us,
          AdmReq *evicted, bool *has_evicted)
{
    *has_evicted = false;
    account(a, now_us);
    AdmReason why = judge(a, r, l, now_us);

    if (why != ADM_OK) {
        return why;
    }
    if (a->n_waiting >= a->queue_max) {
        GSequenceIter *it = victim(a, r);

        if (it == NULL) {
            return ADM_QUEUE_FULL;
        }
        take_out(a, it, evicted);
        *has_evicted = true;
    }
    insert(a, r);
    return ADM_OK;
}

/* Takes the earliest request of a rank that can still finish in time. */
static bool
next_of_rank(Adm *a, int rank, const AdmLoad *l, bool skip_alone,
             int64_t now_us, AdmDrop drop, void *ctx, AdmReq *out)
{
    GSequenceIter *it = g_sequence_get_begin_iter(a->ranks[rank].waiting);

    while (!g_sequence_iter_is_end(it)) {
        const AdmReq *r = g_sequence_get(it);
        GSequenceIter *next = g_sequence_iter_next(it);
        bool late = r->deadline_us <= now_us;
        double slack = g_sequence_iter_is_end(next) ? 1.0 : START_SLACK;
        bool fits = slack * (double)l->service_p90_us <=
                    (double)(r->deadline_us - now_us);
        bool viable = !late && (fits || may_measure(a));

        if (viable && skip_alone && r->alone) {
            it = next;
            continue;
        }
        take_out(a, it, out);
        if (viable) {
            return true;
        }
        drop(ctx, out, late ? ADM_LATE : ADM_NO_TIME);
        it = next;
    }
    return false;
}

/* Below its floor and not yet catching up with as many slots as it may. */
static bool
owed(const Adm *a, int rank, const AdmLoad *l, const bool *tried)
{
    const RankQueue *q = &a->ranks[rank];
    double most = fmax(1.0, ceil(CATCH_UP * q->floor * l->usable));

    return !tried[rank] && q->floor > 0 && waiting(a, rank) > 0 &&
           q->busy < most && q->earned > 0;
}

/* Rank that its floor owes the most time, or -1. */
static int
most_owed(const Adm *a, const AdmLoad *l, const bool *tried)
{
    int best = -1;

    for (int k = 0; k < a->n_ranks; k++) {
        if (owed(a, k, l, tried) &&
            (best < 0 || a->ranks[k].earned / a->ranks[k].floor >
                             a->ranks[best].earned / a->ranks[best].floor)) {
            best = k;
        }
    }
    return best;
}

bool
adm_next(Adm *a, const AdmLoad *l, bool skip_alone, int64_t now_us,
         AdmDrop drop, void *ctx, AdmReq *out)
{
    bool tried[RANKS_MAX] = {false};
    int k;

    if (l->usable <= 0 || a->n_waiting == 0) {
        return false;
    }
    account(a, now_us);
    while ((k = most_owed(a, l, tried)) >= 0) {
        if (next_of_rank(a, k, l, skip_alone, now_us, drop, ctx, out)) {
            return true;
        }
        tried[k] = true;
    }
    for (k = 0; k < a->n_ranks; k++) {
        if (!tried[k] &&
            next_of_rank(a, k, l, skip_alone, now_us, drop, ctx, out)) {
            return true;
        }
    }
    return false;
}

void
adm_requeue(Adm *a, const AdmReq *r)
{
    if (!g_hash_table_contains(a->by_id, &r->id)) {
        insert(a, r);
    }
}

bool
adm_cancel(Adm *a, uint64_t id)
{
    GSequenceIter *it = g_hash_table_lookup(a->by_id, &id);
    AdmReq gone;

    if (it == NULL) {
        return false;
    }
    take_out(a, it, &gone);
    return true;
}

void
adm_started(Adm *a, int rank, int64_t now_us)
{
    account(a, now_us);
    a->ranks[CLAMP(rank, 0, a->n_ranks - 1)].busy++;
}

void
adm_ended(Adm *a, int rank, int64_t service_us, int64_t now_us)
{
    RankQueue *q = &a->ranks[CLAMP(rank, 0, a->n_ranks - 1)];

    INV("adm_busy", q->busy > 0, "rank %d ends work that was not started",
        rank);
    if (q->busy <= 0) {
        return;
    }
    account(a, now_us);
    q->busy--;
    if (service_us > 0) {
        q->mean_us = q->mean_us > 0
                         ? q->mean_us + MEAN_WEIGHT * (service_us - q->mean_us)
                         : (double)service_us;
    }
}

size_t
adm_waiting(const Adm *a, int rank)
{
    return rank >= 0 && rank < a->n_ranks ? waiting(a, rank) : 0;
}

double
adm_share(const Adm *a, int rank, int64_t now_us)
{
    double all = 0;

    for (int k = 0; k < a->n_ranks; k++) {
        all += used_now(a, k, now_us);
    }
    return all > 0 ? used_now(a, rank, now_us) / all : 0;
}

const char *
adm_reason_name(AdmReason r)
{
    static const char *const names[] = {
        "ok", "late", "no-time", "no-capacity", "queue-full", "evicted"};

    return names[r];
}
