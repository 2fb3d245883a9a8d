#!/bin/sh
# A VM that was cut off while a configuration of 1,400 routes changed 20 times,
# and whose link to the store then carries 1.2 MB per second.
# usage: platform_large_changes.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-29900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

filler=$(routes 1400 more)
start_linked_vm
check_before before_the_cut
change_while_cut 20 1200000

# Guards against a VM that is sent, and puts in force, each version of a large
# configuration before the newest.
check_changed
finish
