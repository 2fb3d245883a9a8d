/*
 * chunked - strict decoder of the chunked transfer coding, RFC 9112, section
 * 7.1.
 *
 * Each chunk must end with CRLF behind exactly the bytes of its size, so that
 * a wrong size cannot pass a part of the content as the whole.  Extensions and
 * trailer fields are checked and dropped.
 */
#ifndef MIMOSA_CHUNKED_H
#define MIMOSA_CHUNKED_H

#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

typedef enum ChunkedState {
    CHUNKED_SIZE,
    CHUNKED_SIZE_END, /* white space behind the size */
    CHUNKED_EXTENSION,
    CHUNKED_SIZE_LF,
    CHUNKED_DATA,
    CHUNKED_DATA_CR,
    CHUNKED_DATA_LF,
    CHUNKED_FIELD, /* begin of a trailer field or of the last line */
    CHUNKED_FIELD_NAME,
    CHUNKED_FIELD_VALUE,
    CHUNKED_FIELD_LF,
    CHUNKED_END_LF,
    CHUNKED_DONE,
    CHUNKED_ERROR
} ChunkedState;

typedef struct Chunked {
    ChunkedState state;
    int digits;     /* of the size */
    uint64_t left;  /* bytes of the chunk that were not read yet */
    size_t framing; /* bytes of the line of a size, or of the trailer */
} Chunked;

void chunked_init(Chunked *c);

/* Reads bytes from "in" and removes them, up to the end of the message, and
 * appends the content to body.  Returns CHUNKED_DONE at the end.
 * Errors: ERR_PROTOCOL, ERR_LIMIT (CHUNKED_ERROR). */
ChunkedState chunked_feed(Chunked *c, GByteArray *in, GByteArray *body,
                          Err *e);

#endif
