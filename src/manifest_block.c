/* manifest_block - reads, writes and compares the blocks of client addresses
 * of a manifest.  See manifest_int.h. */
#include "manifest_int.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#define V4_PREFIX_BITS 96 /* IPv4 addresses are mapped to ::ffff:0:0/96 */

int
manifest_block_cmp(const void *a, const void *b)
{
    const MfBlock *x = a;
    const MfBlock *y = b;
    int c = memcmp(x->addr, y->addr, sizeof(x->addr));

    return c != 0 ? c : (int)x->bits - (int)y->bits;
}

static bool
host_bits_zero(const MfBlock *b)
{
    for (int i = b->bits; i < 128; i++) {
        if ((b->addr[i / 8] & (0x80 >> (i % 8))) != 0) {
            return false;
        }
    }
    return true;
}

/* Parses an address and sets *max_bits to its width, 32 or 128.  Returns the
 * number of bits before the address in the 128-bit form, 96 or 0, or -1 if the
 * text is not an address. */
static int
read_address(uint8_t addr[16], const char *text, uint64_t *max_bits)
{
    memset(addr, 0, 16);
    if (inet_pton(AF_INET, text, addr + 12) == 1) {
        addr[10] = 0xff;
        addr[11] = 0xff;
        *max_bits = 32;
        return V4_PREFIX_BITS;
    }
    if (inet_pton(AF_INET6, text, addr) == 1) {
        *max_bits = 128;
        return 0;
    }
    return -1;
}

bool
manifest_block_read(MfBlock *b, Str text, Err *e)
{
    const char *slash = text.n > 0 ? memchr(text.p, '/', text.n) : NULL;
    char addr[INET6_ADDRSTRLEN];
    uint64_t max_bits = 0;
    uint64_t bits = 0;
    int lead_bits = -1;

    if (slash != NULL && str_copy(addr, sizeof(addr),
                                  (Str){text.p, (size_t)(slash - text.p)})) {
        lead_bits = read_address(b->addr, addr, &max_bits);
    }
    if (lead_bits < 0 ||
        !str_u64((Str){slash + 1, text.n - (size_t)(slash + 1 - text.p)},
                 max_bits, &bits)) {
        return err_set(
            e, ERR_VALUE,
            "found \"%.*s\"; allowed: ADDRESS/BITS with an IPv4 or "
            "IPv6 address, such as 192.0.2.0/24; correct the prefix",
            (int)MIN(text.n, 60), text.p);
    }
    b->bits = (uint8_t)(lead_bits + (int)bits);
    if (!host_bits_zero(b)) {
        return err_set(e, ERR_VALUE,
                       "found \"%.*s\"; allowed: a prefix whose bits after "
                       "the first %d are zero; clear them or lengthen the "
                       "prefix",
                       (int)MIN(text.n, 60), text.p, (int)bits);
    }
    return true;
}

void
manifest_block_write(const MfBlock *b, char *out, size_t cap)
{
    static const uint8_t v4[12] = {[10] = 0xff, [11] = 0xff};
    char addr[INET6_ADDRSTRLEN];
    int bits = b->bits;

    if (bits >= V4_PREFIX_BITS && memcmp(b->addr, v4, sizeof(v4)) == 0) {
        inet_ntop(AF_INET, b->addr + 12, addr, sizeof(addr));
        bits -= V4_PREFIX_BITS;
    }
    else {
        inet_ntop(AF_INET6, b->addr, addr, sizeof(addr));
    }
    snprintf(out, cap, "%s/%d", addr, bits);
}
