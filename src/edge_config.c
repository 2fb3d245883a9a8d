/* edge_config - the configuration in force compared with that of other VMs,
 * and the record of one that came late.  See edge_state.h. */
#include <inttypes.h>

#include "edge_state.h"

/* Longest time for which requests are queued until the store has answered
 * which configuration is the newest. */
#define HEARD_WAIT_US 400000
#define CONFIRMATION_LOG_US 5000000

static uint64_t
own_version(const Edge *g)
{
    const RtTable *t = view_routes(g->view);

    return t == NULL ? 0 : rt_version(t);
}

uint64_t
edge_newest_version(void *ctx)
{
    return ((Edge *)ctx)->heard.newest_version;
}

/* A change that this VM learns of now was made after its copy of the store was
 * last known to be current, or before another VM had it.  Requests handled
 * since then, later than the time limit for changes allows, may have used an
 * older configuration. */
void
edge_log_late_routes(const Edge *g, const RtTable *t)
{
    int64_t now_us = evl_now(g->loop);
    int64_t confirmed_us = px_confirmed(g->px);
    int64_t heard_us = heard_since(&g->heard, view_config_rev(g->view));
    const RtTable *before = px_routes(g->px);
    int64_t from_us = confirmed_us + g->set.config_us;

    if (before == NULL || confirmed_us == 0 ||
        (now_us <= from_us && (heard_us == 0 || !g->heard.asking))) {
        return;
    }
    if (heard_us != 0 && g->heard.asking) {
        from_us = MIN(from_us, heard_us);
    }
    GString *ids = g_string_new(NULL);
    int n = px_requests_since(g->px, from_us, ids);
    dlog_event(g->log, DLOG_WARN, "config",
               "event=late version=%" PRIu64 " before=%" PRIu64
               " by=%s copy_age_ms=%" PRId64 " heard_ms=%" PRId64
               " uptime_ms=%" PRId64 " requests=%d ids=%s",
               rt_version(t), rt_version(before), mirror_source(g->mirror),
               (now_us - confirmed_us) / 1000,
               heard_us == 0 ? 0 : (now_us - heard_us) / 1000,
               (now_us - g->started_us) / 1000, n, ids->str);
    g_string_free(ids, TRUE);
}

/* Time since the store itself last confirmed the copy; -1: it never did. */
static int64_t
confirmation_age_ms(const MirrorConfirmation *c)
{
    return c->at_us == 0 ? -1 : (evl_boottime() - c->at_us) / 1000;
}

void
edge_log_confirmation(Edge *g, int64_t now_us)
{
    MirrorConfirmation c = mirror_confirmation(g->mirror);

    if (!g->view_complete ||
        now_us - g->confirmation_log_us < CONFIRMATION_LOG_US) {
        return;
    }
    g->confirmation_log_us = now_us;
    dlog_event(g->log, DLOG_INFO, "config",
               "event=confirmed version=%" PRIu64 " rev=%" PRIu64
               " copy_age_ms=%" PRId64 " store_age_ms=%" PRId64
               " by=%s position=%" PRIu64 " history=%" PRIu64
               " newest_heard=%" PRIu64,
               own_version(g), view_config_rev(g->view),
               (now_us - px_confirmed(g->px)) / 1000, confirmation_age_ms(&c),
               c.source == NULL ? "-" : c.source, c.rev, c.history,
               g->heard.newest_version);
}

void
edge_confirmation_metrics(const Edge *g, GString *out)
{
    MirrorConfirmation c = mirror_confirmation(g->mirror);
    int64_t age_ms = confirmation_age_ms(&c);
    int64_t at_ms = age_ms < 0 ? 0 : g_get_real_time() / 1000 - age_ms;

    g_string_append_printf(
        out,
        "edge_config_rev %" PRIu64 "\nedge_config_confirmed_unix_ms %" PRId64
        "\nedge_config_confirmed_age_ms %" PRId64
        "\nedge_store_position %" PRIu64 "\nedge_store_history %" PRIu64
        "\nedge_config_newest_heard %" PRIu64 "\n",
        view_config_rev(g->view), at_ms, age_ms, c.rev, c.history,
        g->heard.newest_version);
}

void
edge_begin_history(void *ctx, int64_t now_us)
{
    Edge *g = ctx;

    view_begin_history(g->view, now_us);
    heard_begin_history(&g->heard);
}

void
edge_heard(Edge *g, const PeerHeartbeat *hb, int64_t now_us)
{
    heard_add(&g->heard, hb->vm, hb->config_rev, hb->config_version,
              view_config_seen(g->view), now_us);
}

static void
warn_behind(const Edge *g, const HeardClaim *c, int64_t now_us)
{
    dlog_event(g->log, DLOG_WARN, "config",
               "event=behind own_version=%" PRIu64 " own_rev=%" PRIu64
               " heard_version=%" PRIu64 " heard_rev=%" PRIu64
               " from=%s heard_ms=%" PRId64 " copy_age_ms=%" PRId64,
               own_version(g), view_config_rev(g->view), c->version, c->rev,
               dlog_name(str_of(c->vm)).s, (now_us - c->since_us) / 1000,
               (now_us - px_confirmed(g->px)) / 1000);
}

void
edge_step_heard(Edge *g, int64_t now_us)
{
    if (!g->view_complete) {
        return;
    }
    HeardClaim *c = heard_step(&g->heard, view_config_seen(g->view),
                               g->propagation_us, now_us);
    if (c == NULL) {
        return;
    }
    if (!c->warned) {
        c->warned = true;
        warn_behind(g, c, now_us);
    }
    if (mirror_ask_urgent(g->mirror)) {
        heard_asked(&g->heard, now_us);
        g->heard_asks++;
        px_wait_for_view(g->px, now_us + HEARD_WAIT_US);
    }
}

void
edge_heard_answered(Edge *g)
{
    HeardClaim c;

    if (!g->heard.asking) {
        return;
    }
    px_wait_for_view(g->px, 0);
    while (heard_answered(&g->heard, view_config_seen(g->view), &c)) {
        g->heard_refuted++;
        dlog_event(g->log, DLOG_WARN, "config",
                   "event=heard_refuted own_version=%" PRIu64
                   " own_rev=%" PRIu64 " heard_version=%" PRIu64
                   " heard_rev=%" PRIu64 " from=%s",
                   own_version(g), view_config_rev(g->view), c.version, c.rev,
                   dlog_name(str_of(c.vm)).s);
    }
}
