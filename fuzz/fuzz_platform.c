/* Fuzzes the parsers of untrusted input of the platform adapter: HTTP heads
 * and bodies, responses of the store, entries of upstreams and VMs, the
 * configuration, request targets, heartbeats and gossip. */
#include <stdint.h>

#include "h1.h"
#include "peer.h"
#include "pf.h"
#include "pxhead.h"
#include "retryafter.h"
#include "vml.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Reads what an upstream says of itself, which must be within its bounds. */
static void
read_notices(const H1 *h)
{
    Str mine = str_of("9c41");
    int64_t wait_us = pxhead_wait_us(h, &pf_header_names, mine, 0);

    if (wait_us < 0 || wait_us > RETRYAFTER_MAX_US) {
        __builtin_trap();
    }
    pxhead_announces_leaving(h, &pf_header_names, mine);
}

static void
feed(const uint8_t *data, size_t size, bool request)
{
    H1 h;
    GByteArray *in = g_byte_array_new();

    h1_init(&h, request);
    g_byte_array_append(in, data, (guint)size);
    for (int i = 0; i < 8; i++) {
        if (h1_feed(&h, in, HEAD_BYTES_MAX, NULL) != H1_DONE) {
            break;
        }
        if (!request) {
            read_notices(&h);
        }
        h1_next(&h);
    }
    h1_eof(&h);
    h1_clear(&h);
    g_byte_array_unref(in);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Str text = {(const char *)data, size};
    UpsReport r;
    KvPage page = {0};
    KvLease lease;
    PeerHeartbeat beat;
    Gossip news;
    Topology places = {0};
    PfResolve q = {{0}, {0}};
    Vm vm;
    gpointer keep = NULL;

    if (size == 0) {
        return 0;
    }
    feed(data, size, true);
    feed(data, size, false);
    rt_unref(pf_parse_config(text, NULL));
    pf_parse_upstream(str_of("u"), text, &r, &keep, NULL);
    pf_release_upstream(keep);
    pf_kv.read_page(text, &page, NULL);
    kv_page_clear(&page);
    pf_kv.read_lease(text, &lease, NULL);
    peer_decode(&beat, (const char *)data, size, NULL);
    if (gossip_decode(&news, (const char *)data, size, NULL)) {
        kv_page_clear(&news.page);
    }
    topology_add(&places, str_of("a"), str_of("r"));
    vml_parse(&vm, str_of("v"), text, &places, NULL);
    pf_parse_call(text, &q);
    return 0;
}
