/* crash - requests that crash the upstreams that run them.  See crash.h. */
#include "crash.h"

#include "hash.h"

#define ENTRIES_MAX 512
#define RETAIN_US 60000000 /* repeats of a request arrive within seconds */
/* The upstream may be found down shortly before the answer counts as lost. */
#define DOWN_LEAD_US 200000
#define CONFIRM_US 5000000 /* limit for finding the upstream down */
#define SEND_COUNT 4       /* heartbeats that include one crash */

typedef struct Entry {
    uint64_t fingerprint;
    uint64_t id;
    Ups *u;           /* NULL: received from another VM */
    uint64_t boot_ms; /* start of u when the answer was lost */
    int64_t at_us;    /* when the answer was lost or the crash received */
    bool confirmed;
    int n_sent;
} Entry;

struct Crashes {
    GArray *entries; /* Entry */
};

Crashes *
crash_new(void)
{
    Crashes *c = g_new0(Crashes, 1);

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

/* Confirms entries whose upstream went down or restarted, and drops expired
 * ones. */
static void
review(Crashes *c, int64_t now_us)
{
    for (guint i = c->entries->len; i-- > 0;) {
        Entry *x = entry_at(c, i);
        int64_t age = now_us - x->at_us;
        if (!x->confirmed && x->u != NULL) {
            x->confirmed =
                x->u->connect_failed_us >= x->at_us - DOWN_LEAD_US ||
                x->u->boot_ms != x->boot_ms || x->u->state == UPS_GONE;
        }
        if (age > RETAIN_US || (!x->confirmed && age > CONFIRM_US)) {
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

static void
add(Crashes *c, const Entry *x)
{
    if (c->entries->len < ENTRIES_MAX && !contains(c, x->fingerprint, x->id)) {
        g_array_append_val(c->entries, *x);
    }
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
    guint before = c->entries->len;
    add(c, &x);
    if (c->entries->len > before) {
        ups_ref(u);
    }
}

void
crash_receive(Crashes *c, const CrashUpdate *update, int64_t now_us)
{
    Entry x = {.fingerprint = update->fingerprint,
               .id = update->id,
               .at_us = now_us,
               .confirmed = true};

    add(c, &x);
}

bool
crash_should_refuse(Crashes *c, uint64_t fingerprint, int64_t now_us)
{
    int n = 0;

    if (c->entries->len == 0) {
        return false;
    }
    review(c, now_us);
    for (guint i = 0; i < c->entries->len; i++) {
        const Entry *x = entry_at(c, i);
        n += x->fingerprint == fingerprint && x->confirmed ? 1 : 0;
    }
    return n >= CRASH_LIMIT;
}

int
crash_updates(Crashes *c, CrashUpdate *out, int max, int64_t now_us)
{
    int n = 0;

    review(c, now_us);
    for (guint i = 0; i < c->entries->len && n < max; i++) {
        Entry *x = entry_at(c, i);
        if (x->confirmed && x->n_sent < SEND_COUNT) {
            x->n_sent++;
            out[n++] = (CrashUpdate){x->fingerprint, x->id};
        }
    }
    return n;
}
