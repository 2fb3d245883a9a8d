/*
 * platform_notice - checks that entry VMs keep to what targets say in their
 * responses: that they leave, and how long they want to be sent nothing.
 *
 * A request that carries the headers below names the entry VM process and the
 * time at which its caller sent it.  Requests without them are not checked.
 */
#ifndef MIMOSA_PLATFORM_NOTICE_H
#define MIMOSA_PLATFORM_NOTICE_H

#include "platform_store.h"

#define NOTICE_VM "X-Test-Vm"
#define NOTICE_SENT "X-Test-Sent-Us"
#define NOTICE_DRAIN_US 2500000 /* setting drain of the tests */
#define WAIT_START_US 500000    /* until a wait has to be kept */
#define WAIT_REQUESTS_MAX 2

/* What a target has told an entry VM process. */
typedef struct Told {
    int64_t leaving_us;   /* first response that said so; 0: none */
    int64_t wait_from_us; /* the current wait */
    int64_t wait_until_us;
    int in_wait; /* requests that were sent and arrived during the wait */
} Told;

static Told *
told_of(Target *t, Str vm)
{
    char *key = g_strndup(vm.p, vm.n);
    Told *x = g_hash_table_lookup(t->told, key);

    if (x == NULL) {
        x = g_new0(Told, 1);
        g_hash_table_insert(t->told, key, x);
        return x;
    }
    g_free(key);
    return x;
}

/* Checks a request that has arrived, and records what its response will tell.
 * responds: the response is sent at once and whole. */
static void
notice_check(Target *t, const H1 *req, bool responds, int64_t now_us)
{
    Str vm = h1_get(req, NOTICE_VM);
    uint64_t sent;

    if (t->path_cut || vm.n == 0 ||
        !str_u64(h1_get(req, NOTICE_SENT), INT64_MAX, &sent)) {
        return;
    }
    Told *x = told_of(t, vm);
    int64_t sent_us = (int64_t)sent;
    if (x->leaving_us != 0 && sent_us > x->leaving_us + NOTICE_DRAIN_US) {
        t->p->late_after_notice++;
    }
    if (sent_us > x->wait_from_us + WAIT_START_US &&
        now_us < x->wait_until_us && ++x->in_wait > WAIT_REQUESTS_MAX) {
        t->p->during_wait++;
    }
    if (t->leaving && responds && x->leaving_us == 0) {
        x->leaving_us = now_us;
    }
    int64_t wait_us = (int64_t)(g_ascii_strtod(t->retry_after, NULL) * 1e6);
    if (wait_us > 0 && now_us >= x->wait_until_us) {
        x->wait_from_us = now_us;
        x->wait_until_us = now_us + wait_us;
        x->in_wait = 0;
    }
}

#endif
