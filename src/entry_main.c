/* mimosa-entry - takes callers' requests and sends them to upstreams. */
#include "entry.h"
#include "lg.h"
#include "progopts.h"

int
main(int argc, char **argv)
{
    static Settings set;
    Err e = {0};
    int rc = prog_start("mimosa-entry",
                        "Takes callers' requests and sends each to an "
                        "upstream that can serve it in time.",
                        argc, argv, &set);

    if (rc >= 0) {
        return rc;
    }
    rc = entry_run(&set, NULL, NULL, &e);
    if (rc != 0) {
        prog_fail("mimosa-entry", &e);
    }
    lg_close();
    return rc;
}
