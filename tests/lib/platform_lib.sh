#!/bin/sh
# shellcheck disable=SC2034,SC2154
# Starts entry VM processes with standin-platform.  Sourced by the platform
# tests, which set b to the build directory before, and PORT to use other ports
# than 27400 and above.

dir=$(mktemp -d)
pids=
port=${PORT:-27400}
store=127.0.0.1:$port
fails=0
vm1=
vm2=
vm3=

stop_all() {
    # shellcheck disable=SC2086
    [ -z "$pids" ] || kill $pids 2>/dev/null
    wait 2>/dev/null
    rm -rf "$dir"
}
trap stop_all EXIT

# settings N ZONE [STORE]: writes the settings file of entry VM N, which listens
# on the ports from port + 100 * N + 1 and uses the store at that IP:PORT.
settings() {
    p=$((port + 100 * $1))
    cat >"$dir/vm$1.ini" <<END
[vm]
id = vm-$1
zone = $2
memory_mb = 160
descriptors = 4096
[zones]
west-a = west
east-a = east
[listen]
requests = 127.0.0.1:$((p + 1))
ready = 127.0.0.1:$((p + 2))
directory = 127.0.0.1:$((p + 3))
peers = 127.0.0.1:$((p + 4))
metrics = 127.0.0.1:$((p + 5))
[store]
address = ${3:-$store}
[bounds]
drain = 2500ms
configuration = 2500ms
stop = 6s
directory_ttl = 2s
max_shift = 0.15
retry_ratio = 0.2
retry_slack = 60
retry_window = 10s
END
}

start_vm() {
    "$b/mimosa-edge" --config "$dir/vm$1.ini" >>"$dir/vm$1.log" 2>&1 &
    eval "vm$1=$!"
    pids="$pids $!"
}

# start_platform: starts the stand-in with the targets u-1 and u-2, and with
# u-3 to u-N in west-a if the variable n_targets is N, and with the further
# options in the variable platform_options.
start_platform() {
    more=${platform_options:-}
    for n in $(seq 3 "${n_targets:-2}"); do
        more="$more --target u-$n,127.0.0.1:$((port + 50 + n)),desk,west-a"
    done
    # shellcheck disable=SC2086
    "$b/standin-platform" --store "$store" \
        --target "u-1,127.0.0.1:$((port + 51)),desk,west-a" \
        --target "u-2,127.0.0.1:$((port + 52)),desk,east-a" $more \
        >"$dir/platform.log" 2>&1 &
    pids="$pids $!"
    wait_for "http://$store/test/runs?0" 200
}

# control PATH [BODY]: sends a PUT control call to the store of the stand-in.
# BODY @FILE is the content of a file, @- that of the standard input, which may
# be larger than an argument of a process.
control() {
    curl -s -o /dev/null -X PUT --data-binary "${2:-}" "http://$store$1"
}

# config VERSION [EXTRA_ROUTE]: stores a configuration with the routes read and
# write, and the extra one, which is JSON behind a comma.  The variables
# body_max (bytes) and idle_ms change its limits; more_services adds services,
# as JSON behind a comma.
config() {
    r='"Timeout":"1500ms","Slo":"400ms","Priority":1,"MaxAttempts":2,"Sticky":true,"HomeRegions":[],"Service":"desk"'
    printf '%s' "{\"Version\":$1,\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/healthz\",\"MaxConns\":360,\"Cold\":\"3s\",\"ColdPerS\":15.0}${more_services:-}],\"Limits\":{\"MaxHeaderBytes\":4096,\"MaxBodyBytes\":${body_max:-100000},\"HeaderTimeout\":\"1000ms\",\"IdleTimeout\":\"${idle_ms:-15000}ms\"},\"Vhosts\":[{\"Host\":\"desk.example\",\"Paths\":[{\"Name\":\"read\",\"PathPrefix\":\"/read/\",\"Kind\":\"idempotent\",$r},{\"Name\":\"write\",\"PathPrefix\":\"/write/\",\"Kind\":\"non_idempotent\",$r}${2:-}]}]}" |
        control '/test/key?op/config' @-
}

# routes N NAME: N routes behind a comma, as config expects them.
routes() {
    seq "$1" | sed "s|.*|,{\"Name\":\"r-&-$2\",\"PathPrefix\":\"/more/$2/&/\",\"Kind\":\"idempotent\",\"Timeout\":\"1500ms\",\"Slo\":\"400ms\",\"Priority\":1,\"MaxAttempts\":2,\"HomeRegions\":[],\"Service\":\"desk\"}|" |
        tr -d '\n'
}

# wait_for URL STATUS: polls the URL every 100 ms until it returns the status;
# counts a failure after 80 polls.
wait_for() {
    for _ in $(seq 80); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' "$1")" = "$2" ] && return
        sleep 0.1
    done
    echo "no $2 from $1"
    fails=$((fails + 1))
}

# ask VM ID PATH [curl options]: sends a request and prints the status, 000 if
# there is no response, and " rc=N" if curl fails with exit status N.
ask() {
    v=$1
    i=$2
    u=$3
    shift 3
    curl -s -o "$dir/body" -D "$dir/head" -w '%{http_code}' \
        -H "Host: desk.example" -H "X-Mimosascale-Attempt-Id: $i" \
        -H "X-Mimosascale-Affinity-Key: $i" \
        -H "X-Mimosascale-Deadline-Ms: 3000" "$@" \
        "http://127.0.0.1:$((port + 100 * v + 1))$u" ||
        printf ' rc=%s' $?
}

# runs ID: prints how often the attempt ran.
runs() {
    curl -s "http://$store/test/runs?$1"
}

# check WHAT GOT WANTED: counts a failure unless both values are equal.
check() {
    if [ "$2" != "$3" ]; then
        echo "FAILED $1: got \"$2\", wanted \"$3\""
        fails=$((fails + 1))
    fi
}

# finish: exits with status 0, or prints the ends of the logs and exits with 1
# if a check failed.
finish() {
    [ "$fails" = 0 ] && exit 0
    tail -n 20 "$dir"/*.log
    exit 1
}

# start_one_vm: starts the stand-in, stores a configuration, and starts VM 1 in
# west-a and waits until it is ready.
start_one_vm() {
    start_platform
    config 3
    settings 1 west-a
    start_vm 1
    wait_for "http://127.0.0.1:$((port + 102))/api/readyz" 200
    sleep 1
}

# start_three_vms: starts the stand-in, stores a configuration, and starts VM 1
# and 3 in west-a and VM 2 in east-a and waits until they are ready.
start_three_vms() {
    start_platform
    config 3
    settings 1 west-a
    settings 2 east-a
    settings 3 west-a
    for n in 1 2 3; do
        start_vm $n
    done
    for n in 1 2 3; do
        wait_for "http://127.0.0.1:$((port + 100 * n + 2))/api/readyz" 200
    done
    sleep 1.2
}

# sched_read PID: prints the wall time in ms, the time for which the process
# has run and that for which it has waited for a processor, both in ns, and its
# major page faults.  Fails when the process has ended.
sched_read() {
    read -r run_ns wait_ns _ <"/proc/$1/schedstat" &&
        read -r _ _ _ _ _ _ _ _ _ _ _ faults _ <"/proc/$1/stat" &&
        echo "$(date +%s%3N) $run_ns $wait_ns $faults"
} 2>/dev/null

# sched_begin NAME PID: begins to sample the processor time of a process.
sched_begin() {
    sched_read "$2" >"$dir/sched-$1-0"
    cp "$dir/sched-$1-0" "$dir/sched-$1-1"
}

# sched_sample NAME PID: fails when the process has ended.
sched_sample() {
    sample=$(sched_read "$2") && echo "$sample" >"$dir/sched-$1-1"
}

# sched_report NAME: prints, from the beginning to the last sample, the time in
# ms, that which the process ran, that which it waited for a processor, and the
# major page faults, during which it does neither.
sched_report() {
    read -r at0 run0 wait0 faults0 <"$dir/sched-$1-0"
    read -r at1 run1 wait1 faults1 <"$dir/sched-$1-1"
    echo "$1_ms=$((at1 - at0)) $1_run_ms=$(((run1 - run0) / 1000000))" \
        "$1_wait_ms=$(((wait1 - wait0) / 1000000))" \
        "$1_faults=$((faults1 - faults0))"
}
