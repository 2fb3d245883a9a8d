#!/bin/sh
# A VM that takes its copy of the store for current, though it lacks changes.
# usage: platform_behind.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-26400}
. tests/lib/platform_lib.sh
. tests/lib/drain_lib.sh

now_ms() {
    date +%s%3N
}

# asked: prints the number of lists of the operator's keys that VM 1 has asked
# for because of other VMs.
asked() {
    grep -c 'part=config event=behind ' "$dir/vm1.log"
}

metric() {
    curl -s "http://127.0.0.1:$((port + 105))/metrics" | sed -n "s/^$1 //p"
}

start_platform
config 3
settings 1 west-a
settings 2 east-a
start_vm 1
start_vm 2
for n in 1 2; do
    wait_for "http://127.0.0.1:$((port + 100 * n + 2))/api/readyz" 200
done
sleep 1.2
check asked_before "$(asked)" 0
list_vm9
# VM 1 takes the change that follows for one that it has: a position above the
# store's revision would be seen in the answer of its next watch.
"$b/standin-peer" --to "127.0.0.1:$((port + 104))" vm-9 1 0 0 $(($(revision) + 1))
config 4 "$(routes 1 new)"
stored_ms=$(now_ms)
status=
n=0
while [ "$status" != 200 ] && [ "$n" -lt 60 ]; do
    n=$((n + 1))
    status=$(ask 1 "n$n" /more/new/1/x/ok)
    took_ms=$(($(now_ms) - stored_ms))
    sleep 0.1
done
echo "status=$status took_ms=$took_ms"

# Guards against a VM that believes empty answers of its watches for good, and
# uses old routes while other VMs use the newest.
check new_route "$status" 200
[ "$took_ms" -le 2500 ] || check took_ms "$took_ms" "at most 2500"
check asked "$(asked)" 1
check behind "$(sed -n 's/.* part=config event=behind own_version=\([0-9]*\) .* heard_version=\([0-9]*\) .* from=\([^ ]*\) .*/\1 \2 \3/p' "$dir/vm1.log")" "3 4 vm-2"

# The next one comes by the watch: the position is that of the store again.
sleep 1
config 5 "$(routes 1 next)"
sleep 2.5
check next_route "$(ask 1 next /more/next/1/x/ok)" 200
check asked_again "$(asked)" 1

# Guards against a VM that calls the store for ever, because others claim a
# revision that the store does not have.
"$b/standin-peer" --beat "127.0.0.1:$((port + 104))" vm-9 1 2000000 9 &
pids="$pids $!"
sleep 8
check asks "$(metric edge_heard_asks_total)" 2
check refuted "$(metric edge_heard_refuted_total)" 1
check refuted_line "$(sed -n 's/.* event=heard_refuted .* heard_version=\([0-9]*\) heard_rev=\([0-9]*\) from=\(.*\)/\1 \2 \3/p' "$dir/vm1.log")" "9 2000000 vm-9"
check still_in_force "$(ask 1 last /more/next/1/x/ok)" 200
finish
