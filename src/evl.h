/*
 * evl - event loop for programs with many sockets.
 *
 * GLib's main loop polls all descriptors in each iteration, so that the cost
 * of an iteration grows with the number of idle connections.  This loop uses
 * epoll, where idle connections cost nothing.
 */
#ifndef MIMOSA_EVL_H
#define MIMOSA_EVL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "hist.h"

typedef struct Evl Evl;

/* events: EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLERR, EPOLLHUP. */
typedef void (*EvlFdFn)(void *ctx, uint32_t events);
typedef void (*EvlTimerFn)(void *ctx, int64_t now_us);

/* A watched descriptor.  Embedded in a structure of the owner, which must keep
 * it until evl_del(). */
typedef struct EvlFd {
    int fd;
    bool first; /* delivered before other events of the iteration, as are all
                   events that report the end of a connection: for changes of
                   the state that the others use */
    uint32_t generation; /* identifies the registration; set by evl_add() */
    EvlFdFn fn;
    void *ctx;
} EvlFd;

/* A timer.  Embedded in a structure of the owner, which must disarm it before
 * it releases the structure. */
typedef struct EvlTimer {
    int64_t at_us;    /* expiry, on the clock of evl_now() */
    guint heap_index; /* index in the heap, from 1; 0: not armed */
    EvlTimerFn fn;
    void *ctx;
} EvlTimer;

Evl *evl_new(void);

/* Called before events are delivered when the loop was stalled for over
 * EVL_STALL_US: the process was stopped, or the machine was suspended.  Cached
 * data may be stale, and leases and deadlines may have expired meanwhile.  Not
 * called after a wait without a limit, that is without an armed timer.
 * gap_us: length of the stall. */
#define EVL_STALL_US 1000000
typedef void (*EvlStallFn)(void *ctx, int64_t gap_us, int64_t now_us);
void evl_on_stall(Evl *l, EvlStallFn fn, void *ctx);

void evl_free(Evl *l);
/* Runs until evl_stop(); may be called again afterwards. */
void evl_run(Evl *l);
void evl_stop(Evl *l);

/* Runs one iteration that waits for events at most wait_ms (-1: no limit).
 * For a loop that is run by another loop (evlsrc). */
void evl_run_once(Evl *l, int wait_ms);
/* Returns a descriptor that is readable when events are pending. */
int evl_fd(const Evl *l);
/* Returns the milliseconds until the next timer, or -1 if none is armed. */
int evl_wait_ms(const Evl *l);
/* Updates evl_now().  For use after another loop has spent time. */
void evl_update_now(Evl *l);

/* Time in microseconds, read once per iteration from the clock of
 * evl_boottime(): deadlines and permissions run out while the machine is
 * suspended, too. */
int64_t evl_now(const Evl *l);

/* Time since evl_now() was read: how long the callbacks of this iteration have
 * taken so far. */
int64_t evl_elapsed(const Evl *l);

/* Time at which no event that is delivered now was pending yet.  The events
 * have occurred after it; how long after, is not known. */
int64_t evl_since(const Evl *l);

/* Delays of the callbacks.  Events: for each iteration, the longest time from
 * the end of the wait, or from evl_since() if the loop did not wait, to the
 * end of the callbacks.  Timers: the time since the expiry. */
const Hist *evl_event_delays(const Evl *l);
const Hist *evl_timer_delays(const Evl *l);

/* Monotonic time in microseconds that includes time in suspend. */
int64_t evl_boottime(void);

void evl_add(Evl *l, EvlFd *f, uint32_t events);
void evl_mod(Evl *l, EvlFd *f, uint32_t events);
/* Removes the descriptor.  Pending events of this iteration are not
 * delivered. */
void evl_del(Evl *l, EvlFd *f);

/* Sets or changes the expiry of a timer, which fires once. */
void evl_arm(Evl *l, EvlTimer *t, int64_t at_us);
void evl_disarm(Evl *l, EvlTimer *t);

/* Calls f(p) at the end of the iteration, when no function on the stack uses p
 * any more. */
void evl_defer(Evl *l, GDestroyNotify f, void *p);

#endif
