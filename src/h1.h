/*
 * h1 - strict reading of HTTP/1.1 messages; http_parser does the framing.
 *
 * http_parser accepts some messages that another parser could frame in
 * another way.  Heads are therefore checked first: conflicting or repeated
 * lengths, a length beside a transfer coding, codings other than "chunked",
 * bare CR or LF, folded lines and blanks before a colon are errors.
 */
#ifndef MIMOSA_H1_H
#define MIMOSA_H1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

#include "err.h"
#include "str.h"

#define H1_HEADERS_MAX 100 /* more header lines are refused */

typedef struct H1Header {
    Str name;
    Str value;
} H1Header;

typedef enum H1State {
    H1_HEAD,     /* for the whole head */
    H1_BODY,     /* the head is there */
    H1_DONE,     /* the message is whole */
    H1_ERROR,    /* see the error */
    H1_TOO_LARGE /* the head is over its limit */
} H1State;

typedef struct H1 {
    http_parser parser;
    H1State state;
    GByteArray *head; /* what the Str below refer to */
    GByteArray *body; /* appended to; the owner may take bytes out */
    Str target;       /* of a request */
    H1Header headers[H1_HEADERS_MAX];
    int n_headers;
    int64_t length; /* Content-Length; -1: none */
    bool chunked;
    bool no_body;  /* the answer to a HEAD request */
    bool keep;     /* the connection may be used again */
    bool has_head; /* the head was read and is sound */
} H1;

void h1_init(H1 *h, bool request);
void h1_clear(H1 *h);
/* Gets ready for the next message on the connection. */
void h1_next(H1 *h);

/*
 * Reads from "in" and removes what was read; stops behind the message.
 * Errors: ERR_PROTOCOL, ERR_LIMIT (H1_TOO_LARGE).
 */
H1State h1_feed(H1 *h, GByteArray *in, size_t head_max, Err *e);

/* The connection ended.  Returns H1_DONE for a message that ends with its
 * connection, else H1_ERROR. */
H1State h1_eof(H1 *h);

/* First header of that name, or an empty Str. */
Str h1_get(const H1 *h, const char *name);

Str h1_method(const H1 *h);

/* True for headers that concern one connection only, by name or because
 * Connection names them. */
bool h1_is_hop_by_hop(const H1 *h, Str name);

bool h1_same_name(Str a, const char *b);

#endif
