/* peerclock - a bound for this VM's time.  See peerclock.h. */
#include "peerclock.h"

/* Two clocks may drift apart by this, in parts per million. */
#define DRIFT_PPM 1000

static int64_t
offset_at(const PeerClock *c, int64_t now_us)
{
    return c->offset_us - (now_us - c->at_us) * DRIFT_PPM / 1000000;
}

void
peerclock_observe(PeerClock *c, int64_t sent_us, int64_t echo_us,
                  int64_t echo_delay_us, int64_t now_us)
{
    int64_t offset_us = echo_us + echo_delay_us - sent_us;

    if (!c->known || offset_us >= offset_at(c, now_us)) {
        *c = (PeerClock){true, offset_us, now_us};
    }
}

void
peerclock_check(PeerClock *c, int64_t sent_us, int64_t now_us)
{
    if (c->known && sent_us + offset_at(c, now_us) > now_us) {
        c->known = false;
    }
}

bool
peerclock_own_time(const PeerClock *c, int64_t peer_us, int64_t now_us,
                   int64_t *own_us)
{
    *own_us = peer_us + offset_at(c, now_us);
    return c->known;
}
