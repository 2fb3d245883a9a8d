/*
 * caller - HTTP/1.1 server: the connections of callers.
 *
 * Reads complete requests, one at a time on each connection, and writes
 * responses.  The callbacks in CallerFns process the requests.
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

/* Why a connection ended. */
typedef enum CallerEnd {
    CALLER_END_PEER,     /* the caller closed or reset it */
    CALLER_END_RESPONSE, /* closed after a response that announced it */
    CALLER_END_TIMEOUT,
    CALLER_END_IDLE,  /* ended by callers_close_idle(), before its close */
    CALLER_END_ABORT, /* closed to truncate a response, or at the end */
    CALLER_ENDS
} CallerEnd;

/* What may have been lost when a connection ended. */
typedef struct CallerLoss {
    CallerEnd end;
    const char *phase; /* of the connection when it ended */
    int requests;      /* complete requests read on the connection */
    size_t discarded;  /* bytes read behind the last response, and dropped */
    int64_t input_age_us; /* since the last input; -1: there was none */
    size_t unread;        /* bytes in the kernel that were not read */
    size_t partial;       /* bytes of a request that was not read completely */
    size_t unsent;        /* bytes of a response not passed to the kernel */
    size_t unacked;       /* bytes that the caller has not acknowledged */
} CallerLoss;

typedef struct CallerFns {
    /* A complete request was read.  The owner responds at once or later, with
     * the functions below.  req is valid until the response is complete. */
    void (*request)(void *ctx, Caller *c, const H1 *req, int64_t now_us);
    /* The caller disconnected before its response was complete. */
    void (*disconnected)(void *ctx, void *user, int64_t now_us);
    /* All response bytes so far were passed to the kernel. */
    void (*flushed)(void *ctx, void *user);
    /* A request was rejected before it was read completely. */
    void (*rejected)(void *ctx, int status, const Err *e);
    /* A connection ended while a count of bytes of *x was not 0: this side
     * closed it, or has dropped input.  May be NULL. */
    void (*lossy_end)(void *ctx, const CallerLoss *x);
} CallerFns;

typedef struct CallerOpts {
    Evl *loop;
    struct sockaddr_in listen_addr;
    /* Requests on connections beyond this number get 503; some further
     * connections wait to be accepted. */
    int max_callers;
    size_t max_buffered_bytes; /* requests and responses in total, with what
                                  caller_hold() counts */
    RtLimits limits;
    CallerFns fns;
    void *ctx;
} CallerOpts;

/* Listens on o->listen_addr.  Returns NULL with ERR_IO on failure. */
CallerSet *callers_new(const CallerOpts *o, Err *e);
void callers_free(CallerSet *s);

/* Replaces the limits.  A request that was begun may still use the limits at
 * its first byte. */
void callers_set_limits(CallerSet *s, const RtLimits *l);

/* Number of open connections. */
int callers_open(const CallerSet *s);
/* Number of requests whose response was not passed to the kernel yet. */
int callers_unsent(const CallerSet *s);
/* The same, and callers that have not received the whole last response of
 * their connection. */
int callers_busy(const CallerSet *s);

/* Number of connections with a request that was read in part. */
int callers_partial(const CallerSet *s);
/* Number of connections that ended for this reason. */
int64_t callers_ended(const CallerSet *s, CallerEnd end);
/* Name of the reason in logs and metrics. */
const char *caller_end_name(CallerEnd end);

/* Adds "Connection: close" to all subsequent responses, except where the next
 * request has arrived already. */
void callers_shutdown(CallerSet *s);
/* Closes the connections without a request, accepts those that wait, lets no
 * further ones begin, and stops listening a round trip later, when none is
 * left.  To be called until callers_closed(), since a
 * new connection has some time for its first request, and some may wait for
 * room. */
void callers_close_idle(CallerSet *s);
/* True when no connection is open and none waits to be accepted. */
bool callers_closed(const CallerSet *s);
/* Stops listening, and responds with 503 to the requests that were read in
 * part.  All subsequent
 * responses are the last ones of their connections. */
void callers_reject_partial(CallerSet *s);

/* True if the caller has closed its sending direction or its connection, which
 * disconnected() reports later. */
bool caller_has_left(const Caller *c);

/* Sets the argument "user" of disconnected() and flushed(); with NULL neither
 * is called. */
void caller_set_user(Caller *c, void *user);

/* Sends a complete response.  head: status line and headers, each line with
 * CRLF, without the connection and framing headers. */
void caller_respond(Caller *c, Str head, const void *body, size_t n);

/* Streamed response: begin, any number of parts, end.  length: of the body in
 * bytes, -1 for a chunked response. */
void caller_begin(Caller *c, Str head, int64_t length);
void caller_write(Caller *c, const void *p, size_t n);
void caller_end(Caller *c);
/* Ends the connection so that the response is seen to be truncated.  Earlier
 * responses are delivered. */
void caller_abort(Caller *c);
/* Response bytes that were not passed to the kernel yet. */
size_t caller_backlog(const Caller *c);
/* Counts n bytes that the owner holds for the response of this caller among
 * the buffered bytes of the set, until the next call or the end of the
 * response. */
void caller_hold(Caller *c, size_t n);
/* True when the buffered bytes of all callers leave little room, so that the
 * owner should hold and write less for each. */
bool caller_memory_is_short(const Caller *c);

/* Sends a plain-text response of this program, not of an upstream.  retry_us
 * above 0 adds Retry-After. */
void caller_respond_text(Caller *c, int status, const char *text,
                         int64_t retry_us);

#endif
