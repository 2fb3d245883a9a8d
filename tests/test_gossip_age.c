/* Tests of peer: the age of gossip that waits before it is sent or read. */
#include "t.h"

#include <string.h>

#include <glib.h>

#include "free_port.h"
#include "gossipsend.h"
#include "peer.h"

#define SENDER                                                                \
    {                                                                         \
        7, 1000                                                               \
    }
#define SLOW_MBPS 0.1 /* about five datagrams a second */
#define LARGE_BYTES 4000
#define RUN_US 10000000
#define REV 7
#define BACKLOG 80 /* more datagrams than are read in one turn */
#define STALL_US 100000

typedef struct World {
    Evl *loop;
    EvlTimer end;
    Peer *sender;
    Peer *receiver;
    struct sockaddr_in to;
    int n;            /* gossip messages received */
    int64_t known_us; /* latest time before which all changes are known */
} World;

static void
on_heartbeat(void *ctx, const PeerHeartbeat *b, int64_t now_us)
{
    (void)ctx;
    (void)b;
    (void)now_us;
}

static void
on_crashes(void *ctx, const CrashMsg *m, int64_t now_us)
{
    (void)ctx;
    (void)m;
    (void)now_us;
}

static bool
on_accepts(void *ctx, const GossipSender *from, int64_t now_us)
{
    (void)ctx;
    (void)from;
    (void)now_us;
    return true;
}

static void
on_gossip(void *ctx, const Gossip *msg, int64_t now_us)
{
    World *w = ctx;
    (void)now_us;

    w->n++;
    w->known_us = MAX(w->known_us, evl_since(w->loop) - msg->age_us);
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(ctx);
}

static void
world_init(World *w)
{
    const PeerFns fns = {on_heartbeat, on_accepts, on_gossip, on_crashes};
    struct sockaddr_in at = free_loopback_address();

    memset(w, 0, sizeof(*w));
    w->loop = evl_new();
    w->to = free_loopback_address();
    w->sender = peer_new(w->loop, &at, SLOW_MBPS, &fns, w, NULL);
    w->receiver = peer_new(w->loop, &w->to, SLOW_MBPS, &fns, w, NULL);
    ck_assert_ptr_nonnull(w->sender);
    ck_assert_ptr_nonnull(w->receiver);
    w->end = (EvlTimer){.fn = on_end, .ctx = w->loop};
    evl_arm(w->loop, &w->end, evl_now(w->loop) + RUN_US);
}

static void
world_free(World *w)
{
    evl_disarm(w->loop, &w->end);
    peer_free(w->sender);
    peer_free(w->receiver);
    evl_free(w->loop);
}

/* Guards against receivers that take their copy for newer than it is, as a
 * large message waits for a slow link. */
START_TEST(age_of_a_large_message_includes_the_time_of_its_transfer)
{
    World w;
    char noise[LARGE_BYTES]; /* does not compress */
    GRand *rnd = g_rand_new_with_seed(1);

    for (size_t i = 0; i < sizeof(noise); i++) {
        noise[i] = (char)g_rand_int(rnd);
    }
    KvItem item = {
        .key = "k", .value = g_bytes_new(noise, sizeof(noise)), .rev = REV};
    const KvItem *items[] = {&item};
    GossipOut o = {0, 0, REV - 1, REV, items, 1, 0, SENDER, 0};
    world_init(&w);
    int64_t answered_us = evl_boottime();
    GossipDatagrams d = gossipsend_datagrams(&o, 1);
    for (guint i = 0; i < d.paced->len; i++) {
        peer_send_paced(w.sender, &w.to, g_ptr_array_index(d.paced, i),
                        answered_us);
    }
    while (w.n < 2 && w.end.heap_index != 0) {
        evl_run_once(w.loop, evl_wait_ms(w.loop));
    }
    ck_assert_int_eq(w.n, 2); /* the fragments and the last datagram */
    ck_assert_int_gt(evl_boottime(), answered_us + 500000);
    ck_assert_int_le(w.known_us, answered_us);
    gossipsend_clear(&d);
    world_free(&w);
    g_bytes_unref(item.value);
    g_rand_free(rnd);
}
END_TEST

/* Guards against gossip that counts as new although it has waited in the
 * socket, behind more datagrams than one turn reads. */
START_TEST(age_includes_the_time_behind_other_datagrams)
{
    World w;
    char buf[GOSSIP_BYTES_MAX];
    GossipOut o = {.from = REV, .to = REV};
    size_t n = gossip_encode(&o, buf, sizeof(buf));

    world_init(&w);
    evl_run_once(w.loop, 0);
    for (int i = 0; i < BACKLOG; i++) {
        peer_send(w.sender, &w.to, "x", 1);
    }
    peer_send(w.sender, &w.to, buf, n);
    int64_t sent_us = evl_boottime();
    g_usleep(STALL_US);
    while (w.n == 0 && w.end.heap_index != 0) {
        evl_run_once(w.loop, 0);
    }
    ck_assert_int_eq(w.n, 1);
    ck_assert_int_eq(peer_unreadable(w.receiver), BACKLOG);
    ck_assert_int_le(w.known_us, sent_us);
    /* Later messages do not count as old. */
    peer_send(w.sender, &w.to, buf, n);
    while (w.n == 1 && w.end.heap_index != 0) {
        evl_run_once(w.loop, 0);
    }
    ck_assert_int_gt(w.known_us, sent_us);
    world_free(&w);
}
END_TEST

T_MAIN("gossip_age", age_of_a_large_message_includes_the_time_of_its_transfer,
       age_includes_the_time_behind_other_datagrams)
