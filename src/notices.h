/*
 * notices - what starts of upstreams have said of themselves.
 *
 * Kept apart from the entries of discovery, so that the loss of an entry does
 * not undo a notice.  A notice belongs to one start, which its id, boot time
 * and address identify; a later start has none.  No I/O and no clock.
 */
#ifndef MIMOSA_NOTICES_H
#define MIMOSA_NOTICES_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

typedef struct Notice {
    uint64_t boot_ms;
    struct sockaddr_storage addr;
    bool leaving;
    int64_t wait_until_us; /* it wants to be sent nothing before */
    int64_t at_us;         /* last change */
} Notice;

typedef struct Notices Notices;

Notices *notices_new(void);
void notices_free(Notices *n);

/* Returns the notice of a start, or NULL. */
const Notice *notices_find(const Notices *n, const char *id, uint64_t boot_ms,
                           const struct sockaddr_storage *addr);

/* Returns the notice of a start for a change of it, and adds it if needed. One
 * that was not changed for an hour may be dropped; outages of the store, after
 * which entries reappear, are shorter. */
Notice *notices_change(Notices *n, const char *id, uint64_t boot_ms,
                       const struct sockaddr_storage *addr, int64_t now_us);

#endif
