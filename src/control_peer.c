/* control_peer - heartbeats, rosters and configuration between controls. */
#include "control.h"

#include <string.h>

#include "ctlmsg.h"
#include "lg.h"

#define PART "peer"
#define US_PER_MS 1000
#define TICK_SLACK_US (CONTROL_TICK_MS * US_PER_MS / 2)
#define ADD_EVERY_MS 500
/* In a large zone the relay is asked this often: a promise is up to three
 * periods old when it is used, and must stay within the lapse time. */
#define RELAY_BEAT_MS 200

/* What is known of the other end of a client. */
typedef struct Peer {
    Control *c;
    char address[ADDR_BYTES];
    char id[NAME_BYTES];
    RpcClient *rpc;
    bool waiting;         /* a heartbeat is under way */
    int refusals;         /* in a row */
    bool knows_us;        /* needs no description of this VM */
    uint64_t incarnation; /* of the peer that knows us */
    uint64_t stamp;       /* of its last reply */
    int64_t asked_us;
    int64_t used_us;
} Peer;

struct ControlPeer {
    Control *c;
    ControlPromises *promises;
    GHashTable *by_address; /* Peer */
    GHashTable *fetchers;   /* address -> RpcClient towards other zones */
    int64_t beat_us;
    int64_t relay_us;
    int64_t add_us;
    bool push;
};

static void
peer_free(gpointer p)
{
    Peer *peer = p;

    xio_client_free(peer->rpc);
    g_free(peer);
}

ControlPeer *
control_peer_new(Control *c)
{
    ControlPeer *p = g_new0(ControlPeer, 1);

    p->c = c;
    p->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
    p->fetchers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)xio_client_free);
    p->promises = control_promises_new(c);
    return p;
}

void
control_peer_free(ControlPeer *p)
{
    if (p != NULL) {
        g_hash_table_destroy(p->by_address);
        g_hash_table_destroy(p->fetchers);
        control_promises_free(p->promises);
        g_free(p);
    }
}

RpcClient *
control_peer_client(ControlPeer *p, const char *address, bool near)
{
    if (near) {
        Peer *peer = g_hash_table_lookup(p->by_address, address);
        if (peer != NULL) {
            return peer->rpc;
        }
    }
    RpcClient *rpc = g_hash_table_lookup(p->fetchers, address);
    if (rpc == NULL) {
        rpc =
            xio_client_new(address, near ? &p->c->rpc_zone : &p->c->rpc_other);
        g_hash_table_insert(p->fetchers, g_strdup(address), rpc);
    }
    return rpc;
}

static Peer *
peer_of(ControlPeer *p, const MembVm *vm)
{
    Peer *peer = g_hash_table_lookup(p->by_address, vm->control);

    if (peer == NULL) {
        peer = g_new0(Peer, 1);
        peer->c = p->c;
        memcpy(peer->address, vm->control, sizeof(peer->address));
        peer->rpc = xio_client_new(vm->control, &p->c->rpc_zone);
        g_hash_table_insert(p->by_address, peer->address, peer);
    }
    memcpy(peer->id, vm->id, sizeof(peer->id));
    return peer;
}

/* News of a known VM that a short heartbeat tells. */
static bool
short_news(Control *c, const char *id, uint64_t incarnation,
           uint64_t config_version, bool leaving, double free_slots)
{
    const MembVm *vm = memb_find(c->memb, id);

    if (vm == NULL || vm->incarnation != incarnation) {
        return false;
    }
    MembVm news = *vm;
    news.config_version = config_version;
    news.leaving = leaving;
    news.free_slots = free_slots;
    control_news(c, &news, 0);
    return true;
}

static bool
full_news(Control *c, const ms_vm *vm)
{
    MembVm news;
    Err e = {0};

    if (!ctlmsg_get_vm(&news, vm, &e)) {
        lg_line(LG_WARN, PART, "news ignored: %s", e.text);
        return false;
    }
    control_news(c, &news, 0);
    return true;
}

/* What a heartbeat tells of versions makes this VM ask for newer ones. */
static void
compare_versions(ControlPeer *p, const char *id, uint64_t config_version,
                 uint64_t epoch)
{
    const MembVm *vm = memb_find(p->c->memb, id);

    if (vm == NULL) {
        return;
    }
    control_fetch_config(p->c->fetch, vm->control, true, config_version);
    if (epoch > own_roster(p->c->own)->epoch) {
        control_fetch_roster(p->c->fetch, vm->control);
    }
}

static void
take_beat(Peer *peer, const ms_heartbeat_res *r)
{
    Control *c = peer->c;

    peer->knows_us = r->known;
    peer->incarnation = r->incarnation;
    bool known = r->vm != NULL
                     ? full_news(c, r->vm)
                     : short_news(c, r->id, r->incarnation, r->config_version,
                                  r->leaving, r->free_slots);
    if (!known) {
        return;
    }
    if (r->promise) {
        own_confirm_peer(c->own, r->id, r->incarnation, r->epoch,
                         peer->asked_us);
    }
    if (r->promise && r->all) {
        control_promises_take_all(c, r, peer->asked_us);
    }
    peer->stamp = r->stamp;
    own_heard(c->own, r->id, r->incarnation, r->acted_epoch);
    compare_versions(c->peer, r->id, r->config_version, r->epoch);
}

static void
on_beat(void *ctx, void *res, const Err *e)
{
    Peer *peer = ctx;
    Control *c = peer->c;

    peer->waiting = false;
    if (res != NULL) {
        peer->refusals = 0;
        take_beat(peer, res);
        return;
    }
    peer->knows_us = false;
    if (e->kind != ERR_UNAVAILABLE) {
        return;
    }
    /* Nothing listens there, or the connection ended; one more try tells the
     * end of a process from that of a connection. */
    if (++peer->refusals >= 2) {
        memb_refused(c->memb, peer->id);
    }
    else {
        control_peer_push(c->peer);
    }
}

/* A promise binds the whole VM: it is given once the entry acts on the epoch
 * too. */
static bool
promises(Control *c, const char *id, uint64_t epoch, int64_t now)
{
    return control_local_acted_epoch(c->local, now) >= epoch &&
           own_promise(c->own, id, epoch, now);
}

static void
beat(Peer *peer, const MembVm *vm, int64_t now)
{
    Control *c = peer->c;
    const MembVm *self = memb_self(c->memb);
    ms_vm me;
    ms_heartbeat h = {
        .id = c->set.vm_id,
        .incarnation = c->incarnation,
        .config_version = cfg_version(c->cfg),
        .epoch = own_roster(c->own)->epoch,
        .acted_epoch = control_local_acted_epoch(c->local, now),
        .leaving = self->leaving,
        .released = c->released,
        .free_slots = self->free_slots,
        .want_vm = vm->incarnation == 0 || vm->lookup[0] == '\0',
    };

    if (peer->waiting) {
        return;
    }
    if (peer->incarnation == vm->incarnation && peer->stamp != 0) {
        h.promises = promises(c, vm->id, h.epoch, now);
        h.echo = peer->stamp;
    }
    if (!peer->knows_us || peer->incarnation != vm->incarnation) {
        ctlmsg_put_vm(&me, self, now);
        h.vm = &me;
        h.want_vm = true;
    }
    peer->waiting = true;
    peer->asked_us = now;
    peer->used_us = now;
    xio_call(peer->rpc, MS_HEARTBEAT, (xdrproc_t)xdr_ms_heartbeat, &h,
             (xdrproc_t)xdr_ms_heartbeat_res, sizeof(ms_heartbeat_res),
             RPC_TIMEOUT_MS, on_beat, peer);
}

static void
on_added(void *ctx, void *res, const Err *e)
{
    ControlPeer *p = ctx;
    const ms_ok *r = res;

    (void)p;
    (void)e;
    if (r != NULL && !r->ok) {
        lg_line(LG_DEBUG, PART, "not added yet: %s", r->text);
    }
}

static void
ask_to_add(ControlPeer *p, const char *address, int64_t now)
{
    ms_vm me;

    ctlmsg_put_vm(&me, memb_self(p->c->memb), now);
    xio_call(control_peer_client(p, address, true), MS_ADD_MEMBER,
             (xdrproc_t)xdr_ms_vm, &me, (xdrproc_t)xdr_ms_ok, sizeof(ms_ok),
             RPC_TIMEOUT_MS, on_added, p);
}

/* Members of the roster that this VM has not heard from are asked for their
 * description; a VM without a place in the roster asks them to add it. */
static void
ask_members(ControlPeer *p, int64_t now)
{
    const OwnRoster *r = own_roster(p->c->own);
    bool member = false;

    if (now - p->add_us < ADD_EVERY_MS * US_PER_MS || p->c->leaving) {
        return;
    }
    p->add_us = now;
    for (int i = 0; i < r->n; i++) {
        member = member || strcmp(r->members[i].id, p->c->set.vm_id) == 0;
    }
    for (int i = 0; i < r->n; i++) {
        const OwnMember *m = &r->members[i];
        const MembVm *vm = memb_find(p->c->memb, m->id);
        if (strcmp(m->id, p->c->set.vm_id) == 0 ||
            (vm != NULL && vm->state != MEMB_GONE)) {
            continue;
        }
        MembVm who = {0};
        memcpy(who.id, m->id, sizeof(who.id));
        memcpy(who.control, m->control, sizeof(who.control));
        beat(peer_of(p, &who), &who, now);
        if (!member) {
            ask_to_add(p, m->control, now);
        }
    }
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer now)
{
    const Peer *peer = value;

    (void)key;
    /* A client is kept while a call of it may wait: its end is not told. */
    return !peer->waiting && !control_fetch_busy(peer->c->fetch) &&
           *(int64_t *)now - peer->used_us > 60000 * (int64_t)US_PER_MS;
}

void
control_peer_push(ControlPeer *p)
{
    p->push = true;
}

/* Beats the relay of a large zone between the regular heartbeats. */
static void
beat_relay(ControlPeer *p, int64_t now)
{
    const MembVm *r = memb_relay(p->c->memb, p->c->set.zone);

    if (control_promises_large(p->c) && r != NULL &&
        r != memb_self(p->c->memb) &&
        now - p->relay_us >= RELAY_BEAT_MS * US_PER_MS - TICK_SLACK_US) {
        p->relay_us = now;
        beat(peer_of(p, r), r, now);
    }
}

void
control_peer_step(ControlPeer *p, int64_t now_us)
{
    int index[VMS_PER_ZONE_MAX];
    bool due = now_us - p->beat_us >=
               HEARTBEAT_MS * (int64_t)US_PER_MS - TICK_SLACK_US;

    if (!p->push && !due) {
        beat_relay(p, now_us);
        return;
    }
    p->push = false;
    if (due) {
        p->beat_us = now_us;
    }
    p->relay_us = now_us;
    int n = memb_peers(p->c->memb, index, VMS_PER_ZONE_MAX);
    for (int i = 0; i < n; i++) {
        const MembVm *vm = memb_at(p->c->memb, index[i]);
        if (vm->control[0] != '\0') {
            beat(peer_of(p, vm), vm, now_us);
        }
    }
    ask_members(p, now_us);
    g_hash_table_foreach_remove(p->by_address, is_unused, &now_us);
}

static void
serve_beat(Control *c, RpcReq *r)
{
    ms_heartbeat h;
    ms_vm me;
    Err e = {0};
    int64_t now = g_get_monotonic_time();
    const MembVm *self = memb_self(c->memb);

    if (!xio_args(r, (xdrproc_t)xdr_ms_heartbeat, &h, sizeof(h), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    ms_heartbeat_res res = {
        .id = c->set.vm_id,
        .incarnation = c->incarnation,
        .config_version = cfg_version(c->cfg),
        .epoch = own_roster(c->own)->epoch,
        .acted_epoch = control_local_acted_epoch(c->local, now),
        .leaving = self->leaving,
        .free_slots = self->free_slots,
        .stamp = (uint64_t)now,
    };
    res.known = h.vm != NULL
                    ? full_news(c, h.vm)
                    : short_news(c, h.id, h.incarnation, h.config_version,
                                 h.leaving, h.free_slots);
    if (res.known) {
        own_heard(c->own, h.id, h.incarnation, h.acted_epoch);
        res.promise = promises(c, h.id, h.epoch, now);
        control_promises_take(c->peer->promises, &h, now);
        control_promises_put_all(c->peer->promises, h.id, &res, now);
    }
    if (h.released) {
        control_roster_released(c->roster, h.id, h.incarnation);
    }
    if (h.want_vm) {
        ctlmsg_put_vm(&me, self, now);
        res.vm = &me;
    }
    xio_reply(r, (xdrproc_t)xdr_ms_heartbeat_res, &res);
    if (res.known) {
        compare_versions(c->peer, h.id, h.config_version, h.epoch);
    }
    xdr_free((xdrproc_t)xdr_ms_heartbeat, (char *)&h);
}

static void
serve_add(Control *c, RpcReq *r)
{
    ms_vm vm;
    Err e = {0};

    if (!xio_args(r, (xdrproc_t)xdr_ms_vm, &vm, sizeof(vm), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    /* The roster is changed by the step that compares it with who is heard. */
    ms_ok res = {strcmp(vm.zone, c->set.zone) == 0 && full_news(c, &vm),
                 (char *)"another zone or no valid names; ask a control of "
                         "the own zone"};
    if (res.ok) {
        res.text = (char *)"";
        control_peer_push(c->peer);
    }
    xio_reply(r, (xdrproc_t)xdr_ms_ok, &res);
    xdr_free((xdrproc_t)xdr_ms_vm, (char *)&vm);
}

bool
control_peer_call(ControlPeer *p, RpcReq *r, uint32_t proc)
{
    switch (proc) {
    case NULLPROC:
        xio_reply(r, NULL, NULL);
        return true;
    case MS_HEARTBEAT:
        serve_beat(p->c, r);
        return true;
    case MS_GET_CONFIG:
        control_fetch_serve_config(p->c, r);
        return true;
    case MS_GET_ROSTER:
        control_fetch_serve_roster(p->c, r);
        return true;
    case MS_ADD_MEMBER:
        serve_add(p->c, r);
        return true;
    default:
        return false;
    }
}
