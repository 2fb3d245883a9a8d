/*
 * httptext - HTTP answers of this program, and copying of headers.
 */
#ifndef MIMOSA_HTTPTEXT_H
#define MIMOSA_HTTPTEXT_H

#include <stdbool.h>

#include <libsoup/soup.h>

/* Returns a JSON object: outcome, reason, message, retry_after_ms. */
GString *http_outcome_json(const char *outcome, const char *reason,
                           const char *text, int retry_ms);

/* Sets status, Mimosa-Outcome, a JSON body and, when retry_ms is positive,
 * Retry-After.  Takes ownership of body. */
void http_answer(SoupServerMessage *msg, int status, const char *outcome,
                 GString *body, int retry_ms);

/* Answers before the request body is read, and closes the connection.  Takes
 * ownership of body; msg must not be used afterwards. */
void http_answer_and_close(SoupServerMessage *msg, int status,
                           const char *outcome, GString *body);

/* Answers 200 with a body of the given content type.  Takes ownership of
 * body. */
void http_answer_text(SoupServerMessage *msg, const char *type, GString *body);

/* Refuses requests to path and below whose body exceeds BODY_HASH_BYTES or is
 * chunked, so that its length is unknown. */
void http_limit_bodies(SoupServer *server, const char *path);

/* Copies all headers except hop-by-hop headers, Host, Content-Length, Expect
 * and Mimosa-*. */
void http_copy_headers(SoupMessageHeaders *to, SoupMessageHeaders *from);

#endif
