/* fleet - the installation of the cases.  See fleet.h. */
#include "fleet.h"

#include <stdio.h>

static const char *const edge_zones[FLEET_EDGES] = {
    "tunis-a",  "sousse-a", "sfax-a",  "tunis-b",
    "sousse-b", "sfax-b",   "tunis-a", "sousse-a"};

static const char *const target_zones[] = {"tunis-a", "sousse-a", "sfax-a",
                                           "tunis-b", "sousse-b", "sfax-b"};

int64_t
fleet_put_config(int version, const char *fee_service)
{
    static const char route[] =
        "{\"Name\":\"%s\",\"PathPrefix\":\"/%s/\",\"Kind\":"
        "\"non_idempotent\",\"Timeout\":\"%s\",\"Slo\":\"1500ms\","
        "\"Priority\":%d,\"MaxAttempts\":2,\"Sticky\":true,"
        "\"HomeRegions\":[],\"Service\":\"%s\"}";
    char fee[512];
    char book[512];
    char text[2048];

    snprintf(fee, sizeof(fee), route, "fee", "fee", "3000ms", 0, fee_service);
    snprintf(book, sizeof(book), route, "book", "book", "6000ms", 2,
             "portfolio");
    snprintf(
        text, sizeof(text),
        "{\"Version\":%d,\"Services\":["
        "{\"Name\":\"portfolio\",\"HealthPath\":\"/healthz\",\"MaxConns\":330,"
        "\"Proto\":\"h1\",\"Tls\":false,\"Cold\":\"3s\",\"ColdPerS\":2.7},"
        "{\"Name\":\"contracts\",\"HealthPath\":\"/healthz\",\"MaxConns\":330,"
        "\"Proto\":\"h1\",\"Tls\":false,\"Cold\":\"3s\",\"ColdPerS\":2.7}],"
        "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
        "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"},"
        "\"Vhosts\":[{\"Host\":\"" PLAT_HOST "\",\"Paths\":[%s,%s]}]}",
        version, fee, book);
    return plat_operator_put("op/config", text);
}

bool
fleet_start(PlatEdge **edges)
{
    static char names[FLEET_EDGES][16];

    for (int i = 0; i < 32; i++) {
        plat_add_target(i < 20 ? "portfolio" : "contracts",
                        target_zones[i % 6]);
    }
    fleet_put_config(3, "contracts");
    plat_sleep_until(2000);
    for (int i = 0; i < FLEET_EDGES; i++) {
        snprintf(names[i], sizeof(names[i]), "front-%d", i + 1);
        edges[i] = plat_add_edge(names[i], edge_zones[i]);
    }
    for (int i = 0; i < FLEET_EDGES; i++) {
        if (!plat_wait_ready(edges[i], 12000)) {
            fprintf(stderr, "fleet: an entry VM isn't ready\n");
            plat_stop_edges();
            return false;
        }
    }
    return true;
}
