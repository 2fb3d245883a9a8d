/* ini - strict parser of INI text.  See ini.h. */
#include "ini.h"

#include <string.h>

typedef struct Parser {
    GHashTable *groups; /* names of all groups so far */
    GHashTable *keys;   /* keys of the current group */
    const char *group;  /* current group, owned by groups; NULL: none yet */
    int line;
} Parser;

static bool
parse_group(Parser *s, const char *l, size_t n, Err *e)
{
    char *name = g_strndup(l + 1, n - 2);

    if (name[0] == '\0' || strpbrk(name, "[]") != NULL) {
        g_free(name);
        return err_set(e, ERR_SYNTAX,
                       "line %d: found \"%.60s\"; allowed: a group name "
                       "between one pair of brackets; correct the line",
                       s->line, l);
    }
    if (g_hash_table_contains(s->groups, name)) {
        err_set(e, ERR_SYNTAX,
                "line %d: found the group [%.60s] a second time; allowed: "
                "each group once; merge or remove one",
                s->line, name);
        g_free(name);
        return false;
    }
    g_hash_table_add(s->groups, name);
    s->group = name;
    g_hash_table_remove_all(s->keys);
    return true;
}

static bool
parse_key(Parser *s, const char *l, Err *e)
{
    const char *eq = strchr(l, '=');

    if (eq == NULL || eq == l || s->group == NULL) {
        return err_set(e, ERR_SYNTAX,
                       "line %d: found \"%.60s\"; allowed: \"[group]\", then "
                       "\"key = value\" or \"# comment\"; correct the line",
                       s->line, l);
    }
    char *key = g_strchomp(g_strndup(l, (size_t)(eq - l)));
    if (g_hash_table_contains(s->keys, key)) {
        err_set(e, ERR_SYNTAX,
                "line %d: [%.60s] %.60s: found a second time; allowed: each "
                "key once in a group; remove one",
                s->line, s->group, key);
        g_free(key);
        return false;
    }
    g_hash_table_add(s->keys, key);
    return true;
}

static bool
parse_line(Parser *s, char *l, Err *e)
{
    size_t n;

    g_strstrip(l);
    n = strlen(l);
    if (n == 0 || l[0] == '#') {
        return true;
    }
    if (l[0] == '[' && n >= 2 && l[n - 1] == ']') {
        return parse_group(s, l, n, e);
    }
    return parse_key(s, l, e);
}

static bool
check_lines(Str text, Err *e)
{
    Parser s = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
                NULL, 0};
    size_t at = 0;
    bool ok = true;

    while (ok && at < text.n) {
        const char *nl = memchr(text.p + at, '\n', text.n - at);
        size_t end = nl != NULL ? (size_t)(nl - text.p) : text.n;
        char *l = g_strndup(text.p + at, end - at);
        s.line++;
        ok = parse_line(&s, l, e);
        g_free(l);
        at = end + 1;
    }
    g_hash_table_destroy(s.groups);
    g_hash_table_destroy(s.keys);
    return ok;
}

GKeyFile *
ini_read(Str text, Err *e)
{
    GError *ge = NULL;

    if (text.n > 0 && !g_utf8_validate(text.p, (gssize)text.n, NULL)) {
        err_set(e, ERR_SYNTAX,
                "text: found a byte that is not UTF-8 text; allowed: UTF-8 "
                "without zero bytes; save the file as UTF-8");
        return NULL;
    }
    if (!check_lines(text, e)) {
        return NULL;
    }
    GKeyFile *kf = g_key_file_new();
    if (text.n > 0 &&
        !g_key_file_load_from_data(kf, text.p, text.n, G_KEY_FILE_NONE, &ge)) {
        err_set(e, ERR_SYNTAX,
                "text: found an error (%.160s); allowed: INI text of groups "
                "and keys; correct the line",
                ge->message);
        g_error_free(ge);
        g_key_file_free(kf);
        return NULL;
    }
    return kf;
}
