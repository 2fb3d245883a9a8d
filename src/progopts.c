/* progopts - parsing of command lines.  See progopts.h. */
#include "progopts.h"

#include "lg.h"
#include "mimosascale.h"

int
prog_fail(const char *program, const Err *e)
{
    fprintf(stderr, "%s: %s: %s\n", program, err_kind_name(e->kind), e->text);
    return err_exit_code(e->kind);
}

int
prog_options(const ProgOptions *p, int argc, char **argv, void *ctx, Err *e)
{
    int opt;

    while ((opt = getopt_long(argc, argv, "", p->longs, NULL)) != -1) {
        if (opt == 'h') {
            p->help(stdout);
            return 0;
        }
        if (opt == 'v') {
            printf("%s %s\n", p->program, MIMOSA_VERSION);
            return 0;
        }
        if (!p->set(ctx, opt, optarg, e)) {
            return err_exit_code(e->kind);
        }
    }
    return -1;
}

int
prog_start(const char *program, const char *what, int argc, char **argv,
           Settings *set)
{
    static const struct option longs[] = {
        {"help", no_argument, NULL, 'h'},
        {"version", no_argument, NULL, 'v'},
        {"config", required_argument, NULL, 'c'},
        {NULL, 0, NULL, 0},
    };
    const char *file = NULL;
    Err e = {0};
    int c;

    while ((c = getopt_long(argc, argv, "hvc:", longs, NULL)) != -1) {
        switch (c) {
        case 'h':
            printf("usage: %s --config FILE\n%s\n"
                   "  -c, --config FILE  settings of the process (INI)\n"
                   "  -h, --help         print this text\n"
                   "  -v, --version      print the version\n",
                   program, what);
            return 0;
        case 'v':
            printf("%s %s\n", program, MIMOSA_VERSION);
            return 0;
        case 'c':
            file = optarg;
            break;
        default:
            return err_exit_code(ERR_USAGE);
        }
    }
    if (file == NULL || optind < argc) {
        err_set(&e, ERR_USAGE,
                "--config FILE is required and no operands are allowed; "
                "see --help");
        return prog_fail(program, &e);
    }
    if (!settings_read(set, file, &e) ||
        !lg_open(program, set->log_level,
                 set->log_file[0] == '\0' ? NULL : set->log_file, &e)) {
        return prog_fail(program, &e);
    }
    return -1;
}
