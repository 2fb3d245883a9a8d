/* crashmsg - messages about requests that crash upstreams.  See crashmsg.h. */
#include "crashmsg.h"

#include <string.h>

#include <glib.h>

#define MAGIC 0x6d696331U /* "mic1": format version 1 */

/* Ages are sent in milliseconds. */
static bool_t
xdr_age(XDR *x, int64_t *us)
{
    u_int ms = (u_int)CLAMP(*us / 1000, 0, UINT32_MAX);

    if (!xdr_u_int(x, &ms)) {
        return FALSE;
    }
    *us = (int64_t)ms * 1000;
    return TRUE;
}

static bool_t
xdr_hash(XDR *x, uint64_t *hash)
{
    u_quad_t h = *hash;

    if (!xdr_u_int64_t(x, &h)) {
        return FALSE;
    }
    *hash = h;
    return TRUE;
}

static bool_t
xdr_flag(XDR *x, bool *flag)
{
    bool_t f = *flag ? TRUE : FALSE;

    if (!xdr_bool(x, &f)) {
        return FALSE;
    }
    *flag = f != FALSE;
    return TRUE;
}

static bool_t
xdr_report(XDR *x, CrashReport *r)
{
    return xdr_hash(x, &r->fingerprint) && xdr_hash(x, &r->crash) &&
           xdr_age(x, &r->age_us) && xdr_flag(x, &r->served_before);
}

static bool_t
xdr_verdict(XDR *x, CrashVerdict *v)
{
    return xdr_hash(x, &v->fingerprint) && xdr_flag(x, &v->served) &&
           xdr_flag(x, &v->contested) && xdr_age(x, &v->age_us) &&
           xdr_age(x, &v->refused_us) && xdr_int(x, &v->weight);
}

static bool_t
xdr_count(XDR *x, int *n, int max)
{
    return xdr_int(x, n) && *n >= 0 && *n <= max;
}

static bool_t
xdr_msg(XDR *x, void *obj)
{
    CrashMsg *m = obj;
    u_int magic = MAGIC;

    if (!xdr_u_int(x, &magic) || magic != MAGIC ||
        !xdr_count(x, &m->n_reports, CRASHMSG_REPORTS_MAX)) {
        return FALSE;
    }
    for (int i = 0; i < m->n_reports; i++) {
        if (!xdr_report(x, &m->reports[i])) {
            return FALSE;
        }
    }
    if (!xdr_count(x, &m->n_verdicts, CRASHMSG_VERDICTS_MAX)) {
        return FALSE;
    }
    for (int i = 0; i < m->n_verdicts; i++) {
        if (!xdr_verdict(x, &m->verdicts[i])) {
            return FALSE;
        }
    }
    return TRUE;
}

size_t
crashmsg_encode(const CrashMsg *m, char *out, size_t cap)
{
    CrashMsg copy = *m;

    return dgram_encode(xdr_msg, &copy, out, cap);
}

bool
crashmsg_is(const char *p, size_t n)
{
    return dgram_is(p, n, MAGIC);
}

bool
crashmsg_decode(CrashMsg *m, const char *p, size_t n, Err *e)
{
    memset(m, 0, sizeof(*m));
    return dgram_decode(xdr_msg, m, p, n) ||
           err_set(e, ERR_PROTOCOL,
                   "message of %zu bytes about crashes cut short, too long "
                   "or of another format",
                   n);
}
