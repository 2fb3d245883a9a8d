/*
 * loopsrc - event sources in the thread-default main context.
 *
 * Attaching a source to GLib's global default context costs a system call that
 * wakes the context, because another thread may poll it; a context of the
 * program does not have this cost.  g_timeout_add() and similar functions only
 * use the global default context, so the programs use these instead.  The
 * caller owns the source that is returned.
 */
#ifndef MIMOSA_LOOPSRC_H
#define MIMOSA_LOOPSRC_H

#include <glib-unix.h>

GSource *src_timeout(guint ms, GSourceFunc f, gpointer data);
GSource *src_fd(int fd, GIOCondition cond, GUnixFDSourceFunc f, gpointer data);
GSource *src_signal(int signum, GSourceFunc f, gpointer data);

/* Destroys and frees *s and sets it to NULL; *s may be NULL. */
void src_end(GSource **s);

#endif
