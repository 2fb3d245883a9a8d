/*
 * dlog - structured log lines to standard output that never block.
 *
 * One line per decision: "time=... level=... part=... event=... key=value".
 * Lines go to a buffer that is written when the descriptor takes bytes.  What
 * does not fit, and lines of requests beyond the rate, are dropped and
 * counted; the count is logged when there is room again.  log4c writes to a
 * blocking stream, which is why lg is not used here.
 */
#ifndef MIMOSA_DLOG_H
#define MIMOSA_DLOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

typedef enum DlogLevel { DLOG_WARN, DLOG_INFO } DlogLevel;

typedef struct Dlog Dlog;

typedef struct DlogOpts {
    int fd;
    double request_lines_per_s; /* lines about requests; others are rare */
    size_t buffer_bytes;
} DlogOpts;

Dlog *dlog_new(const DlogOpts *o);
void dlog_free(Dlog *d);

/* A line about the process, its beliefs or a dependency. */
void dlog_event(Dlog *d, DlogLevel level, const char *part, const char *fmt,
                ...) G_GNUC_PRINTF(4, 5);

/* True when a line about a request may be written now.  urgent: it tells of
 * a failure, which has a share of the rate of its own. */
bool dlog_admit(Dlog *d, bool urgent, int64_t now_us);

/* Writes what the descriptor takes; called from a timer. */
void dlog_flush(Dlog *d);

int64_t dlog_dropped(const Dlog *d);

#endif
