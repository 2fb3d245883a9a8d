/*
 * soak_edge - randomised run of real processes on the platform's path.
 *
 * Starts standin-platform and three entry VMs, puts proxies before the store
 * and the targets, and injects faults from outside: proxies that delay,
 * silence, cut one way and reset; a store that fails in its manners;
 * processes that are stopped, paused, killed and restarted.  Meanwhile
 * callers send requests over kept connections, and each answer is checked:
 *   whole     an answer is whole and its own
 *   once      work that is not idempotent runs at most once
 *   not_run   what was answered 503, 429, 421 or 408 has not run
 *   attempts  idempotent work runs at most max_attempts times
 *   config    a VM never forgets a route of a version it served
 *   stop      a planned stop answers what it has read
 *   recover   after the faults requests are served again
 *   memory    an entry process stays small
 * usage: soak_edge [--seed N] [--steps N]; 10,000 steps are a second.
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
#define FAULT_ODDS 3 /* one fault in so many ticks of 50 ms */
#define STEPS_PER_S 10000
#define SECONDS_MIN 8
#define SECONDS_MAX 3600
#define SETTLE_US (7 * SEC) /* after the last fault */
#define CHECK_US (3 * SEC)  /* of calm requests that have to be served */
#define ANSWER_US (4 * SEC)
#define STOP_US (6 * SEC) /* as in the settings */
#define RSS_MAX_KB (64 * 1024)
#define SERVED_AT_LEAST 0.95
#define TRIES_MAX 2 /* max_attempts of the routes */

typedef struct Proc {
    pid_t pid;        /* 0: not running */
    int64_t start_us; /* when to start it; 0: it runs */
    bool answered;    /* this process has answered a request */
    int64_t term_us;  /* planned stop began; 0: none */
    int64_t hurt_us;  /* last kill or pause */
    bool paused;
    int64_t resume_us;
    int gen; /* newest route that this process has served */
} Proc;

typedef struct Ask {
    struct World *w;
    KvConn *conn;
    int vm;
    pid_t pid; /* of the VM when it was asked */
    char id[32];
    char what[16];
    bool once;
    int gen; /* number of the route; 0: an ordinary one */
    int64_t at_us;
    EvlTimer again;
} Ask;

typedef struct Done {
    char id[32];
    bool once;
    bool not_run; /* the caller was told so */
} Done;

typedef struct World {
    Evl *loop;
    GRand *rnd;
    uint64_t seed;
    char *bin;
    char *dir;
    int port;
    Proc platform;
    Proc vms[VMS];
    Proxy store[VMS];
    Proxy targets[TARGETS];
    Ask asks[CALLERS];
    KvConn *control;
    GQueue calls; /* control requests, GString */
    EvlTimer tick;
    int64_t begin_us;
    int64_t faults_end_us;
    int next_id;
    int gen;
    int version;
    GArray *done; /* Done */
    guint checked;
    int served;
    int asked;
    int counts[6]; /* by first digit of the status */
    int faults;
    int violations;
} World;

static void violated(World *w, const char *what, const Ask *a, const char *fmt,
                     ...) G_GNUC_PRINTF(4, 5);

static void
violated(World *w, const char *what, const Ask *a, const char *fmt, ...)
{
    va_list ap;

    w->violations++;
    fprintf(stderr,
            "soak_edge: %s violated at %.3f s, id %s vm %d path %s: ", what,
            (double)(evl_now(w->loop) - w->begin_us) / 1e6,
            a == NULL ? "-" : a->id, a == NULL ? -1 : a->vm,
            a == NULL ? "-" : a->what);
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
    p->hurt_us = 0;
    p->answered = false;
    p->start_us = 0;
    p->term_us = 0;
    p->paused = false;
    p->gen = 0;
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

/* Control calls of the stand-in, one after the other. */
static void next_call(World *w);

static void
on_called(void *ctx, int status, Str body, int64_t now_us)
{
    (void)status;
    (void)body;
    (void)now_us;
    next_call(ctx);
}

static void
next_call(World *w)
{
    GString *g = kv_busy(w->control) ? NULL : g_queue_pop_head(&w->calls);

    if (g != NULL) {
        kv_call(w->control, g, ANSWER_US, on_called, w);
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
    g_queue_push_tail(&w->calls, g);
    next_call(w);
}

static void
add_route(GString *g, const char *prefix, const char *kind)
{
    g_string_append_printf(
        g,
        "%s{\"Name\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"%s\","
        "\"Timeout\":\"1500ms\",\"Slo\":\"400ms\",\"Priority\":1,"
        "\"MaxAttempts\":%d,\"Sticky\":true,\"Service\":\"desk\"}",
        g->str[g->len - 1] == '[' ? "" : ",", prefix, prefix, kind, TRIES_MAX);
}

/* Stores a version with that many added routes. */
static void
put_config(World *w, int version, int gens)
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
    for (int i = 1; i <= gens; i++) {
        snprintf(name, sizeof(name), "gen%d", i);
        add_route(g, name, "idempotent");
    }
    g_string_append(g, "]}]}");
    control(w, "/test/key?op/config", g->str);
    g_string_free(g, TRUE);
}

/* Each version adds a route and keeps all others. */
static void
change_config(World *w)
{
    w->version += 1 + rnd(w, 4);
    w->gen++;
    put_config(w, w->version, w->gen);
}

static bool
is_calm(const World *w, int64_t now_us)
{
    return now_us > w->faults_end_us + SETTLE_US;
}

/* A connection that closes without an answer breaks a planned stop's promise
 * when nothing else has happened to the VM or its ways. */
static void
check_stop(World *w, const Ask *a, int64_t now_us)
{
    const Proc *p = &w->vms[a->vm];
    bool cut = strncmp(a->what, "cut", 3) == 0;

    if (p->term_us != 0 && a->pid == p->pid && !cut &&
        a->at_us < p->term_us - SEC / 20 && p->hurt_us < a->at_us &&
        now_us < p->term_us + STOP_US) {
        violated(w, "stop", a, "no answer %.3f s after SIGTERM",
                 (double)(now_us - p->term_us) / 1e6);
    }
}

static void
check_body(World *w, const Ask *a, Str body)
{
    char own[64];

    snprintf(own, sizeof(own), "done %s\n", a->id);
    bool two = strcmp(a->what, "extra") == 0;
    bool other = strcmp(a->what, "otherid") == 0;
    bool ok = two     ? str_eqz(body, "abc")
              : other ? str_eqz(body, "def")
                      : str_eqz(body, own);
    if (!ok || strncmp(a->what, "cut", 3) == 0) {
        violated(w, "whole", a, "a success of %zu bytes", body.n);
    }
}

static void
on_answer(void *ctx, int status, Str body, int64_t now_us)
{
    Ask *a = ctx;
    World *w = a->w;
    Proc *p = &w->vms[a->vm];
    bool same = p->pid == a->pid;
    Done d = {.once = a->once,
              .not_run = status == 503 || status == 429 || status == 421 ||
                         status == 408};

    w->counts[CLAMP(status / 100, 0, 5)]++;
    g_strlcpy(d.id, a->id, sizeof(d.id));
    g_array_append_val(w->done, d);
    p->answered = p->answered || (same && status != KV_NO_ANSWER);
    if (status == 200) {
        check_body(w, a, body);
        p->gen = same ? MAX(p->gen, a->gen) : p->gen;
    }
    if (status == 404 && (a->gen == 0 || (same && a->gen <= p->gen))) {
        violated(w, "config", a, "404 for route %d, %d was served", a->gen,
                 p->gen);
    }
    if (status == KV_NO_ANSWER) {
        check_stop(w, a, now_us);
    }
    if (is_calm(w, a->at_us) && strcmp(a->what, "ok") == 0) {
        w->asked++;
        w->served += status == 200 ? 1 : 0;
    }
    evl_arm(w->loop, &a->again, now_us + 1000 + rnd(w, 60000));
}

static void
ask(void *ctx, int64_t now_us)
{
    static const char *const whats[] = {
        "ok",   "ok",   "ok",  "ok",    "ok",      "ok",     "ok",
        "slow", "lost", "cut", "extra", "otherid", "notrun", "cutchunk"};
    Ask *a = ctx;
    World *w = a->w;
    char route[16];
    GString *g = g_string_new(NULL);

    if (now_us > w->faults_end_us + SETTLE_US + CHECK_US) {
        g_string_free(g, TRUE);
        return;
    }
    bool calm = now_us > w->faults_end_us;
    a->once = rnd(w, 2) == 0;
    a->gen = !a->once && w->gen > 0 && rnd(w, 3) == 0 ? 1 + rnd(w, w->gen) : 0;
    if (a->gen > 0) {
        snprintf(route, sizeof(route), "gen%d", a->gen);
    }
    else {
        g_strlcpy(route, a->once ? "write" : "read", sizeof(route));
    }
    snprintf(a->id, sizeof(a->id), "s%dn%d", (int)(w->seed % 10000),
             ++w->next_id);
    g_strlcpy(a->what, calm ? "ok" : whats[rnd(w, G_N_ELEMENTS(whats))],
              sizeof(a->what));
    a->at_us = now_us;
    a->pid = w->vms[a->vm].pid;
    g_string_printf(g,
                    "%s /%s/o%d/%s HTTP/1.1\r\nHost: desk.example\r\n"
                    "X-Mimosascale-Attempt-Id: %s\r\n"
                    "X-Mimosascale-Affinity-Key: %d\r\n"
                    "X-Mimosascale-Deadline-Ms: 3000\r\n%s\r\n%s",
                    a->once ? "POST" : "GET", route, rnd(w, 40), a->what,
                    a->id, rnd(w, 40), a->once ? "Content-Length: 4\r\n" : "",
                    a->once ? "work" : "");
    kv_call(a->conn, g, ANSWER_US, on_answer, a);
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
        p->hurt_us = now_us;
    }
    if (sig == SIGSTOP) {
        p->paused = true;
        p->resume_us = now_us + (200 + rnd(w, 2500)) * MS;
    }
}

/* Reaps ended processes and starts them again after a delay. */
static void
look_at_vm(World *w, int i, int64_t now_us)
{
    Proc *p = &w->vms[i];
    int status;

    if (p->pid != 0 && waitpid(p->pid, &status, WNOHANG) == p->pid) {
        bool own = p->term_us == 0 && p->hurt_us == 0;
        int sig = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
        /* Before main() blocks them, SIGTERM and SIGHUP end a process that
         * has read nothing; seeds 15, 113, 121 (SIGTERM) and 26 (SIGHUP) met
         * that. */
        bool early = (sig == SIGTERM || sig == SIGHUP) && !p->answered;
        if (!early && (own || (sig != 0 && sig != SIGKILL))) {
            violated(w, "end", NULL, "vm %d ended by itself, status %d", i,
                     status);
        }
        p->pid = 0;
        p->start_us = now_us + (100 + rnd(w, 1500)) * MS;
    }
    if (p->pid != 0 && p->paused && now_us >= p->resume_us) {
        kill(p->pid, SIGCONT);
        p->paused = false;
        p->hurt_us = now_us;
    }
    if (p->pid != 0 && p->term_us != 0 && now_us > p->term_us + STOP_US) {
        kill(p->pid, SIGKILL);
    }
    if (p->pid == 0 && now_us >= p->start_us) {
        start_vm(w, i);
    }
}

static void
inject(World *w, int64_t now_us)
{
    static const char *const modes[] = {"ok", "busy", "refuse", "silent",
                                        "forget"};
    static const int signals[] = {SIGKILL, SIGTERM, SIGSTOP, SIGHUP};
    char path[64];
    int k = rnd(w, 12);

    w->faults++;
    if (k < 4) {
        signal_vm(w, rnd(w, VMS), signals[rnd(w, G_N_ELEMENTS(signals))],
                  now_us);
    }
    else if (k < 6) {
        proxy_set(&w->targets[rnd(w, TARGETS)],
                  (ProxyMode)rnd(w, PROXY_MODES));
    }
    else if (k < 8) {
        proxy_set(&w->store[rnd(w, VMS)], (ProxyMode)rnd(w, PROXY_MODES));
    }
    else if (k < 9) {
        snprintf(path, sizeof(path), "/test/mode?%s", modes[rnd(w, 5)]);
        control(w, path, "");
    }
    else if (k < 11 && w->gen > 1 && rnd(w, 3) == 0) {
        /* An older version comes late; nobody may go back to it. */
        put_config(w, w->version - 1, w->gen - 1);
    }
    else if (k < 11) {
        change_config(w);
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
        proxy_set(&w->store[i], PROXY_PASS);
        if (w->vms[i].paused) {
            w->vms[i].resume_us = 0;
        }
    }
    for (int t = 0; t < TARGETS; t++) {
        proxy_set(&w->targets[t], PROXY_PASS);
    }
    control(w, "/test/mode?ok", "");
    put_config(w, w->version, w->gen);
    control(w, "/test/delete?op/evacuate/west-a", "");
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
                violated(w, "memory", NULL, "vm %d has %d KB", i,
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
    bool on = now_us < w->faults_end_us;

    for (int i = 0; i < VMS; i++) {
        look_at_vm(w, i, now_us);
    }
    if (on && rnd(w, FAULT_ODDS) == 0) {
        inject(w, now_us);
        if (now_us + 60 * MS >= w->faults_end_us) {
            end_faults(w);
        }
    }
    if (!on && !is_calm(w, now_us)) {
        end_faults(w);
    }
    if (rnd(w, 20) == 0) {
        check_memory(w);
    }
    if (now_us > w->faults_end_us + SETTLE_US + CHECK_US + ANSWER_US) {
        evl_stop(w->loop);
        return;
    }
    evl_arm(w->loop, &w->tick, now_us + 50 * MS);
}

/* Asks the stand-in how often each attempt ran. */
static void check_next(World *w);

static void
on_runs(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;
    const Done *d = &g_array_index(w->done, Done, w->checked);
    int runs = body.n > 0 ? atoi(body.p) : -1;
    Ask a = {.vm = -1};
    (void)now_us;

    g_strlcpy(a.id, d->id, sizeof(a.id));
    if (status != 200 || runs < 0) {
        violated(w, "check", &a, "no count of runs, status %d", status);
    }
    if (d->once && runs > 1) {
        violated(w, "once", &a, "%d runs", runs);
    }
    if (d->once && d->not_run && runs > 0) {
        violated(w, "not_run", &a, "%d runs", runs);
    }
    if (runs > TRIES_MAX) {
        violated(w, "attempts", &a, "%d runs", runs);
    }
    w->checked++;
    check_next(w);
}

static void
check_next(World *w)
{
    GString *g;

    if (w->checked >= w->done->len) {
        evl_stop(w->loop);
        return;
    }
    g = g_string_new(NULL);
    g_string_printf(g, "GET /test/runs?%s HTTP/1.1\r\nHost: t\r\n\r\n",
                    g_array_index(w->done, Done, w->checked).id);
    kv_call(w->control, g, ANSWER_US, on_runs, w);
}

static void
start_callers(World *w)
{
    for (int i = 0; i < CALLERS; i++) {
        Ask *a = &w->asks[i];
        struct sockaddr_in at;
        char text[32];
        a->w = w;
        a->vm = i % VMS;
        snprintf(text, sizeof(text), "127.0.0.1:%d", vm_port(w, a->vm));
        strm_parse_addr(str_of(text), &at);
        a->conn = kv_new(w->loop, &at);
        a->again = (EvlTimer){.fn = ask, .ctx = a};
        evl_arm(w->loop, &a->again, evl_now(w->loop) + 2 * SEC + i * 10 * MS);
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
        proxy_start(&w->store[i], w->loop, at, to);
    }
    for (int t = 0; t < TARGETS; t++) {
        snprintf(at, sizeof(at), "127.0.0.1:%d", w->port + 30 + t);
        snprintf(to, sizeof(to), "127.0.0.1:%d", w->port + 20 + t);
        proxy_start(&w->targets[t], w->loop, at, to);
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
    bool recovered = w->asked > 0 && w->served >= w->asked * SERVED_AT_LEAST;

    printf("soak_edge: seed %" G_GUINT64_FORMAT ", %d s, %d faults, %u "
           "requests: %d answered, %d 4xx, %d 5xx, %d without an answer; calm "
           "%d of %d; %d violations\n",
           w->seed, seconds, w->faults, w->done->len, w->counts[2],
           w->counts[4], w->counts[5], w->counts[0], w->served, w->asked,
           w->violations);
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
    /* Runs with other seeds may go beside this one. */
    w.port = 28000 + (int)(w.seed % 20) * 200;
    w.done = g_array_new(FALSE, TRUE, sizeof(Done));
    start_world(&w, seconds);
    evl_run(w.loop);
    for (int i = 0; i < CALLERS; i++) {
        kv_cancel(w.asks[i].conn);
    }
    kv_cancel(w.control);
    w.calls = (GQueue)G_QUEUE_INIT;
    check_next(&w);
    evl_run(w.loop);
    stop_world(&w);
    return report(&w, seconds);
}
