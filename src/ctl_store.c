/* ctl_store - reads and writes the stored configuration for mimosactl.
 * See ctl_cmd.h. */
#include "ctl_cmd.h"

#include <stdio.h>
#include <string.h>

#include "storelimit.h"

#define CONFIG_PATH "/v1/kv/config"
#define RETRY_PAUSE_MS 200 /* between two attempts of a store call */
/* The store budget is larger than that of a node, because an operator's
 * command is short. */
#define CALLS_PER_S 20.0
#define CALLS_BURST 20.0

/* Result of one synchronous call. */
typedef struct SyncCall {
    bool done;
    int status;
    uint64_t version;
    GBytes *body;
    Err e;
} SyncCall;

static void
on_done(void *ctx, const StoreAnswer *a, const Err *e)
{
    SyncCall *w = ctx;

    w->done = true;
    w->status = a->status;
    w->version = a->version;
    w->body = a->status != 0 && a->body != NULL ? g_bytes_ref(a->body) : NULL;
    w->e = *e;
}

static void
sync_call_clear(SyncCall *w)
{
    if (w->body != NULL) {
        g_bytes_unref(w->body);
    }
    memset(w, 0, sizeof(*w));
}

bool
ctl_open(Ctl *c, Err *e)
{
    int64_t now = g_get_monotonic_time();

    if (c->o.config == NULL) {
        return err_set(e, ERR_USAGE,
                       "--config: found nothing; allowed: a settings file "
                       "with [store] and [fleet]; give --config FILE or set "
                       "MIMOSA_CONFIG");
    }
    if (!settings_read_operator(&c->s, c->o.config, e)) {
        return false;
    }
    storelimit_init(&c->q, CALLS_PER_S, CALLS_BURST, now);
    c->rnd = g_rand_new();
    c->store = storehttp_new(c->s.store, &c->q, c->rnd);
    c->deadline_us = now + c->o.timeout_ms * 1000;
    return true;
}

void
ctl_close(Ctl *c)
{
    if (c->store != NULL) {
        storehttp_free(c->store);
        g_rand_free(c->rnd);
        c->store = NULL;
    }
}

/* Calls the store once and waits for the result.  Returns false without an
 * answer; it is then unknown whether a write took effect. */
static bool
call_sync(Ctl *c, const char *method, const char *path, GBytes *body,
          SyncCall *w)
{
    sync_call_clear(w);
    /* Clear the backoff, which is meant for nodes: it would delay the read
     * that resolves a lost answer. */
    c->q.not_before_us = 0;
    if (!storehttp_call(c->store, method, path, body, STORE_TIMEOUT_MS,
                        on_done, w)) {
        return err_set(&w->e, ERR_UNAVAILABLE,
                       "store %s: no call allowed now; try again later",
                       c->s.store);
    }
    while (!w->done) {
        g_main_context_iteration(NULL, TRUE);
    }
    return w->status != 0;
}

static bool
before_deadline(const Ctl *c)
{
    return g_get_monotonic_time() < c->deadline_us;
}

static bool
decode_config(CtlStored *out, GBytes *body, Err *e)
{
    gsize n = 0;
    const char *p = g_bytes_get_data(body, &n);

    out->text = g_string_new(NULL);
    if (!cfg_decode((Str){p, n}, &out->version, out->change_id, out->text,
                    e)) {
        return err_prefix(e, "store key config");
    }
    out->m = manifest_parse((Str){out->text->str, out->text->len}, NULL);
    return true;
}

bool
ctl_stored_read(Ctl *c, CtlStored *out, Err *e)
{
    SyncCall w = {0};

    memset(out, 0, sizeof(*out));
    while (!call_sync(c, "GET", CONFIG_PATH, NULL, &w)) {
        if (!before_deadline(c)) {
            return err_set(e, ERR_UNAVAILABLE, "%s", w.e.text);
        }
        g_usleep(RETRY_PAUSE_MS * 1000);
    }
    bool ok = true;
    if (w.status == 200) {
        out->store_version = w.version;
        ok = decode_config(out, w.body, e);
        if (!ok) {
            ctl_stored_clear(out);
        }
    }
    else if (w.status != 404) {
        ok = err_set(e, ERR_PROTOCOL,
                     "store %s: found status %d for key config; allowed: 200 "
                     "or 404; check [store] address",
                     c->s.store, w.status);
    }
    sync_call_clear(&w);
    return ok;
}

void
ctl_stored_clear(CtlStored *s)
{
    if (s->text != NULL) {
        g_string_free(s->text, TRUE);
    }
    manifest_free(s->m);
    memset(s, 0, sizeof(*s));
}

/* Finds out by a read whether a change took effect, after a lost answer or a
 * failed compare-and-swap.  Sets *out, and sets e if another change replaced
 * it or was written first. */
static bool
resolve_write(Ctl *c, const CtlStored *base, const char *change_id,
              CfgWrite *out, Err *e)
{
    CtlStored now;

    if (!ctl_stored_read(c, &now, e)) {
        return err_prefix(e, "whether the change took effect is not known; "
                             "apply the same file again to find out");
    }
    *out = cfg_resolve(base->version, change_id, now.version, now.change_id);
    if (*out == CFG_SUPERSEDED) {
        err_set(e, ERR_CONFLICT,
                "found version %" G_GUINT64_FORMAT " (change %s) in the "
                "store; allowed: version %" G_GUINT64_FORMAT " (change %s), "
                "which may have been in force before it; look at \"mimosactl "
                "diff\" and apply again",
                now.version, now.change_id, base->version + 1, change_id);
    }
    else if (*out == CFG_LOST_RACE) {
        err_set(e, ERR_CONFLICT,
                "found version %" G_GUINT64_FORMAT " (change %s) in the "
                "store; allowed: a change of version %" G_GUINT64_FORMAT
                ", which version %" G_GUINT64_FORMAT " (change %s) was to "
                "replace; look at \"mimosactl diff\" and apply again",
                now.version, now.change_id, base->version, base->version + 1,
                change_id);
    }
    ctl_stored_clear(&now);
    return true;
}

/* Repeats a write until its outcome is known.  Repetition is safe: the
 * compare-and-swap lets at most one of the attempts take effect. */
static bool
write_until_resolved(Ctl *c, const CtlStored *base, const char *change_id,
                     GBytes *envelope, Err *e)
{
    char path[64];
    SyncCall w = {0};

    snprintf(path, sizeof(path), CONFIG_PATH "?cas=%" G_GUINT64_FORMAT,
             base->store_version);
    for (;;) {
        CfgWrite outcome = CFG_NOT_YET;
        bool known = call_sync(c, "PUT", path, envelope, &w);
        int status = w.status;
        sync_call_clear(&w);
        if (known && status == 200) {
            return true;
        }
        if (known && status != 409) {
            return err_set(e, ERR_PROTOCOL,
                           "store %s: found status %d for a write of key "
                           "config; allowed: 200 or 409; check [store] "
                           "address",
                           c->s.store, status);
        }
        if (!resolve_write(c, base, change_id, &outcome, e)) {
            return false;
        }
        if (outcome != CFG_NOT_YET) {
            return outcome == CFG_WROTE;
        }
        if (!before_deadline(c)) {
            return err_set(e, ERR_UNAVAILABLE,
                           "store %s: the change did not take effect in "
                           "time; apply it again when the store answers",
                           c->s.store);
        }
        g_usleep(RETRY_PAUSE_MS * 1000);
    }
}

bool
ctl_stored_write(Ctl *c, const CtlStored *base, Str text, uint64_t *version,
                 Err *e)
{
    gchar *change_id = g_uuid_string_random();

    *version = base->version + 1;
    GBytes *envelope = cfg_encode(*version, change_id, text, e);
    bool ok = envelope != NULL &&
              write_until_resolved(c, base, change_id, envelope, e);
    if (envelope != NULL) {
        g_bytes_unref(envelope);
    }
    if (ok) {
        printf("version %" G_GUINT64_FORMAT " accepted (change %s)\n",
               *version, change_id);
        fflush(stdout);
    }
    g_free(change_id);
    return ok;
}
