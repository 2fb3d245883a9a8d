/* manifest_value - reads and checks the values of one group of a manifest.
 * See manifest_int.h. */
#include "manifest_int.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define VALUE_QUOTED_MAX 60 /* bytes of a value that an error quotes */

bool
mfv_fail(MfGroup *p, const char *key, const char *found, const char *allowed,
         const char *remedy)
{
    return err_set(p->e, ERR_VALUE,
                   "[%.70s]%s%s: found \"%.*s\"; allowed: %s; %s", p->group,
                   key != NULL ? " " : "", key != NULL ? key : "",
                   VALUE_QUOTED_MAX, found, allowed, remedy);
}

char *
mfv_value(MfGroup *p, const char *key)
{
    return g_key_file_get_value(p->kf, p->group, key, NULL);
}

bool
mfv_missing(MfGroup *p, const char *key, const char *allowed)
{
    return err_set(p->e, ERR_VALUE,
                   "[%.70s] %s: found nothing; allowed: %s; add the key",
                   p->group, key, allowed);
}

/* Parses decimal digits with at most one point.  Rejects what g_ascii_strtod()
 * also takes: signs, exponents, hexadecimal numbers, "inf" and "nan". */
static bool
read_decimal(const char *v, double *out)
{
    char *end = NULL;

    if (v[0] == '\0' || strspn(v, "0123456789.") != strlen(v)) {
        return false;
    }
    *out = g_ascii_strtod(v, &end);
    return *end == '\0' && end != v && isfinite(*out);
}

bool
mfv_number(MfGroup *p, const char *key, double min, double max, double def,
           bool whole, double *out)
{
    char allowed[96];
    char *v = mfv_value(p, key);
    bool ok = true;

    snprintf(allowed, sizeof(allowed), "a%s number from %.10g to %.10g",
             whole ? " whole" : "", min, max);
    if (v == NULL) {
        *out = def;
        return def != MFV_REQUIRED || mfv_missing(p, key, allowed);
    }
    if (!read_decimal(v, out) || *out < min || *out > max ||
        (whole && *out != floor(*out))) {
        ok = mfv_fail(p, key, v, allowed, "correct the number");
    }
    g_free(v);
    return ok;
}

bool
mfv_int(MfGroup *p, const char *key, int min, int max, double def, int *out)
{
    double d = 0;

    if (!mfv_number(p, key, min, max, def, true, &d)) {
        return false;
    }
    *out = (int)d;
    return true;
}

bool
mfv_ms(MfGroup *p, const char *key, double min, double max, double def,
       int64_t *out_us)
{
    double d = 0;

    if (!mfv_number(p, key, min, max, def, false, &d)) {
        return false;
    }
    *out_us = (int64_t)llround(d * 1000.0);
    return true;
}

bool
mfv_ref(MfGroup *p, const char *key, const char *kind, MfFind find, int *out)
{
    char *v = mfv_value(p, key);
    char allowed[64];
    bool ok = true;

    snprintf(allowed, sizeof(allowed), "the name of a declared %s", kind);
    if (v == NULL) {
        return mfv_missing(p, key, allowed);
    }
    *out = find(p->m, str_of(v));
    if (*out < 0) {
        ok = mfv_fail(p, key, v, allowed, "declare it or correct the name");
    }
    g_free(v);
    return ok;
}

bool
mfv_name(MfGroup *p, char dst[NAME_BYTES])
{
    const char *n = p->args[0];

    if (!str_is_name(str_of(n), NAME_BYTES - 1)) {
        return mfv_fail(
            p, NULL, n,
            "a name of a-z, 0-9, '.', '_' and '-', at most 63 bytes",
            "correct the name");
    }
    return str_copy(dst, NAME_BYTES, str_of(n));
}

bool
mfv_check_limit(MfGroup *p, int have, int max)
{
    if (have < max) {
        return true;
    }
    return err_set(p->e, ERR_LIMIT,
                   "[%.70s]: found more than %d of this kind; allowed: at "
                   "most %d; remove some",
                   p->group, max, max);
}
