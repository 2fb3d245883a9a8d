#!/bin/sh
# A VM that was cut off while a configuration of 350 routes changed 25 times,
# and whose link to the store then carries 60 kB per second.
# usage: platform_slow_link.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-26900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

filler=$(routes 350 more)
start_linked_vm
check_before before_the_cut
change_while_cut 25 60000

# Guards against a VM that never has the newest configuration because it asks
# the store again before the answer has arrived.
check_changed
finish
