/* control_roster - the roster key, its confirmations and changes. */
#include "control.h"

#include <string.h>

#include "lg.h"

#define PART "roster"
#define US_PER_MS 1000
/* The store is asked when the peers' confirmation has less left than this:
 * one heartbeat was missed and the next may be late. */
#define ASK_LEFT_MS 350
#define ASK_EVERY_MS 450
/* While a change is wanted the store is asked this often. */
#define ASK_CHANGE_MS 800
/* A change is proposed only this long after an answer of the store. */
#define ANSWER_FRESH_MS 1200

struct ControlRoster {
    Control *c;
    char path[NAME_BYTES + 32];
    GHashTable *released; /* id -> uint64_t incarnation */
    bool asking;
    int64_t asked_us;
    int64_t answered_us; /* when the newest answered question was sent */
    bool absent;         /* the store has no roster */
    bool putting;
    bool unresolved; /* a write got no answer */
    bool wanting;    /* the last own_propose() had something to change */
    OwnRoster next;
};

ControlRoster *
control_roster_new(Control *c)
{
    ControlRoster *r = g_new0(ControlRoster, 1);

    r->c = c;
    g_snprintf(r->path, sizeof(r->path), "/v1/kv/roster/%s", c->set.zone);
    r->released =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    r->asked_us = -ASK_EVERY_MS * US_PER_MS;
    r->answered_us = -ANSWER_FRESH_MS * US_PER_MS;
    return r;
}

void
control_roster_free(ControlRoster *r)
{
    if (r != NULL) {
        g_hash_table_destroy(r->released);
        g_free(r);
    }
}

void
control_roster_released(ControlRoster *r, const char *id, uint64_t incarnation)
{
    g_hash_table_replace(r->released, g_strdup(id),
                         g_memdup2(&incarnation, sizeof(incarnation)));
}

static bool
is_released(const ControlRoster *r, const char *id, uint64_t incarnation)
{
    const uint64_t *inc = g_hash_table_lookup(r->released, id);

    return inc != NULL && *inc >= incarnation;
}

static void
on_read(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlRoster *r = ctx;
    Control *c = r->c;
    OwnRoster got;
    Err bad = {0};

    r->asking = false;
    if (a->status == 0) {
        lg_line(LG_DEBUG, PART, "%s", e->text);
        return;
    }
    if (a->status == 404) {
        r->absent = true;
        r->answered_us = a->sent_us;
        return;
    }
    gsize n;
    const char *p = g_bytes_get_data(a->body, &n);
    if (a->status != 200 || !own_parse(&got, (Str){p, n}, a->version, &bad)) {
        lg_line(LG_WARN, PART, "roster in the store is left: status %d %s",
                a->status, bad.text);
        return;
    }
    r->absent = false;
    r->answered_us = a->sent_us;
    control_adopt(c, &got, "the store");
    own_confirm_store(c->own, a->version, a->sent_us);
}

static void
ask(ControlRoster *r, int64_t now)
{
    if (r->asking || r->putting ||
        now - r->asked_us < ASK_EVERY_MS * US_PER_MS) {
        return;
    }
    if (storehttp_call(r->c->http, "GET", r->path, NULL, STORE_TIMEOUT_MS,
                       on_read, r)) {
        r->asking = true;
        r->asked_us = now;
        ctr_add(control_ctr(r->c, "control_store_roster_reads"), 1);
    }
}

static void
on_written(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlRoster *r = ctx;
    Control *c = r->c;

    r->putting = false;
    r->asked_us = 0;
    if (a->status == 200) {
        r->unresolved = false;
        r->next.store_version = a->version;
        r->answered_us = a->sent_us;
        control_adopt(c, &r->next, "own change");
        own_confirm_store(c->own, a->version, a->sent_us);
    }
    else if (a->status == 0) {
        /* The write may have taken effect: the next read tells. */
        r->unresolved = true;
        lg_line(LG_WARN, PART,
                "change of epoch %" G_GUINT64_FORMAT
                " got no answer, reading back: %s",
                r->next.epoch, e->text);
    }
    else {
        r->unresolved = false;
        lg_line(LG_INFO, PART,
                "change of epoch %" G_GUINT64_FORMAT " refused with status %d",
                r->next.epoch, a->status);
        own_propose_void(c->own, own_roster(c->own)->epoch);
    }
}

static void
put(ControlRoster *r)
{
    Control *c = r->c;
    GString *text = own_text(&r->next);
    GBytes *body = g_string_free_to_bytes(text);
    char path[NAME_BYTES + 64];

    g_snprintf(path, sizeof(path), "%s?cas=%" G_GUINT64_FORMAT, r->path,
               r->next.store_version);
    if (storehttp_call(c->http, "PUT", path, body, STORE_TIMEOUT_MS,
                       on_written, r)) {
        r->putting = true;
        ctr_add(control_ctr(c, "control_store_roster_writes"), 1);
    }
    else if (!r->unresolved) {
        own_propose_void(c->own, own_roster(c->own)->epoch);
    }
    g_bytes_unref(body);
}

static void
see_vm(const ControlRoster *r, const MembVm *vm, OwnSeen *s)
{
    bool self = strcmp(vm->id, r->c->set.vm_id) == 0;

    memset(s, 0, sizeof(*s));
    memcpy(s->member.id, vm->id, sizeof(s->member.id));
    memcpy(s->member.control, vm->control, sizeof(s->member.control));
    memcpy(s->member.entry, vm->entry, sizeof(s->member.entry));
    memcpy(s->member.lookup, vm->lookup, sizeof(s->member.lookup));
    s->member.incarnation = vm->incarnation;
    /* A leaving VM hands its share over while it still acts. */
    s->live = self || (vm->state != MEMB_GONE && !vm->leaving);
    s->released = is_released(r, vm->id, vm->incarnation);
}

/* A former or present member that was never heard here counts as stopped when
 * the VM list does not name it any more. */
static int
see_unheard(const ControlRoster *r, const char *id, uint64_t incarnation,
            int64_t now, OwnSeen *s)
{
    const MembVm *vm = memb_find(r->c->memb, id);

    if (vm != NULL && vm->state != MEMB_GONE) {
        return 0;
    }
    if (!control_store_unlisted(r->c->store, id, now) &&
        !is_released(r, id, incarnation)) {
        return 0;
    }
    memset(s, 0, sizeof(*s));
    g_strlcpy(s->member.id, id, sizeof(s->member.id));
    s->member.incarnation = incarnation;
    s->released = true;
    return 1;
}

static int
see_all(const ControlRoster *r, int64_t now, OwnSeen *s, int max)
{
    const OwnRoster *o = own_roster(r->c->own);
    int n = 0;

    /* Those that are certainly stopped come first: the first entry of an id
     * counts. */
    for (int i = 0; i < o->n && n < max; i++) {
        n += see_unheard(r, o->members[i].id, o->members[i].incarnation, now,
                         &s[n]);
    }
    for (int i = 0; i < o->n_lost && n < max; i++) {
        n += see_unheard(r, o->lost[i].id, o->lost[i].incarnation, now, &s[n]);
    }
    for (int i = 0; i < memb_count(r->c->memb) && n < max; i++) {
        const MembVm *vm = memb_at(r->c->memb, i);
        bool joins = vm->state != MEMB_GONE && !vm->leaving;
        bool known = false;
        if (!control_near(r->c, vm)) {
            continue;
        }
        for (int k = 0; k < o->n; k++) {
            known = known || strcmp(o->members[k].id, vm->id) == 0;
        }
        if (known || joins) {
            see_vm(r, vm, &s[n++]);
        }
    }
    return n;
}

static bool
is_member(const OwnRoster *o, const char *id, uint64_t incarnation)
{
    for (int i = 0; i < o->n; i++) {
        if (strcmp(o->members[i].id, id) == 0 &&
            o->members[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

/* Whether a reserve of a lost member may be dropped. */
static bool
may_forget(const ControlRoster *r, int64_t now)
{
    const OwnRoster *o = own_roster(r->c->own);

    for (int i = 0; i < o->n_lost; i++) {
        const MembVm *vm = memb_find(r->c->memb, o->lost[i].id);
        bool heard = vm != NULL && vm->state != MEMB_GONE;
        if (heard || is_released(r, o->lost[i].id, o->lost[i].incarnation) ||
            control_store_unlisted(r->c->store, o->lost[i].id, now)) {
            return true;
        }
    }
    return false;
}

/* Whether the roster differs from the VMs that are heard. */
static bool
differs(const ControlRoster *r, int64_t now)
{
    const OwnRoster *o = own_roster(r->c->own);

    if (may_forget(r, now) ||
        !is_member(o, r->c->set.vm_id, r->c->incarnation)) {
        return true;
    }
    for (int i = 0; i < o->n; i++) {
        const MembVm *vm = memb_find(r->c->memb, o->members[i].id);
        if (vm == NULL || vm->state == MEMB_GONE || vm->leaving ||
            vm->incarnation != o->members[i].incarnation ||
            is_released(r, vm->id, vm->incarnation)) {
            return true;
        }
    }
    for (int i = 0; i < memb_count(r->c->memb); i++) {
        const MembVm *vm = memb_at(r->c->memb, i);
        if (control_near(r->c, vm) && vm->state != MEMB_GONE && !vm->leaving &&
            !is_member(o, vm->id, vm->incarnation)) {
            return true;
        }
    }
    return false;
}

/* A write without an answer is settled by one that changes the version. */
static void
settle(ControlRoster *r)
{
    r->next = *own_roster(r->c->own);
    r->next.epoch++;
    put(r);
}

static void
propose(ControlRoster *r, int64_t now)
{
    OwnSeen seen[3 * VMS_PER_ZONE_MAX];
    int n = see_all(r, now, seen, G_N_ELEMENTS(seen));

    if (own_propose(r->c->own, seen, n, now, &r->next)) {
        lg_decision(
            PART, "proposing epoch %" G_GUINT64_FORMAT ": %d members, %d lost",
            r->next.epoch, r->next.n, r->next.n_lost);
        put(r);
    }
    else if (r->unresolved) {
        settle(r);
    }
}

void
control_roster_step(ControlRoster *r, int64_t now_us)
{
    Control *c = r->c;
    const OwnRoster *o = own_roster(c->own);
    int64_t left = own_good_until(c->own, now_us) - now_us;
    bool lapsing =
        own_mode(c->own, now_us) != OWN_FULL || left < ASK_LEFT_MS * US_PER_MS;
    bool change = !c->leaving && differs(r, now_us);
    bool fresh = now_us - r->answered_us < ANSWER_FRESH_MS * US_PER_MS;

    if (change || o->n_lost > 0) {
        control_store_want_vms(c->store);
    }
    bool stale = now_us - r->answered_us > ASK_CHANGE_MS * US_PER_MS;
    if (lapsing || ((o->epoch == 0 || change || r->unresolved) && stale)) {
        ask(r, now_us);
    }
    if (c->leaving || r->putting || !fresh || (o->epoch == 0 && !r->absent)) {
        return;
    }
    if (change || r->wanting || r->unresolved) {
        propose(r, now_us);
        r->wanting = change;
    }
}
