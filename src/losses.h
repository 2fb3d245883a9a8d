/*
 * losses - requests that were not served in time, counted from the log lines
 * of entry VMs.
 *
 * Each line about a request says how many requests it stands for, as the
 * number of lines is bounded.  Lines about requests that were served in time
 * count only in the total.  The module does no I/O and reads no clock.
 */
#ifndef MIMOSA_LOSSES_H
#define MIMOSA_LOSSES_H

#include <stdint.h>

#include <glib.h>

#include "str.h"

typedef struct Losses Losses;

Losses *losses_new(void);
void losses_free(Losses *l);

/* Starts the log of another VM.  Its region is not known before the line that
 * reports its start. */
void losses_next_vm(Losses *l);

/* Counts one line, without its end.  Lines of other parts are ignored, those
 * that cannot be read are counted. */
void losses_add(Losses *l, Str line);

/* Appends the tables: by region, service, rank and reason; by second and
 * reason; then the total, the dropped lines and the unreadable ones. */
void losses_text(const Losses *l, GString *out);

/* Appends a gnuplot script that draws the losses of each second by reason. */
void losses_plot(const Losses *l, GString *out);

#endif
