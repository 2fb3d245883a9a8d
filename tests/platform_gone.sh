#!/bin/sh
# Callers that leave while the VM process is stopped.
# usage: platform_gone.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-22400}
. tests/lib/platform_lib.sh

# call ID SECONDS PATH: sends a request on a connection of its own, and leaves
# after that time.
call() {
    curl -s -o /dev/null -w '%{http_code}' -m "$2" \
        -H "Host: desk.example" -H "X-Mimosascale-Attempt-Id: $1" \
        -H "X-Mimosascale-Affinity-Key: $1" \
        -H "X-Mimosascale-Deadline-Ms: 3000" \
        "http://127.0.0.1:$((port + 101))$3"
}

start_one_vm

# Opens idle connections to the targets.
calls=
for i in $(seq 24); do
    call "w$i" 5 /read/x/slow >/dev/null &
    calls="$calls $!"
done
# shellcheck disable=SC2086
wait $calls

kill -STOP "$vm1"
calls=
for i in $(seq 24); do
    call "g$i" 0.2 /read/x/ok >/dev/null &
    calls="$calls $!"
done
for i in $(seq 8); do
    call "s$i" 5 /read/x/ok >"$dir/s$i" &
    calls="$calls $!"
done
sleep 0.8
kill -CONT "$vm1"
# shellcheck disable=SC2086
wait $calls
sleep 0.5

# Guards against requests that are sent on after their callers have left, as
# the VM reads the request before the end that has arrived behind it.
n=0
for i in $(seq 24); do
    n=$((n + $(runs "g$i")))
done
check sent_after_callers_left "$n" 0
for i in $(seq 8); do
    check "stayed_$i" "$(cat "$dir/s$i")" 200
done
finish
