/*
 * sharers - the VMs among which limits of all VMs together are divided.
 *
 * Each VM takes a share of such a limit without asking the others, so the sum
 * is kept only if no two VMs count on the same share.  The VMs learn of
 * changes of their list at different times.  A share therefore shrinks at once
 * and grows late:
 *
 * - A VM that joins counts at once, but takes a share only after settle_us,
 *   when all others have heard of it.
 * - A VM that leaves the list keeps its share for hold_us, as it may run and
 *   not know that its entry is gone.
 * - A VM whose own entry was not renewed gives up its share settle_us before
 *   others may take it.  When it has written its entry again, it joins anew.
 *
 * Until the list was read, the number of VMs is not known and no share is
 * taken.  The module does no I/O and reads no clock; times are in
 * microseconds, of a clock that runs while the machine is suspended.
 */
#ifndef MIMOSA_SHARERS_H
#define MIMOSA_SHARERS_H

#include <stdbool.h>
#include <stdint.h>

#include "pick.h"

typedef struct SharersOpts {
    uint64_t self;     /* key of this VM */
    int64_t settle_us; /* longest time for a change to reach all VMs */
    int64_t hold_us;   /* time for which a VM that left keeps its share */
} SharersOpts;

typedef struct Sharers Sharers;

Sharers *sharers_new(const SharersOpts *o);
void sharers_free(Sharers *s);

/* Takes over the list of VMs.  complete: the list is known to be as recent as
 * the store's own answers.  valid_until_us: time until which the entry of this
 * VM stays in the store even if it is not renewed.  Returns true if the
 * results of the functions below have changed. */
bool sharers_update(Sharers *s, const PickVm *vms, int n, bool complete,
                    int64_t valid_until_us, int64_t now_us);

/* The VMs that may take a share, this one included, in an order that does not
 * depend on the list's; valid until the next update.  Returns their number, 0
 * while it is not known. */
int sharers_list(const Sharers *s, const PickVm **vms);

/* Index of this VM in the list, or -1 while it takes no share. */
int sharers_self(const Sharers *s);

#endif
