/*
 * standin-link - test stand-in for the network link between an entry VM and
 * the platform's store.  Forwards TCP connections in both directions.
 *
 * usage: standin-link --listen IP:PORT --to IP:PORT [--rate BYTES_PER_S]
 *                     [--delay MS] [--queue BYTES]
 *   --rate   bytes per second from the store to the VM, shared by all
 *            connections; 0, the default, for no limit
 *   --queue  size of a queue in front of the rate, which all connections
 *            share, as the buffer of a router.  What is in it when its
 *            connection is closed still uses the rate.  0, the default, for
 *            none
 *   --delay  one-way delay of each direction
 * SIGUSR1 cuts the link: connections are reset and new ones refused.  SIGHUP
 * resets them, too, and responds 429 to all further calls, as the store does
 * to a machine that it rejects.  SIGRTMIN holds the bytes to the VM, SIGRTMIN
 * + 1 those to the store, without closing any connection.  SIGUSR2 opens the
 * link again and forwards what was held.
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "evl.h"
#include "strm.h"

/* Bytes that may be on their way in one direction of a connection. */
#define BUFFER_BYTES 1048576
#define TICK_US 5000    /* interval at which delayed bytes are forwarded */
#define BURST_US 50000  /* rate that may be left unused and used later */
#define PART_BYTES 1448 /* forwarded at once, as a TCP segment */

static const char refusal[] = "HTTP/1.1 429 Status\r\nContent-Length: 2\r\n"
                              "Connection: close\r\n\r\n{}";

typedef struct Link Link;
typedef struct Conn Conn;

/* Bytes in the queue of the link. */
typedef struct Segment {
    Conn *conn; /* NULL when it was closed */
    GBytes *bytes;
} Segment;

/* Bytes that were received together. */
typedef struct Chunk {
    int64_t due_us;
    guint n_bytes;
} Chunk;

/* One direction of a connection. */
typedef struct Pipe {
    Strm *from;
    Strm *to;
    GByteArray *data;
    GQueue *chunks; /* Chunk; the times at which data may be forwarded */
    bool limited;   /* to the VM: by the rate of the link */
    guint queued;   /* bytes in the queue of the link */
    bool ended;     /* the sender has closed */
    bool end_sent;
} Pipe;

struct Conn {
    Link *link;
    Strm vm;
    Strm store;
    Pipe up;   /* VM to store */
    Pipe down; /* store to VM */
    bool closed;
    bool refused; /* calls are answered here */
};

struct Link {
    Evl *loop;
    struct sockaddr_in listen_addr;
    struct sockaddr_in to_addr;
    int64_t rate; /* bytes per second, 0: no limit */
    int64_t delay_us;
    int64_t credit_bytes; /* that may be forwarded now */
    int64_t credited_us;
    int64_t queue_max; /* bytes, 0: no queue */
    int64_t queued;    /* bytes in the queue */
    GQueue *queue;     /* Segment */
    GPtrArray *conns;  /* Conn */
    guint first;       /* connection whose turn it is */
    EvlFd listener;    /* fd -1 while the link is cut */
    bool refuses;      /* calls on new connections */
    bool holds_down;   /* bytes from the store to the VM */
    bool holds_up;     /* bytes from the VM to the store */
    EvlFd signals;
    EvlTimer tick;
};

static void
pipe_init(Pipe *p, Strm *from, Strm *to, bool limited)
{
    *p = (Pipe){.from = from, .to = to, .limited = limited};
    p->data = g_byte_array_new();
    p->chunks = g_queue_new();
}

static void
pipe_clear(Pipe *p)
{
    g_byte_array_unref(p->data);
    g_queue_free_full(p->chunks, g_free);
}

static void
conn_free(gpointer data)
{
    Conn *c = data;

    pipe_clear(&c->up);
    pipe_clear(&c->down);
    g_free(c);
}

static void
conn_end_stream(Strm *s, bool reset)
{
    if (!s->open) {
        return;
    }
    if (reset) {
        strm_abort(s);
    }
    else {
        strm_close(s);
    }
}

/* Lets the bytes of a closed connection stay in the queue. */
static void
queue_leave(Link *l, const Conn *c)
{
    for (GList *i = l->queue->head; i != NULL; i = i->next) {
        Segment *s = i->data;
        if (s->conn == c) {
            s->conn = NULL;
        }
    }
}

static void
conn_close(Conn *c, bool reset)
{
    if (c->closed) {
        return;
    }
    c->closed = true;
    queue_leave(c->link, c);
    conn_end_stream(&c->vm, reset);
    conn_end_stream(&c->store, reset);
    g_ptr_array_remove(c->link->conns, c);
    evl_defer(c->link->loop, conn_free, c);
}

/* Takes received bytes and suspends reads while the buffer is full. */
static void
pipe_receive(Link *l, Pipe *p)
{
    if (p->from->in->len > 0) {
        Chunk *k = g_new0(Chunk, 1);
        k->due_us = evl_now(l->loop) + l->delay_us;
        k->n_bytes = p->from->in->len;
        g_queue_push_tail(p->chunks, k);
        g_byte_array_append(p->data, p->from->in->data, p->from->in->len);
        g_byte_array_set_size(p->from->in, 0);
    }
    strm_pause(p->from, p->data->len >= BUFFER_BYTES);
}

static bool
pipe_is_held(const Link *l, const Pipe *p)
{
    return p->limited ? l->holds_down : l->holds_up;
}

/* Takes n bytes from the credit.  Returns false if the rate does not allow it.
 */
static bool
take_credit(Link *l, guint n)
{
    if (l->rate > 0) {
        if (l->credit_bytes < n) {
            return false;
        }
        l->credit_bytes -= n;
    }
    return true;
}

/* Forwards the first segment of the queue.  Returns false if there is none, or
 * the rate allows no more. */
static bool
queue_forward(Link *l)
{
    Segment *s = g_queue_peek_head(l->queue);

    if (s == NULL || !take_credit(l, (guint)g_bytes_get_size(s->bytes))) {
        return false;
    }
    gsize n;
    const void *data = g_bytes_get_data(s->bytes, &n);
    l->queued -= (int64_t)n;
    if (s->conn != NULL) {
        s->conn->down.queued -= (guint)n;
        strm_write(&s->conn->vm, data, n);
    }
    g_bytes_unref(s->bytes);
    g_free(g_queue_pop_head(l->queue));
    return true;
}

/* Returns false if the queue is full. */
static bool
queue_append(Link *l, Conn *c, guint n)
{
    if (l->queued + n > l->queue_max) {
        return false;
    }
    Segment *s = g_new0(Segment, 1);
    s->conn = c;
    s->bytes = g_bytes_new(c->down.data->data, n);
    g_queue_push_tail(l->queue, s);
    l->queued += n;
    c->down.queued += n;
    return true;
}

/* Forwards at most PART_BYTES that are due.  Returns false if there are none,
 * or the receiver, the queue or the rate allows no more. */
static bool
pipe_forward(Conn *c, Pipe *p, int64_t now_us)
{
    Link *l = c->link;
    Chunk *k = g_queue_peek_head(p->chunks);

    if (k == NULL || k->due_us > now_us || p->to->connecting ||
        p->to->out->len > 0 || pipe_is_held(l, p)) {
        return false;
    }
    guint n = MIN(k->n_bytes, PART_BYTES);
    bool queues = p->limited && l->queue_max > 0;
    if (queues ? !queue_append(l, c, n) : p->limited && !take_credit(l, n)) {
        return false;
    }
    if (!queues) {
        strm_write(p->to, p->data->data, n);
    }
    g_byte_array_remove_range(p->data, 0, n);
    k->n_bytes -= n;
    if (k->n_bytes == 0) {
        g_free(g_queue_pop_head(p->chunks));
    }
    return true;
}

/* Ends the direction after its last byte. */
static void
pipe_finish(const Link *l, Pipe *p)
{
    if (!pipe_is_held(l, p) && p->ended && !p->end_sent && p->data->len == 0 &&
        p->queued == 0 && !p->to->connecting && p->to->out->len == 0) {
        p->end_sent = true;
        strm_end_output(p->to);
    }
}

static void
add_credit(Link *l, int64_t now_us)
{
    int64_t us = MIN(now_us - l->credited_us, BURST_US);
    int64_t most = MAX(l->rate * BURST_US / 1000000, 2 * PART_BYTES);

    l->credited_us = now_us;
    l->credit_bytes = MIN(l->credit_bytes + l->rate * us / 1000000, most);
}

static void
on_tick(void *ctx, int64_t now_us)
{
    Link *l = ctx;
    bool more = true;

    add_credit(l, now_us);
    while (l->conns->len == 0 && queue_forward(l)) {
    }
    while (more && l->conns->len > 0) {
        more = queue_forward(l);
        guint n = l->conns->len;
        l->first = (l->first + 1) % n;
        for (guint i = 0; i < n; i++) {
            Conn *c = g_ptr_array_index(l->conns, (l->first + i) % n);
            more = pipe_forward(c, &c->up, now_us) || more;
            more = pipe_forward(c, &c->down, now_us) || more;
        }
    }
    for (guint i = l->conns->len; i-- > 0;) {
        Conn *c = g_ptr_array_index(l->conns, i);
        if (c->refused) {
            continue;
        }
        pipe_receive(l, &c->up);
        pipe_receive(l, &c->down);
        pipe_finish(l, &c->up);
        pipe_finish(l, &c->down);
        if (c->up.end_sent && c->down.end_sent) {
            conn_close(c, false);
        }
    }
    evl_arm(l->loop, &l->tick, now_us + TICK_US);
}

static void
on_event(Conn *c, Pipe *incoming, StrmEvent ev)
{
    switch (ev) {
    case STRM_READABLE:
        pipe_receive(c->link, incoming);
        break;
    case STRM_EOF:
        pipe_receive(c->link, incoming);
        incoming->ended = true;
        break;
    case STRM_FAILED:
        conn_close(c, true);
        break;
    case STRM_CONNECTED:
    case STRM_FLUSHED:
        break;
    }
}

/* Responds to the first bytes, which are a whole head of a request, and reads
 * and drops the rest. */
static void
refuse_call(Conn *c, StrmEvent ev)
{
    if (ev == STRM_FAILED || ev == STRM_EOF) {
        conn_close(c, false);
    }
    else if (ev == STRM_READABLE) {
        g_byte_array_set_size(c->vm.in, 0);
        if (!c->down.end_sent) {
            strm_write(&c->vm, refusal, strlen(refusal));
            strm_end_output(&c->vm);
            c->down.end_sent = true;
        }
    }
}

static void
on_vm(void *ctx, StrmEvent ev)
{
    Conn *c = ctx;

    if (c->refused) {
        refuse_call(c, ev);
        return;
    }
    on_event(c, &c->up, ev);
}

static void
on_store(void *ctx, StrmEvent ev)
{
    Conn *c = ctx;

    on_event(c, &c->down, ev);
}

static void
on_connection(void *ctx, uint32_t events)
{
    Link *l = ctx;
    int fd = accept4(l->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

    (void)events;
    if (fd < 0) {
        return;
    }
    Conn *c = g_new0(Conn, 1);
    c->link = l;
    c->refused = l->refuses;
    strm_accept(&c->vm, l->loop, fd, on_vm, c);
    pipe_init(&c->up, &c->vm, &c->store, false);
    pipe_init(&c->down, &c->store, &c->vm, true);
    g_ptr_array_add(l->conns, c);
    if (c->refused) {
        return;
    }
    if (!strm_connect(&c->store, l->loop, (const struct sockaddr *)&l->to_addr,
                      0, on_store, c)) {
        conn_close(c, true);
        return;
    }
    strm_deliver_all(&c->vm);
    strm_deliver_all(&c->store);
}

/* Returns false if it cannot listen. */
static bool
link_open(Link *l)
{
    Err e = {0};

    if (l->listener.fd >= 0) {
        return true;
    }
    l->listener.fd = strm_listen(&l->listen_addr, &e);
    if (l->listener.fd < 0) {
        fprintf(stderr, "standin-link: %s\n", e.text);
        return false;
    }
    evl_add(l->loop, &l->listener, EPOLLIN);
    return true;
}

static void
reset_connections(Link *l)
{
    while (l->conns->len > 0) {
        conn_close(g_ptr_array_index(l->conns, 0), true);
    }
}

static void
link_cut(Link *l)
{
    if (l->listener.fd >= 0) {
        evl_del(l->loop, &l->listener);
        close(l->listener.fd);
        l->listener.fd = -1;
    }
    reset_connections(l);
    while (!g_queue_is_empty(l->queue)) {
        Segment *s = g_queue_pop_head(l->queue);
        g_bytes_unref(s->bytes);
        g_free(s);
    }
    l->queued = 0;
}

static void
on_signal(void *ctx, uint32_t events)
{
    Link *l = ctx;
    struct signalfd_siginfo info;

    (void)events;
    if (read(l->signals.fd, &info, sizeof(info)) != sizeof(info)) {
        return;
    }
    int signo = (int)info.ssi_signo;
    l->refuses = signo == SIGHUP;
    l->holds_down = signo == SIGRTMIN;
    l->holds_up = signo == SIGRTMIN + 1;
    if (signo == SIGUSR1) {
        link_cut(l);
        return;
    }
    if (l->refuses) {
        reset_connections(l);
    }
    if (!link_open(l)) {
        evl_stop(l->loop);
    }
}

static void
watch_signals(Link *l)
{
    sigset_t set;

    signal(SIGPIPE, SIG_IGN);
    sigemptyset(&set);
    sigaddset(&set, SIGUSR1);
    sigaddset(&set, SIGUSR2);
    sigaddset(&set, SIGHUP);
    sigaddset(&set, SIGRTMIN);
    sigaddset(&set, SIGRTMIN + 1);
    sigprocmask(SIG_BLOCK, &set, NULL);
    l->signals = (EvlFd){.fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC),
                         .fn = on_signal,
                         .ctx = l};
    evl_add(l->loop, &l->signals, EPOLLIN);
}

static bool
parse_number(const char *text, int64_t *out)
{
    gint64 v = 0;
    bool ok = g_ascii_string_to_signed(text, 10, 0, G_MAXINT32, &v, NULL);

    *out = v;
    return ok;
}

int
main(int argc, char **argv)
{
    static const struct option opts[] = {
        {"listen", required_argument, NULL, 'l'},
        {"to", required_argument, NULL, 't'},
        {"rate", required_argument, NULL, 'r'},
        {"delay", required_argument, NULL, 'd'},
        {"queue", required_argument, NULL, 'q'},
        {NULL, 0, NULL, 0},
    };
    Link l = {.conns = g_ptr_array_new(), .queue = g_queue_new()};
    int64_t delay_ms = 0;
    bool ok = true;
    int c;

    while ((c = getopt_long(argc, argv, "", opts, NULL)) != -1) {
        ok = ok &&
             ((c == 'l' && strm_parse_addr(str_of(optarg), &l.listen_addr)) ||
              (c == 't' && strm_parse_addr(str_of(optarg), &l.to_addr)) ||
              (c == 'r' && parse_number(optarg, &l.rate)) ||
              (c == 'd' && parse_number(optarg, &delay_ms)) ||
              (c == 'q' && parse_number(optarg, &l.queue_max)));
    }
    if (!ok || l.listen_addr.sin_port == 0 || l.to_addr.sin_port == 0) {
        fputs("usage: standin-link --listen IP:PORT --to IP:PORT "
              "[--rate BYTES_PER_S] [--delay MS] [--queue BYTES]\n",
              stderr);
        return 2;
    }
    l.delay_us = delay_ms * 1000;
    l.loop = evl_new();
    l.listener = (EvlFd){.fd = -1, .fn = on_connection, .ctx = &l};
    l.tick = (EvlTimer){.fn = on_tick, .ctx = &l};
    l.credited_us = evl_now(l.loop);
    watch_signals(&l);
    if (!link_open(&l)) {
        return 1;
    }
    evl_arm(l.loop, &l.tick, evl_now(l.loop) + TICK_US);
    evl_run(l.loop);
    return 1;
}
