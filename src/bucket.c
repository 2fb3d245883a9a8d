/* bucket - token bucket whose rate is given at each call.  See bucket.h. */
#include "bucket.h"

#include <glib.h>

void
bucket_add(Bucket *b, double n, double burst)
{
    b->tokens = MIN(b->tokens + n, burst);
}

bool
bucket_has(Bucket *b, double per_s, double burst, int64_t now_us)
{
    if (b->at_us == 0) {
        b->tokens = burst;
    }
    else if (now_us > b->at_us) {
        bucket_add(b, (double)(now_us - b->at_us) / 1e6 * per_s, burst);
    }
    b->at_us = now_us;
    return b->tokens >= 1;
}

bool
bucket_take(Bucket *b, double per_s, double burst, int64_t now_us)
{
    if (!bucket_has(b, per_s, burst, now_us)) {
        return false;
    }
    b->tokens -= 1;
    return true;
}
