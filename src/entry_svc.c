/* entry_svc - one service at this VM: queue, slots, retries.  See entry.h. */
#include "entry.h"

#include <string.h>

#include "lg.h"

#define FLOOR_WINDOW_US 1000000
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 2000

static AdmLoad
load_of(const Svc *s, int64_t now_us)
{
    return (AdmLoad){
        .usable = slot_usable(s->slots, now_us),
        .service_us = slot_service_mean_us(s->slots),
        .service_p90_us = slot_service_p90_us(s->slots),
    };
}

/* Time after which a refused caller may find a free slot. */
static int
retry_after_ms(const Svc *s)
{
    return (int)CLAMP(slot_service_p90_us(s->slots) / 1000, RETRY_MIN_MS,
                      RETRY_MAX_MS);
}

static int
budget_now(const Entry *en, int target, int64_t now_us)
{
    const Snapshot *sn = en->snap;
    const SnapTarget *t = &sn->targets[target];

    switch (entry_mode(en, now_us)) {
    case OWN_FULL:
        return t->budget;
    case OWN_ISOLATED:
        return t->isolated_budget;
    default:
        return 0;
    }
}

bool
entry_owned_now(const Entry *en, int target, int64_t now_us)
{
    return budget_now(en, target, now_us) > 0;
}

static void
declare_targets(Svc *s, int64_t now_us)
{
    Entry *en = s->en;
    const Manifest *m = en->snap->m;

    for (int i = 0; i < s->n_own; i++) {
        const MfTarget *t = &m->targets[s->own[i]];
        slot_declare(s->slots, s->own[i], t->slots, t->connections,
                     budget_now(en, s->own[i], now_us), t->draining, now_us);
    }
}

Svc *
svc_new(Entry *en, int index)
{
    const Manifest *m = en->snap->m;
    const MfService *ms = &m->services[index];
    Svc *s = g_new0(Svc, 1);
    int64_t now = g_get_monotonic_time();
    AdmOpts ao = {.n_ranks = m->n_ranks,
                  .window_us = FLOOR_WINDOW_US,
                  .queue_max = QUEUE_MAX};
    SlotOpts so = {.warmup_us = ms->warmup_us, .service_us = ms->service_us};

    s->en = en;
    s->index = index;
    g_strlcpy(s->name, ms->name, sizeof(s->name));
    for (int i = 0; i < m->n_ranks; i++) {
        ao.floor[i] = m->ranks[i].floor;
    }
    s->adm = adm_new(&ao);
    s->slots = slot_set_new(&so);
    retry_init(&s->retry, ms->retry_ratio);
    for (int z = 0; z < m->n_zones; z++) {
        shift_picker_init(&s->drawers[z], m->n_ranks, now);
    }
    s->own = g_new0(int, (gsize)m->n_targets + 1);
    for (int i = 0; i < m->n_targets; i++) {
        if (m->targets[i].service == index &&
            m->targets[i].zone == en->snap->own_zone) {
            s->own[s->n_own++] = i;
        }
    }
    declare_targets(s, now);
    return s;
}

void
svc_free(Svc *s)
{
    if (s != NULL) {
        adm_free(s->adm);
        slot_set_free(s->slots);
        g_free(s->own);
        g_free(s);
    }
}

static int
target_by_name(const Manifest *m, const MfTarget *was)
{
    int i = manifest_target(m, str_of(was->name));

    return i >= 0 && strcmp(m->targets[i].address, was->address) == 0 ? i : -1;
}

/* Carries outstanding work and health of a service into its new numbering. */
static void
carry(Svc *s, const Svc *old, const Manifest *was)
{
    for (int i = 0; i < old->n_own; i++) {
        int id = target_by_name(s->en->snap->m, &was->targets[old->own[i]]);
        if (id >= 0 && s->en->snap->m->targets[id].service == s->index) {
            slot_copy_state(s->slots, id, old->slots, old->own[i]);
        }
    }
    s->retry.tokens = old->retry.tokens;
}

/* Moves the requests that are under way to a new manifest. */
static void
renumber(Entry *en, const Manifest *m, const Manifest *was, GPtrArray *again)
{
    for (GList *l = en->reqs.head; l != NULL; l = l->next) {
        Req *r = l->data;
        if (r->state == REQ_DONE) {
            continue;
        }
        int to = manifest_service(m, str_of(was->services[r->service].name));
        if (r->target >= 0) {
            r->target = target_by_name(m, &was->targets[r->target]);
        }
        r->avoid = -1;
        r->zone = -1;
        r->service = to;
        r->head.rank = MIN(r->head.rank, m->n_ranks - 1);
        if (r->head.home >= 0) {
            r->head.home =
                manifest_zone(m, str_of(was->zones[r->head.home].name));
        }
        int home = manifest_zone(m, str_of(was->zones[r->from_home].name));
        r->from_home = home >= 0 ? home : en->snap->own_zone;
        if (r->state == REQ_QUEUED || to < 0) {
            g_ptr_array_add(again, r);
        }
    }
}

/* Takes a request whose service has left the manifest, or that waited in the
 * queue of the old numbering. */
static void
requeue(Req *r)
{
    if (r->service >= 0) {
        g_hash_table_remove(r->en->queued, &r->id);
        r->state = REQ_READING;
        svc_admit(r);
        return;
    }
    r->service = 0;
    if (r->state == REQ_QUEUED) {
        g_hash_table_remove(r->en->queued, &r->id);
        r->state = REQ_READING;
        req_refuse(r, "service-removed", 0, "the service was removed");
    }
}

/* Builds the services of a new manifest. */
void
svc_replace(Entry *en, Snapshot *now, Snapshot *old)
{
    Svc *was[SERVICES_MAX];
    int n_was = en->n_svcs;
    GPtrArray *again = g_ptr_array_new();

    memcpy(was, en->svcs, sizeof(was));
    for (int i = 0; i < now->m->n_services; i++) {
        en->svcs[i] = svc_new(en, i);
        int k = old == NULL || old->m == NULL
                    ? -1
                    : manifest_service(old->m, str_of(en->svcs[i]->name));
        if (k >= 0 && k < n_was) {
            carry(en->svcs[i], was[k], old->m);
        }
    }
    en->n_svcs = now->m->n_services;
    if (old != NULL && old->m != NULL) {
        renumber(en, now->m, old->m, again);
    }
    for (guint i = 0; i < again->len; i++) {
        requeue(again->pdata[i]);
    }
    g_ptr_array_unref(again);
    for (int i = 0; i < n_was; i++) {
        svc_free(was[i]);
    }
}

void
svc_apply_budgets(Entry *en, int64_t now_us)
{
    for (int k = 0; k < en->n_svcs; k++) {
        Svc *s = en->svcs[k];
        for (int i = 0; i < s->n_own; i++) {
            slot_set_budget(s->slots, s->own[i],
                            budget_now(en, s->own[i], now_us), now_us);
        }
    }
}

bool
svc_usable(const Svc *s, int64_t now_us)
{
    return slot_usable(s->slots, now_us) > 0;
}

static Req *
take_queued(Entry *en, uint64_t id)
{
    Req *r = g_hash_table_lookup(en->queued, &id);

    if (r != NULL) {
        g_hash_table_remove(en->queued, &id);
        r->state = REQ_READING;
    }
    return r;
}

static void
refuse_by(Req *r, AdmReason why)
{
    req_refuse(r, adm_reason_name(why),
               retry_after_ms(r->en->svcs[r->service]),
               "no slot can serve it within its deadline; send it again "
               "after retry_after_ms");
}

static void
on_drop(void *ctx, const AdmReq *a, AdmReason why)
{
    Svc *s = ctx;
    Req *r = take_queued(s->en, a->id);

    if (r != NULL) {
        refuse_by(r, why);
    }
}

/* Offers a request to the queue of its service. */
void
svc_admit(Req *r)
{
    Svc *s = r->en->svcs[r->service];
    int64_t now = g_get_monotonic_time();
    AdmReq evicted;
    bool has_evicted = false;

    entry_apply_time(r->en, now);
    if (!crash_check(r)) {
        return;
    }
    AdmLoad load = load_of(s, now);
    AdmReq a = {.id = r->id,
                .rank = r->head.rank,
                .deadline_us = r->deadline_us,
                .arrival_us = r->arrival_us,
                .alone = r->alone,
                .avoid = r->avoid};
    if (r->tries == 0) {
        retry_add_tokens(&s->retry);
    }
    AdmReason why = adm_offer(s->adm, &a, &load, now, &evicted, &has_evicted);
    if (has_evicted) {
        on_drop(s, &evicted, ADM_EVICTED);
    }
    if (why != ADM_OK) {
        refuse_by(r, why);
        return;
    }
    req_set_state(r, REQ_QUEUED);
    g_hash_table_insert(r->en->queued, &r->id, r);
    svc_pump(s);
}

void
svc_cancel(Req *r)
{
    Svc *s = r->en->svcs[r->service];

    g_hash_table_remove(r->en->queued, &r->id);
    adm_cancel(s->adm, r->id);
    r->state = REQ_READING;
}

/* Starts one waiting request.  Returns false when none can start now. */
static bool
pump_one(Svc *s, bool *skip_alone, int64_t now)
{
    AdmLoad load = load_of(s, now);
    AdmReq a;
    SlotReason why;

    if (slot_free(s->slots, now) <= 0 ||
        !adm_next(s->adm, &load, *skip_alone, now, on_drop, s, &a)) {
        return false;
    }
    SlotRequest ask = {.avoid = a.avoid, .alone = a.alone};
    int id = slot_pick(s->slots, &ask, s->en->rnd, now, &why);
    if (id < 0 && ask.avoid >= 0) {
        /* The avoided target may be the only one with room. */
        ask.avoid = -1;
        id = slot_pick(s->slots, &ask, s->en->rnd, now, &why);
    }
    if (id < 0) {
        adm_requeue(s->adm, &a);
        if (!a.alone || *skip_alone) {
            return false;
        }
        *skip_alone = true;
        return true;
    }
    Req *r = take_queued(s->en, a.id);
    INV("svc_queue", r != NULL, "request %" G_GUINT64_FORMAT " is not queued",
        a.id);
    slot_begin(s->slots, id, a.alone, now);
    adm_started(s->adm, a.rank, now);
    r->counted = s->adm;
    send_start(r, id);
    return true;
}

/* Starts waiting requests on free slots. */
void
svc_pump(Svc *s)
{
    bool skip_alone = false;

    if (s->pumping) {
        return;
    }
    s->pumping = true;
    for (;;) {
        int64_t now = g_get_monotonic_time();
        entry_apply_time(s->en, now);
        if (!pump_one(s, &skip_alone, now)) {
            break;
        }
    }
    s->pumping = false;
}
