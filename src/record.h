/*
 * record - this VM's own entry in the store, kept under a lease and written
 * again when it is lost.
 */
#ifndef MIMOSA_RECORD_H
#define MIMOSA_RECORD_H

#include <netinet/in.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kv.h"

typedef struct RecordOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    GRand *rnd;
} RecordOpts;

typedef struct Record Record;

Record *record_new(const RecordOpts *o);
void record_free(Record *r);

/* Writes the entry, and again when it changes or is lost. */
void record_set(Record *r, const char *key, const char *value);

/* The store no longer has this key; other keys are ignored. */
void record_gone(Record *r, const char *key);

/* Calls made so far. */
int64_t record_calls(const Record *r);

#endif
