/* dgram - XDR datagrams between entry VMs.  See dgram.h. */
#include "dgram.h"

#include <arpa/inet.h>
#include <string.h>

size_t
dgram_encode(DgramFn fn, void *obj, char *out, size_t cap)
{
    XDR x;

    xdrmem_create(&x, out, (u_int)cap, XDR_ENCODE);
    size_t n = fn(&x, obj) ? xdr_getpos(&x) : 0;
    xdr_destroy(&x);
    return n;
}

bool
dgram_decode(DgramFn fn, void *obj, const char *p, size_t n)
{
    char buf[DGRAM_BYTES_MAX];
    XDR x;

    if (n > sizeof(buf)) {
        return false;
    }
    memcpy(buf, p, n);
    xdrmem_create(&x, buf, (u_int)n, XDR_DECODE);
    bool ok = fn(&x, obj) != FALSE;
    xdr_destroy(&x);
    return ok;
}

bool
dgram_is(const char *p, size_t n, uint32_t magic)
{
    uint32_t first;

    if (n < sizeof(first)) {
        return false;
    }
    memcpy(&first, p, sizeof(first));
    return ntohl(first) == magic;
}
