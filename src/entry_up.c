/* entry_up - one HTTP call to an upstream or entry VM.  See entry_up.h. */
#include "entry_up.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <glib-unix.h>

#include "evl.h"
#include "evlsrc.h"
#include "limits.h"
#include "loopsrc.h"
#include "strm.h"
#include "uconn.h"

#define PIPE_BYTES 65536     /* read from a pipe at once */
#define BACKLOG_BYTES 131072 /* of a body, before the pipe is held back */
#define ANSWER_BYTES 65536   /* of an answer, before its reads are held back */
#define UP_ZONE "local"      /* placement is not decided here */

typedef struct UpHost {
    Ups *u;
    int connections;
    GQueue waiting; /* Call without a connection */
} UpHost;

struct UpPool {
    Evl *loop;
    GSource *source;
    Topology places;
    UpsSet *set;
    UconnPool *conns;
    GHashTable *hosts; /* address -> UpHost */
};

struct Call {
    CallOpts o;
    UpPool *pool;
    UpHost *host;
    Uconn *conn;
    char *target; /* path and query */
    char *method;
    char *content_type;
    char *address;
    GBytes *body;
    EvlFd pipe;
    bool pipe_open;
    int64_t pipe_left; /* -1: unknown, sent in chunks */
    EvlTimer kick;     /* tells what has come, outside of the caller's turn */
    GList link;        /* in waiting */
    CallEnd end;
    const char *why;
    bool ended; /* nothing more comes from the connection */
    bool sent;
    bool told_head;
    bool wanted; /* the next part of the body was asked for */
    bool done;   /* on_end was called, or the call was dropped */
};

static void serve_waiting(UpHost *h);

static void
host_free(gpointer data)
{
    UpHost *h = data;

    ups_unref(h->u);
    g_free(h);
}

UpPool *
up_pool_new(void)
{
    UpPool *p = g_new0(UpPool, 1);

    p->loop = evl_new();
    p->source = evlsrc_new(p->loop);
    topology_add(&p->places, str_of(UP_ZONE), str_of(UP_ZONE));
    p->set = ups_new(&p->places, 0);
    p->conns = uconns_new(p->loop);
    p->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, host_free);
    return p;
}

void
up_pool_free(UpPool *p)
{
    if (p == NULL) {
        return;
    }
    src_end(&p->source);
    uconns_free(p->conns);
    g_hash_table_destroy(p->hosts);
    ups_free(p->set);
    evl_free(p->loop);
    g_free(p);
}

/* NULL when the address cannot be read. */
static UpHost *
host_of(UpPool *p, const char *address, int connections)
{
    UpHost *h = g_hash_table_lookup(p->hosts, address);

    if (h == NULL) {
        UpsReport r = {.id = str_of(address),
                       .service = str_of(address),
                       .zone = str_of(UP_ZONE)};
        if (!strm_parse_addr_any(str_of(address), &r.addr)) {
            return NULL;
        }
        ups_report(p->set, &r, evl_now(p->loop));
        h = g_new0(UpHost, 1);
        h->u = ups_ref(ups_find(p->set, str_of(address)));
        g_queue_init(&h->waiting);
        g_hash_table_insert(p->hosts, g_strdup(address), h);
    }
    h->connections = connections;
    return h;
}

static void
call_free(gpointer data)
{
    Call *c = data;

    g_free(c->target);
    g_free(c->method);
    g_free(c->content_type);
    g_free(c->address);
    if (c->body != NULL) {
        g_bytes_unref(c->body);
    }
    g_free(c);
}

static void
close_pipe(Call *c)
{
    if (c->pipe_open) {
        c->pipe_open = false;
        evl_del(c->pool->loop, &c->pipe);
        close(c->pipe.fd);
    }
}

/* Ends what the call holds; its memory goes at the end of the turn. */
static void
dispose(Call *c)
{
    c->done = true;
    close_pipe(c);
    evl_disarm(c->pool->loop, &c->kick);
    if (c->link.data != NULL) {
        g_queue_unlink(&c->host->waiting, &c->link);
        c->link.data = NULL;
    }
    if (c->conn != NULL) {
        uconn_cancel(c->conn);
        c->conn = NULL;
    }
    if (c->host != NULL) {
        serve_waiting(c->host);
    }
    evl_defer(c->pool->loop, call_free, c);
}

static void
kick(Call *c)
{
    evl_arm(c->pool->loop, &c->kick, evl_now(c->pool->loop));
}

/* Notes the end; it is told when all that came before it has been. */
static void
end_with(Call *c, CallEnd end, const char *why)
{
    if (!c->ended) {
        c->ended = true;
        c->end = end;
        c->why = why;
        close_pipe(c);
        kick(c);
    }
}

/* Gives a connection back that has done its work, or closes it. */
static void
leave_conn(Call *c)
{
    bool reuse = !c->o.once && c->end == CALL_DONE &&
                 uconn_backlog(c->conn) == 0 && c->pipe_left == 0;

    if (reuse) {
        uconn_release(c->conn);
    }
    else {
        uconn_cancel(c->conn);
    }
    c->conn = NULL;
}

static SoupMessageHeaders *
headers_of(const H1 *a)
{
    SoupMessageHeaders *h =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_RESPONSE);

    for (int i = 0; i < a->n_headers; i++) {
        char *name = g_strndup(a->headers[i].name.p, a->headers[i].name.n);
        char *value = g_strndup(a->headers[i].value.p, a->headers[i].value.n);
        soup_message_headers_append(h, name, value);
        g_free(name);
        g_free(value);
    }
    return h;
}

static void
tell_head(Call *c)
{
    const H1 *a = uconn_response(c->conn);
    SoupMessageHeaders *h = headers_of(a);

    c->told_head = true;
    c->wanted = true;
    c->o.on_head(c->o.ctx, (int)a->parser.status_code, h);
    soup_message_headers_unref(h);
}

/* Tells one step: the head, a part of the body, or the end. */
static void
on_kick(void *ctx, int64_t now_us)
{
    Call *c = ctx;
    (void)now_us;

    if (c->link.data != NULL) {
        serve_waiting(c->host);
        return;
    }
    if (c->conn != NULL && c->sent && uconn_response(c->conn)->has_head &&
        !c->told_head && !(c->ended && c->end != CALL_DONE)) {
        tell_head(c);
        if (c->done) {
            return;
        }
    }
    GByteArray *body =
        c->conn != NULL && c->told_head ? uconn_response(c->conn)->body : NULL;
    if (c->wanted && body != NULL && body->len > 0) {
        GBytes *part = g_bytes_new(body->data, body->len);
        g_byte_array_set_size(body, 0);
        uconn_pause(c->conn, false);
        c->wanted = false;
        c->o.on_data(c->o.ctx, part);
        return;
    }
    if (!c->ended || (c->end == CALL_DONE && !c->wanted)) {
        return;
    }
    if (c->conn != NULL) {
        leave_conn(c);
    }
    c->o.on_end(c->o.ctx, c->end, c->why);
    dispose(c);
}

static void
append_header(const char *name, const char *value, gpointer data)
{
    static const char *const ours[] = {"Content-Length", "Transfer-Encoding",
                                       "Content-Type", "Expect"};

    for (size_t i = 0; i < G_N_ELEMENTS(ours); i++) {
        if (g_ascii_strcasecmp(name, ours[i]) == 0) {
            return;
        }
    }
    g_string_append_printf(data, "%s: %s\r\n", name, value);
}

static void
append_framing(const Call *c, GString *g)
{
    bool wants_length = strcmp(c->method, "POST") == 0 ||
                        strcmp(c->method, "PUT") == 0 ||
                        strcmp(c->method, "PATCH") == 0;
    bool has_body = c->body != NULL || c->pipe_open;

    if (has_body && c->content_type != NULL) {
        g_string_append_printf(g, "Content-Type: %s\r\n", c->content_type);
    }
    if (c->body != NULL) {
        g_string_append_printf(g, "Content-Length: %zu\r\n",
                               g_bytes_get_size(c->body));
    }
    else if (c->pipe_open && c->pipe_left >= 0) {
        g_string_append_printf(g, "Content-Length: %" PRId64 "\r\n",
                               c->pipe_left);
    }
    else if (c->pipe_open) {
        g_string_append(g, "Transfer-Encoding: chunked\r\n");
    }
    else if (wants_length) {
        g_string_append(g, "Content-Length: 0\r\n");
    }
    g_string_append(g, "\r\n");
}

static GString *
head_of(Call *c)
{
    GString *g = g_string_new(NULL);
    SoupMessageHeaders *h =
        soup_message_headers_new(SOUP_MESSAGE_HEADERS_REQUEST);

    c->o.fill(c->o.ctx, h);
    if (c->o.once) {
        soup_message_headers_replace(h, "Connection", "close");
    }
    if (soup_message_headers_get_one(h, "Host") == NULL) {
        soup_message_headers_append(h, "Host", c->address);
    }
    g_string_printf(g, "%s %s HTTP/1.1\r\n", c->method, c->target);
    soup_message_headers_foreach(h, append_header, g);
    append_framing(c, g);
    soup_message_headers_unref(h);
    return g;
}

static void
pipe_ended(Call *c)
{
    bool cut = c->pipe_left > 0;

    if (c->pipe_left < 0) {
        uconn_send_more(c->conn, "0\r\n\r\n", strlen("0\r\n\r\n"));
        c->pipe_left = 0;
    }
    close_pipe(c);
    if (cut) {
        end_with(c, CALL_CLOSED, "the caller's body ended early");
    }
}

static void
on_pipe(void *ctx, uint32_t events)
{
    Call *c = ctx;
    char buf[PIPE_BYTES];
    char size[24];
    (void)events;

    ssize_t n = read(c->pipe.fd, buf, sizeof(buf));
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        pipe_ended(c);
        return;
    }
    if (c->pipe_left >= 0) {
        n = MIN(n, c->pipe_left);
        c->pipe_left -= n;
        uconn_send_more(c->conn, buf, (size_t)n);
    }
    else {
        int k = snprintf(size, sizeof(size), "%zx\r\n", (size_t)n);
        uconn_send_more(c->conn, size, (size_t)k);
        uconn_send_more(c->conn, buf, (size_t)n);
        uconn_send_more(c->conn, "\r\n", 2);
    }
    if (c->pipe_left == 0) {
        close_pipe(c);
    }
    else if (uconn_backlog(c->conn) > BACKLOG_BYTES) {
        evl_mod(c->pool->loop, &c->pipe, 0);
    }
}

static void
send_now(Call *c)
{
    gsize n = 0;
    const void *body = c->body == NULL ? "" : g_bytes_get_data(c->body, &n);

    if (!c->o.may_send(c->o.ctx)) {
        end_with(c, CALL_NOT_SENT, "the send was not allowed any more");
        return;
    }
    c->sent = true;
    GString *head = head_of(c);
    uconn_send(c->conn, head->str, head->len, body, n,
               strcmp(c->method, "HEAD") == 0);
    g_string_free(head, TRUE);
    if (c->pipe_open) {
        evl_mod(c->pool->loop, &c->pipe, EPOLLIN);
    }
}

static void
on_conn(void *ctx, UconnEvent ev, int64_t now_us)
{
    Call *c = ctx;
    (void)now_us;

    switch (ev) {
    case UCONN_CONNECTED:
        send_now(c);
        break;
    case UCONN_BODY:
        if (uconn_response(c->conn)->body->len > ANSWER_BYTES) {
            uconn_pause(c->conn, true);
        }
        kick(c);
        break;
    case UCONN_DONE:
        end_with(c, CALL_DONE, "");
        break;
    case UCONN_CONNECT_FAILED:
        end_with(c, CALL_NOT_SENT, "not connected");
        break;
    case UCONN_LOST:
        end_with(c, c->sent ? CALL_CLOSED : CALL_NOT_SENT,
                 "the connection was closed");
        break;
    case UCONN_INVALID:
        end_with(c, c->sent ? CALL_CLOSED : CALL_NOT_SENT,
                 uconn_error(c->conn));
        break;
    case UCONN_SENDING:
    case UCONN_FLUSHED:
        if (c->pipe_open) {
            evl_mod(c->pool->loop, &c->pipe, EPOLLIN);
        }
        break;
    }
}

static void
connect_now(Call *c)
{
    c->conn = uconn_open(c->pool->conns, c->host->u, c->o.once, on_conn, c);
    if (c->conn == NULL) {
        end_with(c, CALL_NOT_SENT, "no socket");
    }
    else if (uconn_connected(c->conn)) {
        send_now(c);
    }
}

static bool
has_room(const UpHost *h, bool once)
{
    return h->u->n_conns < h->connections ||
           (!once && h->u->idle_conns.length > 0);
}

static void
serve_waiting(UpHost *h)
{
    while (h->waiting.head != NULL) {
        Call *c = h->waiting.head->data;
        if (!has_room(h, c->o.once)) {
            if (h->u->idle_conns.length == 0) {
                return;
            }
            /* An idle connection makes room for one of its own. */
            uconns_close_idle(c->pool->conns, h->u);
        }
        g_queue_unlink(&h->waiting, &c->link);
        c->link.data = NULL;
        connect_now(c);
    }
}

static void
take_pipe(Call *c, const CallOpts *o)
{
    c->pipe_left = 0;
    if (o->body_fd < 0 || o->body != NULL) {
        return;
    }
    c->pipe = (EvlFd){.fd = o->body_fd, .fn = on_pipe, .ctx = c};
    c->pipe_left = o->body_bytes;
    c->pipe_open = true;
    g_unix_set_fd_nonblocking(o->body_fd, TRUE, NULL);
    /* Read when the head has been sent. */
    evl_add(c->pool->loop, &c->pipe, 0);
}

Call *
call_start(UpPool *p, const CallOpts *o)
{
    Call *c = g_new0(Call, 1);

    evl_update_now(p->loop);
    c->o = *o;
    c->pool = p;
    c->method = g_strdup(o->method);
    c->target = o->query == NULL ? g_strdup(o->path)
                                 : g_strconcat(o->path, "?", o->query, NULL);
    c->content_type = g_strdup(o->content_type);
    c->address = g_strdup(o->address);
    c->body = o->body == NULL ? NULL : g_bytes_ref(o->body);
    c->kick = (EvlTimer){.fn = on_kick, .ctx = c};
    take_pipe(c, o);
    c->host = host_of(p, o->address, o->connections);
    if (c->host == NULL) {
        end_with(c, CALL_NOT_SENT, "the address cannot be read");
        return c;
    }
    c->link.data = c;
    g_queue_push_tail_link(&c->host->waiting, &c->link);
    kick(c);
    return c;
}

void
call_more(Call *c)
{
    if (!c->done) {
        evl_update_now(c->pool->loop);
        c->wanted = true;
        kick(c);
    }
}

void
call_cancel(Call *c)
{
    if (!c->done) {
        evl_update_now(c->pool->loop);
        dispose(c);
    }
}

bool
call_sent(const Call *c)
{
    return c->sent;
}
