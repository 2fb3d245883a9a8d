/* ctlc - RPC client of the local control.  See ctlc.h. */
#include "ctlc.h"

#include <string.h>

#include "cfg.h"
#include "ctlmsg.h"
#include "lg.h"
#include "xdrio.h"

#define PART "ctlc"
#define RETRY_MS 200 /* delay after a failed call */
/* Time limit of a call.  Control replies to a SNAPSHOT call within 250 ms; a
 * suspended control keeps the connection open, so the call must time out. */
#define CALL_MS 1500

struct CtlClient {
    CtlcOpts o;
    char *program;
    RpcClient *rpc;
    uint8_t key[FLEET_KEY_BYTES];
    GSource *retry;
    SnapConfig *config;    /* latest decoded configuration */
    ms_snapshot_res reply; /* latest reply, without body and pointers */
    ms_snap_body *body;    /* latest body */
    uint64_t body_version; /* configuration version of the body */
    uint64_t body_serial;  /* 0: request a complete body */
    GBytes *journal;       /* batch that is not delivered yet, or NULL */
    uint64_t journal_serial;
    uint64_t fetch_version; /* version of the envelope in fetch */
    GByteArray *fetch;      /* chunks of the envelope received so far */
};

static void request_snapshot(CtlClient *c);

static gboolean
on_retry(gpointer p)
{
    CtlClient *c = p;

    g_source_unref(c->retry);
    c->retry = NULL;
    request_snapshot(c);
    return G_SOURCE_REMOVE;
}

static void
schedule_retry(CtlClient *c)
{
    if (c->retry != NULL) {
        return;
    }
    c->retry = g_timeout_source_new(RETRY_MS);
    g_source_set_callback(c->retry, on_retry, c, NULL);
    g_source_attach(c->retry, g_main_context_get_thread_default());
}

static void
free_body(CtlClient *c)
{
    if (c->body != NULL) {
        xdr_free((xdrproc_t)xdr_ms_snap_body, (char *)c->body);
        free(c->body);
        c->body = NULL;
    }
}

/* Builds a snapshot from the latest reply and passes it to the callback. */
static void
deliver_snapshot(CtlClient *c)
{
    Err e = {0};
    SnapConfig *config = c->body_version == 0 ? NULL : c->config;

    if (c->body == NULL) {
        return;
    }
    Snapshot *s = ctlmsg_snapshot(&c->reply, c->body, config, &e);
    if (s == NULL) {
        lg_line(LG_WARN, PART, "snapshot ignored: %s", e.text);
        c->body_serial = 0;
        return;
    }
    s->journal = c->journal;
    c->journal = NULL;
    c->o.on_snapshot(c->o.ctx, s);
    snap_unref(s);
}

/* Decodes a complete envelope.  Ignores a version that is not newer than the
 * current one, because configuration must never revert. */
static void
decode_envelope(CtlClient *c)
{
    Err e = {0};
    uint64_t version = 0;
    char id[CHANGE_ID_BYTES];
    GString *text = g_string_new(NULL);
    Str bytes = {(const char *)c->fetch->data, c->fetch->len};
    Manifest *m = NULL;

    if (cfg_decode(bytes, &version, id, text, &e)) {
        m = manifest_parse((Str){text->str, text->len}, &e);
    }
    g_string_free(text, TRUE);
    if (m == NULL) {
        lg_line(LG_WARN, PART, "configuration ignored: %s", e.text);
        return;
    }
    if (c->config != NULL && version <= c->config->version) {
        manifest_free(m);
        return;
    }
    snap_config_unref(c->config);
    c->config = snap_config_new(version, id, m);
    lg_line(LG_INFO, PART, "configuration %" G_GUINT64_FORMAT " in force",
            version);
}

static void fetch_chunk(CtlClient *c);

static void
on_config(void *ctx, void *res, const Err *e)
{
    CtlClient *c = ctx;
    const ms_config *r = res;

    if (r == NULL) {
        lg_line(LG_WARN, PART, "configuration not read: %s", e->text);
        schedule_retry(c);
        return;
    }
    bool version_changed =
        c->fetch->len > 0 && r->config_version != c->fetch_version;
    if (r->config_version == 0 || version_changed || r->chunk.chunk_len == 0 ||
        r->total > STORE_VALUE_BYTES_MAX ||
        r->chunk.chunk_len > r->total - c->fetch->len) {
        /* Control has changed the version between two chunks. */
        schedule_retry(c);
        return;
    }
    c->fetch_version = r->config_version;
    g_byte_array_append(c->fetch, (const guint8 *)r->chunk.chunk_val,
                        r->chunk.chunk_len);
    if (c->fetch->len < r->total) {
        fetch_chunk(c);
        return;
    }
    decode_envelope(c);
    if (c->config != NULL && c->config->version == c->body_version) {
        deliver_snapshot(c);
        request_snapshot(c);
    }
    else {
        c->body_serial = 0;
        schedule_retry(c);
    }
}

static void
fetch_chunk(CtlClient *c)
{
    ms_get_config g = {(char *)"", c->body_version, c->fetch->len};

    xio_call(c->rpc, MS_GET_CONFIG, (xdrproc_t)xdr_ms_get_config, &g,
             (xdrproc_t)xdr_ms_config, sizeof(ms_config), CALL_MS, on_config,
             c);
}

/* Stores the journal batch of a reply until the next snapshot takes it. */
static void
store_journal(CtlClient *c, const ms_snapshot_res *r)
{
    if (c->journal != NULL) {
        return; /* not delivered yet; control sends the new batch again */
    }
    if (r->journal_serial != c->journal_serial && r->journal.journal_len > 0) {
        c->journal =
            g_bytes_new(r->journal.journal_val, r->journal.journal_len);
    }
    if (r->journal_serial != 0) {
        c->journal_serial = r->journal_serial;
    }
}

static void
on_reply(void *ctx, void *res, const Err *e)
{
    CtlClient *c = ctx;
    ms_snapshot_res *r = res;

    if (r == NULL) {
        lg_line(LG_DEBUG, PART, "no snapshot: %s", e->text);
        schedule_retry(c);
        return;
    }
    if (r->body != NULL) {
        free_body(c);
        c->body = r->body;
        r->body = NULL;
        c->body_version = r->config_version;
        c->body_serial = r->serial;
    }
    store_journal(c, r);
    c->reply = *r;
    c->reply.change_id = NULL;
    memset(&c->reply.journal, 0, sizeof(c->reply.journal));
    uint64_t current_version = c->config == NULL ? 0 : c->config->version;
    if (c->body_version < current_version) {
        /* Control has restarted and does not have the latest version yet. */
        schedule_retry(c);
        return;
    }
    if (c->body_version > current_version) {
        g_byte_array_set_size(c->fetch, 0);
        fetch_chunk(c);
        return;
    }
    deliver_snapshot(c);
    request_snapshot(c);
}

static void
make_report(CtlClient *c, SnapReport *r, ms_report *out)
{
    int n_zones = c->config == NULL ? 0 : c->config->m->n_zones;

    memset(r, 0, sizeof(*r));
    r->config_version = c->config == NULL ? 0 : c->config->version;
    if (c->o.fill_report != NULL) {
        c->o.fill_report(c->o.ctx, r);
    }
    ctlmsg_put_report(out, c->program, r, n_zones);
}

static void
release_report(SnapReport *r, ms_report *out)
{
    ctlmsg_clear_report(out);
    if (r->journal != NULL) {
        g_bytes_unref(r->journal);
    }
}

static void
request_snapshot(CtlClient *c)
{
    SnapReport r;
    ms_snapshot a = {c->body_serial, c->journal_serial, {0}};

    make_report(c, &r, &a.report);
    xio_call(c->rpc, MS_SNAPSHOT, (xdrproc_t)xdr_ms_snapshot, &a,
             (xdrproc_t)xdr_ms_snapshot_res, sizeof(ms_snapshot_res), CALL_MS,
             on_reply, c);
    release_report(&r, &a.report);
}

CtlClient *
ctlc_new(const CtlcOpts *o)
{
    CtlClient *c = g_new0(CtlClient, 1);

    c->o = *o;
    c->program = g_strdup(o->program);
    memcpy(c->key, o->fleet_key, sizeof(c->key));
    c->fetch = g_byte_array_new();
    RpcOpts ro = {.key = c->key};
    c->rpc = xio_client_new(o->address, &ro);
    request_snapshot(c);
    return c;
}

void
ctlc_free(CtlClient *c)
{
    if (c == NULL) {
        return;
    }
    xio_client_free(c->rpc);
    if (c->retry != NULL) {
        g_source_destroy(c->retry);
        g_source_unref(c->retry);
    }
    free_body(c);
    g_byte_array_unref(c->fetch);
    if (c->journal != NULL) {
        g_bytes_unref(c->journal);
    }
    snap_config_unref(c->config);
    g_free(c->program);
    g_free(c);
}

void
ctlc_push(CtlClient *c)
{
    SnapReport r;
    ms_report a;

    make_report(c, &r, &a);
    xio_call(c->rpc, MS_REPORT, (xdrproc_t)xdr_ms_report, &a,
             (xdrproc_t)xdr_ms_ok, sizeof(ms_ok), CALL_MS, NULL, NULL);
    release_report(&r, &a);
}
