#!/bin/sh
# A VM process that is killed and started again while configurations are stored,
# and whose first list comes from an old copy of the store.
# usage: platform_start_copies.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-26100}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh
. tests/lib/drain_lib.sh

start_linked_vm
version=3

# restart REV: kills VM 1 while the configuration changes and u-1 leaves, and
# starts it again.  Its first list has the CurrentRev of the copy (own) or of
# the store (newest).
restart() {
    control "/test/copy?$1"
    kill -KILL "$vm1"
    version=$((version + 1))
    config_after $version
    report u-1 draining
    begin_asking
    start_vm 1
    wait_for "http://127.0.0.1:$((port + 102))/api/readyz" 200
    sleep 2.5
    seen=$(arrived u-1)
    ask_changed 6000
    ask_keys "$1"
    # shellcheck disable=SC2086
    wait $asked
    print_counts "$1" 2500 6000
    grep 'part=config' "$dir/vm1.log" | tail -n 2
    control '/test/copy'
}

# Guards against a VM that starts from an old copy and uses its configuration
# and its upstreams until they change again.
for rev in own newest; do
    check_before "before_$rev"
    restart $rev
    check "${rev}_old" "$(count old 2500 6000)" 0
    check "${rev}_newest" "$(count new 2500 6000)" "$(sent 2500 6000)"
    check "${rev}_left" "$(arrived u-1)" "$seen"
    check "${rev}_served" "$(cat "$dir/$rev"[0-9]* | grep -c 200)" 12
    version=$((version + 1))
    config_before $version
    report u-1 ready
    sleep 3
done
finish
