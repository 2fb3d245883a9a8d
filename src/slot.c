/* slot - slot accounting of owned targets and target choice.  See slot.h. */
#include "slot.h"

#include <math.h>

#include "inv.h"

/* Greatest number of targets with capacity that are all compared. */
#define FULL_COMPARE_MAX 8

/* Moving estimates of the service time: weight of a sample in the mean, and
 * step of the p90 as a fraction of its value.  The p90 rises by 0.9 steps on a
 * longer sample and falls by 0.1 steps on a shorter one, so that it settles
 * where one sample in ten is longer. */
#define MEAN_WEIGHT 0.05
#define P90_STEP 0.05
#define P90 0.9

/* A timeout counts against its target when the request ran for longer than
 * TIMEOUT_P90S times the p90 of the service time, or when it is at least the
 * TIMEOUTS_IN_ROW_MAX-th timeout in a row.  The second rule detects a target
 * that hangs when all deadlines are short. */
#define TIMEOUT_P90S 2.0
#define TIMEOUTS_IN_ROW_MAX 5

typedef struct Target {
    bool declared;
    bool draining;
    bool alone; /* the outstanding request needs the target for itself */
    int slots;
    int connections;
    int budget; /* slots that this VM may use */
    int out;    /* outstanding requests */
    int timeouts_in_row;
    Health health;
} Target;

struct SlotSet {
    SlotOpts o;
    GArray *targets; /* Target, indexed by id */
    GArray *ids;     /* int, ids of declared targets */
    double mean_us;
    double p90_us;
    bool measured; /* mean_us has a sample */
    int busy;      /* outstanding requests of all targets */
};

SlotSet *
slot_set_new(const SlotOpts *o)
{
    SlotSet *s = g_new0(SlotSet, 1);

    s->o = *o;
    s->targets = g_array_new(FALSE, TRUE, sizeof(Target));
    s->ids = g_array_new(FALSE, TRUE, sizeof(int));
    s->mean_us = (double)o->service_us;
    s->p90_us = (double)o->service_us;
    return s;
}

void
slot_set_free(SlotSet *s)
{
    if (s == NULL) {
        return;
    }
    g_array_free(s->targets, TRUE);
    g_array_free(s->ids, TRUE);
    g_free(s);
}

static Target *
find(const SlotSet *s, int id)
{
    if (id < 0 || (guint)id >= s->targets->len) {
        return NULL;
    }
    Target *t = &g_array_index(s->targets, Target, id);

    return t->declared ? t : NULL;
}

static int
id_at(const SlotSet *s, guint i)
{
    return g_array_index(s->ids, int, i);
}

void
slot_declare(SlotSet *s, int id, int slots, int connections, int budget,
             bool draining, int64_t now_us)
{
    if (id < 0 || id >= TARGETS_MAX) {
        return;
    }
    if ((guint)id >= s->targets->len) {
        g_array_set_size(s->targets, (guint)id + 1);
    }
    Target *t = &g_array_index(s->targets, Target, id);

    if (!t->declared) {
        t->declared = true;
        health_init(&t->health, false, now_us);
        g_array_append_val(s->ids, id);
    }
    t->slots = slots;
    t->connections = connections;
    t->draining = draining;
    slot_set_budget(s, id, budget, now_us);
}

void
slot_copy_state(SlotSet *s, int id, const SlotSet *old, int old_id)
{
    Target *t = find(s, id);
    const Target *from = find(old, old_id);

    if (t == NULL || from == NULL) {
        return;
    }
    s->busy += from->out - t->out;
    t->out = from->out;
    t->alone = from->alone;
    t->health = from->health;
    if (!s->measured && old->measured) {
        s->measured = true;
        s->mean_us = old->mean_us;
        s->p90_us = old->p90_us;
    }
}

void
slot_set_budget(SlotSet *s, int id, int budget, int64_t now_us)
{
    Target *t = find(s, id);

    (void)now_us;
    if (t == NULL) {
        return;
    }
    INV("overload", budget <= t->slots,
        "target %d: budget %d exceeds its %d slots", id, budget, t->slots);
    t->budget = budget < 0 ? 0 : budget;
}

/* Slots of a target that health, ownership and connections allow. */
static int
usable(const SlotSet *s, const Target *t, int64_t now_us)
{
    if (INV_FAULT("slot_ignores_leaving")) {
        return t->budget;
    }
    if (t->draining || t->budget <= 0) {
        return 0;
    }
    int n = health_usable(&t->health, t->slots, s->o.warmup_us, now_us);

    n = n < t->budget ? n : t->budget;
    return n < t->connections ? n : t->connections;
}

/* Free slots of a target. */
static int
free_slots(const SlotSet *s, const Target *t, int64_t now_us)
{
    int n = usable(s, t, now_us) - t->out;

    if (INV_FAULT("slot_ignores_budget")) {
        return 1;
    }
    return t->alone || n < 0 ? 0 : n;
}

static bool
can_take(const SlotSet *s, int id, const SlotRequest *ask, int64_t now_us)
{
    const Target *t = find(s, id);

    if (id == ask->avoid || free_slots(s, t, now_us) <= 0) {
        return false;
    }
    return !ask->alone || t->out == 0;
}

/* Load per usable slot if the target got one more request. */
static double
load_after(const SlotSet *s, int id, int64_t now_us)
{
    const Target *t = find(s, id);
    int n = usable(s, t, now_us);

    return n > 0 ? (double)(t->out + 1) / n : INFINITY;
}

static SlotReason
no_target_reason(const SlotSet *s, int64_t now_us)
{
    bool owned = false;

    for (guint i = 0; i < s->ids->len; i++) {
        const Target *t = find(s, id_at(s, i));

        owned = owned || t->budget > 0;
        if (usable(s, t, now_us) > 0) {
            return SLOT_ALL_BUSY;
        }
    }
    return owned ? SLOT_ALL_DOWN : SLOT_NONE_OWNED;
}

/* Least loaded of n candidates.  Ties are broken at random with equal
 * probability. */
static int
least_loaded(const SlotSet *s, const int *c, int n, GRand *rnd, int64_t now_us)
{
    int best = -1;
    int ties = 0;
    double least = INFINITY;

    for (int i = 0; i < n; i++) {
        double f = load_after(s, c[i], now_us);

        if (f < least) {
            least = f;
            best = c[i];
            ties = 1;
        }
        else if (f == least && g_rand_int_range(rnd, 0, ++ties) == 0) {
            best = c[i];
        }
    }
    return best;
}

int
slot_pick(const SlotSet *s, const SlotRequest *ask, GRand *rnd, int64_t now_us,
          SlotReason *why)
{
    int c[TARGETS_MAX];
    int n = 0;

    for (guint i = 0; i < s->ids->len; i++) {
        if (can_take(s, id_at(s, i), ask, now_us)) {
            c[n++] = id_at(s, i);
        }
    }
    if (n == 0) {
        *why = no_target_reason(s, now_us);
        return -1;
    }
    *why = SLOT_OK;
    if (n <= FULL_COMPARE_MAX) {
        return least_loaded(s, c, n, rnd, now_us);
    }
    int a = g_rand_int_range(rnd, 0, n);
    int b = g_rand_int_range(rnd, 0, n - 1);

    b += b >= a;
    return load_after(s, c[b], now_us) < load_after(s, c[a], now_us) ? c[b]
                                                                     : c[a];
}

void
slot_begin(SlotSet *s, int id, bool alone, int64_t now_us)
{
    Target *t = find(s, id);

    INV("slot_declared", t != NULL, "target %d is not declared", id);
    if (t == NULL) {
        return;
    }
    /* A target that is shutting down gets no requests, except for a trial
     * after HEALTH_READY_REPORTS ready reports that are later than the signal.
     */
    INV("leaving",
        !t->draining && (t->health.state != HEALTH_LEAVING ||
                         t->health.ready_reports >= HEALTH_READY_REPORTS),
        "target %d gets a new request %" G_GINT64_FORMAT
        " us after its leaving signal",
        id, now_us - t->health.leaving_at_us);
    t->out++;
    s->busy++;
    t->alone = alone;
    INV("overload", t->out <= t->budget && t->out <= t->connections,
        "target %d: %d outstanding, budget %d, slots %d, connections %d", id,
        t->out, t->budget, t->slots, t->connections);
    INV("slot_alone", !alone || t->out == 1,
        "target %d: a request that runs alone has %d others beside it", id,
        t->out - 1);
}

static void
add_sample(SlotSet *s, int64_t service_us)
{
    double x = (double)service_us;

    if (!s->measured) {
        s->measured = true;
        s->mean_us = x;
        s->p90_us = fmax(x, s->p90_us);
        return;
    }
    s->mean_us += MEAN_WEIGHT * (x - s->mean_us);
    s->p90_us *= 1.0 + P90_STEP * (x > s->p90_us ? P90 : P90 - 1.0);
    s->p90_us = fmax(s->p90_us, 1.0);
}

void
slot_end(SlotSet *s, int id, SlotEnd how, int64_t service_us, int64_t now_us)
{
    static const HealthObservation observed[] = {
        OBSERVED_OK,      OBSERVED_ERROR,  OBSERVED_SHED,
        OBSERVED_REFUSED, OBSERVED_CLOSED, OBSERVED_TIMEOUT};
    Target *t = find(s, id);

    INV("slot_ended", t != NULL && t->out > 0,
        "target %d: a request ended that was not started", id);
    if (t == NULL || t->out <= 0) {
        return;
    }
    t->out--;
    s->busy--;
    t->alone = false;
    if (how == SLOT_END_CANCELLED) {
        return;
    }
    t->timeouts_in_row = how == SLOT_END_TIMEOUT ? t->timeouts_in_row + 1 : 0;
    /* A request that times out after a short run gives no information about
     * the target or the service time.  Longer ones are recorded, otherwise a
     * target that became slow would appear fast. */
    if (how == SLOT_END_TIMEOUT && t->timeouts_in_row < TIMEOUTS_IN_ROW_MAX &&
        (double)service_us <= TIMEOUT_P90S * s->p90_us) {
        return;
    }
    if (how == SLOT_END_OK || how == SLOT_END_TIMEOUT) {
        add_sample(s, service_us);
    }
    health_observe(&t->health, observed[how], now_us);
}

void
slot_report(SlotSet *s, int id, const HealthReport *r, int64_t now_us)
{
    Target *t = find(s, id);

    if (t != NULL) {
        health_report(&t->health, r, now_us);
    }
}

void
slot_report_shutdown(SlotSet *s, int id, HealthSource src, int64_t now_us)
{
    Target *t = find(s, id);

    if (t != NULL) {
        health_leaving(&t->health, src, now_us);
    }
}

int
slot_free(const SlotSet *s, int64_t now_us)
{
    int n = 0;

    for (guint i = 0; i < s->ids->len; i++) {
        n += free_slots(s, find(s, id_at(s, i)), now_us);
    }
    return n;
}

int
slot_usable(const SlotSet *s, int64_t now_us)
{
    int n = 0;

    for (guint i = 0; i < s->ids->len; i++) {
        n += usable(s, find(s, id_at(s, i)), now_us);
    }
    return n;
}

int
slot_outstanding(const SlotSet *s, int id)
{
    const Target *t = find(s, id);

    return t != NULL ? t->out : 0;
}

int
slot_busy(const SlotSet *s)
{
    return s->busy;
}

int64_t
slot_service_mean_us(const SlotSet *s)
{
    return (int64_t)s->mean_us;
}

int64_t
slot_service_p90_us(const SlotSet *s)
{
    return (int64_t)s->p90_us;
}

const char *
slot_reason_name(SlotReason r)
{
    static const char *const names[] = {"ok", "none-owned", "all-busy",
                                        "all-down"};

    return names[r];
}
