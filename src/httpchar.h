/*
 * httpchar - classes of bytes in HTTP messages, RFC 9110, section 5.
 */
#ifndef MIMOSA_HTTPCHAR_H
#define MIMOSA_HTTPCHAR_H

#include <stdbool.h>
#include <string.h>

#include <glib.h>

/* A byte of a token, such as a field name. */
static inline bool
httpchar_is_token(unsigned char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* A byte of a field value, a reason phrase or a chunk extension. */
static inline bool
httpchar_is_text(unsigned char c)
{
    return (c >= 0x20 && c != 0x7f) || c == '\t';
}

#endif
