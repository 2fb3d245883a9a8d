/* own - ownership of targets and key ranges: confirmations, budgets, tenure.
 * Changes of the roster are in own_change.c, its text form in own_text.c. */
#include "own.h"

#include <string.h>

#include "hash.h"
#include "inv.h"
#include "own_state.h"

typedef struct Ack {
    uint64_t incarnation;
    uint64_t epoch;
} Ack;

static uint64_t
node_of(const char *id)
{
    return hash_str(str_of(id), 21);
}

/* Index of the node with the highest score, or -1. */
static int
top_of(const uint64_t *nodes, int n, uint64_t key)
{
    int best = -1;
    uint64_t best_score = 0;

    for (int i = 0; i < n; i++) {
        uint64_t s = hash_mix(key, nodes[i]);
        if (best < 0 || s > best_score) {
            best = i;
            best_score = s;
        }
    }
    return best;
}

int
own_owner(const OwnRoster *r, uint64_t key)
{
    uint64_t nodes[VMS_PER_ZONE_MAX];

    for (int i = 0; i < r->n; i++) {
        nodes[i] = node_of(r->members[i].id);
    }
    return top_of(nodes, r->n, key);
}

uint64_t
own_target_key(const char *target_name)
{
    return hash_str(str_of(target_name), 22);
}

uint64_t
own_range_key(int range)
{
    return hash_mix(23, (uint64_t)range);
}

Own *
own_new(const OwnMember *self, int64_t now_us)
{
    Own *o = g_new0(Own, 1);

    o->self = *self;
    o->born_us = now_us;
    o->step_us = now_us;
    o->me = -1;
    o->confirmed_us = OWN_NEVER;
    o->store_us = OWN_NEVER;
    o->wait_until_us = OWN_NEVER;
    o->want_since_us = OWN_NEVER;
    o->proposed_us = OWN_NEVER;
    o->resumed_us = now_us;
    for (int i = 0; i < KEY_RANGES; i++) {
        o->tenure_us[i] = -1;
    }
    o->acks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return o;
}

void
own_free(Own *o)
{
    if (o == NULL) {
        return;
    }
    g_hash_table_destroy(o->acks);
    g_free(o);
}

const OwnRoster *
own_roster(const Own *o)
{
    return &o->r;
}

int
own_find(const OwnRoster *r, const char *id)
{
    for (int i = 0; i < r->n; i++) {
        if (strcmp(r->members[i].id, id) == 0) {
            return i;
        }
    }
    return -1;
}

/*
 * When the newest full confirmation was asked for.  Peers promise for
 * themselves only: once this VM may have sent a change, their confirmations
 * no longer show that the roster stands.
 */
static int64_t
confirmed_us(const Own *o, int64_t now_us)
{
    bool pending = o->pending_epoch != 0 && o->pending_epoch == o->r.epoch;
    int64_t peers = pending ? MIN(now_us, o->proposed_us) : now_us;

    for (int i = 0; i < o->r.n; i++) {
        if (i != o->me) {
            peers = MIN(peers, o->peer_us[i]);
        }
    }
    return MAX(o->confirmed_us, MAX(o->store_us, peers));
}

static void
keep_roster(Own *o, int64_t now_us)
{
    if (now_us >= o->wait_until_us) {
        o->n_chain = 0;
        o->all_gained = false;
    }
    if (o->r.epoch == 0 || o->n_chain == OWN_CHAIN) {
        o->all_gained = true;
        return;
    }
    OwnSet *s = &o->chain[o->n_chain++];
    s->n = o->r.n;
    s->me = o->me;
    memcpy(s->nodes, o->nodes, sizeof(s->nodes));
}

/* A key that this VM owns now, but did not own throughout since its rosters
 * last settled: the former owner may act until its confirmation lapses. */
static bool
gained(const Own *o, uint64_t key, int64_t now_us)
{
    if (now_us >= o->wait_until_us) {
        return false;
    }
    if (o->all_gained) {
        return true;
    }
    for (int i = 0; i < o->n_chain; i++) {
        const OwnSet *s = &o->chain[i];
        if (s->me < 0 || top_of(s->nodes, s->n, key) != s->me) {
            return true;
        }
    }
    return false;
}

static bool
is_mine(const Own *o, uint64_t key)
{
    return o->me >= 0 && top_of(o->nodes, o->r.n, key) == o->me;
}

static void refresh_tenure(Own *o, int64_t now_us);

bool
own_adopt(Own *o, const OwnRoster *r, int64_t now_us)
{
    if (r->epoch <= o->r.epoch) {
        return false;
    }
    /* A sole member confirms itself, up to the change that ended that. */
    int64_t sure = confirmed_us(o, o->r.n == 1 ? o->proposed_us : now_us);
    bool skipped = r->epoch != o->r.epoch + 1;
    bool was_member = o->me >= 0;
    keep_roster(o, now_us);
    /* Owners of epochs that were not seen may still act. */
    o->all_gained = o->all_gained || skipped;
    o->r = *r;
    o->me = own_find(r, o->self.id);
    if (o->me >= 0 && r->members[o->me].incarnation != o->self.incarnation) {
        o->me = -1;
    }
    for (int i = 0; i < r->n; i++) {
        o->nodes[i] = node_of(r->members[i].id);
        o->peer_us[i] = OWN_NEVER;
    }
    o->store_us = OWN_NEVER;
    /* What was asked for before the change still bounds the time until which
     * a key that is kept may be used; a gained one waits longer. */
    o->confirmed_us = was_member ? sure : OWN_NEVER;
    o->stale = false;
    o->want_since_us = OWN_NEVER;
    o->wait_until_us = now_us + OWN_WAIT_US;
    refresh_tenure(o, now_us);
    return true;
}

/* A confirmation that was asked for after the former one had lapsed breaks
 * the tenure of all ranges. */
static void
note_confirmed(Own *o, int64_t asked_us, int64_t before_us)
{
    if (asked_us < o->resumed_us) {
        return;
    }
    o->confirmed = true;
    if (before_us == OWN_NEVER || asked_us <= before_us + OWN_LAPSE_US) {
        return;
    }
    for (int i = 0; i < KEY_RANGES; i++) {
        if (o->tenure_us[i] >= 0) {
            o->tenure_us[i] = MAX(o->tenure_us[i], asked_us);
        }
    }
}

void
own_confirm_store(Own *o, uint64_t v, int64_t asked_us)
{
    if (o->r.epoch == 0 || v < o->r.store_version) {
        return;
    }
    if (v > o->r.store_version) {
        o->stale = true;
        return;
    }
    int64_t before = confirmed_us(o, asked_us);
    o->store_us = MAX(o->store_us, asked_us);
    note_confirmed(o, confirmed_us(o, asked_us), before);
}

void
own_confirm_peer(Own *o, const char *id, uint64_t incarnation, uint64_t epoch,
                 int64_t asked_us)
{
    int i = own_find(&o->r, id);

    if (i < 0 || i == o->me || epoch != o->r.epoch ||
        o->r.members[i].incarnation != incarnation) {
        return;
    }
    int64_t before = confirmed_us(o, asked_us);
    o->peer_us[i] = MAX(o->peer_us[i], asked_us);
    int64_t after = confirmed_us(o, asked_us);
    if (after > before) {
        note_confirmed(o, after, before);
    }
}

void
own_heard(Own *o, const char *id, uint64_t incarnation, uint64_t epoch)
{
    Ack *a = g_hash_table_lookup(o->acks, id);

    if (a == NULL) {
        if (g_hash_table_size(o->acks) >= OWN_ACKS_MAX) {
            g_hash_table_remove_all(o->acks);
        }
        a = g_new0(Ack, 1);
        g_hash_table_insert(o->acks, g_strdup(id), a);
    }
    if (incarnation > a->incarnation) {
        a->incarnation = incarnation;
        a->epoch = 0;
    }
    if (incarnation == a->incarnation) {
        a->epoch = MAX(a->epoch, epoch);
    }
}

/* Whether a VM acts on that epoch or a later one, or was replaced. */
bool
own_acked(const Own *o, const char *id, uint64_t incarnation, uint64_t epoch)
{
    const Ack *a = g_hash_table_lookup(o->acks, id);

    return a != NULL && (a->incarnation > incarnation ||
                         (a->incarnation == incarnation && a->epoch >= epoch));
}

bool
own_promise(Own *o, const char *id, uint64_t epoch, int64_t now_us)
{
    int i = own_find(&o->r, id);

    own_step(o, now_us);
    return o->me >= 0 && i >= 0 && i != o->me && epoch == o->r.epoch &&
           !o->stale && o->pending_epoch != o->r.epoch;
}

OwnMode
own_mode(const Own *o, int64_t now_us)
{
    if (o->me < 0 || o->stale || now_us - o->step_us > OWN_PAUSE_US ||
        (o->all_gained && now_us < o->wait_until_us)) {
        return OWN_NONE;
    }
    int64_t c = confirmed_us(o, now_us);
    if (c != OWN_NEVER && c >= o->resumed_us && now_us <= c + OWN_LAPSE_US) {
        return OWN_FULL;
    }
    return o->confirmed ? OWN_ISOLATED : OWN_NONE;
}

int64_t
own_good_until(const Own *o, int64_t now_us)
{
    switch (own_mode(o, now_us)) {
    case OWN_FULL:
        return confirmed_us(o, now_us) + OWN_LAPSE_US;
    case OWN_ISOLATED:
        return now_us + OWN_LAPSE_US;
    default:
        return now_us;
    }
}

/* The first epoch from since on in which a present member other than id
 * owned the key before that node did, or UINT64_MAX. */
static uint64_t
outscored_since(const Own *o, const char *id, uint64_t node, uint64_t key)
{
    uint64_t score = hash_mix(key, node);
    uint64_t first = UINT64_MAX;

    for (int i = 0; i < o->r.n; i++) {
        const OwnMember *z = &o->r.members[i];
        if (hash_mix(key, o->nodes[i]) > score && strcmp(z->id, id) != 0) {
            first = MIN(first, z->since);
        }
    }
    return first;
}

/*
 * Counts VMs that owned the key in an earlier epoch and may still act on it:
 * each may hold half of what was left to it.
 */
static int
holders(const Own *o, uint64_t key)
{
    int n = 0;

    for (int i = 0; i < o->r.n; i++) {
        const OwnMember *m = &o->r.members[i];
        uint64_t lost_at = outscored_since(o, m->id, o->nodes[i], key);
        if (i != o->me && m->since < lost_at && lost_at != UINT64_MAX &&
            !own_acked(o, m->id, m->incarnation, lost_at)) {
            n++;
        }
    }
    for (int i = 0; i < o->r.n_lost; i++) {
        const OwnLost *l = &o->r.lost[i];
        if (strcmp(l->id, o->self.id) != 0 &&
            l->since < outscored_since(o, l->id, node_of(l->id), key) &&
            !own_acked(o, l->id, l->incarnation, l->epoch + 1)) {
            n++;
        }
    }
    return n;
}

int
own_budget(const Own *o, const char *target_name, int slots, int64_t now_us)
{
    uint64_t key = own_target_key(target_name);
    OwnMode mode = own_mode(o, now_us);

    if (mode == OWN_NONE || !is_mine(o, key) || gained(o, key, now_us)) {
        return 0;
    }
    int b = slots;
    int reserve = 0;
    for (int h = holders(o, key); h > 0; h--) {
        reserve += b / 2;
        b -= b / 2;
    }
    if (mode == OWN_ISOLATED) {
        b /= 2;
    }
    INV("overload", b >= 0 && b + reserve <= slots,
        "target %s: budget %d, reserve %d, slots %d", target_name, b, reserve,
        slots);
    return b;
}

bool
own_range_owned(const Own *o, int range, int64_t now_us)
{
    uint64_t key = own_range_key(range);

    return own_mode(o, now_us) != OWN_NONE && is_mine(o, key) &&
           !gained(o, key, now_us);
}

int64_t
own_range_tenure(const Own *o, int range, int64_t now_us)
{
    if (own_mode(o, now_us) != OWN_FULL ||
        !own_range_owned(o, range, now_us) ||
        holders(o, own_range_key(range)) > 0) {
        return -1;
    }
    return o->tenure_us[range];
}

/* A tenure begins when the range is owned, its wait is over and no former
 * owner may still act; it ends with the ownership. */
static void
refresh_tenure(Own *o, int64_t now_us)
{
    for (int i = 0; i < KEY_RANGES; i++) {
        uint64_t key = own_range_key(i);
        if (!is_mine(o, key) || gained(o, key, now_us) ||
            holders(o, key) > 0) {
            o->tenure_us[i] = -1;
        }
        else if (o->tenure_us[i] < 0) {
            o->tenure_us[i] = now_us;
        }
    }
}

void
own_step(Own *o, int64_t now_us)
{
    if (now_us - o->step_us > OWN_PAUSE_US) {
        o->confirmed = false;
        o->resumed_us = now_us;
    }
    o->step_us = MAX(o->step_us, now_us);
    refresh_tenure(o, now_us);
}

const char *
own_mode_name(OwnMode m)
{
    static const char *const names[] = {"none", "full", "isolated"};

    return (size_t)m < G_N_ELEMENTS(names) ? names[m] : "other";
}
