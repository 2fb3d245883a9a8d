/* xdrconn - one non-blocking stream of RPC records.  See xdrconn.h. */
#include "xdrconn.h"

#include <netinet/tcp.h>
#include <string.h>

#include "limits.h"

#define READ_BYTES 65536

struct RpcConn {
    int refs;
    GSocket *socket;
    RpcOpts o;
    RpcConnUse use;
    bool open;
    bool connecting;
    GByteArray *in;
    GByteArray *out;
    size_t sent; /* bytes of out that are gone */
    GSource *in_src;
    GSource *out_src;
};

static void
drop_source(GSource **s)
{
    if (*s != NULL) {
        g_source_destroy(*s);
        g_source_unref(*s);
        *s = NULL;
    }
}

void
xio_conn_close(RpcConn *c)
{
    if (!c->open) {
        return;
    }
    c->open = false;
    drop_source(&c->in_src);
    drop_source(&c->out_src);
    g_socket_close(c->socket, NULL);
}

RpcConn *
xio_conn_ref(RpcConn *c)
{
    c->refs++;
    return c;
}

void
xio_conn_unref(RpcConn *c)
{
    if (--c->refs > 0) {
        return;
    }
    xio_conn_close(c);
    g_object_unref(c->socket);
    g_byte_array_unref(c->in);
    g_byte_array_unref(c->out);
    g_free(c);
}

bool
xio_conn_open(const RpcConn *c)
{
    return c->open;
}

static void
end_conn(RpcConn *c, const Err *e)
{
    if (c->open) {
        xio_conn_close(c);
        c->use.on_end(c->use.ctx, c, e);
    }
}

static void
end_with(RpcConn *c, ErrKind k, const char *what)
{
    Err e = {0};

    err_set(&e, k, "RPC connection: %s; the peer is asked again", what);
    end_conn(c, &e);
}

/* Hands on all whole records of the buffer. */
static void
take_frames(RpcConn *c)
{
    Err e = {0};
    GByteArray *frame = g_byte_array_new();
    int got = 0;

    while (c->open && (got = xio_take_record(c->in, frame, &e)) == 1) {
        c->use.on_frame(c->use.ctx, c,
                        (Str){(const char *)frame->data, frame->len});
    }
    g_byte_array_unref(frame);
    if (c->open && got < 0) {
        if (c->o.bad_frames != NULL) {
            (*c->o.bad_frames)++;
        }
        end_conn(c, &e);
    }
}

static gboolean
on_readable(GSocket *s, GIOCondition cond, gpointer p)
{
    RpcConn *c = p;
    uint8_t buf[READ_BYTES];
    GError *ge = NULL;

    (void)cond;
    xio_conn_ref(c);
    gssize n = g_socket_receive(s, (gchar *)buf, sizeof(buf), NULL, &ge);
    if (n > 0) {
        if (c->o.bytes_in != NULL) {
            *c->o.bytes_in += n;
        }
        g_byte_array_append(c->in, buf, (guint)n);
        take_frames(c);
    }
    else if (n == 0) {
        end_with(c, ERR_UNAVAILABLE, "closed by the peer");
    }
    else if (!g_error_matches(ge, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK)) {
        end_with(c, ERR_UNAVAILABLE, ge->message);
    }
    g_clear_error(&ge);
    bool on = c->open;
    xio_conn_unref(c);
    return on ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

/* Sends what the socket takes.  Returns false when the stream failed. */
static bool
flush_out(RpcConn *c)
{
    while (c->sent < c->out->len) {
        GError *ge = NULL;
        gssize n =
            g_socket_send(c->socket, (const gchar *)c->out->data + c->sent,
                          c->out->len - c->sent, NULL, &ge);
        if (n < 0) {
            bool block =
                g_error_matches(ge, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
            if (!block) {
                end_with(c, ERR_UNAVAILABLE, ge->message);
            }
            g_error_free(ge);
            return block;
        }
        c->sent += (size_t)n;
        if (c->o.bytes_out != NULL) {
            *c->o.bytes_out += n;
        }
    }
    g_byte_array_set_size(c->out, 0);
    c->sent = 0;
    return true;
}

static bool
finish_connect(RpcConn *c)
{
    GError *ge = NULL;

    if (!g_socket_check_connect_result(c->socket, &ge)) {
        end_with(c, ERR_UNAVAILABLE, ge->message);
        g_error_free(ge);
        return false;
    }
    c->connecting = false;
    return true;
}

static gboolean
on_writable(GSocket *s, GIOCondition cond, gpointer p)
{
    RpcConn *c = p;
    gboolean more = G_SOURCE_REMOVE;

    (void)s;
    (void)cond;
    xio_conn_ref(c);
    if ((!c->connecting || finish_connect(c)) && flush_out(c)) {
        more = c->open && c->out->len > 0;
    }
    if (!more && c->open) {
        drop_source(&c->out_src);
    }
    xio_conn_unref(c);
    return more;
}

static GSource *
watch(RpcConn *c, GIOCondition cond, GSocketSourceFunc f)
{
    GSource *src = g_socket_create_source(c->socket, cond, NULL);

    g_source_set_callback(src, G_SOURCE_FUNC(f), c, NULL);
    g_source_attach(src, g_main_context_get_thread_default());
    return src;
}

RpcConn *
xio_conn_new(GSocket *s, bool connecting, const RpcOpts *o,
             const RpcConnUse *use)
{
    RpcConn *c = g_new0(RpcConn, 1);

    c->refs = 1;
    c->socket = g_object_ref(s);
    c->o = *o;
    c->use = *use;
    c->open = true;
    c->connecting = connecting;
    c->in = g_byte_array_new();
    c->out = g_byte_array_new();
    g_socket_set_blocking(s, FALSE);
    g_socket_set_option(s, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    c->in_src = watch(c, G_IO_IN, on_readable);
    if (connecting) {
        c->out_src = watch(c, G_IO_OUT, on_writable);
    }
    return c;
}

/*
 * Sending waits for the main loop, so that a failure is never told while the
 * caller still starts its call, and messages of one turn share a write.
 */
void
xio_conn_send(RpcConn *c, GByteArray *record)
{
    bool dropped = c->o.drop != NULL && c->o.drop(c->o.drop_ctx);

    if (c->open && !dropped) {
        if (c->out->len - c->sent + record->len > RPC_OUT_BYTES_MAX) {
            /* The peer does not read; the reading side sees the end. */
            g_socket_shutdown(c->socket, TRUE, TRUE, NULL);
        }
        else {
            g_byte_array_append(c->out, record->data, record->len);
        }
    }
    g_byte_array_unref(record);
    if (c->open && c->out_src == NULL && c->out->len > 0) {
        c->out_src = watch(c, G_IO_OUT, on_writable);
    }
}
