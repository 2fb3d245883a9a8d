/*
 * load - the request generator and checker behind mimosa-load.
 *
 * It acts as callers do: it asks look-up, keeps the answer for its lifetime,
 * sends to the first entry, goes on to the next one when that fails, and
 * resends what ended unknown.  Arrivals are open-loop: a slow system does not
 * slow them down.
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

/* Requests of one service, rank, class and client. */
typedef struct LoadFlow {
    char service[NAME_BYTES];
    char rank[NAME_BYTES];
    MfClass class;
    double rate; /* per second */
    char path[PATH_PREFIX_BYTES];
    char client[ADDR_BYTES];
    int64_t deadline_ms; /* 0: the rank's default */
    int64_t body_bytes;
    int64_t answer_bytes;
    int stat;  /* index into stats */
    int cache; /* index into caches */
    int64_t next_us;
} LoadFlow;

/* Results of one service and rank.  sent = answered + not_run + unknown +
 * wrong at the end of a run. */
typedef struct LoadStat {
    char service[NAME_BYTES];
    char rank[NAME_BYTES];
    int64_t sent;
    int64_t answered; /* whole and its own, whatever the status */
    int64_t not_run;
    int64_t unknown;
    int64_t wrong;  /* not whole, not its own, or without an outcome */
    int64_t failed; /* of the answered: status over 399 */
    int64_t cut;    /* sends whose connection closed before a whole answer */
    int64_t resent;
    int64_t refused;             /* connections that were refused */
    int64_t twice;               /* once work that ran more than once */
    int64_t ran;                 /* told not-run, but it ran */
    GArray *latency_us;          /* of the answered ones */
    GHashTable *not_run_reasons; /* reason -> count, of not_run */
    GHashTable *unknown_reasons; /* reason -> count, of unknown */
} LoadStat;

/* A look-up answer that is kept for its lifetime. */
typedef struct LoadCache {
    char service[NAME_BYTES];
    char client[ADDR_BYTES];
    SoupSession *session; /* bound to the client's address on loopback */
    int n;
    char entries[LOOKUP_ENTRIES][ADDR_BYTES];
    char home[NAME_BYTES];
    int64_t expires_us;
    int64_t lookups;
    bool lookup_pending;
    int next_lookup;    /* look-up address to ask */
    int failed_lookups; /* addresses asked in a row without an answer */
    GQueue queued_requests;
} LoadCache;

typedef struct LoadOpts {
    int n_lookups;
    char lookups[LOAD_ADDRESSES_MAX][ADDR_BYTES];
    int n_upstreams; /* whose runs are compared with the outcomes */
    char upstreams[LOAD_ADDRESSES_MAX][ADDR_BYTES];
    int n_flows;
    LoadFlow flows[LOAD_FLOWS_MAX];
    int n_expects;
    const char *expects[LOAD_EXPECTS_MAX];
    double seconds;
    uint32_t seed;
    int attempts; /* sends of one request at most, refusals not counted */
} LoadOpts;

typedef struct Load {
    LoadOpts o;
    GMainLoop *loop;
    GRand *rnd;
    uint64_t run_id; /* part of the keys, so that two runs never share one */
    int64_t start_us;
    int64_t end_us; /* of the arrivals */
    int n_stats;
    LoadStat stats[LOAD_FLOWS_MAX];
    int n_caches;
    LoadCache caches[LOAD_FLOWS_MAX];
    int64_t inflight;
    uint64_t next_id;
    GHashTable *keys; /* of once work -> LoadKey */
} Load;

/* What the caller of once work was told. */
typedef struct LoadKey {
    int stat;
    bool not_run;
} LoadKey;

/* Reads "service=S,rank=R,rate=N[,class=once][,path=/P][,client=IP]
 * [,deadline=MS][,body=BYTES][,answer=BYTES]". */
bool load_flow_read(LoadFlow *f, const char *text, Err *e);

/* Makes stats and caches, then sends until the time is over and all requests
 * have ended. */
void load_run(Load *l);
void load_free(Load *l);

/* One request's life; load_request() starts it. */
void load_request(Load *l, const LoadFlow *f);

/* Asks the upstreams what they ran and compares it with what the callers were
 * told.  Returns false, with a message, when an upstream does not answer. */
bool load_compare_runs(Load *l, Err *e);

void load_print(const Load *l);

/*
 * Checks a condition "[SERVICE.RANK.]FIELD OP NUMBER" with OP one of = <= >=;
 * without SERVICE.RANK it holds for the sum (for latencies: the greatest) of
 * all.  Fields: sent answered not_run unknown wrong failed cut resent refused
 * twice ran answered_pct p50_ms p99_ms max_ms.  Prints one line.
 * Errors: ERR_USAGE when it cannot be read.
 */
bool load_expect(const Load *l, const char *text, bool *holds, Err *e);

#endif
