/*
 * caller_state - state of callers and of their set, for caller.c and callers.c
 * only.
 */
#ifndef MIMOSA_CALLER_STATE_H
#define MIMOSA_CALLER_STATE_H

#include "caller.h"
#include "strm.h"

/* Time that a connection stays open after the caller has received the last
 * response, to discard what it still sends. */
#define LINGER_US 1000000

typedef enum CallerPhase {
    PHASE_READING,    /* idle, or reads a request */
    PHASE_RESPONDING, /* a complete request waits for its response */
    PHASE_FINISHING,  /* the last response is complete and being written; input
                         is discarded */
    PHASE_LINGERING /* all responses were written and the sending direction is
                       closed; input is discarded until the caller closes */
} CallerPhase;

struct Caller {
    CallerSet *set;
    Strm strm;
    H1 req;
    void *user;
    CallerPhase phase;
    CallerEnd end;      /* why the connection lingers */
    int64_t since_us;   /* start of the idle time, first read of a head, start
                           of the body, or last progress of a response that is
                           being delivered */
    size_t undelivered; /* bytes for the caller at the last timeout check */
    size_t buffered;    /* bytes of this caller in CallerSet.buffered */
    size_t held;        /* see caller_hold() */
    bool own_output;    /* "out" holds bytes of the current response only */
    int requests;       /* complete requests read */
    size_t discarded;   /* see CallerLoss */
    int64_t input_us;   /* time of the last input; 0: none */
    RtLimits limits;    /* in effect at the first byte of the request */
    bool begun;         /* the first byte of a request was read */
    bool in_head;       /* a part of a head was read */
    bool over_limit;    /* accepted beyond max_callers */
    bool chunked;       /* the current response is chunked */
    bool closing;       /* close when the response is written */
    bool idle_end;      /* lingers, was closed without a request, and the
                           caller has received all responses */
    bool closed; /* memory is released at the end of the loop iteration */
    GList link;
};

struct CallerSet {
    CallerOpts o;
    EvlFd listener;
    bool listening;
    int64_t listen_end_us; /* the listener closes; 0: no stop has begun */
    bool accepting;        /* false: connections wait in the kernel's queue */
    EvlTimer timeout_check;
    GQueue open;
    int busy;
    size_t buffered; /* bytes in the buffers of all callers */
    bool shutting_down;
    bool last_responses; /* no request is answered behind the current ones */
    int64_t ended[CALLER_ENDS];
};

/* Reads what the stream has buffered. */
void caller_read(Caller *c);
/* Responds to a request that is not passed to the owner.  The connection is
 * closed, and what is left of the request discarded, unless the request was
 * read completely, is refused with 503, and others were sent behind it. */
void caller_reject(Caller *c, int status, const Err *e);
/* Handles the events of the stream. */
void caller_on_stream(void *ctx, StrmEvent ev);
/* Closes the connection; the memory is released at the end of the loop
 * iteration. */
void caller_close(Caller *c, CallerEnd end);
/* Closes a connection without a request, for this reason.  While the caller
 * may not have read its last response, only the sending direction is closed
 * until the caller has closed too: a request that crosses the close would make
 * the kernel reset the connection, which discards what the caller has not
 * read. */
void caller_linger(Caller *c, CallerEnd end);
/* The limits for the caller's request: those at its first byte or the current
 * ones, whichever allow more. */
RtLimits caller_limits(const Caller *c);
/* True when the request of a connection that was accepted beyond max_callers
 * has to be refused. */
bool callers_over_limit(const CallerSet *s, const Caller *c);
/* Accepts connections again after one has ended. */
void callers_resume_accept(CallerSet *s);
/* Bytes of a request that was read in part. */
size_t caller_partial(const Caller *c);

#endif
