/*
 * ups - the upstreams that discovery reports, with their observed state.
 *
 * Discovery reports which upstreams exist, drain or are gone.  Answers to
 * requests show the load, the latency and the failure rate of each.  An
 * upstream is cold during the warm-up time after its start.  No sockets and no
 * clock: callers pass the time in microseconds.
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
    int64_t warmup_left_us; /* remaining time of the warm-up */
    uint64_t boot_ms;       /* wall time of its start; 0: not reported */
    uint64_t seq; /* number of the report, rises until the next start; 0: not
                     reported */
} UpsReport;

/* Attempts of one VM at an upstream within a short time, as sent to other
 * VMs. */
typedef struct UpsObservation {
    uint64_t key; /* of the upstream */
    int ok;       /* attempts that succeeded */
    int lost;     /* attempts that got no answer */
} UpsObservation;

typedef struct Ups {
    int refs;
    char *id;
    uint64_t key;      /* hash of the id */
    uint64_t service;  /* hash of the service's name */
    uint64_t join_seq; /* number of its join to the list, from 1; 0: none */
    uint64_t boot_ms;
    uint64_t seq; /* of the last report */
    int zone;
    int region;
    struct sockaddr_storage addr;
    int slots;
    UpsState state;
    int64_t missing_us; /* missing from discovery since; 0: not missing */
    int64_t report_us;  /* when the last report arrived */
    int64_t cold_until_us;
    int64_t connect_failed_us; /* last failure to connect; 0: none */
    int64_t wait_until_us;     /* it asked this VM to send nothing before */
    Bucket cold_bucket; /* this VM's share of requests while it is cold */

    int inflight;             /* requests of this VM */
    double other_load;        /* requests of other VMs, from the last answer */
    int64_t other_load_at_us; /* when the last answer with a load arrived */
    double fail_rate;         /* failure rate in [0, 1], moving average */
    int64_t fail_rate_at_us;
    double slowness; /* service time divided by the service's usual one */
    int64_t slowness_at_us;

    int lost_streak; /* consecutive attempts without an answer */
    int64_t lost_at_us;
    UpsObservation
        observed; /* by this VM since the last ups_take_observations() */

    double planned_load; /* load assigned by the plan being computed */
    bool former; /* it had left and is listed by a store that came back; it
                    gets no new work until it has reported */
    bool said_leaving;          /* an answer announced that it leaves, see
                                   ups_observe_leaving() */
    bool may_use_cold;          /* this VM may use it while it is cold */
    uint32_t cold_list_version; /* version of the list of VMs that may_use_cold
                                   is based on; 0: none */

    bool used;              /* this VM has sent it a request since its start */
    int64_t sent_us;        /* last request of this VM; 0: none */
    int64_t sent_before_us; /* the request before that; 0: none */
    int64_t checked_us;     /* last check whether it is down; 0: none */
    int64_t malformed_us;   /* last line about a malformed response; 0: none */
    int n_malformed;        /* malformed responses since that line */
    int64_t spare_us;       /* last spare connection opened; 0: none */
    int64_t spares_from_us; /* the first one since the last request */
    int64_t keep_us;   /* time for which an idle connection may be used, by its
                          last response; 0: not known */
    GQueue idle_conns; /* idle connections */
    int n_conns;       /* open connections */
} Ups;

typedef struct UpsSet UpsSet;

/* topology is borrowed.  gone_grace_us: time after a failed call to the store
 * for which upstreams that are missing from discovery are still used. */
UpsSet *ups_new(const Topology *topology, int64_t gone_grace_us);
void ups_free(UpsSet *s);

Ups *ups_ref(Ups *u);
void ups_unref(Ups *u);

/* What a report changed of an upstream. */
typedef enum UpsChange {
    UPS_SAME,
    UPS_ADDED,
    UPS_RESTARTED, /* other start or address: its connections are invalid */
    UPS_DRAIN_STARTED, /* it began to drain */
    UPS_DRAIN_ENDED,   /* it stopped draining */
    UPS_CHANGED,       /* it is cold again, or its number of slots changed */
    UPS_FORMER,        /* the report is earlier than one before, see
                          ups_begin_history() */
    UPS_UNKNOWN_ZONE   /* the report names an unknown zone and was ignored */
} UpsChange;

/* The store came back from an older copy.  For some time a report of a start
 * that is earlier than the last one does not undo it, and an upstream that had
 * left gets no new work. */
void ups_begin_history(UpsSet *s, int64_t now_us);

/* Adds or updates the upstream of a report. */
UpsChange ups_report(UpsSet *s, const UpsReport *r, int64_t now_us);

/* Marks an id as missing from discovery.  While calls to the store fail the
 * entry may reappear, so ups_expire() removes it only after the grace time. */
void ups_missing(UpsSet *s, Str id, int64_t now_us);

/* Records a failed call to the store, which starts the grace time anew. */
void ups_store_failed(UpsSet *s, int64_t now_us);

/* Once the grace time has passed, removes the missing upstreams and marks
 * them as gone.  Returns the count. */
int ups_expire(UpsSet *s, int64_t now_us);

/* Calls f for each upstream.  f may not add or remove any. */
void ups_each(UpsSet *s, void (*f)(void *ctx, Ups *u), void *ctx);

/* Starts or ends the drain of a zone: its upstreams get no new work. */
void ups_drain_zone(UpsSet *s, int zone, bool drained, int64_t now_us);
bool ups_zone_drained(const UpsSet *s, int zone);

/* The upstream, or NULL when it is unknown or gone. */
Ups *ups_find(const UpsSet *s, Str id);

/* Upstreams of a service.  An upstream joins again when its slots or its
 * region change, so that rankings derived from the list can be updated from
 * the joins alone. */
typedef struct UpsList {
    GPtrArray *members;      /* Ups; without those that are gone */
    GPtrArray *recent_joins; /* the latest joins in order, as references */
    uint64_t n_joined;       /* count of all joins */
} UpsList;

/* The list or the members of a service; NULL when it has never had any. */
const UpsList *ups_list(const UpsSet *s, uint64_t service);
const GPtrArray *ups_of_service(const UpsSet *s, uint64_t service);

/* Rises with each change of a list or of the usable upstreams. */
uint64_t ups_version(const UpsSet *s);

/* True when the upstream may get new work. */
bool ups_usable(const UpsSet *s, const Ups *u);

/* True while the upstream may be cold: by its own report, or because it may
 * have restarted since the report. */
bool ups_cold(const UpsSet *s, const Ups *u, int64_t warmup_us,
              int64_t now_us);

/* Estimate of the requests of all VMs at the upstream. */
double ups_load(const Ups *u, int64_t now_us);

/* Failure rate and slowness; they decay with the age of the observations to
 * 0 and 1. */
double ups_fail_rate(const Ups *u, int64_t now_us);
double ups_slowness(const Ups *u, int64_t now_us);

/* True when the last attempts of this and other VMs got no answer.  In a large
 * fleet each VM makes too few attempts for the averages to show it. */
bool ups_unresponsive(const Ups *u, int64_t now_us);

/*
 * Records that an answer of the upstream announced that it leaves; it gets no
 * new work.  The notice outlasts reports that still or again call it ready, as
 * these may be older, and the loss of its entry; it ends when the upstream has
 * restarted.  Returns true if the notice is new.
 */
bool ups_observe_leaving(UpsSet *s, Ups *u, int64_t now_us);

/* Records that the upstream asked this VM to send nothing for a time.  An
 * earlier, longer wait stands; it ends when the upstream has restarted. */
void ups_observe_wait(UpsSet *s, Ups *u, int64_t wait_us, int64_t now_us);

/*
 * Observations of this VM: the load that an answer reported, the end of an
 * attempt, a lost attempt, the service time divided by the service's usual
 * one, and a failure to connect.  An attempt is lost when its connection
 * broke, when the bytes received were no valid response, or when no answer
 * came in time although no request was queued at the upstream.  A refusal, or
 * an answer that was late because the request was queued, is not a lost
 * attempt.
 */
void ups_observe_load(Ups *u, int running, int waiting, int64_t now_us);
void ups_observe_end(Ups *u, bool ok, int64_t now_us);
void ups_observe_lost(Ups *u, int64_t now_us);
void ups_observe_latency(Ups *u, double ratio, int64_t now_us);
void ups_observe_connect_failure(Ups *u, int64_t now_us);

/*
 * Takes the observations of this VM since the last call, to be sent to other
 * VMs: in a large fleet one VM makes too few attempts at each upstream.
 * lost: takes those of upstreams with a lost attempt, else those of upstreams
 * with successful attempts only.  Returns the count, up to max.
 */
int ups_take_observations(UpsSet *s, bool lost, UpsObservation *out, int max);

/* Adds observations of another VM; counted like those of this one, up to a
 * limit for each message. */
void ups_receive_observation(UpsSet *s, const UpsObservation *seen,
                             int64_t now_us);

/* Counts the attempts that another VM has observed. */
void ups_count_observation(Ups *u, const UpsObservation *seen, int64_t now_us);

#endif
