#!/bin/sh
# Targets that announce in their answers that they leave, or that refuse with
# Retry-After.
# usage: platform_notice.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-31400}
. tests/lib/platform_lib.sh

arrived() {
    curl -s "http://$store/test/arrived?$1"
}

# ask_all PREFIX: sends one request for each of the keys that both targets
# share; prints the number of those that got status 200.
ask_all() {
    n=0
    for k in 1 2 3 4 5 6 7 8; do
        [ "$(ask 1 "$1$k" /write/x/ok)" = 200 ] && n=$((n + 1))
    done
    echo $n
}

# report ID PORT BORN: writes the entry of a target, as ready.
report() {
    control "/test/key?servers/$1" "{\"Service\":\"desk\",\"Addr\":\"127.0.0.1:$2\",\"Zone\":\"west-a\",\"Slots\":4,\"State\":\"ready\",\"ColdLeft\":\"0ms\",\"Seq\":9,\"born\":$3}"
}

start_one_vm
check before "$(ask_all a)" 8
[ "$(arrived u-1)" -gt 0 ] || check both_in_use "$(arrived u-1)" "over 0"

# Guards against requests to a target that has said in an answer that it
# leaves, while discovery is silent.
control '/test/mode?silent'
control '/test/leaving?u-1'
check announced "$(ask_all b)" 8
seen=$(arrived u-1)
check after_notice "$(ask_all c)" 8
check after_notice_arrived "$(arrived u-1)" "$seen"
sleep 0.5 # log lines are written every 250 ms
check notices "$(grep -c 'id=u-1 event=said_leaving' "$dir/vm1.log")" 1

# Guards against a notice that is lost by a resync, by a report that still
# calls the target ready, or with the target's entry.
control '/test/mode?forget'
sleep 2
report u-1 $((port + 51)) 1
sleep 1
check resync "$(ask_all d)" 8
check resync_arrived "$(arrived u-1)" "$seen"
control '/test/delete?servers/u-1'
sleep 3
report u-1 $((port + 51)) 1
sleep 1
check entry_again "$(ask_all e)" 8
check entry_again_arrived "$(arrived u-1)" "$seen"

# Guards against a target that is not used after it has restarted under its id.
control '/test/well?u-1'
report u-1 $((port + 51)) 2
sleep 1.5
check restarted "$(ask_all f)" 8
[ "$(arrived u-1)" -gt "$seen" ] || check restarted_used "$(arrived u-1)" "over $seen"

# Guards against more than two requests to a target that asked for a wait, and
# against one that stays unused after it.
control '/test/busy?u-1' 3
seen=$(arrived u-1)
check busy "$(ask_all g)" 8
sleep 0.5
check busy_again "$(ask_all h) $(ask_all i)" "8 8"
[ $(($(arrived u-1) - seen)) -le 3 ] || check busy_arrived "$(($(arrived u-1) - seen))" "at most 3"
control '/test/well?u-1'
sleep 3
seen=$(arrived u-1)
check wait_over "$(ask_all j)" 8
[ "$(arrived u-1)" -gt "$seen" ] || check wait_over_used "$(arrived u-1)" "over $seen"

# Guards against requests that are held or sent while all targets ask for a
# wait: the refusal comes at once and names the time that is left.
control '/test/busy?u-1' 2.5
control '/test/busy?u-2' 4
for k in 1 2 3 4 5 6 7 8; do ask 1 "k$k" /write/x/ok >/dev/null; done
seen=$(($(arrived u-1) + $(arrived u-2)))
check all_busy "$(ask 1 l1 /write/x/ok -w '%{http_code} %{time_total}' | sed 's/ 0\.[01].*/ at once/')" "503 at once"
check all_busy_retry "$(tr -d '\r' <"$dir/head" | grep -ci '^retry-after: [123]\.')" 1
check all_busy_arrived "$(($(arrived u-1) + $(arrived u-2)))" "$seen"

# Guards against a target that asks ten VMs for a wait and gets more than two
# requests from one of them, or is never asked again by one.
control '/test/well?u-1'
control '/test/well?u-2'
for v in 2 3 4 5 6 7 8 9 10; do
    settings $v west-a
    start_vm $v
done
for v in 2 3 4 5 6 7 8 9 10; do
    wait_for "http://127.0.0.1:$((port + 100 * v + 2))/api/readyz" 200
done
sleep 4.5 # until the waits that VM 1 was asked for are over
control '/test/busy?u-1' 4
seen=$(arrived u-1)
asked=
for v in 1 2 3 4 5 6 7 8 9 10; do
    for k in 1 2 3 4 5 6 7 8 1 2 3 4 5 6 7 8; do
        ask $v "m$v-$k" /write/x/ok
        echo
    done >"$dir/ten-$v" &
    asked="$asked $!"
done
# shellcheck disable=SC2086
wait $asked
check ten_served "$(cat "$dir"/ten-* | grep -c 200)" 160
[ $(($(arrived u-1) - seen)) -le 30 ] || check ten_arrived "$(($(arrived u-1) - seen))" "at most 30"
[ $(($(arrived u-1) - seen)) -ge 10 ] || check ten_asked "$(($(arrived u-1) - seen))" "10 or more"
finish
