#!/bin/bash
# A target leaves: it says so in its answers, and the store accepts its report.
# Counts the requests that reach it, from VMs whose callers send them later
# than Drain after the ack.  Exit status: 1 the rule was broken, 0 it held, 2
# the case could not run.
# SAYS=0: the target leaves by its report alone, for comparison.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
record=$here/record.txt
. review/lib.sh

drain_ms=2500
keys="k1 k2 k3 k4 k5 k6 k7 k8 k9 k10 k11 k12"

start_platform t-1,atl-a t-2,atl-a t-3,atl-a t-4,sav-a
config 3
for n in 1 2 3 4; do
    settings $n "$([ $n = 4 ] && echo sav-a || echo atl-a)"
    start_vm $n
done
for n in 1 2 3 4; do
    wait_ready $n
done
note "4 VMs are ready; waiting for longer than Touch (4000 ms)"
sleep 5

# The VM that watches the store for its region sends what it reads to the
# others.  Its callers are the busy ones here.
for n in 1 2 3; do
    before[n]=$(metric $n edge_news_sent_total)
done
sleep 2
busy=
for n in 1 2 3; do
    if [ "$(metric $n edge_news_sent_total)" -gt "${before[n]}" ]; then
        busy=$n
    fi
done
[ -n "$busy" ] || cannot_run "no VM of atl-a watches the store"
note "VM $busy watches the store for its zone; its callers send requests"

# ask_in_turn ROUND: the callers of the busy VM send one request a key.
ask_in_turn() {
    for k in $keys; do
        s=$(ask "$busy" "$1-$k" /write/x/ok)
        note "VM $busy: sent $1-$k, answered $s"
    done
}

ask_in_turn before
seen=$(count "arrived?t-1")
note "t-1 has got $seen requests"
[ "$seen" -gt 0 ] || cannot_run "t-1 is not in use"

if [ "$TROUBLE" = 1 ]; then
    [ "${SAYS:-1}" = 1 ] && control "/test/leaving?t-1"
    note "t-1 begins to leave"
fi
ask_in_turn leaving
if [ "$TROUBLE" = 1 ]; then
    target t-1 $((port + 900)) index-desk atl-a draining 9 ||
        cannot_run "no ack of the report"
    note "the store has acknowledged the report of t-1"
fi

sleep $((drain_ms / 1000 + 2))
seen=$(count "arrived?t-1")
late=0
for n in 1 2 3 4; do
    from=$(count "arrived?t-1")
    asked=()
    note "VM $n: its callers send one request a key"
    for k in $keys; do
        ask $n "late$n-$k" /write/x/ok >"$dir/late$n-$k" &
        asked+=($!)
    done
    wait "${asked[@]}"
    for k in $keys; do
        note "VM $n: sent late$n-$k, answered $(cat "$dir/late$n-$k"), runs $(count "runs?late$n-$k")"
    done
    here_late=$(($(count "arrived?t-1") - from))
    note "VM $n: $here_late of these requests reached t-1"
    late=$((late + here_late))
done
if [ "$TROUBLE" != 1 ]; then
    note "held: t-1 has not left; $late requests reached it"
    [ "$late" -gt 0 ] || cannot_run "t-1 is not in use"
    exit 0
fi
if [ "$late" -gt 0 ]; then
    note "BROKEN: $late requests reached t-1 over $((drain_ms + 1500)) ms after the ack"
    exit 1
fi
note "held: no request reached t-1"
