/* ctl_losses - "mimosactl losses": reads logs of entry VMs.  See ctl_cmd.h. */
#include "ctl_cmd.h"

#include <stdio.h>
#include <string.h>

#include "losses.h"

static bool
read_log(Losses *l, const char *file, Err *e)
{
    char *text = NULL;
    gsize n = 0;
    GError *error = NULL;

    if (!g_file_get_contents(file, &text, &n, &error)) {
        err_set(e, ERR_IO, "losses: %s; name a readable log file",
                error->message);
        g_error_free(error);
        return false;
    }
    losses_next_vm(l);
    for (const char *p = text; p < text + n;) {
        const char *end = memchr(p, '\n', (size_t)(text + n - p));
        size_t len = (size_t)((end == NULL ? text + n : end) - p);
        losses_add(l, (Str){p, len});
        p += len + 1;
    }
    g_free(text);
    return true;
}

static bool
write_plot(const Losses *l, const char *file, Err *e)
{
    GString *out = g_string_new(NULL);
    GError *error = NULL;

    losses_plot(l, out);
    bool ok =
        g_file_set_contents(file, out->str, (gssize)out->len, &error) != 0;
    if (!ok) {
        err_set(e, ERR_IO, "--plot: %s; name a file that can be written",
                error->message);
        g_error_free(error);
    }
    g_string_free(out, TRUE);
    return ok;
}

bool
ctl_losses(Ctl *c, Err *e)
{
    Losses *l = losses_new();
    GString *out = g_string_new(NULL);
    bool ok = true;

    for (int i = 0; ok && i < c->o.n_args; i++) {
        ok = read_log(l, c->o.args[i], e);
    }
    if (ok) {
        losses_text(l, out);
        fputs(out->str, stdout);
        ok = c->o.plot == NULL || write_plot(l, c->o.plot, e);
    }
    g_string_free(out, TRUE);
    losses_free(l);
    return ok;
}
