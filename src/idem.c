/* idem - idempotency records.  See idem.h. */
#include "idem.h"

#include <string.h>

#include <rpc/rpc.h>

#include "hash.h"
#include "inv.h"

#define JOURNAL_MAGIC 0x4D4D4A31u /* "MMJ1" */
#define JOURNAL_HEAD_BYTES 8      /* magic, number of entries */
#define JOURNAL_ENTRY_BYTES 20    /* see xdr_rec() */

/* Greatest increase of the start of a tenure that does not mean a new tenure.
 * A range that is lost and acquired again has a tenure that begins at least
 * OWN_LAPSE_MS later; smaller steps come from the conversion to wall time. */
#define TENURE_SLACK_US (900 * INT64_C(1000))

typedef enum RecState {
    REC_RUNNING,
    REC_DONE,
    REC_NOT_RUN,
    REC_UNKNOWN
} RecState;

typedef struct Rec {
    Idem *owner;
    uint64_t key;
    RecState state;
    int attempt; /* highest attempt received */
    int status;
    GBytes *body;
    int64_t drop_wall_us; /* time to expire the record */
    bool journal_queued;  /* key is in the queue journal */
    bool ran;             /* a run was started, here or at an earlier owner */
    bool shared;          /* the tenure was interrupted during the run */
    GList expiry;         /* link in by_age */
    GList body_link;      /* link in bodies, while body is set */
} Rec;

typedef struct Range {
    bool owned;
    bool full;
    int64_t tenure_wall_us;
} Range;

struct Idem {
    IdemOpts o;
    GHashTable *recs; /* key -> Rec */
    GQueue by_age;    /* records, next to expire first */
    GQueue journal;   /* keys of records to write */
    GQueue bodies;    /* records with a body, oldest first */
    size_t body_bytes;
    Range ranges[KEY_RANGES];
    int64_t start_wall_us; /* first idem_begin() or idem_finish(); 0: none */
};

static void
drop_body(Rec *r)
{
    if (r->body != NULL) {
        g_queue_unlink(&r->owner->bodies, &r->body_link);
        r->owner->body_bytes -= g_bytes_get_size(r->body);
        g_bytes_unref(r->body);
        r->body = NULL;
    }
}

/* Keeps a body for replays.  Drops the oldest bodies above the total limit. */
static void
keep_body(Rec *r, GBytes *body)
{
    Idem *d = r->owner;

    if (body == NULL || g_bytes_get_size(body) > IDEM_BODY_BYTES) {
        return;
    }
    r->body = g_bytes_ref(body);
    r->body_link.data = r;
    g_queue_push_tail_link(&d->bodies, &r->body_link);
    d->body_bytes += g_bytes_get_size(body);
    while (d->body_bytes > IDEM_BODIES_BYTES_MAX) {
        drop_body(d->bodies.head->data);
    }
}

static void
rec_free(gpointer p)
{
    drop_body(p);
    g_free(p);
}

Idem *
idem_new(const IdemOpts *o)
{
    Idem *d = g_new0(Idem, 1);

    d->o = *o;
    d->recs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, rec_free);
    g_queue_init(&d->by_age);
    g_queue_init(&d->journal);
    g_queue_init(&d->bodies);
    return d;
}

void
idem_free(Idem *d)
{
    if (d == NULL) {
        return;
    }
    g_queue_clear_full(&d->journal, g_free);
    g_hash_table_destroy(d->recs);
    g_free(d);
}

uint64_t
idem_hash(Str service, Str key)
{
    return hash_mix(hash_str(service, 1), hash_str(key, 2));
}

int
idem_range(uint64_t key_hash)
{
    return (int)(key_hash % KEY_RANGES);
}

/*
 * Changes the not-run records of a range to unknown when the tenure ends.  A
 * not-run record lets a later attempt run, which is safe only while this VM
 * is the sole owner: another owner may have run the key in between.
 */
static void
invalidate_not_run(Idem *d, int range)
{
    for (GList *l = d->by_age.head; l != NULL; l = l->next) {
        Rec *r = l->data;
        if (idem_range(r->key) != range) {
            continue;
        }
        if (r->state == REC_NOT_RUN) {
            r->state = REC_UNKNOWN;
        }
        r->shared = r->state == REC_RUNNING;
    }
}

void
idem_set_ownership(Idem *d, int range, bool owned, bool full,
                   int64_t tenure_wall_us)
{
    Range *g = &d->ranges[range];
    int64_t tenure = owned ? MAX(tenure_wall_us, 0) : 0;
    /* A wall clock that steps back must not make the tenure begin earlier. */
    bool later = g->tenure_wall_us == 0
                     ? tenure > 0
                     : tenure > g->tenure_wall_us + TENURE_SLACK_US;
    bool ended = !owned || (tenure == 0 && g->tenure_wall_us > 0);
    bool interrupted = g->owned && (ended || later);

    if (interrupted) {
        invalidate_not_run(d, range);
    }
    if (interrupted || !g->owned) {
        g->tenure_wall_us = tenure;
    }
    g->owned = owned;
    g->full = full;
}

/* Greatest age of a first attempt that runs without a record.  The caller's
 * clock may be slow by the clock error; the rest is for the transmission. */
static int64_t
first_attempt_age_max_us(const Idem *d)
{
    return 2 * d->o.clock_error_us;
}

static Rec *
rec_add(Idem *d, uint64_t key, RecState st, int64_t now_wall_us)
{
    Rec *r = g_new0(Rec, 1);
    r->owner = d;

    r->key = key;
    r->state = st;
    r->drop_wall_us = now_wall_us + d->o.window_us + 2 * d->o.clock_error_us;
    r->expiry.data = r;
    g_hash_table_insert(d->recs, &r->key, r);
    g_queue_push_tail_link(&d->by_age, &r->expiry);
    return r;
}

static IdemDecision
decision(IdemAction act, IdemReason why)
{
    return (IdemDecision){act, why, 0, NULL};
}

static IdemDecision
begin_run(Rec *r, IdemReason why)
{
    INV("at_most_once", r->state == REC_NOT_RUN || r->state == REC_UNKNOWN,
        "key %016" G_GINT64_MODIFIER "x starts in state %d", r->key,
        (int)r->state);
    r->state = REC_RUNNING;
    r->ran = true;
    r->shared = false;
    return decision(IDEM_RUN, why);
}

/*
 * Decides on an attempt whose record is not-run.  An attempt above the highest
 * one received may run.  Others must not, because not-run has already been
 * reported to their caller.
 */
static IdemDecision
decide_not_run(const Range *g, Rec *r, int attempt)
{
    bool later = attempt > r->attempt;

    r->attempt = MAX(r->attempt, attempt);
    if (later && g->full && g->tenure_wall_us > 0) {
        return begin_run(r, IDEM_RECORD);
    }
    return decision(IDEM_NOT_RUN, IDEM_RECORD);
}

static IdemDecision
decide_by_record(const Range *g, Rec *r, int attempt)
{
    IdemDecision a;

    if (r->state == REC_NOT_RUN) {
        return decide_not_run(g, r, attempt);
    }
    r->attempt = MAX(r->attempt, attempt);
    switch (r->state) {
    case REC_RUNNING:
        return decision(IDEM_WAIT, IDEM_RECORD);
    case REC_DONE:
        a = decision(IDEM_REPLAY, IDEM_RECORD);
        a.status = r->status;
        a.body = r->body;
        return a;
    default:
        /* Unless a run was started, only the first attempt could have run,
         * and it has just arrived. */
        return attempt == 1 && !r->ran
                   ? decision(IDEM_NOT_RUN, IDEM_LATE_FIRST)
                   : decision(IDEM_UNKNOWN, IDEM_RECORD);
    }
}

static IdemDecision
decide_first(Idem *d, const IdemRequest *q, int64_t now_wall_us)
{
    Rec *r;

    if (g_hash_table_size(d->recs) >= d->o.records_max) {
        return decision(IDEM_NOT_RUN, IDEM_FULL);
    }
    r = rec_add(d, q->key, REC_UNKNOWN, now_wall_us);
    r->attempt = 1;
    return begin_run(r, IDEM_FIRST);
}

static IdemDecision
decide_resend(Idem *d, const Range *g, const IdemRequest *q,
              int64_t now_wall_us)
{
    int64_t since = MAX(g->tenure_wall_us, d->start_wall_us);
    bool clean = g->full && g->tenure_wall_us > 0 &&
                 since <= q->issued_wall_us - d->o.clock_error_us;
    Rec *r;

    if (clean && now_wall_us - q->issued_wall_us <=
                     first_attempt_age_max_us(d) + d->o.clock_error_us) {
        return decision(IDEM_UNKNOWN, IDEM_RESEND_EARLY);
    }
    /* Not-run would be wrong: an earlier attempt may arrive later, when there
     * is space for a record, and run. */
    if (g_hash_table_size(d->recs) >= d->o.records_max) {
        return decision(IDEM_UNKNOWN, IDEM_FULL);
    }
    r = rec_add(d, q->key, REC_UNKNOWN, now_wall_us);
    r->attempt = q->attempt;
    if (clean) {
        return begin_run(r, IDEM_RESEND_CLEAN);
    }
    return decision(IDEM_UNKNOWN, IDEM_RESEND_NO_RECORD);
}

IdemDecision
idem_begin(Idem *d, const IdemRequest *q, int64_t now_wall_us)
{
    const Range *g = &d->ranges[idem_range(q->key)];
    Rec *r;

    if (d->start_wall_us == 0) {
        d->start_wall_us = now_wall_us;
    }
    if (!g->owned) {
        return decision(IDEM_NOT_OWNER, IDEM_OWNERSHIP);
    }
    r = g_hash_table_lookup(d->recs, &q->key);
    if (r != NULL) {
        return decide_by_record(g, r, q->attempt);
    }
    int64_t age_us = now_wall_us - q->issued_wall_us;
    if (age_us >
        (q->attempt == 1 ? first_attempt_age_max_us(d) : d->o.window_us)) {
        return decision(q->attempt == 1 ? IDEM_NOT_RUN : IDEM_UNKNOWN,
                        IDEM_EXPIRED);
    }
    if (q->issued_wall_us > now_wall_us + d->o.clock_error_us) {
        return decision(q->attempt == 1 ? IDEM_NOT_RUN : IDEM_UNKNOWN,
                        IDEM_FUTURE);
    }
    if (q->attempt == 1) {
        return decide_first(d, q, now_wall_us);
    }
    return decide_resend(d, g, q, now_wall_us);
}

static void
journal_enqueue(Idem *d, Rec *r)
{
    if (!r->journal_queued) {
        r->journal_queued = true;
        g_queue_push_tail(&d->journal, g_memdup2(&r->key, sizeof(r->key)));
    }
}

IdemEnd
idem_finish(Idem *d, uint64_t key, IdemEnd end, int status, GBytes *body,
            int64_t now_wall_us)
{
    Rec *r = g_hash_table_lookup(d->recs, &key);

    if (d->start_wall_us == 0) {
        d->start_wall_us = now_wall_us;
    }
    if (r == NULL) {
        return end;
    }
    INV("not_run", end != IDEM_END_NOT_RUN || r->state != REC_DONE,
        "key %016" G_GINT64_MODIFIER "x is reported as not run but is done",
        key);
    if (r->state != REC_RUNNING) {
        return end;
    }
    switch (end) {
    case IDEM_END_DONE:
        r->state = REC_DONE;
        r->status = status;
        keep_body(r, body);
        journal_enqueue(d, r);
        return end;
    case IDEM_END_NOT_RUN:
        r->state = r->shared ? REC_UNKNOWN : REC_NOT_RUN;
        return end;
    default:
        r->state = REC_UNKNOWN;
        return end;
    }
}

void
idem_expire(Idem *d, int64_t now_wall_us)
{
    GList *l;

    while ((l = d->by_age.head) != NULL) {
        Rec *r = l->data;
        if (r->drop_wall_us > now_wall_us) {
            return;
        }
        g_queue_unlink(&d->by_age, l);
        if (r->state == REC_RUNNING) {
            r->drop_wall_us = now_wall_us + d->o.window_us;
            g_queue_push_tail_link(&d->by_age, l);
            continue;
        }
        g_hash_table_remove(d->recs, &r->key);
    }
}

size_t
idem_body_bytes(const Idem *d)
{
    return d->body_bytes;
}

size_t
idem_count(const Idem *d)
{
    return g_hash_table_size(d->recs);
}

/* Encodes or decodes an entry: key, state, status, highest attempt. */
static bool
xdr_rec(XDR *x, uint64_t *key, uint32_t *state, uint32_t *status,
        uint32_t *attempt)
{
    return xdr_uint64_t(x, key) && xdr_uint32_t(x, state) &&
           xdr_uint32_t(x, status) && xdr_uint32_t(x, attempt);
}

/* Writes up to n entries from the queue.  Returns the number written. */
static uint32_t
journal_entries(Idem *d, XDR *x, uint32_t n)
{
    uint32_t done = 0;

    while (done < n && !g_queue_is_empty(&d->journal)) {
        uint64_t *key = g_queue_pop_head(&d->journal);
        Rec *r = g_hash_table_lookup(d->recs, key);
        if (r != NULL && r->journal_queued) {
            uint32_t st = r->state, status = (uint32_t)r->status;
            uint32_t attempt = (uint32_t)r->attempt;
            xdr_rec(x, key, &st, &status, &attempt);
            r->journal_queued = false;
            done++;
        }
        g_free(key);
    }
    return done;
}

GBytes *
idem_journal_write(Idem *d, size_t max)
{
    uint32_t magic = JOURNAL_MAGIC;
    uint32_t n = g_queue_get_length(&d->journal);
    char *buf;
    XDR x;

    if (n == 0 || max < JOURNAL_HEAD_BYTES + JOURNAL_ENTRY_BYTES) {
        return NULL;
    }
    n = (uint32_t)MIN(n, (max - JOURNAL_HEAD_BYTES) / JOURNAL_ENTRY_BYTES);
    size_t size = JOURNAL_HEAD_BYTES + (size_t)n * JOURNAL_ENTRY_BYTES;
    buf = g_malloc0(size);
    xdrmem_create(&x, buf, (u_int)size, XDR_ENCODE);
    xdr_setpos(&x, JOURNAL_HEAD_BYTES);
    n = journal_entries(d, &x, n);
    size = xdr_getpos(&x);
    xdr_setpos(&x, 0);
    xdr_uint32_t(&x, &magic);
    xdr_uint32_t(&x, &n);
    xdr_destroy(&x);
    if (n == 0) {
        g_free(buf);
        return NULL;
    }
    return g_bytes_new_take(buf, size);
}

/* Adds a done record of an earlier owner.  A record that is running or done
 * here is not changed. */
static void
journal_add_done(Idem *d, uint64_t key, int status, int attempt, int64_t now)
{
    Rec *r = g_hash_table_lookup(d->recs, &key);

    if (r == NULL) {
        if (g_hash_table_size(d->recs) >= d->o.records_max) {
            return;
        }
        r = rec_add(d, key, REC_UNKNOWN, now);
    }
    if (r->state != REC_UNKNOWN && r->state != REC_NOT_RUN) {
        return;
    }
    r->state = REC_DONE;
    r->status = status;
    r->attempt = MAX(r->attempt, attempt);
    r->ran = true;
}

/* Checks all entries of a batch and, with apply, adds them as records. */
static bool
journal_pass(Idem *d, Str batch, bool apply, int64_t now_wall_us)
{
    uint32_t magic, n, state, status, attempt;
    uint64_t key;
    bool ok;
    XDR x;

    xdrmem_create(&x, (char *)batch.p, (u_int)batch.n, XDR_DECODE);
    ok = xdr_uint32_t(&x, &magic) && xdr_uint32_t(&x, &n) &&
         magic == JOURNAL_MAGIC &&
         (batch.n - JOURNAL_HEAD_BYTES) / JOURNAL_ENTRY_BYTES == n &&
         (batch.n - JOURNAL_HEAD_BYTES) % JOURNAL_ENTRY_BYTES == 0;
    for (uint32_t i = 0; ok && i < n; i++) {
        ok = xdr_rec(&x, &key, &state, &status, &attempt) &&
             state == REC_DONE && status >= 100 && status <= 999 &&
             attempt >= 1 && attempt <= INT32_MAX;
        if (ok && apply) {
            journal_add_done(d, key, (int)status, (int)attempt, now_wall_us);
        }
    }
    xdr_destroy(&x);
    return ok;
}

bool
idem_journal_read(Idem *d, Str batch, int64_t now_wall_us)
{
    if (batch.n < JOURNAL_HEAD_BYTES || batch.n > UINT32_MAX ||
        !journal_pass(d, batch, false, now_wall_us)) {
        return false;
    }
    return journal_pass(d, batch, true, now_wall_us);
}

const char *
idem_reason_name(IdemReason r)
{
    static const char *const names[] = {
        "first",     "resend-clean", "resend-no-record", "record",
        "expired",   "future",       "records-full",     "late-first",
        "ownership", "resend-early"};

    return (size_t)r < G_N_ELEMENTS(names) ? names[r] : "other";
}
