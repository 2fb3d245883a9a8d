/* gossipsend - the datagrams of a gossip message.  See gossipsend.h. */
#include "gossipsend.h"

#include "bucket.h"
#include "gossipfrag.h"

/* Items of a fragmented message that are also sent on their own, and the
 * datagrams for them. */
#define NEWS_ITEMS_MAX 64
#define NEWS_DATAGRAMS_MAX 4
/* A message without an item of this size holds small items only, and is sent
 * in fragments only. */
#define LARGE_ITEM_BYTES 4096
#define LINK_PART 0.5 /* of the link's rate for fragments */
#define MBPS 125000.0 /* bytes per second */
#define BURST_US (4 * GOSSIPSEND_STEP_US) /* allows for late timers */
/* More than fragments for dozens of VMs; what exceeds it is dropped. */
#define WAITING_BYTES_MAX (16 * 1024 * 1024)

static void
unref_bytes(gpointer p)
{
    g_bytes_unref(p);
}

static void
add_datagram(GPtrArray *list, const GossipOut *o)
{
    char buf[GOSSIP_BYTES_MAX];
    size_t n = gossip_encode(o, buf, sizeof(buf));

    g_ptr_array_add(list, g_bytes_new(buf, n));
}

static bool
is_large(const KvItem *it)
{
    return it->value != NULL && g_bytes_get_size(it->value) > LARGE_ITEM_BYTES;
}

static bool
has_large_item(const GossipOut *o)
{
    for (int i = 0; i < o->n; i++) {
        if (is_large(o->items[i])) {
            return true;
        }
    }
    return false;
}

/* Adds datagrams with the small items.  Their revisions say that others are
 * missing. */
static void
add_news(GPtrArray *list, const GossipOut *o)
{
    const KvItem *items[NEWS_ITEMS_MAX];
    GossipOut news = *o;

    news.from = o->to;
    news.items = items;
    news.n = 0;
    for (int i = 0; i < o->n && list->len < NEWS_DATAGRAMS_MAX; i++) {
        if (is_large(o->items[i])) {
            continue;
        }
        items[news.n++] = o->items[i];
        if (!gossip_fits(&news) || news.n == NEWS_ITEMS_MAX) {
            news.n--;
            add_datagram(list, &news);
            items[0] = o->items[i];
            news.n = 1;
        }
    }
    if (news.n > 0 && list->len < NEWS_DATAGRAMS_MAX) {
        add_datagram(list, &news);
    }
}

GossipDatagrams
gossipsend_datagrams(const GossipOut *o, uint64_t id)
{
    GossipDatagrams d = {g_ptr_array_new_with_free_func(unref_bytes), NULL};
    GossipOut last = *o; /* without items */

    last.from = o->to;
    last.items = NULL;
    last.n = 0;
    if (!gossip_fits(o)) {
        d.paced = gossipfrag_split(o, id);
    }
    if (d.paced == NULL) {
        d.paced = g_ptr_array_new_with_free_func(unref_bytes);
        add_datagram(d.urgent, o);
        return d;
    }
    if (has_large_item(o)) {
        add_news(d.urgent, o);
    }
    add_datagram(d.paced, &last);
    return d;
}

void
gossipsend_clear(GossipDatagrams *d)
{
    g_ptr_array_free(d->urgent, TRUE);
    g_ptr_array_free(d->paced, TRUE);
}

typedef struct Waiting {
    void *to;
    GBytes *datagram;
    int64_t since_us;
} Waiting;

struct Pacer {
    double per_s; /* datagrams */
    PacerFn send;
    void *ctx;
    Bucket allowed; /* datagrams */
    GQueue waiting; /* Waiting */
    size_t waiting_bytes;
};

Pacer *
pacer_new(double link_mbps, PacerFn send, void *ctx)
{
    Pacer *p = g_new0(Pacer, 1);

    p->per_s = link_mbps * MBPS * LINK_PART / GOSSIP_BYTES_MAX;
    p->send = send;
    p->ctx = ctx;
    g_queue_init(&p->waiting);
    return p;
}

static void
drop_first(Pacer *p)
{
    Waiting *w = g_queue_pop_head(&p->waiting);

    p->waiting_bytes -= g_bytes_get_size(w->datagram);
    g_bytes_unref(w->datagram);
    g_free(w->to);
    g_free(w);
}

void
pacer_free(Pacer *p)
{
    while (!pacer_is_empty(p)) {
        drop_first(p);
    }
    g_free(p);
}

bool
pacer_add(Pacer *p, const void *to, size_t to_size, GBytes *datagram,
          int64_t since_us)
{
    size_t n = g_bytes_get_size(datagram);

    if (p->waiting_bytes + n > WAITING_BYTES_MAX) {
        return false;
    }
    Waiting *w = g_new(Waiting, 1);
    *w = (Waiting){g_memdup2(to, to_size), g_bytes_ref(datagram), since_us};
    g_queue_push_tail(&p->waiting, w);
    p->waiting_bytes += n;
    return true;
}

/* Sends a copy of the datagram, which others may share, with its present age.
 */
static void
send_waiting(Pacer *p, const Waiting *w, int64_t now_us)
{
    gsize n;
    const char *data = g_bytes_get_data(w->datagram, &n);
    char *copy = g_memdup2(data, n);

    if (gossipfrag_is(copy, n)) {
        gossipfrag_add_wait(copy, n, now_us - w->since_us);
    }
    else if (gossip_is(copy, n)) {
        gossip_add_age(copy, n, now_us - w->since_us);
    }
    p->send(p->ctx, w->to, copy, n);
    g_free(copy);
}

bool
pacer_step(Pacer *p, int64_t now_us)
{
    double burst = MAX(p->per_s * BURST_US / 1e6, 1);

    while (!pacer_is_empty(p)) {
        const Waiting *w = g_queue_peek_head(&p->waiting);
        if (!bucket_take(&p->allowed, p->per_s, burst, now_us)) {
            return true;
        }
        send_waiting(p, w, now_us);
        drop_first(p);
    }
    return false;
}

bool
pacer_is_empty(const Pacer *p)
{
    return p->waiting.length == 0;
}
