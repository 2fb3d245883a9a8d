/*
 * hash - 64-bit hashes (xxHash XXH3) and weighted rendezvous ranking.
 */
#ifndef MIMOSA_HASH_H
#define MIMOSA_HASH_H

#include <stddef.h>
#include <stdint.h>

#include "str.h"

/* Hash of a string; other seeds give independent hashes. */
uint64_t hash_str(Str s, uint64_t seed);

/* Combines two hashes into one; the order matters. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/* Maps a hash to [0, 1). */
double hash_unit(uint64_t h);

/*
 * Score of a node for a key; the node with the highest score owns the key.
 * Source: weighted rendezvous hashing, Thaler and Ravishankar 1998, in the
 * logarithmic form -w / ln(u).  weight <= 0 gives 0.
 */
double hash_rendezvous(uint64_t key, uint64_t node, double weight);

/* The two steps of hash_rendezvous(): the hash of a key and a node, mapped to
 * (0, 1), and the score of that point.  The score rises with both arguments.
 */
double hash_point(uint64_t key, uint64_t node);
double hash_score(double point, double weight);

#endif
