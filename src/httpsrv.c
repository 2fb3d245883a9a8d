/* httpsrv - HTTP listener.  See httpsrv.h. */
#include "httpsrv.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "lg.h"
#include "loopsrc.h"

#define CONN_DATA "mimosa-conn"
#define LISTEN_BACKLOG 1024
#define EXPIRY_CHECK_MS 500
#define EVENTS_MAX 64
/* Time for which a new connection counts as unfinished: its first request is
 * likely on its way. */
#define FIRST_REQUEST_MS 250

typedef enum ConnState {
    CONN_NEW,     /* accepted, no request yet */
    CONN_IDLE,    /* waits for the next request */
    CONN_BUSY,    /* serves a request, or was shut down */
    CONN_ANSWERED /* answer is complete, not yet read by the caller */
} ConnState;

struct HttpConn {
    HttpSrv *srv;
    GSocketConnection
        *stream; /* weak reference; its finalization frees this struct */
    GSocketAddress *remote;
    int fd;
    ConnState state;
    int64_t since_us; /* time of the last change of state */
    void *user;
    bool peer_closed; /* the caller closed its side */
    GList link;       /* element of HttpSrv.conns */
};

struct HttpSrv {
    HttpSrvOpts o;
    SoupServer *soup;
    GSocketService *service;
    GSocket *listener;
    GTlsCertificate *cert;
    GQueue conns; /* of HttpConn, by time of the last change of state */
    int dummy_fd; /* other end of the dummy listener's socket pair */
    int epoll_fd;
    GSource *closed_source;
    GSource *expiry_source;
    Ctr *accepted;
    Ctr *evicted;
    Ctr *expired;
    Ctr *refused;
};

static void
conn_set_state(HttpConn *c, ConnState state)
{
    c->state = state;
    c->since_us = g_get_monotonic_time();
    /* Keeps the queue sorted by since_us. */
    g_queue_unlink(&c->srv->conns, &c->link);
    g_queue_push_tail_link(&c->srv->conns, &c->link);
}

static void
on_stream_finalized(gpointer data, GObject *finalized)
{
    HttpConn *c = data;

    (void)finalized;
    if (c->srv != NULL) {
        g_queue_unlink(&c->srv->conns, &c->link);
    }
    g_object_set_data(G_OBJECT(c->remote), CONN_DATA, NULL);
    g_object_unref(c->remote);
    g_free(c);
}

void
http_conn_abort(HttpConn *c)
{
    g_socket_shutdown(g_socket_connection_get_socket(c->stream), TRUE, TRUE,
                      NULL);
}

/* True when the kernel holds bytes of a request that libsoup has not read.
 * While an answer is read, further bytes do not keep the connection. */
static bool
has_request_waiting(const HttpConn *c)
{
    int n = 0;

    return c->state != CONN_ANSWERED && ioctl(c->fd, FIONREAD, &n) == 0 &&
           n > 0;
}

/* Shuts down the connection that has been longest without a request in
 * progress.  Returns false when there is none. */
static bool
evict_oldest(HttpSrv *s)
{
    for (GList *l = s->conns.head; l != NULL; l = l->next) {
        HttpConn *c = l->data;
        if (c->state != CONN_BUSY && !has_request_waiting(c)) {
            ctr_add(s->evicted, 1);
            http_conn_abort(c);
            conn_set_state(c, CONN_BUSY);
            return true;
        }
    }
    return false;
}

static GIOStream *
wrap_tls(HttpSrv *s, GSocketConnection *stream)
{
    GError *ge = NULL;

    if (s->cert == NULL) {
        return g_object_ref(G_IO_STREAM(stream));
    }
    GIOStream *tls =
        g_tls_server_connection_new(G_IO_STREAM(stream), s->cert, &ge);
    if (tls == NULL) {
        lg_line(LG_WARN, "http", "TLS connection refused: %s", ge->message);
        g_error_free(ge);
    }
    return tls;
}

static HttpConn *
conn_new(HttpSrv *s, GSocketConnection *stream)
{
    GSocket *sock = g_socket_connection_get_socket(stream);
    GSocketAddress *remote = g_socket_get_remote_address(sock, NULL);

    if (remote == NULL) {
        return NULL;
    }
    HttpConn *c = g_new0(HttpConn, 1);
    c->srv = s;
    c->stream = stream;
    c->remote = remote;
    c->fd = g_socket_get_fd(sock);
    c->link.data = c;
    g_queue_push_tail_link(&s->conns, &c->link);
    conn_set_state(c, CONN_NEW);
    g_object_set_data(G_OBJECT(remote), CONN_DATA, c);
    g_object_weak_ref(G_OBJECT(stream), on_stream_finalized, c);
    g_socket_set_option(sock, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
    struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLET, .data.ptr = c};
    epoll_ctl(s->epoll_fd, EPOLL_CTL_ADD, c->fd, &ev);
    return c;
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *stream, GObject *src,
            gpointer data)
{
    HttpSrv *s = data;
    GError *ge = NULL;

    (void)service;
    (void)src;
    if ((int)s->conns.length >= s->o.connections_max && !evict_oldest(s)) {
        ctr_add(s->refused, 1);
        return TRUE;
    }
    /* Connections that were shut down stay in the queue until the server has
     * read the end of their stream. */
    if ((int)s->conns.length >= 2 * s->o.connections_max) {
        ctr_add(s->refused, 1);
        return TRUE;
    }
    HttpConn *c = conn_new(s, stream);
    GIOStream *io = c == NULL ? NULL : wrap_tls(s, stream);
    if (io == NULL) {
        return TRUE;
    }
    ctr_add(s->accepted, 1);
    GSocketAddress *local =
        g_socket_connection_get_local_address(stream, NULL);
    if (!soup_server_accept_iostream(s->soup, io, local, c->remote, &ge)) {
        lg_line(LG_WARN, "http", "connection refused: %s", ge->message);
        g_error_free(ge);
    }
    http_unref(local);
    g_object_unref(io);
    return TRUE;
}

static gboolean
on_closed_events(gint fd, GIOCondition cond, gpointer data)
{
    HttpSrv *s = data;
    struct epoll_event ev[EVENTS_MAX];
    int n = epoll_wait(fd, ev, EVENTS_MAX, 0);

    (void)cond;
    for (int i = 0; i < n; i++) {
        HttpConn *c = ev[i].data.ptr;
        /* Edge-triggered: a connection reports EPOLLRDHUP only once. */
        c->peer_closed = true;
        if (c->user != NULL && s->o.on_peer_closed != NULL) {
            s->o.on_peer_closed(s->o.ctx, c->user);
        }
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_expiry_timer(gpointer data)
{
    HttpSrv *s = data;
    int64_t now = g_get_monotonic_time();

    for (GList *l = s->conns.head, *next; l != NULL; l = next) {
        HttpConn *c = l->data;
        next = l->next;
        int64_t ms = c->state == CONN_NEW ? s->o.head_ms : s->o.idle_ms;
        if (c->state != CONN_BUSY && now - c->since_us > ms * 1000 &&
            !has_request_waiting(c)) {
            ctr_add(s->expired, 1);
            http_conn_abort(c);
            conn_set_state(c, CONN_BUSY);
        }
    }
    return G_SOURCE_CONTINUE;
}

static bool
listen_at(HttpSrv *s, GSocketAddress *at, GError **ge)
{
    s->listener =
        g_socket_new(g_socket_address_get_family(at), G_SOCKET_TYPE_STREAM,
                     G_SOCKET_PROTOCOL_TCP, ge);
    if (s->listener == NULL) {
        return false;
    }
    g_socket_set_listen_backlog(s->listener, LISTEN_BACKLOG);
    return g_socket_bind(s->listener, at, TRUE, ge) &&
           g_socket_listen(s->listener, ge) &&
           g_socket_listener_add_socket(G_SOCKET_LISTENER(s->service),
                                        s->listener, NULL, ge);
}

static bool
listen_on(HttpSrv *s, Err *e)
{
    GError *ge = NULL;
    GSocketConnectable *at = g_network_address_parse(s->o.address, 0, NULL);
    GSocketAddress *addr = NULL;

    if (at != NULL) {
        addr = g_inet_socket_address_new_from_string(
            g_network_address_get_hostname(G_NETWORK_ADDRESS(at)),
            g_network_address_get_port(G_NETWORK_ADDRESS(at)));
        g_object_unref(at);
    }
    if (addr == NULL) {
        return err_set(e, ERR_VALUE,
                       "listen address \"%s\" must be IP:PORT; correct the "
                       "settings",
                       s->o.address);
    }
    bool ok = listen_at(s, addr, &ge);
    g_object_unref(addr);
    if (!ok) {
        err_set(e, ERR_IO,
                "listen address %s: %s; free the port or change the settings",
                s->o.address, ge->message);
        g_error_free(ge);
    }
    return ok;
}

/*
 * Adds a dummy listener to the SoupServer.  The server keeps connections alive
 * only while it has a listener, but this module accepts the connections itself
 * to limit their number.  The dummy listener is one end of a socket pair on
 * which no connection arrives.
 */
static bool
add_dummy_listener(HttpSrv *s, Err *e)
{
    int fds[2] = {-1, -1};
    GError *ge = NULL;
    GSocket *sock = NULL;
    bool ok = socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, fds) == 0;

    if (ok) {
        s->dummy_fd = fds[1];
        sock = g_socket_new_from_fd(fds[0], &ge);
        ok = sock != NULL && soup_server_listen_socket(s->soup, sock, 0, &ge);
    }
    http_unref(sock);
    if (!ok) {
        err_set(e, ERR_IO, "dummy listener: %s; free file descriptors",
                ge == NULL ? g_strerror(errno) : ge->message);
        g_clear_error(&ge);
    }
    return ok;
}

static bool
load_certificate(HttpSrv *s, Err *e)
{
    GError *ge = NULL;

    if (s->o.certificate == NULL || s->o.certificate[0] == '\0') {
        return true;
    }
    s->cert =
        g_tls_certificate_new_from_files(s->o.certificate, s->o.key, &ge);
    if (s->cert == NULL) {
        err_set(e, ERR_VALUE,
                "[tls] certificate \"%s\" and key \"%s\": %s; name PEM files "
                "that belong together",
                s->o.certificate, s->o.key, ge->message);
        g_error_free(ge);
        return false;
    }
    return true;
}

static Ctr *
counter(HttpSrv *s, const char *what)
{
    char name[NAME_BYTES];

    g_snprintf(name, sizeof(name), "%s_connections_%s", s->o.prefix, what);
    return ctr_get(s->o.ctrs, name, "");
}

HttpSrv *
http_srv_new(const HttpSrvOpts *o, Err *e)
{
    HttpSrv *s = g_new0(HttpSrv, 1);

    s->o = *o;
    s->accepted = counter(s, "accepted");
    s->evicted = counter(s, "evicted");
    s->expired = counter(s, "expired");
    s->refused = counter(s, "refused");
    g_queue_init(&s->conns);
    s->soup = soup_server_new(NULL, NULL);
    s->service = g_socket_service_new();
    s->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    s->dummy_fd = -1;
    if (!load_certificate(s, e) || !add_dummy_listener(s, e) ||
        !listen_on(s, e)) {
        http_srv_free(s);
        return NULL;
    }
    g_signal_connect(s->service, "incoming", G_CALLBACK(on_incoming), s);
    s->closed_source = src_fd(s->epoll_fd, G_IO_IN, on_closed_events, s);
    s->expiry_source = src_timeout(EXPIRY_CHECK_MS, on_expiry_timer, s);
    g_socket_service_start(s->service);
    return s;
}

void
http_srv_free(HttpSrv *s)
{
    if (s == NULL) {
        return;
    }
    http_srv_stop_accepting(s);
    src_end(&s->closed_source);
    src_end(&s->expiry_source);
    soup_server_disconnect(s->soup);
    for (GList *l = s->conns.head, *next; l != NULL; l = next) {
        next = l->next;
        HttpConn *c = l->data;
        g_queue_unlink(&s->conns, l);
        c->srv = NULL;
    }
    g_object_unref(s->soup);
    http_unref(s->cert);
    close(s->epoll_fd);
    if (s->dummy_fd >= 0) {
        close(s->dummy_fd);
    }
    g_free(s);
}

SoupServer *
http_srv_soup(HttpSrv *s)
{
    return s->soup;
}

/* Accepts the connections that wait in the kernel; closing the listener would
 * reset them. */
static void
accept_waiting(HttpSrv *s)
{
    GSocket *sock;

    g_socket_set_blocking(s->listener, FALSE);
    while ((sock = g_socket_accept(s->listener, NULL, NULL)) != NULL) {
        GSocketConnection *stream =
            g_socket_connection_factory_create_connection(sock);
        on_incoming(s->service, stream, NULL, s);
        g_object_unref(stream);
        g_object_unref(sock);
    }
}

void
http_srv_stop_accepting(HttpSrv *s)
{
    if (s->service != NULL) {
        g_socket_service_stop(s->service);
        if (s->listener != NULL) {
            accept_waiting(s);
        }
        g_socket_listener_close(G_SOCKET_LISTENER(s->service));
        http_unref(s->service);
        http_unref(s->listener);
        s->service = NULL;
        s->listener = NULL;
    }
}

int
http_srv_unfinished(const HttpSrv *s)
{
    int64_t now = g_get_monotonic_time();
    int n = 0;

    for (GList *l = s->conns.head; l != NULL; l = l->next) {
        const HttpConn *c = l->data;
        int unacked = 0;
        bool is_new = c->state == CONN_NEW &&
                      now - c->since_us < FIRST_REQUEST_MS * INT64_C(1000);
        ioctl(c->fd, SIOCOUTQ, &unacked);
        n += is_new || unacked > 0 || has_request_waiting(c) ? 1 : 0;
    }
    return n;
}

int
http_srv_connections(const HttpSrv *s)
{
    return (int)s->conns.length;
}

HttpConn *
http_srv_conn(SoupServerMessage *msg)
{
    return http_conn_of(soup_server_message_get_remote_address(msg));
}

HttpConn *
http_conn_of(GSocketAddress *remote)
{
    if (remote == NULL) {
        return NULL;
    }
    return g_object_get_data(G_OBJECT(remote), CONN_DATA);
}

void
http_conn_set_user(HttpConn *c, void *user)
{
    c->user = user;
    if (c->srv != NULL) {
        conn_set_state(c, user != NULL ? CONN_BUSY : CONN_IDLE);
    }
}

bool
http_conn_peer_closed(const HttpConn *c)
{
    return c->peer_closed;
}

void
http_conn_set_answered(HttpConn *c)
{
    if (c->srv != NULL) {
        conn_set_state(c, CONN_ANSWERED);
    }
}

void
http_unref(gpointer object)
{
    if (object != NULL) {
        g_object_unref(object);
    }
}

bool
http_addr_bytes(GInetAddress *a, uint8_t out[16])
{
    static const uint8_t v4[12] = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

    if (a == NULL) {
        return false;
    }
    if (g_inet_address_get_family(a) == G_SOCKET_FAMILY_IPV4) {
        memcpy(out, v4, sizeof(v4));
        memcpy(out + sizeof(v4), g_inet_address_to_bytes(a), 4);
    }
    else {
        memcpy(out, g_inet_address_to_bytes(a), 16);
    }
    return true;
}

bool
http_addr_parse(const char *text, uint8_t out[16])
{
    GInetAddress *a = g_inet_address_new_from_string(text);
    bool ok = http_addr_bytes(a, out);

    http_unref(a);
    return ok;
}
