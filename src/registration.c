/* registration - this VM's own entry in the store.  See registration.h. */
#include "registration.h"

#include <string.h>

#define CALL_TIMEOUT_US 1000000
#define RETRY_US 1200000
/* Pause after an attempt to connect, which costs the store nothing. */
#define RECONNECT_US 300000
#define LEASE_TTL_US 4000000
#define LEASE_KEEP_US 1600000 /* so that one renewal may fail */

struct Registration {
    RegistrationOpts o;
    KvConn *conn;
    EvlTimer timer;
    char *key;
    char *value;
    bool written;   /* the value is in the store */
    bool changed;   /* the value was set since the last write was begun */
    uint64_t lease; /* 0: none */
    int64_t ttl_us; /* of the lease */
    /* Start of the last call, of the one that began the lease, and of the last
     * one that began or renewed the lease of an entry that is in the store; of
     * the clock of evl_boottime(). */
    int64_t called_us;
    int64_t leased_us;
    int64_t renewed_us;
    int64_t calls;
};

static void next_call(Registration *r);

static void
schedule_call(Registration *r, int64_t us)
{
    double jitter = g_rand_double_range(r->o.rnd, 0.7, 1.3);

    evl_arm(r->o.loop, &r->timer,
            evl_now(r->o.loop) + (int64_t)((double)us * jitter));
}

/* Time since a call began. */
static int64_t
since(int64_t called_us)
{
    return evl_boottime() - called_us;
}

static void
call_failed(Registration *r, const char *what, int status)
{
    dlog_event(r->o.log, DLOG_INFO, "store",
               "event=call_failed key=%s call=%s status=%d", r->key, what,
               status);
    if (status == KV_NOT_SENT) {
        schedule_call(r, RECONNECT_US);
        return;
    }
    /* A call that took longer than usual leaves less time of the lease. */
    schedule_call(r, CLAMP(CALL_TIMEOUT_US + RETRY_US - since(r->called_us),
                           RECONNECT_US, RETRY_US));
}

/* After a successful call: writes a value that was set meanwhile, or waits for
 * the time of the renewal, which counts from the last one. */
static void
continue_registration(Registration *r)
{
    if (r->written) {
        schedule_call(r, MAX(LEASE_KEEP_US - since(r->renewed_us), 0));
    }
    else {
        next_call(r);
    }
}

static void
on_put(void *ctx, int status, Str body, int64_t now_us)
{
    Registration *r = ctx;
    KvLease l;
    Err e = {0};
    (void)now_us;

    if (status == KV_LATER) {
        return;
    }
    if (status == 200 && r->o.codec->read_lease(body, &l, &e)) {
        /* A second copy of the answer that granted the lease. */
        kv_disconnect(r->conn);
        status = KV_NO_ANSWER;
    }
    if (status == 200) {
        r->written = !r->changed;
        r->renewed_us = MAX(r->renewed_us, r->leased_us);
        continue_registration(r);
        return;
    }
    if (status == 404) { /* the lease has ended */
        r->lease = 0;
    }
    call_failed(r, "put", status);
}

static void
on_lease(void *ctx, int status, Str body, int64_t now_us)
{
    Registration *r = ctx;
    KvLease l;
    Err e = {0};
    (void)now_us;

    if (status == KV_LATER) {
        return;
    }
    if (status == 200 && r->o.codec->read_lease(body, &l, &e)) {
        r->lease = l.id;
        r->ttl_us = l.ttl_us;
        r->leased_us = r->called_us;
        r->written = false;
        next_call(r);
        return;
    }
    call_failed(r, "lease", status);
}

static void
on_keep(void *ctx, int status, Str body, int64_t now_us)
{
    Registration *r = ctx;
    (void)body;
    (void)now_us;

    if (status == KV_LATER) {
        return;
    }
    if (status == 404) { /* the lease has ended, and with it the entry */
        r->lease = 0;
        r->written = false;
        next_call(r);
        return;
    }
    if (status == 200) {
        r->renewed_us = r->called_us;
        continue_registration(r);
        return;
    }
    call_failed(r, "renew", status);
}

/* Starts the next call: for a lease, the entry or a renewal. */
static void
next_call(Registration *r)
{
    const KvCodec *k = r->o.codec;

    if (r->key == NULL) {
        return;
    }
    r->calls++;
    r->called_us = evl_boottime();
    if (r->lease == 0) {
        kv_call(r->conn, k->lease_new(LEASE_TTL_US), CALL_TIMEOUT_US, on_lease,
                r);
    }
    else if (!r->written) {
        r->changed = false;
        kv_call(r->conn, k->put(r->key, str_of(r->value), r->lease),
                CALL_TIMEOUT_US, on_put, r);
    }
    else {
        kv_call(r->conn, k->lease_renew(r->lease), CALL_TIMEOUT_US, on_keep,
                r);
    }
}

static void
on_timer(void *ctx, int64_t now_us)
{
    (void)now_us;
    if (!kv_busy(((Registration *)ctx)->conn)) {
        next_call(ctx);
    }
}

Registration *
registration_new(const RegistrationOpts *o)
{
    Registration *r = g_new0(Registration, 1);

    r->o = *o;
    r->conn = kv_new(o->loop, &o->store, o->log);
    kv_share_backlog(r->conn, o->backlog);
    kv_share_history(r->conn, o->history);
    r->timer = (EvlTimer){.fn = on_timer, .ctx = r};
    return r;
}

void
registration_free(Registration *r)
{
    evl_disarm(r->o.loop, &r->timer);
    kv_free(r->conn);
    g_free(r->key);
    g_free(r->value);
    g_free(r);
}

void
registration_set(Registration *r, const char *key, const char *value)
{
    g_free(r->key);
    g_free(r->value);
    r->key = g_strdup(key);
    r->value = g_strdup(value);
    r->written = false;
    r->changed = true;
    if (!kv_busy(r->conn)) {
        next_call(r);
    }
}

void
registration_removed(Registration *r, const char *key)
{
    if (r->key == NULL || !r->written || strcmp(key, r->key) != 0) {
        return;
    }
    dlog_event(r->o.log, DLOG_WARN, "store", "event=record_lost");
    r->written = false;
    r->lease = 0;
    if (!kv_busy(r->conn)) {
        next_call(r);
    }
}

void
registration_begin_history(Registration *r)
{
    /* registration_valid_until() stays: other VMs keep the entry for a while,
     * and a VM that left its share for longer than a lease. */
    kv_cancel(r->conn);
    evl_disarm(r->o.loop, &r->timer);
    r->lease = 0;
    r->written = false;
    next_call(r);
}

int64_t
registration_valid_until(const Registration *r)
{
    /* The lease runs from the arrival of the call, which is later. */
    return r->renewed_us == 0 ? 0 : r->renewed_us + r->ttl_us;
}

int64_t
registration_calls(const Registration *r)
{
    return r->calls;
}
