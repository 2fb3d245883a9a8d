/* link - token bucket of link bytes.  See link.h. */
#include "link.h"

#include "inv.h"

/* Time of sending that may be saved up. */
#define BURST_US 100000.0

#define BYTES_PER_US(mbit) ((mbit) / 8.0)

static void
refill(Link *l, int64_t now_us)
{
    if (now_us > l->at_us) {
        l->tokens += l->rate * (double)(now_us - l->at_us);
        l->at_us = now_us;
    }
    if (l->tokens > l->burst) {
        l->tokens = l->burst;
    }
}

static void
set_rate(Link *l, double mbit, int parts)
{
    l->rate = BYTES_PER_US(mbit) / (parts > 0 ? parts : 1);
    l->burst = l->rate * BURST_US;
}

/* Starts empty: the VM before this one may have used up the burst. */
void
link_init(Link *l, double mbit, int parts, int64_t now_us)
{
    set_rate(l, mbit, parts);
    l->tokens = 0;
    l->reserved = 0;
    l->at_us = now_us;
}

void
link_set_parts(Link *l, double mbit, int parts, int64_t now_us)
{
    refill(l, now_us);
    set_rate(l, mbit, parts);
    refill(l, now_us);
}

/* Work that is larger than the whole burst may start on a full bucket; the
 * bucket then goes below zero, so that the rate holds over time. */
bool
link_take(Link *l, double bytes, int64_t now_us)
{
    refill(l, now_us);
    if (l->tokens <= 0 || l->tokens < (bytes < l->burst ? bytes : l->burst)) {
        return false;
    }
    l->tokens -= bytes;
    l->reserved += bytes;
    return true;
}

void
link_settle(Link *l, double taken, double sent, int64_t now_us)
{
    INV("link_owed", taken <= l->reserved * (1 + 1e-9) + 1e-3,
        "%.0f bytes are settled, %.0f were taken", taken, l->reserved);
    refill(l, now_us);
    l->reserved -= taken;
    if (l->reserved < 0) {
        l->reserved = 0;
    }
    l->tokens += taken - sent;
    if (l->tokens > l->burst) {
        l->tokens = l->burst;
    }
}
