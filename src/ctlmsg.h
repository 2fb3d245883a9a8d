/*
 * ctlmsg - converts between the messages of ctl.x and the types of memb and
 * snap.  Strings and lists of a message point into the source, unless a
 * function states otherwise; they stay valid as long as the source.
 */
#ifndef MIMOSA_CTLMSG_H
#define MIMOSA_CTLMSG_H

#include "ctl.h"
#include "err.h"
#include "memb.h"
#include "snap.h"

/* Fills a message; its strings point into vm.  The age is the time from
 * vm->heard_us to now_us, in ms, limited to one hour. */
void ctlmsg_put_vm(ms_vm *out, const MembVm *vm, int64_t now_us);

/* Copies a message and sets a free_slots value that is negative or not finite
 * to 0.  Errors: ERR_PROTOCOL if the VM or zone name is invalid. */
bool ctlmsg_get_vm(MembVm *out, const ms_vm *vm, Err *e);

/* Fills a report.  The lists loads and zone_bad are allocated; free them with
 * ctlmsg_clear_report(). */
void ctlmsg_put_report(ms_report *out, const char *program,
                       const SnapReport *r, int n_zones);
void ctlmsg_clear_report(ms_report *r);
/* Releases an array of loads with what they hold. */
void ctlmsg_free_loads(ms_load *loads, u_int n);

/* Fills a message; its list demand is allocated, to be freed by g_free(). */
void ctlmsg_put_load(ms_load *out, const SnapLoad *l, int n_zones);

/* Copies a message.  Errors: ERR_PROTOCOL if the service or a home zone is out
 * of range. */
bool ctlmsg_get_load(SnapLoad *out, const ms_load *l, Err *e);

/*
 * Builds a snapshot from a reply of control and its body b.  config may be
 * NULL: no configuration yet.  Errors: ERR_PROTOCOL if a VM is invalid or the
 * lists do not match the configuration.
 */
Snapshot *ctlmsg_snapshot(const ms_snapshot_res *reply, const ms_snap_body *b,
                          SnapConfig *config, Err *e);

#endif
