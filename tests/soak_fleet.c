/*
 * soak_fleet - randomised runs of configuration and shifts over three zones:
 * the real cfg, memb, storeq, place and shift modules behind fake links and a
 * fake store, with operators that race.  An observer that knows what the store
 * accepted checks config_revert, config_lost, config_phantom, config_late,
 * shift_cap and store_budget.
 */
#include <math.h>

#include "cfg.h"
#include "memb.h"
#include "placement.h"
#include "shift.h"
#include "soak.h"
#include "storelimit.h"

#define ZONES 3
#define VMS 6 /* VM v is in zone v / 2 */
#define STORE VMS
#define OPERATORS 2
#define ENDS (VMS + 1 + OPERATORS)
#define VERSIONS 65536
#define SAMPLE_US (100 * MS)
#define SAMPLES 101 /* a cap's interval of 10 s */
#define LATE_US (11 * SEC)

static const char *const faults[] = {
    "cfg_adopt_older", "cfg_adopt_proposal",   "cfg_write_without_cas",
    "cfg_lost_is_not", "shift_over_cap",       "shift_at_once",
    "shift_catch_up",  "store_budget_ignored", NULL};

enum {
    EV_TICK,
    EV_SAMPLE,
    EV_BEAT,   /* a: incarnation, b: config version, c: index of rows */
    EV_ASK,    /* asks a peer for its configuration */
    EV_CONFIG, /* a: index of an envelope */
    EV_READ,
    EV_READ_ANS, /* a: version, c: index of its envelope */
    EV_OP,       /* an operator starts or goes on */
    EV_OP_READ_ANS,
    EV_CAS, /* a: base version, c: index of an envelope */
    EV_CAS_ANS,
    EV_OP_TIMEOUT, /* a: number of the operator's call */
    EV_CHAOS,
    EV_BOOT,
    EV_STORE_UP,
    EV_JOIN
};

typedef struct Vm {
    bool up;
    uint64_t life;
    uint64_t incarnation;
    double rate;
    int64_t base_us;
    int64_t paused_until_us;
    Cfg *cfg;
    Memb *memb;
    StoreLimit q;
    uint64_t calls; /* to the store in this life */
    int64_t born_us;
    int64_t read_us;
    bool rows_known;
    ShiftRow row[ZONES];
    double sample[SAMPLES][ZONES][ZONES];
    double cap[SAMPLES];
    int64_t sample_us[SAMPLES];
    int n_samples;
} Vm;

/* What was written, accepted or not. */
typedef struct Change {
    char id[CHANGE_ID_BYTES];
    uint64_t version;
    GBytes *bytes;
    bool accepted;
} Change;

typedef struct Operator {
    int state; /* 0 idle, 1 reading, 2 writing, 3 reading back */
    uint64_t call;
    uint64_t base;
    int64_t change; /* index, or -1 */
} Operator;

enum {
    N_ACCEPTED,
    N_CONFLICT,
    N_WROTE,
    N_LOST_RACE,
    N_NOT_YET,
    N_SUPERSEDED, /* accepted, told lost race after a later change */
    N_BOOT,
    N_CUT,
    N_PAUSE,
    N_OUTAGE,
    N_REVERT_LIFE, /* a restarted VM took an older version than before */
    N_COUNTS
};

typedef struct World {
    Soak s;
    Vm vm[VMS];
    Operator op[OPERATORS];
    int group[ENDS];
    bool store_up;
    bool store_slow;
    bool cut;
    uint64_t version; /* of the store */
    int64_t stored;   /* index of its change, or -1 */
    int64_t stored_us;
    int64_t troubled_us; /* end of the newest trouble */
    GArray *changes;
    double rows[4096][ZONES][ZONES]; /* rows on the wire, a ring */
    uint64_t n_rows;
    uint64_t last_version[VMS]; /* of the former life */
    double slowest_s;
    double moved_max;
    uint64_t count[N_COUNTS];
} World;

#define CHANGE(w, i) (&g_array_index((w)->changes, Change, (guint)(i)))

static int64_t
vm_clock(const World *w, int v)
{
    const Vm *m = &w->vm[v];

    return (int64_t)((double)(w->s.now_us - m->base_us) * m->rate);
}

static void
later(World *w, int64_t us, SoakEvent e)
{
    e.at_us = w->s.now_us + us;
    e.life = e.to < VMS ? w->vm[e.to].life : 0;
    soak_push(&w->s, e);
}

/* Messages are late, lost, doubled or overtaken. */
static void
send(World *w, SoakEvent e)
{
    Soak *s = &w->s;
    int copies = soak_chance(s, 0.005) ? 0 : soak_chance(s, 0.005) ? 2 : 1;

    if (w->group[e.from] != w->group[e.to]) {
        return;
    }
    for (int i = 0; i < copies; i++) {
        later(w,
              soak_chance(s, 0.01) ? soak_int(s, 100 * MS, 4 * SEC)
                                   : soak_int(s, MS, 60 * MS),
              e);
    }
}

/* A manifest text with a random drain, cap and slot count. */
static GBytes *
random_envelope(World *w, uint64_t version, const char *id)
{
    Soak *s = &w->s;
    GString *g = g_string_new("[manifest]\nowner = soak\n"
                              "[region east]\n[region west]\n"
                              "[link east west]\nmbit = 4000\n"
                              "latency_ms = 55\ncost = 2\n"
                              "[rank urgent]\ndeadline_ms = 200\n");
    Err e = {0};

    for (int z = 0; z < ZONES; z++) {
        g_string_append_printf(g, "[zone z%d]\nregion = %s\n", z,
                               z < 2 ? "east" : "west");
    }
    g_string_append_printf(g,
                           "[service desk]\nshift_cap = %.2f\n"
                           "shift_interval_ms = 10000\n",
                           (double)soak_int(s, 5, 40) / 100);
    for (int z = 0; z < ZONES; z++) {
        g_string_append_printf(g,
                               "[target t%d]\nservice = desk\nzone = z%d\n"
                               "address = 127.0.0.1:%d\nslots = %d\n"
                               "connections = 100\n",
                               z, z, 9000 + z, (int)soak_int(s, 4, 12));
    }
    if (soak_chance(s, 0.5)) {
        char zone[8];
        snprintf(zone, sizeof(zone), "z%d", (int)soak_int(s, 0, ZONES - 1));
        manifest_set_drain(g, MF_DRAIN_ZONE, zone, true, &e);
    }
    GBytes *b = cfg_encode(version, id, (Str){g->str, g->len}, &e);
    if (b == NULL) {
        soak_violation(s, "manifest", "%s", e.text);
    }
    g_string_free(g, TRUE);
    return b;
}

static int64_t
new_change(World *w, uint64_t version)
{
    Change c = {.version = version};

    snprintf(c.id, sizeof(c.id), "%08x-0000-4000-8000-%012x",
             (unsigned)soak_u64(&w->s), (unsigned)w->changes->len);
    c.bytes = random_envelope(w, version, c.id);
    g_array_append_val(w->changes, c);
    return (int64_t)w->changes->len - 1;
}

static const MfService *
service_of(const Vm *m)
{
    const Manifest *f = cfg_manifest(m->cfg);

    return f == NULL ? NULL : &f->services[0];
}

static void
start_rows(World *w, int v)
{
    Vm *m = &w->vm[v];
    const MfService *sv = service_of(m);
    int64_t now = vm_clock(w, v);

    for (int h = 0; h < ZONES; h++) {
        MfService s = *sv;
        if (soak_fault(&w->s, "shift_over_cap")) {
            s.shift_cap *= 1.5;
        }
        if (m->row[h].n == 0) {
            shift_init(&m->row[h], ZONES, h, &s, now);
        }
        else {
            shift_set_cap(&m->row[h], s.shift_cap, s.shift_interval_us, now);
        }
    }
}

/* Offers an envelope to a VM and checks what it makes of it. */
static void
offer(World *w, int v, int64_t index)
{
    Vm *m = &w->vm[v];
    const Change *c = CHANGE(w, index);
    uint64_t before = cfg_version(m->cfg);
    size_t n;
    const char *p = g_bytes_get_data(c->bytes, &n);
    Err e = {0};

    if (soak_fault(&w->s, "cfg_adopt_older") && c->version < before) {
        cfg_free(m->cfg);
        m->cfg = cfg_new();
    }
    CfgOfferResult t = cfg_offer(m->cfg, (Str){p, n}, vm_clock(w, v), &e);
    uint64_t after = cfg_version(m->cfg);
    if (t == CFG_BAD) {
        soak_violation(&w->s, "config_format", "%s", e.text);
    }
    if (after < before) {
        soak_violation(&w->s, "config_revert", "vm%d goes from %d to %d", v,
                       (int)before, (int)after);
    }
    if (t == CFG_ADOPTED && !c->accepted) {
        soak_violation(&w->s, "config_phantom",
                       "vm%d takes version %d that the store never held", v,
                       (int)after);
    }
    if (t == CFG_CONFLICT) {
        soak_violation(&w->s, "config_phantom",
                       "two changes of version %d meet at vm%d", (int)after,
                       v);
    }
    if (after == before) {
        return;
    }
    if (after < w->last_version[v]) {
        w->count[N_REVERT_LIFE]++;
    }
    w->last_version[v] = after;
    memb_self(m->memb)->config_version = after;
    start_rows(w, v);
    if (after == w->version && w->troubled_us + 5 * SEC < w->stored_us) {
        w->slowest_s = MAX(w->slowest_s,
                           (double)(w->s.now_us - w->stored_us) / (double)SEC);
    }
}

static void
vm_kill(World *w, int v)
{
    Vm *m = &w->vm[v];

    if (m->up) {
        m->up = false;
        m->life++;
        cfg_free(m->cfg);
        memb_free(m->memb);
    }
}

static void
fill_self(const World *w, int v, MembVm *mm)
{
    memset(mm, 0, sizeof(*mm));
    snprintf(mm->id, sizeof(mm->id), "vm%d", v);
    snprintf(mm->zone, sizeof(mm->zone), "z%d", v / 2);
    mm->incarnation = w->vm[v].incarnation;
}

static void
vm_boot(World *w, int v)
{
    Vm *m = &w->vm[v];
    uint64_t life = m->life + 2;
    uint64_t inc = m->incarnation + 1;
    MembVm mm;

    vm_kill(w, v);
    memset(m, 0, sizeof(*m));
    m->up = true;
    m->life = life;
    m->incarnation = inc;
    m->rate = 1 + (double)soak_int(&w->s, -10, 10) / 1000;
    m->base_us = w->s.now_us - soak_int(&w->s, SEC, 100 * SEC);
    m->born_us = w->s.now_us;
    m->read_us = -100 * SEC;
    fill_self(w, v, &mm);
    m->cfg = cfg_new();
    m->memb = memb_new(&mm, vm_clock(w, v));
    storelimit_init(&m->q, STORE_CALLS_PER_S, STORE_CALLS_BURST,
                    vm_clock(w, v));
    w->count[N_BOOT]++;
    later(w, soak_int(&w->s, 0, 500 * MS),
          (SoakEvent){.kind = EV_TICK, .to = v});
    later(w, SAMPLE_US, (SoakEvent){.kind = EV_SAMPLE, .to = v});
}

/*
 * Moves a row to the present.  After a pause the row has stood still until
 * now, so that its newest sample is as young as that.
 */
static void
step_row(World *w, int v, int h)
{
    Vm *m = &w->vm[v];
    ShiftRow *r = &m->row[h];
    int64_t now = vm_clock(w, v);

    if (m->n_samples > 0 && now - r->at_us > SEC) {
        int last = (m->n_samples - 1) % SAMPLES;
        memcpy(m->sample[last][h], r->current, sizeof(r->current[0]) * ZONES);
        m->sample_us[last] = w->s.now_us;
    }
    if (soak_fault(&w->s, "shift_catch_up")) {
        /* Moves as far as in a pause without end of a step, and without what
         * the row remembers of its moves, which alone would hold the cap. */
        for (int64_t t = r->at_us; t < now; t += SEC) {
            memset(r->moved, 0, sizeof(r->moved));
            shift_step(r, t);
        }
        memset(r->moved, 0, sizeof(r->moved));
    }
    shift_step(r, now);
}

/* The wanted rows from the configuration and the zones that are heard. */
static void
aim_rows(World *w, int v)
{
    Vm *m = &w->vm[v];
    const Manifest *f = cfg_manifest(m->cfg);
    PlacementZone zones[ZONES] = {0};
    double want[ZONES * ZONES];
    int64_t now = vm_clock(w, v);

    if (f == NULL || !m->rows_known) {
        return;
    }
    for (int i = 0; i < memb_count(m->memb); i++) {
        const MembVm *p = memb_at(m->memb, i);
        zones[p->zone[1] - '0'].up |= p->state != MEMB_GONE;
    }
    for (int z = 0; z < ZONES; z++) {
        zones[z].slots = manifest_zone_slots(f, 0, z);
        zones[z].demand = 2;
    }
    PlacementIn in = {.manifest = f, .zones = zones, .utilisation_max = 0.85};
    placement_rows(&in, want);
    for (int h = 0; h < ZONES; h++) {
        step_row(w, v, h);
        if (soak_fault(&w->s, "shift_at_once")) {
            shift_set_current(&m->row[h], &want[h * ZONES], ZONES, now);
        }
        shift_set_desired(&m->row[h], &want[h * ZONES], now);
    }
}

static bool
take_call(World *w, int v)
{
    Vm *m = &w->vm[v];
    int64_t now = vm_clock(w, v);

    if (!storelimit_take(&m->q, now, NULL) &&
        !soak_fault(&w->s, "store_budget_ignored")) {
        return false;
    }
    m->calls++;
    double age_s = (double)(w->s.now_us - m->born_us) * m->rate / (double)SEC;
    if ((double)m->calls >
        STORE_CALLS_BURST + STORE_CALLS_PER_S * age_s + 0.01) {
        soak_violation(&w->s, "store_budget", "vm%d: %d calls in %.1f s", v,
                       (int)m->calls, age_s);
    }
    return true;
}

/* The relay of a zone looks for changes; a VM without configuration asks. */
static void
read_store(World *w, int v)
{
    Vm *m = &w->vm[v];
    int64_t now = vm_clock(w, v);
    const MembVm *relay = memb_relay(m->memb, memb_self(m->memb)->zone);
    bool mine = relay != NULL && relay == memb_self(m->memb);
    bool due = now - m->read_us > 900 * MS;
    if (soak_fault(&w->s, "store_budget_ignored")) {
        due = true;
    }
    if (!due || (!mine && cfg_version(m->cfg) > 0) || !take_call(w, v)) {
        return;
    }
    m->read_us = now;
    if (!w->store_up || w->group[v] != w->group[STORE]) {
        GRand *rnd = g_rand_new_with_seed((guint32)soak_u64(&w->s));
        storelimit_fail(&m->q, rnd, now);
        g_rand_free(rnd);
        return;
    }
    send(w, (SoakEvent){.kind = EV_READ, .to = STORE, .from = v});
}

static void
on_tick(World *w, int v)
{
    Vm *m = &w->vm[v];
    int64_t at = (int64_t)(w->n_rows++ % 4096);

    memb_step(m->memb, vm_clock(w, v));
    /* Without peers to ask, natural rows are the only known ones. */
    if (!m->rows_known && service_of(m) != NULL &&
        w->s.now_us - m->born_us > 3 * SEC) {
        m->rows_known = true;
    }
    aim_rows(w, v);
    for (int h = 0; h < ZONES; h++) {
        memcpy(w->rows[at][h], m->row[h].current, sizeof(w->rows[at][h]));
    }
    for (int u = 0; u < VMS; u++) {
        if (u != v && w->vm[u].up) {
            send(w, (SoakEvent){.kind = EV_BEAT,
                                .to = u,
                                .from = v,
                                .a = (int64_t)m->incarnation,
                                .b = (int64_t)cfg_version(m->cfg),
                                .c = m->rows_known ? at : -1});
        }
    }
    read_store(w, v);
    later(w, soak_int(&w->s, 480 * MS, 520 * MS),
          (SoakEvent){.kind = EV_TICK, .to = v});
}

static void
on_beat(World *w, const SoakEvent *e)
{
    Vm *m = &w->vm[e->to];
    int64_t now = vm_clock(w, e->to);
    MembVm mm;

    fill_self(w, e->from, &mm);
    mm.incarnation = (uint64_t)e->a;
    memb_news(m->memb, &mm, 0, now);
    if ((uint64_t)e->b > cfg_version(m->cfg)) {
        send(w, (SoakEvent){.kind = EV_ASK, .to = e->from, .from = e->to});
    }
    if (!m->rows_known && e->c >= 0 && service_of(m) != NULL) {
        for (int h = 0; h < ZONES; h++) {
            shift_set_current(&m->row[h], w->rows[e->c][h], ZONES, now);
        }
        m->rows_known = true;
    }
}

/* Compares a VM's rows with each sample of the past interval. */
static void
on_sample(World *w, int v)
{
    Vm *m = &w->vm[v];

    later(w, SAMPLE_US, (SoakEvent){.kind = EV_SAMPLE, .to = v});
    if (!m->rows_known) {
        return;
    }
    for (int h = 0; h < ZONES; h++) {
        step_row(w, v, h);
    }
    int at = m->n_samples++ % SAMPLES;
    for (int h = 0; h < ZONES; h++) {
        memcpy(m->sample[at][h], m->row[h].current, sizeof(m->sample[at][h]));
    }
    m->cap[at] = service_of(m)->shift_cap;
    m->sample_us[at] = w->s.now_us;
    double cap = m->cap[at];
    for (int k = 1; k < MIN(m->n_samples, SAMPLES); k++) {
        int old = (at - k + SAMPLES) % SAMPLES;
        double age_s = (double)(w->s.now_us - m->sample_us[old]) / (double)SEC;
        if (age_s > 10) {
            break; /* older than the interval, after a pause */
        }
        cap = MAX(cap, m->cap[old]);
        for (int h = 0; h < ZONES; h++) {
            double d =
                shift_distance(m->sample[at][h], m->sample[old][h], ZONES);
            w->moved_max = MAX(w->moved_max, d / cap);
            if (d > cap + 1e-9) {
                soak_violation(&w->s, "shift_cap",
                               "vm%d row z%d moves %.4f in %.1f s, cap %.4f",
                               v, h, d, age_s, cap);
            }
        }
    }
}

#include "soak_fleet_ops.h"

static void
handle(World *w, SoakEvent *e)
{
    switch (e->kind) {
    case EV_TICK:
        on_tick(w, e->to);
        return;
    case EV_SAMPLE:
        on_sample(w, e->to);
        return;
    case EV_BEAT:
        on_beat(w, e);
        return;
    case EV_ASK:
        on_ask(w, e);
        return;
    case EV_CONFIG:
        offer(w, e->to, e->a);
        return;
    case EV_READ:
    case EV_CAS:
        on_store(w, e);
        return;
    case EV_READ_ANS:
        storelimit_ok(&w->vm[e->to].q);
        if (e->c >= 0) {
            offer(w, e->to, e->c);
        }
        return;
    case EV_OP:
    case EV_OP_READ_ANS:
    case EV_CAS_ANS:
    case EV_OP_TIMEOUT:
        on_operator(w, e);
        return;
    case EV_CHAOS:
        on_chaos(w);
        return;
    case EV_BOOT:
        vm_boot(w, e->to);
        return;
    case EV_STORE_UP:
        w->store_up = true;
        w->store_slow = false;
        w->troubled_us = MAX(w->troubled_us, w->s.now_us);
        return;
    default:
        memset(w->group, 0, sizeof(w->group));
        w->cut = false;
        w->troubled_us = MAX(w->troubled_us, w->s.now_us);
    }
}

int
main(int argc, char **argv)
{
    World *w = g_new0(World, 1);

    soak_args(&w->s, argc, argv, faults);
    w->changes = g_array_new(FALSE, TRUE, sizeof(Change));
    w->store_up = true;
    w->stored = -1;
    for (int v = 0; v < VMS; v++) {
        vm_boot(w, v);
    }
    for (int i = 0; i < OPERATORS; i++) {
        w->op[i].change = -1;
        later(w, SEC + i, (SoakEvent){.kind = EV_OP, .to = STORE + 1 + i});
    }
    later(w, 30 * SEC, (SoakEvent){.kind = EV_CHAOS, .to = STORE});
    while (w->s.step < w->s.steps) {
        SoakEvent e = soak_pop(&w->s);
        const Vm *m = e.to < VMS ? &w->vm[e.to] : NULL;
        if (m != NULL && e.kind != EV_BOOT && (!m->up || e.life != m->life)) {
            continue;
        }
        if (m != NULL && e.kind != EV_BOOT &&
            m->paused_until_us > w->s.now_us) {
            e.at_us = m->paused_until_us;
            soak_push(&w->s, e);
            continue;
        }
        handle(w, &e);
    }
    report(w);
    return 0;
}
