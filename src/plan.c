/* plan - which upstream serves which object.  See plan.h. */
#include "plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "hash.h"

#define CANDIDATES 6    /* upstreams to which an object may be assigned */
#define LOAD_BOUND 1.25 /* of an upstream, relative to the mean */
#define OBJECT_TTL_US 60000000 /* lifetime of an object without requests */
/* Older objects sent again with each call of plan_updates(); few, as the
 * traffic of heartbeats is billed. */
#define RESENDS_PER_UPDATE 4
#define WEIGHT_MIN 0.001 /* slots */

typedef struct Object {
    uint64_t object;
    double weight; /* slots, a power of two: small changes have no effect */
    int64_t last_used_us;
    Ranks **ranks; /* by scope; NULL until first queried */
} Object;

/* The plan of one service in one scope. */
typedef struct Scope {
    Ups **owners; /* by index of the object; referenced, or NULL */
    guint n_owners;
    bool stale; /* must be planned again before use */
} Scope;

typedef struct Service {
    uint64_t id;
    GArray *objects; /* Object, sorted by hash */
    Scope *scopes;   /* n_regions + 1; the last one has all regions */
    int n_scopes;
    bool dirty; /* objects changed since the last step */
} Service;

struct Plan {
    int n_regions;
    GHashTable *services;
    int64_t step_us; /* time of the last step; 0: none */
    const UpsSet *set;
    uint64_t version;   /* ups_version() of the set at the last step */
    GArray *unsent;     /* PlanUpdate, not sent yet */
    uint32_t resend_at; /* index of the next object to send again */
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
    s->owners = NULL;
    s->n_owners = 0;
}

static void
object_clear(const Service *s, Object *o)
{
    for (int k = 0; k < s->n_scopes; k++) {
        if (o->ranks[k] != NULL) {
            ranks_clear(o->ranks[k]);
            g_free(o->ranks[k]);
        }
    }
    g_free(o->ranks);
}

static void
service_free(gpointer p)
{
    Service *s = p;

    for (int k = 0; k < s->n_scopes; k++) {
        scope_clear(&s->scopes[k]);
    }
    for (guint i = 0; i < s->objects->len; i++) {
        object_clear(s, &g_array_index(s->objects, Object, i));
    }
    /* The hash table borrows its key, s->id. */
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
    p->unsent = g_array_new(FALSE, FALSE, sizeof(PlanUpdate));
    return p;
}

void
plan_free(Plan *p)
{
    g_hash_table_destroy(p->services);
    g_array_free(p->unsent, TRUE);
    g_free(p);
}

static Service *
get_service(Plan *p, uint64_t id)
{
    Service *s = g_hash_table_lookup(p->services, &id);

    if (s == NULL) {
        s = g_new0(Service, 1);
        s->id = id;
        s->objects = g_array_new(FALSE, TRUE, sizeof(Object));
        s->n_scopes = p->n_regions + 1;
        s->scopes = g_new0(Scope, s->n_scopes);
        for (int k = 0; k < s->n_scopes; k++) {
            s->scopes[k].stale = true;
        }
        g_hash_table_insert(p->services, &s->id, s);
    }
    return s;
}

/* Returns the index of an object, or the index at which to insert it. */
static guint
object_index(const GArray *objects, uint64_t object)
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
round_weight(double weight)
{
    return exp2(round(log2(fmax(weight, WEIGHT_MIN))));
}

static void
insert(Service *s, guint i, const Object *o)
{
    g_array_insert_val(s->objects, i, *o);
    /* Keep the owners of the other objects until the next step. */
    for (int k = 0; k < s->n_scopes; k++) {
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
plan_add(Plan *p, uint64_t service, uint64_t object, double weight,
         int64_t now_us)
{
    Service *s = get_service(p, service);
    guint i = object_index(s->objects, object);
    double w = round_weight(weight);

    if (is_at(s->objects, i, object)) {
        Object *o = &g_array_index(s->objects, Object, i);
        o->last_used_us = now_us;
        /* Hysteresis: rounding alone would change the weight at a factor of
         * 2^0.5, and a weight near that limit would alternate.  It is changed
         * only above a factor of 2^0.8. */
        if (fabs(log2(fmax(weight, WEIGHT_MIN) / o->weight)) > 0.8) {
            o->weight = w;
            s->dirty = true;
        }
        return false;
    }
    if (s->objects->len >= PLAN_OBJECTS_MAX) {
        return false;
    }
    Object o = {object, w, now_us, g_new0(Ranks *, s->n_scopes)};
    insert(s, i, &o);
    s->dirty = true;
    if (s->objects->len <= PLAN_PLACED_MAX) {
        PlanUpdate x = {service, object, w};
        g_array_append_val(p->unsent, x);
    }
    return true;
}

static Ranks *
ranks_of(const Service *s, const UpsSet *set, Object *o, int k)
{
    int region = k == s->n_scopes - 1 ? RANKS_ANY_REGION : k;
    RanksScope scope = {set, s->id, region, o->object};

    if (o->ranks[k] == NULL) {
        o->ranks[k] = g_new0(Ranks, 1);
    }
    ranks_update(o->ranks[k], &scope);
    return o->ranks[k];
}

/* Returns the best usable upstream that is not full, or else the one with the
 * lowest load per slot.  bound: maximum load per slot. */
static Ups *
assign(const UpsSet *set, const Ranks *r, double weight, double bound)
{
    Ups *best = NULL;
    int tried = 0;

    for (int i = 0; i < r->n && tried < CANDIDATES; i++) {
        Ups *u = r->at[i].u;
        if (!ups_usable(set, u)) {
            continue;
        }
        tried++;
        if (u->planned_load + weight <= bound * u->slots) {
            return u;
        }
        if (best == NULL ||
            u->planned_load / u->slots < best->planned_load / best->slots) {
            best = u;
        }
    }
    return best;
}

/* Resets the planned load of a service's upstreams; returns the usable slots
 * of a scope. */
static double
reset_loads(const UpsSet *set, const Service *s, int k)
{
    const GPtrArray *list = ups_of_service(set, s->id);
    double slots = 0;

    for (guint i = 0; list != NULL && i < list->len; i++) {
        Ups *u = g_ptr_array_index(list, i);
        u->planned_load = 0;
        if (ups_usable(set, u) && (k == s->n_scopes - 1 || u->region == k)) {
            slots += u->slots;
        }
    }
    return slots;
}

static void
plan_scope(Service *s, const UpsSet *set, int k)
{
    Scope *sc = &s->scopes[k];
    double slots = reset_loads(set, s, k);
    double weight = 0;

    scope_clear(sc);
    sc->stale = false;
    if (s->objects->len > PLAN_PLACED_MAX || slots <= 0) {
        return;
    }
    sc->n_owners = s->objects->len;
    sc->owners = g_new0(Ups *, MAX(sc->n_owners, 1));
    for (guint i = 0; i < s->objects->len; i++) {
        weight += g_array_index(s->objects, Object, i).weight;
    }
    for (guint i = 0; i < s->objects->len; i++) {
        Object *o = &g_array_index(s->objects, Object, i);
        Ups *u = assign(set, ranks_of(s, set, o, k), o->weight,
                        LOAD_BOUND * weight / slots);
        if (u != NULL) {
            u->planned_load += o->weight;
            sc->owners[i] = ups_ref(u);
        }
    }
}

static void
expire_objects(Service *s, int64_t now_us)
{
    for (guint i = s->objects->len; i-- > 0;) {
        Object *o = &g_array_index(s->objects, Object, i);
        if (now_us - o->last_used_us < OBJECT_TTL_US) {
            continue;
        }
        object_clear(s, o);
        g_array_remove_index(s->objects, i);
        s->dirty = true;
        for (int k = 0; k < s->n_scopes; k++) {
            scope_clear(&s->scopes[k]);
        }
    }
}

void
plan_step(Plan *p, const UpsSet *set, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    if (p->step_us != 0 && now_us - p->step_us < PLAN_STEP_US) {
        return;
    }
    bool changed = p->set != set || p->version != ups_version(set);
    p->step_us = now_us;
    p->set = set;
    p->version = ups_version(set);
    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Service *s = v;
        expire_objects(s, now_us);
        for (int k = 0; k < s->n_scopes; k++) {
            s->scopes[k].stale |= changed || s->dirty;
        }
        s->dirty = false;
    }
}

/* Returns the service and sets *i to the object's index, or returns NULL if
 * the object is not tracked. */
static Service *
find_object(const Plan *p, uint64_t service, uint64_t object, guint *i)
{
    Service *s = g_hash_table_lookup(p->services, &service);

    if (s == NULL) {
        return NULL;
    }
    *i = object_index(s->objects, object);
    return is_at(s->objects, *i, object) ? s : NULL;
}

Ups *
plan_owner(Plan *p, uint64_t service, int scope, uint64_t object)
{
    guint i;
    Service *s = find_object(p, service, object, &i);
    int k = scope == PLAN_ALL_REGIONS ? p->n_regions : scope;

    if (s == NULL || p->set == NULL) {
        return NULL;
    }
    if (s->scopes[k].stale) {
        plan_scope(s, p->set, k);
    }
    return i < s->scopes[k].n_owners ? s->scopes[k].owners[i] : NULL;
}

const Ranks *
plan_ranks(Plan *p, const UpsSet *set, uint64_t service, int scope,
           uint64_t object)
{
    guint i;
    Service *s = find_object(p, service, object, &i);

    if (s == NULL) {
        return NULL;
    }
    return ranks_of(s, set, &g_array_index(s->objects, Object, i),
                    scope == PLAN_ALL_REGIONS ? p->n_regions : scope);
}

/* Number of objects to send to other VMs; none if the service is not planned.
 */
static guint
announced_count(const Service *s)
{
    return s->objects->len > PLAN_PLACED_MAX ? 0 : s->objects->len;
}

/* Lists tracked objects in turn; wraps around. */
static int
list_resends(Plan *p, PlanUpdate *out, int max)
{
    GHashTableIter it;
    gpointer v;
    uint32_t total = 0;
    uint32_t index = 0;
    int n = 0;

    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        total += announced_count(v);
    }
    if (total == 0) {
        return 0;
    }
    uint32_t from = p->resend_at % total;
    g_hash_table_iter_init(&it, p->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Service *s = v;
        for (guint i = 0; i < announced_count(s); i++, index++) {
            const Object *o = &g_array_index(s->objects, Object, i);
            if ((index + total - from) % total < (uint32_t)max) {
                out[n++] = (PlanUpdate){s->id, o->object, o->weight};
            }
        }
    }
    p->resend_at = from + (uint32_t)n;
    return n;
}

int
plan_updates(Plan *p, PlanUpdate *out, int max)
{
    int n = MIN((int)p->unsent->len, max);

    for (int i = 0; i < n; i++) {
        out[i] = g_array_index(p->unsent, PlanUpdate, i);
    }
    if (n > 0) {
        g_array_remove_range(p->unsent, 0, (guint)n);
    }
    return n + list_resends(p, out + n, MIN(max - n, RESENDS_PER_UPDATE));
}
