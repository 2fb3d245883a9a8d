/*
 * caller - server side of HTTP/1.1: connections of callers.
 *
 * Reads whole requests, one at a time on a connection, and writes answers.
 * What a request means is the business of the functions in CallerFns.
 */
#ifndef MIMOSA_CALLER_H
#define MIMOSA_CALLER_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ctr.h"
#include "evl.h"
#include "h1.h"
#include "rt.h"

typedef struct Caller Caller;
typedef struct CallerSet CallerSet;

typedef struct CallerFns {
    /* A whole request; answered now or later by one of the functions below.
     * req is good until the answer is complete. */
    void (*request)(void *ctx, Caller *c, const H1 *req, int64_t now_us);
    /* The caller left before its answer was complete. */
    void (*disconnected)(void *ctx, void *user, int64_t now_us);
    /* All written bytes are with the kernel. */
    void (*flushed)(void *ctx, void *user);
    /* A request was refused before it was whole. */
    void (*refused)(void *ctx, int status, const Err *e);
} CallerFns;

typedef struct CallerOpts {
    Evl *loop;
    struct sockaddr_in listen_addr;
    int max_callers;           /* further connections are closed at once */
    size_t max_buffered_bytes; /* requests and answers in memory, together */
    RtLimits limits;
    CallerFns fns;
    void *ctx;
} CallerOpts;

/* Errors: ERR_IO when the address cannot be listened on. */
CallerSet *callers_new(const CallerOpts *o, Err *e);
void callers_free(CallerSet *s);

/* Limits for what is read from now on. */
void callers_set_limits(CallerSet *s, const RtLimits *l);

int callers_open(const CallerSet *s);
int callers_busy(const CallerSet *s);

/* From now on answers carry "Connection: close". */
void callers_shutdown(CallerSet *s);
/* Takes no new connection any more and closes those without a request. */
void callers_close_idle(CallerSet *s);

/* user is handed to left() and flushed(); NULL: nobody is told. */
void caller_set_user(Caller *c, void *user);

/* head: status line and headers, each line with CRLF, without the headers of
 * the connection and of the framing. */
void caller_respond(Caller *c, Str head, const void *body, size_t n);

/* Streamed answer; length -1: chunked. */
void caller_begin(Caller *c, Str head, int64_t length);
void caller_write(Caller *c, const void *p, size_t n);
void caller_end(Caller *c);
/* Closes so that the answer does not look complete. */
void caller_abort(Caller *c);
/* Bytes that the caller has not taken yet. */
size_t caller_backlog(const Caller *c);

/* An answer of the system itself: plain text and, over 0, Retry-After. */
void caller_respond_text(Caller *c, int status, const char *text,
                         int64_t retry_us);

#endif
