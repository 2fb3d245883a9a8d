/* ctl_status - the commands status and explain of mimosactl, and --wait.  All
 * send RPCs to the controls.  See ctl_cmd.h. */
#include "ctl_cmd.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "manifest_int.h"
#include "xdrio.h"

#define QUERY_TIMEOUT_MS 1000
#define POLL_MS 100 /* between two polls of --wait */
/* First words of the lines of a status answer that are parsed here. */
#define VM_LINE "vm "
#define LOCAL_LINE "local "

/* One query to one control. */
typedef struct Query {
    RpcClient *rpc;
    const char *address;
    char *text;   /* NULL: no answer */
    int *waiting; /* queries without a result, shared by all */
    Err e;        /* why there is no answer */
} Query;

static void
on_text(void *ctx, void *res, const Err *e)
{
    Query *q = ctx;
    const ms_text *t = res;

    (*q->waiting)--;
    if (t != NULL) {
        q->text = g_strdup(t->text);
    }
    else {
        q->e = *e;
    }
}

/* Sends a query to the first n controls in parallel and waits until each has
 * answered or failed. */
static void
query_all(const Ctl *c, u_long proc, const char *text, Query *q, int n)
{
    const RpcOpts o = {.key = c->s.fleet_key};
    ms_query args = {.text = (char *)text};
    int waiting = n;

    for (int i = 0; i < n; i++) {
        q[i] = (Query){.address = c->s.peers[i], .waiting = &waiting};
        q[i].rpc = xio_client_new(q[i].address, &o);
        xio_call(q[i].rpc, (uint32_t)proc, (xdrproc_t)xdr_ms_query, &args,
                 (xdrproc_t)xdr_ms_text, sizeof(ms_text), QUERY_TIMEOUT_MS,
                 on_text, &q[i]);
    }
    while (waiting > 0) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
free_queries(Query *q, int n)
{
    for (int i = 0; i < n; i++) {
        xio_client_free(q[i].rpc);
        g_free(q[i].text);
    }
}

static bool
check_peers(const Ctl *c, Err *e)
{
    return c->s.n_peers > 0 ||
           err_set(e, ERR_VALUE,
                   "%.120s: [fleet] peers: found nothing; allowed: IP:PORT of "
                   "controls, separated by \";\"; add one of each zone",
                   c->o.config);
}

/* Queries all controls and prints the first answer in the order of the peers.
 * Errors: ERR_UNAVAILABLE if none answers. */
static bool
print_first(const Ctl *c, u_long proc, const char *text, Err *e)
{
    Query q[PEERS_MAX];
    bool found = false;

    if (!check_peers(c, e)) {
        return false;
    }
    query_all(c, proc, text, q, c->s.n_peers);
    for (int i = 0; i < c->s.n_peers; i++) {
        if (q[i].text == NULL) {
            printf("control %s does not answer: %s\n", q[i].address,
                   q[i].e.text);
        }
        else if (!found) {
            printf("control %s answers:\n%s", q[i].address, q[i].text);
            found = true;
        }
    }
    free_queries(q, c->s.n_peers);
    return found || err_set(e, ERR_UNAVAILABLE,
                            "[fleet] peers: none of %d controls answers; "
                            "check addresses and key, or give other peers",
                            c->s.n_peers);
}

bool
ctl_status(Ctl *c, Err *e)
{
    CtlStored now;
    Err store_e = {0};

    /* Operators call status during store outages too, so try only once. */
    c->deadline_us = 0;
    if (!ctl_stored_read(c, &now, &store_e)) {
        printf("store %s does not answer: %s\n", c->s.store, store_e.text);
    }
    else {
        printf("store %s has version %" G_GUINT64_FORMAT " (change %s)\n",
               c->s.store, now.version,
               now.version != 0 ? now.change_id : "none");
        ctl_stored_clear(&now);
    }
    return print_first(c, MS_STATUS, "", e);
}

/* Returns a copy of VALUE of the word "key=VALUE" in a line, or NULL. */
static char *
word_value(const char *line, const char *key)
{
    gchar **w = g_strsplit(line, " ", -1);
    size_t n = strlen(key);
    char *v = NULL;

    for (int i = 0; v == NULL && w[i] != NULL; i++) {
        if (strncmp(w[i], key, n) == 0 && w[i][n] == '=') {
            v = g_strdup(w[i] + n + 1);
        }
    }
    g_strfreev(w);
    return v;
}

/* State of one VM, merged from the answers of all controls. */
typedef struct VmState {
    char *zone;
    uint64_t version; /* greatest that a control reports */
    bool live;        /* some control reports a state other than "gone" */
} VmState;

static void
free_vm(gpointer p)
{
    VmState *v = p;

    g_free(v->zone);
    g_free(v);
}

/* Merges a line "vm id=ID zone=ZONE state=STATE version=N ..." into vms. */
static void
add_vm(GHashTable *vms, const char *line)
{
    char *id = word_value(line, "id");
    char *zone = word_value(line, "zone");
    char *state = word_value(line, "state");
    char *version = word_value(line, "version");
    uint64_t n = 0;

    if (id != NULL && version != NULL &&
        str_u64(str_of(version), UINT64_MAX, &n)) {
        VmState *v = g_hash_table_lookup(vms, id);
        if (v == NULL) {
            v = g_new0(VmState, 1);
            v->zone = g_strdup(zone != NULL ? zone : "");
            g_hash_table_insert(vms, g_strdup(id), v);
        }
        /* Versions only increase, so the greatest one reported is the newest.
         */
        v->version = MAX(v->version, n);
        v->live |= g_strcmp0(state, "gone") != 0;
    }
    g_free(id);
    g_free(zone);
    g_free(state);
    g_free(version);
}

/* Counts that show how far a version has been rolled out. */
typedef struct Rollout {
    int live;         /* VMs */
    int in_force;     /* live VMs with at least the version */
    int unresponsive; /* controls that do not answer */
    int behind; /* programs on the VM of a control with an older version */
} Rollout;

/* Counts a program that runs on the VM of a control with an older version.
 * The line is "local ... entry=yes entry_version=N lookup=yes
 * lookup_version=N". */
static void
add_local(Rollout *f, const char *line, const char *program, uint64_t version,
          const char *control, bool print)
{
    char *key = g_strdup_printf("%s_version", program);
    char *runs = word_value(line, program);
    char *has = word_value(line, key);
    uint64_t n = 0;

    if (g_strcmp0(runs, "yes") == 0 && has != NULL &&
        str_u64(str_of(has), UINT64_MAX, &n) && n < version) {
        f->behind++;
        if (print) {
            printf("not in force: %s beside control %s has version "
                   "%" G_GUINT64_FORMAT "\n",
                   program, control, n);
        }
    }
    g_free(key);
    g_free(runs);
    g_free(has);
}

/* Adds the answer of one control to the counts and to vms. */
static void
add_answer(Rollout *f, GHashTable *vms, const Query *q, uint64_t version,
           bool print)
{
    gchar **lines = g_strsplit(q->text != NULL ? q->text : "", "\n", -1);

    f->unresponsive += q->text == NULL;
    if (print && q->text == NULL) {
        printf("not known: control %s does not answer: %s\n", q->address,
               q->e.text);
    }
    for (int l = 0; lines[l] != NULL; l++) {
        if (g_str_has_prefix(lines[l], VM_LINE)) {
            add_vm(vms, lines[l]);
        }
        else if (g_str_has_prefix(lines[l], LOCAL_LINE)) {
            add_local(f, lines[l], "entry", version, q->address, print);
            add_local(f, lines[l], "lookup", version, q->address, print);
        }
    }
    g_strfreev(lines);
}

/* Polls all controls.  With print, prints the VMs and programs where the
 * version is not in force. */
static Rollout
poll_controls(const Ctl *c, uint64_t version, bool print)
{
    Query q[PEERS_MAX];
    Rollout f = {0};
    GHashTableIter it;
    gpointer id;
    gpointer p;
    GHashTable *vms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_vm);

    query_all(c, MS_STATUS, "", q, c->s.n_peers);
    for (int i = 0; i < c->s.n_peers; i++) {
        add_answer(&f, vms, &q[i], version, print);
    }
    g_hash_table_iter_init(&it, vms);
    while (g_hash_table_iter_next(&it, &id, &p)) {
        const VmState *v = p;
        f.live += v->live;
        f.in_force += v->live && v->version >= version;
        if (print && v->live && v->version < version) {
            printf("not in force: vm %s of zone %s has version "
                   "%" G_GUINT64_FORMAT "\n",
                   (char *)id, v->zone, v->version);
        }
    }
    free_queries(q, c->s.n_peers);
    g_hash_table_destroy(vms);
    return f;
}

static bool
is_done(Rollout f)
{
    return f.live > 0 && f.in_force == f.live && f.unresponsive == 0 &&
           f.behind == 0;
}

bool
ctl_wait(Ctl *c, uint64_t version, Err *e)
{
    int64_t start = g_get_monotonic_time();
    Rollout f = {0};

    if (!check_peers(c, e)) {
        return false;
    }
    for (;;) {
        f = poll_controls(c, version, false);
        int64_t ms = (g_get_monotonic_time() - start) / 1000;
        if (is_done(f)) {
            printf("version %" G_GUINT64_FORMAT " in force on %d of %d VMs "
                   "after %" G_GINT64_FORMAT " ms\n",
                   version, f.in_force, f.live, ms);
            return true;
        }
        if (ms >= c->o.wait_ms) {
            break;
        }
        g_usleep(POLL_MS * 1000);
    }
    f = poll_controls(c, version, true);
    return err_set(e, ERR_TIMEOUT,
                   "version %" G_GUINT64_FORMAT ": found in force on %d of %d "
                   "VMs after %" G_GINT64_FORMAT " ms, %d controls silent; "
                   "allowed: all; the version stays accepted, look at "
                   "\"mimosactl status\"",
                   version, f.in_force, f.live, c->o.wait_ms, f.unresponsive);
}

/* Returns the home zone of a client by its longest matching block, or -1. */
static int
home_zone(const Manifest *m, const MfBlock *client)
{
    int zone = -1;
    int bits = -1;

    for (size_t i = 0; i < m->n_blocks; i++) {
        const MfBlock *b = &m->blocks[i];
        int whole = b->bits / 8;
        int rest = b->bits % 8;
        int mask = 0xff00 >> rest & 0xff;
        if (b->bits > bits && memcmp(b->addr, client->addr, whole) == 0 &&
            (rest == 0 ||
             ((b->addr[whole] ^ client->addr[whole]) & mask) == 0)) {
            bits = b->bits;
            zone = b->zone;
        }
    }
    return zone;
}

static bool
read_client(const char *text, MfBlock *out, Err *e)
{
    char prefix[INET6_ADDRSTRLEN + 8];

    snprintf(prefix, sizeof(prefix), "%.45s/%d", text,
             strchr(text, ':') != NULL ? 128 : 32);
    if (manifest_block_read(out, str_of(prefix), NULL)) {
        return true;
    }
    return err_set(e, ERR_USAGE,
                   "--client: found \"%.60s\"; allowed: an IPv4 or IPv6 "
                   "address; correct it",
                   text);
}

static bool
check_names(const CtlOpts *o, const Manifest *m, Err *e)
{
    if (manifest_service(m, str_of(o->service)) < 0) {
        return err_set(e, ERR_NOT_FOUND,
                       "--service: found \"%.60s\"; allowed: a service of "
                       "the manifest; correct the name",
                       o->service);
    }
    if (o->rank != NULL && manifest_rank(m, str_of(o->rank)) < 0) {
        return err_set(e, ERR_NOT_FOUND,
                       "--rank: found \"%.60s\"; allowed: a rank of the "
                       "manifest; correct the name",
                       o->rank);
    }
    return true;
}

bool
ctl_explain(Ctl *c, Err *e)
{
    const CtlOpts *o = &c->o;
    CtlStored now;
    MfBlock client = {0};
    GString *q = g_string_new(NULL);
    bool ok = true;

    if (o->service == NULL || o->client == NULL) {
        g_string_free(q, TRUE);
        return err_set(e, ERR_USAGE,
                       "explain: found no %s; allowed: --service NAME "
                       "--client IP [--rank NAME]; add it",
                       o->service == NULL ? "--service" : "--client");
    }
    g_string_printf(q, "service=%s client=%s", o->service, o->client);
    if (o->rank != NULL) {
        g_string_append_printf(q, " rank=%s", o->rank);
    }
    ok = read_client(o->client, &client, e);
    c->deadline_us = 0;
    /* Without the store, the controls still explain from their cached
     * configuration. */
    if (ok && ctl_stored_read(c, &now, NULL)) {
        if (now.m != NULL) {
            int home = home_zone(now.m, &client);
            printf("client %s: home zone %s by version %" G_GUINT64_FORMAT
                   "\n",
                   o->client, home >= 0 ? now.m->zones[home].name : "none",
                   now.version);
            if (home >= 0) {
                g_string_append_printf(q, " zone=%s", now.m->zones[home].name);
            }
            ok = check_names(o, now.m, e);
        }
        ctl_stored_clear(&now);
    }
    ok = ok && print_first(c, MS_EXPLAIN, q->str, e);
    g_string_free(q, TRUE);
    return ok;
}
