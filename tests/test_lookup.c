/* Tests of lookup: the block table against a linear search, and the selection
 * of VMs. */
#include "t.h"

#include <string.h>

#include <glib.h>

#include "hash.h"
#include "lookup.h"

static bool
covers(const MfBlock *b, const uint8_t *a)
{
    for (int i = 0; i < b->bits; i++) {
        if ((b->addr[i / 8] ^ a[i / 8]) >> (7 - i % 8) & 1) {
            return false;
        }
    }
    return true;
}

/* Random addresses that differ in few bits, so that many blocks are nested or
 * adjacent. */
static void
random_addr(GRand *rnd, uint8_t a[16])
{
    memset(a, 0, 16);
    if (g_rand_boolean(rnd)) {
        a[10] = a[11] = 0xff;
        a[12] = (uint8_t)(10 + g_rand_int_range(rnd, 0, 2));
        a[13] = (uint8_t)(g_rand_int(rnd) & 0x81);
        a[14] = (uint8_t)(g_rand_int(rnd) & 0xc1);
        a[15] = (uint8_t)(g_rand_int(rnd) & 0x03);
        return;
    }
    a[0] = g_rand_int_range(rnd, 0, 8) == 0 ? 0xff : 0x20;
    a[5] = (uint8_t)(g_rand_int(rnd) & 0x83);
    a[9] = (uint8_t)(g_rand_int(rnd) & 0x01);
    a[15] = (uint8_t)(g_rand_int(rnd) & 0x01);
}

/* Guards against a search that returns the wrong block if blocks are nested or
 * adjacent, of IPv4 or IPv6, or at either end of the address space. */
START_TEST(table_matches_linear_search)
{
    GRand *rnd = g_rand_new_with_seed(11);

    for (int round = 0; round < 60; round++) {
        MfBlock b[60] = {0};
        int n = g_rand_int_range(rnd, 0, 60);

        for (int i = 0; i < n; i++) {
            random_addr(rnd, b[i].addr);
            b[i].bits = (uint8_t)g_rand_int_range(rnd, i == 0 ? 0 : 1, 129);
            b[i].zone = (uint8_t)g_rand_int_range(rnd, 0, 6);
            b[i].site = (uint16_t)i;
        }
        LookupTable *t = lookup_table_new(b, (size_t)n);

        for (int k = 0; k < 400; k++) {
            uint8_t a[16];
            int best = -1;

            random_addr(rnd, a);
            for (int i = 0; i < n; i++) {
                if (covers(&b[i], a) &&
                    (best < 0 || b[i].bits > b[best].bits)) {
                    best = i;
                }
            }
            LookupPlace p = lookup_place(t, a);

            ck_assert_int_eq(p.zone >= 0, best >= 0);
            if (best >= 0) {
                /* If two blocks have the same prefix, either is correct. */
                ck_assert(covers(&b[p.site], a));
                ck_assert_int_eq(b[p.site].bits, b[best].bits);
                ck_assert_int_eq(p.zone, b[p.site].zone);
            }
        }
        lookup_table_free(t);
    }
    g_rand_free(rnd);
}
END_TEST

enum { ZONES = 3, VMS = 9 };

static const uint8_t near_zones[ZONES * ZONES] = {0, 1, 2, 1, 0, 2, 2, 1, 0};

static void
make_vms(LookupVm *vms)
{
    memset(vms, 0, sizeof(*vms) * VMS);
    for (int i = 0; i < VMS; i++) {
        vms[i] = (LookupVm){.hash = hash_mix(77, (uint64_t)i),
                            .zone = i / 3,
                            .live = true,
                            .weight = 1 + i % 2};
    }
}

static LookupAnswer
decide(const LookupVm *vms, const double *row, uint64_t hash, bool indexed)
{
    LookupIndex *x = indexed ? lookup_index_new(vms, VMS, ZONES) : NULL;
    LookupView v = {vms, VMS, ZONES, row, false, x};
    LookupPlace p = {0, 0, hash};
    LookupAnswer a = lookup_decide(&p, &v, near_zones, 0);

    lookup_index_free(x);
    return a;
}

/* Guards against answers that contain VMs which are shutting down or not live,
 * that contain VMs of one zone only, or that depend on whether the caller
 * supplies an index. */
START_TEST(answers_contain_usable_vms_of_several_zones)
{
    double row[ZONES] = {0.5, 0.3, 0.2};
    LookupVm vms[VMS];

    make_vms(vms);
    vms[0].leaving = true;
    vms[4].live = false;
    for (uint64_t h = 0; h < 2000; h++) {
        LookupAnswer a = decide(vms, row, hash_mix(h, 5), true);
        LookupAnswer b = decide(vms, row, hash_mix(h, 5), false);

        ck_assert_int_eq(a.n, 3);
        ck_assert_int_eq(vms[a.vm[0]].zone, a.zone);
        ck_assert_int_ne(vms[a.vm[1]].zone, a.zone);
        ck_assert_int_ne(vms[a.vm[2]].zone, vms[a.vm[1]].zone);
        for (int i = 0; i < a.n; i++) {
            ck_assert(a.vm[i] != 0 && a.vm[i] != 4);
            ck_assert_int_eq(a.vm[i], b.vm[i]);
        }
    }
}
END_TEST

/* Guards against a shift of 10% or the loss of one VM that moves more blocks
 * than the shares that have changed. */
START_TEST(shift_moves_only_changed_share)
{
    enum { N = 20000 };
    double before[ZONES] = {0.6, 0.3, 0.1};
    double after[ZONES] = {0.5, 0.4, 0.1};
    LookupVm vms[VMS];
    LookupVm vms_after_loss[VMS];
    int zones_changed = 0;
    int vms_changed = 0;

    make_vms(vms);
    make_vms(vms_after_loss);
    vms_after_loss[1].live = false;
    for (uint64_t h = 0; h < N; h++) {
        LookupAnswer a = decide(vms, before, hash_mix(h, 5), true);
        LookupAnswer b = decide(vms, after, hash_mix(h, 5), true);
        LookupAnswer c = decide(vms_after_loss, before, hash_mix(h, 5), true);

        zones_changed += a.zone != b.zone;
        vms_changed += a.vm[0] != c.vm[0];
        ck_assert(a.vm[0] == c.vm[0] || a.vm[0] == 1);
    }
    ck_assert_int_ge(zones_changed, N * 9 / 100);
    ck_assert_int_le(zones_changed, N * 13 / 100);
    ck_assert_int_gt(vms_changed, 0);
}
END_TEST

/* Guards against a reason or lifetime that does not match the situation: a
 * normal answer, no matching block, no usable VM in the serving zone or in any
 * zone. */
START_TEST(reasons_and_lifetimes_match_cause)
{
    double row[ZONES] = {1, 0, 0};
    LookupVm vms[VMS];
    LookupView v = {vms, VMS, ZONES, row, true, NULL};
    LookupPlace none = {-1, 0, 9};

    make_vms(vms);
    ck_assert_int_eq(decide(vms, row, 1, true).reason, LOOKUP_OK);
    ck_assert_int_eq(decide(vms, row, 1, true).lifetime_ms,
                     LOOKUP_LIFETIME_MAX_MS);
    LookupAnswer a = lookup_decide(&none, &v, near_zones, 0);

    ck_assert_int_eq(a.reason, LOOKUP_NO_BLOCK);
    ck_assert_int_eq(a.home, 0);
    ck_assert_int_eq(a.lifetime_ms, LOOKUP_LIFETIME_MIN_MS);
    for (int i = 0; i < 3; i++) {
        vms[i].live = false;
    }
    ck_assert_int_eq(decide(vms, row, 1, true).reason, LOOKUP_OTHER_ZONE);
    for (int i = 0; i < VMS; i++) {
        vms[i].leaving = true;
    }
    ck_assert_int_eq(decide(vms, row, 1, true).reason, LOOKUP_NO_VM);
}
END_TEST

T_MAIN("lookup", table_matches_linear_search,
       answers_contain_usable_vms_of_several_zones,
       shift_moves_only_changed_share, reasons_and_lifetimes_match_cause)
