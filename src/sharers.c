/* sharers - the VMs that share limits.  See sharers.h. */
#include "sharers.h"

#include <glib.h>

typedef struct Member {
    uint64_t key;
    int64_t since_us; /* first seen in the list */
    int64_t left_us;  /* missing from the list since; 0: listed */
    bool listed;      /* in the list of the current update */
} Member;

struct Sharers {
    SharersOpts o;
    GArray *members; /* Member, ordered by key */
    GArray *vms;     /* PickVm, one for each member */
    bool known;
    bool lapsed; /* the entry of this VM was not renewed in time */
    int self;
};

Sharers *
sharers_new(const SharersOpts *o)
{
    Sharers *s = g_new0(Sharers, 1);

    s->o = *o;
    s->members = g_array_new(FALSE, TRUE, sizeof(Member));
    s->vms = g_array_new(FALSE, TRUE, sizeof(PickVm));
    s->self = -1;
    return s;
}

void
sharers_free(Sharers *s)
{
    g_array_free(s->members, TRUE);
    g_array_free(s->vms, TRUE);
    g_free(s);
}

static Member *
member_at(const Sharers *s, guint i)
{
    return &g_array_index(s->members, Member, i);
}

/* Returns the index of the first member whose key is not lower. */
static guint
lower_bound(const Sharers *s, uint64_t key)
{
    guint low = 0;
    guint high = s->members->len;

    while (low < high) {
        guint mid = (low + high) / 2;
        if (member_at(s, mid)->key < key) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

/* Marks a VM as listed, and adds it if needed.  Returns true if it was added.
 */
static bool
mark_listed(Sharers *s, const PickVm *vm, int64_t now_us)
{
    guint at = lower_bound(s, vm->key);

    if (at < s->members->len && member_at(s, at)->key == vm->key) {
        Member *m = member_at(s, at);
        if (m->left_us != 0 && m->left_us - m->since_us < s->o.settle_us) {
            /* Its former entry, of which others may not have heard. */
            m->since_us = now_us;
        }
        m->listed = true;
        g_array_index(s->vms, PickVm, at) = *vm;
        return false;
    }
    Member m = {.key = vm->key, .since_us = now_us, .listed = true};
    g_array_insert_val(s->members, at, m);
    g_array_insert_val(s->vms, at, *vm);
    return true;
}

/* Removes the members that left the list hold_us ago.  Returns true if there
 * were any. */
static bool
remove_left(Sharers *s, int64_t now_us)
{
    bool removed = false;

    for (guint i = s->members->len; i-- > 0;) {
        Member *m = member_at(s, i);
        if (m->listed) {
            m->left_us = 0;
        }
        else if (m->left_us == 0) {
            m->left_us = now_us;
        }
        else if (now_us - m->left_us >= s->o.hold_us) {
            g_array_remove_index(s->members, i);
            g_array_remove_index(s->vms, i);
            removed = true;
        }
    }
    return removed;
}

/* Returns the index of this VM if it may take a share, else -1. */
static int
find_self(Sharers *s, int64_t valid_until_us, int64_t now_us)
{
    guint at = lower_bound(s, s->o.self);
    bool was_lapsed = s->lapsed;

    /* Other VMs may drop this one hold_us after its lease, and hear up to
     * settle_us late of an entry that it writes again before. */
    s->lapsed = now_us >= valid_until_us + s->o.hold_us - s->o.settle_us;
    if (at == s->members->len || member_at(s, at)->key != s->o.self) {
        return -1;
    }
    Member *m = member_at(s, at);
    if (was_lapsed && !s->lapsed) {
        m->since_us = now_us;
    }
    bool settled = now_us - m->since_us >= s->o.settle_us;
    return s->known && settled && !s->lapsed ? (int)at : -1;
}

bool
sharers_update(Sharers *s, const PickVm *vms, int n, bool complete,
               int64_t valid_until_us, int64_t now_us)
{
    bool known = s->known || complete;
    bool changed = known != s->known;

    s->known = known;
    for (guint i = 0; i < s->members->len; i++) {
        member_at(s, i)->listed = false;
    }
    for (int i = 0; i < n; i++) {
        changed |= mark_listed(s, &vms[i], now_us);
    }
    changed |= remove_left(s, now_us);
    int self = find_self(s, valid_until_us, now_us);
    changed |= self != s->self;
    s->self = self;
    return changed;
}

int
sharers_list(const Sharers *s, const PickVm **vms)
{
    *vms = (const PickVm *)(void *)s->vms->data;
    return s->known ? (int)s->vms->len : 0;
}

int
sharers_self(const Sharers *s)
{
    return s->self;
}
