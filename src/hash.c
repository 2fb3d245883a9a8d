/* hash - 64-bit hashes and weighted rendezvous ranking.  See hash.h. */
#include "hash.h"

#include <math.h>

#include <xxhash.h>

uint64_t
hash_str(Str s, uint64_t seed)
{
    return XXH3_64bits_withSeed(s.p == NULL ? "" : s.p, s.n, seed);
}

uint64_t
hash_mix(uint64_t a, uint64_t b)
{
    uint64_t v[2] = {a, b};

    return XXH3_64bits(v, sizeof(v));
}

double
hash_unit(uint64_t h)
{
    return (double)(h >> 11) * 0x1.0p-53;
}

double
hash_point(uint64_t key, uint64_t node)
{
    /* (h + 0.5) / 2^53 is never 0 or 1, where the logarithm of hash_score()
     * would be infinite or 0. */
    return ((double)(hash_mix(key, node) >> 11) + 0.5) * 0x1.0p-53;
}

double
hash_score(double point, double weight)
{
    return weight <= 0 ? 0 : -weight / log(point);
}

double
hash_rendezvous(uint64_t key, uint64_t node, double weight)
{
    return hash_score(hash_point(key, node), weight);
}
