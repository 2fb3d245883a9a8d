/* entry_fwd - forwarding between entry VMs.  See entry.h. */
#include "entry.h"

#include <string.h>

#include "httptext.h"
#include "lg.h"

#define FORWARD_TRIES 2
#define FREE_SLOTS_LEAST 0.05 /* weight of a VM without free slots */

static const char *const why_names[] = {"zone", "target-owner", "key-home",
                                        "key-owner"};

static bool
vm_usable(const Snapshot *sn, int i)
{
    const MembVm *v = &sn->vms[i];
    bool told = strlen(v->entry) > 0;

    return told && i != sn->own_vm && v->state == MEMB_LIVE && !v->leaving;
}

/* Draws a VM by free capacity.  take tells which may be drawn. */
static int
draw_vm(Entry *en, int avoid, bool (*take)(const Entry *, int, int), int arg)
{
    const Snapshot *sn = en->snap;
    double sum = 0;
    int chosen = -1;

    for (int i = 0; i < sn->n_vms; i++) {
        if (i == avoid || !vm_usable(sn, i) || !take(en, i, arg)) {
            continue;
        }
        double w = MAX(sn->vms[i].free_slots, FREE_SLOTS_LEAST);
        sum += w;
        if (g_rand_double(en->rnd) * sum < w) {
            chosen = i;
        }
    }
    return chosen;
}

static bool
in_zone(const Entry *en, int vm, int zone)
{
    return en->snap->vm_zone[vm] == zone;
}

int
fwd_pick_vm(Entry *en, int zone, int avoid)
{
    return draw_vm(en, avoid, in_zone, zone);
}

static bool
owns_some(const Entry *en, int vm, int service)
{
    const Svc *s = en->svcs[service];

    for (int i = 0; i < s->n_own; i++) {
        if (en->snap->targets[s->own[i]].owner_vm == vm) {
            return true;
        }
    }
    return false;
}

int
fwd_pick_owner(Entry *en, int service, int avoid)
{
    return draw_vm(en, avoid, owns_some, service);
}

static void
put(SoupMessageHeaders *h, const char *name, int64_t v)
{
    char text[24];

    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, v);
    soup_message_headers_replace(h, name, text);
}

static void
fill(void *ctx, SoupMessageHeaders *h)
{
    Req *r = ctx;
    const Snapshot *sn = r->en->snap;
    const Manifest *m = sn->m;
    int64_t way = 0;
    bool once = r->head.class == MF_ONCE;
    bool run = r->owns_record || r->head.stage == REQ_STAGE_RUN;

    if (r->zone >= 0) {
        way = manifest_latency_us(m, sn->own_zone, r->zone) / 1000;
    }
    http_copy_headers(h, soup_server_message_get_request_headers(r->msg));
    put(h, "Mimosa-Deadline-Ms",
        MAX(req_left_ms(r, g_get_monotonic_time()) - 2 * way, 1));
    put(h, "Mimosa-Hop", r->owns_record ? 1 : r->head.hop + 1);
    soup_message_headers_replace(h, "Mimosa-Rank",
                                 m->ranks[r->head.rank].name);
    soup_message_headers_replace(h, "Mimosa-Class",
                                 once ? "once" : "idempotent");
    soup_message_headers_replace(h, "Mimosa-Client", r->client_text);
    soup_message_headers_replace(h, "Mimosa-Fleet", r->en->proof);
    if (!once) {
        return;
    }
    put(h, "Mimosa-Attempt", r->head.attempt);
    put(h, "Mimosa-Issued", r->head.issued_wall_us / 1000);
    soup_message_headers_replace(h, "Mimosa-Home",
                                 m->zones[r->head.home].name);
    if (run) {
        soup_message_headers_replace(h, "Mimosa-Stage", "run");
    }
}

static bool
may_send(void *ctx)
{
    Req *r = ctx;

    if (g_get_monotonic_time() >= r->deadline_us) {
        return false;
    }
    r->maybe_run = true;
    return true;
}

static const char *
outcome_of(SoupMessageHeaders *h)
{
    static const char *const names[] = {"answered", "not-run", "unknown"};
    const char *v = soup_message_headers_get_one(h, "Mimosa-Outcome");

    for (size_t i = 0; v != NULL && i < G_N_ELEMENTS(names); i++) {
        if (strcmp(v, names[i]) == 0) {
            return names[i];
        }
    }
    return NULL;
}

static void
on_head(void *ctx, int status, SoupMessageHeaders *h)
{
    Req *r = ctx;

    r->has_head = true;
    r->fwd_outcome = outcome_of(h);
    if (r->fwd_outcome == NULL) {
        /* Not an answer of an entry VM: its body is of no use. */
        r->shed = true;
        return;
    }
    send_begin_answer(r, status, h);
}

static void
pass_on(Req *r)
{
    if (r->fwd_outcome == NULL) {
        req_unknown(r, "no-outcome");
        return;
    }
    if (strcmp(r->fwd_outcome, "not-run") == 0) {
        r->maybe_run = r->earlier_run;
        if (r->maybe_run ||
            once_finish(r, IDEM_END_NOT_RUN) != IDEM_END_NOT_RUN) {
            req_answer_drop(r);
            req_unknown(r, "earlier-attempt");
            return;
        }
        ctr_add(r->en->c[EC_NOT_RUN], 1);
    }
    else if (strcmp(r->fwd_outcome, "unknown") == 0) {
        ctr_add(r->en->c[EC_UNKNOWN], 1);
        once_finish(r, IDEM_END_UNKNOWN);
    }
    else {
        once_finish(r, IDEM_END_DONE);
    }
    req_answered(r);
}

/* No byte of it was sent to that VM. */
static void
not_sent(Req *r)
{
    Entry *en = r->en;
    int64_t now = g_get_monotonic_time();
    int vm = -1;

    r->maybe_run = r->earlier_run;
    if (r->tries < FORWARD_TRIES && r->msg != NULL && now < r->deadline_us &&
        r->zone >= 0) {
        vm = r->zone == en->snap->own_zone && r->head.class == MF_IDEMPOTENT
                 ? fwd_pick_owner(en, r->service, r->fwd_vm)
                 : fwd_pick_vm(en, r->zone, r->fwd_vm);
    }
    if (vm >= 0 && (r->pipe_rest == NULL || r->pipe_read_fd >= 0)) {
        fwd_start(r, vm, FWD_ZONE);
        return;
    }
    if (r->zone >= 0 && r->zone != en->snap->own_zone) {
        en->zone_bad_us[r->zone] = now;
    }
    if (r->maybe_run) {
        req_unknown(r, "unreachable");
        return;
    }
    req_refuse(r, "unreachable", 0,
               "no entry VM of its zone can be reached; send it again later");
}

static void
on_end(void *ctx, CallEnd how, const char *why)
{
    Req *r = ctx;

    r->call = NULL;
    r->state = REQ_READING;
    if (how == CALL_DONE) {
        pass_on(r);
        return;
    }
    lg_line(LG_INFO, "entry", "forwarding failed: %s", why);
    if (how == CALL_NOT_SENT) {
        not_sent(r);
        return;
    }
    Svc *s = r->en->svcs[r->service];
    RetryAct act = retry_decide(
        &s->retry, r->head.class, ATTEMPT_CLOSED, r->begun, r->deadline_us,
        slot_service_mean_us(s->slots), g_get_monotonic_time());
    int vm = -1;
    if (act == RETRY_RESEND && r->zone >= 0 && r->msg != NULL &&
        r->pipe_rest == NULL) {
        vm = fwd_pick_vm(r->en, r->zone, r->fwd_vm);
    }
    if (!r->begun) {
        req_answer_drop(r);
    }
    if (vm >= 0) {
        ctr_add(r->en->c[EC_RETRIES], 1);
        r->earlier_run = true;
        fwd_start(r, vm, FWD_ZONE);
        return;
    }
    req_unknown(r, "entry-closed");
}

void
fwd_cancel(Req *r)
{
    if (r->call != NULL) {
        call_cancel(r->call);
        r->call = NULL;
    }
    r->state = REQ_READING;
}

void
fwd_start(Req *r, int vm, FwdWhy why)
{
    Entry *en = r->en;
    CallOpts o = {
        .connections = FORWARD_CONNECTIONS,
        .once = r->head.class == MF_ONCE,
        .fill = fill,
        .may_send = may_send,
        .on_head = on_head,
        .on_data = send_on_data,
        .on_end = on_end,
        .ctx = r,
    };

    bool far = !r->owns_record && r->head.hop >= HOPS_MAX;
    if (vm < 0 || far || !send_body(r, &o)) {
        req_refuse(r, far ? "too-many-hops" : "unreachable", 0,
                   "no entry VM can take it now; send it again later");
        return;
    }
    const MembVm *to = &en->snap->vms[vm];
    lg_decision("entry", "forward: service=%s rank=%d vm=%s reason=%s",
                en->svcs[r->service]->name, r->head.rank, to->id,
                why_names[why]);
    ctr_add(en->c[EC_FORWARDED], 1);
    req_set_state(r, REQ_FORWARDED);
    r->tries++;
    r->fwd_vm = vm;
    r->shed = false;
    r->has_head = false;
    r->fwd_outcome = NULL;
    o.address = to->entry;
    o.path = g_uri_get_path(soup_server_message_get_uri(r->msg));
    r->call = call_start(en->up, &o);
    g_bytes_unref(o.body);
}
