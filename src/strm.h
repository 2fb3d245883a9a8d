/*
 * strm - buffered TCP connection on an event loop.
 *
 * The owner embeds a Strm in its own structure.  A callback may close the
 * stream; the owner must then release its structure through evl_defer().
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
    STRM_READABLE, /* bytes were appended to "in" */
    STRM_FLUSHED,  /* "out" was passed to the kernel completely */
    STRM_EOF,      /* the peer closed its sending direction */
    STRM_FAILED    /* reset, timed out or failed to connect */
} StrmEvent;

typedef void (*StrmFn)(void *ctx, StrmEvent ev);

typedef struct Strm {
    EvlFd ev;
    Evl *loop;
    StrmFn fn;
    void *ctx;
    GByteArray *in;  /* received; the owner removes bytes it has read */
    GByteArray *out; /* not yet passed to the kernel */
    guint out_peak;  /* greatest length of "out" since its memory was released
                      */
    uint32_t events; /* registered with epoll */
    bool open;
    bool connecting;
    bool paused;       /* reads are suspended */
    bool eof;          /* the peer closed its sending direction */
    bool deliver_all;  /* see strm_deliver_all() */
    bool write_failed; /* set only after strm_deliver_all() */
    bool hung_up;      /* the connection has ended while reads are suspended */
    bool peer_closed;  /* see strm_peer_closed() */
} Strm;

/* Initialises a stream on an accepted, non-blocking socket. */
void strm_accept(Strm *s, Evl *l, int fd, StrmFn fn, void *ctx);

/* Starts to connect.  unacked_ms: the kernel closes the connection when sent
 * bytes stay unacknowledged for that time; 0 for the kernel's default.
 * Returns false if no socket can be created or the connect fails at once. */
bool strm_connect(Strm *s, Evl *l, const struct sockaddr *to, int unacked_ms,
                  StrmFn fn, void *ctx);

/* Sends n bytes, or appends to "out" those that the kernel does not accept
 * now. */
void strm_write(Strm *s, const void *p, size_t n);
/* Drops the bytes that were not passed to the kernel. */
void strm_drop_output(Strm *s);
/* Reads what the kernel has received and delivers the event for it. */
void strm_read_now(Strm *s);
/* Reads and drops what the kernel has received. */
void strm_discard_input(Strm *s);
/* Suspends or resumes reads.  When the peer closes while they are suspended,
 * STRM_EOF is delivered at once and the bytes not read by then are lost,
 * unless strm_deliver_all() was called. */
void strm_pause(Strm *s, bool paused);
/* Closes the sending direction; the owner continues to read.  "out" must be
 * empty. */
void strm_end_output(Strm *s);
/* Closes the connection and releases the buffers. */
void strm_close(Strm *s);
/* Closes the connection with a TCP reset, which discards bytes that the peer
 * has not received.  After strm_close() the kernel still delivers them,
 * seconds later if the network delays them. */
void strm_abort(Strm *s);
/* Makes strm_close() end the connection like strm_abort(). */
void strm_reset_at_close(Strm *s);

/* Bytes that the kernel has received and the owner has not read; 0 if not
 * known. */
size_t strm_unread(const Strm *s);
/* Bytes that were passed to the kernel and that the peer has not acknowledged;
 * 0 if not known. */
size_t strm_unacked(const Strm *s);

/* Returns a listening socket, or -1 with ERR_IO. */
int strm_listen(const struct sockaddr_in *at, Err *e);
/* Lets no further handshake begin on a listening socket that is about to be
 * closed; those under way end within a round trip, and connections that wait
 * can be accepted.  Peers that connect now try again after a second and are
 * refused then. */
void strm_listen_end(int fd);

/* Parses "IP:PORT" (IPv4). */
bool strm_parse_addr(Str text, struct sockaddr_in *out);
/* Parses "IP:PORT" or "[IPv6]:PORT". */
bool strm_parse_addr_any(Str text, struct sockaddr_storage *out);

/* True if the peer has closed its sending direction, or the connection has
 * ended, although bytes that precede the end may not be read yet. */
bool strm_peer_closed(const Strm *s);

typedef enum StrmPending {
    STRM_PENDING_NONE,
    STRM_PENDING_INPUT, /* bytes, or the end of the peer's direction */
    STRM_PENDING_FAILURE
} StrmPending;

/* What the kernel has received and no event has delivered yet.  Costs one
 * system call. */
StrmPending strm_pending(const Strm *s);

/* Reports the end of the connection only after all bytes that precede it.  It
 * is not reported while reads are suspended. */
void strm_deliver_all(Strm *s);

#endif
