/* evlsrc - runs an evl loop in GLib's main loop.  See evlsrc.h. */
#include "evlsrc.h"

#include <glib-unix.h>

typedef struct EvlSource {
    GSource source;
    Evl *loop;
    gpointer tag; /* of the loop's descriptor in the source */
} EvlSource;

static gboolean
prepare(GSource *s, gint *timeout)
{
    *timeout = evl_wait_ms(((EvlSource *)s)->loop);
    return *timeout == 0;
}

static gboolean
check(GSource *s)
{
    EvlSource *e = (EvlSource *)s;

    return g_source_query_unix_fd(s, e->tag) != 0 || evl_wait_ms(e->loop) == 0;
}

static gboolean
dispatch(GSource *s, GSourceFunc f, gpointer data)
{
    (void)f;
    (void)data;
    evl_run_once(((EvlSource *)s)->loop, 0);
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs funcs = {prepare, check, dispatch, NULL, NULL, NULL};

GSource *
evlsrc_new(Evl *l)
{
    GSource *s = g_source_new(&funcs, sizeof(EvlSource));
    EvlSource *e = (EvlSource *)s;

    e->loop = l;
    e->tag = g_source_add_unix_fd(s, evl_fd(l), G_IO_IN);
    g_source_attach(s, g_main_context_get_thread_default());
    return s;
}
