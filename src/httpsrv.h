/*
 * httpsrv - bounded HTTP listener of entry and lookup.
 *
 * A task: owns the listening socket, a SoupServer and its connections.  Bounds
 * the number of connections and the time that a connection may take for a
 * request head, stay idle or leave a finished answer unread.  When all
 * connections are taken, the one that has been idle longest makes room.
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
    const char *certificate; /* PEM file; empty: no TLS */
    const char *key;
    int connections_max;
    int64_t idle_ms;
    int64_t head_ms; /* for the first request head of a connection */
    CtrSet *ctrs;
    const char *prefix; /* of counter names, "entry" or "lookup" */
    /* The caller of a connection closed its side while user data was set. */
    void (*on_peer_closed)(void *ctx, void *user);
    void *ctx;
} HttpSrvOpts;

/* Errors: ERR_VALUE (address, certificate), ERR_IO (bind). */
HttpSrv *http_srv_new(const HttpSrvOpts *o, Err *e);
void http_srv_free(HttpSrv *s);
SoupServer *http_srv_soup(HttpSrv *s);

/* Stops accepting; connections that are open go on. */
void http_srv_stop_accepting(HttpSrv *s);
int http_srv_connections(const HttpSrv *s);

/* Connection of a message, or NULL once it is closed. */
HttpConn *http_srv_conn(SoupServerMessage *msg);
HttpConn *http_conn_of(GSocketAddress *remote);

/* Marks a connection as serving a request (user not NULL) or as idle. */
void http_conn_set_user(HttpConn *c, void *user);

/* True when the caller has closed its side. */
bool http_conn_peer_closed(const HttpConn *c);

/* The answer is complete and only has to be read by the caller. */
void http_conn_set_answered(HttpConn *c);

/* Cuts the connection: the caller sees an answer that is not whole. */
void http_conn_abort(HttpConn *c);

/* Drops a reference; NULL is allowed. */
void http_unref(gpointer object);

/* Address of the caller in 128-bit form (IPv4 as ::ffff:a.b.c.d). */
bool http_addr_bytes(GInetAddress *a, uint8_t out[16]);
bool http_addr_parse(const char *text, uint8_t out[16]);

#endif
