#!/bin/sh
# Gossip that travels for longer than the bound of the configuration allows.
# usage: platform_late_gossip.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-27900}
. tests/lib/platform_lib.sh
. tests/lib/link_lib.sh
. tests/lib/drain_lib.sh

# start_delayed_vm N DELAY_MS: starts VM N, which sends its datagrams so late.
start_delayed_vm() {
    LD_PRELOAD=$dir/delay.so DATAGRAM_DELAY_MS=$2 \
        "$b/mimosa-edge" --config "$dir/vm$1.ini" >>"$dir/vm$1.log" 2>&1 &
    eval "vm$1=$!"
    pids="$pids $!"
    wait_for "http://127.0.0.1:$((port + 100 * $1 + 2))/api/readyz" 200
}

# case_delayed NAME DELAY_MS: VM 1 receives gossip from VM 2 only, which VM 1
# sends nothing.
case_delayed() {
    start_platform
    config_before 3
    settings 1 west-a
    settings 2 west-a
    start_delayed_vm 1 -1
    start_delayed_vm 2 "$2"
    sleep $((2 + $2 / 1000))
    defer_watches # until the gossip of VM 2, which goes on, does so
    check_before "before_$1"
    config_after 4
    begin_asking
    ask_changed 5000
    print_counts "$1" 2500 5000
    check "$1_old" "$(count old 2500 5000)" 0
    [ "$(count new 4000 5000)" -gt 0 ] || check "$1_served" 0 "over 0"
}

"${CC:-cc}" -std=gnu11 -D_GNU_SOURCE -O2 -shared -fPIC \
    -o "$dir/delay.so" tests/lib/delay_datagrams.c -lpthread -ldl || exit 1

# Guards against a VM that takes its copy of the store for younger than it is
# by the time that gossip travelled, puts its own watch off, and handles
# requests by the old configuration after the bound of 2.5 s.
case_delayed "${CASE:-late_gossip}" "${DELAY_MS:-3500}"
finish
