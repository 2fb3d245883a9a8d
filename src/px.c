/* px - the way of a request.  See px.h. */
#include "px.h"

#include <inttypes.h>
#include <string.h>

#include "gate.h"
#include "hash.h"
#include "hist.h"
#include "outcome.h"

/* A new connection needs a round trip; between regions about 110 ms. */
#define CONNECT_US 400000
/* Answers up to this size are read whole before the caller gets a byte, so
 * that a broken one can be replaced. */
#define WHOLE_BYTES (256 * 1024)
/* A caller that does not read holds up the upstream at this many bytes. */
#define BACKLOG_BYTES (256 * 1024)
#define HOLD_STEP_US 8000         /* between looks for room */
#define RETRY_NO_ROUTES_US 500000 /* the first configuration is on its way */
/* An answer may take this long on its way back to the caller's side. */
#define ANSWER_MARGIN_US 5000
/* An answer that is nearly there when the time is over is still waited for;
 * after a quarter of a second the platform counts the request as held. */
#define ANSWER_GRACE_US 150000
#define COLD_VMS 4 /* VMs that use one cold upstream */

typedef enum ReqState { REQ_HELD, REQ_SENT, REQ_STREAMING } ReqState;

typedef struct Req {
    struct Px *p;
    Caller *caller;
    const H1 *head;
    RtTable *table;
    const RtRoute *route;
    const RtService *service;
    DemandService *demand;
    ReqState state;
    Str attempt;
    uint64_t object;
    uint64_t print; /* what makes it the same when it comes back */
    int64_t begin_us;
    int64_t end_us;  /* the caller leaves, or the route's time is over */
    int64_t last_us; /* the same with the grace for an answer */
    int64_t sent_us;
    Ups *u;
    Uconn *conn;
    Ups *tried[PICK_TRIED_MAX];
    int n_tried;
    int arrivals; /* attempts that an upstream may have seen */
    bool ran;     /* one of them may have run */
    PickWhy why;
    EvlTimer timer;
    GList held;
} Req;

typedef enum PxCount {
    PX_ANSWERED,
    PX_REFUSED,
    PX_FAILED,
    PX_TIMED_OUT,
    PX_CUT,
    PX_LEFT,
    PX_UNROUTED,
    PX_BAD_HEAD,
    PX_RETRIES,
    PX_CRASHES,
    PX_COUNTS
} PxCount;

static const char *const count_names[PX_COUNTS] = {
    "answered", "refused",  "failed",   "timed_out", "cut",
    "left",     "unrouted", "bad_head", "retries",   "crashes"};

struct Px {
    PxOpts o;
    RtTable *table;
    const PickVm *vms;
    int n_vms;
    int self;
    int64_t reach_us;
    GQueue held;
    EvlTimer hold_timer;
    int64_t counts[PX_COUNTS];
    Hist answered;
    Hist upstream;
};

static void dispatch(Req *r, int64_t now_us);

static void
log_end(const Req *r, const char *outcome, int status, int64_t now_us)
{
    const Px *p = r->p;
    const Ups *u = r->n_tried > 0 ? r->tried[r->n_tried - 1] : NULL;
    bool usual = status / 100 == 2;

    if (!dlog_may(p->o.log, !usual, now_us)) {
        return;
    }
    dlog_event(p->o.log, DLOG_INFO, "request",
               "id=%.*s event=%s status=%d route=%s config=%" PRIu64
               " service=%s rank=%d upstream=%s pick=%s attempts=%d ran=%d "
               "load=%.1f load_age_ms=%" PRId64 " took_ms=%" PRId64
               " left_ms=%" PRId64,
               (int)r->attempt.n, r->attempt.p, outcome, status,
               r->route->name, rt_version(r->table), r->service->name,
               r->route->rank, u == NULL ? "-" : u->id, pick_why_name(r->why),
               r->n_tried, r->ran ? 1 : 0, u == NULL ? 0 : ups_load(u, now_us),
               u == NULL ? 0 : (now_us - u->others_at_us) / 1000,
               (now_us - r->begin_us) / 1000, (r->end_us - now_us) / 1000);
}

static void
req_free(gpointer data)
{
    Req *r = data;

    for (int i = 0; i < r->n_tried; i++) {
        ups_unref(r->tried[i]);
    }
    rt_unref(r->table);
    g_free(r);
}

/* Ends the hold on an upstream; the connection is the caller's business. */
static void
drop_upstream(Req *r)
{
    if (r->conn != NULL) {
        uconn_cancel(r->conn);
        r->conn = NULL;
    }
    if (r->u != NULL) {
        r->u->inflight--;
        r->u = NULL;
    }
}

static void
unhold(Req *r)
{
    if (r->held.data != NULL) {
        g_queue_unlink(&r->p->held, &r->held);
        r->held.data = NULL;
    }
}

static void
req_end(Req *r)
{
    unhold(r);
    evl_disarm(r->p->o.loop, &r->timer);
    drop_upstream(r);
    evl_later(r->p->o.loop, req_free, r);
}

/* Answers in the system's own words and ends the request. */
static void
say(Req *r, PxCount count, int status, const char *text, int64_t retry_us,
    int64_t now_us)
{
    Caller *c = r->caller;

    r->p->counts[count]++;
    log_end(r, text, status, now_us);
    caller_set_user(c, NULL);
    req_end(r);
    caller_say(c, status, text, retry_us);
}

static GateOut
ask_gate(const Req *r, bool any_usable, int64_t held_us, int64_t now_us)
{
    GateIn in = {
        .target_us = r->route->target_us,
        .held_us = held_us,
        .left_us = r->end_us - now_us,
        .work_us = (int64_t)(r->demand->work_s * 1e6),
        .any_usable = any_usable,
        .dice = g_rand_double(r->p->o.rnd),
    };

    return gate_decide(&in);
}

static void
end_by(Req *r, OutcomeAct act, int64_t now_us)
{
    int64_t retry;

    switch (act) {
    case OUT_NOT_RUN:
        /* held_us over any limit: the request has had its attempt. */
        retry = ask_gate(r, r->why != PICK_NONE, INT64_MAX, now_us).retry_us;
        say(r, PX_REFUSED, 503, "not_run", retry, now_us);
        break;
    case OUT_FAILED:
        say(r, PX_FAILED, 502, "upstream_failed", 0, now_us);
        break;
    case OUT_TIMED_OUT:
        say(r, PX_TIMED_OUT, 504, "timed_out", 0, now_us);
        break;
    case OUT_CUT: {
        Caller *c = r->caller;
        r->p->counts[PX_CUT]++;
        log_end(r, "cut", 0, now_us);
        caller_set_user(c, NULL);
        req_end(r);
        caller_cut(c);
        break;
    }
    default:
        break;
    }
}

static Ups *
pick(Req *r, int64_t now_us)
{
    const Px *p = r->p;
    PickIn in = {
        .set = p->o.upstreams,
        .places = p->o.places,
        .plan = p->o.plan,
        .split = &r->demand->split,
        .route = r->route,
        .service = r->service,
        .object = r->object,
        .region = p->o.region,
        .vms = p->vms,
        .n_vms = p->n_vms,
        .self = p->self,
        .cold_vms = COLD_VMS,
        .reach_us = p->reach_us,
        .n_tried = r->n_tried,
    };

    memcpy(in.tried, r->tried, sizeof(r->tried));
    return pick_upstream(&in, now_us, &r->why);
}

/* True when another attempt is allowed; takes a part of the budget. */
static bool
may_again(Req *r, int64_t now_us)
{
    const Px *p = r->p;

    if (crash_refuses(p->o.crashes, r->print, now_us) ||
        r->n_tried >= PICK_TRIED_MAX ||
        r->arrivals >= r->route->max_attempts ||
        r->end_us - now_us < (int64_t)(r->demand->work_s * 5e5)) {
        return false;
    }
    /* Only what an upstream has seen counts as a repeat. */
    return r->arrivals == 0 ||
           demand_retry(p->o.demand, r->demand, p->n_vms, now_us);
}

static void attempt(Req *r, Ups *u, int64_t now_us);

/* Decides what follows the end of an attempt.  The connection is closed or
 * given back by then. */
static void
attempt_ended(Req *r, UpEnd end, int64_t now_us)
{
    bool seen = end != UP_NOT_SENT;
    Ups *next = NULL;

    if (end == UP_LOST) {
        crash_lost(r->p->o.crashes, r->print, r->u, now_us);
    }

    drop_upstream(r);
    r->arrivals += seen ? 1 : 0;
    r->ran = r->ran || (seen && end != UP_NOT_RUN);
    OutcomeIn in = {end, r->route->idempotent, r->ran, true};
    if (outcome_decide(&in) == OUT_AGAIN) {
        in.may_again =
            may_again(r, now_us) && (next = pick(r, now_us)) != NULL;
    }
    OutcomeAct act = outcome_decide(&in);
    if (act == OUT_AGAIN && next != NULL) {
        r->p->counts[PX_RETRIES] += seen ? 1 : 0;
        attempt(r, next, now_us);
        return;
    }
    end_by(r, act, now_us);
}

static void
note_answer(Req *r, int64_t now_us)
{
    const H1 *a = uconn_answer(r->conn);
    int64_t took = now_us - r->sent_us;
    int running;
    int waiting;

    demand_served(r->demand, took);
    hist_add(&r->p->upstream, took);
    ups_saw_time(r->u, (double)took / 1e6 / r->demand->work_s, now_us);
    if (pxhead_load(a, r->p->o.names, &running, &waiting)) {
        ups_saw_load(r->u, running, waiting, now_us);
    }
}

/* A whole answer of this request. */
static void
pass_on(Req *r, int64_t now_us)
{
    Caller *c = r->caller;
    H1 *a = uconn_answer(r->conn);
    GString *head = pxhead_answer(a);
    GByteArray *body = g_byte_array_ref(a->body);
    int status = (int)a->parser.status_code;

    note_answer(r, now_us);
    ups_saw_end(r->u, status < 500, now_us);
    hist_add(&r->p->answered, now_us - r->begin_us);
    r->p->counts[PX_ANSWERED]++;
    log_end(r, "answered", status, now_us);
    caller_set_user(c, NULL);
    caller_answer(c, (Str){head->str, head->len}, body->data, body->len);
    g_byte_array_unref(body);
    g_string_free(head, TRUE);
    uconn_release(r->conn);
    r->conn = NULL;
    req_end(r);
}

static void
on_done(Req *r, int64_t now_us)
{
    H1 *a = uconn_answer(r->conn);

    if (r->state == REQ_STREAMING) {
        Caller *c = r->caller;
        caller_more(c, a->body->data, a->body->len);
        note_answer(r, now_us);
        r->p->counts[PX_ANSWERED]++;
        log_end(r, "answered", (int)a->parser.status_code, now_us);
        uconn_release(r->conn);
        r->conn = NULL;
        caller_set_user(c, NULL);
        req_end(r);
        caller_end(c);
        return;
    }
    switch (pxhead_kind(a, r->p->o.names, r->attempt)) {
    case PX_ANSWER_OWN:
        pass_on(r, now_us);
        break;
    case PX_ANSWER_NOT_RUN: {
        int running;
        int waiting;
        if (pxhead_load(a, r->p->o.names, &running, &waiting)) {
            ups_saw_load(r->u, running, waiting, now_us);
        }
        ups_saw_end(r->u, false, now_us);
        uconn_release(r->conn);
        r->conn = NULL;
        attempt_ended(r, UP_NOT_RUN, now_us);
        break;
    }
    case PX_ANSWER_OTHER:
        uconn_skip(r->conn);
        break;
    case PX_ANSWER_BAD:
        ups_saw_end(r->u, false, now_us);
        attempt_ended(r, UP_GARBLED, now_us);
        break;
    }
}

/* Hands on what has come of a large answer. */
static void
on_body(Req *r)
{
    H1 *a = uconn_answer(r->conn);

    if (r->state != REQ_STREAMING) {
        if (a->body->len < WHOLE_BYTES ||
            pxhead_kind(a, r->p->o.names, r->attempt) != PX_ANSWER_OWN) {
            return;
        }
        GString *head = pxhead_answer(a);
        r->state = REQ_STREAMING;
        caller_begin(r->caller, (Str){head->str, head->len}, a->length);
        g_string_free(head, TRUE);
    }
    caller_more(r->caller, a->body->data, a->body->len);
    g_byte_array_set_size(a->body, 0);
    uconn_pause(r->conn, caller_backlog(r->caller) > BACKLOG_BYTES);
}

static void
on_upstream(void *ctx, UconnEvent ev, int64_t now_us)
{
    Req *r = ctx;
    UpEnd end = r->state == REQ_STREAMING ? UP_CUT : UP_LOST;

    switch (ev) {
    case UCONN_BODY:
        on_body(r);
        break;
    case UCONN_DONE:
        on_done(r, now_us);
        break;
    case UCONN_REFUSED:
        ups_saw_down(r->u, now_us);
        attempt_ended(r, UP_NOT_SENT, now_us);
        break;
    case UCONN_GARBLED:
        ups_saw_end(r->u, false, now_us);
        attempt_ended(r, end == UP_CUT ? UP_CUT : UP_GARBLED, now_us);
        break;
    case UCONN_LOST:
        ups_saw_end(r->u, false, now_us);
        attempt_ended(r, end, now_us);
        break;
    case UCONN_CONNECTED:
    case UCONN_FLUSHED:
        break;
    }
}

static void
on_timer(void *ctx, int64_t now_us)
{
    Req *r = ctx;

    bool sent = r->conn != NULL && uconn_connected(r->conn);

    if (now_us < r->end_us) {
        /* Armed early to look at the connection. */
        if (!sent) {
            ups_saw_down(r->u, now_us);
            attempt_ended(r, UP_NOT_SENT, now_us);
            return;
        }
        evl_arm(r->p->o.loop, &r->timer, r->end_us);
        return;
    }
    if (r->state == REQ_STREAMING) {
        end_by(r, OUT_CUT, now_us);
        return;
    }
    if (sent && now_us < r->last_us) {
        evl_arm(r->p->o.loop, &r->timer, r->last_us);
        return;
    }
    if (sent) {
        ups_saw_end(r->u, false, now_us);
    }
    if (!sent && !r->ran) {
        end_by(r, OUT_NOT_RUN, now_us);
        return;
    }
    end_by(r, OUT_TIMED_OUT, now_us);
}

static void
attempt(Req *r, Ups *u, int64_t now_us)
{
    Px *p = r->p;
    int64_t left_ms = (r->last_us - now_us - ANSWER_MARGIN_US) / 1000;

    unhold(r);
    r->tried[r->n_tried++] = ups_ref(u);
    r->conn = uconn_open(p->o.pool, u, false, on_upstream, r);
    if (r->conn == NULL) {
        attempt_ended(r, UP_NOT_SENT, now_us);
        return;
    }
    r->u = u;
    r->state = REQ_SENT;
    r->sent_us = now_us;
    u->inflight++;
    u->used = true;
    GString *head =
        pxhead_request(r->head, p->o.names, u->id, MAX(left_ms, 1));
    uconn_send(r->conn, head->str, head->len, r->head->body->data,
               r->head->body->len, r->head->parser.method == HTTP_HEAD);
    g_string_free(head, TRUE);
    evl_arm(p->o.loop, &r->timer,
            uconn_connected(r->conn) ? r->end_us
                                     : MIN(r->end_us, now_us + CONNECT_US));
}

/* Places a request, keeps it for a moment, or refuses it. */
static void
dispatch(Req *r, int64_t now_us)
{
    Px *p = r->p;
    Ups *u = pick(r, now_us);

    if (u != NULL) {
        attempt(r, u, now_us);
        return;
    }
    GateOut g = ask_gate(r, r->why != PICK_NONE, now_us - r->begin_us, now_us);
    if (!g.hold) {
        say(r, PX_REFUSED, 503,
            r->why == PICK_NONE ? "no_upstream" : "no_room", g.retry_us,
            now_us);
        return;
    }
    if (r->held.data == NULL) {
        GList *at = p->held.head;
        while (at != NULL &&
               ((Req *)at->data)->route->rank <= r->route->rank) {
            at = at->next;
        }
        r->held.data = r;
        g_queue_insert_before_link(&p->held, at, &r->held);
    }
    if (p->hold_timer.slot == 0) {
        evl_arm(p->o.loop, &p->hold_timer, now_us + HOLD_STEP_US);
    }
}

static void
on_hold_timer(void *ctx, int64_t now_us)
{
    Px *p = ctx;
    guint n = p->held.length;

    /* Those that stay held keep their places; each is looked at once. */
    GList *l = p->held.head;
    for (guint i = 0; i < n && l != NULL; i++) {
        GList *next = l->next;
        dispatch(l->data, now_us);
        l = next;
    }
    if (p->held.length > 0 && p->hold_timer.slot == 0) {
        evl_arm(p->o.loop, &p->hold_timer, now_us + HOLD_STEP_US);
    }
}

static void
set_times(Req *r, int64_t now_us)
{
    uint64_t ms;
    int64_t left_us = INT64_MAX / 2;
    int64_t limit_us = r->route->timeout_us;

    if (str_u64(h1_get(r->head, r->p->o.names->time_left_ms), DEADLINE_MS_MAX,
                &ms)) {
        left_us = (int64_t)ms * 1000;
    }
    r->begin_us = now_us;
    r->end_us = now_us + MIN(left_us, limit_us);
    r->last_us = now_us + MIN(left_us, limit_us + ANSWER_GRACE_US);
}

static void
begin(Px *p, Caller *c, const H1 *head, const RtRoute *route, Str attempt_id,
      int64_t now_us)
{
    Str object = h1_get(head, p->o.names->object);
    uint64_t hash = hash_str(attempt_id, 0);
    Req *r = g_new0(Req, 1);

    r->p = p;
    r->caller = c;
    r->head = head;
    r->table = rt_ref(p->table);
    r->route = route;
    r->service = rt_part(p->table, route, hash);
    r->demand = demand_service(p->o.demand, r->service->id);
    r->attempt = attempt_id;
    r->object = route->sticky && object.n > 0 ? hash_str(object, 1) : hash;
    set_times(r, now_us);
    r->timer = (EvlTimer){.fn = on_timer, .ctx = r};
    caller_set_user(c, r);
    if (route->sticky && object.n > 0) {
        plan_learn(p->o.plan, r->service->id, r->object, 1, now_us);
    }
    demand_arrived(p->o.demand, r->demand, p->n_vms);
    r->print =
        crash_print(h1_method(head), head->target, object,
                    (Str){(const char *)head->body->data, head->body->len});
    if (crash_refuses(p->o.crashes, r->print, now_us)) {
        say(r, PX_CRASHES, 503, "crashes_upstreams", 0, now_us);
        return;
    }
    dispatch(r, now_us);
}

static void
on_request(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Px *p = ctx;
    Str id = h1_get(req, p->o.names->attempt);

    if (p->table == NULL) {
        p->counts[PX_UNROUTED]++;
        caller_say(c, 503, "no_configuration_yet", RETRY_NO_ROUTES_US);
        return;
    }
    const RtRoute *route =
        rt_match(p->table, h1_get(req, "host"), req->target);
    if (route == NULL) {
        p->counts[PX_UNROUTED]++;
        if (dlog_may(p->o.log, true, now_us)) {
            dlog_event(p->o.log, DLOG_INFO, "request",
                       "id=%.*s event=no_route status=404 config=%" PRIu64,
                       (int)id.n, id.p, rt_version(p->table));
        }
        caller_say(c, 404, "no_route", 0);
        return;
    }
    if (id.n == 0) {
        p->counts[PX_BAD_HEAD]++;
        caller_say(c, 400, "no_attempt_id", 0);
        return;
    }
    begin(p, c, req, route, id, now_us);
}

static void
on_left(void *ctx, void *user, int64_t now_us)
{
    Px *p = ctx;
    Req *r = user;

    p->counts[PX_LEFT]++;
    log_end(r, "caller_left", 0, now_us);
    req_end(r);
}

static void
on_flushed(void *ctx, void *user)
{
    Req *r = user;
    (void)ctx;

    if (r->state == REQ_STREAMING && r->conn != NULL) {
        uconn_pause(r->conn, false);
    }
}

static void
on_refused(void *ctx, int status, const Err *e)
{
    Px *p = ctx;
    int64_t now_us = evl_now(p->o.loop);

    p->counts[PX_BAD_HEAD]++;
    if (dlog_may(p->o.log, true, now_us)) {
        dlog_event(p->o.log, DLOG_INFO, "request",
                   "id=- event=bad_request status=%d error=\"%s\"", status,
                   e->text);
    }
}

const CallerFns px_caller_fns = {on_request, on_left, on_flushed, on_refused};

Px *
px_new(const PxOpts *o)
{
    Px *p = g_new0(Px, 1);

    p->o = *o;
    g_queue_init(&p->held);
    p->hold_timer = (EvlTimer){.fn = on_hold_timer, .ctx = p};
    return p;
}

void
px_free(Px *p)
{
    evl_disarm(p->o.loop, &p->hold_timer);
    rt_unref(p->table);
    g_free(p);
}

void
px_set_routes(Px *p, RtTable *t)
{
    rt_unref(p->table);
    p->table = rt_ref(t);
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
}

void
px_set_reach(Px *p, int64_t reach_us)
{
    p->reach_us = reach_us;
}

void
px_metrics(const Px *p, GString *out)
{
    for (int i = 0; i < PX_COUNTS; i++) {
        g_string_append_printf(out, "edge_requests_%s_total %" PRId64 "\n",
                               count_names[i], p->counts[i]);
    }
    g_string_append_printf(out,
                           "edge_held %u\nedge_connections_opened_total "
                           "%" PRId64 "\nedge_connections_reused_total "
                           "%" PRId64 "\nedge_log_dropped_total %" PRId64 "\n",
                           p->held.length, uconns_opened(p->o.pool),
                           uconns_reused(p->o.pool), dlog_dropped(p->o.log));
    hist_text(&p->answered, "edge_answer_ms", "part=\"caller\"", out);
    hist_text(&p->upstream, "edge_answer_ms", "part=\"upstream\"", out);
}
