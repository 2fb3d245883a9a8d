/*
 * rt - the routes and services of one configuration.
 *
 * A table is built once and then only read.  Requests hold a reference, so
 * that a request keeps the configuration under which it was accepted.
 */
#ifndef MIMOSA_RT_H
#define MIMOSA_RT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "limits.h"
#include "str.h"

typedef struct RtService {
    char *name;
    uint64_t id; /* hash of the name */
    char *health_path;
    int max_conns; /* connections that a target takes, of all VMs */
    int64_t warmup_us;
    double cold_per_s; /* requests a second that a cold target bears */
} RtService;

typedef struct RtWeighted {
    int service; /* index in the table */
    double weight;
} RtWeighted;

typedef struct RtRoute {
    char *name;
    char *prefix;
    bool idempotent;
    bool sticky; /* a target that saw the object lately is faster */
    int rank;    /* 0: most urgent */
    int max_attempts;
    int64_t timeout_us; /* longest wait for an answer */
    int64_t target_us;  /* latency target */
    RtWeighted *weighted;
    int n_weighted;
    double weight_sum;
    char **home_regions; /* regions that may serve it; NULL: all */
} RtRoute;

typedef struct RtLimits {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_us; /* time for a whole head */
    int64_t idle_us; /* idle time of a caller's connection */
} RtLimits;

typedef struct RtTable RtTable;

RtTable *rt_new(uint64_t version);
RtTable *rt_ref(RtTable *t);
void rt_unref(RtTable *t);

uint64_t rt_version(const RtTable *t);
RtLimits *rt_limits(RtTable *t);

/* Both take over the strings of what they copy. */
int rt_add_service(RtTable *t, const RtService *s);
void rt_add_route(RtTable *t, Str host, const RtRoute *r);

int rt_find_service(const RtTable *t, Str name); /* -1: none */
int rt_n_services(const RtTable *t);
const RtService *rt_service(const RtTable *t, int i);

/* Route of the host with the longest prefix that begins the path, or NULL.
 * path: with or without its query. */
const RtRoute *rt_match(const RtTable *t, Str host, Str path);

/* Service of a request by the weights; hash: of the attempt, so that shares
 * hold also when few objects carry the load. */
const RtService *rt_choose_service(const RtTable *t, const RtRoute *r,
                                   uint64_t hash);

bool rt_region_allowed(const RtRoute *r, const char *region);

#endif
