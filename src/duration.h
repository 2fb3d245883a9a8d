/*
 * duration - times written as a number with its unit.
 */
#ifndef MIMOSA_DURATION_H
#define MIMOSA_DURATION_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Reads "1500ms" or "2.5s" into microseconds; false for anything else and
 * for more than a day. */
bool duration_parse(Str text, int64_t *us);

#endif
