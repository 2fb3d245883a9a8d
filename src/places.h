/*
 * places - zones and regions of a deployment, as indexes.
 */
#ifndef MIMOSA_PLACES_H
#define MIMOSA_PLACES_H

#include "limits.h"
#include "str.h"

typedef struct Places {
    int n_zones;
    int n_regions;
    char zones[ZONES_MAX][NAME_BYTES];
    char regions[REGIONS_MAX][NAME_BYTES];
    int region_of[ZONES_MAX];
} Places;

/* Both return the index, or -1. */
int places_zone(const Places *p, Str name);
int places_region(const Places *p, Str name);

/* Adds a zone and, at its first zone, a region.  Returns the zone's index, or
 * -1 when a limit is reached or a name does not fit. */
int places_add(Places *p, Str zone, Str region);

#endif
