/*
 * routeuse - the requests handled last, for the record of a configuration that
 * took effect late.  Keeps a fixed number of them; does no I/O and reads no
 * clock.
 */
#ifndef MIMOSA_ROUTEUSE_H
#define MIMOSA_ROUTEUSE_H

#include <stdint.h>

#include <glib.h>

#include "str.h"

#define ROUTEUSE_REQUESTS 256
#define ROUTEUSE_ID_BYTES 40 /* with the terminator; longer ids are cut */

typedef struct RouteUse {
    struct {
        char id[ROUTEUSE_ID_BYTES];
        int64_t at_us;
    } used[ROUTEUSE_REQUESTS];
    uint64_t n; /* added so far */
} RouteUse;

/* A request was sent to an upstream, or refused for lack of a route.  id: the
 * id that the caller gave it. */
void routeuse_add(RouteUse *u, Str id, int64_t now_us);

/* Returns the number of requests since since_us, at most ROUTEUSE_REQUESTS,
 * and appends the ids of the first few to ids, separated by commas; "-" if
 * there are none. */
int routeuse_since(const RouteUse *u, int64_t since_us, GString *ids);

#endif
