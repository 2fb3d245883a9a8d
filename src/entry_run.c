/* entry_run - the process: snapshots, time, planned stop.  See entry.h. */
#include "entry.h"

#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include "lg.h"

#define SECOND_MS 1000
#define STOP_MARGIN_MS 1000
#define STOP_QUIET_MS 3000 /* without callers, a planned stop ends early */
/* For callers that have not received an answer. */
#define STOP_LINGER_MS 2000
#define JOURNAL_BYTES 65536
#define DEMAND_SMOOTH 0.3 /* part of the newest second in the demand */

static const char *const ctr_names[EC_N] = {
    "entry_requests_total",     "entry_answered_total",
    "entry_not_run_total",      "entry_unknown_total",
    "entry_refused_head_total", "entry_cancelled_total",
    "entry_forwarded_total",    "entry_retries_total",
    "entry_sends_barred_total", "entry_replayed_total",
    "entry_crashes_total",      "entry_convicted_total",
    "entry_leaving_seen_total", "entry_body_in_bytes",
    "entry_body_out_bytes",
};

static void
make_proof(Entry *en)
{
    GHmac *h =
        g_hmac_new(G_CHECKSUM_SHA256, en->set->fleet_key, FLEET_KEY_BYTES);

    g_hmac_update(h, (const guchar *)"entry-hop", 9);
    g_strlcpy(en->proof, g_hmac_get_string(h), sizeof(en->proof));
    g_hmac_unref(h);
}

static void
set_manifest(Entry *en, Snapshot *s, Snapshot *old)
{
    svc_replace(en, s, old);
    lookup_table_free(en->blocks);
    en->blocks = lookup_table_new(s->m->blocks, s->m->n_blocks);
    lg_line(LG_INFO, "entry",
            "configuration %" G_GUINT64_FORMAT " in force: %d services",
            s->config_version, s->m->n_services);
}

/* The loop runs each TICK_MS; a longer gap than the lapse time is a pause. */
static void
note_pause(Entry *en, int64_t now_us)
{
    if (en->stepped_us > 0 &&
        now_us - en->stepped_us > OWN_LAPSE_MS * INT64_C(1000)) {
        en->resumed_us = now_us;
    }
    en->stepped_us = now_us;
}

/* Takes a snapshot of control; budgets and key ranges change with it. */
void
entry_take_snapshot(void *ctx, Snapshot *s)
{
    Entry *en = ctx;
    Snapshot *old = en->snap;
    int64_t now = g_get_monotonic_time();

    note_pause(en, now);
    if (s->m == NULL || s->own_zone < 0 ||
        (old != NULL && s->config_version < old->config_version)) {
        return;
    }
    en->snap = snap_ref(s);
    if (old == NULL || old->config_version != s->config_version ||
        old->own_zone != s->own_zone) {
        set_manifest(en, s, old);
    }
    if (s->journal != NULL) {
        gsize n;
        const char *p = g_bytes_get_data(s->journal, &n);
        idem_journal_read(en->idem, (Str){p, n}, entry_wall_us());
    }
    svc_apply_budgets(en, now);
    once_apply(en, now);
    en->applied = entry_mode(en, now);
    snap_unref(old);
    for (int i = 0; i < en->n_svcs; i++) {
        svc_pump(en->svcs[i]);
    }
}

/*
 * What the snapshot lets this VM own now.  A snapshot from before a pause of
 * this process gives nothing: another VM may own its targets by now.
 */
OwnMode
entry_mode(const Entry *en, int64_t now_us)
{
    const Snapshot *s = en->snap;

    if (s->mode == OWN_NONE || s->at_us < en->resumed_us) {
        return OWN_NONE;
    }
    if (s->mode == OWN_FULL && now_us < s->good_until_us) {
        return OWN_FULL;
    }
    return OWN_ISOLATED;
}

/* Ownership that lapsed takes effect at once.  Returns true when it did. */
bool
entry_apply_time(Entry *en, int64_t now_us)
{
    note_pause(en, now_us);
    OwnMode mode = entry_mode(en, now_us);

    if (mode == en->applied) {
        return false;
    }
    en->applied = mode;
    lg_decision("entry", "ownership: mode=%s reason=%s", own_mode_name(mode),
                mode == OWN_FULL   ? "confirmed"
                : mode == OWN_NONE ? "paused"
                                   : "lapsed");
    svc_apply_budgets(en, now_us);
    once_apply(en, now_us);
    return true;
}

static void
fill_report(void *ctx, SnapReport *r)
{
    Entry *en = ctx;
    int64_t now = g_get_monotonic_time();
    GString *text = g_string_new(NULL);

    r->leaving = en->stop_at_us != 0;
    for (int i = 0; i < EC_N; i++) {
        g_string_append_printf(text, "%s %" G_GINT64_FORMAT "\n", ctr_names[i],
                               en->c[i]->value);
    }
    g_strlcpy(r->counters, text->str, sizeof(r->counters));
    g_string_free(text, TRUE);
    if (en->snap == NULL) {
        return;
    }
    const Manifest *m = en->snap->m;
    r->config_version = en->snap->config_version;
    r->n_loads = en->n_svcs;
    for (int i = 0; i < en->n_svcs; i++) {
        SnapLoad *l = &r->loads[i];
        l->service = i;
        l->usable_slots = slot_usable(en->svcs[i]->slots, now);
        l->free_slots = slot_free(en->svcs[i]->slots, now);
        memcpy(l->demand, en->svcs[i]->demand, sizeof(l->demand));
    }
    for (int z = 0; z < m->n_zones; z++) {
        r->zone_bad[z] = now - en->zone_bad_us[z] < REMOVE_MS * 1000;
    }
    r->journal = idem_journal_write(en->idem, JOURNAL_BYTES);
}

/* Wanted busy slots by Little's law: arrivals a second times service time. */
static void
measure_demand(Entry *en)
{
    for (int i = 0; i < en->n_svcs; i++) {
        Svc *s = en->svcs[i];
        double mean_s = (double)slot_service_mean_us(s->slots) / 1e6;
        for (int z = 0; z < en->snap->m->n_zones; z++) {
            double now = s->arrived[z] * mean_s;
            s->demand[z] += DEMAND_SMOOTH * (now - s->demand[z]);
            s->arrived[z] = 0;
        }
    }
}

static gboolean
on_second(gpointer data)
{
    Entry *en = data;

    if (en->snap != NULL) {
        measure_demand(en);
        health_poll(en);
    }
    idem_expire(en->idem, entry_wall_us());
    suspect_expire(en->suspects, g_get_monotonic_time());
    lg_flush();
    return G_SOURCE_CONTINUE;
}

/* The stop ends when no caller can hold a look-up answer that names this VM
 * any more, or none has come for a while, and nothing is in flight. */
static void
step_stop(Entry *en, int64_t now)
{
    int64_t end = en->stop_at_us +
                  (LOOKUP_LIFETIME_MAX_MS + STOP_MARGIN_MS) * INT64_C(1000);
    int64_t quiet = MAX(en->last_arrival_us, en->stop_at_us) +
                    STOP_QUIET_MS * INT64_C(1000);

    if (en->stop_at_us == 0 || now < MIN(end, quiet)) {
        return;
    }
    http_srv_stop_accepting(en->http);
    bool unfinished = now < MIN(end, quiet) + STOP_LINGER_MS * INT64_C(1000) &&
                      http_srv_unfinished(en->http) > 0;
    if (en->reqs.length == 0 && !unfinished) {
        INV("graceful_stop", g_hash_table_size(en->queued) == 0,
            "%u requests wait at the end of a planned stop",
            g_hash_table_size(en->queued));
        g_main_loop_quit(en->loop);
    }
}

static void
push_report(Entry *en)
{
    if (en->ctl != NULL) {
        ctlc_push(en->ctl);
    }
}

static gboolean
on_tick(gpointer data)
{
    Entry *en = data;
    int64_t now = g_get_monotonic_time();

    while (!g_sequence_is_empty(en->deadlines)) {
        Req *r = g_sequence_get(g_sequence_get_begin_iter(en->deadlines));
        if (r->deadline_us > now) {
            break;
        }
        req_late(r);
    }
    if (en->snap != NULL && entry_apply_time(en, now)) {
        push_report(en);
    }
    if (g_hash_table_size(en->queued) > 0) {
        for (int i = 0; i < en->n_svcs; i++) {
            svc_pump(en->svcs[i]);
        }
    }
    step_stop(en, now);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_term(gpointer data)
{
    Entry *en = data;

    if (en->stop_at_us == 0) {
        lg_line(LG_INFO, "entry", "planned stop begins");
        en->stop_at_us = g_get_monotonic_time();
        push_report(en);
    }
    return G_SOURCE_CONTINUE;
}

/* Callers, upstreams and pipes need more descriptors than the usual 1,024. */
static void
raise_descriptors(void)
{
    struct rlimit l;

    if (getrlimit(RLIMIT_NOFILE, &l) == 0) {
        l.rlim_cur = l.rlim_max;
        setrlimit(RLIMIT_NOFILE, &l);
    }
}

static void
entry_init(Entry *en)
{
    IdemOpts io = {.records_max = IDEM_RECORDS_MAX,
                   .window_us = IDEM_WINDOW_MS * INT64_C(1000),
                   .clock_error_us = WALL_CLOCK_ERROR_MS * INT64_C(1000)};

    make_proof(en);
    GMainContext *own = g_main_context_new();
    g_main_context_push_thread_default(own);
    en->loop = g_main_loop_new(own, FALSE);
    g_main_context_unref(own);
    en->ctrs = ctr_set_new();
    for (int i = 0; i < EC_N; i++) {
        en->c[i] = ctr_get(en->ctrs, ctr_names[i], "");
    }
    en->polled = ctr_get(en->ctrs, "entry_health_reports_total", "");
    en->rnd = g_rand_new();
    en->up = up_pool_new();
    en->idem = idem_new(&io);
    en->suspects = suspect_new(SUSPECTS_MAX);
    en->waiters =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    en->queued = g_hash_table_new(g_int64_hash, g_int64_equal);
    en->polls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    en->deadlines = g_sequence_new(NULL);
    g_queue_init(&en->reqs);
    for (int z = 0; z < ZONES_MAX; z++) {
        en->zone_bad_us[z] = INT64_MIN / 2;
    }
}

static void
entry_end(Entry *en)
{
    if (en->ctl != NULL) {
        ctlc_free(en->ctl);
    }
    http_srv_free(en->http);
    up_pool_free(en->up);
    for (int i = 0; i < en->n_svcs; i++) {
        svc_free(en->svcs[i]);
    }
    idem_free(en->idem);
    suspect_free(en->suspects);
    lookup_table_free(en->blocks);
    snap_unref(en->snap);
    g_hash_table_destroy(en->waiters);
    g_hash_table_destroy(en->queued);
    g_hash_table_destroy(en->polls);
    g_sequence_free(en->deadlines);
    ctr_set_free(en->ctrs);
    g_rand_free(en->rnd);
    g_main_context_pop_thread_default(g_main_loop_get_context(en->loop));
    g_main_loop_unref(en->loop);
}

static void
connect_control(Entry *en)
{
    CtlcOpts co = {.program = "entry",
                   .address = en->set->control,
                   .fleet_key = en->set->fleet_key,
                   .on_snapshot = entry_take_snapshot,
                   .fill_report = fill_report,
                   .ctx = en};

    en->ctl = ctlc_new(&co);
}

int
entry_run(const Settings *set, EntryFeed feed, void *ctx, Err *e)
{
    Entry *en = g_new0(Entry, 1);

    signal(SIGPIPE, SIG_IGN);
    raise_descriptors();
    en->set = set;
    entry_init(en);
    if (!entry_http_start(en, e)) {
        return err_exit_code(e->kind);
    }
    admin_start(en);
    if (feed != NULL) {
        feed(en, ctx);
    }
    else {
        connect_control(en);
    }
    en->term_source = src_signal(SIGTERM, on_term, en);
    en->int_source = src_signal(SIGINT, on_term, en);
    en->tick_source = src_timeout(TICK_MS, on_tick, en);
    en->second_source = src_timeout(SECOND_MS, on_second, en);
    lg_line(LG_INFO, "entry", "listening on %s", set->entry);
    lg_flush();
    g_main_loop_run(en->loop);
    src_end(&en->tick_source);
    src_end(&en->second_source);
    src_end(&en->term_source);
    src_end(&en->int_source);
    lg_line(LG_INFO, "entry", "planned stop is complete");
    entry_end(en);
    g_free(en);
    return 0;
}
