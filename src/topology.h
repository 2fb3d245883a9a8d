/*
 * topology - zones and regions of a deployment, as indexes.
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
    int region_of[ZONES_MAX];
} Topology;

/* Both return the index, or -1. */
int topology_zone(const Topology *p, Str name);
int topology_region(const Topology *p, Str name);

/* Adds a zone and, at its first zone, a region.  Returns the zone's index, or
 * -1 when a limit is reached or a name does not fit. */
int topology_add(Topology *p, Str zone, Str region);

#endif
