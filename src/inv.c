/* inv - invariants that are checked in every build.  See inv.h. */
#include "inv.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

static InvHandler inv_handler;
static void *inv_ctx;
static uint64_t inv_count;

void
inv_set_handler(InvHandler h, void *ctx)
{
    inv_handler = h;
    inv_ctx = ctx;
}

uint64_t
inv_failures(void)
{
    return inv_count;
}

void
inv_fail(const char *name, const char *file, int line, const char *fmt, ...)
{
    char text[512];
    va_list ap;

    inv_count++;
    va_start(ap, fmt);
    vsnprintf(text, sizeof(text), fmt, ap);
    va_end(ap);
    if (inv_handler != NULL) {
        inv_handler(inv_ctx, name, text);
        return;
    }
    fprintf(stderr, "inv: invariant %s failed at %s:%d: %s\n", name, file,
            line, text);
    abort();
}
