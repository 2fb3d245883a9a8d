/*
 * pxtry - attempts of a request at upstreams: choice, send, answer, and what
 * follows the end of an attempt.  Internal to px.
 */
#ifndef MIMOSA_PXTRY_H
#define MIMOSA_PXTRY_H

#include "pxreq.h"

/* The upstream for the next attempt; NULL: r->why says why there is none. */
Ups *pxtry_pick(Req *r, int64_t now_us);

/* Sends the request there, and again elsewhere where that is allowed. */
void pxtry_start(Req *r, Ups *u, int64_t now_us);

/* The caller has taken what was written; more of the answer may be read. */
void pxtry_caller_flushed(Req *r);

#endif
