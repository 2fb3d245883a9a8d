/*
 * retryafter - parses the header Retry-After of a response (RFC 9110 10.2.3).
 *
 * The value is a number of seconds, which may have a fraction, or an HTTP
 * date.  No I/O and no clock.
 */
#ifndef MIMOSA_RETRYAFTER_H
#define MIMOSA_RETRYAFTER_H

#include <stdint.h>

#include "h1.h"

#define RETRYAFTER_MAX_US 3600000000LL /* longer values count as this */

/*
 * Returns the time in us for which the response asks not to be called again;
 * of repeated headers, the longest.  0 if there is none, or if it is negative,
 * in the past or malformed.  wall_us: time since the epoch, for dates.
 */
int64_t retryafter_us(const H1 *resp, int64_t wall_us);

/* The same for one value. */
int64_t retryafter_parse(Str value, int64_t wall_us);

#endif
