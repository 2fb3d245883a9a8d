#!/bin/sh
# shellcheck disable=SC2034,SC2154
# VM 1 reaches the store through standin-link, and a change of the configuration
# moves a route to another service, adds one and removes one.  Sourced after
# platform_lib.sh.

link_addr=127.0.0.1:$((port + 90))
link_pid=
platform_options="--target u-3,127.0.0.1:$((port + 53)),shop,west-a --target u-4,127.0.0.1:$((port + 54)),shop,east-a"
more_services=',{"Name":"shop","HealthPath":"/healthz","MaxConns":360,"Cold":"3s","ColdPerS":15.0}'

# start_link [OPTION...]: starts standin-link, in place of the present one.
start_link() {
    if [ -n "$link_pid" ]; then
        kill "$link_pid"
        wait "$link_pid" 2>/dev/null
    fi
    "$b/standin-link" --listen "$link_addr" --to "$store" "$@" \
        >>"$dir/link.log" 2>&1 &
    link_pid=$!
    pids="$pids $!"
    sleep 0.1
    kill -0 "$link_pid" || check link_started 0 1
}

# route NAME SERVICE: a route behind a comma, as config expects it.
route() {
    echo ",{\"Name\":\"$1\",\"PathPrefix\":\"/$1/\",\"Kind\":\"idempotent\",\"Timeout\":\"1500ms\",\"Slo\":\"400ms\",\"Priority\":1,\"MaxAttempts\":2,\"HomeRegions\":[],\"Service\":\"$2\"}"
}

# config_before VERSION, config_after VERSION: store a configuration without and
# with the change, and with the routes in the variable filler.
config_before() {
    config "$1" "$(route moved desk)$(route removed desk)${filler:-}"
}

config_after() {
    config "$1" "$(route moved shop)$(route added shop)${filler:-}"
}

# start_linked_vm [LINK_OPTION...]: starts the stand-ins, stores a
# configuration, and starts VM 1 behind the link and waits until it is ready.
start_linked_vm() {
    start_platform
    config_before 3
    start_link "$@"
    settings 1 west-a "$link_addr"
    start_vm 1
    wait_for "http://127.0.0.1:$((port + 102))/api/readyz" 200
    sleep 1
}

now_ms() {
    date +%s%3N
}

# begin_asking: the times of ask_changed and count run from now.
begin_asking() {
    t0=$(now_ms)
    : >"$dir/asked"
}

# ask_route ROUTE N: asks VM 1 for a route, and notes the time, the route, the
# status and, for a success, the service that ran the request.
ask_route() {
    at=$(($(now_ms) - t0))
    status=$(curl -s -m 5 -o "$dir/body-$1-$2" -w '%{http_code}' \
        -H "Host: desk.example" -H "X-Mimosascale-Attempt-Id: $1-$t0-$2" \
        -H "X-Mimosascale-Affinity-Key: $2" \
        -H "X-Mimosascale-Deadline-Ms: 3000" \
        "http://127.0.0.1:$((port + 101))/$1/x/service")
    service=-
    [ "$status" = 200 ] && service=$(cat "$dir/body-$1-$2")
    rm -f "$dir/body-$1-$2"
    echo "$at $1 $status $service" >>"$dir/asked"
}

# ask_changed MS: asks for the three routes every 100 ms until that time.
ask_changed() {
    asking=
    n_asked=0
    while [ $(($(now_ms) - t0)) -lt "$1" ]; do
        n_asked=$((n_asked + 1))
        for r in moved added removed; do
            ask_route $r $n_asked &
            asking="$asking $!"
        done
        sleep 0.1
    done
    # shellcheck disable=SC2086
    wait $asking
}

# count KIND FROM_MS TO_MS [ROUTE]: counts the requests that were sent in that
# time, by what their answer shows: the configuration with the change (new) or
# without it (old), that the request was not run (not_run), or none of these
# (other).
count() {
    awk -v want="$1" -v from="$2" -v to="$3" -v route="${4:-}" '
        function kind(name, status, service) {
            if (status == 503) return "not_run"
            if (name == "moved" && status == 200)
                return service == "shop" ? "new" : "old"
            if (name != "moved" && (status == 200 || status == 404))
                return (status == 200) == (name == "added") ? "new" : "old"
            return "other"
        }
        $1 >= from && $1 < to && (route == "" || $2 == route) &&
            kind($2, $3, $4) == want { n++ }
        END { print n + 0 }' "$dir/asked"
}

# sent FROM_MS TO_MS: counts the requests that were sent in that time.
sent() {
    awk -v from="$1" -v to="$2" '$1 >= from && $1 < to { n++ }
        END { print n + 0 }' "$dir/asked"
}

# print_counts WHAT FROM_MS TO_MS
print_counts() {
    for r in moved added removed; do
        echo "$1, $r route, sent $2 to $3 ms:" \
            "old=$(count old "$2" "$3" $r) new=$(count new "$2" "$3" $r)" \
            "not_run=$(count not_run "$2" "$3" $r)" \
            "other=$(count other "$2" "$3" $r)"
    done
}

# print_store_log: prints what VM 1 logged of the store and the configuration.
print_store_log() {
    grep -E ' part=(store|config) ' "$dir/vm1.log" | tail -n 25
}

# check_before WHAT: checks that VM 1 uses the configuration without the change.
check_before() {
    begin_asking
    ask_changed 50
    check "$1" "$(count old 0 50)" 3
}

# change_while_cut VERSIONS RATE [LINK_OPTION...]: cuts the link for 5 s, during
# which that many configurations are stored, the second half of them with the
# change, and asks for 10 s from the time at which it is open again, with RATE
# bytes per second.
change_while_cut() {
    versions=$1
    rate=$2
    shift 2
    kill -USR1 "$link_pid"
    cut_ms=$(now_ms)
    for i in $(seq "$versions"); do
        if [ "$i" -gt $((versions / 2)) ]; then
            config_after $((3 + i))
        else
            config_before $((3 + i))
        fi
        sleep 0.15
    done
    while [ $(($(now_ms) - cut_ms)) -lt 5000 ]; do
        sleep 0.05
    done
    start_link --rate "$rate" "$@"
    log_lines=$(wc -l <"$dir/vm1.log")
    begin_asking
    ask_changed 10000
    print_counts link_back 0 3000
    print_counts link_back 3000 8000
    print_counts link_back 8000 10000
    print_store_log
}

# check_changed: a machine is in touch 3 s after its link is back.
check_changed() {
    check old_after_3_s "$(count old 3000 10000)" 0
    check not_newest_after_8_s "$(($(count old 8000 10000) + $(count not_run 8000 10000) + $(count other 8000 10000)))" 0
    [ "$(count new 8000 10000)" -gt 0 ] || check served_by_the_newest 0 "over 0"
}
