/* reqhead - parser and validator of request heads.  See reqhead.h. */
#include "reqhead.h"

#include <string.h>

#include "hash.h"
#include "idem.h"

#define RUN_PREFIX "/v1/run/"
#define EXCERPT_BYTES 40 /* longest part of a value in an error text */

/* Arguments of "%.*s" for an untrusted value, which may be long. */
#define EXCERPT(s) (int)MIN((s).n, EXCERPT_BYTES), ((s).p == NULL ? "" : (s).p)

bool
reqhead_is_key(Str s)
{
    if (s.n == 0 || s.n > KEY_BYTES) {
        return false;
    }
    for (size_t i = 0; i < s.n; i++) {
        if (s.p[i] < 0x21 || s.p[i] > 0x7e) {
            return false;
        }
    }
    return true;
}

int
reqhead_zone_of_hash(const Manifest *m, int service, uint64_t hash)
{
    bool has[ZONES_MAX] = {false};
    int n = 0;

    for (int i = 0; i < m->n_targets; i++) {
        const MfTarget *t = &m->targets[i];
        if (t->service == service && !has[t->zone]) {
            has[t->zone] = true;
            n++;
        }
    }
    if (n == 0) {
        return -1;
    }
    int k = (int)(hash % (uint64_t)n);
    for (int z = 0; z < m->n_zones; z++) {
        if (has[z] && k-- == 0) {
            return z;
        }
    }
    return -1;
}

static bool
parse_path(ReqHead *h, const ReqHeadIn *in, const Manifest *m, Err *e)
{
    Str p = in->path;
    size_t n0 = sizeof(RUN_PREFIX) - 1;

    if (!str_starts(p, str_of(RUN_PREFIX))) {
        return err_set(e, ERR_NOT_FOUND,
                       "path \"%.*s\": must be /v1/run/SERVICE/PATH; correct "
                       "the path",
                       EXCERPT(p));
    }
    size_t end = n0;
    while (end < p.n && p.p[end] != '/') {
        end++;
    }
    Str name = {p.p + n0, end - n0};
    h->service = manifest_service(m, name);
    if (h->service < 0) {
        return err_set(e, ERR_NOT_FOUND,
                       "path: service \"%.*s\" is not in the manifest; name "
                       "one of its %d services",
                       EXCERPT(name), m->n_services);
    }
    h->path_offset = end;
    return true;
}

static bool
parse_rank(ReqHead *h, const ReqHeadIn *in, const Manifest *m, Err *e)
{
    uint64_t ms;

    h->rank = m->n_ranks - 1;
    if (in->rank.n > 0) {
        h->rank = manifest_rank(m, in->rank);
    }
    if (h->rank < 0) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Rank: \"%.*s\" is not a rank; use a rank of "
                       "the manifest from \"%s\" to \"%s\", or leave it out",
                       EXCERPT(in->rank), m->ranks[0].name,
                       m->ranks[m->n_ranks - 1].name);
    }
    h->deadline_us = m->ranks[h->rank].deadline_us;
    if (in->deadline_ms.n == 0) {
        return true;
    }
    if (!str_u64(in->deadline_ms, DEADLINE_MS_MAX, &ms) || ms == 0) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Deadline-Ms: \"%.*s\" must be a number from 1 "
                       "to %d; send the remaining time in ms, or leave it out",
                       EXCERPT(in->deadline_ms), DEADLINE_MS_MAX);
    }
    h->deadline_us = MIN(h->deadline_us, (int64_t)ms * 1000);
    return true;
}

static bool
parse_class(ReqHead *h, const ReqHeadIn *in, const Manifest *m, Err *e)
{
    Str path = {in->path.p + h->path_offset, in->path.n - h->path_offset};

    h->class = manifest_class(&m->services[h->service], path);
    if (in->class.n == 0) {
        return true;
    }
    if (str_eqz(in->class, "idempotent")) {
        if (h->class == MF_ONCE) {
            return err_set(e, ERR_VALUE,
                           "Mimosa-Class: \"idempotent\" on a path that the "
                           "manifest declares as \"once\"; send \"once\" "
                           "or leave it out");
        }
        return true;
    }
    if (!str_eqz(in->class, "once")) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Class: \"%.*s\" must be \"idempotent\" or "
                       "\"once\"; correct it or leave it out",
                       EXCERPT(in->class));
    }
    h->class = MF_ONCE;
    return true;
}

static bool
parse_key(ReqHead *h, const ReqHeadIn *in, Err *e)
{
    if (in->key.n == 0) {
        if (h->class != MF_ONCE) {
            return true;
        }
        return err_set(e, ERR_VALUE,
                       "Idempotency-Key: absent; class \"once\" needs 1 to %d "
                       "visible ASCII characters; send the same key on each "
                       "attempt",
                       KEY_BYTES);
    }
    if (!reqhead_is_key(in->key)) {
        return err_set(e, ERR_VALUE,
                       "Idempotency-Key: %zu bytes \"%.*s\" must be 1 to %d "
                       "visible ASCII characters; shorten or encode it",
                       in->key.n, EXCERPT(in->key), KEY_BYTES);
    }
    return str_copy(h->key, sizeof(h->key), in->key);
}

static bool
parse_once(ReqHead *h, const ReqHeadIn *in, const Manifest *m, Err *e)
{
    uint64_t v;

    if (!str_u64(in->attempt, INT32_MAX, &v) || v == 0) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Attempt: \"%.*s\" must be a number from 1; "
                       "class \"once\" sends 1 first, then 2, 3, ...",
                       EXCERPT(in->attempt));
    }
    h->attempt = (int)v;
    if (!str_u64(in->issued, INT64_MAX / 1000, &v)) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Issued: \"%.*s\" must be the Unix time of the "
                       "first attempt in ms; send the same value on each "
                       "attempt",
                       EXCERPT(in->issued));
    }
    h->issued_wall_us = (int64_t)v * 1000;
    if (in->home.n == 0) {
        uint64_t hash =
            idem_hash(str_of(m->services[h->service].name), str_of(h->key));
        h->home = reqhead_zone_of_hash(m, h->service, hash_mix(hash, 0));
        return true;
    }
    h->home = manifest_zone(m, in->home);
    if (h->home < 0) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Home: \"%.*s\" is not a zone of the manifest; "
                       "copy \"home\" of the look-up answer, or leave it out",
                       EXCERPT(in->home));
    }
    return true;
}

/* The headers of hops between entry VMs are accepted only together with the
 * token of the fleet. */
static bool
parse_hop(ReqHead *h, const ReqHeadIn *in, const char *fleet, Err *e)
{
    uint64_t hop = 0;

    if (in->hop.n == 0 && in->stage.n == 0 && in->client.n == 0) {
        return true;
    }
    if (!str_eqz(in->fleet, fleet)) {
        return err_set(e, ERR_AUTH,
                       "Mimosa-Hop: allowed between entry VMs only; a caller "
                       "must leave out Mimosa-Hop, Mimosa-Stage and "
                       "Mimosa-Client");
    }
    if (!str_u64(in->hop, HOPS_MAX, &hop) || hop == 0) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Hop: \"%.*s\" must be 1 to %d; check the "
                       "rosters of the zones",
                       EXCERPT(in->hop), HOPS_MAX);
    }
    h->hop = (int)hop;
    if (in->stage.n > 0 && !str_eqz(in->stage, "run")) {
        return err_set(e, ERR_VALUE,
                       "Mimosa-Stage: \"%.*s\" must be \"run\" or absent; "
                       "update the entry VM that sent it",
                       EXCERPT(in->stage));
    }
    h->stage = in->stage.n > 0 ? REQ_STAGE_RUN : REQ_STAGE_ROUTE;
    return true;
}

static bool
check_sizes(const ReqHeadIn *in, Err *e)
{
    if (in->head_bytes > HEAD_BYTES_MAX) {
        return err_set(e, ERR_LIMIT,
                       "head: %zu bytes exceed the limit of %d; send fewer or "
                       "shorter headers",
                       in->head_bytes, HEAD_BYTES_MAX);
    }
    if (in->body_bytes > BODY_BYTES_MAX) {
        return err_set(e, ERR_LIMIT,
                       "Content-Length: %" G_GINT64_FORMAT
                       " exceeds the limit of %d bytes; send a smaller body",
                       in->body_bytes, BODY_BYTES_MAX);
    }
    return true;
}

bool
reqhead_parse(ReqHead *h, const ReqHeadIn *in, const Manifest *m,
              const char *fleet, Err *e)
{
    memset(h, 0, sizeof(*h));
    h->home = -1;
    h->attempt = 1;
    if (!check_sizes(in, e) || !parse_path(h, in, m, e) ||
        !parse_rank(h, in, m, e) || !parse_class(h, in, m, e) ||
        !parse_key(h, in, e) || !parse_hop(h, in, fleet, e)) {
        return false;
    }
    return h->class != MF_ONCE || parse_once(h, in, m, e);
}
