/*
 * err - errors with a kind and a text.
 *
 * A function that can fail takes "Err *e" as its last argument.  On failure it
 * calls err_set() and returns false, NULL or a negative number.  Callers that
 * do not need the details pass NULL.  Err is used instead of GError because it
 * has a fixed size, needs no allocation and includes the remedy.
 */
#ifndef MIMOSA_ERR_H
#define MIMOSA_ERR_H

#include <stdbool.h>

#include <glib.h>

#include "limits.h"

typedef enum ErrKind {
    ERR_NONE,
    ERR_SYNTAX,      /* text does not have the required format */
    ERR_VALUE,       /* a value is not allowed */
    ERR_LIMIT,       /* a size or count exceeds its limit */
    ERR_CONFLICT,    /* another writer changed the data first */
    ERR_UNAVAILABLE, /* a peer or the store cannot be reached */
    ERR_TIMEOUT,
    ERR_PROTOCOL, /* a message violates its protocol */
    ERR_IO,
    ERR_AUTH,
    ERR_NOT_FOUND,
    ERR_USAGE /* invalid command line */
} ErrKind;

typedef struct Err {
    ErrKind kind;
    char text[ERR_TEXT_BYTES];
} Err;

/*
 * Sets kind and text.  The text must name the place, the value found and the
 * values allowed, and end with the remedy.  Always returns false.
 */
bool err_set(Err *e, ErrKind k, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

/* Prepends "prefix: " to the text.  Always returns false. */
bool err_prefix(Err *e, const char *prefix);

/* Returns the name of a kind for logs, for example "conflict". */
const char *err_kind_name(ErrKind k);

/* Returns the exit code of a program for a kind: 0 none, 1 other kinds,
 * 2 usage, syntax or value, 3 conflict, 4 unavailable or timeout. */
int err_exit_code(ErrKind k);

#endif
