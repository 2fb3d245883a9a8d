/* Tests of the request path of mimosa-entry, end to end over TCP. */
#include "t.h"

#include "rig.h"

/* Each test has ports of its own, since the processes of the test before may
 * still be ending. */
#define TEST_PORTS(k) (20100 + 10 * (k))
#define VM_PORT port
#define UP_PORT (port + 5)

static int port;

static const char manifest[] =
    "[manifest]\nowner = test\nzone_latency_ms = 1\n"
    "[region r]\n[zone z1]\nregion = r\n[zone z2]\nregion = r\n"
    "[rank urgent]\nworth = 10\ndeadline_ms = 2000\nfloor = 0.5\n"
    "[rank bulk]\ndeadline_ms = 5000\n"
    "[service desk]\nonce_paths = /filings\n"
    "shift_cap = 0.1\nshift_interval_ms = 10000\n"
    "[target d1]\nservice = desk\nzone = z1\naddress = 127.0.0.1:%d\n"
    "slots = 4\nconnections = 32\n"
    "[block 127.0.0.0/8]\nzone = z1\n";

static const char hello[] = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
                            "Content-Length: 5\r\n\r\nhello";

static const char *
answer_hello(int n, int conn_n, const char *head)
{
    (void)n;
    (void)conn_n;
    (void)head;
    return hello;
}

static Rig
rig_one(int test)
{
    port = TEST_PORTS(test);
    return (Rig){.manifest = g_strdup_printf(manifest, UP_PORT),
                 .n_vms = 1,
                 .port = {VM_PORT},
                 .zone = {"z1"},
                 .log = getenv("RIG_LOG")};
}

/* Guards against a request path that loses or changes the answer. */
START_TEST(request_reaches_the_upstream)
{
    Rig g = rig_one(1);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello};
    pid_t up = rig_upstream(&p);

    rig_start(&g);
    GString *a = rig_ask(VM_PORT, "GET", "/v1/run/desk/index?a=b", "", "");
    ck_assert_msg(rig_status(a) == 200, "%s", a->str);
    ck_assert(rig_has(a, "Mimosa-Outcome: answered"));
    ck_assert(rig_has(a, "\r\n\r\nhello"));
    rig_stop(&g);
    rig_kill(up);
}
END_TEST

/* Answers the first request of each connection, closes at the second. */
static const char *
answer_first(int n, int conn_n, const char *head)
{
    (void)n;
    (void)head;
    return conn_n == 0 ? hello : "";
}

/* Guards against libsoup's own resend: a reused connection that closes
 * before the answer makes it send a PUT again. */
START_TEST(once_work_is_never_sent_twice)
{
    Rig g = rig_one(2);
    UpPlan p = {.port = UP_PORT, .answer = answer_first};

    rig_upstream(&p);
    rig_start(&g);
    /* Leaves a connection that the next call could reuse. */
    GString *a = rig_ask(VM_PORT, "GET", "/v1/run/desk/warm", "", "");
    ck_assert_int_eq(rig_status(a), 200);
    for (int i = 1; i <= 5; i++) {
        char *key = g_strdup_printf("k%d", i);
        a = rig_ask(VM_PORT, "PUT", "/v1/run/desk/filings",
                    rig_once_head(key, 1), "x");
        ck_assert_int_eq(rig_upstream_count(UP_PORT), 1 + i);
    }
    ck_assert_int_eq(rig_counter(VM_PORT, "entry_retries_total "), 0);
}
END_TEST

static const char *
answer_close(int n, int conn_n, const char *head)
{
    (void)n;
    (void)conn_n;
    return strstr(head, "/shed") != NULL
               ? "HTTP/1.1 503 x\r\nMimosa-Shed: 1\r\nContent-Length: "
                 "0\r\n\r\n"
           : strstr(head, "/close") != NULL ? ""
           : strstr(head, "/short") != NULL
               ? "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: "
                 "close\r\n\r\nhello"
           : strstr(head, "/error") != NULL
               ? "HTTP/1.1 500 x\r\nContent-Length: 3\r\n\r\nbad"
               : hello;
}

/* Guards against outcomes that are mixed up on the wire. */
START_TEST(three_outcomes_are_kept_apart)
{
    Rig g = rig_one(3);
    UpPlan p = {.port = UP_PORT, .answer = answer_close};
    pid_t up = rig_upstream(&p);
    GString *a;

    rig_start(&g);
    a = rig_ask(VM_PORT, "POST", "/v1/run/desk/error", "", "x");
    ck_assert_int_eq(rig_status(a), 500);
    ck_assert(rig_has(a, "Mimosa-Outcome: answered"));
    a = rig_ask(VM_PORT, "POST", "/v1/run/desk/filings/shed",
                rig_once_head("s", 1), "x");
    ck_assert_msg(rig_status(a) == 503, "%s", a->str);
    ck_assert(rig_has(a, "Mimosa-Outcome: not-run"));
    ck_assert(rig_has(a, "retry_after_ms"));
    a = rig_ask(VM_PORT, "POST", "/v1/run/desk/filings/close",
                rig_once_head("c", 1), "x");
    ck_assert_msg(rig_status(a) == 504, "%s", a->str);
    ck_assert(rig_has(a, "Mimosa-Outcome: unknown"));
    a = rig_ask(VM_PORT, "GET", "/v1/run/none/x", "", "");
    ck_assert_int_eq(rig_status(a), 404);
    ck_assert(rig_has(a, "Mimosa-Outcome: not-run"));
    /* An answer that is cut short is never passed on as a whole one. */
    a = rig_ask(VM_PORT, "POST", "/v1/run/desk/filings/short",
                rig_once_head("h", 1), "x");
    ck_assert_msg(rig_has(a, "Mimosa-Outcome: unknown"), "%s", a->str);
    ck_assert(!rig_has(a, "hello"));
    rig_kill(up);
    a = rig_ask(VM_PORT, "POST", "/v1/run/desk/filings", rig_once_head("r", 1),
                "x");
    ck_assert_msg(rig_has(a, "Mimosa-Outcome: not-run"), "%s", a->str);
}
END_TEST

/* Guards against a second run of a key, whether its first attempt has ended
 * or still runs. */
START_TEST(resend_is_replayed_or_waits)
{
    Rig g = rig_one(4);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello, .delay_ms = 400};
    GString *a;

    rig_upstream(&p);
    rig_start(&g);
    for (int i = 1; i <= 2; i++) {
        a = rig_ask(VM_PORT, "POST", "/v1/run/desk/filings",
                    rig_once_head("k", i), "x");
        ck_assert_msg(rig_status(a) == 200, "%s", a->str);
        ck_assert(rig_has(a, "text/plain"));
        ck_assert(rig_has(a, "\r\n\r\nhello"));
    }
    ck_assert_int_eq(rig_upstream_count(UP_PORT), 1);
    int fd[2];
    for (int i = 0; i < 2; i++) {
        char *req = g_strdup_printf("POST /v1/run/desk/filings HTTP/1.1\r\n"
                                    "Host: x\r\nConnection: close\r\n"
                                    "Content-Length: 1\r\n%s\r\nx",
                                    rig_once_head("w", i + 1));
        fd[i] = rig_connect(VM_PORT);
        rig_write(fd[i], req, strlen(req));
        g_usleep(100000);
    }
    for (int i = 0; i < 2; i++) {
        a = rig_read_all(fd[i], 5000);
        ck_assert_msg(rig_has(a, "\r\n\r\nhello"), "%s", a->str);
    }
    ck_assert_int_eq(rig_upstream_count(UP_PORT), 2);
}
END_TEST

/* Guards against a planned stop that cuts off a request in flight. */
START_TEST(planned_stop_finishes_what_is_in_flight)
{
    Rig g = rig_one(5);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello, .delay_ms = 4500};
    int status = -1;

    rig_upstream(&p);
    rig_start(&g);
    int fd = rig_connect(VM_PORT);
    const char *req = "GET /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n"
                      "Connection: close\r\n\r\n";
    rig_write(fd, req, strlen(req));
    g_usleep(100000);
    kill(g.pid[0], SIGTERM);
    g_usleep(500000);
    /* Callers that hold a look-up answer are still served. */
    int late = rig_connect(VM_PORT);
    ck_assert_int_ge(late, 0);
    close(late);
    GString *a = rig_read_all(fd, 10000);
    ck_assert_msg(rig_has(a, "\r\n\r\nhello"), "%s", a->str);
    waitpid(g.pid[0], &status, 0);
    ck_assert(WIFEXITED(status));
    ck_assert_int_eq(WEXITSTATUS(status), 0);
}
END_TEST

/* Stops the entry for longer than its ownership is good, with a request on its
 * way, and expects that the request is not sent. */
static void
pause_past_the_lapse(int isolated_budget)
{
    Rig g = rig_one(6);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello};

    g.own_for_ms = 800;
    g.isolated_budget = isolated_budget;
    rig_upstream(&p);
    rig_start(&g);
    GString *a = rig_ask(VM_PORT, "GET", "/v1/run/desk/x", "", "");
    ck_assert_int_eq(rig_status(a), 200);
    kill(g.pid[0], SIGSTOP);
    int fd = rig_connect(VM_PORT);
    const char *req = "GET /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n"
                      "Connection: close\r\n\r\n";
    rig_write(fd, req, strlen(req));
    g_usleep(1200000);
    kill(g.pid[0], SIGCONT);
    a = rig_read_all(fd, 8000);
    ck_assert_msg(rig_has(a, "Mimosa-Outcome: not-run"), "%s", a->str);
    ck_assert_int_eq(rig_upstream_count(UP_PORT), 1);
}

/* Guards against work sent on ownership that lapsed during a pause. */
START_TEST(pause_sends_nothing_on_lapsed_ownership)
{
    pause_past_the_lapse(0);
}
END_TEST

/* Guards against a process that wakes from a pause and takes the isolated
 * budgets of its old snapshot: another VM may own the targets by then. */
START_TEST(pause_ends_isolated_ownership)
{
    pause_past_the_lapse(2);
}
END_TEST

/* Guards against an answer that comes after the deadline and is taken for
 * that of the next request. */
START_TEST(late_answer_reaches_nobody)
{
    Rig g = rig_one(7);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello, .delay_ms = 400};

    rig_upstream(&p);
    rig_start(&g);
    int fd = rig_connect(VM_PORT);
    const char *req = "GET /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n"
                      "Mimosa-Deadline-Ms: 250\r\n\r\n";
    const char *next = "GET /v1/run/none/x HTTP/1.1\r\nHost: x\r\n"
                       "Connection: close\r\n\r\n";
    rig_write(fd, req, strlen(req));
    GString *a = rig_read_all(fd, 350);
    ck_assert_msg(rig_has(a, "HTTP/1.1 504"), "%s", a->str);
    /* The late answer comes between these two. */
    g_usleep(200000);
    rig_write(fd, next, strlen(next));
    g_string_append(a, rig_read_all(fd, 2000)->str);
    ck_assert_msg(rig_has(a, "HTTP/1.1 404"), "%s", a->str);
    ck_assert(!rig_has(a, "hello"));
}
END_TEST

/* Guards against slots that stay taken by callers that have left. */
START_TEST(caller_that_leaves_frees_its_slot)
{
    Rig g = rig_one(8);
    UpPlan p = {.port = UP_PORT, .answer = answer_hello, .delay_ms = 1500};
    const char *req = "GET /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n\r\n";

    rig_upstream(&p);
    rig_start(&g);
    for (int i = 0; i < 20; i++) {
        int fd = rig_connect(VM_PORT);
        rig_write(fd, req, strlen(req));
        g_usleep(20000);
        close(fd);
    }
    g_usleep(200000);
    ck_assert_int_eq(rig_counter(VM_PORT, "entry_cancelled_total "), 20);
    ck_assert_int_eq(rig_counter(VM_PORT, "entry_inflight "), 0);
    ck_assert_int_eq(
        rig_counter(VM_PORT, "entry_slots_busy{service=\"desk\"} "), 0);
}
END_TEST

T_MAIN("entry", request_reaches_the_upstream, once_work_is_never_sent_twice,
       three_outcomes_are_kept_apart, resend_is_replayed_or_waits,
       planned_stop_finishes_what_is_in_flight,
       pause_sends_nothing_on_lapsed_ownership, pause_ends_isolated_ownership,
       late_answer_reaches_nobody, caller_that_leaves_frees_its_slot)
