/*
 * departed - upstreams that discovery no longer lists, with the number of the
 * last report of each.
 *
 * A store that comes back from an older copy lists again what had left since.
 * The number tells such a report from a new one of the same start.  No I/O and
 * no clock.
 */
#ifndef MIMOSA_DEPARTED_H
#define MIMOSA_DEPARTED_H

#include <stdint.h>

#include "str.h"

typedef struct Departed Departed;

Departed *departed_new(void);
void departed_free(Departed *d);

/* A start of an upstream has left; seq: number of its last report. */
void departed_add(Departed *d, const char *id, uint64_t boot_ms, uint64_t seq,
                  int64_t now_us);

/* Number of the last report of that start; 0: it has not left, or left over a
 * minute ago. */
uint64_t departed_seq(const Departed *d, Str id, uint64_t boot_ms);

#endif
