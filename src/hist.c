/* hist - latency histogram with fixed bounds.  See hist.h. */
#include "hist.h"

#include <inttypes.h>

static const int bounds_ms[HIST_BOUNDS] = {
    5, 10, 25, 50, 100, 200, 300, 400, 600, 1000, 1500, 2500, 5000, 10000};

void
hist_add(Hist *h, int64_t us)
{
    int i = 0;

    while (i < HIST_BOUNDS && us > bounds_ms[i] * 1000LL) {
        i++;
    }
    h->count[i]++;
    h->sum_us += us;
}

void
hist_text(const Hist *h, const char *name, const char *labels, GString *out)
{
    int64_t n = 0;

    for (int i = 0; i < HIST_BOUNDS; i++) {
        n += h->count[i];
        g_string_append_printf(out, "%s_bucket{%s,le=\"%d\"} %" PRId64 "\n",
                               name, labels, bounds_ms[i], n);
    }
    n += h->count[HIST_BOUNDS];
    g_string_append_printf(
        out,
        "%s_bucket{%s,le=\"+Inf\"} %" PRId64 "\n%s_sum_us{%s} %" PRId64
        "\n%s_count{%s} %" PRId64 "\n",
        name, labels, n, name, labels, h->sum_us, name, labels, n);
}
