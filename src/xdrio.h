/*
 * xdrio - ONC RPC messages over GIO sockets at fixed addresses.
 *
 * Only the XDR codec and the message headers of libtirpc are used: its
 * service loop blocks and registers with rpcbind.  Messages use record
 * marking (RFC 5531, section 11) with one or more fragments of at most
 * RPC_FRAME_BYTES_MAX bytes together.  Each call carries HMAC-SHA256 of the
 * frame under the fleet key in its credentials and each reply in its
 * verifier; the bytes of the hash count as zero while it is computed.
 *
 * All functions run on the thread-default main context of their caller.
 */
#ifndef MIMOSA_XDRIO_H
#define MIMOSA_XDRIO_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <gio/gio.h>
#include <glib.h>
#include <rpc/rpc.h>

#include "ctl.h"
#include "err.h"
#include "str.h"

#define RPC_MAC_BYTES 32
#define RPC_AUTH_FLEET 0x4D53 /* flavor of the credentials */
#define RPC_CONNECTIONS_MAX 1024
#define RPC_OUT_BYTES_MAX                                                     \
    (8 * 1024 * 1024) /* unsent bytes of a connection                         \
                       */

typedef struct RpcOpts {
    const uint8_t *key; /* FLEET_KEY_BYTES; must outlive its user */
    /* Fault injection: true drops a message.  NULL: none. */
    bool (*drop)(void *ctx);
    void *drop_ctx;
    /* Counters, may be NULL: bytes of both directions, calls, bad frames. */
    int64_t *bytes_out;
    int64_t *bytes_in;
    int64_t *calls;
    int64_t *bad_frames;
} RpcOpts;

/* Header of a call that was read. */
typedef struct RpcCall {
    uint32_t xid;
    uint32_t proc;
    size_t body; /* offset of the arguments */
} RpcCall;

/* Writes a whole record with its mark.  Errors: ERR_LIMIT, ERR_PROTOCOL. */
GByteArray *xio_encode_call(const uint8_t *key, uint32_t xid, uint32_t proc,
                            xdrproc_t args_x, void *args, Err *e);
GByteArray *xio_encode_reply(const uint8_t *key, uint32_t xid,
                             enum accept_stat stat, xdrproc_t res_x, void *res,
                             Err *e);

/* Read a frame without its mark.  Errors: ERR_PROTOCOL with the field,
 * ERR_AUTH when the hash is wrong. */
bool xio_decode_call(const uint8_t *key, Str frame, RpcCall *out, Err *e);
bool xio_decode_reply(const uint8_t *key, Str frame, uint32_t *xid,
                      size_t *body, Err *e);

/* Reads a body.  The caller frees it with xdr_free().  On an error nothing
 * needs to be freed. */
bool xio_decode_body(Str frame, size_t body, xdrproc_t x, void *out,
                     size_t size, Err *e);

/*
 * Takes one whole record from the front of a buffer into frame.
 * Returns 1 when one was taken, 0 when more bytes are needed, -1 on an error.
 */
int xio_take_record(GByteArray *in, GByteArray *frame, Err *e);

typedef struct RpcServer RpcServer;
typedef struct RpcReq RpcReq;

/* Called with each authentic call; it must end in xio_reply(),
 * xio_refuse() or xio_ignore(), now or later. */
typedef void (*RpcHandler)(void *ctx, RpcReq *r, uint32_t proc);

RpcServer *xio_server_new(const char *address, const RpcOpts *o, RpcHandler h,
                          void *ctx, Err *e);
void xio_server_free(RpcServer *s);

bool xio_args(RpcReq *r, xdrproc_t x, void *out, size_t size, Err *e);
void xio_reply(RpcReq *r, xdrproc_t x, void *res);
void xio_refuse(RpcReq *r, enum accept_stat stat);
/* Ends a call without an answer: fault injection, or the server stops. */
void xio_ignore(RpcReq *r);

/* The connection of a call, with a reference, to see later whether the caller
 * has ended.  Free it with xio_link_unref(). */
typedef struct RpcConn RpcConn;
RpcConn *xio_link(RpcReq *r);
bool xio_link_open(const RpcConn *c);
void xio_link_unref(RpcConn *c);

typedef struct RpcClient RpcClient;

/* res is NULL on an error and is freed after the call. */
typedef void (*RpcDone)(void *ctx, void *res, const Err *e);

/* One address; connects with the first call and again after a failure. */
RpcClient *xio_client_new(const char *address, const RpcOpts *o);
/* Drops waiting calls without a callback. */
void xio_client_free(RpcClient *c);

void xio_call(RpcClient *c, uint32_t proc, xdrproc_t args_x, void *args,
              xdrproc_t res_x, size_t res_size, unsigned timeout_ms,
              RpcDone done, void *ctx);

/* Parses "IP:PORT" or "[IP6]:PORT" into a socket address, or NULL. */
GSocketAddress *xio_address(const char *text, Err *e);

#endif
