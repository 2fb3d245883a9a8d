/* gossipfrag - gossip messages sent as fragments.  See gossipfrag.h. */
#include "gossipfrag.h"

#include <arpa/inet.h>
#include <string.h>

#include <rpc/rpc.h>
#include <zstd.h>

#include "dgram.h"

#define MAGIC 0x6d696e73U /* "mins": format version 4 */
/* Magic, sender, id, index, count, compressed length, waited. */
#define HEAD_SIZE 44
#define WAITED_AT 40 /* offset of the time waited, in ms */
#define FRAG_BYTES (GOSSIP_BYTES_MAX - HEAD_SIZE)
#define ZSTD_LEVEL 1   /* enough, as the names in the entries repeat */
#define MESSAGES_MAX 4 /* messages under reassembly at the same time */

typedef struct Head {
    GossipSender sender;
    u_quad_t id;
    u_int index;
    u_int count;
    u_int bytes;
    u_int waited_ms; /* before the fragment was sent */
} Head;

typedef struct Message {
    Head head;
    uint64_t have[GOSSIPFRAG_MAX / 64]; /* bit set of the fragments received */
    u_int n_have;
    uint8_t *data;
    int64_t split_us; /* least since_us without the time waited */
    uint32_t used;    /* sequence number of the last fragment, for eviction */
} Message;

struct GossipFrag {
    Message messages[MESSAGES_MAX];
    uint32_t sequence;
    int64_t incomplete;
};

static bool
xdr_head(XDR *x, Head *h)
{
    u_int magic = MAGIC;

    return xdr_u_int(x, &magic) && magic == MAGIC &&
           gossip_xdr_sender(x, &h->sender) && xdr_u_int64_t(x, &h->id) &&
           xdr_u_int(x, &h->index) && xdr_u_int(x, &h->count) &&
           xdr_u_int(x, &h->bytes) && xdr_u_int(x, &h->waited_ms);
}

static GBytes *
fragment(const uint8_t *packed, Head h)
{
    char buf[GOSSIP_BYTES_MAX];
    size_t at = (size_t)h.index * FRAG_BYTES;
    size_t n = MIN(FRAG_BYTES, h.bytes - at);
    XDR x;

    xdrmem_create(&x, buf, HEAD_SIZE, XDR_ENCODE);
    xdr_head(&x, &h);
    xdr_destroy(&x);
    memcpy(buf + HEAD_SIZE, packed + at, n);
    return g_bytes_new(buf, HEAD_SIZE + n);
}

static void
unref_bytes(gpointer p)
{
    g_bytes_unref(p);
}

GPtrArray *
gossipfrag_split(const GossipOut *o, uint64_t id)
{
    GByteArray *whole = gossip_encode_large(o);
    GPtrArray *out = NULL;

    if (whole == NULL) {
        return NULL;
    }
    size_t cap = ZSTD_compressBound(whole->len);
    uint8_t *packed = g_malloc(cap);
    size_t n = ZSTD_compress(packed, cap, whole->data, whole->len, ZSTD_LEVEL);
    if (!ZSTD_isError(n) && n <= (size_t)GOSSIPFRAG_MAX * FRAG_BYTES) {
        u_int count = (u_int)((n + FRAG_BYTES - 1) / FRAG_BYTES);
        out = g_ptr_array_new_with_free_func(unref_bytes);
        for (u_int i = 0; i < count; i++) {
            g_ptr_array_add(out, fragment(packed, (Head){o->sender, id, i,
                                                         count, (u_int)n, 0}));
        }
    }
    g_free(packed);
    g_byte_array_unref(whole);
    return out;
}

bool
gossipfrag_is(const char *p, size_t n)
{
    return dgram_is(p, n, MAGIC);
}

void
gossipfrag_add_wait(char *p, size_t n, int64_t waited_us)
{
    uint32_t waited_ms;

    if (n < HEAD_SIZE) {
        return;
    }
    memcpy(&waited_ms, p + WAITED_AT, sizeof(waited_ms));
    int64_t sum_ms = ntohl(waited_ms) + (MAX(waited_us, 0) + 999) / 1000;
    waited_ms = htonl((uint32_t)MIN(sum_ms, UINT32_MAX));
    memcpy(p + WAITED_AT, &waited_ms, sizeof(waited_ms));
}

GossipFrag *
gossipfrag_new(void)
{
    return g_new0(GossipFrag, 1);
}

void
gossipfrag_free(GossipFrag *s)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        g_free(s->messages[i].data);
    }
    g_free(s);
}

int64_t
gossipfrag_incomplete(const GossipFrag *s)
{
    return s->incomplete;
}

static bool
same_message(const Head *a, const Head *b)
{
    return a->sender.vm == b->sender.vm &&
           a->sender.boot_ms == b->sender.boot_ms && a->id == b->id &&
           a->count == b->count && a->bytes == b->bytes;
}

/* Returns the message that a fragment belongs to.  A new message replaces the
 * least recently used one. */
static Message *
find_message(GossipFrag *s, const Head *h)
{
    Message *oldest = &s->messages[0];

    for (int i = 0; i < MESSAGES_MAX; i++) {
        Message *c = &s->messages[i];
        if (c->data != NULL && same_message(&c->head, h)) {
            return c;
        }
        if (c->data == NULL || c->used < oldest->used) {
            oldest = c;
        }
    }
    if (oldest->data != NULL && oldest->n_have < oldest->head.count) {
        s->incomplete++;
    }
    g_free(oldest->data);
    *oldest = (Message){
        .head = *h, .data = g_malloc(h->bytes), .split_us = INT64_MAX};
    return oldest;
}

static bool
decompress(const Message *c, Gossip *w)
{
    unsigned long long n = ZSTD_getFrameContentSize(c->data, c->head.bytes);
    GByteArray *whole = g_byte_array_new();
    bool ok = false;

    if (n <= GOSSIP_LARGE_BYTES_MAX) {
        g_byte_array_set_size(whole, (guint)n);
        size_t got = ZSTD_decompress(whole->data, n, c->data, c->head.bytes);
        ok = got == n && gossip_decode_large(w, whole, NULL);
    }
    g_byte_array_unref(whole);
    return ok;
}

bool
gossipfrag_sender(const char *p, size_t n, GossipSender *out)
{
    char buf[HEAD_SIZE];
    Head h = {0};
    XDR x;

    if (n <= HEAD_SIZE) {
        return false;
    }
    memcpy(buf, p, HEAD_SIZE);
    xdrmem_create(&x, buf, HEAD_SIZE, XDR_DECODE);
    bool ok = xdr_head(&x, &h);
    xdr_destroy(&x);
    *out = h.sender;
    return ok;
}

GossipFragResult
gossipfrag_add(GossipFrag *s, const char *p, size_t n, int64_t since_us,
               Gossip *w)
{
    char buf[HEAD_SIZE];
    Head h;
    XDR x;

    if (n <= HEAD_SIZE || n > GOSSIP_BYTES_MAX) {
        return GOSSIPFRAG_BAD;
    }
    memcpy(buf, p, HEAD_SIZE);
    xdrmem_create(&x, buf, HEAD_SIZE, XDR_DECODE);
    bool ok = xdr_head(&x, &h);
    xdr_destroy(&x);
    if (!ok || h.count == 0 || h.count > GOSSIPFRAG_MAX ||
        h.index >= h.count || h.bytes > h.count * FRAG_BYTES ||
        h.bytes <= (h.count - 1) * FRAG_BYTES ||
        n - HEAD_SIZE != MIN(FRAG_BYTES, h.bytes - h.index * FRAG_BYTES)) {
        return GOSSIPFRAG_BAD;
    }
    Message *c = find_message(s, &h);
    c->used = ++s->sequence;
    memcpy(c->data + h.index * FRAG_BYTES, p + HEAD_SIZE, n - HEAD_SIZE);
    uint64_t bit = UINT64_C(1) << h.index % 64;
    if ((c->have[h.index / 64] & bit) != 0) {
        return GOSSIPFRAG_MORE;
    }
    c->have[h.index / 64] |= bit;
    c->split_us = MIN(c->split_us, since_us - h.waited_ms * INT64_C(1000));
    if (++c->n_have < h.count) {
        return GOSSIPFRAG_MORE;
    }
    if (!decompress(c, w)) {
        return GOSSIPFRAG_BAD;
    }
    w->age_us += since_us - c->split_us;
    return GOSSIPFRAG_COMPLETE;
}
