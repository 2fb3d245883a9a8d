/* lg - logging through log4c.  See lg.h. */
#include "lg.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>
#include <time.h>

#include <log4c.h>

#define LG_BUFFER_BYTES 65536
#define LG_LINE_BYTES 1024

/* The state is global to the process, as log4c categories are. */
static log4c_category_t *lg_category;
static FILE *lg_file;
static LgLevel lg_level = LG_INFO;

static int
write_event(log4c_appender_t *a, const log4c_logging_event_t *ev)
{
    (void)a;
    FILE *f = lg_file != NULL ? lg_file : stderr;

    fputs(ev->evt_msg, f);
    fputc('\n', f);
    if (ev->evt_priority <= LOG4C_PRIORITY_WARN) {
        fflush(f);
    }
    return 0;
}

static const log4c_appender_type_t lg_appender_type = {"mimosa", NULL,
                                                       write_event, NULL};

static int
priority_of(LgLevel level)
{
    static const int map[] = {LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                              LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG};

    return map[level];
}

bool
lg_open(const char *program, LgLevel level, const char *path, Err *e)
{
    FILE *f = NULL;

    if (path != NULL) {
        f = fopen(path, "ae");
        if (f == NULL) {
            return err_set(e, ERR_IO,
                           "log file \"%s\": %s; choose a file in a "
                           "directory that the program can write",
                           path, strerror(errno));
        }
        setvbuf(f, NULL, _IOFBF, LG_BUFFER_BYTES);
    }
    lg_file = f;
    lg_level = level;
    log4c_appender_type_set(&lg_appender_type);
    lg_category = log4c_category_get(program);
    log4c_appender_t *a = log4c_appender_get("mimosa");
    log4c_appender_set_type(a, &lg_appender_type);
    log4c_category_set_appender(lg_category, a);
    log4c_category_set_additivity(lg_category, 0);
    log4c_category_set_priority(lg_category, priority_of(level));
    return true;
}

void
lg_flush(void)
{
    fflush(lg_file != NULL ? lg_file : stderr);
}

void
lg_close(void)
{
    lg_flush();
    lg_category = NULL;
    log4c_fini();
    if (lg_file != NULL) {
        fclose(lg_file);
        lg_file = NULL;
    }
}

bool
lg_level_of(const char *name, LgLevel *out)
{
    static const char *const names[] = {"error", "warn", "info", "debug"};

    for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            *out = (LgLevel)i;
            return true;
        }
    }
    return false;
}

void
lg_line(LgLevel level, const char *part, const char *fmt, ...)
{
    static const char *const tags[] = {"ERROR", "WARN", "INFO", "DEBUG"};
    char line[LG_LINE_BYTES];
    struct timeval tv;
    struct tm tm;
    va_list ap;

    if (lg_category == NULL || level > lg_level) {
        return;
    }
    gettimeofday(&tv, NULL);
    gmtime_r(&tv.tv_sec, &tm);
    size_t n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
    n += (size_t)snprintf(line + n, sizeof(line) - n,
                          ".%03dZ %s %s: ", (int)(tv.tv_usec / 1000),
                          tags[level], part);
    va_start(ap, fmt);
    vsnprintf(line + n, sizeof(line) - n, fmt, ap);
    va_end(ap);
    log4c_category_log(lg_category, priority_of(level), "%s", line);
}
