#!/bin/sh
# A VM process that is suspended for seconds while a zone is evacuated.  After
# it resumes, it must not send the requests that queued in its sockets to that
# zone.
# usage: platform_pause.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-29400}
. tests/lib/platform_lib.sh

start_one_vm

# The affinity keys map to both upstreams; u-1 is in zone west-a.
for i in 1 2 3 4 5 6 7 8; do
    check "before_$i" "$(ask 1 "b$i" /write/x/ok)" 200
done

served_before=$(curl -s "http://$store/test/served?u-1")
[ "$served_before" -gt 0 ] || check both_in_use "$served_before" "over 0"

kill -STOP "$vm1"
for i in 1 2 3 4 5 6 7 8; do
    ask 1 "p$i" /write/x/ok >"$dir/p$i" &
    asked="${asked:-} $!"
done
sleep 0.3
control '/test/key?op/evacuate/west-a' '{}'
sleep 2
kill -CONT "$vm1"
# shellcheck disable=SC2086
wait $asked

# Guards against requests that reach the evacuated zone because the resumed
# process uses the state from before its suspension.
check evacuated "$(curl -s "http://$store/test/served?u-1")" "$served_before"
for i in 1 2 3 4 5 6 7 8; do
    check "after_$i" "$(cat "$dir/p$i")" 200
done
finish
