/* entry_crash - requests that crash upstreams.  See entry.h. */
#include "entry.h"

#include <stdio.h>
#include <string.h>

#include "httptext.h"
#include "lg.h"

#define PARK_MS 10 /* wait for the end of another alone run */
#define NEWS_LINE_BYTES 64
#define NEWS_PATH "/v1/fleet/suspects"

/* The news of one crash, on its way to the other entry VMs. */
typedef struct Crash {
    Entry *en;
    int pending; /* VMs that have not acknowledged it */
    bool open;   /* requests are held for it */
    GSource *timer;
} Crash;

static void
crash_unref(Crash *c)
{
    if (!c->open && c->pending == 0) {
        g_free(c);
    }
}

static void
release(Crash *c)
{
    GPtrArray *held = g_ptr_array_new();

    c->open = false;
    src_end(&c->timer);
    for (GList *l = c->en->reqs.head; l != NULL; l = l->next) {
        Req *r = l->data;
        if (r->crash != c) {
            continue;
        }
        r->crash = NULL;
        if (r->state == REQ_HELD) {
            g_ptr_array_add(held, r);
        }
    }
    for (guint i = 0; i < held->len; i++) {
        send_decide(held->pdata[i], ATTEMPT_CLOSED);
    }
    g_ptr_array_unref(held);
}

static gboolean
on_hold_over(gpointer data)
{
    Crash *c = data;

    release(c);
    crash_unref(c);
    return G_SOURCE_REMOVE;
}

/* One call that carries news to one VM. */
typedef struct Notice {
    Entry *en;
    Crash *crash; /* NULL: nobody waits */
    Call *call;
} Notice;

static void
notice_fill(void *ctx, SoupMessageHeaders *h)
{
    Notice *n = ctx;

    soup_message_headers_replace(h, "Mimosa-Fleet", n->en->proof);
}

static bool
notice_may_send(void *ctx)
{
    (void)ctx;
    return true;
}

static void
notice_head(void *ctx, int status, SoupMessageHeaders *h)
{
    (void)ctx;
    (void)status;
    (void)h;
}

static void
notice_data(void *ctx, GBytes *data)
{
    Notice *n = ctx;

    g_bytes_unref(data);
    call_more(n->call);
}

static void
notice_end(void *ctx, CallEnd how, const char *why)
{
    Notice *n = ctx;
    Crash *c = n->crash;

    if (how != CALL_DONE) {
        lg_line(LG_INFO, "entry", "suspects not acknowledged: %s", why);
    }
    g_free(n);
    if (c == NULL) {
        return;
    }
    c->pending--;
    if (c->pending == 0 && c->open) {
        release(c);
    }
    crash_unref(c);
}

/* Sends news to every live entry VM. */
static void
tell(Entry *en, const SuspectUpdate *news, size_t n, Crash *crash)
{
    const Snapshot *sn = en->snap;
    GString *g = g_string_new(NULL);

    for (size_t i = 0; i < n; i++) {
        g_string_append_printf(
            g, "%016" G_GINT64_MODIFIER "x %d %" G_GINT64_FORMAT "\n",
            news[i].fingerprint, (int)news[i].state, news[i].age_ms);
    }
    GBytes *body = g_string_free_to_bytes(g);
    for (int i = 0; i < sn->n_vms; i++) {
        if (i == sn->own_vm || sn->vms[i].state != MEMB_LIVE ||
            sn->vms[i].entry[0] == '\0') {
            continue;
        }
        Notice *x = g_new0(Notice, 1);
        x->en = en;
        x->crash = crash;
        if (crash != NULL) {
            crash->pending++;
        }
        CallOpts o = {.address = sn->vms[i].entry,
                      .connections = FORWARD_CONNECTIONS,
                      .method = "POST",
                      .path = NEWS_PATH,
                      .content_type = "text/plain",
                      .body = body,
                      .body_fd = -1,
                      .fill = notice_fill,
                      .may_send = notice_may_send,
                      .on_head = notice_head,
                      .on_data = notice_data,
                      .on_end = notice_end,
                      .ctx = x};
        x->call = call_start(en->up, &o);
    }
    g_bytes_unref(body);
}

/* Makes suspects of all requests that are in flight on r's target. */
static void
report_crash(Req *r)
{
    Entry *en = r->en;
    int64_t now = g_get_monotonic_time();
    Crash *c = g_new0(Crash, 1);
    uint64_t prints[SLOTS_PER_TARGET_MAX];
    SuspectUpdate *news = g_new0(SuspectUpdate, SLOTS_PER_TARGET_MAX);
    size_t n = 0;

    c->en = en;
    c->open = true;
    for (GList *l = en->reqs.head; l != NULL; l = l->next) {
        Req *q = l->data;
        if (q->state == REQ_RUNNING && q->service == r->service &&
            q->target == r->target && q->crash == NULL &&
            n < SLOTS_PER_TARGET_MAX) {
            q->crash = c;
            prints[n++] = q->print;
        }
    }
    bool alone = r->alone && n == 1;
    suspect_crash(en->suspects, prints, n, alone, now, news);
    ctr_add(en->c[EC_CRASHES], 1);
    lg_decision("entry", "suspects: service=%s target=%s requests=%zu%s",
                en->svcs[r->service]->name,
                en->snap->m->targets[r->target].name, n,
                alone ? " convicted" : "");
    if (alone) {
        ctr_add(en->c[EC_CONVICTED], 1);
        r->alone = false;
    }
    tell(en, news, n, c);
    g_free(news);
    if (c->pending == 0) {
        release(c);
        crash_unref(c);
        return;
    }
    c->timer = src_timeout(SUSPECT_WAIT_MS, on_hold_over, c);
}

void
crash_seen(Req *r)
{
    if (r->crash == NULL && r->target >= 0) {
        report_crash(r);
    }
    send_end_crashed(r);
    r->state = REQ_READING;
    if (r->crash != NULL) {
        /* A resend must not overtake the news. */
        req_set_state(r, REQ_HELD);
        return;
    }
    send_decide(r, ATTEMPT_CLOSED);
}

void
crash_leave(Req *r)
{
    src_end(&r->hold_source);
    r->crash = NULL;
    r->state = REQ_READING;
}

static gboolean
on_parked(gpointer data)
{
    Req *r = data;

    src_end(&r->hold_source);
    r->state = REQ_READING;
    svc_admit(r);
    return G_SOURCE_REMOVE;
}

/* Looks a request up among the suspects before it is admitted. */
bool
crash_check(Req *r)
{
    Entry *en = r->en;
    bool busy = false;

    r->alone = false;
    switch (
        suspect_check(en->suspects, r->print, &busy, g_get_monotonic_time())) {
    case SUSPECT_CLEAR:
        return true;
    case SUSPECT_ALONE:
        r->alone = true;
        if (!busy) {
            return true;
        }
        req_set_state(r, REQ_HELD);
        r->hold_source = src_timeout(PARK_MS, on_parked, r);
        return false;
    default:
        break;
    }
    if (r->maybe_run) {
        req_unknown(r, "crashes-upstream");
    }
    else {
        req_refuse(r, "crashes-upstream", CONVICTED_MS,
                   "upstreams that ran it died; correct the request");
    }
    return false;
}

void
crash_begin_alone(Req *r)
{
    bool busy = false;
    int64_t now = g_get_monotonic_time();

    /* Its state may have changed while it waited. */
    if (suspect_check(r->en->suspects, r->print, &busy, now) !=
            SUSPECT_ALONE ||
        busy) {
        r->alone = false;
        return;
    }
    suspect_begin_alone(r->en->suspects, r->print, now);
}

void
crash_end_alone(Req *r, bool well)
{
    SuspectUpdate news;

    r->alone = false;
    if (suspect_end_alone(r->en->suspects, r->print, well,
                          g_get_monotonic_time(), &news)) {
        tell(r->en, &news, 1, NULL);
    }
}

/* Takes the lines of another VM; a malformed line ends the reading. */
void
crash_on_news(Entry *en, Str text)
{
    int64_t now = g_get_monotonic_time();

    for (size_t at = 0; at < text.n;) {
        char line[NEWS_LINE_BYTES];
        const char *end = memchr(text.p + at, '\n', text.n - at);
        size_t n = end == NULL ? text.n - at : (size_t)(end - text.p) - at;
        guint64 print = 0;
        int state = 0;
        gint64 age = 0;

        if (!str_copy(line, sizeof(line), (Str){text.p + at, n}) ||
            sscanf(line, "%16" G_GINT64_MODIFIER "x %d %" G_GINT64_FORMAT,
                   &print, &state, &age) != 3 ||
            state < SUSPECT_CLEAR || state > SUSPECT_CONVICTED || age < 0) {
            lg_line(LG_WARN, "entry", "suspects of another VM: bad line");
            return;
        }
        SuspectUpdate x = {print, (SuspectState)state, age};
        suspect_receive(en->suspects, &x, now);
        at += n + 1;
    }
}
