/*
 * manifest - the operators' declaration of regions, zones, services, ranks,
 * targets and the limits on traffic shifts.
 *
 * The text is INI.  A Manifest is read-only after manifest_parse(); other
 * modules refer to its entries by index.  Rank 0 is the most urgent.
 */
#ifndef MIMOSA_MANIFEST_H
#define MIMOSA_MANIFEST_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "limits.h"
#include "str.h"

typedef struct MfRegion {
    char name[NAME_BYTES];
} MfRegion;

typedef struct MfZone {
    char name[NAME_BYTES];
    int region;
    /* A drain names the zone or its region.  Traffic moves away within the
     * service's shift_cap; the targets serve what has not moved yet. */
    bool draining;
} MfZone;

/* A link between two regions; the values apply in each direction. */
typedef struct MfLink {
    int a;
    int b;
    double mbit;        /* limit in each direction, shared by all traffic */
    int64_t latency_us; /* one way */
    double cost;        /* relative cost of a byte; 0 inside a region */
} MfLink;

typedef struct MfRank {
    char name[NAME_BYTES];
    double worth;        /* relative value of one request */
    int64_t deadline_us; /* default and maximum of a request */
    double floor;        /* share of slot time reserved in overload, 0 to 1 */
} MfRank;

typedef enum MfClass { MF_IDEMPOTENT, MF_ONCE } MfClass;

typedef struct MfService {
    char name[NAME_BYTES];
    MfClass class; /* of paths that match no rule in once_paths */
    int n_once_paths;
    char once_paths[PATH_RULES_MAX][PATH_PREFIX_BYTES];
    double
        shift_cap; /* maximum share of traffic shifted per interval, 0 to 1 */
    int64_t shift_interval_us; /* interval of shift_cap */
    int64_t warmup_us;         /* slow start of a cold target */
    int64_t service_us; /* expected service time until one is measured */
    double retry_ratio; /* retries and hedges per first attempt */
} MfService;

typedef struct MfTarget {
    char name[NAME_BYTES];
    int service;
    int zone;
    char address[ADDR_BYTES]; /* "IP:PORT" */
    int slots;
    int connections;
    bool draining; /* a drain names the target: no new requests */
} MfTarget;

/* A block of client addresses; the longest matching prefix wins. */
typedef struct MfBlock {
    uint8_t addr[16]; /* IPv4 as ::ffff:a.b.c.d */
    uint8_t bits;     /* prefix length in the 128-bit form */
    uint8_t zone;
    uint16_t site; /* index of the site within the zone; 0 by default */
} MfBlock;

typedef enum MfDrainKind {
    MF_DRAIN_TARGET,
    MF_DRAIN_ZONE,
    MF_DRAIN_REGION
} MfDrainKind;

typedef struct MfDrain {
    MfDrainKind kind;
    int index; /* of the target, zone or region */
} MfDrain;

typedef struct Manifest {
    char owner[NAME_BYTES];
    int n_regions, n_zones, n_links, n_ranks, n_services, n_targets, n_drains;
    size_t n_blocks;
    MfRegion regions[REGIONS_MAX];
    MfZone zones[ZONES_MAX];
    MfLink links[LINKS_MAX];
    MfRank ranks[RANKS_MAX]; /* most urgent first */
    MfService services[SERVICES_MAX];
    MfTarget *targets;
    MfBlock *blocks; /* sorted by prefix, parents before children */
    MfDrain drains[DRAINS_MAX];
    int64_t zone_latency_us; /* one way, between zones of a region */
} Manifest;

/*
 * Parses and checks a whole manifest.
 * Returns NULL on an error; its text names the group, the key, the value
 * found, the allowed values and the remedy.  Errors: ERR_SYNTAX, ERR_VALUE,
 * ERR_LIMIT.
 */
Manifest *manifest_parse(Str text, Err *e);

void manifest_free(Manifest *m);

/* Returns the canonical text; parsing it gives an equal manifest. */
GString *manifest_text(const Manifest *m);

/*
 * Appends one line per difference from a to b, which begins with "+", "-" or
 * "~".  Returns the number of lines, 0 if the manifests are equal.
 */
int manifest_diff(const Manifest *a, const Manifest *b, GString *out);

/* Adds or removes a drain by kind and name.  Edits the INI text in place,
 * which preserves comments and order.  Errors: ERR_NOT_FOUND if the manifest
 * does not declare the target, zone or region. */
bool manifest_set_drain(GString *text, MfDrainKind kind, const char *name,
                        bool on, Err *e);

/* Return the index of a name, or -1. */
int manifest_region(const Manifest *m, Str name);
int manifest_zone(const Manifest *m, Str name);
int manifest_rank(const Manifest *m, Str name);
int manifest_service(const Manifest *m, Str name);
int manifest_target(const Manifest *m, Str name);

/* Returns the class of a request path by the service's path rules. */
MfClass manifest_class(const MfService *s, Str path);

/* Return the one-way latency in us and the relative cost of a byte between two
 * zones. */
int64_t manifest_latency_us(const Manifest *m, int zone_a, int zone_b);
double manifest_cost(const Manifest *m, int zone_a, int zone_b);

/* Returns the link between two regions, or NULL if the regions are the same or
 * no link is declared. */
const MfLink *manifest_link(const Manifest *m, int region_a, int region_b);

/* Returns the number of slots of a service in a zone that plans may use.
 * Draining targets do not count, and a draining zone has none. */
int manifest_zone_slots(const Manifest *m, int service, int zone);

#endif
