/*
 * peerclock - a bound for this VM's time at a time of another VM's clock.
 *
 * A heartbeat says which heartbeat of this VM its sender received last, and
 * how long before.  When it was sent, this VM's clock therefore showed the
 * time of that heartbeat plus this delay, or more, however long both were on
 * their way (F. Cristian, "Probabilistic clock synchronization", 1989).  What
 * another VM knew at a time of its clock is so never taken for newer than it
 * is.  Does no I/O and reads no clock.
 */
#ifndef MIMOSA_PEERCLOCK_H
#define MIMOSA_PEERCLOCK_H

#include <stdbool.h>
#include <stdint.h>

typedef struct PeerClock {
    bool known;
    int64_t offset_us; /* from the other clock to the least own time */
    int64_t at_us;     /* when that was observed */
} PeerClock;

/* A heartbeat arrived that was sent at sent_us of the other clock, and echo_us
 * of the own clock plus echo_delay_us had passed then. */
void peerclock_observe(PeerClock *c, int64_t sent_us, int64_t echo_us,
                       int64_t echo_delay_us, int64_t now_us);

/* Forgets what is known if it says that a heartbeat which arrived by now_us
 * was sent later: one of the clocks has halted or jumped. */
void peerclock_check(PeerClock *c, int64_t sent_us, int64_t now_us);

/* Sets *own_us to the least own time at that time of the other clock.  Returns
 * false if nothing is known about that clock. */
bool peerclock_own_time(const PeerClock *c, int64_t peer_us, int64_t now_us,
                        int64_t *own_us);

#endif
