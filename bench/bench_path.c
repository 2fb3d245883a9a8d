/*
 * bench_path - overhead of mimosa-entry per request: latency at half load
 * compared with a direct connection to standin-upstream, and requests per
 * second and core.  Both paths are measured in one run on the same upstreams.
 */
#include "../tests/rig.h"

#include <libgen.h>

#define VM_PORT 20950
#define UP_PORT 20951
#define UPSTREAMS 4
#define CALLERS 32
/* Requests per second; half of the minimum throughput PER_CORE_MIN. */
#define HALF_LOAD 2500
#define RUN_MS 2000
#define WARM_MS 500
#define ROUNDS 5 /* the median is used, as other jobs load the machine */
#define SAMPLES_MAX 200000
#define ADDED_P99_US_MAX 1000
#define PER_CORE_MIN 5000

typedef struct Caller {
    int port;
    const char *path;
    int64_t interval_us; /* 0: send the next request at once */
    int64_t start_us;
    int64_t end_us;
    int64_t *us; /* latencies in microseconds */
    int n;       /* number of latencies */
    int failed;
} Caller;

/* Sends one request on a persistent connection and reads the complete
 * response.  Returns false on an error or a status other than 200. */
static bool
request_once(int fd, const char *req, size_t n)
{
    char buf[4096];
    size_t got = 0;

    if (!rig_write(fd, req, n)) {
        return false;
    }
    for (;;) {
        ssize_t k = recv(fd, buf + got, sizeof(buf) - 1 - got, 0);
        if (k <= 0) {
            return false;
        }
        got += (size_t)k;
        buf[got] = '\0';
        const char *end = strstr(buf, "\r\n\r\n");
        const char *cl = rig_find(buf, "content-length:");
        if (end != NULL && cl != NULL &&
            got >= (size_t)(end - buf) + 4 + (size_t)atoll(cl + 15)) {
            return strncmp(buf, "HTTP/1.1 200", 12) == 0;
        }
    }
}

static gpointer
run_caller(gpointer data)
{
    Caller *c = data;
    int fd = rig_connect(c->port);
    char *req = g_strdup_printf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", c->path);
    size_t n = strlen(req);
    int64_t at = c->start_us;

    while (at < c->end_us) {
        int64_t now = g_get_monotonic_time();
        if (at > now) {
            g_usleep((gulong)(at - now));
        }
        int64_t t0 = g_get_monotonic_time();
        if (!request_once(fd, req, n)) {
            c->failed++;
            close(fd);
            fd = rig_connect(c->port);
        }
        else if (t0 > c->start_us + WARM_MS * 1000 && c->n < SAMPLES_MAX) {
            c->us[c->n++] = g_get_monotonic_time() - t0;
        }
        at = c->interval_us > 0 ? at + c->interval_us : g_get_monotonic_time();
    }
    close(fd);
    g_free(req);
    return NULL;
}

static int
compare(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;

    return x < y ? -1 : x > y;
}

typedef struct Result {
    int64_t p50_us;
    int64_t p99_us;
    double per_s;
    int failed;
} Result;

/* Measures one path.  rate: requests per second of all callers together; 0:
 * without limit. */
static Result
measure(bool direct, int rate)
{
    GThread *th[CALLERS];
    Caller c[CALLERS];
    GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
    int64_t now = g_get_monotonic_time() + 50000;
    int64_t step = rate > 0 ? CALLERS * INT64_C(1000000) / rate : 0;
    Result r = {0};

    for (int i = 0; i < CALLERS; i++) {
        c[i] = (Caller){.port = direct ? UP_PORT + i % UPSTREAMS : VM_PORT,
                        .path = direct ? "/x" : "/v1/run/desk/x",
                        .interval_us = step,
                        .start_us = now + step * i / CALLERS,
                        .end_us = now + RUN_MS * 1000,
                        .us = g_new(int64_t, SAMPLES_MAX)};
        th[i] = g_thread_new("caller", run_caller, &c[i]);
    }
    for (int i = 0; i < CALLERS; i++) {
        g_thread_join(th[i]);
        g_array_append_vals(all, c[i].us, (guint)c[i].n);
        r.failed += c[i].failed;
        g_free(c[i].us);
    }
    if (all->len > 0) {
        int64_t *v = (int64_t *)(void *)all->data;
        qsort(v, all->len, sizeof(v[0]), compare);
        r.p50_us = v[all->len / 2];
        r.p99_us = v[all->len * 99 / 100];
        r.per_s = all->len / ((RUN_MS - WARM_MS) / 1000.0);
    }
    g_array_free(all, TRUE);
    return r;
}

/* Processor time that a process has used, in seconds. */
static double
cpu_s(pid_t pid)
{
    char path[64];
    char *text = NULL;
    unsigned long u = 0, s = 0;

    g_snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *at = strrchr(text, ')');
        sscanf(at + 2, "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
               &u, &s);
        g_free(text);
    }
    return (double)(u + s) / (double)sysconf(_SC_CLK_TCK);
}

static pid_t
start_upstream(const char *dir, int port)
{
    pid_t pid = fork();

    if (pid == 0) {
        char *prog = g_build_filename(dir, "standin-upstream", NULL);
        char at[32];
        g_snprintf(at, sizeof(at), "127.0.0.1:%d", port);
        execl(prog, prog, "--listen", at, "--slots", "64", "--service-ms", "0",
              (char *)NULL);
        perror(prog);
        _exit(1);
    }
    rig_wait_port(port);
    return pid;
}

static char *
bench_manifest(void)
{
    GString *g = g_string_new(
        "[manifest]\nowner = bench\n[region r]\n[zone z1]\nregion = r\n"
        "[rank all]\ndeadline_ms = 5000\n"
        "[service desk]\nshift_cap = 0.1\nshift_interval_ms = 10000\n"
        "service_ms = 1\nwarmup_ms = 0\n");

    for (int i = 0; i < UPSTREAMS; i++) {
        g_string_append_printf(g,
                               "[target d%d]\nservice = desk\nzone = z1\n"
                               "address = 127.0.0.1:%d\nslots = 64\n"
                               "connections = 128\n",
                               i, UP_PORT + i);
    }
    return g_string_free(g, FALSE);
}

/* Medians of the percentiles over all rounds, and the sum of failures. */
static Result
median(Result *r)
{
    int64_t p50[ROUNDS];
    int64_t p99[ROUNDS];
    Result m = {0};

    for (int i = 0; i < ROUNDS; i++) {
        p50[i] = r[i].p50_us;
        p99[i] = r[i].p99_us;
        m.failed += r[i].failed;
    }
    qsort(p50, ROUNDS, sizeof(p50[0]), compare);
    qsort(p99, ROUNDS, sizeof(p99[0]), compare);
    m.p50_us = p50[ROUNDS / 2];
    m.p99_us = p99[ROUNDS / 2];
    return m;
}

static int
report(const Rig *g)
{
    Result direct[ROUNDS];
    Result entry[ROUNDS];

    for (int i = 0; i < ROUNDS; i++) {
        direct[i] = measure(true, HALF_LOAD);
        entry[i] = measure(false, HALF_LOAD);
    }
    Result d = median(direct);
    Result e = median(entry);
    double cpu0 = cpu_s(g->pid[0]);
    int64_t t0 = g_get_monotonic_time();
    Result full = measure(false, 0);
    double cores = (cpu_s(g->pid[0]) - cpu0) * 1e6 /
                   (double)(g_get_monotonic_time() - t0);
    int64_t added = e.p99_us - d.p99_us;
    double per_core = full.per_s / MAX(cores, 0.01);

    printf("half load %d/s: direct p50 %" G_GINT64_FORMAT
           " us p99 %" G_GINT64_FORMAT " us, entry p50 %" G_GINT64_FORMAT
           " us p99 %" G_GINT64_FORMAT " us\n",
           HALF_LOAD, d.p50_us, d.p99_us, e.p50_us, e.p99_us);
    printf("ratio entry/direct: p50 %.2f p99 %.2f; added p99 %" G_GINT64_FORMAT
           " us (aim < %d)\n",
           (double)e.p50_us / (double)MAX(d.p50_us, 1),
           (double)e.p99_us / (double)MAX(d.p99_us, 1), added,
           ADDED_P99_US_MAX);
    printf("full load: %.0f requests/s on %.2f cores, %.0f per core (aim >= "
           "%d); failed %d\n",
           full.per_s, cores, per_core, PER_CORE_MIN,
           d.failed + e.failed + full.failed);
    return added < ADDED_P99_US_MAX && per_core >= PER_CORE_MIN ? 0 : 1;
}

int
main(int argc, char **argv)
{
    pid_t upstreams[UPSTREAMS];
    char *self = g_strdup(argc > 0 ? argv[0] : "build/bench_path");
    const char *dir = dirname(self);
    Rig g = {.manifest = bench_manifest(),
             .n_vms = 1,
             .port = {VM_PORT},
             .zone = {"z1"},
             .log = "/dev/null"};

    for (int i = 0; i < UPSTREAMS; i++) {
        upstreams[i] = start_upstream(dir, UP_PORT + i);
    }
    rig_start(&g);
    g_usleep(1500000);
    int rc = report(&g);
    rig_stop(&g);
    for (int i = 0; i < UPSTREAMS; i++) {
        rig_kill(upstreams[i]);
    }
    g_free(self);
    return rc;
}
