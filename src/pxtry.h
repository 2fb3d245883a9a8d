/*
 * pxtry - attempts of a request at upstreams: choice, sending, response, and
 * the retry after a failed attempt.  Internal to px.
 */
#ifndef MIMOSA_PXTRY_H
#define MIMOSA_PXTRY_H

#include "pxreq.h"

/* Chooses the upstream for the next attempt, or returns NULL when there is
 * none; sets r->why. */
Ups *pxtry_pick(Req *r, int64_t now_us);

/* Sends the request to u, and to other upstreams where a retry is allowed. */
void pxtry_start(Req *r, Ups *u, int64_t now_us);

/* To be called when the kernel has accepted all response bytes; resumes reads
 * from the upstream, which a large backlog of the caller suspended. */
void pxtry_caller_flushed(Req *r);

#endif
