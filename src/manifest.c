/* manifest - lookups in a parsed manifest.  See manifest.h. */
#include "manifest.h"

#include <string.h>

/* One-way latency and cost between regions without a declared link: high
 * enough that placement uses such a pair last. */
#define NO_LINK_LATENCY_US 1000000
#define NO_LINK_COST 1e6

void
manifest_free(Manifest *m)
{
    if (m != NULL) {
        g_free(m->targets);
        g_free(m->blocks);
        g_free(m);
    }
}

int
manifest_region(const Manifest *m, Str name)
{
    for (int i = 0; i < m->n_regions; i++) {
        if (str_eqz(name, m->regions[i].name)) {
            return i;
        }
    }
    return -1;
}

int
manifest_zone(const Manifest *m, Str name)
{
    for (int i = 0; i < m->n_zones; i++) {
        if (str_eqz(name, m->zones[i].name)) {
            return i;
        }
    }
    return -1;
}

int
manifest_rank(const Manifest *m, Str name)
{
    for (int i = 0; i < m->n_ranks; i++) {
        if (str_eqz(name, m->ranks[i].name)) {
            return i;
        }
    }
    return -1;
}

int
manifest_service(const Manifest *m, Str name)
{
    for (int i = 0; i < m->n_services; i++) {
        if (str_eqz(name, m->services[i].name)) {
            return i;
        }
    }
    return -1;
}

int
manifest_target(const Manifest *m, Str name)
{
    for (int i = 0; i < m->n_targets; i++) {
        if (str_eqz(name, m->targets[i].name)) {
            return i;
        }
    }
    return -1;
}

MfClass
manifest_class(const MfService *s, Str path)
{
    for (int i = 0; i < s->n_once_paths; i++) {
        if (str_starts(path, str_of(s->once_paths[i]))) {
            return MF_ONCE;
        }
    }
    return s->class;
}

const MfLink *
manifest_link(const Manifest *m, int region_a, int region_b)
{
    if (region_a == region_b) {
        return NULL;
    }
    for (int i = 0; i < m->n_links; i++) {
        const MfLink *l = &m->links[i];
        if ((l->a == region_a && l->b == region_b) ||
            (l->a == region_b && l->b == region_a)) {
            return l;
        }
    }
    return NULL;
}

int64_t
manifest_latency_us(const Manifest *m, int zone_a, int zone_b)
{
    int ra = m->zones[zone_a].region;
    int rb = m->zones[zone_b].region;

    if (zone_a == zone_b) {
        return 0;
    }
    if (ra == rb) {
        return m->zone_latency_us;
    }
    const MfLink *l = manifest_link(m, ra, rb);
    return l != NULL ? l->latency_us : NO_LINK_LATENCY_US;
}

double
manifest_cost(const Manifest *m, int zone_a, int zone_b)
{
    int ra = m->zones[zone_a].region;
    int rb = m->zones[zone_b].region;

    if (ra == rb) {
        return 0;
    }
    const MfLink *l = manifest_link(m, ra, rb);
    return l != NULL ? l->cost : NO_LINK_COST;
}

int
manifest_zone_slots(const Manifest *m, int service, int zone)
{
    int n = 0;

    if (m->zones[zone].draining) {
        return 0;
    }
    for (int i = 0; i < m->n_targets; i++) {
        const MfTarget *t = &m->targets[i];
        if (t->service == service && t->zone == zone && !t->draining) {
            n += t->slots;
        }
    }
    return n;
}
