/* Tests of settings: reading of a file, and texts of errors. */
#include "t.h"

#include <unistd.h>
#include <string.h>

#include <glib/gstdio.h>

#include "settings.h"

static const char base[] = "[vm]\nid = atl-a-1\nzone = atl-a\n"
                           "[listen]\nentry = 127.0.0.1:24010\n"
                           "lookup = 127.0.0.1:24011\n"
                           "control = [::1]:24012\n"
                           "[store]\naddress = 127.0.0.1:24013\n"
                           "[fleet]\nkey = 000102030405060708090a0b0c0d0e0f\n"
                           "peers = 127.0.0.1:24014; 127.0.0.1:24015\n"
                           "[log]\nlevel = warn\n";

/* Reads a file of the base text with the first occurrence of from replaced by
 * to. */
static bool
read_with(const char *from, const char *to, Settings *s, Err *e)
{
    const char *at = strstr(base, from);
    char *text = g_strdup_printf("%.*s%s%s", (int)(at - base), base, to,
                                 at + strlen(from));
    char *file = NULL;
    int fd = g_file_open_tmp("settings-XXXXXX", &file, NULL);

    ck_assert_int_ge(fd, 0);
    ck_assert(g_file_set_contents(file, text, -1, NULL));
    bool ok = settings_read(s, file, e);
    g_unlink(file);
    close(fd);
    g_free(file);
    g_free(text);
    return ok;
}

/* Guards against values that are stored in the wrong field. */
START_TEST(reads_all_fields)
{
    Settings s;
    Err e = {0};

    ck_assert_msg(read_with("[log]", "[log]", &s, &e), "%s", e.text);
    ck_assert_str_eq(s.vm_id, "atl-a-1");
    ck_assert_str_eq(s.control, "[::1]:24012");
    ck_assert_str_eq(s.admin, "");
    ck_assert_int_eq(s.n_peers, 2);
    ck_assert_str_eq(s.peers[1], "127.0.0.1:24015");
    ck_assert_int_eq(s.fleet_key[15], 15);
    ck_assert_int_eq(s.log_level, LG_WARN);
}
END_TEST

/* Guards against wrong settings that are accepted, and against errors that do
 * not show an operator what to correct. */
START_TEST(errors_name_place_and_value)
{
    static const struct {
        const char *from, *to;
        const char *contains[3];
    } c[] = {
        {"id = atl-a-1", "id = Atl", {"[vm] id", "\"Atl\"", "a-z"}},
        {"id = atl-a-1\n", "", {"[vm] id", "nothing", "add it"}},
        {"id =", "name =", {"[vm] name", "unknown key", "id, zone"}},
        {"[log]", "[logs]", {"[logs]", "unknown group", "fleet"}},
        {"zone = atl-a", "zone = a\nzone = b", {"line 4", "zone", "once"}},
        {":24010", "", {"[listen] entry", "\"127.0.0.1\"", "IP:PORT"}},
        {"127.0.0.1:24013", "db:80", {"[store] address", "db:80", "numbers"}},
        {":24013", ":70000", {"[store] address", "70000", "65535"}},
        {":24015", ":x", {"[fleet] peers", ":x", "IP:PORT"}},
        {"0e0f", "0e", {"[fleet] key", "30 characters", "openssl rand"}},
        {"0e0f", "0e0g", {"[fleet] key", "32 characters", "hex"}},
        {"key =", "key_file = /none\nkey =", {"key_file", "one of", "keep"}},
        {"key = ", "key_file = /", {"[fleet] key_file", "read", "path"}},
        {"warn", "loud", {"[log] level", "\"loud\"", "debug"}},
        {"[log]", "[tls]\nkey = k\n[log]", {"[tls] certificate", "", "add"}},
        {"[vm]", "vm", {"line 1", "\"vm\"", "correct"}},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(c); i++) {
        Settings s;
        Err e = {0};
        ck_assert_msg(!read_with(c[i].from, c[i].to, &s, &e), "%s passed",
                      c[i].to);
        ck_assert_ptr_nonnull(strstr(e.text, "settings-"));
        for (int k = 0; k < 3; k++) {
            ck_assert_msg(strstr(e.text, c[i].contains[k]) != NULL,
                          "no \"%s\" in: %s", c[i].contains[k], e.text);
        }
        ck_assert_msg(strstr(e.text, "allowed: ") != NULL, "%s", e.text);
    }
}
END_TEST

/* Guards against an error message that contains the secret key, which would
 * then appear in logs. */
START_TEST(errors_do_not_show_the_key)
{
    Settings s;
    Err e = {0};

    ck_assert(!read_with("0e0f", "0e0g", &s, &e));
    ck_assert_ptr_null(strstr(e.text, "000102"));
}
END_TEST

T_MAIN("settings", reads_all_fields, errors_name_place_and_value,
       errors_do_not_show_the_key)
