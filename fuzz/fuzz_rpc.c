/*
 * fuzz_rpc - decoders of everything that a peer, the store or a local program
 * may send: records, headers, bodies, envelopes and rosters.
 *
 * The first byte of an input chooses the decoder; the rest is its input.
 */
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include "cfg.h"
#include "ctlmsg.h"
#include "own.h"
#include "settings.h"
#include "xdrio.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t n);

static const uint8_t key[FLEET_KEY_BYTES] = {1, 2, 3};

typedef struct Body {
    xdrproc_t x;
    size_t size;
} Body;

static const Body bodies[] = {
    {(xdrproc_t)xdr_ms_heartbeat, sizeof(ms_heartbeat)},
    {(xdrproc_t)xdr_ms_heartbeat_res, sizeof(ms_heartbeat_res)},
    {(xdrproc_t)xdr_ms_digest, sizeof(ms_digest)},
    {(xdrproc_t)xdr_ms_digest_res, sizeof(ms_digest_res)},
    {(xdrproc_t)xdr_ms_config, sizeof(ms_config)},
    {(xdrproc_t)xdr_ms_roster, sizeof(ms_roster)},
    {(xdrproc_t)xdr_ms_snapshot, sizeof(ms_snapshot)},
    {(xdrproc_t)xdr_ms_snapshot_res, sizeof(ms_snapshot_res)},
    {(xdrproc_t)xdr_ms_report, sizeof(ms_report)},
    {(xdrproc_t)xdr_ms_query, sizeof(ms_query)},
};

static void
decode_body(const Body *b, Str in)
{
    union {
        ms_heartbeat h;
        ms_heartbeat_res hr;
        ms_digest d;
        ms_digest_res dr;
        ms_snapshot_res s;
        ms_snapshot sn;
        char bytes[1024];
    } out;
    Err e = {0};

    if (b->size > sizeof(out) ||
        !xio_decode_body(in, 0, b->x, &out, b->size, &e)) {
        return;
    }
    if (b->x == (xdrproc_t)xdr_ms_snapshot_res && out.s.body != NULL) {
        snap_unref(ctlmsg_snapshot(&out.s, out.s.body, NULL, &e));
    }
    xdr_free(b->x, &out);
}

static void
decode_record(Str in)
{
    GByteArray *buf = g_byte_array_new();
    GByteArray *frame = g_byte_array_new();
    Err e = {0};

    g_byte_array_append(buf, (const guint8 *)in.p, (guint)in.n);
    while (xio_take_record(buf, frame, &e) == 1) {
        Str f = {(const char *)frame->data, frame->len};
        RpcCall call;
        uint32_t xid;
        size_t body;
        xio_decode_call(key, f, &call, &e);
        xio_decode_reply(key, f, &xid, &body, &e);
    }
    g_byte_array_unref(buf);
    g_byte_array_unref(frame);
}

static void
decode_text(uint8_t which, Str in)
{
    Err e = {0};

    if (which == 0) {
        static OwnRoster r;
        own_parse(&r, in, 1, &e);
    }
    else {
        Cfg *c = cfg_new();
        cfg_offer(c, in, 1, &e);
        cfg_free(c);
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t n)
{
    if (n == 0) {
        return 0;
    }
    Str in = {(const char *)data + 1, n - 1};
    uint8_t which = data[0] % (G_N_ELEMENTS(bodies) + 3);

    if (which < G_N_ELEMENTS(bodies)) {
        decode_body(&bodies[which], in);
    }
    else if (which == G_N_ELEMENTS(bodies)) {
        decode_record(in);
    }
    else {
        decode_text(which - G_N_ELEMENTS(bodies) - 1, in);
    }
    return 0;
}
