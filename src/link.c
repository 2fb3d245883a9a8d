/* link - token bucket for bytes between regions.  See link.h. */
#include "link.h"

#include "inv.h"

/* Burst, as time of sending at the full rate. */
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

/* The bucket starts empty: a VM that had this share before may have used up
 * the burst. */
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

/* A request larger than the burst may start when the bucket is full.  The
 * tokens then become negative, so that the average rate is still kept. */
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
        "%.0f bytes to settle, %.0f bytes taken", taken, l->reserved);
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
