/* Tests of losses: what the log lines of entry VMs say about requests that
 * were not served in time. */
#include "t.h"

#include <stdio.h>
#include <string.h>

#include "losses.h"

static void
add(Losses *l, const char *line)
{
    losses_add(l, str_of(line));
}

/* Adds an answer of the given times. */
static void
answer(Losses *l, int second, int took_ms, int sent_ms, const char *more)
{
    char line[512];

    snprintf(line, sizeof(line),
             "time=%d.120 level=info part=request id=5 event=answered "
             "status=200 service=desk rank=0 upstream=u pick=first "
             "load=2.0 slots=4 took_ms=%d target_ms=400 sent_ms=%d "
             "usual_ms=150 %s requests=1",
             second, took_ms, sent_ms, more);
    add(l, line);
}

static void
check_has(const Losses *l, const char *text)
{
    GString *out = g_string_new(NULL);

    losses_text(l, out);
    if (strstr(out->str, text) == NULL) {
        ck_abort_msg("\"%s\" is not in:\n%s", text, out->str);
    }
    g_string_free(out, TRUE);
}

/* Guards against a table that puts losses down to the wrong reason, region or
 * second, or counts a line for one request when it stands for several. */
START_TEST(losses_are_counted_by_reason)
{
    Losses *l = losses_new();

    add(l, "time=1000.000 level=info part=vm id=a event=started zone=z "
           "region=west boot=5");
    answer(l, 1001, 200, 0, "attempts=1 away=0 new_conn=0");
    answer(l, 1001, 500, 0, "attempts=2 away=0 new_conn=0");
    answer(l, 1001, 500, 250, "attempts=1 away=0 new_conn=0");
    answer(l, 1001, 500, 0, "attempts=1 away=0 new_conn=0");
    add(l, "time=1003.5 level=info part=request id=6 event=no_room status=503 "
           "service=desk rank=1 pick=capped requests=7");
    losses_next_vm(l);
    add(l, "time=1000.000 level=info part=vm id=b event=started zone=y "
           "region=east boot=5");
    add(l, "time=1003.7 level=info part=request id=7 event=no_room status=503 "
           "service=desk rank=1 pick=full requests=2");
    check_has(l,
              "west         desk                1 full_room_elsewhere        "
              "       7\n");
    check_has(l,
              "east         desk                1 full_everywhere            "
              "       2\n");
    check_has(l,
              "west         desk                0 late_retried               "
              "       1\n");
    check_has(l, "late_to_first_upstream            1\n");
    check_has(l, "late_cold_or_slow                 1\n");
    check_has(l, "         2 full_room_elsewhere               7\n");
    check_has(l, "\n12 of 13 requests were not served in time\n");
    losses_free(l);
}
END_TEST

/* Guards against a fault or a silent gap in the count when a log was cut, is
 * of another program or lacks lines. */
START_TEST(unreadable_and_dropped_lines_are_reported)
{
    Losses *l = losses_new();

    add(l, "");
    add(l, "garbage");
    add(l, "time=1000.1 level=info part=request id=6 event=no_room");
    add(l, "time=1000.1 level=info part=log event=dropped lines=40");
    add(l, "time= part= event=");
    check_has(l, "0 of 0 requests");
    check_has(l, "40 lines were dropped");
    check_has(l, "3 lines are unreadable, first: garbage\n");
    losses_free(l);
}
END_TEST

/* Guards against a script that gnuplot cannot read. */
START_TEST(the_plot_names_each_reason_once)
{
    Losses *l = losses_new();
    GString *out = g_string_new(NULL);

    for (int i = 0; i < 3; i++) {
        answer(l, 1001 + i, 500, 0, "attempts=2 away=0 new_conn=0");
    }
    losses_plot(l, out);
    ck_assert_ptr_nonnull(strstr(out->str, "$losses << END\n0 late_retried 1\n"
                                           "1 late_retried 1\n"));
    const char *title = strstr(out->str, "title 'late_retried'");
    ck_assert_ptr_nonnull(title);
    ck_assert_ptr_null(strstr(title + 1, "title 'late_retried'"));
    g_string_free(out, TRUE);
    losses_free(l);
}
END_TEST

T_MAIN("losses", losses_are_counted_by_reason,
       unreadable_and_dropped_lines_are_reported,
       the_plot_names_each_reason_once)
