/* pxhead - heads of forwarded requests and responses.  See pxhead.h. */
#include "pxhead.h"

#include <inttypes.h>
#include <stdio.h>

#include "limits.h"
#include "retryafter.h"

static void
append_header(GString *g, Str name, Str value)
{
    g_string_append_len(g, name.p, (gssize)name.n);
    g_string_append(g, ": ");
    g_string_append_len(g, value.p, (gssize)value.n);
    g_string_append(g, "\r\n");
}

GString *
pxhead_request(const H1 *req, const PxHeaderNames *n, const char *upstream,
               int64_t left_ms)
{
    GString *g = g_string_sized_new(req->head->len + 128);
    Str method = h1_method(req);

    g_string_append_len(g, method.p, (gssize)method.n);
    g_string_append_c(g, ' ');
    g_string_append_len(g, req->target.p, (gssize)req->target.n);
    g_string_append(g, " HTTP/1.1\r\n");
    for (int i = 0; i < req->n_headers; i++) {
        const H1Header *x = &req->headers[i];
        if (!h1_is_hop_by_hop(req, x->name) &&
            !h1_same_name(x->name, n->time_left_ms) &&
            !h1_same_name(x->name, n->want_upstream)) {
            append_header(g, x->name, x->value);
        }
    }
    g_string_append_printf(g, "%s: %" PRId64 "\r\n%s: %s\r\n", n->time_left_ms,
                           left_ms, n->want_upstream, upstream);
    if (req->length >= 0 || req->chunked) {
        g_string_append_printf(g, "Content-Length: %u\r\n", req->body->len);
    }
    g_string_append(g, "\r\n");
    return g;
}

GString *
pxhead_response(const H1 *resp)
{
    GString *g = g_string_sized_new(resp->head->len + 32);
    unsigned status = resp->parser.status_code;

    g_string_append_printf(g, "HTTP/1.1 %u %s\r\n", status,
                           http_status_str((enum http_status)status));
    for (int i = 0; i < resp->n_headers; i++) {
        if (!h1_is_hop_by_hop(resp, resp->headers[i].name)) {
            append_header(g, resp->headers[i].name, resp->headers[i].value);
        }
    }
    return g;
}

PxResponseKind
pxhead_classify(const H1 *resp, const PxHeaderNames *n, Str attempt)
{
    Str id = h1_get(resp, n->attempt);
    unsigned status = resp->parser.status_code;
    bool not_run = status == 421 || h1_get(resp, n->not_run).n > 0;

    if (id.n > 0 && !str_eq(id, attempt)) {
        return PX_RESPONSE_MISMATCHED;
    }
    if (id.n == 0) {
        return PX_RESPONSE_INVALID;
    }
    if (not_run) {
        return PX_RESPONSE_NOT_RUN;
    }
    if (status / 100 == 2 && h1_get(resp, n->seal).n == 0) {
        return PX_RESPONSE_INVALID;
    }
    return PX_RESPONSE_OWN;
}

/* Returns true if the upstream to which the attempt was sent responded to it:
 * 421 comes from another one. */
static bool
is_of_upstream(const H1 *resp, const PxHeaderNames *n, Str attempt)
{
    PxResponseKind kind = pxhead_classify(resp, n, attempt);

    return resp->parser.status_code != 421 &&
           (kind == PX_RESPONSE_OWN || kind == PX_RESPONSE_NOT_RUN);
}

bool
pxhead_announces_leaving(const H1 *resp, const PxHeaderNames *n, Str attempt)
{
    return str_eqz(h1_get(resp, n->leaving), "1") &&
           is_of_upstream(resp, n, attempt);
}

int64_t
pxhead_wait_us(const H1 *resp, const PxHeaderNames *n, Str attempt,
               int64_t wall_us)
{
    if (resp->parser.status_code != 503 || !is_of_upstream(resp, n, attempt)) {
        return 0;
    }
    return retryafter_us(resp, wall_us);
}

bool
pxhead_load(const H1 *resp, const PxHeaderNames *n, int *running, int *waiting)
{
    char buf[NAME_BYTES];

    return str_copy(buf, sizeof(buf), h1_get(resp, n->load)) &&
           sscanf(buf, "%d,%d", running, waiting) == 2 && *running >= 0 &&
           *waiting >= 0;
}
