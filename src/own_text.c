/* own_text - text form of a roster.  See own.h. */
#include "own.h"

#include <string.h>

#define ROSTER "roster"
#define MEMBER "member "
#define LOST "lost "

static void
text_member(GString *g, const OwnMember *m)
{
    g_string_append_printf(g,
                           "[" MEMBER "%s]\nincarnation=%" G_GUINT64_FORMAT
                           "\nsince=%" G_GUINT64_FORMAT
                           "\ncontrol=%s\nentry=%s\nlookup=%s\n",
                           m->id, (guint64)m->incarnation, (guint64)m->since,
                           m->control, m->entry, m->lookup);
}

GString *
own_text(const OwnRoster *r)
{
    GString *g = g_string_new(NULL);

    g_string_append_printf(g, "[" ROSTER "]\nepoch=%" G_GUINT64_FORMAT "\n",
                           (guint64)r->epoch);
    for (int i = 0; i < r->n; i++) {
        text_member(g, &r->members[i]);
    }
    for (int i = 0; i < r->n_lost; i++) {
        const OwnLost *l = &r->lost[i];
        g_string_append_printf(g,
                               "[" LOST "%s]\nincarnation=%" G_GUINT64_FORMAT
                               "\nsince=%" G_GUINT64_FORMAT
                               "\nepoch=%" G_GUINT64_FORMAT "\n",
                               l->id, (guint64)l->incarnation,
                               (guint64)l->since, (guint64)l->epoch);
    }
    return g;
}

static bool
get_u64(GKeyFile *k, const char *group, const char *key, uint64_t *out, Err *e)
{
    g_autofree char *v = g_key_file_get_value(k, group, key, NULL);

    if (v == NULL || !str_u64(str_of(v), UINT64_MAX, out)) {
        return err_set(e, ERR_SYNTAX,
                       "roster: group [%.80s]: %s = \"%.40s\", allowed is a "
                       "decimal number; remove the store key so that the "
                       "members write it again",
                       group, key, v == NULL ? "" : v);
    }
    return true;
}

static bool
get_address(GKeyFile *k, const char *group, const char *key, char *dst, Err *e)
{
    g_autofree char *v = g_key_file_get_value(k, group, key, NULL);

    if (v == NULL || !str_copy(dst, ADDR_BYTES, str_of(v))) {
        return err_set(e, ERR_SYNTAX,
                       "roster: group [%.80s]: %s is missing or longer than "
                       "%d bytes; remove the store key so that the members "
                       "write it again",
                       group, key, ADDR_BYTES - 1);
    }
    return true;
}

static bool
get_id(const char *group, const char *kind, char *id, Err *e)
{
    Str s = str_of(group + strlen(kind));

    if (!str_is_name(s, NAME_BYTES - 1) || !str_copy(id, NAME_BYTES, s)) {
        return err_set(e, ERR_SYNTAX,
                       "roster: group [%.80s] does not end in a VM id of at "
                       "most %d bytes of [a-z0-9._-]; remove the store key so "
                       "that the members write it again",
                       group, NAME_BYTES - 1);
    }
    return true;
}

static bool
parse_member(OwnRoster *r, GKeyFile *k, const char *group, Err *e)
{
    if (r->n >= VMS_PER_ZONE_MAX) {
        return err_set(e, ERR_LIMIT,
                       "roster: more than %d members; start fewer entry VMs "
                       "in the zone",
                       VMS_PER_ZONE_MAX);
    }
    OwnMember *m = &r->members[r->n];
    if (!get_id(group, MEMBER, m->id, e) ||
        !get_u64(k, group, "incarnation", &m->incarnation, e) ||
        !get_u64(k, group, "since", &m->since, e) ||
        !get_address(k, group, "control", m->control, e) ||
        !get_address(k, group, "entry", m->entry, e) ||
        !get_address(k, group, "lookup", m->lookup, e)) {
        return false;
    }
    if (r->n > 0 && strcmp(r->members[r->n - 1].id, m->id) >= 0) {
        return err_set(e, ERR_SYNTAX,
                       "roster: member %s does not follow %s in order of "
                       "ids; remove the store key so that the members write "
                       "it again",
                       m->id, r->members[r->n - 1].id);
    }
    r->n++;
    return true;
}

static bool
parse_lost(OwnRoster *r, GKeyFile *k, const char *group, Err *e)
{
    if (r->n_lost >= VMS_PER_ZONE_MAX) {
        return err_set(e, ERR_LIMIT,
                       "roster: more than %d lost members; correct the VM "
                       "list so that it no longer names them",
                       VMS_PER_ZONE_MAX);
    }
    OwnLost *l = &r->lost[r->n_lost];
    if (!get_id(group, LOST, l->id, e) ||
        !get_u64(k, group, "incarnation", &l->incarnation, e) ||
        !get_u64(k, group, "since", &l->since, e) ||
        !get_u64(k, group, "epoch", &l->epoch, e)) {
        return false;
    }
    r->n_lost++;
    return true;
}

static bool
parse_groups(OwnRoster *r, GKeyFile *k, Err *e)
{
    g_auto(GStrv) groups = g_key_file_get_groups(k, NULL);

    if (!g_key_file_has_group(k, ROSTER)) {
        return err_set(e, ERR_SYNTAX,
                       "roster: group [roster] is missing; remove the store "
                       "key so that the members write it again");
    }
    for (int i = 0; groups[i] != NULL; i++) {
        const char *g = groups[i];
        bool ok = true;
        if (strcmp(g, ROSTER) == 0) {
            ok = get_u64(k, g, "epoch", &r->epoch, e);
        }
        else if (g_str_has_prefix(g, MEMBER)) {
            ok = parse_member(r, k, g, e);
        }
        else if (g_str_has_prefix(g, LOST)) {
            ok = parse_lost(r, k, g, e);
        }
        if (!ok) {
            return false;
        }
    }
    return true;
}

bool
own_parse(OwnRoster *r, Str text, uint64_t store_version, Err *e)
{
    GKeyFile *k = g_key_file_new();
    GError *ge = NULL;
    bool ok;

    memset(r, 0, sizeof(*r));
    r->store_version = store_version;
    ok = g_key_file_load_from_data(k, text.p == NULL ? "" : text.p, text.n,
                                   G_KEY_FILE_NONE, &ge);
    if (!ok) {
        err_set(e, ERR_SYNTAX,
                "roster: %.160s; remove the store key so that the members "
                "write it again",
                ge->message);
        g_error_free(ge);
    }
    ok = ok && parse_groups(r, k, e);
    g_key_file_free(k);
    if (!ok) {
        memset(r, 0, sizeof(*r));
    }
    return ok;
}
