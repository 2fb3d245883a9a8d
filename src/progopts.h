/*
 * progopts - command line of the programs.
 */
#ifndef MIMOSA_PROGOPTS_H
#define MIMOSA_PROGOPTS_H

#include <getopt.h>
#include <stdbool.h>
#include <stdio.h>

#include "err.h"
#include "settings.h"

/* Reads --help, --version and --config FILE, then the settings, and starts
 * the log.  Returns -1 to go on, or the exit code. */
int prog_start(const char *program, const char *what, int argc, char **argv,
               Settings *set);

/* A command line with options of its own; 'h' and 'v' are --help and
 * --version. */
typedef struct ProgOptions {
    const char *program;
    const struct option *longs;
    void (*help)(FILE *to);
    /* Errors: ERR_USAGE, ERR_VALUE. */
    bool (*set)(void *ctx, int opt, const char *arg, Err *e);
} ProgOptions;

/* Reads the options, up to optind.  Returns -1 to go on, or the exit code. */
int prog_options(const ProgOptions *p, int argc, char **argv, void *ctx,
                 Err *e);

/* Prints an error and returns its exit code. */
int prog_fail(const char *program, const Err *e);

#endif
