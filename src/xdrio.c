/* xdrio - RPC server and client over record streams.  See xdrio.h. */
#include "xdrio.h"

#include <string.h>

#include "limits.h"
#include "settings.h"
#include "xdrconn.h"

struct RpcServer {
    RpcOpts o;
    RpcHandler handler;
    void *ctx;
    GSocket *socket;
    GSource *src;
    GPtrArray *conns; /* RpcConn */
};

struct RpcReq {
    RpcServer *server;
    RpcConn *conn;
    uint32_t xid;
    uint32_t proc;
    Str frame; /* good until the handler returns */
    size_t body;
};

GSocketAddress *
xio_address(const char *text, Err *e)
{
    char host[ADDR_BYTES];
    uint16_t port;

    if (!settings_address(text, host, sizeof(host), &port, e)) {
        return NULL;
    }
    return g_inet_socket_address_new_from_string(host, port);
}

static void
count(int64_t *c)
{
    if (c != NULL) {
        (*c)++;
    }
}

static void
server_end(void *ctx, RpcConn *c, const Err *e)
{
    RpcServer *s = ctx;

    (void)e;
    if (g_ptr_array_remove_fast(s->conns, c)) {
        xio_conn_unref(c);
    }
}

/* A frame that is malformed or not authentic ends its connection. */
static void
server_frame(void *ctx, RpcConn *c, Str frame)
{
    RpcServer *s = ctx;
    Err e = {0};
    RpcCall call;

    if (!xio_decode_call(s->o.key, frame, &call, &e)) {
        count(s->o.bad_frames);
        xio_conn_close(c);
        server_end(s, c, &e);
        return;
    }
    RpcReq *r = g_new0(RpcReq, 1);
    r->server = s;
    r->conn = xio_conn_ref(c);
    r->xid = call.xid;
    r->proc = call.proc;
    r->frame = frame;
    r->body = call.body;
    s->handler(s->ctx, r, call.proc);
}

static gboolean
on_accept(GSocket *l, GIOCondition cond, gpointer p)
{
    RpcServer *s = p;
    GSocket *sock = g_socket_accept(l, NULL, NULL);

    (void)cond;
    if (sock == NULL) {
        return G_SOURCE_CONTINUE;
    }
    if (s->conns->len < RPC_CONNECTIONS_MAX) {
        RpcConnUse use = {server_frame, server_end, s};
        g_ptr_array_add(s->conns, xio_conn_new(sock, false, &s->o, &use));
    }
    g_object_unref(sock);
    return G_SOURCE_CONTINUE;
}

static GSocket *
listen_on(const char *address, Err *e)
{
    GSocketAddress *a = xio_address(address, e);
    GError *ge = NULL;

    if (a == NULL) {
        return NULL;
    }
    GSocket *s =
        g_socket_new(g_socket_address_get_family(a), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, &ge);
    if (s != NULL) {
        g_socket_set_blocking(s, FALSE);
        g_socket_set_listen_backlog(s, 256);
        if (!g_socket_bind(s, a, TRUE, &ge) || !g_socket_listen(s, &ge)) {
            g_object_unref(s);
            s = NULL;
        }
    }
    g_object_unref(a);
    if (s == NULL) {
        err_set(e, ERR_IO,
                "listen on %s: %s; set [listen] control to a free address of "
                "this VM",
                address, ge->message);
        g_error_free(ge);
    }
    return s;
}

RpcServer *
xio_server_new(const char *address, const RpcOpts *o, RpcHandler h, void *ctx,
               Err *e)
{
    GSocket *sock = listen_on(address, e);

    if (sock == NULL) {
        return NULL;
    }
    RpcServer *s = g_new0(RpcServer, 1);
    s->o = *o;
    s->handler = h;
    s->ctx = ctx;
    s->socket = sock;
    s->conns = g_ptr_array_new();
    s->src = g_socket_create_source(sock, G_IO_IN, NULL);
    g_source_set_callback(s->src, G_SOURCE_FUNC(on_accept), s, NULL);
    g_source_attach(s->src, g_main_context_get_thread_default());
    return s;
}

void
xio_server_free(RpcServer *s)
{
    if (s == NULL) {
        return;
    }
    g_source_destroy(s->src);
    g_source_unref(s->src);
    for (guint i = 0; i < s->conns->len; i++) {
        RpcConn *c = g_ptr_array_index(s->conns, i);
        xio_conn_close(c);
        xio_conn_unref(c);
    }
    g_ptr_array_free(s->conns, TRUE);
    g_socket_close(s->socket, NULL);
    g_object_unref(s->socket);
    g_free(s);
}

bool
xio_args(RpcReq *r, xdrproc_t x, void *out, size_t size, Err *e)
{
    return xio_decode_body(r->frame, r->body, x, out, size, e);
}

static void
answer(RpcReq *r, enum accept_stat stat, xdrproc_t x, void *res)
{
    if (xio_conn_open(r->conn)) {
        RpcServer *s = r->server;
        GByteArray *b = xio_encode_reply(s->o.key, r->xid, stat, x, res, NULL);
        if (b == NULL) {
            b = xio_encode_reply(s->o.key, r->xid, SYSTEM_ERR, NULL, NULL,
                                 NULL);
        }
        xio_conn_send(r->conn, b);
    }
    xio_conn_unref(r->conn);
    g_free(r);
}

void
xio_reply(RpcReq *r, xdrproc_t x, void *res)
{
    answer(r, SUCCESS, x, res);
}

void
xio_refuse(RpcReq *r, enum accept_stat stat)
{
    answer(r, stat, NULL, NULL);
}

RpcConn *
xio_link(RpcReq *r)
{
    return xio_conn_ref(r->conn);
}

bool
xio_link_open(const RpcConn *c)
{
    return xio_conn_open(c);
}

void
xio_link_unref(RpcConn *c)
{
    if (c != NULL) {
        xio_conn_unref(c);
    }
}

void
xio_ignore(RpcReq *r)
{
    xio_conn_unref(r->conn);
    g_free(r);
}

typedef struct Waiting {
    RpcClient *client;
    uint32_t xid;
    xdrproc_t res_x;
    size_t res_size;
    GSource *timer;
    RpcDone done;
    void *ctx;
} Waiting;

struct RpcClient {
    int refs;
    bool freed;
    RpcOpts o;
    char address[ADDR_BYTES];
    RpcConn *conn;
    uint32_t next_xid;
    GHashTable *waiting; /* xid -> Waiting */
};

static void
waiting_free(void *p)
{
    Waiting *w = p;

    g_source_destroy(w->timer);
    g_source_unref(w->timer);
    g_free(w);
}

RpcClient *
xio_client_new(const char *address, const RpcOpts *o)
{
    RpcClient *c = g_new0(RpcClient, 1);

    c->refs = 1;
    c->o = *o;
    g_strlcpy(c->address, address, sizeof(c->address));
    c->next_xid = g_random_int();
    c->waiting = g_hash_table_new(g_direct_hash, g_direct_equal);
    return c;
}

static void
client_unref(RpcClient *c)
{
    if (--c->refs == 0) {
        g_hash_table_destroy(c->waiting);
        g_free(c);
    }
}

/* Takes the call out of the table and tells its outcome. */
static void
finish(Waiting *w, void *res, const Err *e)
{
    RpcClient *c = w->client;

    g_hash_table_remove(c->waiting, GUINT_TO_POINTER(w->xid));
    RpcDone done = w->done;
    void *ctx = w->ctx;
    waiting_free(w);
    if (done != NULL) {
        done(ctx, res, e);
    }
}

static void
drop_conn(RpcClient *c)
{
    if (c->conn != NULL) {
        RpcConn *conn = c->conn;
        c->conn = NULL;
        xio_conn_close(conn);
        xio_conn_unref(conn);
    }
}

/* Fails the calls that wait now; callbacks may start new ones. */
static void
fail_all(RpcClient *c, const Err *e)
{
    GList *xids = g_hash_table_get_keys(c->waiting);

    c->refs++;
    for (GList *l = xids; l != NULL; l = l->next) {
        Waiting *w = g_hash_table_lookup(c->waiting, l->data);
        if (w != NULL) {
            finish(w, NULL, e);
        }
    }
    g_list_free(xids);
    client_unref(c);
}

static void
client_end(void *ctx, RpcConn *conn, const Err *e)
{
    RpcClient *c = ctx;

    if (c->conn == conn) {
        drop_conn(c);
    }
    fail_all(c, e);
}

static void
client_frame(void *ctx, RpcConn *conn, Str frame)
{
    RpcClient *c = ctx;
    Err e = {0};
    uint32_t xid = 0;
    size_t body = 0;
    bool ok = xio_decode_reply(c->o.key, frame, &xid, &body, &e);

    (void)conn;
    Waiting *w = g_hash_table_lookup(c->waiting, GUINT_TO_POINTER(xid));
    if (!ok && w == NULL) {
        /* Neither authentic nor of a known call: the stream is not trusted. */
        count(c->o.bad_frames);
        drop_conn(c);
        fail_all(c, &e);
        return;
    }
    if (w == NULL) {
        return; /* came after its time limit */
    }
    void *res = g_malloc0(w->res_size);
    xdrproc_t x = w->res_x;
    if (ok && xio_decode_body(frame, body, x, res, w->res_size, &e)) {
        finish(w, res, NULL);
        xdr_free(x, res);
    }
    else {
        count(c->o.bad_frames);
        finish(w, NULL, &e);
    }
    g_free(res);
}

static gboolean
on_timeout(gpointer p)
{
    Waiting *w = p;
    Err e = {0};

    err_set(&e, ERR_TIMEOUT, "RPC to %s: no answer in time; asked again later",
            w->client->address);
    finish(w, NULL, &e);
    return G_SOURCE_REMOVE;
}

static bool
connect_client(RpcClient *c, Err *e)
{
    GSocketAddress *a = xio_address(c->address, e);
    GError *ge = NULL;

    if (a == NULL) {
        return false;
    }
    GSocket *s =
        g_socket_new(g_socket_address_get_family(a), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, &ge);
    bool ok = s != NULL;
    if (ok) {
        g_socket_set_blocking(s, FALSE);
        ok = g_socket_connect(s, a, NULL, &ge) ||
             g_error_matches(ge, G_IO_ERROR, G_IO_ERROR_PENDING);
    }
    if (ok) {
        RpcConnUse use = {client_frame, client_end, c};
        c->conn = xio_conn_new(s, true, &c->o, &use);
    }
    else {
        err_set(e, ERR_UNAVAILABLE, "RPC to %s: %s; asked again later",
                c->address, ge->message);
    }
    g_clear_error(&ge);
    if (s != NULL) {
        g_object_unref(s);
    }
    g_object_unref(a);
    return ok;
}

void
xio_client_free(RpcClient *c)
{
    GHashTableIter it;
    gpointer w;

    if (c == NULL) {
        return;
    }
    drop_conn(c);
    g_hash_table_iter_init(&it, c->waiting);
    while (g_hash_table_iter_next(&it, NULL, &w)) {
        g_hash_table_iter_steal(&it);
        waiting_free(w);
    }
    client_unref(c);
}

typedef struct Failed {
    RpcDone done;
    void *ctx;
    Err e;
} Failed;

static gboolean
tell_failed(gpointer p)
{
    Failed *f = p;

    f->done(f->ctx, NULL, &f->e);
    g_free(f);
    return G_SOURCE_REMOVE;
}

/* Tells a failure from the main loop, so that callers need not expect their
 * callback while they still start the call. */
static void
fail_soon(RpcDone done, void *ctx, const Err *e)
{
    if (done == NULL) {
        return;
    }
    Failed *f = g_new0(Failed, 1);
    f->done = done;
    f->ctx = ctx;
    f->e = *e;
    GSource *s = g_idle_source_new();
    g_source_set_callback(s, tell_failed, f, NULL);
    g_source_attach(s, g_main_context_get_thread_default());
    g_source_unref(s);
}

void
xio_call(RpcClient *c, uint32_t proc, xdrproc_t args_x, void *args,
         xdrproc_t res_x, size_t res_size, unsigned timeout_ms, RpcDone done,
         void *ctx)
{
    Err e = {0};
    uint32_t xid = c->next_xid++;

    count(c->o.calls);
    GByteArray *b = xio_encode_call(c->o.key, xid, proc, args_x, args, &e);
    if (b == NULL || (c->conn == NULL && !connect_client(c, &e))) {
        if (b != NULL) {
            g_byte_array_unref(b);
        }
        fail_soon(done, ctx, &e);
        return;
    }
    Waiting *w = g_new0(Waiting, 1);
    w->client = c;
    w->xid = xid;
    w->res_x = res_x;
    w->res_size = res_size;
    w->done = done;
    w->ctx = ctx;
    w->timer = g_timeout_source_new(timeout_ms);
    g_source_set_callback(w->timer, on_timeout, w, NULL);
    g_source_attach(w->timer, g_main_context_get_thread_default());
    g_hash_table_insert(c->waiting, GUINT_TO_POINTER(xid), w);
    xio_conn_send(c->conn, b);
}
