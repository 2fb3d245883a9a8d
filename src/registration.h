/*
 * registration - this VM's own entry in the store, kept under a lease and
 * written again when it is lost.
 */
#ifndef MIMOSA_REGISTRATION_H
#define MIMOSA_REGISTRATION_H

#include <netinet/in.h>
#include <stdint.h>

#include "dlog.h"
#include "evl.h"
#include "kv.h"

typedef struct RegistrationOpts {
    Evl *loop;
    Dlog *log;
    const KvCodec *codec;
    struct sockaddr_in store;
    GRand *rnd;
    XferBacklog *backlog; /* see kv_share_backlog() */
    KvHist *history;      /* see kv_share_history() */
} RegistrationOpts;

typedef struct Registration Registration;

Registration *registration_new(const RegistrationOpts *o);
void registration_free(Registration *r);

/* Sets the entry and writes it.  It is written again when it changes or is
 * lost. */
void registration_set(Registration *r, const char *key, const char *value);

/* Call when a key was removed from the store; keys other than that of the
 * entry are ignored. */
void registration_removed(Registration *r, const char *key);

/* The store has begun another history, in which the entry and its lease are
 * gone, or the lease is another VM's: writes the entry with a new one. */
void registration_begin_history(Registration *r);

/* Time, on the clock of evl_boottime(), until which the lease of the entry
 * lasts even if no further call arrives; 0: there is no entry. */
int64_t registration_valid_until(const Registration *r);

/* Number of calls to the store so far. */
int64_t registration_calls(const Registration *r);

#endif
