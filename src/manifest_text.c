/* manifest_text - canonical text of a manifest, differences between two, and
 * edits of drains in the text.  See manifest.h. */
#include "manifest_int.h"

#include <stdio.h>
#include <string.h>

/* Indexed by MfDrainKind. */
static const char *const drain_kinds[] = {"target", "zone", "region"};

/* Receives the canonical form: for each group one call with key NULL, then one
 * call for each of its keys. */
typedef void (*Sink)(void *ctx, const char *group, const char *key,
                     const char *value);

typedef struct Out {
    Sink sink;
    void *ctx;
    char group[2 * NAME_BYTES + 16];
} Out;

static void G_GNUC_PRINTF(2, 3) begin_group(Out *o, const char *fmt, ...)
{
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(o->group, sizeof(o->group), fmt, ap);
    va_end(ap);
    o->sink(o->ctx, o->group, NULL, NULL);
}

static void
put_text(Out *o, const char *key, const char *value)
{
    o->sink(o->ctx, o->group, key, value);
}

static void
put_int(Out *o, const char *key, int v)
{
    char b[16];

    snprintf(b, sizeof(b), "%d", v);
    put_text(o, key, b);
}

/* Writes the shortest decimal text that parses to the same number. */
static void
put_double(Out *o, const char *key, double v)
{
    char b[G_ASCII_DTOSTR_BUF_SIZE];

    for (int digits = 1; digits <= 17; digits++) {
        char fmt[8];
        snprintf(fmt, sizeof(fmt), "%%.%df", digits);
        g_ascii_formatd(b, sizeof(b), fmt, v);
        if (g_ascii_strtod(b, NULL) == v) {
            break;
        }
    }
    char *end = b + strlen(b);
    while (end[-1] == '0') {
        *--end = '\0';
    }
    if (end[-1] == '.') {
        end[-1] = '\0';
    }
    put_text(o, key, b);
}

static void
put_ms(Out *o, const char *key, int64_t us)
{
    put_double(o, key, (double)us / 1000.0);
}

static void
write_topology(Out *o, const Manifest *m)
{
    begin_group(o, "manifest");
    put_text(o, "owner", m->owner);
    put_ms(o, "zone_latency_ms", m->zone_latency_us);
    for (int i = 0; i < m->n_regions; i++) {
        begin_group(o, "region %s", m->regions[i].name);
    }
    for (int i = 0; i < m->n_zones; i++) {
        begin_group(o, "zone %s", m->zones[i].name);
        put_text(o, "region", m->regions[m->zones[i].region].name);
    }
    for (int i = 0; i < m->n_links; i++) {
        const MfLink *l = &m->links[i];
        begin_group(o, "link %s %s", m->regions[l->a].name,
                    m->regions[l->b].name);
        put_double(o, "mbit", l->mbit);
        put_ms(o, "latency_ms", l->latency_us);
        put_double(o, "cost", l->cost);
    }
}

static void
write_service(Out *o, const MfService *s)
{
    GString *paths = g_string_new(NULL);

    begin_group(o, "service %s", s->name);
    put_text(o, "class", s->class == MF_ONCE ? "once" : "idempotent");
    for (int i = 0; i < s->n_once_paths; i++) {
        g_string_append_printf(paths, "%s%s", i > 0 ? ";" : "",
                               s->once_paths[i]);
    }
    if (paths->len > 0) {
        put_text(o, "once_paths", paths->str);
    }
    g_string_free(paths, TRUE);
    put_double(o, "shift_cap", s->shift_cap);
    put_ms(o, "shift_interval_ms", s->shift_interval_us);
    put_ms(o, "warmup_ms", s->warmup_us);
    put_ms(o, "service_ms", s->service_us);
    put_double(o, "retry_ratio", s->retry_ratio);
}

static void
write_services(Out *o, const Manifest *m)
{
    for (int i = 0; i < m->n_ranks; i++) {
        const MfRank *r = &m->ranks[i];
        begin_group(o, "rank %s", r->name);
        put_double(o, "worth", r->worth);
        put_ms(o, "deadline_ms", r->deadline_us);
        put_double(o, "floor", r->floor);
    }
    for (int i = 0; i < m->n_services; i++) {
        write_service(o, &m->services[i]);
    }
    for (int i = 0; i < m->n_targets; i++) {
        const MfTarget *t = &m->targets[i];
        begin_group(o, "target %s", t->name);
        put_text(o, "service", m->services[t->service].name);
        put_text(o, "zone", m->zones[t->zone].name);
        put_text(o, "address", t->address);
        put_int(o, "slots", t->slots);
        put_int(o, "connections", t->connections);
    }
}

static const char *
drain_name(const Manifest *m, const MfDrain *d)
{
    switch (d->kind) {
    case MF_DRAIN_TARGET:
        return m->targets[d->index].name;
    case MF_DRAIN_ZONE:
        return m->zones[d->index].name;
    default:
        return m->regions[d->index].name;
    }
}

static void
write_block(Out *o, const Manifest *m, const MfBlock *b)
{
    char text[64];

    manifest_block_write(b, text, sizeof(text));
    begin_group(o, "block %s", text);
    put_text(o, "zone", m->zones[b->zone].name);
    if (b->site != 0) {
        put_int(o, "site", b->site);
    }
}

static void
write_drains(Out *o, const Manifest *m)
{
    for (int i = 0; i < m->n_drains; i++) {
        const MfDrain *d = &m->drains[i];
        begin_group(o, "drain %s %s", drain_kinds[d->kind], drain_name(m, d));
    }
}

static void
text_sink(void *ctx, const char *group, const char *key, const char *value)
{
    GString *g = ctx;

    if (key == NULL) {
        g_string_append_printf(g, "%s[%s]\n", g->len > 0 ? "\n" : "", group);
    }
    else {
        g_string_append_printf(g, "%s = %s\n", key, value);
    }
}

/* Inserts the blocks of each zone as one "blocks" key into its group.  This
 * takes half the bytes of a [block] group for each block. */
static void
insert_zone_blocks(GString *g, const Manifest *m)
{
    for (int z = 0; z < m->n_zones; z++) {
        GString *list = g_string_new(NULL);
        char head[NAME_BYTES + 16];
        char text[64];

        for (size_t i = 0; i < m->n_blocks; i++) {
            const MfBlock *b = &m->blocks[i];
            if (b->zone != z) {
                continue;
            }
            manifest_block_write(b, text, sizeof(text));
            g_string_append(list, list->len > 0 ? ";" : "blocks = ");
            g_string_append(list, text);
            if (b->site != 0) {
                g_string_append_printf(list, "@%d", b->site);
            }
        }
        if (list->len > 0) {
            snprintf(head, sizeof(head), "[zone %s]\n", m->zones[z].name);
            const char *at = strstr(g->str, head);
            g_string_append_c(list, '\n');
            g_string_insert(g, at - g->str + (gssize)strlen(head), list->str);
        }
        g_string_free(list, TRUE);
    }
}

GString *
manifest_text(const Manifest *m)
{
    GString *g = g_string_new(NULL);
    Out o = {text_sink, g, ""};

    write_topology(&o, m);
    write_services(&o, m);
    write_drains(&o, m);
    insert_zone_blocks(g, m);
    return g;
}

/* Groups of one manifest, for a comparison: their headers in order, and the
 * "key = value" lines of each header. */
typedef struct Groups {
    GPtrArray *names;     /* headers without brackets, owned by keys */
    GHashTable *keys;     /* header -> GPtrArray of "key = value" */
    GPtrArray *last_keys; /* lines of the group that is being added */
} Groups;

static void
free_array(gpointer a)
{
    g_ptr_array_free(a, TRUE);
}

static void
group_sink(void *ctx, const char *group, const char *key, const char *value)
{
    Groups *g = ctx;

    if (key == NULL) {
        char *name = g_strdup(group);
        g->last_keys = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(g->keys, name, g->last_keys);
        g_ptr_array_add(g->names, name);
        return;
    }
    g_ptr_array_add(g->last_keys, g_strdup_printf("%s = %s", key, value));
}

static void
groups_fill(Groups *g, const Manifest *m)
{
    Out o = {group_sink, g, ""};

    g->names = g_ptr_array_new();
    g->keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_array);
    write_topology(&o, m);
    write_services(&o, m);
    for (size_t i = 0; i < m->n_blocks; i++) {
        write_block(&o, m, &m->blocks[i]);
    }
    write_drains(&o, m);
}

static void
groups_clear(Groups *g)
{
    g_ptr_array_free(g->names, TRUE);
    g_hash_table_destroy(g->keys);
}

/* Appends the groups of a that b lacks, after a sign.  Returns their number.
 */
static int
diff_missing(const Groups *a, const Groups *b, char sign, GString *out)
{
    int n = 0;

    for (guint i = 0; i < a->names->len; i++) {
        const char *name = a->names->pdata[i];
        if (g_hash_table_contains(b->keys, name)) {
            continue;
        }
        const GPtrArray *keys = g_hash_table_lookup(a->keys, name);
        g_string_append_printf(out, "%c [%s]", sign, name);
        for (guint k = 0; k < keys->len; k++) {
            g_string_append_printf(out, "%s %s", k > 0 ? "," : "",
                                   (const char *)keys->pdata[k]);
        }
        g_string_append_c(out, '\n');
        n++;
    }
    return n;
}

/* Returns the line of keys that has the key of line, or NULL. */
static const char *
find_key(const GPtrArray *keys, const char *line)
{
    size_t n = strcspn(line, "=");

    for (guint i = 0; i < keys->len; i++) {
        if (strncmp(keys->pdata[i], line, n + 1) == 0) {
            return keys->pdata[i];
        }
    }
    return NULL;
}

/* Appends the keys that differ between two groups of the same name.  Returns
 * their number. */
static int
diff_group(const char *name, const GPtrArray *a, const GPtrArray *b,
           GString *out)
{
    int n = 0;

    for (guint i = 0; i < b->len; i++) {
        const char *is = b->pdata[i];
        const char *was = find_key(a, is);
        if (was == NULL || strcmp(was, is) != 0) {
            g_string_append_printf(out, "~ [%s] %s (was %s)\n", name, is,
                                   was != NULL ? strchr(was, '=') + 2
                                               : "not set");
            n++;
        }
    }
    for (guint i = 0; i < a->len; i++) {
        const char *was = a->pdata[i];
        if (find_key(b, was) == NULL) {
            g_string_append_printf(out, "~ [%s] %.*snot set (was %s)\n", name,
                                   (int)strcspn(was, "=") + 2, was,
                                   strchr(was, '=') + 2);
            n++;
        }
    }
    return n;
}

/* The order of the ranks gives their urgency, so a new order is a difference.
 */
static int
diff_rank_order(const Manifest *a, const Manifest *b, GString *out)
{
    bool same = a->n_ranks == b->n_ranks;

    for (int i = 0; same && i < a->n_ranks; i++) {
        same = strcmp(a->ranks[i].name, b->ranks[i].name) == 0;
    }
    if (same) {
        return 0;
    }
    g_string_append(out, "~ order of ranks is now");
    for (int i = 0; i < b->n_ranks; i++) {
        g_string_append_printf(out, " %s", b->ranks[i].name);
    }
    g_string_append_c(out, '\n');
    return 1;
}

int
manifest_diff(const Manifest *a, const Manifest *b, GString *out)
{
    Groups ga;
    Groups gb;
    int n = 0;

    groups_fill(&ga, a);
    groups_fill(&gb, b);
    n += diff_missing(&ga, &gb, '-', out);
    n += diff_missing(&gb, &ga, '+', out);
    for (guint i = 0; i < gb.names->len; i++) {
        const char *name = gb.names->pdata[i];
        const GPtrArray *was = g_hash_table_lookup(ga.keys, name);
        if (was != NULL) {
            n +=
                diff_group(name, was, g_hash_table_lookup(gb.keys, name), out);
        }
    }
    n += diff_rank_order(a, b, out);
    groups_clear(&ga);
    groups_clear(&gb);
    return n;
}

/* Returns the offset of the line "[group]", or -1.  Sets *end to the offset of
 * the next group's header or to the end of the text. */
static gssize
find_group(const GString *text, const char *group, gsize *end)
{
    gssize found = -1;

    for (gsize at = 0; at < text->len;) {
        const char *l = text->str + at;
        gsize n = strcspn(l, "\n");
        char *line = g_strstrip(g_strndup(l, n));
        if (found >= 0 && line[0] == '[') {
            *end = at;
            g_free(line);
            return found;
        }
        if (strcmp(line, group) == 0) {
            found = (gssize)at;
        }
        g_free(line);
        at += n + 1;
    }
    *end = text->len;
    return found;
}

/* Removes the line at an offset and the blank line before it. */
static void
remove_line(GString *text, gsize at)
{
    gsize n = strcspn(text->str + at, "\n");

    if (text->str[at + n] == '\n') {
        n++;
    }
    if (at >= 2 && text->str[at - 1] == '\n' && text->str[at - 2] == '\n') {
        at--;
        n++;
    }
    g_string_erase(text, (gssize)at, (gssize)n);
}

bool
manifest_set_drain(GString *text, MfDrainKind kind, const char *name, bool on,
                   Err *e)
{
    char *part = g_strdup_printf("[%s %s]", drain_kinds[kind], name);
    char *drain = g_strdup_printf("[drain %s %s]", drain_kinds[kind], name);
    gsize end = 0;
    bool ok = true;
    gssize at = find_group(text, drain, &end);

    if (find_group(text, part, &end) < 0) {
        ok = err_set(e, ERR_NOT_FOUND,
                     "drain %s %.60s: found no such part; allowed: a %s that "
                     "the manifest declares; correct the name",
                     drain_kinds[kind], name, drain_kinds[kind]);
    }
    else if (on && at < 0) {
        bool nl = text->len > 0 && text->str[text->len - 1] != '\n';
        g_string_append_printf(text, "%s\n%s\n", nl ? "\n" : "", drain);
    }
    else if (!on && at >= 0) {
        remove_line(text, (gsize)at);
    }
    g_free(part);
    g_free(drain);
    return ok;
}
