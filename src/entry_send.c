/* entry_send - attempts of a request on a target.  See entry.h. */
#include "entry.h"

#include <string.h>

#include "httptext.h"
#include "lg.h"

static bool
header_is_one(SoupMessageHeaders *h, const char *name)
{
    const char *v = soup_message_headers_get_one(h, name);

    return v != NULL && strcmp(v, "1") == 0;
}

bool
send_body(Req *r, CallOpts *o)
{
    GUri *u = soup_server_message_get_uri(r->msg);
    SoupMessageHeaders *h = soup_server_message_get_request_headers(r->msg);

    o->method = soup_server_message_get_method(r->msg);
    o->query = g_uri_get_query(u);
    o->content_type = soup_message_headers_get_one(h, "Content-Type");
    o->body_fd = -1;
    o->body_bytes = -1;
    if (r->pipe_rest != NULL) {
        if (r->pipe_read_fd < 0) {
            return false;
        }
        o->body_fd = r->pipe_read_fd;
        o->body_bytes = r->body_length;
        r->pipe_read_fd = -1;
        return true;
    }
    if (r->body->len > 0) {
        o->body = g_bytes_new(r->body->data, r->body->len);
    }
    return true;
}

/* Keeps the first bytes of the answer to once work for its record. */
void
send_keep(Req *r, GBytes *data)
{
    gsize n;
    const uint8_t *p = g_bytes_get_data(data, &n);

    if (!r->owns_record) {
        return;
    }
    if (r->keep->len + n > IDEM_BODY_BYTES) {
        r->keep_over = true;
        return;
    }
    g_byte_array_append(r->keep, p, (guint)n);
}

static void
fill(void *ctx, SoupMessageHeaders *h)
{
    Req *r = ctx;
    char text[24];
    int64_t left = req_left_ms(r, g_get_monotonic_time());

    http_copy_headers(h, soup_server_message_get_request_headers(r->msg));
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, MAX(left, 1));
    soup_message_headers_replace(h, "Mimosa-Deadline-Ms", text);
    soup_message_headers_replace(h, "Mimosa-Rank",
                                 r->en->snap->m->ranks[r->head.rank].name);
}

/* Time passes between a decision and the send, above all when the process is
 * paused; so ownership is checked again at the last moment. */
static bool
may_send(void *ctx)
{
    Req *r = ctx;
    Entry *en = r->en;
    int64_t now = g_get_monotonic_time();

    entry_apply_time(en, now);
    if (r->target < 0 || !entry_owned_now(en, r->target, now) ||
        now >= r->deadline_us) {
        ctr_add(en->c[EC_SENDS_BARRED], 1);
        r->barred = true;
        return false;
    }
    r->maybe_run = true;
    return true;
}

/* Begins the answer to the caller with the status and head of another. */
void
send_begin_answer(Req *r, int status, SoupMessageHeaders *h)
{
    const char *type = soup_message_headers_get_one(h, "Content-Type");
    g_strlcpy(r->content_type, type == NULL ? "" : type,
              sizeof(r->content_type));
    req_answer_begin(r, status, h);
}

static void
on_head(void *ctx, int status, SoupMessageHeaders *h)
{
    Req *r = ctx;
    Svc *s = r->en->svcs[r->service];

    r->has_head = true;
    if (header_is_one(h, "Mimosa-Leaving") && r->target >= 0) {
        ctr_add(r->en->c[EC_LEAVING_SEEN], 1);
        slot_report_shutdown(s->slots, r->target, HEALTH_HEADER,
                             g_get_monotonic_time());
    }
    if (status == 503 && header_is_one(h, "Mimosa-Shed")) {
        r->shed = true;
        return;
    }
    send_begin_answer(r, status, h);
}

/* Passes on a part of an answer, or drops it where the answer is of no use. */
void
send_on_data(void *ctx, GBytes *data)
{
    Req *r = ctx;

    if (r->shed) {
        call_more(r->call);
    }
    else {
        send_keep(r, data);
        req_answer_data(r, data);
    }
    g_bytes_unref(data);
}

/* Accounts the end of the running attempt and gives its slot back. */
static void
end_attempt(Req *r, SlotEnd how)
{
    Svc *s = r->en->svcs[r->service];
    int64_t now = g_get_monotonic_time();

    if (r->alone) {
        crash_end_alone(r, how == SLOT_END_OK || how == SLOT_END_ERROR);
    }
    if (r->target >= 0) {
        slot_end(s->slots, r->target, how, now - r->sent_us, now);
    }
    if (r->counted == s->adm) {
        adm_ended(s->adm, r->head.rank, now - r->sent_us, now);
    }
    r->counted = NULL;
    r->call = NULL;
    r->avoid = r->target;
    r->target = -1;
}

void
send_cancel(Req *r, SlotEnd how)
{
    Svc *s = r->en->svcs[r->service];

    if (r->call != NULL) {
        call_cancel(r->call);
    }
    end_attempt(r, how);
    r->state = REQ_READING;
    svc_pump(s);
}

/* Sends again to another target, or tells the caller. */
void
send_decide(Req *r, AttemptEnd how)
{
    Svc *s = r->en->svcs[r->service];
    int64_t now = g_get_monotonic_time();
    bool used = r->pipe_rest != NULL && r->pipe_read_fd < 0;
    RetryAct act =
        retry_decide(&s->retry, r->head.class, how, r->begun || used,
                     r->deadline_us, slot_service_mean_us(s->slots), now);

    if (r->msg == NULL && act == RETRY_RESEND) {
        act = r->maybe_run ? RETRY_UNKNOWN : RETRY_NOT_RUN;
    }
    if (r->begun || (act == RETRY_NOT_RUN && r->maybe_run)) {
        act = RETRY_UNKNOWN;
    }
    lg_decision("entry", "attempt ended: service=%s rank=%d try=%d act=%s",
                s->name, r->head.rank, r->tries, retry_act_name(act));
    r->state = REQ_READING;
    switch (act) {
    case RETRY_RESEND:
        ctr_add(r->en->c[EC_RETRIES], 1);
        r->earlier_run = r->maybe_run;
        req_answer_drop(r);
        svc_admit(r);
        break;
    case RETRY_NOT_RUN:
        req_answer_drop(r);
        req_refuse(r, how == ATTEMPT_SHED ? "shed" : "upstream-refused", 0,
                   "the upstream did not take it; send it again later");
        break;
    default:
        if (!r->begun) {
            req_answer_drop(r);
        }
        req_unknown(r,
                    how == ATTEMPT_TIMEOUT ? "deadline" : "upstream-closed");
        break;
    }
}

static void
ended_answered(Req *r)
{
    Svc *s = r->en->svcs[r->service];

    if (r->shed) {
        r->maybe_run = r->earlier_run;
        end_attempt(r, SLOT_END_SHED);
        send_decide(r, ATTEMPT_SHED);
    }
    else {
        end_attempt(r, r->status >= 500 ? SLOT_END_ERROR : SLOT_END_OK);
        r->state = REQ_READING;
        once_finish(r, IDEM_END_DONE);
        req_answered(r);
    }
    svc_pump(s);
}

static void
on_end(void *ctx, CallEnd how, const char *why)
{
    Req *r = ctx;
    Svc *s = r->en->svcs[r->service];

    if (how == CALL_DONE) {
        ended_answered(r);
        return;
    }
    lg_line(LG_DEBUG, "entry", "target of %s ended an attempt: %s", s->name,
            why);
    if (how == CALL_NOT_SENT) {
        r->maybe_run = r->earlier_run;
        if (r->barred) {
            /* Ownership lapsed, or time ran out: decide anew. */
            end_attempt(r, SLOT_END_CANCELLED);
            r->state = REQ_READING;
            r->avoid = -1;
            if (r->msg == NULL) {
                req_drop(r);
            }
            else {
                req_run_here(r);
            }
        }
        else {
            end_attempt(r, SLOT_END_REFUSED);
            send_decide(r, ATTEMPT_REFUSED);
        }
        svc_pump(s);
        return;
    }
    if (r->has_head) {
        end_attempt(r, SLOT_END_CLOSED);
        send_decide(r, ATTEMPT_CLOSED);
    }
    else {
        /* Reads r->target and r->alone, so the attempt ends after it. */
        crash_seen(r);
    }
    svc_pump(s);
}

void
send_end_crashed(Req *r)
{
    end_attempt(r, SLOT_END_CLOSED);
}

void
send_start(Req *r, int target)
{
    Entry *en = r->en;
    const MfTarget *t = &en->snap->m->targets[target];
    CallOpts o = {
        .address = t->address,
        .connections = t->connections,
        .once = r->head.class == MF_ONCE,
        .fill = fill,
        .may_send = may_send,
        .on_head = on_head,
        .on_data = send_on_data,
        .on_end = on_end,
        .ctx = r,
    };

    req_set_state(r, REQ_RUNNING);
    r->target = target;
    r->sent_us = g_get_monotonic_time();
    r->tries++;
    r->barred = false;
    r->shed = false;
    r->has_head = false;
    if (r->alone) {
        crash_begin_alone(r);
    }
    lg_decision("entry",
                "target: service=%s rank=%d zone=%s target=%s try=%d%s",
                en->svcs[r->service]->name, r->head.rank,
                en->snap->m->zones[t->zone].name, t->name, r->tries,
                r->alone ? " alone" : "");
    if (!send_body(r, &o)) {
        end_attempt(r, SLOT_END_CANCELLED);
        send_decide(r, r->maybe_run ? ATTEMPT_CLOSED : ATTEMPT_REFUSED);
        return;
    }
    GUri *u = soup_server_message_get_uri(r->msg);
    const char *path = g_uri_get_path(u) + r->head.path_offset;
    o.path = path[0] == '\0' ? "/" : path;
    r->call = call_start(en->up, &o);
    g_bytes_unref(o.body);
}
