# shellcheck shell=sh
# Functions that start a fleet of two zones on loopback with stand-ins, for
# demo.sh and tests; sourced, not run.
#   fleet_start BUILD_DIR BASE   ports BASE to BASE + 99; BASE is 24x00
#   fleet_stop                   ends what was started, by process id
# VMs: north-1 north-2 south-1 south-2, numbered 0 to 3; VM i listens at
# BASE + 4 i + 1 (entry), + 2 (lookup), + 3 (control), + 4 (admin).

fleet_vms="north-1 north-2 south-1 south-2"

# fleet_spawn NAME PROGRAM ARGS...: starts a program and remembers its id.
fleet_spawn() {
    name=$1
    shift
    "$@" >>"$fleet_dir/$name.log" 2>&1 &
    echo $! >"$fleet_dir/$name.pid"
}

# fleet_port VM PART: port of entry, lookup, control or admin.
fleet_port() {
    i=0
    for v in $fleet_vms; do
        [ "$v" = "$1" ] && break
        i=$((i + 1))
    done
    case $2 in
    entry) o=1 ;;
    lookup) o=2 ;;
    control) o=3 ;;
    *) o=4 ;;
    esac
    echo $((fleet_base + 4 * i + o))
}

# fleet_list PART: addresses of that part of all VMs, separated by commas.
fleet_list() {
    l=
    for v in $fleet_vms; do
        l="$l${l:+,}127.0.0.1:$(fleet_port "$v" "$1")"
    done
    echo "$l"
}

fleet_settings() {
    peers=$(fleet_list control | tr , ';')
    for v in $fleet_vms; do
        cat >"$fleet_dir/$v.ini" <<EOF
[vm]
id = $v
zone = ${v%-*}-a
[listen]
entry = 127.0.0.1:$(fleet_port "$v" entry)
lookup = 127.0.0.1:$(fleet_port "$v" lookup)
control = 127.0.0.1:$(fleet_port "$v" control)
admin = 127.0.0.1:$(fleet_port "$v" admin)
[store]
address = 127.0.0.1:$fleet_base
[fleet]
key = $fleet_key
peers = $peers
[log]
level = info
EOF
    done
    cat >"$fleet_dir/operator.ini" <<EOF
[store]
address = 127.0.0.1:$fleet_base
[fleet]
key = $fleet_key
peers = $peers
EOF
}

# fleet_vm VM [PART]: starts the programs of a VM, or one of them.
fleet_vm() {
    for p in ${2:-control entry lookup}; do
        fleet_spawn "$1.$p" "$fleet_b/mimosa-$p" --config "$fleet_dir/$1.ini"
    done
}

# fleet_upstream TARGET PORT SLOTS SERVICE_MS
fleet_upstream() {
    fleet_spawn "up.$1" "$fleet_b/standin-upstream" --listen "127.0.0.1:$2" \
        --slots "$3" --service-ms "$4" --seed "$2"
}

fleet_upstreams() {
    fleet_ups=
    p=$((fleet_base + 70))
    for z in north south; do
        for s in desk-1:6:15 desk-2:6:15 post-1:4:20 post-2:4:20; do
            t=${s%%:*}
            r=${s#*:}
            fleet_upstream "${t%-*}-$z-${t#*-}" $p "${r%:*}" "${r#*:}"
            fleet_ups="$fleet_ups${fleet_ups:+,}127.0.0.1:$p"
            p=$((p + 1))
        done
    done
}

fleet_ctl() {
    "$fleet_b/mimosactl" --config "$fleet_dir/operator.ini" "$@"
}

fleet_start() {
    fleet_b=$1
    fleet_base=$2
    fleet_dir=$(mktemp -d /tmp/mimosa-fleet.XXXXXX)
    fleet_key=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
    sed "s/127\.0\.0\.1:245/127.0.0.1:$((fleet_base / 100))/" \
        examples/demo.ini >"$fleet_dir/manifest.ini"
    fleet_settings
    fleet_spawn store "$fleet_b/standin-store" --listen "127.0.0.1:$fleet_base"
    fleet_upstreams
    i=0
    until curl -s -o "$fleet_dir/vms.out" -X PUT -d '{"vms":[
        {"id":"north-1","zone":"north-a","state":"live"},
        {"id":"north-2","zone":"north-a","state":"live"},
        {"id":"south-1","zone":"south-a","state":"live"},
        {"id":"south-2","zone":"south-a","state":"live"}]}' \
        "http://127.0.0.1:$fleet_base/v1/vms" || [ $i = 50 ]; do
        i=$((i + 1))
        sleep 0.1
    done
    for v in $fleet_vms; do
        fleet_vm "$v"
    done
}

# fleet_ready: waits until every entry has an owner of each target, at most
# 20 s, by sending a request of each service to each zone.
fleet_ready() {
    i=0
    while [ $i -lt 100 ]; do
        ok=0
        for c in 127.0.1.9 127.0.2.9; do
            for s in desk post; do
                now=$(date +%s%3N)
                curl -s -m 2 --interface $c -X POST -d x -D "$fleet_dir/head" \
                    -o "$fleet_dir/body" -H "Mimosa-Class: once" \
                    -H "Idempotency-Key: ready-$c-$s-$i-$now" \
                    -H "Mimosa-Attempt: 1" -H "Mimosa-Issued: $now" \
                    "http://127.0.0.1:$(fleet_port north-1 entry)/v1/run/$s/x?rid=$now" &&
                    grep -qi 'mimosa-outcome: answered' "$fleet_dir/head" &&
                    ok=$((ok + 1))
            done
        done
        [ $ok = 4 ] && return 0
        sleep 0.2
        i=$((i + 1))
    done
    echo "fleet: not ready; last answer:"
    cat "$fleet_dir/head" "$fleet_dir/body"
    return 1
}

# fleet_stop: ends everything; upstreams get SIGINT, which does not drain.
fleet_stop() {
    [ -n "${fleet_dir:-}" ] || return 0
    for f in "$fleet_dir"/*.pid; do
        [ -e "$f" ] || continue
        case $f in
        */up.*) kill -INT "$(cat "$f")" 2>/dev/null ;;
        *) kill -KILL "$(cat "$f")" 2>/dev/null ;;
        esac
    done
    for f in "$fleet_dir"/*.pid; do
        [ -e "$f" ] && wait "$(cat "$f")" 2>/dev/null
    done
    [ -n "${KEEP_LOGS:-}" ] && echo "logs: $fleet_dir" || rm -rf "$fleet_dir"
    fleet_dir=
}
