/*
 * callers_report - final checks and output of standin-callers.
 */
#ifndef MIMOSA_CALLERS_REPORT_H
#define MIMOSA_CALLERS_REPORT_H

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "callers_run.h"

/* Asks standin-platform for a count; fd is connected to it. */
static int
ask_count(int fd, const char *what, const char *arg)
{
    GByteArray *in = g_byte_array_new();
    char text[512];
    H1 h;
    Err e = {0};
    int count = -1;

    h1_init(&h, false);
    int n = snprintf(text, sizeof(text),
                     "GET /test/%s?%s HTTP/1.1\r\nHost: t\r\n\r\n", what, arg);
    ssize_t k = send(fd, text, (size_t)n, MSG_NOSIGNAL);
    while (k > 0 && h.state != H1_DONE) {
        k = recv(fd, text, sizeof(text), 0);
        if (k > 0) {
            g_byte_array_append(in, (const guint8 *)text, (guint)k);
            h1_feed(&h, in, HEAD_MAX_BYTES, &e);
        }
    }
    if (h.state == H1_DONE) {
        g_byte_array_append(h.body, (const guint8 *)"", 1);
        count = atoi((const char *)h.body->data);
    }
    h1_clear(&h);
    g_byte_array_unref(in);
    return count;
}

/* Counts those that ran although their caller may take them as not run. */
static int
count_denied(int fd, const GArray *list, const char *what)
{
    int n = 0;

    for (guint i = 0; i < list->len; i++) {
        const Ended *x = &g_array_index(list, Ended, i);
        int runs = ask_count(fd, "runs", x->req.id);
        if (runs != 0) {
            printf("bad what=%s kind=%s id=%s at=%" PRId64 " runs=%d\n", what,
                   x->req.kind->name, x->req.id, since_moment_ms(x->end_us),
                   runs);
            n++;
        }
    }
    return n;
}

/* True for a response that began and was broken off when the time of its route
 * was over. */
static bool
is_expired(const Run *r, const Ended *x)
{
    int64_t waited_ms = (x->end_us - x->req.begin_us) / 1000;

    return r->timeout_ms > 0 && x->req.got > 0 && waited_ms >= r->timeout_ms;
}

/* Prints the lost requests and returns their number without those that
 * crossed the close of an idle connection and those that expired.  *part:
 * number of those that were not sent completely. */
static guint
report_lost(int fd, const Run *r, int *part, int *expired)
{
    guint n = 0;

    *part = 0;
    *expired = 0;

    for (guint i = 0; i < r->lost->len; i++) {
        const Ended *x = &g_array_index(r->lost, Ended, i);
        int runs = ask_count(fd, "runs", x->req.id);
        if (x->crossed && runs == 0) {
            continue;
        }
        if (is_expired(r, x)) {
            ++*expired;
            continue;
        }
        n++;
        *part += x->req.sent ? 0 : 1;
        printf("lost kind=%s connection=%s why=%s sent=%s begin=%" PRId64
               " at=%" PRId64 " waited=%" PRId64 " bytes=%zu runs=%d id=%s\n",
               x->req.kind->name, x->req.fresh ? "new" : "kept", x->why,
               x->req.sent ? "whole" : "part",
               since_moment_ms(x->req.begin_us), since_moment_ms(x->end_us),
               (x->end_us - x->req.begin_us) / 1000, x->req.got, runs,
               x->req.id);
    }
    return n;
}

static void
report_bins(const Run *r)
{
    int from_ms = 0;

    for (int i = 0; i < BINS; i++, from_ms += BIN_US / 1000) {
        const int *b = r->bins[i];
        if (b[B_OK] + b[B_NOT_RUN] + b[B_OTHER] + b[B_REFUSED] + b[B_LOST] >
            0) {
            printf("time from=%d ok=%d not_run=%d other=%d refused=%d "
                   "unanswered=%d\n",
                   from_ms, b[B_OK], b[B_NOT_RUN], b[B_OTHER], b[B_REFUSED],
                   b[B_LOST]);
        }
    }
}

/* Returns false when the store of standin-platform cannot be asked. */
static bool
report(const Run *r)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (fd < 0 || connect(fd, (const struct sockaddr *)&r->store,
                          sizeof(r->store)) != 0) {
        close(fd);
        return false;
    }
    for (int i = 0; i <= STATUS_MAX; i++) {
        if (r->by_status[i] > 0) {
            printf("status code=%d count=%d\n", i, r->by_status[i]);
        }
    }
    if (r->timeline != 0) {
        report_bins(r);
    }
    int part;
    int expired;
    guint lost = report_lost(fd, r, &part, &expired);
    int denied = count_denied(fd, r->not_run, "not_run_ran");
    int dropped = count_denied(fd, r->dropped, "dropped_ran");
    printf("summary requests=%" PRId64 " whole=%" PRId64 " ok=%" PRId64
           " not_run=%" PRId64 " other=%" PRId64
           " lost=%u part=%d expired=%d crossed=%u dropped=%u refused=%" PRId64
           " bad=%" PRId64 " twice=%d retried=%d\n",
           r->requests, r->whole, r->status[B_OK], r->status[B_NOT_RUN],
           r->status[B_OTHER], lost, part, expired,
           r->lost->len - lost - (guint)expired, r->dropped->len, r->refused,
           r->bad + denied + dropped, ask_count(fd, "repeated", "w"),
           ask_count(fd, "repeated", "r"));
    close(fd);
    return true;
}

#endif
