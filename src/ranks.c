/* ranks - ranked upstreams of an object.  See ranks.h. */
#include "ranks.h"

#include <math.h>
#include <string.h>

#include "hash.h"

/* An incomplete list with fewer entries is filled again. */
#define REFILL_BELOW (RANKS_KEPT / 2)

void
ranks_clear(Ranks *r)
{
    for (int i = 0; i < r->n; i++) {
        ups_unref(r->at[i].u);
    }
    *r = (Ranks){0};
}

/* Removes upstreams that are gone or have joined again, with another service,
 * region or number of slots. */
static void
prune(Ranks *r)
{
    int n = 0;

    for (int i = 0; i < r->n; i++) {
        RanksEntry e = r->at[i];
        if (e.u->state == UPS_GONE || e.u->join_seq != e.join_seq) {
            ups_unref(e.u);
        }
        else {
            r->at[n++] = e;
        }
    }
    if (n < r->n) {
        r->n = n;
        r->cutoff = 0;
    }
}

/* Returns the unit hash above which an upstream with this number of slots
 * enters the list. */
static double
cutoff_for(Ranks *r, int slots)
{
    if (r->n < RANKS_KEPT) {
        return 0;
    }
    if (r->cutoff <= 0 || r->cutoff_slots != slots) {
        r->cutoff = exp(-slots / r->at[RANKS_KEPT - 1].score);
        r->cutoff_slots = slots;
    }
    return r->cutoff;
}

static void
try_insert(Ranks *r, const RanksScope *s, Ups *u)
{
    if (u->state == UPS_GONE || u->service != s->service || u->slots <= 0 ||
        (s->region != RANKS_ANY_REGION && u->region != s->region)) {
        return;
    }
    double unit = hash_point(s->object, u->key);
    if (unit < cutoff_for(r, u->slots)) {
        r->complete = false;
        return;
    }
    double score = hash_score(unit, u->slots);
    int i = r->n;
    if (r->n == RANKS_KEPT) {
        r->complete = false;
        if (score <= r->at[--i].score) {
            return;
        }
        ups_unref(r->at[i].u);
    }
    else if (!r->complete && (i == 0 || score <= r->at[i - 1].score)) {
        /* Upstreams that are not listed may rank before this one. */
        return;
    }
    else {
        r->n++;
    }
    while (i > 0 && r->at[i - 1].score < score) {
        r->at[i] = r->at[i - 1];
        i--;
    }
    r->at[i] = (RanksEntry){ups_ref(u), score, u->join_seq};
    r->cutoff = 0;
}

static void
fill(Ranks *r, const RanksScope *s, const UpsList *l)
{
    ranks_clear(r);
    r->complete = true;
    for (guint i = 0; i < l->members->len; i++) {
        try_insert(r, s, g_ptr_array_index(l->members, i));
    }
}

void
ranks_update(Ranks *r, const RanksScope *s)
{
    const UpsList *l = ups_list(s->set, s->service);
    uint64_t version = ups_version(s->set);

    if (l == NULL) {
        ranks_clear(r);
        return;
    }
    if (r->version == version && r->joins_applied > 0) {
        return;
    }
    prune(r);
    uint64_t first_join = l->n_joined - l->recent_joins->len;
    if (r->joins_applied < first_join || r->joins_applied == 0 ||
        (!r->complete && r->n < REFILL_BELOW)) {
        fill(r, s, l);
    }
    else {
        for (uint64_t j = r->joins_applied; j < l->n_joined; j++) {
            Ups *u =
                g_ptr_array_index(l->recent_joins, (guint)(j - first_join));
            if (u->join_seq == j + 1) {
                try_insert(r, s, u);
            }
        }
    }
    r->joins_applied = l->n_joined;
    r->version = version;
}
