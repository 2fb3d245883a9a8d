/*
 * mimosascale - public header: the decisions and what they need.
 *
 * All decisions are pure: state, inputs and the present time in; decision,
 * reason and new state out.  They do no I/O and read no clock, so that a
 * program can drive them without a network.
 */
#ifndef MIMOSASCALE_H
#define MIMOSASCALE_H

#define MIMOSA_VERSION "0.1.0"

#include "adm.h"
#include "cfg.h"
#include "ctr.h"
#include "err.h"
#include "hash.h"
#include "health.h"
#include "idem.h"
#include "inv.h"
#include "limits.h"
#include "link.h"
#include "lookup.h"
#include "manifest.h"
#include "memb.h"
#include "own.h"
#include "placement.h"
#include "retry.h"
#include "shift.h"
#include "slot.h"
#include "storelimit.h"
#include "str.h"
#include "suspect.h"

#endif
