/* Fuzzes the readers of responses of upstreams and answers of the store:
 * heads, framing and bodies that arrive in pieces.  The first byte selects the
 * size of the pieces.
 *
 * Checks that the pieces do not change how a message is read, that a reader
 * holds no more bytes than it was given, that a head is limited, and that
 * nothing is read behind an end or an error.  A complete message must also be
 * well-formed for a second reader, which knows the grammar of RFC 9112 only,
 * and have the same content for it. */
#include <ctype.h>
#include <stdint.h>
#include <string.h>

#include "dlog.h"
#include "h1.h"
#include "kvpage.h"
#include "pf.h"
#include "pxhead.h"

#define HEAD_MAX 2048
#define MESSAGES_MAX 32 /* responses that are read of one input */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct Result {
    int n_done;   /* complete messages */
    size_t begin; /* of the current message in the input */
    H1State last;
    unsigned status;
    size_t body_bytes;
    size_t left;   /* bytes behind the last message */
    uint32_t hash; /* of all bodies */
} Result;

static uint32_t
hash_bytes(uint32_t h, const uint8_t *p, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        h = (h ^ p[i]) * 16777619U;
    }
    return h;
}

static void
require(bool ok)
{
    if (!ok) {
        __builtin_trap();
    }
}

static bool
is_text(const uint8_t *p, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (p[i] != '\t' && (p[i] < 0x20 || p[i] == 0x7f)) {
            return false;
        }
    }
    return true;
}

/* Takes the next line, which ends with CRLF, from *p. */
static Str
take_line(const uint8_t **p, const uint8_t *end)
{
    const uint8_t *eol = memmem(*p, (size_t)(end - *p), "\r\n", 2);

    require(eol != NULL);
    Str line = {(const char *)*p, (size_t)(eol - *p)};
    require(is_text(*p, line.n));
    *p = eol + 2;
    return line;
}

/* A field line, or the empty line at the end of a section. */
static bool
take_field(const uint8_t **p, const uint8_t *end)
{
    static const char others[] = "!#$%&'*+-.^_`|~";
    Str line = take_line(p, end);
    size_t n = 0;

    while (n < line.n && line.p[n] != ':') {
        require(isalnum((unsigned char)line.p[n]) ||
                memchr(others, line.p[n], sizeof(others) - 1) != NULL);
        n++;
    }
    require(line.n == 0 || (n > 0 && n < line.n));
    return line.n > 0;
}

static void
require_status_line(Str line)
{
    const char *p = line.p;

    require(line.n >= 12 && memcmp(p, "HTTP/1.", 7) == 0 && isdigit(p[7]) &&
            p[8] == ' ' && isdigit(p[9]) && isdigit(p[10]) && isdigit(p[11]));
    require(p[9] >= '1' && p[9] <= '5');
    require(line.n == 12 || p[12] == ' ');
}

/* Decodes chunks from *p and compares the content. */
static void
require_chunks(const uint8_t **p, const uint8_t *end, const GByteArray *body)
{
    size_t at = 0;
    uint64_t size;

    do {
        Str line = take_line(p, end);
        size_t digits = 0;
        size = 0;
        while (digits < line.n && isxdigit((unsigned char)line.p[digits])) {
            size =
                size * 16 + (uint64_t)g_ascii_xdigit_value(line.p[digits++]);
        }
        require(digits > 0);
        while (digits < line.n &&
               (line.p[digits] == ' ' || line.p[digits] == '\t')) {
            digits++;
        }
        require(digits == line.n || line.p[digits] == ';');
        if (size > 0) {
            require(size <= (size_t)(end - *p) && at + size <= body->len);
            require(memcmp(body->data + at, *p, size) == 0);
            at += size;
            *p += size;
            require(take_line(p, end).n == 0);
        }
    } while (size > 0);
    require(at == body->len);
    while (take_field(p, end)) {
    }
}

/* Reads a message, which h1 has read, again. */
static void
require_well_formed(const H1 *h, const uint8_t *p, size_t n)
{
    const uint8_t *end = p + n;
    unsigned status = h->parser.status_code;
    bool no_content = status / 100 == 1 || status == 204 || status == 304;

    require_status_line(take_line(&p, end));
    while (take_field(&p, end)) {
    }
    if (h->chunked && !h->no_body && !no_content) {
        require_chunks(&p, end, h->body);
    }
    else {
        require(h->body->len == (size_t)(end - p));
        require(h->body->len == 0 ||
                memcmp(h->body->data, p, h->body->len) == 0);
        require(h->body->len == 0 || !no_content);
    }
    require(h->chunked || p + h->body->len == end);
}

/* Uses a complete response as px does. */
static void
use_response(const H1 *h, bool with_body)
{
    PxResponseKind kind = pxhead_classify(h, &pf_header_names, str_of("9c41"));
    GString *head = pxhead_response(h);
    int running;
    int waiting;

    require(kind != PX_RESPONSE_OWN || h->parser.status_code / 100 != 2 ||
            h1_get(h, pf_header_names.seal).n > 0);
    require(head->len <= h->head->len + 64);
    pxhead_load(h, &pf_header_names, &running, &waiting);
    g_string_free(head, TRUE);
    require(with_body || h->body->len == 0);
}

/* Uses a complete answer as mirror and registration do. */
static void
use_answer(Str body)
{
    bool (*const readers[])(Str body, KvPage * out,
                            Err * e) = {pf_kv.read_list, pf_kv.read_events};
    KvLease lease;

    for (size_t i = 0; i < G_N_ELEMENTS(readers); i++) {
        KvPage page = {0};
        if (readers[i](body, &page, NULL)) {
            require(page.items != NULL && page.items->len <= body.n);
        }
        kv_page_clear(&page);
    }
    pf_kv.read_lease(body, &lease, NULL);
}

/* Reads the next messages from "in", which has the input up to data[at].
 * Returns false after the last one. */
static bool
read_messages(H1 *h, GByteArray *in, const uint8_t *data, size_t at,
              bool no_body, Result *r)
{
    while (r->n_done < MESSAGES_MAX) {
        h->no_body = no_body;
        r->last = h1_feed(h, in, HEAD_MAX, NULL);
        require(h->head->len <= HEAD_MAX);
        require(r->last != H1_HEAD || in->len <= HEAD_MAX);
        require(r->last != H1_BODY || in->len == 0);
        if (r->last != H1_DONE) {
            return r->last == H1_HEAD || r->last == H1_BODY;
        }
        require_well_formed(h, data + r->begin, at - in->len - r->begin);
        r->begin = at - in->len;
        r->n_done++;
        r->status = h->parser.status_code;
        r->body_bytes += h->body->len;
        r->hash = hash_bytes(r->hash, h->body->data, h->body->len);
        use_response(h, !no_body);
        use_answer((Str){(const char *)h->body->data, h->body->len});
        h1_next(h);
        if (in->len == 0) {
            r->last = H1_HEAD;
            return true;
        }
    }
    return false;
}

static Result
read_all(const uint8_t *data, size_t size, size_t piece, bool no_body)
{
    Result r = {.hash = 2166136261U};
    GByteArray *in = g_byte_array_new();
    H1 h;
    size_t at = 0;
    bool more = true;

    h1_init(&h, false);
    while (more && at < size) {
        size_t n = MIN(piece, size - at);
        g_byte_array_append(in, data + at, (guint)n);
        at += n;
        more = read_messages(&h, in, data, at, no_body, &r);
        require(h.body->len + r.body_bytes <= at);
    }
    r.left = in->len + size - at;
    if (more) {
        r.last = h1_eof(&h);
        r.body_bytes += h.body->len;
        r.hash = hash_bytes(r.hash, h.body->data, h.body->len);
    }
    h1_clear(&h);
    g_byte_array_unref(in);
    return r;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 2) {
        return 0;
    }
    size_t piece = 1 + data[0] % 64;
    bool no_body = data[0] >= 192; /* responses to HEAD requests */
    Result whole = read_all(data + 1, size - 1, size, no_body);
    Result parts = read_all(data + 1, size - 1, piece, no_body);

    require(whole.n_done == parts.n_done);
    require(whole.last == parts.last);
    /* What precedes an error may have been read in part. */
    if (whole.last != H1_ERROR && whole.last != H1_TOO_LARGE) {
        require(whole.status == parts.status);
        require(whole.body_bytes == parts.body_bytes);
        require(whole.hash == parts.hash);
        require(whole.left == parts.left);
    }
    return 0;
}
