/* Tests of mirror: what a VM takes for known is known, whatever the store, the
 * gossip and the VM's own process do meanwhile. */
#include "copies_world.h"

#define SEEDS 3
#define RUN_MS 1500
#define TROUBLED 2       /* the other VMs have no trouble of their own */
#define CHANGE_MS 12     /* mean time between changes */
#define BURST 0.02       /* share of changes that are a burst */
#define BURST_CHANGES 25 /* large values of one key, one after the other */
#define LARGE_BYTES 6000
#define TROUBLE_MS 120 /* mean time between troubles of a VM */
#define LASTS_MS 350   /* longest trouble */
#define STALL_MS 1300  /* a pause that the loop reports as a stall */
#define FORGET 0.02    /* chance of a change after which the history is gone */
#define LAG_REVS 30    /* a copy of the store lags by less */
#define WATCH_EVENTS 400
#define MANY 0.004 /* share of changes that exceed an answer */
#define MANY_CHANGES 700
#define OPERATOR_KEYS 3
#define OTHER_KEYS 8

typedef enum Trouble {
    CALM,
    REFUSED,    /* each call gets a 429 */
    SILENT,     /* calls are not answered */
    CUT,        /* connections end */
    SLOW,       /* answers arrive late */
    CUT_WAITS,  /* watches that wait are answered before their time */
    PAUSED,     /* the VM gets no processor time */
    PAUSED_CUT, /* the same, and its watch is answered before its time */
    TROUBLES
} Trouble;

static const char *const trouble_names[] = {"calm",   "refused", "silent",
                                            "cut",    "slow",    "cut_waits",
                                            "paused", "stopped"};

typedef struct Player {
    Trouble trouble;
    int64_t until_us;
    int64_t calm_since_us; /* no trouble, and no failed call, since */
    Trouble last;          /* last trouble */
    guint next[2];         /* the first change that is not known, of the
                              operator's keys and of the others */
} Player;

typedef struct Confirmed {
    Copies w;
    Player players[VMS];
    int64_t end_us;
    int64_t late_us; /* longest pass of the loops of all VMs */
    int n_confirmed;
    char wrong[256];
    /* Longest time until a change is known, of the operator's keys and of the
     * others: for VMs without trouble, and after the end of a trouble. */
    int64_t calm_us[2];
    int64_t after_us[2][TROUBLES];
} Confirmed;

/* Returns true if what the VM holds of a key is the state of the store at some
 * time after its first n changes. */
static bool
knows(const CopyVm *vm, const char *key, guint n)
{
    const Record *r = g_hash_table_lookup(vm->records, key);
    const Change *c = last_change(vm->w, key, n);

    if (r != NULL && !r->removed) {
        return c == NULL || r->put_rev >= c->rev;
    }
    if (c == NULL || c->value == NULL) {
        return true;
    }
    for (guint i = n; i < vm->w->changes->len; i++) {
        const Change *later = &g_array_index(vm->w->changes, Change, i);
        if (later->value == NULL && strcmp(later->key, key) == 0) {
            return true;
        }
    }
    return false;
}

static void
on_confirmed(CopyVm *vm, int64_t at_us)
{
    Confirmed *t = vm->w->o.ctx;
    Player *p = &t->players[vm - vm->w->vms];
    guint n = 0;

    t->n_confirmed++;
    if (p->calm_since_us == 0 && at_us > 0) {
        p->calm_since_us = evl_boottime();
    }
    while (n < vm->w->changes->len &&
           g_array_index(vm->w->changes, Change, n).at_us <
               at_us - t->late_us) {
        n++;
    }
    GList *keys = keys_with(vm->w, "");
    for (GList *l = keys; l != NULL && t->wrong[0] == '\0'; l = l->next) {
        const Change *c = last_change(vm->w, l->data, n);
        if (!knows(vm, l->data, n)) {
            const Record *r = g_hash_table_lookup(vm->records, c->key);
            int vm_index = (int)(vm - vm->w->vms);
            snprintf(t->wrong, sizeof(t->wrong),
                     "VM %d (last trouble %s) confirms the time %" PRId64
                     " us after %s of revision %" PRIu64
                     " and holds revision %" PRIu64 " of %" PRIu64,
                     vm_index, trouble_names[t->players[vm_index].last],
                     at_us - c->at_us, c->key, c->rev,
                     r == NULL || r->removed ? 0 : r->put_rev,
                     store_rev(vm->w));
        }
    }
    g_list_free(keys);
}

/* Ends the waits of a VM's watches, with or without an event. */
static void
end_waits(const CopyVm *vm)
{
    GPtrArray *waiting = vm->w->waiting;

    for (guint i = waiting->len; i > 0; i--) {
        Waiting *x = g_ptr_array_index(waiting, i - 1);
        if (x->vm == vm) {
            end_watch(x, 0);
        }
    }
}

static bool
on_fault(CopyVm *vm, StubConn *conn)
{
    Confirmed *t = vm->w->o.ctx;

    switch (t->players[vm - vm->w->vms].trouble) {
    case REFUSED:
        stub_respond(conn, 429, "{}");
        return true;
    case SILENT:
        return true;
    case CUT:
        strm_close(&conn->strm);
        return true;
    default:
        return false;
    }
}

static void
change_key(Confirmed *t)
{
    GRand *rnd = t->w.rnd;
    char key[32];
    char value[32];

    if (g_rand_double(rnd) < 0.3) {
        snprintf(key, sizeof(key), "op/x%d",
                 g_rand_int_range(rnd, 0, OPERATOR_KEYS));
    }
    else {
        snprintf(key, sizeof(key), "other/k%d",
                 g_rand_int_range(rnd, 0, OTHER_KEYS));
    }
    snprintf(value, sizeof(value), "%" PRIu64, store_rev(&t->w));
    store_change(&t->w, key, g_rand_double(rnd) < 0.25 ? NULL : value);
}

static void
change_store(Confirmed *t)
{
    if (g_rand_double(t->w.rnd) < MANY) {
        for (int i = 0; i < MANY_CHANGES; i++) {
            change_key(t);
        }
    }
    else if (g_rand_double(t->w.rnd) < BURST) {
        char *large = g_strnfill(LARGE_BYTES, 'x');
        for (int i = 0; i < BURST_CHANGES; i++) {
            store_change(&t->w, "op/x0", large);
        }
        g_free(large);
    }
    else {
        change_key(t);
    }
    if (g_rand_double(t->w.rnd) < FORGET) {
        t->w.forgotten = store_rev(&t->w);
    }
}

static void
begin_trouble(Confirmed *t, int i, int64_t now_us)
{
    Player *p = &t->players[i];
    CopyVm *vm = &t->w.vms[i];
    Trouble x = (Trouble)g_rand_int_range(t->w.rnd, CALM + 1, TROUBLES);
    int64_t ms = g_rand_int_range(t->w.rnd, 1, LASTS_MS);

    if ((x == PAUSED || x == PAUSED_CUT) && g_rand_double(t->w.rnd) < 0.1) {
        ms = STALL_MS;
    }
    p->trouble = x;
    p->last = x;
    p->until_us = now_us + ms * 1000;
    vm->answer_delay_us = x == SLOW ? ms * 1000 / 4 : 0;
    if (x == CUT_WAITS || x == PAUSED_CUT) {
        end_waits(vm);
    }
    if (x == CUT) {
        stub_disconnect(&vm->stub);
    }
}

static void
step_player(Confirmed *t, int i, int64_t now_us)
{
    Player *p = &t->players[i];

    if (p->trouble == CALM) {
        if (g_rand_int_range(t->w.rnd, 0, TROUBLE_MS) == 0 && i < TROUBLED) {
            begin_trouble(t, i, now_us);
        }
    }
    else if (now_us >= p->until_us) {
        p->trouble = CALM;
        p->calm_since_us = p->calm_since_us == 0 ? 0 : now_us;
        t->w.vms[i].answer_delay_us = 0;
    }
    else if (p->trouble == CUT_WAITS) {
        end_waits(&t->w.vms[i]);
    }
}

/* Records how late the changes are that a VM knows now. */
static void
measure(Confirmed *t, int i, int others, int64_t now_us)
{
    Player *p = &t->players[i];

    for (; p->next[others] < t->w.changes->len; p->next[others]++) {
        const Change *c =
            &g_array_index(t->w.changes, Change, p->next[others]);
        if (g_str_has_prefix(c->key, pf_operator_prefix) == (others == 1)) {
            continue;
        }
        if (!knows(&t->w.vms[i], c->key, p->next[others] + 1)) {
            return;
        }
        if (p->trouble != CALM || p->calm_since_us == 0) {
            continue;
        }
        int64_t late_us = now_us - MAX(c->at_us, p->calm_since_us);
        int64_t *worst_us =
            i < TROUBLED ? &t->after_us[others][p->last] : &t->calm_us[others];
        *worst_us = MAX(*worst_us, late_us);
    }
}

static void
play(Confirmed *t, uint32_t seed, int64_t run_us)
{
    Copies *w = &t->w;

    copies_init(w, seed);
    w->o.own_loops = true;
    w->o.watch_items = WATCH_EVENTS;
    w->o.whole_gossip = true;
    w->o.stale_revs = LAG_REVS;
    w->o.fault = on_fault;
    w->o.confirmed = on_confirmed;
    w->o.ctx = t;
    for (int i = 0; i < OTHER_KEYS; i++) {
        change_key(t);
    }
    copies_start(w);
    t->end_us = evl_boottime() + run_us;
    int64_t last_us = evl_boottime();
    while (evl_boottime() < t->end_us && t->wrong[0] == '\0') {
        evl_run_once(w->loop, 1);
        int64_t now_us = evl_boottime();
        t->late_us = MAX(t->late_us, now_us - last_us);
        last_us = now_us;
        if (g_rand_int_range(w->rnd, 0, CHANGE_MS) == 0) {
            change_store(t);
        }
        for (int i = 0; i < VMS; i++) {
            step_player(t, i, now_us);
            if (t->players[i].trouble != PAUSED &&
                t->players[i].trouble != PAUSED_CUT) {
                evl_run_once(w->vms[i].loop, 0);
            }
            measure(t, i, 0, now_us);
            measure(t, i, 1, now_us);
        }
    }
    copies_free(w);
}

static uint32_t
number_of(const char *name, uint32_t otherwise)
{
    const char *text = g_getenv(name);

    return text == NULL ? otherwise
                        : (uint32_t)g_ascii_strtoull(text, NULL, 10);
}

/* Prints the worst delays as those of the operator's keys / of the others. */
static void
print_delays(const Confirmed *t, uint32_t seed)
{
    printf("seed=%u confirmed=%d pass_ms=%" PRId64 " calm_ms=%" PRId64
           "/%" PRId64,
           seed, t->n_confirmed, t->late_us / 1000, t->calm_us[0] / 1000,
           t->calm_us[1] / 1000);
    for (int i = CALM + 1; i < TROUBLES; i++) {
        printf(" %s_ms=%" PRId64 "/%" PRId64, trouble_names[i],
               t->after_us[0][i] / 1000, t->after_us[1][i] / 1000);
    }
    printf(" %s\n", t->wrong);
    fflush(stdout);
}

/* Guards against requests that a VM handles by an old copy of the store
 * because it takes the copy for newer than it is.  SEED, SEEDS and RUN_MS in
 * the environment play others. */
START_TEST(confirmed_time_has_all_changes_before_it)
{
    uint32_t from = number_of("SEED", 1);
    uint32_t n = number_of("SEEDS", SEEDS);
    uint32_t run_ms = number_of("RUN_MS", RUN_MS);
    char wrong[512] = "";

    for (uint32_t seed = from; seed < from + n; seed++) {
        Confirmed t = {0};
        play(&t, seed, run_ms * INT64_C(1000));
        print_delays(&t, seed);
        ck_assert_int_gt(t.n_confirmed, 0);
        if (t.wrong[0] != '\0' && wrong[0] == '\0') {
            snprintf(wrong, sizeof(wrong), "seed %u: %s", seed, t.wrong);
        }
    }
    ck_assert_msg(wrong[0] == '\0', "%s", wrong);
}
END_TEST

T_MAIN("mirror_confirmed", confirmed_time_has_all_changes_before_it)
