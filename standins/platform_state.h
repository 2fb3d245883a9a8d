/*
 * platform_state - state of standin-platform: items, history, leases, watches
 * and targets.
 */
#ifndef MIMOSA_PLATFORM_STATE_H
#define MIMOSA_PLATFORM_STATE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answers.h"
#include "caller.h"
#include "evl.h"
#include "pf.h"
#include "platform_era.h"
#include "platform_sizes.h"

#define MAX_TARGETS 32
/* Interval of the checks of leases and target reports. */
#define REPORT_INTERVAL_US 500000
#define SLOW_DELAY_US 1000000           /* delay of the behaviour slow */
#define BUFFER_BYTES (64 * 1024 * 1024) /* of a listener, and of a body */
#define TARGET_SLOTS 4                  /* reported by each target */

typedef enum Mode {
    MODE_OK,
    MODE_BUSY,
    MODE_REFUSE,
    MODE_SILENT,
    MODE_FORGET,
    MODE_PARTIAL,
    MODE_WITHHOLD
} Mode;

static const char *const mode_names[] = {
    "ok", "busy", "refuse", "silent", "forget", "partial", "withhold"};

typedef struct Item {
    char *key;
    char *encoded; /* base64 of the value; NULL: removed */
    uint64_t rev;
    uint64_t lease;
} Item;

/* A change as it was stored, for watches. */
typedef struct Event {
    Item item;
    int64_t at_us;
} Event;

typedef struct Lease {
    uint64_t id;
    int64_t end_us;
    int64_t ttl_us;
} Lease;

/* A copy of the store, from which it can come back. */
typedef struct Backup {
    GPtrArray *items; /* Item */
    GArray *leases;   /* Lease */
    uint64_t rev;
    uint64_t last_lease_id;
} Backup;

typedef struct Watch {
    struct Platform *p;
    Caller *caller;
    char *prefix;
    uint64_t after_rev; /* changes after this revision are requested */
    EvlTimer timer;
} Watch;

typedef struct Target {
    struct Platform *p;
    char id[NAME_BYTES];
    char service[NAME_BYTES];
    char zone[NAME_BYTES];
    struct sockaddr_in addr;            /* listening address */
    struct sockaddr_in registered_addr; /* registered in the store */
    int seq;
    int arrived;      /* requests for this target */
    int served;       /* those of them that it accepted */
    bool leaving;     /* says so in all its responses */
    bool path_cut;    /* its responses may not arrive */
    uint64_t boot_ms; /* reported as its start */
    GHashTable *told; /* entry VM process -> Told, see platform_notice.h */
    char retry_after[NAME_BYTES]; /* if not empty, refuses all requests with
                                     this Retry-After */
    CallerSet *callers;           /* NULL while it is down */
    int crashes;
    EvlTimer start_timer; /* its next start after a crash */
} Target;

/* A response that is sent when the timer fires. */
typedef struct DelayedReply {
    Target *t;
    Caller *caller;
    char *id;
    EvlTimer timer;
} DelayedReply;

typedef struct Platform {
    Evl *loop;
    Mode mode;
    int64_t lag_us; /* age of the answers to Serializable lists */
    uint64_t rev;
    uint64_t last_lease_id;
    GPtrArray *items;  /* Item; latest of each key, also of removed keys */
    GPtrArray *copy;   /* Item; what lists with Serializable=1 hold, NULL: the
                          present items */
    uint64_t copy_rev; /* CurrentRev of these lists, 0: that of the store */
    uint64_t era;      /* sent with each answer of the store; 0: none is */
    Backup *backup;    /* see PUT /test/backup; NULL: none */
    GQueue *history;   /* Event; in order of revision */
    uint64_t lost_rev; /* newest change that the history no longer holds */
    GArray *leases;    /* Lease */
    GPtrArray *watches;
    GHashTable *runs;      /* attempt id -> number of runs */
    int n_endless;         /* responses without end that are being sent */
    int n_endless_begun;   /* all of them so far */
    char endless_kind[32]; /* of the responses of the store, empty for none */
    int late_after_notice; /* requests that broke a notice of leaving */
    int during_wait;       /* requests that broke a wait */
    Target targets[MAX_TARGETS];
    int n_targets;
    CallerSet *callers;
    EvlTimer report_timer;
} Platform;

static void
item_free(gpointer data)
{
    Item *i = data;

    g_free(i->key);
    g_free(i->encoded);
    g_free(i);
}

static void
respond(const Platform *p, Caller *c, int status, const char *body)
{
    char head[160];
    int n = snprintf(
        head, sizeof(head),
        "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n", status);

    if (p->era != 0) {
        snprintf(head + n, sizeof(head) - (size_t)n,
                 "Store-Era: %" G_GUINT64_FORMAT "\r\n", p->era);
    }
    caller_respond(c, str_of(head), body, strlen(body));
}

/* Returns a copy of the items. */
static GPtrArray *
copy_items(const GPtrArray *items)
{
    GPtrArray *out = g_ptr_array_new_with_free_func(item_free);

    for (guint i = 0; i < items->len; i++) {
        const Item *from = g_ptr_array_index(items, i);
        Item *it = g_new0(Item, 1);
        *it = *from;
        it->key = g_strdup(from->key);
        it->encoded = g_strdup(from->encoded);
        g_ptr_array_add(out, it);
    }
    return out;
}

#endif
