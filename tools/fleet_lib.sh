# Functions for fleets of real processes on loopback; sourced by
# tests/fleet_*.sh and bench/bench_fleet.sh.
# shellcheck shell=sh
# usage: fleet_init BUILD_DIR FIRST_PORT

fleet_key=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f

fleet_init() {
    fb=$1
    fp=$2
    fd=$(mktemp -d "${TMPDIR:-/tmp}/mimosa-fleet.XXXXXX")
    mkdir "$fd/gone"
    fvms=
    ffails=0
    fstore=127.0.0.1:$fp
    trap fleet_end EXIT
    trap 'exit 1' INT TERM
}

# Ends the processes whose ids were written when they were started.
fleet_end() {
    for f_file in "$fd"/*.pid; do
        [ -e "$f_file" ] || continue
        f_pid=$(cat "$f_file")
        kill -CONT "$f_pid" 2>/dev/null
        kill -KILL "$f_pid" 2>/dev/null
    done
    [ -n "${KEEP:-}" ] || rm -rf "$fd"
}

store_start() {
    "$fb/standin-store" --listen "$fstore" --file "$fd/store.data" \
        >>"$fd/store.log" 2>&1 &
    echo $! >"$fd/store.pid"
    f_try=0
    until curl -s -o "$fd/out" "http://$fstore/v1/calls" || [ $f_try = 100 ]; do
        f_try=$((f_try + 1))
        sleep 0.05
    done
}

store_kill() {
    kill -KILL "$(cat "$fd/store.pid")" 2>/dev/null
    rm -f "$fd/store.pid"
}

# vm_add ID ZONE INDEX: writes the settings of a VM.
vm_add() {
    f_at=127.0.0.1:$((fp + 10 + $3))
    fvms="$fvms $1"
    echo "$f_at" >"$fd/$1.address"
    cat >"$fd/$1.ini" <<END
[vm]
id = $1
zone = $2
[listen]
entry = 127.0.0.1:$((fp + 300 + $3))
lookup = 127.0.0.1:$((fp + 600 + $3))
control = $f_at
[store]
address = $fstore
[fleet]
key = $fleet_key
peers = ${fpeers:-127.0.0.1:$((fp + 10));127.0.0.1:$((fp + 11));127.0.0.1:$((fp + 12))}
[log]
level = info
file = $fd/$1.log
END
}

# vm_start ID [OPTION...]
vm_start() {
    f_vm=$1
    shift
    rm -f "$fd/gone/$(cat "$fd/$f_vm.address")"
    "$fb/mimosa-control" --config "$fd/$f_vm.ini" \
        --fault-cut-file "$fd/$f_vm.cut" "$@" >>"$fd/$f_vm.err" 2>&1 &
    echo $! >"$fd/$f_vm.pid"
}

# vm_kill ID: ends the VM's control and, for the probe, its entry.
vm_kill() {
    touch "$fd/gone/$(cat "$fd/$1.address")"
    kill -KILL "$(cat "$fd/$1.pid")" 2>/dev/null
    rm -f "$fd/$1.pid"
}

vm_signal() {
    kill "-$1" "$(cat "$fd/$2.pid")"
}

# vm_list: sets the VM list to all VMs but those named.
vm_list() {
    f_list=
    for f_vm in $fvms; do
        case " $* " in *" $f_vm "*) continue ;; esac
        f_zone=$(sed -n 's/^zone = //p' "$fd/$f_vm.ini")
        f_list="$f_list${f_list:+,}{\"id\":\"$f_vm\",\"zone\":\"$f_zone\",\"state\":\"live\"}"
    done
    curl -s -o "$fd/out" -X PUT -d "{\"vms\":[$f_list]}" \
        "http://$fstore/v1/vms"
}

# probe_start VM...: one snapshot client for each, as an entry has.
probe_start() {
    # shellcheck disable=SC2046
    set -- $(for f_vm in "$@"; do cat "$fd/$f_vm.address"; done)
    "$fb/standin-probe" --key $fleet_key --gone "$fd/gone" "$@" >"$fd/probe.out" \
        2>"$fd/probe.err" &
    echo $! >"$fd/probe.pid"
}

# probe_last VM: newest line of the probe about a VM.
probe_last() {
    grep "^[0-9]" "$fd/probe.out" | grep -F " $(cat "$fd/$1.address") " |
        tail -n 1
}

ctl_ini() {
    cat >"$fd/op.ini" <<END
[store]
address = $fstore
[fleet]
key = $fleet_key
peers = ${1:-127.0.0.1:$((fp + 10))}
END
}

ctl() {
    MIMOSA_CONFIG=$fd/op.ini "$fb/mimosactl" --config "$fd/op.ini" "$@" \
        >"$fd/ctl.out" 2>&1
}

# status VM: text of STATUS.
status() {
    ctl_ini "$(cat "$fd/$1.address")"
    ctl status
    cat "$fd/ctl.out"
}

# fleet_manifest ZONES TARGETS_PER_ZONE SLOTS: a manifest, two zones a region.
fleet_manifest() {
    echo "[manifest]
owner = test
zone_latency_ms = 1
[rank urgent]
worth = 10
deadline_ms = 500
floor = 0.2
[service desk]
class = idempotent
shift_cap = 0.2
shift_interval_ms = 5000
warmup_ms = 1000
service_ms = 15
retry_ratio = 0.1"
    f_i=0
    while [ $f_i -lt "$1" ]; do
        f_r=$((f_i / 2))
        [ $((f_i % 2)) = 1 ] || echo "[region r$f_r]"
        echo "[zone z$f_i]
region = r$f_r
blocks = 127.0.$((f_i + 1)).0/24"
        f_k=0
        while [ $f_k -lt "$2" ]; do
            echo "[target t$f_i-$f_k]
service = desk
zone = z$f_i
address = 127.0.0.1:$((30000 + f_i * 100 + f_k))
slots = $3
connections = 64"
            f_k=$((f_k + 1))
        done
        f_i=$((f_i + 1))
    done
}

# Names that start with "f_" belong to these functions.
# wait_for SECONDS COMMAND...: true once the command is.
wait_for() {
    f_left=$(($1 * 10))
    shift
    while [ $f_left -gt 0 ]; do
        "$@" && return 0
        f_left=$((f_left - 1))
        sleep 0.1
    done
    return 1
}

# all_show WORD VM...: every named VM's newest probe line holds the word.
all_show() {
    f_word=$1
    shift
    for f_vm in "$@"; do
        probe_last "$f_vm" | grep -q -- " $f_word\( \|$\)" || return 1
    done
}

# check NAME COMMAND...: prints ok or FAIL and counts.
check() {
    f_name=$1
    shift
    if "$@"; then
        echo "ok   $f_name"
    else
        echo "FAIL $f_name"
        ffails=$((ffails + 1))
    fi
}

no_line() {
    ! grep -q "$1" "$2"
}
