#!/bin/sh
# Requests on a route that is moved, added or removed while the VM is suspended,
# cut off from the store, or refused by it.
# usage: platform_moved_route.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-30900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

start_linked_vm --delay 85 # as between regions
version=3

# next_case NAME: starts again from the configuration without the change.
next_case() {
    version=$((version + 1))
    config_before $version
    sleep 3
    check_before "before_$1"
    version=$((version + 1))
}

# Guards against requests that the old configuration handles, sent later than
# its bound of 2.5 s after the acknowledgement, in a process that resumes.
next_case suspended
kill -STOP "$vm1"
config_after $version
begin_asking
(
    sleep 3
    kill -CONT "$vm1"
) &
# Requests before would take the slots of the targets.
sleep 2.5
ask_changed 6000
print_counts suspended 2500 6000
check suspended_old "$(count old 2500 6000)" 0
check suspended_newest "$(count new 5000 6000)" "$(sent 5000 6000)"

# Guards against requests that the old configuration handles 3 s after the
# store is in reach again.
for how in cut refused; do
    next_case $how
    signal=USR1
    [ $how = refused ] && signal=HUP
    kill -$signal "$link_pid"
    sleep 0.1
    config_after $version
    sleep 5
    kill -USR2 "$link_pid"
    begin_asking
    ask_changed 6000
    print_counts $how 0 3000
    print_counts $how 3000 6000
    check "${how}_old" "$(count old 3000 6000)" 0
    check "${how}_newest" "$(count new 5000 6000)" "$(sent 5000 6000)"
done
finish
