/* Tests of the manifest: parser, errors, canonical text, diff and drains. */
#include "t.h"

#include <string.h>

#include "manifest.h"

static const char base[] = "[manifest]\n"
                           "owner = peachtree\n"
                           "zone_latency_ms = 4\n"
                           "[region atl]\n"
                           "[region sav]\n"
                           "[zone atl-a]\nregion = atl\n"
                           "[zone atl-b]\nregion = atl\n"
                           "[zone sav-a]\nregion = sav\n"
                           "blocks = 10.2.0.0/16; 2001:db8::/48@3\n"
                           "[link atl sav]\n"
                           "mbit = 4000\nlatency_ms = 55\ncost = 2.5\n"
                           "[rank urgent]\n"
                           "worth = 10\ndeadline_ms = 200\nfloor = 0.5\n"
                           "[rank bulk]\ndeadline_ms = 5000\n"
                           "[service desk]\n"
                           "once_paths = /filings;/charges\n"
                           "shift_cap = 0.1\nshift_interval_ms = 10000\n"
                           "[target d1]\nservice = desk\nzone = atl-a\n"
                           "address = 127.0.0.1:9001\n"
                           "slots = 9\nconnections = 360\n"
                           "[target d2]\nservice = desk\nzone = sav-a\n"
                           "address = [::1]:9002\n"
                           "slots = 3\nconnections = 360\n"
                           "[block 10.1.0.0/16]\nzone = atl-a\n"
                           "[block 10.1.7.0/24]\nzone = atl-b\nsite = 2\n";

static Manifest *
parse(const char *text)
{
    Err e = {0};
    Manifest *m = manifest_parse(str_of(text), &e);

    ck_assert_msg(m != NULL, "%s", e.text);
    return m;
}

/* Returns the base text with the first occurrence of from replaced by to. */
static char *
base_with(const char *from, const char *to)
{
    const char *at = strstr(base, from);

    ck_assert_ptr_nonnull(at);
    return g_strdup_printf("%.*s%s%s", (int)(at - base), base, to,
                           at + strlen(from));
}

/* Guards against values stored in the wrong field or unit. */
START_TEST(parse_reads_all_parts)
{
    Manifest *m = parse(base);

    ck_assert_str_eq(m->owner, "peachtree");
    ck_assert_int_eq(m->n_regions, 2);
    ck_assert_int_eq(m->n_zones, 3);
    ck_assert_int_eq(m->n_targets, 2);
    ck_assert_uint_eq(m->n_blocks, 4);
    ck_assert_int_eq(m->ranks[0].deadline_us, 200000);
    ck_assert_double_eq(m->ranks[0].floor, 0.5);
    ck_assert_int_eq(m->services[0].shift_interval_us, 10000000);
    ck_assert_int_eq(manifest_latency_us(m, 0, 0), 0);
    ck_assert_int_eq(manifest_latency_us(m, 0, 1), 4000);
    ck_assert_int_eq(manifest_latency_us(m, 0, 2), 55000);
    ck_assert_double_eq(manifest_cost(m, 2, 1), 2.5);
    ck_assert_int_eq(manifest_zone_slots(m, 0, 2), 3);
    ck_assert_int_eq(m->blocks[3].site, 3); /* 2001:: sorts after ::ffff: */
    manifest_free(m);
}
END_TEST

/* Guards against a path rule that is not applied, so that filings count as
 * idempotent. */
START_TEST(class_follows_path_rules)
{
    Manifest *m = parse(base);
    const MfService *s = &m->services[0];

    ck_assert_int_eq(manifest_class(s, str_of("/filings/7")), MF_ONCE);
    ck_assert_int_eq(manifest_class(s, str_of("/rents")), MF_IDEMPOTENT);
    manifest_free(m);
}
END_TEST

/* Guards against a canonical text that loses or changes a value. */
START_TEST(text_reads_back_equal)
{
    char *t = base_with("[block 10.1.7", "[drain region sav]\n[block 10.1.7");
    Manifest *a = parse(t);
    GString *text = manifest_text(a);
    Manifest *b = parse(text->str);
    GString *again = manifest_text(b);
    GString *diff = g_string_new(NULL);

    ck_assert_int_eq(manifest_diff(a, b, diff), 0);
    ck_assert_str_eq(text->str, again->str);
    ck_assert(b->zones[2].draining);
    /* The targets of a drained region serve until its traffic has moved. */
    ck_assert(!b->targets[1].draining);
    ck_assert_int_eq(manifest_zone_slots(b, 0, 2), 0);
    manifest_free(a);
    manifest_free(b);
    g_string_free(text, TRUE);
    g_string_free(again, TRUE);
    g_string_free(diff, TRUE);
    g_free(t);
}
END_TEST

/* Guards against a diff that omits a change, so that its review misses it. */
START_TEST(diff_shows_each_change)
{
    static const struct {
        const char *from, *to, *line;
    } c[] = {
        {"slots = 9", "slots = 12", "~ [target d1] slots = 12 (was 9)\n"},
        {"floor = 0.5\n", "", "~ [rank urgent] floor = 0 (was 0.5)\n"},
        {"[block 10.1.0.0/16]\nzone = atl-a\n", "",
         "- [block 10.1.0.0/16] zone = atl-a\n"},
        {"[block 10.1.0", "[drain zone atl-a]\n[block 10.1.0",
         "+ [drain zone atl-a]\n"},
        {"/filings;/charges", "/filings",
         "~ [service desk] once_paths = /filings (was /filings;/charges)\n"},
        {"once_paths = /filings;/charges\n", "",
         "~ [service desk] once_paths = not set (was /filings;/charges)\n"},
    };
    Manifest *a = parse(base);

    for (size_t i = 0; i < G_N_ELEMENTS(c); i++) {
        char *t = base_with(c[i].from, c[i].to);
        Manifest *b = parse(t);
        GString *out = g_string_new(NULL);
        ck_assert_int_eq(manifest_diff(a, b, out), 1);
        ck_assert_str_eq(out->str, c[i].line);
        g_string_free(out, TRUE);
        manifest_free(b);
        g_free(t);
    }
    manifest_free(a);
}
END_TEST

/* Guards against malformed manifests that are accepted, and against errors
 * that do not name the group, the key, the value and the allowed values. */
START_TEST(errors_name_place_and_value)
{
    static const struct {
        const char *from, *to;
        const char *has[3];
    } c[] = {
        {"slots = 9",
         "slots = 0",
         {"[target d1] slots", "\"0\"", "1 to 1024"}},
        {"slots = 9", "slots = 1e2", {"slots", "\"1e2\"", "whole number"}},
        {"slots = 9", "slots = -1", {"slots", "\"-1\"", "whole number"}},
        {"slots = 9", "slots = 2.5", {"slots", "\"2.5\"", "whole number"}},
        {"slots = 9\n", "", {"[target d1] slots", "nothing", "add the key"}},
        {"slots = 9",
         "slot = 9",
         {"[target d1] slot", "unknown key", "slots"}},
        {"slots = 9", "slots = 9\nslots = 8", {"slots", "second", "remove"}},
        {"connections = 360", "connections = 8", {"connections", "8", "9 to"}},
        {"[target d2]", "[target d1]", {"[target d1]", "second", "once"}},
        {"[target d2]", "[target D2]", {"[target D2]", "\"D2\"", "a-z"}},
        {"[target d2]", "[targets d2]", {"[targets d2]", "unknown", "block"}},
        {"[target d2]", "[target  d2]", {"[target  d2]", "3 words", "NAME"}},
        {"[target d2]", "[target d2", {"[target d2", "line 33", "comment"}},
        {"= desk", "= dsk", {"service", "\"dsk\"", "declared service"}},
        {"[::1]:9002", "127.0.0.1:9001", {"address", "9001", "no other"}},
        {"[::1]:9002", "localhost:1", {"address", "localhost", "IP:PORT"}},
        {"[::1]:9002", "127.0.0.1:0", {"address", ":0\"", "IP:PORT"}},
        {"[link atl sav]", "[link atl atl]", {"link", "different", "correct"}},
        {"[link atl sav]", "[link atl x]", {"link atl x", "\"x\"", "region"}},
        {"worth = 10", "worth = nan", {"worth", "\"nan\"", "number from"}},
        {"floor = 0.5", "floor = 1.5", {"floor", "\"1.5\"", "0 to 1"}},
        {"shift_cap = 0.1", "shift_cap = 0", {"shift_cap", "\"0\"", "0.001"}},
        {"shift_cap = 0.1\n", "", {"shift_cap", "nothing", "add"}},
        {"once_paths = /f", "once_paths = f", {"once_paths", "filings", "/"}},
        {"10.1.7.0/24", "10.1.7.1/24", {"block 10.1.7.1", "24", "zero"}},
        {"10.1.7.0/24", "10.1.7.0/33", {"block", "/33", "ADDRESS/BITS"}},
        {"10.1.7.0/24", "10.2.0.0/16", {"10.2.0.0/16", "second", "remove"}},
        {"/48@3", "/48@256", {"[zone sav-a] blocks", "256", "0 to 255"}},
        {"site = 2",
         "site = 2\n[drain zone x]",
         {"drain zone x", "\"x\"", ""}},
        {"site = 2", "site = 2\n[drain vm x]", {"drain vm", "\"vm\"", "KIND"}},
        {"owner = peachtree\n", "", {"[manifest] owner", "nothing", "add"}},
        {"owner = peachtree", "owner = \xff", {"UTF-8", "allowed", "save"}},
        {"deadline_ms = 200\n", "", {"[rank urgent] deadline_ms", "", "add"}},
        {"[rank bulk]", "[rank bulk]\nfloor = 0.6", {"floor", "1.1", "lower"}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(c); i++) {
        char *t = base_with(c[i].from, c[i].to);
        Err e = {0};
        ck_assert_msg(manifest_parse(str_of(t), &e) == NULL, "%s passed",
                      c[i].to);
        for (int k = 0; k < 3; k++) {
            ck_assert_msg(strstr(e.text, c[i].has[k]) != NULL,
                          "no \"%s\" in: %s", c[i].has[k], e.text);
        }
        ck_assert_msg(strstr(e.text, "allowed: ") != NULL, "%s", e.text);
        ck_assert_int_eq(err_exit_code(e.kind), 2);
        g_free(t);
    }
}
END_TEST

/* Guards against groups that overflow the fixed tables of a manifest. */
START_TEST(too_many_parts_are_refused)
{
    static const char *const kinds[] = {"region r", "rank r", "service s"};
    static const char *const keys[] = {
        "", "deadline_ms = 9\n", "shift_cap = 1\nshift_interval_ms = 1000\n"};

    for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
        GString *t = g_string_new(base);
        Err e = {0};
        for (int i = 0; i < 40; i++) {
            g_string_append_printf(t, "[%s%d]\n%s", kinds[k], i, keys[k]);
        }
        ck_assert_ptr_null(manifest_parse(str_of(t->str), &e));
        ck_assert_int_eq(e.kind, ERR_LIMIT);
        ck_assert_ptr_nonnull(strstr(e.text, kinds[k]));
        g_string_free(t, TRUE);
    }
}
END_TEST

/* Guards against a drain that changes other parts of the operator's text, such
 * as comments, and against drains of undeclared targets, zones or regions. */
START_TEST(drain_edits_text_in_place)
{
    GString *t = g_string_new(base);
    Err e = {0};

    ck_assert(manifest_set_drain(t, MF_DRAIN_ZONE, "sav-a", true, &e));
    ck_assert(manifest_set_drain(t, MF_DRAIN_ZONE, "sav-a", true, &e));
    Manifest *m = parse(t->str);
    ck_assert_int_eq(m->n_drains, 1);
    ck_assert(m->zones[2].draining);
    ck_assert(!m->zones[0].draining);
    manifest_free(m);
    ck_assert(manifest_set_drain(t, MF_DRAIN_ZONE, "sav-a", false, &e));
    ck_assert_str_eq(t->str, base);
    ck_assert(manifest_set_drain(t, MF_DRAIN_ZONE, "sav-a", false, &e));
    ck_assert(!manifest_set_drain(t, MF_DRAIN_TARGET, "sav-a", true, &e));
    ck_assert_int_eq(e.kind, ERR_NOT_FOUND);
    g_string_free(t, TRUE);
}
END_TEST

/* Guards against examples that the parser no longer accepts. */
START_TEST(examples_are_valid)
{
    static const struct {
        const char *file;
        int regions, zones, targets, slots;
    } c[] = {{"examples/peachtree.ini", 3, 6, 36, 24 * 9 + 12 * 3},
             {"examples/yasmine.ini", 3, 6, 32, 20 * 3 + 12 * 3},
             {"examples/demo.ini", 2, 2, 8, 40}};

    for (size_t i = 0; i < G_N_ELEMENTS(c); i++) {
        gchar *t = NULL;
        ck_assert_msg(g_file_get_contents(c[i].file, &t, NULL, NULL),
                      "run in the root of the repository: %s", c[i].file);
        Manifest *m = parse(t);
        int slots = 0;
        for (int k = 0; k < m->n_targets; k++) {
            slots += m->targets[k].slots;
        }
        ck_assert_int_eq(m->n_regions, c[i].regions);
        ck_assert_int_eq(m->n_zones, c[i].zones);
        ck_assert_int_eq(m->n_targets, c[i].targets);
        ck_assert_int_eq(m->n_ranks, 3);
        ck_assert_int_eq(slots, c[i].slots);
        manifest_free(m);
        g_free(t);
    }
}
END_TEST

T_MAIN("manifest", examples_are_valid, parse_reads_all_parts,
       class_follows_path_rules, text_reads_back_equal, diff_shows_each_change,
       errors_name_place_and_value, too_many_parts_are_refused,
       drain_edits_text_in_place)
