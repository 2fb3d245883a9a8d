/* Tests of mimosa-entry with several entry VMs, crashes, long bodies and
 * hostile callers. */
#include "t.h"

#include "rig.h"

/* Each test has ports of its own, since the processes of the test before may
 * still be ending. */
#define TEST_PORTS(k) (20300 + 10 * (k))
#define VM(i) (port + (i))
#define UP(i) (port + 5 + (i))

static int port;

static const char manifest[] =
    "[manifest]\nowner = test\nzone_latency_ms = 1\n"
    "[region r]\n[zone z1]\nregion = r\n[zone z2]\nregion = r\n"
    "[rank urgent]\nworth = 10\ndeadline_ms = 2000\nfloor = 0.5\n"
    "[rank bulk]\ndeadline_ms = 10000\n"
    "[service desk]\nonce_paths = /filings\nwarmup_ms = 0\n"
    "retry_ratio = 0.5\nshift_cap = 0.1\nshift_interval_ms = 10000\n"
    "[target d1]\nservice = desk\nzone = z1\naddress = 127.0.0.1:%d\n"
    "slots = 4\nconnections = 32\n"
    "[target d2]\nservice = desk\nzone = z1\naddress = 127.0.0.1:%d\n"
    "slots = 4\nconnections = 32\n"
    "[block 127.0.0.0/8]\nzone = z1\n";

static Rig
rig_vms_of(int test, int n)
{
    port = TEST_PORTS(test);
    return (Rig){.manifest = g_strdup_printf(manifest, UP(0), UP(1)),
                 .n_vms = n,
                 .port = {VM(0), VM(1), VM(2)},
                 .zone = {"z1", "z1", "z2"},
                 .log = getenv("RIG_LOG")};
}

/* Answers with the request's own path and body length, so that an answer
 * that reaches another caller is seen. */
static const char *
answer_echo(int n, int conn_n, const char *head)
{
    static _Thread_local char buf[512];
    char body[128];
    char method[16] = "";
    char path[64] = "";

    (void)n;
    (void)conn_n;
    if (strstr(head, "X-Crash") != NULL) {
        return "";
    }
    sscanf(head, "%15s %63s", method, path);
    const char *key = rig_find(head, "idempotency-key:");
    const char *cl = rig_find(head, "content-length:");
    g_snprintf(body, sizeof(body), "path=%s key=%.6s in=%d", path,
               key == NULL ? "" : key + 17, cl == NULL ? 0 : atoi(cl + 15));
    g_snprintf(buf, sizeof(buf),
               "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
               strlen(body), body);
    return buf;
}

/* Starts the VMs, and two upstreams that answer like this. */
static void
start_with_upstreams(Rig *g, const char *(*answer)(int, int, const char *))
{
    for (int i = 0; i < 2; i++) {
        UpPlan p = {.port = UP(i), .answer = answer};
        rig_upstream(&p);
    }
    rig_start(g);
}

/* Guards against work that only the owner may run: VM 0 owns the targets and
 * key ranges of z1, VM 1 none, and VM 2 is in another zone. */
START_TEST(forwards_to_owner_zone_and_key)
{
    Rig g = rig_vms_of(1, 3);
    GString *a;

    start_with_upstreams(&g, answer_echo);
    for (int vm = 0; vm < 3; vm++) {
        char path[32];
        char want[32];
        g_snprintf(path, sizeof(path), "/v1/run/desk/p%d", vm);
        g_snprintf(want, sizeof(want), "path=/p%d ", vm);
        a = rig_ask(VM(vm), "POST", path, "", "abc");
        ck_assert_msg(rig_has(a, want) && rig_has(a, "in=3"), "%s", a->str);
        ck_assert(rig_has(a, "Mimosa-Outcome: answered"));
    }
    /* Three attempts of one key at three VMs: one run, one answer. */
    for (int vm = 2; vm >= 0; vm--) {
        a = rig_ask(VM(vm), "POST", "/v1/run/desk/filings",
                    rig_once_head("key1", 3 - vm), "f");
        ck_assert_msg(rig_has(a, "key=key1"), "vm %d: %s", vm, a->str);
    }
    ck_assert_int_eq(rig_upstream_count(UP(0)) + rig_upstream_count(UP(1)), 4);
    /* A caller cannot pose as an entry VM. */
    a = rig_ask(VM(0), "GET", "/v1/run/desk/x", "Mimosa-Hop: 1\r\n", "");
    ck_assert_int_eq(rig_status(a), 403);
    a = rig_ask(VM(0), "POST", "/v1/fleet/suspects", "", "0 2 0\n");
    ck_assert_int_eq(rig_status(a), 403);
}
END_TEST

/* Guards against a request that crashes one upstream after the other. */
START_TEST(crashing_request_is_convicted)
{
    Rig g = rig_vms_of(2, 2);
    GString *a;

    start_with_upstreams(&g, answer_echo);
    for (int i = 0; i < 20; i++) {
        a = rig_ask(VM(0), "GET", "/v1/run/desk/ok", "", "");
        ck_assert_int_eq(rig_status(a), 200);
    }
    for (int i = 0; i < 4; i++) {
        a = rig_ask(VM(i % 2), "GET", "/v1/run/desk/bad", "X-Crash: 1\r\n",
                    "");
        ck_assert_int_ne(rig_status(a), 200);
    }
    ck_assert_msg(rig_has(a, "crashes-upstream"), "%s", a->str);
    ck_assert(rig_has(a, "Mimosa-Outcome: not-run"));
    /* At most two upstreams are lost for it. */
    ck_assert_int_eq(rig_upstream_count(UP(0)) + rig_upstream_count(UP(1)),
                     22);
    ck_assert_int_eq(rig_counter(VM(0), "entry_convicted_total "), 1);
}
END_TEST

#define LONG_BYTES (6 * 1024 * 1024)

static const char *
answer_long(int n, int conn_n, const char *head)
{
    static char *text;

    (void)n;
    (void)conn_n;
    if (strstr(head, "/cut") != NULL) {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
               "\r\n5\r\nhello\r\n";
    }
    if (text == NULL) {
        char *t = g_malloc(LONG_BYTES + 256);
        int k =
            g_snprintf(t, 256, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
                       LONG_BYTES);
        for (int i = 0; i < LONG_BYTES; i++) {
            t[k + i] = (char)('a' + i % 26);
        }
        t[k + LONG_BYTES] = '\0';
        text = t;
    }
    return text;
}

/* Guards against bodies that are cut, reordered or held in memory whole, and
 * against a cut answer that looks whole. */
START_TEST(long_bodies_stream_whole)
{
    Rig g = rig_vms_of(3, 1);

    start_with_upstreams(&g, answer_long);
    char *body = g_strnfill(LONG_BYTES, 'b');
    for (int i = 0; i < 3; i++) {
        GString *a = rig_ask(VM(0), "POST", "/v1/run/desk/x", "", body);
        const char *at = strstr(a->str, "\r\n\r\n") + 4;
        ck_assert_int_eq(rig_status(a), 200);
        ck_assert_int_eq(a->len - (size_t)(at - a->str), LONG_BYTES);
        int k = 0;
        while (k < LONG_BYTES && at[k] == 'a' + k % 26) {
            k++;
        }
        ck_assert_int_eq(k, LONG_BYTES);
    }
    ck_assert_int_eq(rig_counter(VM(0), "entry_body_held_bytes "), 0);
    GString *a = rig_ask(VM(0), "GET", "/v1/run/desk/cut", "", "");
    ck_assert_msg(!rig_has(a, "\r\n0\r\n"), "%s", a->str);
}
END_TEST

static int64_t
resident_kb(pid_t pid)
{
    char path[64];
    char *text = NULL;
    int64_t kb = -1;

    g_snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        kb = g_ascii_strtoll(strstr(text, "VmRSS:") + 6, NULL, 10);
        g_free(text);
    }
    return kb;
}

#define SLOW_CALLERS 800
#define URGENT_CALLERS 300
#ifdef __SANITIZE_ADDRESS__
/* The sanitizer keeps freed memory for a while. */
#define RESIDENT_GROWTH_KB_MAX (512 * 1024)
#else
#define RESIDENT_GROWTH_KB_MAX (64 * 1024)
#endif

/* Guards against callers that hold many connections with heads that never
 * end, or send bodies and heads without bound. */
START_TEST(hostile_callers_are_bounded)
{
    Rig g = rig_vms_of(4, 1);
    int fd[SLOW_CALLERS];
    const char *slow = "GET /v1/run/desk/x HTTP/1.1\r\nHost: x\r\nX-Slow: ";
    const char *huge = "POST /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n"
                       "Content-Length: 99999999999\r\n\r\n";

    start_with_upstreams(&g, answer_echo);
    GString *a = rig_ask(VM(0), "GET", "/v1/run/desk/x", "", "");
    int64_t before = resident_kb(g.pid[0]);
    for (int i = 0; i < SLOW_CALLERS; i++) {
        fd[i] = rig_connect(VM(0));
        ck_assert_int_ge(fd[i], 0);
        rig_write(fd[i], slow, strlen(slow));
    }
    /* A body far over the bound is refused by its head. */
    int h = rig_connect(VM(0));
    rig_write(h, huge, strlen(huge));
    a = rig_read_all(h, 3000);
    ck_assert_msg(rig_status(a) == 413, "%s", a->str);
    close(h);
    /* A chunked body without end is cut at the bound. */
    char *chunk = g_strnfill(65536, 'c');
    h = rig_connect(VM(0));
    const char *head = "POST /v1/run/desk/x HTTP/1.1\r\nHost: x\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n";
    rig_write(h, head, strlen(head));
    int sent = 0;
    while (sent < 4096 && rig_write(h, "10000\r\n", 7) &&
           rig_write(h, chunk, 65536) && rig_write(h, "\r\n", 2)) {
        sent++;
    }
    close(h);
    ck_assert_int_lt(sent, 4096);
    char *big = g_strdup_printf("X-Big: %.*s\r\n", 20000, chunk);
    a = rig_ask(VM(0), "GET", "/v1/run/desk/x", big, "");
    ck_assert_msg(rig_status(a) == 413, "%d %s", rig_status(a), a->str);
    /* Others are served meanwhile, within bounded memory. */
    int in_time = 0;
    for (int i = 0; i < URGENT_CALLERS; i++) {
        rig_write(fd[i], "x", 1);
        a = rig_ask(VM(0), "GET", "/v1/run/desk/x", "Mimosa-Rank: urgent\r\n",
                    "");
        in_time += rig_status(a) == 200;
        g_string_free(a, TRUE);
    }
    /* A late request is told 503 or 504, so 200 means in time. */
    ck_assert_int_ge(in_time * 100, 99 * URGENT_CALLERS);
    int64_t grown = resident_kb(g.pid[0]) - before;
    ck_assert_msg(grown < RESIDENT_GROWTH_KB_MAX, "grew %d KB", (int)grown);
    g_usleep(11000000);
    /* Heads that did not end in time are cut. */
    ck_assert_int_ge(rig_counter(VM(0), "entry_connections_expired "),
                     SLOW_CALLERS);
    ck_assert_int_le(rig_counter(VM(0), "entry_connections "), 2);
    ck_assert_int_eq(rig_counter(VM(0), "entry_inflight "), 0);
}
END_TEST

T_MAIN("entry_fleet", forwards_to_owner_zone_and_key,
       crashing_request_is_convicted, long_bodies_stream_whole,
       hostile_callers_are_bounded)
