/*
 * soak_cfgworld - processes, configuration versions and faults of soak_config.
 *
 * All functions are static; a single program includes this header.
 */
#ifndef MIMOSA_SOAK_CFGWORLD_H
#define MIMOSA_SOAK_CFGWORLD_H

#include "soak.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include "kv.h"
#include "strm.h"

#define VMS 8
#define STORE_REGION "tunis"
#define DELAY_NEAR_MS 3 /* one way, between zones of a region */
#define DELAY_FAR_MS 12 /* one way, between regions */
#define SERVICES 2
#define PAIRS 8      /* pairs of routes; one is exchanged per version */
#define ROUTE_LIFE 9 /* versions that hold an added route */
#define VERSIONS_MAX 1000
#define CHANNELS 2 /* per VM: a kept and a new connection */
#define CALL_TIMEOUT_US (4 * SEC)
#define TICK_US (25 * MS)
#define CHANGE_US (333 * MS) /* between versions */
#define CHANGES_MIN 10       /* in a row, then a calm time */
#define CHANGES_MAX 20
#define CALM_MIN_MS 2500
#define CALM_MAX_MS 5000
#define GRACE_US (6 * SEC)
#define TOUCH_US (3 * SEC)

static const char *const vm_zones[VMS] = {"tunis-a",  "tunis-a", "sousse-a",
                                          "sousse-a", "sfax-a",  "tunis-b",
                                          "sousse-b", "sfax-b"};
static const char *const zone_names[] = {"tunis-a", "sousse-a", "sfax-a",
                                         "tunis-b", "sousse-b", "sfax-b"};
static const char *const service_names[SERVICES] = {"desk", "shop"};

typedef enum Fault {
    FAULT_KILL,   /* SIGKILL and a new start */
    FAULT_STOP,   /* SIGTERM and a new start after the end */
    FAULT_FREEZE, /* SIGSTOP and SIGCONT */
    FAULT_RELOAD, /* SIGHUP, and a settings file that is written again */
    FAULT_CUT,    /* the link to the store resets and refuses connections */
    FAULT_REFUSE, /* the link answers 429 */
    FAULT_HOLD,   /* the link holds the bytes of one direction */
    FAULT_STORE,  /* the store is busy, refuses or is silent */
    FAULT_FORGET, /* the store drops its history, once */
    FAULT_LAG,    /* answers to Serializable lists are seconds old */
    FAULT_DRILL,  /* the store comes back from an older copy */
    FAULT_CRASH,  /* a request that crashes its targets */
    FAULT_KINDS
} Fault;

static const char *const fault_names[] = {
    "kill",   "stop", "freeze", "reload", "cut",  "refuse", "hold", "store",
    "forget", "lag",  "drill",  "crash",  "calm", "start",  NULL};

/* What an answer of a process proved of its version, and when. */
typedef struct Floor {
    int64_t at_us;
    int version; /* index; no older one is in force */
} Floor;

typedef struct ConfigVm {
    struct World *w;
    int no;
    pid_t pid; /* 0: not running */
    pid_t link_pid;
    int boot;
    int64_t started_us;
    int64_t start_at_us;  /* next start of an ended process */
    int64_t term_us;      /* SIGTERM; 0: none */
    int64_t resume_us;    /* SIGCONT is due; 0: not frozen */
    int64_t link_open_us; /* the link is due to open; 0: it is open */
    int64_t disturbed_us; /* last disturbance of its process or link */
    int64_t frozen_us;    /* last SIGCONT */
    KvConn *crash_conn;   /* of requests that crash targets */
    GArray *floors;       /* Floor, of this boot */
    int probes;
    int checked; /* answers that a bound applied to */
    int violations;
    int answered;         /* probes with 200 or 404 */
    int64_t stale_us;     /* longest use of an old version, in touch */
    int64_t stale_out_us; /* the same out of touch */
} ConfigVm;

/* A drill of the store, see soak_cfgdrill.h.  Times are 0 if they are not
 * due. */
typedef struct Drill {
    int64_t away_us;  /* the store goes away */
    int64_t back_us;  /* it is back, from its copy */
    int64_t write_us; /* the operator stores the newest version again */
    int64_t rest_until_us;
    int copy_version; /* newest version in the copy */
} Drill;

typedef struct World {
    Soak s;
    Evl *loop;
    char *bin;
    char *dir;
    int port;
    pid_t platform_pid;
    ConfigVm vms[VMS];
    KvConn *control;
    GQueue calls; /* ControlCall */
    EvlTimer retry;
    EvlTimer tick;
    EvlTimer change;
    int changes_left; /* in the present row */
    bool strike;      /* a fault is due with the next version */
    /* A version is an index here, from 1; its Version is in numbers. */
    int n_sent;
    int n_acked;
    int numbers[VERSIONS_MAX];
    int64_t acked_us[VERSIONS_MAX];
    int64_t store_ok_us;        /* the store is due to answer; 0: it does */
    int64_t store_disturbed_us; /* last disturbance of the store */
    Drill drill;
    int n_other; /* keys of other writers so far */
    int64_t begin_us;
    int64_t faults_end_us;
    int64_t end_us;
    int faults[FAULT_KINDS];
    int violations;
} World;

typedef struct ControlCall {
    GString *request;
    int version;   /* that it stores; 0: none */
    bool restores; /* the store's copy: later versions are lost */
} ControlCall;

static pid_t
spawn(const char *log, char *const *argv)
{
    int running[2]; /* ends when execv() closes it in the child */
    char byte;
    const char *preload = getenv("VM_PRELOAD");

    if (pipe2(running, O_CLOEXEC) != 0) {
        perror("pipe2");
        exit(2);
    }
    pid_t pid = fork();
    if (pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, STDOUT_FILENO);
        dup2(fd, STDERR_FILENO);
        if (preload != NULL && strstr(argv[0], "mimosa-edge") != NULL) {
            setenv("LD_PRELOAD", preload, 1);
        }
        execv(argv[0], argv);
        _exit(127);
    }
    close(running[1]);
    while (read(running[0], &byte, 1) < 0 && errno == EINTR) {
    }
    close(running[0]);
    return pid;
}

static int
vm_port(const World *w, int i)
{
    return w->port + 100 + 10 * i;
}

static char *
region_of(const char *zone)
{
    return g_strndup(zone, strcspn(zone, "-"));
}

static void
write_settings(World *w, int i)
{
    int p = vm_port(w, i);
    char *file = g_strdup_printf("%s/vm%d.ini", w->dir, i);
    GString *g = g_string_new(NULL);

    g_string_printf(g,
                    "[vm]\nid = vm-%d\nzone = %s\nmemory_mb = 160\n"
                    "descriptors = 4096\n[zones]\n",
                    i, vm_zones[i]);
    for (size_t z = 0; z < G_N_ELEMENTS(zone_names); z++) {
        char *region = region_of(zone_names[z]);
        g_string_append_printf(g, "%s = %s\n", zone_names[z], region);
        g_free(region);
    }
    g_string_append_printf(
        g,
        "[listen]\nrequests = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
        "directory = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
        "metrics = 127.0.0.1:%d\n[store]\naddress = 127.0.0.1:%d\n"
        "[bounds]\ndrain = 2000ms\nconfiguration = 2000ms\nstop = 6s\n"
        "directory_ttl = 2s\nmax_shift = 0.15\nretry_ratio = 0.2\n"
        "retry_slack = 60\nretry_window = 10s\n",
        p, p + 1, p + 2, p + 3, p + 4, w->port + 10 + i);
    g_file_set_contents(file, g->str, -1, NULL);
    g_free(file);
    g_string_free(g, TRUE);
}

static void
start_vm(World *w, int i)
{
    ConfigVm *v = &w->vms[i];
    char *exe = getenv("VM_PROGRAM") != NULL
                    ? g_strdup(getenv("VM_PROGRAM"))
                    : g_strdup_printf("%s/mimosa-edge", w->bin);
    char *ini = g_strdup_printf("%s/vm%d.ini", w->dir, i);
    char *log = g_strdup_printf("%s/vm%d.log", w->dir, i);
    char *argv[] = {exe, (char *)"--config", ini, NULL};

    v->pid = spawn(log, argv);
    v->boot++;
    v->started_us = evl_boottime();
    v->disturbed_us = v->started_us;
    v->term_us = 0;
    v->resume_us = 0;
    g_array_set_size(v->floors, 0);
    g_free(exe);
    g_free(ini);
    g_free(log);
}

static void
start_link(World *w, int i)
{
    char *region = region_of(vm_zones[i]);
    bool near = strcmp(region, STORE_REGION) == 0;
    char *exe = g_strdup_printf("%s/standin-link", w->bin);
    char *log = g_strdup_printf("%s/link%d.log", w->dir, i);
    char *at = g_strdup_printf("127.0.0.1:%d", w->port + 10 + i);
    char *to = g_strdup_printf("127.0.0.1:%d", w->port);
    char *delay = g_strdup_printf("%d", near ? DELAY_NEAR_MS : DELAY_FAR_MS);
    char *argv[] = {exe, (char *)"--listen", at,    (char *)"--to",
                    to,  (char *)"--delay",  delay, NULL};

    w->vms[i].link_pid = spawn(log, argv);
    g_free(region);
    g_free(exe);
    g_free(log);
    g_free(at);
    g_free(to);
    g_free(delay);
}

static void
start_platform(World *w)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);
    char *log = g_strdup_printf("%s/platform.log", w->dir);
    int n = 0;

    g_ptr_array_add(argv, g_strdup_printf("%s/standin-platform", w->bin));
    g_ptr_array_add(argv, g_strdup("--store"));
    g_ptr_array_add(argv, g_strdup_printf("127.0.0.1:%d", w->port));
    for (size_t z = 0; z < G_N_ELEMENTS(zone_names); z++) {
        for (int k = 0; k < SERVICES; k++) {
            g_ptr_array_add(argv, g_strdup("--target"));
            g_ptr_array_add(argv,
                            g_strdup_printf("u-%d,127.0.0.1:%d,%s,%s", n,
                                            w->port + 30 + n, service_names[k],
                                            zone_names[z]));
            n++;
        }
    }
    g_ptr_array_add(argv, NULL);
    w->platform_pid = spawn(log, (char **)argv->pdata);
    g_ptr_array_free(argv, TRUE);
    g_free(log);
}

static void send_control(World *w);

static void
on_control_done(void *ctx, int status, Str body, int64_t now_us)
{
    World *w = ctx;
    ControlCall *c = g_queue_peek_head(&w->calls);
    (void)body;

    if (status != 200) {
        evl_arm(w->loop, &w->retry, now_us + 50 * MS);
        return;
    }
    if (c->version > 0) {
        w->acked_us[c->version] = now_us;
        w->n_acked = c->version;
    }
    for (int v = w->drill.copy_version + 1; c->restores && v <= w->n_acked;
         v++) {
        w->acked_us[v] = INT64_MAX;
    }
    g_queue_pop_head(&w->calls);
    g_string_free(c->request, TRUE);
    g_free(c);
    send_control(w);
}

static void
on_control_retry(void *ctx, int64_t now_us)
{
    (void)now_us;
    send_control(ctx);
}

static void
send_control(World *w)
{
    ControlCall *c = g_queue_peek_head(&w->calls);

    if (c != NULL && !kv_busy(w->control) && w->retry.heap_index == 0) {
        kv_call(w->control,
                g_string_new_len(c->request->str, (gssize)c->request->len),
                CALL_TIMEOUT_US, on_control_done, w);
    }
}

/* version: index of the version that the call stores, 0 for none. */
static void
control(World *w, const char *path, const char *body, int version)
{
    ControlCall *c = g_new0(ControlCall, 1);

    c->request = g_string_new(NULL);
    c->version = version;
    g_string_printf(c->request,
                    "PUT %s HTTP/1.1\r\nHost: t\r\nContent-Length: "
                    "%zu\r\n\r\n%s",
                    path, strlen(body), body);
    g_queue_push_tail(&w->calls, c);
    send_control(w);
}

/* Service of route side (0, 1) of a pair in a version: the pair is exchanged
 * with each PAIRS-th version. */
static int
pair_service(int version, int pair, int side)
{
    return ((version + PAIRS - 1 - pair) / PAIRS + side) % SERVICES;
}

static void
add_route(GString *g, const char *name, int service)
{
    g_string_append_printf(
        g,
        "%s{\"Name\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":\"idempotent\","
        "\"Timeout\":\"1500ms\",\"Slo\":\"400ms\",\"Priority\":1,"
        "\"MaxAttempts\":2,\"Sticky\":false,\"Service\":\"%s\"}",
        g->str[g->len - 1] == '[' ? "" : ",", name, name,
        service_names[service]);
}

/* Stores version v: it exchanges a pair of routes, adds a route and removes
 * one. */
static void
put_version(World *w, int v)
{
    GString *g = g_string_new(NULL);
    char name[16];

    g_string_printf(g, "{\"Version\":%d,\"Services\":[", w->numbers[v]);
    for (int k = 0; k < SERVICES; k++) {
        g_string_append_printf(g,
                               "%s{\"Name\":\"%s\",\"MaxConns\":360,"
                               "\"Cold\":\"1s\",\"ColdPerS\":100.0}",
                               k == 0 ? "" : ",", service_names[k]);
    }
    g_string_append(g, "],\"Limits\":{\"MaxHeaderBytes\":4096,"
                       "\"MaxBodyBytes\":100000},\"Vhosts\":[{\"Host\":"
                       "\"desk.example\",\"Paths\":[");
    for (int i = 0; i < PAIRS; i++) {
        for (int side = 0; side < 2; side++) {
            snprintf(name, sizeof(name), "%c%d", side == 0 ? 'a' : 'b', i);
            add_route(g, name, pair_service(v, i, side));
        }
    }
    for (int k = MAX(1, v - ROUTE_LIFE + 1); k <= v; k++) {
        snprintf(name, sizeof(name), "g%d", k);
        add_route(g, name, k % SERVICES);
    }
    g_string_append(g, "]}]}");
    control(w, "/test/key?op/config", g->str, v);
    g_string_free(g, TRUE);
}

static void
store_next_version(World *w)
{
    int v = ++w->n_sent;

    w->numbers[v] = w->numbers[v - 1] + (int)soak_int(&w->s, 1, 4);
    put_version(w, v);
}

#endif
