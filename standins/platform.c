/*
 * standin-platform - stand-in for the users' platform: its store, and targets
 * that run requests.
 *
 * The last part of a request's path chooses what a target does with it: ok,
 * cut, cutchunk, garble, extra, otherid, reset (before the run), lost (after
 * it), notrun, misdirected, slow, large.  Control calls on the store's port:
 *   PUT  /test/key?KEY     stores the body as the operator does
 *   PUT  /test/delete?KEY  removes a key
 *   PUT  /test/mode?MODE   ok, busy (503), refuse (429), silent, forget (410)
 *   GET  /test/runs?ID     how often the attempt with this id ran
 *   GET  /test/served?ID   requests that the target with this id took
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
on_beat(void *ctx, int64_t now_us)
{
    Platform *p = ctx;

    end_leases(p, now_us);
    for (int i = 0; i < p->n_targets; i++) {
        Target *t = &p->targets[i];
        char *key = g_strdup_printf("servers/%s", t->id);
        if (has_item(p, key)) {
            /* A report that repeats itself is no change of the entry. */
            g_free(key);
            continue;
        }
        char *text = g_strdup_printf(
            "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
            "\"Slots\":%d,\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":%d,"
            "\"born\":1}",
            t->service, ntohs(t->told.sin_port), t->zone, RUN_SLOTS, ++t->seq);
        put_bytes(p, key, text, strlen(text));
        g_free(key);
        g_free(text);
    }
    evl_arm(p->loop, &p->beat, now_us + BEAT_US);
}

static CallerSet *
serve(Platform *p, const struct sockaddr_in *at, const CallerFns *fns,
      void *ctx)
{
    Err e = {0};
    CallerOpts o = {.loop = p->loop,
                    .listen_addr = *at,
                    .max_callers = 1000,
                    .max_buffered_bytes = HELD_BYTES,
                    .limits = {65536, HELD_BYTES, 30000000, 30000000},
                    .fns = *fns,
                    .ctx = ctx};
    CallerSet *s = callers_new(&o, &e);

    if (s == NULL) {
        fprintf(stderr, "standin-platform: %s\n", e.text);
        exit(1);
    }
    return s;
}

/* Reads "ID,IP:PORT,SERVICE,ZONE", and behind it ",IP:PORT" of a proxy. */
static bool
add_target(Platform *p, const char *text)
{
    Target *t = &p->targets[p->n_targets];
    char **f = g_strsplit(text, ",", 0);
    guint n = g_strv_length(f);
    bool ok = p->n_targets < STANDIN_TARGETS && (n == 4 || n == 5) &&
              str_copy(t->id, sizeof(t->id), str_of(f[0])) &&
              strm_parse_addr(str_of(f[1]), &t->at) &&
              strm_parse_addr(str_of(f[n == 5 ? 4 : 1]), &t->told) &&
              str_copy(t->service, sizeof(t->service), str_of(f[2])) &&
              str_copy(t->zone, sizeof(t->zone), str_of(f[3]));

    t->p = p;
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

static void
start(Platform *p, const struct sockaddr_in *store)
{
    static const CallerFns store_fns = {on_store, on_watcher_left, NULL,
                                        on_refused};
    static const CallerFns target_fns = {on_target, on_late_left, NULL,
                                         on_refused};

    p->items = g_ptr_array_new_with_free_func(item_free);
    p->leases = g_array_new(FALSE, TRUE, sizeof(Lease));
    p->watches = g_ptr_array_new();
    p->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->callers = serve(p, store, &store_fns, p);
    for (int i = 0; i < p->n_targets; i++) {
        p->targets[i].callers =
            serve(p, &p->targets[i].at, &target_fns, &p->targets[i]);
    }
    p->beat = (EvlTimer){.fn = on_beat, .ctx = p};
    evl_arm(p->loop, &p->beat, evl_now(p->loop));
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
