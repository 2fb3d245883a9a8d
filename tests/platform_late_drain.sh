#!/bin/sh
# A target that leaves while the gossip to a VM has ended, and the VM process
# is stopped for less than a second around the end of the drain time (2.5 s).
# usage: platform_late_drain.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-22900}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

start_one_vm
for round in a b c; do
    defer_watches
    ask_keys "before$round"
    # shellcheck disable=SC2086
    wait $asked
    confirm "$rev"
    report u-1 draining
    sleep 1.58
    kill -STOP "$vm1"
    ask_keys "late$round"
    sleep 0.97
    seen=$(arrived u-1)
    kill -CONT "$vm1"
    # shellcheck disable=SC2086
    wait $asked

    # Guards against requests that a VM sends to a target that has left, as it
    # has not asked the store since before it was stopped.
    check "sent_after_the_drain_time_$round" "$(arrived u-1)" "$seen"
    check "served_$round" "$(cat "$dir/late$round"* | grep -c 200)" 12
    report u-1 ready
    sleep 2
done
[ "$(arrived u-1)" -gt 0 ] || check both_in_use "$(arrived u-1)" "over 0"
finish
