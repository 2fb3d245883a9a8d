/*
 * httpsrv - HTTP listener of entry and lookup.
 *
 * Owns the listening socket, a SoupServer and its connections.  Limits the
 * number of connections, and the time that a connection may take for its first
 * request head, stay idle or leave a complete answer unread.  When the number
 * of connections is at its limit, a new one replaces the connection that has
 * been without a request in progress for the longest time.
 */
#ifndef MIMOSA_HTTPSRV_H
#define MIMOSA_HTTPSRV_H

#include <stdbool.h>
#include <stdint.h>

#include <libsoup/soup.h>

#include "ctr.h"
#include "err.h"

typedef struct HttpSrv HttpSrv;
typedef struct HttpConn HttpConn;

typedef struct HttpSrvOpts {
    const char *address;     /* "IP:PORT" */
    const char *certificate; /* PEM file; NULL or empty: no TLS */
    const char *key;         /* PEM file */
    int connections_max;
    int64_t idle_ms; /* limit for idle and for reading an answer */
    int64_t head_ms; /* limit for the first request head of a connection */
    CtrSet *ctrs;
    const char *prefix; /* prefix of counter names: "entry" or "lookup" */
    /* Called when the caller closes its side while user data is set.  May be
     * NULL. */
    void (*on_peer_closed)(void *ctx, void *user);
    void *ctx;
} HttpSrvOpts;

/* Errors: ERR_VALUE (address, certificate), ERR_IO (bind). */
HttpSrv *http_srv_new(const HttpSrvOpts *o, Err *e);
void http_srv_free(HttpSrv *s);
SoupServer *http_srv_soup(HttpSrv *s);

/* Stops accepting connections, after those that wait in the kernel; open
 * connections stay open. */
void http_srv_stop_accepting(HttpSrv *s);

/* Returns the number of connections with a request that has arrived and was
 * not read, with written bytes that the caller has not received, or that are
 * new. */
int http_srv_unfinished(const HttpSrv *s);

/* Returns the number of open connections. */
int http_srv_connections(const HttpSrv *s);

/* Return the connection of a message or remote address; NULL after it is
 * closed. */
HttpConn *http_srv_conn(SoupServerMessage *msg);
HttpConn *http_conn_of(GSocketAddress *remote);

/* Marks a connection as serving a request (user is not NULL) or as idle. */
void http_conn_set_user(HttpConn *c, void *user);

/* Returns true when the caller has closed its side. */
bool http_conn_peer_closed(const HttpConn *c);

/* Marks the answer as complete: the caller only has to read it. */
void http_conn_set_answered(HttpConn *c);

/* Shuts the connection down; the caller sees a truncated answer. */
void http_conn_abort(HttpConn *c);

/* Drops a reference; NULL is allowed. */
void http_unref(gpointer object);

/* Convert an address to 16 bytes (IPv4 as ::ffff:a.b.c.d).  Return false for
 * NULL or for a text that is not an address. */
bool http_addr_bytes(GInetAddress *a, uint8_t out[16]);
bool http_addr_parse(const char *text, uint8_t out[16]);

#endif
