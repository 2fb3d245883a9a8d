/* Tests of the shares that VMs take of a cold upstream's rate. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "hash.h"
#include "pick.h"

#define MS 1000LL
#define S (1000 * MS)
#define NOW (100 * S)
#define VMS 60
#define COLD_PER_S 3.0
/* The platform allows COLD_PER_S * 1.5 + 8 requests in a second. */
#define ALLOWED_PER_S 12

typedef struct World {
    Topology topology;
    UpsSet *set;
    RtService service;
    RtRoute route;
    PickVm vms[VMS];
} World;

static void
world_init(World *w)
{
    UpsReport r = {.id = str_of("cold"),
                   .service = str_of("desk"),
                   .zone = str_of("a"),
                   .slots = 100,
                   .warmup_left_us = 8 * S};

    memset(w, 0, sizeof(*w));
    topology_add(&w->topology, str_of("a"), str_of("east"));
    topology_add(&w->topology, str_of("b"), str_of("west"));
    w->set = ups_new(&w->topology, 2 * S);
    w->service = (RtService){.id = hash_str(str_of("desk"), 0),
                             .max_conns = 1000,
                             .warmup_us = 8 * S,
                             .cold_per_s = COLD_PER_S};
    w->route = (RtRoute){
        .sticky = true, .latency_target_us = 400 * MS, .timeout_us = S};
    ups_report(w->set, &r, NOW);
    for (int i = 0; i < VMS; i++) {
        w->vms[i] = (PickVm){hash_mix(7, (uint64_t)i), i % 2};
    }
}

/* Returns true if a VM that knows the given VMs sends a request to the cold
 * upstream, whose bucket it keeps in *bucket. */
static bool
sends(World *w, const PickVm *vms, int n, int self, Bucket *bucket,
      int64_t now_us)
{
    PickReason why;
    PickIn in = {.set = w->set,
                 .topology = &w->topology,
                 .route = &w->route,
                 .service = &w->service,
                 .object = hash_mix(5, 1),
                 .vms = vms,
                 .n_vms = n,
                 .self = self,
                 .cold_vms_max = 4,
                 .max_rtt_us = 20 * MS};
    Ups *u = ups_find(w->set, str_of("cold"));

    u->cold_bucket = *bucket;
    bool sent = pick_upstream(&in, now_us, &why) != NULL;
    *bucket = u->cold_bucket;
    return sent;
}

/* Guards against a flood of requests to a cold upstream by VMs that start
 * together and have not read the list of VMs yet. */
START_TEST(vms_without_a_list_take_no_share)
{
    World w;
    int sent = 0;

    world_init(&w);
    for (int vm = 0; vm < VMS; vm++) {
        Bucket bucket = {0};
        for (int i = 0; i < 100; i++) {
            sent += sends(&w, NULL, 0, -1, &bucket, NOW + i * 10 * MS);
        }
    }
    ck_assert_int_le(sent, ALLOWED_PER_S);
    ups_free(w.set);
}
END_TEST

T_MAIN("cold_share", vms_without_a_list_take_no_share)
