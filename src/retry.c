/* retry - retry and hedge budget of one service.  See retry.h. */
#include "retry.h"

/* Retries that a service may save up, so that a rarely called service can
 * retry at all. */
#define BURST 10.0

void
retry_init(Retry *b, double ratio)
{
    b->ratio = ratio;
    b->burst = ratio > 0 ? BURST : 0;
    b->tokens = b->burst;
}

void
retry_add_credit(Retry *b)
{
    b->tokens += b->ratio;
    if (b->tokens > b->burst) {
        b->tokens = b->burst;
    }
}

static bool
take(Retry *b, int64_t deadline_us, int64_t service_us, int64_t now_us)
{
    if (now_us + service_us > deadline_us || b->tokens < 1.0) {
        return false;
    }
    b->tokens -= 1.0;
    return true;
}

RetryAct
retry_decide(Retry *b, MfClass class, AttemptEnd how, bool answer_begun,
             int64_t deadline_us, int64_t service_us, int64_t now_us)
{
    bool not_run = how == ATTEMPT_REFUSED || how == ATTEMPT_SHED;

    if (how == ATTEMPT_ANSWERED) {
        return RETRY_PASS;
    }
    if (answer_begun) {
        return RETRY_UNKNOWN;
    }
    if (!not_run && class == MF_ONCE) {
        return RETRY_UNKNOWN;
    }
    if (take(b, deadline_us, service_us, now_us)) {
        return RETRY_RESEND;
    }
    return not_run ? RETRY_NOT_RUN : RETRY_UNKNOWN;
}

bool
retry_hedge(Retry *b, MfClass class, int64_t deadline_us, int64_t service_us,
            int64_t now_us)
{
    return class == MF_IDEMPOTENT && take(b, deadline_us, service_us, now_us);
}

const char *
retry_act_name(RetryAct a)
{
    static const char *const names[] = {"pass", "again", "not-run", "unknown"};

    return names[a];
}
