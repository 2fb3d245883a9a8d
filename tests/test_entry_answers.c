/* Test of malformed answers of upstreams towards callers of mimosa-entry. */
#include "t.h"

#include "answers.h"
#include "rig.h"

#define VM_PORT 20540
#define UP_PORT 20541

/* Sends the answer whose index the path names, as "/I". */
static const char *
answer(int n, int conn_n, const char *head)
{
    static GString *text;
    const Answer *a = &answers[atoi(strchr(head, '/') + 1)];
    (void)n;
    (void)conn_n;

    if (text == NULL) {
        text = g_string_new(NULL);
    }
    g_string_truncate(text, 0);
    g_string_append_len(text, a->before.p, (gssize)a->before.n);
    g_string_append_len(text, a->after.p, (gssize)a->after.n);
    return text->str;
}

static int
index_of(const char *name)
{
    int i = 0;

    while (strcmp(answers[i].name, name) != 0) {
        i++;
    }
    return i;
}

/* Asks for an answer and returns what the caller receives. */
static GString *
ask(int i)
{
    char path[64];

    snprintf(path, sizeof(path), "/v1/run/desk/%d", i);
    return rig_ask(VM_PORT, "GET", path, "", "");
}

/* The upstream sends text that ends with the first NUL. */
static bool
has_nul(const Answer *a)
{
    return memchr(a->before.p, '\0', a->before.n) != NULL ||
           memchr(a->after.p, '\0', a->after.n) != NULL;
}

/* Guards against a malformed answer that is passed on. */
START_TEST(malformed_answers_are_not_passed_on)
{
    Rig g = {.manifest =
                 "[manifest]\nowner = t\n[region r]\n[zone z1]\nregion = r\n"
                 "[rank all]\ndeadline_ms = 2000\n"
                 "[service desk]\nshift_cap = 0.1\n"
                 "shift_interval_ms = 10000\n"
                 "[target d1]\nservice = desk\nzone = z1\n"
                 "address = 127.0.0.1:20541\nslots = 4\nconnections = 8\n",
             .n_vms = 1,
             .port = {VM_PORT},
             .zone = {"z1"}};
    UpPlan p = {.port = UP_PORT, .answer = answer};
    int ok = index_of("ok");

    rig_upstream(&p);
    rig_start(&g);
    for (int i = 0; i < (int)G_N_ELEMENTS(answers); i++) {
        if (answers[i].status != 0 || has_nul(&answers[i])) {
            continue;
        }
        GString *a = ask(i);
        ck_assert_msg(rig_has(a, "\"outcome\":\"unknown\""), "%s: %s",
                      answers[i].name, a->str);
        ck_assert_msg(!rig_has(a, "abc") && !rig_has(a, "\nX"), "%s: %s",
                      answers[i].name, a->str);
        g_string_free(a, TRUE);
        /* An upstream that fails only is used no longer. */
        a = ask(ok);
        ck_assert_msg(rig_has(a, "\r\n\r\nabc"), "after %s: %s",
                      answers[i].name, a->str);
        g_string_free(a, TRUE);
    }
}
END_TEST

T_MAIN("entry_answers", malformed_answers_are_not_passed_on)
