/*
 * duration - parser of durations with a unit.
 */
#ifndef MIMOSA_DURATION_H
#define MIMOSA_DURATION_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Parses a duration such as "1500ms" or "2.5s" into microseconds.  Returns
 * false when the number or the unit is invalid or the duration exceeds a day.
 */
bool duration_parse(Str text, int64_t *us);

#endif
