/* xdrmsg - frames of ONC RPC: headers, hashes, record marks.  See xdrio.h. */
#include "xdrio.h"

#include <string.h>

#include "limits.h"
#include "settings.h"

#define MARK_LAST 0x80000000u
#define CALL_MAC_AT                                                           \
    32                  /* xid, type, version, program, version, procedure,   \
                           flavor, length */
#define REPLY_MAC_AT 20 /* xid, type, accepted, flavor, length */
#define SHA256_BYTES 32
#define FIRST_BYTES 1024

static void
put_mark(uint8_t *p, size_t n)
{
    uint32_t v = GUINT32_TO_BE((uint32_t)n | MARK_LAST);

    memcpy(p, &v, sizeof(v));
}

/* HMAC of a frame whose hash bytes at mac_at count as zero. */
static void
frame_mac(const uint8_t *key, const uint8_t *p, size_t n, size_t mac_at,
          uint8_t out[RPC_MAC_BYTES])
{
    static const uint8_t zero[RPC_MAC_BYTES];
    GHmac *h = g_hmac_new(G_CHECKSUM_SHA256, key, FLEET_KEY_BYTES);
    uint8_t whole[SHA256_BYTES];
    gsize len = sizeof(whole);

    g_hmac_update(h, p, (gssize)mac_at);
    g_hmac_update(h, zero, sizeof(zero));
    g_hmac_update(h, p + mac_at + RPC_MAC_BYTES,
                  (gssize)(n - mac_at - RPC_MAC_BYTES));
    g_hmac_get_digest(h, whole, &len);
    memcpy(out, whole, RPC_MAC_BYTES);
    g_hmac_unref(h);
}

static bool
mac_matches(const uint8_t *key, Str frame, size_t mac_at)
{
    uint8_t mac[RPC_MAC_BYTES];
    const uint8_t *p = (const uint8_t *)frame.p;
    unsigned diff = 0;

    frame_mac(key, p, frame.n, mac_at, mac);
    for (size_t i = 0; i < RPC_MAC_BYTES; i++) {
        diff |= (unsigned)(mac[i] ^ p[mac_at + i]);
    }
    return diff == 0;
}

static bool
put_call(XDR *x, uint32_t xid, uint32_t proc)
{
    char mac[RPC_MAC_BYTES] = {0};
    struct rpc_msg m = {0};

    m.rm_xid = xid;
    m.rm_direction = CALL;
    m.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    m.rm_call.cb_prog = MIMOSA_CTL;
    m.rm_call.cb_vers = MIMOSA_CTL_V1;
    m.rm_call.cb_proc = proc;
    m.rm_call.cb_cred.oa_flavor = RPC_AUTH_FLEET;
    m.rm_call.cb_cred.oa_base = mac;
    m.rm_call.cb_cred.oa_length = RPC_MAC_BYTES;
    return xdr_callmsg(x, &m);
}

static bool_t
put_nothing(XDR *x, void *p)
{
    (void)x;
    (void)p;
    return TRUE;
}

static bool
put_reply(XDR *x, uint32_t xid, enum accept_stat stat)
{
    char mac[RPC_MAC_BYTES] = {0};
    struct rpc_msg m = {0};

    m.rm_xid = xid;
    m.rm_direction = REPLY;
    m.rm_reply.rp_stat = MSG_ACCEPTED;
    m.acpted_rply.ar_verf.oa_flavor = RPC_AUTH_FLEET;
    m.acpted_rply.ar_verf.oa_base = mac;
    m.acpted_rply.ar_verf.oa_length = RPC_MAC_BYTES;
    m.acpted_rply.ar_stat = stat;
    m.acpted_rply.ar_vers.low = MIMOSA_CTL_V1;
    m.acpted_rply.ar_vers.high = MIMOSA_CTL_V1;
    m.acpted_rply.ar_results.where = NULL;
    m.acpted_rply.ar_results.proc = (xdrproc_t)put_nothing;
    return xdr_replymsg(x, &m);
}

typedef struct Message {
    bool is_call;
    uint32_t xid;
    uint32_t proc;
    enum accept_stat stat;
    xdrproc_t x;
    void *body;
} Message;

/* Writes into a buffer that grows until the message fits. */
static GByteArray *
encode(const uint8_t *key, const Message *m, Err *e)
{
    GByteArray *b = g_byte_array_new();

    for (size_t cap = FIRST_BYTES; cap <= RPC_FRAME_BYTES_MAX; cap *= 4) {
        XDR x;
        g_byte_array_set_size(b, (guint)(cap + 4));
        xdrmem_create(&x, (char *)b->data + 4, (u_int)cap, XDR_ENCODE);
        bool ok = m->is_call ? put_call(&x, m->xid, m->proc)
                             : put_reply(&x, m->xid, m->stat);
        ok = ok && (m->x == NULL || m->x(&x, m->body));
        size_t n = xdr_getpos(&x);
        xdr_destroy(&x);
        if (ok) {
            size_t at = m->is_call ? CALL_MAC_AT : REPLY_MAC_AT;
            g_byte_array_set_size(b, (guint)(n + 4));
            put_mark(b->data, n);
            frame_mac(key, b->data + 4, n, at, b->data + 4 + at);
            return b;
        }
    }
    g_byte_array_free(b, TRUE);
    err_set(e, ERR_LIMIT,
            "RPC message of procedure %u does not fit its format or %d bytes; "
            "send less at once",
            m->proc, RPC_FRAME_BYTES_MAX);
    return NULL;
}

GByteArray *
xio_encode_call(const uint8_t *key, uint32_t xid, uint32_t proc,
                xdrproc_t args_x, void *args, Err *e)
{
    Message m = {true, xid, proc, SUCCESS, args_x, args};

    return encode(key, &m, e);
}

GByteArray *
xio_encode_reply(const uint8_t *key, uint32_t xid, enum accept_stat stat,
                 xdrproc_t res_x, void *res, Err *e)
{
    Message m = {false, xid, 0, stat, stat == SUCCESS ? res_x : NULL, res};

    return encode(key, &m, e);
}

static bool
check_size(Str frame, size_t mac_at, Err *e)
{
    if (frame.n < mac_at + RPC_MAC_BYTES || frame.n > RPC_FRAME_BYTES_MAX) {
        return err_set(e, ERR_PROTOCOL,
                       "RPC frame of %zu bytes; allowed are %zu to %d; check "
                       "that both ends run mimosascale",
                       frame.n, mac_at + RPC_MAC_BYTES, RPC_FRAME_BYTES_MAX);
    }
    return true;
}

static bool
check_call(const struct rpc_msg *m, Err *e)
{
    if (m->rm_direction != CALL || m->rm_call.cb_rpcvers != RPC_MSG_VERSION) {
        return err_set(e, ERR_PROTOCOL,
                       "RPC frame is no call of version 2; check that the "
                       "peer runs mimosascale");
    }
    if (m->rm_call.cb_prog != MIMOSA_CTL ||
        m->rm_call.cb_vers != MIMOSA_CTL_V1) {
        return err_set(e, ERR_PROTOCOL,
                       "RPC program 0x%x version %u; served is 0x%x version "
                       "%d; use programs of one release",
                       (unsigned)m->rm_call.cb_prog,
                       (unsigned)m->rm_call.cb_vers, MIMOSA_CTL,
                       MIMOSA_CTL_V1);
    }
    if (m->rm_call.cb_cred.oa_flavor != RPC_AUTH_FLEET ||
        m->rm_call.cb_cred.oa_length != RPC_MAC_BYTES) {
        return err_set(e, ERR_AUTH,
                       "RPC call without fleet credentials; set the same "
                       "fleet key on every VM");
    }
    return true;
}

bool
xio_decode_call(const uint8_t *key, Str frame, RpcCall *out, Err *e)
{
    char cred[MAX_AUTH_BYTES];
    char verf[MAX_AUTH_BYTES];
    struct rpc_msg m = {0};
    XDR x;

    if (!check_size(frame, CALL_MAC_AT, e)) {
        return false;
    }
    m.rm_call.cb_cred.oa_base = cred;
    m.rm_call.cb_verf.oa_base = verf;
    xdrmem_create(&x, (char *)frame.p, (u_int)frame.n, XDR_DECODE);
    bool ok = xdr_callmsg(&x, &m);
    out->body = xdr_getpos(&x);
    xdr_destroy(&x);
    if (!ok) {
        return err_set(e, ERR_PROTOCOL,
                       "RPC call header is malformed; check that the peer "
                       "runs mimosascale");
    }
    if (!check_call(&m, e)) {
        return false;
    }
    if (!mac_matches(key, frame, CALL_MAC_AT)) {
        return err_set(e, ERR_AUTH,
                       "RPC call with a wrong hash; set the same fleet key "
                       "on every VM");
    }
    out->xid = m.rm_xid;
    out->proc = m.rm_call.cb_proc;
    return true;
}

bool
xio_decode_reply(const uint8_t *key, Str frame, uint32_t *xid, size_t *body,
                 Err *e)
{
    char verf[MAX_AUTH_BYTES];
    struct rpc_msg m = {0};
    XDR x;

    if (!check_size(frame, REPLY_MAC_AT, e)) {
        return false;
    }
    m.acpted_rply.ar_verf.oa_base = verf;
    m.acpted_rply.ar_results.proc = (xdrproc_t)put_nothing;
    xdrmem_create(&x, (char *)frame.p, (u_int)frame.n, XDR_DECODE);
    bool ok = xdr_replymsg(&x, &m);
    *body = xdr_getpos(&x);
    xdr_destroy(&x);
    if (!ok || m.rm_direction != REPLY || m.rm_reply.rp_stat != MSG_ACCEPTED ||
        m.acpted_rply.ar_verf.oa_flavor != RPC_AUTH_FLEET ||
        m.acpted_rply.ar_verf.oa_length != RPC_MAC_BYTES) {
        return err_set(e, ERR_PROTOCOL,
                       "RPC reply header is malformed; check that the peer "
                       "runs mimosascale");
    }
    if (!mac_matches(key, frame, REPLY_MAC_AT)) {
        return err_set(e, ERR_AUTH,
                       "RPC reply with a wrong hash; set the same fleet key "
                       "on every VM");
    }
    *xid = m.rm_xid;
    if (m.acpted_rply.ar_stat != SUCCESS) {
        return err_set(e, ERR_PROTOCOL,
                       "peer refused the RPC call with status %d; use "
                       "programs of one release",
                       (int)m.acpted_rply.ar_stat);
    }
    return true;
}

bool
xio_decode_body(Str frame, size_t body, xdrproc_t x, void *out, size_t size,
                Err *e)
{
    XDR xd;

    memset(out, 0, size);
    xdrmem_create(&xd, (char *)frame.p + body, (u_int)(frame.n - body),
                  XDR_DECODE);
    bool ok = x(&xd, out) && xdr_getpos(&xd) == frame.n - body;
    xdr_destroy(&xd);
    if (!ok) {
        xdr_free(x, out);
        memset(out, 0, size);
        return err_set(e, ERR_PROTOCOL,
                       "RPC body of %zu bytes does not follow ctl.x; use "
                       "programs of one release",
                       frame.n - body);
    }
    return true;
}

int
xio_take_record(GByteArray *in, GByteArray *frame, Err *e)
{
    size_t at = 0;
    bool last = false;

    g_byte_array_set_size(frame, 0);
    while (!last) {
        uint32_t mark;
        if (in->len - at < sizeof(mark)) {
            return 0;
        }
        memcpy(&mark, in->data + at, sizeof(mark));
        mark = GUINT32_FROM_BE(mark);
        last = (mark & MARK_LAST) != 0;
        size_t n = mark & ~MARK_LAST;
        if (n > RPC_FRAME_BYTES_MAX - frame->len || (n == 0 && !last)) {
            err_set(e, ERR_PROTOCOL,
                    "RPC record of more than %d bytes or with an empty "
                    "fragment; check that the peer runs mimosascale",
                    RPC_FRAME_BYTES_MAX);
            return -1;
        }
        if (in->len - at - sizeof(mark) < n) {
            return 0;
        }
        g_byte_array_append(frame, in->data + at + sizeof(mark), (guint)n);
        at += sizeof(mark) + n;
    }
    g_byte_array_remove_range(in, 0, (guint)at);
    return 1;
}
