/* crashout - messages about requests that crash upstreams.  See crashout.h. */
#include "crashout.h"

#include <glib.h>

#include "bucket.h"
#include "crashown.h"

#define ANNOUNCE_PER_S 60.0 /* messages of announcements */
/* Announcements to all VMs of the region that may follow at once. */
#define ANNOUNCE_BURST 3

struct Crashout {
    CrashoutFn fn;
    void *ctx;
    PickVm *vms;
    int n_vms;
    int self;
    CrashMsg **collected; /* by VM; NULL: none */
    bool pending;
    Bucket announcements;
};

Crashout *
crashout_new(CrashoutFn fn, void *ctx)
{
    Crashout *o = g_new0(Crashout, 1);

    o->fn = fn;
    o->ctx = ctx;
    o->self = -1;
    return o;
}

static void
drop_collected(Crashout *o)
{
    for (int i = 0; i < o->n_vms; i++) {
        g_free(o->collected[i]);
    }
    g_free(o->collected);
    o->collected = NULL;
    o->pending = false;
}

void
crashout_free(Crashout *o)
{
    drop_collected(o);
    g_free(o->vms);
    g_free(o);
}

void
crashout_set_vms(Crashout *o, const PickVm *vms, int n, int self)
{
    drop_collected(o);
    g_free(o->vms);
    o->vms = g_memdup2(vms, (gsize)n * sizeof(*vms));
    o->n_vms = n;
    o->self = self;
    o->collected = g_new0(CrashMsg *, n);
}

bool
crashout_owns(const Crashout *o, uint64_t fingerprint)
{
    int owners[CRASHOWN_MAX];
    int n = crashown_list(o->vms, o->n_vms, fingerprint, owners);

    for (int i = 0; i < n; i++) {
        if (owners[i] == o->self) {
            return true;
        }
    }
    return false;
}

static void
send_collected(Crashout *o, int vm)
{
    CrashMsg *m = o->collected[vm];

    if (m != NULL && m->n_reports + m->n_verdicts > 0 && o->fn != NULL) {
        o->fn(o->ctx, vm, m);
    }
    g_free(m);
    o->collected[vm] = NULL;
}

/* Returns the message that is collected for a VM, with space for another
 * report and verdict. */
static CrashMsg *
message_to(Crashout *o, int vm)
{
    CrashMsg *m = o->collected[vm];

    if (m != NULL && (m->n_reports == CRASHMSG_REPORTS_MAX ||
                      m->n_verdicts == CRASHMSG_VERDICTS_MAX)) {
        send_collected(o, vm);
    }
    if (o->collected[vm] == NULL) {
        o->collected[vm] = g_new0(CrashMsg, 1);
    }
    o->pending = true;
    return o->collected[vm];
}

bool
crashout_report(Crashout *o, const CrashReport *r)
{
    int owners[CRASHOWN_MAX];
    int n = crashown_list(o->vms, o->n_vms, r->fingerprint, owners);

    for (int i = 0; i < n; i++) {
        if (owners[i] != o->self) {
            CrashMsg *m = message_to(o, owners[i]);
            m->reports[m->n_reports++] = *r;
        }
    }
    return n > 0;
}

void
crashout_verdict(Crashout *o, const CrashVerdict *v)
{
    int owners[CRASHOWN_MAX];
    int n = crashown_list(o->vms, o->n_vms, v->fingerprint, owners);

    for (int i = 0; i < n; i++) {
        if (owners[i] != o->self) {
            CrashMsg *m = message_to(o, owners[i]);
            m->verdicts[m->n_verdicts++] = *v;
        }
    }
}

static bool
is_near(const Crashout *o, int vm)
{
    return vm != o->self && o->vms[vm].region == o->vms[o->self].region;
}

bool
crashout_announce(Crashout *o, const CrashMsg *m, int64_t now_us)
{
    int near = 0;

    if (o->self < 0 || o->fn == NULL) {
        return true;
    }
    for (int i = 0; i < o->n_vms; i++) {
        near += is_near(o, i) ? 1 : 0;
    }
    /* One token is an announcement to all of them. */
    if (near > 0 && !bucket_take(&o->announcements, ANNOUNCE_PER_S / near,
                                 ANNOUNCE_BURST, now_us)) {
        return false;
    }
    for (int i = 0; i < o->n_vms; i++) {
        if (is_near(o, i)) {
            o->fn(o->ctx, i, m);
        }
    }
    return true;
}

bool
crashout_pending(const Crashout *o)
{
    return o->pending;
}

void
crashout_flush(Crashout *o)
{
    for (int i = 0; o->pending && i < o->n_vms; i++) {
        send_collected(o, i);
    }
    o->pending = false;
}
