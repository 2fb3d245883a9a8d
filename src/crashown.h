/*
 * crashown - the VMs that count the crashes of a fingerprint.
 *
 * The owners are chosen by rendezvous hashing (Thaler and Ravishankar, 1998),
 * so that all VMs with the same list agree and a change of the list moves few
 * fingerprints.  Each region with VMs has an owner, and there are at least
 * CRASHOWN_MIN if there are as many VMs, so that the loss of a VM, a zone or
 * a region leaves one.
 */
#ifndef MIMOSA_CRASHOWN_H
#define MIMOSA_CRASHOWN_H

#include <stdint.h>

#include "limits.h"
#include "pick.h"

#define CRASHOWN_MIN 3
#define CRASHOWN_MAX (REGIONS_MAX + CRASHOWN_MIN)

/* Fills out with indexes of the list of VMs; returns their number. */
int crashown_list(const PickVm *vms, int n, uint64_t fingerprint,
                  int out[CRASHOWN_MAX]);

#endif
