#!/bin/sh
# A planned stop of a VM under requests that arrive until its process is gone.
# usage: platform_stop.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-32400}
. tests/lib/platform_lib.sh

start_one_vm

# later DELAY ID PATH: sends a request after the delay; its status goes to a
# file.
later() {
    sleep "$1"
    ask 1 "$2" "$3" >"$dir/status-$2"
}

kill -TERM "$vm1"
asked=
n=0
for at in 0.1 0.5 1 1.5 2 2.5 2.8 3 3.2 3.4 3.6 3.8 4 4.2 4.3 4.4 4.45 4.5 4.6 4.8 5 5.5; do
    n=$((n + 1))
    later "$at" "w$n" /write/x/slow &
    asked="$asked $!"
    later "$at" "o$n" /write/x/ok &
    asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked

# Guards against requests that are passed on late in a planned stop and cut off
# at its end without a response, and against "not run" for one that ran.
served=0
for i in $(seq $n); do
    for id in "w$i" "o$i"; do
        status=$(cat "$dir/status-$id")
        ran=$(runs "$id")
        case "$status $ran" in
        "200 1") served=$((served + 1)) ;;
        "503 0" | 000*" 0") ;;
        *) check "stop_$id" "$status, ran $ran times" "200 or not run" ;;
        esac
    done
done
[ "$served" -ge 20 ] || check served "$served" "20 or more"
finish
