/* Tests of mirror and view: the copies of several VMs agree with the store. */
#include "copies_world.h"

#define SEEDS 6
#define STEPS 250
#define STEP_US 5000
#define CHECK_US 50000
#define AGREE_US 10000000 /* until all copies must agree with the store */
#define FORGET 0.02       /* chance of a step that drops the history */

typedef struct Play {
    Copies w;
    EvlTimer timer;
    int steps;
    int64_t end_us;
    char wrong[256]; /* the first difference found; empty: none */
} Play;

static void
report(Copies *w, int target, const char *state)
{
    char *key = g_strdup_printf("servers/t%d", target);
    char *value = g_strdup_printf(
        "{\"Service\":\"desk\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"%s\","
        "\"State\":\"%s\",\"Slots\":4,\"ColdLeft\":\"%dms\",\"born\":%" PRIu64
        "}",
        9000 + target, target % 2 == 0 ? "a" : "b", state,
        g_rand_int_range(w->rnd, 0, 500), w->boot_ms[target]);

    store_change(w, key, value);
    g_free(key);
    g_free(value);
}

/* Some VMs get an answer in which the target says that it leaves. */
static void
say_leaving(Copies *w, int target, int64_t now_us)
{
    char *id = g_strdup_printf("t%d", target);

    for (int i = 0; i < VMS; i++) {
        Ups *u = ups_find(w->vms[i].upstreams, str_of(id));
        if (u != NULL && u->boot_ms == w->boot_ms[target] &&
            g_rand_boolean(w->rnd)) {
            ups_observe_leaving(w->vms[i].upstreams, u, now_us);
        }
    }
    g_free(id);
}

static void
leave(Copies *w, int target, int64_t now_us)
{
    say_leaving(w, target, now_us);
    report(w, target, "draining");
}

static void
change_something(Copies *w, int64_t now_us)
{
    int target = g_rand_int_range(w->rnd, 0, TARGETS);
    char key[32];

    snprintf(key, sizeof(key), "servers/t%d", target);
    switch (g_rand_int_range(w->rnd, 0, 6)) {
    case 0:
        w->boot_ms[target] = 1700000000000 + store_rev(w);
        report(w, target, "ready");
        break;
    case 1:
        report(w, target, "ready");
        break;
    case 2:
    case 3:
        leave(w, target, now_us);
        break;
    case 4:
        store_change(w, key, NULL);
        break;
    default:
        store_change(w, "op/evacuate/a", g_rand_boolean(w->rnd) ? "{}" : NULL);
        break;
    }
}

/* Compares what a VM holds of a key with the store. */
static bool
key_agrees(const CopyVm *vm, const Change *c)
{
    const Record *r = g_hash_table_lookup(vm->records, c->key);
    bool held = r != NULL && !r->removed;

    if (held != (c->value != NULL) || (held && r->put_rev != c->rev)) {
        return false;
    }
    if (strcmp(c->key, "op/evacuate/a") == 0) {
        return ups_zone_drained(vm->upstreams, 0) == held;
    }
    const Ups *u =
        ups_find(vm->upstreams, str_of(c->key + strlen("servers/")));
    bool draining = held && strstr(c->value, "draining") != NULL;
    return (u != NULL) == held && (!draining || u->state == UPS_DRAINING);
}

/* Sets p->wrong to the first difference between a VM and the store. */
static void
compare(Play *p)
{
    GList *keys = keys_with(&p->w, "");

    p->wrong[0] = '\0';
    for (GList *l = keys; l != NULL; l = l->next) {
        const Change *c = last_change(&p->w, l->data, store_rev(&p->w));
        for (int i = 0; i < VMS; i++) {
            if (p->wrong[0] == '\0' && !key_agrees(&p->w.vms[i], c)) {
                snprintf(p->wrong, sizeof(p->wrong),
                         "VM %d does not hold %s of revision %" PRIu64 ": %s",
                         i, c->key, c->rev,
                         c->value == NULL ? "removed" : c->value);
            }
        }
    }
    g_list_free(keys);
}

static void
on_step(void *ctx, int64_t now_us)
{
    Play *p = ctx;

    if (p->steps > 0) {
        p->steps--;
        if (p->steps < TARGETS / 2) {
            /* No later change of these targets repairs a missed report. */
            leave(&p->w, p->steps, now_us);
        }
        else {
            change_something(&p->w, now_us);
        }
        if (g_rand_double(p->w.rnd) < FORGET) {
            p->w.forgotten = store_rev(&p->w);
        }
        p->end_us = now_us + AGREE_US;
        evl_arm(p->w.loop, &p->timer,
                now_us + (p->steps > 0 ? STEP_US : CHECK_US));
        return;
    }
    compare(p);
    if (p->wrong[0] == '\0' || now_us >= p->end_us) {
        evl_stop(p->w.loop);
        return;
    }
    evl_arm(p->w.loop, &p->timer, now_us + CHECK_US);
}

/* Guards against a VM that keeps using an upstream that left (review/1): a VM
 * that forwards changes must not leave out those that it knew already from the
 * upstream itself, from a list or from a copy of the store. */
START_TEST(copies_agree_with_the_store_in_any_order)
{
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        Play p = {.steps = STEPS};

        copies_init(&p.w, seed);
        copies_start(&p.w);
        for (int i = 0; i < TARGETS; i++) {
            p.w.boot_ms[i] = 1700000000000;
            report(&p.w, i, "ready");
        }
        p.timer = (EvlTimer){.fn = on_step, .ctx = &p};
        evl_arm(p.w.loop, &p.timer, evl_now(p.w.loop) + PROPAGATION_US);
        evl_run(p.w.loop);
        ck_assert_msg(p.wrong[0] == '\0', "seed %u: %s", seed, p.wrong);
        for (int i = 0; i < VMS; i++) {
            ck_assert_msg(p.w.vms[i].n_regressed == 0,
                          "seed %u: VM %d returned to earlier values %d times",
                          seed, i, p.w.vms[i].n_regressed);
        }
        copies_free(&p.w);
    }
}
END_TEST

T_MAIN("mirror_copies", copies_agree_with_the_store_in_any_order)
