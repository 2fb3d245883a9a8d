/* Tests of px with random versions of a configuration, which come while
 * requests are on their way.  VERSIONS_SEED=n plays one seed and prints what
 * has occurred. */
#include "versions_world.h"

#include <stdio.h>

#define SEEDS 6
#define PLAY_US (2500 * MS)
#define END_US (1500 * MS) /* for the requests that are open then */
#define DEADLINE_MS 1500
#define OK_MIN 100 /* requests served, for the play to say anything */
#define HEADER_ID "\r\nX-Mimosascale-Attempt-Id"

static int
chance(VwWorld *x, int per_cent)
{
    return g_rand_int_range(x->r, 0, 100) < per_cent;
}

static void
free_served(gpointer p)
{
    VwServed *c = p;

    close(c->fd);
    g_string_free(c->in, TRUE);
    if (c->answer != NULL) {
        g_string_free(c->answer, TRUE);
    }
    g_free(c);
}

static void
report(VwWorld *x, VwStub *s)
{
    char service[8];
    char zone[8];
    int64_t now_us = evl_now(x->w.loop);

    g_snprintf(service, sizeof(service), "s%d", s->service);
    g_snprintf(zone, sizeof(zone), "reg%d-z", s->region);
    UpsReport r = {.id = str_of(s->id),
                   .service = str_of(service),
                   .zone = str_of(zone),
                   .slots = 100};
    memcpy(&r.addr, &s->at, sizeof(s->at));
    if (strcmp(s->listed, s->id) != 0 && s->listed[0] != '\0') {
        ups_missing(x->w.set, str_of(s->listed), now_us);
        ups_expire(x->w.set, now_us);
    }
    ups_report(x->w.set, &r, now_us);
    g_strlcpy(s->listed, s->id, sizeof(s->listed));
    s->report_us = 0;
}

static void
start_stub(VwWorld *x, int i)
{
    VwStub *s = &x->stubs[i];

    s->listener = world_bind(&s->at);
    ck_assert_int_eq(listen(s->listener, 256), 0);
    s->region = i % RV_REGIONS;
    s->service = i / RV_REGIONS % RV_SERVICES;
    s->served = g_ptr_array_new_with_free_func(free_served);
    g_snprintf(s->id, sizeof(s->id), "i-%d", x->n_ids++);
    report(x, s);
}

/* The upstream ends; one of another service starts at its address. */
static void
restart_stub(VwWorld *x, VwStub *s, int service)
{
    s->service = service;
    g_snprintf(s->id, sizeof(s->id), "i-%d", x->n_ids++);
    g_ptr_array_set_size(s->served, 0);
    if (chance(x, 50)) {
        /* It refuses connections until it starts. */
        shutdown(s->listener, SHUT_RDWR);
        x->n.refusing++;
    }
    s->report_us = evl_now(x->w.loop) + g_rand_int_range(x->r, 0, 60) * MS;
    x->n.exchanged++;
}

/* Two upstreams of a region exchange their services, so that each service
 * keeps its number of upstreams there. */
static void
exchange_stubs(VwWorld *x)
{
    int a = g_rand_int_range(x->r, 0, VW_STUBS);
    int b = (a + RV_REGIONS * g_rand_int_range(x->r, 1, 4)) % VW_STUBS;
    int service = x->stubs[a].service;

    restart_stub(x, &x->stubs[a], x->stubs[b].service);
    restart_stub(x, &x->stubs[b], service);
}

/* Decides how the upstream treats a request. */
static void
treat(VwWorld *x, VwStub *s, VwServed *c, const char *id, const char *want)
{
    int64_t now_us = evl_now(x->w.loop);
    int roll = g_rand_int_range(x->r, 0, 100);
    const char *status = "200 OK\r\nX-Mimosascale-Reply-Seal: s";

    c->answer_us = now_us + g_rand_int_range(x->r, 0, 20) * MS;
    c->close = roll >= 12 && roll < 16;
    if (strcmp(want, s->id) != 0) {
        status = "421 Misdirected Request\r\nX-Mimosascale-Not-Run: 1";
        c->answer_us = now_us;
        x->n.mismatched++;
    }
    else {
        vw_check_run(x, s, atoi(id));
        if (roll < 6) {
            status = "503 Service Unavailable\r\nX-Mimosascale-Not-Run: 1";
            c->answer_us += chance(x, 30) ? 300 * MS : 0;
            x->n.not_run++;
        }
        else if (roll < 12) {
            /* Closed without an answer. */
            c->close = true;
            c->answer_us += chance(x, 30) ? 300 * MS : 0;
            x->n.lost++;
            return;
        }
        else if (roll < 20) {
            g_string_free(c->answer, TRUE);
            c->answer = NULL;
            x->n.held++;
            return;
        }
    }
    g_string_append_printf(c->answer,
                           "HTTP/1.1 %s\r\nX-Mimosascale-Attempt-Id: %s\r\n"
                           "Content-Length: 2\r\n\r\nok",
                           status, id);
}

/* Returns false when the connection has ended. */
static bool
step_served(VwWorld *x, VwStub *s, VwServed *c)
{
    if (!vw_read(c->fd, c->in)) {
        return false;
    }
    if (c->answer == NULL) {
        return true;
    }
    if (c->answer->len == 0 && !c->close) {
        char *text = vw_take_message(c->in);
        if (text == NULL) {
            return true;
        }
        char *id = vw_header(text, HEADER_ID);
        char *want = vw_header(text, "\r\nX-Mimosascale-Want-Instance");
        ck_assert_ptr_nonnull(id);
        ck_assert_ptr_nonnull(want);
        treat(x, s, c, id, want);
        g_free(id);
        g_free(want);
        g_free(text);
        return true;
    }
    if (evl_now(x->w.loop) >= c->answer_us) {
        send(c->fd, c->answer->str, c->answer->len, MSG_NOSIGNAL);
        g_string_truncate(c->answer, 0);
        return !c->close;
    }
    return true;
}

static void
step_stub(VwWorld *x, VwStub *s)
{
    int fd;

    while ((fd = accept(s->listener, NULL, NULL)) >= 0) {
        VwServed *c = g_new0(VwServed, 1);
        c->fd = fd;
        c->in = g_string_new(NULL);
        c->answer = g_string_new(NULL);
        g_ptr_array_add(s->served, c);
    }
    for (guint i = s->served->len; i > 0; i--) {
        if (!step_served(x, s, g_ptr_array_index(s->served, i - 1))) {
            g_ptr_array_remove_index_fast(s->served, i - 1);
        }
    }
    if (s->report_us != 0 && evl_now(x->w.loop) >= s->report_us) {
        ck_assert_int_eq(listen(s->listener, 256), 0);
        report(x, s);
    }
}

/* Writes a request; the rest of a slow one comes later. */
static void
append_request(VwWorld *x, VwConn *c, GString *out, bool slow)
{
    VwAsk a = {.sent = -1};
    int index = (int)x->asks->len;
    char body[VW_BODY + 1];

    rv_random_request(vw_version(x, x->now), x->r, &a.host, &a.path);
    g_array_append_val(x->asks, a);
    g_array_append_val(c->asks, index);
    g_snprintf(body, sizeof(body), "%0*d", VW_BODY, index);
    g_string_append_printf(out,
                           "POST %s HTTP/1.1\r\nHost: %s\r\n"
                           "X-Mimosascale-Attempt-Id: %d\r\n"
                           "X-Mimosascale-Affinity-Key: %d\r\n"
                           "X-Mimosascale-Deadline-Ms: %d\r\n"
                           "Content-Length: %d\r\n\r\n%s",
                           a.path, a.host, index, index % 7, DEADLINE_MS,
                           VW_BODY, body);
    if (slow) {
        gsize n = (gsize)g_rand_int_range(x->r, 1, VW_BODY + 60);
        g_string_append(c->tail, out->str + out->len - n);
        g_string_truncate(out, out->len - n);
        c->tail_us = evl_now(x->w.loop) + g_rand_int_range(x->r, 1, 80) * MS;
        x->n.slow++;
    }
    x->n.requests++;
}

/* The first n requests of the connection have been sent whole. */
static void
mark_sent(VwWorld *x, const VwConn *c, guint n)
{
    for (guint i = 0; i < n; i++) {
        VwAsk *a = vw_ask(x, g_array_index(c->asks, int, i));
        if (a->sent < 0) {
            a->sent = x->now;
            a->sent_us = evl_boottime();
        }
    }
}

static void
send_text(const VwConn *c, const GString *s)
{
    /* The entry may have closed the connection. */
    send(c->fd, s->str, s->len, MSG_NOSIGNAL);
}

static void
start_requests(VwWorld *x, VwConn *c)
{
    GString *out = g_string_new(NULL);
    int n = chance(x, 20) ? g_rand_int_range(x->r, 2, 4) : 1;
    bool slow = chance(x, 25);

    if (c->fd < 0) {
        c->fd = socket(AF_INET, SOCK_STREAM, 0);
        ck_assert_int_eq(
            connect(c->fd, (struct sockaddr *)&x->w.entry, sizeof(x->w.entry)),
            0);
    }
    for (int i = 0; i < n; i++) {
        append_request(x, c, out, slow && i == n - 1);
    }
    x->n.pipelined += n - 1;
    send_text(c, out);
    mark_sent(x, c, c->asks->len - (slow ? 1 : 0));
    g_string_free(out, TRUE);
}

static void
check_response(VwWorld *x, int index, const char *text)
{
    VwAsk *a = vw_ask(x, index);
    char *id = vw_header(text, HEADER_ID);
    bool allowed = false;

    a->status = atoi(text + strlen("HTTP/1.1 "));
    if (a->status == 200) {
        ck_assert_ptr_nonnull(id);
        ck_assert_int_eq(atoi(id), index);
        x->n.ok++;
    }
    else if (a->status == 404) {
        for (int i = MAX(a->sent, 0); i <= x->now; i++) {
            allowed = allowed ||
                      rv_match(vw_version(x, i), a->host, a->path) == NULL;
        }
        ck_assert_msg(a->sent >= 0 && allowed,
                      "seed %u: request %d (%s %s), sent in version %d, got "
                      "404 in version %d",
                      x->seed, index, a->host, a->path, a->sent, x->now);
        x->n.not_found++;
    }
    else {
        x->n.other++;
    }
    g_free(id);
}

static void
close_conn(VwWorld *x, VwConn *c)
{
    close(c->fd);
    c->fd = -1;
    x->n.broken += c->asks->len > 0 ? 1 : 0;
    g_array_set_size(c->asks, 0);
    g_string_truncate(c->in, 0);
    g_string_truncate(c->tail, 0);
}

static void
step_conn(VwWorld *x, VwConn *c, bool begin)
{
    char *text;

    if (c->fd >= 0) {
        bool open = vw_read(c->fd, c->in);
        while (c->asks->len > 0 && (text = vw_take_message(c->in)) != NULL) {
            check_response(x, g_array_index(c->asks, int, 0), text);
            g_array_remove_index(c->asks, 0);
            g_free(text);
        }
        if (!open) {
            close_conn(x, c);
        }
    }
    if (c->tail->len > 0 && evl_now(x->w.loop) >= c->tail_us) {
        send_text(c, c->tail);
        g_string_truncate(c->tail, 0);
        mark_sent(x, c, c->asks->len);
    }
    if (begin && c->asks->len == 0 && chance(x, 10)) {
        if (c->fd >= 0 && chance(x, 10)) {
            close_conn(x, c);
        }
        start_requests(x, c);
    }
}

/* Changes the configuration, what is known of it, or the upstreams. */
static void
disturb(VwWorld *x)
{
    int64_t now_us = evl_now(x->w.loop);

    if (chance(x, 2)) {
        vw_set_version(x);
    }
    else if (chance(x, 2)) {
        evl_arm(x->w.loop, &x->timer,
                now_us + g_rand_int_range(x->r, 0, 5000));
    }
    if (chance(x, 2)) {
        px_wait_for_view(x->w.px, now_us + g_rand_int_range(x->r, 1, 60) * MS);
        x->n.waits++;
        if (chance(x, 30)) {
            px_set_routes_behind(x->w.px, true);
            x->n.behind++;
        }
    }
    if (chance(x, 1)) {
        exchange_stubs(x);
    }
}

static void
step(VwWorld *x, bool begin)
{
    x->before = x->now;
    evl_run_once(x->w.loop, 1);
    for (int i = 0; i < VW_STUBS; i++) {
        step_stub(x, &x->stubs[i]);
    }
    for (int i = 0; i < VW_CONNS; i++) {
        step_conn(x, &x->conns[i], begin);
    }
    if (begin) {
        disturb(x);
    }
}

static void
begin_world(VwWorld *x, guint32 seed)
{
    RvVersion v;

    memset(x, 0, sizeof(*x));
    x->seed = seed;
    x->r = g_rand_new_with_seed(seed);
    x->now = -1;
    x->versions = g_array_new(FALSE, TRUE, sizeof(RvVersion));
    x->set_us = g_array_new(FALSE, TRUE, sizeof(int64_t));
    x->asks = g_array_new(FALSE, TRUE, sizeof(VwAsk));
    x->timer = (EvlTimer){.fn = vw_on_timer, .ctx = x};
    rv_init(&v, x->r);
    g_array_append_val(x->versions, v);
    world_init_regions(&x->w, false, 1, vw_regions, RV_REGIONS);
    vw_set_version(x);
    for (int i = 0; i < VW_STUBS; i++) {
        start_stub(x, i);
    }
    for (int i = 0; i < VW_CONNS; i++) {
        x->conns[i] = (VwConn){-1, g_string_new(NULL), g_string_new(NULL), 0,
                               g_array_new(FALSE, TRUE, sizeof(int))};
    }
}

static void
end_world(VwWorld *x)
{
    for (int i = 0; i < VW_CONNS; i++) {
        VwConn *c = &x->conns[i];
        if (c->fd >= 0) {
            close(c->fd);
        }
        g_string_free(c->in, TRUE);
        g_string_free(c->tail, TRUE);
        g_array_free(c->asks, TRUE);
    }
    for (int i = 0; i < VW_STUBS; i++) {
        g_ptr_array_free(x->stubs[i].served, TRUE);
        close(x->stubs[i].listener);
    }
    for (guint i = 0; i < x->asks->len; i++) {
        g_free(vw_ask(x, (int)i)->host);
        g_free(vw_ask(x, (int)i)->path);
    }
    evl_disarm(x->w.loop, &x->timer);
    world_run(&x->w, SETTLE_US);
    world_clear(&x->w);
    g_array_free(x->asks, TRUE);
    g_array_free(x->set_us, TRUE);
    g_array_free(x->versions, TRUE);
    g_rand_free(x->r);
}

static void
print_counts(const VwWorld *x)
{
    const VwCounts *n = &x->n;
    GString *s = g_string_new(NULL);

    px_metrics(x->w.px, s);
    const char *retries = strstr(s->str, "edge_requests_retries_total");
    printf("seed=%u versions=%d requests=%d ok=%d not_found=%d other=%d "
           "broken=%d runs=%d repeats=%d old=%d first_old=%d old_ms=%d "
           "mismatched=%d not_run=%d lost=%d held=%d pipelined=%d slow=%d "
           "waits=%d behind=%d exchanged=%d refusing=%d retries=%d\n",
           x->seed, n->versions, n->requests, n->ok, n->not_found, n->other,
           n->broken, n->runs, n->repeats, n->old, n->first_old,
           (int)(n->old_us / MS), n->mismatched, n->not_run, n->lost, n->held,
           n->pipelined, n->slow, n->waits, n->behind, n->exchanged,
           n->refusing, retries == NULL ? -1 : atoi(strchr(retries, ' ')));
    g_string_free(s, TRUE);
}

/* Plays a seed, and checks that what it is for has occurred. */
static void
play(guint32 seed)
{
    VwWorld *x = g_new0(VwWorld, 1);

    begin_world(x, seed);
    int64_t end_us = evl_boottime() + PLAY_US;
    while (evl_boottime() < end_us) {
        step(x, true);
    }
    end_us = evl_boottime() + END_US;
    while (evl_boottime() < end_us) {
        step(x, false);
    }
    print_counts(x);
    /* Retries keep the table of the first attempt, up to its timeout. */
    ck_assert_msg(x->n.old_us <= VW_TIMEOUT_US + SETTLE_US,
                  "seed %u: a retry %d ms after the change", seed,
                  (int)(x->n.old_us / MS));
    ck_assert_int_gt(x->n.versions, 5);
    ck_assert_int_gt(x->n.ok, OK_MIN);
    ck_assert_int_gt(x->n.not_found, 0);
    end_world(x);
    g_free(x);
}

/* Guards against a request that is run by a service or in a region, or is
 * answered 404, as no version since it was sent allows; and against a first
 * attempt by a version that is no longer in force. */
START_TEST(no_request_is_handled_as_only_an_older_version_allows)
{
    const char *one = g_getenv("VERSIONS_SEED");

    if (one != NULL) {
        play((guint32)atoi(one));
        return;
    }
    for (guint32 seed = 1; seed <= SEEDS; seed++) {
        play(seed);
    }
}
END_TEST

T_MAIN("px_versions", no_request_is_handled_as_only_an_older_version_allows)
