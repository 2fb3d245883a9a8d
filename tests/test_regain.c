/* Tests of mirror after the path to the store was cut: how soon the copy is
 * current again. */
#include "t.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http_stub.h"
#include "mirror.h"
#include "pf.h"

#define MS 1000LL
#define S (1000 * MS)
#define MIRRORS 32
#define CONNS_MAX 1024
#define FILLERS 4
#define PROPAGATION_US (4 * S)
/* Time of the cut, of its end and of the end of the test. */
#define CUT_US (1 * S)
#define RESTORE_US (5 * S)
#define END_US (8 * S)
/* A quarter of the propagation time for the first call, half of it until the
 * changes are known. */
#define CALL_WITHIN_US (1 * S)
#define KNOWN_WITHIN_US (2 * S)

/* A mirror and what it has learned. */
typedef struct Vm {
    struct Net *net;
    Mirror *mirror;
    GRand *rnd;
    int64_t known_us;  /* when it removed the upstream that left; 0: not yet */
    int64_t behind_us; /* when it reported that its copy lacks changes */
    int64_t
        current_us; /* when it reported after it that the copy is current */
} Vm;

typedef struct Net {
    Evl *loop;
    Stub stub;
    int fillers[FILLERS];
    Vm vms[MIRRORS];
    EvlTimer cut;
    EvlTimer restore;
    EvlTimer end;
    int64_t restored_us; /* 0: not yet */
    int n_calls;         /* watches since the end of the cut */
    int64_t last_first_call_us;
    int n_forgot; /* watches that were answered 410 */
} Net;

#define ITEM(key) "{\"Key\":\"" key "\",\"Value\":\"eA==\",\"Rev\":5}"
#define LIST(items, rev)                                                      \
    "{\"items\":[" items "],\"HasMore\":false,\"CurrentRev\":" rev "}"

/* Answers lists and watches.  The upstream "left" is there before the cut
 * only, and the history is gone after it. */
static void
on_request(void *ctx, StubConn *c)
{
    Net *net = ctx;
    char call[128];
    const char *body = "{\"events\":[],\"CurrentRev\":5}";
    int status = 200;

    snprintf(call, sizeof(call), "%.*s", (int)c->req.target.n,
             c->req.target.p);
    bool watch = strstr(call, "/api/kv-watch") != NULL;
    if (!watch && strstr(call, "/api/kv-range") == NULL) {
        return;
    }
    if (!watch) {
        body = net->restored_us == 0 ? LIST(ITEM("servers/left"), "5")
                                     : LIST("", "9");
        if (strstr(call, "PathPrefix=op") != NULL) {
            body = LIST("", "9");
        }
    }
    else if (net->restored_us != 0 && strstr(call, "after=5&") != NULL) {
        status = 410;
        body = "{}";
        net->n_forgot++;
        net->last_first_call_us = evl_now(net->loop);
    }
    else if (net->restored_us != 0) {
        body = "{\"events\":[],\"CurrentRev\":9}";
    }
    stub_respond(c, status, body);
}

/* Ends all connections.  The full backlog then drops the packets that open a
 * connection, as a cut link does. */
static void
on_cut(void *ctx, int64_t now_us)
{
    Net *net = ctx;
    (void)now_us;

    evl_del(net->loop, &net->stub.listener);
    listen(net->stub.listener.fd, 0);
    for (int i = 0; i < FILLERS; i++) {
        net->fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(net->fillers[i], (struct sockaddr *)&net->stub.at,
                sizeof(net->stub.at));
    }
    stub_disconnect(&net->stub);
}

static void
on_restore(void *ctx, int64_t now_us)
{
    Net *net = ctx;

    for (int i = 0; i < FILLERS; i++) {
        close(net->fillers[i]);
    }
    net->restored_us = now_us;
    listen(net->stub.listener.fd, 128);
    evl_add(net->loop, &net->stub.listener, EPOLLIN);
}

static void
on_end(void *ctx, int64_t now_us)
{
    (void)now_us;
    evl_stop(((Net *)ctx)->loop);
}

static void
on_item(void *ctx, const char *key, GBytes *value, uint64_t rev,
        int64_t now_us)
{
    Vm *vm = ctx;
    (void)rev;

    if (value == NULL && strcmp(key, "servers/left") == 0) {
        vm->known_us = now_us;
    }
}

static void
on_behind(void *ctx, int64_t now_us)
{
    ((Vm *)ctx)->behind_us = now_us;
}

static void
on_current(void *ctx, int64_t now_us)
{
    Vm *vm = ctx;

    if (vm->behind_us != 0 && vm->current_us == 0) {
        vm->current_us = now_us;
    }
}

static void
ignore_time(void *ctx, int64_t now_us)
{
    (void)ctx;
    (void)now_us;
}

static void
ignore_gossip(void *ctx, const GossipOut *o)
{
    (void)ctx;
    (void)o;
}

static void
start_vm(Net *net, Vm *vm, unsigned seed, Dlog *log)
{
    MirrorOpts o = {
        .loop = net->loop,
        .log = log,
        .codec = &pf_kv,
        .store = net->stub.at,
        .prefixes = pf_prefixes,
        .urgent = pf_operator_prefix,
        .rnd = g_rand_new_with_seed(seed),
        .propagation_us = PROPAGATION_US,
        .fns = {.changed = on_item,
                .ready = ignore_time,
                .current = on_current,
                .behind = on_behind,
                .failed = ignore_time,
                .announce = ignore_gossip},
        .ctx = vm,
    };

    vm->net = net;
    vm->rnd = o.rnd;
    vm->mirror = mirror_new(&o);
}

static void
arm(Net *net, EvlTimer *t, EvlTimerFn fn, int64_t at_us)
{
    *t = (EvlTimer){.fn = fn, .ctx = net};
    evl_arm(net->loop, t, evl_now(net->loop) + at_us);
}

/* Runs the mirrors through a cut of the path to the store. */
static void
run(Net *net)
{
    DlogOpts lo = {STDERR_FILENO, 100, 65536};
    Dlog *log = dlog_new(&lo);

    memset(net, 0, sizeof(*net));
    net->loop = evl_new();
    stub_open(&net->stub, net->loop, on_request, net);
    for (int i = 0; i < MIRRORS; i++) {
        start_vm(net, &net->vms[i], (unsigned)i + 1, log);
    }
    arm(net, &net->cut, on_cut, CUT_US);
    arm(net, &net->restore, on_restore, RESTORE_US);
    arm(net, &net->end, on_end, END_US);
    evl_run(net->loop);
    for (int i = 0; i < MIRRORS; i++) {
        mirror_free(net->vms[i].mirror);
        g_rand_free(net->vms[i].rnd);
    }
    ck_assert_uint_le(net->stub.conns->len, CONNS_MAX);
    stub_close(&net->stub);
    dlog_free(log);
    evl_free(net->loop);
}

/* Guards against a VM that keeps sending requests to an upstream that left
 * while the VM was cut off, because its next call to the store comes late. */
START_TEST(the_store_is_called_soon_after_a_cut)
{
    static Net net;

    run(&net);
    ck_assert_int_eq(net.n_forgot, MIRRORS);
    ck_assert_int_le(net.last_first_call_us - net.restored_us, CALL_WITHIN_US);
    for (int i = 0; i < MIRRORS; i++) {
        ck_assert_int_gt(net.vms[i].known_us, net.restored_us);
        ck_assert_int_le(net.vms[i].known_us - net.restored_us,
                         KNOWN_WITHIN_US);
    }
}
END_TEST

/* Guards against a VM that knows that it has missed changes and uses its old
 * copy until it has them. */
START_TEST(missed_changes_are_reported_until_they_are_known)
{
    static Net net;

    run(&net);
    for (int i = 0; i < MIRRORS; i++) {
        const Vm *vm = &net.vms[i];
        ck_assert_int_gt(vm->behind_us, net.restored_us);
        ck_assert_int_le(vm->behind_us, vm->known_us);
        ck_assert_int_ge(vm->current_us, vm->known_us);
    }
}
END_TEST

T_MAIN("regain", the_store_is_called_soon_after_a_cut,
       missed_changes_are_reported_until_they_are_known)
