/* edge_stop - the planned stop of an entry VM.  See edge_state.h. */
#include "edge_state.h"

#include <inttypes.h>
#include <sys/resource.h>

/* A planned stop.  STOP_CLOSE_US after the signal, responses begin to announce
 * that their connections close.  STOP_RESERVE_US before the VM is killed, it
 * stops listening, idle connections are closed, and the process ends as soon
 * as no connection is open.  When none is open before, it ends earlier, from
 * STOP_EARLIEST_US after the signal on.  STOP_PARTIAL_US before the VM is
 * killed, requests that are still incomplete are refused; STOP_END_US before,
 * connections on which only the close of the caller is missing are dropped. */
#define STOP_US 6000000 /* the time for a stop that these steps are for */
#define STOP_CLOSE_US 1000000
#define STOP_RESERVE_US 1500000
#define STOP_EARLIEST_US 3000000
#define STOP_PARTIAL_US 800000
#define STOP_END_US 500000
/* From STOP_REFUSE_US after the signal on, requests that could still be in
 * flight when the VM is killed are refused.  The last response has to be sent
 * STOP_RESPONSE_US before the kill. */
#define STOP_REFUSE_US 3000000
#define STOP_RESPONSE_US 300000
/* The last steps come earlier by the time by which ticks are late, at most by
 * STOP_LAG_MAX_US: the next tick may be as late, and after the kill.  The lag
 * falls by an eighth a tick, not during a stop. */
#define STOP_LAG_MAX_US (STOP_US - STOP_RESERVE_US - STOP_EARLIEST_US)
#define LAG_DECAY 8
#define LATE_TICK_US 100000 /* a tick that is later than this is logged */

/* Steps of a planned stop are shorter when less time is allowed for it. */
static int64_t
scaled(const Edge *g, int64_t us)
{
    return MIN(us, us * g->stop_us / STOP_US);
}

/* Closes the connections for requests.  Returns true when all are closed, or
 * only the close of the caller is missing on those that are left.  In the end
 * the kernel delivers what callers have not received. */
static bool
close_callers(Edge *g, int64_t left_us)
{
    callers_close_idle(g->callers);
    if (left_us < scaled(g, STOP_PARTIAL_US)) {
        callers_reject_partial(g->callers);
    }
    if (callers_closed(g->callers)) {
        return true;
    }
    if (callers_partial(g->callers) > 0) {
        return false;
    }
    return (left_us < scaled(g, STOP_END_US) &&
            callers_busy(g->callers) == 0) ||
           (left_us < scaled(g, STOP_RESPONSE_US) &&
            callers_unsent(g->callers) == 0);
}

void
edge_step_shutdown(Edge *g, int64_t now_us)
{
    int64_t age = now_us - g->shutdown_us;
    int64_t left_us =
        g->stop_us - age - MIN(g->lag_us, scaled(g, STOP_LAG_MAX_US));

    if (age > scaled(g, STOP_CLOSE_US)) {
        callers_shutdown(g->callers);
    }
    bool closing =
        left_us < scaled(g, STOP_RESERVE_US) ||
        (age > scaled(g, STOP_EARLIEST_US) && callers_open(g->callers) == 0);
    /* Requests that arrive during the first of the steps are answered. */
    bool last = g->closing;
    g->closing = closing;
    if (closing && close_callers(g, left_us) && last) {
        dlog_event(g->log, DLOG_INFO, "vm",
                   "event=stopped after_ms=%" PRId64
                   " callers=%d busy=%d partial=%d lag_ms=%" PRId64,
                   age / 1000, callers_open(g->callers),
                   callers_busy(g->callers), callers_partial(g->callers),
                   g->lag_us / 1000);
        /* The endpoints respond at once, so this answers what has arrived. */
        callers_close_idle(g->ready);
        callers_close_idle(g->directory);
        callers_close_idle(g->metrics);
        evl_stop(g->loop);
    }
}

static int64_t
timeval_us(struct timeval t)
{
    return (int64_t)t.tv_sec * 1000000 + t.tv_usec;
}

/* If the process has hardly run since the tick before, and has no major page
 * faults, it had no processor, or was stopped. */
void
edge_check_late_tick(Edge *g, int64_t now_us)
{
    int64_t late_us = now_us - g->tick.at_us;
    struct rusage u;

    if (!g->shutting_down) {
        g->lag_us -= g->lag_us / LAG_DECAY;
    }
    g->lag_us = MAX(g->lag_us, late_us);
    getrusage(RUSAGE_SELF, &u);
    int64_t ran_us = timeval_us(u.ru_utime) + timeval_us(u.ru_stime);
    if (late_us > LATE_TICK_US) {
        dlog_event(g->log, DLOG_WARN, "vm",
                   "event=late_tick late_ms=%" PRId64 " ran_ms=%" PRId64
                   " page_faults=%ld",
                   late_us / 1000, (ran_us - g->ran_us) / 1000,
                   u.ru_majflt - g->page_faults);
    }
    g->ran_us = ran_us;
    g->page_faults = u.ru_majflt;
}

void
edge_shutdown(Edge *g)
{
    if (g->shutting_down) {
        return;
    }
    g->shutting_down = true;
    int64_t now_us = evl_now(g->loop);
    /* The supervisor counts from its signal, which a process without processor
     * time reads late. */
    g->shutdown_us = evl_since(g->loop);
    g->stop_us = g->set.stop_us;
    dlog_event(g->log, DLOG_INFO, "vm",
               "event=leaving callers=%d busy=%d late_max_ms=%" PRId64,
               callers_open(g->callers), callers_busy(g->callers),
               (now_us - g->shutdown_us) / 1000);
    Vm *v = vml_find(g->vms, str_of(g->set.vm_id));
    if (v != NULL) {
        v->leaving = true;
    }
    GateStop stop = {g->shutdown_us + scaled(g, STOP_REFUSE_US),
                     g->shutdown_us + g->stop_us -
                         scaled(g, STOP_RESPONSE_US)};
    px_shutdown(g->px, &stop);
    heartbeat_send(g->heartbeats, true, now_us);
    edge_write_registration(g);
}
