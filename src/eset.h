/*
 * eset - settings of mimosa-edge, an INI file that is validated when read.
 *
 * [vm]      id, zone, memory_mb, descriptors, link_mbps (rate of its link,
 *           100 if it is missing or empty)
 * [zones]   ZONE = REGION, one line per zone
 * [listen]  requests, ready, directory, peers, metrics ("IP:PORT" each)
 * [store]   address
 * [bounds]  drain, configuration, stop, directory_ttl (durations),
 *           max_shift (largest fraction of a region's requests that moves
 *           between regions in 2 s), retry_ratio (retries per request),
 *           retry_slack (further retries per window; both for all VMs),
 *           retry_window (duration)
 */
#ifndef MIMOSA_ESET_H
#define MIMOSA_ESET_H

#include <netinet/in.h>
#include <stdint.h>

#include "err.h"
#include "limits.h"
#include "topology.h"

typedef struct Eset {
    char vm_id[NAME_BYTES];
    int zone;
    Topology topology;
    int memory_mb;
    int descriptors;
    double link_mbps;
    char requests_text[ADDR_BYTES]; /* as the directory returns it */
    struct sockaddr_in requests;
    struct sockaddr_in ready;
    struct sockaddr_in directory;
    struct sockaddr_in peers;
    struct sockaddr_in metrics;
    struct sockaddr_in store;
    int64_t drain_us;  /* until a draining upstream gets no new request */
    int64_t config_us; /* until a new configuration is in force */
    int64_t stop_us;   /* from SIGTERM until the VM is killed */
    int64_t directory_ttl_us;
    double max_shift;
    double retry_ratio;
    double retry_slack;
    int64_t retry_window_us;
} Eset;

/* Errors: ERR_IO, ERR_SYNTAX, ERR_VALUE.  The text names the file, group, key,
 * value, the allowed values and the remedy. */
bool eset_read(Eset *s, const char *file, Err *e);

#endif
