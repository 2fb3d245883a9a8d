/* str - strings with a length.  See str.h. */
#include "str.h"

#include <string.h>

Str
str_of(const char *z)
{
    return (Str){z, z == NULL ? 0 : strlen(z)};
}

bool
str_eq(Str a, Str b)
{
    return a.n == b.n && (a.n == 0 || memcmp(a.p, b.p, a.n) == 0);
}

bool
str_eqz(Str a, const char *z)
{
    return str_eq(a, str_of(z));
}

bool
str_starts(Str a, Str prefix)
{
    return a.n >= prefix.n && str_eq((Str){a.p, prefix.n}, prefix);
}

bool
str_copy(char *dst, size_t cap, Str a)
{
    dst[0] = '\0';
    if (a.n >= cap || (a.n > 0 && memchr(a.p, 0, a.n) != NULL)) {
        return false;
    }
    if (a.n > 0) {
        memcpy(dst, a.p, a.n);
    }
    dst[a.n] = '\0';
    return true;
}

bool
str_u64(Str a, uint64_t max, uint64_t *out)
{
    uint64_t v = 0;

    if (a.n == 0) {
        return false;
    }
    for (size_t i = 0; i < a.n; i++) {
        unsigned d = (unsigned)(a.p[i] - '0');
        if (d > 9 || d > max || v > (max - d) / 10) {
            return false;
        }
        v = v * 10 + d;
    }
    *out = v;
    return true;
}

static bool
is_name_start(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

bool
str_is_name(Str a, size_t max)
{
    if (a.n == 0 || a.n > max || !is_name_start(a.p[0])) {
        return false;
    }
    for (size_t i = 0; i < a.n; i++) {
        char c = a.p[i];
        if (!is_name_start(c) && c != '.' && c != '_' && c != '-') {
            return false;
        }
    }
    return true;
}

bool
str_is_visible(Str a)
{
    for (size_t i = 0; i < a.n; i++) {
        unsigned char c = (unsigned char)a.p[i];
        if (c <= ' ' || c == 0x7f) {
            return false;
        }
    }
    return a.n > 0;
}
