/*
 * dlog - structured log lines to standard output that never block.
 *
 * One line per decision: "time=... level=... part=... event=... key=value".
 * Lines go to a buffer that is written when the descriptor is writable.  Lines
 * that do not fit into the buffer, and lines about requests beyond the rate,
 * are dropped and counted; the count is logged when the buffer has space
 * again.  The module lg is not used here, since log4c writes to a blocking
 * stream.
 *
 * Text of other parties goes through dlog_name() or dlog_quoted(), so that it
 * cannot end its field; control characters never reach the output.
 */
#ifndef MIMOSA_DLOG_H
#define MIMOSA_DLOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "str.h"

typedef enum DlogLevel { DLOG_WARN, DLOG_INFO } DlogLevel;

typedef struct Dlog Dlog;

typedef struct DlogOpts {
    int fd;
    double request_lines_per_s; /* other lines are rare and not limited */
    size_t buffer_bytes;
} DlogOpts;

Dlog *dlog_new(const DlogOpts *o);
void dlog_free(Dlog *d);

#define DLOG_TEXT_BYTES 256 /* with the terminator; longer text is cut */

typedef struct DlogText {
    char s[DLOG_TEXT_BYTES];
} DlogText;

/* Return the text as a value for a line: dlog_name() for a value without
 * quotes, in which white space, quotes and equals signs become "?" and which
 * is "-" for an empty text; dlog_quoted() for one between double quotes, which
 * become single ones.  Cut text ends with "...". */
DlogText dlog_name(Str text);
DlogText dlog_quoted(const char *text);

/* Appends a line.  A line about a request needs dlog_admit() before; others,
 * about the process, its view of the store or a dependency, do not. */
void dlog_event(Dlog *d, DlogLevel level, const char *part, const char *fmt,
                ...) G_GNUC_PRINTF(4, 5);

/* Returns 0 when a line about a request may not be written now, and counts it
 * as dropped; else the number of requests that the line stands for: itself and
 * those dropped since the last line of its kind.  urgent: the line reports a
 * failure; a part of the rate is reserved for failures. */
int dlog_admit(Dlog *d, bool urgent, int64_t now_us);

/* Writes lines while the descriptor is writable; called from a timer. */
void dlog_flush(Dlog *d);

/* Lines dropped since dlog_new(). */
int64_t dlog_dropped(const Dlog *d);

#endif
