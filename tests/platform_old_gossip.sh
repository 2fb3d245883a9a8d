#!/bin/sh
# Gossip whose sender has read the store some time before it was sent.
# usage: platform_old_gossip.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-23100}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

start_one_vm
defer_watches
ask_keys before
# shellcheck disable=SC2086
wait $asked
confirm "$rev"
report u-1 draining
# A call to the store may take 1.05 s, after which its result is sent.
sleep 0.98
confirm "$rev" 1000
sleep 1.55
seen=$(arrived u-1)
ask_keys late
# shellcheck disable=SC2086
wait $asked

# Guards against a VM that defers its watch by a whole pause after gossip that
# is old, and sends requests to a target after the drain time (2.5 s).
check sent_after_the_drain_time "$(arrived u-1)" "$seen"
check served "$(cat "$dir"/late* | grep -c 200)" 12
[ "$(arrived u-1)" -gt 0 ] || check both_in_use "$(arrived u-1)" "over 0"
finish
