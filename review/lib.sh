#!/bin/bash
# Shared by the scripts of the cases: starts entry VMs with the command of the
# deploy file against standin-platform, and sends requests with the shell's own
# sockets.  Sourced in the repository's root with "here" set to the folder of
# the case and "record" to its record.
# shellcheck disable=SC2154

TROUBLE=${TROUBLE:-1}
dir=$(mktemp -d)
: >"$record"

# Ends what this script has started, by process id.
stop_all() {
    for f in "$dir"/*.pid; do
        [ -s "$f" ] && kill -KILL "$(cat "$f")"
    done 2>/dev/null
    wait 2>/dev/null
    rm -rf "$dir"
} 2>/dev/null
trap stop_all EXIT

now_ms() {
    date +%s%3N
}

start_ms=$(now_ms)

# note TEXT...: writes a line with the time since the start to the record.
note() {
    printf '%7d ms  %s\n' $(($(now_ms) - start_ms)) "$*" | tee -a "$record"
}

# cannot_run TEXT...: ends the script because the case could not run.
cannot_run() {
    note "could not run: $*"
    cp "$dir"/*.log "$here"/ 2>/dev/null
    exit 2
}

# ports_used: prints the local ports of all sockets of the machine.
ports_used() {
    cat /proc/net/tcp /proc/net/udp | while read -r _ local _; do
        case $local in
        *:*) echo $((16#${local#*:})) ;;
        esac
    done
}

# Finds a block of 1,000 ports of which none is in use.
find_ports() {
    for _ in $(seq 50); do
        port=$((10000 + RANDOM % 8 * 1000))
        if ! ports_used | awk -v p="$port" \
            '$1 >= p && $1 < p + 1000 { n++ } END { exit n == 0 }'; then
            return
        fi
    done
    cannot_run "no free ports"
}
find_ports
store=$port

# http PORT METHOD PATH BODY [HEADER]...: sends a request on a connection of
# its own and prints the answer; nothing if there is none within 10 s.
http() {
    local p=$1 method=$2 path=$3 body=$4
    shift 4
    {
        exec 3<>"/dev/tcp/127.0.0.1/$p" || return 1
        {
            printf '%s %s HTTP/1.1\r\nConnection: close\r\n' "$method" "$path"
            for h in "$@"; do
                printf '%s\r\n' "$h"
            done
            printf 'Content-Length: %d\r\n\r\n%s' ${#body} "$body"
        } >&3
        timeout 10 cat <&3
        exec 3>&-
    } 2>/dev/null
}

# body: prints the body of the answer on the standard input.
body() {
    tr -d '\r' | sed '1,/^$/d'
}

# control PATH [BODY]: a call that changes the stand-in; fails unless it is
# answered, which for a key is the ack of the store.
control() {
    http "$store" PUT "$1" "${2:-}" | grep -q '^HTTP/1.1 200'
}

# count WHAT: asks the stand-in for a count.
count() {
    http "$store" GET "/test/$1" "" | body
}

# target ID PORT SERVICE ZONE STATE SEQ: writes the entry of a target.
target() {
    control "/test/key?servers/$1" "{\"Service\":\"$3\",\"Addr\":\"127.0.0.1:$2\",\"Zone\":\"$4\",\"Version\":\"1\",\"Slots\":4,\"State\":\"$5\",\"ColdLeft\":\"0ms\",\"Seq\":$6,\"born\":1}"
}

# settings N ZONE: writes the settings of entry VM N as deploy/edge.ini says,
# with the bounds of the site ptla-global.
settings() {
    local p=$((port + 20 * $1))
    cat >"$dir/vm$1.ini" <<EOF
[vm]
id = vm-$1
zone = $2
memory_mb = 260
descriptors = 4100
[zones]
atl-a = atl
sav-a = sav
[listen]
requests = 127.0.0.1:$((p + 1))
ready = 127.0.0.1:$((p + 2))
directory = 127.0.0.1:$((p + 3))
peers = 127.0.0.1:$((p + 4))
metrics = 127.0.0.1:$((p + 5))
[store]
address = 127.0.0.1:$store
[bounds]
drain = 2500ms
configuration = 2500ms
stop = 6s
directory_ttl = 2s
max_shift = 0.15
retry_ratio = 0.2
retry_slack = 60
retry_window = 10s
EOF
}

# start_vm N: starts entry VM N with the command of the deploy file.
start_vm() {
    target/mimosa-edge --config "$dir/vm$1.ini" >>"$dir/vm$1.log" 2>&1 &
    echo $! >"$dir/vm$1.pid"
}

# end_vm N: kills entry VM N.
end_vm() {
    kill -KILL "$(cat "$dir/vm$1.pid")"
    wait "$(cat "$dir/vm$1.pid")" 2>/dev/null
    rm "$dir/vm$1.pid"
}

# wait_ready N: waits until the platform's check finds entry VM N ready.
wait_ready() {
    for _ in $(seq 100); do
        http $((port + 20 * $1 + 2)) GET /api/readyz "" |
            grep -q '^HTTP/1.1 200' && return
        sleep 0.1
    done
    cannot_run "VM $1 is not ready"
}

# start_platform TARGET...: starts the stand-in; a target is ID,ZONE and
# listens on port + 900 and following.
start_platform() {
    local args=() n=0
    for t in "$@"; do
        args+=(--target "${t%,*},127.0.0.1:$((port + 900 + n)),index-desk,${t#*,}")
        n=$((n + 1))
    done
    target/standin-platform --store "127.0.0.1:$store" "${args[@]}" \
        >"$dir/platform.log" 2>&1 &
    echo $! >"$dir/platform.pid"
    for _ in $(seq 50); do
        [ -n "$(count "runs?0")" ] && return
        sleep 0.1
    done
    cannot_run "the stand-in does not answer"
}

# config VERSION: stores a configuration with one route for reads and one for
# writes, with the limits that "fleetbench wire" shows.
config() {
    local r='"Timeout":"2500ms","Slo":"400ms","Priority":1,"MaxAttempts":2,"Sticky":true,"HomeRegions":[],"Service":"index-desk"'
    control "/test/key?op/config" "{\"Version\":$1,\"Services\":[{\"Name\":\"index-desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Cold\":\"3s\",\"ColdPerS\":15.0}],\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"},\"Vhosts\":[{\"Host\":\"desk.example\",\"Paths\":[{\"Name\":\"read\",\"PathPrefix\":\"/read/\",\"Kind\":\"idempotent\",$r},{\"Name\":\"write\",\"PathPrefix\":\"/write/\",\"Kind\":\"non_idempotent\",$r}]}]}"
}

# ask N ID PATH: sends a request to entry VM N and prints the status.
ask() {
    http $((port + 20 * $1 + 1)) POST "$3" "" "Host: desk.example" \
        "X-Mimosascale-Attempt-Id: $2" "X-Mimosascale-Affinity-Key: $2" \
        "X-Mimosascale-Deadline-Ms: 2500" | awk 'NR == 1 { print $2 }'
}

# metric N NAME: prints a counter of entry VM N.
metric() {
    http $((port + 20 * $1 + 5)) GET /metrics "" | body |
        awk -v n="$2" '$1 == n { print $2 }'
}
