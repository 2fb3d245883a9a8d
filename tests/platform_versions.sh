#!/bin/sh
# Versions of the configuration that come around what the platform does with
# the process: new settings, a planned stop, a restart on the same ports, and
# connections that callers keep.
# usage: platform_versions.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-28900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh

bound_ms=2500 # setting "configuration"

start_linked_vm
version=3

# change: stores the next version, with the change.
change() {
    version=$((version + 1))
    config_after $version
    begin_asking
}

# restore NAME: stores the next version, without the change.
restore() {
    version=$((version + 1))
    config_before $version
    sleep 1
    check_before "before_$1"
}

# check_newest NAME UNTIL_MS: checks the requests that were sent later than the
# time limit after the change.
check_newest() {
    print_counts "$1" 0 "$2"
    check "$1_old" "$(count old $bound_ms "$2")" 0
    [ "$(count new $bound_ms "$2")" -gt 0 ] || check "$1_new" 0 "over 0"
}

# ask_kept NAME N: sends N requests in 200 ms each on one connection.
ask_kept() {
    curl -s --rate 5/s -o "$dir/$1-#1" -w '%{http_code} %{num_connects}\n' \
        -H "Host: desk.example" -H "X-Mimosascale-Attempt-Id: $1" \
        -H "X-Mimosascale-Deadline-Ms: 3000" \
        "http://127.0.0.1:$((port + 101))/moved/[1-$2]/service" \
        >"$dir/kept-$1" &
    kept=$!
}

# check_kept NAME N: the last request of the connection went to the service of
# the newest version, and the connection was opened once.
check_kept() {
    wait "$kept"
    check "$1_first" "$(cat "$dir/$1-1")" desk
    check "$1_last" "$(cat "$dir/$1-$2")" shop
    check "$1_connections" \
        "$(awk '{ n += $2 } END { print n }' "$dir/kept-$1")" 1
}

# Guards against requests on a kept connection that are handled by the
# configuration of its first request.
ask_kept k1 30
sleep 1
change
check_kept k1 30

# Guards against a process that goes back to an old configuration, or keeps
# it, when its settings are read again.
restore settings
sed -i 's/^drain = .*/drain = 2600ms/' "$dir/vm1.ini"
kill -HUP "$vm1"
change
kill -HUP "$vm1"
(
    for _ in $(seq 20); do
        sleep 0.2
        kill -HUP "$vm1"
    done
) &
ask_changed 4500
check_newest settings 4500

# Guards against a process that learns of no changes while it stops.
restore stop
# An upload that stays incomplete keeps the process from ending early.
sleep 7 | ask 1 p1 /write/x/ok -T - >"$dir/status-p1" &
upload=$!
sleep 0.3
kill -TERM "$vm1"
sleep 0.3
change
ask_changed 4000
check_newest stop 4000
wait "$vm1" "$upload"

# Guards against a start on the same ports that uses what was in force before
# it, or answers 404 before it knows any configuration.
start_vm 1
wait_for "http://127.0.0.1:$((port + 102))/api/readyz" 200
restore restart
kill -KILL "$vm1"
change
start_vm 1
ask_changed 4500
check_newest restart 4500
check restart_early_old "$(count old 0 $bound_ms)" 0
finish
