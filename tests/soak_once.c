/*
 * soak_once - randomised runs of at-most-once execution, crash suspects and
 * ownership of one zone.  An observer that knows what ran checks at_most_once,
 * not_run, overload and the loss of upstreams per crashing request.
 */
#include "soak_entry.h"

/* Callers send a request up to so often. */
#define ATTEMPTS_MAX 6

static const char *const faults[] = {
    "idem_resend_runs",     "idem_tenure_ignored",
    "idem_not_run_guessed", "idem_drop_early",
    "timeout_is_not_run",   "own_no_wait",
    "own_no_reserve",       "own_confirm_at_answer",
    "own_void_after_lost",  "own_promise_forgotten",
    "own_ack_early",        "entry_no_lapse",
    "suspect_not_alone",    "suspect_not_shared",
    "no_journal",           NULL};

/* Prints who holds work on a target, for the report of an overload. */
static void
show_target(World *w, int t)
{
    for (int v = 0; v < VMS; v++) {
        const ZoneVm *m = &w->z.vm[v];
        if (!m->up) {
            continue;
        }
        const OwnRoster *r = own_roster(m->own);
        int64_t now = zone_clock(&w->z, v);
        printf("vm%d inc %d clock %.3f: entry epoch %d mode %s good until "
               "%.3f budget %d outstanding %d; control epoch %d mode %s "
               "budget %d paused %d, members",
               v, (int)m->incarnation, (double)now / (double)SEC,
               (int)m->snap.epoch, own_mode_name(zone_entry_mode(&w->z, v)),
               (double)m->snap.good_until_us / (double)SEC,
               zone_entry_budget(&w->z, v, t), w->entry[v].outstanding[t],
               (int)r->epoch, own_mode_name(own_mode(m->own, now)),
               own_budget(m->own, w->z.target[t], w->z.slots[t], now),
               m->control_paused_until_us > w->s.now_us);
        for (int i = 0; i < r->n; i++) {
            printf(" %s/%d@%d", r->members[i].id,
                   (int)r->members[i].incarnation, (int)r->members[i].since);
        }
        printf(", lost");
        for (int i = 0; i < r->n_lost; i++) {
            printf(" %s/%d@%d-%d", r->lost[i].id, (int)r->lost[i].incarnation,
                   (int)r->lost[i].since, (int)r->lost[i].epoch);
        }
        printf(", owner vm%d\n", m->snap.owner_of_target[t]);
    }
}

static void
on_arrive(World *w, const SoakEvent *e)
{
    Run *r = RUN(w, e->a);
    Target *t = &w->target[r->target];
    Job *j = JOB(w, r->job);
    How how = HOW_OK;

    if (r->cancelled) {
        return;
    }
    if (!t->up || soak_chance(&w->s, 0.02)) {
        how = t->up ? HOW_SHED : HOW_REFUSED;
        later(
            w, soak_int(&w->s, 100, 3 * MS),
            (SoakEvent){.kind = EV_RESULT, .to = r->vm, .a = e->a, .c = how});
        return;
    }
    if (t->running >= w->z.slots[r->target]) {
        show_target(w, r->target);
        soak_violation(&w->s, "overload", "target t%d runs %d, slots %d",
                       r->target, t->running + 1, w->z.slots[r->target]);
    }
    t->running++;
    r->running = true;
    j->runs++;
    w->count[N_RUNS]++;
    if (j->once && j->runs > 1) {
        soak_violation(&w->s, "at_most_once", "key %d runs %d times",
                       (int)r->job, j->runs);
    }
    if (r->attempt <= j->not_run_told) {
        soak_violation(&w->s, "not_run",
                       "key %d runs by attempt %d after attempt %d was told "
                       "not-run",
                       (int)r->job, r->attempt, j->not_run_told);
    }
    later(w, soak_int(&w->s, MS, SERVICE_MAX_US),
          (SoakEvent){.kind = EV_END, .to = CALLERS, .a = e->a});
}

/* The upstream dies; every VM with a connection sees it closed. */
static void
crash_target(World *w, int target)
{
    Target *t = &w->target[target];
    int64_t from = MAX((int64_t)w->runs->len - 4000, 0);

    t->up = false;
    later(w, soak_int(&w->s, 200 * MS, 3 * SEC),
          (SoakEvent){.kind = EV_TARGET_UP, .to = CALLERS, .a = target});
    for (int64_t i = from; i < (int64_t)w->runs->len; i++) {
        Run *r = RUN(w, i);
        if (r->target == target && r->running) {
            r->running = false;
            t->running--;
            SoakEvent f = {.kind = EV_RESULT,
                           .to = r->vm,
                           .at_us = w->s.now_us + soak_int(&w->s, 100, 2 * MS),
                           .life = r->life,
                           .a = i,
                           .c = HOW_CLOSED};
            soak_push(&w->s, f);
        }
    }
}

static void
on_end(World *w, const SoakEvent *e)
{
    Run *r = RUN(w, e->a);
    Job *j = JOB(w, r->job);

    if (!r->running) {
        return;
    }
    if (j->killer) {
        /* VMs that cannot hear of a suspect each lose up to 2 upstreams. */
        bool calm = !w->z.cut && w->z.disturbed_us + 2 * SEC < j->killed_us;
        j->kills++;
        w->count[N_KILLS]++;
        if (j->kills == 1) {
            j->killed_us = w->s.now_us;
        }
        w->count[N_KILLS_3] += j->kills == 3;
        if (j->kills > 2 && calm) {
            soak_violation(&w->s, "crash_bound",
                           "request %d takes upstream number %d", (int)r->job,
                           j->kills);
        }
        crash_target(w, r->target);
        return;
    }
    if (soak_chance(&w->s, 0.0005)) {
        /* The upstream dies on its own account. */
        crash_target(w, r->target);
        return;
    }
    r->running = false;
    w->target[r->target].running--;
    if (soak_chance(&w->s, 0.01)) {
        return; /* the answer is lost */
    }
    SoakEvent f = {.kind = EV_RESULT,
                   .to = r->vm,
                   .at_us = w->s.now_us + soak_int(&w->s, 100, 3 * MS),
                   .life = r->life,
                   .a = e->a,
                   .c = HOW_OK};
    soak_push(&w->s, f);
}

static void
on_call(World *w, const SoakEvent *e)
{
    Job *j = JOB(w, e->a);
    int v = (int)soak_int(&w->s, 0, VMS - 1);

    if (j->over) {
        return;
    }
    j->attempt++;
    w->count[j->attempt == 1 ? N_FIRST : N_RESEND]++;
    if (w->z.vm[v].up && !soak_chance(&w->s, 0.01)) {
        later(w, soak_int(&w->s, MS, 5 * MS),
              (SoakEvent){.kind = EV_REQ,
                          .to = v,
                          .from = v,
                          .a = e->a,
                          .b = j->attempt,
                          .d = v});
    }
    later(w, soak_int(&w->s, 500 * MS, 2 * SEC),
          (SoakEvent){.kind = EV_CALL_TIMEOUT,
                      .to = CALLERS,
                      .a = e->a,
                      .b = j->attempt});
}

static void
call_again(World *w, int64_t job)
{
    Job *j = JOB(w, job);
    int64_t wait = soak_chance(&w->s, 0.05)
                       ? soak_int(&w->s, SEC, WINDOW_US + 30 * SEC)
                       : soak_int(&w->s, 0, 300 * MS);

    if (j->attempt >= ATTEMPTS_MAX) {
        j->over = true;
        return;
    }
    later(w, wait, (SoakEvent){.kind = EV_CALL, .to = CALLERS, .a = job});
}

/* A caller hears an outcome, if it still waits for that attempt. */
static void
on_told(World *w, const SoakEvent *e)
{
    Job *j = JOB(w, e->a);
    bool resend = e->b > 1 && j->once;

    if (j->over || e->b != j->attempt || j->heard == j->attempt) {
        return;
    }
    if (e->c == TOLD_ANSWER) {
        w->count[N_RESEND_ANSWER] += resend;
        j->over = true;
        if (j->runs == 0) {
            soak_violation(&w->s, "whole_answer", "key %d answered, not run",
                           (int)e->a);
        }
        return;
    }
    if (e->c == TOLD_NOT_RUN) {
        w->count[N_RESEND_NOT_RUN] += resend;
        j->not_run_told = (int)e->b;
        if (j->once && j->runs > 0) {
            soak_violation(&w->s, "not_run",
                           "key %d ran, attempt %d is told not-run", (int)e->a,
                           (int)e->b);
        }
        if (!j->once) {
            j->not_run_told = 0;
        }
    }
    else {
        w->count[N_RESEND_UNKNOWN] += resend;
    }
    /* The outcome of this attempt is known: its time-out is void. */
    j->heard = j->attempt;
    call_again(w, e->a);
}

static void
on_call_timeout(World *w, const SoakEvent *e)
{
    Job *j = JOB(w, e->a);

    if (!j->over && e->b == j->attempt && j->heard != j->attempt) {
        j->heard = j->attempt;
        w->count[N_UNHEARD]++;
        call_again(w, e->a);
    }
}

static void
on_new_job(World *w)
{
    Soak *s = &w->s;
    Job j = {.key = soak_u64(s),
             .once = soak_chance(s, 0.7),
             .killer = soak_chance(s, 0.01),
             .issued_wall_us =
                 s->now_us + 1000 * SEC + soak_int(s, -2000 * MS, 2000 * MS)};

    g_array_append_val(w->jobs, j);
    w->count[j.killer ? N_KILLERS : N_INNOCENT]++;
    later(w, 0,
          (SoakEvent){
              .kind = EV_CALL, .to = CALLERS, .a = (int64_t)w->jobs->len - 1});
    later(w, soak_int(s, MS, 60 * MS),
          (SoakEvent){.kind = EV_NEW_JOB, .to = CALLERS});
}

static void
journal_tick(World *w, int v)
{
    Entry *n = &w->entry[v];

    if (soak_fault(&w->s, "no_journal")) {
        return;
    }
    if (n->pending == NULL) {
        n->pending = idem_journal_write(n->idem, 65536);
        n->sent = false;
    }
    if (n->pending != NULL && !n->sent && w->z.store_up && !w->z.store_slow &&
        zone_reaches(&w->z, v, STORE)) {
        n->sent = true;
        SoakEvent e = {.kind = EV_JOURNAL_PUT,
                       .to = STORE,
                       .from = v,
                       .a = (int64_t)w->z.vm[v].life};
        e.at_us = w->s.now_us + soak_int(&w->s, MS, 10 * MS);
        soak_push(&w->s, e);
    }
}

static void
on_journal_put(World *w, const SoakEvent *e)
{
    Entry *n = &w->entry[e->from];
    size_t at = w->n_journal++ % JOURNALS;

    if (n->life != (uint64_t)e->a || n->pending == NULL) {
        return;
    }
    if (w->journal[at] != NULL) {
        g_bytes_unref(w->journal[at]);
    }
    w->journal[at] = n->pending;
    w->journal_at_us[at] = w->s.now_us;
    n->pending = NULL;
    w->count[N_JOURNAL]++;
}

/* A VM that came to own ranges reads what its predecessors wrote. */
static void
on_journal_read(World *w, const SoakEvent *e)
{
    for (int i = 0; i < JOURNALS; i++) {
        if (w->journal[i] == NULL ||
            w->s.now_us - w->journal_at_us[i] > WINDOW_US + 10 * SEC) {
            continue;
        }
        size_t n;
        const char *p = g_bytes_get_data(w->journal[i], &n);
        if (!idem_journal_read(w->entry[e->to].idem, (Str){p, n},
                               zone_wall(&w->z, e->to))) {
            soak_violation(&w->s, "journal_format", "batch %d is refused", i);
        }
        w->count[N_JOURNAL_READ]++;
    }
}

static void
on_snap(World *w, const SoakEvent *e)
{
    ZoneVm *m = &w->z.vm[e->to];
    bool had[KEY_RANGES];
    bool won = false;

    memcpy(had, m->snap.owned, sizeof(had));
    zone_on_snap(&w->z, e);
    for (int i = 0; i < KEY_RANGES; i++) {
        won |= m->snap.owned[i] && !had[i];
        entry_own_range(w, e->to, i);
    }
    entry_trim(w, e->to);
    if (soak_chance(&w->s, 0.5)) {
        entry_fill(w, e->to);
    }
    int64_t left = m->snap.good_until_us - zone_clock(&w->z, e->to);
    later(w, MAX((int64_t)((double)left / m->rate), 0) + 1,
          (SoakEvent){.kind = EV_LAPSE, .to = e->to});
    if (won && w->z.store_up && zone_reaches(&w->z, e->to, STORE)) {
        later(w, soak_int(&w->s, 5 * MS, 50 * MS),
              (SoakEvent){.kind = EV_JOURNAL_READ, .to = e->to});
    }
}

static void
on_entry_tick(World *w, int v)
{
    int64_t wall = zone_wall(&w->z, v);

    if (soak_fault(&w->s, "idem_drop_early")) {
        wall += WINDOW_US;
    }
    idem_expire(w->entry[v].idem, wall);
    suspect_expire(w->entry[v].suspects, zone_clock(&w->z, v));
    entry_trim(w, v);
    if (soak_chance(&w->s, 0.3)) {
        entry_fill(w, v);
    }
    journal_tick(w, v);
    later(w, 250 * MS, (SoakEvent){.kind = EV_ENTRY_TICK, .to = v});
}

static void
on_news(World *w, const SoakEvent *e)
{
    SuspectUpdate news = {JOB(w, e->a)->key, (SuspectState)e->b, e->c};

    suspect_receive(w->entry[e->to].suspects, &news, zone_clock(&w->z, e->to));
    send_once(
        w, (SoakEvent){
               .kind = EV_NEWS_ACK, .to = e->from, .from = e->to, .d = e->d});
}

/* Events of entry processes. */
static void
entry_handle(World *w, SoakEvent *e)
{
    zone_entry_step(&w->z, e->to);
    switch (e->kind) {
    case EV_SNAP:
        on_snap(w, e);
        return;
    case EV_REQ:
        entry_request(w, e->to, e);
        return;
    case EV_ANS:
        later(w, soak_int(&w->s, MS, 5 * MS),
              (SoakEvent){.kind = EV_TOLD,
                          .to = CALLERS,
                          .a = e->a,
                          .b = e->b,
                          .c = e->c});
        return;
    case EV_RESULT:
        entry_result(w, e);
        return;
    case EV_RUN_TIMEOUT:
        if (RUN(w, e->a)->open) {
            entry_give_up(w, e->a);
        }
        return;
    case EV_HOLD_END:
        entry_release(w, e->a);
        return;
    case EV_NEWS:
        on_news(w, e);
        return;
    case EV_NEWS_ACK:
        if (--RUN(w, e->d)->acks == 0) {
            entry_release(w, e->d);
        }
        return;
    case EV_ENTRY_TICK:
        on_entry_tick(w, e->to);
        return;
    case EV_LAPSE:
        entry_trim(w, e->to);
        return;
    case EV_JOURNAL_READ:
        on_journal_read(w, e);
        return;
    default:
        return;
    }
}

/* Events of callers, upstreams and the store. */
static void
world_handle(World *w, SoakEvent *e)
{
    switch (e->kind) {
    case EV_ARRIVE:
        on_arrive(w, e);
        return;
    case EV_END:
        on_end(w, e);
        return;
    case EV_TARGET_UP:
        w->target[e->a].up = true;
        return;
    case EV_CALL:
        on_call(w, e);
        return;
    case EV_CALL_TIMEOUT:
        on_call_timeout(w, e);
        return;
    case EV_TOLD:
        on_told(w, e);
        return;
    case EV_NEW_JOB:
        on_new_job(w);
        return;
    case EV_JOURNAL_PUT:
        on_journal_put(w, e);
        return;
    default:
        return;
    }
}

/* Prints the events of the traced request. */
static void
trace(World *w, const SoakEvent *e)
{
    int64_t job = -1;

    switch (e->kind) {
    case EV_REQ:
    case EV_ANS:
    case EV_CALL:
    case EV_CALL_TIMEOUT:
    case EV_TOLD:
    case EV_NEWS:
        job = e->a;
        break;
    case EV_RESULT:
    case EV_RUN_TIMEOUT:
    case EV_HOLD_END:
    case EV_ARRIVE:
    case EV_END:
        job = RUN(w, e->a)->job;
        break;
    default:
        break;
    }
    if (job != w->s.trace) {
        return;
    }
    printf("%.6f kind %d to %d from %d a %d b %d c %d d %d",
           (double)w->s.now_us / (double)SEC, e->kind - ZONE_KINDS, e->to,
           e->from, (int)e->a, (int)e->b, (int)e->c, (int)e->d);
    if (e->to < VMS) {
        const ZoneSnap *p = &w->z.vm[e->to].snap;
        int r = idem_range(JOB(w, job)->key);
        printf(" epoch %d mode %s owned %d by %d tenure %.3f clock %.3f",
               (int)p->epoch, own_mode_name(zone_entry_mode(&w->z, e->to)),
               p->owned[r], p->owner_of_range[r],
               (double)p->tenure_us[r] / (double)SEC,
               (double)zone_clock(&w->z, e->to) / (double)SEC);
    }
    printf("\n");
}

static void
step(World *w)
{
    SoakEvent e = soak_pop(&w->s);

    if (e.to < VMS && e.kind != EV_BOOT &&
        (!w->z.vm[e.to].up || (e.life != 0 && e.life != w->z.vm[e.to].life))) {
        return;
    }
    if (zone_held(&w->z, &e)) {
        return;
    }
    if (w->s.trace >= 0) {
        trace(w, &e);
    }
    if (e.kind != EV_SNAP && zone_handle(&w->z, &e)) {
        if (e.kind == EV_BOOT) {
            entry_start(w, e.to);
        }
        return;
    }
    if (e.to < VMS) {
        entry_handle(w, &e);
    }
    else {
        world_handle(w, &e);
    }
}

static void
report(const World *w)
{
    const uint64_t *c = w->count;
    uint64_t told =
        c[N_RESEND_ANSWER] + c[N_RESEND_NOT_RUN] + c[N_RESEND_UNKNOWN];

    printf("soak_once seed=%" G_GUINT64_FORMAT " steps=%" G_GUINT64_FORMAT
           " hours=%.1f first=%d resends=%d runs=%d\n",
           (guint64)w->s.seed, (guint64)w->s.step,
           (double)w->s.now_us / (3600.0 * SEC), (int)c[N_FIRST],
           (int)c[N_RESEND], (int)c[N_RUNS]);
    printf(
        "  resends of class once: told %d answer %d not-run %d unknown %d "
        "(%.1f %%); unknown without record %d, by record %d, early %d, other "
        "%d; "
        ""
        "unheard attempts %d\n",
        (int)told, (int)c[N_RESEND_ANSWER], (int)c[N_RESEND_NOT_RUN],
        (int)c[N_RESEND_UNKNOWN],
        told == 0 ? 0.0 : 100.0 * (double)c[N_RESEND_UNKNOWN] / (double)told,
        (int)c[N_UNKNOWN_NO_RECORD], (int)c[N_UNKNOWN_RECORD],
        (int)c[N_UNKNOWN_EARLY], (int)c[N_UNKNOWN_OTHER], (int)c[N_UNHEARD]);
    printf("  crashing requests %d took %d upstreams, %d took a third; "
           "innocents refused %d of %d\n",
           (int)c[N_KILLERS], (int)c[N_KILLS], (int)c[N_KILLS_3],
           (int)c[N_INNOCENT_REFUSED], (int)c[N_INNOCENT]);
    printf("  roster changes %d conflicts %d boots %d crashes %d pauses %d "
           "cuts %d outages %d journal batches %d\n",
           (int)w->z.counts[C_CHANGE], (int)w->z.counts[C_CONFLICT],
           (int)w->z.counts[C_BOOT], (int)w->z.counts[C_CRASH],
           (int)w->z.counts[C_PAUSE], (int)w->z.counts[C_CUT],
           (int)w->z.counts[C_OUTAGE], (int)c[N_JOURNAL]);
}

int
main(int argc, char **argv)
{
    World *w = g_new0(World, 1);

    soak_args(&w->s, argc, argv, faults);
    w->jobs = g_array_new(FALSE, TRUE, sizeof(Job));
    w->runs = g_array_new(FALSE, TRUE, sizeof(Run));
    zone_init(&w->z, &w->s, TARGETS);
    for (int i = 0; i < TARGETS; i++) {
        w->target[i].up = true;
    }
    for (int v = 0; v < VMS; v++) {
        entry_start(w, v);
    }
    later(w, SEC, (SoakEvent){.kind = EV_NEW_JOB, .to = CALLERS});
    while (w->s.step < w->s.steps) {
        step(w);
    }
    report(w);
    if (w->count[N_INNOCENT_REFUSED] * 1000 > w->count[N_INNOCENT]) {
        soak_violation(&w->s, "innocent_refused", "%d of %d refused",
                       (int)w->count[N_INNOCENT_REFUSED],
                       (int)w->count[N_INNOCENT]);
    }
    return 0;
}
