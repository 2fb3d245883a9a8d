/*
 * str - strings with a length.
 *
 * A Str is a view: it does not own its bytes, which need not end in a zero
 * byte.
 */
#ifndef MIMOSA_STR_H
#define MIMOSA_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct Str {
    const char *p;
    size_t n;
} Str;

/* Returns a view of a zero-terminated text; empty for NULL. */
Str str_of(const char *z);

bool str_eq(Str a, Str b);
bool str_eqz(Str a, const char *z);
bool str_starts(Str a, Str prefix);

/*
 * Copies a into dst, which has cap bytes, and terminates it.  Returns false
 * and leaves dst empty when a does not fit or contains a zero byte.
 */
bool str_copy(char *dst, size_t cap, Str a);

/*
 * Parses an unsigned decimal number.  Returns false when a is empty, contains
 * anything but digits or exceeds max.
 */
bool str_u64(Str a, uint64_t max, uint64_t *out);

/* Returns true when a has 1 to max bytes of [a-z0-9._-] and starts with
 * [a-z0-9]. */
bool str_is_name(Str a, size_t max);

/* Returns true when a is not empty and holds neither white space nor control
 * characters. */
bool str_is_visible(Str a);

#endif
