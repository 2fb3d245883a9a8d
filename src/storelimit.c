/* storelimit - budget and backoff of store calls.  See storelimit.h. */
#include "storelimit.h"

#include <string.h>

#include "limits.h"

#define US_PER_S 1000000.0

void
storelimit_init(StoreLimit *q, double rate, double burst, int64_t now_us)
{
    memset(q, 0, sizeof(*q));
    q->rate = rate;
    q->burst = burst;
    q->tokens = burst;
    q->at_us = now_us;
}

static void
refill(StoreLimit *q, int64_t now_us)
{
    if (now_us > q->at_us) {
        q->tokens += q->rate * (double)(now_us - q->at_us) / US_PER_S;
        q->tokens = MIN(q->tokens, q->burst);
        q->at_us = now_us;
    }
}

double
storelimit_left(const StoreLimit *q, int64_t now_us)
{
    double more = q->rate * (double)(now_us - q->at_us) / US_PER_S;

    return MIN(q->tokens + MAX(more, 0), q->burst);
}

bool
storelimit_take(StoreLimit *q, int64_t now_us, int64_t *retry_us)
{
    refill(q, now_us);
    int64_t when = q->not_before_us;
    if (q->tokens < 1) {
        int64_t wait = (int64_t)((1 - q->tokens) / q->rate * US_PER_S) + 1;
        when = MAX(when, now_us + wait);
    }
    if (when > now_us) {
        q->refused++;
        if (retry_us != NULL) {
            *retry_us = when;
        }
        return false;
    }
    q->tokens -= 1;
    q->calls++;
    return true;
}

void
storelimit_ok(StoreLimit *q)
{
    q->fails = 0;
    q->not_before_us = 0;
}

void
storelimit_fail(StoreLimit *q, GRand *rnd, int64_t now_us)
{
    int64_t top = STORE_BACKOFF_MIN_MS;

    for (int i = 0; i < q->fails && top < STORE_BACKOFF_MAX_MS; i++) {
        top *= 2;
    }
    top = MIN(top, STORE_BACKOFF_MAX_MS);
    q->fails++;
    q->not_before_us =
        now_us + (int64_t)(g_rand_double(rnd) * (double)top * 1000.0);
}
