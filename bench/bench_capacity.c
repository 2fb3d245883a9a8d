/*
 * bench_capacity - memory slopes of the state that grows with the fleet or the
 * load, from two sizes each, for docs/CAPACITY.md.
 */
#include "bench.h"

#include <malloc.h>

#include "cfg.h"
#include "idem.h"
#include "manifest.h"
#include "memb.h"
#include "suspect.h"

#define RECORDS 100000
#define SUSPECTS 50000
#define NODES 400
#define BLOCKS 400000

static double
heap(void)
{
    struct mallinfo2 m = mallinfo2();

    return (double)(m.uordblks + m.hblkhd);
}

static void
add_records(Idem *d, uint64_t from, uint64_t n)
{
    for (uint64_t i = from; i < from + n; i++) {
        IdemRequest q = {
            .key = i << 6, .attempt = 1, .issued_wall_us = 1000000};
        GBytes *body = g_bytes_new_static("posted", 6);

        if (idem_begin(d, &q, 1000000).act == IDEM_RUN) {
            idem_finish(d, q.key, IDEM_END_DONE, 200, body, 1000000);
        }
        g_bytes_unref(body);
    }
}

static double
record_bytes(void)
{
    IdemOpts o = {.records_max = 2 * RECORDS,
                  .window_us = IDEM_WINDOW_MS * INT64_C(1000),
                  .clock_error_us = WALL_CLOCK_ERROR_MS * INT64_C(1000)};
    Idem *d = idem_new(&o);

    idem_set_ownership(d, 0, true, true, 1);
    double empty = heap();
    add_records(d, 1, RECORDS);
    double bytes = (heap() - empty) / (double)idem_count(d);
    idem_free(d);
    return bytes;
}

static double
suspect_bytes(void)
{
    Suspects *s = suspect_new(SUSPECTS_MAX);
    double empty = heap();

    for (uint64_t i = 1; i <= SUSPECTS; i++) {
        SuspectUpdate n = {.fingerprint = i * 7919, .state = SUSPECT_ALONE};
        suspect_receive(s, &n, 1000000);
    }
    double bytes = (heap() - empty) / (double)suspect_count(s);
    suspect_free(s);
    return bytes;
}

static double
member_bytes(void)
{
    MembVm vm = {.id = "self", .zone = "z0", .incarnation = 1};
    Memb *m = memb_new(&vm, 0);
    double empty = heap();

    for (int i = 0; i < NODES; i++) {
        snprintf(vm.id, sizeof(vm.id), "vm-%d", i);
        snprintf(vm.zone, sizeof(vm.zone), "z%d", i % 12);
        memb_news(m, &vm, 0, 1000000);
    }
    double bytes = (heap() - empty) / NODES;
    memb_free(m);
    return bytes;
}

/* A manifest with that many client blocks in 12 zones. */
static GString *
large_manifest(int n_blocks)
{
    GString *g = g_string_new("[manifest]\nowner = size\n"
                              "[region r]\n");

    for (int z = 0; z < 12; z++) {
        g_string_append_printf(g, "[zone z%d]\nregion = r\nblocks = ", z);
        for (int i = z; i < n_blocks; i += 12) {
            g_string_append_printf(g, "%d.%d.%d.0/24;", 1 + (i >> 16),
                                   (i >> 8) & 255, i & 255);
        }
        g_string_append(g, "\n");
    }
    g_string_append(g, "[rank urgent]\nworth = 1\ndeadline_ms = 500\n"
                       "floor = 0\n[service s]\nclass = idempotent\n"
                       "shift_cap = 0.1\nshift_interval_ms = 10000\n"
                       "[target t]\nservice = s\nzone = z0\n"
                       "address = 127.0.0.1:9\nslots = 1\nconnections = 9\n");
    return g;
}

static void
manifest_rows(Bench *b)
{
    GString *g = large_manifest(BLOCKS);
    double empty = heap();
    Err e;
    Manifest *m = manifest_parse((Str){g->str, g->len}, &e);

    if (m == NULL) {
        printf("capacity.manifest: %s\n", e.text);
        b->missed++;
        g_string_free(g, TRUE);
        return;
    }
    bench_row(b, "capacity.manifest_mb_at_400000_blocks",
              (heap() - empty) / 1e6, "-", "none", true);
    GBytes *packed = cfg_encode(1, "00000000-0000-4000-8000-000000000000",
                                (Str){g->str, g->len}, &e);
    double bytes = packed == NULL ? 0 : (double)g_bytes_get_size(packed);
    bench_row(b, "capacity.packed_manifest_bytes", bytes, "-", "<=1048576",
              bytes > 0 && bytes <= STORE_VALUE_BYTES_MAX);
    bench_row(b, "capacity.packed_bytes_per_s_at_380_changes_a_day",
              bytes * 380 / 86400, "-", "<=4096", bytes * 380 / 86400 <= 4096);
    g_bytes_unref(packed);
    manifest_free(m);
    g_string_free(g, TRUE);
}

int
main(void)
{
    Bench b = {0};

    bench_row(&b, "capacity.bytes_per_idempotency_record", record_bytes(), "-",
              "none", true);
    bench_row(&b, "capacity.bytes_per_crash_suspect", suspect_bytes(), "-",
              "none", true);
    bench_row(&b, "capacity.bytes_per_member", member_bytes(), "-", "none",
              true);
    manifest_rows(&b);
    return bench_end(&b);
}
