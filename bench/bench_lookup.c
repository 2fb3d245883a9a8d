/*
 * bench_lookup - look-up decisions a second on one core and their memory, at
 * the size of two years ahead: 400,000 blocks, 12 zones, 120 sites, 400 VMs.
 */
#include "bench.h"


#define ZONES 12
#define SITES 120
#define NODES 400
#define BLOCKS_SMALL 40000
#define BLOCKS_LARGE 400000
#define BLOCKS_PLAIN 2000 /* of the baseline, which walks all blocks */
#define ADDRESSES 1000000
#define REPEATS 3

typedef struct Setup {
    size_t n_blocks;
    MfBlock *blocks;
    LookupTable *table;
    LookupVm *vms;
    LookupIndex *index;
    double row[ZONES];
    uint8_t near_zones[ZONES * ZONES];
    uint8_t (*addresses)[16];
} Setup;

/* Three of four blocks are IPv4 /24, the others IPv6 /48; one of ten has a
 * longer one inside. */
static void
make_block(MfBlock *b, size_t i, GRand *rnd, const MfBlock *before)
{
    memset(b, 0, sizeof(*b));
    b->zone = (uint8_t)(i % ZONES);
    b->site = (uint16_t)(i % (SITES / ZONES));
    if (before != NULL && i % 10 == 9) {
        *b = *before;
        b->bits = (uint8_t)(before->bits + 4);
        b->zone = (uint8_t)((i + 1) % ZONES);
        return;
    }
    if (i % 4 == 3) {
        b->addr[0] = 0x20;
        b->addr[1] = 0x01;
        for (int k = 2; k < 6; k++) {
            b->addr[k] = (uint8_t)g_rand_int(rnd);
        }
        b->bits = 48;
        return;
    }
    b->addr[10] = b->addr[11] = 0xff;
    for (int k = 12; k < 15; k++) {
        b->addr[k] = (uint8_t)g_rand_int(rnd);
    }
    b->bits = 120;
}

static void
setup(Setup *s, size_t n_blocks, uint32_t seed)
{
    GRand *rnd = g_rand_new_with_seed(seed);

    s->n_blocks = n_blocks;
    s->blocks = g_new(MfBlock, n_blocks);
    for (size_t i = 0; i < n_blocks; i++) {
        make_block(&s->blocks[i], i, rnd, i > 0 ? &s->blocks[i - 1] : NULL);
    }
    s->table = lookup_table_new(s->blocks, n_blocks);
    s->vms = g_new0(LookupVm, NODES);
    for (int i = 0; i < NODES; i++) {
        s->vms[i] = (LookupVm){.hash = hash_mix(seed, (uint64_t)i),
                               .zone = i % ZONES,
                               .site = i / ZONES % (SITES / ZONES),
                               .live = i % 50 != 0,
                               .leaving = i % 60 == 1,
                               .weight = 1 + g_rand_double(rnd)};
    }
    s->index = lookup_index_new(s->vms, NODES, ZONES);
    s->addresses = g_malloc(ADDRESSES * sizeof(*s->addresses));
    for (int i = 0; i < ADDRESSES; i++) {
        size_t b = (size_t)(g_rand_double(rnd) * (double)n_blocks);

        memcpy(s->addresses[i], s->blocks[b].addr, 16);
        s->addresses[i][15] = (uint8_t)g_rand_int(rnd);
    }
    for (int z = 0; z < ZONES; z++) {
        s->row[z] = z == 0 ? 0.7 : (z < 4 ? 0.1 : 0);
        for (int k = 0; k < ZONES; k++) {
            s->near_zones[z * ZONES + k] = (uint8_t)((z + k) % ZONES);
        }
    }
    g_rand_free(rnd);
}

static void
teardown(Setup *s)
{
    g_free(s->blocks);
    g_free(s->vms);
    g_free(s->addresses);
    lookup_index_free(s->index);
    lookup_table_free(s->table);
}

/* Decisions a second; the best of some repeats, as other work of the machine
 * only ever slows one down. */
static double
rate(const Setup *s, bool indexed, int n)
{
    LookupView v = {s->vms, NODES, ZONES,
                    s->row, false, indexed ? s->index : NULL};
    double best = 0;
    int64_t sum = 0;

    for (int r = 0; r < REPEATS; r++) {
        double from = bench_cpu_s();

        for (int i = 0; i < n; i++) {
            LookupPlace p = lookup_place(s->table, s->addresses[i]);
            LookupAnswer a = lookup_decide(&p, &v, s->near_zones, 0);

            sum += a.n > 0 ? a.vm[0] : -1;
        }
        best = fmax(best, n / (bench_cpu_s() - from));
    }
    /* Keeps the compiler from dropping the work. */
    printf("checksum: %" G_GINT64_FORMAT "\n", sum);
    return best;
}

static bool
covers(const MfBlock *b, const uint8_t *a)
{
    int whole = b->bits / 8;
    int rest = b->bits % 8;

    return memcmp(b->addr, a, (size_t)whole) == 0 &&
           (rest == 0 || (b->addr[whole] ^ a[whole]) >> (8 - rest) == 0);
}

/* Baseline: a walk over all blocks, of which there are few here. */
static double
rate_plain(uint32_t seed)
{
    enum { N = 20000 };
    Setup s;
    int64_t sum = 0;

    setup(&s, BLOCKS_PLAIN, seed);
    double from = bench_cpu_s();

    for (int i = 0; i < N; i++) {
        int best = -1;

        for (int k = 0; k < BLOCKS_PLAIN; k++) {
            if (covers(&s.blocks[k], s.addresses[i]) &&
                (best < 0 || s.blocks[k].bits > s.blocks[best].bits)) {
                best = k;
            }
        }
        sum += best;
    }
    double per_s = N / (bench_cpu_s() - from);

    printf("checksum: %" G_GINT64_FORMAT "\n", sum);
    teardown(&s);
    return per_s;
}

int
main(int argc, char **argv)
{
    uint32_t seed = bench_seed(argc, argv);
    Bench b = {0};
    Setup small;
    Setup large;
    char base[64];

    setup(&small, BLOCKS_SMALL, seed);
    setup(&large, BLOCKS_LARGE, seed);
    double at_small = rate(&small, true, ADDRESSES);
    double at_large = rate(&large, true, ADDRESSES);
    double walk = rate(&large, false, ADDRESSES / 100);
    double mb = (double)lookup_table_bytes(large.table) / 1e6;

    snprintf(base, sizeof(base), "no-index:%.3g,all-of-%d-blocks:%.3g", walk,
             BLOCKS_PLAIN, rate_plain(seed));
    bench_row(&b, "lookup.decisions_per_s", at_large, base, ">=1e6",
              at_large >= 1e6);
    bench_row(&b, "lookup.table_mb", mb, "records:11.2", "<=64", mb <= 64);
    snprintf(base, sizeof(base), "at-40000:%.3g", at_small);
    bench_row(&b, "lookup.rate_400000_over_40000", at_large / at_small, base,
              ">=0.9", at_large / at_small >= 0.9);
    teardown(&small);
    teardown(&large);
    return bench_end(&b);
}
