/* manifest_parse - reads and checks a manifest.  See manifest.h. */
#include "manifest_int.h"

#include <stdio.h>
#include <string.h>

#include "ini.h"
#include "settings.h"

#define LOCATION_BYTES 160

static bool
read_manifest(MfGroup *p)
{
    char *v = mfv_value(p, "owner");

    if (v == NULL) {
        return mfv_missing(p, "owner", "a name");
    }
    bool ok = str_is_name(str_of(v), NAME_BYTES - 1) &&
              str_copy(p->m->owner, NAME_BYTES, str_of(v));
    if (!ok) {
        mfv_fail(p, "owner", v, "a name of a-z, 0-9, '.', '_' and '-'",
                 "correct the name");
    }
    g_free(v);
    return ok &&
           mfv_ms(p, "zone_latency_ms", 0, 10000, 1, &p->m->zone_latency_us);
}

static bool
read_region(MfGroup *p)
{
    Manifest *m = p->m;

    if (!mfv_check_limit(p, m->n_regions, REGIONS_MAX) ||
        !mfv_name(p, m->regions[m->n_regions].name)) {
        return false;
    }
    m->n_regions++;
    return true;
}

static bool
add_block(MfGroup *p, const char *key, const char *text, int zone, int site)
{
    MfBlock b = {.zone = (uint8_t)zone, .site = (uint16_t)site};
    char location[LOCATION_BYTES];

    if (p->blocks->len >= BLOCKS_MAX) {
        return mfv_check_limit(p, BLOCKS_MAX, BLOCKS_MAX);
    }
    if (!manifest_block_read(&b, str_of(text), p->e)) {
        snprintf(location, sizeof(location), "[%.70s]%s", p->group, key);
        return err_prefix(p->e, location);
    }
    g_array_append_val(p->blocks, b);
    return true;
}

/* Adds one "PREFIX" or "PREFIX@SITE" of the list of a zone. */
static bool
add_zone_block(MfGroup *p, char *item, int zone)
{
    char *at = strchr(item, '@');
    uint64_t site = 0;

    if (at != NULL) {
        *at = '\0';
        if (!str_u64(str_of(at + 1), SITES_MAX - 1, &site)) {
            return mfv_fail(p, "blocks", at + 1, "a site number from 0 to 255",
                            "correct the number after \"@\"");
        }
    }
    return add_block(p, " blocks", item, zone, (int)site);
}

static bool
read_zone_blocks(MfGroup *p, int zone)
{
    char *v = mfv_value(p, "blocks");
    char *next = v;
    bool ok = true;

    while (ok && next != NULL && *next != '\0') {
        char *end = strchr(next, ';');
        char *item = next;
        next = end != NULL ? end + 1 : NULL;
        if (end != NULL) {
            *end = '\0';
        }
        g_strstrip(item);
        ok = item[0] == '\0' || add_zone_block(p, item, zone);
    }
    g_free(v);
    return ok;
}

static bool
read_zone(MfGroup *p)
{
    Manifest *m = p->m;
    MfZone *z = &m->zones[m->n_zones];

    if (!mfv_check_limit(p, m->n_zones, ZONES_MAX)) {
        return false;
    }
    if (!mfv_name(p, z->name) ||
        !mfv_ref(p, "region", "region", manifest_region, &z->region)) {
        return false;
    }
    m->n_zones++;
    return read_zone_blocks(p, m->n_zones - 1);
}

static bool
read_link(MfGroup *p)
{
    Manifest *m = p->m;
    MfLink *l = &m->links[m->n_links];

    if (!mfv_check_limit(p, m->n_links, LINKS_MAX)) {
        return false;
    }
    l->a = manifest_region(m, str_of(p->args[0]));
    l->b = manifest_region(m, str_of(p->args[1]));
    if (l->a < 0 || l->b < 0 || l->a == l->b) {
        return mfv_fail(p, NULL, p->args[l->a < 0 ? 0 : 1],
                        "[link A B] with two different declared regions",
                        "declare the region or correct the name");
    }
    if (manifest_link(m, l->a, l->b) != NULL) {
        return mfv_fail(p, NULL, p->group, "one link for a pair of regions",
                        "remove one; its values apply in each direction");
    }
    if (!mfv_number(p, "mbit", 0.001, 1e7, MFV_REQUIRED, false, &l->mbit) ||
        !mfv_ms(p, "latency_ms", 0, 10000, MFV_REQUIRED, &l->latency_us) ||
        !mfv_number(p, "cost", 0, 1e6, 1, false, &l->cost)) {
        return false;
    }
    m->n_links++;
    return true;
}

static bool
read_rank(MfGroup *p)
{
    Manifest *m = p->m;
    MfRank *r = &m->ranks[m->n_ranks];

    if (!mfv_check_limit(p, m->n_ranks, RANKS_MAX) || !mfv_name(p, r->name) ||
        !mfv_number(p, "worth", 0.001, 1e6, 1, false, &r->worth) ||
        !mfv_ms(p, "deadline_ms", 1, DEADLINE_MS_MAX, MFV_REQUIRED,
                &r->deadline_us) ||
        !mfv_number(p, "floor", 0, 1, 0, false, &r->floor)) {
        return false;
    }
    m->n_ranks++;
    return true;
}

static bool
read_class(MfGroup *p, MfService *s)
{
    char *v = mfv_value(p, "class");
    bool ok = true;

    s->class = MF_IDEMPOTENT;
    if (v != NULL && strcmp(v, "once") == 0) {
        s->class = MF_ONCE;
    }
    else if (v != NULL && strcmp(v, "idempotent") != 0) {
        ok = mfv_fail(p, "class", v, "idempotent, once", "correct the class");
    }
    g_free(v);
    return ok;
}

static bool
read_once_paths(MfGroup *p, MfService *s)
{
    char *v = mfv_value(p, "once_paths");
    gchar **all = g_strsplit(v != NULL ? v : "", ";", -1);
    bool ok = true;

    for (int i = 0; ok && all[i] != NULL; i++) {
        Str path = str_of(g_strstrip(all[i]));
        if (path.n == 0) {
            continue;
        }
        if (s->n_once_paths == PATH_RULES_MAX) {
            ok = mfv_fail(p, "once_paths", path.p, "at most 8 prefixes",
                          "merge prefixes or set class = once");
        }
        else if (path.p[0] != '/' || !str_copy(s->once_paths[s->n_once_paths],
                                               PATH_PREFIX_BYTES, path)) {
            ok = mfv_fail(p, "once_paths", path.p,
                          "path prefixes that begin with \"/\", at most 127 "
                          "bytes, separated by \";\"",
                          "correct the prefix");
        }
        s->n_once_paths++;
    }
    g_strfreev(all);
    g_free(v);
    return ok;
}

static bool
read_service(MfGroup *p)
{
    Manifest *m = p->m;
    MfService *s = &m->services[m->n_services];

    if (!mfv_check_limit(p, m->n_services, SERVICES_MAX) ||
        !mfv_name(p, s->name) || !read_class(p, s) || !read_once_paths(p, s) ||
        !mfv_number(p, "shift_cap", 0.001, 1, MFV_REQUIRED, false,
                    &s->shift_cap) ||
        !mfv_ms(p, "shift_interval_ms", 1000, SHIFT_INTERVAL_MS_MAX,
                MFV_REQUIRED, &s->shift_interval_us) ||
        !mfv_ms(p, "warmup_ms", 0, DEADLINE_MS_MAX, 5000, &s->warmup_us) ||
        !mfv_ms(p, "service_ms", 0.1, DEADLINE_MS_MAX, 50, &s->service_us) ||
        !mfv_number(p, "retry_ratio", 0, 1, 0.1, false, &s->retry_ratio)) {
        return false;
    }
    m->n_services++;
    return true;
}

static bool
read_address(MfGroup *p, MfTarget *t)
{
    char *v = mfv_value(p, "address");
    char host[ADDR_BYTES];
    uint16_t port;
    bool ok = true;

    if (v == NULL) {
        return mfv_missing(p, "address", "IP:PORT");
    }
    if (!settings_address(v, host, sizeof(host), &port, NULL) ||
        !str_copy(t->address, ADDR_BYTES, str_of(v))) {
        ok = mfv_fail(p, "address", v, "IP:PORT or [IP6]:PORT, no host name",
                      "write the address in numbers");
    }
    else if (g_hash_table_contains(p->addresses, v)) {
        ok = mfv_fail(p, "address", v, "an address that no other target has",
                      "remove one target or correct its address");
    }
    else {
        g_hash_table_add(p->addresses, g_strdup(v));
    }
    g_free(v);
    return ok;
}

static bool
read_target(MfGroup *p)
{
    Manifest *m = p->m;
    MfTarget *t = &m->targets[m->n_targets];

    if (!mfv_check_limit(p, m->n_targets, TARGETS_MAX)) {
        return false;
    }
    if (!mfv_name(p, t->name) ||
        !mfv_ref(p, "service", "service", manifest_service, &t->service) ||
        !mfv_ref(p, "zone", "zone", manifest_zone, &t->zone) ||
        !read_address(p, t) ||
        !mfv_int(p, "slots", 1, SLOTS_PER_TARGET_MAX, MFV_REQUIRED,
                 &t->slots) ||
        !mfv_int(p, "connections", t->slots, CONNECTIONS_PER_TARGET_MAX,
                 MFV_REQUIRED, &t->connections)) {
        return false;
    }
    m->n_targets++;
    return true;
}

static bool
read_block(MfGroup *p)
{
    int zone = 0;
    int site = 0;

    return mfv_ref(p, "zone", "zone", manifest_zone, &zone) &&
           mfv_int(p, "site", 0, SITES_MAX - 1, 0, &site) &&
           add_block(p, "", p->args[0], zone, site);
}

static bool
read_drain(MfGroup *p)
{
    static const struct {
        const char *kind;
        MfFind find;
    } drains[] = {{"target", manifest_target},
                  {"zone", manifest_zone},
                  {"region", manifest_region}};
    Manifest *m = p->m;

    if (!mfv_check_limit(p, m->n_drains, DRAINS_MAX)) {
        return false;
    }
    for (int k = 0; k < (int)G_N_ELEMENTS(drains); k++) {
        if (strcmp(p->args[0], drains[k].kind) == 0) {
            int i = drains[k].find(m, str_of(p->args[1]));
            if (i < 0) {
                return mfv_fail(p, NULL, p->args[1],
                                "the name of a declared part of that kind",
                                "correct the name or remove the drain");
            }
            m->drains[m->n_drains++] = (MfDrain){(MfDrainKind)k, i};
            return true;
        }
    }
    return mfv_fail(p, NULL, p->args[0],
                    "[drain KIND NAME], KIND one of target, "
                    "zone, region",
                    "correct the kind");
}

/* Kinds of groups, in the order in which they are read.  A group may refer to
 * groups of the kinds listed before its own, whatever their order in the
 * text. */
static const struct Kind {
    const char *name;
    int n_args;
    const char *form;
    bool (*read)(MfGroup *p);
    const char *keys[8];
} kinds[] = {
    {"manifest", 0, "[manifest]", read_manifest, {"owner", "zone_latency_ms"}},
    {"region", 1, "[region NAME]", read_region, {NULL}},
    {"zone", 1, "[zone NAME]", read_zone, {"region", "blocks"}},
    {"link", 2, "[link A B]", read_link, {"mbit", "latency_ms", "cost"}},
    {"rank", 1, "[rank NAME]", read_rank, {"worth", "deadline_ms", "floor"}},
    {"service",
     1,
     "[service NAME]",
     read_service,
     {"class", "once_paths", "shift_cap", "shift_interval_ms", "warmup_ms",
      "service_ms", "retry_ratio"}},
    {"target",
     1,
     "[target NAME]",
     read_target,
     {"service", "zone", "address", "slots", "connections"}},
    {"block", 1, "[block PREFIX]", read_block, {"zone", "site"}},
    {"drain", 2, "[drain KIND NAME]", read_drain, {NULL}},
};

static const struct Kind *
kind_of(const char *group)
{
    size_t n = strcspn(group, " ");

    for (size_t k = 0; k < G_N_ELEMENTS(kinds); k++) {
        if (strlen(kinds[k].name) == n &&
            strncmp(group, kinds[k].name, n) == 0) {
            return &kinds[k];
        }
    }
    return NULL;
}

static bool
check_keys(MfGroup *p, const struct Kind *k)
{
    gchar **keys = g_key_file_get_keys(p->kf, p->group, NULL, NULL);
    bool ok = true;

    for (int i = 0; ok && keys != NULL && keys[i] != NULL; i++) {
        bool found = false;
        for (int j = 0; k->keys[j] != NULL; j++) {
            found = found || strcmp(k->keys[j], keys[i]) == 0;
        }
        if (!found) {
            char *all = g_strjoinv(", ", (gchar **)k->keys);
            ok = err_set(p->e, ERR_VALUE,
                         "[%.70s] %.60s: unknown key; allowed: %s; remove it "
                         "or correct its name",
                         p->group, keys[i],
                         all[0] != '\0' ? all : "no keys in this group");
            g_free(all);
        }
    }
    g_strfreev(keys);
    return ok;
}

/* Splits the header into words, checks their number and the keys, and reads
 * the group. */
static bool
read_group(MfGroup *p, const struct Kind *k)
{
    gchar **words = g_strsplit(p->group, " ", -1);
    bool ok = true;

    if ((int)g_strv_length(words) != k->n_args + 1) {
        ok = err_set(p->e, ERR_SYNTAX,
                     "[%.70s]: found %d words; allowed: %s with single "
                     "spaces; correct the group's header",
                     p->group, (int)g_strv_length(words), k->form);
    }
    else {
        p->args[0] = k->n_args > 0 ? words[1] : NULL;
        p->args[1] = k->n_args > 1 ? words[2] : NULL;
        ok = check_keys(p, k) && k->read(p);
    }
    g_strfreev(words);
    return ok;
}

/* Reads all groups of one kind in the order of the text. */
static bool
read_kind(MfGroup *p, gchar **groups, const struct Kind *k)
{
    for (int i = 0; groups[i] != NULL; i++) {
        if (kind_of(groups[i]) == k) {
            p->group = groups[i];
            if (!read_group(p, k)) {
                return false;
            }
        }
    }
    return true;
}

static bool
check_groups(MfGroup *p, gchar **groups)
{
    for (int i = 0; groups[i] != NULL; i++) {
        if (kind_of(groups[i]) == NULL) {
            return err_set(
                p->e, ERR_VALUE,
                "[%.70s]: unknown group; allowed: manifest, region, "
                "zone, link, rank, service, target, block, drain; "
                "remove it or correct its name",
                groups[i]);
        }
    }
    return true;
}

static bool
check_not_empty(MfGroup *p, int n, const char *group)
{
    return n > 0 || err_set(p->e, ERR_VALUE,
                            "[%s NAME]: found none; allowed: at least one; "
                            "add the group",
                            group);
}

static bool
check_floors(MfGroup *p)
{
    double sum = 0;

    for (int i = 0; i < p->m->n_ranks; i++) {
        sum += p->m->ranks[i].floor;
    }
    return sum <= 1.0 + 1e-9 ||
           err_set(p->e, ERR_VALUE,
                   "[rank NAME] floor: found a sum of %g over all ranks; "
                   "allowed: at most 1; lower some floors",
                   sum);
}

static bool
check_required(MfGroup *p)
{
    if (p->m->owner[0] == '\0') {
        return err_set(p->e, ERR_VALUE,
                       "[manifest] owner: found nothing; allowed: a name; add "
                       "the group [manifest] with owner = NAME");
    }
    return check_not_empty(p, p->m->n_regions, "region") &&
           check_not_empty(p, p->m->n_zones, "zone") &&
           check_not_empty(p, p->m->n_ranks, "rank") &&
           check_not_empty(p, p->m->n_services, "service") && check_floors(p);
}

static bool
sort_blocks(MfGroup *p)
{
    Manifest *m = p->m;
    char text[64];

    g_array_sort(p->blocks, manifest_block_cmp);
    m->n_blocks = p->blocks->len;
    m->blocks = g_memdup2(p->blocks->data, m->n_blocks * sizeof(MfBlock));
    for (size_t i = 1; i < m->n_blocks; i++) {
        if (manifest_block_cmp(&m->blocks[i - 1], &m->blocks[i]) == 0) {
            manifest_block_write(&m->blocks[i], text, sizeof(text));
            return err_set(p->e, ERR_VALUE,
                           "[block %s]: found a second time; allowed: each "
                           "prefix once; remove one",
                           text);
        }
    }
    return true;
}

static void
apply_drains(Manifest *m)
{
    for (int i = 0; i < m->n_drains; i++) {
        const MfDrain *d = &m->drains[i];
        if (d->kind == MF_DRAIN_TARGET) {
            m->targets[d->index].draining = true;
            continue;
        }
        for (int z = 0; z < m->n_zones; z++) {
            int index = d->kind == MF_DRAIN_ZONE ? z : m->zones[z].region;
            m->zones[z].draining |= index == d->index;
        }
    }
}

static bool
read_all(MfGroup *p)
{
    gchar **groups = g_key_file_get_groups(p->kf, NULL);
    bool ok = check_groups(p, groups);

    for (size_t k = 0; ok && k < G_N_ELEMENTS(kinds); k++) {
        ok = read_kind(p, groups, &kinds[k]);
    }
    g_strfreev(groups);
    ok = ok && check_required(p) && sort_blocks(p);
    if (ok) {
        apply_drains(p->m);
    }
    return ok;
}

Manifest *
manifest_parse(Str text, Err *e)
{
    if (text.n > MANIFEST_BYTES_MAX) {
        err_set(e, ERR_LIMIT,
                "manifest: found %zu bytes; allowed: at most %d; list blocks "
                "in the zones' blocks key or remove parts",
                text.n, MANIFEST_BYTES_MAX);
        return NULL;
    }
    GKeyFile *kf = ini_read(text, e);
    if (kf == NULL) {
        return NULL;
    }
    Manifest *m = g_new0(Manifest, 1);
    m->targets = g_new0(MfTarget, TARGETS_MAX);
    MfGroup p = {
        .m = m,
        .kf = kf,
        .addresses =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .blocks = g_array_new(FALSE, FALSE, sizeof(MfBlock)),
        .e = e,
    };
    bool ok = read_all(&p);
    m->targets = g_renew(MfTarget, m->targets, MAX(m->n_targets, 1));
    g_array_free(p.blocks, TRUE);
    g_hash_table_destroy(p.addresses);
    g_key_file_free(kf);
    if (!ok) {
        manifest_free(m);
        return NULL;
    }
    return m;
}
