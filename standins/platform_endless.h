/*
 * platform_endless - targets in trouble that send bytes until the caller
 * closes: in a head, in a body, behind an answer, or interim answers.
 */
#ifndef MIMOSA_PLATFORM_ENDLESS_H
#define MIMOSA_PLATFORM_ENDLESS_H

#include "platform_store.h"

#define ENDLESS_STEP_US 1000
#define ENDLESS_BYTES (64 * 1024) /* of a step, while the caller reads */

typedef struct Endless {
    Late late; /* its timer tells it from a late answer */
    const char *bytes;
} Endless;

static void
on_endless(void *ctx, int64_t now_us)
{
    Endless *x = ctx;
    GString *more = g_string_new(NULL);

    while (more->len < ENDLESS_BYTES) {
        g_string_append(more, x->bytes);
    }
    if (caller_backlog(x->late.caller) < ENDLESS_BYTES) {
        caller_write(x->late.caller, more->str, more->len);
    }
    g_string_free(more, TRUE);
    evl_arm(x->late.t->p->loop, &x->late.timer, now_us + ENDLESS_STEP_US);
}

static void
endless_left(Endless *x)
{
    evl_disarm(x->late.t->p->loop, &x->late.timer);
    g_free(x);
}

/* what: head, interim, after, stray, other or own. */
static void
endless_begin(Target *t, Caller *c, const char *what, const char *own_head,
              int64_t now_us)
{
    Endless *x = g_new0(Endless, 1);
    const char *head = "HTTP/1.1 200 Status\r\n";
    int64_t length = -1; /* chunked */

    x->late = (Late){t, c, NULL, {.fn = on_endless, .ctx = x}};
    x->bytes = "0123456789abcdef";
    if (strcmp(what, "head") == 0 || strcmp(what, "interim") == 0) {
        /* What follows the interim answer is raw. */
        head = "HTTP/1.1 100 Continue\r\n";
        length = 0;
    }
    if (strcmp(what, "interim") == 0) {
        x->bytes = "HTTP/1.1 100 Continue\r\n\r\n";
    }
    if (strcmp(what, "after") == 0) {
        length = 0;
    }
    if (strcmp(what, "other") == 0) {
        length = 0;
        x->bytes = "HTTP/1.1 200 Status\r\nX-Mimosascale-Attempt-Id: 0000\r\n"
                   "Content-Length: 0\r\n\r\n";
        head = "HTTP/1.1 100 Continue\r\n";
    }
    if (strcmp(what, "own") == 0 || strcmp(what, "after") == 0) {
        head = own_head;
    }
    caller_set_user(c, x);
    caller_begin(c, str_of(head), length);
    evl_arm(t->p->loop, &x->late.timer, now_us + ENDLESS_STEP_US);
}

#endif
