/* pxtry - attempts of a request at upstreams.  See pxtry.h. */
#include "pxtry.h"

#include <inttypes.h>
#include <string.h>

/* Limit for a new connection, which takes one round trip: about 110 ms between
 * regions. */
#define CONNECT_US 400000
/* Responses up to this size are buffered before the caller gets a byte, so
 * that another attempt can replace a broken one. */
#define BUFFERED_BYTES (256 * 1024)
/* Size limit of a response that is not forwarded to the caller: refusals and
 * late responses to other requests are short. */
#define MISMATCHED_BYTES (64 * 1024)
#define MISMATCHED_MAX 16 /* responses to other requests, per request */
/* The upstream is not read while the caller's backlog exceeds this. */
#define BACKLOG_BYTES (256 * 1024)
/* Both limits while the buffers of all callers leave little room. */
#define SHORT_BYTES (16 * 1024)
/* Subtracted from the time left that the upstream is given: the response has
 * to travel back to this VM. */
#define RETURN_MARGIN_US 5000
/* An attempt without a response after this multiple of the usual service time
 * indicates that its upstream is slow or unresponsive.  A request at an
 * upstream that is cold takes about 3 times the usual. */
#define OVERDUE_FACTOR 4.0
#define CHECK_INTERVAL_US 500000 /* between checks whether it is down */
#define MALFORMED_LOG_US 1000000 /* between log lines about an upstream */
#define COLD_VMS 4               /* VMs that may use one cold upstream */

/* A request may overflow to another region if it can be served there before
 * its deadline. */
static bool
may_overflow(const Req *r, int64_t now_us)
{
    int64_t needed_us = r->p->max_rtt_us + (int64_t)(r->demand->work_s * 1e6);

    return r->end_us - now_us > needed_us &&
           demand_may_overflow(r->demand, now_us);
}

/* A cold upstream gets a few requests per second from all VMs together, so a
 * line for each of them is affordable. */
static void
log_cold_use(const Req *r, const Ups *u, int64_t now_us)
{
    const Px *p = r->p;

    if (ups_cold(p->o.upstreams, u, r->service->warmup_us, now_us)) {
        dlog_event(p->o.log, DLOG_INFO, "upstream",
                   "id=%s event=cold_use vms=%d self=%d cold_ms=%" PRId64,
                   u->id, p->n_vms, p->self,
                   (u->cold_until_us - now_us) / 1000);
    }
}

Ups *
pxtry_pick(Req *r, int64_t now_us)
{
    const Px *p = r->p;
    PickIn in = {
        .set = p->o.upstreams,
        .topology = p->o.topology,
        .plan = p->o.plan,
        .split = &r->demand->split,
        .route = r->route,
        .service = r->service,
        .object = r->object,
        .region = p->o.region,
        .vms = p->vms,
        .n_vms = p->n_vms,
        .self = p->self,
        .vms_version = p->vms_version,
        .cold_vms_max = COLD_VMS,
        .max_rtt_us = p->max_rtt_us,
        .may_overflow = may_overflow(r, now_us),
        .n_tried = r->n_tried,
    };

    memcpy(in.tried, r->tried, sizeof(r->tried));
    Ups *u = pick_upstream(&in, now_us, &r->why);
    r->wait_us = r->why == PICK_WAIT ? pick_wait_us(&in, now_us) : 0;
    if (r->why == PICK_OVERFLOW) {
        demand_overflowed(r->demand, now_us);
    }
    if (u != NULL) {
        log_cold_use(r, u, now_us);
    }
    return u;
}

/* True if this process was paused during the running attempt, whose time then
 * says nothing about its upstream. */
static bool
spans_pause(const Req *r)
{
    return r->sent_us < r->p->resumed_us;
}

/* Time at which the running attempt counts as overdue. */
static int64_t
overdue_at(const Req *r)
{
    return MAX(r->sent_us, r->p->resumed_us) +
           (int64_t)(r->demand->work_s * 1e6 * OVERDUE_FACTOR) + 1;
}

/* True when another attempt is allowed, which needs at least half of the usual
 * service time before the deadline.  Charges the retry budget. */
static bool
may_retry(Req *r, int64_t now_us)
{
    const Px *p = r->p;

    if (crash_should_refuse(p->o.crashes, r->fingerprint, now_us) ||
        !pxreq_view_is_usable(r->p, now_us) || r->n_tried >= PICK_TRIED_MAX ||
        r->n_delivered >= r->route->max_attempts ||
        r->end_us - now_us < (int64_t)(r->demand->work_s * 5e5)) {
        return false;
    }
    /* The retry budget covers only requests that an upstream may have
     * received. */
    return r->n_delivered == 0 ||
           demand_retry(p->o.demand, r->demand, p->n_vms, now_us);
}

/* Chooses the upstream for another attempt and charges the retry budget.
 * Returns NULL when no attempt is allowed or no upstream is available. */
static Ups *
pick_retry(Req *r, int64_t now_us)
{
    return may_retry(r, now_us) ? pxtry_pick(r, now_us) : NULL;
}

/* received: the previous upstream may have received the request. */
static void
start_retry(Req *r, Ups *next, bool received, int64_t now_us)
{
    r->p->counts[PX_RETRIES] += received ? 1 : 0;
    pxtry_start(r, next, now_us);
}

/* Connects to an upstream that lost an answer, as it may be down and this VM
 * may have no further request for it.  The connection is kept for later
 * requests. */
static void
check_upstream(const Req *r, int64_t now_us)
{
    Ups *u = r->u;

    if (u->checked_us == 0 || now_us - u->checked_us >= CHECK_INTERVAL_US) {
        u->checked_us = now_us;
        uconn_open_spare(r->p->o.pool, u);
    }
}

/* True if the next attempt has to be chosen by a newer view, which only a
 * request can wait for that no upstream may have received. */
static bool
must_dispatch_again(const Req *r, int64_t now_us)
{
    return r->n_delivered == 0 && r->n_tried < PICK_TRIED_MAX &&
           (r->table != r->p->table || !pxreq_view_is_usable(r->p, now_us));
}

/* Retries or ends the request after an attempt ended.  Closes r->conn unless
 * the connection was released before and r->conn is NULL. */
static void
attempt_ended(Req *r, UpEnd end, int64_t now_us)
{
    bool received = end != UP_NOT_SENT;
    Ups *next = NULL;

    if (end == UP_LOST) {
        check_upstream(r, now_us);
    }
    r->may_run = received && end != UP_NOT_RUN;
    pxreq_drop_upstream(r, now_us);
    r->n_delivered += received ? 1 : 0;
    r->ran = r->ran || (received && end != UP_NOT_RUN);
    if (must_dispatch_again(r, now_us)) {
        pxreq_requeue(r, now_us);
        return;
    }
    OutcomeIn in = {end, r->route->idempotent, r->ran, true};
    if (outcome_decide(&in) == OUT_RETRY) {
        next = pick_retry(r, now_us);
        in.may_retry = next != NULL;
    }
    if (next != NULL) {
        start_retry(r, next, received, now_us);
        return;
    }
    pxreq_apply_outcome(r, outcome_decide(&in), now_us);
}

static void
record_response(Req *r, int64_t now_us)
{
    const H1 *resp = uconn_response(r->conn);
    int64_t took = now_us - r->sent_us;
    int running;
    int waiting;

    if (resp->parser.status_code < 500) {
        crash_served(r->p->o.crashes, r->fingerprint, now_us);
    }
    if (!spans_pause(r)) {
        demand_served(r->demand, took);
        hist_add(&r->p->upstream_time, took);
        ups_observe_latency(r->u, (double)took / 1e6 / r->demand->work_s,
                            now_us);
    }
    if (pxhead_load(resp, r->p->o.names, &running, &waiting)) {
        ups_observe_load(r->u, running, waiting, now_us);
    }
}

/* Passes the complete response of this request on to the caller. */
static void
pass_response(Req *r, int64_t now_us)
{
    Caller *c = r->caller;
    H1 *resp = uconn_response(r->conn);
    GString *head = pxhead_response(resp);
    GByteArray *body = g_byte_array_ref(resp->body);
    int status = (int)resp->parser.status_code;

    record_response(r, now_us);
    ups_observe_end(r->u, status < 500, now_us);
    hist_add(&r->p->caller_time, now_us - r->begin_us);
    r->p->counts[PX_ANSWERED]++;
    pxreq_log(r, "answered", status, now_us);
    caller_set_user(c, NULL);
    caller_respond(c, (Str){head->str, head->len}, body->data, body->len);
    g_byte_array_unref(body);
    g_string_free(head, TRUE);
    uconn_release(r->conn);
    r->conn = NULL;
    pxreq_end(r, now_us);
}

/* Abandons an upstream that sends something other than the response to this
 * request, perhaps without end. */
static void
drop_mismatched(Req *r, int64_t now_us)
{
    ups_observe_end(r->u, false, now_us);
    attempt_ended(r, UP_INVALID, now_us);
}

/* Records what the head of a response says about its upstream. */
static void
observe_head(const Req *r, int64_t now_us)
{
    Px *p = r->p;
    const H1 *resp = uconn_response(r->conn);

    if (!uconn_is_current(r->conn)) {
        return;
    }
    int64_t wait_us =
        pxhead_wait_us(resp, p->o.names, r->attempt, g_get_real_time());
    if (wait_us > 0) {
        p->waits++;
        if (now_us >= r->u->wait_until_us) {
            dlog_event(p->o.log, DLOG_INFO, "upstream",
                       "id=%s event=wait wait_ms=%" PRId64, r->u->id,
                       wait_us / 1000);
        }
        ups_observe_wait(p->o.upstreams, r->u, wait_us, now_us);
    }
    if (pxhead_announces_leaving(resp, p->o.names, r->attempt) &&
        ups_observe_leaving(p->o.upstreams, r->u, now_us)) {
        p->leaving_notices++;
        dlog_event(p->o.log, DLOG_INFO, "upstream",
                   "id=%s event=said_leaving boot=%" PRIu64
                   " report_age_ms=%" PRId64,
                   r->u->id, r->u->boot_ms, (now_us - r->u->report_us) / 1000);
        uconns_close_idle(p->o.pool, r->u);
    }
}

static void
on_done(Req *r, int64_t now_us)
{
    H1 *resp = uconn_response(r->conn);

    observe_head(r, now_us);
    if (r->state == REQ_STREAMING) {
        Caller *c = r->caller;
        caller_write(c, resp->body->data, resp->body->len);
        record_response(r, now_us);
        r->p->counts[PX_ANSWERED]++;
        pxreq_log(r, "answered", (int)resp->parser.status_code, now_us);
        uconn_release(r->conn);
        r->conn = NULL;
        caller_set_user(c, NULL);
        pxreq_end(r, now_us);
        caller_end(c);
        return;
    }
    switch (pxhead_classify(resp, r->p->o.names, r->attempt)) {
    case PX_RESPONSE_OWN:
        pass_response(r, now_us);
        break;
    case PX_RESPONSE_NOT_RUN: {
        int running;
        int waiting;
        if (pxhead_load(resp, r->p->o.names, &running, &waiting)) {
            ups_observe_load(r->u, running, waiting, now_us);
        }
        ups_observe_end(r->u, false, now_us);
        uconn_release(r->conn);
        r->conn = NULL;
        attempt_ended(r, UP_NOT_RUN, now_us);
        break;
    }
    case PX_RESPONSE_MISMATCHED:
        if (++r->n_mismatched > MISMATCHED_MAX) {
            drop_mismatched(r, now_us);
        }
        else {
            uconn_skip_response(r->conn);
        }
        break;
    case PX_RESPONSE_INVALID:
        ups_observe_end(r->u, false, now_us);
        attempt_ended(r, UP_INVALID, now_us);
        break;
    }
}

/* Streams the part of a large response that has arrived. */
static void
on_body(Req *r, int64_t now_us)
{
    H1 *resp = uconn_response(r->conn);
    bool is_short = caller_memory_is_short(r->caller);

    if (r->state != REQ_STREAMING) {
        if (pxhead_classify(resp, r->p->o.names, r->attempt) !=
            PX_RESPONSE_OWN) {
            if (resp->body->len > MISMATCHED_BYTES) {
                drop_mismatched(r, now_us);
            }
            return;
        }
        if (resp->body->len < (is_short ? SHORT_BYTES : BUFFERED_BYTES)) {
            caller_hold(r->caller, resp->body->len);
            return;
        }
        caller_hold(r->caller, 0);
        observe_head(r, now_us);
        GString *head = pxhead_response(resp);
        r->state = REQ_STREAMING;
        caller_begin(r->caller, (Str){head->str, head->len}, resp->length);
        g_string_free(head, TRUE);
    }
    caller_write(r->caller, resp->body->data, resp->body->len);
    h1_drop_body(resp);
    uconn_pause(r->conn, caller_backlog(r->caller) >
                             (is_short ? SHORT_BYTES : BACKLOG_BYTES));
}

/* Looks at the upstream and the view again before the request is written to a
 * new connection, which may have taken CONNECT_US. */
static void
before_sending(Req *r, int64_t now_us)
{
    Px *p = r->p;

    if (!ups_usable(p->o.upstreams, r->u) || r->u->service != r->service->id) {
        attempt_ended(r, UP_NOT_SENT, now_us);
    }
    else if (r->n_delivered == 0 && (!pxreq_view_is_usable(p, now_us) ||
                                     !pxreq_route_still_allows(r, now_us))) {
        /* The attempt does not count. */
        ups_unref(r->tried[--r->n_tried]);
        pxreq_requeue(r, now_us);
    }
}

/* Logs why the response is malformed, once per interval and upstream. */
static void
log_malformed(const Req *r, int64_t now_us)
{
    Ups *u = r->u;

    u->n_malformed++;
    if (u->malformed_us == 0 || now_us - u->malformed_us >= MALFORMED_LOG_US) {
        dlog_event(r->p->o.log, DLOG_WARN, "upstream",
                   "id=%s event=malformed_response request=%s error=\"%s\" "
                   "responses=%d",
                   u->id, dlog_name(r->attempt).s,
                   dlog_quoted(uconn_error(r->conn)).s, u->n_malformed);
        u->malformed_us = now_us;
        u->n_malformed = 0;
    }
}

static void
on_upstream(void *ctx, UconnEvent ev, int64_t now_us)
{
    Req *r = ctx;
    UpEnd end = r->state == REQ_STREAMING ? UP_TRUNCATED : UP_LOST;

    switch (ev) {
    case UCONN_BODY:
        on_body(r, now_us);
        break;
    case UCONN_DONE:
        on_done(r, now_us);
        break;
    case UCONN_CONNECT_FAILED:
        ups_observe_connect_failure(r->u, now_us);
        attempt_ended(r, UP_NOT_SENT, now_us);
        break;
    case UCONN_INVALID:
        log_malformed(r, now_us);
        ups_observe_lost(r->u, now_us);
        attempt_ended(r, end == UP_TRUNCATED ? UP_TRUNCATED : UP_INVALID,
                      now_us);
        break;
    case UCONN_LOST:
        if (!spans_pause(r)) {
            ups_observe_lost(r->u, now_us);
        }
        attempt_ended(r, end, now_us);
        break;
    case UCONN_SENDING:
        before_sending(r, now_us);
        break;
    case UCONN_CONNECTED:
    case UCONN_FLUSHED:
        break;
    }
}

/* Records an attempt that got no response until its deadline.  When requests
 * queue at the upstream, the time taken says nothing about its health. */
static void
record_timeout(const Req *r, int64_t now_us)
{
    if (spans_pause(r)) {
        return;
    }
    if (now_us >= overdue_at(r) && ups_load(r->u, now_us) <= r->u->slots) {
        ups_observe_lost(r->u, now_us);
    }
    else {
        ups_observe_end(r->u, false, now_us);
    }
}

/* Handles an overdue attempt.  An idempotent request moves to another upstream
 * when other attempts at the current one also indicate that it is degraded. */
static void
attempt_overdue(Req *r, int64_t now_us)
{
    Ups *next = NULL;
    /* A response that is streamed may take long because of its size. */
    bool not_streaming = r->state == REQ_SENT;

    if (not_streaming && ups_load(r->u, now_us) <= r->u->slots) {
        ups_observe_lost(r->u, now_us);
    }
    if (not_streaming && r->route->idempotent &&
        pick_is_degraded(r->u, now_us)) {
        /* The limits of a retry also count the attempt that still runs. */
        r->n_delivered++;
        next = pick_retry(r, now_us);
        r->n_delivered--;
    }
    if (next == NULL) {
        evl_arm(r->p->o.loop, &r->timer, r->end_us);
        return;
    }
    pxreq_drop_upstream(r, now_us);
    r->n_delivered++;
    r->ran = true;
    start_retry(r, next, true, now_us);
}

/* Handles the timer before the deadline.  sent: connected, so that the request
 * was written; otherwise CONNECT_US have passed. */
static void
check_attempt(Req *r, bool sent, int64_t now_us)
{
    int64_t overdue_us = overdue_at(r);

    if (!sent) {
        if (!spans_pause(r)) {
            ups_observe_connect_failure(r->u, now_us);
        }
        attempt_ended(r, UP_NOT_SENT, now_us);
    }
    else if (now_us >= overdue_us) {
        attempt_overdue(r, now_us);
    }
    else {
        evl_arm(r->p->o.loop, &r->timer, MIN(r->end_us, overdue_us));
    }
}

static void
on_timer(void *ctx, int64_t now_us)
{
    Req *r = ctx;
    bool sent = r->conn != NULL && uconn_connected(r->conn);

    if (now_us < r->end_us) {
        check_attempt(r, sent, now_us);
        return;
    }
    if (r->state == REQ_STREAMING) {
        pxreq_apply_outcome(r, OUT_ABORT, now_us);
        return;
    }
    if (sent && now_us < r->last_us) {
        evl_arm(r->p->o.loop, &r->timer, r->last_us);
        return;
    }
    if (sent) {
        record_timeout(r, now_us);
    }
    if (!sent && !r->ran) {
        pxreq_apply_outcome(r, OUT_NOT_RUN, now_us);
        return;
    }
    pxreq_apply_outcome(r, OUT_TIMED_OUT, now_us);
}

void
pxtry_start(Req *r, Ups *u, int64_t now_us)
{
    Px *p = r->p;
    int64_t left_ms = (r->last_us - now_us - RETURN_MARGIN_US) / 1000;

    pxreq_dequeue(r);
    if (!r->admitted) {
        r->admitted = true;
        demand_admitted(p->o.demand, r->demand);
    }
    r->timer.fn = on_timer;
    r->timer.ctx = r;
    caller_hold(r->caller, 0);
    r->tried[r->n_tried++] = ups_ref(u);
    r->conn = uconn_open(p->o.pool, u, false, on_upstream, r);
    if (r->conn == NULL) {
        attempt_ended(r, UP_NOT_SENT, now_us);
        return;
    }
    r->u = u;
    r->state = REQ_SENT;
    r->may_run = true;
    r->sent_us = now_us;
    routeuse_add(&p->route_use, r->attempt, now_us);
    r->copy_age_us = now_us - p->confirmed_us;
    hist_add(&p->copy_age, r->copy_age_us);
    r->new_conn = !uconn_connected(r->conn);
    u->inflight++;
    u->used = true;
    u->sent_before_us = u->sent_us;
    u->sent_us = now_us;
    GString *head =
        pxhead_request(r->head, p->o.names, u->id, MAX(left_ms, 1));
    uconn_send(r->conn, head->str, head->len, r->head->body->data,
               r->head->body->len, r->head->parser.method == HTTP_HEAD);
    g_string_free(head, TRUE);
    int64_t check_us =
        uconn_connected(r->conn) ? overdue_at(r) : now_us + CONNECT_US;
    evl_arm(p->o.loop, &r->timer, MIN(r->end_us, check_us));
}

void
pxtry_caller_flushed(Req *r)
{
    if (r->state == REQ_STREAMING && r->conn != NULL) {
        uconn_pause(r->conn, false);
    }
}
