/* own_change - proposals of the next roster.  See own.h. */
#include "own.h"

#include <stdlib.h>
#include <string.h>

#include "own_state.h"

static const OwnSeen *
seen_of(const OwnSeen *seen, int n, const char *id)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(seen[i].member.id, id) == 0) {
            return &seen[i];
        }
    }
    return NULL;
}

/* The incarnation of a VM is certainly not acting any more. */
static bool
is_over(const OwnSeen *s, uint64_t incarnation)
{
    return s != NULL &&
           (s->member.incarnation > incarnation ||
            (s->released && s->member.incarnation == incarnation));
}

static bool
is_live(const OwnSeen *s, uint64_t incarnation)
{
    return s != NULL && s->live && !s->released &&
           s->member.incarnation == incarnation;
}

/* A VM without a place in the roster may replace it only when every member
 * is certainly gone; a member always may. */
static bool
may_propose(const Own *o, const OwnSeen *seen, int n)
{
    if (o->me >= 0) {
        return true;
    }
    for (int i = 0; i < o->r.n; i++) {
        const OwnMember *m = &o->r.members[i];
        bool mine = strcmp(m->id, o->self.id) == 0;
        if (mine ? m->incarnation >= o->self.incarnation
                 : !is_over(seen_of(seen, n, m->id), m->incarnation)) {
            return false;
        }
    }
    return true;
}

/* Number of live members with lower ids, which propose earlier. */
static int
turn_of(const Own *o, const OwnSeen *seen, int n)
{
    int turn = 0;

    for (int i = 0; o->me >= 0 && i < o->me; i++) {
        const OwnMember *m = &o->r.members[i];
        turn += is_live(seen_of(seen, n, m->id), m->incarnation);
    }
    return turn;
}

static void
add_lost(OwnRoster *next, const OwnLost *l)
{
    for (int i = 0; i < next->n_lost; i++) {
        OwnLost *p = &next->lost[i];
        if (strcmp(p->id, l->id) != 0) {
            continue;
        }
        if (l->incarnation == p->incarnation) {
            p->since = MIN(p->since, l->since);
            p->epoch = MAX(p->epoch, l->epoch);
        }
        else if (l->incarnation > p->incarnation) {
            *p = *l;
        }
        return;
    }
    if (next->n_lost < VMS_PER_ZONE_MAX) {
        next->lost[next->n_lost++] = *l;
    }
}

static void
add_member(OwnRoster *next, const OwnMember *m, uint64_t since)
{
    if (next->n < VMS_PER_ZONE_MAX) {
        next->members[next->n] = *m;
        next->members[next->n].since = since;
        next->n++;
    }
}

/* Carries one present member over; returns whether it changed. */
static bool
carry_member(const Own *o, const OwnMember *m, const OwnSeen *s,
             int64_t now_us, OwnRoster *next)
{
    bool young = now_us - o->born_us < 2 * REMOVE_MS * INT64_C(1000);

    if (strcmp(m->id, o->self.id) == 0 &&
        m->incarnation >= o->self.incarnation) {
        add_member(next, m, m->since);
        return false;
    }
    if (strcmp(m->id, o->self.id) == 0 || is_over(s, m->incarnation)) {
        return true;
    }
    if ((s == NULL && young) || (s != NULL && s->live) ||
        next->n_lost >= VMS_PER_ZONE_MAX) {
        add_member(next, m, m->since);
        return false;
    }
    OwnLost l = {
        .incarnation = m->incarnation, .since = m->since, .epoch = o->r.epoch};
    memcpy(l.id, m->id, NAME_BYTES);
    add_lost(next, &l);
    return true;
}

/* Carries the lost members that may still act. */
static bool
carry_lost(const Own *o, const OwnSeen *seen, int n, OwnRoster *next)
{
    bool changed = false;

    for (int i = 0; i < o->r.n_lost; i++) {
        const OwnLost *l = &o->r.lost[i];
        if (is_over(seen_of(seen, n, l->id), l->incarnation) ||
            own_acked(o, l->id, l->incarnation, l->epoch + 1) ||
            (strcmp(l->id, o->self.id) == 0 &&
             l->incarnation < o->self.incarnation)) {
            changed = true;
            continue;
        }
        add_lost(next, l);
    }
    return changed;
}

static int
by_id(const void *a, const void *b)
{
    const OwnMember *x = a;
    const OwnMember *y = b;

    return strcmp(x->id, y->id);
}

static bool
add_new(const Own *o, const OwnSeen *seen, int n, OwnRoster *next)
{
    int had = next->n;

    if (own_find(next, o->self.id) < 0) {
        add_member(next, &o->self, next->epoch);
    }
    for (int i = 0; i < n; i++) {
        const OwnSeen *s = &seen[i];
        if (s->live && !s->released && own_find(next, s->member.id) < 0) {
            add_member(next, &s->member, next->epoch);
        }
    }
    qsort(next->members, (size_t)next->n, sizeof(next->members[0]), by_id);
    return next->n > had;
}

/*
 * Whether it is this VM's turn to send a change.  Once one may have been
 * sent, no promise is given for the epoch.
 */
static bool
begin_change(Own *o, int turn, int64_t now_us)
{
    if (o->want_since_us == OWN_NEVER) {
        o->want_since_us = now_us;
    }
    if (now_us - o->want_since_us <
        turn * OWN_PROPOSE_STEP_MS * INT64_C(1000)) {
        return false;
    }
    if (o->pending_epoch != o->r.epoch || o->proposed_us == OWN_NEVER) {
        o->proposed_us = now_us;
    }
    o->pending_epoch = o->r.epoch;
    return true;
}

static void
no_change(Own *o)
{
    o->want_since_us = OWN_NEVER;
}

bool
own_propose(Own *o, const OwnSeen *seen, int n, int64_t now_us,
            OwnRoster *next)
{
    bool changed;

    if (!may_propose(o, seen, n)) {
        return false;
    }
    memset(next, 0, sizeof(*next));
    next->epoch = o->r.epoch + 1;
    next->store_version = o->r.store_version;
    changed = carry_lost(o, seen, n, next);
    for (int i = 0; i < o->r.n; i++) {
        const OwnMember *m = &o->r.members[i];
        changed |= carry_member(o, m, seen_of(seen, n, m->id), now_us, next);
    }
    changed |= add_new(o, seen, n, next);
    if (!changed) {
        no_change(o);
        return false;
    }
    return begin_change(o, turn_of(o, seen, n), now_us);
}

void
own_propose_void(Own *o, uint64_t epoch)
{
    if (o->pending_epoch == epoch) {
        o->pending_epoch = 0;
    }
    no_change(o);
}

bool
own_propose_forget(Own *o, const char *id, int64_t now_us, OwnRoster *next)
{
    int kept = 0;

    if (o->me < 0) {
        return false;
    }
    *next = o->r;
    next->epoch = o->r.epoch + 1;
    for (int i = 0; i < o->r.n_lost; i++) {
        if (strcmp(o->r.lost[i].id, id) != 0) {
            next->lost[kept++] = o->r.lost[i];
        }
    }
    next->n_lost = kept;
    if (kept == o->r.n_lost) {
        return false;
    }
    return begin_change(o, 0, now_us);
}
