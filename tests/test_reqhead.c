/* Tests of reqhead: parsing and validation of request heads. */
#include "t.h"

#include <string.h>

#include "reqhead.h"

static const char text[] =
    "[manifest]\nowner = t\n[region r]\n[zone z1]\nregion = r\n"
    "[zone z2]\nregion = r\n"
    "[rank urgent]\nworth = 10\ndeadline_ms = 200\n"
    "[rank bulk]\ndeadline_ms = 5000\n"
    "[service desk]\nonce_paths = /filings\n"
    "shift_cap = 0.1\nshift_interval_ms = 10000\n"
    "[target d1]\nservice = desk\nzone = z2\naddress = 127.0.0.1:1\n"
    "slots = 1\nconnections = 1\n";

#define S(z)                                                                  \
    {                                                                         \
        (z), sizeof(z) - 1                                                    \
    }

typedef struct Case {
    ReqHeadIn in;
    ErrKind kind;
    const char *parts[3]; /* strings that the error text must contain */
} Case;

static Manifest *
manifest(void)
{
    Err e = {0};
    Manifest *m = manifest_parse(str_of(text), &e);

    ck_assert_msg(m != NULL, "%s", e.text);
    return m;
}

/* Guards against an error text that does not tell the caller what to change:
 * it must name the header, the value and the remedy. */
START_TEST(errors_name_header_value_and_remedy)
{
    static const Case cases[] = {
        {{.path = S("/v1/run/none/x")}, ERR_NOT_FOUND, {"path", "none"}},
        {{.path = S("/v1/run/desk/x"), .rank = S("vip")},
         ERR_VALUE,
         {"Mimosa-Rank", "vip", "urgent"}},
        {{.path = S("/v1/run/desk/x"), .deadline_ms = S("0")},
         ERR_VALUE,
         {"Mimosa-Deadline-Ms", "\"0\"", "600000"}},
        {{.path = S("/v1/run/desk/x"), .deadline_ms = S("1e3")},
         ERR_VALUE,
         {"Mimosa-Deadline-Ms", "1e3"}},
        {{.path = S("/v1/run/desk/x"), .class = S("twice")},
         ERR_VALUE,
         {"Mimosa-Class", "twice", "once"}},
        {{.path = S("/v1/run/desk/filings"), .class = S("idempotent")},
         ERR_VALUE,
         {"Mimosa-Class", "once"}},
        {{.path = S("/v1/run/desk/filings")},
         ERR_VALUE,
         {"Idempotency-Key", "absent", "128"}},
        {{.path = S("/v1/run/desk/filings"), .key = S("a b")},
         ERR_VALUE,
         {"Idempotency-Key", "a b"}},
        {{.path = S("/v1/run/desk/filings"), .key = S("k")},
         ERR_VALUE,
         {"Mimosa-Attempt"}},
        {{.path = S("/v1/run/desk/filings"), .key = S("k"), .attempt = S("1")},
         ERR_VALUE,
         {"Mimosa-Issued"}},
        {{.path = S("/v1/run/desk/filings"),
          .key = S("k"),
          .attempt = S("1"),
          .issued = S("5"),
          .home = S("mars")},
         ERR_VALUE,
         {"Mimosa-Home", "mars"}},
        {{.path = S("/v1/run/desk/x"), .hop = S("1")},
         ERR_AUTH,
         {"Mimosa-Hop"}},
        {{.path = S("/v1/run/desk/x"), .client = S("10.0.0.1")},
         ERR_AUTH,
         {"Mimosa-Client"}},
        {{.path = S("/v1/run/desk/x"), .hop = S("3"), .fleet = S("proof")},
         ERR_VALUE,
         {"Mimosa-Hop", "\"3\""}},
        {{.path = S("/v1/run/desk/x"), .head_bytes = HEAD_BYTES_MAX + 1},
         ERR_LIMIT,
         {"head", "16384"}},
        {{.path = S("/v1/run/desk/x"), .body_bytes = BODY_BYTES_MAX + 1},
         ERR_LIMIT,
         {"Content-Length", "16777216"}},
    };
    Manifest *m = manifest();
    ReqHead h;

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        Err e = {0};
        ck_assert_msg(!reqhead_parse(&h, &cases[i].in, m, "proof", &e),
                      "case %zu was accepted", i);
        ck_assert_msg(e.kind == cases[i].kind, "case %zu: %s", i, e.text);
        for (int k = 0; k < 3 && cases[i].parts[k] != NULL; k++) {
            ck_assert_msg(strstr(e.text, cases[i].parts[k]) != NULL,
                          "case %zu lacks \"%s\": %s", i, cases[i].parts[k],
                          e.text);
        }
        ck_assert_msg(strchr(e.text, ';') != NULL, "no remedy in: %s", e.text);
    }
    manifest_free(m);
}
END_TEST

/* Guards against defaults that differ from the interface description. */
START_TEST(defaults_and_limits)
{
    Manifest *m = manifest();
    ReqHeadIn in = {.path = S("/v1/run/desk/a/b")};
    ReqHead h;

    ck_assert(reqhead_parse(&h, &in, m, "proof", NULL));
    ck_assert_int_eq(h.rank, 1);
    ck_assert_int_eq(h.deadline_us, 5000000);
    ck_assert_int_eq(h.class, MF_IDEMPOTENT);
    ck_assert_str_eq(in.path.p + h.path_offset, "/a/b");
    /* The deadline of the rank limits the one of the request. */
    in.rank = str_of("urgent");
    in.deadline_ms = str_of("600000");
    ck_assert(reqhead_parse(&h, &in, m, "proof", NULL));
    ck_assert_int_eq(h.deadline_us, 200000);
    /* The default home zone is one with a target of the service. */
    in = (ReqHeadIn){.path = S("/v1/run/desk/filings"),
                     .key = S("k"),
                     .attempt = S("2"),
                     .issued = S("1000")};
    ck_assert(reqhead_parse(&h, &in, m, "proof", NULL));
    ck_assert_int_eq(h.class, MF_ONCE);
    ck_assert_int_eq(h.home, 1);
    ck_assert_int_eq(h.attempt, 2);
    ck_assert_int_eq(h.issued_wall_us, 1000000);
    manifest_free(m);
}
END_TEST

T_MAIN("reqhead", errors_name_header_value_and_remedy, defaults_and_limits)
