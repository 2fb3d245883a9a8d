/*
 * ups - the upstreams that discovery reports, and what is known of each.
 *
 * Discovery says who exists, drains or is gone; answers say how loaded, how
 * fast and how sound an upstream is.  Pure: no sockets, no clock.
 */
#ifndef MIMOSA_UPS_H
#define MIMOSA_UPS_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include <glib.h>

#include "bucket.h"
#include "topology.h"
#include "rt.h"
#include "str.h"

typedef enum UpsState { UPS_READY, UPS_DRAINING, UPS_GONE } UpsState;

/* One report of discovery. */
typedef struct UpsReport {
    Str id;
    Str service;
    Str zone;
    struct sockaddr_storage addr;
    int slots;
    bool draining;
    int64_t warmup_left_us; /* how long it stays slow after its start */
    uint64_t boot_ms;       /* wall time of its start; 0: not told */
} UpsReport;

/* What a VM saw of an upstream within a short time. */
typedef struct UpsObservation {
    uint64_t key; /* of the upstream */
    int ok;       /* attempts that ended well ... */
    int lost;     /* ... and that got no answer */
} UpsObservation;

typedef struct Ups {
    int refs;
    char *id;
    uint64_t key;      /* hash of the id */
    uint64_t service;  /* hash of the service's name */
    uint64_t join_seq; /* its place among all that joined the list, from 1 */
    uint64_t boot_ms;
    int zone;
    int region;
    struct sockaddr_storage addr;
    int slots;
    UpsState state;
    int64_t missing_us; /* since when discovery lacks it; 0: it does not */
    int64_t report_us;  /* when the last report arrived */
    int64_t cold_until_us;
    int64_t down_us;    /* last time a connection could not be made */
    Bucket cold_bucket; /* this VM's share of requests while it is cold */

    int inflight;             /* requests of this VM */
    double other_load;        /* requests of other VMs, from the last answer */
    int64_t other_load_at_us; /* when that answer came */
    double fail_rate;         /* share of failures, moving average */
    int64_t fail_rate_at_us;
    double slowness; /* service time over the service's usual one */
    int64_t slowness_at_us;

    int lost_streak; /* attempts in a row that got no answer */
    int64_t lost_at_us;
    UpsObservation observed; /* by this VM since ups_take_observations() */

    double planned_load;        /* load that a plan under way has given it */
    bool may_use_cold;          /* this VM may use it while it is cold ... */
    uint32_t cold_list_version; /* ... by that list of VMs; 0: not known */

    bool used; /* this VM has sent it a request since its start */
    GQueue idle_conns;
    int n_conns;
} Ups;

typedef struct UpsSet UpsSet;

/* places is borrowed.  gone_grace_us: how long an entry that vanished around
 * a disturbance of the store is still used. */
UpsSet *ups_new(const Topology *places, int64_t gone_grace_us);
void ups_free(UpsSet *s);

Ups *ups_ref(Ups *u);
void ups_unref(Ups *u);

/* What a report changed. */
typedef enum UpsChange {
    UPS_SAME,
    UPS_ADDED,
    UPS_RESTARTED, /* the same id, another start: its connections are void */
    UPS_DRAIN_STARTED,
    UPS_DRAIN_ENDED,
    UPS_CHANGED, /* it is cold again, or has other slots */
    UPS_UNUSABLE /* the report names a zone that is not known */
} UpsChange;

UpsChange ups_report(UpsSet *s, const UpsReport *r, int64_t now_us);

/* Discovery lacks this id.  Around a disturbance of the store the entry may
 * come back; it is kept for the grace. */
void ups_missing(UpsSet *s, Str id, int64_t now_us);

/* A call to the store failed. */
void ups_store_failed(UpsSet *s, int64_t now_us);

/* Marks as gone what is missing for too long; returns how many. */
int ups_expire(UpsSet *s, int64_t now_us);

/* Calls f for each id; used to find entries that a list lacks. */
void ups_each(UpsSet *s, void (*f)(void *ctx, Ups *u), void *ctx);

void ups_drain_zone(UpsSet *s, int zone, bool drained, int64_t now_us);
bool ups_zone_drained(const UpsSet *s, int zone);

/* NULL: no such upstream, or it is gone. */
Ups *ups_find(const UpsSet *s, Str id);

/* Upstreams of a service.  One joins again when its slots or its region
 * change, so that what is derived from the list can follow the joins. */
typedef struct UpsList {
    GPtrArray *members;      /* Ups, gone ones excluded */
    GPtrArray *recent_joins; /* the last that joined, in order; referenced */
    uint64_t n_joined;       /* joins so far */
} UpsList;

/* NULL: none. */
const UpsList *ups_list(const UpsSet *s, uint64_t service);
const GPtrArray *ups_of_service(const UpsSet *s, uint64_t service);

/* Changes with each change of a list or of what may be used. */
uint64_t ups_version(const UpsSet *s);

/* True when new work may go there. */
bool ups_usable(const UpsSet *s, const Ups *u);

/* True while the upstream may be cold: as it says, or because it may have
 * started again since its last report. */
bool ups_cold(const UpsSet *s, const Ups *u, int64_t warmup_us,
              int64_t now_us);

/* Requests there, of all VMs, as far as this VM knows. */
double ups_load(const Ups *u, int64_t now_us);

/* Share of failures and slowness, faded by their age. */
double ups_fail_rate(const Ups *u, int64_t now_us);
double ups_slowness(const Ups *u, int64_t now_us);

/* True when the last attempts that are known of, by whatever VM, got no
 * answer: in a large fleet they are too few for the averages. */
bool ups_unresponsive(const Ups *u, int64_t now_us);

/* Observations of this VM.  An attempt is lost when no answer came though
 * none had to wait there; a refusal or an answer that queued is not. */
void ups_observe_load(Ups *u, int running, int waiting, int64_t now_us);
void ups_observe_end(Ups *u, bool ok, int64_t now_us);
void ups_observe_lost(Ups *u, int64_t now_us);
void ups_observe_latency(Ups *u, double ratio, int64_t now_us);
void ups_observe_down(Ups *u, int64_t now_us);

/* Observations of this VM since the last call, for other VMs; in a large
 * fleet one VM alone sees too little of each upstream.  lost: of upstreams
 * with a lost attempt, else of the others.  Returns the count. */
int ups_take_observations(UpsSet *s, bool lost, UpsObservation *out, int max);

/* Observations of another VM; counted like those of this one. */
void ups_receive_observation(UpsSet *s, const UpsObservation *seen,
                             int64_t now_us);

#endif
