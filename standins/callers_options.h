/*
 * callers_options - command line of standin-callers.
 */
#ifndef MIMOSA_CALLERS_OPTIONS_H
#define MIMOSA_CALLERS_OPTIONS_H

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "callers_run.h"
#include "progopts.h"

static const struct option long_opts[] = {
    {"vm", required_argument, NULL, 'm'},
    {"store", required_argument, NULL, 's'},
    {"callers", required_argument, NULL, 'n'},
    {"seconds", required_argument, NULL, 't'},
    {"seed", required_argument, NULL, 'r'},
    {"idle", required_argument, NULL, 'i'},
    {"kinds", required_argument, NULL, 'k'},
    {"timeout", required_argument, NULL, 'o'},
    {"timeline", no_argument, NULL, 'l'},
    {"help", no_argument, NULL, 'h'},
    {"version", no_argument, NULL, 'v'},
    {0},
};

static void
print_help(FILE *to)
{
    fputs("usage: standin-callers --vm IP:PORT --store IP:PORT [--callers N]\n"
          "  [--seconds S] [--seed N] [--kinds KIND,...] [--idle PERCENT] "
          "[--timeout MS]\n"
          "  [--timeline]\n"
          "  --vm        listener of the VM for requests\n"
          "  --store     store of standin-platform, which counts runs\n"
          "  --idle      part of the requests that come after up to 5 s\n"
          "  --kinds     equal shares of these; default: a mix\n"
          "  --timeout   of the routes; 0: not known\n"
          "  --timeline  print counts in intervals after SIGUSR1\n"
          "KIND:",
          to);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        fprintf(to, " %s", kinds[i].name);
    }
    fputs("\nexit code: 0 done, 2 wrong input, 4 store not reachable\n", to);
}

static bool
parse_number(const char *arg, int64_t min, int64_t max, int64_t *out, Err *e)
{
    uint64_t n = 0;

    if (!str_u64(str_of(arg), (uint64_t)max, &n) || (int64_t)n < min) {
        return err_set(e, ERR_VALUE,
                       "\"%s\" is not a number from %" PRId64 " to %" PRId64
                       "; correct the option",
                       arg, min, max);
    }
    *out = (int64_t)n;
    return true;
}

static bool
parse_address(const char *arg, struct sockaddr_in *out, Err *e)
{
    return strm_parse_addr(str_of(arg), out) ||
           err_set(e, ERR_VALUE, "\"%s\" is not IP:PORT; correct the option",
                   arg);
}

static bool
parse_kinds(const char *arg, GPtrArray *out, Err *e)
{
    char **names = g_strsplit(arg, ",", 0);
    bool ok = names[0] != NULL;

    for (int i = 0; ok && names[i] != NULL; i++) {
        size_t k = 0;
        while (k < G_N_ELEMENTS(kinds) &&
               strcmp(kinds[k].name, names[i]) != 0) {
            k++;
        }
        ok = k < G_N_ELEMENTS(kinds);
        if (ok) {
            g_ptr_array_add(out, (gpointer)&kinds[k]);
        }
    }
    g_strfreev(names);
    return ok || err_set(e, ERR_VALUE,
                         "\"%s\" has an unknown kind; see --help", arg);
}

static bool
set_option(void *ctx, int opt, const char *arg, Err *e)
{
    Run *r = ctx;

    switch (opt) {
    case 'm':
        return parse_address(arg, &r->vm, e);
    case 's':
        return parse_address(arg, &r->store, e);
    case 'n':
        return parse_number(arg, 1, CALLERS_MAX, &r->n_clients, e);
    case 't':
        return parse_number(arg, 1, SECONDS_MAX, &r->seconds, e);
    case 'r':
        return parse_number(arg, 0, G_MAXUINT32, &r->seed, e);
    case 'i':
        return parse_number(arg, 0, 100, &r->idle_percent, e);
    case 'k':
        return parse_kinds(arg, r->chosen, e);
    case 'o':
        return parse_number(arg, 0, TIMEOUT_MS_MAX, &r->timeout_ms, e);
    case 'l':
        r->timeline = 1;
        return true;
    default:
        return err_set(e, ERR_USAGE, "unknown option; see --help");
    }
}

#endif
