/*
 * inv - invariants that are checked in every build.
 *
 * INV(name, cond, fmt, ...): when cond is false, counts the failure, prints
 * the name and the state formatted by fmt to standard error, and aborts the
 * process.  Tests install a handler that receives the name instead.  Names:
 * shift_cap, overload, whole_answer, not_run, at_most_once, leaving,
 * graceful_stop, config_revert; internal invariants use "module_what".
 */
#ifndef MIMOSA_INV_H
#define MIMOSA_INV_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef void (*InvHandler)(void *ctx, const char *name, const char *text);

/*
 * Installs a handler that is called instead of abort(); NULL restores
 * abort().  The handler is global to the process because a check can fail at
 * any call depth.
 */
void inv_set_handler(InvHandler h, void *ctx);

/* Returns the number of failed checks since the process started. */
uint64_t inv_failures(void);

/* Reports a failed check; called by INV(). */
void inv_fail(const char *name, const char *file, int line, const char *fmt,
              ...) G_GNUC_PRINTF(4, 5);

/*
 * Fault injection for tests that prove that a check can fail.  Such a test
 * defines INV_FAULT and includes the source file of the module.  In all other
 * builds the faults are compiled out.
 */
#ifndef INV_FAULT
#define INV_FAULT(name) false
#endif

#define INV(name, cond, ...)                                                  \
    do {                                                                      \
        if (G_UNLIKELY(!(cond))) {                                            \
            inv_fail((name), __FILE__, __LINE__, __VA_ARGS__);                \
        }                                                                     \
    } while (0)

#endif
