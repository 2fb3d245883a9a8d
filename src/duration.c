/* duration - parser of durations with a unit.  See duration.h. */
#include "duration.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#define DURATION_MAX_S 86400.0
#define TEXT_BYTES 32

bool
duration_parse(Str text, int64_t *us)
{
    char buf[TEXT_BYTES];
    char *end;

    /* strtod() also reads hexadecimal numbers. */
    if (!str_copy(buf, sizeof(buf), text) || !g_ascii_isdigit(buf[0]) ||
        strpbrk(buf, "xX") != NULL) {
        return false;
    }
    double v = g_ascii_strtod(buf, &end);
    if (str_eqz(str_of(end), "ms")) {
        v /= 1000;
    }
    else if (!str_eqz(str_of(end), "s")) {
        return false;
    }
    if (!isfinite(v) || v < 0 || v > DURATION_MAX_S) {
        return false;
    }
    *us = llround(v * 1e6);
    return true;
}
