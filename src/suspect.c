/* suspect - requests that crash upstreams.  See suspect.h. */
#include "suspect.h"

#include <glib.h>

#include "hash.h"
#include "inv.h"

typedef struct Entry {
    uint64_t print;
    SuspectState state;
    int64_t at_us; /* of the crash, or of the clearing run */
    bool busy;     /* runs alone now */
} Entry;

struct Suspects {
    GHashTable *by_print; /* print -> Entry */
    size_t max;
};

Suspects *
suspect_new(size_t max)
{
    Suspects *s = g_new0(Suspects, 1);

    s->max = max;
    s->by_print =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return s;
}

void
suspect_free(Suspects *s)
{
    if (s == NULL) {
        return;
    }
    g_hash_table_destroy(s->by_print);
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
is_old(const Entry *e, int64_t now_us)
{
    return now_us - e->at_us > CONVICTED_MS * INT64_C(1000);
}

static SuspectState
state_of(const Entry *e, int64_t now_us)
{
    return e == NULL || is_old(e, now_us) ? SUSPECT_CLEAR : e->state;
}

SuspectState
suspect_check(const Suspects *s, uint64_t print, bool *busy, int64_t now_us)
{
    const Entry *e = g_hash_table_lookup(s->by_print, &print);

    *busy = e != NULL && e->busy;
    return state_of(e, now_us);
}

void
suspect_begin_alone(Suspects *s, uint64_t print, int64_t now_us)
{
    Entry *e = g_hash_table_lookup(s->by_print, &print);

    INV("suspect_alone",
        e != NULL && !e->busy && state_of(e, now_us) == SUSPECT_ALONE,
        "print %016" G_GINT64_MODIFIER "x runs alone in state %d", print,
        e == NULL ? -1 : (int)e->state);
    if (e != NULL) {
        e->busy = true;
    }
}

/* Drops the oldest entry that is not convicted, or the oldest of all. */
static void
make_room(Suspects *s, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    Entry *drop = NULL;

    suspect_expire(s, now_us);
    if (g_hash_table_size(s->by_print) < s->max) {
        return;
    }
    g_hash_table_iter_init(&it, s->by_print);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Entry *e = v;
        bool worse = drop != NULL && e->state != drop->state
                         ? e->state < drop->state
                         : drop == NULL || e->at_us < drop->at_us;
        if (!e->busy && worse) {
            drop = e;
        }
    }
    if (drop != NULL) {
        g_hash_table_remove(s->by_print, &drop->print);
    }
}

static Entry *
entry_of(Suspects *s, uint64_t print, int64_t now_us)
{
    Entry *e = g_hash_table_lookup(s->by_print, &print);

    if (e != NULL) {
        return e;
    }
    if (g_hash_table_size(s->by_print) >= s->max) {
        make_room(s, now_us);
    }
    e = g_new0(Entry, 1);
    e->print = print;
    e->at_us = now_us;
    g_hash_table_insert(s->by_print, &e->print, e);
    return e;
}

static void
news_of(const Entry *e, int64_t now_us, SuspectUpdate *news)
{
    news->fingerprint = e->print;
    news->state = e->state;
    news->age_ms = MAX(now_us - e->at_us, 0) / 1000;
}

void
suspect_crash(Suspects *s, const uint64_t *prints, size_t n, bool alone,
              int64_t now_us, SuspectUpdate *news)
{
    for (size_t i = 0; i < n; i++) {
        Entry *e = entry_of(s, prints[i], now_us);
        bool convict = alone && n == 1 && e->busy;
        if (state_of(e, now_us) != SUSPECT_CONVICTED) {
            e->state = convict ? SUSPECT_CONVICTED : SUSPECT_ALONE;
            e->at_us = now_us;
        }
        if (convict) {
            e->busy = false;
        }
        news_of(e, now_us, &news[i]);
    }
}

bool
suspect_end_alone(Suspects *s, uint64_t print, bool well, int64_t now_us,
                  SuspectUpdate *news)
{
    Entry *e = g_hash_table_lookup(s->by_print, &print);

    if (e == NULL) {
        return false;
    }
    e->busy = false;
    if (!well || state_of(e, now_us) == SUSPECT_CONVICTED) {
        return false;
    }
    e->state = SUSPECT_CLEAR;
    e->at_us = now_us;
    news_of(e, now_us, news);
    return true;
}

void
suspect_receive(Suspects *s, const SuspectUpdate *news, int64_t now_us)
{
    int64_t at_us = now_us - MAX(news->age_ms, 0) * INT64_C(1000);
    Entry *e = g_hash_table_lookup(s->by_print, &news->fingerprint);
    SuspectState have = state_of(e, now_us);

    if (news->age_ms > CONVICTED_MS) {
        return;
    }
    bool take;
    if (e == NULL || is_old(e, now_us)) {
        take = true;
    }
    else if (have == news->state) {
        take = at_us > e->at_us;
    }
    else if (have == SUSPECT_CONVICTED || news->state == SUSPECT_CONVICTED) {
        take = news->state == SUSPECT_CONVICTED;
    }
    else {
        /* Clear against suspicion: the later one is right. */
        take = at_us > e->at_us;
    }
    if (take) {
        e = entry_of(s, news->fingerprint, now_us);
        e->state = news->state;
        e->at_us = at_us;
    }
}

size_t
suspect_list(const Suspects *s, SuspectUpdate *news, size_t max,
             int64_t now_us)
{
    GHashTableIter it;
    gpointer v;
    size_t n = 0;

    g_hash_table_iter_init(&it, s->by_print);
    while (n < max && g_hash_table_iter_next(&it, NULL, &v)) {
        if (state_of(v, now_us) != SUSPECT_CLEAR) {
            news_of(v, now_us, &news[n++]);
        }
    }
    return n;
}

void
suspect_expire(Suspects *s, int64_t now_us)
{
    GHashTableIter it;
    gpointer v;

    g_hash_table_iter_init(&it, s->by_print);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Entry *e = v;
        if (!e->busy && is_old(e, now_us)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

size_t
suspect_count(const Suspects *s)
{
    return g_hash_table_size(s->by_print);
}
