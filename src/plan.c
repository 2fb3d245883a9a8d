/* plan - which upstream serves which object.  See plan.h. */
#include "plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define RANKS 6            /* upstreams that an object may go to */
#define LOAD_BOUND 1.25    /* of an upstream, over the mean */
#define FORGET_US 60000000 /* objects that nobody asks for */
#define KNOWN_PER_NEWS 4   /* bytes of heartbeats are priced */
#define WEIGHT_MIN 0.001   /* slots */

typedef struct Object {
    uint64_t object;
    double weight; /* power of two, so that small changes move nothing */
    int64_t seen_us;
} Object;

/* One service in one scope. */
typedef struct Scope {
    Ups **owners; /* by index of the object; referenced, or NULL */
    guint n_owners;
} Scope;

typedef struct Service {
    uint64_t id;
    GArray *objects;  /* Object, in the order of their hashes */
    Scope *scopes;    /* n_regions + 1; the last one: all regions */
    uint64_t targets; /* hash of the upstreams that were planned with */
    bool dirty;
} Service;

struct Plan {
    int n_regions;
    GHashTable *services;
    int64_t step_us;
    GArray *fresh; /* PlanObject not told yet */
    uint32_t list_at;
};

static void
scope_clear(Scope *s)
{
    for (guint i = 0; i < s->n_owners; i++) {
        if (s->owners[i] != NULL) {
            ups_unref(s->owners[i]);
        }
    }
    g_free(s->owners);
    *s = (Scope){NULL, 0};
}

static void
service_free(gpointer p)
{
    Service *s = p;

    /* The table's key is the structure's own id. */
    g_array_free(s->objects, TRUE);
    g_free(s->scopes);
    g_free(s);
}

Plan *
plan_new(int n_regions)
{
    Plan *p = g_new0(Plan, 1);

    p->n_regions = n_regions;
    p->services =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, service_free);
    p->fresh = g_array_new(FALSE, FALSE, sizeof(PlanObject));
    return p;
}

void
plan_free(Plan *p)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        for (int i = 0; i <= p->n_regions; i++) {
            scope_clear(&((Service *)v)->scopes[i]);
        }
    }
    g_hash_table_destroy(p->services);
    g_array_free(p->fresh, TRUE);
    g_free(p);
}

static Service *
service_of(Plan *p, uint64_t id)
{
    Service *s = g_hash_table_lookup(p->services, &id);

    if (s == NULL) {
        s = g_new0(Service, 1);
        s->id = id;
        s->objects = g_array_new(FALSE, TRUE, sizeof(Object));
        s->scopes = g_new0(Scope, p->n_regions + 1);
        g_hash_table_insert(p->services, &s->id, s);
    }
    return s;
}

/* Place of the object, or where it would stand. */
static guint
place_of(const GArray *objects, uint64_t object)
{
    guint lo = 0;
    guint hi = objects->len;

    while (lo < hi) {
        guint mid = (lo + hi) / 2;
        if (g_array_index(objects, Object, mid).object < object) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

static bool
is_at(const GArray *objects, guint i, uint64_t object)
{
    return i < objects->len &&
           g_array_index(objects, Object, i).object == object;
}

static double
rounded(double weight)
{
    return exp2(round(log2(fmax(weight, WEIGHT_MIN))));
}

static void
insert(Plan *p, Service *s, guint i, const Object *o)
{
    g_array_insert_val(s->objects, i, *o);
    /* Owners keep their objects until the next step. */
    for (int k = 0; k <= p->n_regions; k++) {
        Scope *sc = &s->scopes[k];
        if (sc->n_owners == 0) {
            continue;
        }
        sc->owners = g_renew(Ups *, sc->owners, sc->n_owners + 1);
        memmove(&sc->owners[i + 1], &sc->owners[i],
                (sc->n_owners - i) * sizeof(Ups *));
        sc->owners[i] = NULL;
        sc->n_owners++;
    }
}

bool
plan_learn(Plan *p, uint64_t service, uint64_t object, double weight,
           int64_t now_us)
{
    Service *s = service_of(p, service);
    guint i = place_of(s->objects, object);
    double w = rounded(weight);

    if (is_at(s->objects, i, object)) {
        Object *o = &g_array_index(s->objects, Object, i);
        o->seen_us = now_us;
        /* A weight between two powers stays with the one it has. */
        if (fabs(log2(fmax(weight, WEIGHT_MIN) / o->weight)) > 0.8) {
            o->weight = w;
            s->dirty = true;
        }
        return false;
    }
    if (s->objects->len >= PLAN_OBJECTS_MAX) {
        return false;
    }
    Object o = {object, w, now_us};
    insert(p, s, i, &o);
    s->dirty = true;
    PlanObject x = {service, object, w};
    g_array_append_val(p->fresh, x);
    return true;
}

typedef struct Target {
    Ups *u;
    double load;
} Target;

static int
by_key(const void *a, const void *b)
{
    uint64_t x = ((const Target *)a)->u->key;
    uint64_t y = ((const Target *)b)->u->key;

    return x < y ? -1 : x > y;
}

/* Usable upstreams of a scope, in a fixed order. */
static GArray *
targets_of(const UpsSet *set, uint64_t service, int scope)
{
    const GPtrArray *list = ups_of_service(set, service);
    GArray *out = g_array_new(FALSE, TRUE, sizeof(Target));

    for (guint i = 0; list != NULL && i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        if (ups_usable(set, u) &&
            (scope == PLAN_ALL_REGIONS || u->region == scope)) {
            Target t = {u, 0};
            g_array_append_val(out, t);
        }
    }
    g_array_sort(out, by_key);
    return out;
}

/* The object's best targets, by rendezvous score. */
static int
rank(const GArray *targets, uint64_t object, guint *out)
{
    double scores[RANKS];
    int n = 0;

    for (guint t = 0; t < targets->len; t++) {
        const Ups *u = g_array_index(targets, Target, t).u;
        double x = hash_rendezvous(object, u->key, u->slots);
        int i = n < RANKS ? n++ : RANKS - 1;
        if (i == RANKS - 1 && n == RANKS && t >= RANKS && x <= scores[i]) {
            continue;
        }
        while (i > 0 && scores[i - 1] < x) {
            scores[i] = scores[i - 1];
            out[i] = out[i - 1];
            i--;
        }
        scores[i] = x;
        out[i] = t;
    }
    return n;
}

/* The best target that is not full, else the least full one in parts of its
 * slots.  bound: load that a slot may get. */
static Target *
place(const GArray *targets, const Object *o, double bound)
{
    guint ranks[RANKS] = {0};
    int n = rank(targets, o->object, ranks);
    Target *best = &g_array_index(targets, Target, ranks[0]);

    for (int k = 0; k < n; k++) {
        Target *t = &g_array_index(targets, Target, ranks[k]);
        if (t->load + o->weight <= bound * t->u->slots) {
            return t;
        }
        if (t->load / t->u->slots < best->load / best->u->slots) {
            best = t;
        }
    }
    return best;
}

static void
plan_scope(Service *s, Scope *sc, const GArray *targets)
{
    double weight = 0;
    double slots = 0;

    scope_clear(sc);
    sc->n_owners = s->objects->len;
    sc->owners = g_new0(Ups *, MAX(sc->n_owners, 1));
    for (guint i = 0; i < s->objects->len; i++) {
        weight += g_array_index(s->objects, Object, i).weight;
    }
    for (guint t = 0; t < targets->len; t++) {
        slots += g_array_index(targets, Target, t).u->slots;
    }
    for (guint i = 0; i < s->objects->len && targets->len > 0; i++) {
        const Object *o = &g_array_index(s->objects, Object, i);
        Target *t = place(targets, o, LOAD_BOUND * weight / slots);
        t->load += o->weight;
        sc->owners[i] = ups_ref(t->u);
    }
}

static uint64_t
hash_targets(const GArray *targets)
{
    uint64_t h = 0;

    for (guint t = 0; t < targets->len; t++) {
        h = hash_mix(h, g_array_index(targets, Target, t).u->key);
    }
    return h;
}

static void
forget(Plan *p, Service *s, int64_t now_us)
{
    for (guint i = s->objects->len; i-- > 0;) {
        if (now_us - g_array_index(s->objects, Object, i).seen_us <
            FORGET_US) {
            continue;
        }
        g_array_remove_index(s->objects, i);
        s->dirty = true;
        for (int k = 0; k <= p->n_regions; k++) {
            scope_clear(&s->scopes[k]);
        }
    }
}

static void
step_service(Plan *p, Service *s, const UpsSet *set, int64_t now_us)
{
    GArray *all = targets_of(set, s->id, PLAN_ALL_REGIONS);
    uint64_t h = hash_targets(all);

    forget(p, s, now_us);
    if (s->dirty || h != s->targets) {
        s->dirty = false;
        s->targets = h;
        plan_scope(s, &s->scopes[p->n_regions], all);
        for (int r = 0; r < p->n_regions; r++) {
            GArray *own = targets_of(set, s->id, r);
            plan_scope(s, &s->scopes[r], own);
            g_array_free(own, TRUE);
        }
    }
    g_array_free(all, TRUE);
}

void
plan_step(Plan *p, const UpsSet *set, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    if (p->step_us != 0 && now_us - p->step_us < PLAN_STEP_US) {
        return;
    }
    p->step_us = now_us;
    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        step_service(p, v, set, now_us);
    }
}

Ups *
plan_owner(const Plan *p, uint64_t service, int scope, uint64_t object)
{
    const Service *s = g_hash_table_lookup(p->services, &service);

    if (s == NULL) {
        return NULL;
    }
    guint i = place_of(s->objects, object);
    const Scope *sc =
        &s->scopes[scope == PLAN_ALL_REGIONS ? p->n_regions : scope];
    if (!is_at(s->objects, i, object) || i >= sc->n_owners) {
        return NULL;
    }
    return sc->owners[i];
}

/* Known objects in turn; wraps around. */
static int
list_known(Plan *p, PlanObject *out, int max)
{
    GHashTableIter it;
    gpointer v;
    uint32_t total = 0;
    uint32_t index = 0;
    int n = 0;

    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        total += ((Service *)v)->objects->len;
    }
    if (total == 0) {
        return 0;
    }
    uint32_t from = p->list_at % total;
    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Service *s = v;
        for (guint i = 0; i < s->objects->len; i++, index++) {
            const Object *o = &g_array_index(s->objects, Object, i);
            if ((index + total - from) % total < (uint32_t)max) {
                out[n++] = (PlanObject){s->id, o->object, o->weight};
            }
        }
    }
    p->list_at = from + (uint32_t)n;
    return n;
}

int
plan_news(Plan *p, PlanObject *out, int max)
{
    int n = MIN((int)p->fresh->len, max);

    for (int i = 0; i < n; i++) {
        out[i] = g_array_index(p->fresh, PlanObject, i);
    }
    if (n > 0) {
        g_array_remove_range(p->fresh, 0, (guint)n);
    }
    return n + list_known(p, out + n, MIN(max - n, KNOWN_PER_NEWS));
}
