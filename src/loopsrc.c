/* loopsrc - event sources in the thread-default context.  See loopsrc.h. */
#include "loopsrc.h"

static GSource *
attach(GSource *s, GSourceFunc f, gpointer data)
{
    g_source_set_callback(s, f, data, NULL);
    g_source_attach(s, g_main_context_get_thread_default());
    return s;
}

GSource *
src_timeout(guint ms, GSourceFunc f, gpointer data)
{
    return attach(g_timeout_source_new(ms), f, data);
}

GSource *
src_fd(int fd, GIOCondition cond, GUnixFDSourceFunc f, gpointer data)
{
    return attach(g_unix_fd_source_new(fd, cond), G_SOURCE_FUNC(f), data);
}

GSource *
src_signal(int signum, GSourceFunc f, gpointer data)
{
    return attach(g_unix_signal_source_new(signum), f, data);
}

void
src_end(GSource **s)
{
    if (*s != NULL) {
        g_source_destroy(*s);
        g_source_unref(*s);
        *s = NULL;
    }
}
