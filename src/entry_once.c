/* entry_once - at-most-once execution at the owner of a key.  See entry.h. */
#include "entry.h"

#include <string.h>

#include "lg.h"

/* Tells the records which key ranges are owned at this time. */
void
once_apply(Entry *en, int64_t now_us)
{
    const Snapshot *sn = en->snap;
    OwnMode mode = entry_mode(en, now_us);
    bool full = mode == OWN_FULL;

    for (int i = 0; i < KEY_RANGES; i++) {
        const SnapRange *g = &sn->ranges[i];
        idem_set_ownership(en->idem, i, g->owned && mode != OWN_NONE, full,
                           g->tenure_wall_us);
    }
}

static void
wait_for_result(Req *r)
{
    GHashTable *t = r->en->waiters;
    GPtrArray *w = g_hash_table_lookup(t, &r->key);

    if (w == NULL) {
        uint64_t *k = g_memdup2(&r->key, sizeof(r->key));
        w = g_ptr_array_new();
        g_hash_table_insert(t, k, w);
    }
    g_ptr_array_add(w, r);
    req_set_state(r, REQ_WAITING);
}

void
once_forget_wait(Req *r)
{
    GPtrArray *w = g_hash_table_lookup(r->en->waiters, &r->key);

    if (w != NULL) {
        g_ptr_array_remove_fast(w, r);
        if (w->len == 0) {
            g_hash_table_remove(r->en->waiters, &r->key);
        }
    }
    r->state = REQ_READING;
}

/* A record keeps the content type, a line end, and the body. */
static void
replay(Req *r, const IdemDecision *a)
{
    SoupMessageHeaders *h =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);
    gsize n = 0;
    const char *p = a->body == NULL ? NULL : g_bytes_get_data(a->body, &n);
    const char *end = p == NULL ? NULL : memchr(p, '\n', n);
    gsize skip = end == NULL ? 0 : (gsize)(end - p) + 1;

    ctr_add(r->en->c[EC_REPLAYED], 1);
    if (skip > 1) {
        char *type = g_strndup(p, skip - 1);
        soup_message_headers_append(h, "Content-Type", type);
        g_free(type);
    }
    soup_message_headers_set_content_length(h, (goffset)(n - skip));
    req_answer_begin(r, a->status, h);
    soup_message_headers_unref(h);
    soup_message_headers_append(
        soup_server_message_get_response_headers(r->msg), "Mimosa-Replayed",
        a->body == NULL ? "status-only" : "1");
    if (n > skip) {
        soup_message_body_append(soup_server_message_get_response_body(r->msg),
                                 SOUP_MEMORY_COPY, p + skip, n - skip);
    }
    req_answered(r);
}

static void
run(Req *r)
{
    r->owns_record = true;
    r->keep = g_byte_array_new();
    req_dispatch(r);
}

static void
to_owner(Req *r)
{
    const Snapshot *sn = r->en->snap;
    int vm = sn->ranges[idem_range(r->key)].owner_vm;

    r->zone = sn->own_zone;
    if (vm < 0 || vm == sn->own_vm) {
        req_refuse(r, "no-key-owner", 0,
                   "the key's range has no owner now; send it again later");
        return;
    }
    fwd_start(r, vm, FWD_KEY_OWNER);
}

/* Finds the owner of the key, or acts as it. */
void
once_route(Req *r)
{
    Entry *en = r->en;
    const Snapshot *sn = en->snap;

    r->key = idem_hash(str_of(sn->m->services[r->service].name),
                       str_of(r->head.key));
    if (r->head.home < 0) {
        req_refuse(r, "no-home", 0, "its service has no zone");
        return;
    }
    if (r->head.home != sn->own_zone) {
        r->zone = r->head.home;
        fwd_start(r, fwd_pick_vm(en, r->zone, -1), FWD_KEY_HOME);
        return;
    }
    entry_apply_time(en, g_get_monotonic_time());
    IdemRequest q = {.key = r->key,
                     .attempt = r->head.attempt,
                     .issued_wall_us = r->head.issued_wall_us};
    IdemDecision a = idem_begin(en->idem, &q, entry_wall_us());
    lg_decision("entry", "key: service=%s attempt=%d act=%d reason=%s",
                en->svcs[r->service]->name, r->head.attempt, (int)a.act,
                idem_reason_name(a.reason));
    switch (a.act) {
    case IDEM_RUN:
        run(r);
        break;
    case IDEM_WAIT:
        wait_for_result(r);
        break;
    case IDEM_REPLAY:
        replay(r, &a);
        break;
    case IDEM_UNKNOWN:
        req_unknown(r, idem_reason_name(a.reason));
        break;
    case IDEM_NOT_RUN:
        r->record_says = true;
        req_refuse(r, idem_reason_name(a.reason), 0,
                   "the record of the key says so; see the reason");
        break;
    case IDEM_NOT_OWNER:
        to_owner(r);
        break;
    }
}

/* Ends the record that r runs under, and lets other attempts of the key go
 * on.  Does nothing when r has no record. */
IdemEnd
once_finish(Req *r, IdemEnd how)
{
    Entry *en = r->en;
    GBytes *body = NULL;
    gpointer key = NULL;
    gpointer list = NULL;

    if (!r->owns_record) {
        return how;
    }
    r->owns_record = false;
    if (how == IDEM_END_DONE && !r->keep_over) {
        GByteArray *b = g_byte_array_new();
        g_byte_array_append(b, (const guint8 *)r->content_type,
                            (guint)strlen(r->content_type));
        g_byte_array_append(b, (const guint8 *)"\n", 1);
        g_byte_array_append(b, r->keep->data, r->keep->len);
        body = g_byte_array_free_to_bytes(b);
    }
    how = idem_finish(en->idem, r->key, how, r->status, body, entry_wall_us());
    g_bytes_unref(body);
    if (!g_hash_table_steal_extended(en->waiters, &r->key, &key, &list)) {
        return how;
    }
    GPtrArray *w = list;
    for (guint i = 0; i < w->len; i++) {
        Req *q = w->pdata[i];
        q->state = REQ_READING;
        once_route(q);
    }
    g_ptr_array_unref(w);
    g_free(key);
    return how;
}
