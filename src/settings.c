/* settings - settings of a process.  See settings.h. */
#include "settings.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ini.h"
#include "str.h"

#define KEY_HEX_MIN 32 /* 128 bits */

bool
settings_address(const char *text, char *host, size_t host_cap, uint16_t *port,
                 Err *e)
{
    const char *colon = strrchr(text, ':');
    Str h = {text, colon != NULL ? (size_t)(colon - text) : 0};
    char buf[INET6_ADDRSTRLEN];
    uint8_t bin[16];
    uint64_t p = 0;
    int family = AF_INET;

    if (h.n >= 2 && h.p[0] == '[' && h.p[h.n - 1] == ']') {
        family = AF_INET6;
        h = (Str){h.p + 1, h.n - 2};
    }
    if (h.n == 0 || !str_copy(buf, sizeof(buf), h) ||
        inet_pton(family, buf, bin) != 1 ||
        !str_u64(str_of(colon + 1), 65535, &p) || p == 0 ||
        !str_copy(host, host_cap, h)) {
        return err_set(
            e, ERR_VALUE,
            "found \"%.60s\"; allowed: IP:PORT or [IP6]:PORT with a "
            "port from 1 to 65535 and no host name; write the "
            "address in numbers",
            text);
    }
    *port = (uint16_t)p;
    return true;
}

typedef struct KnownGroup {
    const char *group;
    const char *keys[5];
} KnownGroup;

static const KnownGroup known_groups[] = {
    {"vm", {"id", "zone"}},
    {"listen", {"entry", "lookup", "control", "admin"}},
    {"store", {"address"}},
    {"fleet", {"key_file", "key", "peers"}},
    {"tls", {"certificate", "key"}},
    {"log", {"level", "file"}},
};

static const KnownGroup *
find_group(const char *group)
{
    for (size_t i = 0; i < G_N_ELEMENTS(known_groups); i++) {
        if (strcmp(known_groups[i].group, group) == 0) {
            return &known_groups[i];
        }
    }
    return NULL;
}

static bool
check_keys(GKeyFile *kf, const KnownGroup *k, Err *e)
{
    gchar **keys = g_key_file_get_keys(kf, k->group, NULL, NULL);
    bool ok = true;

    for (int i = 0; ok && keys != NULL && keys[i] != NULL; i++) {
        if (!g_strv_contains(k->keys, keys[i])) {
            char *all = g_strjoinv(", ", (gchar **)k->keys);
            ok = err_set(e, ERR_VALUE,
                         "[%s] %.60s: unknown key; allowed: %s; remove it or "
                         "correct its name",
                         k->group, keys[i], all);
            g_free(all);
        }
    }
    g_strfreev(keys);
    return ok;
}

static bool
check_groups(GKeyFile *kf, Err *e)
{
    gchar **groups = g_key_file_get_groups(kf, NULL);
    bool ok = true;

    for (int i = 0; ok && groups[i] != NULL; i++) {
        const KnownGroup *k = find_group(groups[i]);
        if (k == NULL) {
            ok = err_set(e, ERR_VALUE,
                         "[%.60s]: unknown group; allowed: vm, listen, store, "
                         "fleet, tls, log; remove it or correct its name",
                         groups[i]);
        }
        else {
            ok = check_keys(kf, k, e);
        }
    }
    g_strfreev(groups);
    return ok;
}

/* Copies the value of a key; dst is empty when there is none.  When required
 * is not NULL, the value must be present and required describes it in the
 * error. */
static bool
read_value(GKeyFile *kf, const char *group, const char *key,
           const char *required, char *dst, size_t cap, Err *e)
{
    char *v = g_key_file_get_string(kf, group, key, NULL);
    bool ok = true;

    dst[0] = '\0';
    if (v == NULL || v[0] == '\0') {
        ok = required == NULL ||
             err_set(e, ERR_VALUE,
                     "[%s] %s: found nothing; allowed: %s; add it", group, key,
                     required);
    }
    else if (!str_copy(dst, cap, str_of(v))) {
        ok = err_set(e, ERR_VALUE,
                     "[%s] %s: found %zu bytes; allowed: at most %zu; shorten "
                     "the value",
                     group, key, strlen(v), cap - 1);
    }
    g_free(v);
    return ok;
}

static bool
read_name(GKeyFile *kf, const char *key, char *dst, Err *e)
{
    const char *allowed = "a name of a-z, 0-9, '.', '_' and '-' that starts "
                          "with a letter or digit";

    if (!read_value(kf, "vm", key, allowed, dst, NAME_BYTES, e)) {
        return false;
    }
    return str_is_name(str_of(dst), NAME_BYTES - 1) ||
           err_set(e, ERR_VALUE,
                   "[vm] %s: found \"%s\"; allowed: %s; correct the name", key,
                   dst, allowed);
}

static bool
check_address(const char *group, const char *key, const char *v, Err *e)
{
    char host[ADDR_BYTES];
    char prefix[ADDR_BYTES];
    uint16_t port;

    if (settings_address(v, host, sizeof(host), &port, e)) {
        return true;
    }
    snprintf(prefix, sizeof(prefix), "[%s] %s", group, key);
    return err_prefix(e, prefix);
}

static bool
read_address(GKeyFile *kf, const char *group, const char *key, bool required,
             char *dst, Err *e)
{
    if (!read_value(kf, group, key, required ? "IP:PORT" : NULL, dst,
                    ADDR_BYTES, e)) {
        return false;
    }
    return dst[0] == '\0' || check_address(group, key, dst, e);
}

static bool
read_peers(Settings *s, GKeyFile *kf, Err *e)
{
    char *v = g_key_file_get_string(kf, "fleet", "peers", NULL);
    gchar **all = g_strsplit(v != NULL ? v : "", ";", -1);
    bool ok = true;

    s->n_peers = 0;
    for (int i = 0; ok && all[i] != NULL; i++) {
        g_strstrip(all[i]);
        if (all[i][0] == '\0') {
            continue;
        }
        if (s->n_peers == PEERS_MAX) {
            ok = err_set(e, ERR_LIMIT,
                         "[fleet] peers: found more than %d; allowed: at most "
                         "%d addresses; remove some",
                         PEERS_MAX, PEERS_MAX);
            break;
        }
        ok = check_address("fleet", "peers", all[i], e) &&
             str_copy(s->peers[s->n_peers], ADDR_BYTES, str_of(all[i]));
        s->n_peers += ok;
    }
    g_strfreev(all);
    g_free(v);
    return ok;
}

/* Parses a key of hex digits.  A key shorter than FLEET_KEY_BYTES is padded
 * with zeros; a longer one is an error. */
static bool
parse_key(Settings *s, const char *where, const char *hex, Err *e)
{
    size_t n = strlen(hex);
    bool ok =
        n >= KEY_HEX_MIN && n <= (size_t)2 * FLEET_KEY_BYTES && n % 2 == 0;

    memset(s->fleet_key, 0, sizeof(s->fleet_key));
    for (size_t i = 0; ok && i < n; i++) {
        int d = g_ascii_xdigit_value(hex[i]);
        ok = d >= 0;
        if (ok) {
            s->fleet_key[i / 2] |= (uint8_t)(d << (i % 2 == 0 ? 4 : 0));
        }
    }
    /* The key is secret, so the message contains only its length. */
    return ok || err_set(e, ERR_VALUE,
                         "[fleet] %s: found %zu characters; allowed: an even "
                         "number of hex digits from %d to %d; write a random "
                         "key, such as from \"openssl rand -hex 32\"",
                         where, n, KEY_HEX_MIN, 2 * FLEET_KEY_BYTES);
}

static bool
read_key(Settings *s, GKeyFile *kf, Err *e)
{
    char path[FILE_PATH_BYTES];
    char hex[4 * FLEET_KEY_BYTES];
    GError *ge = NULL;
    gchar *text = NULL;

    if (!read_value(kf, "fleet", "key_file", NULL, path, sizeof(path), e) ||
        !read_value(kf, "fleet", "key", NULL, hex, sizeof(hex), e)) {
        return false;
    }
    if ((path[0] == '\0') == (hex[0] == '\0')) {
        return err_set(e, ERR_VALUE,
                       "[fleet] key_file: found %s; allowed: one of key_file "
                       "and key; keep one of them",
                       path[0] != '\0' ? "key_file and key" : "neither");
    }
    if (path[0] == '\0') {
        return parse_key(s, "key", hex, e);
    }
    if (!g_file_get_contents(path, &text, NULL, &ge)) {
        err_set(e, ERR_IO,
                "[fleet] key_file: found \"%.120s\", which cannot be read "
                "(%.80s); allowed: a readable file of hex digits; correct the "
                "path",
                path, ge->message);
        g_error_free(ge);
        return false;
    }
    bool ok = parse_key(s, "key_file", g_strstrip(text), e);
    g_free(text);
    return ok;
}

static bool
read_tls(Settings *s, GKeyFile *kf, Err *e)
{
    if (!read_value(kf, "tls", "certificate", NULL, s->tls_certificate,
                    sizeof(s->tls_certificate), e) ||
        !read_value(kf, "tls", "key", NULL, s->tls_key, sizeof(s->tls_key),
                    e)) {
        return false;
    }
    if ((s->tls_certificate[0] == '\0') != (s->tls_key[0] == '\0')) {
        return err_set(
            e, ERR_VALUE,
            "[tls] %s: found nothing; allowed: both certificate and "
            "key, or neither; add the missing file",
            s->tls_key[0] == '\0' ? "key" : "certificate");
    }
    return true;
}

static bool
read_log(Settings *s, GKeyFile *kf, Err *e)
{
    char level[16];

    if (!read_value(kf, "log", "level", NULL, level, sizeof(level), e) ||
        !read_value(kf, "log", "file", NULL, s->log_file, sizeof(s->log_file),
                    e)) {
        return false;
    }
    s->log_level = LG_INFO;
    return level[0] == '\0' || lg_level_of(level, &s->log_level) ||
           err_set(e, ERR_VALUE,
                   "[log] level: found \"%s\"; allowed: error, warn, info, "
                   "debug; correct the level",
                   level);
}

static bool
read_common(Settings *s, GKeyFile *kf, Err *e)
{
    return read_address(kf, "store", "address", true, s->store, e) &&
           read_key(s, kf, e) && read_peers(s, kf, e) && read_tls(s, kf, e) &&
           read_log(s, kf, e);
}

static bool
read_vm(Settings *s, GKeyFile *kf, Err *e)
{
    return read_name(kf, "id", s->vm_id, e) &&
           read_name(kf, "zone", s->zone, e) &&
           read_address(kf, "listen", "entry", true, s->entry, e) &&
           read_address(kf, "listen", "lookup", true, s->lookup, e) &&
           read_address(kf, "listen", "control", true, s->control, e) &&
           read_address(kf, "listen", "admin", false, s->admin, e);
}

static bool
read_file(Settings *s, const char *file, bool vm, Err *e)
{
    GError *ge = NULL;
    gchar *text = NULL;
    gsize n = 0;
    bool ok = false;

    memset(s, 0, sizeof(*s));
    if (!g_file_get_contents(file, &text, &n, &ge)) {
        err_set(e, ERR_IO,
                "%.120s: cannot be read (%.120s); allowed: a readable "
                "settings file; correct the path",
                file, ge->message);
        g_error_free(ge);
        return false;
    }
    GKeyFile *kf = ini_read((Str){text, n}, e);
    if (kf != NULL) {
        ok = check_groups(kf, e) && (!vm || read_vm(s, kf, e)) &&
             read_common(s, kf, e);
        g_key_file_free(kf);
    }
    g_free(text);
    return ok || err_prefix(e, file);
}

bool
settings_read(Settings *s, const char *file, Err *e)
{
    return read_file(s, file, true, e);
}

bool
settings_read_operator(Settings *s, const char *file, Err *e)
{
    return read_file(s, file, false, e);
}
