/*
 * standin-quota - test stand-in for a quota of processor time: stops a process
 * with SIGSTOP once it has run for its share of a period, until the next one
 * begins.
 *
 * usage: standin-quota PID RUN_MS PERIOD_MS
 * Ends with the process, or at SIGTERM, and then resumes it.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define POLL_US 500

static volatile sig_atomic_t ended;

static void
on_signal(int number)
{
    (void)number;
    ended = 1;
}

static int64_t
monotonic_us(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

/* Time that the process has run; -1: it has ended. */
static int64_t
run_us(clockid_t clock)
{
    struct timespec t;

    if (clock_gettime(clock, &t) != 0) {
        return -1;
    }
    return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int
main(int argc, char **argv)
{
    clockid_t clock;

    if (argc != 4) {
        fputs("usage: standin-quota PID RUN_MS PERIOD_MS\n", stderr);
        return 2;
    }
    pid_t pid = atoi(argv[1]);
    int64_t quota_us = atoi(argv[2]) * INT64_C(1000);
    int64_t period_us = atoi(argv[3]) * INT64_C(1000);
    if (pid <= 0 || quota_us <= 0 || period_us <= quota_us ||
        clock_getcpuclockid(pid, &clock) != 0) {
        fputs("standin-quota: wrong arguments, or no such process\n", stderr);
        return 2;
    }
    signal(SIGTERM, on_signal);
    int64_t begin_us = monotonic_us();
    int64_t used_us = run_us(clock);
    bool stopped = false;
    while (ended == 0) {
        int64_t now_us = monotonic_us();
        int64_t ran_us = run_us(clock);
        if (ran_us < 0) {
            return 0;
        }
        if (now_us - begin_us >= period_us) {
            begin_us = now_us;
            used_us = ran_us;
            if (stopped) {
                kill(pid, SIGCONT);
                stopped = false;
            }
        }
        else if (!stopped && ran_us - used_us >= quota_us) {
            kill(pid, SIGSTOP);
            stopped = true;
        }
        usleep(POLL_US);
    }
    kill(pid, SIGCONT);
    return 0;
}
