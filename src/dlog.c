/* dlog - structured log lines that never block.  See dlog.h. */
#include "dlog.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include "bucket.h"

#define LINE_BYTES 1024
/* A pipe that poll() reports as writable accepts this many bytes without
 * blocking. */
#define CHUNK_BYTES 4096
#define URGENT_PART 0.7 /* fraction of the rate reserved for failures */

struct Dlog {
    DlogOpts o;
    GString *buf;
    Bucket urgent;
    Bucket routine;
    int unlogged[2]; /* requests since the last line: routine, urgent */
    int64_t dropped;
    int64_t reported; /* value of "dropped" that was logged last */
};

Dlog *
dlog_new(const DlogOpts *o)
{
    Dlog *d = g_new0(Dlog, 1);

    d->o = *o;
    d->buf = g_string_sized_new(CHUNK_BYTES);
    return d;
}

void
dlog_free(Dlog *d)
{
    dlog_flush(d);
    g_string_free(d->buf, TRUE);
    g_free(d);
}

static bool
is_control(char c)
{
    return (unsigned char)c < ' ' || c == 0x7f;
}

static DlogText
cut_text(Str text)
{
    DlogText t;
    bool cut = text.n >= sizeof(t.s);
    size_t n = cut ? sizeof(t.s) - sizeof("...") : text.n;

    if (n > 0) {
        memcpy(t.s, text.p, n);
    }
    g_strlcpy(t.s + n, cut ? "..." : "", sizeof(t.s) - n);
    for (size_t i = 0; i < n; i++) {
        t.s[i] = is_control(t.s[i]) ? '?' : t.s[i];
    }
    return t;
}

DlogText
dlog_name(Str text)
{
    DlogText t = cut_text(text.n == 0 ? str_of("-") : text);

    g_strdelimit(t.s, " \"'=", '?');
    return t;
}

DlogText
dlog_quoted(const char *text)
{
    DlogText t = cut_text(str_of(text));

    g_strdelimit(t.s, "\"", '\'');
    return t;
}

static void
append_line(Dlog *d, DlogLevel level, const char *part, const char *fmt,
            va_list ap)
{
    char line[LINE_BYTES];
    struct timeval tv;

    gettimeofday(&tv, NULL);
    int n = snprintf(line, sizeof(line), "time=%lld.%03d level=%s part=%s ",
                     (long long)tv.tv_sec, (int)(tv.tv_usec / 1000),
                     level == DLOG_WARN ? "warn" : "info", part);
    n += vsnprintf(line + n, sizeof(line) - (size_t)n, fmt, ap);
    n = MIN(n, LINE_BYTES - 2);
    for (int i = 0; i < n; i++) {
        line[i] = is_control(line[i]) ? '?' : line[i];
    }
    line[n++] = '\n';
    if (d->buf->len + (size_t)n > d->o.buffer_bytes) {
        d->dropped++;
        return;
    }
    g_string_append_len(d->buf, line, n);
}

void
dlog_event(Dlog *d, DlogLevel level, const char *part, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    append_line(d, level, part, fmt, ap);
    va_end(ap);
}

int
dlog_admit(Dlog *d, bool urgent, int64_t now_us)
{
    int *unlogged = &d->unlogged[urgent ? 1 : 0];
    double rate = d->o.request_lines_per_s;
    double part = urgent ? URGENT_PART : 1 - URGENT_PART;
    Bucket *b = urgent ? &d->urgent : &d->routine;

    if (bucket_take(b, rate * part, MAX(rate * part, 1), now_us)) {
        int n = 1 + *unlogged;
        *unlogged = 0;
        return n;
    }
    d->dropped++;
    (*unlogged)++;
    return 0;
}

static bool
is_writable(int fd)
{
    struct pollfd p = {.fd = fd, .events = POLLOUT};

    return poll(&p, 1, 0) == 1 && (p.revents & POLLOUT) != 0;
}

void
dlog_flush(Dlog *d)
{
    if (d->dropped > d->reported && d->buf->len < d->o.buffer_bytes / 2) {
        dlog_event(d, DLOG_INFO, "log", "event=dropped lines=%lld",
                   (long long)(d->dropped - d->reported));
        d->reported = d->dropped;
    }
    while (d->buf->len > 0 && is_writable(d->o.fd)) {
        ssize_t n =
            write(d->o.fd, d->buf->str, MIN(d->buf->len, (size_t)CHUNK_BYTES));
        if (n <= 0) {
            return;
        }
        g_string_erase(d->buf, 0, n);
    }
}

int64_t
dlog_dropped(const Dlog *d)
{
    return d->dropped;
}
