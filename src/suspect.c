/* suspect - requests that may crash targets.  See suspect.h. */
#include "suspect.h"

#include <glib.h>

#include "hash.h"
#include "inv.h"

typedef struct Entry {
    uint64_t fingerprint;
    SuspectState state;
    int64_t at_us; /* time of the crash or of the clearing run */
    bool busy;     /* runs alone now */
} Entry;

struct Suspects {
    GHashTable *by_fingerprint; /* fingerprint -> Entry */
    size_t max;
};

Suspects *
suspect_new(size_t max)
{
    Suspects *s = g_new0(Suspects, 1);

    s->max = max;
    s->by_fingerprint =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void
suspect_free(Suspects *s)
{
    if (s == NULL) {
        return;
    }
    g_hash_table_destroy(s->by_fingerprint);
    g_free(s);
}

uint64_t
suspect_fingerprint(Str service, Str method, Str path, Str key, Str body)
{
    uint64_t h = hash_str(service, 11);

    h = hash_mix(h, hash_str(method, 12));
    h = hash_mix(h, hash_str(path, 13));
    h = hash_mix(h, hash_str(key, 14));
    body.n = MIN(body.n, (size_t)BODY_HASH_BYTES);
    return hash_mix(h, hash_str(body, 15));
}

static bool
is_expired(const Entry *e, int64_t now_us)
{
    return now_us - e->at_us > CONVICTED_MS * INT64_C(1000);
}

static SuspectState
state_of(const Entry *e, int64_t now_us)
{
    return e == NULL || is_expired(e, now_us) ? SUSPECT_CLEAR : e->state;
}

SuspectState
suspect_check(const Suspects *s, uint64_t fingerprint, bool *busy,
              int64_t now_us)
{
    const Entry *e = g_hash_table_lookup(s->by_fingerprint, &fingerprint);

    *busy = e != NULL && e->busy;
    return state_of(e, now_us);
}

void
suspect_begin_alone(Suspects *s, uint64_t fingerprint, int64_t now_us)
{
    Entry *e = g_hash_table_lookup(s->by_fingerprint, &fingerprint);

    INV("suspect_alone",
        e != NULL && !e->busy && state_of(e, now_us) == SUSPECT_ALONE,
        "fingerprint %016" G_GINT64_MODIFIER "x runs alone in state %d",
        fingerprint, e == NULL ? -1 : (int)e->state);
    if (e != NULL) {
        e->busy = true;
    }
}

/* Evicts expired entries.  If the table is still full, evicts the oldest entry
 * of the lowest SuspectState among those that are not busy, so that convicted
 * ones go last. */
static void
evict(Suspects *s, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    Entry *victim = NULL;

    suspect_expire(s, now_us);
    if (g_hash_table_size(s->by_fingerprint) < s->max) {
        return;
    }
    g_hash_table_iter_init(&it, s->by_fingerprint);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Entry *e = v;
        bool preferred = victim != NULL && e->state != victim->state
                             ? e->state < victim->state
                             : victim == NULL || e->at_us < victim->at_us;
        if (!e->busy && preferred) {
            victim = e;
        }
    }
    if (victim != NULL) {
        g_hash_table_remove(s->by_fingerprint, &victim->fingerprint);
    }
}

static Entry *
find_or_add(Suspects *s, uint64_t fingerprint, int64_t now_us)
{
    Entry *e = g_hash_table_lookup(s->by_fingerprint, &fingerprint);

    if (e != NULL) {
        return e;
    }
    if (g_hash_table_size(s->by_fingerprint) >= s->max) {
        evict(s, now_us);
    }
    e = g_new0(Entry, 1);
    e->fingerprint = fingerprint;
    e->at_us = now_us;
    g_hash_table_insert(s->by_fingerprint, &e->fingerprint, e);
    return e;
}

static void
fill_update(const Entry *e, int64_t now_us, SuspectUpdate *update)
{
    update->fingerprint = e->fingerprint;
    update->state = e->state;
    update->age_ms = MAX(now_us - e->at_us, 0) / 1000;
}

void
suspect_crash(Suspects *s, const uint64_t *fingerprints, size_t n, bool alone,
              int64_t now_us, SuspectUpdate *updates)
{
    for (size_t i = 0; i < n; i++) {
        Entry *e = find_or_add(s, fingerprints[i], now_us);
        bool convict = alone && n == 1 && e->busy;
        if (state_of(e, now_us) != SUSPECT_CONVICTED) {
            e->state = convict ? SUSPECT_CONVICTED : SUSPECT_ALONE;
            e->at_us = now_us;
        }
        if (convict) {
            e->busy = false;
        }
        fill_update(e, now_us, &updates[i]);
    }
}

bool
suspect_end_alone(Suspects *s, uint64_t fingerprint, bool success,
                  int64_t now_us, SuspectUpdate *update)
{
    Entry *e = g_hash_table_lookup(s->by_fingerprint, &fingerprint);

    if (e == NULL) {
        return false;
    }
    e->busy = false;
    if (!success || state_of(e, now_us) == SUSPECT_CONVICTED) {
        return false;
    }
    e->state = SUSPECT_CLEAR;
    e->at_us = now_us;
    fill_update(e, now_us, update);
    return true;
}

void
suspect_receive(Suspects *s, const SuspectUpdate *update, int64_t now_us)
{
    int64_t at_us = now_us - MAX(update->age_ms, 0) * INT64_C(1000);
    Entry *e = g_hash_table_lookup(s->by_fingerprint, &update->fingerprint);
    SuspectState current = state_of(e, now_us);

    if (update->age_ms > CONVICTED_MS) {
        return;
    }
    bool accept;
    if (e == NULL || is_expired(e, now_us)) {
        accept = true;
    }
    else if (current == update->state) {
        accept = at_us > e->at_us;
    }
    else if (current == SUSPECT_CONVICTED ||
             update->state == SUSPECT_CONVICTED) {
        accept = update->state == SUSPECT_CONVICTED;
    }
    else {
        /* A suspicion and a clearing run: the later one is valid. */
        accept = at_us > e->at_us;
    }
    if (accept) {
        e = find_or_add(s, update->fingerprint, now_us);
        e->state = update->state;
        e->at_us = at_us;
    }
}

size_t
suspect_list(const Suspects *s, SuspectUpdate *updates, size_t max,
             int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, s->by_fingerprint);
    while (n < max && g_hash_table_iter_next(&it, NULL, &v)) {
        if (state_of(v, now_us) != SUSPECT_CLEAR) {
            fill_update(v, now_us, &updates[n++]);
        }
    }
    return n;
}

void
suspect_expire(Suspects *s, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->by_fingerprint);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Entry *e = v;
        if (!e->busy && is_expired(e, now_us)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

size_t
suspect_count(const Suspects *s)
{
    return g_hash_table_size(s->by_fingerprint);
}
