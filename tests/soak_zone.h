/*
 * soak_zone - the VMs of one zone for the randomised runs: state, clocks,
 * fake links, and what an entry process keeps of its control's snapshots.
 * The control process is in soak_ctl.h.
 *
 * Faults of decisions are put in around the modules, so that the modules hold
 * no switches.
 */
#ifndef MIMOSA_SOAK_ZONE_H
#define MIMOSA_SOAK_ZONE_H

#include "limits.h"
#include "memb.h"
#include "own.h"
#include "soak.h"
#include "storelimit.h"

#define VMS 6
#define STORE VMS /* link end of the store */
#define CALLERS (VMS + 1)
#define ENDS (VMS + 2)
/* Messages refer to the newest so many of each. */
#define ROSTERS 1024
#define SNAPS 4096

/* Event kinds of the zone; the program's own follow ZONE_KINDS. */
enum {
    EV_TICK,       /* control heartbeat */
    EV_BEAT,       /* a: incarnation, b: sent (sender's clock), c: acting
                      epoch, d: epoch */
    EV_BEAT_REPLY, /* a: incarnation, b: sent, c: acting epoch, d: epoch, or
                      minus the epoch when no promise is given */
    EV_ROSTER,     /* the text that the sender holds */
    EV_SNAP,       /* control to entry; a: index of a snapshot */
    EV_SNAP_ACK,   /* entry to control; a: epoch */
    EV_STORE_READ,
    EV_STORE_READ_ANS, /* a: version (-1: refused), b: asked */
    EV_STORE_CAS,      /* a: index of a roster, b: base version */
    EV_STORE_CAS_ANS,  /* a: 1 written, 0 conflict, -1 refused; b: epoch */
    EV_CHAOS,
    EV_BOOT,
    EV_RESUME,
    EV_STORE_UP,
    EV_JOIN_ENDS, /* all cut links are joined */
    ZONE_KINDS
};

/* What control hands to its entry process. */
typedef struct ZoneSnap {
    uint64_t epoch;
    int64_t at_us; /* VM's clock */
    int64_t good_until_us;
    OwnMode mode;
    int owner_of_range[KEY_RANGES]; /* VM, or -1 */
    bool owned[KEY_RANGES];
    int64_t tenure_us[KEY_RANGES];
    int owner_of_target[64];
    int budget[64];
} ZoneSnap;

typedef struct ZoneVm {
    bool up;
    uint64_t life; /* grows with each boot */
    uint64_t incarnation;
    double rate; /* of its monotonic clock */
    int64_t base_us;
    int64_t wall_error_us;
    int64_t control_paused_until_us; /* true time */
    int64_t entry_paused_until_us;
    Own *own;
    Memb *memb;
    StoreLimit storeq;
    int64_t read_at_us; /* newest read that was sent */
    int64_t cas_at_us;
    uint64_t acked;          /* epoch that its entry acts on */
    int64_t listed_until_us; /* the VM list names it until then */
    ZoneSnap snap;           /* as the entry holds it */
    int64_t entry_step_us;
    int64_t entry_resumed_us;
} ZoneVm;

typedef struct Zone {
    Soak *s;
    ZoneVm vm[VMS];
    int group[ENDS]; /* ends of one group reach each other */
    bool store_up;
    bool store_refuses; /* an outage that refuses connections */
    bool store_slow;
    OwnRoster *rosters; /* proposals, a ring */
    uint64_t n_rosters;
    ZoneSnap *snaps; /* a ring */
    uint64_t n_snaps;
    uint64_t store_version;
    int64_t store_roster; /* index, or -1 */
    int n_targets;
    int slots[64];
    char target[64][16];
    bool cut;
    int64_t disturbed_us; /* newest start or end of a cut or pause */
    uint64_t counts[8];
} Zone;

enum { C_CHANGE, C_BOOT, C_CRASH, C_PAUSE, C_CUT, C_OUTAGE, C_CONFLICT };

static inline int64_t
zone_clock(const Zone *z, int v)
{
    const ZoneVm *m = &z->vm[v];

    return (int64_t)((double)(z->s->now_us - m->base_us) * m->rate);
}

static inline int64_t
zone_wall(const Zone *z, int v)
{
    return z->s->now_us + z->vm[v].wall_error_us + 1000 * SEC;
}

static inline bool
zone_reaches(const Zone *z, int a, int b)
{
    return z->group[a] == z->group[b];
}

static inline void
zone_id(int v, char *id, size_t cap)
{
    snprintf(id, cap, "vm%d", v);
}

/* Delay of a link: mostly a few ms, now and then seconds. */
static inline int64_t
zone_delay(Soak *s)
{
    if (soak_chance(s, 0.002)) {
        return soak_int(s, 100 * MS, 3000 * MS);
    }
    return soak_int(s, MS / 2, 8 * MS);
}

/* Sends a message of the system's own protocols: it may be lost, doubled or
 * overtaken. */
static inline void
zone_send(Zone *z, SoakEvent e)
{
    Soak *s = z->s;

    if (!zone_reaches(z, e.from, e.to) || soak_chance(s, 0.002)) {
        return;
    }
    e.at_us = s->now_us + zone_delay(s);
    if (e.life == 0) {
        e.life = e.to < VMS ? z->vm[e.to].life : 0;
    }
    e.from_life = e.from < VMS ? z->vm[e.from].life : 0;
    soak_push(s, e);
    if (soak_chance(s, 0.002)) {
        e.at_us = s->now_us + zone_delay(s);
        soak_push(s, e);
    }
}

static inline int64_t
zone_keep_roster(Zone *z, const OwnRoster *r)
{
    int64_t i = (int64_t)(z->n_rosters++ % ROSTERS);

    if (i == z->store_roster) {
        i = (int64_t)(z->n_rosters++ % ROSTERS);
    }
    z->rosters[i] = *r;
    return i;
}

static inline void
zone_member(const Zone *z, int v, OwnMember *m)
{
    memset(m, 0, sizeof(*m));
    zone_id(v, m->id, sizeof(m->id));
    m->incarnation = z->vm[v].incarnation;
}

static inline void
zone_memb_vm(const Zone *z, int v, MembVm *m)
{
    memset(m, 0, sizeof(*m));
    zone_id(v, m->id, sizeof(m->id));
    snprintf(m->zone, sizeof(m->zone), "z");
    m->incarnation = z->vm[v].incarnation;
}

static inline void
zone_kill(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];

    if (!m->up) {
        return;
    }
    m->up = false;
    m->life++;
    own_free(m->own);
    memb_free(m->memb);
    m->own = NULL;
    m->memb = NULL;
    m->listed_until_us = z->s->now_us + soak_int(z->s, 3 * SEC, 40 * SEC);
}

static inline void
zone_boot(Zone *z, int v)
{
    Soak *s = z->s;
    ZoneVm *m = &z->vm[v];
    OwnMember om;
    MembVm mm;

    zone_kill(z, v);
    m->up = true;
    m->life++;
    m->incarnation++;
    m->rate = 1 + (double)soak_int(s, -10, 10) / 1000;
    m->base_us = s->now_us - soak_int(s, 1 * SEC, 1000 * SEC);
    m->wall_error_us = soak_int(s, -1000 * MS, 1000 * MS);
    m->control_paused_until_us = 0;
    m->entry_paused_until_us = 0;
    m->listed_until_us = INT64_MAX;
    m->acked = 0;
    m->read_at_us = -10 * SEC;
    m->cas_at_us = -10 * SEC;
    zone_member(z, v, &om);
    zone_memb_vm(z, v, &mm);
    m->own = own_new(&om, zone_clock(z, v));
    m->memb = memb_new(&mm, zone_clock(z, v));
    storelimit_init(&m->storeq, STORE_CALLS_PER_S, STORE_CALLS_BURST,
                    zone_clock(z, v));
    memset(&m->snap, 0, sizeof(m->snap));
    memset(m->snap.owner_of_range, -1, sizeof(m->snap.owner_of_range));
    memset(m->snap.owner_of_target, -1, sizeof(m->snap.owner_of_target));
    m->entry_step_us = zone_clock(z, v);
    m->entry_resumed_us = m->entry_step_us;
    soak_push(s, (SoakEvent){.at_us = s->now_us + soak_int(s, 0, 500 * MS),
                             .kind = EV_TICK,
                             .to = v,
                             .life = m->life});
    z->counts[C_BOOT]++;
}

/* Entry side: takes a snapshot and acknowledges its epoch. */
static inline void
zone_on_snap(Zone *z, const SoakEvent *e)
{
    ZoneVm *m = &z->vm[e->to];
    const ZoneSnap *p = &z->snaps[e->a];

    if (p->at_us < m->snap.at_us) {
        return;
    }
    m->snap = *p;
    soak_push(z->s,
              (SoakEvent){.at_us = z->s->now_us + soak_int(z->s, 100, 3 * MS),
                          .kind = EV_SNAP_ACK,
                          .to = e->to,
                          .from = e->to,
                          .life = m->life,
                          .a = (int64_t)p->epoch});
}

/* Entry side: detects a pause of this process. */
static inline void
zone_entry_step(Zone *z, int v)
{
    ZoneVm *m = &z->vm[v];
    int64_t now = zone_clock(z, v);

    if (now - m->entry_step_us > OWN_LAPSE_MS * MS) {
        m->entry_resumed_us = now;
    }
    m->entry_step_us = now;
}

/* Entry side: the mode that the snapshot allows at this time. */
static inline OwnMode
zone_entry_mode(const Zone *z, int v)
{
    const ZoneVm *m = &z->vm[v];
    int64_t now = zone_clock(z, v);

    if (m->snap.mode == OWN_NONE) {
        return OWN_NONE;
    }
    if (soak_fault(z->s, "entry_no_lapse") || now <= m->snap.good_until_us) {
        return m->snap.mode;
    }
    return m->snap.at_us >= m->entry_resumed_us ? OWN_ISOLATED : OWN_NONE;
}

static inline int
zone_entry_budget(const Zone *z, int v, int t)
{
    const ZoneSnap *p = &z->vm[v].snap;
    OwnMode mode = zone_entry_mode(z, v);

    if (mode == OWN_NONE) {
        return 0;
    }
    return mode == p->mode ? p->budget[t] : p->budget[t] / 2;
}

#endif
