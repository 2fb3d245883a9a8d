/*
 * evl - event loop of a program that holds many sockets.
 *
 * GLib's main loop polls each descriptor of each source on every turn, so
 * that a turn costs more with each idle connection.  This one waits on epoll,
 * where it does not.
 */
#ifndef MIMOSA_EVL_H
#define MIMOSA_EVL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

typedef struct Evl Evl;

/* events: EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLERR, EPOLLHUP. */
typedef void (*EvlFdFn)(void *ctx, uint32_t events);
typedef void (*EvlTimerFn)(void *ctx, int64_t now_us);

/* Part of the structure of its owner, which keeps it until evl_del(). */
typedef struct EvlFd {
    int fd;
    uint32_t generation;
    EvlFdFn fn;
    void *ctx;
} EvlFd;

/* Part of the structure of its owner, which stops it before it goes. */
typedef struct EvlTimer {
    int64_t at_us;
    guint heap_index; /* place in the heap, from 1; 0: not armed */
    EvlTimerFn fn;
    void *ctx;
} EvlTimer;

Evl *evl_new(void);

/* Called before events are delivered when the loop stood still for over
 * EVL_STALL_US: the process was stopped, or the machine was suspended.  What
 * it knows may be old, and what is due by the clock may have run out. */
#define EVL_STALL_US 1000000
typedef void (*EvlStallFn)(void *ctx, int64_t gap_us, int64_t now_us);
void evl_on_stall(Evl *l, EvlStallFn fn, void *ctx);

void evl_free(Evl *l);
/* Runs until evl_stop(); may be called again after it. */
void evl_run(Evl *l);
void evl_stop(Evl *l);

/* Runs one turn that waits no longer than wait_ms; for a loop that is driven
 * by another one (evlsrc). */
void evl_run_once(Evl *l, int wait_ms);
/* Readable when a descriptor has events. */
int evl_fd(const Evl *l);
/* Milliseconds until the next timer; -1: none. */
int evl_wait_ms(const Evl *l);
/* Reads the clock anew, where a turn of another loop has taken time. */
void evl_update_now(Evl *l);

/* Steady time in microseconds, read once per turn. */
int64_t evl_now(const Evl *l);

/* Time on the clock that also counts while the machine is suspended. */
int64_t evl_boottime(void);

void evl_add(Evl *l, EvlFd *f, uint32_t events);
void evl_mod(Evl *l, EvlFd *f, uint32_t events);
/* Forgets the descriptor; events of this turn are not delivered. */
void evl_del(Evl *l, EvlFd *f);

void evl_arm(Evl *l, EvlTimer *t, int64_t at_us);
void evl_disarm(Evl *l, EvlTimer *t);

/* Calls f(p) at the end of the turn, when no caller holds p any more. */
void evl_defer(Evl *l, GDestroyNotify f, void *p);

#endif
