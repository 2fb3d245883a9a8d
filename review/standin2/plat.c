/* plat - a small platform for the cases of the second review.  See plat.h. */
#include "plat.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>

#define BEAT_MS 1500
#define HISTORY_MS 20000
#define WORK_MS 20 /* of a target, for each request */
/* Below the ports that the kernel gives to clients. */
#define PORT_MIN 12000
#define PORT_MAX 32000
#define HEAD_BYTES 8192
#define CLIENT_WAIT_MS 6000

typedef struct Item {
    char *key;
    char *value; /* base64; NULL: removed */
    uint64_t rev;
    uint64_t created;
    uint64_t lease;
    int64_t at_ms;
} Item;

typedef struct Lease {
    uint64_t id;
    int64_t ttl_ms;
    int64_t left_ms; /* at the last tick */
} Lease;

typedef struct State {
    uint64_t rev;
    uint64_t last_lease;
    GPtrArray *items; /* Item; the newest of each key */
    GArray *leases;   /* Lease */
} State;

typedef struct Message {
    char head[HEAD_BYTES];
    size_t head_bytes;
    char *body;
    size_t body_bytes;
} Message;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static State store;
static State copy;
static GPtrArray *history; /* Item */
static uint64_t lost_rev;  /* newest change that the history has dropped */
static int era = 1;
static PlatAway away = PLAT_HERE;
static int returns; /* a target writes again when it differs from its own */
static int store_port;
static FILE *record;
static const char *work_dir;
static struct timespec started;
static PlatTarget targets[PLAT_TARGETS_MAX];
static int n_targets;
static PlatEdge edges[PLAT_EDGES_MAX];
static int n_edges;

static const char *const zones[][2] = {
    {"tunis-a", "tunis"}, {"sousse-a", "sousse"}, {"sfax-a", "sfax"},
    {"tunis-b", "tunis"}, {"sousse-b", "sousse"}, {"sfax-b", "sfax"},
};

int64_t
plat_now(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return (t.tv_sec - started.tv_sec) * 1000 +
           (t.tv_nsec - started.tv_nsec) / 1000000;
}

static uint64_t
unix_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

void
plat_sleep_until(int64_t at_ms)
{
    int64_t left = at_ms - plat_now();

    if (left > 0) {
        usleep((useconds_t)(left * 1000));
    }
}

void
plat_log(const char *format, ...)
{
    va_list ap;

    flockfile(record);
    fprintf(record, "%7" PRId64 " ", plat_now());
    va_start(ap, format);
    vfprintf(record, format, ap);
    va_end(ap);
    fputc('\n', record);
    fflush(record);
    funlockfile(record);
}

static void
fail(const char *what)
{
    fprintf(stderr, "plat: %s: %s\n", what, strerror(errno));
    plat_stop_edges();
    exit(2);
}

/* Opens a listener at a free port of 127.0.0.1. */
static int
listen_at(int *port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t n = sizeof(a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0 || bind(fd, (struct sockaddr *)&a, sizeof(a)) != 0 ||
        listen(fd, 256) != 0 ||
        getsockname(fd, (struct sockaddr *)&a, &n) != 0) {
        fail("listen");
    }
    *port = ntohs(a.sin_port);
    return fd;
}

/* Returns a port below those that the kernel gives to clients, on which
 * nothing listens and no datagram socket stands. */
static int
free_port(void)
{
    static bool given[PORT_MAX];

    for (int tries = 0; tries < 1000; tries++) {
        int port = g_random_int_range(PORT_MIN, PORT_MAX);
        struct sockaddr_in a = {.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port),
                                .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        bool is_free = bind(tcp, (struct sockaddr *)&a, sizeof(a)) == 0 &&
                       bind(udp, (struct sockaddr *)&a, sizeof(a)) == 0;
        close(tcp);
        close(udp);
        if (is_free && !given[port]) {
            given[port] = true;
            return port;
        }
    }
    fail("no free port");
    return 0;
}

static void
start_thread(void *(*fn)(void *), void *ctx)
{
    pthread_t t;

    if (pthread_create(&t, NULL, fn, ctx) != 0) {
        fail("thread");
    }
    pthread_detach(t);
}

/* Reads until the socket has n more bytes in buf, or a head is complete. */
static bool
read_message(int fd, Message *m)
{
    size_t n = 0;
    char *end = NULL;

    free(m->body);
    memset(m, 0, sizeof(*m));
    while (end == NULL && n < sizeof(m->head) - 1) {
        ssize_t k = recv(fd, m->head + n, sizeof(m->head) - 1 - n, 0);
        if (k <= 0) {
            return false;
        }
        n += (size_t)k;
        end = strstr(m->head, "\r\n\r\n");
    }
    if (end == NULL) {
        return false;
    }
    m->head_bytes = (size_t)(end - m->head) + 4;
    const char *length = strcasestr(m->head, "\r\ncontent-length:");
    if (length != NULL && length < end) {
        m->body_bytes = strtoul(length + 17, NULL, 10);
    }
    m->body = calloc(1, m->body_bytes + 1);
    size_t have = n - m->head_bytes;
    have = have < m->body_bytes ? have : m->body_bytes;
    memcpy(m->body, m->head + m->head_bytes, have);
    while (have < m->body_bytes) {
        ssize_t k = recv(fd, m->body + have, m->body_bytes - have, 0);
        if (k <= 0) {
            return false;
        }
        have += (size_t)k;
    }
    m->head[m->head_bytes - 2] = '\0';
    return true;
}

static bool
send_all(int fd, const char *p, size_t n)
{
    while (n > 0) {
        ssize_t k = send(fd, p, n, MSG_NOSIGNAL);
        if (k <= 0) {
            return false;
        }
        p += k;
        n -= (size_t)k;
    }
    return true;
}

/* Copies the value of a header; empty if there is none. */
static void
header(const Message *m, const char *name, char *out, size_t cap)
{
    char want[64];

    snprintf(want, sizeof(want), "\r\n%s:", name);
    const char *p = strcasestr(m->head, want);
    out[0] = '\0';
    if (p != NULL) {
        p += strlen(want);
        p += strspn(p, " ");
        snprintf(out, cap, "%.*s", (int)strcspn(p, "\r\n"), p);
    }
}

/* ---- the store ---- */

static void
item_free(gpointer p)
{
    Item *it = p;

    g_free(it->key);
    g_free(it->value);
    g_free(it);
}

static Item *
item_copy(const Item *from)
{
    Item *it = g_new(Item, 1);

    *it = *from;
    it->key = g_strdup(from->key);
    it->value = g_strdup(from->value);
    return it;
}

static Item *
find_item(const State *s, const char *key)
{
    for (guint i = 0; i < s->items->len; i++) {
        Item *it = g_ptr_array_index(s->items, i);
        if (strcmp(it->key, key) == 0) {
            return it;
        }
    }
    return NULL;
}

/* value: base64; NULL removes the key.  Called with the lock held. */
static void
store_put(const char *key, const char *value, uint64_t lease)
{
    Item *it = find_item(&store, key);

    store.rev++;
    if (it == NULL) {
        it = g_new0(Item, 1);
        it->key = g_strdup(key);
        g_ptr_array_add(store.items, it);
    }
    it->created = it->value == NULL ? store.rev : it->created;
    g_free(it->value);
    it->value = g_strdup(value);
    it->rev = store.rev;
    it->lease = lease;
    it->at_ms = plat_now();
    g_ptr_array_add(history, item_copy(it));
    while (history->len > 0) {
        const Item *old = g_ptr_array_index(history, 0);
        if (plat_now() - old->at_ms <= HISTORY_MS) {
            break;
        }
        lost_rev = old->rev;
        g_ptr_array_remove_index(history, 0);
    }
    pthread_cond_broadcast(&changed);
}

static Lease *
find_lease(uint64_t id)
{
    for (guint i = 0; i < store.leases->len; i++) {
        Lease *l = &g_array_index(store.leases, Lease, i);
        if (l->id == id) {
            return l;
        }
    }
    return NULL;
}

/* Ends leases; they pause while the store is away. */
static void *
run_leases(void *ctx)
{
    (void)ctx;
    for (int64_t last = plat_now();;) {
        usleep(50000);
        pthread_mutex_lock(&lock);
        int64_t now = plat_now();
        int64_t spent = away == PLAT_HERE ? now - last : 0;
        last = now;
        for (guint i = store.leases->len; i-- > 0;) {
            Lease *l = &g_array_index(store.leases, Lease, i);
            uint64_t id = l->id;
            l->left_ms -= spent;
            if (l->left_ms > 0) {
                continue;
            }
            g_array_remove_index(store.leases, i);
            for (guint k = 0; k < store.items->len; k++) {
                const Item *it = g_ptr_array_index(store.items, k);
                if (it->lease == id && it->value != NULL) {
                    store_put(it->key, NULL, 0);
                }
            }
        }
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

/* Returns the decoded value of a query parameter, or NULL. */
static char *
query(const char *target, const char *name)
{
    char *want = g_strdup_printf("%s=", name);
    const char *p = strchr(target, '?');
    char *out = NULL;

    while (p != NULL && out == NULL) {
        p++;
        if (g_str_has_prefix(p, want)) {
            size_t n = strcspn(p, "& ") - strlen(want);
            out = g_uri_unescape_segment(p + strlen(want),
                                         p + strlen(want) + n, NULL);
        }
        p = strchr(p, '&');
    }
    g_free(want);
    return out;
}

static void
append_item(GString *g, const Item *it)
{
    g_string_append(g, g->str[g->len - 1] == '[' ? "" : ",");
    if (it->value == NULL) {
        g_string_append_printf(
            g, "{\"Key\":\"%s\",\"Rev\":%" PRIu64 ",\"Deleted\":true}",
            it->key, it->rev);
        return;
    }
    g_string_append_printf(g,
                           "{\"Key\":\"%s\",\"Value\":\"%s\",\"Rev\":%" PRIu64
                           ",\"Created\":%" PRIu64 ",\"Lease\":%" PRIu64 "}",
                           it->key, it->value, it->rev, it->created,
                           it->lease);
}

/* All keys of these cases fit one page. */
static int
call_range(const char *target, GString *g)
{
    char *prefix = query(target, "PathPrefix");
    char *after = query(target, "after");

    g_string_assign(g, "{\"items\":[");
    for (guint i = 0; i < store.items->len; i++) {
        const Item *it = g_ptr_array_index(store.items, i);
        if (it->value != NULL && g_str_has_prefix(it->key, prefix) &&
            (after == NULL || strcmp(it->key, after) > 0)) {
            append_item(g, it);
        }
    }
    g_string_append_printf(
        g, "],\"HasMore\":false,\"CurrentRev\":%" PRIu64 "}", store.rev);
    g_free(prefix);
    g_free(after);
    return 200;
}

/* Appends the events behind a revision.  Returns their number. */
static int
append_events(GString *g, const char *prefix, uint64_t after)
{
    int n = 0;

    for (guint i = 0; i < history->len; i++) {
        const Item *it = g_ptr_array_index(history, i);
        if (it->rev > after && g_str_has_prefix(it->key, prefix)) {
            append_item(g, it);
            n++;
        }
    }
    return n;
}

static void
wait_for_change(int64_t ms)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    t.tv_nsec += ms * 1000000;
    t.tv_sec += t.tv_nsec / 1000000000;
    t.tv_nsec %= 1000000000;
    pthread_cond_timedwait(&changed, &lock, &t);
}

/* Returns the status, or 0 if the store went away meanwhile. */
static int
call_watch(const char *target, GString *g)
{
    char *prefix = query(target, "PathPrefix");
    char *text = query(target, "after");
    char *wait = query(target, "WaitMs");
    uint64_t after = text == NULL ? 0 : strtoull(text, NULL, 10);
    int64_t end = plat_now() + (wait == NULL ? 0 : atoll(wait));
    int began = era;
    int status = 200;

    for (;;) {
        if (away != PLAT_HERE || era != began) {
            status = 0;
            break;
        }
        if (after > store.rev || after < lost_rev) {
            status = 410;
            break;
        }
        g_string_assign(g, "{\"events\":[");
        int64_t left = end - plat_now();
        if (append_events(g, prefix, after) > 0 || left <= 0) {
            g_string_append_printf(g, "],\"CurrentRev\":%" PRIu64 "}",
                                   store.rev);
            break;
        }
        wait_for_change(left < 50 ? left : 50);
    }
    g_free(prefix);
    g_free(text);
    g_free(wait);
    return status;
}

/* Returns the text behind name, up to a quote, comma or brace. */
static char *
field(const char *body, const char *name)
{
    const char *p = strstr(body, name);

    return p == NULL ? NULL
                     : g_strndup(p + strlen(name),
                                 strcspn(p + strlen(name), "\",}"));
}

static int
call_txn(const Message *m, GString *g)
{
    char *key = field(m->body, "\"Key\":\"");
    char *value = field(m->body, "\"Value\":\"");
    char *lease = field(m->body, "\"Lease\":");
    uint64_t id = lease == NULL ? 0 : strtoull(lease, NULL, 10);
    int status = 200;

    if (strstr(m->body, "\"Precondition\":[]") == NULL || key == NULL ||
        value == NULL) {
        status = 501;
    }
    else if (id != 0 && find_lease(id) == NULL) {
        status = 404;
    }
    else {
        store_put(key, value, id);
        plat_log("store put key=%s rev=%" PRIu64, key, store.rev);
        g_string_printf(g, "{\"Rev\":%" PRIu64 "}", store.rev);
    }
    g_free(key);
    g_free(value);
    g_free(lease);
    return status;
}

static int
call_lease(const Message *m, GString *g)
{
    char *ttl = field(m->body, "\"Ttl_time\":\"");
    Lease l = {++store.last_lease, ttl == NULL ? 1000 : atoll(ttl), 0};

    l.left_ms = l.ttl_ms;
    g_array_append_val(store.leases, l);
    g_string_printf(g,
                    "{\"Lease\":%" PRIu64 ",\"Ttl_time\":\"%" PRId64 "ms\"}",
                    l.id, l.ttl_ms);
    g_free(ttl);
    return 200;
}

static int
call_keep(uint64_t id, GString *g)
{
    Lease *l = find_lease(id);

    if (l == NULL) {
        return 404;
    }
    l->left_ms = l->ttl_ms;
    g_string_printf(g, "{\"Ttl_time\":\"%" PRId64 "ms\"}", l->ttl_ms);
    return 200;
}

/* Runs a call with the lock held.  Returns 0 if the store is away. */
static int
run_call(const Message *m, GString *g)
{
    const char *target = strchr(m->head, ' ') + 1;

    g_string_assign(g, "{}");
    if (away != PLAT_HERE) {
        return 0;
    }
    if (g_str_has_prefix(target, "/api/kv-range")) {
        return call_range(target, g);
    }
    if (g_str_has_prefix(target, "/api/kv-watch")) {
        return call_watch(target, g);
    }
    if (g_str_has_prefix(target, "/api/kv-txn")) {
        return call_txn(m, g);
    }
    if (g_str_has_prefix(target, "/api/kv-lease ")) {
        return call_lease(m, g);
    }
    if (g_str_has_prefix(target, "/api/kv-keep/")) {
        return call_keep(strtoull(target + strlen("/api/kv-keep/"), NULL, 10),
                         g);
    }
    return 404;
}

static void
reset(int fd)
{
    struct linger now = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

/* A connection on which an answer is lost returns nothing further. */
static void
stay_silent(int fd)
{
    char buf[512];

    while (recv(fd, buf, sizeof(buf), 0) > 0) {
    }
}

static void *
serve_store(void *ctx)
{
    int fd = GPOINTER_TO_INT(ctx);
    Message *m = calloc(1, sizeof(*m));
    GString *g = g_string_new(NULL);

    while (read_message(fd, m)) {
        pthread_mutex_lock(&lock);
        int status = run_call(m, g);
        PlatAway how = away;
        int now_era = era;
        pthread_mutex_unlock(&lock);
        if (status == 0) {
            if (how == PLAT_SILENT) {
                stay_silent(fd);
            }
            else {
                reset(fd);
            }
            break;
        }
        char *head = g_strdup_printf(
            "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
            "Store-Era: %d\r\nContent-Length: %zu\r\n\r\n",
            status, now_era, g->len);
        bool sent =
            send_all(fd, head, strlen(head)) && send_all(fd, g->str, g->len);
        g_free(head);
        if (!sent) {
            break;
        }
    }
    close(fd);
    g_string_free(g, TRUE);
    free(m->body);
    free(m);
    return NULL;
}

static void *
accept_store(void *ctx)
{
    int one = 1;

    for (;;) {
        int fd = accept4(GPOINTER_TO_INT(ctx), NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            start_thread(serve_store, GINT_TO_POINTER(fd));
        }
    }
    return NULL;
}

static State
state_copy(const State *s)
{
    State out = {.rev = s->rev, .last_lease = s->last_lease};

    out.items = g_ptr_array_new_with_free_func(item_free);
    for (guint i = 0; i < s->items->len; i++) {
        g_ptr_array_add(out.items, item_copy(g_ptr_array_index(s->items, i)));
    }
    out.leases = g_array_copy(s->leases);
    return out;
}

void
plat_store_copy(void)
{
    pthread_mutex_lock(&lock);
    copy = state_copy(&store);
    plat_log("store copy rev=%" PRIu64, copy.rev);
    pthread_mutex_unlock(&lock);
}

void
plat_store_leave(PlatAway how)
{
    pthread_mutex_lock(&lock);
    away = how;
    plat_log("store away rev=%" PRIu64, store.rev);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

void
plat_store_return(bool from_copy)
{
    pthread_mutex_lock(&lock);
    uint64_t before = store.rev;
    if (from_copy) {
        store = state_copy(&copy);
        while (history->len > 0) {
            const Item *last = g_ptr_array_index(history, history->len - 1);
            if (last->rev <= store.rev) {
                break;
            }
            g_ptr_array_remove_index(history, history->len - 1);
        }
        era++;
    }
    away = PLAT_HERE;
    returns++;
    plat_log("store back rev=%" PRIu64 " before=%" PRIu64 " era=%d", store.rev,
             before, era);
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

int64_t
plat_operator_put(const char *key, const char *value)
{
    char *base64 = g_base64_encode((const guchar *)value, strlen(value));

    pthread_mutex_lock(&lock);
    store_put(key, base64, 0);
    int64_t at = plat_now();
    plat_log("operator put key=%s rev=%" PRIu64 " value=%.14s", key, store.rev,
             value);
    pthread_mutex_unlock(&lock);
    g_free(base64);
    return at;
}

/* ---- targets ---- */

/* Reports every BEAT_MS, and at once when the store has come back. */
static void *
run_reports(void *ctx)
{
    PlatTarget *t = ctx;
    char *key = g_strdup_printf("servers/%s", t->id);
    int seen = 0;
    int64_t due = plat_now() + BEAT_MS * ((t - targets) % 32) / 32;

    for (int seq = 1;;) {
        usleep(10000);
        pthread_mutex_lock(&lock);
        if (away == PLAT_HERE && (plat_now() >= due || seen != returns)) {
            char *text = g_strdup_printf(
                "{\"Service\":\"%s\",\"Addr\":\"127.0.0.1:%d\",\"Zone\":\"%s\""
                ",\"Version\":\"v1\",\"Slots\":3,\"State\":\"ready\","
                "\"ColdLeft\":\"0ms\",\"Seq\":%d,\"born\":%" PRIu64 "}",
                t->service, t->port, t->zone, seq++, t->born_ms);
            char *base64 = g_base64_encode((const guchar *)text, strlen(text));
            store_put(key, base64, 0);
            g_free(base64);
            g_free(text);
            seen = returns;
            while (due <= plat_now()) {
                due += BEAT_MS;
            }
        }
        pthread_mutex_unlock(&lock);
    }
    return NULL;
}

typedef struct Accepted {
    const PlatTarget *t;
    int fd;
} Accepted;

static void *
serve_target(void *ctx)
{
    Accepted *a = ctx;
    const PlatTarget *t = a->t;
    Message *m = calloc(1, sizeof(*m));
    char out[1024];

    while (read_message(a->fd, m)) {
        char id[64];
        char want[64];
        char path[128];
        header(m, "X-Mimosascale-Attempt-Id", id, sizeof(id));
        header(m, "X-Mimosascale-Want-Instance", want, sizeof(want));
        const char *p = strchr(m->head, ' ') + 1;
        snprintf(path, sizeof(path), "%.*s", (int)strcspn(p, " "), p);
        if (want[0] != '\0' && strcmp(want, t->id) != 0) {
            snprintf(out, sizeof(out),
                     "HTTP/1.1 421 Misdirected Request\r\n"
                     "X-Mimosascale-Attempt-Id: %s\r\n"
                     "X-Mimosascale-Instance: %s\r\n"
                     "X-Mimosascale-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                     id, t->id);
        }
        else {
            plat_log("run id=%s path=%s target=%s service=%s zone=%s", id,
                     path, t->id, t->service, t->zone);
            usleep(WORK_MS * 1000);
            snprintf(out, sizeof(out),
                     "HTTP/1.1 200 OK\r\nX-Mimosascale-Attempt-Id: %s\r\n"
                     "X-Mimosascale-Reply-Seal: %s.%s\r\n"
                     "X-Mimosascale-Load: 1,0,3\r\nKeep-Alive: timeout=10\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     id, t->id, id, strlen(t->service), t->service);
        }
        if (!send_all(a->fd, out, strlen(out))) {
            break;
        }
    }
    close(a->fd);
    free(a);
    free(m->body);
    free(m);
    return NULL;
}

static void *
accept_target(void *ctx)
{
    const PlatTarget *t = ctx;
    int one = 1;

    for (;;) {
        int fd = accept4(t->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            Accepted *a = malloc(sizeof(*a));
            *a = (Accepted){t, fd};
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            start_thread(serve_target, a);
        }
    }
    return NULL;
}

void
plat_add_target(const char *service, const char *zone)
{
    PlatTarget *t = &targets[n_targets];

    t->service = service;
    t->zone = zone;
    t->born_ms = unix_ms() - 60000;
    snprintf(t->id, sizeof(t->id), "i-%s-%d", service, n_targets++);
    t->listener = listen_at(&t->port);
    start_thread(accept_target, t);
    start_thread(run_reports, t);
}

/* ---- entry VMs ---- */

static void
write_settings(const PlatEdge *e, const char *file)
{
    FILE *f = fopen(file, "w");

    if (f == NULL) {
        fail(file);
    }
    fprintf(f,
            "[vm]\nid = %s\nzone = %s\nmemory_mb = 260\ndescriptors = 4100\n"
            "link_mbps = 1000.0\n\n[zones]\n",
            e->id, e->zone);
    for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
        fprintf(f, "%s = %s\n", zones[i][0], zones[i][1]);
    }
    fprintf(f,
            "[listen]\nrequests = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
            "directory = 127.0.0.1:%d\npeers = 127.0.0.1:%d\n"
            "metrics = 127.0.0.1:%d\n\n[store]\naddress = 127.0.0.1:%d\n\n",
            e->port[0], e->port[1], e->port[2], e->port[3], e->port[4],
            store_port);
    fprintf(f, "[bounds]\ndrain = 2000ms\nconfiguration = 2000ms\n"
               "stop = 6s\ndirectory_ttl = 2s\nmax_shift = 0.15\n"
               "retry_ratio = 0.2\nretry_slack = 56\nretry_window = 10s\n");
    fclose(f);
}

PlatEdge *
plat_add_edge(const char *id, const char *zone)
{
    PlatEdge *e = &edges[n_edges++];
    char file[256];

    e->id = id;
    e->zone = zone;
    for (int i = 0; i < 5; i++) {
        e->port[i] = free_port();
    }
    snprintf(file, sizeof(file), "%s/%s.ini", work_dir, id);
    snprintf(e->log, sizeof(e->log), "%s/%s.log", work_dir, id);
    write_settings(e, file);
    e->pid = fork();
    if (e->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int log = open(e->log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
        if (log >= 0) {
            dup2(log, STDOUT_FILENO);
            dup2(log, STDERR_FILENO);
            execl("target/mimosa-edge", "target/mimosa-edge", "--config", file,
                  (char *)NULL);
        }
        _exit(127);
    }
    plat_log("edge id=%s zone=%s pid=%d port=%d", id, zone, e->pid,
             e->port[0]);
    return e;
}

void
plat_stop_edges(void)
{
    for (int i = 0; i < n_edges; i++) {
        kill(edges[i].pid, SIGKILL);
        waitpid(edges[i].pid, NULL, 0);
    }
    n_edges = 0;
}

/* ---- clients ---- */

static int
connect_to(int port)
{
    struct sockaddr_in a = {.sin_family = AF_INET,
                            .sin_port = htons((uint16_t)port),
                            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval wait = {CLIENT_WAIT_MS / 1000, 0};
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)&a, sizeof(a)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

bool
plat_wait_ready(const PlatEdge *e, int64_t until_ms)
{
    static const char ask[] =
        "GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";

    while (plat_now() < until_ms) {
        Message *m = calloc(1, sizeof(*m));
        int fd = connect_to(e->port[1]);
        bool ready = fd >= 0 && send_all(fd, ask, strlen(ask)) &&
                     read_message(fd, m) &&
                     strncmp(m->head, "HTTP/1.1 200", 12) == 0;
        if (fd >= 0) {
            close(fd);
        }
        free(m->body);
        free(m);
        if (ready) {
            return true;
        }
        usleep(100000);
    }
    return false;
}

PlatAnswer
plat_request(int *fd, const PlatEdge *e, const char *method, const char *path,
             const char *id)
{
    PlatAnswer a = {.sent_ms = plat_now()};
    Message *m = calloc(1, sizeof(*m));
    char close_header[16] = "";
    char out[512];

    if (*fd < 0) {
        *fd = connect_to(e->port[0]);
    }
    snprintf(out, sizeof(out),
             "%s %s HTTP/1.1\r\nHost: " PLAT_HOST "\r\n"
             "X-Mimosascale-Attempt-Id: %s\r\n"
             "X-Mimosascale-Affinity-Key: %s\r\n"
             "X-Mimosascale-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
             method, path, id, id + strlen(id) - 2, CLIENT_WAIT_MS);
    bool ok =
        *fd >= 0 && send_all(*fd, out, strlen(out)) && read_message(*fd, m);
    a.ended_ms = plat_now();
    if (ok) {
        a.status = atoi(m->head + strlen("HTTP/1.1 "));
        snprintf(a.service, sizeof(a.service), "%.31s", m->body);
        header(m, "Connection", close_header, sizeof(close_header));
    }
    if (*fd >= 0 && (!ok || strcasecmp(close_header, "close") == 0)) {
        close(*fd);
        *fd = -1;
    }
    plat_log("request id=%s edge=%s path=%s sent=%" PRId64
             " status=%d body=%s",
             id, e->id, path, a.sent_ms, a.status, a.service);
    free(m->body);
    free(m);
    return a;
}

/* ---- start ---- */

void
plat_start(const char *record_file, const char *dir)
{
    clock_gettime(CLOCK_MONOTONIC, &started);
    signal(SIGPIPE, SIG_IGN);
    work_dir = dir;
    record = fopen(record_file, "w");
    if (record == NULL) {
        fail(record_file);
    }
    /* Revisions start above 0, at the age of a platform that is in use. */
    store = (State){.rev = 5000, .last_lease = 70000};
    store.items = g_ptr_array_new_with_free_func(item_free);
    store.leases = g_array_new(FALSE, TRUE, sizeof(Lease));
    history = g_ptr_array_new_with_free_func(item_free);
    lost_rev = store.rev;
    int listener = listen_at(&store_port);
    start_thread(accept_store, GINT_TO_POINTER(listener));
    start_thread(run_leases, NULL);
}
