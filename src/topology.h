/*
 * topology - indexes of the zones and regions of a deployment.
 */
#ifndef MIMOSA_TOPOLOGY_H
#define MIMOSA_TOPOLOGY_H

#include "limits.h"
#include "str.h"

typedef struct Topology {
    int n_zones;
    int n_regions;
    char zones[ZONES_MAX][NAME_BYTES];
    char regions[REGIONS_MAX][NAME_BYTES];
    int region_of[ZONES_MAX]; /* region index of each zone */
} Topology;

/* Index of a zone or region, or -1 when the name is unknown. */
int topology_zone(const Topology *p, Str name);
int topology_region(const Topology *p, Str name);

/* Adds a zone, and its region if that is new.  Returns the zone's index, or -1
 * when a limit is reached or a name is too long.  A zone that exists keeps its
 * region. */
int topology_add(Topology *p, Str zone, Str region);

#endif
