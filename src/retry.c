/* retry - retry and hedge budget of one service.  See retry.h. */
#include "retry.h"

/* Tokens at the start and upper limit.  A service with few requests earns
 * tokens slowly and could not retry without this reserve. */
#define BURST 10.0

void
retry_init(Retry *b, double ratio)
{
    b->ratio = ratio;
    b->burst = ratio > 0 ? BURST : 0;
    b->tokens = b->burst;
}

void
retry_add_tokens(Retry *b)
{
    b->tokens += b->ratio;
    if (b->tokens > b->burst) {
        b->tokens = b->burst;
    }
}

static bool
take_token(Retry *b, int64_t deadline_us, int64_t service_us, int64_t now_us)
{
    if (now_us + service_us > deadline_us || b->tokens < 1.0) {
        return false;
    }
    b->tokens -= 1.0;
    return true;
}

RetryAct
retry_decide(Retry *b, MfClass class, AttemptEnd end, bool answer_begun,
             int64_t deadline_us, int64_t service_us, int64_t now_us)
{
    bool not_run = end == ATTEMPT_REFUSED || end == ATTEMPT_SHED;

    if (end == ATTEMPT_ANSWERED) {
        return RETRY_PASS;
    }
    if (answer_begun) {
        return RETRY_UNKNOWN;
    }
    if (!not_run && class == MF_ONCE) {
        return RETRY_UNKNOWN;
    }
    if (take_token(b, deadline_us, service_us, now_us)) {
        return RETRY_RESEND;
    }
    return not_run ? RETRY_NOT_RUN : RETRY_UNKNOWN;
}

bool
retry_hedge(Retry *b, MfClass class, int64_t deadline_us, int64_t service_us,
            int64_t now_us)
{
    return class == MF_IDEMPOTENT &&
           take_token(b, deadline_us, service_us, now_us);
}

const char *
retry_act_name(RetryAct a)
{
    static const char *const names[] = {"pass", "again", "not-run", "unknown"};

    return names[a];
}
