/* lookup_table - maps addresses to blocks.  See lookup.h. */
#include "lookup.h"

#include <string.h>

#include <glib.h>

#include "hash.h"

/* Prefix lengths that group the addresses which no block covers, so that
 * callers of one network get the same hash. */
#define NO_BLOCK_BITS_IPV4 120 /* IPv4 /24 in the 128-bit form */
#define NO_BLOCK_BITS_IPV6 48

/* Maximum number of nested prefixes of one address: lengths 0 to 128. */
#define NESTED_MAX 129

/*
 * The blocks may be nested.  They are flattened to disjoint ranges, sorted by
 * address; each range stores the value of the longest prefix that covers it.
 * IPv4 and IPv6 have separate arrays, so that an IPv4 key takes only 4 bytes.
 */
typedef struct Key {
    uint64_t hi;
    uint64_t lo;
} Key;

typedef struct Value {
    uint64_t hash;
    int16_t zone; /* -1: no block */
    uint16_t site;
} Value;

/* Every SAMPLE-th key of IPv6 is copied to an array of its own, so that the
 * first steps of a binary search stay within the processor cache. */
#define SAMPLE 16

/* The ranges of IPv4 are indexed by the upper 16 bits of the address, so that
 * a search covers few ranges. */
#define BUCKET_BITS 16
#define BUCKETS (1u << BUCKET_BITS)

struct LookupTable {
    GArray *keys4;      /* uint32_t, first address of a range */
    GArray *values4;    /* Value */
    GArray *keys6;      /* Key */
    GArray *values6;    /* Value */
    uint32_t *buckets4; /* BUCKETS + 1 indexes into keys4 */
    GArray *samples6;   /* Key, every SAMPLE-th of keys6 */
};

static const Value no_block = {0, -1, 0};

static uint64_t
read_be(const uint8_t *p)
{
    uint64_t v = 0;

    for (int i = 0; i < 8; i++) {
        v = v << 8 | p[i];
    }
    return v;
}

static Key
key_of(const uint8_t addr[16])
{
    return (Key){read_be(addr), read_be(addr + 8)};
}

static bool
is_ipv4(Key k)
{
    return k.hi == 0 && k.lo >> 32 == 0xffff;
}

static int
key_cmp(Key a, Key b)
{
    if (a.hi != b.hi) {
        return a.hi < b.hi ? -1 : 1;
    }
    return a.lo < b.lo ? -1 : a.lo > b.lo;
}

static Key
prefix_start(Key k, int bits)
{
    if (bits <= 0) {
        return (Key){0, 0};
    }
    if (bits <= 64) {
        return (Key){bits == 64 ? k.hi : k.hi & ~(UINT64_MAX >> bits), 0};
    }
    return (Key){k.hi,
                 bits >= 128 ? k.lo : k.lo & ~(UINT64_MAX >> (bits - 64))};
}

/* Sets *out to the first key after a block.  Returns false if the block ends
 * at the last address. */
static bool
key_after(Key k, int bits, Key *out)
{
    Key f = prefix_start(k, bits);

    if (bits == 0) {
        return false;
    }
    if (bits <= 64) {
        out->hi = f.hi + (bits == 64 ? 1 : 1ULL << (64 - bits));
        out->lo = 0;
        return out->hi != 0;
    }
    out->lo = f.lo + (bits >= 128 ? 1 : 1ULL << (128 - bits));
    out->hi = f.hi + (out->lo == 0);
    return out->lo != 0 || out->hi != 0;
}

/* Appends a range that starts at k, or replaces the last range if it starts
 * there too. */
static void
append6(LookupTable *t, Key k, Value v)
{
    if (t->keys6->len > 0 &&
        key_cmp(g_array_index(t->keys6, Key, t->keys6->len - 1), k) == 0) {
        g_array_index(t->values6, Value, t->values6->len - 1) = v;
        return;
    }
    g_array_append_val(t->keys6, k);
    g_array_append_val(t->values6, v);
}

static int
block_cmp(gconstpointer a, gconstpointer b)
{
    const MfBlock *x = a;
    const MfBlock *y = b;
    /* Address bits after the prefix are ignored. */
    int d = key_cmp(prefix_start(key_of(x->addr), x->bits),
                    prefix_start(key_of(y->addr), y->bits));

    return d != 0 ? d : x->bits - y->bits;
}

static uint64_t
block_hash(Key first, int bits)
{
    return hash_mix(hash_mix(first.hi, first.lo), (uint64_t)bits);
}

/* Converts the sorted blocks, where a parent precedes its children, to
 * ranges.  A stack holds the blocks that cover the current address. */
static void
flatten(LookupTable *t, const MfBlock *blocks, size_t n)
{
    Value open[NESTED_MAX];
    Key end[NESTED_MAX];
    bool has_end[NESTED_MAX];
    int depth = 0;

    append6(t, (Key){0, 0}, no_block);
    for (size_t i = 0; i <= n; i++) {
        Key first = {0, 0};
        int bits = 0;

        if (i < n) {
            bits = blocks[i].bits;
            first = prefix_start(key_of(blocks[i].addr), bits);
        }
        while (depth > 0 && has_end[depth - 1] &&
               (i == n || key_cmp(end[depth - 1], first) <= 0)) {
            depth--;
            append6(t, end[depth], depth > 0 ? open[depth - 1] : no_block);
        }
        if (i == n || depth >= NESTED_MAX) {
            continue;
        }
        open[depth] =
            (Value){block_hash(first, bits), blocks[i].zone, blocks[i].site};
        has_end[depth] = key_after(first, bits, &end[depth]);
        append6(t, first, open[depth]);
        depth++;
    }
}

/* Index of the last key in [lo, hi) that is not greater than k; lo if all are
 * greater. */
static size_t
search6(const GArray *keys, Key k, size_t lo, size_t hi)
{
    while (hi - lo > 1) {
        size_t mid = lo + (hi - lo) / 2;

        if (key_cmp(g_array_index(keys, Key, mid), k) <= 0) {
            lo = mid;
        }
        else {
            hi = mid;
        }
    }
    return lo;
}

/* Moves the ranges of IPv4 from the common array to keys4 and values4. */
static void
split4(LookupTable *t)
{
    Key lo = {0, 0xffffULL << 32};
    Key hi = {0, 0x10000ULL << 32};
    size_t from = search6(t->keys6, lo, 0, t->keys6->len);
    size_t to = search6(t->keys6, hi, 0, t->keys6->len);
    Value at_end = g_array_index(t->values6, Value, to);

    for (size_t i = from; i <= to; i++) {
        Key k = g_array_index(t->keys6, Key, i);
        Value v = g_array_index(t->values6, Value, i);
        uint32_t a = key_cmp(k, lo) <= 0 ? 0 : (uint32_t)k.lo;

        if (key_cmp(k, hi) < 0) {
            g_array_append_val(t->keys4, a);
            g_array_append_val(t->values4, v);
        }
    }
    if (to > from) {
        /* Keep the range that starts before IPv4, and start a range for the
         * addresses after IPv4. */
        g_array_remove_range(t->keys6, (guint)from + 1, (guint)(to - from));
        g_array_remove_range(t->values6, (guint)from + 1, (guint)(to - from));
        g_array_insert_val(t->keys6, from + 1, hi);
        g_array_insert_val(t->values6, from + 1, at_end);
    }
    size_t pos = 0;

    for (uint32_t bucket = 0; bucket <= BUCKETS; bucket++) {
        while (pos < t->keys4->len &&
               (uint64_t)g_array_index(t->keys4, uint32_t, pos) <
                   (uint64_t)bucket << (32 - BUCKET_BITS)) {
            pos++;
        }
        t->buckets4[bucket] = (uint32_t)pos;
    }
}

LookupTable *
lookup_table_new(const MfBlock *blocks, size_t n)
{
    LookupTable *t = g_new0(LookupTable, 1);
    MfBlock *sorted = g_new(MfBlock, n + 1);

    t->keys4 = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    t->values4 = g_array_new(FALSE, FALSE, sizeof(Value));
    t->keys6 = g_array_new(FALSE, FALSE, sizeof(Key));
    t->values6 = g_array_new(FALSE, FALSE, sizeof(Value));
    t->samples6 = g_array_new(FALSE, FALSE, sizeof(Key));
    t->buckets4 = g_new0(uint32_t, BUCKETS + 1);
    if (n > 0) {
        memcpy(sorted, blocks, n * sizeof(*sorted));
        qsort(sorted, n, sizeof(*sorted), block_cmp);
    }
    flatten(t, sorted, n);
    split4(t);
    for (guint i = 0; i < t->keys6->len; i += SAMPLE) {
        g_array_append_val(t->samples6, g_array_index(t->keys6, Key, i));
    }
    g_free(sorted);
    return t;
}

void
lookup_table_free(LookupTable *t)
{
    if (t == NULL) {
        return;
    }
    g_array_free(t->keys4, TRUE);
    g_array_free(t->values4, TRUE);
    g_array_free(t->keys6, TRUE);
    g_array_free(t->values6, TRUE);
    g_array_free(t->samples6, TRUE);
    g_free(t->buckets4);
    g_free(t);
}

/* GArray doubles its capacity, so it holds at most twice its elements. */
size_t
lookup_table_bytes(const LookupTable *t)
{
    size_t n4 = t->keys4->len * (sizeof(uint32_t) + sizeof(Value));
    size_t n6 = t->keys6->len * (sizeof(Key) + sizeof(Value));

    return sizeof(*t) + (BUCKETS + 1) * sizeof(uint32_t) +
           2 * (n4 + n6 + t->samples6->len * sizeof(Key));
}

static Value
find4(const LookupTable *t, uint32_t a)
{
    uint32_t bucket = a >> (32 - BUCKET_BITS);
    size_t lo = t->buckets4[bucket];
    size_t hi = t->buckets4[bucket + 1];

    /* The range that covers a may start in an earlier bucket, hence lo - 1
     * below. */
    while (lo < hi) {
        size_t mid = lo + (hi - lo) / 2;

        if (g_array_index(t->keys4, uint32_t, mid) <= a) {
            lo = mid + 1;
        }
        else {
            hi = mid;
        }
    }
    return lo > 0 ? g_array_index(t->values4, Value, lo - 1) : no_block;
}

static Value
find6(const LookupTable *t, Key k)
{
    size_t from = SAMPLE * search6(t->samples6, k, 0, t->samples6->len);
    size_t to = MIN(from + SAMPLE, t->keys6->len);

    return g_array_index(t->values6, Value, search6(t->keys6, k, from, to));
}

LookupPlace
lookup_place(const LookupTable *t, const uint8_t addr[16])
{
    Key k = key_of(addr);
    bool ip4 = is_ipv4(k);
    Value v = ip4 ? find4(t, (uint32_t)k.lo) : find6(t, k);
    LookupPlace p = {v.zone, v.site, v.hash};

    if (v.zone < 0) {
        int bits = ip4 ? NO_BLOCK_BITS_IPV4 : NO_BLOCK_BITS_IPV6;

        p.block_hash = block_hash(prefix_start(k, bits), bits);
    }
    return p;
}
