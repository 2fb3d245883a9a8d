/*
 * strm - TCP connection with buffers, on an event loop.
 *
 * The owner embeds a Strm.  Callbacks may close the stream; memory of the
 * owner must then be released through evl_defer().
 */
#ifndef MIMOSA_STRM_H
#define MIMOSA_STRM_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "evl.h"
#include "str.h"

typedef enum StrmEvent {
    STRM_CONNECTED,
    STRM_READABLE, /* bytes were added to "in" */
    STRM_FLUSHED,  /* all written bytes are with the kernel */
    STRM_EOF,      /* the peer ended its direction */
    STRM_FAILED    /* reset, timed out or not connected */
} StrmEvent;

typedef void (*StrmFn)(void *ctx, StrmEvent ev);

typedef struct Strm {
    EvlFd ev;
    Evl *loop;
    StrmFn fn;
    void *ctx;
    GByteArray *in;  /* the owner removes what it has read */
    GByteArray *out; /* not yet with the kernel */
    uint32_t events; /* asked of epoll */
    bool open;
    bool connecting;
    bool paused; /* reads are held back */
    bool eof;    /* the peer ended its direction */
} Strm;

/* Takes an accepted descriptor. */
void strm_accept(Strm *s, Evl *l, int fd, StrmFn fn, void *ctx);

/* Starts to connect.  unacked_ms: the kernel gives the connection up when
 * written bytes stay without acknowledgement that long; 0: its default.
 * Returns false when no socket can be had. */
bool strm_connect(Strm *s, Evl *l, const struct sockaddr *to, int unacked_ms,
                  StrmFn fn, void *ctx);

void strm_write(Strm *s, const void *p, size_t n);
/* Holds back or resumes reads; the peer's end is then seen late. */
void strm_pause(Strm *s, bool paused);
void strm_close(Strm *s);
/* Closes with a reset.  What the peer has not received yet is dropped; after
 * strm_close() the kernel would still deliver it, seconds later where the
 * network holds it up. */
void strm_abort(Strm *s);

/* Opens a listening socket, or returns -1 with ERR_IO. */
int strm_listen(const struct sockaddr_in *at, Err *e);

/* Reads "IP:PORT" (IPv4). */
bool strm_parse_addr(Str text, struct sockaddr_in *out);
/* Reads "IP:PORT" or "[IPv6]:PORT". */
bool strm_parse_addr_any(Str text, struct sockaddr_storage *out);

#endif
