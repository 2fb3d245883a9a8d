/* crashown - owners of a fingerprint.  See crashown.h. */
#include "crashown.h"

#include <stdbool.h>

#include "hash.h"

static bool
contains(const int *list, int n, int value)
{
    for (int i = 0; i < n; i++) {
        if (list[i] == value) {
            return true;
        }
    }
    return false;
}

int
crashown_list(const PickVm *vms, int n, uint64_t fingerprint,
              int out[CRASHOWN_MAX])
{
    int n_out = 0;

    for (bool more = true; more && n_out < CRASHOWN_MIN;) {
        int best[REGIONS_MAX] = {0};
        double points[REGIONS_MAX] = {0};

        more = false;
        for (int i = 0; i < n; i++) {
            double point = hash_point(fingerprint, vms[i].key);
            int region = vms[i].region;
            if (point > points[region] && !contains(out, n_out, i)) {
                points[region] = point;
                best[region] = i;
            }
        }
        for (int k = 0; k < REGIONS_MAX && n_out < CRASHOWN_MAX; k++) {
            if (points[k] > 0) {
                out[n_out++] = best[k];
                more = true;
            }
        }
    }
    return n_out;
}
