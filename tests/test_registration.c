/* Tests of the entry of a VM in the store: which value is there in the end,
 * whatever the answers of the store look like. */
#include "t.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "http_stub.h"
#include "pf.h"
#include "registration.h"

#define MS INT64_C(1000)
#define ANSWER_US (100 * MS)
#define RUN_US (2500 * MS)
/* A value that is set during a call is written with the next one. */
#define CHANGED_US (400 * MS)
#define SLOW_US (900 * MS)      /* less than the limit of a call */
#define RENEWALS_US (6600 * MS) /* of at least two renewals */
/* Between two renewals: 1.6 s, up to 30 % more, and time of the machine. */
#define INTERVAL_MAX_US (2300 * MS)
#define CONNS_MAX 8
#define KEY "vm/vm-1"
#define LEASE "{\"Lease\":7,\"Ttl_time\":\"4000ms\"}"

/* Answers each call after ANSWER_US. */
typedef struct Store {
    Evl *loop;
    Stub stub;
    EvlTimer answer;
    StubConn *caller; /* of the call that is answered next */
    int status;
    const char *body;
    /* The next write gets a copy of the answer that granted the lease, and is
     * refused. */
    bool copies;
    bool renewing;      /* a renewal was called */
    int64_t slow_us;    /* time after which renewals are answered; 0: ANSWER_US
                         */
    int64_t renewal_us; /* when the last renewal arrived, or 0 */
    int64_t interval_us; /* longest time between two renewals */
    char written[32];    /* by the call that is answered next; "": none */
    char value[32];
    KvHist history; /* of the registration */
    int era;        /* of the answers; 0: none is named */
    bool lost;      /* the first renewal gets the answer of the next era */
    int n_leases;
    int n_writes;
    Registration *reg;
    GRand *rnd;
    Dlog *log;
} Store;

/* Takes the value of a write, which counts once the answer is sent. */
static void
read_value(Store *s, const StubConn *c)
{
    char body[512] = "";
    gsize n;

    memcpy(body, c->req.body->data, MIN(c->req.body->len, sizeof(body) - 1));
    char *at = strstr(body, "\"Value\":\"") + strlen("\"Value\":\"");
    *strchr(at, '"') = '\0';
    guchar *value = g_base64_decode(at, &n);
    snprintf(s->written, sizeof(s->written), "%.*s", (int)n, (char *)value);
    g_free(value);
}

static void
on_answer(void *ctx, int64_t now_us)
{
    Store *s = ctx;
    (void)now_us;

    if (s->caller->strm.open && s->written[0] != '\0') {
        g_strlcpy(s->value, s->written, sizeof(s->value));
    }
    stub_respond(s->caller, STUB_ERA(s->era, s->status), s->body);
}

static void
count_interval(Store *s, int64_t now_us)
{
    if (s->renewal_us != 0) {
        s->interval_us = MAX(s->interval_us, now_us - s->renewal_us);
    }
    s->renewal_us = now_us;
}

static void
on_request(void *ctx, StubConn *c)
{
    Store *s = ctx;

    s->caller = c;
    s->status = 200;
    s->body = "{}";
    s->written[0] = '\0';
    s->renewing = stub_target_has(c, "/api/kv-keep");
    if (stub_target_has(c, "/api/kv-lease")) {
        s->body = LEASE;
        s->n_leases++;
    }
    else if (stub_target_has(c, "/api/kv-txn") && s->copies) {
        s->copies = false;
        s->status = 503;
        stub_respond(c, 200, LEASE);
    }
    else if (stub_target_has(c, "/api/kv-txn")) {
        s->body = "{\"Succeeded\":true,\"Rev\":9}";
        read_value(s, c);
        s->n_writes++;
    }
    else if (s->renewing && s->lost) {
        s->lost = false;
        s->era++;
    }
    int64_t answer_us = s->slow_us > 0 && s->renewing ? s->slow_us : ANSWER_US;
    evl_arm(s->loop, &s->answer, evl_now(s->loop) + answer_us);
    if (s->renewing) {
        count_interval(s, evl_now(s->loop));
    }
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
run_for(Store *s, int64_t us)
{
    EvlTimer end = {.fn = on_end, .ctx = s->loop};

    evl_arm(s->loop, &end, evl_now(s->loop) + us);
    evl_run(s->loop);
}

static void
on_history(void *ctx, uint64_t before, int64_t now_us)
{
    Store *s = ctx;
    (void)before;
    (void)now_us;

    s->value[0] = '\0';
    registration_begin_history(s->reg);
}

static void
start(Store *s)
{
    DlogOpts lo = {STDERR_FILENO, 100, 65536};

    s->loop = evl_new();
    s->log = dlog_new(&lo);
    s->rnd = g_rand_new_with_seed(1);
    s->answer = (EvlTimer){.fn = on_answer, .ctx = s};
    stub_open(&s->stub, s->loop, on_request, s);
    s->history = (KvHist){.log = s->log,
                          .header = pf_kv.history_header,
                          .begun = on_history,
                          .ctx = s};
    RegistrationOpts o = {s->loop, s->log, &pf_kv,     s->stub.at,
                          s->rnd,  NULL,   &s->history};
    s->reg = registration_new(&o);
    registration_set(s->reg, KEY, "leaving=0");
}

static void
clear(Store *s)
{
    registration_free(s->reg);
    evl_disarm(s->loop, &s->answer);
    ck_assert_uint_le(s->stub.conns->len, CONNS_MAX);
    stub_close(&s->stub);
    g_rand_free(s->rnd);
    dlog_free(s->log);
    evl_free(s->loop);
}

/* Guards against a VM that counts its entry as written, and is missing from
 * the list for good, because a late second copy of the answer that granted the
 * lease was read as that of the write, which the store refused. */
START_TEST(a_copy_of_the_answer_before_does_not_confirm_a_write)
{
    Store s = {.copies = true};

    start(&s);
    run_for(&s, RUN_US);
    ck_assert_str_eq(s.value, "leaving=0");
    clear(&s);
}
END_TEST

/* Guards against a VM whose leaving is never written, because a planned stop
 * began while its entry was being written. */
START_TEST(a_value_that_is_set_during_a_write_is_written)
{
    Store s = {0};

    start(&s);
    run_for(&s, ANSWER_US * 3 / 2); /* the lease is there, the write is not */
    registration_set(s.reg, KEY, "leaving=1");
    run_for(&s, CHANGED_US);
    ck_assert_str_eq(s.value, "leaving=1");
    clear(&s);
}
END_TEST

/* Guards against a leaving that others learn of after the next renewal only.
 */
START_TEST(a_value_that_is_set_during_a_renewal_is_written_at_once)
{
    Store s = {0};

    start(&s);
    for (int i = 0; i < 400 && !s.renewing; i++) {
        run_for(&s, 10 * MS);
    }
    ck_assert(s.renewing);
    registration_set(s.reg, KEY, "leaving=1");
    run_for(&s, CHANGED_US);
    ck_assert_str_eq(s.value, "leaving=1");
    clear(&s);
}
END_TEST

/* Guards against a lease that ends although each renewal succeeds: on a slow
 * link the answers take as long as the time between two renewals. */
START_TEST(the_time_of_an_answer_does_not_delay_the_next_renewal)
{
    Store s = {.slow_us = SLOW_US};

    start(&s);
    run_for(&s, RENEWALS_US);
    ck_assert_int_gt(s.interval_us, 0);
    ck_assert_int_lt(s.interval_us, INTERVAL_MAX_US);
    clear(&s);
}
END_TEST

/* Guards against a lease that ends because the entry changes before each
 * renewal, and each write delays it. */
START_TEST(writes_do_not_delay_a_renewal)
{
    Store s = {0};

    start(&s);
    for (int i = 0; i < 6; i++) {
        run_for(&s, RENEWALS_US / 6);
        registration_set(s.reg, KEY, "leaving=1");
    }
    ck_assert_int_gt(s.interval_us, 0);
    ck_assert_int_lt(s.interval_us, INTERVAL_MAX_US);
    clear(&s);
}
END_TEST

/* Guards against a VM whose entry is lost with what the store has lost, and
 * which keeps the lease of another VM alive, as its id was given out again:
 * the renewal is answered with success. */
START_TEST(entry_is_written_with_a_new_lease_in_a_later_history)
{
    Store s = {.era = 1, .lost = true};

    start(&s);
    run_for(&s, RUN_US + RUN_US);
    ck_assert_int_eq(s.era, 2);
    ck_assert_int_eq(s.n_leases, 2);
    ck_assert_int_eq(s.n_writes, 2);
    ck_assert_str_eq(s.value, "leaving=0");
    clear(&s);
}
END_TEST

T_MAIN("registration", a_copy_of_the_answer_before_does_not_confirm_a_write,
       a_value_that_is_set_during_a_write_is_written,
       a_value_that_is_set_during_a_renewal_is_written_at_once,
       the_time_of_an_answer_does_not_delay_the_next_renewal,
       writes_do_not_delay_a_renewal,
       entry_is_written_with_a_new_lease_in_a_later_history)
