/*
 * standin-callers - test stand-in for callers: sends requests to a VM over
 * kept and new connections, in ways that real callers use, and checks that
 * each request ends with exactly one whole response.
 *
 * SIGUSR1 sets the moment that the times in the output refer to.  The end of
 * --seconds, or SIGTERM, ends the run; requests in flight are completed first.
 * The ids of attempts start with the first letter of the route: w or r.
 *
 * Output, times in ms:
 *   status number of responses with a status
 *   time   with --timeline: what ended in an interval after the moment
 *   lost   a request that ended without a whole response
 *   bad    a response that is wrong, or a run that was denied
 *   summary
 *     requests  begun; each is whole, lost, expired, crossed or dropped
 *     part      those of the lost that were not sent completely
 *     expired   the response began and was broken off after --timeout
 *     crossed   kept connection, end of stream at once and no byte; not run
 *     dropped   sent early, behind the last response of a connection; not run
 *     refused   connections that were not accepted; no request was sent
 *     twice     attempts of writes that ran more than once, counted by
 *               standin-platform
 *     retried   the same of reads, which are idempotent
 */
#include <getopt.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "callers_options.h"
#include "callers_report.h"
#include "pf.h"
#include "platform_sizes.h"
#include "progopts.h"

static void
on_signal(int number)
{
    struct timespec t;

    if (number == SIGUSR1) {
        clock_gettime(CLOCK_MONOTONIC, &t);
        moment_us = (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
    }
    else {
        stop_requested = 1;
    }
}

static void
count_in_bin(Run *r, Bin kind)
{
    int64_t i = (g_get_monotonic_time() - moment_us) / BIN_US;

    if (moment_us != 0 && i >= 0 && i < BINS) {
        r->bins[i][kind]++;
    }
}

static void
schedule(Client *c, Step step, int64_t delay_us)
{
    c->step = step;
    evl_arm(c->run->loop, &c->timer, evl_now(c->run->loop) + delay_us);
}

static void
record(GArray *list, const Request *q, const char *why, bool crossed)
{
    Ended x = {*q, why, g_get_monotonic_time(), crossed};

    g_array_append_val(list, x);
}

static void
drop_next(Client *c)
{
    if (c->has_next) {
        record(c->run->dropped, &c->next, "dropped", false);
    }
    c->has_next = false;
}

static void
close_connection(Client *c)
{
    bool hold = c->state == ENDING && (c->req.kind->flags & HOLD) != 0;

    if (hold && c->run->n_held < HELD_MAX) {
        /* The duplicate keeps the connection open. */
        c->run->held[c->run->n_held++] = dup(c->strm.ev.fd);
    }
    strm_close(&c->strm);
    c->kept = false;
    c->state = IDLE;
    g_byte_array_set_size(c->rest, 0);
    schedule(c, BEGIN, g_rand_int_range(c->rnd, 0, THINK_MAX_US));
}

static void
lose(Client *c, const char *why)
{
    const Request *q = &c->req;
    bool whole_head = c->response.has_head;
    bool crossed = !q->fresh && !q->early && strcmp(why, "eof") == 0 &&
                   !whole_head && c->response.head->len == 0 &&
                   g_get_monotonic_time() - q->begin_us < CROSS_US;

    record(c->run->lost, q, why, crossed);
    count_in_bin(c->run, B_LOST);
    drop_next(c);
    close_connection(c);
}

static void
print_bad(Client *c, const char *what)
{
    c->run->bad++;
    printf("bad what=%s kind=%s id=%s at=%" PRId64 "\n", what,
           c->req.kind->name, c->req.id,
           since_moment_ms(g_get_monotonic_time()));
}

static void
check_success(Client *c)
{
    unsigned flags = c->req.kind->flags;
    char body[BODY_KEPT_BYTES];

    if (!str_eqz(h1_get(&c->response, pf_header_names.attempt), c->req.id)) {
        print_bad(c, "id");
    }
    if ((flags & (LARGE | HUGE)) != 0) {
        if (c->req.got != c->req.expected) {
            print_bad(c, "length");
        }
        return;
    }
    snprintf(body, sizeof(body), "done %s\n", c->req.id);
    if (c->req.got != strlen(body) || c->n_start != c->req.got ||
        memcmp(body, c->start, c->n_start) != 0) {
        print_bad(c, "body");
    }
}

static void
check_response(Client *c)
{
    Run *r = c->run;
    unsigned status = c->response.parser.status_code;
    Bin bin = B_OTHER;

    r->whole++;
    r->by_status[MIN(status, STATUS_MAX)]++;
    if (status == 200) {
        bin = B_OK;
        check_success(c);
    }
    else if (status == 503 || status == 429 || status == 408 ||
             status == 421) {
        bin = B_NOT_RUN;
        record(r->not_run, &c->req, "not_run", false);
    }
    r->status[bin]++;
    count_in_bin(r, bin);
}

static void
begin_response(Client *c)
{
    h1_next(&c->response);
    c->n_start = 0;
    c->state = WAITING;
}

/* Handles a whole response.  Returns true if another one is due. */
static bool
end_response(Client *c)
{
    bool close = !c->response.keep || !c->req.sent;

    check_response(c);
    if (c->has_next && !close) {
        c->req = c->next;
        c->has_next = false;
        begin_response(c);
        schedule(c, GIVE_UP, ANSWER_TIMEOUT_US);
        return true;
    }
    drop_next(c);
    if (close) {
        /* The rest of a request that was refused early. */
        strm_write(&c->strm, c->rest->data, c->rest->len);
        c->state = ENDING;
        schedule(c, GIVE_UP, EOF_TIMEOUT_US);
        return false;
    }
    c->state = IDLE;
    c->kept = true;
    if (g_rand_int_range(c->rnd, 0, 100) >= KEEP_PERCENT) {
        close_connection(c);
    }
    else {
        bool idle = g_rand_int_range(c->rnd, 0, 100) < c->run->idle_percent;
        schedule(
            c, BEGIN,
            g_rand_int_range(c->rnd, 0, idle ? IDLE_MAX_US : THINK_MAX_US));
    }
    return false;
}

static void
read_response(Client *c)
{
    Err e = {0};
    H1 *h = &c->response;

    while (c->state == WAITING && c->strm.in->len > 0) {
        H1State st = h1_feed(h, c->strm.in, HEAD_MAX_BYTES, &e);
        guint n = MIN(h->body->len, BODY_KEPT_BYTES - (guint)c->n_start);
        memcpy(c->start + c->n_start, h->body->data, n);
        c->n_start += n;
        c->req.got += h->body->len;
        g_byte_array_set_size(h->body, 0);
        if (st == H1_ERROR || st == H1_TOO_LARGE) {
            print_bad(c, "syntax");
            lose(c, "syntax");
            return;
        }
        if (st != H1_DONE || !end_response(c)) {
            return;
        }
    }
    if (c->state != WAITING && c->strm.open && c->strm.in->len > 0) {
        print_bad(c, "extra");
        close_connection(c);
    }
}

static void
new_request(Client *c, Request *q, const Kind *k, bool fresh)
{
    *q = (Request){
        .kind = k, .fresh = fresh, .begin_us = g_get_monotonic_time()};
    snprintf(q->id, sizeof(q->id), "%c%" PRId64 "c%dn%d", k->path[1],
             c->run->seed, c->number, ++c->count);
    snprintf(q->path, sizeof(q->path), "%s", k->path);
    if ((k->flags & LARGE) != 0) {
        q->expected = LARGE_BYTES;
    }
    if ((k->flags & HUGE) != 0) {
        int steps = (HUGE_MAX_KB - HUGE_MIN_KB) / HUGE_STEP_KB;
        int kb = HUGE_MIN_KB +
                 HUGE_STEP_KB * g_rand_int_range(c->rnd, 0, steps + 1);
        snprintf(q->path, sizeof(q->path), "%s%d", k->path, kb);
        q->expected = (size_t)kb * 1024;
    }
    c->run->requests++;
}

static void
append_request(GString *out, const Request *q, unsigned flags, size_t body)
{
    g_string_append_printf(out,
                           "%s %s HTTP/1.1\r\nHost: desk.example\r\n"
                           "%s: %s\r\n%s: %s\r\n%s: 3000\r\n",
                           (flags & POST) != 0 ? "POST" : "GET", q->path,
                           pf_header_names.attempt, q->id,
                           pf_header_names.affinity_key, q->id,
                           pf_header_names.time_left_ms);
    if ((flags & POST) != 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", body);
    }
    g_string_append(out, (flags & CLOSE) != 0 ? "Connection: close\r\n\r\n"
                                              : "\r\n");
}

static void
send_behind(Client *c)
{
    unsigned flags = c->req.kind->flags;
    GString *g = g_string_new(NULL);

    if ((flags & BLANK) != 0) {
        g_string_append(g, "\r\n");
    }
    if ((flags & NEXT) != 0) {
        new_request(c, &c->next, &kinds[NEXT_KIND], false);
        c->next.early = true;
        c->next.sent = true;
        c->has_next = true;
        append_request(g, &c->next, 0, 0);
    }
    strm_write(&c->strm, g->str, g->len);
    g_string_free(g, TRUE);
}

/* Continues when all bytes of the request were sent. */
static void
request_sent(Client *c, Step done)
{
    unsigned flags = c->req.kind->flags;

    c->req.sent = true;
    if ((flags & (BLANK | NEXT)) != 0 && done < SEND_BEHIND) {
        if ((flags & LATE) != 0) {
            schedule(c, SEND_BEHIND, READ_DELAY_US);
            return;
        }
        send_behind(c);
    }
    if ((flags & SLOW) != 0) {
        schedule(c, READ, (flags & LONG) != 0 ? LONG_DELAY_US : READ_DELAY_US);
        return;
    }
    schedule(c, GIVE_UP, ANSWER_TIMEOUT_US);
}

static void
send_request(Client *c)
{
    static const size_t sizes[] = {10, 2000, 20000, 60000};
    static const char filler[60000];
    const Kind *k = c->req.kind;
    GString *g = g_string_new(NULL);
    size_t body = sizes[g_rand_int_range(c->rnd, 0, G_N_ELEMENTS(sizes))];
    size_t first;
    int pause_us = HEAD_PAUSE_MAX_US;

    begin_response(c);
    append_request(g, &c->req, k->flags, body);
    first = g->len;
    if ((k->flags & PIECES) != 0) {
        first = (size_t)g_rand_int_range(c->rnd, 1, (gint32)g->len);
    }
    if ((k->flags & POST) != 0) {
        g_string_append_len(g, filler, (gssize)body);
    }
    if ((k->flags & PAUSE) != 0) {
        first += body / 2;
        pause_us = BODY_PAUSE_MAX_US;
    }
    if ((k->flags & (PIECES | PAUSE)) == 0) {
        first = g->len;
    }
    if ((k->flags & SLOW) != 0) {
        /* strm_pause() would lose what arrives before the end of stream. */
        evl_mod(c->run->loop, &c->strm.ev, 0);
    }
    strm_write(&c->strm, g->str, first);
    if (first < g->len) {
        g_byte_array_append(c->rest, (const guint8 *)g->str + first,
                            (guint)(g->len - first));
        schedule(c, SEND_REST, g_rand_int_range(c->rnd, 0, pause_us));
    }
    else {
        request_sent(c, BEGIN);
    }
    g_string_free(g, TRUE);
}

static void
on_stream(void *ctx, StrmEvent ev)
{
    Client *c = ctx;
    bool ended = ev == STRM_EOF || ev == STRM_FAILED;

    if (ev == STRM_CONNECTED) {
        new_request(c, &c->req, c->req.kind, true);
        send_request(c);
    }
    else if (ev == STRM_READABLE) {
        read_response(c);
    }
    else if (ended && c->state == CONNECTING) {
        c->run->refused++;
        count_in_bin(c->run, B_REFUSED);
        close_connection(c);
    }
    else if (ended && c->state == WAITING) {
        lose(c, ev == STRM_EOF ? "eof" : "reset");
    }
    else if (ended) {
        close_connection(c);
    }
}

/* True when the VM has closed the connection before a request is sent. */
static bool
is_closed(const Client *c)
{
    struct pollfd p = {.fd = c->strm.ev.fd, .events = POLLIN | POLLRDHUP};

    return poll(&p, 1, 0) != 0;
}

static void
begin(Client *c)
{
    Run *r = c->run;
    const Kind *k = g_ptr_array_index(
        r->chosen, g_rand_int_range(c->rnd, 0, (gint32)r->chosen->len));

    if (c->kept && (r->stopping || is_closed(c))) {
        strm_close(&c->strm);
        c->kept = false;
    }
    if (r->stopping) {
        if (--r->active == 0) {
            evl_stop(r->loop);
        }
        return;
    }
    if (c->kept) {
        c->kept = false;
        new_request(c, &c->req, k, false);
        send_request(c);
        return;
    }
    c->req.kind = k;
    c->state = CONNECTING;
    if (!strm_connect(&c->strm, r->loop, (struct sockaddr *)&r->vm, 0,
                      on_stream, c)) {
        r->refused++;
        count_in_bin(r, B_REFUSED);
        c->state = IDLE;
        schedule(c, BEGIN, RECONNECT_US);
        return;
    }
    schedule(c, GIVE_UP, ANSWER_TIMEOUT_US);
}

static void
on_timer(void *ctx, int64_t now_us)
{
    Client *c = ctx;
    (void)now_us;

    switch (c->step) {
    case BEGIN:
        begin(c);
        break;
    case SEND_REST:
        strm_write(&c->strm, c->rest->data, c->rest->len);
        g_byte_array_set_size(c->rest, 0);
        request_sent(c, SEND_REST);
        break;
    case SEND_BEHIND:
        send_behind(c);
        request_sent(c, SEND_BEHIND);
        break;
    case READ:
        evl_mod(c->run->loop, &c->strm.ev, c->strm.events);
        schedule(c, GIVE_UP, ANSWER_TIMEOUT_US);
        break;
    case GIVE_UP:
        if (c->state == WAITING) {
            lose(c, "timeout");
        }
        else {
            if (c->state == ENDING) {
                print_bad(c, "open");
            }
            close_connection(c);
        }
        break;
    }
}

static void
on_end_check(void *ctx, int64_t now_us)
{
    Run *r = ctx;

    if (now_us >= r->end_us || stop_requested != 0) {
        r->stopping = true;
        for (int i = 0; i < r->n_clients; i++) {
            if (r->clients[i].step == BEGIN) {
                schedule(&r->clients[i], BEGIN, 0);
            }
        }
        return;
    }
    evl_arm(r->loop, &r->end_timer, now_us + END_CHECK_US);
}

static void
start(Run *r)
{
    r->loop = evl_new();
    r->lost = g_array_new(FALSE, TRUE, sizeof(Ended));
    r->not_run = g_array_new(FALSE, TRUE, sizeof(Ended));
    r->dropped = g_array_new(FALSE, TRUE, sizeof(Ended));
    bool mix = r->chosen->len == 0;
    for (size_t k = 0; mix && k < G_N_ELEMENTS(kinds); k++) {
        for (int i = 0; i < kinds[k].weight; i++) {
            g_ptr_array_add(r->chosen, (gpointer)&kinds[k]);
        }
    }
    r->clients = g_new0(Client, r->n_clients);
    r->active = (int)r->n_clients;
    for (int i = 0; i < r->active; i++) {
        Client *c = &r->clients[i];
        c->run = r;
        c->number = i;
        c->rnd = g_rand_new_with_seed((guint32)(r->seed * CALLERS_MAX + i));
        c->rest = g_byte_array_new();
        c->timer = (EvlTimer){.fn = on_timer, .ctx = c};
        h1_init(&c->response, false);
        schedule(c, BEGIN, g_rand_int_range(c->rnd, 0, THINK_MAX_US));
    }
    r->end_timer = (EvlTimer){.fn = on_end_check, .ctx = r};
    r->end_us = evl_now(r->loop) + r->seconds * 1000000;
    on_end_check(r, evl_now(r->loop));
}

static void
clear(Run *r)
{
    for (int i = 0; i < r->n_clients; i++) {
        h1_clear(&r->clients[i].response);
        g_byte_array_unref(r->clients[i].rest);
        g_rand_free(r->clients[i].rnd);
    }
    for (int i = 0; i < r->n_held; i++) {
        close(r->held[i]);
    }
    g_free(r->clients);
    g_array_unref(r->lost);
    g_array_unref(r->not_run);
    g_array_unref(r->dropped);
    evl_free(r->loop);
}

int
main(int argc, char **argv)
{
    static const ProgOptions options = {"standin-callers", long_opts,
                                        print_help, set_option};
    static Run r;
    Err e = {0};

    r.n_clients = 20;
    r.seconds = 5;
    r.idle_percent = IDLE_PERCENT;
    r.chosen = g_ptr_array_new();
    int rc = prog_options(&options, argc, argv, &r, &e);
    if (rc >= 0) {
        return e.kind == ERR_NONE ? rc : prog_fail(options.program, &e);
    }
    if (r.vm.sin_port == 0 || r.store.sin_port == 0 || optind != argc) {
        print_help(stderr);
        return err_exit_code(ERR_USAGE);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGUSR1, on_signal);
    signal(SIGTERM, on_signal);
    setvbuf(stdout, NULL, _IOLBF, 0);
    start(&r);
    evl_run(r.loop);
    bool ok = report(&r);
    clear(&r);
    g_ptr_array_unref(r.chosen);
    return ok ? 0 : err_exit_code(ERR_UNAVAILABLE);
}
