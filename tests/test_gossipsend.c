/* Tests of gossipsend: datagrams of a message, and their rate. */
#include "t.h"

#include <string.h>

#include <glib.h>

#include "gossipfrag.h"
#include "gossipsend.h"

#define SENDER                                                                \
    {                                                                         \
        7, 1000                                                               \
    }
#define ITEMS_MAX 400
#define SMALL_BYTES 200
#define LARGE_BYTES 40000
#define HISTORY 3
#define FROM 100
#define AGE_US 120000
#define NOW_US INT64_C(1000000)
#define WAIT_US 800000
#define ROUNDED_US 2000 /* ages are sent in ms, and rounded up */
#define LINK_MBPS 10.0
#define BYTES_PER_S (LINK_MBPS * 125000)

typedef struct Changes {
    KvItem items[ITEMS_MAX];
    const KvItem *list[ITEMS_MAX];
    int n;
} Changes;

static void
add(Changes *f, size_t bytes)
{
    KvItem *it = &f->items[f->n];
    uint64_t rev = FROM + 1 + (uint64_t)f->n;
    guint8 *value = g_malloc(bytes);
    GRand *rnd = g_rand_new_with_seed((guint32)rev);

    for (size_t i = 0; i < bytes; i++) { /* does not compress */
        value[i] = (guint8)g_rand_int(rnd);
    }
    g_rand_free(rnd);
    *it = (KvItem){.key = g_strdup_printf("k-%" G_GUINT64_FORMAT, rev),
                   .value = g_bytes_new_take(value, bytes),
                   .rev = rev};
    f->list[f->n++] = it;
}

static void
clear(Changes *f)
{
    for (int i = 0; i < f->n; i++) {
        g_free(f->items[i].key);
        g_bytes_unref(f->items[i].value);
    }
}

static GossipDatagrams
datagrams(const Changes *f)
{
    GossipOut o = {0, HISTORY, FROM, FROM + (uint64_t)f->n, f->list, f->n,
                   0, SENDER,  0};

    return gossipsend_datagrams(&o, 1);
}

/* Decodes a datagram that is a whole message.  Guards against one that is
 * ignored, as it names no history of the store. */
static Gossip
whole(const GPtrArray *list, guint i)
{
    Gossip w;
    gsize n;
    const char *p = g_bytes_get_data(g_ptr_array_index(list, i), &n);

    ck_assert(gossip_is(p, n));
    ck_assert(gossip_decode(&w, p, n, NULL));
    ck_assert_uint_eq(w.history, HISTORY);
    return w;
}

/* Guards against the news of an upstream that leaves, which is lost with a
 * fragment of a configuration. */
START_TEST(small_items_are_sent_before_the_fragments_of_large_ones)
{
    Changes f = {.n = 0};

    add(&f, SMALL_BYTES);
    add(&f, LARGE_BYTES);
    add(&f, SMALL_BYTES);
    GossipDatagrams d = datagrams(&f);
    ck_assert_uint_eq(d.urgent->len, 1);
    Gossip w = whole(d.urgent, 0);
    ck_assert_uint_eq(w.page.items->len, 2);
    ck_assert_str_eq(g_array_index(w.page.items, KvItem, 0).key, "k-101");
    ck_assert_str_eq(g_array_index(w.page.items, KvItem, 1).key, "k-103");
    /* It must not count as all changes up to its revision. */
    ck_assert_int_eq(gossip_order(FROM, w.from, w.page.rev), GOSSIP_MISSING);
    kv_page_clear(&w.page);
    gossipsend_clear(&d);
    clear(&f);
}
END_TEST

/* Guards against receivers that lack a fragment and do not learn of it. */
START_TEST(the_last_datagram_shows_what_is_missing)
{
    Changes f = {.n = 0};

    add(&f, LARGE_BYTES);
    GossipDatagrams d = datagrams(&f);
    ck_assert_uint_eq(d.urgent->len, 0);
    ck_assert_uint_gt(d.paced->len, LARGE_BYTES / GOSSIP_BYTES_MAX);
    Gossip w = whole(d.paced, d.paced->len - 1);
    ck_assert_uint_eq(w.page.items->len, 0);
    ck_assert_int_eq(gossip_order(FROM, w.from, w.page.rev), GOSSIP_MISSING);
    ck_assert_int_eq(gossip_order(FROM + 1, w.from, w.page.rev), GOSSIP_NEXT);
    kv_page_clear(&w.page);
    gossipsend_clear(&d);
    clear(&f);
}
END_TEST

/* Guards against many datagrams before the fragments of a message. */
START_TEST(few_datagrams_precede_the_fragments)
{
    Changes f = {.n = 0};

    for (int i = 0; i < ITEMS_MAX - 1; i++) {
        add(&f, SMALL_BYTES);
    }
    GossipDatagrams d = datagrams(&f);
    ck_assert_uint_eq(d.urgent->len, 0);
    gossipsend_clear(&d);
    add(&f, LARGE_BYTES);
    d = datagrams(&f);
    ck_assert_uint_eq(d.urgent->len, 4);
    gossipsend_clear(&d);
    clear(&f);
}
END_TEST

START_TEST(a_message_that_fits_is_one_urgent_datagram)
{
    Changes f = {.n = 0};

    add(&f, SMALL_BYTES);
    GossipDatagrams d = datagrams(&f);
    ck_assert_uint_eq(d.urgent->len, 1);
    ck_assert_uint_eq(d.paced->len, 0);
    Gossip w = whole(d.urgent, 0);
    ck_assert_int_eq(gossip_order(FROM, w.from, w.page.rev), GOSSIP_NEXT);
    kv_page_clear(&w.page);
    gossipsend_clear(&d);
    clear(&f);
}
END_TEST

typedef struct Sent {
    int n;
    int last_to;
    size_t bytes;
} Sent;

static void
on_send(void *ctx, const void *to, const char *data, size_t n)
{
    Sent *s = ctx;
    const int *receiver = to;

    ck_assert_int_ge(*receiver, s->last_to);
    s->last_to = *receiver;
    s->n++;
    s->bytes += n;
    (void)data;
}

static GBytes *
empty_datagram(void)
{
    return g_bytes_new_take(g_malloc0(GOSSIP_BYTES_MAX), GOSSIP_BYTES_MAX);
}

/* Guards against fragments that overflow the queue of a slow link, which drops
 * them and delays requests. */
START_TEST(fragments_leave_half_of_the_link_free)
{
    Sent sent = {0, 0, 0};
    Pacer *p = pacer_new(LINK_MBPS, on_send, &sent);
    GBytes *datagram = empty_datagram();
    int64_t now_us = 1000000;
    size_t peak = 0;

    for (int to = 0; to < 12; to++) {
        for (int i = 0; i < 40; i++) {
            ck_assert(pacer_add(p, &to, sizeof(to), datagram, now_us));
        }
    }
    while (pacer_step(p, now_us)) {
        size_t before = sent.bytes;
        now_us += 4 * GOSSIPSEND_STEP_US; /* a late timer */
        pacer_step(p, now_us);
        peak = MAX(peak, sent.bytes - before);
        now_us += GOSSIPSEND_STEP_US;
    }
    ck_assert_int_eq(sent.n, 12 * 40);
    ck_assert(pacer_is_empty(p));
    double seconds = (double)(now_us - 1000000) / 1e6;
    ck_assert_double_ge(seconds, (double)sent.bytes / BYTES_PER_S);
    ck_assert_double_le(seconds, 2.5 * (double)sent.bytes / BYTES_PER_S);
    /* At most 20 ms of the link at once. */
    ck_assert_double_le((double)peak, BYTES_PER_S * 0.02);
    g_bytes_unref(datagram);
    pacer_free(p);
}
END_TEST

/* Guards against memory that grows without limit when messages come faster
 * than they are sent. */
START_TEST(datagrams_that_wait_are_limited)
{
    Sent sent = {0, 0, 0};
    Pacer *p = pacer_new(0.1, on_send, &sent);
    GBytes *datagram = empty_datagram();
    int to = 1;
    int n = 0;

    while (n < 100000 && pacer_add(p, &to, sizeof(to), datagram, 0)) {
        n++;
    }
    ck_assert_int_lt(n, 20000);
    g_bytes_unref(datagram);
    pacer_free(p);
}
END_TEST

typedef struct Receiver {
    GossipFrag *fragments;
    int64_t now_us;
    int64_t whole_us; /* all changes before it are known, by fragments */
    int64_t last_us;  /* the same by the last datagram */
} Receiver;

static void
on_receive(void *ctx, const void *to, const char *data, size_t n)
{
    Receiver *r = ctx;
    Gossip w;
    (void)to;

    if (!gossipfrag_is(data, n)) {
        ck_assert(gossip_decode(&w, data, n, NULL));
        r->last_us = r->now_us - w.age_us;
        kv_page_clear(&w.page);
    }
    else if (gossipfrag_add(r->fragments, data, n, r->now_us, &w) ==
             GOSSIPFRAG_COMPLETE) {
        r->whole_us = r->now_us - w.age_us;
        kv_page_clear(&w.page);
    }
}

/* Sends the datagrams at the rate of the link, beginning WAIT_US after they
 * were added. */
static void
send_late(GossipDatagrams *d, Receiver *r)
{
    Pacer *p = pacer_new(LINK_MBPS, on_receive, r);
    int to = 1;

    r->fragments = gossipfrag_new();
    for (guint i = 0; i < d->paced->len; i++) {
        ck_assert(pacer_add(p, &to, sizeof(to), g_ptr_array_index(d->paced, i),
                            NOW_US));
    }
    r->now_us = NOW_US + WAIT_US;
    while (pacer_step(p, r->now_us)) {
        r->now_us += GOSSIPSEND_STEP_US;
    }
    pacer_free(p);
    gossipfrag_free(r->fragments);
}

/* Guards against receivers that take their copy for newer than it is, as the
 * message has waited for a slow link. */
START_TEST(age_includes_the_time_before_sending)
{
    Changes f = {.n = 0};
    Receiver r = {0};

    add(&f, LARGE_BYTES);
    GossipOut o = {0, 0, FROM, FROM + 1, f.list, f.n, AGE_US, SENDER, 0};
    GossipDatagrams d = gossipsend_datagrams(&o, 1);
    for (int i = 0; i < 2; i++) { /* datagrams are shared by receivers */
        send_late(&d, &r);
        ck_assert_int_gt(r.now_us, NOW_US + WAIT_US);
        ck_assert_int_le(r.last_us, NOW_US - AGE_US);
        ck_assert_int_ge(r.last_us, NOW_US - AGE_US - ROUNDED_US);
        ck_assert_int_le(r.whole_us, NOW_US - AGE_US);
        ck_assert_int_ge(r.whole_us, NOW_US - AGE_US - ROUNDED_US);
    }
    gossipsend_clear(&d);
    clear(&f);
}
END_TEST

T_MAIN("gossipsend", small_items_are_sent_before_the_fragments_of_large_ones,
       the_last_datagram_shows_what_is_missing,
       few_datagrams_precede_the_fragments,
       a_message_that_fits_is_one_urgent_datagram,
       fragments_leave_half_of_the_link_free, datagrams_that_wait_are_limited,
       age_includes_the_time_before_sending)
