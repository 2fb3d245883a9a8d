/* control_main - program mimosa-control. */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib-unix.h>

#include "control.h"
#include "lg.h"
#include "mimosascale.h"

#define PART "control"
/* A planned stop ends at the latest after this time. */
#define LEAVE_MS 8000
/* Time for the news of the release to reach the peers. */
#define RELEASE_MS 300

static void
usage(FILE *f)
{
    fputs(
        "usage: mimosa-control --config FILE [options]\n"
        "Configuration, membership and ownership of one entry VM.\n"
        "  --config FILE          INI settings of this VM\n"
        "  --fault-loss SHARE     drops that share of RPC messages (0 to 1)\n"
        "  --fault-seed N         seed of the dropped messages\n"
        "  --fault-cut-file FILE  drops all messages to other zones and the\n"
        "                         store while FILE exists\n"
        "  --help                 prints this text\n"
        "  --version              prints the version\n",
        f);
}

typedef struct Args {
    const char *config;
    ControlOpts opts;
} Args;

/* Returns -1 to go on, or the exit code. */
static int
read_args(int argc, char **argv, Args *a)
{
    static const struct option opts[] = {
        {"config", required_argument, NULL, 'c'},
        {"fault-loss", required_argument, NULL, 'l'},
        {"fault-seed", required_argument, NULL, 's'},
        {"fault-cut-file", required_argument, NULL, 'f'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {NULL, 0, NULL, 0},
    };

    for (int k; (k = getopt_long(argc, argv, "", opts, NULL)) != -1;) {
        switch (k) {
        case 'c':
            a->config = optarg;
            break;
        case 'l':
            a->opts.fault_loss = g_ascii_strtod(optarg, NULL);
            break;
        case 's':
            a->opts.fault_seed = (uint32_t)g_ascii_strtoull(optarg, NULL, 10);
            break;
        case 'f':
            a->opts.fault_cut_file = optarg;
            break;
        case 'h':
            usage(stdout);
            return 0;
        case 'v':
            puts("mimosa-control " MIMOSA_VERSION);
            return 0;
        default:
            usage(stderr);
            return err_exit_code(ERR_USAGE);
        }
    }
    if (a->config == NULL || optind != argc) {
        fputs("mimosa-control: --config FILE is missing or there are other "
              "words; give one settings file\n",
              stderr);
        return err_exit_code(ERR_USAGE);
    }
    return -1;
}

static bool
is_member(const Control *c)
{
    const OwnRoster *r = own_roster(c->own);

    for (int i = 0; i < r->n; i++) {
        if (strcmp(r->members[i].id, c->set.vm_id) == 0) {
            return true;
        }
    }
    return false;
}

/*
 * The others take over while this VM still acts; it stops with the roster that
 * leaves it out, tells them so, and ends.  A VM without others to take over
 * ends once its entry is gone.
 */
static void
step_leave(Control *c, int64_t now_us)
{
    const OwnRoster *r = own_roster(c->own);
    int64_t waited = (now_us - c->leaving_us) / 1000;
    bool gone = control_local_entry_gone(c->local, now_us);
    bool stopped =
        gone || (!is_member(c) &&
                 control_local_acted_epoch(c->local, now_us) >= r->epoch);

    if (!c->released && stopped && (!is_member(c) || r->n <= 1 || gone)) {
        lg_decision(PART, "ownership released at epoch %" G_GUINT64_FORMAT,
                    r->epoch);
        c->released = true;
        c->released_us = now_us;
        control_peer_push(c->peer);
    }
    int64_t told = (now_us - c->released_us) / 1000;
    bool out = !is_member(c) || r->n <= 1;
    if ((c->released && out && told > RELEASE_MS) || waited > LEAVE_MS) {
        lg_line(LG_INFO, PART, "planned stop is done%s",
                is_member(c) ? "; the roster still names this VM" : "");
        g_main_loop_quit(c->loop);
    }
}

static void
step_mode(Control *c, int64_t now_us)
{
    OwnMode m = own_mode(c->own, now_us);

    if (m != c->last_mode) {
        lg_decision(PART, "ownership %s after %s, epoch %" G_GUINT64_FORMAT,
                    own_mode_name(m), own_mode_name(c->last_mode),
                    own_roster(c->own)->epoch);
        ctr_add(control_ctr(c, "control_mode_changes"), 1);
        c->last_mode = m;
        control_local_dirty(c->local);
    }
}

static gboolean
on_tick(gpointer p)
{
    Control *c = p;
    int64_t now = g_get_monotonic_time();

    if (c->opts.fault_cut_file != NULL) {
        c->cut = access(c->opts.fault_cut_file, F_OK) == 0;
    }
    own_step(c->own, now);
    if (memb_step(c->memb, now) > 0) {
        control_local_dirty(c->local);
        for (int i = 0; i < memb_count(c->memb); i++) {
            const MembVm *vm = memb_at(c->memb, i);
            if (vm->state != MEMB_LIVE) {
                lg_decision(PART, "VM %s of %s: %s, silent for %d ms", vm->id,
                            vm->zone,
                            vm->state == MEMB_GONE ? "gone" : "suspected",
                            (int)((now - vm->heard_us) / 1000));
            }
        }
    }
    control_peer_step(c->peer, now);
    control_digest_step(c->digest, now);
    storehttp_cut(c->http, c->cut);
    control_store_step(c->store, now);
    control_roster_step(c->roster, now);
    control_journal_step(c->journal, now);
    control_rows_step(c->rows, now);
    step_mode(c, now);
    control_local_step(c->local, now);
    if (c->leaving) {
        step_leave(c, now);
    }
    lg_flush();
    return G_SOURCE_CONTINUE;
}

static gboolean
on_stop(gpointer p)
{
    control_leave(p);
    return G_SOURCE_CONTINUE;
}

static int
fail(const Err *e)
{
    fprintf(stderr, "mimosa-control: %s\n", e->text);
    return err_exit_code(e->kind);
}

int
main(int argc, char **argv)
{
    Args a = {0};
    Settings s;
    Err e = {0};
    int rc = read_args(argc, argv, &a);

    if (rc >= 0) {
        return rc;
    }
    if (!settings_read(&s, a.config, &e) ||
        !lg_open("mimosa-control", s.log_level,
                 s.log_file[0] == '\0' ? NULL : s.log_file, &e)) {
        return fail(&e);
    }
    signal(SIGPIPE, SIG_IGN);
    Control *c = control_new(&s, &a.opts, &e);
    if (c == NULL) {
        return fail(&e);
    }
    lg_line(LG_INFO, PART, "%s of %s serves on %s", s.vm_id, s.zone,
            s.control);
    g_timeout_add(CONTROL_TICK_MS, on_tick, c);
    g_unix_signal_add(SIGTERM, on_stop, c);
    g_unix_signal_add(SIGINT, on_stop, c);
    g_main_loop_run(c->loop);
    control_free(c);
    lg_close();
    return 0;
}
