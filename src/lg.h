/*
 * lg - logging through log4c.
 *
 * Each line has a prefix that names the part of the program.
 */
#ifndef MIMOSA_LG_H
#define MIMOSA_LG_H

#include <stdbool.h>

#include <glib.h>

#include "err.h"

typedef enum LgLevel { LG_ERROR, LG_WARN, LG_INFO, LG_DEBUG } LgLevel;

/*
 * Starts logging to the file at path, or to standard error when path is NULL.
 * Lines are written whole and in order.  The file is buffered because a write
 * per decision line costs more than the decision; lg_flush() and each line of
 * level warn or error write the buffer.  Errors: ERR_IO when the file cannot
 * be opened.
 */
bool lg_open(const char *program, LgLevel level, const char *path, Err *e);
void lg_close(void);
void lg_flush(void);

/* Parses "error", "warn", "info" or "debug"; returns false for others. */
bool lg_level_of(const char *name, LgLevel *out);

/* Logs a line "time LEVEL part: text". */
void lg_line(LgLevel level, const char *part, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* Logs a routing or placement decision at level info. */
#define lg_decision(part, ...) lg_line(LG_INFO, (part), __VA_ARGS__)

#endif
