/*
 * plat - a small platform for the cases of the second review: the store, the
 * targets, the operator and the clients, as threads of one process that also
 * starts the entry VMs.
 *
 * The store keeps to PROTOCOL.md and to the part on Store-Era in the letters:
 * items, lists, watches, transactions without preconditions, and leases.
 * Conditional transactions are not needed, and are answered with 501.  All
 * times are milliseconds since plat_start().
 */
#ifndef PLAT_H
#define PLAT_H

#include <stdbool.h>
#include <stdint.h>

#define PLAT_TARGETS_MAX 64
#define PLAT_EDGES_MAX 8
#define PLAT_HOST "desk.example"

typedef enum PlatAway {
    PLAT_HERE,
    PLAT_SILENT, /* calls get no answer */
    PLAT_RESET   /* connections are reset */
} PlatAway;

typedef struct PlatTarget {
    const char *service;
    const char *zone;
    char id[32];
    int port;
    int listener;
    uint64_t born_ms; /* Unix time */
} PlatTarget;

typedef struct PlatEdge {
    const char *id;
    const char *zone;
    int port[5]; /* requests, ready, directory, peers, metrics */
    int pid;
    char log[256];
} PlatEdge;

typedef struct PlatAnswer {
    int status; /* 0: the connection ended without an answer */
    char service[32];
    int64_t sent_ms;
    int64_t ended_ms;
} PlatAnswer;

/* Opens the record and the listener of the store.  dir: for settings and logs.
 */
void plat_start(const char *record_file, const char *dir);
int64_t plat_now(void);
void plat_sleep_until(int64_t at_ms);
void plat_log(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Adds a target, which reports to the store every 1.5 s. */
void plat_add_target(const char *service, const char *zone);

/* Starts an entry VM with the command and settings of the deploy file. */
PlatEdge *plat_add_edge(const char *id, const char *zone);
bool plat_wait_ready(const PlatEdge *e, int64_t until_ms);
void plat_stop_edges(void);

/* Writes a key as the operator, also while the store turns others away.
 * Returns the time of the ack. */
int64_t plat_operator_put(const char *key, const char *value);

/* The store takes a copy of itself. */
void plat_store_copy(void);
/* The store is away for the system's machines and the targets. */
void plat_store_leave(PlatAway how);
/* The store comes back, from its copy if from_copy, and the targets then
 * write their entries again. */
void plat_store_return(bool from_copy);

/* Sends a request over a kept connection of the calling thread.  *fd: -1 at
 * first. */
PlatAnswer plat_request(int *fd, const PlatEdge *e, const char *method,
                        const char *path, const char *id);

#endif
