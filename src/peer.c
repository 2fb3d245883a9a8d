/* peer - heartbeats between entry VMs.  See peer.h. */
#include "peer.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossipfrag.h"
#include "gossipsend.h"

#define MAGIC 0x6d696d33U     /* "mim3": format version 3 */
#define DATAGRAMS_PER_TURN 64 /* read before other events are handled */
#define SLOT_SCALE 1000.0     /* slots are sent in thousandths */
#define FLAG_LEAVING 1U
#define FLAG_WANTS_ECHO 2U
/* The number of the history is at the end.  VMs of earlier programs neither
 * send nor read it. */
#define FLAG_HISTORY 4U

struct Peer {
    Evl *loop;
    EvlFd ev;
    PeerFns fns;
    void *ctx;
    bool unread;      /* the last turn left datagrams in the socket */
    int64_t since_us; /* those read now arrived after it, see evl_since() */
    GossipFrag *fragments;
    Pacer *pacer;
    EvlTimer pace; /* while the pacer is not empty */
    int64_t unreadable;
    int64_t unsent;
};

static bool_t
xdr_demand(XDR *x, PeerDemand *n)
{
    u_quad_t id = n->service;
    u_int milli = (u_int)(n->slots * SLOT_SCALE);

    if (!xdr_u_int64_t(x, &id) || !xdr_u_int(x, &milli)) {
        return FALSE;
    }
    n->service = id;
    n->slots = milli / SLOT_SCALE;
    return TRUE;
}

static bool_t
xdr_object(XDR *x, PeerObject *o, int n_demands)
{
    u_quad_t id = o->object;
    u_int milli = (u_int)(o->weight * SLOT_SCALE);
    int demand = o->demand_index;

    if (!xdr_int(x, &demand) || demand < 0 || demand >= n_demands ||
        !xdr_u_int64_t(x, &id) || !xdr_u_int(x, &milli)) {
        return FALSE;
    }
    *o = (PeerObject){demand, id, milli / SLOT_SCALE};
    return TRUE;
}

#define OBSERVED_COUNT_MAX 0xffff

/* Packs the counts of successful and lost attempts into one word. */
static bool_t
xdr_observed(XDR *x, UpsObservation *s)
{
    u_quad_t key = s->key;
    u_int packed = (u_int)MIN(s->ok, OBSERVED_COUNT_MAX) << 16 |
                   (u_int)MIN(s->lost, OBSERVED_COUNT_MAX);

    if (!xdr_u_int64_t(x, &key) || !xdr_u_int(x, &packed)) {
        return FALSE;
    }
    *s = (UpsObservation){
        .key = key, .ok = (int)(packed >> 16), .lost = (int)(packed & 0xffff)};
    return TRUE;
}

static bool_t
xdr_lists(XDR *x, PeerHeartbeat *b)
{
    if (!xdr_int(x, &b->n_demands) || b->n_demands < 0 ||
        b->n_demands > PEER_SERVICES_MAX) {
        return FALSE;
    }
    for (int i = 0; i < b->n_demands; i++) {
        if (!xdr_demand(x, &b->demands[i])) {
            return FALSE;
        }
    }
    if (!xdr_int(x, &b->n_objects) || b->n_objects < 0 ||
        b->n_objects > PEER_OBJECTS_MAX) {
        return FALSE;
    }
    for (int i = 0; i < b->n_objects; i++) {
        if (!xdr_object(x, &b->objects[i], b->n_demands)) {
            return FALSE;
        }
    }
    if (!xdr_int(x, &b->n_observed) || b->n_observed < 0 ||
        b->n_observed > PEER_OBSERVED_MAX) {
        return FALSE;
    }
    for (int i = 0; i < b->n_observed; i++) {
        if (!xdr_observed(x, &b->observations[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

static bool_t
xdr_heartbeat(XDR *x, void *obj)
{
    PeerHeartbeat *b = obj;
    u_int magic = MAGIC;
    char *name = b->vm;
    u_quad_t boot = b->boot_ms;
    u_quad_t config_rev = b->config_rev;
    u_quad_t config_version = b->config_version;
    u_int flags = (b->leaving ? FLAG_LEAVING : 0) |
                  (b->wants_echo ? FLAG_WANTS_ECHO : 0) |
                  (b->history != 0 ? FLAG_HISTORY : 0);
    u_quad_t history = b->history;
    int64_t times[] = {b->sent_us, b->echo_us, b->echo_delay_us};

    if (!xdr_u_int(x, &magic) || magic != MAGIC ||
        !xdr_string(x, &name, NAME_BYTES - 1) || !xdr_u_int64_t(x, &boot) ||
        !xdr_u_int(x, &flags) || !xdr_int64_t(x, &times[0]) ||
        !xdr_int64_t(x, &times[1]) || !xdr_int64_t(x, &times[2]) ||
        !xdr_u_int64_t(x, &config_rev) || !xdr_u_int64_t(x, &config_version)) {
        return FALSE;
    }
    b->boot_ms = boot;
    b->config_rev = config_rev;
    b->config_version = config_version;
    b->leaving = (flags & FLAG_LEAVING) != 0;
    b->wants_echo = (flags & FLAG_WANTS_ECHO) != 0;
    b->sent_us = times[0];
    b->echo_us = times[1];
    b->echo_delay_us = times[2];
    if (!xdr_lists(x, b) ||
        ((flags & FLAG_HISTORY) != 0 && !xdr_u_int64_t(x, &history))) {
        return FALSE;
    }
    b->history = history;
    return TRUE;
}

size_t
peer_encode(const PeerHeartbeat *b, char *out, size_t cap)
{
    PeerHeartbeat copy = *b;

    return dgram_encode(xdr_heartbeat, &copy, out, cap);
}

bool
peer_decode(PeerHeartbeat *b, const char *p, size_t n, Err *e)
{
    memset(b, 0, sizeof(*b));
    return dgram_decode(xdr_heartbeat, b, p, n) ||
           err_set(e, ERR_PROTOCOL,
                   "heartbeat of %zu bytes cut short, too long or of another "
                   "format",
                   n);
}

static void
deliver_gossip(Peer *p, Gossip *w)
{
    w->age_us += evl_since(p->loop) - p->since_us;
    p->fns.gossip(p->ctx, w, evl_now(p->loop));
    kv_page_clear(&w->page);
}

static bool
handle_datagram(Peer *p, const char *buf, size_t n)
{
    PeerHeartbeat b;
    Gossip w;

    if (gossipfrag_is(buf, n)) {
        GossipSender from;
        if (!gossipfrag_sender(buf, n, &from)) {
            return false;
        }
        if (!p->fns.accepts(p->ctx, &from, evl_now(p->loop))) {
            return true;
        }
        GossipFragResult use =
            gossipfrag_add(p->fragments, buf, n, p->since_us, &w);
        if (use == GOSSIPFRAG_COMPLETE) {
            deliver_gossip(p, &w);
        }
        return use != GOSSIPFRAG_BAD;
    }
    if (gossip_is(buf, n)) {
        if (!gossip_decode(&w, buf, n, NULL)) {
            return false;
        }
        if (p->fns.accepts(p->ctx, &w.sender, evl_now(p->loop))) {
            deliver_gossip(p, &w);
        }
        else {
            kv_page_clear(&w.page);
        }
        return true;
    }
    if (crashmsg_is(buf, n)) {
        CrashMsg m;
        if (!crashmsg_decode(&m, buf, n, NULL)) {
            return false;
        }
        p->fns.crashes(p->ctx, &m, evl_now(p->loop));
        return true;
    }
    if (!peer_decode(&b, buf, n, NULL)) {
        return false;
    }
    p->fns.heartbeat(p->ctx, &b, evl_now(p->loop));
    return true;
}

static void
on_datagram(void *ctx, uint32_t events)
{
    Peer *p = ctx;
    char buf[MAX(DGRAM_BYTES_MAX, GOSSIP_BYTES_MAX)];
    (void)events;

    if (!p->unread) {
        p->since_us = evl_since(p->loop);
    }
    p->unread = true;
    for (int i = 0; i < DATAGRAMS_PER_TURN; i++) {
        ssize_t n = recv(p->ev.fd, buf, sizeof(buf), MSG_DONTWAIT);
        if (n < 0) {
            p->unread = false;
            return;
        }
        if (!handle_datagram(p, buf, (size_t)n)) {
            p->unreadable++;
        }
    }
}

static void
send_datagram(void *ctx, const void *to, const char *data, size_t n)
{
    peer_send(ctx, to, data, n);
}

static void
on_pace(void *ctx, int64_t now_us)
{
    Peer *p = ctx;

    if (pacer_step(p->pacer, evl_boottime())) {
        evl_arm(p->loop, &p->pace, now_us + GOSSIPSEND_STEP_US);
    }
}

Peer *
peer_new(Evl *loop, const struct sockaddr_in *at, double link_mbps,
         const PeerFns *fns, void *ctx, Err *e)
{
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (const struct sockaddr *)at, sizeof(*at)) != 0) {
        err_set(e, ERR_IO,
                "heartbeats on port %d: %s; free the port or change "
                "[listen] peers",
                ntohs(at->sin_port), strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    Peer *p = g_new0(Peer, 1);
    p->loop = loop;
    p->fns = *fns;
    p->ctx = ctx;
    p->fragments = gossipfrag_new();
    p->pacer = pacer_new(link_mbps, send_datagram, p);
    p->pace = (EvlTimer){.fn = on_pace, .ctx = p};
    p->ev = (EvlFd){.fd = fd, .first = true, .fn = on_datagram, .ctx = p};
    evl_add(loop, &p->ev, EPOLLIN);
    return p;
}

void
peer_free(Peer *p)
{
    evl_del(p->loop, &p->ev);
    close(p->ev.fd);
    gossipfrag_free(p->fragments);
    evl_disarm(p->loop, &p->pace);
    pacer_free(p->pacer);
    g_free(p);
}

void
peer_send(Peer *p, const struct sockaddr_in *to, const char *data, size_t n)
{
    /* A datagram that cannot be sent at once counts as lost. */
    if (sendto(p->ev.fd, data, n, MSG_DONTWAIT | MSG_NOSIGNAL,
               (const struct sockaddr *)to, sizeof(*to)) < 0) {
        p->unsent++;
    }
}

void
peer_send_paced(Peer *p, const struct sockaddr_in *to, GBytes *datagram,
                int64_t since_us)
{
    if (!pacer_add(p->pacer, to, sizeof(*to), datagram, since_us)) {
        p->unsent++;
    }
    else if (p->pace.heap_index == 0) {
        evl_arm(p->loop, &p->pace, evl_now(p->loop));
    }
}

bool
peer_is_pacing(const Peer *p)
{
    return !pacer_is_empty(p->pacer);
}

int64_t
peer_unsent(const Peer *p)
{
    return p->unsent;
}

int64_t
peer_incomplete(const Peer *p)
{
    return gossipfrag_incomplete(p->fragments);
}

int64_t
peer_unreadable(const Peer *p)
{
    return p->unreadable;
}
