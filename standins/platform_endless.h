/*
 * platform_endless - faulty targets that send bytes until the caller
 * disconnects: in a head, in a body, in the framing of a body, after a
 * complete response, or as a sequence of interim responses.
 */
#ifndef MIMOSA_PLATFORM_ENDLESS_H
#define MIMOSA_PLATFORM_ENDLESS_H

#include "platform_store.h"

#define ENDLESS_INTERVAL_US 1000
#define ENDLESS_BYTES (64 * 1024) /* per interval, while the caller reads */
/* Prefix of the kinds of which one byte is sent per interval. */
#define ENDLESS_SLOW "slow"
#define ENDLESS_SLOW_INTERVAL_US 50000

#define ENDLESS_TEXT "0123456789abcdef"
#define ENDLESS_CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define ENDLESS_INTERIM "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"

typedef struct EndlessKind {
    const char *name;
    bool own; /* begins with the status line and headers of the complete
                 response */
    const char *begin; /* sent once, behind these */
    const char *bytes; /* sent without end */
    bool chunked; /* caller_begin() and caller_write() write the framing */
} EndlessKind;

static const EndlessKind endless_kinds[] = {
    /* A start line, after an interim response. */
    {"head", false, ENDLESS_INTERIM, ENDLESS_TEXT, false},
    {"interim", false, ENDLESS_INTERIM, "HTTP/1.1 100 Continue\r\n\r\n",
     false},
    /* Responses to another attempt. */
    {"other", false, ENDLESS_INTERIM,
     "HTTP/1.1 200 Status\r\nX-Mimosascale-Attempt-Id: 0000\r\n"
     "Content-Length: 0\r\n\r\n",
     false},
    /* The body of a response without an attempt id. */
    {"stray", false, "", ENDLESS_TEXT, true},
    /* Bytes behind a complete response.  The first one comes with it: nobody
     * can tell that bytes will follow a response later. */
    {"after", true, "Content-Length: 0\r\n\r\n0", ENDLESS_TEXT, false},
    {"past", true, "Content-Length: 3\r\n\r\nabc0", ENDLESS_TEXT, false},
    /* Bodies of the response to this attempt. */
    {"own", true, "", ENDLESS_TEXT, true},
    {"long", true, "Content-Length: 9000000000000000000\r\n\r\n", ENDLESS_TEXT,
     false},
    {"close", true, "Connection: close\r\n\r\n", ENDLESS_TEXT, false},
    /* Header lines and framing of the response to this attempt. */
    {"value", true, "X-A: ", ENDLESS_TEXT, false},
    {"lines", true, "", "X-A: b\r\n", false},
    {"extension", true, ENDLESS_CHUNKED "3;", "a=0123456789abc;", false},
    {"zeros", true, ENDLESS_CHUNKED, "0000000000000000", false},
    {"trailer", true, ENDLESS_CHUNKED "3\r\nabc\r\n0\r\nX-A: ", ENDLESS_TEXT,
     false},
    {"trailers", true, ENDLESS_CHUNKED "3\r\nabc\r\n0\r\n", "X-A: b\r\n",
     false},
    /* Chunks whose extensions are larger than their bytes. */
    {"extensions", true, ENDLESS_CHUNKED, "1;0123456789abcdef\r\nx\r\n",
     false},
};

typedef struct Endless {
    /* Must be first: on_target_disconnected() distinguishes Endless from
     * DelayedReply by the function of this timer. */
    DelayedReply reply;
    Platform *p;
    const EndlessKind *kind;
    bool slow;
    size_t at; /* next byte of a slow kind */
} Endless;

static void
endless_write(Endless *e)
{
    const char *bytes = e->kind->bytes;
    GString *piece = g_string_new(NULL);

    if (e->slow) {
        g_string_append_c(piece, bytes[e->at++ % strlen(bytes)]);
    }
    while (!e->slow && piece->len < ENDLESS_BYTES) {
        g_string_append(piece, bytes);
    }
    caller_write(e->reply.caller, piece->str, piece->len);
    g_string_free(piece, TRUE);
}

static void
on_endless(void *ctx, int64_t now_us)
{
    Endless *e = ctx;

    if (caller_backlog(e->reply.caller) < ENDLESS_BYTES) {
        endless_write(e);
    }
    evl_arm(e->p->loop, &e->reply.timer,
            now_us +
                (e->slow ? ENDLESS_SLOW_INTERVAL_US : ENDLESS_INTERVAL_US));
}

static void
endless_disconnected(Endless *e)
{
    evl_disarm(e->p->loop, &e->reply.timer);
    e->p->n_endless--;
    g_free(e);
}

static const EndlessKind *
find_endless(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endless_kinds); i++) {
        if (strcmp(endless_kinds[i].name, name) == 0) {
            return &endless_kinds[i];
        }
    }
    return NULL;
}

/* Starts to send.  name: of a kind, or ENDLESS_SLOW and the name of a kind;
 * own_head: status line and headers of the complete response.  Returns false
 * if there is no such kind. */
static bool
endless_begin(Platform *p, Caller *c, const char *name, const char *own_head,
              int64_t now_us)
{
    bool slow = g_str_has_prefix(name, ENDLESS_SLOW);
    const EndlessKind *k =
        find_endless(slow ? name + strlen(ENDLESS_SLOW) : name);

    if (k == NULL) {
        return false;
    }
    Endless *e = g_new0(Endless, 1);
    *e = (Endless){
        {NULL, c, NULL, {.fn = on_endless, .ctx = e}}, p, k, slow, 0};
    p->n_endless++;
    p->n_endless_begun++;
    caller_set_user(c, e);
    if (k->chunked) {
        caller_begin(c, str_of(k->own ? own_head : "HTTP/1.1 200 Status\r\n"),
                     -1);
    }
    else {
        char *begin = g_strconcat(k->own ? own_head : "", k->begin, NULL);
        caller_write(c, begin, strlen(begin));
        g_free(begin);
    }
    evl_arm(p->loop, &e->reply.timer, now_us + ENDLESS_INTERVAL_US);
    return true;
}

/* Responds to calls of the store without end while a kind is set. */
static void
on_store_call(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    static const char control[] = "/test/endless";
    static const char head[] = "HTTP/1.1 200 Status\r\n"
                               "Content-Type: application/json\r\n";
    Platform *p = ctx;
    char *path = g_strndup(req->target.p, req->target.n);

    if (g_str_has_prefix(path, control) && req->parser.method == HTTP_PUT) {
        const char *kind = strchr(path, '?');
        g_strlcpy(p->endless_kind, kind == NULL ? "" : kind + 1,
                  sizeof(p->endless_kind));
        respond(p, c, 200, "{}");
    }
    else if (g_str_has_prefix(path, "/test/") ||
             !endless_begin(p, c, p->endless_kind, head, now_us)) {
        on_store(ctx, c, req, now_us);
    }
    g_free(path);
}

static void
on_store_disconnected(void *ctx, void *user, int64_t now_us)
{
    Platform *p = ctx;

    if (g_ptr_array_find(p->watches, user, NULL)) {
        on_watcher_disconnected(ctx, user, now_us);
    }
    else {
        endless_disconnected(user);
    }
}

#endif
