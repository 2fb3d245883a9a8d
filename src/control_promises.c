/* control_promises - promises of a large zone, passed on by its relay.  A
 * heartbeat between every two members would grow with the square of a zone. */
#include "control.h"

#include <string.h>

#define US_PER_MS 1000
#define ECHO_MAX_MS 2000

/* A promise that a member gave to all through this VM. */
typedef struct Promise {
    uint64_t incarnation;
    uint64_t epoch;
    int64_t since_us;
} Promise;

struct ControlPromises {
    Control *c;
    GHashTable *by_id; /* Promise */
};

ControlPromises *
control_promises_new(Control *c)
{
    ControlPromises *p = g_new0(ControlPromises, 1);

    p->c = c;
    p->by_id = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return p;
}

void
control_promises_free(ControlPromises *p)
{
    g_hash_table_destroy(p->by_id);
    g_free(p);
}

bool
control_promises_large(const Control *c)
{
    return own_roster(c->own)->n > MEMB_DIRECT + 1;
}

/* Promises of all members that the relay passes on. */
void
control_promises_take_all(Control *c, const ms_heartbeat_res *r,
                          int64_t asked_us)
{
    const OwnRoster *o = own_roster(c->own);
    int64_t since = asked_us - ((int64_t)r->all_age_ms + 1) * US_PER_MS;

    for (int i = 0; i < o->n && r->epoch == o->epoch; i++) {
        const OwnMember *m = &o->members[i];
        if (strcmp(m->id, c->set.vm_id) != 0 && strcmp(m->id, r->id) != 0) {
            own_confirm_peer(c->own, m->id, m->incarnation, r->epoch, since);
        }
    }
}

/* Keeps a member's promise; it counts since the reply that it echoes. */
void
control_promises_take(ControlPromises *p, const ms_heartbeat *h, int64_t now)
{
    int64_t since = (int64_t)h->echo;

    if (!control_promises_large(p->c) || !h->promises || since > now ||
        since < now - ECHO_MAX_MS * US_PER_MS ||
        g_hash_table_size(p->by_id) > 2 * VMS_PER_ZONE_MAX) {
        return;
    }
    Promise *m = g_new0(Promise, 1);
    *m = (Promise){h->incarnation, h->epoch, since};
    g_hash_table_replace(p->by_id, g_strdup(h->id), m);
    own_confirm_peer(p->c->own, h->id, h->incarnation, h->epoch, since);
}

/* Tells whether every member other than id promised, and for how long. */
void
control_promises_put_all(ControlPromises *p, const char *id,
                         ms_heartbeat_res *res, int64_t now)
{
    const OwnRoster *o = own_roster(p->c->own);
    int64_t oldest = now;

    for (int i = 0; i < o->n; i++) {
        const OwnMember *m = &o->members[i];
        const Promise *k = g_hash_table_lookup(p->by_id, m->id);
        if (strcmp(m->id, id) == 0 || strcmp(m->id, p->c->set.vm_id) == 0) {
            continue;
        }
        if (k == NULL || k->incarnation != m->incarnation ||
            k->epoch != o->epoch) {
            return;
        }
        oldest = MIN(oldest, k->since_us);
    }
    int64_t age = (now - oldest) / US_PER_MS;
    res->all = control_promises_large(p->c) && age < OWN_LAPSE_MS;
    res->all_age_ms = (u_int)MIN(age, OWN_LAPSE_MS);
}
