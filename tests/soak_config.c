/*
 * soak_config - randomised test of the configuration that each of eight entry
 * VM processes has in force.
 *
 * Starts standin-platform and eight VMs in six zones of three regions, each
 * behind a standin-link with the delay of its region.  Versions come in rows;
 * each exchanges the services of two routes, adds a route and removes one.
 * Among the faults is a drill: the store is away for a moment and comes back
 * from an older copy.  Probes ask each VM for the routes that recent versions
 * changed, over a kept connection and over new ones.  Invariants, for each VM
 * alone: config   CONFIG_US after a version is acknowledged, a VM that is in
 * touch handles no request as only an older version allows regress  nor does a
 * process BACK_US after it has shown a version, or BACK_SLOW_US if it was
 * frozen; also out of touch end      a VM process does not exit unprompted
 *   served   SERVED_MIN_RATIO of the probes of each VM get 200 or 404
 * A response 503, and none at all, violate neither config nor regress.
 *
 * usage: soak_config [--seed N] [--steps N] [--fault NAME]
 * NAME: the only kind of fault, calm for none, or start for those around a new
 * start; default: all kinds.
 * PORT in the environment: the first of 200 ports to use.  VM_PRELOAD: a
 * library that the VM processes load, such as one that delays datagrams.
 * VM_PROGRAM: another build of mimosa-edge, to compare it on the same seeds.
 * Exit status: 0 no violation, 1 violation; the logs are then kept.
 */
#include "soak_cfgfaults.h"

#define CONFIG_US (2 * SEC)
#define BACK_US (250 * MS)
#define BACK_SLOW_US (8 * BACK_US)
#define PROBE_US (100 * MS) /* between the probes of a channel */
#define PROBE_TIMEOUT_US (2 * SEC)
#define RECENT_VERSIONS 12 /* whose routes are asked for */
#define STEPS_PER_S 4000
#define SECONDS_MIN 14
#define SECONDS_MAX 40
#define START_US (3 * SEC) /* until the first fault */
#define SETTLE_US (4 * SEC)
#define FAULT_CHANCE 0.04 /* per tick */
#define SERVED_MIN_RATIO 0.1
#define LOG_LINES 25 /* printed of a VM's log */

typedef struct Channel {
    ConfigVm *v;
    KvConn *conn;
    bool fresh; /* opens a connection for each request */
    EvlTimer timer;
    int boot; /* of the process when the request was sent */
    int64_t sent_us;
    char route[16];
} Channel;

/* Whether the version allows that answer on the route.  service: -1 for the
 * answer 404. */
static bool
allows(int version, const char *route, int service)
{
    int k = atoi(route + 1);

    if (route[0] == 'g') {
        bool exists = k <= version && version < k + ROUTE_LIFE;
        return exists ? service == k % SERVICES : service == -1;
    }
    return service == pair_service(version, k, route[0] == 'a' ? 0 : 1);
}

/* Returns the oldest version of from to to that allows the answer, or 0. */
static int
oldest_allowing(const Channel *c, int service, int from, int to)
{
    for (int v = from; v <= to; v++) {
        if (allows(v, c->route, service)) {
            return v;
        }
    }
    return 0;
}

static int
newest_acked_before(const World *w, int64_t at_us)
{
    int v = w->n_acked;

    while (v > 0 && w->acked_us[v] > at_us) {
        v--;
    }
    return v;
}

static void
print_log_end(const ConfigVm *v)
{
    char *cmd = g_strdup_printf(
        "grep -E 'part=(store|config|vm) ' %s/vm%d.log | tail -n %d >&2",
        v->w->dir, v->no, LOG_LINES);

    if (system(cmd) != 0) {
        fprintf(stderr, "soak_config: no log of vm %d\n", v->no);
    }
    g_free(cmd);
}

static void
report_violation(const Channel *c, const char *invariant, int service,
                 int bound, int64_t now_us)
{
    ConfigVm *v = c->v;
    World *w = v->w;
    int like = oldest_allowing(c, service, 1, w->n_sent);
    char acked[48] = "lost by the store";

    if (w->acked_us[bound] != INT64_MAX) {
        snprintf(acked, sizeof(acked), "acked %.3f s before",
                 (double)(c->sent_us - w->acked_us[bound]) / 1e6);
    }
    w->violations++;
    fprintf(stderr,
            "soak_config: %s violated: seed %" G_GUINT64_FORMAT
            " at %.3f s, unix %.3f, vm %d zone %s boot %d up %.3f s, %s, "
            "route %s got %s, sent %.3f s ago; bound %d (version %d, %s), "
            "newest %d; oldest that allows it %d (version "
            "%d); disturbed %.3f s before\n",
            invariant, (guint64)w->s.seed,
            (double)(now_us - w->begin_us) / 1e6,
            (double)g_get_real_time() / 1e6, v->no, vm_zones[v->no], v->boot,
            (double)(now_us - v->started_us) / 1e6,
            c->fresh ? "new connection" : "kept connection", c->route,
            service < 0 ? "404" : service_names[service],
            (double)(now_us - c->sent_us) / 1e6, bound, w->numbers[bound],
            acked, w->n_sent, like, w->numbers[like],
            (double)(c->sent_us - v->disturbed_us) / 1e6);
    if (v->violations++ < 3) {
        print_log_end(v);
    }
}

/* Returns the version that the process had shown by then, or 0. */
static int
shown_before(const ConfigVm *v, int64_t at_us)
{
    for (guint i = v->floors->len; i-- > 0;) {
        const Floor *f = &g_array_index(v->floors, Floor, i);
        if (f->at_us <= at_us) {
            return f->version;
        }
    }
    return 0;
}

/* Notes for how long, at the time of the request, an acknowledged version had
 * forbidden the answer. */
static void
note_staleness(const Channel *c, int service, bool touched)
{
    ConfigVm *v = c->v;
    const World *w = v->w;
    int n = w->n_sent;

    while (n > 0 && !allows(n, c->route, service)) {
        n--;
    }
    if (n < w->n_acked) {
        int64_t *max_us = touched ? &v->stale_us : &v->stale_out_us;
        *max_us = MAX(*max_us, c->sent_us - w->acked_us[n + 1]);
    }
}

static void
check_answer(Channel *c, int service, int64_t now_us)
{
    ConfigVm *v = c->v;
    World *w = v->w;
    int64_t slack_us =
        now_us - v->frozen_us < TOUCH_US ? BACK_SLOW_US : BACK_US;
    int bound = newest_acked_before(w, c->sent_us - CONFIG_US);
    int shown = shown_before(v, c->sent_us - slack_us);
    int last =
        v->floors->len == 0
            ? 1
            : g_array_index(v->floors, Floor, v->floors->len - 1).version;

    bool touched = vm_in_touch(v, c->sent_us);
    v->answered++;
    note_staleness(c, service, touched);
    if (touched && bound > 0) {
        v->checked++;
        if (oldest_allowing(c, service, bound, w->n_sent) == 0) {
            report_violation(c, "config", service, bound, now_us);
        }
    }
    if (shown > 0 && oldest_allowing(c, service, shown, w->n_sent) == 0) {
        report_violation(c, "regress", service, shown, now_us);
    }
    Floor f = {now_us, oldest_allowing(c, service, last, w->n_sent)};
    if (f.version > last) {
        g_array_append_val(v->floors, f);
    }
}

static void
on_probed(void *ctx, int status, Str body, int64_t now_us)
{
    Channel *c = ctx;
    int service = status == 404 ? -1 : SERVICES;

    c->v->probes++;
    for (int k = 0; k < SERVICES && status == 200; k++) {
        if (str_eqz(body, service_names[k])) {
            service = k;
        }
    }
    if (c->boot == c->v->boot && service < SERVICES) {
        check_answer(c, service, now_us);
    }
    if (c->fresh) {
        kv_disconnect(c->conn);
    }
    evl_arm(c->v->w->loop, &c->timer, MAX(now_us, c->sent_us + PROBE_US));
}

static void
choose_route(Channel *c)
{
    World *w = c->v->w;
    int k = (int)soak_int(&w->s, MAX(1, w->n_sent - RECENT_VERSIONS),
                          MAX(1, w->n_sent));
    int kind = (int)soak_int(&w->s, 0, 3);

    if (kind < 2) {
        snprintf(c->route, sizeof(c->route), "%c%d", kind == 0 ? 'a' : 'b',
                 k % PAIRS);
    }
    else {
        snprintf(c->route, sizeof(c->route), "g%d",
                 kind == 2 ? k : MAX(1, k - ROUTE_LIFE));
    }
}

static void
on_probe_due(void *ctx, int64_t now_us)
{
    Channel *c = ctx;
    World *w = c->v->w;
    GString *g = g_string_new(NULL);

    if (c->v->pid == 0 || w->n_acked == 0) {
        g_string_free(g, TRUE);
        evl_arm(w->loop, &c->timer, now_us + PROBE_US);
        return;
    }
    choose_route(c);
    c->boot = c->v->boot;
    c->sent_us = now_us;
    g_string_printf(g,
                    "GET /%s/x/service HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Mimosascale-Attempt-Id: %d-%d-%" G_GINT64_FORMAT "\r\n"
                    "X-Mimosascale-Deadline-Ms: 1500\r\n\r\n",
                    c->route, c->v->no, c->fresh ? 1 : 0, now_us);
    kv_call(c->conn, g, PROBE_TIMEOUT_US, on_probed, c);
}

static void
on_change(void *ctx, int64_t now_us)
{
    World *w = ctx;
    int64_t next_us = now_us + CHANGE_US;

    if (w->n_sent + 1 >= VERSIONS_MAX) {
        return;
    }
    if (drill_holds_changes(w)) {
        w->changes_left = (int)soak_int(&w->s, CHANGES_MIN, CHANGES_MAX);
        evl_arm(w->loop, &w->change,
                w->drill.write_us +
                    soak_int(&w->s, DRILL_CALM_MIN_MS, DRILL_CALM_MAX_MS) *
                        MS);
        return;
    }
    /* Some faults come at the moment of the change, before or after it. */
    bool strikes = now_us < w->faults_end_us &&
                   now_us > w->begin_us + START_US && soak_chance(&w->s, 0.25);
    bool before = soak_chance(&w->s, 0.5);
    if (strikes && before) {
        inject(w, now_us);
    }
    store_next_version(w);
    if (strikes && !before) {
        inject(w, now_us);
    }
    if (--w->changes_left <= 0) {
        w->changes_left = (int)soak_int(&w->s, CHANGES_MIN, CHANGES_MAX);
        next_us += soak_int(&w->s, CALM_MIN_MS, CALM_MAX_MS) * MS;
    }
    evl_arm(w->loop, &w->change, next_us);
}

static void
on_tick(void *ctx, int64_t now_us)
{
    World *w = ctx;

    poll_faults(w, now_us);
    if (now_us > w->begin_us + START_US && now_us < w->faults_end_us &&
        soak_chance(&w->s, FAULT_CHANCE)) {
        inject(w, now_us);
    }
    if (now_us > w->end_us) {
        evl_stop(w->loop);
        return;
    }
    evl_arm(w->loop, &w->tick, now_us + TICK_US);
}

static void
start_probes(World *w, Channel *channels)
{
    for (int i = 0; i < VMS * CHANNELS; i++) {
        Channel *c = &channels[i];
        struct sockaddr_in at;
        char text[32];
        c->v = &w->vms[i / CHANNELS];
        c->fresh = i % CHANNELS == 1;
        snprintf(text, sizeof(text), "127.0.0.1:%d", vm_port(w, c->v->no));
        strm_parse_addr(str_of(text), &at);
        c->conn = kv_new(w->loop, &at, NULL);
        c->timer = (EvlTimer){.fn = on_probe_due, .ctx = c};
        evl_arm(w->loop, &c->timer, w->begin_us + SEC + i * 6 * MS);
    }
}

static void
start_world(World *w, int64_t faults_us)
{
    char text[32];
    struct sockaddr_in store;

    start_platform(w);
    snprintf(text, sizeof(text), "127.0.0.1:%d", w->port);
    strm_parse_addr(str_of(text), &store);
    w->control = kv_new(w->loop, &store, NULL);
    w->retry = (EvlTimer){.fn = on_control_retry, .ctx = w};
    w->begin_us = evl_boottime();
    w->faults_end_us = w->begin_us + START_US + faults_us;
    w->end_us = w->faults_end_us + SETTLE_US;
    for (int i = 0; i < VMS; i++) {
        ConfigVm *v = &w->vms[i];
        v->w = w;
        v->no = i;
        v->floors = g_array_new(FALSE, FALSE, sizeof(Floor));
        write_settings(w, i);
        start_link(w, i);
        start_vm(w, i);
    }
    w->tick = (EvlTimer){.fn = on_tick, .ctx = w};
    evl_arm(w->loop, &w->tick, w->begin_us + TICK_US);
    w->change = (EvlTimer){.fn = on_change, .ctx = w};
    evl_arm(w->loop, &w->change, w->begin_us + TICK_US);
}

static void
end_process(pid_t pid)
{
    if (pid != 0) {
        kill(pid, SIGKILL);
        waitpid(pid, NULL, 0);
    }
}

static void
stop_world(World *w)
{
    for (int i = 0; i < VMS; i++) {
        end_process(w->vms[i].pid);
        end_process(w->vms[i].link_pid);
    }
    end_process(w->platform_pid);
}

static int
report(World *w)
{
    for (int i = 0; i < VMS; i++) {
        const ConfigVm *v = &w->vms[i];
        printf("soak_config: vm %d zone %s: boots %d probes %d answered %d "
               "checked %d "
               "violations %d stale_ms %" G_GINT64_FORMAT
               " out_of_touch %" G_GINT64_FORMAT "\n",
               i, vm_zones[i], v->boot, v->probes, v->answered, v->checked,
               v->violations, v->stale_us / MS, v->stale_out_us / MS);
        if (v->answered < v->probes * SERVED_MIN_RATIO) {
            fprintf(stderr, "soak_config: served violated by vm %d\n", i);
            w->violations++;
        }
    }
    printf("soak_config: seed %" G_GUINT64_FORMAT ", %d versions, faults",
           (guint64)w->s.seed, w->n_acked);
    for (int k = 0; k < FAULT_KINDS; k++) {
        printf(" %s=%d", fault_names[k], w->faults[k]);
    }
    printf("; %d violations\n", w->violations);
    if (w->violations > 0 || getenv("KEEP_LOGS") != NULL) {
        fprintf(stderr, "soak_config: logs in %s\n", w->dir);
        return w->violations > 0 ? 1 : 0;
    }
    char *cmd[] = {(char *)"rm", (char *)"-rf", w->dir, NULL};
    g_spawn_sync(NULL, cmd, NULL, G_SPAWN_SEARCH_PATH, NULL, NULL, NULL, NULL,
                 NULL, NULL);
    return 0;
}

int
main(int argc, char **argv)
{
    static World w;
    static Channel channels[VMS * CHANNELS];

    soak_args(&w.s, argc, argv, fault_names);
    int64_t seconds =
        CLAMP((int64_t)(w.s.steps / STEPS_PER_S), SECONDS_MIN, SECONDS_MAX);
    signal(SIGPIPE, SIG_IGN);
    w.loop = evl_new();
    w.bin = g_path_get_dirname(argv[0]);
    w.dir = g_dir_make_tmp("mimosa-soak-XXXXXX", NULL);
    /* Runs whose seeds differ modulo 5 can run concurrently. */
    w.port = 27000 + (int)(w.s.seed % 5) * 200;
    if (getenv("PORT") != NULL) {
        w.port = atoi(getenv("PORT"));
    }
    w.changes_left = CHANGES_MIN;
    start_world(&w, seconds * SEC);
    start_probes(&w, channels);
    evl_run(w.loop);
    stop_world(&w);
    return report(&w);
}
