/* Tests of crash, peer and vml: crashing requests, heartbeats between VMs and
 * the list of VMs. */
#include "t.h"

#include <string.h>
#include <unistd.h>

#include "crash.h"
#include "hash.h"
#include "peer.h"
#include "strm.h"
#include "vml.h"

#define MS 1000LL
#define S (1000 * MS)
#define NOW (100 * S)

static Ups *
upstream(uint64_t key)
{
    Ups *u = g_new0(Ups, 1);

    u->refs = 1;
    u->key = key;
    u->boot_ms = 5;
    return u;
}

typedef struct Sent {
    int n;
    CrashMsg last;
} Sent;

static void
record_sent(void *ctx, int vm, const CrashMsg *m)
{
    Sent *s = ctx;
    (void)vm;

    s->n++;
    s->last = *m;
}

static Crashes *
vm_of_two(Sent *sent, int self)
{
    static const PickVm list[] = {{1, 0}, {2, 0}};
    Crashes *c =
        crash_new(&(CrashOpts){.fns = {.send = record_sent}, .ctx = sent});

    crash_set_vms(c, list, G_N_ELEMENTS(list), self);
    return c;
}

static void
lose_response(Crashes *c, uint64_t fingerprint, uint64_t key, int64_t now_us)
{
    Ups *u = upstream(key);

    crash_response_lost(c, fingerprint, u, now_us);
    ups_observe_connect_failure(u, now_us + 10 * MS);
    crash_step(c, now_us + 20 * MS);
    ups_unref(u);
}

/* Guards against a request that crashes one upstream after the other because
 * callers repeat it at several VMs. */
START_TEST(crashing_request_is_refused_by_all_vms)
{
    Sent sent[2] = {0};
    Crashes *vm[2] = {vm_of_two(&sent[0], 0), vm_of_two(&sent[1], 1)};
    uint64_t fingerprint = crash_fingerprint(str_of("GET"), str_of("/a"),
                                             str_of("7"), str_of(""));
    int64_t t = NOW;

    for (uint64_t i = 0; i < CRASH_LIMIT; i++) {
        ck_assert(!crash_should_refuse(vm[0], fingerprint, t));
        lose_response(vm[0], fingerprint, i, t);
        ck_assert_int_gt(sent[0].n, (int)i);
        crash_receive(vm[1], &sent[0].last, t + 30 * MS);
        t += S;
    }
    ck_assert(crash_should_refuse(vm[0], fingerprint, t));
    ck_assert(!crash_should_refuse(vm[0], fingerprint + 1, t));
    ck_assert(crash_should_refuse(vm[1], fingerprint, t));
    ck_assert(!crash_should_refuse(vm[1], fingerprint, t + 100 * S));
    crash_free(vm[0]);
    crash_free(vm[1]);
}
END_TEST

/* Guards against a repeated message that counts as another crash. */
START_TEST(repeated_report_is_one_crash)
{
    Sent sent = {0};
    Crashes *c = vm_of_two(&sent, 0);
    CrashMsg m = {.n_reports = 1, .reports = {{7, 1, 0, false}}};

    for (int i = 0; i < 10; i++) {
        crash_receive(c, &m, NOW + i * 10 * MS);
    }
    ck_assert(!crash_should_refuse(c, 7, NOW + S));
    crash_free(c);
}
END_TEST

/* Guards against a request that crashes three more upstreams each minute while
 * it is repeated, and against a verdict that never ends. */
START_TEST(verdict_lasts_while_the_request_is_repeated)
{
    Sent sent = {0};
    Crashes *c = vm_of_two(&sent, 0);
    CrashMsg m = {
        .n_reports = 3,
        .reports = {{7, 1, 0, false}, {7, 2, 0, false}, {7, 3, 0, false}}};
    int64_t t = NOW;

    crash_receive(c, &m, t);
    for (; t < NOW + 500 * S; t += 30 * S) {
        ck_assert(crash_should_refuse(c, 7, t));
        crash_step(c, t);
    }
    t = NOW + 700 * S;
    ck_assert(!crash_should_refuse(c, 7, t));
    crash_free(c);
}
END_TEST

/* Guards against refusing a request that was served since its first crash. */
START_TEST(served_request_is_not_refused)
{
    Sent sent = {0};
    Crashes *c = vm_of_two(&sent, 0);
    CrashMsg m = {.n_verdicts = 1,
                  .verdicts = {{.fingerprint = 7, .age_us = S}}};

    crash_served(c, 7, NOW - 500 * MS);
    crash_receive(c, &m, NOW);
    ck_assert(!crash_should_refuse(c, 7, NOW + 2 * S));
    crash_step(c, NOW);
    ck_assert_int_gt(sent.n, 0);
    ck_assert(sent.last.verdicts[0].served);
    crash_receive(c, &m, NOW + 2 * S);
    ck_assert(crash_should_refuse(c, 7, NOW + 4 * S));
    crash_free(c);
}
END_TEST

/* Guards against a VM that refuses a popular object because it learns only
 * after its own verdict that others had served it before the crashes. */
START_TEST(verdict_that_is_contested_later_waits_for_objections)
{
    Sent sent = {0};
    Crashes *c = vm_of_two(&sent, 0);
    CrashMsg reports = {
        .n_reports = 3,
        .reports = {{7, 1, 0, false}, {7, 2, 0, false}, {7, 3, 0, false}}};
    CrashMsg verdict = {
        .n_verdicts = 1,
        .verdicts = {{.fingerprint = 7, .contested = true, .age_us = S}}};

    crash_receive(c, &reports, NOW);
    ck_assert(crash_should_refuse(c, 7, NOW));
    crash_receive(c, &verdict, NOW + 10 * MS);
    ck_assert(!crash_should_refuse(c, 7, NOW + S));
    ck_assert(crash_should_refuse(c, 7, NOW + 4 * S));
    crash_free(c);
}
END_TEST

/* Guards against a full table that forgets the request with most crashes. */
START_TEST(full_table_keeps_the_request_with_most_crashes)
{
    Sent sent = {0};
    Crashes *c = vm_of_two(&sent, 0);

    for (uint64_t i = 0; i < 20000; i++) {
        if (i % 2000 == 0 && i < 6000) {
            CrashMsg m = {.n_reports = 1, .reports = {{7, i, 0, false}}};
            crash_receive(c, &m, NOW);
        }
        CrashMsg other = {.n_reports = 1, .reports = {{100 + i, 1, 0, false}}};
        crash_receive(c, &other, NOW);
    }
    ck_assert(crash_should_refuse(c, 7, NOW));
    crash_free(c);
}
END_TEST

/* Guards against messages whose fields are lost or changed by the encoding,
 * and against accepting truncated ones. */
START_TEST(message_encoding_round_trip)
{
    CrashMsg a = {.n_reports = 1,
                  .reports = {{8, 9, 10 * S, true}},
                  .n_verdicts = 2,
                  .verdicts = {{.fingerprint = 3, .served = true, .age_us = S},
                               {.fingerprint = 4,
                                .contested = true,
                                .age_us = 2 * S,
                                .refused_us = S}}};
    CrashMsg b;
    char buf[DGRAM_BYTES_MAX];
    size_t n = crashmsg_encode(&a, buf, sizeof(buf));

    ck_assert_uint_gt(n, 0);
    ck_assert(crashmsg_is(buf, n));
    ck_assert(crashmsg_decode(&b, buf, n, NULL));
    ck_assert(memcmp(&a, &b, sizeof(a)) == 0);
    for (size_t cut = 0; cut < n; cut++) {
        ck_assert(!crashmsg_decode(&b, buf, cut, NULL));
    }
    a.n_reports = CRASHMSG_REPORTS_MAX;
    a.n_verdicts = CRASHMSG_VERDICTS_MAX;
    ck_assert_uint_gt(crashmsg_encode(&a, buf, sizeof(buf)), 0);
}
END_TEST

/* Guards against refusing requests that crash nothing: their answers were lost
 * while the upstream was up, or they were in flight at a single crash. */
START_TEST(lost_answers_alone_cause_no_refusal)
{
    Crashes *c = crash_new(&(CrashOpts){0});
    Ups *u = upstream(1);

    for (int i = 0; i < 50; i++) {
        crash_response_lost(c, 3, u, NOW + i * 10 * MS);
    }
    crash_step(c, NOW + S);
    ck_assert(!crash_should_refuse(c, 3, NOW + S));
    ups_observe_connect_failure(u, NOW + S);
    crash_response_lost(c, 3, u, NOW + S);
    crash_step(c, NOW + S);
    /* Several lost answers of one start of an upstream are one crash. */
    ck_assert(!crash_should_refuse(c, 3, NOW + S));
    u->boot_ms = 6;
    crash_response_lost(c, 3, u, NOW + 3 * S);
    crash_step(c, NOW + 3 * S);
    ck_assert(!crash_should_refuse(c, 3, NOW + 3 * S));
    ups_unref(u);
    crash_free(c);
}
END_TEST

static char *
read_log(int fd)
{
    char buf[32768];
    ssize_t n = read(fd, buf, sizeof(buf) - 1);

    ck_assert_int_gt(n, 0);
    buf[n] = '\0';
    return g_strdup(buf);
}

/* Guards against crashes that are counted, confirmed, sent, received or
 * dropped without a log line. */
START_TEST(each_step_of_a_crash_has_a_log_line)
{
    static const char *const steps[] = {
        "event=answer_lost",      "event=confirmed_connect_failed",
        "event=not_confirmed",    "event=sent",
        "event=received",         "event=dropped_table_full",
        "event=verdict_reached",  "event=verdict_revoked",
        "event=verdict_received", "event=verdict_expired"};
    static const PickVm list[] = {{1, 0}, {2, 0}};
    int fds[2];
    Ups *down = upstream(1);
    Ups *up = upstream(2);
    CrashMsg reports = {
        .n_reports = 3,
        .reports = {{8, 1, 0, false}, {8, 2, 0, false}, {8, 3, 0, false}}};
    CrashMsg verdict = {.n_verdicts = 1, .verdicts = {{.fingerprint = 9}}};

    ck_assert_int_eq(pipe(fds), 0);
    Dlog *log = dlog_new(&(DlogOpts){fds[1], 100, 65536});
    Crashes *c = crash_new(&(CrashOpts){.log = log});
    crash_set_vms(c, list, G_N_ELEMENTS(list), 0);
    crash_response_lost(c, 7, down, NOW);
    crash_response_lost(c, 7, up, NOW);
    ups_observe_connect_failure(down, NOW + 100 * MS);
    crash_step(c, NOW + S);
    crash_step(c, NOW + 6 * S);
    crash_receive(c, &reports, NOW + 6 * S);
    crash_served(c, 8, NOW + 7 * S);
    crash_receive(c, &verdict, NOW + 7 * S);
    crash_step(c, NOW + 100 * S);
    for (uint64_t i = 0; i < 8192; i++) {
        CrashMsg m = {.n_reports = 1, .reports = {{i, i, 0, false}}};
        crash_receive(c, &m, NOW + 100 * S);
    }
    dlog_flush(log);
    char *text = read_log(fds[0]);
    for (size_t i = 0; i < G_N_ELEMENTS(steps); i++) {
        ck_assert_msg(strstr(text, steps[i]) != NULL, "no %s", steps[i]);
    }
    g_free(text);
    crash_free(c);
    dlog_free(log);
    close(fds[0]);
    close(fds[1]);
    ups_unref(up);
    ups_unref(down);
}
END_TEST

/* Guards against heartbeats whose fields are lost or changed by the encoding,
 * and against accepting truncated ones. */
START_TEST(heartbeat_encoding_round_trip)
{
    PeerHeartbeat a = {.vm = "vm-1",
                       .boot_ms = 77,
                       .leaving = true,
                       .history = 6,
                       .sent_us = 5 * S,
                       .echo_us = 4 * S,
                       .echo_delay_us = 20 * MS,
                       .n_demands = 2,
                       .demands = {{11, 1.5}, {12, 0.25}},
                       .n_objects = 1,
                       .objects = {{1, 99, 2}}};
    PeerHeartbeat b;
    char buf[DGRAM_BYTES_MAX];
    size_t n = peer_encode(&a, buf, sizeof(buf));

    ck_assert_uint_gt(n, 0);
    ck_assert(peer_decode(&b, buf, n, NULL));
    ck_assert(memcmp(&a, &b, sizeof(a)) == 0);
    for (size_t cut = 0; cut < n; cut++) {
        ck_assert(!peer_decode(&b, buf, cut, NULL));
    }
    a.n_demands = PEER_SERVICES_MAX;
    a.n_objects = PEER_OBJECTS_MAX;
    ck_assert_uint_gt(peer_encode(&a, buf, sizeof(buf)), 0);
}
END_TEST

static void
add_vm(Vml *l, const Topology *p, const char *id, const char *zone, int port)
{
    char text[VML_RECORD_BYTES];
    Vm v;
    Err e = {0};

    g_snprintf(text, sizeof(text),
               "entry=10.0.0.1:%d peer=10.0.0.1:9 zone=%s leaving=0 boot=1",
               port, zone);
    ck_assert_msg(vml_parse(&v, str_of(id), str_of(text), p, &e), "%s",
                  e.text);
    vml_put(l, &v);
}

/* Guards against a directory that names distant VMs, VMs that are shutting
 * down or VMs without heartbeats although better ones exist, or that names no
 * VM although some exist. */
START_TEST(directory_names_nearest_live_vms)
{
    Topology p = {0};
    const char *out[8];

    topology_add(&p, str_of("w1"), str_of("west"));
    topology_add(&p, str_of("w2"), str_of("west"));
    topology_add(&p, str_of("e1"), str_of("east"));
    Vml *l = vml_new(&p);
    ck_assert_int_eq(vml_resolve(l, 0, 0, out, 8, NOW), 0);
    add_vm(l, &p, "c", "e1", 3);
    add_vm(l, &p, "a", "w1", 1);
    add_vm(l, &p, "b", "w2", 2);
    ck_assert_str_eq(vml_at(l, 0)->id, "a");
    ck_assert_int_eq(vml_resolve(l, 0, 0, out, 8, NOW), 2);
    ck_assert_str_eq(out[0], "10.0.0.1:1");
    ck_assert_str_eq(out[1], "10.0.0.1:2");
    vml_find(l, str_of("b"))->leaving = true;
    ck_assert_int_eq(vml_resolve(l, 0, 0, out, 8, NOW), 2);
    ck_assert_str_eq(out[1], "10.0.0.1:3");
    vml_find(l, str_of("a"))->heartbeat_us = NOW - 10 * S;
    vml_find(l, str_of("c"))->leaving = true;
    ck_assert_int_eq(vml_resolve(l, 0, 0, out, 8, NOW), 3);
    vml_free(l);
}
END_TEST

/* Guards against one delayed heartbeat that makes a near region appear
 * distant. */
START_TEST(round_trip_estimate_rises_slowly)
{
    Vm v = {0};

    vml_observe_rtt(&v, 20 * MS);
    vml_observe_rtt(&v, 500 * MS);
    ck_assert_int_lt(v.rtt_us, 30 * MS);
    vml_observe_rtt(&v, 10 * MS);
    ck_assert_int_eq(v.rtt_us, 10 * MS);
}
END_TEST

T_MAIN("crash", crashing_request_is_refused_by_all_vms,
       repeated_report_is_one_crash,
       verdict_lasts_while_the_request_is_repeated,
       served_request_is_not_refused,
       verdict_that_is_contested_later_waits_for_objections,
       full_table_keeps_the_request_with_most_crashes,
       message_encoding_round_trip, lost_answers_alone_cause_no_refusal,
       each_step_of_a_crash_has_a_log_line, heartbeat_encoding_round_trip,
       directory_names_nearest_live_vms, round_trip_estimate_rises_slowly)
