/* h1 - strict parser of HTTP/1.1 messages.  See h1.h. */
#include "h1.h"

#include <string.h>
#include <strings.h>

#include "httpchar.h"

#define KEPT_BYTES 4096   /* of an array that is used again */
#define BLANK_LINES_MAX 2 /* ignored before a request, RFC 9112 2.2 */

bool
h1_same_name(Str a, const char *b)
{
    size_t n = strlen(b);

    return a.n == n && strncasecmp(a.p, b, n) == 0;
}

/* True for statuses whose responses end with their head, RFC 9112, section
 * 6.3. */
static bool
has_no_content(const http_parser *p)
{
    return p->type == HTTP_RESPONSE &&
           (p->status_code / 100 == 1 || p->status_code == 204 ||
            p->status_code == 304);
}

static bool
ends_with_head(const H1 *h)
{
    return h->no_body || has_no_content(&h->parser);
}

static int
on_headers_complete(http_parser *p)
{
    H1 *h = p->data;

    h->has_head = true;
    /* http_parser itself would read a body of the length that is given, and
     * accept chunks whose framing is malformed. */
    return ends_with_head(h) || h->chunked ? 1 : 0;
}

static int
on_body(http_parser *p, const char *at, size_t n)
{
    H1 *h = p->data;

    g_byte_array_append(h->body, (const guint8 *)at, (guint)n);
    return 0;
}

static int
on_complete(http_parser *p)
{
    H1 *h = p->data;

    if (ends_with_head(h) || !h->chunked) {
        h->state = H1_DONE;
    }
    h->keep = http_should_keep_alive(p) != 0;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings h1_settings = {
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

static void
restart(H1 *h)
{
    http_parser_init(&h->parser, h->parser.type == HTTP_REQUEST
                                     ? HTTP_REQUEST
                                     : HTTP_RESPONSE);
    h->parser.data = h;
    h->state = H1_HEAD;
    h->n_headers = 0;
    h->n_blank = 0;
    h->length = -1;
    h->chunked = false;
    chunked_init(&h->chunks);
    h->no_body = false;
    h->keep = false;
    h->has_head = false;
}

void
h1_init(H1 *h, bool request)
{
    memset(h, 0, sizeof(*h));
    h->parser.type = request ? HTTP_REQUEST : HTTP_RESPONSE;
    h->head = g_byte_array_new();
    h->body = g_byte_array_new();
    restart(h);
}

void
h1_clear(H1 *h)
{
    g_byte_array_unref(h->head);
    g_byte_array_unref(h->body);
    h->head = NULL;
    h->body = NULL;
}

/* Empties an array; GLib keeps the memory of one that is only shortened. */
static void
empty(GByteArray **a)
{
    if ((*a)->len > KEPT_BYTES) {
        g_byte_array_unref(*a);
        *a = g_byte_array_new();
    }
    else {
        g_byte_array_set_size(*a, 0);
    }
}

void
h1_next(H1 *h)
{
    empty(&h->head);
    empty(&h->body);
    restart(h);
}

void
h1_drop_body(H1 *h)
{
    empty(&h->body);
}

static Str
trim(Str s)
{
    while (s.n > 0 && (s.p[0] == ' ' || s.p[0] == '\t')) {
        s.p++;
        s.n--;
    }
    while (s.n > 0 && (s.p[s.n - 1] == ' ' || s.p[s.n - 1] == '\t')) {
        s.n--;
    }
    return s;
}

static bool
is_token(Str s)
{
    for (size_t i = 0; i < s.n; i++) {
        if (!httpchar_is_token((unsigned char)s.p[i])) {
            return false;
        }
    }
    return s.n > 0;
}

static bool
is_valid_value(Str v)
{
    for (size_t i = 0; i < v.n; i++) {
        if (!httpchar_is_text((unsigned char)v.p[i])) {
            return false;
        }
    }
    return true;
}

static bool
parse_framing(H1 *h, const H1Header *x, Err *e)
{
    uint64_t n;

    if (h1_same_name(x->name, "content-length")) {
        if (h->length >= 0 || !str_u64(x->value, INT64_MAX, &n)) {
            return err_set(e, ERR_PROTOCOL,
                           "Content-Length is repeated or not a number; "
                           "send one decimal length");
        }
        h->length = (int64_t)n;
    }
    else if (h1_same_name(x->name, "transfer-encoding")) {
        if (h->chunked || !h1_same_name(x->value, "chunked")) {
            return err_set(e, ERR_PROTOCOL,
                           "Transfer-Encoding is repeated or not "
                           "\"chunked\"; send \"chunked\" once");
        }
        h->chunked = true;
    }
    return true;
}

static bool
parse_header_line(H1 *h, Str line, Err *e)
{
    const char *colon = memchr(line.p, ':', line.n);

    if (colon == NULL || h->n_headers == H1_HEADERS_MAX) {
        return err_set(e, ERR_PROTOCOL,
                       "header line lacks a colon, or there are over %d lines",
                       H1_HEADERS_MAX);
    }
    H1Header *x = &h->headers[h->n_headers];
    x->name = (Str){line.p, (size_t)(colon - line.p)};
    x->value = trim((Str){colon + 1, line.n - x->name.n - 1});
    /* This also rejects folded lines and white space before the colon. */
    if (!is_token(x->name) || !is_valid_value(x->value)) {
        return err_set(
            e, ERR_PROTOCOL,
            "header line %d contains characters that are not allowed",
            h->n_headers + 1);
    }
    h->n_headers++;
    return parse_framing(h, x, e);
}

/* A status line of RFC 9112, section 4, with a status of RFC 9110, section 15.
 * http_parser accepts any number up to 999 and any version.  The space before
 * an empty reason phrase may be missing, as some servers omit it. */
static bool
is_status_line(Str line)
{
    static const char version[] = "HTTP/1.";
    size_t n = strlen(version);
    size_t end = n + strlen("1 200");

    if (line.n < end || memcmp(line.p, version, n) != 0) {
        return false;
    }
    const char *p = line.p + n;
    return g_ascii_isdigit(p[0]) && p[1] == ' ' && p[2] >= '1' &&
           p[2] <= '5' && g_ascii_isdigit(p[3]) && g_ascii_isdigit(p[4]) &&
           (line.n == end || line.p[end] == ' ');
}

static bool
parse_start_line(H1 *h, Str line, Err *e)
{
    const char *a = memchr(line.p, ' ', line.n);

    if (!is_valid_value(line) || a == NULL) {
        return err_set(e, ERR_PROTOCOL, "start line is malformed");
    }
    if (h->parser.type == HTTP_RESPONSE) {
        return is_status_line(line) ||
               err_set(e, ERR_PROTOCOL,
                       "status line is malformed; send \"HTTP/1.1\" and a "
                       "status from 100 to 599");
    }
    const char *t = a + 1;
    const char *b = memchr(t, ' ', line.n - (size_t)(t - line.p));
    if (b == NULL || b == t) {
        return err_set(e, ERR_PROTOCOL, "request line is malformed");
    }
    h->target = (Str){t, (size_t)(b - t)};
    return true;
}

/* Splits the head at CRLF.  A bare CR or LF stays in a line and is rejected by
 * is_valid_value(). */
static bool
parse_head(H1 *h, Err *e)
{
    Str left = {(const char *)h->head->data, h->head->len - 2};
    bool first = true;

    while (left.n > 0) {
        const char *end = memmem(left.p, left.n, "\r\n", 2);
        Str line = {left.p, end == NULL ? left.n : (size_t)(end - left.p)};
        if (!(first ? parse_start_line(h, line, e)
                    : parse_header_line(h, line, e))) {
            return false;
        }
        first = false;
        left.p += line.n + 2;
        left.n -= MIN(left.n, line.n + 2);
    }
    if (h->chunked && h->length >= 0) {
        return err_set(
            e, ERR_PROTOCOL,
            "Content-Length together with Transfer-Encoding; send only one");
    }
    return true;
}

static void
skip_blank_lines(H1 *h, GByteArray *in)
{
    guint n = 0;

    while (h->n_blank < BLANK_LINES_MAX && n + 2 <= in->len &&
           in->data[n] == '\r' && in->data[n + 1] == '\n') {
        n += 2;
        h->n_blank++;
    }
    if (n > 0) {
        g_byte_array_remove_range(in, 0, n);
    }
}

static H1State
fail(H1 *h, H1State s)
{
    h->state = s;
    return s;
}

/* Checks what depends on the start line and the headers together.  304 may
 * have the length of the content that it stands for. */
static bool
check_framing(const H1 *h, Err *e)
{
    if (h->parser.type == HTTP_RESPONSE && h->chunked &&
        h->parser.http_minor == 0) {
        return err_set(e, ERR_PROTOCOL,
                       "Transfer-Encoding in HTTP/1.0; send HTTP/1.1");
    }
    if (h->parser.type == HTTP_RESPONSE &&
        h->parser.status_code == HTTP_STATUS_SWITCHING_PROTOCOLS) {
        return err_set(
            e, ERR_PROTOCOL,
            "response with status 101 to a request without Upgrade; "
            "send the response in HTTP/1.1");
    }
    if (has_no_content(&h->parser) && h->parser.status_code != 304 &&
        (h->length > 0 || h->chunked)) {
        return err_set(e, ERR_PROTOCOL,
                       "response with status %u has content; leave out "
                       "Content-Length and Transfer-Encoding",
                       h->parser.status_code);
    }
    return true;
}

/* Runs http_parser, which also checks the message.  Sets *used to the number
 * of bytes that it consumed. */
static bool
execute(H1 *h, const uint8_t *p, size_t n, size_t *used, Err *e)
{
    *used = http_parser_execute(&h->parser, &h1_settings, (const char *)p, n);
    enum http_errno err = HTTP_PARSER_ERRNO(&h->parser);
    if (err == HPE_OK || err == HPE_PAUSED) {
        return true;
    }
    return err_set(e, ERR_PROTOCOL, "%s", http_errno_description(err));
}

static H1State
read_body(H1 *h, GByteArray *in, Err *e)
{
    size_t used;

    if (h->chunked) {
        ChunkedState s = chunked_feed(&h->chunks, in, h->body, e);
        if (s >= CHUNKED_DONE) {
            h->state = s == CHUNKED_DONE ? H1_DONE : H1_ERROR;
        }
    }
    else if (in->len > 0) {
        if (!execute(h, in->data, in->len, &used, e)) {
            return fail(h, H1_ERROR);
        }
        g_byte_array_remove_range(in, 0, (guint)used);
    }
    return h->state;
}

H1State
h1_feed(H1 *h, GByteArray *in, size_t head_max, Err *e)
{
    size_t used;

    if (h->state == H1_HEAD) {
        if (h->parser.type == HTTP_REQUEST) {
            skip_blank_lines(h, in);
        }
        if (in->len == 0) {
            return h->state;
        }
        uint8_t *end = memmem(in->data, in->len, "\r\n\r\n", 4);
        size_t n = end == NULL ? in->len : (size_t)(end - in->data) + 4;
        if (n > head_max) {
            err_set(e, ERR_LIMIT, "the head exceeds the limit of %zu bytes",
                    head_max);
            return fail(h, H1_TOO_LARGE);
        }
        if (end == NULL) {
            return h->state;
        }
        g_byte_array_append(h->head, in->data, (guint)n);
        g_byte_array_remove_range(in, 0, (guint)n);
        h->state = H1_BODY;
        if (!parse_head(h, e) || !execute(h, h->head->data, n, &used, e) ||
            !check_framing(h, e) || !h->has_head || h->parser.upgrade) {
            return fail(h, H1_ERROR);
        }
    }
    return h->state == H1_BODY ? read_body(h, in, e) : h->state;
}

H1State
h1_feed_final(H1 *h, GByteArray *in, size_t head_max, Err *e)
{
    bool no_body = h->no_body;
    H1State s = h1_feed(h, in, head_max, e);

    while (s == H1_DONE && h->parser.status_code / 100 == 1) {
        h1_next(h);
        h->no_body = no_body;
        s = h1_feed(h, in, head_max, e);
    }
    return s;
}

H1State
h1_eof(H1 *h)
{
    if (h->state == H1_BODY && h->parser.type == HTTP_RESPONSE &&
        !h->chunked) {
        http_parser_execute(&h->parser, &h1_settings, NULL, 0);
    }
    if (h->state != H1_DONE) {
        h->state = H1_ERROR;
    }
    h->keep = false;
    return h->state;
}

Str
h1_get(const H1 *h, const char *name)
{
    for (int i = 0; i < h->n_headers; i++) {
        if (h1_same_name(h->headers[i].name, name)) {
            return h->headers[i].value;
        }
    }
    return (Str){NULL, 0};
}

Str
h1_method(const H1 *h)
{
    return str_of(http_method_str(h->parser.method));
}

static bool
list_contains(Str list, Str name)
{
    while (list.n > 0) {
        const char *c = memchr(list.p, ',', list.n);
        size_t n = c == NULL ? list.n : (size_t)(c - list.p);
        Str one = trim((Str){list.p, n});
        if (one.n == name.n && strncasecmp(one.p, name.p, name.n) == 0) {
            return true;
        }
        list.p += MIN(list.n, n + 1);
        list.n -= MIN(list.n, n + 1);
    }
    return false;
}

bool
h1_is_hop_by_hop(const H1 *h, Str name)
{
    static const char *const names[] = {
        "connection",          "keep-alive", "proxy-authenticate",
        "proxy-authorization", "te",         "trailer",
        "transfer-encoding",   "upgrade",    "proxy-connection",
        "content-length",      "expect",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (h1_same_name(name, names[i])) {
            return true;
        }
    }
    for (int i = 0; i < h->n_headers; i++) {
        if (h1_same_name(h->headers[i].name, "connection") &&
            list_contains(h->headers[i].value, name)) {
            return true;
        }
    }
    return false;
}
