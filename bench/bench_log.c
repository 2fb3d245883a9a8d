/*
 * bench_log - what a decision line costs, beside the same text formatted and
 * thrown away.
 */
#include "bench.h"

#include <stdio.h>
#include <unistd.h>

#include "lg.h"

#define LINES 500000

static double
line_ns(bool on)
{
    char text[256];
    double from = bench_cpu_s();

    for (int i = 0; i < LINES; i++) {
        if (on) {
            lg_decision("entry", "target: service=%s rank=%d zone=%s try=%d",
                        "index-desk", i % 3, "atl-a", 1);
        }
        else {
            g_snprintf(text, sizeof(text),
                       "target: service=%s rank=%d zone=%s try=%d",
                       "index-desk", i % 3, "atl-a", 1);
        }
    }
    return (bench_cpu_s() - from) / LINES * 1e9;
}

int
main(void)
{
    char path[] = "/tmp/mimosa-bench-log.XXXXXX";
    char base[64];
    Bench b = {0};
    Err e;
    int fd = mkstemp(path);

    if (fd < 0 || !lg_open("bench", LG_INFO, path, &e)) {
        return 1;
    }
    close(fd);
    double plain = line_ns(false);
    double ns = line_ns(true);
    lg_close();
    unlink(path);
    snprintf(base, sizeof(base), "format-only:%.3g", plain);
    bench_row(&b, "log.ns_per_decision_line", ns, base, "none", true);
    return bench_end(&b);
}
