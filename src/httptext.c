/* httptext - HTTP answers of this program.  See httptext.h. */
#include "httptext.h"

#include <string.h>

#include "limits.h"
#include "loopsrc.h"

/* Time for the caller to read an answer before the connection is closed. */
#define LINGER_MS 500

/* Appends a JSON string; bytes that are not printable ASCII become '?'. */
static void
append_json(GString *g, const char *text)
{
    g_string_append_c(g, '"');
    for (; *text != '\0'; text++) {
        char c = *text;
        if (c == '"' || c == '\\') {
            g_string_append_c(g, '\\');
        }
        g_string_append_c(g, c >= 0x20 && c < 0x7f ? c : '?');
    }
    g_string_append_c(g, '"');
}

GString *
http_outcome_json(const char *outcome, const char *reason, const char *text,
                  int retry_ms)
{
    GString *g = g_string_new("{\"outcome\":");

    append_json(g, outcome);
    g_string_append(g, ",\"reason\":");
    append_json(g, reason);
    g_string_append(g, ",\"message\":");
    append_json(g, text);
    g_string_append_printf(g, ",\"retry_after_ms\":%d}\n", retry_ms);
    return g;
}

void
http_answer(SoupServerMessage *msg, int status, const char *outcome,
            GString *body, int retry_ms)
{
    SoupMessageHeaders *h = soup_server_message_get_response_headers(msg);
    gsize n = body->len;
    char text[16];

    soup_message_headers_replace(h, "Mimosa-Outcome", outcome);
    if (retry_ms > 0) {
        g_snprintf(text, sizeof(text), "%d", (retry_ms + 999) / 1000);
        soup_message_headers_replace(h, "Retry-After", text);
    }
    soup_server_message_set_response(msg, "application/json", SOUP_MEMORY_TAKE,
                                     g_string_free(body, FALSE), n);
    soup_server_message_set_status(msg, (guint)status, NULL);
}

typedef struct ClosingAnswer {
    GIOStream *io;
    GString *text;
} ClosingAnswer;

static gboolean
on_linger_end(gpointer data)
{
    ClosingAnswer *c = data;

    g_io_stream_close_async(c->io, G_PRIORITY_DEFAULT, NULL, NULL, NULL);
    g_object_unref(c->io);
    g_string_free(c->text, TRUE);
    g_free(c);
    return G_SOURCE_REMOVE;
}

static void
on_written(GObject *src, GAsyncResult *res, gpointer data)
{
    g_output_stream_write_all_finish(G_OUTPUT_STREAM(src), res, NULL, NULL);
    /* Closing the connection at once would reset it while the caller is still
     * sending, and the answer would be lost. */
    GSource *s = src_timeout(LINGER_MS, on_linger_end, data);
    g_source_unref(s);
}

void
http_answer_and_close(SoupServerMessage *msg, int status, const char *outcome,
                      GString *body)
{
    ClosingAnswer *c = g_new0(ClosingAnswer, 1);

    c->text = g_string_new(NULL);
    g_string_printf(c->text,
                    "HTTP/1.1 %d %s\r\nMimosa-Outcome: %s\r\n"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                    status, soup_status_get_phrase((guint)status), outcome,
                    body->len, body->str);
    g_string_free(body, TRUE);
    c->io = soup_server_message_steal_connection(msg);
    g_output_stream_write_all_async(g_io_stream_get_output_stream(c->io),
                                    c->text->str, c->text->len,
                                    G_PRIORITY_DEFAULT, NULL, on_written, c);
}

void
http_answer_text(SoupServerMessage *msg, const char *type, GString *body)
{
    gsize n = body->len;

    soup_server_message_set_response(msg, type, SOUP_MEMORY_TAKE,
                                     g_string_free(body, FALSE), n);
    soup_server_message_set_status(msg, 200, NULL);
}

static void
on_request_head(SoupServer *server, SoupServerMessage *msg, const char *path,
                GHashTable *query, gpointer data)
{
    SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);
    SoupEncoding enc = soup_message_headers_get_encoding(h);

    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (enc == SOUP_ENCODING_CHUNKED ||
        (enc == SOUP_ENCODING_CONTENT_LENGTH &&
         soup_message_headers_get_content_length(h) > BODY_HASH_BYTES)) {
        http_answer_and_close(
            msg, 413, "not-run",
            http_outcome_json("not-run", "limit",
                              "body: allowed are 65536 bytes with a "
                              "Content-Length; send a smaller body",
                              0));
    }
}

void
http_limit_bodies(SoupServer *server, const char *path)
{
    soup_server_add_early_handler(server, path, on_request_head, NULL, NULL);
}

/* Headers that http_copy_headers() leaves out. */
static bool
is_header_skipped(const char *name)
{
    static const char *const names[] = {
        "Connection",        "Keep-Alive", "Proxy-Authenticate",
        "Proxy-Connection",  "TE",         "Trailer",
        "Transfer-Encoding", "Upgrade",    "Host",
        "Content-Length",    "Expect",     "Proxy-Authorization",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return g_ascii_strncasecmp(name, "Mimosa-", 7) == 0;
}

void
http_copy_headers(SoupMessageHeaders *to, SoupMessageHeaders *from)
{
    SoupMessageHeadersIter it;
    const char *name;
    const char *value;

    soup_message_headers_iter_init(&it, from);
    while (soup_message_headers_iter_next(&it, &name, &value)) {
        if (!is_header_skipped(name)) {
            soup_message_headers_append(to, name, value);
        }
    }
}
