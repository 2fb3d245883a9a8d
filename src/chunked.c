/* chunked - strict decoder of the chunked transfer coding.  See chunked.h. */
#include "chunked.h"

#include "httpchar.h"
#include "limits.h"

void
chunked_init(Chunked *c)
{
    *c = (Chunked){.state = CHUNKED_SIZE};
}

static ChunkedState
add_digit(Chunked *c, unsigned char b)
{
    if (c->left > (uint64_t)INT64_MAX >> 4) {
        return CHUNKED_ERROR;
    }
    c->left = c->left << 4 | (uint64_t)g_ascii_xdigit_value((char)b);
    c->digits++;
    return CHUNKED_SIZE;
}

/* Behind the size: white space, an extension, or the end of the line. */
static ChunkedState
after_size(unsigned char b)
{
    switch (b) {
    case ' ':
    case '\t':
        return CHUNKED_SIZE_END;
    case ';':
        return CHUNKED_EXTENSION;
    case '\r':
        return CHUNKED_SIZE_LF;
    default:
        return CHUNKED_ERROR;
    }
}

static ChunkedState
begin_data(Chunked *c)
{
    c->framing = 0;
    c->digits = 0;
    return c->left > 0 ? CHUNKED_DATA : CHUNKED_FIELD;
}

/* Reads b where only "wanted" is allowed. */
static ChunkedState
expect(unsigned char b, unsigned char wanted, ChunkedState next)
{
    return b == wanted ? next : CHUNKED_ERROR;
}

/* Reads text up to the CR of its line. */
static ChunkedState
read_text(unsigned char b, ChunkedState self, ChunkedState end)
{
    if (b == '\r') {
        return end;
    }
    return httpchar_is_text(b) ? self : CHUNKED_ERROR;
}

/* Returns the state behind a byte of the framing. */
static ChunkedState
next_state(Chunked *c, unsigned char b)
{
    switch (c->state) {
    case CHUNKED_SIZE:
        if (g_ascii_isxdigit(b)) {
            return add_digit(c, b);
        }
        return c->digits > 0 ? after_size(b) : CHUNKED_ERROR;
    case CHUNKED_SIZE_END:
        return after_size(b);
    case CHUNKED_EXTENSION:
        return read_text(b, CHUNKED_EXTENSION, CHUNKED_SIZE_LF);
    case CHUNKED_SIZE_LF:
        return b == '\n' ? begin_data(c) : CHUNKED_ERROR;
    case CHUNKED_DATA_CR:
        return expect(b, '\r', CHUNKED_DATA_LF);
    case CHUNKED_DATA_LF:
        return expect(b, '\n', CHUNKED_SIZE);
    case CHUNKED_FIELD:
        if (b == '\r') {
            return CHUNKED_END_LF;
        }
        return httpchar_is_token(b) ? CHUNKED_FIELD_NAME : CHUNKED_ERROR;
    case CHUNKED_FIELD_NAME:
        if (b == ':') {
            return CHUNKED_FIELD_VALUE;
        }
        return httpchar_is_token(b) ? CHUNKED_FIELD_NAME : CHUNKED_ERROR;
    case CHUNKED_FIELD_VALUE:
        return read_text(b, CHUNKED_FIELD_VALUE, CHUNKED_FIELD_LF);
    case CHUNKED_FIELD_LF:
        return expect(b, '\n', CHUNKED_FIELD);
    case CHUNKED_END_LF:
        return expect(b, '\n', CHUNKED_DONE);
    default:
        return CHUNKED_ERROR;
    }
}

/* Reads a byte of the framing. */
static void
read_framing(Chunked *c, unsigned char b, Err *e)
{
    bool trailer = c->state >= CHUNKED_FIELD;

    if (++c->framing > CHUNK_FRAMING_BYTES) {
        c->state = CHUNKED_ERROR;
        err_set(e, ERR_LIMIT,
                "the line of a chunk size or the trailer exceeds the limit of "
                "%d bytes",
                CHUNK_FRAMING_BYTES);
        return;
    }
    c->state = next_state(c, b);
    if (c->state == CHUNKED_ERROR) {
        err_set(e, ERR_PROTOCOL, "%s of a chunked message is malformed",
                trailer ? "the trailer" : "the framing");
    }
}

/* Reads content of the current chunk.  Returns the number of bytes. */
static size_t
read_data(Chunked *c, const guint8 *p, size_t n, GByteArray *body)
{
    size_t part = (size_t)MIN(c->left, n);

    g_byte_array_append(body, p, (guint)part);
    c->left -= part;
    if (c->left == 0) {
        c->state = CHUNKED_DATA_CR;
    }
    return part;
}

ChunkedState
chunked_feed(Chunked *c, GByteArray *in, GByteArray *body, Err *e)
{
    size_t i = 0;

    while (i < in->len && c->state < CHUNKED_DONE) {
        if (c->state == CHUNKED_DATA) {
            i += read_data(c, in->data + i, in->len - i, body);
        }
        else {
            read_framing(c, in->data[i], e);
            i++;
        }
    }
    if (i > 0) {
        g_byte_array_remove_range(in, 0, (guint)i);
    }
    return c->state;
}
