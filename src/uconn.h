/*
 * uconn - connections to upstreams, kept for further requests.
 *
 * A connection is used again only after a whole answer that was framed, with
 * nothing behind it, and only while the upstream keeps idle connections.
 */
#ifndef MIMOSA_UCONN_H
#define MIMOSA_UCONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evl.h"
#include "h1.h"
#include "ups.h"

typedef struct Uconn Uconn;
typedef struct UconnPool UconnPool;

typedef enum UconnEvent {
    UCONN_CONNECTED, /* told only where nothing was to be sent yet */
    UCONN_BODY,      /* the head is sound and more of the body has come */
    UCONN_DONE,      /* the answer is whole */
    UCONN_REFUSED,   /* not connected; nothing was written */
    UCONN_LOST,      /* ended before the answer was whole */
    UCONN_GARBLED,   /* bytes that are no answer */
    UCONN_FLUSHED    /* all that was written is with the kernel */
} UconnEvent;

typedef void (*UconnFn)(void *ctx, UconnEvent ev, int64_t now_us);

UconnPool *uconns_new(Evl *loop);
void uconns_free(UconnPool *p);

/* Connections opened and connections used again since the start. */
int64_t uconns_opened(const UconnPool *p);
int64_t uconns_reused(const UconnPool *p);

/*
 * Takes an idle connection or opens one.  fresh_only: never an idle one.
 * Returns NULL when no socket can be had.
 */
Uconn *uconn_open(UconnPool *p, Ups *u, bool fresh_only, UconnFn fn,
                  void *ctx);

/* Writes the request; once per uconn_open(). */
void uconn_send(Uconn *c, const void *head, size_t n, const void *body,
                size_t body_n, bool to_head);

/* Writes more of the request's body, as framed by its head. */
void uconn_send_more(Uconn *c, const void *p, size_t n);
/* Bytes of the request that are not with the kernel yet. */
size_t uconn_backlog(const Uconn *c);

bool uconn_connected(const Uconn *c);
bool uconn_is_reused(const Uconn *c);

/* The answer as far as it has come; bytes may be taken out of its body. */
H1 *uconn_response(Uconn *c);
void uconn_pause(Uconn *c, bool paused);

/* Reads on for the next answer: the one that came belongs to another
 * request.  The connection is not used again. */
void uconn_skip_response(Uconn *c);

/* Gives the connection back after UCONN_DONE. */
void uconn_release(Uconn *c);

/* Closes the connection, which also cancels the request. */
void uconn_cancel(Uconn *c);

/* Closes the idle connections of an upstream. */
void uconns_close_idle(UconnPool *p, Ups *u);

#endif
