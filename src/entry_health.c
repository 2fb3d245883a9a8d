/* entry_health - polls the health of owned targets.  See entry.h. */
#include "entry.h"

#include <string.h>

#include "jsontext.h"
#include "lg.h"

#define HEALTH_BYTES_MAX 4096
#define POLL_TIMEOUT_MS 1000

typedef struct Poll {
    Entry *en;
    char target[NAME_BYTES]; /* a name outlives a change of numbering */
    char address[ADDR_BYTES];
    GString *text;
    Call *call;
    GSource *timer;
    int status;
} Poll;

static bool
poll_may_send(void *ctx)
{
    (void)ctx;
    return true;
}

static void
poll_fill(void *ctx, SoupMessageHeaders *h)
{
    (void)ctx;
    soup_message_headers_replace(h, "Mimosa-Deadline-Ms", "1000");
}

static void
poll_free(Poll *p)
{
    src_end(&p->timer);
    g_hash_table_remove(p->en->polls, p->address);
    g_string_free(p->text, TRUE);
    g_free(p);
}

static bool
read_report(JsonObject *o, HealthReport *out)
{
    const char *state =
        json_object_get_string_member_with_default(o, "state", "");

    if (strcmp(state, "ready") == 0) {
        out->reported = REPORTED_READY;
    }
    else if (strcmp(state, "leaving") == 0) {
        out->reported = REPORTED_LEAVING;
    }
    else if (strcmp(state, "starting") == 0) {
        out->reported = REPORTED_STARTING;
    }
    else {
        return false;
    }
    out->load =
        CLAMP(json_object_get_double_member_with_default(o, "load", 0), 0, 1);
    out->slots_busy =
        (int)json_object_get_int_member_with_default(o, "slots_busy", 0);
    out->at_us = g_get_monotonic_time();
    return true;
}

static void
take_report(Poll *p)
{
    Entry *en = p->en;
    JsonParser *parser = json_parser_new();
    JsonObject *o =
        jsontext_object(parser, (Str){p->text->str, p->text->len}, NULL);
    HealthReport rep = {0};
    int id = manifest_target(en->snap->m, str_of(p->target));

    if (o != NULL && id >= 0 && read_report(o, &rep)) {
        const MfTarget *t = &en->snap->m->targets[id];
        Svc *s = en->svcs[t->service];
        ctr_add(en->polled, 1);
        if (t->zone == en->snap->own_zone) {
            slot_report(s->slots, id, &rep, rep.at_us);
            if (rep.reported == REPORTED_LEAVING) {
                slot_report_shutdown(s->slots, id, HEALTH_ENDPOINT, rep.at_us);
            }
            svc_pump(s);
        }
    }
    g_object_unref(parser);
}

static void
poll_head(void *ctx, int status, SoupMessageHeaders *h)
{
    (void)h;
    ((Poll *)ctx)->status = status;
}

static void
poll_data(void *ctx, GBytes *data)
{
    Poll *p = ctx;
    gsize n;
    const char *t = g_bytes_get_data(data, &n);

    g_string_append_len(p->text, t, (gssize)n);
    g_bytes_unref(data);
    if (p->text->len > HEALTH_BYTES_MAX) {
        call_cancel(p->call);
        poll_free(p);
        return;
    }
    call_more(p->call);
}

static void
poll_end(void *ctx, CallEnd how, const char *why)
{
    Poll *p = ctx;

    if (how == CALL_DONE && p->status == 200) {
        take_report(p);
    }
    else {
        lg_line(LG_DEBUG, "entry", "health of %s: status %d %s", p->target,
                p->status, why);
    }
    poll_free(p);
}

static gboolean
on_poll_late(gpointer data)
{
    Poll *p = data;

    call_cancel(p->call);
    poll_free(p);
    return G_SOURCE_REMOVE;
}

static void
poll_one(Entry *en, const MfTarget *t)
{
    Poll *p = g_new0(Poll, 1);
    CallOpts o = {.address = t->address,
                  .connections = t->connections,
                  .method = "GET",
                  .path = "/health",
                  .body_fd = -1,
                  .fill = poll_fill,
                  .may_send = poll_may_send,
                  .on_head = poll_head,
                  .on_data = poll_data,
                  .on_end = poll_end,
                  .ctx = p};

    p->en = en;
    g_strlcpy(p->target, t->name, sizeof(p->target));
    g_strlcpy(p->address, t->address, sizeof(p->address));
    p->text = g_string_new(NULL);
    p->timer = src_timeout(POLL_TIMEOUT_MS, on_poll_late, p);
    g_hash_table_add(en->polls, g_strdup(t->address));
    p->call = call_start(en->up, &o);
}

/* Asks each target that this VM owns, unless it has not answered yet. */
void
health_poll(Entry *en)
{
    int64_t now = g_get_monotonic_time();

    for (int k = 0; k < en->n_svcs; k++) {
        const Svc *s = en->svcs[k];
        for (int i = 0; i < s->n_own; i++) {
            const MfTarget *t = &en->snap->m->targets[s->own[i]];
            if (entry_owned_now(en, s->own[i], now) &&
                !g_hash_table_contains(en->polls, t->address)) {
                poll_one(en, t);
            }
        }
    }
}
