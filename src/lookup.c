/* lookup - selects entry VMs for a caller.  See lookup.h. */
#include "lookup.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "hash.h"

#define SHARE_MIN 1e-9 /* smaller shares of a zone count as zero */

typedef struct IndexVm {
    uint64_t hash;
    double inverse_weight;
    int vm;
} IndexVm;

/* The usable VMs of a site are contiguous in LookupIndex.vms, and the sites
 * of a zone are contiguous in LookupIndex.sites. */
typedef struct IndexSite {
    uint64_t hash;
    double inverse_weight; /* 1 / sum of the weights of its VMs */
    int site;
    int first; /* index of its first VM in LookupIndex.vms */
    int end;   /* index after its last VM */
} IndexSite;

struct LookupIndex {
    int n_zones;
    int first_site[ZONES_MAX + 1]; /* per zone, index into sites */
    IndexVm *vms;
    IndexSite *sites;
};

static bool
is_usable(const LookupVm *v, int n_zones)
{
    return v->live && !v->leaving && v->weight > 0 && v->zone >= 0 &&
           v->zone < n_zones;
}

static int
compare_by_site(gconstpointer a, gconstpointer b, gpointer ctx)
{
    const LookupVm *vms = ctx;
    const LookupVm *x = &vms[((const IndexVm *)a)->vm];
    const LookupVm *y = &vms[((const IndexVm *)b)->vm];

    if (x->zone != y->zone) {
        return x->zone - y->zone;
    }
    if (x->site != y->site) {
        return x->site - y->site;
    }
    return ((const IndexVm *)a)->vm - ((const IndexVm *)b)->vm;
}

LookupIndex *
lookup_index_new(const LookupVm *vms, int n_vms, int n_zones)
{
    LookupIndex *x = g_new0(LookupIndex, 1);
    int n = 0;
    int n_sites = 0;
    double sum = 0;
    int zone = 0;

    x->n_zones = CLAMP(n_zones, 0, ZONES_MAX);
    x->vms = g_new(IndexVm, n_vms + 1);
    x->sites = g_new(IndexSite, n_vms + 1);
    for (int i = 0; i < n_vms; i++) {
        if (is_usable(&vms[i], x->n_zones)) {
            x->vms[n++] = (IndexVm){vms[i].hash, 1 / vms[i].weight, i};
        }
    }
    g_qsort_with_data(x->vms, n, sizeof(IndexVm), compare_by_site,
                      (gpointer)vms);
    for (int i = 0; i < n; i++) {
        const LookupVm *v = &vms[x->vms[i].vm];
        const LookupVm *prev = i > 0 ? &vms[x->vms[i - 1].vm] : NULL;

        if (prev == NULL || prev->zone != v->zone || prev->site != v->site) {
            while (zone <= v->zone) {
                x->first_site[zone++] = n_sites;
            }
            x->sites[n_sites++] =
                (IndexSite){hash_mix((uint64_t)v->zone, (uint64_t)v->site), 0,
                            v->site, i, i};
        }
        sum = x->sites[n_sites - 1].first == i ? 0 : sum;
        sum += v->weight;
        x->sites[n_sites - 1].inverse_weight = 1 / sum;
        x->sites[n_sites - 1].end = i + 1;
    }
    while (zone <= x->n_zones) {
        x->first_site[zone++] = n_sites;
    }
    return x;
}

void
lookup_index_free(LookupIndex *x)
{
    if (x == NULL) {
        return;
    }
    g_free(x->vms);
    g_free(x->sites);
    g_free(x);
}

/*
 * Combines two hashes.  Both inputs are well distributed, so the finalizer of
 * MurmurHash3 (Appleby 2011) on their XOR is sufficient.  It is inlined and
 * costs a third of a call of XXH3.
 */
static inline uint64_t
mix(uint64_t a, uint64_t b)
{
    uint64_t x = a ^ b;

    x = (x ^ x >> 33) * 0xff51afd7ed558ccdULL;
    x = (x ^ x >> 33) * 0xc4ceb9fe1a85ec53ULL;
    return x ^ x >> 33;
}

/*
 * Approximates the logarithm to base 2 by a polynomial of the mantissa, with
 * an error below 1e-5.  This is accurate enough for the weights, and the code
 * has no branch.
 */
static inline double
log2_approx(double u)
{
    uint64_t bits;
    double m;

    memcpy(&bits, &u, sizeof(bits));
    int exponent = (int)(bits >> 52) - 1023;

    bits = (bits & 0xfffffffffffffULL) | 0x3ff0000000000000ULL;
    memcpy(&m, &bits, sizeof(m));
    double x = m - 1;
    double p = -0.02584144982967;

    p = p * x + 0.121797910687826;
    p = p * x - 0.27790423437157;
    p = p * x + 0.45754919692582;
    p = p * x - 0.7181452567504;
    p = p * x + 1.4425449435951;
    return exponent + p * x;
}

/* Cost of a node (VM or site) for a block: the inverse of its rendezvous
 * score.  The node with the least cost is selected. */
static inline double
rendezvous_cost(uint64_t key, uint64_t hash, double inverse_weight)
{
    double u = ((double)(mix(key, hash) >> 11) + 0.5) * 0x1.0p-53;

    return -log2_approx(u) * inverse_weight;
}

static bool
zone_has_vm(const LookupIndex *x, int zone)
{
    return x->first_site[zone + 1] > x->first_site[zone];
}

/*
 * Selects a site of a zone for a block.  In the block's home zone this is the
 * block's own site if it has usable VMs; otherwise the site is selected by
 * rendezvous hashing.  Ranking the sites and then the VMs of one site takes
 * far fewer hashes than ranking all VMs of a zone.
 */
static const IndexSite *
pick_site(const LookupIndex *x, const LookupPlace *p, int zone)
{
    int best = x->first_site[zone];
    double least = INFINITY;

    for (int i = best; i < x->first_site[zone + 1]; i++) {
        const IndexSite *s = &x->sites[i];
        double c = rendezvous_cost(p->block_hash, s->hash, s->inverse_weight);

        best = c < least ? i : best;
        least = c < least ? c : least;
    }
    for (int i = x->first_site[zone];
         zone == p->zone && i < x->first_site[zone + 1]; i++) {
        best = x->sites[i].site == p->site ? i : best;
    }
    return &x->sites[best];
}

/* Selects a VM of a zone: first its site, then a VM of that site by
 * rendezvous hashing. */
static int
pick_vm(const LookupIndex *x, const LookupPlace *p, int zone)
{
    const IndexSite *s = pick_site(x, p, zone);
    int best = s->first;
    double least = INFINITY;

    for (int i = s->first; i < s->end; i++) {
        double c = rendezvous_cost(p->block_hash, x->vms[i].hash,
                                   x->vms[i].inverse_weight);

        best = c < least ? i : best;
        least = c < least ? c : least;
    }
    return x->vms[best].vm;
}

/*
 * Selects the serving zone of a block by its hash; over all blocks, each zone
 * gets its share of the row.  Each zone other than home is tested in turn with
 * its own hash, so that a change of one share moves few blocks of the other
 * zones.
 */
static int
pick_zone(const LookupView *v, int home, uint64_t hash)
{
    double left = 1;

    for (int z = 0; z < v->n_zones && left > SHARE_MIN; z++) {
        if (z == home || v->row[z] <= SHARE_MIN) {
            continue;
        }
        double share = v->row[z] / left;

        if (share >= 1 - SHARE_MIN ||
            hash_unit(hash_mix(hash, (uint64_t)z)) < share) {
            return z;
        }
        left -= v->row[z];
    }
    return home;
}

/* Next zone by latency from "zone" that has usable VMs, starting at position
 * *k of its list; -1 if there is none.  Advances *k past the result. */
static int
next_zone(const LookupIndex *x, const uint8_t *near, int zone, int *k)
{
    while (*k < x->n_zones) {
        int z = near[zone * x->n_zones + (*k)++];

        if (zone_has_vm(x, z)) {
            return z;
        }
    }
    return -1;
}

static bool
has_entry(const LookupAnswer *a, int vm)
{
    for (int i = 0; i < a->n; i++) {
        if (a->vm[i] == vm) {
            return true;
        }
    }
    return false;
}

/* Appends the best VMs of a zone that are not in the answer yet, until it has
 * LOOKUP_ENTRIES entries. */
static void
add_others(LookupAnswer *a, const LookupIndex *x, const LookupPlace *p,
           int zone)
{
    int from = x->sites[x->first_site[zone]].first;
    int end = x->sites[x->first_site[zone + 1] - 1].end;

    while (a->n < LOOKUP_ENTRIES) {
        int best = -1;
        double least = INFINITY;

        for (int i = from; i < end; i++) {
            double c = rendezvous_cost(p->block_hash, x->vms[i].hash,
                                       x->vms[i].inverse_weight);

            if (c < least && !has_entry(a, x->vms[i].vm)) {
                least = c;
                best = x->vms[i].vm;
            }
        }
        if (best < 0) {
            return;
        }
        a->vm[a->n++] = best;
    }
}

/* Adds one VM of each zone by latency from the serving zone, then more VMs of
 * the first of these zones. */
static void
fill_entries(LookupAnswer *a, const LookupPlace *p, const LookupIndex *x,
             const uint8_t *near)
{
    int k = 0;
    int first = -1;
    int z;

    while (a->n < LOOKUP_ENTRIES &&
           (z = next_zone(x, near, a->zone, &k)) >= 0) {
        first = first < 0 ? z : first;
        a->vm[a->n++] = pick_vm(x, p, z);
    }
    if (first < 0) {
        a->reason = LOOKUP_NO_VM;
        return;
    }
    if (a->reason == LOOKUP_OK && first != a->zone) {
        a->reason = LOOKUP_OTHER_ZONE;
    }
    if (a->n < LOOKUP_ENTRIES) {
        add_others(a, x, p, first);
    }
}

LookupAnswer
lookup_decide(const LookupPlace *p, const LookupView *v, const uint8_t *near,
              int own_zone)
{
    LookupAnswer a = {.reason = LOOKUP_OK};
    bool has_home = p->zone >= 0 && p->zone < v->n_zones;

    a.home = has_home ? p->zone : own_zone;
    if (!has_home) {
        a.reason = LOOKUP_NO_BLOCK;
    }
    /* v->row holds the shares for the home zone. */
    a.zone = pick_zone(v, a.home, p->block_hash);
    if (v->index != NULL) {
        fill_entries(&a, p, v->index, near);
    }
    else {
        LookupIndex *x = lookup_index_new(v->vms, v->n_vms, v->n_zones);

        fill_entries(&a, p, x, near);
        lookup_index_free(x);
    }
    bool stable =
        !v->moving && (a.reason == LOOKUP_OK || a.reason == LOOKUP_NO_BLOCK);

    a.lifetime_ms = stable ? LOOKUP_LIFETIME_MAX_MS : LOOKUP_LIFETIME_MIN_MS;
    return a;
}

void
lookup_zone_order(const Manifest *m, uint8_t *near)
{
    int n = m->n_zones;

    for (int z = 0; z < n; z++) {
        uint8_t *row = near + (size_t)z * (size_t)n;

        for (int i = 0; i < n; i++) {
            int64_t us = i == z ? -1 : manifest_latency_us(m, z, i);
            int k = i;

            while (k > 0 && us < (row[k - 1] == z ? -1
                                                  : manifest_latency_us(
                                                        m, z, row[k - 1]))) {
                row[k] = row[k - 1];
                k--;
            }
            row[k] = (uint8_t)i;
        }
    }
}

const char *
lookup_reason_name(LookupReason r)
{
    static const char *const names[] = {"ok", "other-zone", "no-block",
                                        "no-vm"};

    return names[r];
}
