/* err - errors with a kind and a text.  See err.h. */
#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

bool
err_set(Err *e, ErrKind k, const char *fmt, ...)
{
    va_list ap;

    if (e == NULL) {
        return false;
    }
    e->kind = k;
    va_start(ap, fmt);
    vsnprintf(e->text, sizeof(e->text), fmt, ap);
    va_end(ap);
    return false;
}

bool
err_prefix(Err *e, const char *prefix)
{
    char previous[ERR_TEXT_BYTES];

    if (e == NULL) {
        return false;
    }
    memcpy(previous, e->text, sizeof(previous));
    /* Long texts are truncated at the end, since the place of the error
     * stands at the front. */
    snprintf(e->text, sizeof(e->text), "%.120s: %.240s", prefix, previous);
    return false;
}

const char *
err_kind_name(ErrKind k)
{
    static const char *const names[] = {
        "none",    "syntax",   "value", "limit", "conflict",  "unavailable",
        "timeout", "protocol", "io",    "auth",  "not-found", "usage",
    };

    if ((size_t)k >= G_N_ELEMENTS(names)) {
        return "other";
    }
    return names[k];
}

int
err_exit_code(ErrKind k)
{
    switch (k) {
    case ERR_NONE:
        return 0;
    case ERR_USAGE:
    case ERR_SYNTAX:
    case ERR_VALUE:
        return 2;
    case ERR_CONFLICT:
        return 3;
    case ERR_UNAVAILABLE:
    case ERR_TIMEOUT:
        return 4;
    default:
        return 1;
    }
}
