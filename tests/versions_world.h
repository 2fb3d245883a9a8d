/*
 * versions_world - random versions of a configuration that are put in force
 * while callers send requests and upstreams answer, lose and reject them.
 */
#ifndef MIMOSA_TESTS_VERSIONS_WORLD_H
#define MIMOSA_TESTS_VERSIONS_WORLD_H

#include "px_world.h"

#include <fcntl.h>

#include "route_versions.h"

#define VW_STUBS (RV_SERVICES * RV_REGIONS * 2)
#define VW_BODY 24                /* bytes of a request's body */
#define VW_CONNS 48               /* of callers */
#define VW_TIMEOUT_US (1100 * MS) /* the longest of a route */

static const char *const vw_regions[RV_REGIONS] = {"reg0", "reg1"};

/* A request, by the index that is its id. */
typedef struct VwAsk {
    char *host;
    char *path;
    int sent; /* version in force when the last byte was sent; -1: not yet */
    int64_t sent_us;
    int arrivals;
    int status;
} VwAsk;

typedef struct VwConn {
    int fd; /* -1: closed */
    GString *in;
    GString *tail; /* rest of the last request */
    int64_t tail_us;
    GArray *asks; /* indexes of requests without a response, in order */
} VwConn;

/* A connection at an upstream. */
typedef struct VwServed {
    int fd;
    GString *in;
    GString *answer; /* empty: waits for a request; NULL: never answers */
    int64_t answer_us;
    bool close; /* after the answer */
} VwServed;

typedef struct VwStub {
    int listener;
    struct sockaddr_in at;
    int region;
    int service;
    char id[16];
    char listed[16];   /* id that discovery has reported */
    int64_t report_us; /* when it reports the present id; 0: it has */
    GPtrArray *served; /* VwServed */
} VwStub;

typedef struct VwCounts {
    int requests;
    int runs;
    int ok;
    int not_found;
    int other;
    int broken;     /* connections with requests without a response */
    int repeats;    /* second and further arrivals */
    int old;        /* arrivals that the newest version does not allow */
    int64_t old_us; /* the latest of them after the version that ended it */
    int first_old;  /* first arrivals of this kind */
    int mismatched; /* 421 */
    int not_run;
    int lost;
    int held;
    int pipelined;
    int slow;
    int waits;
    int behind;
    int versions;
    int exchanged; /* addresses that went to another service */
    int refusing;  /* of these, those that refused connections meanwhile */
} VwCounts;

typedef struct VwWorld {
    World w;
    GRand *r;
    guint32 seed;
    GArray *versions; /* RvVersion */
    GArray *set_us;   /* int64_t: when each was put in force */
    int now;          /* index of the newest version */
    int before;       /* the same before the running iteration */
    GArray *asks;     /* VwAsk */
    VwConn conns[VW_CONNS];
    VwStub stubs[VW_STUBS];
    int n_ids;
    EvlTimer timer; /* puts a version in force amid an iteration */
    VwCounts n;
} VwWorld;

static inline const RvVersion *
vw_version(const VwWorld *x, int i)
{
    return &g_array_index(x->versions, RvVersion, i);
}

static inline VwAsk *
vw_ask(const VwWorld *x, int i)
{
    return &g_array_index(x->asks, VwAsk, i);
}

static inline void
vw_set_version(VwWorld *x)
{
    RvVersion v = *vw_version(x, x->versions->len - 1);
    int64_t now_us = evl_now(x->w.loop);
    Err e = {0};

    if (x->now >= 0) {
        rv_next(&v, x->r);
        g_array_append_val(x->versions, v);
    }
    GString *s = rv_json(&v, x->r);
    RtTable *t = pf_parse_config((Str){s->str, s->len}, &e);
    ck_assert_msg(t != NULL, "%s", e.text);
    px_set_routes(x->w.px, t);
    px_set_routes_behind(x->w.px, false);
    px_wait_for_view(x->w.px, 0);
    rt_unref(t);
    g_string_free(s, TRUE);
    g_array_append_val(x->set_us, now_us);
    x->now++;
    x->n.versions++;
}

static inline void
vw_on_timer(void *ctx, int64_t now_us)
{
    (void)now_us;
    vw_set_version(ctx);
}

/* The newest version from first on that lets the service run the request in
 * the region; -1: none. */
static inline int
vw_allowed_by(const VwWorld *x, const VwAsk *a, int first, const VwStub *s)
{
    for (int i = x->now; i >= first; i--) {
        const RvRoute *m = rv_match(vw_version(x, i), a->host, a->path);
        if (rv_allows(m, s->service) &&
            (m->home < 0 || m->home == s->region)) {
            return i;
        }
    }
    return -1;
}

/* True if no version since the request was sent allows a second attempt. */
static inline bool
vw_has_one_attempt(const VwWorld *x, const VwAsk *a)
{
    for (int i = a->sent; i <= x->now; i++) {
        const RvRoute *m = rv_match(vw_version(x, i), a->host, a->path);
        if (m != NULL && m->attempts > 1) {
            return false;
        }
    }
    return true;
}

/* Checks a request that the upstream has received and runs. */
static inline void
vw_check_run(VwWorld *x, const VwStub *s, int index)
{
    VwAsk *a = vw_ask(x, index);
    int by = vw_allowed_by(x, a, MAX(a->sent, 0), s);

    ck_assert_msg(
        a->sent >= 0 && by >= 0,
        "seed %u: request %d (%s %s), sent in version %d, run by s%d "
        "in reg%d; newest %d, arrival %d",
        x->seed, index, a->host, a->path, a->sent, s->service, s->region,
        x->now, a->arrivals);
    if (by < x->now) {
        int64_t ended_us = g_array_index(x->set_us, int64_t, by + 1);
        x->n.old++;
        x->n.old_us = MAX(x->n.old_us, evl_boottime() - ended_us);
        x->n.first_old += a->arrivals == 0 ? 1 : 0;
    }
    /* What is not a retry is sent by the version in force at that time. */
    ck_assert_msg(by >= x->before || !vw_has_one_attempt(x, a),
                  "seed %u: first attempt of request %d by version %d of %d",
                  x->seed, index, by, x->now);
    x->n.runs++;
    x->n.repeats += a->arrivals > 0 ? 1 : 0;
    a->arrivals++;
}

/* Reads what has arrived.  Returns false at the end of the connection. */
static inline bool
vw_read(int fd, GString *in)
{
    char buf[8192];
    ssize_t n;

    while ((n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0) {
        g_string_append_len(in, buf, n);
    }
    return n < 0 && errno == EAGAIN;
}

/* Value of a header in the text, or NULL. */
static inline char *
vw_header(const char *text, const char *name)
{
    const char *end = strstr(text, "\r\n\r\n");
    const char *at = strcasestr(text, name);

    if (at == NULL || at > end) {
        return NULL;
    }
    at += strlen(name);
    at += strspn(at, ": ");
    return g_strndup(at, strcspn(at, "\r"));
}

/* Removes a message from the start of the text, and returns it; NULL: it is
 * not complete. */
static inline char *
vw_take_message(GString *in)
{
    const char *end = strstr(in->str, "\r\n\r\n");

    if (end == NULL) {
        return NULL;
    }
    char *length = vw_header(in->str, "\r\nContent-Length");
    size_t n = (size_t)(end + 4 - in->str) +
               (length == NULL ? 0 : (size_t)atoi(length));
    g_free(length);
    if (in->len < n) {
        return NULL;
    }
    char *text = g_strndup(in->str, n);
    g_string_erase(in, 0, (gssize)n);
    return text;
}

#endif
