/* Tests of the routing table with random sequences of versions, against a
 * model written from the users' protocol.  VERSIONS_SEED=n plays one seed. */
#include "t.h"

#include <math.h>

#include "hash.h"
#include "pf.h"
#include "route_versions.h"
#include "rt.h"

#define SEEDS 20
#define VERSIONS 250 /* of each seed */
#define REQUESTS 200 /* for each version */
#define SPLITS 30    /* of each seed, at least */
#define DRAWS 20000  /* of a split */
/* Deviation of a share at which a split counts as wrong: once in 5e8 draws of
 * a right one. */
#define SIGMAS 6.0

static RtTable *
parse(const RvVersion *v, GRand *r)
{
    GString *s = rv_json(v, r);
    Err e = {0};
    RtTable *t = pf_parse_config((Str){s->str, s->len}, &e);

    ck_assert_msg(t != NULL, "%s: %s", e.text, s->str);
    g_string_free(s, TRUE);
    return t;
}

static void
check_route(const RvRoute *want, const RtRoute *got)
{
    ck_assert_str_eq(got->prefix, want->prefix);
    ck_assert_int_eq(got->timeout_us, want->timeout_ms * INT64_C(1000));
    ck_assert_int_eq(got->max_attempts, want->attempts);
    ck_assert_int_eq(got->sticky, want->sticky);
    ck_assert_int_eq(got->idempotent, want->idempotent);
    for (int i = 0; i < RV_REGIONS; i++) {
        char name[8];
        g_snprintf(name, sizeof(name), "reg%d", i);
        ck_assert_int_eq(rt_region_allowed(got, name),
                         want->home < 0 || want->home == i);
    }
}

/* Returns 1 if the request has a route. */
static int
check_request(const RvVersion *v, const RtTable *t, GRand *r, guint32 seed)
{
    char *host;
    char *path;

    rv_random_request(v, r, &host, &path);
    const RvRoute *want = rv_match(v, host, path);
    const RtRoute *got = rt_match(t, str_of(host), str_of(path));
    ck_assert_msg(
        (want == NULL) == (got == NULL),
        "seed %u version %" G_GINT64_FORMAT " %s %s: %s, expected %s", seed,
        v->number, host, path, got == NULL ? "none" : got->prefix,
        want == NULL ? "none" : want->prefix);
    if (want != NULL) {
        uint64_t hash = ((uint64_t)g_rand_int(r) << 32) | g_rand_int(r);
        const RtService *s = rt_choose_service(t, got, hash);
        check_route(want, got);
        ck_assert_msg(rv_allows(want, atoi(s->name + 1)),
                      "seed %u version %" G_GINT64_FORMAT " %s %s: service %s",
                      seed, v->number, host, path, s->name);
    }
    g_free(host);
    g_free(path);
    return want != NULL ? 1 : 0;
}

/* The seeds to play: all, or that of the environment. */
static guint32
first_seed(guint32 *end)
{
    const char *one = g_getenv("VERSIONS_SEED");
    guint32 first = one == NULL ? 1 : (guint32)atoi(one);

    *end = one == NULL ? SEEDS + 1 : first + 1;
    return first;
}

/* Guards against a request that a version sends to another route, or answers
 * 404, than the longest prefix of its host says. */
START_TEST(each_version_selects_the_longest_prefix_of_the_host)
{
    guint32 end;
    int routed = 0;
    int n = 0;

    for (guint32 seed = first_seed(&end); seed < end; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        RvVersion v;
        rv_init(&v, r);
        for (int i = 0; i < VERSIONS; i++) {
            RtTable *t = parse(&v, r);
            ck_assert_uint_eq(rt_version(t), (uint64_t)v.number);
            for (int k = 0; k < REQUESTS; k++, n++) {
                routed += check_request(&v, t, r, seed);
            }
            rt_unref(t);
            rv_next(&v, r);
        }
        g_rand_free(r);
    }
    /* Both kinds of answers occur. */
    ck_assert_int_gt(routed, n / 10);
    ck_assert_int_lt(routed, n - n / 10);
}
END_TEST

/* Compares the shares of a split with its weights, by ids like those of
 * callers. */
static void
check_shares(const RvRoute *want, const RtTable *t, GRand *r, guint32 seed)
{
    const RtRoute *got =
        rt_match(t, str_of(rv_hosts[want->host]), str_of(want->prefix));
    int counts[RV_SERVICES] = {0};
    double sum = 0;

    for (int i = 0; i < DRAWS; i++) {
        char id[24];
        g_snprintf(id, sizeof(id), "%08x%08x", g_rand_int(r), g_rand_int(r));
        const RtService *s =
            rt_choose_service(t, got, hash_str(str_of(id), 0));
        counts[atoi(s->name + 1)]++;
    }
    for (int i = 0; i < want->n_parts; i++) {
        sum += want->weight[i];
    }
    for (int i = 0; i < want->n_parts; i++) {
        double p = want->weight[i] / sum;
        double off = fabs(counts[want->service[i]] - DRAWS * p);
        ck_assert_msg(off <=
                          SIGMAS * sqrt(DRAWS * p * (1 - p)) + (p > 0 ? 2 : 0),
                      "seed %u: part %d of %d got %d of %d, weight %g of %g",
                      seed, i, want->n_parts, counts[want->service[i]], DRAWS,
                      want->weight[i], sum);
    }
}

/* Guards against shares that differ from the weights, and against requests
 * for a part of weight 0. */
START_TEST(the_shares_of_a_split_follow_its_weights)
{
    guint32 end;

    for (guint32 seed = first_seed(&end); seed < end; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        RvVersion v;
        int n = 0;
        rv_init(&v, r);
        while (n < SPLITS) {
            RtTable *t = parse(&v, r);
            for (int k = 0; k < RV_ROUTES; k++) {
                const RvRoute *x = &v.route[k];
                if (x->present && x->n_parts > 1) {
                    check_shares(x, t, r, seed);
                    n++;
                }
            }
            rt_unref(t);
            rv_next(&v, r);
        }
        g_rand_free(r);
    }
}
END_TEST

/* Guards against a part of weight 0 that gets requests through the rounding of
 * sums, at the ends of the range of hashes. */
START_TEST(a_part_of_weight_0_gets_no_request_at_the_last_hash)
{
    guint32 end;

    for (guint32 seed = first_seed(&end); seed < end; seed++) {
        GRand *r = g_rand_new_with_seed(seed);
        for (int i = 0; i < 2000; i++) {
            RvVersion v;
            rv_init(&v, r);
            RvRoute *x = &v.route[0];
            x->n_parts = RV_PARTS;
            for (int k = 0; k < RV_PARTS; k++) {
                x->service[k] = k;
                x->weight[k] = k == RV_PARTS - 1 ? 0 : g_rand_double(r);
            }
            RtTable *t = parse(&v, r);
            const RtRoute *got =
                rt_match(t, str_of(rv_hosts[x->host]), str_of(x->prefix));
            const RtService *low = rt_choose_service(t, got, 0);
            const RtService *high = rt_choose_service(t, got, UINT64_MAX);
            ck_assert_msg(rv_allows(x, atoi(low->name + 1)) &&
                              rv_allows(x, atoi(high->name + 1)),
                          "seed %u: %s, %s", seed, low->name, high->name);
            rt_unref(t);
        }
        g_rand_free(r);
    }
}
END_TEST

T_MAIN("rt_versions", each_version_selects_the_longest_prefix_of_the_host,
       the_shares_of_a_split_follow_its_weights,
       a_part_of_weight_0_gets_no_request_at_the_last_hash)
