/*
 * standin-platform - test stand-in for the platform: its key-value store, and
 * targets that run requests.
 *
 * The last segment of a request's path selects the behaviour of the target:
 *   ok           complete response
 *   service      complete response with the service's name as its body
 *   cut          response truncated before its Content-Length
 *   cutchunk     chunked response truncated before its last chunk
 *   cuthead      connection closed within the head of the response
 *   garble       bytes that are not HTTP
 *   extra        complete response, followed by the response to another
 *                attempt
 *   otherid      response to another attempt, followed by the complete
 *                response
 *   oldrefusal   refusal of another attempt, followed by the complete response
 *   reset        connection aborted before the request runs
 *   lost         connection aborted after the request ran
 *   notrun       503, marked as not run
 *   misdirected  421, marked as not run
 *   slow         complete response after SLOW_DELAY_US
 *   crash        the target ends and starts again after DOWN_US
 *   large        chunked response of LARGE_BYTES
 *   hugeKB       chunked response of KB * 1024 bytes
 *   endlessKIND  bytes until the caller disconnects, see endless_kinds
 *   answerNAME   the answer of that name, see answers.h
 *
 * Control calls on the port of the store:
 *   PUT  /test/key?KEY     stores the body under KEY, as an operator would
 *   PUT  /test/delete?KEY  removes KEY
 *   PUT  /test/mode?MODE   ok; busy: respond 503; refuse: respond 429;
 *                          silent: do not respond; forget: respond 410 to the
 *                          next watch, then return to ok; partial: do not
 *                          respond to the second page of a list; withhold:
 *                          a watch that waits gets the newest CurrentRev
 *                          without the newest event, which a later watch from
 *                          below gets
 *   PUT  /test/copy?REV    lists with Serializable=1 are answered from a copy
 *                          that is made now; their CurrentRev is that of the
 *                          copy (own) or that of the store (newest); without
 *                          REV from the store again
 *   PUT  /test/back?N      the revision of the store falls by N, as that of a
 *                          store that came back from an older copy; keys
 *                          changed since are lost
 *   PUT  /test/backup      a copy of the store is made
 *   PUT  /test/restore     the store goes on from that copy: what was written
 *                          since is lost, leases too, revisions and leases are
 *                          given out again, and the era rises by one
 *   PUT  /test/era?N       the answers name that era; 0: none
 *   PUT  /test/lag?MS      Serializable lists are those of that time ago, with
 *                          the revision that the store had then
 *   PUT  /test/endless?K   the store responds to all calls without end, see
 *                          endless_kinds; without K it does no longer
 *   GET  /test/runs?ID     number of runs of the attempt ID
 *   GET  /test/repeated?P  number of attempts with IDs that start with P that
 *                          ran more than once
 *   PUT  /test/leaving?ID  target ID says in all responses that it leaves
 *   PUT  /test/busy?ID     target ID refuses all requests; the body is the
 *                          value of their Retry-After
 *   PUT  /test/well?ID     ends both
 *   PUT  /test/restart?ID  ends both by a new start of target ID
 *   PUT  /test/path?ID     the path to target ID is cut or open, by the body;
 *                          excuses VMs from what it has said before
 *   GET  /test/broken      number of requests that came to a target later than
 *                          the drain time after its notice of leaving, and of
 *                          those beyond two during a wait; see platform_notice
 *   GET  /test/endless     number of responses without end whose connections
 *                          are open, and of all so far
 *   GET  /test/answer?N    N-th answer of answers.h: its name, and the status
 *                          and body that a caller gets; empty behind the last
 *   GET  /test/arrived?ID  number of requests for target ID
 *   GET  /test/served?ID   number of those that it accepted
 *   GET  /test/crashes     number of crashes of all targets
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform_targets.h"
#include "strm.h"

static void
on_refused(void *ctx, int status, const Err *e)
{
    (void)ctx;
    fprintf(stderr, "standin-platform: %d %s\n", status, e->text);
}

static void
on_report_timer(void *ctx, int64_t now_us)
{
    Platform *p = ctx;

    expire_leases(p, now_us);
    for (int i = 0; i < p->n_targets; i++) {
        Target *t = &p->targets[i];
        char *key = g_strdup_printf("servers/%s", t->id);
        if (has_item(p, key)) {
            /* A repeated report would not change the entry. */
            g_free(key);
            continue;
        }
        char *text = g_strdup_printf(
            "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
            "\"Slots\":%d,\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":%d,"
            "\"born\":%" G_GUINT64_FORMAT "}",
            t->service, ntohs(t->registered_addr.sin_port), t->zone,
            TARGET_SLOTS, ++t->seq, t->boot_ms);
        put_bytes(p, key, text, strlen(text));
        g_free(key);
        g_free(text);
    }
    evl_arm(p->loop, &p->report_timer, now_us + REPORT_INTERVAL_US);
}

static CallerSet *
start_server(Platform *p, const struct sockaddr_in *addr, const CallerFns *fns,
             void *ctx)
{
    Err e = {0};
    CallerOpts o = {.loop = p->loop,
                    .listen_addr = *addr,
                    .max_callers = 1000,
                    .max_buffered_bytes = BUFFER_BYTES,
                    .limits = {65536, BUFFER_BYTES, 30000000, 30000000},
                    .fns = *fns,
                    .ctx = ctx};
    CallerSet *s = callers_new(&o, &e);

    if (s == NULL) {
        fprintf(stderr, "standin-platform: %s\n", e.text);
        exit(1);
    }
    return s;
}

/* Parses "ID,IP:PORT,SERVICE,ZONE[,IP:PORT]".  The optional second address is
 * that of a proxy, which the target registers instead of its own. */
static bool
add_target(Platform *p, const char *text)
{
    Target *t = &p->targets[p->n_targets];
    char **f = g_strsplit(text, ",", 0);
    guint n = g_strv_length(f);
    bool ok =
        p->n_targets < MAX_TARGETS && (n == 4 || n == 5) &&
        str_copy(t->id, sizeof(t->id), str_of(f[0])) &&
        strm_parse_addr(str_of(f[1]), &t->addr) &&
        strm_parse_addr(str_of(f[n == 5 ? 4 : 1]), &t->registered_addr) &&
        str_copy(t->service, sizeof(t->service), str_of(f[2])) &&
        str_copy(t->zone, sizeof(t->zone), str_of(f[3]));

    t->p = p;
    t->boot_ms = 1;
    t->told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    p->n_targets += ok ? 1 : 0;
    g_strfreev(f);
    return ok;
}

static int
usage(void)
{
    fputs("usage: standin-platform --store IP:PORT "
          "[--target ID,IP:PORT,SERVICE,ZONE[,PROXY]]...\n",
          stderr);
    return 2;
}

static const CallerFns target_fns = {on_target, on_target_disconnected, NULL,
                                     on_refused, NULL};

static void
on_target_start(void *ctx, int64_t now_us)
{
    Target *t = ctx;
    (void)now_us;

    change_target(t, "restart", str_of(""));
    t->callers = start_server(t->p, &t->addr, &target_fns, t);
}

static void
start(Platform *p, const struct sockaddr_in *store)
{
    static const CallerFns store_fns = {on_store_call, on_store_disconnected,
                                        NULL, on_refused, NULL};

    p->era = STANDIN_ERA;
    p->items = g_ptr_array_new_with_free_func(item_free);
    p->history = g_queue_new();
    p->leases = g_array_new(FALSE, TRUE, sizeof(Lease));
    p->watches = g_ptr_array_new();
    p->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->callers = start_server(p, store, &store_fns, p);
    for (int i = 0; i < p->n_targets; i++) {
        p->targets[i].start_timer =
            (EvlTimer){.fn = on_target_start, .ctx = &p->targets[i]};
        p->targets[i].callers =
            start_server(p, &p->targets[i].addr, &target_fns, &p->targets[i]);
    }
    p->report_timer = (EvlTimer){.fn = on_report_timer, .ctx = p};
    evl_arm(p->loop, &p->report_timer, evl_now(p->loop));
}

int
main(int argc, char **argv)
{
    static const struct option opts[] = {
        {"store", required_argument, NULL, 's'},
        {"target", required_argument, NULL, 't'},
        {NULL, 0, NULL, 0},
    };
    static Platform p;
    struct sockaddr_in store = {0};
    int c;

    signal(SIGPIPE, SIG_IGN);
    while ((c = getopt_long(argc, argv, "", opts, NULL)) != -1) {
        bool ok = c == 's' ? strm_parse_addr(str_of(optarg), &store)
                           : c == 't' && add_target(&p, optarg);
        if (!ok) {
            return usage();
        }
    }
    if (store.sin_port == 0) {
        return usage();
    }
    p.loop = evl_new();
    start(&p, &store);
    evl_run(p.loop);
    return 0;
}
