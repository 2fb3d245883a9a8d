/*
 * progopts - parsing of command lines.
 */
#ifndef MIMOSA_PROGOPTS_H
#define MIMOSA_PROGOPTS_H

#include <getopt.h>
#include <stdbool.h>
#include <stdio.h>

#include "err.h"
#include "settings.h"

/* Parses --help, --version and --config FILE, reads the settings and starts
 * logging.  The help contains the description what.  Returns -1 to
 * continue, else the exit code of the program. */
int prog_start(const char *program, const char *what, int argc, char **argv,
               Settings *set);

/* Command line of a program with other options.  In longs, 'h' stands for
 * --help and 'v' for --version. */
typedef struct ProgOptions {
    const char *program;
    const struct option *longs;
    void (*help)(FILE *to);
    /* Handles one option.  Errors: ERR_USAGE, ERR_VALUE. */
    bool (*set)(void *ctx, int opt, const char *arg, Err *e);
} ProgOptions;

/* Parses the options; optind is then the index of the first operand.  Returns
 * -1 to continue, else the exit code. */
int prog_options(const ProgOptions *p, int argc, char **argv, void *ctx,
                 Err *e);

/* Prints an error to standard error and returns its exit code. */
int prog_fail(const char *program, const Err *e);

#endif
