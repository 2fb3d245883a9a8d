/*
 * dgram - XDR datagrams between entry VMs, each with a magic number first.
 */
#ifndef MIMOSA_DGRAM_H
#define MIMOSA_DGRAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#define DGRAM_BYTES_MAX 1400 /* fits one packet on common links */

/* Encodes or decodes the object that obj points to. */
typedef bool_t (*DgramFn)(XDR *x, void *obj);

/* Returns the length, or 0 if cap is too small.  obj is not changed unless fn
 * changes it while it encodes. */
size_t dgram_encode(DgramFn fn, void *obj, char *out, size_t cap);

/* False if the bytes are cut short, of another format, or more than
 * DGRAM_BYTES_MAX. */
bool dgram_decode(DgramFn fn, void *obj, const char *p, size_t n);

/* True if the bytes begin with that magic number. */
bool dgram_is(const char *p, size_t n, uint32_t magic);

#endif
