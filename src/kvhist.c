/* kvhist - which history of the store its answers belong to.  See kvhist.h. */
#include "kvhist.h"

#include <inttypes.h>

/* Reasons not to use a number. */
static const char missing[] = "missing";
static const char unreadable[] = "unreadable";
static const char former[] = "former";

KvHistOrder
kvhist_order(uint64_t current, uint64_t named)
{
    if (named == current) {
        return KVHIST_CURRENT;
    }
    return named < current ? KVHIST_FORMER : KVHIST_LATER;
}

/* Logs the first of the answers in a row whose number is ignored for that
 * reason. */
static void
log_ignored(KvHist *h, const char *why, Str value)
{
    if (h->ignored != why && h->log != NULL) {
        dlog_event(h->log, DLOG_WARN, "store",
                   "event=history_ignored reason=%s value=\"%s\""
                   " history=%" PRIu64,
                   why, dlog_name(value).s, h->current);
    }
    h->ignored = why;
}

KvHistOrder
kvhist_answer(KvHist *h, Str value)
{
    uint64_t named;

    if (!str_u64(value, UINT64_MAX, &named)) {
        if (value.n > 0) {
            log_ignored(h, unreadable, value);
        }
        else if (h->known) {
            log_ignored(h, missing, value);
        }
        return KVHIST_CURRENT;
    }
    KvHistOrder order =
        h->known ? kvhist_order(h->current, named) : KVHIST_CURRENT;
    if (order == KVHIST_FORMER) {
        log_ignored(h, former, value);
        return order;
    }
    h->ignored = NULL;
    h->known = true;
    h->current = named;
    return order;
}
