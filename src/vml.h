/*
 * vml - the entry VMs that exist, and the answers of the directory.
 *
 * Each VM keeps a record under a lease in the platform's store; the records
 * make the list.  Heartbeats between VMs tell sooner that one leaves.  Pure.
 */
#ifndef MIMOSA_VML_H
#define MIMOSA_VML_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "pick.h"
#include "topology.h"
#include "str.h"

#define VML_RECORD_BYTES 512

typedef struct Vm {
    char id[NAME_BYTES];
    uint64_t key; /* hash of the id */
    char entry[ADDR_BYTES];
    struct sockaddr_in peer; /* for heartbeats */
    int zone;
    int region;
    bool leaving;
    uint64_t boot_ms;
    int64_t heartbeat_us;      /* last heartbeat; 0: none */
    int64_t heartbeat_sent_us; /* what it said of its clock then */
    int64_t rtt_us;            /* round trip to it; 0: not known */
} Vm;

typedef struct Vml Vml;

Vml *vml_new(const Topology *places);
void vml_free(Vml *l);

/* Record of a VM as text, and back.  Errors: ERR_SYNTAX. */
void vml_format(const Vm *v, const Topology *p, char *out, size_t cap);
bool vml_parse(Vm *v, Str id, Str text, const Topology *p, Err *e);

/* Adds or replaces a VM; heartbeats seen so far are kept. */
void vml_put(Vml *l, const Vm *v);
void vml_remove(Vml *l, Str id);
Vm *vml_find(Vml *l, Str id);
int vml_count(const Vml *l);
const Vm *vml_at(const Vml *l, int i);

/* Takes a measured round trip; queues and retransmissions only add to the
 * true one, so that low values count at once and high ones slowly. */
void vml_observe_rtt(Vm *v, int64_t us);

/* Longest round trip to any region, by its nearest VM; 0: not known. */
int64_t vml_max_rtt_us(const Vml *l);

/* Index of the VM with that id, or -1. */
int vml_index(const Vml *l, const char *id);

/*
 * Entry addresses for a caller, best first: its own zone, then its region,
 * then the others; only what is needed for two that live.  Leaving VMs, and
 * those from which heartbeats stopped, all come when no other is left.
 * zone or region may be unknown (-1).  Returns the count, at most max.
 */
int vml_resolve(const Vml *l, int zone, int region, const char **out, int max,
                int64_t now_us);

#endif
