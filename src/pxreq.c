/* pxreq - a request in flight.  See pxreq.h. */
#include "pxreq.h"

#include <inttypes.h>

#include "hash.h"

/* For which requests wait for a newer copy of the store: a failed call, a
 * connection and a round trip between regions. */
#define COPY_WAIT_US 400000
/* Grace after the route's timeout for a response that is nearly complete.  It
 * stays below 250 ms, since the platform counts a request as held when it is
 * still open for that time after its deadline. */
#define RESPONSE_GRACE_US 150000

/* True while calls to the store have failed for so long that newer changes
 * cannot be had. */
static bool
store_is_away(const Px *p, int64_t now_us)
{
    return p->store_failed_us != 0 &&
           now_us - p->store_failed_us >= COPY_WAIT_US;
}

bool
pxreq_copy_is_usable(Px *p, int64_t now_us)
{
    int64_t age_us = now_us - p->confirmed_us;

    if (p->o.copy_age_max_us == 0 || p->confirmed_us == 0 ||
        age_us <= p->o.copy_age_max_us || store_is_away(p, now_us)) {
        return true;
    }
    if (p->copy_wait_us == 0) {
        p->copy_wait_us = now_us + COPY_WAIT_US;
        p->copy_waits++;
        dlog_event(p->o.log, DLOG_WARN, "store",
                   "event=copy_old age_ms=%" PRId64 " wait_ms=%d",
                   age_us / 1000, COPY_WAIT_US / 1000);
    }
    return now_us >= p->copy_wait_us;
}

bool
pxreq_routes_are_outdated(const Px *p, int64_t now_us)
{
    return p->routes_behind && now_us >= p->view_wait_us &&
           !store_is_away(p, now_us);
}

bool
pxreq_view_is_usable(Px *p, int64_t now_us)
{
    return now_us >= p->view_wait_us &&
           !pxreq_routes_are_outdated(p, now_us) &&
           pxreq_copy_is_usable(p, now_us);
}

static void
set_deadlines(Req *r)
{
    uint64_t ms;
    int64_t left_us = INT64_MAX / 2;
    int64_t limit_us = r->route == NULL ? left_us : r->route->timeout_us;

    if (str_u64(h1_get(r->head, r->p->o.names->time_left_ms), DEADLINE_MS_MAX,
                &ms)) {
        left_us = (int64_t)ms * 1000;
    }
    r->end_us = r->begin_us + MIN(left_us, limit_us);
    r->last_us = r->begin_us + MIN(left_us, limit_us + RESPONSE_GRACE_US);
}

void
pxreq_set_route(Req *r, const RtRoute *route, int64_t now_us)
{
    Px *p = r->p;
    Str object = h1_get(r->head, p->o.names->affinity_key);
    uint64_t hash = hash_str(r->attempt, 0);
    bool has_object = route != NULL && route->sticky && object.n > 0;

    rt_unref(r->table);
    r->table = rt_ref(p->table);
    r->route = route;
    r->service = NULL;
    r->demand = NULL;
    r->object = has_object ? hash_str(object, 1) : hash;
    set_deadlines(r);
    if (route == NULL) {
        return;
    }
    r->service = rt_choose_service(p->table, route, hash);
    r->demand = demand_service(p->o.demand, r->service->id);
    if (has_object) {
        plan_add(p->o.plan, r->service->id, r->object, 1, now_us);
    }
    if (!r->counted) {
        r->counted = true;
        demand_arrived(p->o.demand, r->demand, p->n_vms);
        if (pick_is_near(route, p->max_rtt_us)) {
            demand_arrived_near(r->demand);
        }
    }
}

bool
pxreq_update_route(Req *r, int64_t now_us)
{
    if (r->table == r->p->table || r->n_delivered > 0) {
        return false;
    }
    pxreq_set_route(
        r, rt_match(r->p->table, h1_get(r->head, "host"), r->head->target),
        now_us);
    return true;
}

bool
pxreq_route_still_allows(Req *r, int64_t now_us)
{
    const Topology *topo = r->p->o.topology;
    uint64_t service = r->service->id;
    uint64_t object = r->object;
    int64_t end_us = r->end_us;
    int64_t last_us = r->last_us;

    return !pxreq_update_route(r, now_us) ||
           (r->route != NULL && r->service->id == service &&
            r->object == object && r->end_us == end_us &&
            r->last_us == last_us &&
            rt_region_allowed(r->route, topo->regions[r->u->region]));
}

int
pxreq_rank(const Req *r)
{
    return r->route == NULL ? INT_MAX : r->route->rank;
}

void
pxreq_log(const Req *r, const char *outcome, int status, int64_t now_us)
{
    const Px *p = r->p;
    const Ups *u = r->n_tried > 0 ? r->tried[r->n_tried - 1] : NULL;
    bool ok = status / 100 == 2;

    int lines = dlog_admit(p->o.log, !ok, now_us);
    if (lines == 0) {
        return;
    }
    dlog_event(p->o.log, DLOG_INFO, "request",
               "id=%s event=%s status=%d route=%s config=%" PRIu64
               " service=%s rank=%d object=%" PRIx64 " fingerprint=%016" PRIx64
               " upstream=%s pick=%s attempts=%d ran=%d "
               "load=%.1f slots=%d load_age_ms=%" PRId64 " took_ms=%" PRId64
               " left_ms=%" PRId64 " target_ms=%" PRId64 " sent_ms=%" PRId64
               " usual_ms=%d away=%d new_conn=%d copy_age_ms=%" PRId64
               " requests=%d",
               dlog_name(r->attempt).s, outcome, status,
               dlog_name(str_of(r->route == NULL ? "-" : r->route->name)).s,
               rt_version(r->table),
               dlog_name(str_of(r->route == NULL ? "-" : r->service->name)).s,
               r->route == NULL ? -1 : r->route->rank, r->object,
               r->fingerprint, u == NULL ? "-" : u->id,
               pick_reason_name(r->why), r->n_tried, r->ran ? 1 : 0,
               u == NULL ? 0 : ups_load(u, now_us), u == NULL ? 0 : u->slots,
               u == NULL ? 0 : (now_us - u->other_load_at_us) / 1000,
               (now_us - r->begin_us) / 1000, (r->end_us - now_us) / 1000,
               r->route == NULL ? 0 : r->route->latency_target_us / 1000,
               u == NULL ? 0 : (r->sent_us - r->begin_us) / 1000,
               r->demand == NULL ? 0 : (int)(r->demand->work_s * 1e3),
               u != NULL && u->region != p->o.region ? 1 : 0,
               r->new_conn ? 1 : 0, r->copy_age_us / 1000, lines);
}

static void
free_req(gpointer data)
{
    Req *r = data;

    for (int i = 0; i < r->n_tried; i++) {
        ups_unref(r->tried[i]);
    }
    rt_unref(r->table);
    g_free(r);
}

void
pxreq_drop_upstream(Req *r, int64_t now_us)
{
    if (r->conn != NULL) {
        /* The upstream may run the request, and crash, although nobody waits
         * for the response. */
        if (r->may_run && uconn_connected(r->conn)) {
            crash_response_lost(r->p->o.crashes, r->fingerprint, r->u, now_us);
        }
        uconn_cancel(r->conn);
        r->conn = NULL;
    }
    if (r->u != NULL) {
        r->u->inflight--;
        r->u = NULL;
    }
}

void
pxreq_enqueue(Req *r, int64_t now_us)
{
    Px *p = r->p;

    if (r->queue_link.data == NULL) {
        GList *at = p->queue.head;
        while (at != NULL && pxreq_rank(at->data) <= pxreq_rank(r)) {
            at = at->next;
        }
        r->queue_link.data = r;
        g_queue_insert_before_link(&p->queue, at, &r->queue_link);
    }
    if (p->queue_timer.heap_index == 0) {
        evl_arm(p->o.loop, &p->queue_timer, now_us + PXREQ_QUEUE_POLL_US);
    }
}

void
pxreq_requeue(Req *r, int64_t now_us)
{
    r->may_run = false;
    pxreq_drop_upstream(r, now_us);
    evl_disarm(r->p->o.loop, &r->timer);
    r->state = REQ_PENDING;
    pxreq_enqueue(r, now_us);
}

void
pxreq_dequeue(Req *r)
{
    if (r->queue_link.data != NULL) {
        g_queue_unlink(&r->p->queue, &r->queue_link);
        r->queue_link.data = NULL;
    }
}

void
pxreq_end(Req *r, int64_t now_us)
{
    pxreq_dequeue(r);
    evl_disarm(r->p->o.loop, &r->timer);
    pxreq_drop_upstream(r, now_us);
    evl_defer(r->p->o.loop, free_req, r);
}

void
pxreq_respond(Req *r, PxCount count, int status, const char *text,
              int64_t retry_us, int64_t now_us)
{
    Caller *c = r->caller;

    r->p->counts[count]++;
    pxreq_log(r, text, status, now_us);
    caller_set_user(c, NULL);
    pxreq_end(r, now_us);
    caller_respond_text(c, status, text, retry_us);
}

GateOut
pxreq_gate(const Req *r, bool any_usable, int64_t queued_us, int64_t now_us)
{
    GateIn in = {
        .queued_us = queued_us,
        .left_us = r->end_us - now_us,
        .any_usable = any_usable,
        .wait_us = r->wait_us,
        .random = g_rand_double(r->p->o.rnd),
    };

    if (r->route != NULL) {
        in.latency_target_us = r->route->latency_target_us;
        in.service_us = (int64_t)(r->demand->work_s * 1e6);
    }
    return gate_decide(&in);
}

void
pxreq_apply_outcome(Req *r, OutcomeAct act, int64_t now_us)
{
    int64_t retry;

    switch (act) {
    case OUT_NOT_RUN:
        /* The request has had an attempt and must not be queued again:
         * INT64_MAX exceeds every limit on the time in the queue. */
        retry = pxreq_gate(r, r->why != PICK_NONE, INT64_MAX, now_us).retry_us;
        pxreq_respond(r, PX_REFUSED, 503, "not_run", retry, now_us);
        break;
    case OUT_FAILED:
        pxreq_respond(r, PX_FAILED, 502, "upstream_failed", 0, now_us);
        break;
    case OUT_TIMED_OUT:
        pxreq_respond(r, PX_TIMED_OUT, 504, "timed_out", 0, now_us);
        break;
    case OUT_ABORT: {
        Caller *c = r->caller;
        r->p->counts[PX_TRUNCATED]++;
        pxreq_log(r, "cut", 0, now_us);
        caller_set_user(c, NULL);
        pxreq_end(r, now_us);
        caller_abort(c);
        break;
    }
    default:
        break;
    }
}
