/* Tests of heartbeat: what a VM takes over from the heartbeats of others. */
#include "t.h"

#include <string.h>

#include "hash.h"
#include "heartbeat.h"

#define S INT64_C(1000000)
#define NOW (100 * S)

static void
put_vm(Vml *l, const Topology *p, uint64_t boot_ms)
{
    char text[VML_RECORD_BYTES];
    Err e = {0};
    Vm v;

    g_snprintf(text, sizeof(text),
               "entry=10.0.0.1:1 peer=10.0.0.1:9 zone=w1 leaving=0 "
               "boot=%" G_GUINT64_FORMAT,
               boot_ms);
    ck_assert(vml_parse(&v, str_of("a"), str_of(text), p, &e));
    vml_put(l, &v);
}

/* Guards against a late heartbeat of an earlier start that marks the new one
 * as leaving, when the clock was set back between the two starts. */
START_TEST(heartbeat_of_an_earlier_start_is_ignored_after_a_clock_step)
{
    Topology p = {0};
    PeerHeartbeat late = {
        .vm = "a", .boot_ms = 5000, .leaving = true, .sent_us = S};

    topology_add(&p, str_of("w1"), str_of("west"));
    Vml *l = vml_new(&p);
    HeartbeatsOpts o = {
        .vms = l, .log = dlog_new(&(DlogOpts){2, 100, 65536}), .vm_id = "b"};
    Heartbeats *b = heartbeat_new(&o);
    put_vm(l, &p, 5000);
    put_vm(l, &p, 3000);
    heartbeat_receive(b, &late, NOW);
    ck_assert(!vml_find(l, str_of("a"))->leaving);
    heartbeat_free(b);
    dlog_free(o.log);
    vml_free(l);
}
END_TEST

/* Guards against gossip of another deployment, of a start that has ended, and
 * of one that the store does not list yet. */
START_TEST(gossip_is_accepted_from_listed_starts_only)
{
    Topology p = {0};
    uint64_t a = hash_str(str_of("a"), 0);

    topology_add(&p, str_of("w1"), str_of("west"));
    Vml *l = vml_new(&p);
    HeartbeatsOpts o = {
        .vms = l, .log = dlog_new(&(DlogOpts){2, 100, 65536}), .vm_id = "b"};
    Heartbeats *b = heartbeat_new(&o);
    ck_assert(!heartbeat_accepts(b, &(GossipSender){a, 5000}, NOW));
    put_vm(l, &p, 5000);
    ck_assert(heartbeat_accepts(b, &(GossipSender){a, 5000}, NOW));
    ck_assert(!heartbeat_accepts(b, &(GossipSender){a, 6000}, NOW));
    ck_assert(!heartbeat_accepts(b, &(GossipSender){a + 1, 5000}, NOW));
    put_vm(l, &p, 6000);
    ck_assert(!heartbeat_accepts(b, &(GossipSender){a, 5000}, NOW));
    ck_assert(heartbeat_accepts(b, &(GossipSender){a, 6000}, NOW));
    ck_assert_int_eq(heartbeat_gossip_ignored(b), 4);
    heartbeat_free(b);
    dlog_free(o.log);
    vml_free(l);
}
END_TEST

/* Guards against a VM that does not learn of a later history by a heartbeat,
 * and against one that cannot read a heartbeat of an earlier program, which
 * has no place for it. */
START_TEST(heartbeat_names_the_history_of_the_store)
{
    PeerHeartbeat in;
    PeerHeartbeat out = {.vm = "a", .history = 5, .config_rev = 9};
    char buf[DGRAM_BYTES_MAX];
    size_t n = peer_encode(&out, buf, sizeof(buf));

    ck_assert(peer_decode(&in, buf, n, NULL));
    ck_assert_uint_eq(in.history, 5);
    ck_assert_uint_eq(in.config_rev, 9);
    out.history = 0;
    ck_assert_uint_eq(peer_encode(&out, buf, sizeof(buf)),
                      n - sizeof(out.history));
    ck_assert(peer_decode(&in, buf, n - sizeof(out.history), NULL));
    ck_assert_uint_eq(in.history, 0);
    ck_assert_uint_eq(in.config_rev, 9);
}
END_TEST

T_MAIN("heartbeat", heartbeat_names_the_history_of_the_store,
       gossip_is_accepted_from_listed_starts_only,
       heartbeat_of_an_earlier_start_is_ignored_after_a_clock_step)
