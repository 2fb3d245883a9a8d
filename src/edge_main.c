/* mimosa-edge - one entry VM on the platform. */
#include <errno.h>
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "edge.h"
#include "mimosascale.h"

typedef struct Run {
    Edge *edge;
    EvlFd signals;
} Run;

static void
on_signal(void *ctx, uint32_t events)
{
    Run *r = ctx;
    struct signalfd_siginfo si;
    (void)events;

    if (read(r->signals.fd, &si, sizeof(si)) != sizeof(si)) {
        return;
    }
    if (si.ssi_signo == SIGHUP) {
        edge_reload(r->edge);
    }
    else {
        edge_shutdown(r->edge);
    }
}

/* Blocks the signals that are read from a descriptor, so that the event loop
 * handles them in turn. */
static sigset_t
block_signals(void)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, NULL);
    return set;
}

static void
print_help(void)
{
    puts("usage: mimosa-edge --config FILE\n"
         "Serves callers, the directory, readiness and metrics of one entry "
         "VM.\n"
         "  --config FILE  settings (INI); read again when the file changes "
         "or at SIGHUP\n"
         "  --check        read the settings and end\n"
         "  --help, --version\n"
         "SIGTERM starts a planned stop.  Exit codes: 0 stopped, 2 usage or "
         "settings, 1 others.");
}

static int
run(const char *file)
{
    Err e = {0};
    Run r = {0};
    sigset_t set = block_signals();
    int fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);

    if (fd < 0) {
        fprintf(stderr, "mimosa-edge: signalfd: %s\n", strerror(errno));
        return 1;
    }
    Evl *loop = evl_new();
    r.edge = edge_new(loop, file, &e);
    if (r.edge == NULL) {
        fprintf(stderr, "mimosa-edge: %s\n", e.text);
        evl_free(loop);
        return err_exit_code(e.kind);
    }
    r.signals = (EvlFd){.fd = fd, .fn = on_signal, .ctx = &r};
    evl_add(loop, &r.signals, EPOLLIN);
    evl_run(loop);
    evl_del(loop, &r.signals);
    close(fd);
    edge_free(r.edge);
    evl_free(loop);
    return 0;
}

static int
check(const char *file)
{
    static Eset s;
    Err e = {0};

    if (!eset_read(&s, file, &e)) {
        fprintf(stderr, "mimosa-edge: %s\n", e.text);
        return err_exit_code(e.kind);
    }
    printf("%s: settings of %s are valid\n", file, s.vm_id);
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct option opts[] = {
        {"config", required_argument, NULL, 'c'},
        {"check", no_argument, NULL, 'k'},
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {NULL, 0, NULL, 0},
    };
    const char *file = NULL;
    bool check_only = false;
    int c;

    /* Done first, so that a signal that arrives during the start is not lost
     * and does not kill the process. */
    block_signals();
    while ((c = getopt_long(argc, argv, "", opts, NULL)) != -1) {
        switch (c) {
        case 'c':
            file = optarg;
            break;
        case 'k':
            check_only = true;
            break;
        case 'h':
            print_help();
            return 0;
        case 'v':
            puts("mimosa-edge " MIMOSA_VERSION);
            return 0;
        default:
            return 2;
        }
    }
    if (file == NULL) {
        fprintf(stderr, "mimosa-edge: --config FILE is missing\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    return check_only ? check(file) : run(file);
}
