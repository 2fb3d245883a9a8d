/*
 * h1 - strict parser of HTTP/1.1 messages, on top of http_parser.
 *
 * http_parser accepts some messages that other parsers frame differently,
 * which allows request smuggling.  The head is therefore checked first, and
 * chunks are read by chunked.c.  These are errors: conflicting or repeated
 * lengths, a length together with a transfer coding, a coding other than
 * "chunked", bare CR or LF, folded lines, white space before a colon, and in a
 * response a status line of another form than RFC 9112 defines, a status
 * outside 100 to 599, status 101, content of 1xx or 204, and a transfer coding
 * in HTTP/1.0.
 */
#ifndef MIMOSA_H1_H
#define MIMOSA_H1_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <http_parser.h>

#include "chunked.h"
#include "err.h"
#include "str.h"

#define H1_HEADERS_MAX 100 /* a message with more header lines is an error */

typedef struct H1Header {
    Str name;
    Str value;
} H1Header;

typedef enum H1State {
    H1_HEAD,     /* the head is incomplete */
    H1_BODY,     /* the head was read, the body is incomplete */
    H1_DONE,     /* the message is complete */
    H1_ERROR,    /* malformed, or truncated by the end of the connection */
    H1_TOO_LARGE /* the head exceeds its limit */
} H1State;

typedef struct H1 {
    http_parser parser;
    H1State state;
    GByteArray *head; /* bytes of the head; target and headers point into it */
    GByteArray *body; /* decoded body; the owner may remove bytes */
    Str target;       /* request target; requests only */
    H1Header headers[H1_HEADERS_MAX];
    int n_headers;
    int n_blank;    /* blank lines ignored before the message */
    int64_t length; /* Content-Length; -1: none */
    bool chunked;
    Chunked chunks; /* decoder of the body, if chunked */
    bool no_body;   /* set by the owner for the response to a HEAD request */
    bool keep;      /* the connection may be reused */
    bool has_head;  /* the head was read and is valid */
} H1;

void h1_init(H1 *h, bool request);
void h1_clear(H1 *h);
/* Resets the parser for the next message on the connection. */
void h1_next(H1 *h);

/*
 * Reads bytes from "in" and removes them, up to the end of the message.
 * head_max: limit of the head in bytes.
 * Errors: ERR_PROTOCOL (H1_ERROR), ERR_LIMIT (H1_TOO_LARGE).
 */
H1State h1_feed(H1 *h, GByteArray *in, size_t head_max, Err *e);

/* As h1_feed() for a response, but skips the interim (1xx) responses before
 * the final one. */
H1State h1_feed_final(H1 *h, GByteArray *in, size_t head_max, Err *e);

/* Handles the end of the connection.  Returns H1_DONE if the message is
 * complete or a response that is delimited by the end of the connection, else
 * H1_ERROR. */
H1State h1_eof(H1 *h);

/* Removes all bytes of the body that were decoded so far, and releases the
 * memory of a large one. */
void h1_drop_body(H1 *h);

/* Returns the value of the first header of that name, or an empty Str. */
Str h1_get(const H1 *h, const char *name);

Str h1_method(const H1 *h);

/* True for hop-by-hop headers: those that the standard defines, those listed
 * in Connection, and those that this program handles itself. */
bool h1_is_hop_by_hop(const H1 *h, Str name);

/* Compares names without regard to case. */
bool h1_same_name(Str a, const char *b);

#endif
