/* control_digest - summaries of zones between controls. */
#include "control.h"

#include <string.h>

#include "control_zones.h"
#include "ctlmsg.h"
#include "lg.h"

#define PART "digest"
#define US_PER_MS 1000
#define PULL_MS 500    /* from the relay of the own zone */
#define SEEDS_MS 10000 /* a new VM asks the peers of its settings so long */

struct ControlDigest {
    Control *c;
    Zones z;
    int64_t born_us;
    int64_t sent_us;
    int64_t pulled_us;
    bool pulling;
    bool push;
};

ControlDigest *
control_digest_new(Control *c)
{
    ControlDigest *d = g_new0(ControlDigest, 1);

    d->c = c;
    zones_init(&d->z, c);
    d->born_us = g_get_monotonic_time();
    return d;
}

void
control_digest_free(ControlDigest *d)
{
    if (d != NULL) {
        zones_clear(&d->z);
        g_free(d);
    }
}

static const ms_have *
have_of(const ms_have *have, u_int n, const char *zone)
{
    for (u_int i = 0; i < n; i++) {
        if (strcmp(have[i].zone, zone) == 0) {
            return &have[i];
        }
    }
    return NULL;
}

/* Zones as they go into a message. */
typedef struct Out {
    u_int n;
    ms_zone zones[ZONES_MAX];
    u_int n_have;
    ms_have have[ZONES_MAX];
    u_int n_same;
    ms_same same[ZONES_MAX];
    GPtrArray *keep;
} Out;

static Out *
out_new(void)
{
    Out *o = g_new0(Out, 1);

    o->keep = g_ptr_array_new_with_free_func(g_free);
    return o;
}

static void
out_free(Out *o)
{
    for (u_int i = 0; i < o->n; i++) {
        zones_clear_message(&o->zones[i]);
    }
    g_ptr_array_free(o->keep, TRUE);
    g_free(o);
}

static void
out_zone(ControlDigest *d, Out *o, Zone *z, uint64_t have_vms,
         uint64_t have_loads, int64_t now)
{
    MembVm *keep = g_new0(MembVm, VMS_PER_ZONE_MAX);

    g_ptr_array_add(o->keep, keep);
    zones_put(&d->z, &o->zones[o->n++], z, have_vms, have_loads, keep, now);
}

/* Lists what this VM holds: of one zone, or of all when name is NULL. */
static void
out_have(ControlDigest *d, Out *o, const char *name)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, d->z.zones);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Zone *z = value;
        if (name == NULL || strcmp(name, z->name) == 0) {
            o->have[o->n_have++] =
                (ms_have){z->name, z->vms_hash, z->loads_hash};
        }
    }
}

static void
take_rows(ControlDigest *d, const ms_digest_res *r, int64_t now)
{
    if (!r->rows_valid || control_rows_ready(d->c->rows)) {
        return;
    }
    for (u_int i = 0; i < r->rows.rows_len; i++) {
        const ms_row *row = &r->rows.rows_val[i];
        if (row->zones.zones_len == row->now.now_len) {
            control_rows_offer(d->c->rows, row->service, row->home,
                               (int)row->now.now_len, row->zones.zones_val,
                               row->now.now_val);
        }
    }
    control_rows_offered(d->c->rows, r->id, now);
}

/* One call under way. */
typedef struct Asked {
    ControlDigest *d;
    char zone[NAME_BYTES]; /* "": an address of the settings */
    char address[ADDR_BYTES];
    char id[NAME_BYTES]; /* of the VM that is asked, when known */
    u_int n_have;
    Zone *have[ZONES_MAX]; /* in the order of the message; never freed */
} Asked;

static void
take_answer(const Asked *a, const ms_digest_res *r)
{
    ControlDigest *d = a->d;
    int64_t now = g_get_monotonic_time();
    Zone *z = a->zone[0] == '\0' ? NULL : zones_at(&d->z, a->zone);
    const ms_have *h =
        have_of(r->have.have_val, r->have.have_len, d->c->set.zone);

    for (u_int i = 0; i < r->zones.zones_len; i++) {
        zones_take(&d->z, &r->zones.zones_val[i], now);
    }
    for (u_int i = 0; i < r->same.same_len; i++) {
        const ms_same *same = &r->same.same_val[i];
        if (same->index < a->n_have) {
            zones_refresh(&d->z, a->have[same->index], same->age_ms, now);
        }
    }
    if (z != NULL) {
        z->fails = 0;
        z->their_vms_hash = h == NULL ? 0 : h->vms_hash;
        z->their_loads_hash = h == NULL ? 0 : h->loads_hash;
    }
    take_rows(d, r, now);
    bool near = z != NULL && zones_is_own(&d->z, z->name);
    control_fetch_config(d->c->fetch, a->address, near, r->config_version);
}

static void
on_answer(void *ctx, void *res, const Err *e)
{
    Asked *a = ctx;
    ControlDigest *d = a->d;
    Zone *z = a->zone[0] == '\0' ? NULL : zones_at(&d->z, a->zone);

    if (z != NULL) {
        z->waiting = false;
    }
    if (res != NULL) {
        take_answer(a, res);
    }
    else if (z != NULL) {
        z->fails++;
        z->their_vms_hash = 0;
        z->their_loads_hash = 0;
        if (e->kind == ERR_UNAVAILABLE && z->fails >= 2) {
            memb_refused(d->c->memb, a->id);
        }
        /* The first failure may be a lost message: ask again at once. */
        d->push = d->push || z->fails == 1;
    }
    g_free(a);
}

static void
ask(ControlDigest *d, const char *zone, const char *address, const char *id,
    bool all, int64_t now)
{
    bool near = zones_is_own(&d->z, zone);
    Zone *z = zone[0] == '\0' ? NULL : zones_at(&d->z, zone);
    Zone *own = zones_own(&d->z, now);
    Out *o = out_new();
    Asked *a = g_new0(Asked, 1);

    a->d = d;
    g_strlcpy(a->zone, zone, sizeof(a->zone));
    g_strlcpy(a->address, address, sizeof(a->address));
    g_strlcpy(a->id, id, sizeof(a->id));
    if (z != NULL && strcmp(z->target, id) != 0) {
        g_strlcpy(z->target, id, sizeof(z->target));
        z->their_vms_hash = 0;
        z->their_loads_hash = 0;
    }
    out_have(d, o, all ? NULL : zone);
    for (u_int i = 0; i < o->n_have; i++) {
        a->have[a->n_have++] = zones_at(&d->z, o->have[i].zone);
    }
    out_zone(d, o, own, z == NULL ? 0 : z->their_vms_hash,
             z == NULL ? 0 : z->their_loads_hash, now);
    if (near) {
        /* A mate tells its own loads only; the relay adds them up. */
        const SnapReport *r = control_local_loads(d->c->local, now);
        zones_clear_message(&o->zones[0]);
        memset(&o->zones[0].vms, 0, sizeof(o->zones[0].vms));
        o->zones[0].vms_full = FALSE;
        o->zones[0].config_version = r == NULL ? 0 : r->config_version;
        zones_put_loads(&o->zones[0], r == NULL ? NULL : r->loads,
                        r == NULL ? 0 : r->n_loads);
    }
    ms_digest m = {
        .id = d->c->set.vm_id,
        .zone = d->c->set.zone,
        .config_version = cfg_version(d->c->cfg),
        .mate = near,
        .want_all = all,
        .want_rows = !control_rows_ready(d->c->rows),
        .have = {o->n_have, o->have},
        .zones = {o->n, o->zones},
    };
    if (z != NULL) {
        z->waiting = true;
    }
    xio_call(control_peer_client(d->c->peer, address, near), MS_DIGEST,
             (xdrproc_t)xdr_ms_digest, &m, (xdrproc_t)xdr_ms_digest_res,
             sizeof(ms_digest_res), RPC_TIMEOUT_MS, on_answer, a);
    out_free(o);
}

/* The VM of another zone to ask: its relay, or after a failure the next one
 * of its last list, so that a zone that was cut off is found again. */
static const MembVm *
target_of(const ControlDigest *d, const Zone *z)
{
    const MembVm *relay = memb_relay(d->c->memb, z->name);

    if (z->fails < 2 && relay != NULL) {
        return relay;
    }
    return z->n_vms == 0 ? relay : &z->vms[z->fails % z->n_vms];
}

static void
exchange(ControlDigest *d, int64_t now)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, d->z.zones);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Zone *z = value;
        const MembVm *vm = target_of(d, z);
        if (!zones_is_own(&d->z, z->name) && !z->waiting && vm != NULL) {
            ask(d, z->name, vm->control, vm->id, false, now);
        }
    }
}

static bool
is_known(const ControlDigest *d, const char *address)
{
    for (int i = 0; i < memb_count(d->c->memb); i++) {
        const MembVm *vm = memb_at(d->c->memb, i);
        if (vm->state != MEMB_GONE && strcmp(vm->control, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Asks the controls of the settings that are not known yet. */
static void
ask_seeds(ControlDigest *d, int64_t now)
{
    const Settings *s = &d->c->set;
    bool young = now - d->born_us < SEEDS_MS * (int64_t)US_PER_MS;

    if (!young && !zones_is_relay(&d->z) && cfg_version(d->c->cfg) > 0) {
        return;
    }
    for (int i = 0; i < s->n_peers; i++) {
        bool wanted = !is_known(d, s->peers[i]) ||
                      !control_rows_ready(d->c->rows) ||
                      cfg_version(d->c->cfg) == 0;
        if (strcmp(s->peers[i], s->control) != 0 && wanted) {
            ask(d, "", s->peers[i], "", true, now);
        }
    }
}

static void
pull(ControlDigest *d, int64_t now)
{
    const MembVm *r = memb_relay(d->c->memb, d->c->set.zone);
    Zone *own = zones_at(&d->z, d->c->set.zone);

    if (r != NULL && r->control[0] != '\0' && !own->waiting) {
        ask(d, own->name, r->control, r->id, true, now);
    }
}

void
control_digest_push(ControlDigest *d)
{
    d->push = true;
}

void
control_digest_step(ControlDigest *d, int64_t now_us)
{
    int64_t slack = CONTROL_TICK_MS / 2;
    bool due = now_us - d->sent_us >= (DIGEST_MS - slack) * US_PER_MS;

    zones_own(&d->z, now_us);
    if (due || d->push) {
        if (due) {
            d->sent_us = now_us;
            ask_seeds(d, now_us);
        }
        if (zones_is_relay(&d->z)) {
            exchange(d, now_us);
        }
    }
    if (!zones_is_relay(&d->z) &&
        (d->push || now_us - d->pulled_us >= (PULL_MS - slack) * US_PER_MS)) {
        d->pulled_us = now_us;
        pull(d, now_us);
    }
    d->push = false;
}

/* A new VM of the own zone makes itself known. */
static void
take_sender(ControlDigest *d, const char *id, const ms_zone *z)
{
    MembVm vm;
    Err e = {0};

    for (u_int i = 0; i < z->vms.vms_len; i++) {
        if (strcmp(z->vms.vms_val[i].id, id) == 0 &&
            ctlmsg_get_vm(&vm, &z->vms.vms_val[i], &e) &&
            zones_is_own(&d->z, vm.zone)) {
            control_news(d->c, &vm, 0);
        }
    }
}

/* Puts a zone into an answer: in short when the caller holds it. */
static void
answer_zone(ControlDigest *d, Out *o, const ms_digest *in, Zone *z,
            int64_t now)
{
    const ms_have *h = have_of(in->have.have_val, in->have.have_len, z->name);
    u_int age;

    if (h != NULL &&
        zones_is_same(&d->z, z, h->vms_hash, h->loads_hash, now, &age)) {
        o->same[o->n_same++] = (ms_same){(u_int)(h - in->have.have_val), age};
        return;
    }
    out_zone(d, o, z, h == NULL ? 0 : h->vms_hash,
             h == NULL ? 0 : h->loads_hash, now);
}

static void
answer(ControlDigest *d, RpcReq *r, const ms_digest *in, int64_t now)
{
    Control *c = d->c;
    Out *o = out_new();
    GHashTableIter it;
    gpointer value;

    zones_own(&d->z, now);
    g_hash_table_iter_init(&it, d->z.zones);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        Zone *z = value;
        if (in->want_all || zones_is_own(&d->z, z->name)) {
            answer_zone(d, o, in, z, now);
        }
    }
    out_have(d, o, in->zone);
    ms_digest_res res = {
        .id = c->set.vm_id,
        .config_version = cfg_version(c->cfg),
        .have = {o->n_have, o->have},
        .zones = {o->n, o->zones},
        .same = {o->n_same, o->same},
        .rows_valid = control_rows_ready(c->rows),
    };
    if (in->want_rows) {
        control_rows_put(c->rows, &res.rows.rows_val, &res.rows.rows_len);
    }
    else {
        res.rows_valid = FALSE;
    }
    xio_reply(r, (xdrproc_t)xdr_ms_digest_res, &res);
    control_rows_clear(res.rows.rows_val, res.rows.rows_len);
    out_free(o);
}

void
control_digest_serve(ControlDigest *d, RpcReq *r)
{
    ms_digest in;
    Err e = {0};
    int64_t now = g_get_monotonic_time();

    if (!xio_args(r, (xdrproc_t)xdr_ms_digest, &in, sizeof(in), &e)) {
        xio_refuse(r, GARBAGE_ARGS);
        return;
    }
    if (d->c->cut && !zones_is_own(&d->z, in.zone)) {
        xio_ignore(r);
        xdr_free((xdrproc_t)xdr_ms_digest, (char *)&in);
        return;
    }
    for (u_int i = 0; i < in.zones.zones_len; i++) {
        const ms_zone *z = &in.zones.zones_val[i];
        if (in.mate) {
            zones_keep_loads(&d->z, in.id, z, now);
        }
        else if (zones_is_own(&d->z, z->zone)) {
            take_sender(d, in.id, z);
        }
        else {
            zones_take(&d->z, z, now);
        }
    }
    answer(d, r, &in, now);
    const MembVm *vm = memb_find(d->c->memb, in.id);
    if (vm != NULL) {
        control_fetch_config(d->c->fetch, vm->control,
                             zones_is_own(&d->z, in.zone), in.config_version);
    }
    xdr_free((xdrproc_t)xdr_ms_digest, (char *)&in);
}

bool
control_digest_load(const ControlDigest *d, const char *zone, int service,
                    SnapLoad *out)
{
    return zones_load(&d->z, zone, service, out);
}
