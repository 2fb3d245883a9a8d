/*
 * vml - list of the entry VMs, and the addresses that the directory returns.
 *
 * Each VM keeps a record under a lease in the platform's store; the list is
 * made of these records.  Heartbeats announce the shutdown of a VM earlier
 * than the store does.  The module does no I/O and reads no clock.
 */
#ifndef MIMOSA_VML_H
#define MIMOSA_VML_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "peerclock.h"
#include "pick.h"
#include "topology.h"
#include "str.h"

#define VML_RECORD_BYTES 512

typedef struct Vm {
    char id[NAME_BYTES];
    uint64_t key;            /* hash of the id */
    char entry[ADDR_BYTES];  /* address for callers, "IP:PORT" */
    struct sockaddr_in peer; /* for heartbeats */
    int zone;
    int region;
    bool leaving;            /* it is shutting down */
    uint64_t boot_ms;        /* wall time of its start */
    uint64_t listed_boot_ms; /* that of its entry in the store; a heartbeat may
                                bring a later one */
    uint64_t ended_boot_ms;  /* start before that; 0: not known */
    int64_t heartbeat_us; /* when its last heartbeat was received; 0: none */
    int64_t heartbeat_read_us; /* the same, not before it arrived */
    /* When it sent that heartbeat, by its own clock. */
    int64_t heartbeat_sent_us;
    int64_t rtt_us; /* round-trip time to it; 0: not known */
    PeerClock clock;
    int64_t echo_asked_us; /* when it was last asked for an echo; 0: never */
} Vm;

typedef struct Vml Vml;

Vml *vml_new(const Topology *topology);
void vml_free(Vml *l);

/* Formats the record of a VM as text and parses it.  Errors: ERR_SYNTAX. */
void vml_format(const Vm *v, const Topology *p, char *out, size_t cap);
bool vml_parse(Vm *v, Str id, Str text, const Topology *p, Err *e);

/* Adds or replaces a VM.  The round-trip time is kept, and the times of the
 * last heartbeat too unless the VM was restarted. */
void vml_put(Vml *l, const Vm *v);
void vml_remove(Vml *l, Str id);
Vm *vml_find(Vml *l, Str id);
/* Returns the VM with that Vm.key, or NULL. */
Vm *vml_find_key(Vml *l, uint64_t key);
int vml_count(const Vml *l);
const Vm *vml_at(const Vml *l, int i);

/* Records a measured round-trip time.  Queues and retransmissions only add to
 * the true value, so a lower sample replaces the estimate at once, while
 * higher ones raise it slowly. */
void vml_observe_rtt(Vm *v, int64_t us);

/* This VM was paused for that time, in which it received no heartbeats: they
 * do not count as missing, and the next ones measure no round trip. */
void vml_paused(Vml *l, int64_t pause_us);

/* Longest round-trip time to any region, measured to its nearest VM; 0: not
 * known. */
int64_t vml_max_rtt_us(const Vml *l);

/* Index of the VM with that id, or -1. */
int vml_index(const Vml *l, const char *id);

/*
 * Entry addresses for a caller: those of its own zone, then of its region,
 * then the others, and only as many of these groups as give two live VMs.
 * VMs that are shutting down, or whose heartbeats stopped, are used only when
 * no other VM is left; all VMs are returned then.
 * zone or region may be unknown (-1).  Returns the count, at most max.
 */
int vml_resolve(const Vml *l, int zone, int region, const char **out, int max,
                int64_t now_us);

#endif
