/* Fuzzes the manifest: what parses has a canonical text that parses to an
 * equal manifest, and drains keep the text parseable. */
#include <stdlib.h>
#include <string.h>

#include "manifest.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
check_drain(const Manifest *m, Str text)
{
    GString *t = g_string_new_len(text.p, (gssize)text.n);
    Err e = {0};

    if (manifest_set_drain(t, MF_DRAIN_ZONE, m->zones[0].name, true, &e)) {
        Manifest *d = manifest_parse((Str){t->str, t->len}, &e);
        if (d == NULL || !d->zones[0].draining) {
            abort();
        }
        manifest_free(d);
    }
    g_string_free(t, TRUE);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    Str text = {(const char *)data, size};
    Err e = {0};
    Manifest *m = manifest_parse(text, &e);

    if (m == NULL) {
        if (e.kind == ERR_NONE || strstr(e.text, "allowed: ") == NULL) {
            abort();
        }
        return 0;
    }
    GString *canon = manifest_text(m);
    GString *diff = g_string_new(NULL);
    Manifest *again = manifest_parse((Str){canon->str, canon->len}, &e);
    if (again == NULL || manifest_diff(m, again, diff) != 0) {
        abort();
    }
    check_drain(m, text);
    manifest_free(again);
    manifest_free(m);
    g_string_free(canon, TRUE);
    g_string_free(diff, TRUE);
    return 0;
}
