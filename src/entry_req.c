/* entry_req - life of one request.  See entry.h. */
#include "entry.h"

#include <string.h>
#include <unistd.h>

#include "lg.h"

#define RETRY_AFTER_MS 200

static gint
by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
    const Req *x = a;
    const Req *y = b;

    (void)data;
    return x->deadline_us < y->deadline_us   ? -1
           : x->deadline_us > y->deadline_us ? 1
                                             : 0;
}

Req *
req_new(Entry *en, SoupServerMessage *msg, const ReqHead *h)
{
    Req *r = g_new0(Req, 1);
    GSocketAddress *a = soup_server_message_get_remote_address(msg);

    r->en = en;
    r->id = ++en->next_id;
    r->head = *h;
    r->service = h->service;
    r->msg = g_object_ref(msg);
    r->remote = a == NULL ? NULL : g_object_ref(a);
    r->arrival_us = g_get_monotonic_time();
    r->deadline_us = r->arrival_us + h->deadline_us;
    r->deadline_at =
        g_sequence_insert_sorted(en->deadlines, r, by_deadline, NULL);
    r->link.data = r;
    g_queue_push_tail_link(&en->reqs, &r->link);
    r->body = g_byte_array_new();
    r->pipe_fd = -1;
    r->pipe_read_fd = -1;
    r->target = -1;
    r->avoid = -1;
    r->zone = -1;
    r->fwd_vm = -1;
    if (a != NULL && G_IS_INET_SOCKET_ADDRESS(a)) {
        GInetAddress *ip =
            g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(a));
        char *z = g_inet_address_to_string(ip);
        http_addr_bytes(ip, r->client);
        g_strlcpy(r->client_text, z, sizeof(r->client_text));
        g_free(z);
    }
    en->last_arrival_us = r->arrival_us;
    return r;
}

static void
req_free(Req *r)
{
    Entry *en = r->en;

    g_queue_unlink(&en->reqs, &r->link);
    src_end(&r->pipe_source);
    if (r->pipe_fd >= 0) {
        close(r->pipe_fd);
    }
    if (r->pipe_read_fd >= 0) {
        close(r->pipe_read_fd);
    }
    if (r->pipe_rest != NULL) {
        g_byte_array_unref(r->pipe_rest);
    }
    if (r->keep != NULL) {
        g_byte_array_unref(r->keep);
    }
    en->body_bytes -= r->body->len;
    g_byte_array_unref(r->body);
    http_unref(r->remote);
    g_free(r);
}

static void
maybe_free(Req *r)
{
    if (r->state == REQ_DONE && r->msg == NULL) {
        req_free(r);
    }
}

void
req_set_state(Req *r, ReqState s)
{
    INV("req_state", r->state != REQ_DONE,
        "request %" G_GUINT64_FORMAT " left its last state", r->id);
    r->state = s;
    if (s == REQ_DONE) {
        g_sequence_remove(r->deadline_at);
        r->deadline_at = NULL;
    }
}

int64_t
req_left_ms(const Req *r, int64_t now_us)
{
    return MAX((r->deadline_us - now_us) / 1000, 0);
}

/* The caller's side of the message has ended: all written, or cut. */
void
req_msg_ended(Req *r)
{
    SoupServerMessage *msg = r->msg;

    r->msg = NULL;
    if (r->state != REQ_DONE) {
        req_gone(r->en, r);
    }
    else {
        maybe_free(r);
    }
    g_object_unref(msg);
}

/* Lets go of a message whose caller has left. */
static void
drop_msg(Req *r)
{
    if (r->msg != NULL) {
        req_answer_cut(r);
    }
}

/*
 * The caller closed its connection.  Once work that has been sent runs to its
 * end, so that a resend finds its result.
 */
void
req_gone(void *ctx, void *user)
{
    Req *r = user;

    (void)ctx;
    switch (r->state) {
    case REQ_DONE:
        return;
    case REQ_RUNNING:
    case REQ_FORWARDED:
    case REQ_HELD:
        if (r->head.class == MF_ONCE) {
            drop_msg(r);
            return;
        }
        break;
    default:
        break;
    }
    ctr_add(r->en->c[EC_CANCELLED], 1);
    drop_msg(r);
    req_drop(r);
}

/* Leaves the state r is in, without an answer. */
static void
leave_state(Req *r, SlotEnd how)
{
    switch (r->state) {
    case REQ_QUEUED:
        svc_cancel(r);
        break;
    case REQ_WAITING:
        once_forget_wait(r);
        break;
    case REQ_RUNNING:
        send_cancel(r, how);
        break;
    case REQ_FORWARDED:
        fwd_cancel(r);
        break;
    case REQ_HELD:
        crash_leave(r);
        break;
    default:
        break;
    }
}

void
req_drop(Req *r)
{
    leave_state(r, SLOT_END_CANCELLED);
    once_finish(r, r->maybe_run ? IDEM_END_UNKNOWN : IDEM_END_NOT_RUN);
    req_set_state(r, REQ_DONE);
    maybe_free(r);
}

/* Without the record of its key, nobody can say of a resend that no earlier
 * attempt of it ran. */
static bool
may_say_not_run(const Req *r)
{
    return r->head.class != MF_ONCE || r->head.attempt == 1 ||
           r->owns_record || r->record_says || r->head.stage == REQ_STAGE_RUN;
}

void
req_refuse(Req *r, const char *reason, int retry_ms, const char *text)
{
    INV("not_run", !r->maybe_run,
        "request %" G_GUINT64_FORMAT " was sent and is told not-run", r->id);
    bool may = may_say_not_run(r);
    if (once_finish(r, IDEM_END_NOT_RUN) != IDEM_END_NOT_RUN || !may) {
        req_unknown(r, reason);
        return;
    }
    ctr_add(r->en->c[EC_NOT_RUN], 1);
    lg_decision("entry", "refused: service=%s rank=%d reason=%s",
                r->en->snap->m->services[r->service].name, r->head.rank,
                reason);
    req_answer_text(r, 503, "not-run", reason, text,
                    retry_ms > 0 ? retry_ms : RETRY_AFTER_MS);
    if (r->cut_after) {
        req_answer_cut(r);
    }
    req_set_state(r, REQ_DONE);
    maybe_free(r);
}

void
req_unknown(Req *r, const char *reason)
{
    ctr_add(r->en->c[EC_UNKNOWN], 1);
    lg_decision("entry", "unknown: service=%s rank=%d reason=%s",
                r->en->snap->m->services[r->service].name, r->head.rank,
                reason);
    if (!r->begun) {
        req_answer_text(r, 504, "unknown", reason,
                        "the request may have run; send it again with the "
                        "same key to learn its outcome",
                        0);
    }
    if (r->begun || r->cut_after) {
        req_answer_cut(r);
    }
    once_finish(r, IDEM_END_UNKNOWN);
    req_set_state(r, REQ_DONE);
    maybe_free(r);
}

/* The whole answer was handed over. */
void
req_answered(Req *r)
{
    ctr_add(r->en->c[EC_ANSWERED], 1);
    req_answer_end(r);
    req_set_state(r, REQ_DONE);
    maybe_free(r);
}

/* The deadline has passed. */
void
req_late(Req *r)
{
    ReqState was = r->state;

    leave_state(r, SLOT_END_TIMEOUT);
    if (was == REQ_READING) {
        r->cut_after = true;
        req_refuse(r, "late-body", 0,
                   "the body did not arrive within the deadline");
        return;
    }
    if (was == REQ_QUEUED) {
        req_refuse(r, adm_reason_name(ADM_LATE), 0,
                   "no slot was free within the deadline; send it again "
                   "later or with a longer deadline");
        return;
    }
    req_answer_drop(r);
    if (was == REQ_WAITING || r->maybe_run) {
        req_unknown(r, "deadline");
        return;
    }
    req_refuse(r, "deadline", 0, "the deadline passed before it was sent");
}

void
req_too_long(Req *r)
{
    r->cut_after = true;
    leave_state(r, SLOT_END_CANCELLED);
    req_answer_drop(r);
    if (r->maybe_run) {
        req_unknown(r, "body-limit");
    }
    else {
        req_refuse(r, "body-limit", 0,
                   "body: over the allowed 16 MiB; send a smaller body");
    }
}

/* Home zone of the caller by the block table. */
static int
home_of(const Req *r)
{
    const Snapshot *s = r->en->snap;

    if (r->en->blocks != NULL) {
        LookupPlace p = lookup_place(r->en->blocks, r->client);
        if (p.zone >= 0 && p.zone < s->m->n_zones) {
            return p.zone;
        }
    }
    return s->own_zone;
}

/* Fingerprint of a request. */
static uint64_t
print_of(const Req *r)
{
    GUri *u = soup_server_message_get_uri(r->msg);
    char *path = g_strconcat(
        g_uri_get_path(u), "?",
        g_uri_get_query(u) == NULL ? "" : g_uri_get_query(u), NULL);
    Str body = {(const char *)r->body->data,
                MIN(r->body->len, BODY_HASH_BYTES)};
    uint64_t p =
        suspect_fingerprint(str_of(r->en->snap->m->services[r->service].name),
                            str_of(soup_server_message_get_method(r->msg)),
                            str_of(path), str_of(r->head.key), body);

    g_free(path);
    return p;
}

/* The body, or its first part, has been read: decides what happens. */
void
req_route(Req *r)
{
    HttpConn *c = http_conn_of(r->remote);

    r->routed = true;
    if (r->state == REQ_DONE) {
        return;
    }
    if (c != NULL && http_conn_peer_closed(c)) {
        req_gone(r->en, r);
        return;
    }
    r->from_home = home_of(r);
    r->print = print_of(r);
    if (r->head.class == MF_ONCE && r->head.stage == REQ_STAGE_ROUTE) {
        once_route(r);
        return;
    }
    req_dispatch(r);
}

static void
usable_zones(Entry *en, Svc *s, bool *usable, int64_t now_us)
{
    const Snapshot *sn = en->snap;

    for (int z = 0; z < sn->m->n_zones; z++) {
        bool bad = now_us - en->zone_bad_us[z] < REMOVE_MS * 1000;
        usable[z] = sn->zone_up[z] && !bad;
    }
    usable[sn->own_zone] =
        svc_usable(s, now_us) || fwd_pick_owner(en, s->index, -1) >= 0;
}

/* Draws the serving zone of a request, and runs it here or forwards it. */
void
req_dispatch(Req *r)
{
    Entry *en = r->en;
    const Snapshot *sn = en->snap;
    Svc *s = en->svcs[r->service];
    int64_t now = g_get_monotonic_time();
    bool drawn = r->head.hop > 0 && !r->owns_record;
    bool usable[ZONES_MAX];

    r->zone = sn->own_zone;
    if (!drawn) {
        ShiftRow *row = &sn->rows[r->service * sn->m->n_zones + r->from_home];
        shift_step(row, now);
        usable_zones(en, s, usable, now);
        ShiftPick d = shift_pick(row, &s->drawers[r->from_home], r->from_home,
                                 r->head.rank, usable, now);
        lg_decision("entry",
                    "zone: service=%s rank=%d home=%s zone=%s reason=%s",
                    s->name, r->head.rank, sn->m->zones[r->from_home].name,
                    d.zone < 0 ? "-" : sn->m->zones[d.zone].name,
                    shift_reason_name(d.reason));
        if (d.zone < 0) {
            req_refuse(r, shift_reason_name(d.reason), RETRY_AFTER_MS,
                       "its zone cannot serve and the shift cap does not "
                       "let it move yet; send it again later");
            return;
        }
        r->zone = d.zone;
    }
    if (r->zone != sn->own_zone) {
        fwd_start(r, fwd_pick_vm(en, r->zone, -1), FWD_ZONE);
        return;
    }
    req_run_here(r);
}

void
req_run_here(Req *r)
{
    Entry *en = r->en;
    Svc *s = en->svcs[r->service];

    if (!svc_usable(s, g_get_monotonic_time())) {
        int vm = fwd_pick_owner(en, r->service, -1);
        if (vm >= 0 && (r->head.hop < HOPS_MAX || r->owns_record)) {
            fwd_start(r, vm, FWD_OWNER);
            return;
        }
    }
    s->arrived[r->from_home]++;
    svc_admit(r);
}
