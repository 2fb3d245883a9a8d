/* mimosa-load - sends requests as callers do and checks each response.  See
 * load.h and the manual page. */
#include <getopt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"
#include "mimosascale.h"
#include "progopts.h"
#include "settings.h"

static const struct option long_opts[] = {
    {"lookup", required_argument, NULL, 'l'},
    {"upstreams", required_argument, NULL, 'u'},
    {"flow", required_argument, NULL, 'f'},
    {"expect", required_argument, NULL, 'e'},
    {"seconds", required_argument, NULL, 's'},
    {"seed", required_argument, NULL, 'r'},
    {"attempts", required_argument, NULL, 'a'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'v'},
    {0},
};

static void
print_help(FILE *f)
{
    fputs(
        "usage: mimosa-load --lookup IP:PORT[,IP:PORT...] --flow FLOW ...\n"
        "  [--seconds S] [--seed N] [--attempts N] [--expect CONDITION ...]\n"
        "  [--upstreams IP:PORT,...] [--help] [--version]\n"
        "FLOW: service=S,rank=R,rate=N[,class=once][,path=/P][,client=IP]\n"
        "  [,deadline=MS][,body=BYTES][,answer=BYTES]\n"
        "CONDITION: [SERVICE.RANK.]FIELD and =, <= or >= and a number\n"
        "exit code: 0 done, 1 a condition failed, 2 wrong input, 4 not "
        "reachable\n",
        f);
}

static bool
parse_addresses(const char *opt, const char *text,
                char out[LOAD_ADDRESSES_MAX][ADDR_BYTES], int *n, Err *e)
{
    gchar **words = g_strsplit(text, ",", -1);
    char host[ADDR_BYTES];
    uint16_t port;
    bool ok = true;

    for (int i = 0; ok && words[i] != NULL; i++) {
        ok = *n < LOAD_ADDRESSES_MAX &&
             settings_address(words[i], host, sizeof(host), &port, e) &&
             str_copy(out[*n], ADDR_BYTES, str_of(words[i]));
        *n += ok;
    }
    g_strfreev(words);
    return ok || err_prefix(e, opt);
}

static bool
parse_number(const char *opt, const char *text, double min, double max,
             double *out, Err *e)
{
    char *end = NULL;

    *out = g_ascii_strtod(text, &end);
    return (end != text && *end == '\0' && *out >= min && *out <= max) ||
           err_set(e, ERR_USAGE,
                   "--%s: found \"%.60s\"; allowed: a number from %g to %g; "
                   "correct the number",
                   opt, text, min, max);
}

static bool
add_flow(LoadOpts *o, const char *arg, Err *e)
{
    if (o->n_flows == LOAD_FLOWS_MAX) {
        return err_set(e, ERR_USAGE,
                       "--flow: found more than %d; allowed: at most %d; "
                       "remove some",
                       LOAD_FLOWS_MAX, LOAD_FLOWS_MAX);
    }
    return load_flow_read(&o->flows[o->n_flows++], arg, e);
}

static bool
add_expect(LoadOpts *o, const char *arg, Err *e)
{
    if (o->n_expects == LOAD_EXPECTS_MAX) {
        return err_set(e, ERR_USAGE,
                       "--expect: found more than %d; allowed: at most %d; "
                       "remove some",
                       LOAD_EXPECTS_MAX, LOAD_EXPECTS_MAX);
    }
    o->expects[o->n_expects++] = arg;
    return true;
}

static bool
set_option(void *ctx, int opt, const char *arg, Err *e)
{
    LoadOpts *o = ctx;
    double d = 0;

    switch (opt) {
    case 'l':
        return parse_addresses("--lookup", arg, o->lookups, &o->n_lookups, e);
    case 'u':
        return parse_addresses("--upstreams", arg, o->upstreams,
                               &o->n_upstreams, e);
    case 'f':
        return add_flow(o, arg, e);
    case 'e':
        return add_expect(o, arg, e);
    case 's':
        return parse_number("seconds", arg, 0.1, 86400, &o->seconds, e);
    case 'r':
        if (!parse_number("seed", arg, 0, 4294967295.0, &d, e)) {
            return false;
        }
        o->seed = (uint32_t)d;
        return true;
    case 'a':
        if (!parse_number("attempts", arg, 1, 100, &d, e)) {
            return false;
        }
        o->attempts = (int)d;
        return true;
    default:
        /* getopt_long has printed which option is wrong. */
        return err_set(e, ERR_USAGE, "options: see \"mimosa-load --help\"");
    }
}

/* Returns -1 to continue, or else the exit code. */
static int
read_options(int argc, char **argv, LoadOpts *o, Err *e)
{
    static const ProgOptions p = {"mimosa-load", long_opts, print_help,
                                  set_option};
    int rc = prog_options(&p, argc, argv, o, e);

    if (rc >= 0) {
        return rc;
    }
    if (o->n_lookups == 0 || o->n_flows == 0 || optind != argc) {
        err_set(e, ERR_USAGE,
                "options: found %d look-ups, %d flows, %d other words; "
                "allowed: at least one --lookup and one --flow; see "
                "\"mimosa-load --help\"",
                o->n_lookups, o->n_flows, argc - optind);
        return 2;
    }
    return -1;
}

/* Prints the results and checks the conditions; returns the exit code. */
static int
report(Load *l, Err *e)
{
    int rc = 0;

    if (l->o.n_upstreams > 0 && !load_compare_runs(l, e)) {
        rc = err_exit_code(e->kind);
    }
    load_print(l);
    for (int i = 0; i < l->o.n_expects; i++) {
        bool holds = false;
        if (!load_expect(l, l->o.expects[i], &holds, e)) {
            return err_exit_code(e->kind);
        }
        if (!holds && rc == 0) {
            rc = 1;
        }
    }
    return rc;
}

int
main(int argc, char **argv)
{
    Load *l = g_new0(Load, 1);
    Err e = {0};

    l->o.seconds = 10;
    l->o.seed = 1;
    l->o.attempts = 4;
    int rc = read_options(argc, argv, &l->o, &e);
    if (rc < 0) {
        load_run(l);
        rc = report(l, &e);
        load_free(l);
    }
    if (e.kind != ERR_NONE) {
        fprintf(stderr, "mimosa-load: %s: %s\n", err_kind_name(e.kind),
                e.text);
    }
    g_free(l);
    return rc;
}
