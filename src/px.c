/* px - path of a request.  See px.h. */
#include "px.h"

#include <inttypes.h>

#include "pxtry.h"

#define RETRY_OTHER_VM_US 20000   /* other VMs accept the retry at once */
#define RETRY_NO_ROUTES_US 500000 /* the first configuration is due soon */

static const char *const count_names[PX_COUNTS] = {
    "answered", "refused",  "failed",  "timed_out", "cut",     "left",
    "unrouted", "bad_head", "retries", "crashes",   "outdated"};

static const char *
refusal(PickReason why)
{
    switch (why) {
    case PICK_NONE:
        return "no_upstream";
    case PICK_WAIT:
        return "upstreams_wait";
    default:
        return "no_room";
    }
}

static void
refuse_unrouted(Req *r, int64_t now_us)
{
    if (r->p->view_complete) {
        routeuse_add(&r->p->route_use, r->attempt, now_us);
        pxreq_respond(r, PX_UNROUTED, 404, "no_route", 0, now_us);
    }
    else {
        pxreq_respond(r, PX_UNROUTED, 503, "no_configuration_yet",
                      RETRY_NO_ROUTES_US, now_us);
    }
}

/* Sends a request to an upstream, queues it, or refuses it. */
static void
dispatch(Req *r, int64_t now_us)
{
    pxreq_update_route(r, now_us);
    if (gate_outlives_stop(&r->p->stop, r->last_us, now_us)) {
        pxreq_respond(r, PX_REFUSED, 503, "leaving", RETRY_OTHER_VM_US,
                      now_us);
        return;
    }
    if (now_us >= r->end_us) {
        /* It was queued while this process got no processor time. */
        pxreq_apply_outcome(r, OUT_NOT_RUN, now_us);
        return;
    }
    /* The verdict may have come while it was queued. */
    if (crash_should_refuse(r->p->o.crashes, r->fingerprint, now_us)) {
        pxreq_respond(r, PX_CRASHES, 503, "crashes_upstreams", 0, now_us);
        return;
    }
    if (pxreq_routes_are_outdated(r->p, now_us)) {
        pxreq_respond(r, PX_OUTDATED, 503, "configuration_outdated",
                      RETRY_OTHER_VM_US, now_us);
        return;
    }
    if (!pxreq_view_is_usable(r->p, now_us)) {
        pxreq_enqueue(r, now_us);
        return;
    }
    if (r->route == NULL) {
        refuse_unrouted(r, now_us);
        return;
    }
    Ups *u = pxtry_pick(r, now_us);
    if (u != NULL) {
        pxtry_start(r, u, now_us);
        return;
    }
    GateOut g =
        pxreq_gate(r, r->why != PICK_NONE, now_us - r->begin_us, now_us);
    if (g.queue) {
        pxreq_enqueue(r, now_us);
        return;
    }
    pxreq_respond(r, PX_REFUSED, 503, refusal(r->why), g.retry_us, now_us);
}

static int
compare_ranks(const void *a, const void *b, void *ctx)
{
    int x = pxreq_rank(a);
    int y = pxreq_rank(b);
    (void)ctx;

    return (x > y) - (x < y);
}

/* Applies a new table to the queued requests, whose ranks may change. */
static void
update_queue(Px *p, int64_t now_us)
{
    for (GList *l = p->queue.head; l != NULL; l = l->next) {
        pxreq_update_route(l->data, now_us);
    }
    /* The sort is stable, so that requests of a rank keep their order. */
    g_queue_sort(&p->queue, compare_ranks, NULL);
    p->queue_outdated = false;
}

static void
on_queue_timer(void *ctx, int64_t now_us)
{
    Px *p = ctx;
    guint n = p->queue.length;

    if (p->queue_outdated) {
        update_queue(p, now_us);
    }
    /* Requests that stay queued keep their positions; each is checked once
     * in a call. */
    GList *l = p->queue.head;
    for (guint i = 0; i < n && l != NULL; i++) {
        GList *next = l->next;
        dispatch(l->data, now_us);
        l = next;
    }
    if (p->queue.length > 0 && p->queue_timer.heap_index == 0) {
        evl_arm(p->o.loop, &p->queue_timer, now_us + PXREQ_QUEUE_POLL_US);
    }
}

/* route: NULL if the current table has none and a newer one is waited for. */
static void
begin(Px *p, Caller *c, const H1 *head, const RtRoute *route, Str attempt_id,
      int64_t now_us)
{
    Req *r = g_new0(Req, 1);

    r->p = p;
    r->caller = c;
    r->head = head;
    r->attempt = attempt_id;
    r->begin_us = now_us;
    pxreq_set_route(r, route, now_us);
    caller_set_user(c, r);
    r->fingerprint = crash_fingerprint(
        h1_method(head), head->target, h1_get(head, p->o.names->affinity_key),
        (Str){(const char *)head->body->data, head->body->len});
    dispatch(r, now_us);
}

/* Also says whether another VM is known to have a newer configuration. */
static void
log_no_route(const Px *p, Str id, int64_t now_us)
{
    uint64_t newest =
        p->o.newest_version == NULL ? 0 : p->o.newest_version(p->o.ctx);

    dlog_event(p->o.log, DLOG_INFO, "request",
               "id=%s event=no_route status=404 config=%" PRIu64
               " newest_config=%" PRIu64 " copy_age_ms=%" PRId64,
               dlog_name(id).s, rt_version(p->table),
               MAX(newest, rt_version(p->table)),
               p->confirmed_us == 0 ? -1 : (now_us - p->confirmed_us) / 1000);
}

static void
on_request(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Px *p = ctx;
    Str id = h1_get(req, p->o.names->attempt);

    const RtRoute *route =
        p->table == NULL
            ? NULL
            : rt_match(p->table, h1_get(req, "host"), req->target);
    if (p->table == NULL || (route == NULL && !p->view_complete)) {
        p->counts[PX_UNROUTED]++;
        int lines = dlog_admit(p->o.log, true, now_us);
        if (lines > 0) {
            dlog_event(p->o.log, DLOG_INFO, "request",
                       "id=%s event=no_view status=503 requests=%d",
                       dlog_name(id).s, lines);
        }
        caller_respond_text(c, 503, "no_configuration_yet",
                            RETRY_NO_ROUTES_US);
        return;
    }
    if (route == NULL && pxreq_view_is_usable(p, now_us)) {
        p->counts[PX_UNROUTED]++;
        routeuse_add(&p->route_use, id, now_us);
        if (dlog_admit(p->o.log, true, now_us)) {
            log_no_route(p, id, now_us);
        }
        caller_respond_text(c, 404, "no_route", 0);
        return;
    }
    if (id.n == 0) {
        p->counts[PX_BAD_HEAD]++;
        caller_respond_text(c, 400, "no_attempt_id", 0);
        return;
    }
    if (caller_has_left(c)) {
        /* The end of the connection is read next, and closes it. */
        p->counts[PX_CALLER_DISCONNECTED]++;
        return;
    }
    begin(p, c, req, route, id, now_us);
}

static void
on_disconnected(void *ctx, void *user, int64_t now_us)
{
    Px *p = ctx;
    Req *r = user;

    p->counts[PX_CALLER_DISCONNECTED]++;
    pxreq_log(r, "caller_left", 0, now_us);
    pxreq_end(r, now_us);
}

static void
on_flushed(void *ctx, void *user)
{
    Req *r = user;
    (void)ctx;

    pxtry_caller_flushed(r);
}

static void
on_refused(void *ctx, int status, const Err *e)
{
    Px *p = ctx;
    int64_t now_us = evl_now(p->o.loop);

    p->counts[PX_BAD_HEAD]++;
    if (dlog_admit(p->o.log, true, now_us)) {
        dlog_event(p->o.log, DLOG_INFO, "request",
                   "id=- event=bad_request status=%d error=\"%s\"", status,
                   dlog_quoted(e->text).s);
    }
}

static void
on_lossy_end(void *ctx, const CallerLoss *x)
{
    Px *p = ctx;

    p->lossy_ends++;
    if (dlog_admit(p->o.log, true, evl_now(p->o.loop))) {
        dlog_event(p->o.log, DLOG_WARN, "caller",
                   "event=lossy_end end=%s phase=%s requests=%d "
                   "discarded=%zu unread=%zu partial=%zu unsent=%zu "
                   "unacked=%zu input_age_ms=%" PRId64,
                   caller_end_name(x->end), x->phase, x->requests,
                   x->discarded, x->unread, x->partial, x->unsent, x->unacked,
                   x->input_age_us / 1000);
    }
}

const CallerFns px_caller_fns = {on_request, on_disconnected, on_flushed,
                                 on_refused, on_lossy_end};

Px *
px_new(const PxOpts *o)
{
    Px *p = g_new0(Px, 1);

    p->o = *o;
    p->self = -1;
    g_queue_init(&p->queue);
    p->queue_timer = (EvlTimer){.fn = on_queue_timer, .ctx = p};
    return p;
}

void
px_free(Px *p)
{
    evl_disarm(p->o.loop, &p->queue_timer);
    rt_unref(p->table);
    g_free(p);
}

void
px_set_routes(Px *p, RtTable *t)
{
    rt_unref(p->table);
    p->table = rt_ref(t);
    p->queue_outdated = true;
}

int
px_requests_since(const Px *p, int64_t since_us, GString *ids)
{
    return routeuse_since(&p->route_use, since_us, ids);
}

const RtTable *
px_routes(const Px *p)
{
    return p->table;
}

void
px_set_vms(Px *p, const PickVm *vms, int n, int self)
{
    p->vms = vms;
    p->n_vms = n;
    p->self = self;
    p->vms_version++;
}

void
px_set_max_rtt(Px *p, int64_t max_rtt_us)
{
    p->max_rtt_us = max_rtt_us;
}

void
px_view_complete(Px *p)
{
    p->view_complete = true;
}

void
px_set_confirmed(Px *p, int64_t at_us)
{
    if (evl_now(p->o.loop) - at_us <= p->o.copy_age_max_us) {
        px_set_routes_behind(p, false);
    }
    p->confirmed_us = at_us;
    p->copy_wait_us = 0;
    p->store_failed_us = 0;
}

int64_t
px_confirmed(const Px *p)
{
    return p->confirmed_us;
}

void
px_store_failed(Px *p, int64_t now_us)
{
    if (p->store_failed_us == 0) {
        p->store_failed_us = now_us;
    }
}

void
px_wait_for_view(Px *p, int64_t until_us)
{
    p->view_wait_us = until_us;
}

void
px_set_routes_behind(Px *p, bool behind)
{
    if (behind != p->routes_behind) {
        dlog_event(p->o.log, behind ? DLOG_WARN : DLOG_INFO, "store",
                   "event=%s", behind ? "routes_behind" : "routes_current");
    }
    p->routes_behind = behind;
    if (behind) {
        /* The store has answered: an earlier outage has ended. */
        p->store_failed_us = 0;
    }
}

void
px_resumed(Px *p, int64_t now_us)
{
    p->resumed_us = now_us;
}

void
px_shutdown(Px *p, const GateStop *stop)
{
    p->stop = *stop;
}

void
px_metrics(const Px *p, GString *out)
{
    g_string_append_printf(out,
                           "edge_leaving_notices_total %" PRId64
                           "\nedge_upstream_waits_total %" PRId64
                           "\nedge_caller_lossy_ends_total %" PRId64
                           "\nedge_copy_waits_total %" PRId64 "\n",
                           p->leaving_notices, p->waits, p->lossy_ends,
                           p->copy_waits);
    for (int i = 0; i < PX_COUNTS; i++) {
        g_string_append_printf(out, "edge_requests_%s_total %" PRId64 "\n",
                               count_names[i], p->counts[i]);
    }
    g_string_append_printf(out,
                           "edge_held %u\nedge_connections_opened_total "
                           "%" PRId64 "\nedge_connections_reused_total "
                           "%" PRId64 "\nedge_log_dropped_total %" PRId64 "\n",
                           p->queue.length, uconns_opened(p->o.pool),
                           uconns_reused(p->o.pool), dlog_dropped(p->o.log));
    hist_text(&p->caller_time, "edge_answer_ms", "part=\"caller\"", out);
    hist_text(&p->upstream_time, "edge_answer_ms", "part=\"upstream\"", out);
    hist_text(&p->copy_age, "edge_copy_age_ms", "part=\"attempt\"", out);
}
