/* retryafter - parses Retry-After.  See retryafter.h. */
#include "retryafter.h"

#include <string.h>
#include <time.h>

#include "limits.h"

#define VALUE_BYTES 64 /* longer values are malformed */
#define FRACTION_DIGITS 6

/* Parses digits with an optional fraction, as microseconds.  Returns -1 if the
 * value is something else. */
static int64_t
parse_seconds(Str v)
{
    int64_t us = 0;
    size_t i = 0;

    while (i < v.n && g_ascii_isdigit(v.p[i])) {
        us = MIN(us * 10 + (v.p[i] - '0') * 1000000LL, RETRYAFTER_MAX_US);
        i++;
    }
    if (i == 0) {
        return -1;
    }
    if (i < v.n && v.p[i] == '.') {
        int64_t unit_us = 1000000;
        size_t first = ++i;
        for (; i < v.n && g_ascii_isdigit(v.p[i]); i++) {
            unit_us /= 10;
            us += i - first < FRACTION_DIGITS ? (v.p[i] - '0') * unit_us : 0;
        }
    }
    return i == v.n ? us : -1;
}

/* Parses the date format that RFC 9110 requires of senders.  Returns -1 if the
 * value is something else. */
static int64_t
parse_date(Str v)
{
    char text[VALUE_BYTES];
    struct tm tm = {0};

    if (!str_copy(text, sizeof(text), v)) {
        return -1;
    }
    const char *end = strptime(text, "%a, %d %b %Y %H:%M:%S GMT", &tm);
    return end == NULL || *end != '\0' ? -1 : (int64_t)timegm(&tm) * 1000000;
}

int64_t
retryafter_parse(Str value, int64_t wall_us)
{
    int64_t us = parse_seconds(value);

    if (us < 0) {
        int64_t date_us = parse_date(value);
        us = date_us < 0 ? 0 : date_us - wall_us;
    }
    return CLAMP(us, 0, RETRYAFTER_MAX_US);
}

int64_t
retryafter_us(const H1 *resp, int64_t wall_us)
{
    int64_t longest = 0;
    int64_t sent_us = parse_date(h1_get(resp, "date"));

    /* The wall clock of the sender may differ from this VM's. */
    if (sent_us >= 0) {
        wall_us = sent_us;
    }

    for (int i = 0; i < resp->n_headers; i++) {
        if (h1_same_name(resp->headers[i].name, "retry-after")) {
            longest = MAX(longest,
                          retryafter_parse(resp->headers[i].value, wall_us));
        }
    }
    return longest;
}
