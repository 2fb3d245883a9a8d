/* vml - list of the entry VMs.  See vml.h. */
#include "vml.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "strm.h"

/* A VM whose heartbeats stop for this time counts as dead; several heartbeats
 * are due within it.  In a large fleet a VM receives heartbeats of another one
 * less often, so the time is multiplied by the number of VMs of its region
 * over TIMEOUT_VMS. */
#define HEARTBEAT_TIMEOUT_US 2500000
#define TIMEOUT_VMS 4
#define ADDRESSES_WANTED 2
/* A higher sample raises the round-trip time by 1 / RTT_RISE_SAMPLES of the
 * difference, so that a longer round trip shows after about as many
 * heartbeats. */
#define RTT_RISE_SAMPLES 64

struct Vml {
    const Topology *topology;
    GArray *vms; /* Vm, in the order of their ids */
};

Vml *
vml_new(const Topology *topology)
{
    Vml *l = g_new0(Vml, 1);

    l->topology = topology;
    l->vms = g_array_new(FALSE, TRUE, sizeof(Vm));
    return l;
}

void
vml_free(Vml *l)
{
    g_array_free(l->vms, TRUE);
    g_free(l);
}

void
vml_format(const Vm *v, const Topology *p, char *out, size_t cap)
{
    char ip[INET_ADDRSTRLEN];

    inet_ntop(AF_INET, &v->peer.sin_addr, ip, sizeof(ip));
    snprintf(out, cap, "entry=%s peer=%s:%d zone=%s leaving=%d boot=%llu",
             v->entry, ip, ntohs(v->peer.sin_port), p->zones[v->zone],
             v->leaving ? 1 : 0, (unsigned long long)v->boot_ms);
}

bool
vml_parse(Vm *v, Str id, Str text, const Topology *p, Err *e)
{
    char buf[VML_RECORD_BYTES];
    char peer[ADDR_BYTES];
    char zone[NAME_BYTES];
    char leaving[NAME_BYTES];
    char boot[NAME_BYTES];
    uint64_t flag;
    struct sockaddr_in entry;

    memset(v, 0, sizeof(*v));
    if (!str_copy(v->id, sizeof(v->id), id) || !str_is_visible(id) ||
        !str_copy(buf, sizeof(buf), text) ||
        sscanf(buf, "entry=%63s peer=%63s zone=%63s leaving=%63s boot=%63s",
               v->entry, peer, zone, leaving, boot) != 5 ||
        !str_u64(str_of(leaving), 1, &flag) ||
        !str_u64(str_of(boot), INT64_MAX, &v->boot_ms)) {
        return err_set(
            e, ERR_SYNTAX,
            "VM record: expected \"entry= peer= zone= leaving= boot=\"; "
            "delete the key, and its VM writes it again");
    }
    v->zone = topology_zone(p, str_of(zone));
    if (v->zone < 0 || !strm_parse_addr(str_of(peer), &v->peer) ||
        !strm_parse_addr(str_of(v->entry), &entry)) {
        return err_set(e, ERR_SYNTAX,
                       "VM record: unknown zone \"%s\" or bad address; "
                       "delete the key, and its VM writes it again",
                       zone);
    }
    v->key = hash_str(id, 0);
    v->listed_boot_ms = v->boot_ms;
    v->region = p->region_of[v->zone];
    v->leaving = flag != 0;
    return true;
}

int
vml_count(const Vml *l)
{
    return (int)l->vms->len;
}

const Vm *
vml_at(const Vml *l, int i)
{
    return &g_array_index(l->vms, Vm, i);
}

int
vml_index(const Vml *l, const char *id)
{
    for (int i = 0; i < vml_count(l); i++) {
        if (strcmp(vml_at(l, i)->id, id) == 0) {
            return i;
        }
    }
    return -1;
}

Vm *
vml_find(Vml *l, Str id)
{
    for (guint i = 0; i < l->vms->len; i++) {
        Vm *v = &g_array_index(l->vms, Vm, i);
        if (str_eqz(id, v->id)) {
            return v;
        }
    }
    return NULL;
}

Vm *
vml_find_key(Vml *l, uint64_t key)
{
    for (guint i = 0; i < l->vms->len; i++) {
        Vm *v = &g_array_index(l->vms, Vm, i);
        if (v->key == key) {
            return v;
        }
    }
    return NULL;
}

/* Index at which a VM with that id is inserted; the list is ordered by id. */
static int
insert_index(const Vml *l, const char *id)
{
    for (int i = 0; i < vml_count(l); i++) {
        if (g_strcmp0(vml_at(l, i)->id, id) > 0) {
            return i;
        }
    }
    return vml_count(l);
}

void
vml_put(Vml *l, const Vm *v)
{
    Vm *old = vml_find(l, str_of(v->id));

    if (old != NULL) {
        Vm prev = *old;
        *old = *v;
        old->rtt_us = prev.rtt_us;
        old->ended_boot_ms = prev.boot_ms;
        if (prev.boot_ms == v->boot_ms) {
            old->ended_boot_ms = prev.ended_boot_ms;
            old->heartbeat_us = prev.heartbeat_us;
            old->heartbeat_read_us = prev.heartbeat_read_us;
            old->heartbeat_sent_us = prev.heartbeat_sent_us;
            old->clock = prev.clock;
            old->echo_asked_us = prev.echo_asked_us;
        }
        return;
    }
    g_array_insert_val(l->vms, (guint)insert_index(l, v->id), *v);
}

void
vml_remove(Vml *l, Str id)
{
    for (guint i = 0; i < l->vms->len; i++) {
        if (str_eqz(id, g_array_index(l->vms, Vm, i).id)) {
            g_array_remove_index(l->vms, i);
            return;
        }
    }
}

void
vml_observe_rtt(Vm *v, int64_t us)
{
    if (v->rtt_us == 0 || us < v->rtt_us) {
        v->rtt_us = MAX(us, 1);
    }
    else {
        v->rtt_us += (us - v->rtt_us) / RTT_RISE_SAMPLES;
    }
}

void
vml_paused(Vml *l, int64_t pause_us)
{
    for (guint i = 0; i < l->vms->len; i++) {
        Vm *v = &g_array_index(l->vms, Vm, i);
        if (v->heartbeat_us != 0) {
            v->heartbeat_us += pause_us;
            v->heartbeat_sent_us = 0;
        }
    }
}

int64_t
vml_max_rtt_us(const Vml *l)
{
    int64_t nearest[REGIONS_MAX] = {0};
    int64_t max_us = 0;

    for (int i = 0; i < vml_count(l); i++) {
        const Vm *v = vml_at(l, i);
        if (v->rtt_us > 0 &&
            (nearest[v->region] == 0 || v->rtt_us < nearest[v->region])) {
            nearest[v->region] = v->rtt_us;
        }
    }
    for (int r = 0; r < l->topology->n_regions; r++) {
        max_us = MAX(max_us, nearest[r]);
    }
    return max_us;
}

static bool
is_alive(const Vml *l, const Vm *v, int64_t now_us)
{
    int in_region = 0;

    for (int i = 0; i < vml_count(l); i++) {
        in_region += vml_at(l, i)->region == v->region ? 1 : 0;
    }
    int64_t timeout_us =
        HEARTBEAT_TIMEOUT_US * MAX(1, in_region / TIMEOUT_VMS);
    return !v->leaving &&
           (v->heartbeat_us == 0 || now_us - v->heartbeat_us < timeout_us);
}

/* Returns 0 for the same zone, 1 for the same region, 2 for another region. */
static int
distance(const Vm *v, int zone, int region)
{
    if (v->zone == zone) {
        return 0;
    }
    return v->region == region ? 1 : 2;
}

int
vml_resolve(const Vml *l, int zone, int region, const char **out, int max,
            int64_t now_us)
{
    int n = 0;

    for (int pass = 0; pass < 2 && n == 0; pass++) {
        for (int d = 0; d <= 2 && (n < ADDRESSES_WANTED || pass == 1); d++) {
            for (int i = 0; i < vml_count(l) && n < max; i++) {
                const Vm *v = vml_at(l, i);
                if (distance(v, zone, region) == d &&
                    (pass == 1 || is_alive(l, v, now_us))) {
                    out[n++] = v->entry;
                }
            }
        }
    }
    return n;
}
