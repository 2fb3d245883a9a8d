/*
 * upload - a case on the memory of an entry VM while clients upload bodies.
 *
 * usage: upload RECORD DIR
 *
 * 8 entry VMs in 6 zones, 20 targets of portfolio and 12 of contracts.  The
 * clients of one zone send bodies of BODY_BYTES to one entry VM, BASE_PER_S
 * requests a second; in a burst, x BURST for BURST_MS.  Others send small
 * requests to the same VM.  The platform kills a process that exceeds the
 * memory of its machine.  Exits with 1 if more than LOST_MAX requests from
 * kept connections were run by a target and got no answer.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fleet.h"

#define RAM_KB (260 * 1024) /* Limits.RamMb of the site */
#define BODY_BYTES ((size_t)12 << 20)
#define BASE_PER_S 1.6
#define BURST 2.6
#define BURST_FROM_MS 26000
#define BURST_MS 6900
#define END_MS 40000
#define OBJECTS 24 /* "things" of the class on the site */
#define WORK_MS 1160
#define THREADS 24
#define SMALL_THREADS 16
#define SMALL_PAUSE_MS 100
#define LOST_MAX 3

static PlatEdge *edge;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int next; /* number of the next request */
static int64_t due_ms;
static bool trouble;
static int served;
static int unserved;
static int lost;
static long peak_kb;
static volatile bool killed;

/* Takes the next request and waits until it is due.  Returns its number, or -1
 * at the end. */
static int
take(void)
{
    pthread_mutex_lock(&lock);
    bool burst = trouble && due_ms >= BURST_FROM_MS &&
                 due_ms < BURST_FROM_MS + BURST_MS;
    double per_s = BASE_PER_S * (burst ? BURST : 1);
    int64_t at = due_ms;
    int n = at < END_MS ? next++ : -1;
    due_ms += (int64_t)(1000 / per_s);
    pthread_mutex_unlock(&lock);
    plat_sleep_until(at);
    return n;
}

static void
count(const PlatAnswer *a, const char *id)
{
    bool is_lost = a->status == 0 && a->kept && plat_ran(id);

    pthread_mutex_lock(&lock);
    served += a->status == 200;
    unserved += a->status != 200;
    lost += is_lost;
    pthread_mutex_unlock(&lock);
    if (is_lost) {
        plat_log("lost id=%s", id);
    }
}

static void *
run_small_client(void *ctx)
{
    int number = *(const int *)ctx;
    int fd = -1;

    for (int n = 0; plat_now() < END_MS && !killed; n++) {
        char id[64];
        snprintf(id, sizeof(id), "fee-%02d-%04d-%02d", number, n,
                 (number + n * 5) % OBJECTS);
        PlatAnswer a = plat_request(&fd, edge, "PUT", "/fee/1", id);
        count(&a, id);
        plat_sleep_until(plat_now() + SMALL_PAUSE_MS);
    }
    return NULL;
}

static void *
run_client(void *ctx)
{
    int fd = -1;
    int n;
    (void)ctx;

    while ((n = take()) >= 0 && !killed) {
        char id[64];
        /* The last two digits are the object. */
        snprintf(id, sizeof(id), "up-%04d-%02d", n, (n * 7) % OBJECTS);
        PlatAnswer a = plat_upload(&fd, edge, "/book/1", id, BODY_BYTES);
        count(&a, id);
    }
    return NULL;
}

static long
resident_kb(int pid)
{
    char line[256];
    char file[64];
    long kb = 0;

    snprintf(file, sizeof(file), "/proc/%d/status", pid);
    FILE *f = fopen(file, "r");
    while (f != NULL && fgets(line, sizeof(line), f) != NULL) {
        if (strncmp(line, "VmRSS:", 6) == 0) {
            kb = strtol(line + 6, NULL, 10);
        }
    }
    if (f != NULL) {
        fclose(f);
    }
    return kb;
}

/* Kills the process when it exceeds the memory of its machine. */
static void
watch_memory(void)
{
    int64_t logged = 0;

    while (plat_now() < END_MS && !killed) {
        long kb = resident_kb(edge->pid);
        peak_kb = kb > peak_kb ? kb : peak_kb;
        if (plat_now() - logged >= 500) {
            logged = plat_now();
            plat_log("memory edge=%s resident_kb=%ld", edge->id, kb);
        }
        if (kb > RAM_KB) {
            plat_log("killed edge=%s resident_kb=%ld limit_kb=%d", edge->id,
                     kb, RAM_KB);
            kill(edge->pid, SIGKILL);
            killed = true;
        }
        usleep(10000);
    }
}

int
main(int argc, char **argv)
{
    const char *text = getenv("TROUBLE");
    pthread_t threads[THREADS + SMALL_THREADS];
    int numbers[SMALL_THREADS];
    PlatEdge *edges[FLEET_EDGES];

    trouble = text == NULL || strcmp(text, "0") != 0;
    if (argc != 3) {
        fprintf(stderr, "usage: upload RECORD DIR\n");
        return 2;
    }
    plat_start(argv[1], argv[2]);
    plat_set_work(WORK_MS);
    if (!fleet_start(edges)) {
        return 2;
    }
    edge = edges[0];
    plat_sleep_until(16000);
    due_ms = plat_now();
    for (int i = 0; i < THREADS; i++) {
        pthread_create(&threads[i], NULL, run_client, NULL);
    }
    for (int i = 0; i < SMALL_THREADS; i++) {
        numbers[i] = i;
        pthread_create(&threads[THREADS + i], NULL, run_small_client,
                       &numbers[i]);
    }
    watch_memory();
    for (int i = 0; i < THREADS + SMALL_THREADS; i++) {
        pthread_join(threads[i], NULL);
    }
    plat_stop_edges();
    plat_log("verdict edge=%s killed=%d peak_kb=%ld served=%d unserved=%d "
             "lost=%d",
             edge->id, killed, peak_kb, served, unserved, lost);
    printf("%s: peak %ld kB of %d kB, %s; %d requests served, %d not; %d "
           "from kept connections were run and got no answer\n",
           edge->id, peak_kb, RAM_KB, killed ? "killed" : "not killed", served,
           unserved, lost);
    return lost > LOST_MAX ? 1 : 0;
}
