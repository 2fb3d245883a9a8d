/*
 * load - request generator and response checker of mimosa-load.
 *
 * It follows the protocol of a caller: it queries look-up, caches the answer
 * for its lifetime, sends to the first entry, tries the next one if that
 * fails, and resends requests whose outcome is unknown.  Arrivals are
 * open-loop: a slow system does not reduce the rate.
 */
#ifndef MIMOSA_LOAD_H
#define MIMOSA_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <libsoup/soup.h>

#include "err.h"
#include "limits.h"
#include "manifest.h"

#define LOAD_FLOWS_MAX 64
#define LOAD_EXPECTS_MAX 32
#define LOAD_ADDRESSES_MAX 64

/* Stream of requests of one service, rank, class and client. */
typedef struct LoadFlow {
    char service[NAME_BYTES];
    char rank[NAME_BYTES];
    MfClass class;
    double rate; /* requests per second */
    char path[PATH_PREFIX_BYTES];
    char client[ADDR_BYTES];
    int64_t deadline_ms; /* 0: send none, so the rank's default applies */
    int64_t body_bytes;
    int64_t answer_bytes;
    int stat;        /* index into Load.stats */
    int cache;       /* index into Load.caches */
    int64_t next_us; /* time of the next arrival */
} LoadFlow;

/* Results of one service and rank, in requests unless stated otherwise.  At
 * the end of a run, sent = answered + not_run + unknown + wrong. */
typedef struct LoadStat {
    char service[NAME_BYTES];
    char rank[NAME_BYTES];
    int64_t sent;
    int64_t answered; /* complete response to this request, any status */
    int64_t not_run;
    int64_t unknown;
    int64_t wrong;      /* incomplete, of another request, or no outcome */
    int64_t failed;     /* answered with a status of 400 or more */
    int64_t cut;        /* attempts closed before a complete response */
    int64_t resent;     /* repeated attempts */
    int64_t refused;    /* sends that could not connect */
    int64_t twice;      /* of class once, but ran more than once */
    int64_t ran;        /* reported as not run, but ran */
    GArray *latency_us; /* int64_t, of the answered requests */
    GHashTable *not_run_reasons; /* reason -> count of not_run */
    GHashTable *unknown_reasons; /* reason -> count of unknown */
} LoadStat;

/* Cached look-up answer of one service and client. */
typedef struct LoadCache {
    char service[NAME_BYTES];
    char client[ADDR_BYTES];
    SoupSession *session; /* bound to the client's address if loopback */
    int n;                /* number of entries; 0: no answer yet */
    char entries[LOOKUP_ENTRIES][ADDR_BYTES];
    char home[NAME_BYTES];
    int64_t expires_us;     /* end of the lifetime */
    int64_t lookups;        /* answers received */
    bool lookup_pending;    /* a query is in flight */
    int next_lookup;        /* index into LoadOpts.lookups of the next query */
    int failed_lookups;     /* consecutive failed queries */
    GQueue queued_requests; /* Req, queued until an answer arrives */
} LoadCache;

typedef struct LoadOpts {
    int n_lookups;
    char lookups[LOAD_ADDRESSES_MAX][ADDR_BYTES];
    int n_upstreams; /* their runs are compared with the outcomes */
    char upstreams[LOAD_ADDRESSES_MAX][ADDR_BYTES];
    int n_flows;
    LoadFlow flows[LOAD_FLOWS_MAX];
    int n_expects;
    const char *expects[LOAD_EXPECTS_MAX];
    double seconds;
    uint32_t seed;
    int attempts; /* maximum per request; failed connects do not count */
} LoadOpts;

typedef struct Load {
    LoadOpts o;
    GMainLoop *loop;
    GRand *rnd;
    uint64_t run_id; /* part of each key, so that keys differ between runs */
    int64_t start_us;
    int64_t end_us; /* end of the arrivals */
    int n_stats;
    LoadStat stats[LOAD_FLOWS_MAX];
    int n_caches;
    LoadCache caches[LOAD_FLOWS_MAX];
    int64_t inflight; /* requests in flight */
    uint64_t next_id;
    GHashTable *keys; /* idempotency key -> LoadKey, of class once */
} Load;

/* Outcome that was reported for a request of class once. */
typedef struct LoadKey {
    int stat;
    bool not_run;
} LoadKey;

/* Parses "service=S,rank=R,rate=N[,class=once][,path=/P][,client=IP]
 * [,deadline=MS][,body=BYTES][,answer=BYTES]".  Errors: ERR_USAGE. */
bool load_flow_read(LoadFlow *f, const char *text, Err *e);

/* Initializes stats and caches, then sends for LoadOpts.seconds and waits
 * until all requests have ended, at most 30 s.  Requests that have not ended
 * then count as unknown. */
void load_run(Load *l);
void load_free(Load *l);

/* Starts one request of a flow; it ends asynchronously. */
void load_request(Load *l, const LoadFlow *f);

/* Fetches the runs of the upstreams and compares them with the reported
 * outcomes; sets twice and ran of the stats.  Errors: ERR_UNAVAILABLE if an
 * upstream does not report its runs. */
bool load_compare_runs(Load *l, Err *e);

/* Prints the results to standard output. */
void load_print(const Load *l);

/*
 * Checks a condition "[SERVICE.RANK.]FIELD OP NUMBER" with OP one of = <= >=;
 * without SERVICE.RANK it applies to the sum over all stats, or for latencies
 * to the maximum.  Fields: sent answered not_run unknown wrong failed cut
 * resent refused twice ran answered_pct p50_ms p99_ms max_ms.  Prints one
 * line.
 * Errors: ERR_USAGE if the condition is invalid.
 */
bool load_expect(const Load *l, const char *text, bool *holds, Err *e);

#endif
