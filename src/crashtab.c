/* crashtab - fingerprints and the crashes they met.  See crashtab.h. */
#include "crashtab.h"

/* Known entries among which those with most weight are chosen. */
#define KNOWN_WINDOW 64
/* Entries changed least recently, of which one makes room. */
#define DROP_CANDIDATES 64

static void
set_queued(GQueue *q, GList *link, CrashEntry *e, bool on)
{
    if (on && link->data == NULL) {
        link->data = e;
        g_queue_push_tail_link(q, link);
    }
    else if (!on && link->data != NULL) {
        g_queue_unlink(q, link);
        link->data = NULL;
    }
}

void
crashtab_init(Crashtab *t)
{
    t->by_fingerprint = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_queue_init(&t->order);
    g_queue_init(&t->busy);
    g_queue_init(&t->announce);
    g_queue_init(&t->known);
}

void
crashtab_clear(Crashtab *t)
{
    while (t->order.head != NULL) {
        crashtab_drop(t, t->order.head->data);
    }
    g_hash_table_destroy(t->by_fingerprint);
}

CrashEntry *
crashtab_find(const Crashtab *t, uint64_t fingerprint)
{
    return g_hash_table_lookup(t->by_fingerprint, &fingerprint);
}

int
crashtab_confirmed(const CrashEntry *e)
{
    int n = 0;

    for (int i = 0; i < e->n; i++) {
        n += e->crashes[i].confirmed ? 1 : 0;
    }
    return n;
}

static CrashEntry *
least_important(const Crashtab *t)
{
    CrashEntry *least = t->order.head->data;
    GList *l = t->order.head;

    for (int i = 0; i < DROP_CANDIDATES && l != NULL; i++, l = l->next) {
        CrashEntry *e = l->data;
        if (e->weight < least->weight) {
            least = e;
        }
    }
    return least;
}

CrashEntry *
crashtab_get(Crashtab *t, uint64_t fingerprint, uint64_t *dropped)
{
    CrashEntry *e = crashtab_find(t, fingerprint);

    *dropped = 0;
    if (e != NULL) {
        return e;
    }
    if (t->order.length >= CRASHTAB_ENTRIES_MAX) {
        CrashEntry *old = least_important(t);
        *dropped = old->fingerprint;
        crashtab_drop(t, old);
    }
    e = g_new0(CrashEntry, 1);
    e->fingerprint = fingerprint;
    e->link.data = e;
    g_hash_table_insert(t->by_fingerprint, &e->fingerprint, e);
    g_queue_push_tail_link(&t->order, &e->link);
    return e;
}

void
crashtab_touch(Crashtab *t, CrashEntry *e)
{
    g_queue_unlink(&t->order, &e->link);
    g_queue_push_tail_link(&t->order, &e->link);
}

void
crashtab_drop(Crashtab *t, CrashEntry *e)
{
    while (e->n > 0) {
        crashtab_drop_crash(e, e->n - 1);
    }
    crashtab_set_busy(t, e, false);
    crashtab_set_announce(t, e, false);
    set_queued(&t->known, &e->known_link, e, false);
    g_queue_unlink(&t->order, &e->link);
    g_hash_table_remove(t->by_fingerprint, &e->fingerprint);
    g_free(e);
}

void
crashtab_set_busy(Crashtab *t, CrashEntry *e, bool on)
{
    set_queued(&t->busy, &e->busy_link, e, on);
}

void
crashtab_set_announce(Crashtab *t, CrashEntry *e, bool on)
{
    set_queued(&t->announce, &e->announce_link, e, on);
}

void
crashtab_set_known(Crashtab *t, CrashEntry *e)
{
    set_queued(&t->known, &e->known_link, e, false);
    set_queued(&t->known, &e->known_link, e, true);
    crashtab_set_weight(t, e, e->weight);
}

static void
move_to_head(Crashtab *t, CrashEntry *e)
{
    g_queue_unlink(&t->known, &e->known_link);
    g_queue_push_head_link(&t->known, &e->known_link);
}

void
crashtab_set_weight(Crashtab *t, CrashEntry *e, int weight)
{
    const CrashEntry *least =
        g_queue_peek_nth(&t->known, CRASHTAB_BY_WEIGHT - 1);

    e->weight = weight;
    if (e->known_link.data != NULL && least != NULL &&
        least->weight < weight) {
        move_to_head(t, e);
    }
}

/* Adds an entry to a list by descending weight; the last one of a full list
 * makes room.  Returns the length. */
static int
insert_by_weight(CrashEntry **list, int n, int max, CrashEntry *e)
{
    int at = n;

    while (at > 0 && list[at - 1]->weight < e->weight) {
        at--;
    }
    if (at == max) {
        return n;
    }
    n = MIN(n + 1, max);
    for (int i = n - 1; i > at; i--) {
        list[i] = list[i - 1];
    }
    list[at] = e;
    return n;
}

int
crashtab_announced(const Crashtab *t, CrashEntry **list, int max)
{
    int n = 0;

    for (GList *l = t->announce.head; l != NULL; l = l->next) {
        n = insert_by_weight(list, n, max, l->data);
    }
    return n;
}

int
crashtab_next_known(Crashtab *t, CrashEntry **list, int max)
{
    int heavy = 0;
    GList *l = t->known.head;

    for (int i = 0; i < KNOWN_WINDOW && l != NULL; i++, l = l->next) {
        heavy = insert_by_weight(list, heavy, CRASHTAB_BY_WEIGHT, l->data);
    }
    for (int i = heavy; i-- > 0;) {
        move_to_head(t, list[i]);
    }
    int n = heavy;
    l = g_queue_peek_nth_link(&t->known, (guint)n);
    for (; l != NULL && n < max; l = l->next) {
        list[n++] = l->data;
    }
    for (int i = heavy; i < n; i++) {
        g_queue_unlink(&t->known, &list[i]->known_link);
        g_queue_push_tail_link(&t->known, &list[i]->known_link);
    }
    return n;
}

static int
oldest_unconfirmed(const CrashEntry *e)
{
    int at = -1;

    for (int i = 0; i < e->n; i++) {
        if (!e->crashes[i].confirmed &&
            (at < 0 || e->crashes[i].at_us < e->crashes[at].at_us)) {
            at = i;
        }
    }
    return at;
}

Crash *
crashtab_find_crash(CrashEntry *e, uint64_t id)
{
    for (int i = 0; i < e->n; i++) {
        if (e->crashes[i].id == id) {
            return &e->crashes[i];
        }
    }
    return NULL;
}

Crash *
crashtab_add_crash(CrashEntry *e, uint64_t id)
{
    if (crashtab_find_crash(e, id) != NULL) {
        return NULL;
    }
    if (e->n == CRASHTAB_CRASHES_MAX) {
        int i = oldest_unconfirmed(e);
        if (i < 0) {
            return NULL;
        }
        crashtab_drop_crash(e, i);
    }
    Crash *x = &e->crashes[e->n++];
    *x = (Crash){.id = id};
    return x;
}

void
crashtab_drop_crash(CrashEntry *e, int i)
{
    if (e->crashes[i].u != NULL) {
        ups_unref(e->crashes[i].u);
    }
    e->crashes[i] = e->crashes[--e->n];
}
