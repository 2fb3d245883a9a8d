/* topology - indexes of the zones and regions of a deployment.
 * See topology.h. */
#include "topology.h"

static int
find_name(const char (*names)[NAME_BYTES], int n, Str name)
{
    for (int i = 0; i < n; i++) {
        if (str_eqz(name, names[i])) {
            return i;
        }
    }
    return -1;
}

int
topology_zone(const Topology *p, Str name)
{
    return find_name(p->zones, p->n_zones, name);
}

int
topology_region(const Topology *p, Str name)
{
    return find_name(p->regions, p->n_regions, name);
}

int
topology_add(Topology *p, Str zone, Str region)
{
    int z = topology_zone(p, zone);
    int r = topology_region(p, region);

    if (z >= 0) {
        return z;
    }
    if (p->n_zones == ZONES_MAX || (r < 0 && p->n_regions == REGIONS_MAX)) {
        return -1;
    }
    if (r < 0) {
        if (!str_copy(p->regions[p->n_regions], NAME_BYTES, region)) {
            return -1;
        }
        r = p->n_regions++;
    }
    if (!str_copy(p->zones[p->n_zones], NAME_BYTES, zone)) {
        return -1;
    }
    p->region_of[p->n_zones] = r;
    return p->n_zones++;
}
