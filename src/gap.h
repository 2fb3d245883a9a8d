/*
 * gap - finds the changes that a watch has missed because the store dropped
 * its history.
 *
 * Load it answers: a fleet of hundreds of VMs that all miss the same changes.
 * Copies of the store that may be old are read at a tenth of the price; the
 * store itself is read when they lag too far.
 */
#ifndef MIMOSA_GAP_H
#define MIMOSA_GAP_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "known.h"
#include "kv.h"

typedef struct GapOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    GRand *rnd;
    const char *prefix;
    int64_t notice_us; /* by then a change has to be known here */
    Known *known;
} GapOpts;

typedef struct Gap Gap;

Gap *gap_new(const GapOpts *o);
void gap_free(Gap *g);

/* From now on lists may be older than what is known. */
void gap_open(Gap *g);

/* Looks for all changes up to that revision; the gap must be open. */
void gap_fill(Gap *g, uint64_t to);

/* Ends the search: a list of the store itself makes it needless. */
void gap_close(Gap *g);

/* Calls made so far. */
int64_t gap_calls(const Gap *g);

#endif
