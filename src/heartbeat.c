/* heartbeat - sends and applies heartbeats.  See heartbeat.h. */
#include "heartbeat.h"

#include <inttypes.h>
#include <string.h>

#include "hash.h"
#include "gossipsend.h"

#define FANOUT_NEAR 4 /* VMs of the own region per heartbeat */
#define FANOUT_FAR 2  /* VMs of other regions per heartbeat */
/* Up to this number of VMs, gossip goes to the whole region.  In a larger
 * region it stays within the zone, as traffic between zones is priced and
 * would grow with the square of the number of VMs. */
#define GOSSIP_REGION_VMS 8

#define ECHO_ASK_US 1000000 /* between requests for an echo */
/* Age of gossip from a VM of whose clock nothing is known. */
#define AGE_UNKNOWN_US INT64_C(3600000000)
#define IGNORED_LOG_US 1000000 /* between lines about ignored gossip */

struct Heartbeats {
    HeartbeatsOpts o;
    int64_t gossip_sent;    /* gossip datagrams sent */
    uint64_t messages;      /* gossip messages sent */
    int64_t ignored;        /* gossip datagrams of other senders */
    int64_t ignored_log_us; /* last line about them; 0: none */
    bool leaving;
    uint64_t history;
    uint64_t config_rev;
    uint64_t config_version;
    /* Verdicts on requests that crash upstreams, sent beside heartbeats. */
    char verdicts[DGRAM_BYTES_MAX];
    size_t verdicts_bytes;
};

Heartbeats *
heartbeat_new(const HeartbeatsOpts *o)
{
    Heartbeats *b = g_new0(Heartbeats, 1);

    b->o = *o;
    return b;
}

void
heartbeat_free(Heartbeats *b)
{
    g_free(b);
}

void
heartbeat_set_history(Heartbeats *b, uint64_t history)
{
    b->history = history;
}

void
heartbeat_set_config(Heartbeats *b, uint64_t rev, uint64_t version)
{
    b->config_rev = rev;
    b->config_version = version;
}

int64_t
heartbeat_gossip_sent(const Heartbeats *b)
{
    return b->gossip_sent;
}

static bool
is_self(const Heartbeats *b, const Vm *v)
{
    return strcmp(v->id, b->o.vm_id) == 0;
}

static void
add_demand(void *ctx, const DemandService *s)
{
    PeerHeartbeat *p = ctx;

    if (p->n_demands < PEER_SERVICES_MAX) {
        p->demands[p->n_demands++] = (PeerDemand){s->id, demand_own(s)};
    }
}

static void
add_objects(const Heartbeats *b, PeerHeartbeat *p)
{
    PlanUpdate list[PEER_OBJECTS_MAX];
    int n = plan_updates(b->o.plan, list, PEER_OBJECTS_MAX);

    for (int i = 0; i < n; i++) {
        for (int k = 0; k < p->n_demands; k++) {
            if (p->demands[k].service == list[i].service) {
                p->objects[p->n_objects++] =
                    (PeerObject){k, list[i].object, list[i].weight};
            }
        }
    }
}

static size_t
encode_verdicts(Heartbeats *b, int64_t now_us)
{
    CrashMsg m;

    return crash_gossip(b->o.crashes, &m, now_us)
               ? crashmsg_encode(&m, b->verdicts, sizeof(b->verdicts))
               : 0;
}

static void
send_one(const Heartbeats *b, PeerHeartbeat *p, const Vm *v)
{
    char buf[DGRAM_BYTES_MAX];

    p->echo_us = v->heartbeat_sent_us;
    p->echo_delay_us = p->sent_us - v->heartbeat_read_us;
    size_t n = peer_encode(p, buf, sizeof(buf));
    peer_send(b->o.peer, &v->peer, buf, n);
    if (b->verdicts_bytes > 0) {
        peer_send(b->o.peer, &v->peer, b->verdicts, b->verdicts_bytes);
    }
}

/* Sends to up to fanout VMs, of the own region if near, else of the other
 * regions.  They are chosen at random if there are more. */
static void
send_some(const Heartbeats *b, PeerHeartbeat *p, bool near, int fanout)
{
    int remaining = 0; /* candidates not yet considered */

    for (int pass = 0; pass < 2; pass++) {
        for (int i = 0; i < vml_count(b->o.vms) && fanout > 0; i++) {
            const Vm *v = vml_at(b->o.vms, i);
            if ((v->region == b->o.region) != near || is_self(b, v)) {
                continue;
            }
            if (pass == 0) {
                remaining++;
                continue;
            }
            /* Selection sampling: each subset is equally likely. */
            if (g_rand_int_range(b->o.rnd, 0, remaining) < fanout) {
                send_one(b, p, v);
                fanout--;
            }
            remaining--;
        }
    }
}

/* Reports upstreams with lost attempts (attempts that got no answer) to all
 * VMs of the region at once, since each VM alone makes only a few attempts at
 * an unresponsive upstream. */
static void
send_lost(const Heartbeats *b, PeerHeartbeat *p)
{
    p->n_demands = 0;
    p->n_objects = 0;
    p->n_observed = ups_take_observations(b->o.upstreams, true,
                                          p->observations, PEER_OBSERVED_MAX);
    if (p->n_observed > 0) {
        send_some(b, p, true, vml_count(b->o.vms));
    }
}

void
heartbeat_send(Heartbeats *b, bool leaving, int64_t now_us)
{
    PeerHeartbeat p = {.boot_ms = b->o.boot_ms,
                       .leaving = leaving,
                       .history = b->history,
                       .config_rev = b->config_rev,
                       .config_version = b->config_version,
                       .sent_us = now_us};

    b->leaving = leaving;
    g_strlcpy(p.vm, b->o.vm_id, sizeof(p.vm));
    demand_each(b->o.demand, add_demand, &p);
    add_objects(b, &p);
    b->verdicts_bytes = encode_verdicts(b, now_us);
    p.n_observed = ups_take_observations(b->o.upstreams, false, p.observations,
                                         PEER_OBSERVED_MAX);
    send_some(b, &p, true, FANOUT_NEAR);
    /* Observations are not sent to other regions: that traffic is expensive,
     * and each region makes enough observations itself. */
    p.n_observed = 0;
    send_some(b, &p, false, FANOUT_FAR);
    b->verdicts_bytes = 0;
    send_lost(b, &p);
}

static void
update_vm(const Heartbeats *b, Vm *v, const PeerHeartbeat *in, int64_t now_us)
{
    int64_t rtt_us = now_us - in->echo_us - in->echo_delay_us;
    /* An echo of an earlier start may be of another clock. */
    bool has_echo = in->echo_us >= b->o.started_us && rtt_us > 0;

    if (v->leaving != in->leaving) {
        dlog_event(b->o.log, DLOG_INFO, "vm",
                   "id=%s event=heartbeat leaving=%d", v->id,
                   in->leaving ? 1 : 0);
    }
    if (v->boot_ms != in->boot_ms) {
        v->clock = (PeerClock){0};
    }
    /* now_us may be from before the arrival, if the process was paused. */
    int64_t read_us = evl_boottime();
    peerclock_check(&v->clock, in->sent_us, read_us);
    if (has_echo) {
        vml_observe_rtt(v, rtt_us);
        peerclock_observe(&v->clock, in->sent_us, in->echo_us,
                          in->echo_delay_us, now_us);
    }
    v->heartbeat_us = now_us;
    v->heartbeat_read_us = read_us;
    v->heartbeat_sent_us = in->sent_us;
    v->leaving = in->leaving;
    v->boot_ms = in->boot_ms;
}

void
heartbeat_send_crashes(Heartbeats *b, int vm, const CrashMsg *m)
{
    char buf[DGRAM_BYTES_MAX];
    size_t n = crashmsg_encode(m, buf, sizeof(buf));

    peer_send(b->o.peer, &vml_at(b->o.vms, vm)->peer, buf, n);
}

/* Sends a heartbeat to one VM, without the lists. */
static void
send_short(const Heartbeats *b, const Vm *v, bool wants_echo, int64_t now_us)
{
    PeerHeartbeat p = {.boot_ms = b->o.boot_ms,
                       .leaving = b->leaving,
                       .wants_echo = wants_echo,
                       .history = b->history,
                       .config_rev = b->config_rev,
                       .config_version = b->config_version,
                       .sent_us = now_us};

    g_strlcpy(p.vm, b->o.vm_id, sizeof(p.vm));
    send_one(b, &p, v);
}

int64_t
heartbeat_gossip_age(Heartbeats *b, const Gossip *msg, int64_t since_us,
                     int64_t now_us)
{
    Vm *v = vml_find_key(b->o.vms, msg->sender.vm);
    int64_t own_us;

    if (v == NULL) {
        return AGE_UNKNOWN_US;
    }
    if (!peerclock_own_time(&v->clock, msg->known_us, now_us, &own_us)) {
        if (v->echo_asked_us == 0 ||
            now_us - v->echo_asked_us >= ECHO_ASK_US) {
            v->echo_asked_us = now_us;
            send_short(b, v, true, now_us);
        }
        return AGE_UNKNOWN_US;
    }
    return MAX(msg->age_us, since_us - own_us);
}

bool
heartbeat_receive(Heartbeats *b, const PeerHeartbeat *in, int64_t now_us)
{
    Vm *v = vml_find(b->o.vms, str_of(in->vm));

    /* After its clock was set back, an earlier start has a later time. */
    if (v == NULL || in->boot_ms < v->boot_ms ||
        in->boot_ms == v->ended_boot_ms) {
        return false;
    }
    update_vm(b, v, in, now_us);
    if (in->wants_echo) {
        send_short(b, v, false, now_us);
    }
    for (int i = 0; i < in->n_demands; i++) {
        demand_received(b->o.demand, v->key, v->region, in->demands[i].service,
                        in->demands[i].slots, now_us);
    }
    for (int i = 0; i < in->n_observed; i++) {
        ups_receive_observation(b->o.upstreams, &in->observations[i], now_us);
    }
    for (int i = 0; i < in->n_objects; i++) {
        const PeerObject *x = &in->objects[i];
        plan_add(b->o.plan, in->demands[x->demand_index].service, x->object,
                 x->weight, now_us);
    }
    return true;
}

bool
heartbeat_accepts(Heartbeats *b, const GossipSender *from, int64_t now_us)
{
    const Vm *v = vml_find_key(b->o.vms, from->vm);

    if (v != NULL && from->boot_ms == v->boot_ms &&
        from->boot_ms == v->listed_boot_ms) {
        return true;
    }
    b->ignored++;
    if (b->ignored_log_us == 0 ||
        now_us - b->ignored_log_us >= IGNORED_LOG_US) {
        b->ignored_log_us = now_us;
        dlog_event(b->o.log, DLOG_WARN, "peer",
                   "event=gossip_ignored reason=%s from=%s hash=%016" PRIx64
                   " boot=%" PRIu64 " count=%" PRId64,
                   v == NULL ? "not_listed" : "other_start",
                   v == NULL ? "-" : v->id, from->vm, from->boot_ms,
                   b->ignored);
    }
    return false;
}

int64_t
heartbeat_gossip_ignored(const Heartbeats *b)
{
    return b->ignored;
}

static int
count_region_vms(const Heartbeats *b)
{
    int n = 0;

    for (int i = 0; i < vml_count(b->o.vms); i++) {
        n += vml_at(b->o.vms, i)->region == b->o.region ? 1 : 0;
    }
    return n;
}

static void
send_datagrams(Heartbeats *b, const Vm *v, const GossipDatagrams *d,
               bool pace_all, int64_t since_us)
{
    for (guint i = 0; i < d->urgent->len + d->paced->len; i++) {
        bool paced = pace_all || i >= d->urgent->len;
        GBytes *datagram =
            i < d->urgent->len
                ? g_ptr_array_index(d->urgent, i)
                : g_ptr_array_index(d->paced, i - d->urgent->len);
        if (paced) {
            peer_send_paced(b->o.peer, &v->peer, datagram, since_us);
        }
        else {
            gsize n;
            const char *data = g_bytes_get_data(datagram, &n);
            peer_send(b->o.peer, &v->peer, data, n);
        }
        b->gossip_sent++;
    }
}

void
heartbeat_send_gossip(Heartbeats *b, const GossipOut *changes)
{
    GossipOut o = *changes;
    uint64_t vm = hash_str(str_of(b->o.vm_id), 0);
    int64_t since_us = evl_boottime(); /* compression takes time, too */
    uint64_t id = hash_mix(b->o.boot_ms ^ o.to, ++b->messages);
    o.sender = (GossipSender){vm, b->o.boot_ms};
    o.known_us = since_us - o.age_us;
    GossipDatagrams d = gossipsend_datagrams(&o, hash_mix(id, vm));
    bool whole_region = count_region_vms(b) <= GOSSIP_REGION_VMS;
    /* A message without news must not overtake a large one, which receivers
     * would miss and ask the store for. */
    bool pace_all = o.n == 0 && peer_is_pacing(b->o.peer);

    for (int i = 0; i < vml_count(b->o.vms); i++) {
        const Vm *v = vml_at(b->o.vms, i);
        bool near =
            whole_region ? v->region == b->o.region : v->zone == b->o.zone;
        if (near && !is_self(b, v)) {
            send_datagrams(b, v, &d, pace_all, since_us);
        }
    }
    gossipsend_clear(&d);
}
