/* memb - membership from heartbeats, digests and hints.  See memb.h. */
#include "memb.h"

#include <string.h>

#include <glib.h>

#include "hash.h"
#include "str.h"

#define US_PER_MS 1000
/* News of VMs that are not heard directly is up to one more pull old. */
#define RELAYED_SLACK_US (HEARTBEAT_MS * US_PER_MS)
/* A VM that a hint names as gone is suspect after one missed heartbeat. */
#define HINTED_SUSPECT_US (HEARTBEAT_MS * US_PER_MS + 100 * US_PER_MS)
#define HINTED_REMOVE_US (SUSPECT_MS * US_PER_MS)
/* A gone VM is kept for this time, so that old news does not revive it. */
#define FORGET_US (60 * 1000 * (int64_t)US_PER_MS)

typedef struct Entry {
    MembVm vm;
    bool says_leaving;
    bool hint_leaving;
    bool hint_gone;
    bool refused;
} Entry;

struct Memb {
    GPtrArray *all; /* Entry, sorted by zone and id */
    Entry *self;
    int64_t stepped_us;
    int64_t no_remove_until_us;
};

static int
compare(const MembVm *a, const MembVm *b)
{
    int c = strcmp(a->zone, b->zone);

    return c != 0 ? c : strcmp(a->id, b->id);
}

static Entry *
insert(Memb *m, const MembVm *vm)
{
    Entry *e = g_new0(Entry, 1);
    guint at = 0;

    e->vm = *vm;
    e->says_leaving = vm->leaving;
    while (at < m->all->len &&
           compare(&((Entry *)g_ptr_array_index(m->all, at))->vm, vm) < 0) {
        at++;
    }
    g_ptr_array_insert(m->all, (gint)at, e);
    return e;
}

Memb *
memb_new(const MembVm *self, int64_t now_us)
{
    Memb *m = g_new0(Memb, 1);

    m->all = g_ptr_array_new_with_free_func(g_free);
    m->self = insert(m, self);
    m->self->vm.state = MEMB_LIVE;
    m->self->vm.heard_us = now_us;
    m->stepped_us = now_us;
    return m;
}

void
memb_free(Memb *m)
{
    if (m != NULL) {
        g_ptr_array_free(m->all, TRUE);
        g_free(m);
    }
}

MembVm *
memb_self(Memb *m)
{
    return &m->self->vm;
}

static Entry *
find(const Memb *m, const char *id)
{
    for (guint i = 0; i < m->all->len; i++) {
        Entry *e = g_ptr_array_index(m->all, i);
        if (strcmp(e->vm.id, id) == 0) {
            return e;
        }
    }
    return NULL;
}

static int64_t
suspect_after(const Memb *m, const Entry *e)
{
    if (e->refused) {
        return MEMB_REFUSED_MS * US_PER_MS / 2;
    }
    if (e->hint_gone) {
        return HINTED_SUSPECT_US;
    }
    bool near = strcmp(e->vm.zone, m->self->vm.zone) == 0;
    return SUSPECT_MS * US_PER_MS + (near ? 0 : RELAYED_SLACK_US);
}

static int64_t
remove_after(const Memb *m, const Entry *e)
{
    if (e->refused) {
        return MEMB_REFUSED_MS * US_PER_MS;
    }
    bool near = strcmp(e->vm.zone, m->self->vm.zone) == 0;
    int64_t slack = near ? 0 : RELAYED_SLACK_US;

    return (e->hint_gone ? HINTED_REMOVE_US : REMOVE_MS * US_PER_MS) + slack;
}

static MembState
state_of(const Memb *m, const Entry *e, int64_t now_us)
{
    int64_t silent = now_us - e->vm.heard_us;

    if (silent > remove_after(m, e)) {
        bool held = e->vm.state != MEMB_GONE && now_us < m->no_remove_until_us;
        return held ? MEMB_SUSPECT : MEMB_GONE;
    }
    return silent > suspect_after(m, e) ? MEMB_SUSPECT : MEMB_LIVE;
}

bool
memb_news(Memb *m, const MembVm *vm, int64_t age_us, int64_t now_us)
{
    Entry *e = find(m, vm->id);
    int64_t heard = now_us - MAX(age_us, 0);

    if (e == m->self) {
        return false;
    }
    if (e == NULL) {
        if (m->all->len >= 2 * VMS_MAX) {
            return false;
        }
        e = insert(m, vm);
        e->vm.heard_us = heard;
        e->vm.state = state_of(m, e, now_us);
        return true;
    }
    if (vm->incarnation < e->vm.incarnation ||
        (vm->incarnation == e->vm.incarnation && heard <= e->vm.heard_us)) {
        return false;
    }
    bool restarted = vm->incarnation > e->vm.incarnation;
    MembState old = e->vm.state;
    bool old_leaving = e->vm.leaving;
    e->hint_leaving = e->hint_leaving && !restarted;
    e->hint_gone = false;
    e->refused = false;
    e->says_leaving = vm->leaving;
    e->vm = *vm;
    e->vm.leaving = e->says_leaving || e->hint_leaving;
    e->vm.heard_us = heard;
    e->vm.state = old;
    e->vm.state = state_of(m, e, now_us);
    return restarted || e->vm.state != old || e->vm.leaving != old_leaving;
}

void
memb_hint(Memb *m, const char *id, bool leaving, bool listed, int64_t now_us)
{
    Entry *e = find(m, id);

    (void)now_us;
    if (e == NULL || e == m->self) {
        return;
    }
    e->hint_leaving = listed && leaving;
    e->vm.leaving = e->says_leaving || e->hint_leaving;
    e->hint_gone = !listed;
}

void
memb_refused(Memb *m, const char *id)
{
    Entry *e = find(m, id);

    if (e != NULL && e != m->self) {
        e->refused = true;
    }
}

int
memb_step(Memb *m, int64_t now_us)
{
    int changes = 0;

    if (now_us - m->stepped_us > SUSPECT_MS * US_PER_MS) {
        m->no_remove_until_us = now_us + REMOVE_MS * US_PER_MS;
    }
    m->stepped_us = now_us;
    m->self->vm.heard_us = now_us;
    for (guint i = 0; i < m->all->len; i++) {
        Entry *e = g_ptr_array_index(m->all, i);
        MembState s = e == m->self ? MEMB_LIVE : state_of(m, e, now_us);
        changes += s != e->vm.state;
        e->vm.state = s;
        if (now_us - e->vm.heard_us > FORGET_US && s == MEMB_GONE) {
            g_ptr_array_remove_index(m->all, i--);
        }
    }
    return changes;
}

int
memb_count(const Memb *m)
{
    return (int)m->all->len;
}

const MembVm *
memb_at(const Memb *m, int i)
{
    return &((Entry *)g_ptr_array_index(m->all, (guint)i))->vm;
}

const MembVm *
memb_find(const Memb *m, const char *id)
{
    const Entry *e = find(m, id);

    return e == NULL ? NULL : &e->vm;
}

const MembVm *
memb_relay(const Memb *m, const char *zone)
{
    /* Sorted by id within a zone, so the first one that fits is the relay. */
    for (guint i = 0; i < m->all->len; i++) {
        const MembVm *vm = memb_at(m, (int)i);
        if (strcmp(vm->zone, zone) == 0 && vm->state == MEMB_LIVE &&
            !vm->leaving) {
            return vm;
        }
    }
    return NULL;
}

/* Place of a VM on the ring of its zone. */
static uint64_t
ring_at(const MembVm *vm)
{
    return hash_str(str_of(vm->id), 0);
}

typedef struct Ranked {
    int index;
    uint64_t ahead; /* distance on the ring */
} Ranked;

static int
compare_ranked(const void *a, const void *b)
{
    const Ranked *x = a;
    const Ranked *y = b;

    return x->ahead < y->ahead ? -1 : x->ahead > y->ahead;
}

int
memb_peers(const Memb *m, int *index, int max)
{
    Ranked r[2 * VMS_MAX];
    const MembVm *self = &m->self->vm;
    const MembVm *relay = memb_relay(m, self->zone);
    int n = 0;
    int out = 0;

    for (int i = 0; i < memb_count(m); i++) {
        const MembVm *vm = memb_at(m, i);
        if (vm != self && vm->state != MEMB_GONE &&
            strcmp(vm->zone, self->zone) == 0) {
            r[n++] = (Ranked){i, ring_at(vm) - ring_at(self)};
        }
    }
    if (n > 1) {
        qsort(r, (size_t)n, sizeof(r[0]), compare_ranked);
    }
    int direct = n <= MEMB_DIRECT ? n : MEMB_NEXT;
    for (int i = 0; i < n && out < max; i++) {
        if (i < direct || memb_at(m, r[i].index) == relay) {
            index[out++] = r[i].index;
        }
    }
    return out;
}
