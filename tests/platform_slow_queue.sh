#!/bin/sh
# A VM that was cut off while a configuration of 350 routes changed 25 times,
# and whose link to the store then carries 60 kB per second and has a queue that
# keeps what was sent for a call that the VM has given up.
# usage: platform_slow_queue.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-26700}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

rate=60000     # bytes per second
queue=131072   # bytes
value=80000    # a configuration in base64, bytes
pause_ms=1170  # longest pause until the next call begins
calls_ms=120   # five round trips of 24 ms
parse_ms=260   # of a larger configuration, on a slower processor
# The watch fills the queue before it is given up; a list of the operator's
# keys follows (docs/design.md, 6.14).
newest_ms=$((pause_ms + calls_ms + (queue + value) * 1000 / rate + parse_ms))

filler=$(routes 350 more)
start_linked_vm
check_before before_the_cut
# The round trip lets the queue fill before the VM can give the watch up.
change_while_cut 25 "$rate" --queue "$queue" --delay 12
after=$(tail -n +$((log_lines + 1)) "$dir/vm1.log")
failed=$(echo "$after" | grep -c 'event=call_failed prefix=.* status=0 ')
failed_lease=$(echo "$after" | grep -c 'event=call_failed key=.* status=0')
echo "newest_ms=$newest_ms failed_calls=$failed failed_lease_calls=$failed_lease"

# Guards against a VM whose calls wait behind the answers that it has given up,
# and are given up for that.
check old_after_3_s "$(count old 3000 10000)" 0
check not_newest "$(($(count old $newest_ms 10000) + $(count not_run $newest_ms 10000) + $(count other $newest_ms 10000)))" 0
[ "$(count new $newest_ms 10000)" -gt 0 ] ||
    check served_by_the_newest 0 "over 0"
check failed_calls "$failed" 0
check failed_lease_calls "$failed_lease" 0
finish
