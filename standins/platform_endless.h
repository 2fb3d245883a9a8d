/*
 * platform_endless - faulty targets that send bytes until the caller
 * disconnects: in a header, in a body, after a complete response, or as a
 * sequence of interim responses.
 */
#ifndef MIMOSA_PLATFORM_ENDLESS_H
#define MIMOSA_PLATFORM_ENDLESS_H

#include "platform_store.h"

#define ENDLESS_INTERVAL_US 1000
#define ENDLESS_BYTES (64 * 1024) /* per interval, while the caller reads */

typedef struct Endless {
    /* Must be first: on_target_disconnected() distinguishes Endless from
     * DelayedReply by the function of this timer. */
    DelayedReply reply;
    const char *bytes;
} Endless;

static void
on_endless(void *ctx, int64_t now_us)
{
    Endless *e = ctx;
    GString *chunk = g_string_new(NULL);

    while (chunk->len < ENDLESS_BYTES) {
        g_string_append(chunk, e->bytes);
    }
    if (caller_backlog(e->reply.caller) < ENDLESS_BYTES) {
        caller_write(e->reply.caller, chunk->str, chunk->len);
    }
    g_string_free(chunk, TRUE);
    evl_arm(e->reply.t->p->loop, &e->reply.timer,
            now_us + ENDLESS_INTERVAL_US);
}

static void
endless_disconnected(Endless *e)
{
    evl_disarm(e->reply.t->p->loop, &e->reply.timer);
    g_free(e);
}

/* Starts to send; kind selects the bytes:
 *   head     a header that does not end
 *   interim  100 Continue responses
 *   after    a complete response, then further bytes
 *   stray    a chunked body, of a response without an attempt id
 *   other    responses to another attempt
 *   own      a chunked body, of the response to this attempt */
static void
endless_begin(Target *t, Caller *c, const char *kind, const char *own_head,
              int64_t now_us)
{
    Endless *e = g_new0(Endless, 1);
    const char *head = "HTTP/1.1 200 Status\r\n";
    int64_t length = -1; /* chunked */

    e->reply = (DelayedReply){t, c, NULL, {.fn = on_endless, .ctx = e}};
    e->bytes = "0123456789abcdef";
    if (strcmp(kind, "head") == 0 || strcmp(kind, "interim") == 0) {
        /* The bytes after the interim response are sent without framing. */
        head = "HTTP/1.1 100 Continue\r\n";
        length = 0;
    }
    if (strcmp(kind, "interim") == 0) {
        e->bytes = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    if (strcmp(kind, "after") == 0) {
        length = 0;
    }
    if (strcmp(kind, "other") == 0) {
        length = 0;
        e->bytes = "HTTP/1.1 200 Status\r\nX-Mimosascale-Attempt-Id: 0000\r\n"
                   "Content-Length: 0\r\n\r\n";
        head = "HTTP/1.1 100 Continue\r\n";
    }
    if (strcmp(kind, "own") == 0 || strcmp(kind, "after") == 0) {
        head = own_head;
    }
    caller_set_user(c, e);
    caller_begin(c, str_of(head), length);
    evl_arm(t->p->loop, &e->reply.timer, now_us + ENDLESS_INTERVAL_US);
}

#endif
