/*
 * control - tasks of mimosa-control and the messages between them.
 *
 * Each task owns its sockets, timers and state behind a pointer of Control;
 * the others reach it only through the functions below.
 */
#ifndef MIMOSA_CONTROL_H
#define MIMOSA_CONTROL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "cfg.h"
#include "ctr.h"
#include "memb.h"
#include "own.h"
#include "settings.h"
#include "shift.h"
#include "snap.h"
#include "storehttp.h"
#include "storelimit.h"
#include "xdrio.h"

#define CONTROL_TICK_MS 100

typedef struct ControlStore ControlStore;
typedef struct ControlRoster ControlRoster;
typedef struct ControlJournal ControlJournal;
typedef struct ControlPeer ControlPeer;
typedef struct ControlPromises ControlPromises;
typedef struct ControlFetch ControlFetch;
typedef struct ControlDigest ControlDigest;
typedef struct ControlLocal ControlLocal;
typedef struct ControlRows ControlRows;

typedef struct ControlOpts {
    double fault_loss; /* share of RPC messages to drop */
    uint32_t fault_seed;
    const char *fault_cut_file; /* zone is cut off while the file exists */
} ControlOpts;

typedef struct Control {
    Settings set;
    ControlOpts opts;
    uint64_t incarnation;
    GMainLoop *loop;
    GRand *rnd;
    GRand *fault_rnd;
    bool cut;
    CtrSet *ctrs;
    Memb *memb;
    Own *own;
    Cfg *cfg;
    StoreLimit q;
    RpcOpts rpc_zone;  /* towards VMs of the zone */
    RpcOpts rpc_other; /* towards other zones; dropped while cut */
    RpcServer *server;
    OwnMode last_mode;
    bool leaving;
    bool released; /* nothing of this VM acts on the roster any more */
    int64_t leaving_us;
    int64_t released_us;
    StoreHttp *http;
    ControlStore *store;
    ControlRoster *roster;
    ControlJournal *journal;
    ControlPeer *peer;
    ControlFetch *fetch;
    ControlDigest *digest;
    ControlLocal *local;
    ControlRows *rows;
} Control;

/* Program (control_main.c) and core (control_core.c). */
Control *control_new(const Settings *s, const ControlOpts *o, Err *e);
void control_free(Control *c);
/* Begins a planned stop; the main loop is quit when it is done. */
void control_leave(Control *c);
Ctr *control_ctr(Control *c, const char *name);

/* Offers an envelope; source names where it came from in the log. */
CfgOfferResult control_offer(Control *c, Str envelope, const char *source);
/* Offers a roster of the own zone. */
bool control_adopt(Control *c, const OwnRoster *r, const char *source);
/* News of a VM; logs what changed. */
void control_news(Control *c, const MembVm *vm, int64_t age_us);
/* True when the VM is in this VM's zone. */
bool control_near(const Control *c, const MembVm *vm);

/* Task control_store: configuration, VM list, rows and journal in the store.
 */
ControlStore *control_store_new(Control *c);
void control_store_free(ControlStore *s);
void control_store_step(ControlStore *s, int64_t now_us);
/* Whether the config key was read, or its absence seen, since the start. */
bool control_store_config_known(const ControlStore *s);
/* Asks for the VM list again soon. */
void control_store_want_vms(ControlStore *s);
/* True when the VM list is fresh, names this VM and does not name that one. */
bool control_store_unlisted(const ControlStore *s, const char *id,
                            int64_t now_us);
void control_store_text(const ControlStore *s, GString *out);

/* Task control_journal: keys "journal/ZONE/VM". */
ControlJournal *control_journal_new(Control *c);
void control_journal_free(ControlJournal *j);
void control_journal_step(ControlJournal *j, int64_t now_us);
/* A batch of the local entry. */
void control_journal_add(ControlJournal *j, const char *data, size_t n);
/* The batches of a former member are read for the local entry. */
void control_journal_want(ControlJournal *j, const char *id);

/* Task control_roster: the roster key, confirmations and changes. */
ControlRoster *control_roster_new(Control *c);
void control_roster_free(ControlRoster *r);
void control_roster_step(ControlRoster *r, int64_t now_us);
/* A VM stopped acting on its own: it needs no reserve. */
void control_roster_released(ControlRoster *r, const char *id,
                             uint64_t incarnation);

/* Task control_peer: heartbeats, rosters and configuration of peers. */
ControlPeer *control_peer_new(Control *c);
void control_peer_free(ControlPeer *p);
void control_peer_step(ControlPeer *p, int64_t now_us);
/* Sends heartbeats now: the version, the roster or leaving changed. */
void control_peer_push(ControlPeer *p);
bool control_peer_call(ControlPeer *p, RpcReq *r, uint32_t proc);
/* The client for an address, made at first use. */
RpcClient *control_peer_client(ControlPeer *p, const char *address, bool near);

/* Task control_fetch: reads newer versions from peers. */
ControlFetch *control_fetch_new(Control *c);
void control_fetch_free(ControlFetch *p);
/* Reads the configuration of the control at an address; near: in the own
 * zone.  Does nothing while a read is under way. */
void control_fetch_config(ControlFetch *p, const char *address, bool near,
                          uint64_t version);
void control_fetch_roster(ControlFetch *p, const char *address);
bool control_fetch_busy(const ControlFetch *p);
void control_fetch_serve_config(Control *c, RpcReq *r);
void control_fetch_serve_roster(Control *c, RpcReq *r);

/* Promises of a large zone that its relay passes on; part of control_peer. */
ControlPromises *control_promises_new(Control *c);
void control_promises_free(ControlPromises *p);
bool control_promises_large(const Control *c);
/* The relay keeps a member's promise, and tells a member of all others. */
void control_promises_take(ControlPromises *p, const ms_heartbeat *h,
                           int64_t now);
void control_promises_put_all(ControlPromises *p, const char *id,
                              ms_heartbeat_res *res, int64_t now);
/* A member takes what the relay passed on. */
void control_promises_take_all(Control *c, const ms_heartbeat_res *r,
                               int64_t asked_us);

/* Task control_digest: summaries of zones. */
ControlDigest *control_digest_new(Control *c);
void control_digest_free(ControlDigest *d);
void control_digest_step(ControlDigest *d, int64_t now_us);
void control_digest_push(ControlDigest *d);
void control_digest_serve(ControlDigest *d, RpcReq *r);
/* Load of a service in a zone; false when none is known. */
bool control_digest_load(const ControlDigest *d, const char *zone, int service,
                         SnapLoad *out);

/* Task control_local: entry and lookup of this VM. */
ControlLocal *control_local_new(Control *c);
void control_local_free(ControlLocal *l);
void control_local_step(ControlLocal *l, int64_t now_us);
/* The snapshot has to be made anew. */
void control_local_dirty(ControlLocal *l);
void control_local_snapshot(ControlLocal *l, RpcReq *r);
void control_local_report(ControlLocal *l, RpcReq *r);
/* Loads as the local entry reported them. */
const SnapReport *control_local_loads(const ControlLocal *l, int64_t now_us);
/* Epoch that the local entry acts on. */
uint64_t control_local_acted_epoch(const ControlLocal *l, int64_t now_us);
/* True when no entry runs here, as far as its calls tell. */
bool control_local_entry_gone(const ControlLocal *l, int64_t now_us);
/* Hands a former member's batch to the local entry. */
void control_local_journal(ControlLocal *l, GBytes *batch);
void control_local_text(const ControlLocal *l, GString *out);

/* Answers of mimosactl (control_status.c). */
void control_status(Control *c, RpcReq *r);
void control_explain(Control *c, RpcReq *r);

/* Task control_rows: wanted shares and rows in force. */
ControlRows *control_rows_new(Control *c);
void control_rows_free(ControlRows *r);
void control_rows_step(ControlRows *r, int64_t now_us);
/* The configuration changed. */
void control_rows_config(ControlRows *r, int64_t now_us);
/* True when rows are in force. */
bool control_rows_ready(const ControlRows *r);
const ShiftRow *control_rows_at(const ControlRows *r, int service, int home);
/* Takes shares of a row by names, from a peer or the store. */
void control_rows_offer(ControlRows *r, const char *service, const char *home,
                        int n, char *const *zones, const double *shares);
/* The rows of a source are complete. */
void control_rows_offered(ControlRows *r, const char *source, int64_t now_us);
/* Rows for a digest; free with control_rows_clear(). */
void control_rows_put(const ControlRows *r, ms_row **rows, u_int *n);
void control_rows_clear(ms_row *rows, u_int n);
bool control_rows_zone_up(const Control *c, int zone);

#endif
