/* Tests of upstreams that had left when the store came back from an older copy
 * which lists them. */
#include "t.h"

#include <string.h>

#include "ups.h"

#define S 1000000LL
#define NOW (100 * S)
#define OLD_SEQ 5  /* of the report in the copy */
#define LAST_SEQ 6 /* of the last report before the upstream left */
#define NEW_SEQ 7
#define BOOT 1

typedef struct World {
    Topology topology;
    UpsSet *set;
} World;

static void
world_init(World *w)
{
    memset(w, 0, sizeof(*w));
    topology_add(&w->topology, str_of("a"), str_of("east"));
    w->set = ups_new(&w->topology, 0);
}

static UpsChange
report(World *w, uint64_t boot_ms, uint64_t seq, bool draining, int64_t now_us)
{
    UpsReport r = {.id = str_of("u"),
                   .service = str_of("desk"),
                   .zone = str_of("a"),
                   .slots = 4,
                   .draining = draining,
                   .boot_ms = boot_ms,
                   .seq = seq};

    return ups_report(w->set, &r, now_us);
}

static bool
is_usable(const World *w)
{
    const Ups *u = ups_find(w->set, str_of("u"));

    return u != NULL && ups_usable(w->set, u);
}

/* The upstream is removed without a report that it leaves. */
static void
leave(World *w, int64_t now_us)
{
    report(w, BOOT, LAST_SEQ, false, now_us);
    ups_missing(w->set, str_of("u"), now_us);
    ups_expire(w->set, now_us);
    ck_assert(!is_usable(w));
}

/* Guards against requests to an upstream that has left, and against one that
 * stays unused although it reports. */
START_TEST(listed_again_by_a_copy_gets_no_new_work_until_it_reports)
{
    World w;

    world_init(&w);
    leave(&w, NOW);
    ups_begin_history(w.set, NOW + S);
    ck_assert_int_eq(report(&w, BOOT, OLD_SEQ, false, NOW + S), UPS_FORMER);
    ck_assert(!is_usable(&w));
    ck_assert_int_eq(report(&w, BOOT, LAST_SEQ, false, NOW + S), UPS_FORMER);
    ck_assert(!is_usable(&w));
    report(&w, BOOT, NEW_SEQ, false, NOW + 2 * S);
    ck_assert(is_usable(&w));
    ups_free(w.set);
}
END_TEST

/* Guards against the same while its entry is only missing for a moment. */
START_TEST(missing_entry_is_not_restored_by_a_copy)
{
    World w;

    world_init(&w);
    report(&w, BOOT, LAST_SEQ, false, NOW);
    ups_missing(w.set, str_of("u"), NOW);
    ups_begin_history(w.set, NOW);
    ck_assert_int_eq(report(&w, BOOT, OLD_SEQ, false, NOW), UPS_FORMER);
    ck_assert(!is_usable(&w));
    ups_free(w.set);
}
END_TEST

/* Guards against an older report that ends a drain, and against one without a
 * number that is ignored. */
START_TEST(older_report_does_not_end_a_drain)
{
    World w;

    world_init(&w);
    report(&w, BOOT, LAST_SEQ, true, NOW);
    ups_begin_history(w.set, NOW);
    ck_assert_int_eq(report(&w, BOOT, OLD_SEQ, false, NOW), UPS_FORMER);
    ck_assert(!is_usable(&w));
    ck_assert_int_eq(report(&w, BOOT, NEW_SEQ, false, NOW), UPS_DRAIN_ENDED);
    ck_assert(is_usable(&w));
    ck_assert_int_eq(report(&w, BOOT, 0, true, NOW), UPS_DRAIN_STARTED);
    ck_assert(!is_usable(&w));
    ups_free(w.set);
}
END_TEST

/* Guards against an upstream that runs and is never used, as its entry does
 * not change. */
START_TEST(entry_that_stays_is_used_in_the_end)
{
    World w;

    world_init(&w);
    leave(&w, NOW);
    ups_begin_history(w.set, NOW + S);
    report(&w, BOOT, OLD_SEQ, false, NOW + S);
    ups_expire(w.set, NOW + 9 * S);
    ck_assert(!is_usable(&w));
    ups_expire(w.set, NOW + 12 * S);
    ck_assert(is_usable(&w));
    ups_free(w.set);
}
END_TEST

/* Guards against an upstream that is lost for callers, as it started again, or
 * as its entry was gone for a moment only in an outage of the store. */
START_TEST(restart_and_outage_are_not_a_return_of_a_copy)
{
    World w;

    world_init(&w);
    leave(&w, NOW);
    report(&w, BOOT, LAST_SEQ, false, NOW + S);
    ck_assert(is_usable(&w));
    leave(&w, NOW + 2 * S);
    ups_begin_history(w.set, NOW + 3 * S);
    report(&w, BOOT + 1, 1, false, NOW + 3 * S);
    ck_assert(is_usable(&w));
    ups_free(w.set);
}
END_TEST

T_MAIN("departed", listed_again_by_a_copy_gets_no_new_work_until_it_reports,
       missing_entry_is_not_restored_by_a_copy,
       older_report_does_not_end_a_drain, entry_that_stays_is_used_in_the_end,
       restart_and_outage_are_not_a_return_of_a_copy)
