/* edge - one entry VM on the platform.  See edge.h. */
#include "edge.h"

#include <inttypes.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "edge_state.h"
#include "hash.h"
#include "pf.h"
#include "spare.h"

#define LOG_LINES_PER_S 60.0 /* about 20 KB/s and 1 % of a small machine */
#define LOG_BUFFER_BYTES (256 * 1024)
#define TICK_US 250000 /* heartbeats, regional shares, expiry, log */
/* Between ticks from the first of the last steps of a planned stop on, as the
 * process may be about to get no processor time for the rest of it. */
#define STOP_TICK_US 50000
#define HEARTBEAT_US 500000
#define SETTINGS_POLL_US 1000000 /* between checks of the settings file */
/* Longest time for which requests are queued until the view is current again
 * after this VM was stalled.  A connection and a round trip between regions
 * take about 250 ms. */
#define VIEW_WAIT_US 400000
/* The same for a VM that was cut off and lacks changes of the view. */
#define VIEW_BEHIND_WAIT_US 1000000
/* Part of the drain time for the way of a request, from the choice of its
 * upstream to its arrival there: half a round trip between regions, and one
 * lost packet. */
#define WAY_US 400000
#define WAY_PART_MAX 4 /* it is at most the drain time divided by this */
/* Upstreams whose entries disappear around a failure of the store are kept for
 * this time, within which the entries reappear after an outage of the store.
 */
#define GONE_GRACE_US 2000000
/* Subtracted from the drain time, as a watch reports changes with a delay. */
#define GONE_MARGIN_US 400000
/* A VM that left the list keeps its shares of limits for the time in which
 * this number of changes, one after the other, reaches all VMs: the loss of
 * its entry, and the entry that it writes again. */
#define SHARE_HOLD_CHANGES 2
#define SLOW_CHANGE_US 20000 /* a change that takes longer is logged */
#define SHIFT_WINDOW_S 2.0   /* the window of max_shift */
/* Parts of max_shift: for the movement of shares within a window, and for the
 * share of requests that overflows.  An overflow may begin and end within a
 * window, so its whole share counts.  The rest allows for random variation of
 * the requests. */
#define SHIFT_PART 0.1
#define OVERFLOW_PART 0.6
void
edge_write_registration(Edge *g)
{
    Vm v = {0};
    char text[VML_RECORD_BYTES];
    char *key = pf_vm_key(g->set.vm_id);

    g_strlcpy(v.entry, g->set.requests_text, sizeof(v.entry));
    v.peer = g->set.peers;
    v.zone = g->set.zone;
    v.leaving = g->shutting_down;
    v.boot_ms = g->boot_ms;
    vml_format(&v, &g->set.topology, text, sizeof(text));
    mirror_register(g->mirror, key, text);
    g_free(key);
}

static void
send_crashes(void *ctx, int vm, const CrashMsg *m)
{
    heartbeat_send_crashes(((Edge *)ctx)->heartbeats, vm, m);
}

static void
on_crash_step(void *ctx, int64_t now_us)
{
    Edge *g = ctx;

    crash_step(g->crashes, now_us);
    if (crash_waiting(g->crashes)) {
        evl_arm(g->loop, &g->crash_step, now_us + CRASH_STEP_US);
    }
}

static void
wake_crashes(void *ctx)
{
    Edge *g = ctx;

    evl_arm(g->loop, &g->crash_step, evl_now(g->loop) + CRASH_STEP_US);
}

static void
update_sharers(void *ctx)
{
    Edge *g = ctx;
    int n = vml_count(g->vms);
    bool had_share = sharers_self(g->sharers) >= 0;
    PickVm *listed = g_new(PickVm, n);
    int64_t valid_until_us =
        g->mirror == NULL ? 0 : mirror_registered_until(g->mirror);

    for (int i = 0; i < n; i++) {
        listed[i] =
            (PickVm){vml_at(g->vms, i)->key, vml_at(g->vms, i)->region};
    }
    if (sharers_update(g->sharers, listed, n, g->view_complete, valid_until_us,
                       evl_boottime())) {
        const PickVm *vms;
        int n_vms = sharers_list(g->sharers, &vms);
        int self = sharers_self(g->sharers);
        px_set_vms(g->px, vms, n_vms, self);
        if (had_share != (self >= 0)) {
            dlog_event(g->log, DLOG_INFO, "vm", "event=%s vms=%d",
                       had_share ? "share_ended" : "share_began", n_vms);
        }
    }
    crash_set_vms(g->crashes, listed, n, vml_index(g->vms, g->set.vm_id));
    g_free(listed);
}

static const char *
on_source(void *ctx)
{
    return mirror_source(((Edge *)ctx)->mirror);
}

static void
on_routes(void *ctx, RtTable *t)
{
    Edge *g = ctx;

    edge_log_late_routes(g, t);
    for (int i = 0; i < rt_n_services(t); i++) {
        demand_service(g->demand, rt_service(t, i)->id);
    }
    callers_set_limits(g->callers, rt_limits(t));
    px_set_routes(g->px, t);
}

static void
on_item(void *ctx, const char *key, GBytes *value, uint64_t rev,
        int64_t now_us)
{
    Edge *g = ctx;
    int64_t begin_us = evl_boottime();

    view_apply(g->view, key, value, rev, now_us);
    int64_t took_us = evl_boottime() - begin_us;
    if (took_us > SLOW_CHANGE_US) {
        dlog_event(
            g->log, DLOG_INFO, "store",
            "event=slow_change rev=%" PRIu64 " bytes=%zu took_ms=%" PRId64,
            rev, value == NULL ? 0 : g_bytes_get_size(value), took_us / 1000);
    }
}

static void
on_view_complete(void *ctx, int64_t now_us)
{
    Edge *g = ctx;
    (void)now_us;

    g->view_complete = true;
    px_view_complete(g->px);
    update_sharers(g);
    dlog_event(g->log, DLOG_INFO, "store", "event=view_complete vms=%d",
               vml_count(g->vms));
}

static void
on_store_failure(void *ctx, int64_t now_us)
{
    Edge *g = ctx;

    ups_store_failed(g->upstreams, now_us);
    px_store_failed(g->px, now_us);
}

static void
on_announce(void *ctx, const GossipOut *o)
{
    heartbeat_send_gossip(((Edge *)ctx)->heartbeats, o);
}

static void
on_heartbeat(void *ctx, const PeerHeartbeat *hb, int64_t now_us)
{
    Edge *g = ctx;

    if (heartbeat_receive(g->heartbeats, hb, now_us) &&
        mirror_hear_history(g->mirror, hb->history, now_us)) {
        edge_heard(g, hb, now_us);
    }
}

static bool
on_accepts(void *ctx, const GossipSender *from, int64_t now_us)
{
    return heartbeat_accepts(((Edge *)ctx)->heartbeats, from, now_us);
}

static void
on_gossip(void *ctx, const Gossip *msg, int64_t now_us)
{
    Edge *g = ctx;
    Gossip aged = *msg;

    aged.age_us =
        heartbeat_gossip_age(g->heartbeats, msg, evl_since(g->loop), now_us);
    mirror_receive(g->mirror, &aged, now_us);
}

static void
on_crashes(void *ctx, const CrashMsg *m, int64_t now_us)
{
    crash_receive(((Edge *)ctx)->crashes, m, now_us);
}

static void
on_confirmed(void *ctx, int64_t at_us)
{
    px_set_confirmed(((Edge *)ctx)->px, at_us);
}

static void
on_view_current(void *ctx, int64_t now_us)
{
    Edge *g = ctx;
    (void)now_us;

    edge_heard_answered(g);
    px_set_routes_behind(g->px, false);
    px_wait_for_view(g->px, 0);
}

/* Requests wait for the answer, but are not refused, as it may have no end. */
static void
on_view_receiving(void *ctx, int64_t now_us)
{
    px_wait_for_view(((Edge *)ctx)->px, now_us + VIEW_BEHIND_WAIT_US);
}

static void
on_urgent_current(void *ctx, int64_t now_us)
{
    Edge *g = ctx;
    (void)now_us;

    edge_heard_answered(g);
    px_set_routes_behind(g->px, false);
}

/* Requests must not use upstreams or routes that were withdrawn while this VM
 * was cut off, so they are queued until the changes are known, and refused if
 * that takes longer. */
static void
on_view_behind(void *ctx, int64_t now_us)
{
    Edge *g = ctx;

    dlog_event(g->log, DLOG_WARN, "store", "event=changes_missed");
    px_set_routes_behind(g->px, true);
    px_wait_for_view(g->px, now_us + VIEW_BEHIND_WAIT_US);
}

/* Runs after the process was stalled.  Requests that arrived in its sockets
 * meanwhile must not use upstreams or routes that were withdrawn during the
 * stall, so they are queued until the view is current. */
static void
on_stall(void *ctx, int64_t stalled_us, int64_t now_us)
{
    Edge *g = ctx;

    dlog_event(g->log, DLOG_WARN, "vm", "event=resumed after_ms=%" PRId64,
               stalled_us / 1000);
    px_resumed(g->px, now_us);
    vml_paused(g->vms, stalled_us);
    if (g->view_complete) {
        px_wait_for_view(g->px, now_us + VIEW_WAIT_US);
        mirror_revalidate(g->mirror);
    }
}

static void
poll_settings(Edge *g)
{
    struct stat st;
    Eset fresh;
    Err e = {0};

    if (stat(g->file, &st) != 0 ||
        (st.st_mtim.tv_sec == g->file_time.tv_sec &&
         st.st_mtim.tv_nsec == g->file_time.tv_nsec)) {
        return;
    }
    g->file_time = st.st_mtim;
    if (!eset_read(&fresh, g->file, &e)) {
        dlog_event(g->log, DLOG_WARN, "settings",
                   "event=rejected error=\"%s\"", e.text);
        return;
    }
    /* Changes of all other settings take effect at a restart; so do those of
     * drain_us, which the modules that use it receive at the start. */
    g->set.drain_us = fresh.drain_us;
    g->set.stop_us = fresh.stop_us;
    g->set.directory_ttl_us = fresh.directory_ttl_us;
    dlog_event(g->log, DLOG_INFO, "settings", "event=read");
}

void
edge_reload(Edge *g)
{
    g->file_time = (struct timespec){0};
    poll_settings(g);
}

static void
open_spare(void *ctx, Ups *u)
{
    uconn_open_spare(((Edge *)ctx)->pool, u);
}

static void
step_spares(Edge *g, int64_t now_us)
{
    const RtTable *t = px_routes(g->px);

    for (int i = 0; t != NULL && i < rt_n_services(t); i++) {
        const RtService *s = rt_service(t, i);
        const PickVm *vms;
        SpareIn in = {
            .set = g->upstreams,
            .service = s,
            .demand = demand_service(g->demand, s->id),
            .region = g->set.topology.region_of[g->set.zone],
            .n_vms = sharers_list(g->sharers, &vms),
            .max_rtt_us = vml_max_rtt_us(g->vms),
        };
        spare_step(&in, open_spare, g, now_us);
    }
}

static void
on_tick(void *ctx, int64_t now_us)
{
    Edge *g = ctx;
    int by_region[REGIONS_MAX] = {0};

    edge_check_late_tick(g, now_us);
    for (int i = 0; i < vml_count(g->vms); i++) {
        by_region[vml_at(g->vms, i)->region]++;
    }
    int gone = ups_expire(g->upstreams, now_us);
    if (gone > 0) {
        dlog_event(g->log, DLOG_INFO, "upstream", "event=gone count=%d", gone);
    }
    update_sharers(g);
    px_set_max_rtt(g->px, vml_max_rtt_us(g->vms));
    demand_step(g->demand, g->upstreams, by_region, now_us);
    plan_step(g->plan, g->upstreams, now_us);
    on_crash_step(g, now_us);
    edge_step_heard(g, now_us);
    edge_log_confirmation(g, now_us);
    if (now_us - g->heartbeat_us >= HEARTBEAT_US) {
        g->heartbeat_us = now_us;
        const RtTable *t = view_routes(g->view);
        heartbeat_set_history(g->heartbeats, mirror_history(g->mirror));
        heartbeat_set_config(g->heartbeats, view_config_rev(g->view),
                             t == NULL ? 0 : rt_version(t));
        heartbeat_send(g->heartbeats, g->shutting_down, now_us);
    }
    if (now_us - g->settings_us >= SETTINGS_POLL_US) {
        g->settings_us = now_us;
        poll_settings(g);
    }
    if (g->shutting_down) {
        edge_step_shutdown(g, now_us);
    }
    else {
        step_spares(g, now_us);
    }
    dlog_flush(g->log);
    evl_arm(g->loop, &g->tick, now_us + (g->closing ? STOP_TICK_US : TICK_US));
}

static bool
open_sockets(Edge *g, Err *e)
{
    const PeerFns fns = {on_heartbeat, on_accepts, on_gossip, on_crashes};

    if (!edge_open_listeners(g, e)) {
        return false;
    }
    g->peer = peer_new(g->loop, &g->set.peers, g->set.link_mbps, &fns, g, e);
    return g->peer != NULL;
}

static Sharers *
make_sharers(const Edge *g)
{
    int64_t settle_us = MIN(g->set.drain_us, g->set.config_us);
    SharersOpts so = {
        .self = hash_str(str_of(g->set.vm_id), 0),
        .settle_us = settle_us,
        .hold_us = settle_us * SHARE_HOLD_CHANGES,
    };

    return sharers_new(&so);
}

/* Part of the drain time that is left for a change to be known. */
static int64_t
propagation_us(const Eset *s)
{
    int64_t way_us = MIN(WAY_US, s->drain_us / WAY_PART_MAX);

    return MIN(s->drain_us - way_us, s->config_us);
}

static void
make_modules(Edge *g)
{
    const Topology *topo = &g->set.topology;
    int region = topo->region_of[g->set.zone];
    DlogOpts lo = {STDOUT_FILENO, LOG_LINES_PER_S, LOG_BUFFER_BYTES};

    g->log = dlog_new(&lo);
    g->rnd = g_rand_new_with_seed(
        (guint32)hash_str(str_of(g->set.vm_id), g->boot_ms));
    g->vms = vml_new(topo);
    g->propagation_us = propagation_us(&g->set);
    g->sharers = make_sharers(g);
    g->upstreams =
        ups_new(topo, MIN(GONE_GRACE_US, g->set.drain_us - GONE_MARGIN_US));
    g->pool = uconns_new(g->loop);
    DemandOpts dopt = {
        .topology = topo,
        .region = region,
        .max_shift_per_s = g->set.max_shift / SHIFT_WINDOW_S * SHIFT_PART,
        .max_overflow = g->set.max_shift * OVERFLOW_PART,
        .retry_ratio = g->set.retry_ratio,
        .retry_slack = g->set.retry_slack,
        .retry_window_us = g->set.retry_window_us,
    };
    g->demand = demand_new(&dopt);
    g->plan = plan_new(topo->n_regions);
    g->crash_step = (EvlTimer){.fn = on_crash_step, .ctx = g};
    g->crashes = crash_new(&(CrashOpts){
        .log = g->log, .fns = {send_crashes, wake_crashes}, .ctx = g});
    PxOpts po = {
        .loop = g->loop,
        .log = g->log,
        .names = &pf_header_names,
        .topology = topo,
        .region = region,
        .upstreams = g->upstreams,
        .pool = g->pool,
        .demand = g->demand,
        .plan = g->plan,
        .crashes = g->crashes,
        .rnd = g->rnd,
        .copy_age_max_us = g->propagation_us,
        .newest_version = edge_newest_version,
        .ctx = g,
    };
    g->px = px_new(&po);
    ViewOpts vo = {
        .log = g->log,
        .topology = topo,
        .upstreams = g->upstreams,
        .pool = g->pool,
        .vms = g->vms,
        .fns = {on_routes, update_sharers, on_source},
        .ctx = g,
    };
    g->view = view_new(&vo);
}

static void
start_heartbeats(Edge *g)
{
    HeartbeatsOpts ho = {
        .log = g->log,
        .peer = g->peer,
        .vms = g->vms,
        .upstreams = g->upstreams,
        .demand = g->demand,
        .plan = g->plan,
        .crashes = g->crashes,
        .rnd = g->rnd,
        .vm_id = g->set.vm_id,
        .zone = g->set.zone,
        .region = g->set.topology.region_of[g->set.zone],
        .boot_ms = g->boot_ms,
        .started_us = g->started_us,
    };

    g->heartbeats = heartbeat_new(&ho);
}

static void
start_mirror(Edge *g)
{
    MirrorOpts mo = {
        .loop = g->loop,
        .log = g->log,
        .codec = &pf_kv,
        .store = g->set.store,
        .prefixes = pf_prefixes,
        .urgent = pf_operator_prefix,
        .rnd = g->rnd,
        .propagation_us = g->propagation_us,
        .fns = {.changed = on_item,
                .ready = on_view_complete,
                .current = on_view_current,
                .behind = on_view_behind,
                .receiving = on_view_receiving,
                .urgent = on_urgent_current,
                .failed = on_store_failure,
                .confirmed = on_confirmed,
                .history_begun = edge_begin_history,
                .announce = on_announce},
        .ctx = g,
    };

    g->mirror = mirror_new(&mo);
    edge_write_registration(g);
}

Edge *
edge_new(Evl *loop, const char *file, Err *e)
{
    Edge *g = g_new0(Edge, 1);
    const Topology *topo = &g->set.topology;

    g->loop = loop;
    g->file = g_strdup(file);
    g->boot_ms = (uint64_t)(g_get_real_time() / 1000);
    g->started_us = evl_now(loop);
    if (!eset_read(&g->set, file, e)) {
        g_free(g->file);
        g_free(g);
        return NULL;
    }
    make_modules(g);
    if (!open_sockets(g, e)) {
        edge_free(g);
        return NULL;
    }
    edge_reload(g);
    start_heartbeats(g);
    start_mirror(g);
    dlog_event(g->log, DLOG_INFO, "vm",
               "id=%s event=started zone=%s region=%s boot=%" PRIu64,
               g->set.vm_id, topo->zones[g->set.zone],
               topo->regions[topo->region_of[g->set.zone]], g->boot_ms);
    dlog_flush(g->log);
    evl_on_stall(loop, on_stall, g);
    g->tick = (EvlTimer){.fn = on_tick, .ctx = g};
    evl_arm(loop, &g->tick, evl_now(loop) + TICK_US);
    return g;
}

void
edge_free(Edge *g)
{
    evl_disarm(g->loop, &g->tick);
    evl_on_stall(g->loop, NULL, NULL);
    if (g->mirror != NULL) {
        mirror_free(g->mirror);
    }
    if (g->peer != NULL) {
        peer_free(g->peer);
    }
    heartbeat_free(g->heartbeats);
    callers_free(g->metrics);
    callers_free(g->directory);
    callers_free(g->ready);
    callers_free(g->callers);
    view_free(g->view);
    px_free(g->px);
    uconns_free(g->pool);
    /* Requests that end above may have armed it. */
    evl_disarm(g->loop, &g->crash_step);
    crash_free(g->crashes);
    plan_free(g->plan);
    demand_free(g->demand);
    ups_free(g->upstreams);
    sharers_free(g->sharers);
    vml_free(g->vms);
    g_rand_free(g->rnd);
    dlog_free(g->log);
    g_free(g->file);
    g_free(g);
}
