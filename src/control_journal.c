/* control_journal - finished idempotency records of the local entry in the
 * store, and those of former members for their successors. */
#include "control.h"

#include <string.h>

#include "lg.h"

#define PART "journal"
#define US_PER_MS 1000
/* One write a second and VM keeps 100 busy VMs under the fleet's share of the
 * store's writes; a fleet of 400 writes every four seconds. */
#define WRITE_EVERY_MS 1000
#define VMS_PER_WRITE_S 100
#define CALLS_KEPT 4.0
#define HEAD_BYTES 4 /* length of a batch in the value, big-endian */

struct ControlJournal {
    Control *c;
    GByteArray *ring; /* batches with their lengths, oldest first */
    bool dirty;
    bool writing;
    int64_t written_us;
    uint64_t version; /* of the own key */
    GQueue *wanted;   /* ids whose keys are to be read */
    bool reading;
};

ControlJournal *
control_journal_new(Control *c)
{
    ControlJournal *j = g_new0(ControlJournal, 1);

    j->c = c;
    j->ring = g_byte_array_new();
    j->wanted = g_queue_new();
    return j;
}

void
control_journal_free(ControlJournal *j)
{
    if (j != NULL) {
        g_byte_array_unref(j->ring);
        g_queue_free_full(j->wanted, g_free);
        g_free(j);
    }
}

static uint32_t
length_at(const uint8_t *p)
{
    uint32_t n;

    memcpy(&n, p, sizeof(n));
    return GUINT32_FROM_BE(n);
}

void
control_journal_add(ControlJournal *j, const char *data, size_t n)
{
    uint32_t head = GUINT32_TO_BE((uint32_t)n);

    if (n == 0 || n + HEAD_BYTES > MS_JOURNAL_LEN) {
        return;
    }
    while (j->ring->len + HEAD_BYTES + n > MS_JOURNAL_LEN) {
        g_byte_array_remove_range(j->ring, 0,
                                  HEAD_BYTES + length_at(j->ring->data));
    }
    g_byte_array_append(j->ring, (const guint8 *)&head, HEAD_BYTES);
    g_byte_array_append(j->ring, (const guint8 *)data, (guint)n);
    j->dirty = true;
}

void
control_journal_want(ControlJournal *j, const char *id)
{
    if (g_queue_get_length(j->wanted) < VMS_PER_ZONE_MAX) {
        g_queue_push_tail(j->wanted, g_strdup(id));
    }
}

static void
path_of(const ControlJournal *j, const char *id, char *path, size_t cap)
{
    g_snprintf(path, (gulong)cap, "/v1/kv/journal/%s/%s", j->c->set.zone, id);
}

static void
on_written(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlJournal *j = ctx;

    (void)e;
    j->writing = false;
    if (a->status == 200 || a->status == 409) {
        j->version = a->version;
    }
    j->dirty = j->dirty || a->status != 200;
}

static void
step_write(ControlJournal *j, int64_t now)
{
    char path[2 * NAME_BYTES + 64];
    int64_t every =
        MAX(WRITE_EVERY_MS, memb_count(j->c->memb) * (1000 / VMS_PER_WRITE_S));

    if (!j->dirty || j->writing || now - j->written_us < every * US_PER_MS) {
        return;
    }
    path_of(j, j->c->set.vm_id, path, sizeof(path));
    size_t n = strlen(path);
    g_snprintf(path + n, (gulong)(sizeof(path) - n), "?cas=%" G_GUINT64_FORMAT,
               j->version);
    GBytes *b = g_bytes_new(j->ring->data, j->ring->len);
    j->written_us = now;
    j->writing = storehttp_call(j->c->http, "PUT", path, b, STORE_TIMEOUT_MS,
                                on_written, j);
    j->dirty = !j->writing;
    g_bytes_unref(b);
    ctr_add(control_ctr(j->c, "control_store_journal_writes"), 1);
}

/* Splits a value into its batches; stops at the first that does not fit. */
static int
hand_on(ControlJournal *j, const uint8_t *p, size_t n)
{
    int batches = 0;

    while (n > HEAD_BYTES && length_at(p) <= n - HEAD_BYTES) {
        size_t k = length_at(p);
        GBytes *b = g_bytes_new(p + HEAD_BYTES, k);
        control_local_journal(j->c->local, b);
        g_bytes_unref(b);
        p += HEAD_BYTES + k;
        n -= HEAD_BYTES + k;
        batches++;
    }
    if (n > 0) {
        lg_line(LG_WARN, PART,
                "%zu bytes after batch %d are left: no whole batch; the "
                "records in them are answered unknown",
                n, batches);
    }
    return batches;
}

static void
on_read(void *ctx, const StoreAnswer *a, const Err *e)
{
    ControlJournal *j = ctx;

    (void)e;
    j->reading = false;
    if (a->status == 0 || g_queue_is_empty(j->wanted)) {
        return; /* asked again */
    }
    char *id = g_queue_pop_head(j->wanted);
    if (a->status == 200) {
        gsize n;
        const uint8_t *p = g_bytes_get_data(a->body, &n);
        lg_decision(PART, "%d batches of %s for the local entry",
                    hand_on(j, p, n), id);
    }
    if (strcmp(id, j->c->set.vm_id) == 0 && j->version == 0) {
        j->version = a->version;
    }
    g_free(id);
}

void
control_journal_step(ControlJournal *j, int64_t now_us)
{
    char path[2 * NAME_BYTES + 64];

    if (storelimit_left(&j->c->q, now_us) <= CALLS_KEPT) {
        return;
    }
    if (!j->reading && !g_queue_is_empty(j->wanted)) {
        path_of(j, g_queue_peek_head(j->wanted), path, sizeof(path));
        j->reading = storehttp_call(j->c->http, "GET", path, NULL,
                                    STORE_TIMEOUT_MS, on_read, j);
    }
    step_write(j, now_us);
}
