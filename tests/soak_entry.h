/*
 * soak_entry - entry processes and upstreams for the randomised run of
 * at-most-once execution: the real idem and suspect modules behind fake links,
 * and the observer that knows what really ran.
 */
#ifndef MIMOSA_SOAK_ENTRY_H
#define MIMOSA_SOAK_ENTRY_H

#include "idem.h"
#include "soak_ctl.h"
#include "suspect.h"

#define TARGETS 12
#define WINDOW_US (60 * SEC)
#define WAITERS 8
#define SERVICE_MAX_US (50 * MS)
#define RUN_TIMEOUT_US (400 * MS)
#define JOURNALS 4096

enum {
    EV_REQ = ZONE_KINDS, /* a: job, b: attempt, c: hops, d: entered at */
    EV_ANS,         /* at the VM it entered; a: job, b: attempt, c: told */
    EV_RESULT,      /* a: run, c: how it ended */
    EV_RUN_TIMEOUT, /* a: run */
    EV_HOLD_END,    /* a: run */
    EV_NEWS,        /* a: job, b: state, c: age, d: run */
    EV_NEWS_ACK,    /* d: run */
    EV_ENTRY_TICK,
    EV_LAPSE,
    EV_JOURNAL_PUT, /* at the store; a: batch */
    EV_JOURNAL_ACK,
    EV_JOURNAL_READ, /* answer to a successor */
    EV_ARRIVE,       /* at an upstream; a: run */
    EV_END,          /* at an upstream; a: run */
    EV_TARGET_UP,    /* a: target */
    EV_CALL,         /* a: job */
    EV_CALL_TIMEOUT, /* a: job, b: attempt */
    EV_TOLD,         /* a: job, b: attempt, c: told */
    EV_NEW_JOB
};

typedef enum Told { TOLD_ANSWER, TOLD_NOT_RUN, TOLD_UNKNOWN } Told;

typedef enum How { HOW_OK, HOW_REFUSED, HOW_SHED, HOW_CLOSED } How;

typedef struct Job {
    uint64_t key;
    bool once;
    bool killer; /* each run crashes its upstream */
    bool over;
    int attempt;
    int64_t issued_wall_us;
    int runs;         /* truth */
    int heard;        /* newest attempt whose end its caller knows */
    int not_run_told; /* highest attempt whose caller heard not-run */
    int kills;
    int64_t killed_us;
    bool refused_innocent;
} Job;

typedef struct Waiter {
    int attempt;
    int entered;
} Waiter;

typedef struct Run {
    int64_t job;
    int attempt;
    int vm;
    uint64_t life;
    int target;
    int n_waiters;
    Waiter waiters[WAITERS];
    bool alone;
    bool open;    /* the entry still counts it */
    bool running; /* at the upstream, truth */
    bool cancelled;
    int acks; /* missing before the answer may go */
} Run;

typedef struct Target {
    bool up;
    int running; /* truth */
    int64_t runs[16];
} Target;

typedef struct Entry {
    uint64_t life;
    Idem *idem;
    Suspects *suspects;
    int outstanding[TARGETS];
    bool alone[TARGETS];
    GArray *open; /* indices of runs */
    int64_t tenure_us[KEY_RANGES];
    int64_t tenure_wall_us[KEY_RANGES];
    GBytes *pending; /* journal batch that is not yet acknowledged */
    bool sent;
} Entry;

enum {
    N_FIRST,
    N_RESEND,
    N_RESEND_ANSWER,
    N_RESEND_NOT_RUN,
    N_RESEND_UNKNOWN,
    N_UNKNOWN_NO_RECORD, /* resends: reason of the unknown outcome */
    N_UNKNOWN_RECORD,
    N_UNKNOWN_EARLY,
    N_UNKNOWN_OTHER,
    N_UNHEARD, /* attempts that ended without an answer */
    N_RUNS,
    N_REPLAY,
    N_KILLERS,
    N_KILLS,
    N_KILLS_3, /* killers that took a third upstream in a disturbed fleet */
    N_INNOCENT,
    N_INNOCENT_REFUSED,
    N_JOURNAL,
    N_JOURNAL_READ,
    N_COUNTS
};

typedef struct World {
    Soak s;
    Zone z;
    Entry entry[VMS];
    Target target[TARGETS];
    GArray *jobs;
    GArray *runs;
    GBytes *journal[JOURNALS];
    int64_t journal_at_us[JOURNALS];
    uint64_t n_journal;
    uint64_t count[N_COUNTS];
} World;

#define JOB(w, i) (&g_array_index((w)->jobs, Job, (guint)(i)))
#define RUN(w, i) (&g_array_index((w)->runs, Run, (guint)(i)))

/* Requests and answers travel over TCP: late or lost, never doubled. */
static inline void
send_once(World *w, SoakEvent e)
{
    if (!zone_reaches(&w->z, e.from, e.to) || soak_chance(&w->s, 0.003)) {
        return;
    }
    e.at_us = w->s.now_us + zone_delay(&w->s);
    e.life = e.to < VMS ? w->z.vm[e.to].life : 0;
    soak_push(&w->s, e);
}

static inline void
later(World *w, int64_t us, SoakEvent e)
{
    e.at_us = w->s.now_us + us;
    e.life = e.to < VMS ? w->z.vm[e.to].life : 0;
    soak_push(&w->s, e);
}

static inline void
entry_free(Entry *n)
{
    idem_free(n->idem);
    suspect_free(n->suspects);
    if (n->open != NULL) {
        g_array_free(n->open, TRUE);
    }
    if (n->pending != NULL) {
        g_bytes_unref(n->pending);
    }
    memset(n, 0, sizeof(*n));
}

/* Starts the entry of a VM that was booted since; its memory is empty. */
static inline void
entry_start(World *w, int v)
{
    Entry *n = &w->entry[v];
    IdemOpts o = {2000, WINDOW_US, WALL_CLOCK_ERROR_MS * MS};

    if (n->life == w->z.vm[v].life) {
        return;
    }
    entry_free(n);
    n->life = w->z.vm[v].life;
    n->idem = idem_new(&o);
    n->suspects = suspect_new(1000);
    n->open = g_array_new(FALSE, FALSE, sizeof(int64_t));
    for (int i = 0; i < KEY_RANGES; i++) {
        n->tenure_us[i] = -1;
    }
    later(w, 0, (SoakEvent){.kind = EV_ENTRY_TICK, .to = v});
}

/* Tells idem what the snapshot allows for a range at this time. */
static inline void
entry_own_range(World *w, int v, int range)
{
    Entry *n = &w->entry[v];
    const ZoneSnap *p = &w->z.vm[v].snap;
    OwnMode mode = zone_entry_mode(&w->z, v);
    int64_t tenure = p->tenure_us[range];

    if (tenure != n->tenure_us[range]) {
        n->tenure_us[range] = tenure;
        n->tenure_wall_us[range] =
            tenure < 0 ? 0
                       : zone_wall(&w->z, v) - (zone_clock(&w->z, v) - tenure);
    }
    int64_t wall = n->tenure_wall_us[range];
    if (soak_fault(&w->s, "idem_tenure_ignored")) {
        wall = 1;
    }
    idem_set_ownership(n->idem, range, p->owned[range] && mode != OWN_NONE,
                       mode == OWN_FULL, wall);
}

static inline void
answer_one(World *w, int v, int64_t job, const Waiter *a, Told told)
{
    send_once(w, (SoakEvent){.kind = EV_ANS,
                             .to = a->entered,
                             .from = v,
                             .a = job,
                             .b = a->attempt,
                             .c = told});
}

static inline void
answer_run(World *w, const Run *r, Told told)
{
    for (int i = 0; i < r->n_waiters; i++) {
        answer_one(w, r->vm, r->job, &r->waiters[i], told);
    }
}

static inline int64_t
entry_run_of(World *w, int v, int64_t job)
{
    const GArray *open = w->entry[v].open;

    for (guint i = 0; i < open->len; i++) {
        int64_t id = g_array_index(open, int64_t, i);
        if (RUN(w, id)->job == job) {
            return id;
        }
    }
    return -1;
}

static inline void
entry_close(World *w, int64_t id)
{
    Run *r = RUN(w, id);
    Entry *n = &w->entry[r->vm];

    r->open = false;
    n->outstanding[r->target]--;
    if (r->alone) {
        n->alone[r->target] = false;
    }
    for (guint i = 0; i < n->open->len; i++) {
        if (g_array_index(n->open, int64_t, i) == id) {
            g_array_remove_index_fast(n->open, i);
            break;
        }
    }
}

/* Ends a run in the books and returns what its callers are told. */
static inline Told
entry_finish(World *w, const Run *r, IdemEnd end)
{
    const Job *j = JOB(w, r->job);

    if (j->once) {
        idem_finish(w->entry[r->vm].idem, j->key, end, 200, NULL,
                    zone_wall(&w->z, r->vm));
    }
    switch (end) {
    case IDEM_END_DONE:
        return TOLD_ANSWER;
    case IDEM_END_NOT_RUN:
        return TOLD_NOT_RUN;
    default:
        return TOLD_UNKNOWN;
    }
}

/* The upstream sees the closed connection and stops the work. */
static inline void
upstream_cancel(World *w, Run *r)
{
    r->cancelled = true;
    if (r->running) {
        r->running = false;
        w->target[r->target].running--;
    }
}

static inline void
entry_give_up(World *w, int64_t id)
{
    Run *r = RUN(w, id);
    SuspectUpdate news;

    upstream_cancel(w, r);
    entry_close(w, id);
    if (r->alone) {
        suspect_end_alone(w->entry[r->vm].suspects, JOB(w, r->job)->key, false,
                          zone_clock(&w->z, r->vm), &news);
    }
    IdemEnd end = soak_fault(&w->s, "timeout_is_not_run") ? IDEM_END_NOT_RUN
                                                          : IDEM_END_UNKNOWN;
    answer_run(w, r, entry_finish(w, r, end));
}

/* Work above a budget that fell is cancelled. */
static inline void
entry_trim(World *w, int v)
{
    Entry *n = &w->entry[v];

    for (int t = 0; t < TARGETS; t++) {
        int budget = zone_entry_budget(&w->z, v, t);
        for (guint i = n->open->len; i > 0 && n->outstanding[t] > budget;
             i--) {
            int64_t id = g_array_index(n->open, int64_t, i - 1);
            if (RUN(w, id)->target == t) {
                entry_give_up(w, id);
                i = n->open->len + 1;
            }
        }
    }
}

static inline int
entry_pick(World *w, int v, bool alone)
{
    const Entry *n = &w->entry[v];
    int at = (int)soak_int(&w->s, 0, TARGETS - 1);

    for (int i = 0; i < TARGETS; i++) {
        int t = (at + i) % TARGETS;
        int budget = zone_entry_budget(&w->z, v, t);
        if (!n->alone[t] && n->outstanding[t] < budget &&
            (!alone || n->outstanding[t] == 0)) {
            return t;
        }
    }
    return -1;
}

/* Starts a run on a target that has room. */
static inline void
entry_start_run(World *w, int v, Run r)
{
    Entry *n = &w->entry[v];
    int64_t id = (int64_t)w->runs->len;

    r.vm = v;
    r.life = w->z.vm[v].life;
    r.open = true;
    g_array_append_val(w->runs, r);
    g_array_append_val(n->open, id);
    n->outstanding[r.target]++;
    later(w, soak_int(&w->s, 100, 3 * MS),
          (SoakEvent){.kind = EV_ARRIVE, .to = CALLERS, .a = id});
    later(w, RUN_TIMEOUT_US,
          (SoakEvent){.kind = EV_RUN_TIMEOUT, .to = v, .a = id});
}

/* Idempotent work of no particular caller that takes all slots that the
 * owner may use, so that two owners at once show as overload. */
static inline void
entry_fill(World *w, int v)
{
    const Entry *n = &w->entry[v];

    for (int t = 0; t < TARGETS; t++) {
        int budget = zone_entry_budget(&w->z, v, t);
        while (!n->alone[t] && n->outstanding[t] < budget) {
            Job j = {.key = soak_u64(&w->s), .over = true};
            g_array_append_val(w->jobs, j);
            entry_start_run(w, v,
                            (Run){.job = (int64_t)w->jobs->len - 1,
                                  .attempt = 1,
                                  .target = t});
        }
    }
}

/* Sends a request to an upstream; false: certainly not run. */
static inline bool
entry_dispatch(World *w, int v, const SoakEvent *e)
{
    Entry *n = &w->entry[v];
    Job *j = JOB(w, e->a);
    bool busy;
    SuspectState st =
        suspect_check(n->suspects, j->key, &busy, zone_clock(&w->z, v));

    if (soak_fault(&w->s, "suspect_not_alone") && st == SUSPECT_ALONE) {
        st = SUSPECT_CLEAR;
    }
    if (st == SUSPECT_CONVICTED && !j->killer && !j->refused_innocent) {
        j->refused_innocent = true;
        w->count[N_INNOCENT_REFUSED]++;
    }
    if (st == SUSPECT_CONVICTED || (st == SUSPECT_ALONE && busy)) {
        return false;
    }
    int t = entry_pick(w, v, st == SUSPECT_ALONE);
    if (t < 0) {
        return false;
    }
    Run r = {.job = e->a,
             .attempt = (int)e->b,
             .target = t,
             .n_waiters = 1,
             .alone = st == SUSPECT_ALONE};
    r.waiters[0] = (Waiter){(int)e->b, (int)e->d};
    if (r.alone) {
        n->alone[t] = true;
        suspect_begin_alone(n->suspects, j->key, zone_clock(&w->z, v));
    }
    entry_start_run(w, v, r);
    return true;
}

static inline void
count_unknown(World *w, const SoakEvent *e, IdemReason why)
{
    if (e->b > 1) {
        w->count[why == IDEM_RESEND_NO_RECORD ? N_UNKNOWN_NO_RECORD
                 : why == IDEM_RESEND_EARLY   ? N_UNKNOWN_EARLY
                 : why == IDEM_RECORD         ? N_UNKNOWN_RECORD
                                              : N_UNKNOWN_OTHER]++;
    }
}

static inline void
entry_run_once(World *w, int v, const SoakEvent *e)
{
    Waiter me = {(int)e->b, (int)e->d};

    if (entry_dispatch(w, v, e)) {
        return;
    }
    Run r = {.job = e->a, .vm = v};
    answer_one(w, v, e->a, &me, entry_finish(w, &r, IDEM_END_NOT_RUN));
}

static inline void
entry_wait(World *w, int v, const SoakEvent *e)
{
    int64_t id = entry_run_of(w, v, e->a);

    if (id >= 0 && RUN(w, id)->n_waiters < WAITERS) {
        Run *r = RUN(w, id);
        r->waiters[r->n_waiters++] = (Waiter){(int)e->b, (int)e->d};
    }
}

/* A request of class once at a VM that should own its key. */
static inline void
entry_once(World *w, int v, const SoakEvent *e)
{
    Entry *n = &w->entry[v];
    const Job *j = JOB(w, e->a);
    int range = idem_range(j->key);
    Waiter me = {(int)e->b, (int)e->d};
    IdemRequest q = {j->key, (int)e->b, j->issued_wall_us};

    entry_own_range(w, v, range);
    IdemDecision a = idem_begin(n->idem, &q, zone_wall(&w->z, v));
    if (a.reason == IDEM_RESEND_NO_RECORD &&
        soak_fault(&w->s, "idem_resend_runs")) {
        if (!entry_dispatch(w, v, e)) {
            answer_one(w, v, e->a, &me, TOLD_UNKNOWN);
        }
        return;
    }
    switch (a.act) {
    case IDEM_RUN:
        entry_run_once(w, v, e);
        return;
    case IDEM_WAIT:
        entry_wait(w, v, e);
        return;
    case IDEM_REPLAY:
        w->count[N_REPLAY]++;
        answer_one(w, v, e->a, &me, TOLD_ANSWER);
        return;
    case IDEM_NOT_RUN:
        answer_one(w, v, e->a, &me, TOLD_NOT_RUN);
        return;
    case IDEM_NOT_OWNER:
        /* An earlier attempt may have run elsewhere. */
        count_unknown(w, e, a.reason);
        answer_one(w, v, e->a, &me, e->b == 1 ? TOLD_NOT_RUN : TOLD_UNKNOWN);
        return;
    default:
        count_unknown(w, e, a.reason);
        answer_one(w, v, e->a, &me, TOLD_UNKNOWN);
    }
}

/* Routes a request to the VM that decides on it, by this VM's snapshot. */
static inline void
entry_request(World *w, int v, const SoakEvent *e)
{
    const Job *j = JOB(w, e->a);
    const ZoneSnap *p = &w->z.vm[v].snap;
    bool busy;
    int range = idem_range(j->key);
    int to = p->owner_of_range[range];
    Waiter me = {(int)e->b, (int)e->d};

    /* A suspect runs only at one VM, so that it cannot run twice alone. */
    if (!j->once && suspect_check(w->entry[v].suspects, j->key, &busy,
                                  zone_clock(&w->z, v)) == SUSPECT_CLEAR) {
        to =
            e->c > 0 ? v : p->owner_of_target[soak_int(&w->s, 0, TARGETS - 1)];
    }
    if (to >= 0 && to != v && e->c < 2) {
        SoakEvent f = *e;
        f.c++;
        f.to = to;
        f.from = v;
        send_once(w, f);
        return;
    }
    if (j->once) {
        entry_once(w, v, e);
        return;
    }
    if (!entry_dispatch(w, v, e)) {
        answer_one(w, v, e->a, &me, TOLD_NOT_RUN);
    }
}

/* Tells the other VMs of suspects; the answer waits for them. */
static inline void
entry_share(World *w, int64_t id, const SuspectUpdate *news)
{
    Run *r = RUN(w, id);

    r->acks = 0;
    for (int u = 0; u < VMS; u++) {
        if (u == r->vm || !w->z.vm[u].up ||
            soak_fault(&w->s, "suspect_not_shared")) {
            continue;
        }
        r->acks++;
        if (zone_reaches(&w->z, r->vm, u)) {
            later(w, soak_int(&w->s, MS / 2, 8 * MS),
                  (SoakEvent){.kind = EV_NEWS,
                              .to = u,
                              .from = r->vm,
                              .a = r->job,
                              .b = news->state,
                              .c = news->age_ms,
                              .d = id});
        }
    }
    later(w, SUSPECT_WAIT_MS * MS,
          (SoakEvent){.kind = EV_HOLD_END, .to = r->vm, .a = id});
}

/* The upstream of a run died: all that is open on it there is suspect. */
static inline void
entry_crash(World *w, int v, int target)
{
    Entry *n = &w->entry[v];
    uint64_t prints[64] = {0};
    int64_t ids[64];
    SuspectUpdate news[64];
    size_t k = 0;

    for (guint i = 0; i < n->open->len && k < 64; i++) {
        int64_t id = g_array_index(n->open, int64_t, i);
        if (RUN(w, id)->target == target) {
            ids[k] = id;
            prints[k++] = JOB(w, RUN(w, id)->job)->key;
        }
    }
    bool alone = k == 1 && RUN(w, ids[0])->alone;
    suspect_crash(n->suspects, prints, k, alone, zone_clock(&w->z, v), news);
    for (size_t i = 0; i < k; i++) {
        entry_close(w, ids[i]);
        entry_share(w, ids[i], &news[i]);
    }
}

static inline void
entry_release(World *w, int64_t id)
{
    Run *r = RUN(w, id);

    if (r->n_waiters > 0) {
        answer_run(w, r, entry_finish(w, r, IDEM_END_UNKNOWN));
        r->n_waiters = 0;
    }
}

static inline void
entry_result(World *w, const SoakEvent *e)
{
    Run *r = RUN(w, e->a);
    SuspectUpdate news;
    int v = e->to;

    if (!r->open) {
        return;
    }
    if (e->c == HOW_CLOSED) {
        entry_crash(w, v, r->target);
        return;
    }
    entry_close(w, e->a);
    if (r->alone &&
        suspect_end_alone(w->entry[v].suspects, JOB(w, r->job)->key,
                          e->c == HOW_OK, zone_clock(&w->z, v), &news)) {
        Told told = entry_finish(w, r, IDEM_END_DONE);
        answer_run(w, r, told);
        r->n_waiters = 0;
        entry_share(w, e->a, &news);
        return;
    }
    answer_run(
        w, r,
        entry_finish(w, r, e->c == HOW_OK ? IDEM_END_DONE : IDEM_END_NOT_RUN));
}

#endif
