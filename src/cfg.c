/* cfg - envelopes, and the configuration in use.  See cfg.h. */
#include "cfg.h"

#include <string.h>

#include <zstd.h>

#include "hash.h"
#include "inv.h"

/*
 * Layout, with the sizes in bytes; numbers are big-endian: "MMS1" (4), version
 * (8), change id (36), length of the packed text (4), packed text, XXH3 hash
 * of all preceding bytes (8).
 */
#define MAGIC_BYTES 4
#define CHANGE_CHARS (CHANGE_ID_BYTES - 1)
#define VERSION_AT MAGIC_BYTES
#define CHANGE_AT (VERSION_AT + 8)
#define LENGTH_AT (CHANGE_AT + CHANGE_CHARS)
#define PACKED_AT (LENGTH_AT + 4)
#define SUM_BYTES 8
#define ZSTD_LEVEL 9

static const uint8_t magic[MAGIC_BYTES] = {'M', 'M', 'S', '1'};

struct Cfg {
    uint64_t version;
    char change_id[CHANGE_ID_BYTES];
    Manifest *manifest;
    GBytes *envelope;
};

static void
put_u64(uint8_t *p, uint64_t v)
{
    v = GUINT64_TO_BE(v);
    memcpy(p, &v, sizeof(v));
}

static uint64_t
get_u64(const char *p)
{
    uint64_t v;

    memcpy(&v, p, sizeof(v));
    return GUINT64_FROM_BE(v);
}

static bool
is_change_id(const char *p)
{
    for (int i = 0; i < CHANGE_CHARS; i++) {
        bool dash = i == 8 || i == 13 || i == 18 || i == 23;
        if (dash ? p[i] != '-' : !g_ascii_isxdigit(p[i])) {
            return false;
        }
    }
    return true;
}

GBytes *
cfg_encode(uint64_t version, const char *change_id, Str manifest_text, Err *e)
{
    if (strlen(change_id) != CHANGE_CHARS || !is_change_id(change_id)) {
        err_set(
            e, ERR_VALUE,
            "change id \"%.40s\" is not a UUID; use g_uuid_string_random()",
            change_id);
        return NULL;
    }
    if (manifest_text.n > MANIFEST_BYTES_MAX) {
        err_set(e, ERR_LIMIT,
                "manifest has %zu bytes; at most %d are allowed; merge client "
                "blocks",
                manifest_text.n, MANIFEST_BYTES_MAX);
        return NULL;
    }
    size_t cap = ZSTD_compressBound(manifest_text.n);
    uint8_t *b = g_malloc(PACKED_AT + cap + SUM_BYTES);
    size_t n = ZSTD_compress(b + PACKED_AT, cap, manifest_text.p,
                             manifest_text.n, ZSTD_LEVEL);
    size_t total = PACKED_AT + n + SUM_BYTES;
    if (ZSTD_isError(n) || total > STORE_VALUE_BYTES_MAX) {
        g_free(b);
        err_set(e, ERR_LIMIT,
                "packed manifest exceeds the store's limit of %d bytes per "
                "value; merge client blocks",
                STORE_VALUE_BYTES_MAX);
        return NULL;
    }
    memcpy(b, magic, MAGIC_BYTES);
    put_u64(b + VERSION_AT, version);
    memcpy(b + CHANGE_AT, change_id, CHANGE_CHARS);
    uint32_t len = GUINT32_TO_BE((uint32_t)n);
    memcpy(b + LENGTH_AT, &len, sizeof(len));
    put_u64(b + PACKED_AT + n,
            hash_str((Str){(const char *)b, PACKED_AT + n}, 0));
    return g_bytes_new_take(b, total);
}

static bool
check_envelope(Str b, Err *e)
{
    uint32_t len;

    if (b.n < PACKED_AT + SUM_BYTES || b.n > STORE_VALUE_BYTES_MAX ||
        memcmp(b.p, magic, MAGIC_BYTES) != 0) {
        return err_set(e, ERR_SYNTAX,
                       "configuration envelope of %zu bytes does not start "
                       "with MMS1; write it with mimosactl apply",
                       b.n);
    }
    memcpy(&len, b.p + LENGTH_AT, sizeof(len));
    len = GUINT32_FROM_BE(len);
    if (len != b.n - PACKED_AT - SUM_BYTES) {
        return err_set(e, ERR_SYNTAX,
                       "configuration envelope declares %u packed bytes but "
                       "contains %zu; write it with mimosactl apply",
                       len, b.n - PACKED_AT - SUM_BYTES);
    }
    uint64_t sum = hash_str((Str){b.p, b.n - SUM_BYTES}, 0);
    if (get_u64(b.p + b.n - SUM_BYTES) != sum) {
        return err_set(e, ERR_SYNTAX,
                       "configuration envelope fails its checksum; write it "
                       "with mimosactl apply");
    }
    if (get_u64(b.p + VERSION_AT) == 0 || !is_change_id(b.p + CHANGE_AT)) {
        return err_set(e, ERR_VALUE,
                       "configuration envelope has version 0 or no UUID; "
                       "write it with mimosactl apply");
    }
    return true;
}

/* Decompresses in steps, because the size in the header of the compressed text
 * is not trusted. */
static bool
unpack(Str packed, GString *out, Err *e)
{
    ZSTD_DStream *d = ZSTD_createDStream();
    /* A text of MANIFEST_BYTES_MAX needs no window over 16 MB (2^24). */
    ZSTD_DCtx_setParameter(d, ZSTD_d_windowLogMax, 24);
    size_t cap = ZSTD_DStreamOutSize();
    char *buf = g_malloc(cap);
    ZSTD_inBuffer in = {packed.p, packed.n, 0};
    size_t left = 1;
    bool ok = true;

    g_string_truncate(out, 0);
    while (ok && left != 0) {
        ZSTD_outBuffer o = {buf, cap, 0};
        size_t before = in.pos;
        left = ZSTD_decompressStream(d, &o, &in);
        ok = !ZSTD_isError(left) && out->len + o.pos <= MANIFEST_BYTES_MAX &&
             (o.pos > 0 || in.pos > before || left == 0);
        if (ok) {
            g_string_append_len(out, buf, (gssize)o.pos);
        }
    }
    ok = ok && in.pos == packed.n;
    ZSTD_freeDStream(d);
    g_free(buf);
    if (!ok) {
        return err_set(e, ERR_SYNTAX,
                       "packed manifest is damaged or exceeds %d bytes; write "
                       "it with mimosactl apply",
                       MANIFEST_BYTES_MAX);
    }
    return true;
}

bool
cfg_decode(Str bytes, uint64_t *version, char change_id[CHANGE_ID_BYTES],
           GString *manifest_text, Err *e)
{
    if (!check_envelope(bytes, e)) {
        return false;
    }
    *version = get_u64(bytes.p + VERSION_AT);
    memcpy(change_id, bytes.p + CHANGE_AT, CHANGE_CHARS);
    change_id[CHANGE_CHARS] = '\0';
    Str packed = {bytes.p + PACKED_AT, bytes.n - PACKED_AT - SUM_BYTES};
    return unpack(packed, manifest_text, e);
}

Cfg *
cfg_new(void)
{
    return g_new0(Cfg, 1);
}

void
cfg_free(Cfg *c)
{
    if (c == NULL) {
        return;
    }
    if (c->manifest != NULL) {
        manifest_free(c->manifest);
        g_bytes_unref(c->envelope);
    }
    g_free(c);
}

static void
adopt(Cfg *c, uint64_t version, const char *id, Manifest *m, Str envelope)
{
    INV("config_revert", version > c->version,
        "version %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT, version,
        c->version);
    if (c->manifest != NULL) {
        manifest_free(c->manifest);
        g_bytes_unref(c->envelope);
    }
    c->version = version;
    g_strlcpy(c->change_id, id, sizeof(c->change_id));
    c->manifest = m;
    c->envelope = g_bytes_new(envelope.p, envelope.n);
}

CfgOfferResult
cfg_offer(Cfg *c, Str envelope, int64_t now_us, Err *e)
{
    char id[CHANGE_ID_BYTES];

    (void)now_us;
    if (!check_envelope(envelope, e)) {
        return CFG_BAD;
    }
    uint64_t version = get_u64(envelope.p + VERSION_AT);
    memcpy(id, envelope.p + CHANGE_AT, CHANGE_CHARS);
    id[CHANGE_CHARS] = '\0';
    if (version < c->version) {
        return CFG_OLDER;
    }
    if (version == c->version) {
        if (g_ascii_strcasecmp(id, c->change_id) == 0) {
            return CFG_SAME;
        }
        err_set(e, ERR_CONFLICT,
                "configuration %" G_GUINT64_FORMAT
                " has two change ids, %s and %s; apply the wanted one again",
                version, c->change_id, id);
        return CFG_CONFLICT;
    }
    GString *text = g_string_new(NULL);
    Manifest *m = NULL;
    if (cfg_decode(envelope, &version, id, text, e)) {
        m = manifest_parse((Str){text->str, text->len}, e);
    }
    g_string_free(text, TRUE);
    if (m == NULL) {
        return CFG_BAD;
    }
    adopt(c, version, id, m, envelope);
    return CFG_ADOPTED;
}

uint64_t
cfg_version(const Cfg *c)
{
    return c->version;
}

const char *
cfg_change_id(const Cfg *c)
{
    return c->change_id;
}

const Manifest *
cfg_manifest(const Cfg *c)
{
    return c->manifest;
}

GBytes *
cfg_envelope(const Cfg *c)
{
    return c->envelope;
}

CfgWrite
cfg_resolve(uint64_t base_version, const char *my_change_id,
            uint64_t stored_version, const char *stored_change_id)
{
    if (stored_version <= base_version) {
        return CFG_NOT_YET;
    }
    if (stored_version > base_version + 1) {
        return CFG_SUPERSEDED;
    }
    if (g_ascii_strcasecmp(my_change_id, stored_change_id) == 0) {
        return CFG_WROTE;
    }
    return CFG_LOST_RACE;
}
