/* control_fetch - reads configuration and rosters of peers, and serves both.
 */
#include "control.h"

#include <string.h>

#include "lg.h"

#define PART "fetch"
#define FETCH_MS 1000 /* time limit of one part of an envelope */

struct ControlFetch {
    Control *c;
    bool roster_busy;
    bool fetching;
    char fetch_from[ADDR_BYTES];
    bool fetch_near;
    uint64_t fetch_version;
    GByteArray *bytes;
};

ControlFetch *
control_fetch_new(Control *c)
{
    ControlFetch *p = g_new0(ControlFetch, 1);

    p->c = c;
    p->bytes = g_byte_array_new();
    return p;
}

void
control_fetch_free(ControlFetch *p)
{
    if (p != NULL) {
        g_byte_array_unref(p->bytes);
        g_free(p);
    }
}

bool
control_fetch_busy(const ControlFetch *p)
{
    return p->fetching || p->roster_busy;
}

static void fetch_part(ControlFetch *p);

static void
fetch_end(ControlFetch *p)
{
    p->fetching = false;
    g_byte_array_set_size(p->bytes, 0);
}

static void
on_part(void *ctx, void *res, const Err *e)
{
    ControlFetch *p = ctx;
    const ms_config *r = res;

    if (r == NULL) {
        lg_line(LG_INFO, PART, "configuration of %s not read: %s",
                p->fetch_from, e->text);
        fetch_end(p);
        return;
    }
    bool other = p->bytes->len > 0 && r->config_version != p->fetch_version;
    if (r->config_version <= cfg_version(p->c->cfg) || other ||
        r->chunk.chunk_len == 0 || r->total > STORE_VALUE_BYTES_MAX ||
        r->total < p->bytes->len ||
        r->chunk.chunk_len > r->total - p->bytes->len) {
        fetch_end(p);
        return;
    }
    p->fetch_version = r->config_version;
    g_byte_array_append(p->bytes, (const guint8 *)r->chunk.chunk_val,
                        r->chunk.chunk_len);
    if (p->bytes->len < r->total) {
        fetch_part(p);
        return;
    }
    control_offer(p->c, (Str){(const char *)p->bytes->data, p->bytes->len},
                  p->fetch_from);
    fetch_end(p);
}

static void
fetch_part(ControlFetch *p)
{
    ms_get_config g = {p->c->set.zone, p->fetch_version, p->bytes->len};

    xio_call(control_peer_client(p->c->peer, p->fetch_from, p->fetch_near),
             MS_GET_CONFIG, (xdrproc_t)xdr_ms_get_config, &g,
             (xdrproc_t)xdr_ms_config, sizeof(ms_config), FETCH_MS, on_part,
             p);
}

void
control_fetch_config(ControlFetch *p, const char *address, bool near,
                     uint64_t version)
{
    if (p->fetching || version <= cfg_version(p->c->cfg) ||
        address[0] == '\0') {
        return;
    }
    p->fetching = true;
    g_strlcpy(p->fetch_from, address, sizeof(p->fetch_from));
    p->fetch_near = near;
    p->fetch_version = version;
    ctr_add(control_ctr(p->c, "control_config_fetches"), 1);
    fetch_part(p);
}

static void
on_roster(void *ctx, void *res, const Err *e)
{
    ControlFetch *p = ctx;
    const ms_roster *r = res;
    OwnRoster got;
    Err bad = {0};

    p->roster_busy = false;
    if (r == NULL) {
        lg_line(LG_DEBUG, PART, "roster not read: %s", e->text);
        return;
    }
    Str text = {r->text.text_val, r->text.text_len};
    if (text.n == 0) {
        return;
    }
    if (!own_parse(&got, text, r->store_version, &bad)) {
        lg_line(LG_WARN, PART, "roster of a peer is left: %s", bad.text);
        return;
    }
    control_adopt(p->c, &got, "a peer");
}

void
control_fetch_roster(ControlFetch *p, const char *address)
{
    ms_get_roster g = {p->c->set.zone};

    if (p->roster_busy || address[0] == '\0') {
        return;
    }
    p->roster_busy = true;
    xio_call(control_peer_client(p->c->peer, address, true), MS_GET_ROSTER,
             (xdrproc_t)xdr_ms_get_roster, &g, (xdrproc_t)xdr_ms_roster,
             sizeof(ms_roster), RPC_TIMEOUT_MS, on_roster, p);
}

void
control_fetch_serve_config(Control *c, RpcReq *r)
{
    ms_get_config g;
    ms_config res = {0};
    Err e = {0};

    if (!xio_args(r, (xdrproc_t)xdr_ms_get_config, &g, sizeof(g), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    bool other = g.zone[0] != '\0' && strcmp(g.zone, c->set.zone) != 0;
    GBytes *b = cfg_envelope(c->cfg);
    gsize n = 0;
    const char *p = b == NULL ? NULL : g_bytes_get_data(b, &n);
    if (cfg_version(c->cfg) >= g.min_version && g.offset < n) {
        res.config_version = cfg_version(c->cfg);
        res.total = (u_int)n;
        res.chunk.chunk_val = (char *)p + g.offset;
        res.chunk.chunk_len = (u_int)MIN(n - g.offset, MS_CHUNK);
    }
    if (c->cut && other) {
        xio_ignore(r);
    }
    else {
        xio_reply(r, (xdrproc_t)xdr_ms_config, &res);
    }
    xdr_free((xdrproc_t)xdr_ms_get_config, (char *)&g);
}

void
control_fetch_serve_roster(Control *c, RpcReq *r)
{
    ms_get_roster g;
    ms_roster res = {0};
    Err e = {0};
    const OwnRoster *o = own_roster(c->own);

    if (!xio_args(r, (xdrproc_t)xdr_ms_get_roster, &g, sizeof(g), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    GString *text = own_text(o);
    if (o->epoch > 0 && strcmp(g.zone, c->set.zone) == 0) {
        res.store_version = o->store_version;
        res.text.text_val = text->str;
        res.text.text_len = (u_int)text->len;
    }
    xio_reply(r, (xdrproc_t)xdr_ms_roster, &res);
    g_string_free(text, TRUE);
    xdr_free((xdrproc_t)xdr_ms_get_roster, (char *)&g);
}
