/*
 * platform_targets - the targets of standin-platform: they run requests, or
 * fail in the way that the path names.
 */
#ifndef MIMOSA_PLATFORM_TARGETS_H
#define MIMOSA_PLATFORM_TARGETS_H

#include "platform_endless.h"
#include "platform_store.h"

static void
ran(Platform *p, const char *id)
{
    int n = GPOINTER_TO_INT(g_hash_table_lookup(p->runs, id));

    g_hash_table_replace(p->runs, g_strdup(id), GINT_TO_POINTER(n + 1));
}

static char *
answer_head(const char *id, int status, const char *extra)
{
    return g_strdup_printf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: 1,0,%d\r\n%s",
                           status, pf_header_names.attempt, id,
                           pf_header_names.load, RUN_SLOTS, extra);
}

static char *
sealed_head(const char *id)
{
    char *seal = g_strdup_printf("%s: seal-%s\r\n", pf_header_names.seal, id);
    char *head = answer_head(id, 200, seal);

    g_free(seal);
    return head;
}

static void
answer_run(Platform *p, Caller *c, const char *id)
{
    char *head = sealed_head(id);
    char *body = g_strdup_printf("done %s\n", id);

    ran(p, id);
    caller_respond(c, str_of(head), body, strlen(body));
    g_free(head);
    g_free(body);
}

/* A whole answer with other bytes before or behind it. */
static void
answer_twice(Platform *p, Caller *c, const char *id, bool other_first)
{
    char *head = sealed_head(other_first ? "0000" : id);
    char *next = sealed_head(other_first ? id : "0000");
    char *more = g_strdup_printf("abc%sContent-Length: 3\r\n\r\ndef", next);

    ran(p, id);
    caller_begin(c, str_of(head), 3);
    caller_write(c, more, strlen(more));
    caller_end(c);
    g_free(head);
    g_free(next);
    g_free(more);
}

static void
answer_part(Platform *p, Caller *c, const char *id, int64_t length)
{
    char *head = sealed_head(id);

    ran(p, id);
    caller_begin(c, str_of(head), length);
    caller_write(c, "part", 4);
    caller_abort(c);
    g_free(head);
}

static void
answer_large(Platform *p, Caller *c, const char *id)
{
    char *head = sealed_head(id);
    char *body = g_malloc0(LARGE_BYTES);

    memset(body, 'x', LARGE_BYTES);
    ran(p, id);
    caller_begin(c, str_of(head), -1);
    caller_write(c, body, LARGE_BYTES);
    caller_end(c);
    g_free(body);
    g_free(head);
}

static void
on_late(void *ctx, int64_t now_us)
{
    Late *l = ctx;
    (void)now_us;

    caller_set_user(l->caller, NULL);
    answer_run(l->t->p, l->caller, l->id);
    g_free(l->id);
    g_free(l);
}

static void
on_late_left(void *ctx, void *user, int64_t now_us)
{
    Target *t = ctx;
    Late *l = user;

    (void)now_us;
    if (l->timer.fn == on_endless) {
        endless_left(user);
        return;
    }
    evl_disarm(t->p->loop, &l->timer);
    g_free(l->id);
    g_free(l);
}

static void
answer_late(Target *t, Caller *c, const char *id, int64_t now_us)
{
    Late *l = g_new0(Late, 1);

    *l = (Late){t, c, g_strdup(id), {.fn = on_late, .ctx = l}};
    caller_set_user(c, l);
    evl_arm(t->p->loop, &l->timer, now_us + SLOW_US);
}

static void
say_not_run(Caller *c, const char *id, int status)
{
    char *extra = g_strdup_printf("%s: 1\r\n", pf_header_names.not_run);
    char *head = answer_head(id, status, extra);

    caller_respond(c, str_of(head), "", 0);
    g_free(head);
    g_free(extra);
}

static void
run_fault(Target *t, Caller *c, const char *what, const char *id,
          int64_t now_us)
{
    Platform *p = t->p;

    if (strcmp(what, "cut") == 0 || strcmp(what, "cutchunk") == 0) {
        answer_part(p, c, id, what[3] == '\0' ? 100 : -1);
    }
    else if (strcmp(what, "garble") == 0) {
        caller_begin(c, str_of("these bytes are no answer\r\n"), 0);
        caller_abort(c);
    }
    else if (strcmp(what, "extra") == 0 || strcmp(what, "otherid") == 0) {
        answer_twice(p, c, id, what[0] == 'o');
    }
    else if (strcmp(what, "reset") == 0) {
        caller_abort(c);
    }
    else if (strcmp(what, "lost") == 0) {
        ran(p, id);
        caller_abort(c);
    }
    else if (strcmp(what, "notrun") == 0) {
        say_not_run(c, id, 503);
    }
    else if (strcmp(what, "misdirected") == 0) {
        say_not_run(c, id, 421);
    }
    else if (strcmp(what, "slow") == 0) {
        answer_late(t, c, id, now_us);
    }
    else if (g_str_has_prefix(what, "endless")) {
        char *head = sealed_head(id);
        ran(p, id);
        endless_begin(t, c, what + strlen("endless"), head, now_us);
        g_free(head);
    }
    else if (strcmp(what, "large") == 0) {
        answer_large(p, c, id);
    }
    else {
        answer_run(p, c, id);
    }
}

static void
on_target(void *ctx, Caller *c, const H1 *req, int64_t now_us)
{
    Target *t = ctx;
    Str id = h1_get(req, pf_header_names.attempt);
    char *z = g_strndup(id.p, id.n);
    char *path = g_strndup(req->target.p, req->target.n);

    if (!str_eqz(h1_get(req, pf_header_names.want_upstream), t->id)) {
        say_not_run(c, z, 421);
    }
    else {
        t->served++;
        run_fault(t, c, strrchr(path, '/') + 1, z, now_us);
    }
    g_free(z);
    g_free(path);
}

#endif
