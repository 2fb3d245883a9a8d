/* mimosactl - command line tool for operators.  See ctl_cmd.h and the manual
 * page. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl_cmd.h"
#include "mimosascale.h"
#include "progopts.h"

#define TIMEOUT_MS 10000 /* default of --timeout */
#define WAIT_S_MAX 3600  /* maximum of --wait and --timeout */

#define ARGS_SOME (-1)

typedef struct Command {
    const char *name;
    int n_args;       /* ARGS_SOME: one or more */
    bool needs_store; /* reads the settings and calls the store */
    bool (*run)(Ctl *c, Err *e);
    const char *help;
} Command;

static const Command commands[] = {
    {"check", 1, false, ctl_check, "check FILE"},
    {"diff", 1, true, ctl_diff, "diff FILE"},
    {"apply", 1, true, ctl_apply, "apply FILE [--wait SECONDS] [--base N]"},
    {"status", 0, true, ctl_status, "status"},
    {"drain", 2, true, ctl_drain,
     "drain target|zone|region NAME [--wait SECONDS]"},
    {"undrain", 2, true, ctl_undrain,
     "undrain target|zone|region NAME [--wait SECONDS]"},
    {"explain", 0, true, ctl_explain,
     "explain --service NAME --client IP [--rank NAME]"},
    {"losses", ARGS_SOME, false, ctl_losses,
     "losses LOG_OF_A_VM... [--plot FILE]"},
};

static const struct option long_opts[] = {
    {"config", required_argument, NULL, 'c'},
    {"wait", required_argument, NULL, 'w'},
    {"base", required_argument, NULL, 'b'},
    {"timeout", required_argument, NULL, 't'},
    {"service", required_argument, NULL, 's'},
    {"client", required_argument, NULL, 'i'},
    {"rank", required_argument, NULL, 'r'},
    {"plot", required_argument, NULL, 'p'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'v'},
    {0},
};

static void
print_help(FILE *f)
{
    fputs("usage: mimosactl --config FILE COMMAND ...\n", f);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(f, "  %s\n", commands[i].help);
    }
    fputs("options: --config FILE (default: MIMOSA_CONFIG), --timeout "
          "SECONDS\n"
          "  of the store calls (10), --help, --version\n"
          "exit code: 0 done, 2 wrong input, 3 conflict, 4 not reachable or "
          "not in time,\n"
          "  1 others\n",
          f);
}

/* Parses the number of an option and multiplies it by unit. */
static bool
read_number(const char *name, const char *text, uint64_t max, int64_t unit,
            int64_t *out, Err *e)
{
    uint64_t n = 0;

    if (!str_u64(str_of(text), max, &n)) {
        return err_set(e, ERR_USAGE,
                       "--%s: found \"%.60s\"; allowed: a whole number from 0 "
                       "to %" G_GUINT64_FORMAT "; correct the number",
                       name, text, max);
    }
    *out = (int64_t)n * unit;
    return true;
}

static bool
set_option(void *ctx, int opt, const char *arg, Err *e)
{
    CtlOpts *o = ctx;

    switch (opt) {
    case 'c':
        o->config = arg;
        return true;
    case 's':
        o->service = arg;
        return true;
    case 'i':
        o->client = arg;
        return true;
    case 'r':
        o->rank = arg;
        return true;
    case 'p':
        o->plot = arg;
        return true;
    case 'w':
        return read_number("wait", arg, WAIT_S_MAX, 1000, &o->wait_ms, e);
    case 't':
        return read_number("timeout", arg, WAIT_S_MAX, 1000, &o->timeout_ms,
                           e);
    case 'b':
        return read_number("base", arg, G_MAXINT64, 1, &o->base, e);
    default:
        /* getopt_long() has already printed the invalid option. */
        return err_set(e, ERR_USAGE, "options: see \"mimosactl --help\"");
    }
}

/* Returns -1 to continue, else the exit code. */
static int
read_options(int argc, char **argv, CtlOpts *o, Err *e)
{
    static const ProgOptions p = {"mimosactl", long_opts, print_help,
                                  set_option};

    return prog_options(&p, argc, argv, o, e);
}

static const Command *
find_command(int argc, char **argv, CtlOpts *o, Err *e)
{
    const char *name = optind < argc ? argv[optind] : "";

    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        const Command *k = &commands[i];
        if (strcmp(k->name, name) != 0) {
            continue;
        }
        o->n_args = argc - optind - 1;
        if (k->n_args == ARGS_SOME ? o->n_args < 1 || o->n_args > CTL_ARGS_MAX
                                   : o->n_args != k->n_args) {
            err_set(e, ERR_USAGE,
                    "%s: found %d arguments; allowed: %s; correct the command",
                    name, o->n_args, k->help);
            return NULL;
        }
        for (int a = 0; a < o->n_args; a++) {
            o->args[a] = argv[optind + 1 + a];
        }
        return k;
    }
    err_set(e, ERR_USAGE,
            "command: found \"%.60s\"; allowed: check, diff, apply, status, "
            "drain, undrain, explain, losses; see \"mimosactl --help\"",
            name);
    return NULL;
}

int
main(int argc, char **argv)
{
    Ctl c = {.o = {.config = getenv("MIMOSA_CONFIG"),
                   .timeout_ms = TIMEOUT_MS,
                   .base = -1}};
    Err e = {0};
    int rc = read_options(argc, argv, &c.o, &e);

    if (rc == 0) {
        return 0;
    }
    const Command *k = rc < 0 ? find_command(argc, argv, &c.o, &e) : NULL;
    bool ok =
        k != NULL && (!k->needs_store || ctl_open(&c, &e)) && k->run(&c, &e);
    fflush(stdout);
    if (!ok) {
        fprintf(stderr, "mimosactl: %s: %s\n", err_kind_name(e.kind), e.text);
    }
    ctl_close(&c);
    return ok ? 0 : err_exit_code(e.kind);
}
