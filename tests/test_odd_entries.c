/* Tests of view: entries of another writer that this program cannot use. */
#include "t.h"

#include <string.h>
#include <unistd.h>

#include "dlog.h"
#include "hash.h"
#include "pf.h"
#include "view.h"

#define S INT64_C(1000000)
#define GOOD_UPSTREAM                                                         \
    "{\"Service\":\"desk\",\"Addr\":\"127.0.0.1:9\",\"Zone\":\"a\","          \
    "\"State\":\"ready\",\"Slots\":4,\"born\":1700000000000}"

typedef struct World {
    Evl *loop;
    Topology topology;
    UpsSet *upstreams;
    Vml *vms;
    UconnPool *pool;
    Dlog *log;
    int fds[2];
    View *view;
    int n_routes; /* calls of ViewFns.routes */
    uint64_t rev;
} World;

static void
on_routes(void *ctx, RtTable *t)
{
    (void)t;
    ((World *)ctx)->n_routes++;
}

static void
on_vms(void *ctx)
{
    (void)ctx;
}

static void
setup(World *w)
{
    memset(w, 0, sizeof(*w));
    ck_assert_int_eq(pipe(w->fds), 0);
    DlogOpts lo = {w->fds[1], 100, 1024 * 1024};
    w->loop = evl_new();
    topology_add(&w->topology, str_of("a"), str_of("r"));
    topology_add(&w->topology, str_of("b"), str_of("r"));
    w->upstreams = ups_new(&w->topology, 0);
    w->vms = vml_new(&w->topology);
    w->pool = uconns_new(w->loop);
    w->log = dlog_new(&lo);
    ViewOpts o = {.log = w->log,
                  .topology = &w->topology,
                  .upstreams = w->upstreams,
                  .pool = w->pool,
                  .vms = w->vms,
                  .fns = {on_routes, on_vms},
                  .ctx = w};
    w->view = view_new(&o);
}

static void
teardown(World *w)
{
    view_free(w->view);
    uconns_free(w->pool);
    vml_free(w->vms);
    ups_free(w->upstreams);
    dlog_free(w->log);
    evl_free(w->loop);
    close(w->fds[0]);
    close(w->fds[1]);
}

static void
apply(World *w, const char *key, const char *value, size_t n)
{
    GBytes *b = value == NULL ? NULL : g_bytes_new(value, n);

    w->rev++;
    view_apply(w->view, key, b, w->rev, (int64_t)w->rev * S);
    g_clear_pointer(&b, g_bytes_unref);
}

static void
put(World *w, const char *key, const char *value)
{
    apply(w, key, value, strlen(value));
}

static int
count_upstreams(const World *w)
{
    const GPtrArray *all =
        ups_of_service(w->upstreams, hash_str(str_of("desk"), 0));

    return all == NULL ? 0 : (int)all->len;
}

/* Guards against requests to upstreams with headers that another writer has
 * put into the id of an entry. */
START_TEST(id_with_control_characters_names_no_upstream)
{
    static const char *const keys[] = {
        "servers/u\r\nX-Other: 1", "servers/u\n", "servers/\tu", "servers/u 1",
        "servers/u\x7f",           "servers/ ",
    };
    World w;

    setup(&w);
    put(&w, "servers/good", GOOD_UPSTREAM);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        put(&w, keys[i], GOOD_UPSTREAM);
    }
    ck_assert_int_eq(count_upstreams(&w), 1);
    ck_assert_int_eq(view_unreadable(w.view), G_N_ELEMENTS(keys));
    teardown(&w);
}
END_TEST

/* Reads what was logged. */
static char *
read_log(World *w)
{
    static char buf[65536];

    dlog_flush(w->log);
    ssize_t n = read(w->fds[0], buf, sizeof(buf) - 1);
    ck_assert_int_gt(n, 0);
    buf[n] = '\0';
    return buf;
}

static int
count_text(const char *text, const char *part)
{
    int n = 0;

    for (const char *s = text; (s = strstr(s, part)) != NULL; s++) {
        n++;
    }
    return n;
}

/* Guards against lines and fields of the log that another writer has put into
 * a key or a value. */
START_TEST(entries_cannot_forge_log_lines)
{
    static const char *const keys[] = {
        "servers/u\ntime=1 level=warn part=vm id=vm-1 event=forged",
        "servers/u event=forged",
        "vm/v\r\npart=vm event=forged",
        "vm/v event=forged",
        "op/evacuate/z\npart=zone event=forged",
        "op/evacuate/a event=forged",
    };
    static const char *const values[] = {
        "{\"Service\":\"x\\npart=x event=forged\",\"Addr\":\"127.0.0.1:9\","
        "\"Zone\":\"a event=forged\",\"State\":\"ready\",\"Slots\":4}",
        "{\"Service\":\"desk event=forged\",\"Addr\":\"127.0.0.1:9\","
        "\"Zone\":\"a\",\"State\":\"ready\",\"Slots\":4}",
        "{\"Slots\":\" event=forged \" event=forged}",
    };
    World w;

    setup(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        put(&w, keys[i], GOOD_UPSTREAM);
        apply(&w, keys[i], NULL, 0);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        put(&w, "servers/u", values[i]);
    }
    put(&w, "vm/v",
        "entry=1.2.3.4:5 peer=1.2.3.4:6 zone=\"event=forged "
        "leaving=0 boot=1");
    const char *log = read_log(&w);
    ck_assert_msg(count_text(log, " event=forged") == 0, "%s", log);
    ck_assert_int_eq(count_text(log, "\n"),
                     2 * G_N_ELEMENTS(keys) + G_N_ELEMENTS(values) + 1);
    ck_assert_int_eq(count_text(log, "\r"), 0);
    ck_assert_int_eq(count_text(log, "\ntime="), count_text(log, "\n") - 1);
    teardown(&w);
}
END_TEST

#define GOOD_VM "entry=127.0.0.1:80 peer=127.0.0.1:81 zone=a leaving=0 boot=5"
#define GOOD_CONFIG                                                           \
    "{\"Version\":3,\"Services\":[{\"Name\":\"desk\",\"MaxConns\":9,"         \
    "\"Cold\":\"3s\",\"ColdPerS\":1.5}],\"Limits\":{\"MaxBodyBytes\":9},"     \
    "\"Vhosts\":[{\"Host\":\"h\",\"Paths\":[{\"PathPrefix\":\"/\","           \
    "\"Name\":\"all\",\"HomeRegions\":[\"r\"],\"Split\":[{\"Service\":"       \
    "\"desk\",\"Weight\":1}]}]}]}"

typedef struct Odd {
    const char *p;
    size_t n;
} Odd;

#define ODD(text)                                                             \
    {                                                                         \
        text, sizeof(text) - 1                                                \
    }
#define UPSTREAM(fields) ODD("{\"Service\":\"desk\"," fields "}")
#define ADDR "\"Addr\":\"127.0.0.1:9\","
#define REST "\"Zone\":\"a\",\"State\":\"ready\",\"Slots\":4"

/* Values that no reader can use. */
static const Odd odd_values[] = {
    ODD(""),
    ODD("\0"),
    ODD("\0\0\0\0"),
    ODD(" "),
    ODD("null"),
    ODD("true"),
    ODD("0"),
    ODD("\"\""),
    ODD("[]"),
    ODD("{}"),
    ODD("{"),
    ODD("}"),
    ODD("{}{}"),
    ODD("[{\"Service\":\"desk\"}]"),
    ODD("\xff\xfe\xfd"),
    ODD("\xef\xbb\xbf"),
    ODD("{\"Service\":\"\xc3\x28\"}"),
    ODD(GOOD_UPSTREAM "\0"),
    ODD(GOOD_UPSTREAM GOOD_UPSTREAM),
    ODD("[" GOOD_UPSTREAM "]"),
    ODD("entry= peer= zone= leaving= boot="),
    ODD("entry=127.0.0.1:80"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:81 zone=none leaving=0 boot=5"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:0 zone=a leaving=0 boot=5"),
    ODD("entry=127.0.0.1:65536 peer=127.0.0.1:81 zone=a leaving=0 boot=5"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:81 zone=a leaving=0 boot=-1"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:81 zone=a leaving=0 boot="
        "99999999999999999999"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:81 zone=a leaving=4294967296 "
        "boot=5"),
    ODD("entry=127.0.0.1:80 peer=127.0.0.1:81 zone=a leaving=x boot=5"),
    ODD(GOOD_VM "\0"),
    UPSTREAM(REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:0\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:65536\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:-1\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:4294967305\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:18446744073709551625\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:9 \"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1\"," REST),
    UPSTREAM("\"Addr\":\"127.0.0.1:9\\u0000x\"," REST),
    UPSTREAM("\"Addr\":\"[::1\"," REST),
    UPSTREAM("\"Addr\":\"[::1]\"," REST),
    UPSTREAM("\"Addr\":\"[]:9\"," REST),
    UPSTREAM("\"Addr\":\"desk.example:9\"," REST),
    UPSTREAM("\"Addr\":[\"127.0.0.1:9\"]," REST),
    UPSTREAM(ADDR "\"Zone\":\"none\",\"State\":\"ready\",\"Slots\":4"),
    UPSTREAM(ADDR "\"Zone\":0,\"State\":\"ready\",\"Slots\":4"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":\"READY\",\"Slots\":4"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":\"ready\\u0000\",\"Slots\":4"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":true,\"Slots\":4"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":\"ready\",\"Slots\":0"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":\"ready\",\"Slots\":1025"),
    UPSTREAM(ADDR "\"Zone\":\"a\",\"State\":\"ready\",\"Slots\":4e0"),
    ODD("{\"Service\":null," ADDR REST "}"),
    ODD("{\"Version\":9}"),
    ODD("{\"Version\":9,\"Services\":[],\"Vhosts\":{}}"),
    ODD("{\"Version\":9,\"Services\":[null],\"Vhosts\":[]}"),
    ODD("{\"Version\":9,\"Services\":[],\"Vhosts\":[{\"Host\":\"h\","
        "\"Paths\":[null]}]}"),
    ODD("{\"Version\":9,\"Services\":[],\"Vhosts\":[{\"Host\":\"h\","
        "\"Paths\":[{\"PathPrefix\":\"/\",\"Service\":\"none\"}]}]}"),
    ODD("{\"Version\":9,\"Services\":[],\"Vhosts\":[{\"Host\":\"h\","
        "\"Paths\":[{\"PathPrefix\":\"/\",\"Split\":[null]}]}]}"),
};

/* Keys of all kinds, and keys that are of none. */
static const char *const odd_keys[] = {
    "servers/odd", "vm/odd", "op/config",    "op/evacuate/none",
    "servers/",    "vm/",    "op/evacuate/", "op/",
    "op/config/x", "other",  "status/x",     "",
};

static void
put_good_entries(World *w)
{
    put(w, "servers/good", GOOD_UPSTREAM);
    put(w, "vm/good", GOOD_VM);
    put(w, "op/config", GOOD_CONFIG);
}

/* Checks that the good entries are in use and no others. */
static void
check_good_entries(const World *w, const char *after)
{
    Ups *u = ups_find(w->upstreams, str_of("good"));

    ck_assert_msg(u != NULL && ups_usable(w->upstreams, u) && u->slots == 4 &&
                      count_upstreams(w) == 1,
                  "upstreams after %s", after);
    ck_assert_msg(vml_count(w->vms) == 1 && vml_index(w->vms, "good") == 0 &&
                      vml_at(w->vms, 0)->boot_ms == 5,
                  "VMs after %s", after);
    ck_assert_msg(w->n_routes == 1 && rt_version(view_routes(w->view)) == 3,
                  "configuration after %s", after);
    ck_assert_msg(!ups_zone_drained(w->upstreams, 0) &&
                      !ups_zone_drained(w->upstreams, 1),
                  "zones after %s", after);
}

/* Guards against a VM that ends, uses an odd entry, or drops other entries
 * because of one, whatever its kind. */
START_TEST(odd_values_leave_other_entries_in_use)
{
    World w;

    setup(&w);
    put_good_entries(&w);
    check_good_entries(&w, "the good entries");
    for (size_t k = 0; k < G_N_ELEMENTS(odd_keys); k++) {
        for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
            char *what =
                g_strdup_printf("%s %s", odd_keys[k], odd_values[i].p);
            apply(&w, odd_keys[k], odd_values[i].p, odd_values[i].n);
            check_good_entries(&w, what);
            g_free(what);
        }
        apply(&w, odd_keys[k], NULL, 0);
        check_good_entries(&w, odd_keys[k]);
    }
    teardown(&w);
}
END_TEST

/* Guards against an upstream that stays in use by an entry that was replaced
 * by an odd one, and against one that never returns. */
START_TEST(odd_value_takes_its_own_upstream_out_of_use)
{
    World w;

    setup(&w);
    put_good_entries(&w);
    for (size_t i = 0; i < G_N_ELEMENTS(odd_values); i++) {
        const Odd *o = &odd_values[i];
        apply(&w, "servers/good", o->p, o->n);
        if (strstr(o->p, "\"Zone\":\"none\"") == NULL) {
            ck_assert_msg(count_upstreams(&w) == 0, "%s", o->p);
        }
        put(&w, "servers/good", GOOD_UPSTREAM);
        check_good_entries(&w, o->p);
    }
    teardown(&w);
}
END_TEST

/* Replaces, removes or repeats a few bytes of a text. */
static GByteArray *
mutate(GRand *rnd, const char *text)
{
    static const char bytes[] = "\0\n\"\\{}[],:0-9.e \xff=";
    GByteArray *b = g_byte_array_new();

    g_byte_array_append(b, (const guint8 *)text, (guint)strlen(text));
    for (int k = g_rand_int_range(rnd, 1, 5); k > 0 && b->len > 1; k--) {
        guint at = (guint)g_rand_int_range(rnd, 0, (gint32)b->len);
        guint n = (guint)g_rand_int_range(rnd, 1, 30);
        n = MIN(n, b->len - at);
        int kind = g_rand_int_range(rnd, 0, 3);
        if (kind == 0) {
            b->data[at] =
                (guint8)bytes[g_rand_int_range(rnd, 0, sizeof(bytes))];
        }
        else if (kind == 1) {
            g_byte_array_remove_range(b, at, n);
        }
        else {
            guint8 *copy = g_memdup2(b->data + at, n);
            g_byte_array_append(b, copy, n);
            g_free(copy);
        }
    }
    return b;
}

/* Guards against a VM that ends by entries that are nearly valid. */
START_TEST(mutated_values_do_not_end_the_process)
{
    static const char *const keys[] = {"servers/odd", "vm/odd", "op/config"};
    static const char *const texts[] = {GOOD_UPSTREAM, GOOD_VM, GOOD_CONFIG};
    GRand *rnd = g_rand_new_with_seed(1);
    World w;

    setup(&w);
    put_good_entries(&w);
    for (int i = 0; i < 30000; i++) {
        int kind = g_rand_int_range(rnd, 0, 3);
        GByteArray *b = mutate(rnd, texts[kind]);
        apply(&w, keys[kind], (const char *)b->data, b->len);
        g_byte_array_unref(b);
    }
    ck_assert_ptr_nonnull(ups_find(w.upstreams, str_of("good")));
    ck_assert_int_ge(vml_index(w.vms, "good"), 0);
    g_rand_free(rnd);
    teardown(&w);
}
END_TEST

#define EMPTY_CONFIG(version)                                                 \
    "{\"Version\":" version ",\"Limits\":{},\"Services\":[],\"Vhosts\":[]}"

static const char version_6[] = EMPTY_CONFIG("6");
static const char version_7[] = EMPTY_CONFIG("7");
static const char version_8[] = EMPTY_CONFIG("8");

/* Guards against a VM that goes back to a lower version, which was stored
 * later or is that of a store that came back from an older copy, and against
 * one that then misses the next version. */
START_TEST(a_lower_version_is_never_taken)
{
    World w;
    char buf[4096];

    setup(&w);
    w.rev = 4;
    put(&w, "op/config", version_7);
    w.rev--; /* listed again */
    put(&w, "op/config", version_7);
    put(&w, "op/config", version_6); /* at revision 6 */
    ck_assert_int_eq(w.n_routes, 1);
    w.rev = 0;
    put(&w, "op/config", version_6); /* at revision 1 */
    ck_assert_int_eq(w.n_routes, 1);
    ck_assert_uint_eq(rt_version(view_routes(w.view)), 7);
    put(&w, "op/config", version_7); /* at revision 2 */
    ck_assert_int_eq(w.n_routes, 1);
    ck_assert_uint_eq(view_config_rev(w.view), 2);
    put(&w, "op/config", version_8); /* at revision 3 */
    ck_assert_int_eq(w.n_routes, 2);
    ck_assert_uint_eq(rt_version(view_routes(w.view)), 8);
    dlog_flush(w.log);
    ssize_t n = read(w.fds[0], buf, sizeof(buf) - 1);
    ck_assert_int_gt(n, 0);
    buf[n] = '\0';
    ck_assert_ptr_nonnull(strstr(buf, "level=warn part=config event=ignored "
                                      "version=6 rev=6 by=- in_force=7 "
                                      "in_force_rev=5"));
    ck_assert_ptr_nonnull(strstr(buf,
                                 "level=warn part=config event=version_back "
                                 "version=6 rev=1 by=- in_force=7 "
                                 "in_force_rev=5"));
    ck_assert_int_eq(count_text(buf, "event=version_back"), 1);
    ck_assert_int_eq(count_text(buf, "event=ignored"), 1);
    ck_assert_int_eq(count_text(buf, "event=stored_again"), 1);
    teardown(&w);
}
END_TEST

/* Guards against a lower version in a later history of the store, and against
 * a revision of the former one that is compared with. */
START_TEST(version_in_force_outlasts_the_history_of_the_store)
{
    World w;

    setup(&w);
    w.rev = 9;
    put(&w, "op/config", version_7);
    view_begin_history(w.view, (int64_t)w.rev * S);
    ck_assert_uint_eq(view_config_rev(w.view), 0);
    ck_assert_uint_eq(view_config_seen(w.view), 0);
    w.rev = 19;
    put(&w, "op/config", version_6); /* at revision 20 */
    ck_assert_int_eq(w.n_routes, 1);
    ck_assert_uint_eq(rt_version(view_routes(w.view)), 7);
    ck_assert_uint_eq(view_config_rev(w.view), 0);
    ck_assert_uint_eq(view_config_seen(w.view), 20);
    put(&w, "op/config", version_7);
    ck_assert_uint_eq(view_config_rev(w.view), 21);
    put(&w, "op/config", version_8);
    ck_assert_int_eq(w.n_routes, 2);
    const char *log = read_log(&w);
    ck_assert_int_eq(count_text(log, "event=version_back version=6 rev=20"),
                     1);
    ck_assert_int_eq(count_text(log, "event=stored_again version=7 rev=21"),
                     1);
    teardown(&w);
}
END_TEST

T_MAIN("odd_entries", id_with_control_characters_names_no_upstream,
       entries_cannot_forge_log_lines, odd_values_leave_other_entries_in_use,
       odd_value_takes_its_own_upstream_out_of_use,
       mutated_values_do_not_end_the_process, a_lower_version_is_never_taken,
       version_in_force_outlasts_the_history_of_the_store)
