/*
 * soak_ctl - control processes of the VMs of a zone for the randomised runs,
 * around the real own, memb and storeq modules, the fake store that holds the
 * roster, and the faults of the surroundings.
 */
#ifndef MIMOSA_SOAK_CTL_H
#define MIMOSA_SOAK_CTL_H

#include "soak_zone.h"

static inline void
zone_cut(Zone *z)
{
    Soak *s = z->s;

    z->counts[C_CUT]++;
    z->cut = true;
    z->disturbed_us = MAX(z->disturbed_us, s->now_us);
    for (int i = 0; i < ENDS - 1; i++) {
        z->group[i] = soak_chance(s, 0.3);
    }
    soak_push(s,
              (SoakEvent){.at_us = s->now_us + soak_int(s, 500 * MS, 20 * SEC),
                          .kind = EV_JOIN_ENDS,
                          .to = STORE});
}

/* Cuts off the store and the members that a change has just added: they know
 * the change, the others do not. */
static inline void
zone_cut_new(Zone *z, const OwnRoster *r)
{
    zone_cut(z);
    memset(z->group, 0, sizeof(z->group));
    z->group[STORE] = 1;
    for (int i = 0; i < r->n; i++) {
        if (r->members[i].since == r->epoch) {
            z->group[atoi(r->members[i].id + 2)] = 1;
        }
    }
}

/* Takes a roster that this control read from the store or a peer. */
static inline void
zone_adopt(Zone *z, int v, const OwnRoster *given)
{
    int64_t now = zone_clock(z, v);

    if (given == NULL || given->epoch <= own_roster(z->vm[v].own)->epoch) {
        return;
    }
    OwnRoster r = *given;
    if (soak_fault(z->s, "own_no_reserve")) {
        r.n_lost = 0;
    }
    if (soak_fault(z->s, "own_no_wait")) {
        now -= 1200 * MS;
    }
    own_adopt(z->vm[v].own, &r, now);
}

/* The store's newest roster at the time of an answer travels as its index. */
static inline void
zone_on_read_answer(Zone *z, const SoakEvent *e)
{
    ZoneVm *m = &z->vm[e->to];
    int64_t asked = e->b;

    if (e->a < 0) {
        return;
    }
    storelimit_ok(&m->storeq);
    if (soak_fault(z->s, "own_confirm_at_answer")) {
        asked = zone_clock(z, e->to);
    }
    zone_adopt(z, e->to, e->c < 0 ? NULL : &z->rosters[e->c]);
    own_confirm_store(m->own, (uint64_t)e->a, asked);
}

static inline void
zone_read(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];
    int64_t now = zone_clock(z, v);

    if (now - m->read_at_us < 400 * MS ||
        !storelimit_take(&m->storeq, now, NULL)) {
        return;
    }
    m->read_at_us = now;
    if (z->store_refuses || !zone_reaches(z, v, STORE)) {
        GRand *rnd = g_rand_new_with_seed((guint32)soak_u64(z->s));
        storelimit_fail(&m->storeq, rnd, now);
        g_rand_free(rnd);
        return;
    }
    zone_send(z, (SoakEvent){
                     .kind = EV_STORE_READ, .to = STORE, .from = v, .b = now});
}

static inline void
zone_store_answer(Zone *z, SoakEvent e)
{
    /* An answer can be lost after the write took effect. */
    if (soak_chance(z->s, 0.03)) {
        return;
    }
    zone_send(z, e);
}

static inline void
zone_on_store(Zone *z, SoakEvent *e)
{
    Soak *s = z->s;
    SoakEvent ans = {
        .to = e->from, .life = e->from_life, .from = STORE, .b = e->b};

    if (!z->store_up) {
        /* A request in the store's queue may be worked off after the outage.
         */
        if (soak_chance(s, 0.5)) {
            e->at_us = s->now_us + soak_int(s, 500 * MS, 5000 * MS);
            soak_push(s, *e);
        }
        return;
    }
    if (z->store_slow && e->d == 0) {
        e->d = 1;
        e->at_us = s->now_us + soak_int(s, 50 * MS, 3000 * MS);
        soak_push(s, *e);
        return;
    }
    if (e->kind == EV_STORE_READ) {
        ans.kind = EV_STORE_READ_ANS;
        ans.a = (int64_t)z->store_version;
        ans.c = z->store_roster;
        zone_store_answer(z, ans);
        return;
    }
    OwnRoster *r = &z->rosters[e->a];
    bool ok = (uint64_t)e->b == z->store_version;
    if (ok) {
        z->store_version++;
        r->store_version = z->store_version;
        z->store_roster = e->a;
        z->counts[C_CHANGE]++;
        if (soak_chance(s, 0.15)) {
            zone_cut_new(z, r);
        }
    }
    else {
        z->counts[C_CONFLICT]++;
    }
    ans.kind = EV_STORE_CAS_ANS;
    ans.a = ok;
    ans.b = (int64_t)r->epoch - 1;
    ans.c = z->store_roster;
    ans.d = (int64_t)z->store_version;
    zone_store_answer(z, ans);
}

static inline void
zone_on_cas_answer(Zone *z, const SoakEvent *e)
{
    ZoneVm *m = &z->vm[e->to];

    storelimit_ok(&m->storeq);
    m->cas_at_us = -10 * SEC;
    if (e->a == 0) {
        own_propose_void(m->own, (uint64_t)e->b);
    }
    zone_adopt(z, e->to, e->c < 0 ? NULL : &z->rosters[e->c]);
}

static inline int
zone_seen(Zone *z, int v, OwnSeen *seen)
{
    ZoneVm *m = &z->vm[v];
    int n = 0;

    for (int u = 0; u < VMS; u++) {
        const ZoneVm *p = &z->vm[u];
        char id[NAME_BYTES];
        zone_id(u, id, sizeof(id));
        const MembVm *mv = memb_find(m->memb, id);
        bool listed = p->up || z->s->now_us < p->listed_until_us;
        if (u == v || (mv == NULL && listed)) {
            continue;
        }
        OwnSeen *o = &seen[n++];
        memset(o, 0, sizeof(*o));
        zone_id(u, o->member.id, sizeof(o->member.id));
        o->member.incarnation = mv != NULL ? mv->incarnation : p->incarnation;
        o->live = mv != NULL && mv->state != MEMB_GONE;
        if (!listed) {
            /* The VM that the list no longer names is gone for good. */
            o->member.incarnation = p->incarnation;
            o->live = false;
            o->released = true;
        }
    }
    return n;
}

static inline void
zone_propose(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];
    OwnSeen seen[VMS];
    OwnRoster next;
    int64_t now = zone_clock(z, v);

    if (m->storeq.fails > 0 || now - m->cas_at_us < 1000 * MS ||
        (own_roster(m->own)->epoch == 0 && z->store_version > 0)) {
        return;
    }
    int n = zone_seen(z, v, seen);
    if (!own_propose(m->own, seen, n, now, &next) ||
        !storelimit_take(&m->storeq, now, NULL)) {
        return;
    }
    m->cas_at_us = now;
    if (z->store_refuses || !zone_reaches(z, v, STORE)) {
        own_propose_void(m->own, next.epoch - 1);
        return;
    }
    zone_send(z, (SoakEvent){.kind = EV_STORE_CAS,
                             .to = STORE,
                             .from = v,
                             .a = zone_keep_roster(z, &next),
                             .b = (int64_t)next.store_version});
    if (soak_fault(z->s, "own_void_after_lost")) {
        own_propose_void(m->own, next.epoch - 1);
    }
}

/* Puts what own decides into a snapshot and sends it to the entry. */
static inline void
zone_snap(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];
    const OwnRoster *r = own_roster(m->own);
    int64_t now = zone_clock(z, v);
    int64_t at = (int64_t)(z->n_snaps++ % SNAPS);
    ZoneSnap *p = &z->snaps[at];

    p->epoch = r->epoch;
    p->at_us = now;
    p->mode = own_mode(m->own, now);
    p->good_until_us = own_good_until(m->own, now);
    for (int i = 0; i < KEY_RANGES; i++) {
        int o = own_owner(r, own_range_key(i));
        p->owner_of_range[i] = o < 0 ? -1 : atoi(r->members[o].id + 2);
        p->owned[i] = own_range_owned(m->own, i, now);
        p->tenure_us[i] = own_range_tenure(m->own, i, now);
    }
    for (int i = 0; i < z->n_targets; i++) {
        int o = own_owner(r, own_target_key(z->target[i]));
        p->owner_of_target[i] = o < 0 ? -1 : atoi(r->members[o].id + 2);
        p->budget[i] = own_budget(m->own, z->target[i], z->slots[i], now);
    }
    soak_push(z->s,
              (SoakEvent){.at_us = z->s->now_us + soak_int(z->s, 100, 3 * MS),
                          .kind = EV_SNAP,
                          .to = v,
                          .from = v,
                          .life = m->life,
                          .a = at});
}

/* A heartbeat, or with the asker's life the answer to one. */
static inline void
zone_beat(Zone *z, int v, int u, uint64_t life, int64_t sent, int64_t epoch)
{
    ZoneVm *m = &z->vm[v];
    uint64_t acting = m->acked;

    if (soak_fault(z->s, "own_ack_early")) {
        acting = own_roster(m->own)->epoch;
    }
    zone_send(z, (SoakEvent){.kind = life == 0 ? EV_BEAT : EV_BEAT_REPLY,
                             .life = life,
                             .to = u,
                             .from = v,
                             .a = (int64_t)m->incarnation,
                             .b = sent,
                             .c = (int64_t)acting,
                             .d = epoch});
}

static inline void
zone_tick(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];
    int64_t now = zone_clock(z, v);
    const OwnRoster *r = own_roster(m->own);

    own_step(m->own, now);
    memb_step(m->memb, now);
    for (int u = 0; u < VMS; u++) {
        if (u != v) {
            zone_beat(z, v, u, 0, now, (int64_t)r->epoch);
        }
    }
    if (r->epoch == 0 || own_mode(m->own, now) != OWN_FULL ||
        own_good_until(m->own, now) - now < 700 * MS ||
        soak_chance(z->s, 0.1)) {
        zone_read(z, v);
    }
    zone_propose(z, v);
    zone_snap(z, v);
    soak_push(z->s, (SoakEvent){.at_us = z->s->now_us +
                                         soak_int(z->s, 480 * MS, 520 * MS),
                                .kind = EV_TICK,
                                .to = v,
                                .life = m->life});
}

static inline void
zone_on_beat(Zone *z, const SoakEvent *e)
{
    ZoneVm *m = &z->vm[e->to];
    int64_t now = zone_clock(z, e->to);
    int64_t epoch = e->kind == EV_BEAT ? e->d : ABS(e->d);
    const OwnRoster *r = own_roster(m->own);
    MembVm mm;
    char id[NAME_BYTES];

    zone_memb_vm(z, e->from, &mm);
    mm.incarnation = (uint64_t)e->a;
    memb_news(m->memb, &mm, 0, now);
    zone_id(e->from, id, sizeof(id));
    own_heard(m->own, id, (uint64_t)e->a, (uint64_t)e->c);
    if ((uint64_t)epoch > r->epoch) {
        /* Fetches the text from the peer. */
        zone_send(
            z, (SoakEvent){.kind = EV_ROSTER, .to = e->to, .from = e->from});
    }
    if (e->kind == EV_BEAT_REPLY) {
        if (e->d > 0) {
            own_confirm_peer(m->own, id, (uint64_t)e->a, (uint64_t)e->d, e->b);
        }
        return;
    }
    bool lax = soak_fault(z->s, "own_promise_forgotten");
    bool given =
        own_promise(m->own, id, (uint64_t)e->d, lax ? now - 1200 * MS : now);
    zone_beat(z, e->to, e->from, e->from_life, e->b,
              given ? e->d : -(int64_t)r->epoch);
}

/* A peer hands on the roster that it holds now. */
static inline void
zone_on_roster(Zone *z, const SoakEvent *e)
{
    const Own *from = z->vm[e->from].own;

    if (from == NULL) {
        return;
    }
    zone_adopt(z, e->to, own_roster(from));
}

static inline void
zone_pause(Zone *z, int v)
{
    Soak *s = z->s;
    int64_t until =
        s->now_us + (soak_chance(s, 0.5) ? soak_int(s, 100 * MS, 3 * SEC)
                                         : soak_int(s, 3 * SEC, 40 * SEC));
    int which = (int)soak_int(s, 0, 3);

    z->counts[C_PAUSE]++;
    z->disturbed_us = MAX(z->disturbed_us, until);
    if (which != 1) {
        z->vm[v].control_paused_until_us = until;
    }
    if (which != 2) {
        z->vm[v].entry_paused_until_us = until;
    }
}

static inline void
zone_chaos(Zone *z)
{
    Soak *s = z->s;
    int v = (int)soak_int(s, 0, VMS - 1);

    switch (soak_int(s, 0, 9)) {
    case 0:
    case 1:
        zone_pause(z, v);
        break;
    case 2:
        zone_cut(z);
        break;
    case 3:
    case 4:
        z->counts[C_CRASH]++;
        z->disturbed_us = MAX(z->disturbed_us, s->now_us);
        zone_kill(z, v);
        soak_push(s, (SoakEvent){.at_us = s->now_us +
                                          soak_int(s, 200 * MS, 60 * SEC),
                                 .kind = EV_BOOT,
                                 .to = v});
        break;
    case 5:
    case 6:
        z->counts[C_OUTAGE]++;
        z->store_slow = soak_chance(s, 0.4);
        z->store_up = z->store_slow;
        z->store_refuses = !z->store_up && soak_chance(s, 0.5);
        soak_push(s, (SoakEvent){.at_us = s->now_us +
                                          soak_int(s, 500 * MS, 40 * SEC),
                                 .kind = EV_STORE_UP,
                                 .to = STORE});
        break;
    default:
        break;
    }
    soak_push(s,
              (SoakEvent){.at_us = s->now_us + soak_int(s, 100 * MS, 8 * SEC),
                          .kind = EV_CHAOS,
                          .to = STORE});
}

static inline void
zone_init(Zone *z, Soak *s, int n_targets)
{
    memset(z, 0, sizeof(*z));
    z->s = s;
    z->store_up = true;
    z->store_roster = -1;
    z->rosters = g_new0(OwnRoster, ROSTERS);
    z->snaps = g_new0(ZoneSnap, SNAPS);
    z->n_targets = n_targets;
    for (int i = 0; i < n_targets; i++) {
        z->slots[i] = (int)soak_int(s, 1, 5);
        snprintf(z->target[i], sizeof(z->target[i]), "t%d", i);
    }
    for (int v = 0; v < VMS; v++) {
        zone_boot(z, v);
    }
    soak_push(s, (SoakEvent){.at_us = 5 * SEC, .kind = EV_CHAOS, .to = STORE});
}

/* True when the receiver is paused: the event waits for its end. */
static inline bool
zone_held(Zone *z, const SoakEvent *e)
{
    Soak *s = z->s;
    bool entry = e->kind == EV_SNAP || e->kind >= ZONE_KINDS;

    if (e->to >= VMS || e->kind == EV_BOOT) {
        return false;
    }
    const ZoneVm *m = &z->vm[e->to];
    int64_t until =
        entry ? m->entry_paused_until_us : m->control_paused_until_us;
    if (until <= s->now_us) {
        return false;
    }
    SoakEvent late = *e;
    late.at_us = until;
    soak_push(s, late);
    return true;
}

/* Handles the zone's events; false: the program's own. */
static inline bool
zone_handle(Zone *z, SoakEvent *e)
{
    switch (e->kind) {
    case EV_TICK:
        zone_tick(z, e->to);
        return true;
    case EV_BEAT:
    case EV_BEAT_REPLY:
        zone_on_beat(z, e);
        return true;
    case EV_ROSTER:
        zone_on_roster(z, e);
        return true;
    case EV_SNAP_ACK:
        z->vm[e->to].acked = MAX(z->vm[e->to].acked, (uint64_t)e->a);
        return true;
    case EV_STORE_READ:
    case EV_STORE_CAS:
        zone_on_store(z, e);
        return true;
    case EV_STORE_READ_ANS:
        zone_on_read_answer(z, e);
        return true;
    case EV_STORE_CAS_ANS:
        zone_on_cas_answer(z, e);
        return true;
    case EV_CHAOS:
        zone_chaos(z);
        return true;
    case EV_BOOT:
        z->disturbed_us = MAX(z->disturbed_us, z->s->now_us);
        zone_boot(z, e->to);
        return true;
    case EV_STORE_UP:
        z->store_up = true;
        z->store_refuses = false;
        z->store_slow = false;
        return true;
    case EV_JOIN_ENDS:
        memset(z->group, 0, sizeof(z->group));
        z->cut = false;
        z->disturbed_us = MAX(z->disturbed_us, z->s->now_us);
        return true;
    default:
        return false;
    }
}

#endif
