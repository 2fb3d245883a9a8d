/* view - applies the entries of the store to this VM's state.  See view.h. */
#include "view.h"

#include <inttypes.h>

#include "hash.h"
#include "pf.h"

struct View {
    ViewOpts o;
    RtTable *table;
    uint64_t table_rev; /* revision of the store that brought the table; 0: it
                           is of a former history */
    uint64_t seen_rev;  /* highest one of a configuration received */
    int64_t unreadable;
};

View *
view_new(const ViewOpts *o)
{
    View *v = g_new0(View, 1);

    v->o = *o;
    return v;
}

void
view_free(View *v)
{
    rt_unref(v->table);
    g_free(v);
}

void
view_begin_history(View *v, int64_t now_us)
{
    v->table_rev = 0;
    v->seen_rev = 0;
    ups_begin_history(v->o.upstreams, now_us);
}

const RtTable *
view_routes(const View *v)
{
    return v->table;
}

uint64_t
view_config_rev(const View *v)
{
    return v->table_rev;
}

uint64_t
view_config_seen(const View *v)
{
    return v->seen_rev;
}

int64_t
view_unreadable(const View *v)
{
    return v->unreadable;
}

static uint64_t
current_version(const View *v)
{
    return v->table == NULL ? 0 : rt_version(v->table);
}

static const char *
source_name(const View *v)
{
    return v->o.fns.source == NULL ? "-" : v->o.fns.source(v->o.ctx);
}

/* Keeps the configuration in force although the store holds one whose version
 * is not above it.  Versions only rise, so a lower one was stored by mistake,
 * or is that of a store that came back from an older copy, in which the
 * operator stores the newest one again. */
static void
keep_config(View *v, uint64_t version, uint64_t rev)
{
    bool again = version == current_version(v);
    bool back = v->table_rev == 0 || rev <= v->table_rev;

    if (again && rev == v->table_rev) {
        return; /* listed again */
    }
    dlog_event(v->o.log, again ? DLOG_INFO : DLOG_WARN, "config",
               "event=%s version=%" PRIu64 " rev=%" PRIu64
               " by=%s in_force=%" PRIu64 " in_force_rev=%" PRIu64,
               again  ? "stored_again"
               : back ? "version_back"
                      : "ignored",
               version, rev, source_name(v), current_version(v), v->table_rev);
    if (again) {
        v->table_rev = rev;
    }
}

static void
apply_config(View *v, Str text, uint64_t rev)
{
    Err e = {0};
    RtTable *t = pf_parse_config(text, &e);

    v->seen_rev = MAX(v->seen_rev, rev);
    if (t == NULL) {
        v->unreadable++;
        dlog_event(v->o.log, DLOG_WARN, "config",
                   "event=unreadable in_force=%" PRIu64 " error=\"%s\""
                   " rev=%" PRIu64 " by=%s",
                   current_version(v), dlog_quoted(e.text).s, rev,
                   source_name(v));
        return;
    }
    if (v->table != NULL && rt_version(t) <= rt_version(v->table)) {
        keep_config(v, rt_version(t), rev);
        rt_unref(t);
        return;
    }
    dlog_event(v->o.log, DLOG_INFO, "config",
               "event=in_force version=%" PRIu64 " before=%" PRIu64
               " idle_ms=%" PRId64 " rev=%" PRIu64 " by=%s",
               rt_version(t), current_version(v), rt_limits(t)->idle_us / 1000,
               rev, source_name(v));
    rt_unref(v->table);
    v->table = t;
    v->table_rev = rev;
    v->o.fns.routes(v->o.ctx, t);
}

static void
apply_report(View *v, Str id, const UpsReport *r, uint64_t rev, int64_t now_us)
{
    static const char *const names[] = {"same",    "added",   "restarted",
                                        "leaving", "back",    "changed",
                                        "former",  "unusable"};
    UpsChange ch = ups_report(v->o.upstreams, r, now_us);

    if (ch == UPS_RESTARTED) {
        Ups *u = ups_find(v->o.upstreams, id);
        if (u != NULL) {
            uconns_close_idle(v->o.pool, u);
        }
    }
    if (ch != UPS_SAME) {
        dlog_event(v->o.log, DLOG_INFO, "upstream",
                   "id=%s event=%s service=%s zone=%s rev=%" PRIu64
                   " cold_ms=%" PRId64,
                   dlog_name(id).s, names[ch], dlog_name(r->service).s,
                   dlog_name(r->zone).s, rev, r->warmup_left_us / 1000);
    }
}

static void
apply_upstream(View *v, Str id, Str text, uint64_t rev, int64_t now_us)
{
    UpsReport r;
    gpointer storage = NULL;
    Err e = {0};

    if (pf_parse_upstream(id, text, &r, &storage, &e)) {
        apply_report(v, id, &r, rev, now_us);
    }
    else {
        v->unreadable++;
        dlog_event(v->o.log, DLOG_WARN, "upstream",
                   "id=%s event=unreadable rev=%" PRIu64 " error=\"%s\"",
                   dlog_name(id).s, rev, dlog_quoted(e.text).s);
        ups_missing(v->o.upstreams, id, now_us);
    }
    pf_release_upstream(storage);
}

static void
remove_upstream(View *v, Str id, uint64_t rev, int64_t now_us)
{
    dlog_event(v->o.log, DLOG_INFO, "upstream",
               "id=%s event=missing rev=%" PRIu64, dlog_name(id).s, rev);
    ups_missing(v->o.upstreams, id, now_us);
}

static void
apply_vm(View *v, Str id, Str text)
{
    Vm vm;
    Err e = {0};

    if (!vml_parse(&vm, id, text, v->o.topology, &e)) {
        v->unreadable++;
        dlog_event(v->o.log, DLOG_WARN, "vm",
                   "id=%s event=unreadable error=\"%s\"", dlog_name(id).s,
                   dlog_quoted(e.text).s);
        return;
    }
    dlog_event(v->o.log, DLOG_INFO, "vm",
               "id=%s event=listed leaving=%d boot=%" PRIu64, vm.id,
               vm.leaving ? 1 : 0, vm.boot_ms);
    vml_put(v->o.vms, &vm);
    v->o.fns.vms(v->o.ctx);
}

static void
remove_vm(View *v, Str id, uint64_t rev)
{
    dlog_event(v->o.log, DLOG_INFO, "vm", "id=%s event=gone rev=%" PRIu64,
               dlog_name(id).s, rev);
    vml_remove(v->o.vms, id);
    v->o.fns.vms(v->o.ctx);
}

static void
apply_drain(View *v, Str name, bool drained, uint64_t rev, int64_t now_us)
{
    int zone = topology_zone(v->o.topology, name);

    if (zone < 0) {
        dlog_event(v->o.log, DLOG_WARN, "zone",
                   "id=%s event=unknown rev=%" PRIu64, dlog_name(name).s, rev);
        return;
    }
    dlog_event(v->o.log, DLOG_INFO, "zone", "id=%s event=%s rev=%" PRIu64,
               v->o.topology->zones[zone], drained ? "drained" : "returned",
               rev);
    ups_drain_zone(v->o.upstreams, zone, drained, now_us);
}

static void
apply_value(View *v, PfKind kind, Str name, Str text, uint64_t rev,
            int64_t now_us)
{
    switch (kind) {
    case PF_CONFIG:
        apply_config(v, text, rev);
        break;
    case PF_UPSTREAM:
        apply_upstream(v, name, text, rev, now_us);
        break;
    case PF_DRAIN:
        apply_drain(v, name, true, rev, now_us);
        break;
    case PF_VM:
        apply_vm(v, name, text);
        break;
    case PF_OTHER:
        break;
    }
}

static void
apply_removal(View *v, PfKind kind, Str name, uint64_t rev, int64_t now_us)
{
    switch (kind) {
    case PF_UPSTREAM:
        remove_upstream(v, name, rev, now_us);
        break;
    case PF_DRAIN:
        apply_drain(v, name, false, rev, now_us);
        break;
    case PF_VM:
        remove_vm(v, name, rev);
        break;
    case PF_CONFIG: /* the current one stays in effect */
    case PF_OTHER:
        break;
    }
}

void
view_apply(View *v, const char *key, GBytes *value, uint64_t rev,
           int64_t now_us)
{
    Str name;
    Str text = {NULL, 0};
    PfKind kind = pf_parse_key(key, &name);

    if (value != NULL) {
        text.p = g_bytes_get_data(value, &text.n);
        apply_value(v, kind, name, text, rev, now_us);
    }
    else {
        apply_removal(v, kind, name, rev, now_us);
    }
    ups_expire(v->o.upstreams, now_us);
}
