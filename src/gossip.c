/* gossip - changes of the store, forwarded to nearby VMs.  See gossip.h. */
#include "gossip.h"

#include <arpa/inet.h>
#include <string.h>

#include <rpc/rpc.h>
#include <xxhash.h>

#include "dgram.h"

#define MAGIC 0x6d696e34U /* "min4": format version 4 */
/* Magic, checksum, sender, feed, from, to, known, age, count. */
#define HEAD_SIZE 60
#define SUM_AT 4     /* offset of the checksum in the head */
#define SUMMED_AT 8  /* it covers the bytes from here on */
#define AGE_AT 52    /* offset of the age in the head */
#define TAIL_SIZE 8  /* history; missing from a VM that knows of none */
#define ITEM_SIZE 20 /* revision, deleted, lengths */
#define ITEMS_MAX 64 /* items in a datagram */
#define WHOLE_ITEMS_MAX 4096 /* items in a fragmented message */
#define ITEM_KEY_BYTES 200   /* longest key of the store */
#define AGE_MS_MAX 3600000

/* Shares of the propagation time.  The VM that watches sends its gossip after
 * its own pause, the wait and a round trip between regions (0.06), which is
 * before the pause of the other VMs ends.  If that VM fails, their pause plus
 * a round trip is still shorter than the propagation time.  The timeout drops
 * a connection that has become unresponsive. */
#define PAUSE_OWN 0.20
#define PAUSE_OWN_JITTER 0.05
#define WAIT_SHARE 0.30
#define TIMEOUT_SHARE 0.55
#define PAUSE_GOSSIP 0.62
#define PAUSE_GOSSIP_JITTER 0.15
/* A copy of this age is confirmed by an own watch.  The rest of the
 * propagation time is for the answer: a round trip, a transfer on a slow link,
 * and its processing. */
#define WATCH_AGE 0.69
#define WATCH_AGE_JITTER 0.08
/* Before the watch after gossip that shows missing revisions: the fragments of
 * a large message take some time, and the first VM to watch forwards what the
 * others lack. */
#define PAUSE_MISSING 0.15
#define PAUSE_MISSING_JITTER 0.15
/* An answer is forwarded if its call took no longer than the wait plus this
 * share. */
#define AGE_SHARE 0.12
/* Nothing is forwarded until this time after a failed call.  Around a failure
 * of the store, entries may be missing for a moment only, and each VM has to
 * check for itself whether they are. */
#define FAILURE_QUIET_US 4000000

bool_t
gossip_xdr_sender(XDR *x, GossipSender *s)
{
    u_quad_t vm = s->vm;
    u_quad_t boot_ms = s->boot_ms;

    if (!xdr_u_int64_t(x, &vm) || !xdr_u_int64_t(x, &boot_ms)) {
        return FALSE;
    }
    *s = (GossipSender){vm, boot_ms};
    return TRUE;
}

static size_t
item_size(const KvItem *it)
{
    size_t n = it->value == NULL ? 0 : g_bytes_get_size(it->value);

    return ITEM_SIZE + RNDUP(strlen(it->key)) + RNDUP(n);
}

static bool
encode_item(XDR *x, const KvItem *it)
{
    u_quad_t rev = it->rev;
    bool_t deleted = it->deleted ? TRUE : FALSE;
    gsize n = 0;
    const char *value =
        it->value == NULL ? "" : g_bytes_get_data(it->value, &n);
    char *key = it->key;
    char *bytes = (char *)(uintptr_t)value;
    u_int len = (u_int)n;

    return xdr_u_int64_t(x, &rev) && xdr_bool(x, &deleted) &&
           xdr_string(x, &key, ITEM_KEY_BYTES) &&
           xdr_bytes(x, &bytes, &len, GOSSIP_LARGE_BYTES_MAX);
}

/* Checksum of a message of n bytes, in network byte order; n is at least
 * SUMMED_AT. */
static uint32_t
checksum(const char *p, size_t n)
{
    return htonl((uint32_t)XXH3_64bits(p + SUMMED_AT, n - SUMMED_AT));
}

static void
set_checksum(char *p, size_t n)
{
    uint32_t sum = checksum(p, n);

    memcpy(p + SUM_AT, &sum, sizeof(sum));
}

static bool
has_checksum(const char *p, size_t n)
{
    uint32_t sum;

    if (n < HEAD_SIZE) {
        return false;
    }
    memcpy(&sum, p + SUM_AT, sizeof(sum));
    return sum == checksum(p, n);
}

static size_t
message_size(const GossipOut *o)
{
    size_t size = HEAD_SIZE + TAIL_SIZE;

    for (int i = 0; i < o->n; i++) {
        size += item_size(o->items[i]);
    }
    return size;
}

/* Writes the header and the first n items.  Returns the length, or 0 if cap is
 * too small. */
static size_t
encode_message(const GossipOut *o, u_quad_t from, int n, char *out, size_t cap)
{
    u_int magic = MAGIC;
    u_int sum = 0;
    GossipSender sender = o->sender;
    int feed = o->feed;
    u_quad_t to = o->to;
    u_quad_t history = o->history;
    int64_t known_us = o->known_us;
    u_int age_ms = (u_int)CLAMP((o->age_us + 999) / 1000, 0, AGE_MS_MAX);
    XDR x;

    xdrmem_create(&x, out, (u_int)cap, XDR_ENCODE);
    bool ok = xdr_u_int(&x, &magic) && xdr_u_int(&x, &sum) &&
              gossip_xdr_sender(&x, &sender) && xdr_int(&x, &feed) &&
              xdr_u_int64_t(&x, &from) && xdr_u_int64_t(&x, &to) &&
              xdr_int64_t(&x, &known_us) && xdr_u_int(&x, &age_ms) &&
              xdr_int(&x, &n);
    for (int i = 0; ok && i < n; i++) {
        ok = encode_item(&x, o->items[i]);
    }
    ok = ok && xdr_u_int64_t(&x, &history);
    size_t len = ok ? xdr_getpos(&x) : 0;
    xdr_destroy(&x);
    if (len > 0) {
        set_checksum(out, len);
    }
    return len;
}

bool
gossip_fits(const GossipOut *o)
{
    return o->n <= ITEMS_MAX && message_size(o) <= GOSSIP_BYTES_MAX;
}

size_t
gossip_encode(const GossipOut *o, char *out, size_t cap)
{
    bool whole = gossip_fits(o) && message_size(o) <= cap;

    /* With from = to and no items, gossip_order() returns GOSSIP_MISSING in
     * every VM that has not reached revision "to". */
    return encode_message(o, whole ? o->from : o->to, whole ? o->n : 0, out,
                          cap);
}

GByteArray *
gossip_encode_large(const GossipOut *o)
{
    size_t size = message_size(o);

    if (o->n > WHOLE_ITEMS_MAX || size > GOSSIP_LARGE_BYTES_MAX) {
        return NULL;
    }
    GByteArray *out = g_byte_array_sized_new((guint)size);
    g_byte_array_set_size(out, (guint)size);
    size_t n = encode_message(o, o->from, o->n, (char *)out->data, size);
    g_byte_array_set_size(out, (guint)n);
    return out;
}

bool
gossip_is(const char *p, size_t n)
{
    return dgram_is(p, n, MAGIC);
}

static bool
decode_item(XDR *x, KvItem *out)
{
    char key[ITEM_KEY_BYTES + 1];
    char *k = key;
    u_quad_t rev;
    bool_t deleted;
    u_int len;

    if (!xdr_u_int64_t(x, &rev) || !xdr_bool(x, &deleted) ||
        !xdr_string(x, &k, ITEM_KEY_BYTES) || !xdr_u_int(x, &len) ||
        len > GOSSIP_LARGE_BYTES_MAX || x->x_handy < RNDUP(len)) {
        return false;
    }
    const void *value = xdr_inline(x, RNDUP(len));
    if (value == NULL) {
        return false;
    }
    *out = (KvItem){.key = g_strdup(key),
                    .value = deleted ? NULL : g_bytes_new(value, len),
                    .rev = rev,
                    .deleted = deleted != FALSE};
    return true;
}

static bool
decode_message(XDR *x, Gossip *w, int items_max)
{
    u_int magic;
    u_int sum;
    u_quad_t from;
    u_quad_t to;
    u_int age_ms;
    int n;

    if (!xdr_u_int(x, &magic) || magic != MAGIC || !xdr_u_int(x, &sum) ||
        !gossip_xdr_sender(x, &w->sender) || !xdr_int(x, &w->feed) ||
        !xdr_u_int64_t(x, &from) || !xdr_u_int64_t(x, &to) ||
        !xdr_int64_t(x, &w->known_us) || !xdr_u_int(x, &age_ms) ||
        !xdr_int(x, &n) || n < 0 || n > items_max) {
        return false;
    }
    w->age_us = age_ms * INT64_C(1000);
    w->from = from;
    w->page.rev = to;
    for (int i = 0; i < n; i++) {
        KvItem it;
        if (!decode_item(x, &it)) {
            return false;
        }
        g_array_append_val(w->page.items, it);
    }
    u_quad_t history = 0;
    bool has_history = x->x_handy >= TAIL_SIZE;
    if (has_history && !xdr_u_int64_t(x, &history)) {
        return false;
    }
    w->history = history;
    return true;
}

static bool
decode_buffer(Gossip *w, char *buf, size_t n, int items_max, Err *e)
{
    XDR x;

    memset(w, 0, sizeof(*w));
    w->page.items = g_array_new(FALSE, TRUE, sizeof(KvItem));
    xdrmem_create(&x, buf, (u_int)n, XDR_DECODE);
    bool ok = has_checksum(buf, n) && decode_message(&x, w, items_max);
    xdr_destroy(&x);
    if (!ok) {
        kv_page_clear(&w->page);
        return err_set(
            e, ERR_PROTOCOL,
            "gossip message cut short, damaged or of another format");
    }
    return true;
}

bool
gossip_decode(Gossip *w, const char *p, size_t n, Err *e)
{
    char buf[GOSSIP_BYTES_MAX];

    if (n > sizeof(buf)) {
        return err_set(e, ERR_PROTOCOL,
                       "gossip message of %zu bytes is too long", n);
    }
    memcpy(buf, p, n);
    return decode_buffer(w, buf, n, ITEMS_MAX, e);
}

bool
gossip_decode_large(Gossip *w, GByteArray *bytes, Err *e)
{
    return decode_buffer(w, (char *)bytes->data, bytes->len, WHOLE_ITEMS_MAX,
                         e);
}

void
gossip_add_age(char *p, size_t n, int64_t waited_us)
{
    uint32_t age_ms;

    if (n < HEAD_SIZE) {
        return;
    }
    memcpy(&age_ms, p + AGE_AT, sizeof(age_ms));
    int64_t sum_ms = ntohl(age_ms) + (MAX(waited_us, 0) + 999) / 1000;
    age_ms = htonl((uint32_t)MIN(sum_ms, AGE_MS_MAX));
    memcpy(p + AGE_AT, &age_ms, sizeof(age_ms));
    set_checksum(p, n);
}

GossipOrder
gossip_order(uint64_t rev, uint64_t from, uint64_t to)
{
    if (from > rev) {
        return GOSSIP_MISSING;
    }
    return to < rev ? GOSSIP_OLD : GOSSIP_NEXT;
}

static int64_t
share_of(int64_t propagation_us, double share)
{
    return (int64_t)((double)propagation_us * share);
}

GossipTimes
gossip_times(int64_t propagation_us)
{
    return (GossipTimes){share_of(propagation_us, WAIT_SHARE),
                         share_of(propagation_us, TIMEOUT_SHARE)};
}

int64_t
gossip_pause_us(int64_t propagation_us, bool by_gossip, double sample)
{
    double share = by_gossip ? PAUSE_GOSSIP + PAUSE_GOSSIP_JITTER * sample
                             : PAUSE_OWN + PAUSE_OWN_JITTER * sample;

    return share_of(propagation_us, share);
}

int64_t
gossip_deferral_us(int64_t propagation_us, int64_t copy_age_us, double sample)
{
    int64_t due_us =
        share_of(propagation_us, WATCH_AGE + WATCH_AGE_JITTER * sample);

    return CLAMP(due_us - copy_age_us, 0,
                 gossip_pause_us(propagation_us, true, sample));
}

int64_t
gossip_missing_pause_us(int64_t propagation_us, double sample)
{
    return share_of(propagation_us,
                    PAUSE_MISSING + PAUSE_MISSING_JITTER * sample);
}

int64_t
gossip_wait_us(int64_t propagation_us, int64_t copy_age_us)
{
    int64_t due_us = share_of(propagation_us, WATCH_AGE + WATCH_AGE_JITTER);

    return CLAMP(due_us - copy_age_us, 0,
                 gossip_times(propagation_us).wait_us);
}

bool
gossip_is_fresh(int64_t propagation_us, int64_t took_us,
                int64_t since_failure_us)
{
    return took_us <= share_of(propagation_us, WAIT_SHARE + AGE_SHARE) &&
           since_failure_us >= FAILURE_QUIET_US;
}
