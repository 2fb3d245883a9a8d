/*
 * drill - cases on a store that comes back from an older copy.
 *
 * usage: drill missed|regress RECORD DIR
 *
 * 8 entry VMs in 6 zones, 20 targets of portfolio and 12 of contracts.  The
 * configuration moves the route /fee/ between the two services, so that the
 * service that runs a request shows by which version it was handled:
 *   version 3: contracts   version 9: portfolio   version 12: contracts
 * Prints what each machine did, and exits with 1 if the rule was broken.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

#define EDGES FLEET_EDGES
#define REQUEST_GAP_MS 100
#define REQUESTS_MAX 4096 /* of a machine */
/* Bounds of the site. */
#define TOUCH_MS 3000
#define CONFIG_MS 2000
#define OUTER_MS 5000
#define BACK_SLACK_MS 250

typedef struct Client {
    PlatEdge *edge;
    int n;
    PlatAnswer answers[REQUESTS_MAX];
} Client;

static Client clients[EDGES];
static volatile int stopping;

static void *
run_client(void *ctx)
{
    Client *c = ctx;
    int fd = -1;
    char id[64];

    while (!stopping && c->n < REQUESTS_MAX) {
        snprintf(id, sizeof(id), "%s-%05d", c->edge->id, c->n);
        c->answers[c->n] = plat_request(&fd, c->edge, "POST", "/fee/1", id);
        c->n++;
        plat_sleep_until(c->answers[c->n - 1].sent_ms + REQUEST_GAP_MS);
    }
    return NULL;
}

/* Number of requests of a client that were sent in a span and run by a
 * service. */
static int
count_run(const Client *c, int64_t from_ms, int64_t to_ms, const char *service)
{
    int n = 0;

    for (int i = 0; i < c->n; i++) {
        const PlatAnswer *a = &c->answers[i];
        bool in_span = a->sent_ms >= from_ms && a->sent_ms < to_ms;
        n += in_span && a->status == 200 && strcmp(a->service, service) == 0;
    }
    return n;
}

/* Time from which a machine has handled requests by version 9, or 0. */
static int64_t
seen_at(const Client *c, int64_t from_ms)
{
    for (int i = 0; i < c->n; i++) {
        const PlatAnswer *a = &c->answers[i];
        if (a->sent_ms >= from_ms && a->status == 200 &&
            strcmp(a->service, "portfolio") == 0) {
            return a->ended_ms;
        }
    }
    return 0;
}

/* Prints a line for each machine, and returns the number of those that broke
 * the rule. */
static int
judge(int64_t from_ms, int64_t to_ms, int64_t seen_from_ms, const char *stale,
      const char *current)
{
    int broken = 0;

    for (int i = 0; i < EDGES; i++) {
        const Client *c = &clients[i];
        int64_t seen = seen_at(c, seen_from_ms);
        int64_t from =
            from_ms > seen + BACK_SLACK_MS ? from_ms : seen + BACK_SLACK_MS;
        int old = count_run(c, from, to_ms, stale);
        int new = count_run(c, from, to_ms, current);
        broken += seen > 0 && old > 0;
        printf("%s: sent from %ld to %ld ms: %d by the old service, %d by the "
               "new one; version 9 seen at %ld ms\n",
               c->edge->id, (long)from, (long)to_ms, old, new, (long)seen);
        plat_log("verdict edge=%s old=%d new=%d seen=%ld", c->edge->id, old,
                 new, (long)seen);
    }
    return broken;
}

/* A change that is made when the store is back never comes into force. */
static int
play_missed(bool trouble)
{
    plat_sleep_until(18000);
    if (trouble) {
        plat_store_copy();
    }
    plat_sleep_until(19000);
    int64_t moved = fleet_put_config(9, "portfolio");
    plat_sleep_until(20000);
    if (trouble) {
        plat_store_leave(PLAT_SILENT);
    }
    plat_sleep_until(21500);
    if (trouble) {
        plat_store_return(true);
        fleet_put_config(9, "portfolio"); /* written again */
    }
    int64_t acked = fleet_put_config(12, "contracts");
    plat_sleep_until(acked + OUTER_MS + CONFIG_MS + 15000);
    return judge(acked + OUTER_MS + CONFIG_MS + 1000,
                 acked + OUTER_MS + CONFIG_MS + 15000, moved, "portfolio",
                 "contracts");
}

/* A machine goes back to a version that it had left. */
static int
play_regress(bool trouble)
{
    plat_sleep_until(18000);
    if (trouble) {
        plat_store_copy();
    }
    plat_sleep_until(19500);
    int64_t moved = fleet_put_config(9, "portfolio");
    plat_sleep_until(22000);
    if (trouble) {
        plat_store_leave(PLAT_RESET);
    }
    plat_sleep_until(23000);
    if (trouble) {
        plat_store_return(true);
    }
    int64_t back = plat_now();
    plat_sleep_until(back + TOUCH_MS + 2000);
    int64_t again = plat_now();
    if (trouble) {
        fleet_put_config(9, "portfolio"); /* written again */
    }
    plat_sleep_until(again + 5000);
    return judge(back + TOUCH_MS + 200, again, moved, "contracts",
                 "portfolio");
}

int
main(int argc, char **argv)
{
    const char *text = getenv("TROUBLE");
    bool trouble = text == NULL || strcmp(text, "0") != 0;
    pthread_t threads[EDGES];
    PlatEdge *edges[EDGES];

    if (argc != 4) {
        fprintf(stderr, "usage: drill missed|regress RECORD DIR\n");
        return 2;
    }
    plat_start(argv[2], argv[3]);
    if (!fleet_start(edges)) {
        return 2;
    }
    plat_sleep_until(14000);
    for (int i = 0; i < EDGES; i++) {
        clients[i].edge = edges[i];
        pthread_create(&threads[i], NULL, run_client, &clients[i]);
    }
    int broken = strcmp(argv[1], "missed") == 0 ? play_missed(trouble)
                                                : play_regress(trouble);
    stopping = 1;
    for (int i = 0; i < EDGES; i++) {
        pthread_join(threads[i], NULL);
    }
    plat_stop_edges();
    printf("%d of %d machines broke the rule\n", broken, EDGES);
    return broken > 0 ? 1 : 0;
}
