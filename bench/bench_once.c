/*
 * bench_once - resends of once work after the owner of their key has died:
 * the share that must be told unknown, with the journal and without, and the
 * writes to the store that the journal takes, beside one write a record.
 */
#include "bench.h"

#include "idem.h"

#define PER_S 200        /* once requests of a VM */
#define RUN_S 60         /* before the owner dies */
#define RESEND_S 20      /* resends come for requests that young */
#define SERVICE_US 40000 /* mean */
#define TAKEOVER_US (3 * SECOND)
#define CRASHES 50
#define WALL0 (1000000 * SECOND)
#define REQUESTS (PER_S * RUN_S)

typedef struct Once {
    int64_t start_us;
    int64_t end_us;
    bool ran;
} Once;

typedef struct Count {
    int64_t resends;
    int64_t unknown;
    int64_t replayed;
    int64_t twice;
    int64_t batches;
    int64_t records;
} Count;

static Idem *
owner_new(int64_t tenure_wall_us)
{
    IdemOpts o = {.records_max = IDEM_RECORDS_MAX,
                  .window_us = IDEM_WINDOW_MS * INT64_C(1000),
                  .clock_error_us = WALL_CLOCK_ERROR_MS * INT64_C(1000)};
    Idem *d = idem_new(&o);

    for (int i = 0; i < KEY_RANGES; i++) {
        idem_set_ownership(d, i, true, true, tenure_wall_us);
    }
    return d;
}

/* The first owner's life, up to its death; batches collects its journal. */
static void
live(Once *q, int64_t flush_us, int64_t death_us, GPtrArray *batches)
{
    Idem *d = owner_new(WALL0 - 3600 * SECOND);
    int64_t flush_at = flush_us;
    int done = 0;

    for (int i = 0; i < REQUESTS; i++) {
        q[i].start_us = (int64_t)i * SECOND / PER_S;
        /* One service time for all keeps the ends in the order of starts. */
        q[i].end_us = q[i].start_us + SERVICE_US;
        q[i].ran = false;
    }
    for (int64_t t = 0; t < death_us; t += SECOND / PER_S) {
        int i = (int)(t * PER_S / SECOND);
        IdemRequest ask = {(uint64_t)i + 1, 1, WALL0 + t};

        q[i].ran = idem_begin(d, &ask, WALL0 + t).act == IDEM_RUN;
        while (q[done].ran && q[done].end_us <= t) {
            idem_finish(d, (uint64_t)done + 1, IDEM_END_DONE, 200, NULL,
                        WALL0 + t);
            done++;
        }
        if (flush_us > 0 && t >= flush_at) {
            GBytes *b = idem_journal_write(d, STORE_VALUE_BYTES_MAX);
            if (b != NULL) {
                g_ptr_array_add(batches, b);
            }
            flush_at += flush_us;
        }
    }
    idem_free(d);
}

/* Resends of the youngest requests reach the successor. */
static void
resend(const Once *q, int64_t death_us, const GPtrArray *batches, GRand *r,
       Count *c)
{
    int64_t back = WALL0 + death_us + TAKEOVER_US;
    Idem *d = owner_new(back);

    for (guint i = 0; i < batches->len; i++) {
        gsize n;
        const char *p = g_bytes_get_data(batches->pdata[i], &n);
        idem_journal_read(d, (Str){p, n}, back);
    }
    for (int i = 0; i < REQUESTS; i++) {
        if (!q[i].ran || q[i].start_us < death_us - RESEND_S * SECOND) {
            continue;
        }
        int64_t at = back + (int64_t)(g_rand_double(r) * 5 * SECOND);
        IdemRequest ask = {(uint64_t)i + 1, 2, WALL0 + q[i].start_us};
        IdemAction act = idem_begin(d, &ask, at).act;

        c->resends++;
        c->unknown += act == IDEM_UNKNOWN;
        c->replayed += act == IDEM_REPLAY;
        c->twice += act == IDEM_RUN;
    }
    idem_free(d);
}

static Count
crashes(int64_t flush_us, uint32_t seed)
{
    GRand *r = g_rand_new_with_seed(seed);
    Once *q = g_new0(Once, REQUESTS + 1);
    Count c = {0};

    for (int k = 0; k < CRASHES; k++) {
        GPtrArray *batches =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
        int64_t death =
            (int64_t)((0.5 + 0.5 * g_rand_double(r)) * RUN_S * SECOND);

        live(q, flush_us, death, batches);
        resend(q, death, batches, r, &c);
        c.batches += batches->len;
        c.records += death * PER_S / SECOND;
        g_ptr_array_unref(batches);
    }
    g_free(q);
    g_rand_free(r);
    return c;
}

int
main(int argc, char **argv)
{
    uint32_t seed = bench_seed(argc, argv);
    Bench b = {0};
    Count with = crashes(1 * SECOND, seed);
    Count without = crashes(0, seed);
    char base[64];

    snprintf(base, sizeof(base), "no-journal:%.3g",
             (double)without.unknown / (double)without.resends);
    bench_row(&b, "once.share_of_resends_unknown",
              (double)with.unknown / (double)with.resends, base, "none", true);
    bench_row(&b, "once.share_of_resends_replayed",
              (double)with.replayed / (double)with.resends, "no-journal:0",
              "none", true);
    bench_row(&b, "once.store_writes_per_record",
              (double)with.batches / (double)with.records, "write-each:1",
              "none", true);
    bench_row(&b, "once.run_twice", (double)(with.twice + without.twice), "-",
              "0", with.twice + without.twice == 0);
    return bench_end(&b);
}
