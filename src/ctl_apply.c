/* ctl_apply - the commands check, diff, apply, drain and undrain of mimosactl.
 * See ctl_cmd.h. */
#include "ctl_cmd.h"

#include <stdio.h>
#include <string.h>

Manifest *
ctl_manifest_file(const char *file, GString **text, Err *e)
{
    GError *ge = NULL;
    gchar *data = NULL;
    gsize n = 0;

    if (!g_file_get_contents(file, &data, &n, &ge)) {
        err_set(e, ERR_VALUE,
                "%.120s: cannot be read (%.120s); allowed: a readable "
                "manifest; correct the path",
                file, ge->message);
        g_error_free(ge);
        return NULL;
    }
    Manifest *m = manifest_parse((Str){data, n}, e);
    if (m == NULL) {
        err_prefix(e, file);
    }
    else if (text != NULL) {
        *text = g_string_new_len(data, (gssize)n);
    }
    g_free(data);
    return m;
}

/* Warns of settings that are valid but seldom intended. */
static void
print_warnings(const Manifest *m)
{
    for (int a = 0; a < m->n_regions; a++) {
        for (int b = a + 1; b < m->n_regions; b++) {
            if (manifest_link(m, a, b) == NULL) {
                printf("warning: no [link %s %s]; traffic moves between them "
                       "last\n",
                       m->regions[a].name, m->regions[b].name);
            }
        }
    }
    for (int s = 0; s < m->n_services; s++) {
        for (int z = 0; z < m->n_zones; z++) {
            if (manifest_zone_slots(m, s, z) == 0) {
                printf("warning: service %s has no slots in zone %s\n",
                       m->services[s].name, m->zones[z].name);
            }
        }
    }
    if (m->n_blocks == 0) {
        printf("warning: no client blocks; callers get the zone of the VM "
               "they ask\n");
    }
}

bool
ctl_check(Ctl *c, Err *e)
{
    Manifest *m = ctl_manifest_file(c->o.args[0], NULL, e);

    if (m == NULL) {
        return false;
    }
    print_warnings(m);
    printf("ok: %s: %d regions, %d zones, %d links, %d ranks, %d services, "
           "%d targets, %zu blocks, %d drains\n",
           m->owner, m->n_regions, m->n_zones, m->n_links, m->n_ranks,
           m->n_services, m->n_targets, m->n_blocks, m->n_drains);
    manifest_free(m);
    return true;
}

/* Prints the differences between the stored manifest and m.  Returns their
 * number, or -1 if no readable manifest is stored. */
static int
print_diff(const CtlStored *now, const Manifest *m)
{
    GString *out = g_string_new(NULL);
    int n = -1;

    if (now->m != NULL) {
        n = manifest_diff(now->m, m, out);
        fputs(out->str, stdout);
    }
    else if (now->version == 0) {
        puts("no version is stored yet");
    }
    else {
        printf("version %" G_GUINT64_FORMAT " cannot be read by this "
               "program\n",
               now->version);
    }
    g_string_free(out, TRUE);
    return n;
}

bool
ctl_diff(Ctl *c, Err *e)
{
    CtlStored now;
    Manifest *m = ctl_manifest_file(c->o.args[0], NULL, e);

    if (m == NULL) {
        return false;
    }
    bool ok = ctl_stored_read(c, &now, e);
    if (ok) {
        int n = print_diff(&now, m);
        if (n >= 0) {
            printf("%d differences from version %" G_GUINT64_FORMAT "\n", n,
                   now.version);
        }
        ctl_stored_clear(&now);
    }
    manifest_free(m);
    return ok;
}

/* Checks the version that --base gives against the stored one. */
static bool
check_base(const Ctl *c, const CtlStored *now, Err *e)
{
    if (c->o.base < 0 || (uint64_t)c->o.base == now->version) {
        return true;
    }
    return err_set(e, ERR_CONFLICT,
                   "found version %" G_GUINT64_FORMAT " (change %s) in the "
                   "store; allowed: version %" G_GINT64_FORMAT
                   " as --base says; look at \"mimosactl diff\" and apply "
                   "again",
                   now->version, now->change_id, c->o.base);
}

/* Writes text if it differs from the stored manifest, then waits until it is
 * in force if --wait is given. */
static bool
write_change(Ctl *c, const CtlStored *now, const Manifest *m, Str text, Err *e)
{
    uint64_t version = now->version;

    if (print_diff(now, m) == 0) {
        printf("no change: version %" G_GUINT64_FORMAT " has this content\n",
               version);
    }
    else if (!check_base(c, now, e) ||
             !ctl_stored_write(c, now, text, &version, e)) {
        return false;
    }
    return c->o.wait_ms == 0 || ctl_wait(c, version, e);
}

bool
ctl_apply(Ctl *c, Err *e)
{
    CtlStored now;
    GString *text = NULL;
    Manifest *m = ctl_manifest_file(c->o.args[0], &text, e);

    if (m == NULL) {
        return false;
    }
    bool ok = ctl_stored_read(c, &now, e);
    if (ok) {
        ok = write_change(c, &now, m, (Str){text->str, text->len}, e);
        ctl_stored_clear(&now);
    }
    manifest_free(m);
    g_string_free(text, TRUE);
    return ok;
}

static bool
drain_kind(const char *name, MfDrainKind *out, Err *e)
{
    static const char *const names[] = {"target", "zone", "region"};

    for (int i = 0; i < (int)G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i], name) == 0) {
            *out = (MfDrainKind)i;
            return true;
        }
    }
    return err_set(e, ERR_USAGE,
                   "KIND: found \"%.60s\"; allowed: target, zone, region; "
                   "correct the kind",
                   name);
}

static bool
set_drain(Ctl *c, bool on, Err *e)
{
    CtlStored now;
    MfDrainKind kind = MF_DRAIN_TARGET;

    if (!drain_kind(c->o.args[0], &kind, e) || !ctl_stored_read(c, &now, e)) {
        return false;
    }
    if (now.version == 0) {
        ctl_stored_clear(&now);
        return err_set(e, ERR_NOT_FOUND,
                       "store key config: found no version; allowed: a "
                       "stored manifest; run \"mimosactl apply FILE\" first");
    }
    GString *text = g_string_new_len(now.text->str, (gssize)now.text->len);
    Manifest *m = NULL;
    if (manifest_set_drain(text, kind, c->o.args[1], on, e)) {
        m = manifest_parse((Str){text->str, text->len}, e);
    }
    bool ok =
        m != NULL && write_change(c, &now, m, (Str){text->str, text->len}, e);
    manifest_free(m);
    g_string_free(text, TRUE);
    ctl_stored_clear(&now);
    return ok;
}

bool
ctl_drain(Ctl *c, Err *e)
{
    return set_drain(c, true, e);
}

bool
ctl_undrain(Ctl *c, Err *e)
{
    return set_drain(c, false, e);
}
