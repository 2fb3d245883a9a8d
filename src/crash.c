/* crash - requests that crash the upstreams that run them.  See crash.h. */
#include "crash.h"

#include <inttypes.h>

#include "bucket.h"
#include "crashout.h"
#include "crashtab.h"
#include "hash.h"

#define RETAIN_US 60000000 /* repeats of a request arrive within seconds */
/* A verdict lasts for VERDICT_US after the last refusal, so that a request
 * that is repeated for longer does not crash three more upstreams each time.
 */
#define VERDICT_US 60000000
#define VERDICT_MAX_US 600000000 /* after the first crash */
/* A verdict that is about to expire is not taken over again. */
#define VERDICT_REST_MIN_US 1000000
/* Later refusals by other VMs extend a verdict if they are later by this. */
#define RENEW_US 5000000
/* A verdict on a request that had been served before its crashes takes effect
 * late, so that VMs that have served it since can object. */
#define CONTEST_US 2000000
/* Such a verdict lasts only this long, as it may be wrong and nobody can serve
 * the request while it is in force. */
#define CONTESTED_VERDICT_US 10000000
/* The upstream may be found down shortly before the answer counts as lost. */
#define DOWN_LEAD_US 200000
#define CONFIRM_US 5000000 /* limit for finding the upstream down */
#define EXPIRE_US 1000000  /* between searches for expired entries */
/* Reports of one crash to each owner; the pause between them grows. */
#define REPORTS_MAX 3
#define RESEND_US 2000000
#define RESEND_FACTOR 3
/* Between objections to a verdict on a request that was served. */
#define OBJECT_US 100000
#define ANNOUNCE_VERDICTS_MAX 5 /* of a message */
/* Fingerprints served recently, by their lowest bits. */
#define SERVED_SLOTS 2048
/* Lines about the first crash of a fingerprint.  Most of these belong to
 * requests that were in flight beside the one that causes the crash. */
#define FIRST_CRASH_LINES_PER_S 20.0

typedef enum Count {
    COUNT_LOST,
    COUNT_CONFIRMED,
    COUNT_UNCONFIRMED,
    COUNT_SENT,
    COUNT_RECEIVED,
    COUNT_VERDICT,
    COUNT_REVOKED,
    COUNT_DROPPED,
    COUNTS
} Count;

static const char *const count_names[COUNTS] = {
    "lost_answers", "confirmed", "unconfirmed", "sent",
    "received",     "verdicts",  "revoked",     "dropped"};

typedef struct Served {
    uint64_t fingerprint;
    int64_t at_us;
} Served;

struct Crashes {
    CrashOpts o;
    Crashtab table;
    Served served[SERVED_SLOTS];
    Crashout *out;
    int64_t expired_us; /* last search for expired entries */
    bool awake;         /* crash_step() was asked for */
    int waiting; /* lost answers that were not confirmed in the last step, and
                    those since then */
    Bucket lines[COUNTS];
    int unlogged[COUNTS]; /* events since the last line of their kind */
    int64_t counts[COUNTS];
};

Crashes *
crash_new(const CrashOpts *o)
{
    Crashes *c = g_new0(Crashes, 1);

    c->o = *o;
    c->out = crashout_new(o->fns.send, o->ctx);
    crashtab_init(&c->table);
    return c;
}

void
crash_free(Crashes *c)
{
    crashout_free(c->out);
    crashtab_clear(&c->table);
    g_free(c);
}

void
crash_set_vms(Crashes *c, const PickVm *vms, int n, int self)
{
    crashout_set_vms(c->out, vms, n, self);
}

uint64_t
crash_fingerprint(Str method, Str target, Str object, Str body)
{
    uint64_t h = hash_str(method, 1);

    h = hash_mix(h, hash_str(target, 2));
    h = hash_mix(h, hash_str(object, 3));
    return hash_mix(h, hash_str(body, 4));
}

/* Counts an event and logs it.  Lines are limited while the fingerprint has
 * met no more than one crash.  x may be NULL. */
static void
note(Crashes *c, Count what, const CrashEntry *e, const Crash *x,
     const char *event, int64_t now_us)
{
    int n = crashtab_confirmed(e);

    c->counts[what]++;
    if (c->o.log == NULL) {
        return;
    }
    if (n < 2 && e->refused_us == 0 &&
        !bucket_take(&c->lines[what], FIRST_CRASH_LINES_PER_S,
                     FIRST_CRASH_LINES_PER_S, now_us)) {
        c->unlogged[what]++;
        return;
    }
    dlog_event(c->o.log, DLOG_INFO, "crash",
               "event=%s fingerprint=%016" PRIx64 " crash=%016" PRIx64
               " upstream=%s age_ms=%" PRId64 " crashes=%d unlogged=%d",
               event, e->fingerprint, x == NULL ? 0 : x->id,
               x == NULL || x->u == NULL ? "-" : x->u->id,
               x == NULL ? 0 : (now_us - x->at_us) / 1000, n,
               c->unlogged[what]);
    c->unlogged[what] = 0;
}

static CrashEntry *
get_entry(Crashes *c, uint64_t fingerprint, int64_t now_us)
{
    uint64_t dropped;
    CrashEntry *e = crashtab_get(&c->table, fingerprint, &dropped);

    if (dropped != 0) {
        CrashEntry old = {.fingerprint = dropped};
        note(c, COUNT_DROPPED, &old, NULL, "dropped_table_full", now_us);
    }
    crashtab_touch(&c->table, e);
    return e;
}

/* Asks for crash_step() soon. */
static void
wake(Crashes *c)
{
    if (!c->awake && c->o.fns.wake != NULL) {
        c->o.fns.wake(c->o.ctx);
    }
    c->awake = true;
}

static CrashVerdict
verdict_of(const CrashEntry *e, int64_t now_us)
{
    if (e->refused_us == 0) {
        return (CrashVerdict){.fingerprint = e->fingerprint,
                              .served = true,
                              .age_us = now_us - e->served_us,
                              .weight = e->weight};
    }
    return (CrashVerdict){.fingerprint = e->fingerprint,
                          .contested = e->contested,
                          .age_us = now_us - e->first_us,
                          .refused_us = now_us - e->refused_us,
                          .weight = e->weight};
}

static void
tell_owners(Crashes *c, const CrashEntry *e, int64_t now_us)
{
    CrashVerdict v = verdict_of(e, now_us);

    crashout_verdict(c->out, &v);
    wake(c);
}

static void
tell_region(Crashes *c, CrashEntry *e)
{
    crashtab_set_announce(&c->table, e, true);
    wake(c);
}

/* Time at which the request is known to be served last, 0 if it is not. */
static int64_t
served_at(const Crashes *c, const CrashEntry *e)
{
    const Served *s = &c->served[e->fingerprint % SERVED_SLOTS];

    return s->fingerprint == e->fingerprint ? MAX(s->at_us, e->served_us)
                                            : e->served_us;
}

/* Drops the crashes before the request was served, and a verdict that rests on
 * them.  Returns true if others have heard of these. */
static bool
clear(Crashes *c, CrashEntry *e, int64_t served_us, int64_t now_us)
{
    bool known = false;

    e->served_us = MAX(e->served_us, served_us);
    for (int i = e->n; i-- > 0;) {
        const Crash *x = &e->crashes[i];
        if (x->at_us <= served_us) {
            known = known || x->n_sent > 0 || !x->own;
            crashtab_drop_crash(e, i);
        }
    }
    if (e->refused_us != 0 && e->first_us <= served_us) {
        note(c, COUNT_REVOKED, e, NULL, "verdict_revoked", now_us);
        e->refused_us = 0;
        e->revoked = true;
        known = true;
    }
    return known;
}

/* refused_us: when the verdict was reached, or the last refusal. */
static void
start_verdict(Crashes *c, CrashEntry *e, int64_t refused_us, int64_t now_us)
{
    e->contested = e->contested || served_at(c, e) != 0;
    e->in_force_us = now_us + (e->contested ? CONTEST_US : 0);
    e->refused_us = refused_us;
    e->revoked = false;
    crashtab_set_known(&c->table, e);
}

/* Records that a VM had served the request before its crashes. */
static void
contest(CrashEntry *e, int64_t now_us)
{
    if (!e->contested) {
        e->contested = true;
        e->in_force_us = now_us + CONTEST_US;
    }
}

/* Reaches a verdict when the request met enough crashes. */
static void
judge(Crashes *c, CrashEntry *e, int64_t now_us)
{
    if (e->refused_us != 0 || crashtab_confirmed(e) < CRASH_LIMIT) {
        return;
    }
    e->first_us = now_us;
    for (int i = 0; i < e->n; i++) {
        if (e->crashes[i].confirmed) {
            e->first_us = MIN(e->first_us, e->crashes[i].at_us);
        }
    }
    start_verdict(c, e, now_us, now_us);
    note(c, COUNT_VERDICT, e, NULL, "verdict_reached", now_us);
    tell_owners(c, e, now_us);
    tell_region(c, e);
}

void
crash_response_lost(Crashes *c, uint64_t fingerprint, Ups *u, int64_t now_us)
{
    CrashEntry *e = get_entry(c, fingerprint, now_us);
    Crash *x = crashtab_add_crash(e, hash_mix(u->key, u->boot_ms));

    if (x == NULL) {
        return;
    }
    c->waiting++;
    wake(c);
    x->u = ups_ref(u);
    x->boot_ms = u->boot_ms;
    x->at_us = now_us;
    x->own = true;
    crashtab_set_busy(&c->table, e, true);
    note(c, COUNT_LOST, e, x, "answer_lost", now_us);
}

void
crash_served(Crashes *c, uint64_t fingerprint, int64_t now_us)
{
    c->served[fingerprint % SERVED_SLOTS] = (Served){fingerprint, now_us};
    CrashEntry *e = crashtab_find(&c->table, fingerprint);
    if (e != NULL && clear(c, e, now_us, now_us)) {
        tell_owners(c, e, now_us);
    }
}

static bool
has_expired(const CrashEntry *e, int64_t now_us)
{
    if (e->contested) {
        return now_us - e->in_force_us > CONTESTED_VERDICT_US;
    }
    return now_us - e->refused_us > VERDICT_US ||
           now_us - e->first_us > VERDICT_MAX_US;
}

bool
crash_should_refuse(Crashes *c, uint64_t fingerprint, int64_t now_us)
{
    CrashEntry *e = crashtab_find(&c->table, fingerprint);

    if (e == NULL || e->refused_us == 0 || now_us < e->in_force_us ||
        has_expired(e, now_us)) {
        return false;
    }
    e->refused_us = now_us;
    crashtab_set_weight(&c->table, e, e->weight + 1);
    return true;
}

/* Returns how the upstream was found down, or NULL. */
static const char *
confirmation(const Crash *x)
{
    if (x->u->connect_failed_us >= x->at_us - DOWN_LEAD_US) {
        return "confirmed_connect_failed";
    }
    if (x->u->boot_ms != x->boot_ms) {
        return "confirmed_restarted";
    }
    return x->u->state == UPS_GONE ? "confirmed_gone" : NULL;
}

static void
confirm(Crashes *c, CrashEntry *e, Crash *x, const char *how, int64_t now_us)
{
    x->confirmed = true;
    e->weight++;
    note(c, COUNT_CONFIRMED, e, x, how, now_us);
    ups_unref(x->u);
    x->u = NULL;
}

/* Confirms a crash, or returns false if it is to be dropped. */
static bool
review(Crashes *c, CrashEntry *e, Crash *x, int64_t now_us)
{
    const char *how = x->confirmed ? NULL : confirmation(x);

    if (how != NULL) {
        confirm(c, e, x, how, now_us);
    }
    if (!x->confirmed && now_us - x->at_us > CONFIRM_US) {
        note(c, COUNT_UNCONFIRMED, e, x, "not_confirmed", now_us);
        return false;
    }
    c->waiting += x->confirmed ? 0 : 1;
    return now_us - x->at_us <= RETAIN_US;
}

static void
report(Crashes *c, const CrashEntry *e, Crash *x, int64_t now_us)
{
    CrashReport r = {.fingerprint = e->fingerprint,
                     .crash = x->id,
                     .age_us = now_us - x->at_us,
                     .served_before = served_at(c, e) != 0};

    if (!crashout_report(c->out, &r)) {
        return;
    }
    x->resend_us = x->n_sent == 0 ? RESEND_US : x->resend_us * RESEND_FACTOR;
    x->send_us = now_us + x->resend_us;
    if (x->n_sent++ == 0) {
        note(c, COUNT_SENT, e, x, "sent", now_us);
    }
}

/* Confirms and reports the crashes of an entry. */
static void
step_entry(Crashes *c, CrashEntry *e, int64_t now_us)
{
    bool busy = false;

    for (int i = e->n; i-- > 0;) {
        if (!review(c, e, &e->crashes[i], now_us)) {
            crashtab_drop_crash(e, i);
        }
    }
    judge(c, e, now_us);
    for (int i = 0; i < e->n && e->refused_us == 0; i++) {
        Crash *x = &e->crashes[i];
        if (x->own && x->confirmed && x->n_sent < REPORTS_MAX &&
            now_us >= x->send_us) {
            report(c, e, x, now_us);
        }
        busy = busy || (x->own && x->n_sent < REPORTS_MAX);
    }
    crashtab_set_busy(&c->table, e, busy);
}

/* Drops what has expired.  Returns false if nothing is left. */
static bool
expire_entry(Crashes *c, CrashEntry *e, int64_t now_us)
{
    for (int i = e->n; i-- > 0;) {
        if (now_us - e->crashes[i].at_us > RETAIN_US) {
            crashtab_drop_crash(e, i);
        }
    }
    if (e->refused_us != 0 && has_expired(e, now_us)) {
        note(c, COUNT_REVOKED, e, NULL, "verdict_expired", now_us);
        return false;
    }
    return e->n > 0 || e->refused_us != 0 ||
           (e->served_us != 0 && now_us - e->served_us <= RETAIN_US);
}

/* Announces the entries that matter most to the region; the others wait. */
static void
announce(Crashes *c, int64_t now_us)
{
    CrashEntry *list[ANNOUNCE_VERDICTS_MAX];
    CrashMsg m = {0};
    int n = crashtab_announced(&c->table, list, ANNOUNCE_VERDICTS_MAX);

    for (int i = 0; i < n; i++) {
        m.verdicts[m.n_verdicts++] = verdict_of(list[i], now_us);
    }
    if (n > 0 && !crashout_announce(c->out, &m, now_us)) {
        return;
    }
    for (int i = 0; i < n; i++) {
        crashtab_set_announce(&c->table, list[i], false);
    }
}

void
crash_step(Crashes *c, int64_t now_us)
{
    c->waiting = 0;
    for (GList *l = c->table.busy.head; l != NULL;) {
        CrashEntry *e = l->data;
        l = l->next;
        step_entry(c, e, now_us);
    }
    if (now_us - c->expired_us >= EXPIRE_US) {
        c->expired_us = now_us;
        for (GList *l = c->table.order.head; l != NULL;) {
            CrashEntry *e = l->data;
            l = l->next;
            if (!expire_entry(c, e, now_us)) {
                crashtab_drop(&c->table, e);
            }
        }
    }
    announce(c, now_us);
    crashout_flush(c->out);
    c->awake = crash_waiting(c);
}

bool
crash_waiting(const Crashes *c)
{
    return c->waiting > 0 || c->table.announce.length > 0 ||
           crashout_pending(c->out);
}

static void
receive_report(Crashes *c, const CrashReport *r, int64_t now_us)
{
    int64_t at_us = now_us - r->age_us;

    if (r->age_us > RETAIN_US) {
        return;
    }
    CrashEntry *e = get_entry(c, r->fingerprint, now_us);
    if (at_us <= served_at(c, e)) {
        return;
    }
    if (r->served_before) {
        contest(e, now_us);
    }
    Crash *x = crashtab_find_crash(e, r->crash);
    e->weight += x == NULL ? 1 : 0;
    if (x != NULL && !x->confirmed) {
        confirm(c, e, x, "confirmed_by_report", now_us);
    }
    else if (x == NULL && (x = crashtab_add_crash(e, r->crash)) != NULL) {
        x->at_us = at_us;
        x->confirmed = true;
        note(c, COUNT_RECEIVED, e, x, "received", now_us);
    }
    judge(c, e, now_us);
}

static void
receive_served(Crashes *c, const CrashVerdict *v, int64_t now_us)
{
    CrashEntry *e = get_entry(c, v->fingerprint, now_us);
    bool refused = e->refused_us != 0;

    crashtab_set_weight(&c->table, e, MAX(e->weight, v->weight));
    clear(c, e, now_us - v->age_us, now_us);
    if (refused && e->refused_us == 0 &&
        crashout_owns(c->out, v->fingerprint)) {
        tell_region(c, e);
    }
}

static void
receive_refused(Crashes *c, const CrashVerdict *v, int64_t now_us)
{
    int64_t first_us = now_us - v->age_us;
    int64_t refused_us = now_us - v->refused_us;

    if (v->refused_us > VERDICT_US - VERDICT_REST_MIN_US ||
        v->age_us > VERDICT_MAX_US - VERDICT_REST_MIN_US) {
        return;
    }
    CrashEntry *e = get_entry(c, v->fingerprint, now_us);
    crashtab_set_weight(&c->table, e, MAX(e->weight, v->weight));
    if (v->contested) {
        contest(e, now_us);
    }
    if (e->refused_us != 0) {
        if (refused_us > e->refused_us + RENEW_US) {
            e->refused_us = refused_us;
        }
        return;
    }
    if (served_at(c, e) >= first_us) {
        e->served_us = served_at(c, e);
        e->revoked = true;
        crashtab_set_known(&c->table, e);
        if (now_us - e->objected_us >= OBJECT_US) {
            e->objected_us = now_us;
            tell_owners(c, e, now_us);
            tell_region(c, e);
        }
        return;
    }
    e->first_us = first_us;
    start_verdict(c, e, refused_us, now_us);
    note(c, COUNT_VERDICT, e, NULL, "verdict_received", now_us);
    if (crashout_owns(c->out, v->fingerprint)) {
        tell_region(c, e);
    }
}

void
crash_receive(Crashes *c, const CrashMsg *m, int64_t now_us)
{
    for (int i = 0; i < m->n_reports; i++) {
        receive_report(c, &m->reports[i], now_us);
    }
    for (int i = 0; i < m->n_verdicts; i++) {
        const CrashVerdict *v = &m->verdicts[i];
        if (v->served) {
            receive_served(c, v, now_us);
        }
        else {
            receive_refused(c, v, now_us);
        }
    }
}

bool
crash_gossip(Crashes *c, CrashMsg *m, int64_t now_us)
{
    CrashEntry *list[CRASHMSG_VERDICTS_MAX];
    int n = crashtab_next_known(&c->table, list, CRASHMSG_VERDICTS_MAX);

    *m = (CrashMsg){0};
    for (int i = 0; i < n; i++) {
        m->verdicts[m->n_verdicts++] = verdict_of(list[i], now_us);
    }
    return n > 0;
}

void
crash_metrics(const Crashes *c, GString *out)
{
    for (int i = 0; i < COUNTS; i++) {
        g_string_append_printf(out, "edge_crashes_%s_total %" PRId64 "\n",
                               count_names[i], c->counts[i]);
    }
    g_string_append_printf(out, "edge_crashes_kept %u\n",
                           c->table.order.length);
}
