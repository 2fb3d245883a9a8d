/*
 * platform_targets - targets of standin-platform: run requests, or fail with
 * the behaviour that the last segment of the path selects.
 */
#ifndef MIMOSA_PLATFORM_TARGETS_H
#define MIMOSA_PLATFORM_TARGETS_H

#include "answers.h"
#include "platform_endless.h"
#include "platform_notice.h"
#include "platform_store.h"

#define CRASH_DELAY_US 50000 /* from the start of a request to the crash */
#define DOWN_US 1500000      /* time for which a crashed target is down */

static void
count_run(Platform *p, const char *id)
{
    int n = GPOINTER_TO_INT(g_hash_table_lookup(p->runs, id));

    g_hash_table_replace(p->runs, g_strdup(id), GINT_TO_POINTER(n + 1));
}

static char *
response_head(const Target *t, const char *id, int status, const char *extra)
{
    GString *g = g_string_new(NULL);

    g_string_printf(g, "HTTP/1.1 %d Status\r\n%s: %s\r\n%s: 1,0,%d\r\n%s",
                    status, pf_header_names.attempt, id, pf_header_names.load,
                    TARGET_SLOTS, extra);
    if (t->leaving) {
        g_string_append_printf(g, "%s: 1\r\n", pf_header_names.leaving);
    }
    return g_string_free(g, FALSE);
}

static char *
sealed_head(const Target *t, const char *id)
{
    char *seal = g_strdup_printf("%s: seal-%s\r\n", pf_header_names.seal, id);
    char *head = response_head(t, id, 200, seal);

    g_free(seal);
    return head;
}

static void
respond_body(Target *t, Caller *c, const char *id, const char *body)
{
    char *head = sealed_head(t, id);

    count_run(t->p, id);
    caller_respond(c, str_of(head), body, strlen(body));
    g_free(head);
}

static void
respond_complete(Target *t, Caller *c, const char *id)
{
    char *body = g_strdup_printf("done %s\n", id);

    respond_body(t, c, id, body);
    g_free(body);
}

/* Sends a refusal of attempt 0000 once more, then the response to attempt id.
 */
static void
respond_after_refusal(Target *t, Caller *c, const char *id)
{
    char *extra = g_strdup_printf("%s: 1\r\n", pf_header_names.not_run);
    char *refusal = response_head(t, "0000", 503, extra);
    char *own = sealed_head(t, id);
    char *tail = g_strdup_printf("%sContent-Length: 3\r\n\r\ndef", own);

    count_run(t->p, id);
    caller_begin(c, str_of(refusal), 0);
    caller_write(c, tail, strlen(tail));
    caller_end(c);
    g_free(extra);
    g_free(refusal);
    g_free(own);
    g_free(tail);
}

/* Sends a part of the response's head, which ends in a header, and closes. */
static void
respond_cut_head(Target *t, Caller *c, const char *id)
{
    char *head = sealed_head(t, id);

    count_run(t->p, id);
    caller_write(c, head, strlen(head) - 1);
    caller_abort(c);
    g_free(head);
}

/* Sends the response to attempt id and, before or after it, a response to
 * attempt 0000.  The second one follows the body of the first without a
 * request. */
static void
respond_twice(Target *t, Caller *c, const char *id, bool other_first)
{
    char *head = sealed_head(t, other_first ? "0000" : id);
    char *next = sealed_head(t, other_first ? id : "0000");
    char *tail = g_strdup_printf("abc%sContent-Length: 3\r\n\r\ndef", next);

    count_run(t->p, id);
    caller_begin(c, str_of(head), 3);
    caller_write(c, tail, strlen(tail));
    caller_end(c);
    g_free(head);
    g_free(next);
    g_free(tail);
}

static void
respond_partial(Target *t, Caller *c, const char *id, int64_t length)
{
    char *head = sealed_head(t, id);

    count_run(t->p, id);
    caller_begin(c, str_of(head), length);
    caller_write(c, "part", 4);
    caller_abort(c);
    g_free(head);
}

static void
respond_large(Target *t, Caller *c, const char *id, size_t n)
{
    char *head = sealed_head(t, id);
    char *body = g_malloc0(n);

    memset(body, 'x', n);
    count_run(t->p, id);
    caller_begin(c, str_of(head), -1);
    caller_write(c, body, n);
    caller_end(c);
    g_free(body);
    g_free(head);
}

static void
on_delay_end(void *ctx, int64_t now_us)
{
    DelayedReply *d = ctx;
    (void)now_us;

    caller_set_user(d->caller, NULL);
    respond_complete(d->t, d->caller, d->id);
    g_free(d->id);
    g_free(d);
}

static void
on_target_disconnected(void *ctx, void *user, int64_t now_us)
{
    Target *t = ctx;
    DelayedReply *d = user;

    (void)now_us;
    if (d->timer.fn == on_endless) {
        endless_disconnected(user);
        return;
    }
    evl_disarm(t->p->loop, &d->timer);
    g_free(d->id);
    g_free(d);
}

static void
respond_delayed(Target *t, Caller *c, const char *id, int64_t now_us)
{
    DelayedReply *d = g_new0(DelayedReply, 1);

    *d = (DelayedReply){t, c, g_strdup(id), {.fn = on_delay_end, .ctx = d}};
    caller_set_user(c, d);
    evl_arm(t->p->loop, &d->timer, now_us + SLOW_DELAY_US);
}

/* Ends the target: its connections and its listener close.  It starts again
 * after DOWN_US. */
static void
on_crash(void *ctx, int64_t now_us)
{
    DelayedReply *d = ctx;
    Target *t = d->t;

    caller_set_user(d->caller, NULL);
    g_free(d->id);
    g_free(d);
    if (t->callers == NULL) {
        return;
    }
    callers_free(t->callers);
    t->callers = NULL;
    t->crashes++;
    evl_arm(t->p->loop, &t->start_timer, now_us + DOWN_US);
}

static void
crash_target(Target *t, Caller *c, const char *id, int64_t now_us)
{
    DelayedReply *d = g_new0(DelayedReply, 1);

    *d = (DelayedReply){t, c, g_strdup(id), {.fn = on_crash, .ctx = d}};
    count_run(t->p, id);
    caller_set_user(c, d);
    evl_arm(t->p->loop, &d->timer, now_us + CRASH_DELAY_US);
}

/* retry_after: value of that header, empty for none. */
static void
respond_not_run(const Target *t, Caller *c, const char *id, int status,
                const char *retry_after)
{
    char *extra = g_strdup_printf(
        "%s: 1\r\n%s%s%s", pf_header_names.not_run,
        *retry_after == '\0' ? "" : "Retry-After: ", retry_after,
        *retry_after == '\0' ? "" : "\r\n");
    char *head = response_head(t, id, status, extra);

    caller_respond(c, str_of(head), "", 0);
    g_free(head);
    g_free(extra);
}

/* Sends answers[name], whose headers are those of the complete response, byte
 * for byte, and keeps the connection open.  Returns false if there is none. */
static bool
respond_raw(Target *t, Caller *c, const char *name, const char *id)
{
    size_t i = 0;

    while (i < G_N_ELEMENTS(answers) && strcmp(answers[i].name, name) != 0) {
        i++;
    }
    if (i == G_N_ELEMENTS(answers)) {
        return false;
    }
    char *head = sealed_head(t, id);
    const char *headers = strchr(head, '\n') + 1;

    count_run(t->p, id);
    caller_write(c, answers[i].before.p, answers[i].before.n);
    caller_write(c, headers, strlen(headers));
    caller_write(c, answers[i].after.p, answers[i].after.n);
    caller_end(c);
    g_free(head);
    return true;
}

static void
run_request(Target *t, Caller *c, const char *behaviour, const char *id,
            int64_t now_us)
{
    if (strcmp(behaviour, "cut") == 0 || strcmp(behaviour, "cutchunk") == 0) {
        respond_partial(t, c, id, behaviour[3] == '\0' ? 100 : -1);
    }
    else if (strcmp(behaviour, "oldrefusal") == 0) {
        respond_after_refusal(t, c, id);
    }
    else if (strcmp(behaviour, "cuthead") == 0) {
        respond_cut_head(t, c, id);
    }
    else if (strcmp(behaviour, "garble") == 0) {
        caller_begin(c, str_of("these bytes are no answer\r\n"), 0);
        caller_abort(c);
    }
    else if (strcmp(behaviour, "extra") == 0 ||
             strcmp(behaviour, "otherid") == 0) {
        respond_twice(t, c, id, behaviour[0] == 'o');
    }
    else if (strcmp(behaviour, "reset") == 0) {
        caller_abort(c);
    }
    else if (strcmp(behaviour, "lost") == 0) {
        count_run(t->p, id);
        caller_abort(c);
    }
    else if (strcmp(behaviour, "notrun") == 0) {
        respond_not_run(t, c, id, 503, "");
    }
    else if (strcmp(behaviour, "misdirected") == 0) {
        respond_not_run(t, c, id, 421, "");
    }
    else if (strcmp(behaviour, "crash") == 0) {
        crash_target(t, c, id, now_us);
    }
    else if (strcmp(behaviour, "slow") == 0) {
        respond_delayed(t, c, id, now_us);
    }
    else if (strcmp(behaviour, "service") == 0) {
        respond_body(t, c, id, t->service);
    }
    else if (g_str_has_prefix(behaviour, "endless")) {
        char *head = sealed_head(t, id);
        count_run(t->p, id);
        if (!endless_begin(t->p, c, behaviour + strlen("endless"), head,
                           now_us)) {
            respond_not_run(t, c, id, 404, "");
        }
        g_free(head);
    }
    else if (g_str_has_prefix(behaviour, "answer")) {
        if (!respond_raw(t, c, behaviour + strlen("answer"), id)) {
            respond_not_run(t, c, id, 404, "");
        }
    }
    else if (strcmp(behaviour, "large") == 0) {
        respond_large(t, c, id, LARGE_BYTES);
    }
    else if (g_str_has_prefix(behaviour, "huge")) {
        size_t kb = (size_t)atoi(behaviour + strlen("huge"));
        respond_large(t, c, id, MIN(kb, HUGE_MAX_KB) * 1024);
    }
    else {
        respond_complete(t, c, id);
    }
}

static void
on_target(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Target *t = ctx;
    Str id = h1_get(req, pf_header_names.attempt);
    char *attempt_id = g_strndup(id.p, id.n);
    char *path = g_strndup(req->target.p, req->target.n);

    bool mine = str_eqz(h1_get(req, pf_header_names.want_upstream), t->id);
    if (mine) {
        t->arrived++;
        bool responds =
            *t->retry_after != '\0' || g_str_has_suffix(path, "/ok");
        notice_check(t, req, responds, now_us);
    }
    if (!mine) {
        respond_not_run(t, c, attempt_id, 421, "");
    }
    else if (*t->retry_after != '\0') {
        respond_not_run(t, c, attempt_id, 503, t->retry_after);
    }
    else {
        t->served++;
        run_request(t, c, strrchr(path, '/') + 1, attempt_id, now_us);
    }
    g_free(attempt_id);
    g_free(path);
}

#endif
