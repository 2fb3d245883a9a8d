/* crash - requests that crash the upstreams that run them.  See crash.h. */
#include "crash.h"

#include <inttypes.h>

#include "bucket.h"
#include "hash.h"

#define ENTRIES_MAX 512
#define RETAIN_US 60000000 /* repeats of a request arrive within seconds */
/* The upstream may be found down shortly before the answer counts as lost. */
#define DOWN_LEAD_US 200000
#define CONFIRM_US 5000000 /* limit for finding the upstream down */
#define SEND_COUNT 4       /* heartbeats that include one crash */
/* Lines about the first crash of a fingerprint.  Most of these belong to
 * requests that were in flight beside the one that causes the crash. */
#define FIRST_CRASH_LINES_PER_S 20.0

typedef struct Entry {
    uint64_t fingerprint;
    uint64_t id;
    Ups *u;           /* NULL: received from another VM */
    uint64_t boot_ms; /* start of u when the answer was lost */
    int64_t at_us;    /* when the answer was lost or the crash received */
    bool confirmed;
    int n_sent;
} Entry;

typedef enum Count {
    COUNT_LOST,
    COUNT_CONFIRMED,
    COUNT_UNCONFIRMED,
    COUNT_SENT,
    COUNT_RECEIVED,
    COUNT_DROPPED,
    COUNTS
} Count;

static const char *const count_names[COUNTS] = {
    "lost_answers", "confirmed", "unconfirmed", "sent", "received", "dropped"};

struct Crashes {
    Dlog *log;
    Bucket lines[COUNTS];
    int unlogged[COUNTS]; /* events since the last line of their kind */
    GArray *entries;      /* Entry */
    int64_t counts[COUNTS];
};

Crashes *
crash_new(const CrashOpts *o)
{
    Crashes *c = g_new0(Crashes, 1);

    c->log = o->log;
    c->entries = g_array_new(FALSE, TRUE, sizeof(Entry));
    return c;
}

static Entry *
entry_at(const Crashes *c, guint i)
{
    return &g_array_index(c->entries, Entry, i);
}

static void
drop(Crashes *c, guint i)
{
    if (entry_at(c, i)->u != NULL) {
        ups_unref(entry_at(c, i)->u);
    }
    g_array_remove_index_fast(c->entries, i);
}

void
crash_free(Crashes *c)
{
    while (c->entries->len > 0) {
        drop(c, 0);
    }
    g_array_free(c->entries, TRUE);
    g_free(c);
}

uint64_t
crash_fingerprint(Str method, Str target, Str object, Str body)
{
    uint64_t h = hash_str(method, 1);

    h = hash_mix(h, hash_str(target, 2));
    h = hash_mix(h, hash_str(object, 3));
    return hash_mix(h, hash_str(body, 4));
}

static int
count_confirmed(const Crashes *c, uint64_t fingerprint)
{
    int n = 0;

    for (guint i = 0; i < c->entries->len; i++) {
        const Entry *x = entry_at(c, i);
        n += x->fingerprint == fingerprint && x->confirmed ? 1 : 0;
    }
    return n;
}

/* Counts an event and logs it.  Lines are limited while the fingerprint has
 * met no more than one crash. */
static void
note(Crashes *c, Count what, const Entry *x, const char *event, int64_t now_us)
{
    int n = count_confirmed(c, x->fingerprint);

    c->counts[what]++;
    if (c->log == NULL) {
        return;
    }
    if (n < 2 && !bucket_take(&c->lines[what], FIRST_CRASH_LINES_PER_S,
                              FIRST_CRASH_LINES_PER_S, now_us)) {
        c->unlogged[what]++;
        return;
    }
    dlog_event(c->log, DLOG_INFO, "crash",
               "event=%s fingerprint=%016" PRIx64 " crash=%016" PRIx64
               " upstream=%s age_ms=%" PRId64 " crashes=%d unlogged=%d",
               event, x->fingerprint, x->id, x->u == NULL ? "-" : x->u->id,
               (now_us - x->at_us) / 1000, n, c->unlogged[what]);
    c->unlogged[what] = 0;
}

/* Returns how the upstream of an entry was found down, or NULL. */
static const char *
confirmation(const Entry *x)
{
    if (x->u->connect_failed_us >= x->at_us - DOWN_LEAD_US) {
        return "confirmed_connect_failed";
    }
    if (x->u->boot_ms != x->boot_ms) {
        return "confirmed_restarted";
    }
    return x->u->state == UPS_GONE ? "confirmed_gone" : NULL;
}

/* Confirms entries whose upstream went down or restarted, and drops expired
 * ones. */
static void
review(Crashes *c, int64_t now_us)
{
    for (guint i = c->entries->len; i-- > 0;) {
        Entry *x = entry_at(c, i);
        int64_t age = now_us - x->at_us;
        const char *how = x->confirmed ? NULL : confirmation(x);
        if (how != NULL) {
            x->confirmed = true;
            note(c, COUNT_CONFIRMED, x, how, now_us);
        }
        if (!x->confirmed && age > CONFIRM_US) {
            note(c, COUNT_UNCONFIRMED, x, "not_confirmed", now_us);
            drop(c, i);
        }
        else if (age > RETAIN_US) {
            drop(c, i);
        }
    }
}

static bool
contains(const Crashes *c, uint64_t fingerprint, uint64_t id)
{
    for (guint i = 0; i < c->entries->len; i++) {
        if (entry_at(c, i)->fingerprint == fingerprint &&
            entry_at(c, i)->id == id) {
            return true;
        }
    }
    return false;
}

/* Returns false if the entry is known or there is no space. */
static bool
add(Crashes *c, const Entry *x, int64_t now_us)
{
    if (contains(c, x->fingerprint, x->id)) {
        return false;
    }
    if (c->entries->len >= ENTRIES_MAX) {
        note(c, COUNT_DROPPED, x, "dropped_table_full", now_us);
        return false;
    }
    g_array_append_val(c->entries, *x);
    return true;
}

void
crash_response_lost(Crashes *c, uint64_t fingerprint, Ups *u, int64_t now_us)
{
    Entry x = {.fingerprint = fingerprint,
               .id = hash_mix(u->key, u->boot_ms),
               .u = u,
               .boot_ms = u->boot_ms,
               .at_us = now_us};

    review(c, now_us);
    if (add(c, &x, now_us)) {
        ups_ref(u);
        note(c, COUNT_LOST, &x, "answer_lost", now_us);
    }
}

void
crash_receive(Crashes *c, const CrashUpdate *update, int64_t now_us)
{
    Entry x = {.fingerprint = update->fingerprint,
               .id = update->id,
               .at_us = now_us,
               .confirmed = true};

    if (add(c, &x, now_us)) {
        note(c, COUNT_RECEIVED, &x, "received", now_us);
    }
}

bool
crash_should_refuse(Crashes *c, uint64_t fingerprint, int64_t now_us)
{
    if (c->entries->len == 0) {
        return false;
    }
    review(c, now_us);
    return count_confirmed(c, fingerprint) >= CRASH_LIMIT;
}

int
crash_updates(Crashes *c, CrashUpdate *out, int max, int64_t now_us)
{
    int n = 0;

    review(c, now_us);
    for (guint i = 0; i < c->entries->len && n < max; i++) {
        Entry *x = entry_at(c, i);
        if (x->confirmed && x->n_sent < SEND_COUNT) {
            if (x->n_sent++ == 0) {
                note(c, COUNT_SENT, x, "sent", now_us);
            }
            out[n++] = (CrashUpdate){x->fingerprint, x->id};
        }
    }
    return n;
}

void
crash_metrics(const Crashes *c, GString *out)
{
    for (int i = 0; i < COUNTS; i++) {
        g_string_append_printf(out, "edge_crashes_%s_total %" PRId64 "\n",
                               count_names[i], c->counts[i]);
    }
    g_string_append_printf(out, "edge_crashes_kept %u\n", c->entries->len);
}
