#!/bin/sh
# A request that crashes each upstream that runs it, sent to three entry VM
# processes.  usage: platform_crash.sh BUILD_DIR
set -u
b=$1
n_targets=8
. tests/lib/platform_lib.sh

# bad VM ID: sends the request that crashes upstreams; prints the status.
bad() {
    curl -s -o "$dir/body" -w '%{http_code}' -H "Host: desk.example" \
        -H "X-Mimosascale-Attempt-Id: $2" -H "X-Mimosascale-Affinity-Key: bad" \
        -H "X-Mimosascale-Deadline-Ms: 3000" \
        "http://127.0.0.1:$((port + 100 * $1 + 1))/read/x/crash"
}

crashes() {
    curl -s "http://$store/test/crashes"
}

start_three_vms

# Guards against a request that crashes an upstream at one VM after the other.
check first "$(bad 1 a1)" 502
check second "$(bad 2 a2)" 502
sleep 1
before=$(crashes)
check crashed "$([ "$before" -ge 3 ] && echo yes || echo "$before")" yes
for i in 1 2 3 4; do
    for v in 1 2 3; do
        check "refused_$v$i" "$(bad $v "b$v$i") $(cat "$dir/body")" "503 crashes_upstreams"
    done
done
check no_more_crashes "$(crashes)" "$before"

# Guards against a VM that starts later and does not know of the verdict.
kill "$vm3"
wait "$vm3" 2>/dev/null
start_vm 3
wait_for "http://127.0.0.1:$((port + 302))/api/readyz" 200
sleep 4
check after_start "$(bad 3 c1)" 503

# Guards against refusing other requests for the same path or object.
check other_object "$(ask 1 d1 /read/x/ok)" 200
check other_path "$(ask 2 bad /read/x/ok)" 200

# Guards against a step of the request that the logs do not show.
for event in answer_lost confirmed_ sent verdict_reached; do
    check "log_$event" "$(cat "$dir"/vm*.log | grep -c "part=crash event=$event" | sed 's/^[1-9][0-9]*$/some/')" some
done
check log_verdict_received "$(grep -l 'event=verdict_re' "$dir"/vm*.log | wc -l)" 3
finish
