/* strm - buffered TCP connection on an event loop.  See strm.h. */
#include "strm.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stddef.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "limits.h"

#define READ_BYTES 16384
#define KEPT_BYTES 16384 /* of an output buffer that is used again */
/* The kernel is asked again for the end of a connection after an iteration of
 * the loop has taken this time. */
#define LONG_ITERATION_US 20000
/* When the backlog is full, the kernel drops the SYN of a new connection. */
#define LISTEN_BACKLOG 1024

static void
update_events(Strm *s)
{
    uint32_t events = s->deliver_all && s->paused ? 0 : EPOLLRDHUP;

    if (s->connecting || s->out->len > 0) {
        events |= EPOLLOUT;
    }
    if (!s->paused && !s->eof) {
        events |= EPOLLIN;
    }
    if (s->eof) {
        events &= ~(uint32_t)EPOLLRDHUP;
    }
    if (s->paused && s->hung_up) {
        /* EPOLLHUP and EPOLLERR cannot be masked; this reports them once. */
        events = EPOLLONESHOT;
    }
    if (events != s->events) {
        s->events = events;
        evl_mod(s->loop, &s->ev, events);
    }
}

/* Empties "out".  GLib keeps the memory of an array that is only shortened. */
static void
empty_output(Strm *s)
{
    if (s->out_peak > KEPT_BYTES) {
        g_byte_array_unref(s->out);
        s->out = g_byte_array_new();
        s->out_peak = 0;
    }
    else {
        g_byte_array_set_size(s->out, 0);
    }
}

/* Handles a failed send().  It consumes the error of the socket, so that
 * recv() then reports a reset as a regular end. */
static void
on_write_error(Strm *s)
{
    if (errno == EAGAIN || errno == EINTR) {
        return;
    }
    if (!s->deliver_all) {
        s->fn(s->ctx, STRM_FAILED);
        return;
    }
    s->write_failed = true;
    empty_output(s);
    /* Makes the socket report an end after any error. */
    shutdown(s->ev.fd, SHUT_RDWR);
    update_events(s);
}

static void
on_writable(Strm *s)
{
    if (s->connecting) {
        int err = 0;
        socklen_t n = sizeof(err);
        getsockopt(s->ev.fd, SOL_SOCKET, SO_ERROR, &err, &n);
        if (err != 0) {
            s->fn(s->ctx, STRM_FAILED);
            return;
        }
        s->connecting = false;
        update_events(s);
        s->fn(s->ctx, STRM_CONNECTED);
        return;
    }
    if (s->out->len == 0) {
        update_events(s);
        return;
    }
    ssize_t n = send(s->ev.fd, s->out->data, s->out->len, MSG_NOSIGNAL);
    if (n < 0) {
        on_write_error(s);
        return;
    }
    if ((guint)n == s->out->len) {
        empty_output(s);
        update_events(s);
        s->fn(s->ctx, STRM_FLUSHED);
    }
    else {
        g_byte_array_remove_range(s->out, 0, (guint)n);
    }
}

static void
on_readable(Strm *s)
{
    uint8_t buf[READ_BYTES];
    ssize_t n = recv(s->ev.fd, buf, sizeof(buf), 0);

    if (n < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            s->fn(s->ctx, STRM_FAILED);
        }
        return;
    }
    if (n == 0) {
        s->eof = true;
        update_events(s);
        s->fn(s->ctx, s->write_failed ? STRM_FAILED : STRM_EOF);
        return;
    }
    g_byte_array_append(s->in, buf, (guint)n);
    s->fn(s->ctx, STRM_READABLE);
}

/* Handles events while reads are suspended and the end of the connection must
 * not be reported before the bytes that precede it. */
static void
on_events_unread(Strm *s, uint32_t events)
{
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        s->hung_up = true;
        update_events(s);
    }
    else if ((events & EPOLLOUT) != 0) {
        on_writable(s);
    }
}

static void
on_events(void *ctx, uint32_t events)
{
    Strm *s = ctx;

    if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
        s->peer_closed = true;
    }
    if (s->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0) {
        on_writable(s);
        return;
    }
    if (s->deliver_all && s->paused) {
        on_events_unread(s, events);
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP)) != 0 && !s->paused &&
        !s->eof) {
        on_readable(s);
    }
    if (s->open && s->deliver_all && s->paused) {
        on_events_unread(s, events);
        return;
    }
    if (s->open && s->deliver_all && !s->eof && (events & EPOLLHUP) != 0) {
        /* recv() reports the failure behind the bytes that precede it. */
        return;
    }
    if (s->open && (events & EPOLLERR) != 0) {
        s->fn(s->ctx, STRM_FAILED);
        return;
    }
    if (s->open && (events & EPOLLHUP) != 0 && s->eof) {
        s->fn(s->ctx, STRM_FAILED);
        return;
    }
    /* While reads are suspended, these events are the only indication that
     * the peer has disconnected. */
    if (s->open && s->paused && (events & (EPOLLRDHUP | EPOLLHUP)) != 0) {
        s->eof = true;
        update_events(s);
        s->fn(s->ctx, STRM_EOF);
    }
    if (s->open && (events & EPOLLOUT) != 0) {
        on_writable(s);
    }
}

static void
setup(Strm *s, Evl *l, int fd, StrmFn fn, void *ctx)
{
    int one = 1;

    memset(s, 0, sizeof(*s));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    s->loop = l;
    s->fn = fn;
    s->ctx = ctx;
    s->in = g_byte_array_new();
    s->out = g_byte_array_new();
    s->open = true;
    s->ev = (EvlFd){.fd = fd, .fn = on_events, .ctx = s};
}

void
strm_accept(Strm *s, Evl *l, int fd, StrmFn fn, void *ctx)
{
    setup(s, l, fd, fn, ctx);
    s->events = EPOLLIN | EPOLLRDHUP;
    evl_add(l, &s->ev, s->events);
}

bool
strm_connect(Strm *s, Evl *l, const struct sockaddr *to, int unacked_ms,
             StrmFn fn, void *ctx)
{
    socklen_t n = to->sa_family == AF_INET6 ? sizeof(struct sockaddr_in6)
                                            : sizeof(struct sockaddr_in);
    int fd =
        socket(to->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return false;
    }
    if (unacked_ms > 0) {
        unsigned ms = (unsigned)unacked_ms;
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    }
    if (connect(fd, to, n) != 0 && errno != EINPROGRESS) {
        close(fd);
        return false;
    }
    setup(s, l, fd, fn, ctx);
    s->connecting = true;
    s->events = EPOLLOUT | EPOLLRDHUP;
    evl_add(l, &s->ev, s->events);
    return true;
}

void
strm_write(Strm *s, const void *p, size_t n)
{
    size_t sent = 0;

    if (!s->open || s->write_failed) {
        return;
    }
    if (!s->connecting && s->out->len == 0) {
        ssize_t k = send(s->ev.fd, p, n, MSG_NOSIGNAL);
        /* An error of the socket is reported by its next event. */
        sent = k > 0 ? (size_t)k : 0;
        if (k < 0 && s->deliver_all) {
            on_write_error(s);
        }
    }
    if (sent < n && !s->write_failed) {
        g_byte_array_append(s->out, (const guint8 *)p + sent,
                            (guint)(n - sent));
        s->out_peak = MAX(s->out_peak, s->out->len);
        update_events(s);
    }
}

void
strm_drop_output(Strm *s)
{
    if (s->open) {
        empty_output(s);
        update_events(s);
    }
}

void
strm_read_now(Strm *s)
{
    if (s->open && !s->connecting && !s->paused && !s->eof) {
        on_readable(s);
    }
}

void
strm_discard_input(Strm *s)
{
    uint8_t buf[READ_BYTES];

    while (s->open && recv(s->ev.fd, buf, sizeof(buf), 0) > 0) {
    }
}

void
strm_pause(Strm *s, bool paused)
{
    if (s->open && s->paused != paused) {
        s->paused = paused;
        update_events(s);
    }
}

void
strm_end_output(Strm *s)
{
    if (s->open) {
        shutdown(s->ev.fd, SHUT_WR);
    }
}

void
strm_close(Strm *s)
{
    if (!s->open) {
        return;
    }
    s->open = false;
    evl_del(s->loop, &s->ev);
    close(s->ev.fd);
    g_byte_array_unref(s->in);
    g_byte_array_unref(s->out);
    s->in = NULL;
    s->out = NULL;
}

void
strm_reset_at_close(Strm *s)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    if (s->open) {
        setsockopt(s->ev.fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }
}

void
strm_abort(Strm *s)
{
    strm_reset_at_close(s);
    strm_close(s);
}

static size_t
kernel_bytes(const Strm *s, unsigned long query)
{
    int n = 0;

    return s->open && ioctl(s->ev.fd, query, &n) == 0 && n > 0 ? (size_t)n : 0;
}

size_t
strm_unread(const Strm *s)
{
    return kernel_bytes(s, SIOCINQ);
}

size_t
strm_unacked(const Strm *s)
{
    return kernel_bytes(s, SIOCOUTQ);
}

int
strm_listen(const struct sockaddr_in *at, Err *e)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        if (bind(fd, (const struct sockaddr *)at, sizeof(*at)) == 0 &&
            listen(fd, LISTEN_BACKLOG) == 0) {
            return fd;
        }
    }
    err_set(e, ERR_IO,
            "cannot listen on port %d: %s; free the port or change it in the "
            "settings",
            ntohs(at->sin_port), strerror(errno));
    if (fd >= 0) {
        close(fd);
    }
    return -1;
}

void
strm_listen_end(int fd)
{
    /* Drops segments with SYN and without ACK.  The last segment of a
     * handshake that is under way has to arrive: its sender takes the
     * connection for established. */
    struct sock_filter code[] = {
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, offsetof(struct tcphdr, th_flags)),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TH_SYN | TH_ACK),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TH_SYN, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
    };
    struct sock_fprog filter = {.len = G_N_ELEMENTS(code), .filter = code};

    /* Without the filter, which some systems refuse, a connection may be reset
     * by the close. */
    setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter));
}

bool
strm_parse_addr(Str text, struct sockaddr_in *out)
{
    char buf[ADDR_BYTES];
    uint64_t port;

    memset(out, 0, sizeof(*out));
    if (!str_copy(buf, sizeof(buf), text)) {
        return false;
    }
    char *colon = strrchr(buf, ':');
    if (colon == NULL || !str_u64(str_of(colon + 1), 65535, &port) ||
        port == 0) {
        return false;
    }
    *colon = '\0';
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return inet_pton(AF_INET, buf, &out->sin_addr) == 1;
}

bool
strm_parse_addr_any(Str text, struct sockaddr_storage *out)
{
    struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;
    char buf[ADDR_BYTES];
    uint64_t port;

    memset(out, 0, sizeof(*out));
    if (text.n == 0 || text.p[0] != '[') {
        return strm_parse_addr(text, (struct sockaddr_in *)out);
    }
    if (!str_copy(buf, sizeof(buf), text)) {
        return false;
    }
    char *end = strstr(buf, "]:");
    if (end == NULL || !str_u64(str_of(end + 2), 65535, &port) || port == 0) {
        return false;
    }
    *end = '\0';
    in6->sin6_family = AF_INET6;
    in6->sin6_port = htons((uint16_t)port);
    return inet_pton(AF_INET6, buf + 1, &in6->sin6_addr) == 1;
}

StrmPending
strm_pending(const Strm *s)
{
    char byte;
    ssize_t n = recv(s->ev.fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);

    if (n >= 0) {
        return STRM_PENDING_INPUT;
    }
    return errno == EAGAIN || errno == EINTR ? STRM_PENDING_NONE
                                             : STRM_PENDING_FAILURE;
}

bool
strm_peer_closed(const Strm *s)
{
    struct pollfd p = {.fd = s->ev.fd, .events = POLLRDHUP};

    if (s->peer_closed || evl_elapsed(s->loop) <= LONG_ITERATION_US) {
        return s->peer_closed;
    }
    return poll(&p, 1, 0) > 0;
}

void
strm_deliver_all(Strm *s)
{
    s->deliver_all = true;
}
