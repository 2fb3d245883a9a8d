/* eset - settings of mimosa-edge.  See eset.h. */
#include "eset.h"

#include <stddef.h>
#include <string.h>

#include "duration.h"
#include "ini.h"
#include "strm.h"

typedef struct Reader {
    GKeyFile *kf;
    const char *file;
    Err *e;
} Reader;

static bool
invalid(const Reader *r, const char *group, const char *key, const char *found,
        const char *allowed)
{
    return err_set(r->e, ERR_VALUE,
                   "%s: [%s] %s = \"%s\" is invalid; allowed: %s; correct "
                   "the line",
                   r->file, group, key, found == NULL ? "" : found, allowed);
}

/* Returns the value of a key without spaces at its ends; NULL: none. */
static char *
read_text(const Reader *r, const char *group, const char *key)
{
    char *t = g_key_file_get_string(r->kf, group, key, NULL);

    return t == NULL ? NULL : g_strstrip(t);
}

static bool
read_name(const Reader *r, const char *group, const char *key, char *out,
          size_t cap)
{
    char *t = read_text(r, group, key);
    bool ok = t != NULL && t[0] != '\0' && str_copy(out, cap, str_of(t));

    if (!ok) {
        invalid(r, group, key, t, "a name of 1 to 63 bytes");
    }
    g_free(t);
    return ok;
}

static bool
read_address(const Reader *r, const char *group, const char *key,
             struct sockaddr_in *out)
{
    char *t = read_text(r, group, key);
    bool ok = t != NULL && strm_parse_addr(str_of(t), out);

    if (!ok) {
        invalid(r, group, key, t, "IP:PORT");
    }
    g_free(t);
    return ok;
}

static bool
read_number(const Reader *r, const char *group, const char *key, double min,
            double max, double *out)
{
    char *t = read_text(r, group, key);
    char *end = NULL;
    bool ok = false;

    if (t != NULL && t[0] != '\0') {
        *out = g_ascii_strtod(t, &end);
        ok = *end == '\0' && *out >= min && *out <= max;
    }
    if (!ok) {
        char allowed[64];
        g_snprintf(allowed, sizeof(allowed), "a number from %g to %g", min,
                   max);
        invalid(r, group, key, t, allowed);
    }
    g_free(t);
    return ok;
}

static bool
read_count(const Reader *r, const char *group, const char *key, int min,
           int max, int *out)
{
    double v;

    if (!read_number(r, group, key, min, max, &v)) {
        return false;
    }
    *out = (int)v;
    return true;
}

static bool
read_time(const Reader *r, const char *group, const char *key, int64_t *out)
{
    char *t = read_text(r, group, key);
    bool ok = t != NULL && duration_parse(str_of(t), out) && *out > 0;

    if (!ok) {
        invalid(r, group, key, t, "a time such as 1500ms or 2s");
    }
    g_free(t);
    return ok;
}

static bool
read_zones(const Reader *r, Topology *p)
{
    gsize n = 0;
    char **keys = g_key_file_get_keys(r->kf, "zones", &n, NULL);
    bool ok = n > 0;

    if (!ok) {
        err_set(r->e, ERR_VALUE,
                "%s: [zones] is missing; add a line ZONE = REGION for each "
                "zone",
                r->file);
    }
    for (gsize i = 0; ok && i < n; i++) {
        char *region = read_text(r, "zones", keys[i]);
        ok = region != NULL &&
             topology_add(p, str_of(keys[i]), str_of(region)) >= 0;
        if (!ok) {
            invalid(r, "zones", keys[i], region, "the name of a region");
        }
        g_free(region);
    }
    g_strfreev(keys);
    return ok;
}

static bool
read_link(const Reader *r, Eset *s)
{
    char *t = read_text(r, "vm", "link_mbps");
    bool given = t != NULL && t[0] != '\0';

    g_free(t);
    s->link_mbps = LINK_MBPS_DEFAULT;
    return !given || read_number(r, "vm", "link_mbps", LINK_MBPS_MIN,
                                 LINK_MBPS_MAX, &s->link_mbps);
}

static bool
read_vm(const Reader *r, Eset *s)
{
    char zone[NAME_BYTES];

    if (!read_name(r, "vm", "id", s->vm_id, sizeof(s->vm_id)) ||
        !read_name(r, "vm", "zone", zone, sizeof(zone)) ||
        !read_count(r, "vm", "memory_mb", 32, 1 << 20, &s->memory_mb) ||
        !read_count(r, "vm", "descriptors", 256, 1 << 20, &s->descriptors) ||
        !read_link(r, s) || !read_zones(r, &s->topology)) {
        return false;
    }
    s->zone = topology_zone(&s->topology, str_of(zone));
    return s->zone >= 0 || invalid(r, "vm", "zone", zone, "a zone of [zones]");
}

static bool
read_listen(const Reader *r, Eset *s)
{
    return read_name(r, "listen", "requests", s->requests_text,
                     sizeof(s->requests_text)) &&
           read_address(r, "listen", "requests", &s->requests) &&
           read_address(r, "listen", "ready", &s->ready) &&
           read_address(r, "listen", "directory", &s->directory) &&
           read_address(r, "listen", "peers", &s->peers) &&
           read_address(r, "listen", "metrics", &s->metrics) &&
           read_address(r, "store", "address", &s->store);
}

static bool
read_bounds(const Reader *r, Eset *s)
{
    return read_time(r, "bounds", "drain", &s->drain_us) &&
           read_time(r, "bounds", "configuration", &s->config_us) &&
           read_time(r, "bounds", "stop", &s->stop_us) &&
           read_time(r, "bounds", "directory_ttl", &s->directory_ttl_us) &&
           read_time(r, "bounds", "retry_window", &s->retry_window_us) &&
           read_number(r, "bounds", "max_shift", 0.001, 1, &s->max_shift) &&
           read_number(r, "bounds", "retry_ratio", 0, 1, &s->retry_ratio) &&
           read_number(r, "bounds", "retry_slack", 0, 1e6, &s->retry_slack);
}

bool
eset_read(Eset *s, const char *file, Err *e)
{
    char *text = NULL;
    gsize n = 0;
    GError *err = NULL;

    memset(s, 0, sizeof(*s));
    if (!g_file_get_contents(file, &text, &n, &err)) {
        err_set(e, ERR_IO, "%s; name a readable file with --config",
                err->message);
        g_error_free(err);
        return false;
    }
    Reader r = {ini_read((Str){text, n}, e), file, e};
    g_free(text);
    if (r.kf == NULL) {
        return err_prefix(e, file);
    }
    bool ok = read_vm(&r, s) && read_listen(&r, s) && read_bounds(&r, s);
    g_key_file_free(r.kf);
    return ok;
}
