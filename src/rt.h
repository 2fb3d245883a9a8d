/*
 * rt - routing table: the routes and services of one configuration.
 *
 * A table is built once and is read-only afterwards.  Each request holds a
 * reference, so it keeps the configuration under which it was first sent to an
 * upstream.
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
    int max_conns;     /* accepted by an upstream from all VMs together */
    int64_t warmup_us; /* time for which a started upstream is cold */
    double cold_per_s; /* requests per second that a cold upstream sustains */
} RtService;

/* A service that takes part of a route's requests. */
typedef struct RtWeighted {
    int service; /* index in the table */
    double weight;
} RtWeighted;

typedef struct RtRoute {
    char *name;
    char *prefix;
    bool idempotent;
    bool sticky; /* upstreams are faster with objects that they served
                    recently */
    int rank;    /* 0: most urgent */
    int max_attempts;
    int64_t timeout_us;        /* limit of the time until the answer */
    int64_t latency_target_us; /* latency target */
    RtWeighted *weighted;
    int n_weighted;
    double weight_sum;
    char **home_regions; /* regions that may serve it; NULL or empty: all */
} RtRoute;

typedef struct RtLimits {
    size_t head_bytes;
    size_t body_bytes;
    int64_t head_us; /* time limit for receiving a complete head */
    int64_t idle_us; /* idle limit of a caller's connection */
} RtLimits;

typedef struct RtTable RtTable;

RtTable *rt_new(uint64_t version);
RtTable *rt_ref(RtTable *t);
void rt_unref(RtTable *t);

uint64_t rt_version(const RtTable *t);
RtLimits *rt_limits(RtTable *t);

/* Both copy the struct and take ownership of its strings and arrays.
 * rt_add_service() returns the index of the service. */
int rt_add_service(RtTable *t, const RtService *s);
void rt_add_route(RtTable *t, Str host, const RtRoute *r);

/* Index of the service, or -1. */
int rt_find_service(const RtTable *t, Str name);
int rt_n_services(const RtTable *t);
const RtService *rt_service(const RtTable *t, int i);

/* The route of the host with the longest prefix of the path, or NULL.  host
 * may end with a port and path with a query; both are ignored. */
const RtRoute *rt_match(const RtTable *t, Str host, Str path);

/* Chooses the service of a request by the weights of the route.  hash is that
 * of the attempt and not of the object, so that the shares are kept even when
 * few objects make up most of the load. */
const RtService *rt_choose_service(const RtTable *t, const RtRoute *r,
                                   uint64_t hash);

/* True when the route may be served in the region. */
bool rt_region_allowed(const RtRoute *r, const char *region);

#endif
