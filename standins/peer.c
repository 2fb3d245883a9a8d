/*
 * standin-peer - test stand-in for another entry VM: sends one gossip message,
 * or prints those that it receives.
 *
 *   standin-peer --to IP:PORT VM BOOT REV AGE_MS [TO]
 *       says, as the VM with that id and start, that nothing has changed in
 * the store from revision REV to revision TO (default: REV), by an answer of
 * the store that is so old standin-peer --beat IP:PORT VM BOOT REV VERSION
 *       sends heartbeats of the VM with that id and start, which say that a
 *       configuration of that revision and version is in force there, until it
 *       is ended
 *   standin-peer --listen IP:PORT
 *       prints "from=REV to=REV fragments=0|1 keys=KEY,..." for each message,
 *       until it is ended
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gossip.h"
#include "gossipfrag.h"
#include "hash.h"
#include "peer.h"
#include "platform_era.h"
#include "strm.h"

#define AGE_MS_MAX 60000
#define BEAT_US 250000

static int
send_datagram(int fd, const struct sockaddr_in *to, const char *buf, size_t n)
{
    return sendto(fd, buf, n, 0, (const struct sockaddr *)to, sizeof(*to)) < 0
               ? 1
               : 0;
}

/* Says that the clock of this VM is that of the receiver, which runs on the
 * same machine. */
static int
send_echo(int fd, const struct sockaddr_in *to, const char *vm,
          uint64_t boot_ms, int64_t now_us)
{
    PeerHeartbeat hb = {.history = STANDIN_ERA,
                        .boot_ms = boot_ms,
                        .sent_us = now_us,
                        .echo_us = now_us};
    char buf[DGRAM_BYTES_MAX];

    str_copy(hb.vm, sizeof(hb.vm), str_of(vm));
    return send_datagram(fd, to, buf, peer_encode(&hb, buf, sizeof(buf)));
}

static int
send_unchanged(int fd, const struct sockaddr_in *to, int n_args, char **args)
{
    GossipOut o = {.history = STANDIN_ERA,
                   .sender.vm = hash_str(str_of(args[0]), 0)};
    uint64_t age_ms;

    if (!str_u64(str_of(args[1]), INT64_MAX, &o.sender.boot_ms) ||
        !str_u64(str_of(args[2]), UINT64_MAX, &o.from) ||
        !str_u64(str_of(args[3]), AGE_MS_MAX, &age_ms) ||
        !str_u64(str_of(args[n_args == 5 ? 4 : 2]), UINT64_MAX, &o.to)) {
        return 2;
    }
    int64_t now_us = evl_boottime();
    o.age_us = (int64_t)age_ms * INT64_C(1000);
    o.known_us = now_us - o.age_us;
    char buf[GOSSIP_BYTES_MAX];
    size_t n = gossip_encode(&o, buf, sizeof(buf));

    return send_echo(fd, to, args[0], o.sender.boot_ms, now_us) != 0 ||
                   send_datagram(fd, to, buf, n) != 0
               ? 1
               : 0;
}

static int
send_heartbeats(int fd, const struct sockaddr_in *to, char **args)
{
    PeerHeartbeat hb = {.history = STANDIN_ERA};
    char buf[DGRAM_BYTES_MAX];

    if (!str_copy(hb.vm, sizeof(hb.vm), str_of(args[0])) ||
        !str_u64(str_of(args[1]), INT64_MAX, &hb.boot_ms) ||
        !str_u64(str_of(args[2]), UINT64_MAX, &hb.config_rev) ||
        !str_u64(str_of(args[3]), UINT64_MAX, &hb.config_version)) {
        return 2;
    }
    size_t n = peer_encode(&hb, buf, sizeof(buf));
    while (sendto(fd, buf, n, 0, (const struct sockaddr *)to, sizeof(*to)) >=
           0) {
        usleep(BEAT_US);
    }
    return 1;
}

static void
print_message(Gossip *w, bool fragments)
{
    printf("from=%" PRIu64 " to=%" PRIu64 " fragments=%d keys=", w->from,
           w->page.rev, fragments ? 1 : 0);
    for (guint i = 0; i < w->page.items->len; i++) {
        printf("%s,", g_array_index(w->page.items, KvItem, i).key);
    }
    printf("\n");
    fflush(stdout);
    kv_page_clear(&w->page);
}

static void
print_received(int fd)
{
    GossipFrag *fragments = gossipfrag_new();
    char buf[GOSSIP_BYTES_MAX];
    ssize_t n;

    while ((n = recv(fd, buf, sizeof(buf), 0)) >= 0) {
        Gossip w;
        if (gossipfrag_is(buf, (size_t)n)) {
            if (gossipfrag_add(fragments, buf, (size_t)n, 0, &w) ==
                GOSSIPFRAG_COMPLETE) {
                print_message(&w, true);
            }
        }
        else if (gossip_is(buf, (size_t)n) &&
                 gossip_decode(&w, buf, (size_t)n, NULL)) {
            print_message(&w, false);
        }
    }
    gossipfrag_free(fragments);
}

int
main(int argc, char **argv)
{
    struct sockaddr_in at;
    bool sends = (argc == 7 || argc == 8) && strcmp(argv[1], "--to") == 0;
    bool beats = argc == 7 && strcmp(argv[1], "--beat") == 0;
    bool listens = argc == 3 && strcmp(argv[1], "--listen") == 0;

    if ((!sends && !beats && !listens) ||
        !strm_parse_addr(str_of(argv[2]), &at)) {
        fputs("usage: standin-peer --to IP:PORT VM BOOT REV AGE_MS [TO] | "
              "--beat IP:PORT VM BOOT REV VERSION | --listen IP:PORT\n",
              stderr);
        return 2;
    }
    int fd = socket(AF_INET, SOCK_DGRAM, 0);
    if (sends) {
        return send_unchanged(fd, &at, argc - 3, argv + 3);
    }
    if (beats) {
        return send_heartbeats(fd, &at, argv + 3);
    }
    if (bind(fd, (const struct sockaddr *)&at, sizeof(at)) != 0) {
        perror("standin-peer: bind");
        return 4;
    }
    print_received(fd);
    return 0;
}
