/*
 * fleet - the installation of the cases: 8 entry VMs in 6 zones, 20 targets of
 * portfolio and 12 of contracts.
 */
#ifndef FLEET_H
#define FLEET_H

#include "plat.h"

#define FLEET_EDGES 8

/* Sends a configuration whose route /fee/ leads to a service, and /book/ to
 * portfolio.  Returns the time of the ack. */
int64_t fleet_put_config(int version, const char *fee_service);

/* Starts the targets and the entry VMs with version 3 (/fee/ to contracts).
 * Returns false, with all VMs stopped, if one isn't ready in time. */
bool fleet_start(PlatEdge **edges);

#endif
