/* Fuzzes the parsers of untrusted input of the platform adapter: HTTP heads
 * and bodies, responses of the store, entries of upstreams and VMs, the
 * configuration, request targets, heartbeats and gossip. */
#include <stdint.h>
#include <string.h>

#include "dlog.h"
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

/* Reads an entry of an upstream, whose numbers must be within their ranges. */
static void
read_upstream(Str text)
{
    UpsReport r;
    gpointer keep = NULL;

    if (pf_parse_upstream(str_of("u"), text, &r, &keep, NULL) &&
        (r.slots < 1 || r.slots > SLOTS_PER_TARGET_MAX ||
         r.warmup_left_us < 0 || r.boot_ms > INT64_MAX)) {
        __builtin_trap();
    }
    pf_release_upstream(keep);
}

/* Reads a configuration, as read_upstream(). */
static void
read_config(Str text)
{
    RtTable *t = pf_parse_config(text, NULL);

    for (int i = 0; t != NULL && i < rt_n_services(t); i++) {
        const RtService *s = rt_service(t, i);
        if (s->max_conns < 0 || s->max_conns > SERVICE_CONNECTIONS_MAX ||
            s->warmup_us < 0 || !(s->cold_per_s >= 0)) {
            __builtin_trap();
        }
    }
    if (t != NULL && (rt_version(t) > INT64_MAX ||
                      rt_limits(t)->head_bytes > CONFIG_HEAD_BYTES_MAX ||
                      rt_limits(t)->body_bytes > CONFIG_BODY_BYTES_MAX)) {
        __builtin_trap();
    }
    rt_unref(t);
}

/* Formats text for the log, where it must stay within its field. */
static void
read_log_text(Str text)
{
    DlogText name = dlog_name(text);

    if (!str_is_visible(str_of(name.s)) || strpbrk(name.s, "=\"") != NULL) {
        __builtin_trap();
    }
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

/* Reads a gossip message, whose checksum is made to match. */
static void
read_gossip(const uint8_t *data, size_t size)
{
    char *copy = g_memdup2(data, size);
    Gossip news;

    gossip_add_age(copy, size, 0);
    if (gossip_decode(&news, copy, size, NULL)) {
        kv_page_clear(&news.page);
    }
    g_free(copy);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Str text = {(const char *)data, size};
    KvPage page = {0};
    KvLease lease;
    PeerHeartbeat beat;
    CrashMsg crashes;
    Topology places = {0};
    PfResolve q = {{0}, {0}};
    Vm vm;

    if (size == 0) {
        return 0;
    }
    feed(data, size, true);
    feed(data, size, false);
    read_config(text);
    read_upstream(text);
    read_log_text(text);
    pf_kv.read_list(text, &page, NULL);
    kv_page_clear(&page);
    pf_kv.read_events(text, &page, NULL);
    kv_page_clear(&page);
    pf_kv.read_lease(text, &lease, NULL);
    peer_decode(&beat, (const char *)data, size, NULL);
    crashmsg_decode(&crashes, (const char *)data, size, NULL);
    read_gossip(data, size);
    topology_add(&places, str_of("a"), str_of("r"));
    vml_parse(&vm, str_of("v"), text, &places, NULL);
    pf_parse_call(text, &q);
    return 0;
}
