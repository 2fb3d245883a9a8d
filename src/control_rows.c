/* control_rows - wanted shares from health and load, and rows in force. */
#include "control.h"

#include <string.h>

#include "lg.h"
#include "placement.h"

#define PART "rows"
#define US_PER_MS 1000
#define PLAN_EVERY_MS 500
/* A row is aimed anew when the wanted shares differ by this much: demand
 * varies from one report to the next, and each new aim costs a snapshot. */
#define AIM_MIN 0.02
/* Part of the slots that may be planned: the rest takes bursts. */
#define UTILISATION_MAX 0.85
/* A new control waits so long for the rows of a peer or the store. */
#define WAIT_MS 2500

/* A new control has heard of all zones after this time; before it, a zone
 * that is not heard of yet would be taken as down. */
#define FIRST_PLAN_MS 4000

struct ControlRows {
    Control *c;
    int64_t born_us;
    ShiftRow *rows; /* [service * n_zones + home] */
    int n_services;
    int n_zones;
    char (*services)[NAME_BYTES];
    char (*zones)[NAME_BYTES];
    bool ready;
    int64_t since_us;
    int64_t planned_us;
};

ControlRows *
control_rows_new(Control *c)
{
    ControlRows *r = g_new0(ControlRows, 1);

    r->c = c;
    r->born_us = g_get_monotonic_time();
    return r;
}

static void
drop_rows(ControlRows *r)
{
    g_free(r->rows);
    g_free(r->services);
    g_free(r->zones);
}

void
control_rows_free(ControlRows *r)
{
    if (r != NULL) {
        drop_rows(r);
        g_free(r);
    }
}

bool
control_rows_ready(const ControlRows *r)
{
    return r->ready;
}

const ShiftRow *
control_rows_at(const ControlRows *r, int service, int home)
{
    return &r->rows[service * r->n_zones + home];
}

static int
find(char (*names)[NAME_BYTES], int n, const char *name)
{
    for (int i = 0; i < n; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Carries the shares of a row to a new list of zones; the part of a zone that
 * is no longer declared goes back to home. */
static void
carry_row(const ControlRows *old, const ShiftRow *from, const Manifest *m,
          int home, ShiftRow *to, int64_t now)
{
    double shares[ZONES_MAX] = {0};

    for (int z = 0; z < old->n_zones; z++) {
        int k = manifest_zone(m, str_of(old->zones[z]));
        shares[k < 0 ? home : k] += from->current[z];
    }
    shift_set_current(to, shares, m->n_zones, now);
    shift_set_desired(to, shares, now);
}

static void
carry_all(const ControlRows *old, ControlRows *r, const Manifest *m,
          int64_t now)
{
    for (int s = 0; s < m->n_services; s++) {
        int os = find(old->services, old->n_services, m->services[s].name);
        for (int h = 0; h < m->n_zones; h++) {
            int oh = find(old->zones, old->n_zones, m->zones[h].name);
            ShiftRow *to = &r->rows[s * m->n_zones + h];
            if (os < 0 || oh < 0) {
                continue;
            }
            ShiftRow *from = &old->rows[os * old->n_zones + oh];
            shift_step(from, now);
            if (old->n_zones == m->n_zones &&
                memcmp(old->zones, r->zones,
                       sizeof(*r->zones) * (size_t)m->n_zones) == 0) {
                *to = *from;
                shift_set_cap(to, m->services[s].shift_cap,
                              m->services[s].shift_interval_us, now);
            }
            else {
                carry_row(old, from, m, h, to, now);
            }
        }
    }
}

void
control_rows_config(ControlRows *r, int64_t now_us)
{
    const Manifest *m = cfg_manifest(r->c->cfg);
    ControlRows old = *r;

    r->n_services = m->n_services;
    r->n_zones = m->n_zones;
    r->rows = g_new0(ShiftRow, m->n_services * m->n_zones);
    r->services = g_malloc0(sizeof(*r->services) * (size_t)m->n_services);
    r->zones = g_malloc0(sizeof(*r->zones) * (size_t)m->n_zones);
    for (int s = 0; s < m->n_services; s++) {
        memcpy(r->services[s], m->services[s].name, NAME_BYTES);
    }
    for (int h = 0; h < m->n_zones; h++) {
        memcpy(r->zones[h], m->zones[h].name, NAME_BYTES);
        for (int s = 0; s < m->n_services; s++) {
            shift_init(&r->rows[s * m->n_zones + h], m->n_zones, h,
                       &m->services[s], now_us);
        }
    }
    if (old.rows != NULL) {
        carry_all(&old, r, m, now_us);
    }
    else {
        r->since_us = now_us;
    }
    r->planned_us = 0;
    drop_rows(&old);
}

void
control_rows_offer(ControlRows *r, const char *service, const char *home,
                   int n, char *const *zones, const double *shares)
{
    double now[ZONES_MAX] = {0};
    int64_t now_us = g_get_monotonic_time();

    if (r->ready || r->rows == NULL) {
        return;
    }
    int s = find(r->services, r->n_services, service);
    int h = find(r->zones, r->n_zones, home);
    if (s < 0 || h < 0) {
        return;
    }
    for (int i = 0; i < n; i++) {
        int z = find(r->zones, r->n_zones, zones[i]);
        now[z < 0 ? h : z] += shares[i];
    }
    ShiftRow *row = &r->rows[s * r->n_zones + h];
    double sum = 0;
    for (int z = 0; z < r->n_zones; z++) {
        sum += now[z];
    }
    /* The store keeps six digits of each share. */
    for (int z = 0; z < r->n_zones && sum > 0.999 && sum < 1.001; z++) {
        now[z] /= sum;
    }
    if (!shift_set_current(row, now, r->n_zones, now_us) ||
        !shift_set_desired(row, now, now_us)) {
        lg_line(LG_WARN, PART,
                "row of service %s, home %s is left: shares sum to %.4f; they "
                "must sum to 1",
                service, home, sum);
    }
}

void
control_rows_offered(ControlRows *r, const char *source, int64_t now_us)
{
    if (r->ready || r->rows == NULL) {
        return;
    }
    r->ready = true;
    r->planned_us = now_us;
    lg_decision(PART, "rows in force from %s", source);
    control_local_dirty(r->c->local);
}

void
control_rows_put(const ControlRows *r, ms_row **rows, u_int *n)
{
    u_int cells = (u_int)(r->n_services * r->n_zones);

    *rows = g_new0(ms_row, MAX(cells, 1));
    *n = r->ready ? cells : 0;
    for (u_int i = 0; i < *n; i++) {
        ms_row *out = &(*rows)[i];
        out->service = r->services[i / (u_int)r->n_zones];
        out->home = r->zones[i % (u_int)r->n_zones];
        out->zones.zones_val = g_new0(ms_name, r->n_zones);
        out->zones.zones_len = (u_int)r->n_zones;
        for (int z = 0; z < r->n_zones; z++) {
            out->zones.zones_val[z] = r->zones[z];
        }
        out->now.now_val = r->rows[i].current;
        out->now.now_len = (u_int)r->n_zones;
    }
}

void
control_rows_clear(ms_row *rows, u_int n)
{
    for (u_int i = 0; i < n; i++) {
        g_free(rows[i].zones.zones_val);
    }
    g_free(rows);
}

bool
control_rows_zone_up(const Control *c, int zone)
{
    const char *name = cfg_manifest(c->cfg)->zones[zone].name;

    for (int i = 0; i < memb_count(c->memb); i++) {
        const MembVm *vm = memb_at(c->memb, i);
        if (vm->state != MEMB_GONE && !vm->leaving &&
            strcmp(vm->zone, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Fills the inputs of a plan.  A zone whose load is not known counts with the
 * slots that the configuration declares. */
static void
fill_zones(const ControlRows *r, int service, PlacementZone *zones)
{
    const Manifest *m = cfg_manifest(r->c->cfg);
    SnapLoad l;

    memset(zones, 0, sizeof(*zones) * (size_t)m->n_zones);
    for (int z = 0; z < m->n_zones; z++) {
        zones[z].up = control_rows_zone_up(r->c, z);
        zones[z].slots = manifest_zone_slots(m, service, z);
        if (control_digest_load(r->c->digest, m->zones[z].name, service, &l)) {
            zones[z].slots = MIN(zones[z].slots, l.usable_slots);
            for (int h = 0; h < m->n_zones; h++) {
                zones[h].demand += l.demand[h];
            }
        }
    }
}

static void
log_aim(const ControlRows *r, int service, int home, const double *want)
{
    GString *g = g_string_new(NULL);

    for (int z = 0; z < r->n_zones; z++) {
        if (want[z] > 0) {
            g_string_append_printf(g, " %s=%.3f", r->zones[z], want[z]);
        }
    }
    lg_decision(PART, "service %s, home %s: aiming at%s", r->services[service],
                r->zones[home], g->str);
    g_string_free(g, TRUE);
}

/* Small changes of the aim are left out, but not the last of a share: a
 * drained zone must end with none. */
static bool
worth_aiming(const ShiftRow *row, const double *want)
{
    if (shift_distance(row->desired, want, row->n) >= AIM_MIN) {
        return true;
    }
    for (int z = 0; z < row->n; z++) {
        if (want[z] <= 0 && row->desired[z] > 0) {
            return true;
        }
    }
    return false;
}

static void
plan(ControlRows *r, int service, int64_t now)
{
    const Manifest *m = cfg_manifest(r->c->cfg);
    PlacementZone zones[ZONES_MAX];
    double *want = g_new0(double, m->n_zones * m->n_zones);
    double *in_force = g_new0(double, m->n_zones * m->n_zones);
    PlacementIn in = {m, service, zones, UTILISATION_MAX, 0};

    fill_zones(r, service, zones);
    placement_rows(&in, want);
    for (int h = 0; h < m->n_zones; h++) {
        memcpy(&in_force[h * m->n_zones],
               r->rows[service * m->n_zones + h].current,
               sizeof(double) * (size_t)m->n_zones);
    }
    placement_limit_moves(&in, in_force, want);
    g_free(in_force);
    for (int h = 0; h < m->n_zones; h++) {
        ShiftRow *row = &r->rows[service * m->n_zones + h];
        const double *w = &want[h * m->n_zones];
        if (!worth_aiming(row, w)) {
            continue;
        }
        if (shift_set_desired(row, w, now)) {
            log_aim(r, service, h, w);
            ctr_add(control_ctr(r->c, "control_row_aims"), 1);
            control_local_dirty(r->c->local);
        }
    }
    g_free(want);
}

void
control_rows_step(ControlRows *r, int64_t now_us)
{
    if (r->rows == NULL) {
        return;
    }
    if (!r->ready) {
        if (now_us - r->since_us > WAIT_MS * US_PER_MS) {
            control_rows_offered(r, "no source: natural rows", now_us);
        }
        return;
    }
    for (int i = 0; i < r->n_services * r->n_zones; i++) {
        shift_step(&r->rows[i], now_us);
    }
    if (now_us - r->planned_us >= PLAN_EVERY_MS * US_PER_MS &&
        now_us - r->born_us >= FIRST_PLAN_MS * US_PER_MS) {
        r->planned_us = now_us;
        for (int s = 0; s < r->n_services; s++) {
            plan(r, s, now_us);
        }
    }
}
