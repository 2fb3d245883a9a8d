/* ups - the upstreams that discovery reports.  See ups.h. */
#include "ups.h"

#include <string.h>

#include "departed.h"
#include "hash.h"
#include "notices.h"

/* A report that moves the end of the cold time by more than this starts a new
 * cold time.  Smaller changes come from delayed reports. */
#define COLD_AGAIN_US 1000000

/* Joins kept in each list, at least.  Rankings that lag behind by more are
 * rebuilt. */
#define JOINS_KEPT 512

/* After the store came back from an older copy, in which the entries of
 * upstreams that have left are removed after a few of their report intervals.
 */
#define FORMER_US 10000000

struct UpsSet {
    const Topology *topology;
    uint64_t version;
    int n_missing; /* entries that are missing and not yet removed */
    int64_t gone_grace_us;
    int64_t grace_until_us; /* missing entries are not removed before */
    GHashTable *by_id;      /* id -> Ups */
    GHashTable *by_key;     /* hash of the id -> Ups */
    GHashTable *by_service; /* service hash -> UpsList */
    Notices *notices;
    Departed *departed;
    int64_t former_until_us; /* see ups_begin_history() */
    int n_former;            /* upstreams with "former" */
    bool drained[ZONES_MAX];
    int64_t drain_ended_us[ZONES_MAX]; /* last end of a drain; 0: none */
};

static void
unref_entry(gpointer p)
{
    ups_unref(p);
}

static void
free_list(gpointer p)
{
    UpsList *l = p;

    g_ptr_array_free(l->members, TRUE);
    g_ptr_array_free(l->recent_joins, TRUE);
    g_free(l);
}

UpsSet *
ups_new(const Topology *topology, int64_t gone_grace_us)
{
    UpsSet *s = g_new0(UpsSet, 1);

    s->topology = topology;
    s->gone_grace_us = gone_grace_us;
    s->by_id =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, unref_entry);
    s->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    s->by_service =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_list);
    s->notices = notices_new();
    s->departed = departed_new();
    return s;
}

void
ups_free(UpsSet *s)
{
    g_hash_table_destroy(s->by_service);
    g_hash_table_destroy(s->by_key);
    g_hash_table_destroy(s->by_id);
    notices_free(s->notices);
    departed_free(s->departed);
    g_free(s);
}

Ups *
ups_ref(Ups *u)
{
    u->refs++;
    return u;
}

void
ups_unref(Ups *u)
{
    if (--u->refs == 0) {
        g_free(u->id);
        g_free(u);
    }
}

Ups *
ups_find(const UpsSet *s, Str id)
{
    char *z = g_strndup(id.p, id.n);
    Ups *u = g_hash_table_lookup(s->by_id, z);

    g_free(z);
    return u;
}

static void
list_add(UpsSet *s, Ups *u)
{
    UpsList *l = g_hash_table_lookup(s->by_service, &u->service);

    if (l == NULL) {
        l = g_new0(UpsList, 1);
        l->members = g_ptr_array_new();
        l->recent_joins = g_ptr_array_new_with_free_func(unref_entry);
        g_hash_table_insert(s->by_service,
                            g_memdup2(&u->service, sizeof(u->service)), l);
    }
    g_ptr_array_add(l->members, u);
    if (l->recent_joins->len >= 2 * JOINS_KEPT) {
        g_ptr_array_remove_range(l->recent_joins, 0, JOINS_KEPT);
    }
    g_ptr_array_add(l->recent_joins, ups_ref(u));
    u->join_seq = ++l->n_joined;
}

static void
list_remove(UpsSet *s, Ups *u)
{
    UpsList *l = g_hash_table_lookup(s->by_service, &u->service);

    if (l != NULL) {
        g_ptr_array_remove_fast(l->members, u);
    }
}

static Ups *
add(UpsSet *s, const UpsReport *r)
{
    Ups *u = g_new0(Ups, 1);

    u->refs = 1;
    u->id = g_strndup(r->id.p, r->id.n);
    u->key = hash_str(r->id, 0);
    u->slowness = 1;
    g_queue_init(&u->idle_conns);
    g_hash_table_insert(s->by_id, u->id, u);
    g_hash_table_insert(s->by_key, &u->key, u);
    return u;
}

static void
reset_observations(Ups *u)
{
    u->other_load = 0;
    u->fail_rate = 0;
    u->slowness = 1;
    u->lost_streak = 0;
    u->observed = (UpsObservation){0};
    u->used = false;
    u->sent_us = 0;
    u->sent_before_us = 0;
    u->spare_us = 0;
    u->connect_failed_us = 0;
}

/* Moves the upstream to the list of the reported service, or lets it join
 * again when its region or slots changed. */
static void
update_list(UpsSet *s, Ups *u, const UpsReport *r, int zone)
{
    uint64_t service = hash_str(r->service, 0);
    int region = s->topology->region_of[zone];
    bool same = u->join_seq != 0 && u->service == service &&
                u->region == region && u->slots == r->slots;

    u->zone = zone;
    if (same) {
        return;
    }
    if (u->join_seq != 0) {
        list_remove(s, u);
    }
    u->service = service;
    u->region = region;
    u->slots = r->slots;
    list_add(s, u);
    s->version++;
}

/* Applies what the start of the upstream that a report names has said. */
static void
apply_notice(const UpsSet *s, Ups *u, const UpsReport *r)
{
    const Notice *n = notices_find(s->notices, u->id, r->boot_ms, &r->addr);

    u->said_leaving = n != NULL && n->leaving;
    u->wait_until_us = n == NULL ? 0 : n->wait_until_us;
}

static Notice *
change_notice(UpsSet *s, const Ups *u, int64_t now_us)
{
    return notices_change(s->notices, u->id, u->boot_ms, &u->addr, now_us);
}

/* Returns the upstream in the list, which is another one if the entry was lost
 * and written again while a request was in flight. */
static Ups *
listed(const UpsSet *s, Ups *u)
{
    Ups *l = g_hash_table_lookup(s->by_id, u->id);

    return l != NULL && l->boot_ms == u->boot_ms ? l : u;
}

static void
mark_leaving(UpsSet *s, Ups *u)
{
    u->said_leaving = true;
    u->state = u->state == UPS_READY ? UPS_DRAINING : u->state;
    s->version++;
}

bool
ups_observe_leaving(UpsSet *s, Ups *u, int64_t now_us)
{
    if (u->said_leaving) {
        return false;
    }
    change_notice(s, u, now_us)->leaving = true;
    mark_leaving(s, u);
    mark_leaving(s, listed(s, u));
    return true;
}

void
ups_observe_wait(UpsSet *s, Ups *u, int64_t wait_us, int64_t now_us)
{
    Notice *n = change_notice(s, u, now_us);

    n->wait_until_us = MAX(n->wait_until_us, now_us + wait_us);
    u->wait_until_us = n->wait_until_us;
    listed(s, u)->wait_until_us = n->wait_until_us;
}

/* Returns what a report changes of a known upstream. */
static UpsChange
compare(const Ups *u, const UpsReport *r, bool draining, int64_t now_us)
{
    if (u->boot_ms != r->boot_ms ||
        memcmp(&u->addr, &r->addr, sizeof(u->addr)) != 0) {
        return UPS_RESTARTED;
    }
    if (u->state == UPS_READY && draining) {
        return UPS_DRAIN_STARTED;
    }
    if (u->state != UPS_READY && !draining) {
        return UPS_DRAIN_ENDED;
    }
    if (u->slots != r->slots ||
        (r->warmup_left_us > 0 &&
         now_us + r->warmup_left_us > u->cold_until_us + COLD_AGAIN_US)) {
        return UPS_CHANGED;
    }
    return UPS_SAME;
}

void
ups_begin_history(UpsSet *s, int64_t now_us)
{
    s->former_until_us = now_us + FORMER_US;
}

/* Number of the last report of the start that a report is of; u: its entry, or
 * NULL. */
static uint64_t
last_seq(const UpsSet *s, const Ups *u, const UpsReport *r)
{
    if (u == NULL) {
        return departed_seq(s->departed, r->id, r->boot_ms);
    }
    return u->boot_ms == r->boot_ms ? u->seq : 0;
}

/* Returns true if the report is older than the last one of a listed upstream,
 * or no later than that of one that has left. */
static bool
is_former(const UpsSet *s, const Ups *u, const UpsReport *r, int64_t now_us)
{
    bool listed = u != NULL && u->missing_us == 0 && !u->former;
    uint64_t last = last_seq(s, u, r);

    return now_us < s->former_until_us && r->seq != 0 &&
           (listed ? r->seq < last : r->seq <= last);
}

static void
set_former(UpsSet *s, Ups *u, bool former)
{
    s->n_former += (former ? 1 : 0) - (u->former ? 1 : 0);
    u->former = former;
}

/* Lets the upstreams that the store still lists get new work. */
static void
end_former(UpsSet *s)
{
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, s->by_id);
    while (s->n_former > 0 && g_hash_table_iter_next(&it, NULL, &p)) {
        Ups *u = p;
        if (u->former) {
            set_former(s, u, false);
            u->state = u->said_leaving ? u->state : UPS_READY;
        }
    }
    s->version++;
}

UpsChange
ups_report(UpsSet *s, const UpsReport *r, int64_t now_us)
{
    UpsChange ch = UPS_ADDED;
    Ups *u = ups_find(s, r->id);
    int zone = topology_zone(s->topology, r->zone);

    if (zone < 0) {
        return UPS_UNKNOWN_ZONE;
    }
    bool known = u != NULL;
    bool former = is_former(s, u, r, now_us);
    if (former && known && u->missing_us == 0) {
        return UPS_FORMER;
    }
    uint64_t last = last_seq(s, u, r);
    u = known ? u : add(s, r);
    apply_notice(s, u, r);
    bool draining = r->draining || u->said_leaving || former;
    set_former(s, u, former && !r->draining);
    if (known) {
        ch = compare(u, r, draining, now_us);
    }
    if (ch == UPS_RESTARTED) {
        reset_observations(u);
    }
    s->n_missing -= u->missing_us != 0 ? 1 : 0;
    s->version += ch != UPS_SAME ? 1 : 0;
    u->boot_ms = r->boot_ms;
    u->seq = former ? last : r->seq;
    u->addr = r->addr;
    u->state = draining ? UPS_DRAINING : UPS_READY;
    u->missing_us = 0;
    update_list(s, u, r, zone);
    u->report_us = now_us;
    u->cold_until_us = now_us + r->warmup_left_us;
    return former ? UPS_FORMER : ch;
}

void
ups_missing(UpsSet *s, Str id, int64_t now_us)
{
    Ups *u = ups_find(s, id);

    if (u != NULL && u->state != UPS_GONE && u->missing_us == 0) {
        u->missing_us = now_us;
        s->n_missing++;
    }
}

void
ups_store_failed(UpsSet *s, int64_t now_us)
{
    s->grace_until_us = now_us + s->gone_grace_us;
}

int
ups_expire(UpsSet *s, int64_t now_us)
{
    GHashTableIter it;
    gpointer p;
    int n = 0;

    if (s->n_former > 0 && now_us >= s->former_until_us) {
        end_former(s);
    }
    if (now_us < s->grace_until_us || s->n_missing == 0) {
        return 0;
    }
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Ups *u = p;
        if (u->missing_us == 0) {
            continue;
        }
        u->state = UPS_GONE;
        departed_add(s->departed, u->id, u->boot_ms, u->seq, now_us);
        set_former(s, u, false);
        n++;
        list_remove(s, u);
        g_hash_table_remove(s->by_key, &u->key);
        g_hash_table_iter_remove(&it);
    }
    s->n_missing = 0;
    s->version++;
    return n;
}

void
ups_each(UpsSet *s, void (*f)(void *ctx, Ups *u), void *ctx)
{
    GHashTableIter it;
    gpointer p;

    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        f(ctx, p);
    }
}

void
ups_drain_zone(UpsSet *s, int zone, bool drained, int64_t now_us)
{
    if (s->drained[zone] && !drained) {
        s->drain_ended_us[zone] = now_us;
    }
    s->drained[zone] = drained;
    s->version++;
}

bool
ups_zone_drained(const UpsSet *s, int zone)
{
    return s->drained[zone];
}

const UpsList *
ups_list(const UpsSet *s, uint64_t service)
{
    return g_hash_table_lookup(s->by_service, &service);
}

const GPtrArray *
ups_of_service(const UpsSet *s, uint64_t service)
{
    const UpsList *l = ups_list(s, service);

    return l == NULL ? NULL : l->members;
}

uint64_t
ups_version(const UpsSet *s)
{
    return s->version;
}

bool
ups_usable(const UpsSet *s, const Ups *u)
{
    return u->state == UPS_READY && !s->drained[u->zone];
}

bool
ups_cold(const UpsSet *s, const Ups *u, int64_t warmup_us, int64_t now_us)
{
    int64_t drain_ended = s->drain_ended_us[u->zone];

    if (now_us < u->cold_until_us) {
        return true;
    }
    /* An upstream that was drained or down may have restarted and have empty
     * caches.  It counts as cold until its next report, or until the warm-up
     * time has passed. */
    return (drain_ended > u->report_us && now_us < drain_ended + warmup_us) ||
           (u->connect_failed_us > u->report_us &&
            now_us < u->connect_failed_us + warmup_us);
}

int
ups_take_observations(UpsSet *s, bool lost, UpsObservation *out, int max)
{
    GHashTableIter it;
    gpointer p;
    int n = 0;

    g_hash_table_iter_init(&it, s->by_id);
    while (n < max && g_hash_table_iter_next(&it, NULL, &p)) {
        Ups *u = p;
        if (lost ? u->observed.lost > 0
                 : u->observed.lost == 0 && u->observed.ok > 0) {
            out[n] = u->observed;
            out[n++].key = u->key;
            u->observed = (UpsObservation){0};
        }
    }
    return n;
}

void
ups_receive_observation(UpsSet *s, const UpsObservation *seen, int64_t now_us)
{
    Ups *u = g_hash_table_lookup(s->by_key, &seen->key);

    if (u != NULL) {
        ups_count_observation(u, seen, now_us);
    }
}
