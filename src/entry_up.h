/*
 * entry_up - one HTTP call to an upstream or another entry VM.
 *
 * A task: owns the connections to each address, which are bounded by the
 * target's limit; calls beyond it wait.  A call tells its end exactly once,
 * unless it is dropped by call_cancel().  Nothing is ever sent again here.
 */
#ifndef MIMOSA_ENTRY_UP_H
#define MIMOSA_ENTRY_UP_H

#include <stdbool.h>
#include <stdint.h>

#include <libsoup/soup.h>

typedef struct UpPool UpPool;
typedef struct Call Call;

typedef enum CallEnd {
    CALL_DONE,     /* head and whole body were read */
    CALL_NOT_SENT, /* no byte of it was sent */
    CALL_CLOSED    /* ended after the first byte was sent */
} CallEnd;

typedef struct CallOpts {
    const char *address; /* "IP:PORT" */
    int connections;     /* bound of this process to the address */
    bool once;           /* a connection of its own, never sent again */
    const char *method;
    const char *path;         /* encoded, with its slash */
    const char *query;        /* encoded; NULL: none */
    const char *content_type; /* of the body; may be NULL */
    GBytes *body;             /* NULL: none, or body_fd */
    int body_fd;        /* -1, or a pipe that gives the body; taken over */
    int64_t body_bytes; /* of the pipe; -1: unknown */
    /* Fills the request headers. */
    void (*fill)(void *ctx, SoupMessageHeaders *h);
    /* Asked right before the send, when there is a connection. */
    bool (*may_send)(void *ctx);
    void (*on_head)(void *ctx, int status, SoupMessageHeaders *h);
    /* A part of the body; call_more() asks for the next. */
    void (*on_data)(void *ctx, GBytes *data);
    void (*on_end)(void *ctx, CallEnd how, const char *why);
    void *ctx;
} CallOpts;

/* Runs on the thread's main context. */
UpPool *up_pool_new(void);
void up_pool_free(UpPool *p);

/* Starts a call.  Never returns NULL; on_end may be called later only. */
Call *call_start(UpPool *p, const CallOpts *o);
void call_more(Call *c);

/* Ends a call without on_end and closes its connection. */
void call_cancel(Call *c);

/* True once a byte of the request may have been sent. */
bool call_sent(const Call *c);

#endif
