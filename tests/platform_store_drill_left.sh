#!/bin/sh
# An upstream that leaves, and a store that then comes back from a copy in which
# it is ready.
# usage: platform_store_drill_left.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-28400}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

# ask_twelve PREFIX: sends a request for each of 12 keys and waits for them.
ask_twelve() {
    ask_keys "$1"
    # shellcheck disable=SC2086
    wait $asked
}

start_one_vm
ask_twelve before
[ "$(arrived u-1)" -gt 0 ] || check both_in_use "$(arrived u-1)" "over 0"
control '/test/backup'
report u-1 draining
sleep 1
control '/test/mode?silent'
sleep 0.5
control '/test/restore'
control '/test/mode?ok'
# The drain time (2.5 s) since the report has passed.
sleep 2
seen=$(arrived u-1)
ask_twelve after

# Guards against requests to an upstream that has left, because the store lists
# it again.
check sent_after_the_drain_time "$(arrived u-1)" "$seen"
check served "$(cat "$dir"/after* | grep -c 200)" 12
check former "$(grep -c 'part=upstream id=u-1 event=former' "$dir/vm1.log")" 1

# Guards against an upstream that stays out of use although it reports again.
control "/test/key?servers/u-1" "$(printf '{"Service":"desk","Addr":"127.0.0.1:%s","Zone":"west-a","Slots":4,"State":"ready","ColdLeft":"0ms","Seq":10,"born":1}' $((port + 51)))"
sleep 1
ask_twelve again
[ "$(arrived u-1)" -gt "$seen" ] || check used_again "$(arrived u-1)" "over $seen"
finish
