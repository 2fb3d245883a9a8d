#!/bin/sh
# Requests through three entry VM processes to targets of standin-platform.
# Checks for each behaviour of a target which response the caller gets and how
# often the request ran; then configuration changes, drains, store failures and
# a graceful stop.
# usage: platform_path.sh BUILD_DIR
set -u
b=$1
. tests/lib/platform_lib.sh

start_three_vms

# Guards against responses that lose their status, body or seal, and against
# request bodies that are not forwarded.
check ok "$(ask 1 a1 /read/x/ok)" 200
check body "$(cat "$dir/body")" "done a1"
check seal "$(grep -ci 'reply-seal: seal-a1' "$dir/head")" 1
check body_in "$(ask 1 a2 /write/x/ok -d hello)" 200
check chunks "$(ask 1 a3 /write/x/ok -H 'Transfer-Encoding: chunked' -d hi)" 200
check large "$(ask 1 a4 /read/x/large) $(wc -c <"$dir/body")" "200 716800"

# Guards against a 404 for an existing route, and against forwarding requests
# that match no route or carry no attempt id.
check no_route "$(ask 1 b1 /none/x/ok)" 404
check no_id "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: desk.example' "http://127.0.0.1:$((port + 101))/read/x/ok")" 400

# Guards against a caller that gets the response to another request, against a
# truncated response that is passed on as complete, and against a second run of
# a non-idempotent request.  Targets send responses to other attempts, truncate
# responses or abort connections.
check other_id "$(ask 1 c1 /read/x/otherid) $(cat "$dir/body")" "200 def"
check extra "$(ask 1 c2 /read/x/extra) $(cat "$dir/body")" "200 abc"
check after_extra "$(ask 1 c3 /read/x/ok) $(cat "$dir/body")" "200 done c3"
check cut_write "$(ask 1 d1 /write/x/cut) $(runs d1)" "502 1"
check chunk_write "$(ask 1 d2 /write/x/cutchunk) $(runs d2)" "502 1"
check lost_write "$(ask 1 d3 /write/x/lost) $(runs d3)" "502 1"
check reset_write "$(ask 1 d4 /write/x/reset) $(runs d4)" "502 0"
check garble_write "$(ask 1 d5 /write/x/garble)" 502
check lost_read "$(ask 1 d6 /read/x/lost) $(runs d6)" "502 2"
check notrun_write "$(ask 1 d7 /write/x/notrun) $(runs d7)" "503 0"
check notrun_retry "$(grep -ci '^retry-after: 0\.' "$dir/head")" 1
check misdirected "$(ask 1 d8 /write/x/misdirected) $(runs d8)" "503 0"

# Guards against "not run" for a request that ran, or a second run of it, when
# a target repeats an earlier refusal on a connection in use.
check old_refusal "$(ask 1 d9 /write/x/oldrefusal) $(cat "$dir/body") $(runs d9)" "200 def 1"
check after_old_refusal "$(ask 1 d10 /write/x/ok) $(cat "$dir/body")" "200 done d10"

# Guards against a complete response made of one that ended within its head.
check cut_head_write "$(ask 1 d11 /write/x/cuthead) $(runs d11)" "502 1"
check cut_head_read "$(ask 1 d12 /read/x/cuthead) $(runs d12)" "502 2"

# Guards against a request that still runs after its caller has disconnected.
check left "$(ask 1 e1 /write/x/slow -m 0.3)" "000 rc=28"
sleep 1.2
check left_runs "$(runs e1)" 0
check slow "$(ask 1 e2 /write/x/slow)" 200

# Guards against accepting headers and bodies that exceed the limits of the
# configuration.
big=$(printf '%05000d' 0)
check big_head "$(ask 1 f1 /read/x/ok -H "A: $big")" 431
head -c 200000 /dev/zero >"$dir/zeros"
check big_body "$(ask 1 f2 /write/x/ok -H Expect: --data-binary "@$dir/zeros")" 413

# Guards against a directory that omits a live VM or returns one of another
# zone before that of the caller's own zone.
dir_url="http://127.0.0.1:$((port + 103))/api/resolve?Name=desk.example"
check near "$(curl -s "$dir_url&Region=east&Zone=east-a" | grep -o '127[0-9.:]*' | head -1)" "127.0.0.1:$((port + 201))"

# Guards against a new configuration that is not in use after 2 s, and against
# a VM that reverts to an older version stored later.
config 5 ',{"Name":"new","PathPrefix":"/new/","Kind":"idempotent","Timeout":"1s","Slo":"400ms","Priority":1,"MaxAttempts":1,"Sticky":false,"HomeRegions":[],"Service":"desk"}'
sleep 2
check new_route "$(ask 1 g1 /new/x/ok) $(ask 2 g2 /new/x/ok)" "200 200"
config 4
sleep 2
check no_way_back "$(ask 1 g3 /new/x/ok)" 200

# Guards against requests that are sent to a drained zone.
control '/test/key?op/evacuate/west-a' '{}'
sleep 1.5
for i in 1 2 3 4 5 6; do ask 1 "h$i" /read/x/ok >/dev/null; done
check drained "$(grep -c 'id=h[0-9].*upstream=u-1' "$dir/vm1.log")" 0
control '/test/delete?op/evacuate/west-a'

# Guards against all VMs of a region watching the store at the same time
# instead of deferring their watches, and against a VM that misses a change
# because it relies on the gossip of a suspended VM.
metric() {
    curl -s "http://127.0.0.1:$((port + 100 * $1 + 5))/metrics" | sed -n "s/^$2 //p"
}
put_off=$(($(metric 1 edge_watches_put_off_total) + $(metric 3 edge_watches_put_off_total)))
check watches_put_off "$([ "$put_off" -ge 4 ] && echo yes || echo "$put_off")" yes
# drained_alone STOPPED_PID VM: suspends the process, evacuates west-a and
# checks that the VM logs the drain.
drained_alone() {
    still=$1
    v=$2
    kill -STOP "$still"
    seen=$(grep -c 'id=west-a event=drained' "$dir/vm$v.log")
    control '/test/key?op/evacuate/west-a' '{}'
    sleep 2.3
    check "drained_alone_$v" "$(($(grep -c 'id=west-a event=drained' "$dir/vm$v.log") - seen))" 1
    control '/test/delete?op/evacuate/west-a'
    kill -CONT "$still"
    sleep 1.5
}
drained_alone "$vm1" 3
drained_alone "$vm3" 1

# Guards against requests that fail while the store does not serve: it responds
# 503 (busy) or 429 (refuse), does not respond (silent), or responds 410 to a
# watch because the requested revisions are dropped (forget).
for mode in busy refuse silent; do
    control "/test/mode?$mode"
    sleep 1.5
    check "store_$mode" "$(ask 1 "i$mode" /read/x/ok)" 200
done
control '/test/mode?forget'
sleep 1.5
control '/test/mode?ok'
check store_forgot "$(ask 1 i9 /read/x/ok)" 200

# Guards against malformed entries, stored by other writers, that prevent the
# VM from reading the valid ones.
control '/test/key?servers/odd1' 'not json'
control '/test/key?servers/odd2' '{"Service":7}'
sleep 1.5
check odd_entries "$(ask 1 j1 /read/x/ok)" 200
check odd_logged "$(grep -c 'id=odd[12] event=unreadable' "$dir/vm1.log")" 2

# Guards against a graceful stop that aborts a request in progress, and against
# a directory that still lists the VM that is shutting down.
ask 2 k1 /write/x/slow >"$dir/k1" &
slow=$!
sleep 0.3
kill -TERM "$vm2"
wait "$slow"
check stop_answer "$(cat "$dir/k1")" 200
check stop_ready "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((port + 202))/api/readyz")" 503
sleep 1.5
check stop_named "$(curl -s "$dir_url&Region=east&Zone=east-a" | grep -c ":$((port + 201))")" 0
wait "$vm2"
check stop_code $? 0

# Guards against failed requests that are missing from the log or the metrics.
sleep 0.6
check logged "$(grep -c 'id=d3 event=upstream_failed status=502' "$dir/vm1.log")" 1
check metrics "$(curl -s "http://127.0.0.1:$((port + 105))/metrics" | grep -c '^edge_requests_failed_total [1-9]')" 1
finish
