#!/bin/sh
# Faulty targets that send bodies without end to callers that read slowly or
# not at all, one wave of requests after the other while the callers of earlier
# waves still hold their connections.
# usage: platform_endless_slow.sh BUILD_DIR
set -u
b=$1
PORT=${PORT:-28600}
. tests/lib/platform_lib.sh
. tests/lib/endless_lib.sh

# The VM may use a quarter of its memory_mb, 160 MB, for buffers.  The rest is
# for the program itself, which holds 3 MB when it is calm.
max_kb=$((160 * 1024 / 4 + 8192))
waves=12
callers=20 # in a wave: half of what the targets take at a time
hold_s=40  # longer than the test

# rss_anon PID: prints the memory of a process without its files, in KB.
rss_anon() {
    sed -n 's/^RssAnon:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"
}

# wave KIND RATE: starts callers whose response has no end and that read RATE
# bytes per second; after the first bytes, 1 is hardly different from none.
wave() {
    for _ in $(seq $callers); do
        n=$((n + 1))
        curl -s -o /dev/null --limit-rate "$2" -m $hold_s \
            -H "Host: desk.example" -H "X-Mimosascale-Attempt-Id: e$n" \
            -H "X-Mimosascale-Affinity-Key: e$n" \
            -H "X-Mimosascale-Deadline-Ms: 3000" \
            "http://127.0.0.1:$((port + 101))/write/x/endless$1" &
        pids="$pids $!"
    done
}

n_targets=6
start_one_vm
n=0
most=0
neighbours_begin
for w in $(seq $waves); do
    case $((w % 3)) in
    0) wave own 1 ;;
    1) wave close 1 ;;
    2) wave long 20000 ;;
    esac
    sleep 1.8 # longer than the timeout of the route, which ends these
    now=$(rss_anon "$vm1")
    [ "${now:-$max_kb}" -gt "$most" ] && most=${now:-$max_kb}
done
# Guards against requests of other callers that are refused for want of buffer
# memory, which responses nobody reads keep until the idle limit.
neighbours_end "$n callers that read slowly"
check_none_open "$n callers that read slowly"
check "requests refused for memory" \
    "$(grep -c 'no buffer memory' "$dir/vm1.log")" 0
# Guards against a VM that buffers such responses without a limit.
echo "most memory $most KB"
[ "$most" -lt $max_kb ] || check memory "$most KB" "under $max_kb KB"
finish
