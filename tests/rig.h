/*
 * rig - runs entry VMs in child processes on a fixed snapshot, and speaks raw
 * HTTP to them, so that a test controls each byte and each close.
 */
#ifndef MIMOSA_RIG_H
#define MIMOSA_RIG_H

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "entry.h"
#include "lg.h"

/*
 * Leaks are not looked for in the process of a test: it ends with the test and
 * frees none of the texts that the test made.  The programs that it starts
 * keep the default.
 */
const char *__asan_default_options(void);

const char *
__asan_default_options(void)
{
    return "detect_leaks=0";
}

#define RIG_VMS_MAX 4
#define RIG_SERVICE "desk"

typedef struct Rig {
    const char *manifest;
    int n_vms;
    int port[RIG_VMS_MAX]; /* of each VM's entry */
    const char *zone[RIG_VMS_MAX];
    pid_t pid[RIG_VMS_MAX];
    int own_for_ms;      /* ownership lapses then; 0: an hour */
    int isolated_budget; /* of each target afterwards */
    int owner_vm;        /* of all targets and ranges of a zone; -1: first */
    int self;
    const char *log; /* of all VMs; NULL: none */
} Rig;

/* All targets and ranges of a zone belong to its first VM. */
static inline int
rig_owner(const Snapshot *s, int zone)
{
    for (int i = 0; i < s->n_vms; i++) {
        if (s->vm_zone[i] == zone) {
            return i;
        }
    }
    return -1;
}

static inline void
rig_vms(Snapshot *s, const Rig *g)
{
    for (int i = 0; i < g->n_vms; i++) {
        MembVm *v = &s->vms[i];
        g_snprintf(v->id, sizeof(v->id), "vm%d", i);
        g_strlcpy(v->zone, g->zone[i], sizeof(v->zone));
        g_snprintf(v->entry, sizeof(v->entry), "127.0.0.1:%d", g->port[i]);
        v->state = MEMB_LIVE;
        v->free_slots = 4;
        s->vm_zone[i] = manifest_zone(s->m, str_of(g->zone[i]));
        s->zone_up[s->vm_zone[i]] = true;
    }
}

static inline Snapshot *
rig_snapshot(const Rig *g, uint64_t version)
{
    Err e = {0};
    Manifest *m = manifest_parse(str_of(g->manifest), &e);
    if (m == NULL) {
        fprintf(stderr, "rig: %s\n", e.text);
        abort();
    }
    SnapConfig *c = snap_config_new(version, "rig", m);
    Snapshot *s = snap_new(c, g->n_vms);
    int64_t now = g_get_monotonic_time();

    snap_config_unref(c);
    rig_vms(s, g);
    s->own_vm = g->self;
    s->own_zone = s->vm_zone[g->self];
    s->mode = OWN_FULL;
    s->at_us = now;
    s->good_until_us =
        now + (g->own_for_ms > 0 ? g->own_for_ms : 3600000) * INT64_C(1000);
    for (int i = 0; i < m->n_services; i++) {
        for (int h = 0; h < m->n_zones; h++) {
            shift_init(&s->rows[i * m->n_zones + h], m->n_zones, h,
                       &m->services[i], now);
        }
    }
    int owner = rig_owner(s, s->own_zone);
    for (int i = 0; i < m->n_targets; i++) {
        if (m->targets[i].zone == s->own_zone) {
            s->targets[i].owner_vm = owner;
            s->targets[i].budget = owner == g->self ? m->targets[i].slots : 0;
            s->targets[i].isolated_budget =
                owner == g->self ? g->isolated_budget : 0;
        }
    }
    for (int i = 0; i < KEY_RANGES; i++) {
        s->ranges[i].owner_vm = owner;
        s->ranges[i].owned = owner == g->self;
        s->ranges[i].tenure_wall_us = 1;
    }
    return s;
}

static inline void
rig_feed(Entry *en, void *ctx)
{
    Snapshot *s = rig_snapshot(ctx, 1);

    entry_take_snapshot(en, s);
    snap_unref(s);
}

static inline int
rig_connect(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static inline void
rig_wait_port(int port)
{
    for (int i = 0; i < 500; i++) {
        int fd = rig_connect(port);
        if (fd >= 0) {
            close(fd);
            return;
        }
        g_usleep(10000);
    }
    fprintf(stderr, "rig: nothing listens on port %d\n", port);
    abort();
}

static inline pid_t
rig_start_vm(Rig *g, int vm)
{
    pid_t pid = fork();

    if (pid == 0) {
        static Settings set;
        Err e = {0};
        g->self = vm;
        g_snprintf(set.entry, sizeof(set.entry), "127.0.0.1:%d", g->port[vm]);
        memset(set.fleet_key, 7, sizeof(set.fleet_key));
        if (g->log != NULL) {
            lg_open("mimosa-entry", LG_DEBUG, g->log, NULL);
        }
        int rc = entry_run(&set, rig_feed, g, &e);
        if (rc != 0) {
            fprintf(stderr, "rig: %s\n", e.text);
        }
        lg_close();
        _exit(rc);
    }
    g->pid[vm] = pid;
    rig_wait_port(g->port[vm]);
    return pid;
}

static inline void
rig_start(Rig *g)
{
    signal(SIGPIPE, SIG_IGN);
    for (int i = 0; i < g->n_vms; i++) {
        rig_start_vm(g, i);
    }
}

static inline void
rig_kill(pid_t pid)
{
    kill(pid, SIGKILL);
    waitpid(pid, NULL, 0);
}

static inline void
rig_stop(Rig *g)
{
    for (int i = 0; i < g->n_vms; i++) {
        rig_kill(g->pid[i]);
    }
}

static inline bool
rig_write(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);
        if (k <= 0) {
            return false;
        }
        p += k;
        n -= (size_t)k;
    }
    return true;
}

/* Reads up to the end of the connection, at most ms long. */
static inline GString *
rig_read_all(int fd, int ms)
{
    GString *g = g_string_new(NULL);
    int64_t end = g_get_monotonic_time() + ms * INT64_C(1000);
    char buf[65536];

    for (;;) {
        int64_t left = end - g_get_monotonic_time();
        if (left <= 0) {
            return g;
        }
        struct timeval tv = {left / 1000000, left % 1000000};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
        ssize_t n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            return g;
        }
        g_string_append_len(g, buf, n);
    }
}

/* Sends one request with "Connection: close" and returns the whole answer. */
static inline GString *
rig_ask(int port, const char *method, const char *path, const char *headers,
        const char *body)
{
    int fd = rig_connect(port);
    char *req =
        g_strdup_printf("%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                        "Content-Length: %zu\r\n%s\r\n%s",
                        method, path, strlen(body), headers, body);

    rig_write(fd, req, strlen(req));
    g_free(req);
    GString *g = rig_read_all(fd, 20000);
    close(fd);
    return g;
}

static inline int
rig_status(const GString *g)
{
    int s = 0;

    sscanf(g->str, "HTTP/1.%*d %d", &s);
    return s;
}

static inline bool
rig_has(const GString *g, const char *text)
{
    return strstr(g->str, text) != NULL;
}

/* Value of a counter of an entry VM. */
static inline int64_t
rig_counter(int port, const char *name)
{
    GString *g = rig_ask(port, "GET", "/v1/counters", "", "");
    char *at = strstr(g->str, name);
    int64_t v = at == NULL ? -1 : g_ascii_strtoll(at + strlen(name), NULL, 10);

    g_string_free(g, TRUE);
    return v;
}

/* What the programmable upstream does with the n-th request. */
typedef struct UpPlan {
    int port;
    /* Returns the answer's bytes, "" to close without an answer, or NULL to
     * keep silent.  n counts requests; conn_n those of this connection. */
    const char *(*answer)(int n, int conn_n, const char *head);
    int delay_ms;
} UpPlan;

/* First place of a text in any case. */
static inline const char *
rig_find(const char *in, const char *text)
{
    size_t n = strlen(text);

    for (; *in != '\0'; in++) {
        if (g_ascii_strncasecmp(in, text, n) == 0) {
            return in;
        }
    }
    return NULL;
}

/* Reads one request with its body.  Returns false at the end. */
static inline bool
rig_read_request(int fd, GString *in, char *head, size_t cap)
{
    char buf[65536];

    for (;;) {
        char *end = strstr(in->str, "\r\n\r\n");
        if (end != NULL) {
            const char *cl = rig_find(in->str, "content-length:");
            size_t body = cl != NULL && cl < end ? (size_t)atoll(cl + 15) : 0;
            size_t all = (size_t)(end - in->str) + 4 + body;
            if (in->len >= all) {
                g_strlcpy(head, in->str,
                          MIN(cap, (size_t)(end - in->str) + 3));
                g_string_erase(in, 0, (gssize)all);
                return true;
            }
        }
        ssize_t n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            return false;
        }
        g_string_append_len(in, buf, n);
    }
}

typedef struct UpConn {
    const UpPlan *plan;
    int fd;
    gint *count;
} UpConn;

static inline gpointer
rig_up_conn(gpointer data)
{
    UpConn *c = data;
    GString *in = g_string_new(NULL);
    char head[16384];
    int conn_n = 0;

    while (rig_read_request(c->fd, in, head, sizeof(head))) {
        if (strstr(head, "GET /count ") != NULL) {
            char *t = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: "
                                      "4\r\nConnection: close\r\n\r\n%04d",
                                      g_atomic_int_get(c->count));
            rig_write(c->fd, t, strlen(t));
            g_free(t);
            break;
        }
        if (strstr(head, "GET /health ") != NULL) {
            break;
        }
        int n = g_atomic_int_add(c->count, 1);
        g_usleep((gulong)c->plan->delay_ms * 1000);
        const char *a = c->plan->answer(n, conn_n++, head);
        if (a == NULL) {
            continue;
        }
        if (a[0] == '\0' || !rig_write(c->fd, a, strlen(a)) ||
            g_strstr_len(a, 256, "Connection: close") != NULL ||
            g_strstr_len(a, 256, "\r\n5\r\nhello\r\n") != NULL) {
            break;
        }
    }
    close(c->fd);
    g_string_free(in, TRUE);
    g_free(c);
    return NULL;
}

/* Listens on a port that the upstream of the test before may still hold: its
 * process is killed when that test has ended, which takes a moment. */
static inline int
rig_listen(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int s = socket(AF_INET, SOCK_STREAM, 0);
    int one = 1;

    setsockopt(s, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    int rc = bind(s, (struct sockaddr *)&a, sizeof(a));
    for (int i = 0; i < 500 && rc != 0; i++) {
        g_usleep(10000);
        rc = bind(s, (struct sockaddr *)&a, sizeof(a));
    }
    if (rc != 0 || listen(s, 512) != 0) {
        perror("rig: upstream");
        _exit(1);
    }
    return s;
}

/* Starts a programmable upstream in a child process, and waits until that
 * process listens: a connection alone may be one of an older upstream. */
static inline pid_t
rig_upstream(const UpPlan *plan)
{
    int ready[2];
    char byte = 0;
    static gint count;

    if (pipe(ready) != 0) {
        perror("rig: pipe");
        abort();
    }
    pid_t pid = fork();
    if (pid != 0) {
        close(ready[1]);
        if (read(ready[0], &byte, 1) != 1) {
            fprintf(stderr, "rig: upstream %d did not start\n", plan->port);
            abort();
        }
        close(ready[0]);
        return pid;
    }
    signal(SIGPIPE, SIG_IGN);
    int s = rig_listen(plan->port);
    if (write(ready[1], &byte, 1) != 1) {
        _exit(1);
    }
    close(ready[0]);
    close(ready[1]);
    for (;;) {
        UpConn *c = g_new0(UpConn, 1);
        c->plan = plan;
        c->count = &count;
        c->fd = accept(s, NULL, NULL);
        g_thread_unref(g_thread_new("conn", rig_up_conn, c));
    }
}

/* Requests that an upstream has read. */
static inline int
rig_upstream_count(int port)
{
    GString *g = rig_ask(port, "GET", "/count", "", "");
    const char *at = strstr(g->str, "\r\n\r\n");
    int n = at == NULL ? -1 : atoi(at + 4);

    g_string_free(g, TRUE);
    return n;
}

/* Head of once work with a key and an attempt, issued at the first call. */
static inline const char *
rig_once_head(const char *key, int attempt)
{
    static char buf[256];
    static int64_t issued;

    if (issued == 0) {
        issued = g_get_real_time() / 1000;
    }
    g_snprintf(buf, sizeof(buf),
               "Idempotency-Key: %s\r\nMimosa-Attempt: %d\r\n"
               "Mimosa-Issued: %" G_GINT64_FORMAT "\r\nMimosa-Home: z1\r\n",
               key, attempt, issued);
    return buf;
}

#endif
