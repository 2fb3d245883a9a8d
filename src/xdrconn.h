/*
 * xdrconn - one non-blocking stream of RPC records; used by xdrio only.
 */
#ifndef MIMOSA_XDRCONN_H
#define MIMOSA_XDRCONN_H

#include "xdrio.h"

typedef struct RpcConnUse {
    void (*on_frame)(void *ctx, RpcConn *c, Str frame);
    /* Called once, when the stream ends or fails; not by xio_conn_close(). */
    void (*on_end)(void *ctx, RpcConn *c, const Err *e);
    void *ctx;
} RpcConnUse;

/* Takes a socket that is connected or connecting. */
RpcConn *xio_conn_new(GSocket *s, bool connecting, const RpcOpts *o,
                      const RpcConnUse *use);

/* Stops callbacks and closes; the memory goes with the last reference. */
void xio_conn_close(RpcConn *c);
RpcConn *xio_conn_ref(RpcConn *c);
void xio_conn_unref(RpcConn *c);
bool xio_conn_open(const RpcConn *c);

/* Sends a record, or drops it by fault injection.  Takes the array. */
void xio_conn_send(RpcConn *c, GByteArray *record);

#endif
