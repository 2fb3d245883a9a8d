/* mimosa-lookup - responds to callers with the entry VMs to use. */
#include "lg.h"
#include "lookup_run.h"
#include "progopts.h"

int
main(int argc, char **argv)
{
    static Settings set;
    Err e = {0};
    int rc = prog_start("mimosa-lookup",
                        "Tells callers which entry VMs to use, by the block "
                        "of their address.",
                        argc, argv, &set);

    if (rc >= 0) {
        return rc;
    }
    rc = lookup_run(&set, NULL, NULL, &e);
    if (rc != 0) {
        prog_fail("mimosa-lookup", &e);
    }
    lg_close();
    return rc;
}
