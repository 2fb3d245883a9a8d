/* Tests of h1 and pxhead: framing of messages, forwarded heads, classification
 * of responses. */
#include "t.h"

#include <string.h>

#include "answers.h"
#include "h1.h"
#include "pxhead.h"

#define HEAD_MAX 4096

static const PxHeaderNames names = {"X-Attempt", "X-Object", "X-Left",
                                    "X-Want",    "X-Seal",   "X-NotRun",
                                    "X-Load",    "X-Leaving"};

static H1State
feed(H1 *h, GByteArray *in, const char *text)
{
    Err e = {0};

    g_byte_array_append(in, (const guint8 *)text, (guint)strlen(text));
    return h1_feed(h, in, HEAD_MAX, &e);
}

static H1State
feed_once(bool request, const char *text)
{
    H1 h;
    GByteArray *in = g_byte_array_new();

    h1_init(&h, request);
    H1State s = feed(&h, in, text);
    h1_clear(&h);
    g_byte_array_unref(in);
    return s;
}

/* Guards against request smuggling: a request that two parsers frame
 * differently must be rejected. */
START_TEST(ambiguous_requests_are_rejected)
{
    static const char *const bad[] = {
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: "
        "chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
        "chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length: +1\r\n\r\n",
        "GET / HTTP/1.1\r\nContent-Length : 1\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\nContent-Length: 5\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nabc0\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1;\nb\r\na\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\nA B: c\r\n\r\n",
        "GET  HTTP/1.1\r\n\r\n",
        "nonsense\r\n\r\n",
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        ck_assert_msg(feed_once(true, bad[i]) == H1_ERROR, "%s", bad[i]);
    }
}
END_TEST

/* Guards against reading bytes of a pipelined request as part of the body of
 * the request before it. */
START_TEST(message_ends_as_framed)
{
    static const struct {
        const char *text;
        const char *body;
    } cases[] = {
        {"GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b", ""},
        {"PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /b", "abc"},
        {"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nGET /b",
         "abc"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        H1 h;
        GByteArray *in = g_byte_array_new();
        h1_init(&h, true);
        ck_assert_int_eq(feed(&h, in, cases[i].text), H1_DONE);
        ck_assert_uint_eq(h.body->len, strlen(cases[i].body));
        ck_assert(memcmp(h.body->data == NULL ? (guint8 *)"" : h.body->data,
                         cases[i].body, h.body->len) == 0);
        ck_assert_uint_eq(in->len, 6);
        ck_assert(h.keep);
        h1_next(&h);
        ck_assert_int_eq(feed(&h, in, " HTTP/1.1\r\n\r\n"), H1_DONE);
        ck_assert(str_eqz(h.target, "/b"));
        h1_clear(&h);
        g_byte_array_unref(in);
    }
}
END_TEST

/* Guards against parser state that is lost between reads: a message that
 * arrives byte by byte must give the same result. */
START_TEST(split_reads_give_same_message)
{
    const char *text = "PUT /a HTTP/1.1\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n";
    H1 h;
    GByteArray *in = g_byte_array_new();
    H1State s = H1_HEAD;
    Err e = {0};

    h1_init(&h, true);
    for (size_t i = 0; i < strlen(text); i++) {
        ck_assert_int_ne(s, H1_DONE);
        g_byte_array_append(in, (const guint8 *)text + i, 1);
        s = h1_feed(&h, in, HEAD_MAX, &e);
    }
    ck_assert_int_eq(s, H1_DONE);
    ck_assert_uint_eq(h.body->len, 3);
    ck_assert_uint_eq(in->len, 0);
    h1_clear(&h);
    g_byte_array_unref(in);
}
END_TEST

/* Guards against heads that use memory without limit. */
START_TEST(large_heads_are_rejected)
{
    GString *g = g_string_new("GET / HTTP/1.1\r\nA: ");

    for (int i = 0; i < HEAD_MAX; i++) {
        g_string_append_c(g, 'x');
    }
    ck_assert_int_eq(feed_once(true, g->str), H1_TOO_LARGE);
    g_string_free(g, TRUE);
}
END_TEST

/* Guards against taking a truncated response for a complete one: only a
 * response with neither a length nor a transfer coding may end with the
 * connection. */
START_TEST(truncated_responses_are_errors)
{
    static const struct {
        const char *text;
        H1State at_eof;
    } cases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", H1_ERROR},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
         H1_ERROR},
        {"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: "
         "chunked\r\n\r\n2\r\nab\r\n",
         H1_ERROR},
        {"HTTP/1.1 200 OK\r\n\r\nab", H1_DONE},
        {"HTTP/1.1 200 OK\r\nContent-", H1_ERROR},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        H1 h;
        GByteArray *in = g_byte_array_new();
        h1_init(&h, false);
        ck_assert_int_ne(feed(&h, in, cases[i].text), H1_DONE);
        ck_assert_int_eq(h1_eof(&h), cases[i].at_eof);
        ck_assert(!h.keep);
        h1_clear(&h);
        g_byte_array_unref(in);
    }
}
END_TEST

/* Guards against forwarding hop-by-hop headers, and against a caller that sets
 * the header of the wanted upstream or of the remaining time itself. */
START_TEST(forwarded_requests_replace_headers)
{
    H1 h;
    GByteArray *in = g_byte_array_new();

    h1_init(&h, true);
    ck_assert_int_eq(
        feed(&h, in,
             "PUT /p?q=1 HTTP/1.1\r\nHost: a\r\nX-Attempt: 7\r\n"
             "Connection: X-Mine\r\nX-Mine: 1\r\nX-Left: 9000\r\nX-Want: "
             "u9\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n\r\n"),
        H1_DONE);
    GString *g = pxhead_request(&h, &names, "u1", 250);
    ck_assert_str_eq(g->str, "PUT /p?q=1 HTTP/1.1\r\nHost: a\r\nX-Attempt: "
                             "7\r\nX-Left: 250\r\nX-Want: "
                             "u1\r\nContent-Length: 1\r\n\r\n");
    g_string_free(g, TRUE);
    h1_clear(&h);
    g_byte_array_unref(in);
}
END_TEST

/* Guards against forwarding the response to another request, and against a
 * success without the attempt id or the seal of the upstream. */
START_TEST(responses_are_classified)
{
    static const struct {
        const char *head;
        PxResponseKind kind;
    } cases[] = {
        {"200 OK\r\nX-Attempt: 7\r\nX-Seal: s", PX_RESPONSE_OWN},
        {"500 Error\r\nX-Attempt: 7", PX_RESPONSE_OWN},
        {"200 OK\r\nX-Attempt: 8\r\nX-Seal: s", PX_RESPONSE_MISMATCHED},
        {"200 OK\r\nX-Attempt: 7", PX_RESPONSE_INVALID},
        {"200 OK\r\nX-Seal: s", PX_RESPONSE_INVALID},
        {"503 Busy\r\nX-Attempt: 7\r\nX-NotRun: 1", PX_RESPONSE_NOT_RUN},
        {"421 Other\r\nX-Attempt: 7", PX_RESPONSE_NOT_RUN},
        {"503 Busy\r\nX-Attempt: 8\r\nX-NotRun: 1", PX_RESPONSE_MISMATCHED},
        /* Without an attempt id the response may belong to any request. */
        {"503 Busy\r\nX-NotRun: 1", PX_RESPONSE_INVALID},
        {"503 Busy\r\nX-Attempt: 7", PX_RESPONSE_OWN},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        H1 h;
        GByteArray *in = g_byte_array_new();
        char *t = g_strdup_printf("HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n",
                                  cases[i].head);
        h1_init(&h, false);
        ck_assert_int_eq(feed(&h, in, t), H1_DONE);
        ck_assert_msg(pxhead_classify(&h, &names, str_of("7")) ==
                          cases[i].kind,
                      "%s", t);
        g_free(t);
        h1_clear(&h);
        g_byte_array_unref(in);
    }
}
END_TEST

/* Guards against a caller that keeps a connection for ever by blank lines,
 * which are ignored before a request. */
START_TEST(blank_lines_are_ignored_twice_only)
{
    H1 h;
    GByteArray *in = g_byte_array_new();

    h1_init(&h, true);
    ck_assert_int_eq(feed(&h, in, "\r\n"), H1_HEAD);
    ck_assert_int_eq(feed(&h, in, "\r\nGET / HTTP/1.1\r\n\r\n"), H1_DONE);
    h1_next(&h);
    ck_assert_int_eq(feed(&h, in, "\r\n"), H1_HEAD);
    ck_assert_int_eq(feed(&h, in, "\r\n"), H1_HEAD);
    ck_assert_int_eq(feed(&h, in, "\r\n"), H1_HEAD);
    ck_assert_int_eq(feed(&h, in, "\r\n"), H1_ERROR);
    h1_clear(&h);
    g_byte_array_unref(in);
}
END_TEST

/* Reads an answer in pieces of that many bytes, up to the end of the message
 * or its connection.  Returns its status, -1 if it is malformed. */
static int
read_answer(const Answer *a, size_t piece, GByteArray *body)
{
    GString *g = g_string_new_len(a->before.p, (gssize)a->before.n);
    GByteArray *in = g_byte_array_new();
    H1State s = H1_HEAD;
    H1 h;
    Err e = {0};

    g_string_append(g, "X-Attempt: 7\r\nX-Seal: s\r\n");
    g_string_append_len(g, a->after.p, (gssize)a->after.n);
    h1_init(&h, false);
    for (size_t at = 0; at < g->len && s < H1_DONE; at += piece) {
        g_byte_array_append(in, (guint8 *)g->str + at,
                            (guint)MIN(piece, g->len - at));
        s = h1_feed_final(&h, in, HEAD_MAX, &e);
    }
    if (s < H1_DONE) {
        s = h1_eof(&h);
    }
    int status = s == H1_DONE ? (int)h.parser.status_code : -1;
    g_byte_array_append(body, h.body->data, h.body->len);
    h1_clear(&h);
    g_byte_array_unref(in);
    g_string_free(g, TRUE);
    return status;
}

/* Guards against reading a malformed answer as a complete one, and against
 * refusing an unusual one, also when they arrive byte by byte. */
START_TEST(only_well_formed_answers_are_read)
{
    static const size_t pieces[] = {1, 7, HEAD_MAX};

    for (size_t i = 0; i < G_N_ELEMENTS(answers); i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(pieces); k++) {
            const Answer *a = &answers[i];
            GByteArray *body = g_byte_array_new();
            int status = read_answer(a, pieces[k], body);
            ck_assert_msg(status == (a->status == 0 ? -1 : a->status),
                          "%s: %d", a->name, status);
            ck_assert_msg(status < 0 ||
                              (body->len == strlen(a->body) &&
                               (body->len == 0 ||
                                memcmp(body->data, a->body, body->len) == 0)),
                          "%s: %u bytes", a->name, body->len);
            g_byte_array_unref(body);
        }
    }
}
END_TEST

T_MAIN("h1", ambiguous_requests_are_rejected, message_ends_as_framed,
       split_reads_give_same_message, large_heads_are_rejected,
       truncated_responses_are_errors, forwarded_requests_replace_headers,
       responses_are_classified, blank_lines_are_ignored_twice_only,
       only_well_formed_answers_are_read)
