/*
 * soak_cfgdrill - drills of the store that soak_config injects: the store
 * makes a copy of itself, goes away some time later, and comes back from the
 * copy. What was stored since is lost, and its revisions are given out again,
 * to other writers, to the operator, who stores the newest version again, and
 * to a newer version.
 *
 * All functions are static; a single program includes this header.
 */
#ifndef MIMOSA_SOAK_CFGDRILL_H
#define MIMOSA_SOAK_CFGDRILL_H

#include "soak_cfgworld.h"

#define DRILL_COPY_MIN_MS 200
#define DRILL_COPY_MAX_MS 3000
#define DRILL_AWAY_MIN_MS 200
#define DRILL_AWAY_MAX_MS 1500
#define DRILL_WRITE_MAX_MS 1500 /* from the return to the operator's write */
#define DRILL_LOST_MAX 20       /* changes of other writers that are lost */
#define DRILL_OTHERS_MIN 10
#define DRILL_OTHERS_MAX 40 /* changes of other writers after the return */
#define DRILL_REST_US                                                         \
    (8 * SEC)                  /* from the operator's write to another drill */
#define DRILL_SHARE 0.3        /* of the faults, while one may begin */
#define DRILL_CALM_MIN_MS 4000 /* without a change after the last version */
#define DRILL_CALM_MAX_MS 7000

static bool
drill_active(const World *w)
{
    return w->drill.away_us != 0 || w->drill.back_us != 0 ||
           w->drill.write_us != 0;
}

/* The operator stores no version between the loss of the store and the write
 * of the newest one. */
static bool
drill_holds_changes(const World *w)
{
    return w->drill.write_us != 0;
}

/* Other writers change min to max keys. */
static void
put_others(World *w, int min, int max)
{
    char path[64];

    for (int n = (int)soak_int(&w->s, min, max); n > 0; n--) {
        snprintf(path, sizeof(path), "/test/key?other/%d", w->n_other++);
        control(w, path, "x", 0);
    }
}

static bool
drill_begin(World *w, int64_t now_us)
{
    Drill *d = &w->drill;

    if (drill_active(w) || w->n_acked == 0 || now_us < d->rest_until_us) {
        return false;
    }
    d->copy_version = w->n_sent;
    control(w, "/test/backup", "", 0);
    put_others(w, 0, DRILL_LOST_MAX);
    d->away_us =
        now_us + soak_int(&w->s, DRILL_COPY_MIN_MS, DRILL_COPY_MAX_MS) * MS;
    return true;
}

/* The store refuses connections, as a rule, or calls, or does not answer. */
static void
drill_leave(World *w, int64_t now_us)
{
    static const char *const modes[] = {"busy", "refuse", "silent"};
    Drill *d = &w->drill;
    char path[64];

    d->away_us = 0;
    d->back_us =
        now_us + soak_int(&w->s, DRILL_AWAY_MIN_MS, DRILL_AWAY_MAX_MS) * MS;
    d->write_us = d->back_us;
    if (soak_chance(&w->s, 0.25)) {
        d->write_us += soak_int(&w->s, 0, DRILL_WRITE_MAX_MS) * MS;
    }
    w->store_ok_us = 0;
    w->store_disturbed_us = now_us;
    if (soak_chance(&w->s, 0.4)) {
        snprintf(path, sizeof(path), "/test/mode?%s",
                 modes[soak_int(&w->s, 0, 2)]);
        control(w, path, "", 0);
        return;
    }
    for (int i = 0; i < VMS; i++) {
        ConfigVm *v = &w->vms[i];
        kill(v->link_pid, SIGUSR1);
        v->disturbed_us = now_us;
        v->link_open_us = d->back_us + TICK_US;
    }
}

static void
drill_return(World *w, int64_t now_us)
{
    w->drill.back_us = 0;
    w->store_disturbed_us = now_us;
    control(w, "/test/restore", "", 0);
    ((ControlCall *)g_queue_peek_tail(&w->calls))->restores = true;
    control(w, "/test/mode?ok", "", 0);
}

static void
drill_write(World *w, int64_t now_us)
{
    w->drill.write_us = 0;
    w->drill.rest_until_us = now_us + DRILL_REST_US;
    put_version(w, w->n_sent);
    store_next_version(w);
    put_others(w, DRILL_OTHERS_MIN, DRILL_OTHERS_MAX);
}

static void
drill_step(World *w, int64_t now_us)
{
    const Drill *d = &w->drill;

    if (d->away_us != 0 && now_us >= d->away_us) {
        drill_leave(w, now_us);
    }
    if (d->back_us != 0 && now_us >= d->back_us) {
        drill_return(w, now_us);
    }
    if (d->back_us == 0 && d->write_us != 0 && now_us >= d->write_us) {
        drill_write(w, now_us);
    }
}

#endif
