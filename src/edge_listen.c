/* edge_listen - listeners of an entry VM and its endpoints for readiness,
 * directory and metrics.  See edge_state.h. */
#include "edge_state.h"

#include <inttypes.h>

#include "pf.h"

#define CALLERS_PART 0.6 /* fraction of the descriptors for callers */
/* Fraction of the memory for buffered requests and responses. */
#define BUFFER_PART 0.25
#define ADDRESSES_MAX 64 /* in a response of the directory */
/* For each of the endpoints: readiness, directory and metrics. */
#define ENDPOINT_CALLERS 64 /* at least; more with many descriptors */
#define ENDPOINT_BUFFER_BYTES (1024 * 1024)

static bool
is_ready(const Edge *g)
{
    return !g->shutting_down && g->view_complete && px_routes(g->px) != NULL;
}

static void
respond_resolve(Edge *g, Caller *c, const PfResolve *q, int64_t now_us)
{
    const char *out[ADDRESSES_MAX];
    int zone = topology_zone(&g->set.topology, str_of(q->zone));
    int region = topology_region(&g->set.topology, str_of(q->region));
    int n = vml_resolve(g->vms, zone, region, out, ADDRESSES_MAX, now_us);

    if (n == 0) {
        caller_respond_text(c, 503, "no_vm_known", 0);
        return;
    }
    GString *body = pf_resolve_response(out, n, g->set.directory_ttl_us);
    caller_respond(c,
                   str_of("HTTP/1.1 200 OK\r\n"
                          "Content-Type: application/json\r\n"),
                   body->str, body->len);
    g_string_free(body, TRUE);
}

static void
respond_metrics(Edge *g, Caller *c)
{
    GString *t = g_string_new(NULL);
    const RtTable *rt = px_routes(g->px);
    MirrorCounts mc = mirror_counts(g->mirror);

    px_metrics(g->px, t);
    crash_metrics(g->crashes, t);
    edge_confirmation_metrics(g, t);
    g_string_append_printf(
        t,
        "edge_config_version %" PRIu64 "\nedge_vms %d\n"
        "edge_store_calls_total %" PRId64
        "\nedge_watches_put_off_total %" PRId64
        "\nedge_news_sent_total %" PRId64 "\nedge_callers %d\n"
        "edge_bad_heartbeats_total %" PRId64
        "\nedge_unreadable_entries_total %" PRId64
        "\nedge_store_items_dropped_total %" PRId64
        "\nedge_store_histories_total %" PRId64
        "\nedge_gossip_missing_total %" PRId64
        "\nedge_gossip_incomplete_total %" PRId64
        "\nedge_datagrams_unsent_total %" PRId64
        "\nedge_heard_asks_total %" PRId64
        "\nedge_heard_refuted_total %" PRId64
        "\nedge_gossip_ignored_total %" PRId64 "\n",
        rt == NULL ? 0 : rt_version(rt), vml_count(g->vms), mc.calls,
        mc.watches_deferred, heartbeat_gossip_sent(g->heartbeats),
        callers_open(g->callers), peer_unreadable(g->peer),
        view_unreadable(g->view), mc.items_dropped, mc.histories,
        mc.gossip_missing, peer_incomplete(g->peer), peer_unsent(g->peer),
        g->heard_asks, g->heard_refuted,
        heartbeat_gossip_ignored(g->heartbeats));
    hist_text(evl_event_delays(g->loop), "edge_delay_ms", "part=\"event\"", t);
    hist_text(evl_timer_delays(g->loop), "edge_delay_ms", "part=\"timer\"", t);
    for (int i = 0; i < CALLER_ENDS; i++) {
        g_string_append_printf(t, "edge_caller_ends_%s_total %" PRId64 "\n",
                               caller_end_name((CallerEnd)i),
                               callers_ended(g->callers, (CallerEnd)i));
    }
    caller_respond(c,
                   str_of("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"),
                   t->str, t->len);
    g_string_free(t, TRUE);
}

static void
on_endpoint(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Edge *g = ctx;
    PfResolve q = {0};

    switch (pf_parse_call(req->target, &q)) {
    case PF_CALL_READY:
        caller_respond_text(c, is_ready(g) ? 200 : 503,
                            is_ready(g) ? "ready" : "not_ready", 0);
        break;
    case PF_CALL_RESOLVE:
        respond_resolve(g, c, &q, now_us);
        break;
    case PF_CALL_OTHER:
        if (str_eqz(req->target, "/metrics")) {
            respond_metrics(g, c);
        }
        else {
            caller_respond_text(c, 404, "no_such_path", 0);
        }
        break;
    }
}

static void
on_endpoint_disconnected(void *ctx, void *user, int64_t now_us)
{
    (void)ctx;
    (void)user;
    (void)now_us;
}

static void
on_endpoint_refused(void *ctx, int status, const Err *e)
{
    dlog_event(((Edge *)ctx)->log, DLOG_WARN, "endpoint",
               "event=bad_request status=%d error=\"%s\"", status,
               dlog_quoted(e->text).s);
}

static CallerSet *
open_endpoint(Edge *g, const struct sockaddr_in *at, Err *e)
{
    CallerOpts o = {
        .loop = g->loop,
        .listen_addr = *at,
        .max_callers = ENDPOINT_CALLERS + g->set.descriptors / 16,
        .max_buffered_bytes = ENDPOINT_BUFFER_BYTES,
        .limits = {HEAD_BYTES_MAX, HEAD_BYTES_MAX, CALLER_IDLE_MS * 1000LL,
                   CALLER_IDLE_MS * 1000LL},
        .fns = {on_endpoint, on_endpoint_disconnected, NULL,
                on_endpoint_refused, NULL},
        .ctx = g,
    };

    return callers_new(&o, e);
}

bool
edge_open_listeners(Edge *g, Err *e)
{
    CallerOpts o = {
        .loop = g->loop,
        .listen_addr = g->set.requests,
        .max_callers = (int)(g->set.descriptors * CALLERS_PART),
        .max_buffered_bytes =
            (size_t)(g->set.memory_mb * BUFFER_PART * 1024 * 1024),
        .limits = {HEAD_BYTES_MAX, BODY_BYTES_MAX, CALLER_IDLE_MS * 1000LL,
                   CALLER_IDLE_MS * 1000LL},
        .fns = px_caller_fns,
        .ctx = g->px,
    };

    g->callers = callers_new(&o, e);
    g->ready = g->callers == NULL ? NULL : open_endpoint(g, &g->set.ready, e);
    g->directory =
        g->ready == NULL ? NULL : open_endpoint(g, &g->set.directory, e);
    g->metrics =
        g->directory == NULL ? NULL : open_endpoint(g, &g->set.metrics, e);
    return g->metrics != NULL;
}
