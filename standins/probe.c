/*
 * standin-probe - stands in for the entries of many VMs: keeps one snapshot
 * client per control and prints what changes.
 *
 *   standin-probe --key HEX [--gone DIR] IP:PORT...
 *
 * While DIR/IP:PORT exists, the entry of that VM does not run.
 *
 * Lines: "UNIX_US ADDRESS version=N mode=M epoch=E slots=S ranges=R zones=Z
 * vms=V".
 * Each client sends one journal batch; "JOURNAL" tells of one it gets.
 * "REVERT" tells of a version that went down, "OVERLOAD" of a target whose
 * budgets of all VMs exceed its slots.  Both must never appear.
 */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib-unix.h>

#include "ctlc.h"
#include "lg.h"
#include "mimosascale.h"
#include "snap.h"

#define PROBES_MAX 512
#define CHECK_MS 20

typedef struct Probe {
    struct Fleet *fleet;
    const char *address;
    CtlClient *client;
    Snapshot *s;
    bool told; /* its journal batch, once */
    char last[200];
} Probe;

typedef struct Fleet {
    uint8_t key[FLEET_KEY_BYTES];
    const char *gone_dir;
    int n;
    Probe probes[PROBES_MAX];
} Fleet;

static int
budget_of(const Probe *p, int target, int64_t now)
{
    const SnapTarget *t = &p->s->targets[target];

    return now <= p->s->good_until_us ? t->budget : t->isolated_budget;
}

static void
describe(const Probe *p, char *out, size_t cap)
{
    const Snapshot *s = p->s;
    int slots = 0;
    int ranges = 0;
    int zones = 0;

    for (int t = 0; s->m != NULL && t < s->m->n_targets; t++) {
        slots += s->targets[t].budget;
    }
    for (int i = 0; i < KEY_RANGES; i++) {
        ranges += s->ranges[i].owned;
    }
    for (int z = 0; s->m != NULL && z < s->m->n_zones; z++) {
        zones += s->zone_up[z];
    }
    g_snprintf(out, (gulong)cap,
               "version=%" G_GUINT64_FORMAT " mode=%s epoch=%" G_GUINT64_FORMAT
               " slots=%d ranges=%d zones=%d vms=%d",
               s->config_version, own_mode_name(s->mode), s->epoch, slots,
               ranges, zones, s->n_vms);
}

static void
on_snapshot(void *ctx, Snapshot *s)
{
    Probe *p = ctx;
    char text[200];

    if (p->s != NULL && s->config_version < p->s->config_version) {
        printf("REVERT %s from %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT
               "\n",
               p->address, p->s->config_version, s->config_version);
    }
    if (s->journal != NULL) {
        gsize n;
        const char *b = g_bytes_get_data(s->journal, &n);
        printf("JOURNAL %s gets %.*s\n", p->address, (int)n, b);
        fflush(stdout);
    }
    snap_unref(p->s);
    p->s = snap_ref(s);
    describe(p, text, sizeof(text));
    if (strcmp(text, p->last) != 0) {
        printf("%" G_GINT64_FORMAT " %s %s\n", g_get_real_time(), p->address,
               text);
        fflush(stdout);
        g_strlcpy(p->last, text, sizeof(p->last));
    }
}

static void
fill_report(void *ctx, SnapReport *r)
{
    Probe *p = ctx;

    if (!p->told && p->s != NULL && p->s->mode == OWN_FULL) {
        char *text = g_strdup_printf("records of %s", p->address);
        r->journal = g_bytes_new_take(text, strlen(text));
        p->told = true;
    }
    g_strlcpy(r->counters, "probe", sizeof(r->counters));
}

static void
start(Probe *p)
{
    CtlcOpts o = {"entry",     p->address,  p->fleet->key,
                  on_snapshot, fill_report, p};

    p->client = ctlc_new(&o);
}

static void
stop(Probe *p)
{
    ctlc_free(p->client);
    snap_unref(p->s);
    p->client = NULL;
    p->s = NULL;
}

/* Starts and stops clients as the entries of their VMs. */
static gboolean
look_for_gone(gpointer ctx)
{
    Fleet *f = ctx;

    for (int i = 0; f->gone_dir != NULL && i < f->n; i++) {
        Probe *p = &f->probes[i];
        char *path = g_build_filename(f->gone_dir, p->address, NULL);
        bool gone = access(path, F_OK) == 0;
        g_free(path);
        if (gone && p->client != NULL) {
            stop(p);
        }
        else if (!gone && p->client == NULL) {
            start(p);
        }
    }
    return G_SOURCE_CONTINUE;
}

/* Sums the budgets of each target over the probes of one version. */
static gboolean
check(gpointer ctx)
{
    const Fleet *f = ctx;
    int64_t now = g_get_monotonic_time();
    uint64_t newest = 0;
    const Snapshot *of = NULL;

    for (int i = 0; i < f->n; i++) {
        const Snapshot *s = f->probes[i].s;
        if (s != NULL && s->m != NULL && s->config_version >= newest) {
            newest = s->config_version;
            of = s;
        }
    }
    for (int t = 0; of != NULL && t < of->m->n_targets; t++) {
        int sum = 0;
        for (int i = 0; i < f->n; i++) {
            const Snapshot *s = f->probes[i].s;
            if (s != NULL && s->config_version == newest) {
                sum += budget_of(&f->probes[i], t, now);
            }
        }
        if (sum > of->m->targets[t].slots) {
            printf("OVERLOAD %" G_GINT64_FORMAT " target %s: %d of %d slots\n",
                   g_get_real_time(), of->m->targets[t].name, sum,
                   of->m->targets[t].slots);
            fflush(stdout);
        }
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_stop(gpointer loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_CONTINUE;
}

static bool
read_key(const char *hex, uint8_t key[FLEET_KEY_BYTES])
{
    size_t n = strlen(hex) / 2;

    memset(key, 0, FLEET_KEY_BYTES);
    for (size_t i = 0; i < n && i < FLEET_KEY_BYTES; i++) {
        char pair[3] = {hex[2 * i], hex[2 * i + 1], '\0'};
        key[i] = (uint8_t)strtoul(pair, NULL, 16);
    }
    return n == FLEET_KEY_BYTES;
}

int
main(int argc, char **argv)
{
    static const struct option opts[] = {
        {"key", required_argument, NULL, 'k'},
        {"gone", required_argument, NULL, 'g'},
        {NULL, 0, NULL, 0},
    };
    Fleet *f = g_new0(Fleet, 1);
    bool have_key = false;

    for (int k; (k = getopt_long(argc, argv, "", opts, NULL)) != -1;) {
        if (k == 'k') {
            have_key = read_key(optarg, f->key);
        }
        else if (k == 'g') {
            f->gone_dir = optarg;
        }
    }
    if (!have_key || optind == argc) {
        fputs("usage: standin-probe --key HEX64 [--gone DIR] IP:PORT...\n",
              stderr);
        g_free(f);
        return 2;
    }
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    for (int i = optind; i < argc && f->n < PROBES_MAX; i++) {
        Probe *p = &f->probes[f->n++];
        p->fleet = f;
        p->address = argv[i];
        start(p);
    }
    g_timeout_add(CHECK_MS, check, f);
    g_timeout_add(CHECK_MS, look_for_gone, f);
    g_unix_signal_add(SIGTERM, on_stop, loop);
    g_main_loop_run(loop);
    for (int i = 0; i < f->n; i++) {
        stop(&f->probes[i]);
    }
    g_main_loop_unref(loop);
    g_free(f);
    return 0;
}
