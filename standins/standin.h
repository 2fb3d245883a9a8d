/*
 * standin - shared by the stand-ins: short answers, dropped connections and
 * the main loop.
 */
#ifndef MIMOSA_STANDIN_H
#define MIMOSA_STANDIN_H

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <glib-unix.h>
#include <libsoup/soup.h>

#include "err.h"
#include "limits.h"
#include "settings.h"

static inline void
answer_text(SoupServerMessage *msg, guint status, const char *type,
            const char *text)
{
    soup_server_message_set_response(msg, type, SOUP_MEMORY_COPY, text,
                                     strlen(text));
    soup_server_message_set_status(msg, status, NULL);
}

/* Closes the connection without an answer. */
static inline void
drop(SoupServerMessage *msg)
{
    GIOStream *io = soup_server_message_steal_connection(msg);

    g_io_stream_close(io, NULL, NULL);
    g_object_unref(io);
}

static inline gboolean
standin_quit(gpointer loop)
{
    g_main_loop_quit(loop);
    return G_SOURCE_CONTINUE;
}

/* Starts a server on "IP:PORT".  Returns NULL after a message. */
static inline SoupServer *
standin_listen(const char *name, const char *listen, SoupServerCallback cb,
               gpointer ctx)
{
    char host[ADDR_BYTES];
    uint16_t port = 0;
    Err e = {0};
    GError *ge = NULL;

    if (!settings_address(listen, host, sizeof(host), &port, &e)) {
        fprintf(stderr, "%s: --listen: %s\n", name, e.text);
        return NULL;
    }
    SoupServer *server = soup_server_new("server-header", name, NULL);
    GSocketAddress *a = g_inet_socket_address_new_from_string(host, port);
    soup_server_add_handler(server, NULL, cb, ctx, NULL);
    if (!soup_server_listen(server, a, 0, &ge)) {
        fprintf(stderr, "%s: %s: %s\n", name, listen, ge->message);
        g_error_free(ge);
        g_clear_object(&server);
    }
    else {
        printf("%s: listening on %s\n", name, listen);
        fflush(stdout);
    }
    g_object_unref(a);
    return server;
}

/* Serves until SIGTERM or SIGINT.  Returns the exit code. */
static inline int
standin_run(const char *name, const char *listen, SoupServerCallback cb,
            gpointer ctx)
{
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    SoupServer *server = standin_listen(name, listen, cb, ctx);

    if (server == NULL) {
        return 1;
    }
    g_unix_signal_add(SIGTERM, standin_quit, loop);
    g_unix_signal_add(SIGINT, standin_quit, loop);
    g_main_loop_run(loop);
    g_object_unref(server);
    g_main_loop_unref(loop);
    return 0;
}

#endif
