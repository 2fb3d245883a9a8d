/* adm - admission control of one service.  See adm.h. */
#include "adm.h"

#include <math.h>

#include <glib.h>

#include "inv.h"

/* A rank with queued requests gains credit at FLOOR_MARGIN times its floor.
 * The margin makes its share settle above the floor instead of just below. */
#define FLOOR_MARGIN 1.05

/* Bound of a rank's credit or debt, as a fraction of the window.  With a
 * larger bound, slots that a rank used under low load would count against its
 * floor when an overload begins. */
#define CREDIT_MAX_FRACTION 0.1

/* A rank that was idle is far below its floor when a burst of its requests
 * arrives.  While it catches up it may use at most CATCH_UP_FACTOR times its
 * floor of the slots, so that it does not delay more urgent ranks. */
#define CATCH_UP_FACTOR 2.0

/*
 * Time that must remain after the predicted wait of a new request, as a
 * multiple of the p90 of the service time.  With 1.0, an overload fills the
 * queue with requests that start at the last moment; one in ten of them, the
 * longest ones, misses its deadline.
 */
#define ARRIVAL_SLACK 2.0

/* Time that must remain at the start of a request while others of its rank are
 * queued, as a multiple of the p90 of the service time.  The slot is better
 * used by a request that is more likely to finish in time. */
#define START_SLACK 1.5

/* Weight of a sample in the moving average of a rank's service time. */
#define MEAN_WEIGHT 0.05

typedef struct RankQueue {
    GSequence *waiting; /* AdmReq, ordered by deadline */
    double floor;
    int busy;       /* slots in use */
    double used;    /* slots in use, exponential mean over the window */
    double credit;  /* slot-us due to the rank by its floor; < 0: overused */
    double mean_us; /* mean service time; 0: not measured */
} RankQueue;

struct Adm {
    int n_ranks;
    int64_t window_us;
    size_t queue_max;
    size_t n_waiting;
    int64_t used_at_us; /* time of the last accounting */
    GHashTable *by_id;  /* request id -> GSequenceIter */
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
clamped_rank(const Adm *a, const AdmReq *r)
{
    return CLAMP(r->rank, 0, a->n_ranks - 1);
}

static size_t
waiting(const Adm *a, int rank)
{
    return (size_t)g_sequence_get_length(a->ranks[rank].waiting);
}

/* Decay factor since the last accounting.  The window of the floors is
 * exponential with the time constant window_us. */
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

/* Adds the floor of a rank to its credit while it has queued requests, and
 * subtracts the slots that it used during the last dt us. */
static void
update_credit(Adm *a, int rank, int all, int64_t dt)
{
    RankQueue *q = &a->ranks[rank];
    double floor_slots = q->floor * all;
    double limit =
        CREDIT_MAX_FRACTION * (double)a->window_us * fmax(floor_slots, 1.0);

    if (waiting(a, rank) > 0) {
        q->credit += FLOOR_MARGIN * floor_slots * (double)dt;
    }
    q->credit -= (double)q->busy * (double)dt;
    q->credit = CLAMP(q->credit, -limit, limit);
}

static void
update_usage(Adm *a, int64_t now_us)
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
        update_credit(a, k, all, dt);
    }
    a->used_at_us = now_us;
}

static void
insert(Adm *a, const AdmReq *r)
{
    AdmReq *e = g_new(AdmReq, 1);
    GSequenceIter *it;

    *e = *r;
    it = g_sequence_insert_sorted(a->ranks[clamped_rank(a, r)].waiting, e,
                                  by_deadline, NULL);
    g_hash_table_insert(a->by_id, &e->id, it);
    a->n_waiting++;
}

static void
remove_queued(Adm *a, GSequenceIter *it, AdmReq *out)
{
    AdmReq *e = g_sequence_get(it);

    *out = *e;
    g_hash_table_remove(a->by_id, &out->id);
    g_sequence_remove(it);
    a->n_waiting--;
}

/* Slots available to a rank: those not used by more urgent ranks, less what
 * less urgent ranks use within their floors, but at least its own floor.  The
 * minimum of 0.05 keeps the divisor above zero. */
static double
slots_available(const Adm *a, int rank, const AdmLoad *l, int64_t now_us)
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

/* Predicted queueing time of a request: the queued requests of its rank with
 * earlier deadlines, served by the slots available to the rank. */
static double
predicted_wait_us(const Adm *a, const AdmReq *r, const AdmLoad *l,
                  int64_t now_us)
{
    int rank = clamped_rank(a, r);
    const RankQueue *q = &a->ranks[rank];
    double mean = q->mean_us > 0 ? q->mean_us : (double)l->service_us;
    GSequenceIter *it =
        g_sequence_search(q->waiting, (gpointer)r, by_deadline, NULL);
    int ahead = g_sequence_iter_get_position(it);

    if (ahead == 0 && busy_all(a) < l->usable) {
        return 0;
    }
    return (ahead + 1) * mean / slots_available(a, rank, l, now_us);
}

/* Whether one request may run to measure the service time.  While nothing
 * runs there are no new samples, and an estimate that is too high would refuse
 * all requests for ever. */
static bool
may_measure(const Adm *a)
{
    return busy_all(a) == 0;
}

static AdmReason
check_request(const Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us)
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

/* Whether n queued requests exceed the rank's part of the queue, which is its
 * floor times the size of the queue. */
static bool
exceeds_part(const Adm *a, int rank, size_t n)
{
    return (double)n > a->ranks[rank].floor * (double)a->queue_max;
}

static GSequenceIter *
latest_deadline(const Adm *a, int rank)
{
    GSequence *q = a->ranks[rank].waiting;

    return g_sequence_iter_prev(g_sequence_get_end_iter(q));
}

/*
 * Chooses the queued request to evict for r: the latest deadline of the least
 * urgent rank that exceeds its part of the queue.  A rank within its own part
 * may evict from any rank, otherwise only from less urgent ranks.  If no other
 * rank qualifies, the latest request of r's rank is chosen when its deadline
 * is later than that of r.  Returns NULL if there is none.
 */
static GSequenceIter *
victim(const Adm *a, const AdmReq *r)
{
    int own = clamped_rank(a, r);
    bool over = exceeds_part(a, own, waiting(a, own) + 1);

    for (int k = a->n_ranks - 1; k >= (over ? own : 0); k--) {
        if (k != own && exceeds_part(a, k, waiting(a, k))) {
            return latest_deadline(a, k);
        }
    }
    if (waiting(a, own) > 0 &&
        by_deadline(r, g_sequence_get(latest_deadline(a, own)), NULL) < 0) {
        return latest_deadline(a, own);
    }
    return NULL;
}

AdmReason
adm_offer(Adm *a, const AdmReq *r, const AdmLoad *l, int64_t now_us,
          AdmReq *evicted, bool *has_evicted)
{
    *has_evicted = false;
    update_usage(a, now_us);
    AdmReason why = check_request(a, r, l, now_us);

    if (why != ADM_OK) {
        return why;
    }
    if (a->n_waiting >= a->queue_max) {
        GSequenceIter *it = victim(a, r);

        if (it == NULL) {
            return ADM_QUEUE_FULL;
        }
        remove_queued(a, it, evicted);
        *has_evicted = true;
    }
    insert(a, r);
    return ADM_OK;
}

/* Removes the earliest request of a rank that can still finish in time. */
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
        bool enough_time = slack * (double)l->service_p90_us <=
                           (double)(r->deadline_us - now_us);
        bool viable = !late && (enough_time || may_measure(a));

        if (viable && skip_alone && r->alone) {
            it = next;
            continue;
        }
        remove_queued(a, it, out);
        if (viable) {
            return true;
        }
        drop(ctx, out, late ? ADM_LATE : ADM_NO_TIME);
        it = next;
    }
    return false;
}

/* Whether a rank has queued requests, is below its floor and uses fewer slots
 * than the limit for catching up. */
static bool
below_floor(const Adm *a, int rank, const AdmLoad *l, const bool *tried)
{
    const RankQueue *q = &a->ranks[rank];
    double limit = fmax(1.0, ceil(CATCH_UP_FACTOR * q->floor * l->usable));

    return !tried[rank] && q->floor > 0 && waiting(a, rank) > 0 &&
           q->busy < limit && q->credit > 0;
}

/* Rank with the largest credit in relation to its floor, or -1. */
static int
furthest_below_floor(const Adm *a, const AdmLoad *l, const bool *tried)
{
    int best = -1;

    for (int k = 0; k < a->n_ranks; k++) {
        if (below_floor(a, k, l, tried) &&
            (best < 0 || a->ranks[k].credit / a->ranks[k].floor >
                             a->ranks[best].credit / a->ranks[best].floor)) {
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
    update_usage(a, now_us);
    while ((k = furthest_below_floor(a, l, tried)) >= 0) {
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
    AdmReq removed;

    if (it == NULL) {
        return false;
    }
    remove_queued(a, it, &removed);
    return true;
}

void
adm_started(Adm *a, int rank, int64_t now_us)
{
    update_usage(a, now_us);
    a->ranks[CLAMP(rank, 0, a->n_ranks - 1)].busy++;
}

void
adm_ended(Adm *a, int rank, int64_t service_us, int64_t now_us)
{
    RankQueue *q = &a->ranks[CLAMP(rank, 0, a->n_ranks - 1)];

    INV("adm_busy", q->busy > 0,
        "rank %d: a request ended that was not started", rank);
    if (q->busy <= 0) {
        return;
    }
    update_usage(a, now_us);
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
