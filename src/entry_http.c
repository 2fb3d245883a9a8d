/* entry_http - the callers' side of mimosa-entry.  See entry.h. */
#include "entry.h"

#include <errno.h>
#include <string.h>
#include <unistd.h>

#include <glib-unix.h>

#include "httptext.h"
#include "lg.h"

#define REQ_DATA "mimosa-req"
#define COLLECT_BYTES 65536 /* answers up to that are handed over whole */
#define BODY_MEMORY_MAX (128 * 1024 * 1024)
#define HEAD_MS 10000

static Req *
req_of(SoupServerMessage *msg)
{
    return g_object_get_data(G_OBJECT(msg), REQ_DATA);
}

static Str
head_of(SoupMessageHeaders *h, const char *name)
{
    return str_of(soup_message_headers_get_one(h, name));
}

static size_t
head_bytes(SoupServerMessage *msg, SoupMessageHeaders *h)
{
    SoupMessageHeadersIter it;
    const char *name;
    const char *value;
    GUri *u = soup_server_message_get_uri(msg);
    size_t n = strlen(g_uri_get_path(u)) + str_of(g_uri_get_query(u)).n;

    soup_message_headers_iter_init(&it, h);
    while (soup_message_headers_iter_next(&it, &name, &value)) {
        n += strlen(name) + strlen(value) + 4;
    }
    return n;
}

static void
fill_in(ReqHeadIn *in, SoupServerMessage *msg)
{
    SoupMessageHeaders *h = soup_server_message_get_request_headers(msg);

    in->path = str_of(g_uri_get_path(soup_server_message_get_uri(msg)));
    in->rank = head_of(h, "Mimosa-Rank");
    in->deadline_ms = head_of(h, "Mimosa-Deadline-Ms");
    in->class = head_of(h, "Mimosa-Class");
    in->key = head_of(h, "Idempotency-Key");
    in->attempt = head_of(h, "Mimosa-Attempt");
    in->issued = head_of(h, "Mimosa-Issued");
    in->home = head_of(h, "Mimosa-Home");
    in->hop = head_of(h, "Mimosa-Hop");
    in->stage = head_of(h, "Mimosa-Stage");
    in->client = head_of(h, "Mimosa-Client");
    in->fleet = head_of(h, "Mimosa-Fleet");
    in->head_bytes = head_bytes(msg, h);
    switch (soup_message_headers_get_encoding(h)) {
    case SOUP_ENCODING_CONTENT_LENGTH:
        in->body_bytes = soup_message_headers_get_content_length(h);
        break;
    case SOUP_ENCODING_CHUNKED:
        in->body_bytes = -1;
        break;
    default:
        in->body_bytes = 0;
    }
}

/* Refuses a request whose head alone is enough to tell. */
static void
refuse_head(Entry *en, SoupServerMessage *msg, const ReqHeadIn *in, int status,
            const char *reason, const char *text)
{
    ctr_add(en->c[EC_REFUSED_HEAD], 1);
    lg_decision("entry", "refused head: reason=%s %s", reason, text);
    GString *body = http_outcome_json("not-run", reason, text, 0);
    if (in->body_bytes < 0 || in->body_bytes > BODY_HASH_BYTES) {
        /* The body would have to be read before libsoup answers. */
        http_answer_and_close(msg, status, "not-run", body);
        return;
    }
    http_answer(msg, status, "not-run", body, 0);
}

static int
status_of_error(ErrKind k)
{
    switch (k) {
    case ERR_NOT_FOUND:
        return 404;
    case ERR_LIMIT:
        return 413;
    case ERR_AUTH:
        return 403;
    default:
        return 400;
    }
}

static void on_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data);
static void on_wrote_chunk(SoupServerMessage *msg, gpointer data);

static void
accept_request(Entry *en, SoupServerMessage *msg, const ReqHead *h,
               const ReqHeadIn *in)
{
    Req *r = req_new(en, msg, h);

    r->body_length = in->body_bytes;
    g_object_set_data(G_OBJECT(msg), REQ_DATA, r);
    if (h->hop > 0 && in->client.n > 0 && in->client.n < INET6_ADDRSTRLEN) {
        str_copy(r->client_text, sizeof(r->client_text), in->client);
        http_addr_parse(r->client_text, r->client);
    }
    HttpConn *c = http_conn_of(r->remote);
    if (c != NULL) {
        http_conn_set_user(c, r);
    }
    soup_message_body_set_accumulate(soup_server_message_get_request_body(msg),
                                     FALSE);
    if (in->body_bytes != 0) {
        g_signal_connect(msg, "got-chunk", G_CALLBACK(on_chunk), r);
    }
    g_signal_connect(msg, "wrote-chunk", G_CALLBACK(on_wrote_chunk), NULL);
}

/* Called when the head of a request has been read. */
static void
on_head(SoupServer *server, SoupServerMessage *msg, const char *path,
        GHashTable *query, gpointer data)
{
    Entry *en = data;
    ReqHeadIn in;
    ReqHead h;
    Err e = {0};

    (void)server;
    (void)path;
    (void)query;
    ctr_add(en->c[EC_REQUESTS], 1);
    fill_in(&in, msg);
    if (en->snap == NULL || en->snap->m == NULL || en->snap->own_zone < 0) {
        refuse_head(en, msg, &in, 503, "no-configuration",
                    "no configuration yet; ask another entry VM");
        return;
    }
    if (!reqhead_parse(&h, &in, en->snap->m, en->proof, &e)) {
        refuse_head(en, msg, &in, status_of_error(e.kind),
                    err_kind_name(e.kind), e.text);
        return;
    }
    if (en->reqs.length >= INFLIGHT_MAX || en->body_bytes > BODY_MEMORY_MAX) {
        refuse_head(en, msg, &in, 503, "entry-full",
                    "too many requests in flight; ask another entry VM");
        return;
    }
    accept_request(en, msg, &h, &in);
}

/* Writes what waits into the pipe; the caller is paused meanwhile. */
static gboolean
on_pipe_room(gint fd, GIOCondition cond, gpointer data)
{
    Req *r = data;
    GByteArray *rest = r->pipe_rest;
    ssize_t n = (cond & G_IO_ERR) ? -1 : write(fd, rest->data, rest->len);

    if (n > 0) {
        g_byte_array_remove_range(rest, 0, (guint)n);
    }
    if (rest->len > 0 && (n >= 0 || errno == EAGAIN) && !(cond & G_IO_ERR)) {
        return G_SOURCE_CONTINUE;
    }
    src_end(&r->pipe_source);
    if (rest->len > 0 || r->body_whole) {
        /* The reader is gone, so the rest of the body is dropped; or all of
         * it was written. */
        g_byte_array_set_size(rest, 0);
        close(r->pipe_fd);
        r->pipe_fd = -1;
    }
    if (!r->body_whole && r->msg != NULL) {
        soup_server_message_unpause(r->msg);
    }
    return G_SOURCE_REMOVE;
}

static void
pipe_pump(Req *r)
{
    if (r->pipe_source == NULL && r->pipe_fd >= 0) {
        r->pipe_source =
            src_fd(r->pipe_fd, G_IO_OUT | G_IO_ERR, on_pipe_room, r);
    }
}

/* A body over BODY_HASH_BYTES passes through a pipe, whose kernel buffer
 * bounds what is held of it. */
void
req_body_stream(Req *r)
{
    int fds[2];

    if (!g_unix_open_pipe(fds, FD_CLOEXEC, NULL)) {
        req_refuse(r, "no-descriptors", 100, "no free file descriptor");
        return;
    }
    g_unix_set_fd_nonblocking(fds[0], TRUE, NULL);
    g_unix_set_fd_nonblocking(fds[1], TRUE, NULL);
    r->pipe_read_fd = fds[0];
    r->pipe_fd = fds[1];
    r->pipe_rest = g_byte_array_new();
    g_byte_array_append(r->pipe_rest, r->body->data, r->body->len);
}

static void
on_chunk(SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
    Req *r = data;
    gsize n;
    const uint8_t *p = g_bytes_get_data(chunk, &n);

    ctr_add(r->en->c[EC_BYTES_IN], (int64_t)n);
    r->body_got += (int64_t)n;
    if (r->state == REQ_DONE) {
        /* The upstream answered early; the rest is dropped, up to the bound.
         */
        if (r->body_got > BODY_BYTES_MAX && !r->cut_after) {
            req_answer_cut(r);
        }
        return;
    }
    if (r->body_got > BODY_BYTES_MAX) {
        req_too_long(r);
        return;
    }
    if (r->pipe_rest == NULL) {
        g_byte_array_append(r->body, p, (guint)n);
        r->en->body_bytes += n;
        if (r->body->len <= BODY_HASH_BYTES) {
            return;
        }
        soup_server_message_pause(msg);
        req_body_stream(r);
        pipe_pump(r);
        if (r->state == REQ_READING) {
            req_route(r);
        }
        return;
    }
    if (r->pipe_fd >= 0) {
        g_byte_array_append(r->pipe_rest, p, (guint)n);
        soup_server_message_pause(msg);
        pipe_pump(r);
    }
}

/* Called when the whole request has been read. */
static void
on_request(SoupServer *server, SoupServerMessage *msg, const char *path,
           GHashTable *query, gpointer data)
{
    Req *r = req_of(msg);

    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (r == NULL) {
        soup_server_message_set_status(msg, 500, NULL);
        return;
    }
    r->body_whole = true;
    soup_server_message_pause(msg);
    pipe_pump(r);
    if (!r->routed) {
        req_route(r);
    }
}

static void
on_wrote_chunk(SoupServerMessage *msg, gpointer data)
{
    Req *r = req_of(msg);

    (void)data;
    if (r != NULL && r->call != NULL && r->begun) {
        call_more(r->call);
    }
}

static void
msg_ended(SoupServerMessage *msg, Req *r)
{
    HttpConn *c = http_conn_of(r->remote);

    src_end(&r->cut_source);
    g_object_set_data(G_OBJECT(msg), REQ_DATA, NULL);
    g_signal_handlers_disconnect_by_func(msg, on_chunk, r);
    if (c != NULL) {
        http_conn_set_user(c, NULL);
    }
    req_msg_ended(r);
}

static void
on_ended(SoupServer *server, SoupServerMessage *msg, gpointer data)
{
    Req *r = req_of(msg);

    (void)server;
    (void)data;
    if (r == NULL) {
        HttpConn *c = http_srv_conn(msg);
        if (c != NULL) {
            http_conn_set_user(c, NULL);
        }
        return;
    }
    msg_ended(msg, r);
}

/* Ends the connection of a caller with the answer once a planned stop has
 * begun: a later request on it could cross the end of the process. */
static void
end_conn_in_stop(const Req *r)
{
    if (r->en->stop_at_us != 0) {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(r->msg), "Connection",
            "close");
    }
}

/* Answers with a text of the system itself. */
void
req_answer_text(Req *r, int status, const char *outcome, const char *reason,
                const char *text, int retry_ms)
{
    if (r->msg == NULL) {
        return;
    }
    GString *body = http_outcome_json(outcome, reason, text, retry_ms);
    http_answer(r->msg, status, outcome, body, retry_ms);
    end_conn_in_stop(r);
    soup_server_message_unpause(r->msg);
    HttpConn *c = http_conn_of(r->remote);
    if (c != NULL) {
        http_conn_set_answered(c);
    }
}

void
req_answer_begin(Req *r, int status, SoupMessageHeaders *h)
{
    int64_t length = -1;

    r->status = status;
    r->answer_bytes = 0;
    if (soup_message_headers_get_encoding(h) == SOUP_ENCODING_CONTENT_LENGTH) {
        length = soup_message_headers_get_content_length(h);
    }
    r->collect = length >= 0 && length <= COLLECT_BYTES;
    if (r->msg == NULL) {
        return;
    }
    SoupMessageHeaders *out = soup_server_message_get_response_headers(r->msg);
    soup_server_message_set_status(r->msg, (guint)status, NULL);
    http_copy_headers(out, h);
    end_conn_in_stop(r);
    soup_message_headers_replace(out, "Mimosa-Outcome",
                                 r->fwd_outcome == NULL ? "answered"
                                                        : r->fwd_outcome);
    if (length >= 0) {
        soup_message_headers_set_content_length(out, length);
    }
    else {
        soup_message_headers_set_encoding(out, SOUP_ENCODING_CHUNKED);
    }
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(r->msg), FALSE);
}

void
req_answer_data(Req *r, GBytes *data)
{
    r->answer_bytes += (int64_t)g_bytes_get_size(data);
    ctr_add(r->en->c[EC_BYTES_OUT], (int64_t)g_bytes_get_size(data));
    if (r->msg == NULL || r->collect) {
        if (r->msg != NULL) {
            soup_message_body_append_bytes(
                soup_server_message_get_response_body(r->msg), data);
        }
        call_more(r->call);
        return;
    }
    soup_message_body_append_bytes(
        soup_server_message_get_response_body(r->msg), data);
    r->begun = true;
    soup_server_message_unpause(r->msg);
}

void
req_answer_end(Req *r)
{
    if (r->msg == NULL) {
        return;
    }
    soup_message_body_complete(soup_server_message_get_response_body(r->msg));
    soup_server_message_unpause(r->msg);
    HttpConn *c = http_conn_of(r->remote);
    if (c != NULL) {
        http_conn_set_answered(c);
    }
}

void
req_answer_drop(Req *r)
{
    if (r->msg != NULL && !r->begun && r->status != 0) {
        soup_message_headers_clear(
            soup_server_message_get_response_headers(r->msg));
        soup_message_body_truncate(
            soup_server_message_get_response_body(r->msg));
    }
    r->status = 0;
    r->fwd_outcome = NULL;
}

/* Sends the answer that libsoup would hold back until it has read the whole
 * body, and closes the connection. */
static void
answer_unread(SoupServerMessage *msg)
{
    const char *outcome = soup_message_headers_get_one(
        soup_server_message_get_response_headers(msg), "Mimosa-Outcome");
    GBytes *b =
        soup_message_body_flatten(soup_server_message_get_response_body(msg));
    gsize n;
    const char *text = g_bytes_get_data(b, &n);

    http_answer_and_close(msg, (int)soup_server_message_get_status(msg),
                          outcome, g_string_new_len(text, (gssize)n));
    g_bytes_unref(b);
}

static gboolean
on_cut(gpointer data)
{
    Req *r = data;
    SoupServerMessage *msg = r->msg;

    src_end(&r->cut_source);
    if (r->cut_after && !r->begun && !r->body_whole) {
        answer_unread(msg);
        msg_ended(msg, r);
        return G_SOURCE_REMOVE;
    }
    /* libsoup ends a chunked answer when it lets go of it, which must not
     * reach the caller. */
    HttpConn *c = http_conn_of(r->remote);
    if (c != NULL) {
        http_conn_abort(c);
    }
    GIOStream *io = soup_server_message_steal_connection(msg);
    if (io != NULL) {
        g_io_stream_close_async(io, G_PRIORITY_DEFAULT, NULL, NULL, NULL);
        g_object_unref(io);
    }
    /* libsoup does not tell the end of a message without a connection. */
    msg_ended(msg, r);
    return G_SOURCE_REMOVE;
}

/* Closes the caller's connection, so that an answer that has begun cannot be
 * taken for a whole one.  This may be called from within libsoup, so the
 * connection is taken away from it later. */
void
req_answer_cut(Req *r)
{
    if (r->msg != NULL && r->cut_source == NULL) {
        soup_server_message_pause(r->msg);
        r->cut_source = src_timeout(0, on_cut, r);
    }
}

bool
entry_http_start(Entry *en, Err *e)
{
    HttpSrvOpts o = {
        .address = en->set->entry,
        .certificate = en->set->tls_certificate,
        .key = en->set->tls_key,
        .connections_max = CALLER_CONNECTIONS_MAX,
        .idle_ms = CALLER_IDLE_MS,
        .head_ms = HEAD_MS,
        .ctrs = en->ctrs,
        .prefix = "entry",
        .on_peer_closed = req_gone,
        .ctx = en,
    };

    en->http = http_srv_new(&o, e);
    if (en->http == NULL) {
        return false;
    }
    SoupServer *s = http_srv_soup(en->http);
    soup_server_add_early_handler(s, "/v1/run", on_head, en, NULL);
    soup_server_add_handler(s, "/v1/run", on_request, en, NULL);
    g_signal_connect(s, "request-finished", G_CALLBACK(on_ended), en);
    g_signal_connect(s, "request-aborted", G_CALLBACK(on_ended), en);
    return true;
}
