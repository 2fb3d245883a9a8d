/*
 * soak_edge - randomised fault test of entry VM processes with the store and
 * the targets of standin-platform.
 *
 * Starts standin-platform and three entry VMs, with a proxy between each VM
 * and the store and in front of each target.  Injects faults: the proxies
 * delay, withhold, drop in one direction or reset; the store responds with
 * errors or not at all; VM processes are terminated, paused, killed and
 * restarted, and reload; the configuration changes and a zone is evacuated.
 * Meanwhile callers send requests over persistent connections.  Invariants:
 *   whole     a response with status 200 is complete and that of the request
 *   once      a non-idempotent request runs at most once
 *   not_run   a non-idempotent request whose response is 503, 429, 421 or 408
 *             has not run
 *   attempts  a request runs at most MAX_ATTEMPTS times
 *   config    a VM never loses a route of a configuration version that it has
 *             served
 *   stop      a VM that received SIGTERM responds to the requests it has read
 *   end       a VM process neither exits unprompted nor crashes
 *   recover   after the faults, MIN_SERVED_RATIO of the requests get 200
 *   memory    the resident set of a VM process is at most RSS_MAX_KB
 *   notice    no request is sent to a target later than the drain time after
 *             it has told the VM that it leaves
 *   wait      at most two requests are sent to a target that has asked the VM
 *             for a wait
 *   check     the stand-in returns the number of runs of each attempt
 *
 * usage: soak_edge [--seed N] [--steps N]
 * Faults are injected for a second per STEPS_PER_S steps, at least
 * SECONDS_MIN.  Exit status: 0 no violation, 1 violation; the logs of the
 * processes are then kept.
 */
#include "soak.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include "kv.h"
#include "soak_proxy.h"

#define VMS 3
#define TARGETS 4
#define CALLERS 24
#define TICKS_PER_FAULT 3 /* average; a tick is 50 ms */
#define STEPS_PER_S 10000
#define SECONDS_MIN 8
#define SECONDS_MAX 3600
#define SETTLE_US (7 * SEC) /* from the last fault to recovery */
/* Recovery phase, whose requests must be served. */
#define RECOVERY_US (3 * SEC)
#define CALL_TIMEOUT_US (4 * SEC)
#define STOP_TIMEOUT_US (6 * SEC) /* stop of write_settings() */
#define RSS_MAX_KB (64 * 1024)
#define MIN_SERVED_RATIO 0.95
#define MAX_ATTEMPTS 2 /* MaxAttempts of the routes */

typedef struct Proc {
    pid_t pid;            /* 0: not running */
    int64_t start_us;     /* time of the next start; 0: running */
    bool has_responded;   /* the process has responded to a request */
    int64_t term_us;      /* time of SIGTERM; 0: none */
    int64_t disturbed_us; /* time of the last SIGKILL, SIGSTOP or SIGCONT */
    bool paused;
    int64_t resume_us;
    int newest_route; /* highest number of a route that it has served */
    int n_paused;     /* a pause excuses it from notices received before */
} Proc;

/* A caller, its connection and its current request. */
typedef struct SoakCaller {
    struct World *w;
    KvConn *conn;
    int vm;
    pid_t pid; /* of the VM when the request was sent */
    char id[32];
    char behaviour[16];
    bool non_idempotent;
    int route_no; /* of an added route; 0: read or write */
    int64_t at_us;
    EvlTimer timer; /* next request */
} SoakCaller;

/* A request whose call has ended. */
typedef struct Result {
    char id[32];
    bool non_idempotent;
    bool not_run; /* the status guarantees that it has not run */
} Result;

typedef struct World {
    Evl *loop;
    GRand *rnd;
    uint64_t seed;
    char *bin;
    char *dir;
    int port;
    Proc platform;
    Proc vms[VMS];
    Proxy store_proxies[VMS];
    Proxy target_proxies[TARGETS];
    SoakCaller callers[CALLERS];
    KvConn *control;
    GQueue control_queue; /* GString; control requests */
    EvlTimer tick;
    int64_t begin_us;
    int64_t faults_end_us;
    int next_id;
    int added_routes;
    int version;
    GArray *results; /* Result */
    guint checked;
    bool notices_ended; /* the targets were restarted after the faults */
    int recovery_served;
    int recovery_requests;
    int status_counts[6]; /* by first digit of the status; 0: no response */
    int faults;
    int violations;
} World;

static void report_violation(World *w, const char *invariant,
                             const SoakCaller *c, const char *fmt, ...)
    G_GNUC_PRINTF(4, 5);

static void
report_violation(World *w, const char *invariant, const SoakCaller *c,
                 const char *fmt, ...)
{
    va_list ap;

    w->violations++;
    fprintf(stderr, "soak_edge: %s violated at %.3f s, id %s vm %d path %s: ",
            invariant, (double)(evl_now(w->loop) - w->begin_us) / 1e6,
            c == NULL ? "-" : c->id, c == NULL ? -1 : c->vm,
            c == NULL ? "-" : c->behaviour);
    va_start(ap, fmt);
    vfprintf(stderr, fmt, ap);
    va_end(ap);
    fputc('\n', stderr);
}

static int
rnd(World *w, int n)
{
    return g_rand_int_range(w->rnd, 0, n);
}

static void
spawn(Proc *p, const char *log, char **argv)
{
    pid_t pid = fork();

    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        execv(argv[0], argv);
        _exit(127);
    }
    p->pid = pid;
    p->disturbed_us = 0;
    p->has_responded = false;
    p->start_us = 0;
    p->term_us = 0;
    p->paused = false;
    p->newest_route = 0;
}

static void
start_vm(World *w, int i)
{
    char *exe = g_strdup_printf("%s/mimosa-edge", w->bin);
    char *ini = g_strdup_printf("%s/vm%d.ini", w->dir, i);
    char *log = g_strdup_printf("%s/vm%d.log", w->dir, i);
    char *argv[] = {exe, (char *)"--config", ini, NULL};

    spawn(&w->vms[i], log, argv);
    g_free(exe);
    g_free(ini);
    g_free(log);
}

static int
vm_port(const World *w, int i)
{
    return w->port + 100 + 10 * i;
}

static void
write_settings(World *w, int i)
{
    int p = vm_port(w, i);
    char *file = g_strdup_printf("%s/vm%d.ini", w->dir, i);
    char *text = g_strdup_printf(
        "[vm]\nid = vm-%d\nzone = %s\nmemory_mb = 160\ndescriptors = 4096\n"
        "[zones]\nwest-a = west\neast-a = east\n[listen]\n"
        "requests = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
        "directory = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
        "metrics = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:%d\n"
        "[bounds]\ndrain = 2500ms\nconfiguration = 2500ms\nstop = 6s\n"
        "directory_ttl = 2s\nmax_shift = 0.15\nretry_ratio = 0.2\n"
        "retry_slack = 60\nretry_window = 10s\n",
        i, i == 0 ? "west-a" : "east-a", p, p + 1, p + 2, p + 3, p + 4,
        w->port + 10 + i);

    g_file_set_contents(file, text, -1, NULL);
    g_free(file);
    g_free(text);
}

static void
start_platform(World *w)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    char *log = g_strdup_printf("%s/platform.log", w->dir);

    g_ptr_array_add(argv, g_strdup_printf("%s/standin-platform", w->bin));
    g_ptr_array_add(argv, g_strdup("--store"));
    g_ptr_array_add(argv, g_strdup_printf("127.0.0.1:%d", w->port));
    for (int t = 0; t < TARGETS; t++) {
        g_ptr_array_add(argv, g_strdup("--target"));
        g_ptr_array_add(
            argv,
            g_strdup_printf("u-%d,127.0.0.1:%d,desk,%s,127.0.0.1:%d", t,
                            w->port + 20 + t, t % 2 == 0 ? "west-a" : "east-a",
                            w->port + 30 + t));
    }
    g_ptr_array_add(argv, NULL);
    spawn(&w->platform, log, (char **)argv->pdata);
    g_ptr_array_free(argv, TRUE);
    g_free(log);
}

/* Sends the next queued control request unless one is outstanding. */
static void send_control(World *w);

static void
on_control_done(void *ctx, int status, Str body, int64_t now_us)
{
    (void)status;
    (void)body;
    (void)now_us;
    send_control(ctx);
}

static void
send_control(World *w)
{
    GString *g =
        kv_busy(w->control) ? NULL : g_queue_pop_head(&w->control_queue);

    if (g != NULL) {
        kv_call(w->control, g, CALL_TIMEOUT_US, on_control_done, w);
    }
}

static void
control(World *w, const char *path, const char *body)
{
    GString *g = g_string_new(NULL);

    g_string_printf(g,
                    "PUT %s HTTP/1.1\r\nHost: t\r\nContent-Length: "
                    "%zu\r\n\r\n%s",
                    path, strlen(body), body);
    g_queue_push_tail(&w->control_queue, g);
    send_control(w);
}

static void
add_route(GString *g, const char *prefix, const char *kind)
{
    g_string_append_printf(
        g,
        "%s{\"Name\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\","
        "\"Timeout\":\"1500ms\",\"Slo\":\"400ms\",\"Priority\":1,"
        "\"MaxAttempts\":%d,\"Sticky\":true,\"Service\":\"desk\"}",
        g->str[g->len - 1] == '[' ? "" : ",", prefix, prefix, kind,
        MAX_ATTEMPTS);
}

/* Stores a configuration with the routes read and write, and n_added added
 * ones. */
static void
put_config(World *w, int version, int n_added)
{
    GString *g = g_string_new(NULL);
    char name[16];

    g_string_printf(g,
                    "{\"Version\":%d,\"Services\":[{\"Name\":\"desk\","
                    "\"MaxConns\":200,\"Cold\":\"1s\",\"ColdPerS\":50.0}],"
                    "\"Limits\":{},\"Vhosts\":[{\"Host\":\"desk.example\","
                    "\"Paths\":[",
                    version);
    add_route(g, "read", "idempotent");
    add_route(g, "write", "non_idempotent");
    for (int i = 1; i <= n_added; i++) {
        snprintf(name, sizeof(name), "gen%d", i);
        add_route(g, name, "idempotent");
    }
    g_string_append(g, "]}]}");
    control(w, "/test/key?op/config", g->str);
    g_string_free(g, TRUE);
}

/* Stores a new version, with one more route and all former ones. */
static void
change_config(World *w)
{
    w->version += 1 + rnd(w, 4);
    w->added_routes++;
    put_config(w, w->version, w->added_routes);
}

static bool
has_settled(const World *w, int64_t now_us)
{
    return now_us > w->faults_end_us + SETTLE_US;
}

/* Reports a request that got no response although the VM had more than 50 ms
 * to read it before SIGTERM, was not killed or paused since the request was
 * sent, and its time to stop has not passed.  The behaviours cut and cutchunk
 * are exempt: the response of the target is truncated. */
static void
check_stop(World *w, const SoakCaller *c, int64_t now_us)
{
    const Proc *p = &w->vms[c->vm];
    bool cut = strncmp(c->behaviour, "cut", 3) == 0;

    if (p->term_us != 0 && c->pid == p->pid && !cut &&
        c->at_us < p->term_us - SEC / 20 && p->disturbed_us < c->at_us &&
        now_us < p->term_us + STOP_TIMEOUT_US) {
        report_violation(w, "stop", c, "no answer %.3f s after SIGTERM",
                         (double)(now_us - p->term_us) / 1e6);
    }
}

static void
check_body(World *w, const SoakCaller *c, Str body)
{
    char expected[64];

    snprintf(expected, sizeof(expected), "done %s\n", c->id);
    bool extra = strcmp(c->behaviour, "extra") == 0;
    bool otherid = strcmp(c->behaviour, "otherid") == 0;
    bool ok = extra     ? str_eqz(body, "abc")
              : otherid ? str_eqz(body, "def")
                        : str_eqz(body, expected);
    if (!ok || strncmp(c->behaviour, "cut", 3) == 0) {
        report_violation(w, "whole", c,
                         "status 200 with an unexpected body of %zu bytes",
                         body.n);
    }
}

static void
on_response(void *ctx, int status, Str body, int64_t now_us)
{
    SoakCaller *c = ctx;
    World *w = c->w;
    Proc *p = &w->vms[c->vm];
    bool same_process = p->pid == c->pid;
    Result r = {.non_idempotent = c->non_idempotent,
                .not_run = status == 503 || status == 429 || status == 421 ||
                           status == 408};

    w->status_counts[CLAMP(status / 100, 0, 5)]++;
    g_strlcpy(r.id, c->id, sizeof(r.id));
    g_array_append_val(w->results, r);
    p->has_responded =
        p->has_responded || (same_process && status > KV_NO_ANSWER);
    if (status == 200) {
        check_body(w, c, body);
        p->newest_route =
            same_process ? MAX(p->newest_route, c->route_no) : p->newest_route;
    }
    if (status == 404 && (c->route_no == 0 ||
                          (same_process && c->route_no <= p->newest_route))) {
        report_violation(w, "config", c,
                         "404 for route %d, but route %d was served",
                         c->route_no, p->newest_route);
    }
    if (status <= KV_NO_ANSWER) {
        check_stop(w, c, now_us);
    }
    if (has_settled(w, c->at_us) && strcmp(c->behaviour, "ok") == 0) {
        w->recovery_requests++;
        w->recovery_served += status == 200 ? 1 : 0;
    }
    evl_arm(w->loop, &c->timer, now_us + 1000 + rnd(w, 60000));
}

static void
send_request(void *ctx, int64_t now_us)
{
    static const char *const behaviours[] = {
        "ok",   "ok",   "ok",  "ok",    "ok",      "ok",     "ok",
        "slow", "lost", "cut", "extra", "otherid", "notrun", "cutchunk"};
    SoakCaller *c = ctx;
    World *w = c->w;
    char route[16];
    GString *g = g_string_new(NULL);

    if (now_us > w->faults_end_us + SETTLE_US + RECOVERY_US) {
        g_string_free(g, TRUE);
        return;
    }
    bool faults_ended = now_us > w->faults_end_us;
    c->non_idempotent = rnd(w, 2) == 0;
    c->route_no = !c->non_idempotent && w->added_routes > 0 && rnd(w, 3) == 0
                      ? 1 + rnd(w, w->added_routes)
                      : 0;
    if (c->route_no > 0) {
        snprintf(route, sizeof(route), "gen%d", c->route_no);
    }
    else {
        g_strlcpy(route, c->non_idempotent ? "write" : "read", sizeof(route));
    }
    snprintf(c->id, sizeof(c->id), "s%dn%d", (int)(w->seed % 10000),
             ++w->next_id);
    g_strlcpy(c->behaviour,
              faults_ended ? "ok"
                           : behaviours[rnd(w, G_N_ELEMENTS(behaviours))],
              sizeof(c->behaviour));
    c->at_us = now_us;
    c->pid = w->vms[c->vm].pid;
    g_string_printf(g,
                    "%s /%s/o%d/%s HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Mimosascale-Attempt-Id: %s\r\n"
                    "X-Mimosascale-Affinity-Key: %d\r\n"
                    "X-Mimosascale-Deadline-Ms: 3000\r\n"
                    "X-Test-Vm: %d-%d-%d\r\n"
                    "X-Test-Sent-Us: %" G_GINT64_FORMAT "\r\n%s\r\n%s",
                    c->non_idempotent ? "POST" : "GET", route, rnd(w, 40),
                    c->behaviour, c->id, rnd(w, 40), c->vm, (int)c->pid,
                    w->vms[c->vm].n_paused, now_us,
                    c->non_idempotent ? "Content-Length: 4\r\n" : "",
                    c->non_idempotent ? "work" : "");
    kv_call(c->conn, g, CALL_TIMEOUT_US, on_response, c);
}

static void
signal_vm(World *w, int i, int sig, int64_t now_us)
{
    Proc *p = &w->vms[i];

    if (p->pid == 0) {
        return;
    }
    kill(p->pid, sig);
    if (sig == SIGTERM && p->term_us == 0) {
        p->term_us = now_us;
    }
    else if (sig == SIGKILL || sig == SIGSTOP) {
        p->disturbed_us = now_us;
    }
    if (sig == SIGSTOP) {
        p->paused = true;
        p->n_paused++;
        p->resume_us = now_us + (200 + rnd(w, 2500)) * MS;
    }
}

/* Reaps an exited VM process and restarts it after a delay, resumes a paused
 * one, and kills one that exceeds its time to stop. */
static void
poll_vm(World *w, int i, int64_t now_us)
{
    Proc *p = &w->vms[i];
    int status;

    if (p->pid != 0 && waitpid(p->pid, &status, WNOHANG) == p->pid) {
        bool unprompted = p->term_us == 0 && p->disturbed_us == 0;
        int sig = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        /* Until main() blocks them, SIGTERM and SIGHUP terminate the process
         * by default.  It has read no request then, so this is no violation.
         * Seeds 15, 113 and 121 (SIGTERM) and 26 (SIGHUP) reproduce it. */
        bool early = (sig == SIGTERM || sig == SIGHUP) && !p->has_responded;
        if (!early && (unprompted || (sig != 0 && sig != SIGKILL))) {
            report_violation(w, "end", NULL,
                             "vm %d exited unexpectedly, status %d", i,
                             status);
        }
        p->pid = 0;
        p->start_us = now_us + (100 + rnd(w, 1500)) * MS;
    }
    if (p->pid != 0 && p->paused && now_us >= p->resume_us) {
        kill(p->pid, SIGCONT);
        p->paused = false;
        p->disturbed_us = now_us;
    }
    if (p->pid != 0 && p->term_us != 0 &&
        now_us > p->term_us + STOP_TIMEOUT_US) {
        kill(p->pid, SIGKILL);
    }
    if (p->pid == 0 && now_us >= p->start_us) {
        start_vm(w, i);
    }
}

/* Lets a target announce that it leaves or ask for a wait, or ends both. */
static void
give_notice(World *w)
{
    static const char *const calls[] = {"leaving", "busy", "well", "restart",
                                        "restart"};
    int k = rnd(w, G_N_ELEMENTS(calls));
    char path[64];
    char seconds[16];

    snprintf(path, sizeof(path), "/test/%s?u-%d", calls[k], rnd(w, TARGETS));
    snprintf(seconds, sizeof(seconds), "%.1f", 0.2 * (1 + rnd(w, 20)));
    control(w, path, k == 1 ? seconds : "");
}

static void
inject(World *w, int64_t now_us)
{
    static const char *const modes[] = {"ok", "busy", "refuse", "silent",
                                        "forget"};
    static const int signals[] = {SIGKILL, SIGTERM, SIGSTOP, SIGHUP};
    char path[64];
    int k = rnd(w, 14);

    w->faults++;
    if (k < 4) {
        signal_vm(w, rnd(w, VMS), signals[rnd(w, G_N_ELEMENTS(signals))],
                  now_us);
    }
    else if (k < 6) {
        int t = rnd(w, TARGETS);
        ProxyMode mode = (ProxyMode)rnd(w, PROXY_MODES);
        proxy_set(&w->target_proxies[t], mode);
        snprintf(path, sizeof(path), "/test/path?u-%d", t);
        control(w, path,
                mode == PROXY_PASS || mode == PROXY_DELAY ? "open" : "cut");
    }
    else if (k < 8) {
        proxy_set(&w->store_proxies[rnd(w, VMS)],
                  (ProxyMode)rnd(w, PROXY_MODES));
    }
    else if (k < 9) {
        snprintf(path, sizeof(path), "/test/mode?%s", modes[rnd(w, 5)]);
        control(w, path, "");
    }
    else if (k < 11 && w->added_routes > 1 && rnd(w, 3) == 0) {
        /* A delayed older version; no VM may revert to it. */
        put_config(w, w->version - 1, w->added_routes - 1);
    }
    else if (k < 11) {
        change_config(w);
    }
    else if (k < 13) {
        give_notice(w);
    }
    else {
        control(w,
                rnd(w, 2) == 0 ? "/test/key?op/evacuate/west-a"
                               : "/test/delete?op/evacuate/west-a",
                "{}");
    }
}

static void
end_faults(World *w)
{
    for (int i = 0; i < VMS; i++) {
        proxy_set(&w->store_proxies[i], PROXY_PASS);
        if (w->vms[i].paused) {
            w->vms[i].resume_us = 0;
        }
    }
    for (int t = 0; t < TARGETS; t++) {
        proxy_set(&w->target_proxies[t], PROXY_PASS);
    }
    control(w, "/test/mode?ok", "");
    put_config(w, w->version, w->added_routes);
    control(w, "/test/delete?op/evacuate/west-a", "");
    if (!w->notices_ended) {
        w->notices_ended = true;
        for (int t = 0; t < TARGETS; t++) {
            char path[64];
            snprintf(path, sizeof(path), "/test/restart?u-%d", t);
            control(w, path, "");
            snprintf(path, sizeof(path), "/test/path?u-%d", t);
            control(w, path, "open");
        }
    }
}

static void
check_memory(World *w)
{
    for (int i = 0; i < VMS; i++) {
        char file[64];
        char *text = NULL;
        snprintf(file, sizeof(file), "/proc/%d/status", (int)w->vms[i].pid);
        if (w->vms[i].pid != 0 &&
            g_file_get_contents(file, &text, NULL, NULL)) {
            const char *at = strstr(text, "VmRSS:");
            if (at != NULL && atoi(at + 6) > RSS_MAX_KB) {
                report_violation(w, "memory", NULL,
                                 "vm %d has a resident set of %d KB", i,
                                 atoi(at + 6));
            }
        }
        g_free(text);
    }
}

static void
on_tick(void *ctx, int64_t now_us)
{
    World *w = ctx;
    bool faults_active = now_us < w->faults_end_us;

    for (int i = 0; i < VMS; i++) {
        poll_vm(w, i, now_us);
    }
    if (faults_active && rnd(w, TICKS_PER_FAULT) == 0) {
        inject(w, now_us);
        if (now_us + 60 * MS >= w->faults_end_us) {
            end_faults(w);
        }
    }
    if (!faults_active && !has_settled(w, now_us)) {
        end_faults(w);
    }
    if (rnd(w, 20) == 0) {
        check_memory(w);
    }
    if (now_us >
        w->faults_end_us + SETTLE_US + RECOVERY_US + CALL_TIMEOUT_US) {
        evl_stop(w->loop);
        return;
    }
    evl_arm(w->loop, &w->tick, now_us + 50 * MS);
}

/* Gets the number of runs of each attempt from the stand-in, one after the
 * other. */
static void check_next(World *w);

static void
on_broken(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;
    char text[64] = "";
    int late = -1;
    int during = -1;
    (void)now_us;

    str_copy(text, sizeof(text), body);
    if (status != 200 || sscanf(text, "%d %d", &late, &during) != 2) {
        report_violation(w, "check", NULL, "no counts of notices, status %d",
                         status);
    }
    if (late > 0) {
        report_violation(w, "notice", NULL, "%d requests", late);
    }
    if (during > 0) {
        report_violation(w, "wait", NULL, "%d requests", during);
    }
    evl_stop(w->loop);
}

static void
on_run_count(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;
    const Result *r = &g_array_index(w->results, Result, w->checked);
    int runs = body.n > 0 ? atoi(body.p) : -1;
    SoakCaller c = {.vm = -1};
    (void)now_us;

    g_strlcpy(c.id, r->id, sizeof(c.id));
    if (status != 200 || runs < 0) {
        report_violation(w, "check", &c, "no count of runs, status %d",
                         status);
    }
    if (r->non_idempotent && runs > 1) {
        report_violation(w, "once", &c, "%d runs", runs);
    }
    if (r->non_idempotent && r->not_run && runs > 0) {
        report_violation(w, "not_run", &c, "%d runs", runs);
    }
    if (runs > MAX_ATTEMPTS) {
        report_violation(w, "attempts", &c, "%d runs", runs);
    }
    w->checked++;
    check_next(w);
}

static void
check_next(World *w)
{
    GString *g;

    g = g_string_new(NULL);
    if (w->checked >= w->results->len) {
        g_string_assign(g, "GET /test/broken HTTP/1.1\r\nHost: t\r\n\r\n");
        kv_call(w->control, g, CALL_TIMEOUT_US, on_broken, w);
        return;
    }
    g_string_printf(g, "GET /test/runs?%s HTTP/1.1\r\nHost: t\r\n\r\n",
                    g_array_index(w->results, Result, w->checked).id);
    kv_call(w->control, g, CALL_TIMEOUT_US, on_run_count, w);
}

static void
start_callers(World *w)
{
    for (int i = 0; i < CALLERS; i++) {
        SoakCaller *c = &w->callers[i];
        struct sockaddr_in at;
        char text[32];
        c->w = w;
        c->vm = i % VMS;
        snprintf(text, sizeof(text), "127.0.0.1:%d", vm_port(w, c->vm));
        strm_parse_addr(str_of(text), &at);
        c->conn = kv_new(w->loop, &at);
        c->timer = (EvlTimer){.fn = send_request, .ctx = c};
        evl_arm(w->loop, &c->timer, evl_now(w->loop) + 2 * SEC + i * 10 * MS);
    }
}

static void
start_world(World *w, int seconds)
{
    char at[32];
    char to[32];
    struct sockaddr_in store;

    for (int i = 0; i < VMS; i++) {
        snprintf(at, sizeof(at), "127.0.0.1:%d", w->port + 10 + i);
        snprintf(to, sizeof(to), "127.0.0.1:%d", w->port);
        proxy_start(&w->store_proxies[i], w->loop, at, to);
    }
    for (int t = 0; t < TARGETS; t++) {
        snprintf(at, sizeof(at), "127.0.0.1:%d", w->port + 30 + t);
        snprintf(to, sizeof(to), "127.0.0.1:%d", w->port + 20 + t);
        proxy_start(&w->target_proxies[t], w->loop, at, to);
    }
    start_platform(w);
    g_usleep(200000);
    snprintf(to, sizeof(to), "127.0.0.1:%d", w->port);
    strm_parse_addr(str_of(to), &store);
    w->control = kv_new(w->loop, &store);
    change_config(w);
    for (int i = 0; i < VMS; i++) {
        write_settings(w, i);
        start_vm(w, i);
    }
    start_callers(w);
    w->begin_us = evl_now(w->loop);
    w->faults_end_us = w->begin_us + 2 * SEC + seconds * SEC;
    w->tick = (EvlTimer){.fn = on_tick, .ctx = w};
    evl_arm(w->loop, &w->tick, w->begin_us + 2 * SEC);
}

static void
stop_world(World *w)
{
    for (int i = 0; i < VMS; i++) {
        if (w->vms[i].pid != 0) {
            kill(w->vms[i].pid, SIGKILL);
            waitpid(w->vms[i].pid, NULL, 0);
        }
    }
    kill(w->platform.pid, SIGKILL);
    waitpid(w->platform.pid, NULL, 0);
}

static int
report(const World *w, int seconds)
{
    bool recovered =
        w->recovery_requests > 0 &&
        w->recovery_served >= w->recovery_requests * MIN_SERVED_RATIO;

    printf(
        "soak_edge: seed %" G_GUINT64_FORMAT ", %d s, %d faults, %u "
        "requests: %d answered, %d 4xx, %d 5xx, %d without an answer; %d of "
        "%d served after the faults; %d violations\n",
        w->seed, seconds, w->faults, w->results->len, w->status_counts[2],
        w->status_counts[4], w->status_counts[5], w->status_counts[0],
        w->recovery_served, w->recovery_requests, w->violations);
    if (!recovered) {
        fprintf(stderr, "soak_edge: recover violated\n");
    }
    if (!recovered || w->violations > 0) {
        fprintf(stderr, "soak_edge: logs in %s\n", w->dir);
        return 1;
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
    uint64_t steps = 100000;

    w.seed = 1;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (strcmp(argv[i], "--seed") == 0) {
            w.seed = g_ascii_strtoull(argv[i + 1], NULL, 10);
        }
        else if (strcmp(argv[i], "--steps") == 0) {
            steps = g_ascii_strtoull(argv[i + 1], NULL, 10);
        }
    }
    int seconds = (int)CLAMP(steps / STEPS_PER_S, SECONDS_MIN, SECONDS_MAX);
    signal(SIGPIPE, SIG_IGN);
    w.loop = evl_new();
    w.rnd = g_rand_new_with_seed((guint32)w.seed);
    w.bin = g_path_get_dirname(argv[0]);
    w.dir = g_dir_make_tmp("mimosa-soak-XXXXXX", NULL);
    /* Runs whose seeds differ modulo 20 can run concurrently. */
    w.port = 28000 + (int)(w.seed % 20) * 200;
    w.results = g_array_new(FALSE, TRUE, sizeof(Result));
    start_world(&w, seconds);
    evl_run(w.loop);
    for (int i = 0; i < CALLERS; i++) {
        kv_cancel(w.callers[i].conn);
    }
    kv_cancel(w.control);
    w.control_queue = (GQueue)G_QUEUE_INIT;
    check_next(&w);
    evl_run(w.loop);
    stop_world(&w);
    return report(&w, seconds);
}
