/* Guards against a division by zero in pick_upstream() when the last upstream
 * of a service is gone and a request of a route that is not sticky arrives:
 * the process ends with SIGFPE. */
#include "t.h"

#include <string.h>

#include "hash.h"
#include "pick.h"

#define S INT64_C(1000000)
#define NOW (100 * S)

START_TEST(service_without_upstreams_is_refused)
{
    Topology topology;
    PickReason why = PICK_FIRST;
    PickVm vm = {.key = 1};
    RtService service = {.id = hash_str(str_of("desk"), 0),
                         .max_conns = 10,
                         .warmup_us = 3 * S,
                         .cold_per_s = 10};
    RtRoute route = {.latency_target_us = S, .timeout_us = 3 * S};
    UpsReport report = {.id = str_of("u"),
                        .service = str_of("desk"),
                        .zone = str_of("a"),
                        .slots = 4};

    memset(&topology, 0, sizeof(topology));
    topology_add(&topology, str_of("a"), str_of("east"));
    UpsSet *set = ups_new(&topology, 2 * S);
    ups_report(set, &report, NOW);
    ups_missing(set, str_of("u"), NOW + S);
    ck_assert_int_eq(ups_expire(set, NOW + 10 * S), 1);
    PickIn in = {.set = set,
                 .topology = &topology,
                 .route = &route,
                 .service = &service,
                 .object = 5,
                 .vms = &vm,
                 .n_vms = 1,
                 .cold_vms_max = 4};
    ck_assert_ptr_null(pick_upstream(&in, NOW + 11 * S, &why));
    ck_assert_int_eq(why, PICK_NONE);
    ups_free(set);
}
END_TEST

T_MAIN("pick_empty", service_without_upstreams_is_refused)
