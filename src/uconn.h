/*
 * uconn - connections to upstreams, kept alive for further requests.
 *
 * A connection is used again only after a complete response that was framed
 * and not followed by further bytes, and only while the upstream keeps idle
 * connections.  The kernel is asked for a close or bytes that are not read
 * yet.
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
    UCONN_CONNECTED, /* only when uconn_send() was not called before */
    UCONN_SENDING,   /* connected after uconn_send(): the request is written
                        now, unless the owner cancels it */
    UCONN_BODY,      /* the head is valid; more of the body has arrived */
    UCONN_DONE,      /* the response is complete */
    UCONN_CONNECT_FAILED, /* not connected; nothing was written */
    UCONN_LOST,           /* ended before the response was complete */
    UCONN_INVALID,        /* received bytes that are no valid response */
    UCONN_FLUSHED         /* the kernel has accepted all written bytes */
} UconnEvent;

typedef void (*UconnFn)(void *ctx, UconnEvent ev, int64_t now_us);

UconnPool *uconns_new(Evl *loop);
void uconns_free(UconnPool *p);

/* Connections opened, and uses of an idle one, since the pool was created. */
int64_t uconns_opened(const UconnPool *p);
int64_t uconns_reused(const UconnPool *p);

/*
 * Takes an idle connection or opens one.  fresh_only: never an idle one.
 * Returns NULL when no socket can be opened.
 */
Uconn *uconn_open(UconnPool *p, Ups *u, bool fresh_only, UconnFn fn,
                  void *ctx);

/* Opens a connection that becomes idle once it is established, so that a later
 * request need not wait for one. */
void uconn_open_spare(UconnPool *p, Ups *u);

/* Writes the request; once per uconn_open(). */
void uconn_send(Uconn *c, const void *head, size_t n, const void *body,
                size_t body_n, bool head_request);

/* Writes more of the request's body, as framed by its head.  Only on an
 * established connection: the bytes would go out before the head otherwise. */
void uconn_send_more(Uconn *c, const void *p, size_t n);
/* Bytes of the request that the kernel has not accepted yet.  Those given to
 * uconn_send() count only once the connection is established. */
size_t uconn_backlog(const Uconn *c);

bool uconn_connected(const Uconn *c);
bool uconn_is_reused(const Uconn *c);
/* False if the upstream has restarted since the connection was opened. */
bool uconn_is_current(const Uconn *c);

/* Reason of UCONN_INVALID, or an empty text. */
const char *uconn_error(const Uconn *c);

/* The response as far as it has arrived; the caller may remove bytes from its
 * body. */
H1 *uconn_response(Uconn *c);
/* Suspends or resumes reads of the response. */
void uconn_pause(Uconn *c, bool paused);

/* Drops the current response, which belongs to another request, and reads the
 * next one.  The connection is not used for further requests. */
void uconn_skip_response(Uconn *c);

/* Returns the connection to the pool after UCONN_DONE, or closes it when it
 * cannot be used again. */
void uconn_release(Uconn *c);

/* Closes the connection, which also cancels the request. */
void uconn_cancel(Uconn *c);

/* Closes the idle connections of an upstream, and the spare ones that are not
 * established yet. */
void uconns_close_idle(UconnPool *p, Ups *u);

#endif
