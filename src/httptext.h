/*
 * httptext - answers of the system itself, and headers that pass through.
 */
#ifndef MIMOSA_HTTPTEXT_H
#define MIMOSA_HTTPTEXT_H

#include <stdbool.h>

#include <libsoup/soup.h>

/* JSON of an outcome: outcome, reason, message, retry_after_ms. */
GString *http_outcome_json(const char *outcome, const char *reason,
                           const char *text, int retry_ms);

/* Sets status, Mimosa-Outcome and a JSON body; takes body over. */
void http_answer(SoupServerMessage *msg, int status, const char *outcome,
                 GString *body, int retry_ms);

/* Answers before the request body is read, and closes the connection; takes
 * body over.  The message is gone afterwards. */
void http_answer_and_close(SoupServerMessage *msg, int status,
                           const char *outcome, GString *body);

/* Answers 200 with a text; takes body over. */
void http_answer_text(SoupServerMessage *msg, const char *type, GString *body);

/* Refuses bodies over BODY_HASH_BYTES, or of unknown length, on a path. */
void http_limit_bodies(SoupServer *server, const char *path);

/* Copies headers that belong to the message and not to one connection.
 * Headers of the system (Mimosa-*) are left out. */
void http_copy_headers(SoupMessageHeaders *to, SoupMessageHeaders *from);

#endif
