/* Tests of the bound for this VM's time at a time of another VM's clock. */
#include "t.h"

#include <glib.h>

#include "peerclock.h"

#define MS INT64_C(1000)
#define S (1000 * MS)
#define OWN_START (5 * S)    /* the clocks differ */
#define PEER_START (900 * S) /* at the same time */

/* A heartbeat of the other VM, sent ms after the start, that answers one of
 * this VM that was sent there_ms + held_ms before. */
static void
observe(PeerClock *c, int64_t ms, int64_t there_ms, int64_t held_ms,
        int64_t back_ms)
{
    peerclock_observe(c, PEER_START + ms * MS,
                      OWN_START + (ms - there_ms - held_ms) * MS, held_ms * MS,
                      OWN_START + (ms + back_ms) * MS);
}

/* Returns the age, in ms after the start, that is found for a message which
 * says what was known at known_ms. */
static int64_t
age_ms(const PeerClock *c, int64_t known_ms, int64_t now_ms)
{
    int64_t own_us = 0;
    int64_t now_us = OWN_START + now_ms * MS;

    ck_assert(
        peerclock_own_time(c, PEER_START + known_ms * MS, now_us, &own_us));
    return (now_us - own_us) / MS;
}

/* Guards against gossip whose age leaves out the time on its way. */
START_TEST(age_includes_the_way_of_a_message)
{
    PeerClock c = {0};

    observe(&c, 100, 3, 40, 3);
    ck_assert_int_eq(age_ms(&c, 200, 210), 13);
    ck_assert_int_eq(age_ms(&c, 200, 2710), 2515);
}
END_TEST

/* Guards against a copy that seems newer than it is while each message, of
 * either direction, is late. */
START_TEST(age_is_never_too_low_when_all_messages_are_late)
{
    GRand *r = g_rand_new_with_seed(54);

    for (int i = 0; i < 1000; i++) {
        PeerClock c = {0};
        for (int64_t ms = 10000; ms < 20000; ms += 500) {
            observe(&c, ms, g_rand_int_range(r, 0, 3000),
                    g_rand_int_range(r, 0, 500), g_rand_int_range(r, 0, 3000));
        }
        int64_t late = g_rand_int_range(r, 0, 3000);
        ck_assert_int_ge(age_ms(&c, 20000, 20000 + late), late);
    }
    g_rand_free(r);
}
END_TEST

/* Guards against one late heartbeat that makes gossip seem old, so that each
 * VM asks the store. */
START_TEST(a_late_heartbeat_replaces_no_better_one)
{
    PeerClock c = {0};

    observe(&c, 100, 3, 40, 3);
    observe(&c, 600, 2000, 0, 3);
    ck_assert_int_le(age_ms(&c, 700, 710), 15);
}
END_TEST

/* Guards against a bound that a clock which halted for a while, as that of a
 * paused virtual machine, makes too high for good. */
START_TEST(a_heartbeat_from_the_future_ends_the_bound)
{
    PeerClock c = {0};
    int64_t own_us;

    observe(&c, 100, 3, 40, 3);
    peerclock_check(&c, PEER_START + 10300 * MS, OWN_START + 10310 * MS);
    ck_assert_int_eq(age_ms(&c, 10300, 10310), 23);
    /* The own clock has halted for 10 s. */
    peerclock_check(&c, PEER_START + 20600 * MS, OWN_START + 10610 * MS);
    ck_assert(!peerclock_own_time(&c, PEER_START, OWN_START, &own_us));
}
END_TEST

/* Guards against clocks that drift apart after the last heartbeat. */
START_TEST(an_old_echo_proves_less)
{
    PeerClock c = {0};

    observe(&c, 0, 0, 0, 0);
    ck_assert_int_eq(age_ms(&c, 60000, 60000), 60);
}
END_TEST

/* Guards against a guess about a clock of which nothing is known. */
START_TEST(nothing_is_known_without_an_echo)
{
    PeerClock c = {0};
    int64_t own_us;

    ck_assert(!peerclock_own_time(&c, 1, 2, &own_us));
}
END_TEST

T_MAIN("peerclock", age_includes_the_way_of_a_message,
       age_is_never_too_low_when_all_messages_are_late,
       a_late_heartbeat_replaces_no_better_one,
       a_heartbeat_from_the_future_ends_the_bound, an_old_echo_proves_less,
       nothing_is_known_without_an_echo)
