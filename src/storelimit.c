/* storelimit - rate limit and backoff of store calls.  See storelimit.h. */
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
    double added = q->rate * (double)(now_us - q->at_us) / US_PER_S;

    return MIN(q->tokens + MAX(added, 0), q->burst);
}

bool
storelimit_take(StoreLimit *q, int64_t now_us, int64_t *retry_us)
{
    refill(q, now_us);
    int64_t allowed_us = q->not_before_us;
    if (q->tokens < 1) {
        int64_t wait_us = (int64_t)((1 - q->tokens) / q->rate * US_PER_S) + 1;
        allowed_us = MAX(allowed_us, now_us + wait_us);
    }
    if (allowed_us > now_us) {
        q->refused++;
        if (retry_us != NULL) {
            *retry_us = allowed_us;
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
    int64_t max_ms = STORE_BACKOFF_MIN_MS;

    for (int i = 0; i < q->fails && max_ms < STORE_BACKOFF_MAX_MS; i++) {
        max_ms *= 2;
    }
    max_ms = MIN(max_ms, STORE_BACKOFF_MAX_MS);
    q->fails++;
    q->not_before_us =
        now_us + (int64_t)(g_rand_double(rnd) * (double)max_ms * 1000.0);
}
